// With the log out every VM is replaced, one after another: the site goes on serving.
let site = site(#{ nodes: 3, prefill: 2, decode: 2 });
let published = site.crosslane(["policy", "publish", "tests/policies/all_quick.rhai", "--log", "LOG", "--id", "one", "--wait"]);
check(published.code == 0, `${published}`);
site.fault("log", #{ outage: true });
eventually("the nodes notice", 15000, || !site.status(0).log_answers && !site.status(1).log_answers && !site.status(2).log_answers);

for place in 0..3 {
    site.kill(place);
    site.start_node(place);
    eventually("the new VM serves with the log out", 20000, || site.status(place).phase == "Serving");
    check(site.status(place).policy_version == 1, "with the policy in force");
    let answer = site.ask(place, #{ prompt: place, tokens: 300, deadline: 8000 }).wait();
    check(answer.correct, `drafts are served: ${answer}`);
    let answer = site.ask(place, #{ path: "/booking/page" }).wait();
    check(answer.correct, `pages are served: ${answer}`);
}

// Keys whose owner is gone: repeatable ones are served, the others refused as unknown.
let answer = site.ask(0, #{ prompt: 50, tokens: 300, key: "draft", deadline: 8000 }).wait();
check(answer.correct, `a keyed draft: ${answer}`);
let answer = site.ask(1, #{ path: "/booking/confirm", key: "confirm" }).wait();
check(answer.refusal != () && answer.refusal[1] == "unknown", `a keyed confirmation: ${answer}`);
check(site.runs("service-0", "confirm") == 0, "was not run");

site.fault("log", #{});
eventually("one view of three new members", 20000, || site.serves(0) && site.serves(1) && site.serves(2)
    && site.status(0).members.len() == 3 && site.status(1).members.len() == 3 && site.status(2).members.len() == 3);
eventually("and confirmations are taken again", 10000, || site.ask(1, #{ path: "/booking/confirm", key: "confirm" }).wait().correct);
check(site.runs("service-0", "confirm") == 1, "once");
