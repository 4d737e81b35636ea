// A node is frozen past every timeout, replaced, and wakes: it changes and dispatches nothing.
let site = site(#{ nodes: 3, prefill: 2, decode: 2 });

let asked = [];
for place in 0..6 {
    asked.push(site.ask(place % 2, #{ prompt: place, tokens: 300, max_tokens: 300, deadline: 20000 }));
}
let cut = site.ask(2, #{ prompt: 50, tokens: 300, max_tokens: 800, deadline: 20000 });
eventually("streams run", 5000, || site.held() >= 5);
site.freeze(2);
for one in asked {
    check(one.wait().correct, "the others' streams come whole");
}
eventually("what the frozen node held is freed", 15000, || site.held() == 0);
site.list("entry-2", "gone");
eventually("it has departed", 20000, || site.status(0).members.len() == 2 && site.status(1).members.len() == 2);

// While it sleeps its keys are taken over.
let taken = 0;
eventually("its keys are taken over", 10000, || {
    taken += 1;
    site.ask(taken % 2, #{ path: "/booking/confirm", key: `taken-${taken}` }).wait().correct
});
let late = site.ask(2, #{ path: "/booking/confirm", key: "taken-1" });
site.thaw(2);
let answer = late.wait();
check(answer.correct || answer.refusal != (), `an explicit end: ${answer}`);
check(site.runs("service-0", "taken-1") <= 1, "never twice");
let answer = cut.wait();
check(answer.correct || answer.refusal != (), `the cut stream ends in an explicit error or whole: ${answer}`);
eventually("it ends by itself", 15000, || site.exit_code(2) == 3);
eventually("nothing is held", 10000, || site.held() == 0);
