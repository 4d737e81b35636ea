//! Request rates.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Highest valid rate, in requests a second; no fleet reaches it.
const MAX_PER_SECOND: f64 = 1_000_000.0;

/// Rate in requests a second; may be zero.
#[derive(Clone, Copy, Debug, Display, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Rate(f64);

/// The value is not a rate: negative, infinite, not a number or too high.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq)]
#[display("{value} is no rate of requests")]
pub struct Error {
    /// Rejected value.
    value: f64,
}

impl Rate {
    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for Rate {
    type Error = Error;

    fn try_from(value: f64) -> Result<Self, Error> {
        if (0.0..=MAX_PER_SECOND).contains(&value) { Ok(Self(value)) } else { Err(Error { value }) }
    }
}

impl From<Rate> for f64 {
    fn from(rate: Rate) -> Self {
        rate.0
    }
}
