//! Time of the crates that use no clock: milliseconds passed in by the caller.

use serde::{Deserialize, Serialize};
use std::ops::{Add, Sub};

/// Milliseconds since an arbitrary point near the start of the process.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Millis(pub u64);

impl Millis {
    /// Milliseconds from `earlier` to `self`, zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<u64> for Millis {
    type Output = Self;

    fn add(self, millis: u64) -> Self {
        Self(self.0.saturating_add(millis))
    }
}

impl Sub<u64> for Millis {
    type Output = Self;

    fn sub(self, millis: u64) -> Self {
        Self(self.0.saturating_sub(millis))
    }
}
