//! Admission: which callers count as late, and the longest wait and utilization limit of each class.

use crosslane_coordination::admission::{self, Caller, Timeliness, Timeouts};
use crosslane_coordination::prefiller::{KvCache, Prefiller};
use crosslane_state::time::Millis;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const FIRST_TRY: Caller =
    Caller { target_ms: 900, max_silence_ms: 3_600, spent_ms: 0, resumes: false };

struct Case {
    name: &'static str,
    caller: Caller,
    timeliness: Timeliness,
    wait: u64,
}

#[rstest]
#[case(Case { name: "first try", caller: FIRST_TRY, timeliness: Timeliness::OnTime, wait: 450 })]
#[case(Case {
    name: "lost a packet",
    caller: Caller { spent_ms: 200, ..FIRST_TRY },
    timeliness: Timeliness::OnTime,
    wait: 450,
})]
#[case(Case {
    name: "retry after a refusal",
    caller: Caller { spent_ms: 2_300, ..FIRST_TRY },
    timeliness: Timeliness::Late,
    wait: 2_880,
})]
#[case(Case {
    name: "resumes a stream",
    caller: Caller { resumes: true, ..FIRST_TRY },
    timeliness: Timeliness::Resumed,
    wait: 2_880,
})]
#[case(Case {
    name: "late, with a long target",
    caller: Caller { target_ms: 5_000, max_silence_ms: 20_000, spent_ms: 6_000, resumes: false },
    timeliness: Timeliness::Late,
    wait: 16_000,
})]
fn timeliness(#[case] case: Case) {
    let timeliness = Timeliness::from(&case.caller);
    assert_eq!(timeliness, case.timeliness, "{}", case.name);
    assert_eq!(timeliness.max_wait_ms(&case.caller), case.wait, "{}", case.name);
}

#[rstest]
fn late_callers_have_the_lowest_utilization_limit() {
    let limit = |timeliness: Timeliness| timeliness.max_utilization(false);
    assert!(limit(Timeliness::Late) < limit(Timeliness::Resumed));
    assert!(limit(Timeliness::Resumed) < limit(Timeliness::OnTime));
}

/// Few engines run the version that began its stream, and new streams fill them as they fill all others.
#[rstest]
fn a_stream_that_can_go_on_at_some_engines_only_is_not_kept_from_their_memory() {
    let limit = |timeliness: Timeliness| timeliness.max_utilization(true);
    assert!(limit(Timeliness::Resumed) >= limit(Timeliness::OnTime));
    assert!(limit(Timeliness::Late) < limit(Timeliness::OnTime));
}

#[rstest]
fn a_resume_waits_for_half_of_the_silence_timeout() {
    assert_eq!(admission::resume_wait_ms(&FIRST_TRY), 1_800);
}

struct History {
    name: &'static str,
    /// Arrival time and timeout of each caller, in milliseconds.
    callers: &'static [(u64, u64)],
    /// Expected time spent by the last caller, in milliseconds.
    spent: u64,
}

#[rstest]
#[case(History { name: "the first caller", callers: &[(0, 9_000)], spent: 0 })]
#[case(History { name: "a second try", callers: &[(0, 14_000), (10, 11_000)], spent: 3_000 })]
#[case(History { name: "a longer timeout than before", callers: &[(0, 11_000), (10, 14_000)], spent: 0 })]
#[case(History {
    name: "remembered over a period",
    callers: &[(0, 14_000), (12_000, 13_000), (12_500, 11_000)],
    spent: 3_000,
})]
#[case(History {
    name: "timeouts became shorter",
    callers: &[(0, 14_000), (12_000, 9_000), (23_000, 9_000)],
    spent: 0,
})]
#[case(History { name: "after an idle period", callers: &[(0, 14_000), (60_000, 9_000)], spent: 0 })]
fn time_spent_follows_from_recent_timeouts(#[case] case: History) {
    let mut timeouts = Timeouts::default();
    let spent = case
        .callers
        .iter()
        .map(|(at, timeout_ms)| timeouts.spent_ms(*timeout_ms, Millis(*at)))
        .last();
    assert_eq!(spent, Some(case.spent), "{}", case.name);
}

