//! All nodes together grant a limit once, however late, lost or cut off their messages are.
//!
//! Guards against usage of 1.01 to 1.12 times what is tolerated, where deputies granted the whole limit beside an owner that
//! replied late. `CROSSLANE_SEEDS` plays more seeds.

#[path = "votes/fleet.rs"]
mod fleet;

use crosslane_state::organisation::Limit;
use fleet::{Case, Fault, Way, play, ranks_agree};
use rstest::rstest;

const SMALL: Limit = Limit { units_per_second: 36_000.0, burst: 36_000.0 };
const LARGE: Limit = Limit { units_per_second: 240_000.0, burst: 240_000.0 };
const DEFAULT_SEEDS: u64 = 3;

fn seeds() -> u64 {
    std::env::var("CROSSLANE_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_SEEDS)
}

/// Worst outcome over some seeds.
fn worst(case: &Case, way: Way, nodes: usize, limit: Limit, seeds: u64) -> (f64, f64) {
    let outcomes = (0..seeds).map(|seed| play(case, way, nodes, limit, seed));
    let (mut most, mut refused) = (0.0_f64, 0.0);
    for outcome in outcomes {
        most = most.max(outcome.most);
        refused += outcome.refused / seeds as f64;
    }
    (most, refused)
}

#[rstest]
#[case(Case { name: "calm", fault: Fault::None, load: 0.56 })]
#[case(Case { name: "overload", fault: Fault::None, load: 3.0 })]
#[case(Case { name: "owner 30 ms late", fault: Fault::Late { from_ms: 30, to_ms: 0 }, load: 3.0 })]
#[case(Case { name: "owner 60 ms late", fault: Fault::Late { from_ms: 60, to_ms: 0 }, load: 3.0 })]
#[case(Case { name: "owner 60 ms late at the usual load", fault: Fault::Late { from_ms: 60, to_ms: 0 }, load: 0.56 })]
#[case(Case { name: "owner 200 ms late both ways", fault: Fault::Late { from_ms: 200, to_ms: 200 }, load: 3.0 })]
#[case(Case { name: "owner 3 s late", fault: Fault::Late { from_ms: 3_000, to_ms: 0 }, load: 3.0 })]
#[case(Case { name: "owner 3 s late inwards", fault: Fault::Late { from_ms: 0, to_ms: 3_000 }, load: 3.0 })]
#[case(Case { name: "a third of the messages late", fault: Fault::SomeLate { share: 0.3, by_ms: 200 }, load: 3.0 })]
#[case(Case { name: "a tenth of the messages lost", fault: Fault::Lossy { share: 0.1 }, load: 3.0 })]
#[case(Case { name: "owners paused in turn", fault: Fault::PausedInTurn { for_ms: 3_000 }, load: 3.0 })]
#[case(Case { name: "owner restarts", fault: Fault::Restarts { after_ms: 1_000 }, load: 3.0 })]
#[case(Case { name: "owner restarts at the usual load", fault: Fault::Restarts { after_ms: 1_000 }, load: 0.56 })]
#[case(Case { name: "owner ends at the usual load", fault: Fault::Restarts { after_ms: 60_000 }, load: 0.56 })]
#[case(Case { name: "all restart", fault: Fault::AllRestart, load: 0.56 })]
#[case(Case { name: "all restart under overload", fault: Fault::AllRestart, load: 3.0 })]
#[case(Case { name: "a third cut off", fault: Fault::Cut { share: 0.33 }, load: 3.0 })]
#[case(Case { name: "a third cut off at the usual load", fault: Fault::Cut { share: 0.33 }, load: 0.56 })]
fn a_limit_is_granted_once(#[case] case: Case, #[values(8, 91, 780)] nodes: usize) {
    for (size, limit) in [("small", SMALL), ("large", LARGE)] {
        let (most, refused) = worst(&case, Way::Votes, nodes, limit, seeds());
        let name = case.name;
        println!("{name}, {nodes} nodes, {size}: most {most:.3}, refused {refused:.4}");
        assert!(most <= 1.0, "{name}, {nodes} nodes, {size}: {most}");
    }
}

/// What the former ways do with the same load; they are not bounded.
#[rstest]
#[case(Case { name: "owner 60 ms late", fault: Fault::Late { from_ms: 60, to_ms: 0 }, load: 3.0 }, Way::Failover)]
#[case(Case { name: "owners paused in turn", fault: Fault::PausedInTurn { for_ms: 3_000 }, load: 3.0 }, Way::Quarter)]
fn former_ways_grant_a_limit_more_than_once(#[case] case: Case, #[case] way: Way) {
    let (most, refused) = worst(&case, way, 91, LARGE, seeds());
    println!("{} {way:?}: most {most:.3}, refused {refused:.4}", case.name);
    assert!(way == Way::Quarter || most > 1.0, "{}: {most}", case.name);
}

#[rstest]
fn votes_follow_the_rank_of_owners(#[values(2, 8, 91)] nodes: usize) {
    assert!(ranks_agree(nodes));
}
