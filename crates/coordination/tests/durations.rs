//! Longest duration of requests to expect.

use crosslane_coordination::durations::Durations;
use crosslane_state::time::Millis;
use rstest::rstest;

struct Case {
    name: &'static str,
    /// When requests began and ended, and whether they were answered completely.
    ended: &'static [(u64, u64, bool)],
    /// When one began that is still in progress.
    in_progress: Option<u64>,
    now: u64,
    longest: Option<u64>,
}

#[rstest]
#[case(Case { name: "nothing known", ended: &[], in_progress: None, now: 1_000, longest: None })]
#[case(Case { name: "the longest", ended: &[(0, 3_000, true), (100, 900, true)], in_progress: None, now: 4_000, longest: Some(3_000) })]
#[case(Case { name: "a refusal does not count", ended: &[(0, 1, false)], in_progress: None, now: 4_000, longest: None })]
#[case(Case { name: "one that was interrupted lasted at least that long", ended: &[(0, 500, true), (0, 7_000, false)], in_progress: None, now: 7_000, longest: Some(7_000) })]
#[case(Case { name: "one in progress for longer", ended: &[(0, 500, true)], in_progress: Some(1_000), now: 9_000, longest: Some(8_000) })]
#[case(Case { name: "in progress, and none answered yet", ended: &[], in_progress: Some(1_000), now: 9_000, longest: None })]
#[case(Case { name: "in the window before", ended: &[(20_000, 25_000, true)], in_progress: None, now: 50_000, longest: Some(5_000) })]
#[case(Case { name: "long ago", ended: &[(20_000, 25_000, true)], in_progress: None, now: 95_000, longest: None })]
fn the_longest_recent_duration_is_expected(#[case] case: Case) {
    let mut durations = Durations::default();
    for (began, ended, complete) in case.ended {
        let timer = durations.begin(Millis(*began));
        durations.end(timer, *complete, Millis(*ended));
    }
    case.in_progress.iter().for_each(|began| {
        durations.begin(Millis(*began));
    });
    assert_eq!(durations.longest(Millis(case.now)), case.longest, "{}", case.name);
}
