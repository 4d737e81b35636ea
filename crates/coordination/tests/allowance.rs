//! All nodes together stay within the retry budget, however requests are distributed over them.

use crosslane_coordination::allowance::{Allowance, Budget};
use crosslane_state::time::Millis;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use std::collections::VecDeque;

const BUDGET: Budget = Budget { ratio: 0.2, slack: 56.0, window_ms: 10_000 };

struct Case {
    name: &'static str,
    nodes: usize,
    /// Share of requests that go to the first node, in percent.
    skew: u32,
}

#[rstest]
#[case(Case { name: "even", nodes: 8, skew: 12 })]
#[case(Case { name: "nearly all at one node", nodes: 8, skew: 90 })]
#[case(Case { name: "one node", nodes: 1, skew: 100 })]
fn all_nodes_together_stay_within_the_budget(#[case] case: Case) {
    let mut random = SmallRng::seed_from_u64(3);
    let mut nodes: Vec<Allowance> = (0..case.nodes).map(|_| Allowance::new(BUDGET)).collect();
    let (mut requests, mut retries) = (VecDeque::new(), VecDeque::new());
    for now in (0..60_000_u64).step_by(20) {
        let first = random.random_range(0..100) < case.skew;
        let node = if first { 0 } else { random.random_range(0..case.nodes) };
        nodes[node].record_request("s", Millis(now));
        requests.push_back(now);
        while nodes[node].take_retry("s", case.nodes, Millis(now)) {
            retries.push_back(now);
        }
        for times in [&mut requests, &mut retries] {
            while times.front().is_some_and(|at| at + BUDGET.window_ms < now) {
                times.pop_front();
            }
        }
        let allowed = BUDGET.ratio * requests.len() as f64 + BUDGET.slack;
        assert!(retries.len() as f64 <= allowed, "{}: {} at {now}", case.name, retries.len());
    }
    assert!(!retries.is_empty(), "{}", case.name);
}
