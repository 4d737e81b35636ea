//! Limits that endpoints name in answers that overtake each other, and their exchange between
//! nodes.

use crosslane_coordination::limits::{self, Change, Limits, Queues, Update};
use crosslane_state::endpoint::Tag;
use crosslane_state::rate::Rate;
use crosslane_state::time::Millis;
use proptest::prelude::*;
use rstest::rstest;

const ENDPOINT: Tag = Tag(7);

fn rate(figure: f64) -> Option<Rate> {
    Some(Rate::try_from(figure).unwrap())
}

struct Case {
    name: &'static str,
    /// Limits in earlier answers, with the times at which each request was sent and answered.
    before: &'static [(Option<f64>, u64, u64)],
    /// The next answer.
    next: (Option<f64>, u64, u64),
    /// Whether its limit is applied.
    applies: bool,
}

#[rstest]
#[case(Case { name: "first", before: &[], next: (Some(3.0), 10, 20), applies: true })]
#[case(Case { name: "none yet", before: &[], next: (None, 10, 20), applies: false })]
#[case(Case { name: "the same", before: &[(Some(3.0), 10, 20)], next: (Some(3.0), 30, 40), applies: false })]
#[case(Case { name: "lower, sent before", before: &[(Some(3.0), 10, 20)], next: (Some(2.0), 5, 40), applies: true })]
#[case(Case { name: "higher, sent before", before: &[(Some(3.0), 10, 20)], next: (Some(4.0), 15, 40), applies: false })]
#[case(Case { name: "higher, sent since", before: &[(Some(3.0), 10, 20)], next: (Some(4.0), 25, 40), applies: true })]
#[case(Case { name: "none, sent before", before: &[(Some(3.0), 10, 20)], next: (None, 20, 40), applies: false })]
#[case(Case { name: "none, sent since", before: &[(Some(3.0), 10, 20)], next: (None, 21, 40), applies: true })]
#[case(Case { name: "zero", before: &[(Some(3.0), 10, 20)], next: (Some(0.0), 5, 40), applies: true })]
fn limits_in_overtaking_answers(#[case] case: Case) {
    let mut limits = Limits::default();
    let mut last = None;
    for (named, sent, answered) in case.before {
        last = named.and_then(rate);
        limits.observe(ENDPOINT, last, Millis(*sent), Millis(*answered));
    }
    let (named, sent, answered) = case.next;
    let named = named.and_then(rate);
    let change = limits.observe(ENDPOINT, named, Millis(sent), Millis(answered));
    let expected = case.applies.then_some(Change { previous: last, rate: named });
    assert_eq!(change, expected, "{}", case.name);
}

fn update() -> impl Strategy<Value = (Tag, Update)> {
    let rate =
        prop::option::of((0_u32..4).prop_map(|figure| Rate::try_from(f64::from(figure)).unwrap()));
    (0_u64..3, 1_u64..4, rate)
        .prop_map(|(endpoint, revision, rate)| (Tag(endpoint), Update { revision, rate }))
}

proptest! {
    #[test]
    fn nodes_with_the_same_updates_converge(
        updates in prop::collection::vec(update(), 0..12),
        seed in any::<u64>(),
    ) {
        use rand::SeedableRng;
        use rand::seq::SliceRandom;
        let replay = |updates: &[(Tag, Update)]| {
            let mut limits = Limits::default();
            for (endpoint, update) in updates {
                limits.apply(*endpoint, *update, Millis(0));
            }
            limits
        };
        let mut other = updates.clone();
        other.shuffle(&mut rand::rngs::SmallRng::seed_from_u64(seed));
        let (one, other) = (replay(&updates), replay(&other));
        prop_assert_eq!(one.digest(), other.digest());
        for (endpoint, _) in updates {
            prop_assert_eq!(one.latest(endpoint), other.latest(endpoint));
        }
    }
}

#[rstest]
fn a_node_that_missed_a_change_gets_it_from_another_one() {
    let (mut one, mut other) = (Limits::default(), Limits::default());
    one.observe(ENDPOINT, rate(3.0), Millis(1), Millis(2));
    assert_ne!(one.digest(), other.digest());
    for (endpoint, update) in one.snapshot() {
        other.apply(endpoint, update, Millis(5));
    }
    assert_eq!((other.rate(ENDPOINT), one.digest()), (rate(3.0), other.digest()));
    one.observe(ENDPOINT, None, Millis(10), Millis(11));
    for (endpoint, update) in one.snapshot() {
        other.apply(endpoint, update, Millis(12));
    }
    assert_eq!((other.rate(ENDPOINT), other.digest()), (None, 0));
    // A limit that was named before the end does not come back.
    assert_eq!(other.apply(ENDPOINT, Update { revision: 1, rate: rate(3.0) }, Millis(13)), None);
}

#[rstest]
fn begins_and_ends_go_to_all_nodes_and_rates_to_owners() {
    let mut limits = Limits::default();
    limits.observe(ENDPOINT, rate(3.0), Millis(1), Millis(2));
    let outbox = limits.take_outbox();
    assert_eq!((outbox.all.len(), outbox.owners.len()), (1, 0));
    limits.observe(ENDPOINT, rate(2.0), Millis(3), Millis(4));
    let outbox = limits.take_outbox();
    assert_eq!((outbox.all.len(), outbox.owners.len()), (0, 1));
    let outbox = limits.take_outbox();
    assert_eq!((outbox.all.len(), outbox.owners.len()), (0, 0));
}

#[rstest]
fn an_endpoint_that_stays_unlisted_is_dropped() {
    let mut limits = Limits::default();
    limits.observe(ENDPOINT, rate(3.0), Millis(1), Millis(2));
    limits.expire(|_| false, Millis(5_000));
    assert_eq!(limits.rate(ENDPOINT), rate(3.0));
    limits.expire(|endpoint| endpoint == ENDPOINT, Millis(60_000));
    assert_eq!(limits.rate(ENDPOINT), rate(3.0));
    limits.expire(|_| false, Millis(60_000));
    assert_eq!(limits.rate(ENDPOINT), None);
}

struct Used {
    named: f64,
    used: f64,
}

#[rstest]
#[case(Used { named: 3.0, used: 3.0 })]
#[case(Used { named: 0.1, used: 0.1 })]
#[case(Used { named: 0.001, used: 0.02 })]
#[case(Used { named: 0.0, used: 0.1 })]
fn very_low_limits_are_raised_to_a_probe_rate(#[case] case: Used) {
    let limit = limits::fleet_limit(Rate::try_from(case.named).unwrap());
    assert_eq!(limit.units_per_second, case.used);
}

#[rstest]
fn refused_requests_queue_behind_each_other() {
    let mut queues = Queues::default();
    let mut join = |now| queues.join(ENDPOINT, 2.0, 500, Millis(now));
    assert_eq!([join(0), join(0), join(0)], [500, 1_000, 1_500]);
    // Two of three were served meanwhile.
    assert_eq!(join(1_000), 1_000);
    assert!((0..100).map(|_| join(1_000)).all(|wait| wait <= 10_000));
}
