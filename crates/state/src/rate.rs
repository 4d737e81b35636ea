//! Rates of requests.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Highest rate that is taken for one, in requests a second: more than the largest fleet carries.
const HIGHEST: f64 = 1_000_000.0;

/// Requests a second; zero is a rate.
#[derive(Clone, Copy, Debug, Display, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Rate(f64);

/// A figure that is no rate: negative, infinite, not a number or beyond any fleet.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq)]
#[display("{figure} is no rate of requests")]
pub struct Error {
    /// The figure.
    figure: f64,
}

impl Rate {
    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for Rate {
    type Error = Error;

    fn try_from(figure: f64) -> Result<Self, Error> {
        if (0.0..=HIGHEST).contains(&figure) { Ok(Self(figure)) } else { Err(Error { figure }) }
    }
}

impl From<Rate> for f64 {
    fn from(rate: Rate) -> Self {
        rate.0
    }
}
