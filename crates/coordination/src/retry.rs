//! Retries: a budget as a share of fresh requests, and backoff with seeded jitter.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Cost of one retry; a fresh request earns a share of it.
const RETRY_COST: u32 = 100;

/// Retries that can be saved up.
const SAVED_RETRIES: u32 = 10;

/// First backoff, in milliseconds.
const BACKOFF_MILLIS: u64 = 20;

/// Longest backoff, in milliseconds.
const BACKOFF_LIMIT_MILLIS: u64 = 2_000;

/// Doublings after which the backoff no longer grows.
const DOUBLINGS: u32 = 7;

/// Why a retry is not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The budget is spent.
    Budget,
    /// It could not end in time.
    Deadline,
    /// The request may not be repeated.
    NotRepeatable,
}

/// What is known of the try that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Whether a runner may have done something.
    pub ran: bool,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Number of the try, from zero.
    pub round: u16,
    /// Time left until the deadline, in milliseconds.
    pub left: u64,
    /// Time a further try needs, in milliseconds.
    pub needs: u64,
}

/// Decides on retries.
#[derive(Clone, Debug)]
pub struct Budget {
    percent: u32,
    saved: u32,
    random: SmallRng,
}

impl Budget {
    /// A budget of retries as a percentage of fresh requests.
    pub fn new(percent: u32, seed: u64) -> Self {
        let saved = RETRY_COST * SAVED_RETRIES;
        Self { percent, saved, random: SmallRng::seed_from_u64(seed) }
    }

    /// Counts a fresh request.
    pub fn fresh(&mut self) {
        self.saved = (self.saved + self.percent).min(RETRY_COST * SAVED_RETRIES);
    }

    /// Allows a retry after a backoff in milliseconds, or says why not.
    pub fn retry(&mut self, failure: Failure) -> Result<u64, Denial> {
        if failure.ran && !failure.repeatable {
            return Err(Denial::NotRepeatable);
        }
        let ceiling =
            (BACKOFF_MILLIS << u32::from(failure.round).min(DOUBLINGS)).min(BACKOFF_LIMIT_MILLIS);
        let backoff = self.random.random_range(ceiling / 2..=ceiling);
        if backoff + failure.needs > failure.left {
            return Err(Denial::Deadline);
        }
        if self.saved < RETRY_COST {
            return Err(Denial::Budget);
        }
        self.saved -= RETRY_COST;
        Ok(backoff)
    }
}
