//! When an endpoint that sends nothing counts as silent.

use crosslane_coordination::silence::Silence;
use rstest::rstest;

struct Case {
    name: &'static str,
    /// `.` for a pause, `!` for something that came.
    seen: &'static str,
    /// How often the endpoint was found silent.
    found: usize,
}

#[rstest]
#[case(Case { name: "shorter", seen: "....", found: 0 })]
#[case(Case { name: "full", seen: ".....", found: 1 })]
#[case(Case { name: "broken in between", seen: "....!....", found: 0 })]
#[case(Case { name: "looked for again after as long", seen: "..........", found: 2 })]
#[case(Case { name: "a standstill of the node, of any length, is one pause", seen: "!.!", found: 0 })]
fn an_endpoint_is_silent_after_pauses_in_a_row(#[case] case: Case) {
    let mut silence = Silence::of(5);
    let mut found = 0;
    for seen in case.seen.chars() {
        match seen {
            '.' => found += usize::from(silence.pause()),
            _ => silence = Silence::of(5),
        }
    }
    assert_eq!(found, case.found, "{}", case.name);
}
