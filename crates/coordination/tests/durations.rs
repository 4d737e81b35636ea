//! How long requests last.

use crosslane_coordination::durations::Durations;
use crosslane_state::time::Millis;
use rstest::rstest;

struct Case {
    name: &'static str,
    /// When requests began and ended, and whether they were answered whole.
    ended: &'static [(u64, u64, bool)],
    /// When one began that is still under way.
    open: Option<u64>,
    now: u64,
    longest: Option<u64>,
}

#[rstest]
#[case(Case { name: "nothing known", ended: &[], open: None, now: 1_000, longest: None })]
#[case(Case { name: "the longest", ended: &[(0, 3_000, true), (100, 900, true)], open: None, now: 4_000, longest: Some(3_000) })]
#[case(Case { name: "a refusal tells nothing", ended: &[(0, 1, false)], open: None, now: 4_000, longest: None })]
#[case(Case { name: "one that was cut lasted at least so long", ended: &[(0, 500, true), (0, 7_000, false)], open: None, now: 7_000, longest: Some(7_000) })]
#[case(Case { name: "one that is under way for longer", ended: &[(0, 500, true)], open: Some(1_000), now: 9_000, longest: Some(8_000) })]
#[case(Case { name: "under way, and none answered yet", ended: &[], open: Some(1_000), now: 9_000, longest: None })]
#[case(Case { name: "in the window before", ended: &[(20_000, 25_000, true)], open: None, now: 50_000, longest: Some(5_000) })]
#[case(Case { name: "long ago", ended: &[(20_000, 25_000, true)], open: None, now: 95_000, longest: None })]
fn requests_last_as_long_as_the_longest_lately(#[case] case: Case) {
    let mut durations = Durations::default();
    for (began, ended, whole) in case.ended {
        let mark = durations.begin(Millis(*began));
        durations.end(mark, *whole, Millis(*ended));
    }
    case.open.iter().for_each(|it| {
        durations.begin(Millis(*it));
    });
    assert_eq!(durations.longest(Millis(case.now)), case.longest, "{}", case.name);
}
