// One key: while running, after the end, through other nodes, at the same moment.
let site = site(#{ nodes: 3, prefill: 1, decode: 1 });

let together = [];
for place in 0..6 {
    together.push(site.ask(place % 3, #{ prompt: 1, max_tokens: 100, key: "draft-1" }));
}
for one in together {
    let answer = one.wait();
    check(answer.correct, `each caller has the whole answer: ${answer}`);
}
check(site.prefills("prefill-0", 1, 400) == 1, "it was prefilled once");
for place in 0..3 {
    let answer = site.ask(place, #{ prompt: 1, max_tokens: 100, key: "draft-1" }).wait();
    check(answer.correct, "and again after the end");
}
check(site.prefills("prefill-0", 1, 400) == 1, "still once");

// Another request under the key is refused, and not run.
let other = site.ask(1, #{ prompt: 2, max_tokens: 100, key: "draft-1" }).wait();
check(other.refusal[0] == "key_mismatch" && other.refusal[1] == "not_run", `${other}`);
check(site.prefills("prefill-0", 2, 400) == 0, "it was not run");

// Confirmations, many keys, each through every node at once.
for round in 0..20 {
    let together = [];
    for place in 0..3 {
        together.push(site.ask(place, #{ path: "/booking/confirm", key: `confirm-${round}` }));
    }
    for one in together {
        let answer = one.wait();
        check(answer.correct, `confirmed: ${answer}`);
    }
    check(site.runs("service-0", `confirm-${round}`) == 1, "run once");
}
eventually("nothing is held", 5000, || site.held() == 0);
