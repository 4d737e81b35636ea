// The service's reply is lost: told "unknown", never run again; refused connection: not run.
let site = site(#{ nodes: 3, prefill: 1, decode: 1 });

for round in 0..6 {
    let key = `lost-${round}`;
    site.fault("service-0", #{ lose_replies: 1 });
    let answer = site.ask(round % 3, #{ path: "/booking/confirm", key: key }).wait();
    check(answer.refusal[1] == "unknown", `told the truth: ${answer}`);
    for place in 0..3 {
        let again = site.ask(place, #{ path: "/booking/confirm", key: key }).wait();
        check(again.refusal[0] == "key_unknown" && again.refusal[1] == "unknown", `${again}`);
    }
    check(site.runs("service-0", key) == 1, "one run");
}

// Without a key it is not retried either.
site.fault("service-0", #{ lose_replies: 1 });
let answer = site.ask(0, #{ path: "/booking/bare" }).wait();
check(answer.refusal[1] == "unknown", `${answer}`);
check(site.runs("service-0", "/booking/bare") == 1, "one run");

// The key that crosslane mints for such a request is no way to run it again.
let minted = `cl-${site.status(0).incarnation}-0`;
for place in 0..2 {
    let answer = site.ask(place, #{ path: "/booking/bare", key: minted }).wait();
    check(answer.refusal != () && answer.refusal[0] == "key_unknown", `${answer}`);
}
check(site.runs("service-0", minted) == 0, "not run under a minted key");

// A caller that leaves does not undo it: the answer waits for the caller's return.
site.fault("service-0", #{ delay_millis: 400 });
let gone = site.ask(0, #{ path: "/booking/confirm", key: "left" });
eventually("it runs", 5000, || site.runs("service-0", "left") == 1);
gone.leave();
site.fault("service-0", #{});
let again = site.ask(1, #{ path: "/booking/confirm", key: "left" }).wait();
check(again.correct, `the answer is there: ${again}`);
check(site.runs("service-0", "left") == 1, "one run");

// The service is dead: not run, and so it may be sent again under the same key.
site.kill("service-0");
let answer = site.ask(0, #{ path: "/booking/confirm", key: "dead" }).wait();
check(answer.refusal[1] == "not_run", `${answer}`);
