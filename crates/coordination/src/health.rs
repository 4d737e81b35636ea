//! How well an endpoint has answered lately, judged by the outcomes of real requests.
//!
//! Failures count beside successes: among many nodes a rate that one in thirty requests fails would
//! else add up to an endpoint that nobody asks, and its load would fall on the others.

use crosslane_state::time::Millis;
use serde::{Deserialize, Serialize};

/// Half-life of outcomes, in milliseconds: long enough to be remembered over the 5 s that a fault
/// usually lasts, short enough to come back soon after.
const HALF_LIFE: f64 = 2_500.0;

/// Penalty of an endpoint at which everything fails, as load of full endpoints: it is the last choice.
const WORST: f64 = 3.0;

/// Outcomes that are taken as good beforehand: a single failure then weighs 0.7 of a full endpoint.
const PRIOR: f64 = 2.0;

/// Outcomes beyond which no more are counted, so that a fault shows soon after a good time.
const MOST: f32 = 20.0;

/// How a request at an endpoint ended, as far as the endpoint is to blame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered.
    Good,
    /// Refused for lack of room.
    Refused,
    /// Answered with an error of its own, as some requests always are.
    Error,
    /// Broke off, answered nonsense or was silent.
    Failed,
    /// Took no connection. It looks empty, but must not be asked before those that are nearly full.
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

/// Outcomes at one endpoint, faded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Failures by weight.
    pub failures: f32,
    /// Successes.
    pub successes: f32,
}

impl Record {
    /// How much the endpoint is to be avoided, as load of full endpoints.
    pub fn penalty(self) -> f64 {
        let (failures, successes) = (f64::from(self.failures), f64::from(self.successes));
        WORST * failures / (failures + successes + PRIOR)
    }

    /// Both records' outcomes.
    pub fn plus(self, other: Self) -> Self {
        Self {
            failures: self.failures + other.failures,
            successes: self.successes + other.successes,
        }
    }

    fn faded(self, millis: u64) -> Self {
        let share = 0.5_f64.powf(millis as f64 / HALF_LIFE) as f32;
        Self { failures: self.failures * share, successes: self.successes * share }
    }

    fn note(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Good => self.successes = (self.successes + 1.0).min(MOST),
            // What went well before says nothing of an endpoint that is gone.
            Outcome::Down => self.successes = 0.0,
            Outcome::Refused | Outcome::Error | Outcome::Failed => {}
        }
        self.failures = (self.failures + outcome.weight()).min(MOST);
    }
}

/// This node's own outcomes at one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    record: Record,
    at: Millis,
}

impl Health {
    /// Outcomes as they count now.
    pub fn record(&self, now: Millis) -> Record {
        self.record.faded(now.since(self.at))
    }

    /// Counts an outcome.
    pub fn note(&mut self, outcome: Outcome, now: Millis) {
        self.record = self.record(now);
        self.record.note(outcome);
        self.at = now;
    }
}
