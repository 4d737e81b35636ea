//! Retries: a budget as a share of new requests, and exponential backoff with seeded jitter.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Tokens that one retry costs. A new request earns a percentage of it.
const RETRY_COST: u32 = 100;

/// Number of retries for which tokens can be saved up.
const MAX_SAVED_RETRIES: u32 = 10;

/// First backoff, in milliseconds.
const MIN_BACKOFF_MS: u64 = 20;

/// Longest backoff, in milliseconds.
const MAX_BACKOFF_MS: u64 = 2_000;

/// Doublings after which the backoff stays the same.
const MAX_DOUBLINGS: u32 = 7;

/// Why a retry is not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The budget is exhausted.
    Budget,
    /// It could not finish before the deadline.
    Deadline,
    /// The request may not run twice.
    NotRepeatable,
}

/// A failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Whether a runner may have started the request.
    pub may_have_run: bool,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Retry number of the attempt, from zero.
    pub retry_number: u16,
    /// Time left until the deadline, in milliseconds.
    pub left_ms: u64,
    /// Time that another attempt takes, in milliseconds.
    pub needed_ms: u64,
}

/// Retry budget: a token bucket that new requests fill.
#[derive(Clone, Debug)]
pub struct Budget {
    percent: u32,
    tokens: u32,
    random: SmallRng,
}

impl Budget {
    /// Creates a budget of retries as a percentage of new requests.
    pub fn new(percent: u32, seed: u64) -> Self {
        let tokens = RETRY_COST * MAX_SAVED_RETRIES;
        Self { percent, tokens, random: SmallRng::seed_from_u64(seed) }
    }

    /// Adds the tokens of a new request.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.percent).min(RETRY_COST * MAX_SAVED_RETRIES);
    }

    /// Takes a retry from the budget and returns its backoff in milliseconds, or why it is denied.
    pub fn retry(&mut self, failure: Failure) -> Result<u64, Denial> {
        if failure.may_have_run && !failure.repeatable {
            return Err(Denial::NotRepeatable);
        }
        let ceiling = (MIN_BACKOFF_MS << u32::from(failure.retry_number).min(MAX_DOUBLINGS))
            .min(MAX_BACKOFF_MS);
        let backoff = self.random.random_range(ceiling / 2..=ceiling);
        if backoff + failure.needed_ms > failure.left_ms {
            return Err(Denial::Deadline);
        }
        if self.tokens < RETRY_COST {
            return Err(Denial::Budget);
        }
        self.tokens -= RETRY_COST;
        Ok(backoff)
    }
}
