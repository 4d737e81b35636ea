//! An innocent request that is interrupted together with a culprit and resumed next to it.

mod crashes;

use crashes::{Case, Fleet};
use rstest::rstest;

/// Number of simulated fleets per case.
const FLEETS: u64 = 150;

/// Limits on the engines that crash under a culprit: in the median, and at most.
const MAX_MEDIAN: u32 = 4;
const MAX_CRASHES: u32 = 6;

/// Nodes that choose engines alike and start runs after nearly the same time, so that requests that
/// are interrupted together are resumed together.
fn resumed_together() -> Case {
    Case {
        nodes: 5,
        reserves: true,
        least_loaded: true,
        attempts: 3,
        starts: 20..26,
        ..Case::default()
    }
}

/// Guards against shutting out an innocent stream everywhere for an hour because it was interrupted
/// with the culprit three times and got its third strike first.
#[rstest]
#[case::few_engines(Case { engines: 3, ..resumed_together() })]
#[case::small(resumed_together())]
#[case::late_checks(Case { late_checks: 0.3, ..resumed_together() })]
#[case::late_checks_and_few_engines(Case { engines: 4, late_checks: 0.3, ..resumed_together() })]
#[case::restarts(Case { restarts: 0.4, ..resumed_together() })]
#[case::all_combined(Case { engines: 4, late_checks: 0.2, restarts: 0.4, crashes: 0.1, ..resumed_together() })]
#[case::two_culprits(Case { culprits: 2, late_checks: 0.2, ..resumed_together() })]
#[case::grown(Case { nodes: 61, engines: 110, innocent: 100.0, late_checks: 0.2, restarts: 2.0, crashes: 0.5, ..resumed_together() })]
fn an_innocent_request_that_is_resumed_next_to_a_culprit_is_not_shut_out(#[case] case: Case) {
    let fleets = if case.nodes > 10 { FLEETS / 10 } else { FLEETS };
    check(&case, 0..fleets);
}

/// Seeds, of 1,500 fleets per case, with which an innocent request was shut out or too many engines
/// crashed.
#[rstest]
#[case::two_culprits(Case { culprits: 2, late_checks: 0.2, ..resumed_together() }, &[1052, 1108, 1183, 1808, 1940, 2370])]
#[case::all_combined(Case { engines: 4, late_checks: 0.2, restarts: 0.4, crashes: 0.1, ..resumed_together() }, &[1971])]
fn no_request_is_shut_out_for_what_several_causes_ended(#[case] case: Case, #[case] seeds: &[u64]) {
    check(&case, seeds.iter().copied());
}

fn check(case: &Case, seeds: impl Iterator<Item = u64>) {
    let outcomes: Vec<_> = seeds.map(|seed| Fleet::new(case, seed).play()).collect();
    let mut crashed: Vec<u32> =
        outcomes.iter().flat_map(|outcome| outcome.crashed.clone()).collect();
    crashed.sort_unstable();
    let median = crashed[crashed.len() / 2];
    let most = crashed[crashed.len() - 1];
    let ruled: usize = outcomes.iter().map(|outcome| outcome.ruled).sum();
    let shut: usize = outcomes.iter().map(|outcome| outcome.still_shut).sum();
    let refused: u32 = outcomes.iter().map(|outcome| outcome.refused).sum();
    let innocent: u32 = outcomes.iter().map(|outcome| outcome.innocent).sum();
    println!(
        "{median} in the median, {most} at most; {ruled} ruled out, {shut} still, {refused} refusals of {innocent}"
    );
    assert!(median <= MAX_MEDIAN && most <= MAX_CRASHES, "{crashed:?}");
    assert_eq!((ruled, shut, refused), (0, 0, 0), "of {innocent} innocent requests");
}
