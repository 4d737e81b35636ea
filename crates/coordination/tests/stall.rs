//! When an endpoint that sends nothing counts as stalled.

use crosslane_coordination::stall::Stall;
use rstest::rstest;

struct Case {
    name: &'static str,
    /// `.` for a timeout, `!` for output.
    events: &'static str,
    /// How often the endpoint counted as stalled.
    stalls: usize,
}

#[rstest]
#[case(Case { name: "shorter", events: "....", stalls: 0 })]
#[case(Case { name: "complete", events: ".....", stalls: 1 })]
#[case(Case { name: "interrupted by output", events: "....!....", stalls: 0 })]
#[case(Case { name: "reported again after as many", events: "..........", stalls: 2 })]
#[case(Case { name: "a pause of the node, of any length, is one timeout", events: "!.!", stalls: 0 })]
fn an_endpoint_is_stalled_after_consecutive_timeouts(#[case] case: Case) {
    let mut stall = Stall::after(5);
    let mut stalls = 0;
    for event in case.events.chars() {
        match event {
            '.' => stalls += usize::from(stall.record_timeout()),
            _ => stall = Stall::after(5),
        }
    }
    assert_eq!(stalls, case.stalls, "{}", case.name);
}
