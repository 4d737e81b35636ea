//! Ledger of idempotency records: its bounds, and the answers once they are reached.

use crosslane_coordination::ledger::{Begin, End, Ledger, Limits};
use crosslane_state::answer::Answer;
use crosslane_state::incarnation::Incarnation;
use crosslane_state::request::Key;
use crosslane_state::time::Millis;
use rstest::rstest;
use std::sync::Arc;

const NOW: Millis = Millis(1_000);
const FINGERPRINT: u64 = 7;
const LIMITS: Limits =
    Limits { answers: 2, bytes: 100, answer_millis: 1_000, tombstones: 2, window_millis: 10_000 };

fn key(number: u64) -> Key {
    Key::try_from(format!("key-{number}").as_str()).unwrap()
}

fn answer(bytes: usize) -> Arc<Answer> {
    let content_type = "text/plain".to_owned();
    Arc::new(Answer { status: 200, content_type, chunks: vec![vec![b'x'; bytes]] })
}

fn complete(ledger: &mut Ledger, number: u64, bytes: usize, repeatable: bool) {
    assert_eq!(ledger.begin(&key(number), FINGERPRINT, repeatable, NOW), Begin::Run);
    ledger.finish(&key(number), End::Done(answer(bytes)), NOW);
}

struct Eviction {
    name: &'static str,
    bytes: usize,
    more_requests: u64,
    elapsed_ms: u64,
    begin: Begin,
}

#[rstest]
#[case(Eviction {
    name: "within the bounds", bytes: 10, more_requests: 1, elapsed_ms: 10, begin: Begin::Replay(answer(10)),
})]
#[case(Eviction { name: "over the count limit", bytes: 10, more_requests: 2, elapsed_ms: 10, begin: Begin::Unknown })]
#[case(Eviction { name: "over the byte limit", bytes: 60, more_requests: 1, elapsed_ms: 10, begin: Begin::Unknown })]
#[case(Eviction { name: "over the age limit", bytes: 10, more_requests: 0, elapsed_ms: 1_000, begin: Begin::Unknown })]
#[case(Eviction { name: "after the window", bytes: 10, more_requests: 0, elapsed_ms: 12_000, begin: Begin::Run })]
fn an_evicted_answer_is_unknown_for_the_rest_of_the_window(#[case] case: Eviction) {
    let mut ledger = Ledger::new(LIMITS);
    for number in 0..=case.more_requests {
        complete(&mut ledger, number, case.bytes, false);
    }
    ledger.evict(NOW + case.elapsed_ms.min(1_000));
    ledger.evict(NOW + case.elapsed_ms);
    let begin = ledger.begin(&key(0), FINGERPRINT, false, NOW + case.elapsed_ms);
    assert_eq!(begin, case.begin, "{}", case.name);
}

#[rstest]
fn a_full_ledger_refuses_unrepeatable_requests_and_forgets_repeatable_ones() {
    let mut ledger = Ledger::new(LIMITS);
    for number in 0..4 {
        complete(&mut ledger, number, 10, false);
    }
    assert_eq!(ledger.begin(&key(9), FINGERPRINT, false, NOW), Begin::Full);
    for number in 10..20 {
        complete(&mut ledger, number, 10, true);
    }
    assert_eq!(ledger.len(), 6, "two answers and a tombstone for each unrepeatable request");
    assert_eq!(ledger.begin(&key(0), FINGERPRINT, false, NOW), Begin::Unknown);
    assert_eq!(ledger.begin(&key(10), FINGERPRINT, true, NOW), Begin::Run);
    assert_eq!(ledger.bytes(), 20);
}

struct Ending {
    name: &'static str,
    repeatable: bool,
    end: End,
    begin: Begin,
}

#[rstest]
#[case(Ending {
    name: "not run: may be run",
    repeatable: false,
    end: End::NotRun,
    begin: Begin::Run,
})]
#[case(Ending {
    name: "unknown: not run again",
    repeatable: false,
    end: End::Unknown,
    begin: Begin::Unknown,
})]
#[case(Ending {
    name: "unknown, but repeatable: may be run again",
    repeatable: true,
    end: End::Unknown,
    begin: Begin::Run,
})]
fn begin_after_a_run_ended(#[case] case: Ending) {
    let mut ledger = Ledger::new(LIMITS);
    assert_eq!(ledger.begin(&key(1), FINGERPRINT, case.repeatable, NOW), Begin::Run);
    assert_eq!(ledger.begin(&key(1), FINGERPRINT, case.repeatable, NOW), Begin::Join);
    assert_eq!(ledger.begin(&key(1), 8, case.repeatable, NOW), Begin::Mismatch);
    ledger.finish(&key(1), case.end, NOW);
    let begin = ledger.begin(&key(1), FINGERPRINT, case.repeatable, NOW);
    assert_eq!(begin, case.begin, "{}", case.name);
}

#[rstest]
fn a_key_is_released_only_while_it_is_unknown() {
    let (other, third) = (Incarnation(2), Incarnation(3));
    let mut ledger = Ledger::new(LIMITS);
    assert!(ledger.release(&key(1), other, NOW));
    assert_eq!(ledger.begin(&key(1), FINGERPRINT, false, NOW), Begin::Moved(other));
    let before = ledger.release_count();
    assert!(ledger.release(&key(1), third, NOW), "released to another node, as it was not run");
    ledger.reclaim(&key(1), before, |node| node == third);
    assert_eq!(
        ledger.begin(&key(1), FINGERPRINT, false, NOW),
        Begin::Moved(third),
        "a release after the mark stays"
    );
    ledger.reclaim(&key(1), ledger.release_count(), |node| node == third);
    assert_eq!(ledger.begin(&key(1), FINGERPRINT, false, NOW), Begin::Run);
    assert!(!ledger.release(&key(1), other, NOW), "it is running");
}

#[rstest]
fn the_successor_answers_for_records_handed_over() {
    let (mut ledger, mut successor) = (Ledger::new(LIMITS), Ledger::new(LIMITS));
    complete(&mut ledger, 1, 10, false);
    ledger.begin(&key(2), FINGERPRINT, false, NOW);
    ledger.finish(&key(2), End::Unknown, NOW);
    for (key, fingerprint, answer) in ledger.handover() {
        successor.adopt(&key, fingerprint, answer, NOW);
    }
    assert_eq!(successor.begin(&key(1), FINGERPRINT, false, NOW), Begin::Replay(answer(10)));
    assert_eq!(successor.begin(&key(2), FINGERPRINT, false, NOW), Begin::Unknown);
}
