// The log is out: repeatable work goes on, the rest at most once; then one view again.
let site = site(#{ nodes: 3, prefill: 2, decode: 2 });

site.fault("log", #{ outage: true });
eventually("the nodes notice", 15000, || !site.status(0).log_answers && !site.status(1).log_answers && !site.status(2).log_answers);
let asked = [];
for place in 0..30 {
    asked.push(site.ask(place % 3, #{ prompt: place, tokens: 200, max_tokens: 20, deadline: 5000 }));
}
for one in asked {
    let answer = one.wait();
    check(answer.correct, `served without the log: ${answer}`);
}
for round in 0..10 {
    let key = `cut-${round}`;
    let answer = site.ask(round % 3, #{ path: "/booking/confirm", key: key }).wait();
    check(answer.correct, `confirmed with a copy at a peer: ${answer}`);
    let again = site.ask((round + 1) % 3, #{ path: "/booking/confirm", key: key }).wait();
    check(again.correct, "the same answer again");
    check(site.runs("service-0", key) == 1, "one run");
}
let copied = site.counter(0, "claims.copied") + site.counter(1, "claims.copied") + site.counter(2, "claims.copied");
check(copied >= 10, `claims were copied: ${copied}`);

// An owner dies during the outage: its keys answer from copies or "unknown", never again.
site.kill(2);
for round in 0..10 {
    let key = `cut-${round}`;
    let answer = site.ask(0, #{ path: "/booking/confirm", key: key }).wait();
    check(answer.correct || answer.refusal[1] == "unknown", `${answer}`);
    check(site.runs("service-0", key) == 1, "one run");
}

site.fault("log", #{});
site.list("entry-2", "gone");
eventually("one view again", 20000, || {
    let a = site.status(0);
    let b = site.status(1);
    a.log_answers && b.log_answers && a.members.len() == 2 && b.members.len() == 2 && a.offset == b.offset
});
for round in 0..10 {
    let key = `cut-${round}`;
    let answer = site.ask(1, #{ path: "/booking/confirm", key: key }).wait();
    check(answer.correct || answer.refusal[1] == "unknown", `${answer}`);
    check(site.runs("service-0", key) == 1, "one run");
}
