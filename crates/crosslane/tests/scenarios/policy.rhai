// Policies: accepted only when in force everywhere, one winner of a race, lost replies settled.
let site = site(#{ nodes: 3, prefill: 1, decode: 1 });
let folder = "tests/policies";

let bad = site.crosslane(["policy", "check", `${folder}/broken.rhai`]);
check(bad.code == 2 && bad.err.contains("line 2"), `line and column: ${bad}`);
let bad = site.crosslane(["policy", "check", `${folder}/endless.rhai`]);
check(bad.code == 2, `no loops: ${bad}`);

let first = site.crosslane(["policy", "publish", `${folder}/all_quick.rhai`, "--log", "LOG", "--id", "one", "--wait"]);
check(first.code == 0 && first.out.contains("accepted"), `accepted: ${first}`);
for place in 0..3 {
    check(site.status(place).policy_version == 1, "in force before it counts as accepted");
}

// The same publication again changes nothing; one on an old base loses and is told so.
let again = site.crosslane(["policy", "publish", `${folder}/all_quick.rhai`, "--log", "LOG", "--id", "one"]);
check(again.code == 0 && again.out.contains("version 1"), `${again}`);
let late = site.crosslane(["policy", "publish", `${folder}/all_quick.rhai`, "--log", "LOG", "--id", "late", "--base", "0"]);
check(late.code == 1 && late.out.contains("lost the race"), `${late}`);

// The log's reply is lost after the effect: read back truly.
site.fault("log", #{ lose_appends: 1 });
let lost = site.crosslane(["policy", "publish", `${folder}/no_repeats.rhai`, "--log", "LOG", "--id", "two", "--base", "1"]);
check(lost.code == 0 && lost.out.contains("version 2"), `${lost}`);
eventually("version 2 is in force everywhere", 5000, || {
    site.status(0).policy_version == 2 && site.status(1).policy_version == 2 && site.status(2).policy_version == 2
});

// A frozen node keeps a policy from being accepted; the operator sees where, and withdraws.
site.freeze(1);
let open = site.crosslane(["policy", "publish", `${folder}/all_quick.rhai`, "--log", "LOG", "--id", "three", "--wait", "--patience-ms", "2000"]);
check(open.code == 1 && open.err.contains("Olten"), `the missing domain is named: ${open}`);
let back = site.crosslane(["policy", "withdraw", "three", "--log", "LOG"]);
check(back.code == 0, `${back}`);
site.thaw(1);
eventually("versions only rise, and the old program is back", 10000, || {
    site.status(0).policy_version == 4 && site.status(1).policy_version == 4 && site.status(2).policy_version == 4
});
eventually("and it is accepted", 10000, || site.status(0).accepted);

// Every node is killed at once; none serves again with less than what was accepted.
for place in 0..3 {
    site.kill(place);
}
for place in 0..3 {
    site.start_node(place);
}
for place in 0..3 {
    eventually("it serves again", 20000, || site.serves(place));
    check(site.status(place).policy_version == 4, "with the policy in force");
}
