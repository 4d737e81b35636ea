// A key is sent again after its owner has died: the answer comes again, or the truth.
let site = site(#{ nodes: 3, prefill: 1, decode: 1 });

for round in 0..12 {
    let answer = site.ask(0, #{ path: "/booking/confirm", key: `confirm-${round}` }).wait();
    check(answer.correct, `confirmed: ${answer}`);
}
site.kill(2);

// Until the log says that it departed, its keys stand still: known answers or "unknown".
for round in 0..12 {
    let answer = site.ask(1, #{ path: "/booking/confirm", key: `confirm-${round}` }).wait();
    check(answer.correct || answer.refusal[1] == "unknown", `${answer}`);
    check(site.runs("service-0", `confirm-${round}`) == 1, "still one run");
}

site.list("entry-2", "gone");
eventually("it has departed", 20000, || site.status(0).members.len() == 2 && site.status(1).members.len() == 2);
for round in 0..12 {
    let key = `confirm-${round}`;
    let answer = site.ask(1, #{ path: "/booking/confirm", key: key }).wait();
    check(answer.correct || answer.refusal[1] == "unknown", `${answer}`);
    check(site.runs("service-0", key) == 1, "still one run");
}

// New keys are taken again once the departed node's claims are known.
let fresh = 0;
eventually("new keys are taken", 10000, || {
    fresh += 1;
    site.ask(0, #{ path: "/booking/confirm", key: `fresh-${fresh}` }).wait().correct
});
