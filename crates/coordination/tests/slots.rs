//! Slots of a runner: which requests are granted one, queued, or refused.

use crosslane_coordination::slots::{Allocator, Decision, Limits, Request};
use crosslane_state::attempt::Id;
use crosslane_state::incarnation::Incarnation;
use crosslane_state::request::{Class, Organisation};
use crosslane_state::time::Millis;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

const NOW: Millis = Millis(1_000);

/// Whether a slot was granted, with any expected wait.
fn is_granted(decision: Option<Decision>) -> bool {
    matches!(decision, Some(Decision::Granted { .. }))
}

fn id(sequence: u64) -> Id {
    Id { origin: Incarnation(1), sequence, retry_number: 0 }
}

fn request(sequence: u64) -> Request {
    Request {
        attempt: id(sequence),
        class: Class::Patient,
        organisation: Organisation(sequence),
        kv_tokens: 10,
        max_wait_ms: 10_000,
        lead_ms: 0,
        hold_ms: 1_000,
        transfer_ms: 0,
    }
}

fn allocator(slots: u32, kv_tokens: u64) -> Allocator {
    Allocator::new(Limits { slots, kv_tokens, grant_early: false })
}

struct Order {
    name: &'static str,
    queued: Vec<Request>,
    released_at: u64,
    first: u64,
}

#[rstest]
#[case(Order {
    name: "quick before patient",
    queued: vec![request(2), Request { class: Class::Quick, ..request(3) }],
    released_at: 10,
    first: 3,
})]
#[case(Order {
    name: "a patient request that waited long counts as quick and goes first",
    queued: vec![request(2), Request { class: Class::Quick, max_wait_ms: 20_000, ..request(3) }],
    released_at: 6_000,
    first: 2,
})]
#[case(Order {
    name: "the earlier deadline first",
    queued: vec![Request { max_wait_ms: 9_000, ..request(2) }, Request { max_wait_ms: 8_000, ..request(3) }],
    released_at: 10,
    first: 3,
})]
#[case(Order {
    name: "the organisation with fewer slots first",
    queued: vec![
        Request { organisation: Organisation(1), max_wait_ms: 8_000, ..request(2) },
        Request { organisation: Organisation(7), max_wait_ms: 9_000, ..request(3) },
    ],
    released_at: 10,
    first: 3,
})]
fn order(#[case] case: Order) {
    let mut allocator = allocator(2, 0);
    let holder = |sequence| Request { organisation: Organisation(1), ..request(sequence) };
    assert!(is_granted(allocator.request_slot(holder(100), NOW)));
    assert!(is_granted(allocator.request_slot(holder(101), NOW)));
    for waiting in &case.queued {
        assert_eq!(allocator.request_slot(*waiting, NOW), None, "{}", case.name);
    }
    let granted = allocator.release(id(100), NOW + case.released_at);
    assert_eq!(granted, [id(case.first)], "{}", case.name);
}

struct Admission {
    name: &'static str,
    slots: u32,
    kv_tokens: u64,
    request: Request,
    answer: Option<Decision>,
}

#[rstest]
#[case(Admission { name: "free", slots: 2, kv_tokens: 0, request: request(2), answer: Some(Decision::Granted { start_in_ms: 0, wait_ms: 1_000 }) })]
#[case(Admission { name: "full, with a wait shorter than the limit", slots: 1, kv_tokens: 0, request: request(2), answer: None })]
#[case(Admission {
    name: "full, with a wait longer than the limit",
    slots: 1,
    kv_tokens: 0,
    request: Request { max_wait_ms: 500, ..request(2) },
    answer: Some(Decision::Refused { retry_after: 1_000 }),
})]
#[case(Admission {
    name: "a slot is free, but not enough memory",
    slots: 2,
    kv_tokens: 15,
    request: request(2),
    answer: None,
})]
fn admission(#[case] case: Admission) {
    let mut allocator = allocator(case.slots, case.kv_tokens);
    assert!(is_granted(allocator.request_slot(request(1), NOW)));
    assert_eq!(allocator.request_slot(case.request, NOW), case.answer, "{}", case.name);
}

#[rstest]
fn a_waiting_request_expires_at_its_deadline() {
    let mut allocator = allocator(1, 0);
    allocator.request_slot(Request { hold_ms: 10, ..request(1) }, NOW);
    assert_eq!(allocator.request_slot(Request { max_wait_ms: 50, ..request(2) }, NOW), None);
    assert_eq!(allocator.expire(NOW + 49), []);
    assert_eq!(allocator.expire(NOW + 50), [id(2)]);
    assert_eq!(allocator.release(id(1), NOW + 60), []);
}

