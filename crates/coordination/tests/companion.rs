//! A request that breaks off with one that makes engines crash, and goes on beside it.

mod crashes;

use crashes::{Case, Fleet};
use rstest::rstest;

/// Fleets that are played of each kind.
const FLEETS: u64 = 150;

/// Engines that may end under a culprit: in the median, and at most.
const MEDIAN: u32 = 4;
const MOST: u32 = 6;

/// Nodes that choose engines alike and begin runs alike, so that what breaks off together goes on together.
fn travelling() -> Case {
    Case { nodes: 5, reserves: true, least: true, attempts: 3, starts: 20..26, ..Case::default() }
}

/// An innocent stream was refused everywhere for an hour: it broke off with the culprit three times, and was the first to
/// be counted three times.
#[rstest]
#[case::few_engines(Case { engines: 3, ..travelling() })]
#[case::small(travelling())]
#[case::late_looks(Case { late: 0.3, ..travelling() })]
#[case::late_looks_and_few_engines(Case { engines: 4, late: 0.3, ..travelling() })]
#[case::restarts(Case { restarts: 0.4, ..travelling() })]
#[case::all_of_it(Case { engines: 4, late: 0.2, restarts: 0.4, crashes: 0.1, ..travelling() })]
#[case::two_culprits(Case { culprits: 2, late: 0.2, ..travelling() })]
#[case::grown(Case { nodes: 61, engines: 110, innocent: 100.0, late: 0.2, restarts: 2.0, crashes: 0.5, ..travelling() })]
fn an_innocent_request_is_not_shut_out_beside_the_culprit_that_it_travels_with(#[case] case: Case) {
    let fleets = if case.nodes > 10 { FLEETS / 10 } else { FLEETS };
    check(&case, 0..fleets);
}

/// Of 1,500 fleets of each kind, those in which an innocent request was shut out, or too many engines ended.
#[rstest]
#[case::two_culprits(Case { culprits: 2, late: 0.2, ..travelling() }, &[1052, 1108, 1183, 1808, 1940, 2370])]
#[case::all_of_it(Case { engines: 4, late: 0.2, restarts: 0.4, crashes: 0.1, ..travelling() }, &[1971])]
fn no_request_is_shut_out_for_what_several_causes_ended(#[case] case: Case, #[case] seeds: &[u64]) {
    check(&case, seeds.iter().copied());
}

fn check(case: &Case, seeds: impl Iterator<Item = u64>) {
    let outcomes: Vec<_> = seeds.map(|seed| Fleet::new(case, seed).play()).collect();
    let mut ended: Vec<u32> = outcomes.iter().flat_map(|it| it.ended.clone()).collect();
    ended.sort_unstable();
    let median = ended[ended.len() / 2];
    let most = ended[ended.len() - 1];
    let ruled: usize = outcomes.iter().map(|it| it.ruled).sum();
    let shut: usize = outcomes.iter().map(|it| it.still_shut).sum();
    let refused: u32 = outcomes.iter().map(|it| it.refused).sum();
    let innocent: u32 = outcomes.iter().map(|it| it.innocent).sum();
    println!(
        "{median} in the median, {most} at most; {ruled} ruled out, {shut} still, {refused} refusals of {innocent}"
    );
    assert!(median <= MEDIAN && most <= MOST, "{ended:?}");
    assert_eq!((ruled, shut, refused), (0, 0, 0), "of {innocent} innocent requests");
}
