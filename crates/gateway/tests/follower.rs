//! Pauses after failed calls to the store, and when a node that does not read the store must do so.

use crosslane_gateway::follower::{Lag, Reason, retry_pause};
use crosslane_state::time::Millis;
use rstest::rstest;

struct Case {
    name: &'static str,
    failures: u32,
    reason: Reason,
    pause_ms: u128,
}

#[rstest]
#[case(Case { name: "broken connection", failures: 0, reason: Reason::Reader, pause_ms: 40 })]
#[case(Case { name: "store outage", failures: 1, reason: Reason::Reader, pause_ms: 350 })]
#[case(Case { name: "reader in a long outage", failures: 50, reason: Reason::Reader, pause_ms: 350 })]
#[case(Case { name: "node without data", failures: 1, reason: Reason::Uninitialised, pause_ms: 80 })]
#[case(Case { name: "node without data slows down", failures: 6, reason: Reason::Uninitialised, pause_ms: 350 })]
#[case(Case { name: "node without data in a long outage", failures: 50, reason: Reason::Uninitialised, pause_ms: 700 })]
#[case(Case { name: "announced data not pulled", failures: 1, reason: Reason::Overdue, pause_ms: 350 })]
#[case(Case { name: "announced data not pulled in a long outage", failures: 50, reason: Reason::Overdue, pause_ms: 2_800 })]
fn pause_after_failures(#[case] case: Case) {
    let pause = retry_pause(case.failures, case.reason);
    assert_eq!(pause.as_millis(), case.pause_ms, "{}", case.name);
}

struct Announced {
    name: &'static str,
    /// Announced and known offset at each check, one check every 200 ms.
    checks: &'static [(u64, u64)],
    /// Checks at which data is overdue.
    overdue: &'static [usize],
}

#[rstest]
#[case(Announced { name: "up to date", checks: &[(5, 5); 9], overdue: &[] })]
#[case(Announced { name: "announced data never arrives", checks: &[(6, 5); 8], overdue: &[5, 6, 7] })]
#[case(Announced { name: "announced data arrives late", checks: &[(6, 5), (6, 5), (6, 5), (6, 5), (6, 5), (6, 5), (6, 6)], overdue: &[5] })]
#[case(Announced {
    name: "always behind, always catching up",
    checks: &[(6, 5), (7, 6), (8, 7), (9, 8), (10, 9), (11, 10), (12, 11), (13, 12), (14, 13)],
    overdue: &[],
})]
#[case(Announced {
    name: "new announcements, no data",
    checks: &[(6, 5), (7, 5), (8, 5), (9, 5), (10, 5), (11, 5), (12, 5)],
    overdue: &[5, 6],
})]
fn announced_data_is_overdue_after_a_second(#[case] case: Announced) {
    let mut lag = Lag::default();
    let checks = case.checks.iter().enumerate();
    let overdue: Vec<usize> = checks
        .filter(|(index, (announced, known))| {
            lag.is_overdue(*announced, *known, Millis(1_000 + 200 * *index as u64))
        })
        .map(|check| check.0)
        .collect();
    assert_eq!(overdue, case.overdue, "{}", case.name);
}
