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
        let timer = durations.begin(Millis(*began), 0);
        durations.end(timer, *complete, Millis(*ended));
    }
    case.in_progress.iter().for_each(|began| {
        durations.begin(Millis(*began), 0);
    });
    assert_eq!(durations.longest(Millis(case.now), 0), case.longest, "{}", case.name);
}

struct Estimate {
    name: &'static str,
    /// Duration and expected tokens of requests that were answered.
    ended: &'static [(u64, u32)],
    /// Age and expected tokens of one in progress.
    in_progress: Option<(u64, u32)>,
    tokens: u32,
    longest: Option<u64>,
}

#[rstest]
#[case(Estimate { name: "nothing known", ended: &[], in_progress: None, tokens: 100, longest: None })]
#[case(Estimate { name: "the slowest per token", ended: &[(1_000, 100), (3_000, 100), (4_000, 1_000)], in_progress: None, tokens: 50, longest: Some(1_500) })]
#[case(Estimate { name: "longer than any before", ended: &[(1_000, 100)], in_progress: None, tokens: 900, longest: Some(9_000) })]
#[case(Estimate { name: "one in progress is slower", ended: &[(1_000, 100)], in_progress: Some((4_000, 100)), tokens: 200, longest: Some(8_000) })]
#[case(Estimate { name: "no expectation: the longest", ended: &[(1_000, 100), (3_000, 900)], in_progress: None, tokens: 0, longest: Some(3_000) })]
#[case(Estimate { name: "no expectations before: the longest", ended: &[(1_000, 0)], in_progress: None, tokens: 900, longest: Some(1_000) })]
fn the_slowest_recent_request_per_token_is_expected(#[case] case: Estimate) {
    let (mut durations, now) = (Durations::default(), Millis(20_000));
    for (duration, tokens) in case.ended {
        let timer = durations.begin(Millis(now.0 - duration), *tokens);
        durations.end(timer, true, now);
    }
    case.in_progress.iter().for_each(|(age, tokens)| {
        durations.begin(Millis(now.0 - age), *tokens);
    });
    assert_eq!(durations.longest(now, case.tokens), case.longest, "{}", case.name);
}