#[rstest]
fn a_runner_that_is_down_has_no_waiting_requests() {
    let mut allocator = allocator(1, 0);
    allocator.request_slot(request(1), NOW);
    assert_eq!(allocator.request_slot(request(2), NOW), None);
    allocator.set_responsive(false);
    assert_eq!(allocator.expire(NOW), [id(2)]);
    assert!(matches!(allocator.request_slot(request(3), NOW), Some(Decision::Refused { .. })));
    allocator.set_responsive(true);
    allocator.release(id(1), NOW);
    assert!(is_granted(allocator.request_slot(request(3), NOW)));
}

#[rstest]
fn a_new_owner_adopts_attempts_while_the_engine_lists_them() {
    let mut allocator = allocator(1, 0);
    allocator.adopt(&[id(1)], NOW);
    assert_eq!(allocator.request_slot(request(2), NOW), None);
    allocator.adopt(&[], NOW + 10);
    assert_eq!(allocator.grant_waiting(NOW + 10), [id(2)]);
    // A list requested before the release does not restore the attempt.
    allocator.release(id(2), NOW + 20);
    allocator.adopt(&[id(2)], NOW + 30);
    assert!(is_granted(allocator.request_slot(request(3), NOW + 30)));
}

#[rstest]
fn a_slot_is_granted_early_only_if_a_release_is_due() {
    let mut allocator = Allocator::new(Limits { slots: 4, kv_tokens: 0, grant_early: true });
    for sequence in 0..4 {
        allocator.request_slot(request(sequence), NOW);
    }
    let early = Request { lead_ms: 400, ..request(10) };
    assert_eq!(
        allocator.request_slot(early, NOW + 700),
        None,
        "release due in 300 ms, later than half the lead time"
    );
    assert_eq!(allocator.grant_waiting(NOW + 850), [id(10)], "release due in 150 ms");
    assert_eq!(
        allocator.request_slot(Request { lead_ms: 400, ..request(11) }, NOW + 850),
        None,
        "only one release is due"
    );
}

#[rstest]
fn a_prefill_is_delayed_to_end_when_the_link_is_free() {
    let mut allocator = allocator(8, 0);
    let with_transfer = |sequence| Request {
        lead_ms: 100,
        transfer_ms: 300,
        max_wait_ms: 700,
        ..request(sequence)
    };
    let granted = |start_in_ms| Some(Decision::Granted { start_in_ms, wait_ms: 0 });
    assert_eq!(allocator.request_slot(with_transfer(1), NOW), granted(0), "link is free");
    assert_eq!(allocator.request_slot(with_transfer(2), NOW), granted(300), "behind one transfer");
    assert_eq!(
        allocator.request_slot(with_transfer(3), NOW + 100),
        granted(500),
        "behind the rest of two transfers"
    );
    let refused = allocator.request_slot(with_transfer(4), NOW + 100);
    assert_eq!(refused, Some(Decision::Refused { retry_after: 800 }), "the wait exceeds its limit");
    assert!(is_granted(allocator.request_slot(request(5), NOW + 100)), "no transfer");
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

/// Fixed seed, so that every run plays the same histories.
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
                    let attempt = id(sequence);
                    match allocator.request_slot(Request { class, ..request(sequence) }, now) {
                        Some(Decision::Granted { .. }) => { held.insert(attempt); }
                        Some(_) => prop_assert!(!held.contains(&attempt)),
                        None => { waiting.insert(attempt); }
                    }
                    Vec::new()
                }
                Event::Release(sequence) => {
                    held.remove(&id(sequence));
                    waiting.remove(&id(sequence));
                    allocator.release(id(sequence), now)
                }
                Event::Expire => {
                    for expired in allocator.expire(now) {
                        prop_assert!(waiting.remove(&expired), "only waiting requests expire");
                    }
                    allocator.grant_waiting(now)
                }
                Event::Wait(millis) => { now = now + millis; Vec::new() }
            };
            for attempt in granted {
                prop_assert!(waiting.remove(&attempt), "only waiting requests are granted");
                held.insert(attempt);
            }
            prop_assert!(held.len() <= 3);
            prop_assert_eq!(allocator.report(now).busy as usize, held.len());
            prop_assert_eq!(allocator.report(now).waiting as usize, waiting.len());
            prop_assert!(waiting.is_empty() || held.len() == 3, "no slot is free while a request waits");
        }
    }
}
