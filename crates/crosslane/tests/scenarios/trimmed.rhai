// The log forgets; a new node starts from the checkpoint, with the same members and policy.
let site = site(#{ nodes: 3, prefill: 1, decode: 1, settings: #{ timing: #{ checkpoint_records: 20 } } });

let policy = "tests/policies/all_quick.rhai";
let first = site.crosslane(["policy", "publish", policy, "--log", "LOG", "--id", "one", "--wait"]);
check(first.code == 0, `${first}`);
site.fault("log", #{ keep: 60 });
for batch in 0..4 {
    let before = site.status(0).checkpoint;
    for round in 0..22 {
        site.crosslane(["policy", "publish", policy, "--log", "LOG", "--id", "one"]);
    }
    eventually("a checkpoint is written", 10000, || site.status(0).checkpoint > before);
}
check(site.look("log", "/stats").appends > 80, "the start of the log is forgotten");
site.kill(2);
site.start_node(2);
eventually("a new node serves", 20000, || site.serves(2));
let here = site.status(2);
let there = site.status(0);
check(here.policy_version == 1 && here.members.len() == 3, `with the policy and members: ${here}`);
check(there.policy_version == 1, "as elsewhere");
check(site.ask(2, #{ prompt: 5, key: "after" }).wait().correct, "and answers");
