//! Admission: who counts as late, and how long and up to which load each waits.

use crosslane_coordination::admission::{self, Caller, Patience, Standing};
use crosslane_coordination::reader::{Kept, Reader};
use crosslane_state::time::Millis;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const FIRST_TRY: Caller = Caller { target: 900, silence: 3_600, spent: 0, resumes: false };

struct Case {
    name: &'static str,
    caller: Caller,
    standing: Standing,
    wait: u64,
}

#[rstest]
#[case(Case { name: "first try", caller: FIRST_TRY, standing: Standing::OnTime, wait: 450 })]
#[case(Case {
    name: "lost a packet",
    caller: Caller { spent: 200, ..FIRST_TRY },
    standing: Standing::OnTime,
    wait: 450,
})]
#[case(Case {
    name: "refused before",
    caller: Caller { spent: 2_300, ..FIRST_TRY },
    standing: Standing::Late,
    wait: 2_880,
})]
#[case(Case {
    name: "takes up a stream",
    caller: Caller { resumes: true, ..FIRST_TRY },
    standing: Standing::Resumed,
    wait: 2_880,
})]
#[case(Case {
    name: "late, with a long target",
    caller: Caller { target: 5_000, silence: 20_000, spent: 6_000, resumes: false },
    standing: Standing::Late,
    wait: 16_000,
})]
fn standing(#[case] case: Case) {
    let standing = Standing::from(&case.caller);
    assert_eq!(standing, case.standing, "{}", case.name);
    assert_eq!(standing.wait(&case.caller), case.wait, "{}", case.name);
}

#[rstest]
fn the_late_leave_room_to_those_on_time_and_those_who_were_cut_off() {
    assert!(Standing::Late.full() < Standing::Resumed.full());
    assert!(Standing::Resumed.full() < Standing::OnTime.full());
}

#[rstest]
fn a_resumed_stream_waits_less_than_its_caller() {
    assert_eq!(admission::resume_wait(&FIRST_TRY), 1_800);
}

struct Told {
    name: &'static str,
    /// Time and patience of each caller.
    callers: &'static [(u64, u64)],
    /// Time that the last one spent.
    spent: u64,
}

#[rstest]
#[case(Told { name: "the first", callers: &[(0, 9_000)], spent: 0 })]
#[case(Told { name: "a second try", callers: &[(0, 14_000), (10, 11_000)], spent: 3_000 })]
#[case(Told { name: "longest first seen", callers: &[(0, 11_000), (10, 14_000)], spent: 0 })]
#[case(Told {
    name: "remembered over a period",
    callers: &[(0, 14_000), (12_000, 13_000), (12_500, 11_000)],
    spent: 3_000,
})]
#[case(Told {
    name: "callers who have become shorter",
    callers: &[(0, 14_000), (12_000, 9_000), (23_000, 9_000)],
    spent: 0,
})]
#[case(Told { name: "after a calm", callers: &[(0, 14_000), (60_000, 9_000)], spent: 0 })]
fn patience(#[case] case: Told) {
    let mut patience = Patience::default();
    let spent = case.callers.iter().map(|(at, told)| patience.spent(*told, Millis(*at))).last();
    assert_eq!(spent, Some(case.spent), "{}", case.name);
}

/// First tries of callers whose patience differs by 15 in 100, and one in six that comes back after 3 s.
#[rstest]
fn callers_of_different_patience_are_not_taken_for_late() {
    let mut random = SmallRng::seed_from_u64(5);
    let mut patience = Patience::default();
    let (mut wronged, mut found, mut first, mut back) = (0, 0, 0, 0);
    for now in (0..600_000).step_by(500) {
        let whole = random.random_range(11_900..=16_100);
        let comes_back = random.random_bool(1.0 / 6.0);
        let told = if comes_back { whole - 3_000 } else { whole };
        let late = patience.spent(told, Millis(now)) > 0;
        if now < 10_000 {
            continue;
        }
        if comes_back {
            back += 1;
            found += u32::from(late);
        } else {
            first += 1;
            wronged += u32::from(late);
        }
    }
    assert!(wronged * 20 < first, "{wronged} of {first}");
    assert!(found * 3 > back, "{found} of {back}");
}

struct Read {
    name: &'static str,
    kept: Kept,
    queue: Option<f64>,
    reader: Reader,
}

#[rstest]
#[case(Read {
    name: "usual",
    kept: Kept::Nowhere,
    queue: Some(0.2),
    reader: Reader::Prefilling,
})]
#[case(Read {
    name: "kept where it will run",
    kept: Kept::Decoding,
    queue: Some(0.0),
    reader: Reader::Decoding,
})]
#[case(Read {
    name: "kept where it was read, behind a queue",
    kept: Kept::Prefilling,
    queue: Some(0.9),
    reader: Reader::Prefilling,
})]
#[case(Read {
    name: "long queue",
    kept: Kept::Nowhere,
    queue: Some(0.6),
    reader: Reader::Decoding,
})]
#[case(Read {
    name: "nobody prefills",
    kept: Kept::Nowhere,
    queue: None,
    reader: Reader::Decoding,
})]
fn reader(#[case] case: Read) {
    assert_eq!(Reader::choose(case.kept, case.queue, 3), case.reader, "{}", case.name);
}

struct Queued {
    name: &'static str,
    engines: usize,
    queue: f64,
    reader: Reader,
}

/// The shortest of many queues is long only when all prefilling engines are busy.
#[rstest]
#[case(Queued { name: "a few engines, a burst that passes", engines: 3, queue: 0.3, reader: Reader::Prefilling })]
#[case(Queued { name: "many engines, all busy", engines: 11, queue: 0.3, reader: Reader::Decoding })]
#[case(Queued { name: "many engines, one nearly idle", engines: 11, queue: 0.1, reader: Reader::Prefilling })]
#[case(Queued { name: "no queue is shorter than a prompt's own reading", engines: 500, queue: 0.1, reader: Reader::Prefilling })]
#[case(Queued { name: "a single engine", engines: 1, queue: 0.6, reader: Reader::Decoding })]
#[case(Queued { name: "none is usable any more", engines: 0, queue: 0.3, reader: Reader::Prefilling })]
fn the_reader_by_how_many_prefill(#[case] case: Queued) {
    let reader = Reader::choose(Kept::Nowhere, Some(case.queue), case.engines);
    assert_eq!(reader, case.reader, "{}", case.name);
}
