//! Slots: who gets one, who waits, who is refused.

use crosslane_coordination::slots::{Allocator, Ask, Grant, Limits};
use crosslane_state::attempt::Id;
use crosslane_state::incarnation::Incarnation;
use crosslane_state::request::{Class, Organisation};
use crosslane_state::time::Millis;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

const NOW: Millis = Millis(1_000);

/// Whether a grant came, whatever wait it tells.
fn is_granted(grant: Option<Grant>) -> bool {
    matches!(grant, Some(Grant::Granted { .. }))
}

fn id(sequence: u64) -> Id {
    Id { origin: Incarnation(1), sequence, retry_number: 0 }
}

fn ask(sequence: u64) -> Ask {
    Ask {
        attempt: id(sequence),
        class: Class::Patient,
        organisation: Organisation(sequence),
        kv_tokens: 10,
        patience: 10_000,
        lead: 0,
        hold: 1_000,
        transfer: 0,
    }
}

fn allocator(slots: u32, kv_tokens: u64) -> Allocator {
    Allocator::new(Limits { slots, kv_tokens, ahead: false })
}

struct Order {
    name: &'static str,
    waiting: Vec<Ask>,
    released_at: u64,
    first: u64,
}

#[rstest]
#[case(Order {
    name: "quick before patient",
    waiting: vec![ask(2), Ask { class: Class::Quick, ..ask(3) }],
    released_at: 10,
    first: 3,
})]
#[case(Order {
    name: "an aged patient request counts as quick, and came first",
    waiting: vec![ask(2), Ask { class: Class::Quick, patience: 20_000, ..ask(3) }],
    released_at: 6_000,
    first: 2,
})]
#[case(Order {
    name: "the earlier deadline first",
    waiting: vec![Ask { patience: 9_000, ..ask(2) }, Ask { patience: 8_000, ..ask(3) }],
    released_at: 10,
    first: 3,
})]
#[case(Order {
    name: "the organisation with fewer slots first",
    waiting: vec![
        Ask { organisation: Organisation(1), patience: 8_000, ..ask(2) },
        Ask { organisation: Organisation(7), patience: 9_000, ..ask(3) },
    ],
    released_at: 10,
    first: 3,
})]
fn order(#[case] case: Order) {
    let mut allocator = allocator(2, 0);
    let holder = |sequence| Ask { organisation: Organisation(1), ..ask(sequence) };
    assert!(is_granted(allocator.ask(holder(100), NOW)));
    assert!(is_granted(allocator.ask(holder(101), NOW)));
    for waiting in &case.waiting {
        assert_eq!(allocator.ask(*waiting, NOW), None, "{}", case.name);
    }
    let granted = allocator.release(id(100), NOW + case.released_at);
    assert_eq!(granted, [id(case.first)], "{}", case.name);
}

struct Admission {
    name: &'static str,
    slots: u32,
    kv_tokens: u64,
    ask: Ask,
    granted: Option<Grant>,
}

#[rstest]
#[case(Admission { name: "free", slots: 2, kv_tokens: 0, ask: ask(2), granted: Some(Grant::Granted { start_in: 0, wait: 1_000 }) })]
#[case(Admission { name: "full, in time", slots: 1, kv_tokens: 0, ask: ask(2), granted: None })]
#[case(Admission {
    name: "full, and the wait is longer than the patience",
    slots: 1,
    kv_tokens: 0,
    ask: Ask { patience: 500, ..ask(2) },
    granted: Some(Grant::Refused { retry_after: 1_000 }),
})]
#[case(Admission {
    name: "a slot is free, but no memory",
    slots: 2,
    kv_tokens: 15,
    ask: ask(2),
    granted: None,
})]
fn admission(#[case] case: Admission) {
    let mut allocator = allocator(case.slots, case.kv_tokens);
    assert!(is_granted(allocator.ask(ask(1), NOW)));
    assert_eq!(allocator.ask(case.ask, NOW), case.granted, "{}", case.name);
}

#[rstest]
fn gives_up_at_once_when_the_patience_is_over() {
    let mut allocator = allocator(1, 0);
    allocator.ask(Ask { hold: 10, ..ask(1) }, NOW);
    assert_eq!(allocator.ask(Ask { patience: 50, ..ask(2) }, NOW), None);
    assert_eq!(allocator.expire(NOW + 49), []);
    assert_eq!(allocator.expire(NOW + 50), [id(2)]);
    assert_eq!(allocator.release(id(1), NOW + 60), []);
}

