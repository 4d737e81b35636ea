//! Incarnations: each start of a node process has an identity of its own.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Lowest bits of an incarnation, which are random; those above are the start time in Unix milliseconds.
pub const RANDOM_BITS: u32 = 20;

/// Identity of one start of a node; a later start on the same VM has a higher one.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:x}")]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Combines a start time in Unix milliseconds with random bits.
    pub fn new(unix_millis: u64, random: u64) -> Self {
        Self((unix_millis << RANDOM_BITS) | (random & ((1 << RANDOM_BITS) - 1)))
    }

    /// Parses the hexadecimal form that `Display` writes.
    pub fn parse(text: &str) -> Option<Self> {
        u64::from_str_radix(text, 16).ok().map(Self)
    }
}
