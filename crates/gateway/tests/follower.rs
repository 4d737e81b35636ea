//! Pauses after failed calls to the store.

use crosslane_gateway::follower::pause;
use rstest::rstest;

struct Case {
    name: &'static str,
    failures: u32,
    never_read: bool,
    millis: u128,
}

#[rstest]
#[case(Case { name: "a dead connection", failures: 0, never_read: false, millis: 40 })]
#[case(Case { name: "a store that is out", failures: 1, never_read: false, millis: 350 })]
#[case(Case { name: "a node that knows nothing", failures: 1, never_read: true, millis: 80 })]
#[case(Case { name: "it does not press for long", failures: 6, never_read: true, millis: 350 })]
fn after_failures(#[case] case: Case) {
    let pause = pause(case.failures, case.never_read);
    assert_eq!(pause.as_millis(), case.millis, "{}", case.name);
}
