//! The ledger: bounds, and what is said once they have been reached.

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
    Arc::new(Answer { status: 200, content_type, pieces: vec![vec![b'x'; bytes]] })
}

fn done(ledger: &mut Ledger, number: u64, bytes: usize, repeatable: bool) {
    assert_eq!(ledger.begin(&key(number), FINGERPRINT, repeatable, NOW), Begin::Run);
    ledger.finish(&key(number), End::Done(answer(bytes)), NOW);
}

struct Dropped {
    name: &'static str,
    bytes: usize,
    further: u64,
    later: u64,
    begin: Begin,
}

#[rstest]
#[case(Dropped {
    name: "kept", bytes: 10, further: 1, later: 10, begin: Begin::Replay(answer(10)),
})]
#[case(Dropped { name: "over the count", bytes: 10, further: 2, later: 10, begin: Begin::Unknown })]
#[case(Dropped { name: "over the bytes", bytes: 60, further: 1, later: 10, begin: Begin::Unknown })]
#[case(Dropped { name: "over its age", bytes: 10, further: 0, later: 1_000, begin: Begin::Unknown })]
#[case(Dropped { name: "after the window", bytes: 10, further: 0, later: 12_000, begin: Begin::Run })]
fn a_dropped_answer_is_unknown_for_the_rest_of_the_window(#[case] case: Dropped) {
    let mut ledger = Ledger::new(LIMITS);
    for number in 0..=case.further {
        done(&mut ledger, number, case.bytes, false);
    }
    ledger.trim(NOW + case.later.min(1_000));
    ledger.trim(NOW + case.later);
    let begin = ledger.begin(&key(0), FINGERPRINT, false, NOW + case.later);
    assert_eq!(begin, case.begin, "{}", case.name);
}

#[rstest]
fn a_full_ledger_refuses_what_may_not_be_repeated_and_forgets_what_may() {
    let mut ledger = Ledger::new(LIMITS);
    for number in 0..4 {
        done(&mut ledger, number, 10, false);
    }
    assert_eq!(ledger.begin(&key(9), FINGERPRINT, false, NOW), Begin::Full);
    for number in 10..20 {
        done(&mut ledger, number, 10, true);
    }
    assert_eq!(ledger.len(), 6, "two answers, and a tombstone for each that may not be repeated");
    assert_eq!(ledger.begin(&key(0), FINGERPRINT, false, NOW), Begin::Unknown);
    assert_eq!(ledger.begin(&key(10), FINGERPRINT, true, NOW), Begin::Run);
    assert_eq!(ledger.bytes(), 20);
}

struct Ended {
    name: &'static str,
    repeatable: bool,
    end: End,
    begin: Begin,
}

#[rstest]
#[case(Ended {
    name: "not run: it may be run",
    repeatable: false,
    end: End::NotRun,
    begin: Begin::Run,
})]
#[case(Ended {
    name: "unknown: not run again",
    repeatable: false,
    end: End::Unknown,
    begin: Begin::Unknown,
})]
#[case(Ended {
    name: "unknown, but it may be repeated",
    repeatable: true,
    end: End::Unknown,
    begin: Begin::Run,
})]
fn after_an_ending(#[case] case: Ended) {
    let mut ledger = Ledger::new(LIMITS);
    assert_eq!(ledger.begin(&key(1), FINGERPRINT, case.repeatable, NOW), Begin::Run);
    assert_eq!(ledger.begin(&key(1), FINGERPRINT, case.repeatable, NOW), Begin::Join);
    assert_eq!(ledger.begin(&key(1), 8, case.repeatable, NOW), Begin::Mismatch);
    ledger.finish(&key(1), case.end, NOW);
    let begin = ledger.begin(&key(1), FINGERPRINT, case.repeatable, NOW);
    assert_eq!(begin, case.begin, "{}", case.name);
}

#[rstest]
fn a_key_is_given_up_only_while_nothing_is_known() {
    let (other, third) = (Incarnation(2), Incarnation(3));
    let mut ledger = Ledger::new(LIMITS);
    assert!(ledger.release(&key(1), other, NOW));
    assert_eq!(ledger.begin(&key(1), FINGERPRINT, false, NOW), Begin::Moved(other));
    let before = ledger.releases();
    assert!(ledger.release(&key(1), third, NOW), "and to another, if it was not run");
    ledger.reclaim(&key(1), before, |node| node == third);
    assert_eq!(
        ledger.begin(&key(1), FINGERPRINT, false, NOW),
        Begin::Moved(third),
        "given up since"
    );
    ledger.reclaim(&key(1), ledger.releases(), |node| node == third);
    assert_eq!(ledger.begin(&key(1), FINGERPRINT, false, NOW), Begin::Run);
    assert!(!ledger.release(&key(1), other, NOW), "it runs");
}

#[rstest]
fn what_is_handed_over_is_answered_by_the_heir() {
    let (mut ledger, mut heir) = (Ledger::new(LIMITS), Ledger::new(LIMITS));
    done(&mut ledger, 1, 10, false);
    ledger.begin(&key(2), FINGERPRINT, false, NOW);
    ledger.finish(&key(2), End::Unknown, NOW);
    for (key, fingerprint, answer) in ledger.handover() {
        heir.adopt(&key, fingerprint, answer, NOW);
    }
    assert_eq!(heir.begin(&key(1), FINGERPRINT, false, NOW), Begin::Replay(answer(10)));
    assert_eq!(heir.begin(&key(2), FINGERPRINT, false, NOW), Begin::Unknown);
}