#[rstest]
fn a_runner_that_is_down_keeps_nobody_waiting() {
    let mut allocator = allocator(1, 0);
    allocator.ask(ask(1), NOW);
    assert_eq!(allocator.ask(ask(2), NOW), None);
    allocator.answers(false);
    assert_eq!(allocator.expire(NOW), [id(2)]);
    assert!(matches!(allocator.ask(ask(3), NOW), Some(Grant::Refused { .. })));
    allocator.answers(true);
    allocator.release(id(1), NOW);
    assert!(is_granted(allocator.ask(ask(3), NOW)));
}

#[rstest]
fn a_new_owner_counts_what_the_engine_lists_until_it_lists_it_no_more() {
    let mut allocator = allocator(1, 0);
    allocator.adopt(&[id(1)], NOW);
    assert_eq!(allocator.ask(ask(2), NOW), None);
    allocator.adopt(&[], NOW + 10);
    assert_eq!(allocator.serve(NOW + 10), [id(2)]);
    // A list from before the release does not bring the attempt back.
    allocator.release(id(2), NOW + 20);
    allocator.adopt(&[id(2)], NOW + 30);
    assert!(is_granted(allocator.ask(ask(3), NOW + 30)));
}

#[rstest]
fn a_slot_granted_ahead_is_one_that_is_due() {
    let mut allocator = Allocator::new(Limits { slots: 4, kv_tokens: 0, ahead: true });
    for sequence in 0..4 {
        allocator.ask(ask(sequence), NOW);
    }
    let early = Ask { lead: 400, ..ask(10) };
    assert_eq!(allocator.ask(early, NOW + 700), None, "due in 300 ms, beyond half the lead");
    assert_eq!(allocator.serve(NOW + 850), [id(10)], "due in 150 ms");
    assert_eq!(allocator.ask(Ask { lead: 400, ..ask(11) }, NOW + 850), None, "one at a time");
}

#[rstest]
fn a_prefill_starts_so_that_it_ends_when_the_link_is_free() {
    let mut allocator = allocator(8, 0);
    let moving = |sequence| Ask { lead: 100, transfer: 300, patience: 700, ..ask(sequence) };
    let granted = |start_in| Some(Grant::Granted { start_in, wait: 0 });
    assert_eq!(allocator.ask(moving(1), NOW), granted(0), "link free");
    assert_eq!(allocator.ask(moving(2), NOW), granted(300), "behind one transfer");
    assert_eq!(allocator.ask(moving(3), NOW + 100), granted(500), "behind what is left of two");
    let refused = allocator.ask(moving(4), NOW + 100);
    assert_eq!(refused, Some(Grant::Refused { retry_after: 800 }), "too late for its target");
    assert!(is_granted(allocator.ask(ask(5), NOW + 100)), "nothing to move");
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Ask(u64, bool),
    Release(u64),
    Expire,
    Wait(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0..40u64, any::<bool>()).prop_map(|(sequence, quick)| Event::Ask(sequence, quick)),
        (0..40u64).prop_map(Event::Release),
        Just(Event::Expire),
        (1..3_000u64).prop_map(Event::Wait),
    ]
}

/// The same histories in every run.
fn config(cases: u32) -> ProptestConfig {
    ProptestConfig { cases, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config(2_000))]

    #[test]
    fn never_overfilled_and_nobody_forgotten(events in prop::collection::vec(event(), 1..120)) {
        let mut allocator = allocator(3, 0);
        let mut now = NOW;
        let mut held = std::collections::BTreeSet::new();
        let mut waiting = std::collections::BTreeSet::new();
        for event in events {
            let granted = match event {
                Event::Ask(sequence, quick) => {
                    let class = if quick { Class::Quick } else { Class::Patient };
                    let asked = id(sequence);
                    match allocator.ask(Ask { class, ..ask(sequence) }, now) {
                        Some(Grant::Granted { .. }) => { held.insert(asked); }
                        Some(_) => prop_assert!(!held.contains(&asked)),
                        None => { waiting.insert(asked); }
                    }
                    Vec::new()
                }
                Event::Release(sequence) => {
                    held.remove(&id(sequence));
                    waiting.remove(&id(sequence));
                    allocator.release(id(sequence), now)
                }
                Event::Expire => {
                    for over in allocator.expire(now) {
                        prop_assert!(waiting.remove(&over), "only a waiter is given up on");
                    }
                    allocator.serve(now)
                }
                Event::Wait(millis) => { now = now + millis; Vec::new() }
            };
            for attempt in granted {
                prop_assert!(waiting.remove(&attempt), "only a waiter is granted");
                held.insert(attempt);
            }
            prop_assert!(held.len() <= 3);
            prop_assert_eq!(allocator.report(now).busy as usize, held.len());
            prop_assert_eq!(allocator.report(now).waiting as usize, waiting.len());
            prop_assert!(waiting.is_empty() || held.len() == 3, "no free slot while one waits");
        }
    }
}
