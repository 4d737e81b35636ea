//! Admission control for decode memory: who gets it first, and how long a request waits for it.
//!
//! Load patterns: bursts of about twice the usual traffic, which last as long as a stream and fill
//! all decode memory; and restarts of all nodes, after which the callers of interrupted streams
//! return within 0.1 s. In both cases memory is scarce for a while and goes either to callers that
//! can still be answered on time or to callers that are late already, for whom the answer is of
//! little use.
//!
//! Callers on time therefore have some memory reserved for them. They wait only while they can still
//! be on time, and are then refused so that they retry after the burst. Late callers have a single
//! try left and wait until shortly before their silence timeout. Among the late callers, those whose
//! stream was interrupted come before those that were refused: they were cut off by a fault and not
//! by a burst, and return all at once. With short waits for all callers, several times as many
//! streams are never answered, both in bursts and when all streams are interrupted at once.
//!
//! If the priorities of requests differ, less urgent ones leave the room of one or two streams at each engine while more
//! urgent ones wait or were refused a short time ago. Without it, the least urgent callers get most of the memory in a burst, since they are
//! the most patient ones.

use crosslane_state::time::Millis;
use std::collections::VecDeque;

/// Utilization above which an engine is considered full.
pub const FULL_UTILIZATION: f64 = 1.0;

/// The same for callers that were refused before. The reserve above it is one or two streams per
/// engine, enough for the callers on time that arrive next.
const LATE_MAX_UTILIZATION: f64 = 0.8;

/// The same for callers whose stream was interrupted: between the two, as a fault cut them off and
/// not a burst.
const RESUMED_MAX_UTILIZATION: f64 = 0.9;

/// Share of the latency target that a caller on time waits; the rest is for the prefill and the
/// first decode step.
const ON_TIME_WAIT_SHARE: f64 = 0.5;

/// The same where requests are refused by their expected wait: a refusal within a quarter of the target leaves the caller time to retry, and the rest of that
/// quarter is for the way of the request and of the refusal.
const ON_TIME_WAIT_SHARE_WITH_SHEDDING: f64 = 0.2;

/// Share of the latency target subtracted from a late caller's wait for the prefill and the first
/// event, so that the caller does not time out just before its first event.
const FIRST_EVENT_SHARE: f64 = 0.8;

/// Share of the latency target that a caller may have spent on earlier tries and still count as on
/// time. A try at a node that does not answer takes longer than this, a lost packet less.
const LOST_TIME_SHARE: f64 = 0.25;

/// Time for which timeouts are remembered: several requests arrive at each node and route within it.
const HISTORY_MS: u64 = 20_000;

/// Assumed spread of the timeouts of first tries, as a multiple of the spread of their upper quarter:
/// 4 for a uniform distribution, and 1 more for chance.
const SPREAD_FACTOR: u64 = 5;

/// Most timeouts remembered: enough for a stable upper quartile.
const MAX_SAMPLES: usize = 64;

/// A caller that requests decode memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Caller {
    /// Latency target of the first event, in milliseconds.
    pub target_ms: u64,
    /// Longest time without an event before the caller gives up, in milliseconds.
    pub max_silence_ms: u64,
    /// Time spent on earlier tries, in milliseconds.
    pub spent_ms: u64,
    /// Whether it resumes a stream of which it has a part.
    pub resumes: bool,
}

/// Timeliness of a caller: whether it can still be answered on time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timeliness {
    /// A first try.
    OnTime,
    /// A retry after a refusal.
    Late,
    /// A retry that resumes an interrupted stream.
    Resumed,
}

impl From<&Caller> for Timeliness {
    fn from(caller: &Caller) -> Self {
        let delayed = caller.spent_ms as f64 > caller.target_ms as f64 * LOST_TIME_SHARE;
        match (caller.resumes, delayed) {
            (true, _) => Self::Resumed,
            (false, true) => Self::Late,
            (false, false) => Self::OnTime,
        }
    }
}

/// Most streams per engine whose room less urgent requests leave to more urgent ones.
const MAX_KEPT_STREAMS: usize = 2;

/// Utilization up to which less urgent requests fill an engine whatever their size, so that they are not starved.
const MIN_FILLED_UTILIZATION: f64 = 0.5;

