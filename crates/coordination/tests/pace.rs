//! Pace: what may be given away, over time.

use crosslane_coordination::pace::Pace;
use crosslane_state::time::Millis;
use rstest::rstest;

struct Case {
    name: &'static str,
    /// Times at which a piece of 100 bytes is asked for, in milliseconds.
    asked: &'static [u64],
    /// How many of them go.
    go: usize,
}

#[rstest]
#[case(Case { name: "a burst, and the last one overdraws it", asked: &[0, 0, 0, 0, 0], go: 3 })]
#[case(Case { name: "refilled while it rests", asked: &[0, 0, 0, 0, 1_000, 1_000, 1_000, 1_000], go: 6 })]
#[case(Case { name: "no more than a burst after a long rest", asked: &[90_000; 9], go: 3 })]
#[case(Case { name: "an overdraft is made up first", asked: &[0, 0, 0, 40, 60, 70], go: 4 })]
#[case(Case { name: "small steps of time are not lost", asked: &[0, 0, 0, 12, 24, 36, 48, 60], go: 4 })]
fn pieces_that_go(#[case] case: Case) {
    let mut pace = Pace::new(1_000, 250);
    let mut go = 0;
    for at in case.asked {
        if pace.open(Millis(*at)) {
            pace.spend(100);
            go += 1;
        }
    }
    assert_eq!(go, case.go, "{}", case.name);
}
