//! Stages: shares of engines, only on a settled list, one order an engine.

use crosslane_coordination::pool::Pool;
use crosslane_coordination::stages::Plan;
use crosslane_state::endpoint::{Endpoint, Stage};
use crosslane_state::time::Millis;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

const SERVICE: &str = "reply";

fn engine(name: usize, stage: Stage) -> Endpoint {
    Endpoint {
        id: format!("e{name}"),
        born: 1,
        service: SERVICE.into(),
        address: ([10, 0, 0, 1], 80).into(),
        domain: "aarau".into(),
        slots: 128,
        stage,
        draining: false,
    }
}

fn pool(prefill: usize, decode: usize) -> Pool {
    let mut pool = Pool::new("aarau".into(), SmallRng::seed_from_u64(1));
    let stage = |place| if place < prefill { Stage::Prefill } else { Stage::Decode };
    let engines = (0..prefill + decode).map(|place| engine(place, stage(place)));
    pool.replace(engines.collect(), false, Millis(0));
    pool
}

struct Case {
    name: &'static str,
    prefill: usize,
    decode: usize,
    to: Option<Stage>,
    orders: usize,
}

#[rstest]
#[case(Case { name: "as wanted", prefill: 3, decode: 6, to: None, orders: 0 })]
#[case(Case { name: "one too many", prefill: 4, decode: 5, to: Some(Stage::Decode), orders: 1 })]
#[case(Case { name: "two too many", prefill: 7, decode: 11, to: Some(Stage::Decode), orders: 2 })]
#[case(Case { name: "two of eight suffice", prefill: 2, decode: 6, to: None, orders: 0 })]
#[case(Case { name: "one of eight is kept full", prefill: 1, decode: 7, to: Some(Stage::Prefill), orders: 1 })]
#[case(Case { name: "a single engine", prefill: 0, decode: 1, to: None, orders: 0 })]
fn shares(#[case] case: Case) {
    let pool = pool(case.prefill, case.decode);
    let engines = &pool.engines()[SERVICE];
    let mut plan = Plan::default();
    plan.changes(engines, Millis(0));
    let changes = plan.changes(engines, Millis(1_000));
    assert_eq!(changes.len(), case.orders, "{}", case.name);
    assert!(changes.iter().all(|change| Some(change.stage) == case.to), "{}", case.name);
}

#[rstest]
fn a_list_that_still_grows_is_not_acted_on() {
    let mut pool = pool(5, 4);
    let mut plan = Plan::default();
    for round in 1..5_usize {
        assert!(plan.changes(&pool.engines()[SERVICE], Millis(500 * round as u64)).is_empty());
        let mut engines: Vec<Endpoint> =
            pool.engines()[SERVICE].iter().map(|(_, endpoint)| (*endpoint).clone()).collect();
        engines.push(engine(10 + round, Stage::Decode));
        pool.replace(engines, false, Millis(0));
    }
    let settled = Millis(10_000);
    plan.changes(&pool.engines()[SERVICE], settled);
    assert_eq!(plan.changes(&pool.engines()[SERVICE], settled + 1_000).len(), 1);
}

#[rstest]
fn an_engine_is_not_ordered_again_while_its_order_may_be_carried_out() {
    let pool = pool(4, 5);
    let engines = &pool.engines()[SERVICE];
    let mut plan = Plan::default();
    plan.changes(engines, Millis(0));
    let change = plan.changes(engines, Millis(1_000))[0];
    plan.sent(change, Millis(1_000));
    assert!(plan.changes(engines, Millis(15_000)).is_empty());
    assert_eq!(plan.changes(engines, Millis(22_000)).len(), 1);
}

struct Uneven {
    name: &'static str,
    /// Engines that prefill and that decode, by failure domain.
    before: [(usize, usize); 3],
    prefill: [usize; 3],
}

#[rstest]
#[case(Uneven { name: "even", before: [(6, 8), (6, 8), (6, 8)], prefill: [4, 4, 3] })]
#[case(Uneven { name: "uneven", before: [(9, 5), (6, 8), (3, 11)], prefill: [4, 4, 3] })]
#[case(Uneven { name: "too few", before: [(3, 11), (1, 13), (0, 14)], prefill: [3, 2, 2] })]
fn prefilling_engines_are_kept_even_over_failure_domains(#[case] case: Uneven) {
    let domain = |place: usize| format!("domain-{place}");
    let mut engines = Vec::new();
    for (place, (prefill, decode)) in case.before.into_iter().enumerate() {
        for number in 0..prefill + decode {
            let stage = if number < prefill { Stage::Prefill } else { Stage::Decode };
            let name = place * 100 + number;
            engines.push(Endpoint { domain: domain(place), ..engine(name, stage) });
        }
    }
    let mut pool = Pool::new(domain(0), SmallRng::seed_from_u64(1));
    pool.replace(engines, false, Millis(0));
    let engines = &pool.engines()[SERVICE];
    let mut plan = Plan::default();
    plan.changes(engines, Millis(0));
    let changes = plan.changes(engines, Millis(1_000));
    let after = |place: usize| {
        let prefills = |key, stage| {
            let change = changes.iter().find(|change| change.key == key);
            change.map_or(stage, |found| found.stage) == Stage::Prefill
        };
        let there = engines.iter().filter(|(_, endpoint)| endpoint.domain == domain(place));
        there.filter(|(key, endpoint)| prefills(*key, endpoint.stage)).count()
    };
    let mut counts = [after(0), after(1), after(2)];
    counts.sort_by(|one, other| other.cmp(one));
    assert_eq!(counts, case.prefill, "{}", case.name);
}

struct Missed {
    name: &'static str,
    prefill: usize,
    decode: usize,
    /// Time since the engine went, in milliseconds.
    after: u64,
    orders: usize,
}

/// With two of eight engines prefilling, prompts waited 0.9 s in bursts while decode memory had room.
#[rstest]
#[case(Missed { name: "a crash passes", prefill: 2, decode: 6, after: 3_000, orders: 0 })]
#[case(Missed { name: "gone for good", prefill: 2, decode: 6, after: 6_000, orders: 1 })]
#[case(Missed { name: "as many as wanted", prefill: 3, decode: 5, after: 60_000, orders: 0 })]
#[case(Missed { name: "several of many", prefill: 28, decode: 112, after: 6_000, orders: 4 })]
fn prefilling_engines_that_are_missed_for_long_are_replaced(#[case] case: Missed) {
    let pool = pool(case.prefill, case.decode);
    let engines = &pool.engines()[SERVICE];
    let mut plan = Plan::default();
    plan.changes(engines, Millis(0));
    assert!(plan.changes(engines, Millis(1_000)).is_empty(), "{}", case.name);
    let changes = plan.changes(engines, Millis(case.after));
    assert_eq!(changes.len(), case.orders, "{}", case.name);
    assert!(changes.iter().all(|change| change.stage == Stage::Prefill), "{}", case.name);
}