/// Utilization including that of the request itself up to which engines are filled.
const FILLED_UTILIZATION: f64 = 1.05;

/// Place of a request among those of its service that differ in priority.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rank {
    /// More urgent priorities of which requests wait or were refused a short time ago.
    pub more_urgent: usize,
    /// Room that the request needs, as a share of an engine's memory.
    pub share: f64,
}

impl Rank {
    /// Utilization above which an engine is considered full for the request, given that for requests of equal priority. The room of
    /// one or two streams is left to more urgent requests, and late ones of those can use some of it.
    pub fn max_utilization(self, among_equals: f64) -> f64 {
        let kept = self.more_urgent.min(MAX_KEPT_STREAMS);
        if kept == 0 {
            return among_equals;
        }
        let below_on_time = FILLED_UTILIZATION - self.share * (kept + 1) as f64;
        let below_late = LATE_MAX_UTILIZATION - self.share / 2.0;
        let below = below_on_time.min(below_late).max(MIN_FILLED_UTILIZATION);
        among_equals.min(below)
    }
}

impl Timeliness {
    /// Utilization above which an engine is considered full for this class. A stream that is `bound` can go on only at some
    /// engines of its service, while new ones can begin at the others, so no memory is kept from it there.
    pub fn max_utilization(self, bound: bool) -> f64 {
        match self {
            Self::OnTime => FULL_UTILIZATION,
            Self::Resumed if bound => FULL_UTILIZATION,
            Self::Late => LATE_MAX_UTILIZATION,
            Self::Resumed => RESUMED_MAX_UTILIZATION,
        }
    }

    /// Longest wait for memory where requests are refused by their expected wait, in milliseconds.
    pub fn max_wait_with_shedding_ms(self, caller: &Caller) -> u64 {
        match self {
            Self::OnTime => (caller.target_ms as f64 * ON_TIME_WAIT_SHARE_WITH_SHEDDING) as u64,
            Self::Late | Self::Resumed => self.max_wait_ms(caller),
        }
    }

    /// Longest wait for memory, in milliseconds.
    pub fn max_wait_ms(self, caller: &Caller) -> u64 {
        let target = caller.target_ms as f64;
        match self {
            Self::OnTime => (target * ON_TIME_WAIT_SHARE) as u64,
            Self::Late | Self::Resumed => {
                caller.max_silence_ms.saturating_sub((target * FIRST_EVENT_SHARE) as u64)
            }
        }
    }
}

/// Longest wait for memory to run a stream again of which its caller has nothing yet, or beside a
/// silent engine, in milliseconds: half of the caller's silence timeout. A silent engine is detected
/// within the other half.
pub fn resume_wait_ms(caller: &Caller) -> u64 {
    caller.max_silence_ms / 2
}

/// Timeouts that the callers of a route sent recently, from which it follows which caller has used up
/// part of its timeout on earlier tries.
///
/// Load pattern: if all callers use the same timeout, a shorter one means an earlier try. If timeouts
/// differ between callers, for instance by 15 %, that rule would take three of four first tries for
/// retries, which then wait behind the utilization limit of 0.8 even while the memory is free. The
/// spread of first tries is therefore estimated: they form the upper part of the values, and are
/// assumed to lie symmetrically around their middle.
#[derive(Clone, Debug, Default)]
pub struct Timeouts {
    samples: VecDeque<(Millis, u64)>,
}

impl Timeouts {
    /// Time that a caller with this timeout spent on earlier tries, in milliseconds; zero if the
    /// timeout may be that of a first try.
    pub fn spent_ms(&mut self, timeout_ms: u64, now: Millis) -> u64 {
        self.samples.push_back((now, timeout_ms));
        while self.samples.len() > MAX_SAMPLES
            || self.samples.front().is_some_and(|sample| now.since(sample.0) >= HISTORY_MS)
        {
            self.samples.pop_front();
        }
        let mut values: Vec<u64> = self.samples.iter().map(|sample| sample.1).collect();
        values.sort_unstable();
        let last_index = values.len() - 1;
        let (longest, upper_quartile) = (values[last_index], values[last_index - last_index / 4]);
        let shortest_first_try = longest.saturating_sub(SPREAD_FACTOR * (longest - upper_quartile));
        if timeout_ms < shortest_first_try { upper_quartile - timeout_ms } else { 0 }
    }
}
