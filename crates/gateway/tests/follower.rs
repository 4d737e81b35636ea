//! Pauses after failed calls to the store.

use crosslane_gateway::follower::{Need, pause};
use rstest::rstest;

struct Case {
    name: &'static str,
    failures: u32,
    need: Need,
    millis: u128,
}

#[rstest]
#[case(Case { name: "a dead connection", failures: 0, need: Need::Reader, millis: 40 })]
#[case(Case { name: "a store that is out", failures: 1, need: Need::Reader, millis: 350 })]
#[case(Case { name: "a reader notices its return", failures: 50, need: Need::Reader, millis: 350 })]
#[case(Case { name: "a node that knows nothing", failures: 1, need: Need::Nothing, millis: 80 })]
#[case(Case { name: "it does not press for long", failures: 6, need: Need::Nothing, millis: 350 })]
#[case(Case { name: "and less and less", failures: 50, need: Need::Nothing, millis: 2_800 })]
#[case(Case { name: "not brought by others", failures: 1, need: Need::Overdue, millis: 350 })]
#[case(Case { name: "nor by a store that is out", failures: 50, need: Need::Overdue, millis: 2_800 })]
fn after_failures(#[case] case: Case) {
    let pause = pause(case.failures, case.need);
    assert_eq!(pause.as_millis(), case.millis, "{}", case.name);
}