/// Callers whose timeouts differ by 15 %; one in six is a retry after 3 s. First tries with a short
/// timeout must not be treated as retries.
#[rstest]
fn callers_with_different_timeouts_are_not_taken_for_retries() {
    let mut random = SmallRng::seed_from_u64(5);
    let mut timeouts = Timeouts::default();
    let (mut misclassified, mut detected, mut first_tries, mut retries) = (0, 0, 0, 0);
    for now in (0..600_000).step_by(500) {
        let timeout = random.random_range(11_900..=16_100);
        let is_retry = random.random_bool(1.0 / 6.0);
        let remaining = if is_retry { timeout - 3_000 } else { timeout };
        let late = timeouts.spent_ms(remaining, Millis(now)) > 0;
        if now < 10_000 {
            continue;
        }
        if is_retry {
            retries += 1;
            detected += u32::from(late);
        } else {
            first_tries += 1;
            misclassified += u32::from(late);
        }
    }
    assert!(misclassified * 20 < first_tries, "{misclassified} of {first_tries} first tries");
    assert!(detected * 3 > retries, "{detected} of {retries} retries");
}

struct Read {
    name: &'static str,
    cache: KvCache,
    queue: Option<f64>,
    prefiller: Prefiller,
}

#[rstest]
#[case(Read {
    name: "not cached, short queue",
    cache: KvCache::Absent,
    queue: Some(0.2),
    prefiller: Prefiller::Prefilling,
})]
#[case(Read {
    name: "cached at the decode engine",
    cache: KvCache::Decoding,
    queue: Some(0.0),
    prefiller: Prefiller::Decoding,
})]
#[case(Read {
    name: "cached at a prefill engine with a queue",
    cache: KvCache::Prefilling,
    queue: Some(0.9),
    prefiller: Prefiller::Prefilling,
})]
#[case(Read {
    name: "long queue",
    cache: KvCache::Absent,
    queue: Some(0.6),
    prefiller: Prefiller::Decoding,
})]
#[case(Read {
    name: "no prefill engine",
    cache: KvCache::Absent,
    queue: None,
    prefiller: Prefiller::Decoding,
})]
fn prefiller(#[case] case: Read) {
    assert_eq!(Prefiller::choose(case.cache, case.queue, 3), case.prefiller, "{}", case.name);
}

struct Queued {
    name: &'static str,
    engines: usize,
    queue: f64,
    prefiller: Prefiller,
}

/// The shortest of many queues is long only if all prefill engines are busy.
#[rstest]
#[case(Queued { name: "few engines, short burst", engines: 3, queue: 0.3, prefiller: Prefiller::Prefilling })]
#[case(Queued { name: "many engines, all busy", engines: 11, queue: 0.3, prefiller: Prefiller::Decoding })]
#[case(Queued { name: "many engines, one nearly idle", engines: 11, queue: 0.1, prefiller: Prefiller::Prefilling })]
#[case(Queued { name: "queue no longer than the prefill of one prompt", engines: 500, queue: 0.1, prefiller: Prefiller::Prefilling })]
#[case(Queued { name: "a single engine", engines: 1, queue: 0.6, prefiller: Prefiller::Decoding })]
#[case(Queued { name: "no usable engine left", engines: 0, queue: 0.3, prefiller: Prefiller::Prefilling })]
fn the_queue_limit_depends_on_the_number_of_prefill_engines(#[case] case: Queued) {
    let prefiller = Prefiller::choose(KvCache::Absent, Some(case.queue), case.engines);
    assert_eq!(prefiller, case.prefiller, "{}", case.name);
}
