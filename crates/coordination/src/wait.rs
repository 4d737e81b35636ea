//! Expected wait for room, and whether a request waits for it or is refused at once.
//!
//! Load pattern: bursts of two and three times what the endpoints can do, and all callers returning at once after a restart of all
//! nodes. A request that waits in vain takes its caller's time, and a request that is served too late takes room
//! from one that could be on time. So a request that can't be served in time is refused when it arrives. The advised time
//! to retry is spread over the time in which the backlog drains: callers that return together
//! would be the next burst.

/// Shortest advised time to retry of the most urgent and of the least urgent requests, in milliseconds. Bursts last for
/// seconds, and the least urgent requests find no room before the end of one.
const MIN_RETRY_MS: [f64; 2] = [1_000.0, 2_000.0];

/// Time over which callers of equal priority are spread, in milliseconds, for the same priorities.
const SPREAD_MS: [f64; 2] = [1_700.0, 2_400.0];

/// Longest advised time to retry, in milliseconds. Callers follow it up to a third of their remaining time, about 4.5 s where
/// they wait for 14 s.
const MAX_RETRY_MS: f64 = 4_400.0;

/// Part of their remaining time up to which callers follow an advised time to retry.
const FOLLOWED_DIVISOR: f64 = 3.0;

/// Part of that time for which a caller stays away at least: a burst that has filled all queues lasts for longer.
const MIN_AWAY_SHARE: f64 = 0.25;

/// Longest time by which a backlog shifts the beginning of the spread, in milliseconds; it keeps part of the spread.
const MAX_SHIFT_MS: f64 = 1_000.0;

/// How long a new request waits for room.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Requests that get room before it.
    pub ahead: f64,
    /// Requests that get room per second.
    pub per_second: f64,
}

impl Estimate {
    /// Expected wait, in milliseconds; infinite if no room comes free.
    pub fn expected_ms(self) -> f64 {
        if self.per_second > 0.0 {
            (self.ahead + 1.0) * 1_000.0 / self.per_second
        } else {
            f64::INFINITY
        }
    }
}

/// Whether a request waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It waits for room.
    Wait,
    /// It is refused.
    Refuse {
        /// Advised time to retry, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Whether a request that can use room within `useful_ms` waits for it. `level` is its place among the priorities of its service, from 0 for the
/// most urgent to 1 for the least urgent; `draw` is a random number from 0 to 1.
pub fn decide(estimate: Estimate, useful_ms: u64, level: f64, draw: f64) -> Verdict {
    if estimate.expected_ms() <= useful_ms as f64 {
        return Verdict::Wait;
    }
    Verdict::Refuse { retry_after_ms: retry_after_ms(estimate, level, draw) }
}

/// Advised time to retry of a caller that has this much time left, in milliseconds: spread over the time that it can stay away, from when
/// the backlog has drained. Callers follow an advised time up to a third of their remaining time.
pub fn retry_within_ms(estimate: Estimate, remaining_ms: u64, draw: f64) -> u64 {
    let latest = remaining_ms as f64 / FOLLOWED_DIVISOR;
    let earliest = estimate.expected_ms().clamp(0.0, latest).max(latest * MIN_AWAY_SHARE);
    (earliest + (latest - earliest) * draw) as u64
}

/// Advised time to retry, in milliseconds, spread at random. It is shorter for more urgent requests, and longer if the
/// backlog drains later.
pub fn retry_after_ms(estimate: Estimate, level: f64, draw: f64) -> u64 {
    let between = |[urgent, patient]: [f64; 2]| urgent + (patient - urgent) * level;
    let (shortest, spread) = (between(MIN_RETRY_MS), between(SPREAD_MS));
    let shift = (estimate.expected_ms() - shortest).clamp(0.0, MAX_SHIFT_MS);
    let latest = (shortest + shift + spread).min(MAX_RETRY_MS);
    let earliest = shortest + shift;
    (earliest + (latest - earliest) * draw) as u64
}
