//! Order of priorities under one limit: how much of a token bucket is left to more urgent requests.
//!
//! Load pattern: an organisation sends three times its limit, drafts of three priorities among it.
//! A bucket that grants by arrival gives each priority the same part of the limit, so two of three
//! of the most urgent requests are refused while others run.
//!
//! The owner of the limit measures the demand of each priority. A request leaves a reserve for the
//! demand of more urgent ones in a short time to come. What is reserved stays in the bucket, so it
//! is used later and not lost, and a priority that is no longer seen has no reserve. A small part
//! of the rate is exempt from the reserve, so that less urgent requests are not starved.

use crosslane_state::priority::Priority;
use crosslane_state::time::Millis;

/// Priority of requests whose sender states none: nodes of earlier versions. The least urgent one,
/// since a reserve for them would be kept from requests that are known to be urgent.
pub const UNKNOWN: Priority = Priority { organisation: u8::MAX, route: u8::MAX };

/// Time in which measured demand decays, and for which a priority counts as seen, in milliseconds.
/// Refused callers return within some 150 to 1,000 ms.
const DEMAND_MS: u64 = 1_000;

/// Demand of more urgent requests that is reserved, in seconds of it.
const RESERVE_SECONDS: f64 = 0.25;

/// Largest reserve, as a share of the bucket. A reserve of the whole bucket would have it overflow
/// and lose tokens.
const MAX_RESERVE: f64 = 0.5;

/// Share of the rate that is exempt from the reserve.
const EXEMPT_SHARE: f64 = 0.05;

/// Time over which exempt tokens add up, in seconds.
const EXEMPT_SECONDS: f64 = 1.0;

/// Maximum number of priorities that are told apart under one limit; those above it have no
/// reserve. The configuration gives an organisation a few.
const MAX_PRIORITIES: usize = 16;

/// Demand of one priority, whether granted or not.
#[derive(Clone, Copy, Debug)]
struct Demand {
    priority: Priority,
    /// Decayed sum of costs.
    sum: f64,
    /// Largest cost seen.
    largest: f64,
    seen_at: Millis,
}

impl Demand {
    fn is_recent(&self, now: Millis) -> bool {
        now.since(self.seen_at) < DEMAND_MS
    }

    fn sum_at(&self, now: Millis) -> f64 {
        self.sum * (-(now.since(self.seen_at) as f64) / DEMAND_MS as f64).exp()
    }

    fn largest_at(&self, now: Millis) -> f64 {
        self.largest * (-(now.since(self.seen_at) as f64) / DEMAND_MS as f64).exp()
    }

    fn per_second(&self, now: Millis) -> f64 {
        self.sum_at(now) * 1_000.0 / DEMAND_MS as f64
    }
}

/// Demand under one limit by priority.
#[derive(Clone, Debug, Default)]
pub struct Precedence {
    demands: Vec<Demand>,
    /// Tokens that less urgent requests may take regardless of the reserve.
    exempt: f64,
}

/// What a request has to leave in the bucket.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Reserve {
    /// Tokens left to more urgent requests; 0 if none were seen lately.
    pub tokens: f64,
    /// Demand of the more urgent requests, in tokens per second.
    pub per_second: f64,
    /// Whether the request may use exempt tokens in place of leaving the reserve.
    pub exempt: bool,
}

impl Precedence {
    /// Counts the demand of a request.
    pub fn record(&mut self, priority: Priority, cost: f64, now: Millis) {
        self.demands.retain(|demand| demand.is_recent(now));
        let known = self.demands.iter_mut().find(|demand| demand.priority == priority);
        if let Some(demand) = known {
            demand.sum = demand.sum_at(now) + cost;
            demand.largest = demand.largest_at(now).max(cost);
            demand.seen_at = now;
        } else if self.demands.len() < MAX_PRIORITIES && priority != UNKNOWN {
            self.demands.push(Demand { priority, sum: cost, largest: cost, seen_at: now });
        }
    }

    /// Adds to the exempt tokens what `gained` tokens of the limit bring.
    pub fn refill(&mut self, gained: f64, rate: f64, cost: f64) {
        // A cheap request must not take away what is saved up for an expensive one.
        let largest = self.demands.iter().map(|demand| demand.largest).fold(cost, f64::max);
        let most = (rate * EXEMPT_SHARE * EXEMPT_SECONDS).max(largest);
        self.exempt = (self.exempt + gained * EXEMPT_SHARE).min(most);
    }

    /// Reserve that a request leaves in a bucket of some capacity.
    pub fn reserve(&self, priority: Priority, cost: f64, capacity: f64, now: Millis) -> Reserve {
        let urgent = self.demands.iter().filter(|demand| demand.priority < priority);
        let (per_second, largest) = urgent.filter(|demand| demand.is_recent(now)).fold(
            (0.0, 0.0_f64),
            |(sum, largest), demand| {
                (sum + demand.per_second(now), largest.max(demand.largest_at(now)))
            },
        );
        let tokens = (per_second * RESERVE_SECONDS + largest).min(capacity * MAX_RESERVE);
        Reserve { tokens, per_second, exempt: tokens > 0.0 && self.exempt >= cost }
    }

    /// Takes the cost of a request that was granted in place of leaving the reserve.
    pub fn spend_exempt(&mut self, cost: f64) {
        self.exempt -= cost;
    }
}
