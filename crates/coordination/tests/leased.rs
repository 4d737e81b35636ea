//! What a node grants of a limit of which it holds a share that changes.

use crosslane_coordination::quota::{ATTEND_INTERVAL_MS, Charge, Decision, Quota, Tolerance};
use crosslane_state::endpoint::Tag;
use crosslane_state::organisation::Limit;
use crosslane_state::time::Millis;
use rstest::rstest;

const LIMIT: Limit = Limit { units_per_second: 1_000.0, burst: 1_000.0 };
const TOLERANCE: Tolerance = Tolerance { window_ms: 8_000, overage: 0.1, slack: 1_000.0 };
const SUBJECT: Tag = Tag(3);
const COST: u32 = 100;

struct Case {
    name: &'static str,
    /// Shares, each held for a time in milliseconds.
    held: &'static [(f64, u64)],
    /// Tokens granted at the end, at once.
    granted: std::ops::RangeInclusive<u32>,
}

/// The burst is 1,000, 0.4 of the 1,900 that are tolerated beyond the limit, and 0.1 of these as an overdraft.
#[rstest]
#[case(Case { name: "all for long", held: &[(1.0, 20_000)], granted: 1_900..=2_000 })]
#[case(Case { name: "half for long", held: &[(0.5, 20_000)], granted: 900..=1_000 })]
#[case(Case { name: "nothing", held: &[(0.0, 20_000)], granted: 0..=0 })]
#[case(Case { name: "nothing any more", held: &[(1.0, 20_000), (0.0, 100)], granted: 0..=0 })]
#[case(Case { name: "what was saved goes with the share", held: &[(1.0, 20_000), (0.0, 100), (1.0, 100)], granted: 100..=200 })]
#[case(Case { name: "a second", held: &[(1.0, 1_000)], granted: 1_000..=1_200 })]
#[case(Case { name: "half of the rate", held: &[(0.5, 1_000)], granted: 500..=600 })]
fn a_node_grants_by_the_share_that_it_holds(#[case] case: Case) {
    let mut quota = Quota::leased(TOLERANCE);
    let mut now = 0;
    let mut share = 0.0;
    for (held, for_ms) in case.held {
        share = *held;
        let until = now + for_ms;
        while now < until {
            quota.hold(SUBJECT, LIMIT, share, Millis(now));
            now += ATTEND_INTERVAL_MS;
        }
    }
    let charge = Charge { subject: SUBJECT, limit: LIMIT, cost: COST, draw: 0.5, priority: None };
    let mut granted = 0;
    while quota.decide_leased(charge, share, Millis(now)) == Decision::Granted {
        granted += COST;
    }
    assert!(case.granted.contains(&granted), "{}: {granted}", case.name);
}

/// The parts beside the owner's, with its burst and two overdrafts, stay below what is tolerated.
#[rstest]
fn parts_of_the_tolerance_add_up() {
    let tolerated = TOLERANCE.tolerated_excess(LIMIT);
    let parts = [TOLERANCE.deputy_part(LIMIT), TOLERANCE.alone_part(LIMIT)];
    let beside: f64 = parts.iter().map(|part| part.burst + part.units_per_second * 8.0).sum();
    assert!(beside + (0.4 + 2.0 * 0.1) * tolerated <= tolerated);
}
