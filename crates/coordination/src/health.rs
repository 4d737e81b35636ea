//! Health of an endpoint, from the outcomes of recent real requests.
//!
//! Failures are weighed against successes. With counts of failures alone, a fault that hits one in
//! thirty requests would add up over many nodes until no node chose the endpoint, and its load
//! would move to the others.

use crosslane_state::time::Millis;
use serde::{Deserialize, Serialize};

/// Half-life of outcomes, in milliseconds: long enough to cover the 5 s that a fault usually lasts,
/// short enough to return to the endpoint soon after.
const HALF_LIFE_MS: f64 = 2_500.0;

/// Penalty of an endpoint at which everything fails, in units of a full endpoint's load: it is the
/// last choice.
const MAX_PENALTY: f64 = 3.0;

/// Successes that are assumed in advance: a single failure then weighs 0.7 of a full endpoint.
const PRIOR_SUCCESSES: f64 = 2.0;

/// Maximum of each count, so that a fault shows soon after a long time without one.
const MAX_COUNT: f32 = 20.0;

/// How a request at an endpoint ended, as far as the endpoint is responsible.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered.
    Good,
    /// It was refused for lack of room.
    Refused,
    /// It was answered with an error by the endpoint itself, as a few requests always are.
    Error,
    /// It broke off, got an invalid answer or timed out.
    Failed,
    /// The endpoint did not accept the connection. Its load seems to be zero, but it must rank
    /// behind endpoints that are nearly full.
    Down,
}

impl Outcome {
    /// Weight as a failure.
    fn weight(self) -> f32 {
        match self {
            Self::Good => 0.0,
            Self::Refused => 0.15,
            Self::Error => 0.35,
            Self::Failed => 0.6,
            Self::Down => 1.5,
        }
    }
}

/// Outcomes at one endpoint, with exponential decay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Weighted failures.
    pub failures: f32,
    /// Number of successes.
    pub successes: f32,
}

impl Record {
    /// Penalty when endpoints are ranked, in units of a full endpoint's load.
    pub fn penalty(self) -> f64 {
        let (failures, successes) = (f64::from(self.failures), f64::from(self.successes));
        MAX_PENALTY * failures / (failures + successes + PRIOR_SUCCESSES)
    }

    /// Sum of two records.
    pub fn plus(self, other: Self) -> Self {
        Self {
            failures: self.failures + other.failures,
            successes: self.successes + other.successes,
        }
    }

    fn decayed(self, millis: u64) -> Self {
        let factor = 0.5_f64.powf(millis as f64 / HALF_LIFE_MS) as f32;
        Self { failures: self.failures * factor, successes: self.successes * factor }
    }

    fn observe(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Good => self.successes = (self.successes + 1.0).min(MAX_COUNT),
            // Earlier successes mean nothing once the endpoint is gone.
            Outcome::Down => self.successes = 0.0,
            Outcome::Refused | Outcome::Error | Outcome::Failed => {}
        }
        self.failures = (self.failures + outcome.weight()).min(MAX_COUNT);
    }
}

/// Outcomes of this node's own requests at one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    record: Record,
    updated_at: Millis,
}

impl Health {
    /// The outcomes, decayed to `now`.
    pub fn record(&self, now: Millis) -> Record {
        self.record.decayed(now.since(self.updated_at))
    }

    /// Counts an outcome.
    pub fn observe(&mut self, outcome: Outcome, now: Millis) {
        self.record = self.record(now);
        self.record.observe(outcome);
        self.updated_at = now;
    }
}
