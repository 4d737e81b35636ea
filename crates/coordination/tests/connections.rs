//! Leases of connections: how many a node asks for, keeps and gives back.

use crosslane_coordination::connections::{Leases, Use};
use crosslane_state::time::Millis;
use rstest::rstest;

/// Even share of the node.
const SHARE: u32 = 3;

struct Step {
    now: u64,
    usage: Use,
    expired: usize,
    unneeded: usize,
    missing: u32,
}

const fn step(now: u64, mean: f64, most: u32) -> Step {
    Step { now, usage: Use { mean, most }, expired: 0, unneeded: 0, missing: 0 }
}

struct Case {
    name: &'static str,
    steps: Vec<Step>,
}

/// All that is asked for is granted.
#[rstest]
#[case(Case { name: "within the even share", steps: vec![step(0, 1.5, 3), step(250, 0.0, 0)] })]
#[case(Case { name: "grows with its use", steps: vec![
    Step { missing: 3, ..step(0, 3.0, 3) },
    Step { missing: 6, ..step(250, 6.0, 6) },
    step(500, 6.0, 9),
] })]
#[case(Case { name: "given back once no recent need and no request is above", steps: vec![
    Step { missing: 7, ..step(0, 5.0, 3) },
    step(250, 0.0, 10),
    step(500, 0.0, 9),
    step(750, 0.0, 9),
    Step { unneeded: 1, ..step(1_000, 0.0, 9) },
    Step { unneeded: 6, ..step(1_250, 0.0, 2) },
] })]
#[case(Case { name: "replaced before their end", steps: vec![
    Step { missing: 3, ..step(0, 3.0, 3) },
    Step { missing: 3, ..step(5_000, 3.0, 6) },
    Step { unneeded: 3, ..step(5_250, 3.0, 6) },
] })]
#[case(Case { name: "their time is over", steps: vec![
    Step { missing: 3, ..step(0, 3.0, 3) },
    Step { expired: 3, missing: 3, ..step(6_000, 3.0, 6) },
] })]
fn leases_follow_the_use_of_the_endpoints(#[case] case: Case) {
    let mut leases = Leases::default();
    for Step { now, usage, expired, unneeded, missing } in &case.steps {
        let plan = leases.plan(*usage, SHARE, Millis(*now));
        let planned = (plan.expired.len(), plan.unneeded.len(), plan.missing);
        assert_eq!(planned, (*expired, *unneeded, *missing), "{} at {now}", case.name);
        (0..*missing).for_each(|_| leases.add((), Millis(*now)));
    }
}
