//! One start of one node process.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Bits of an incarnation that are random; the rest is its start time.
pub const RANDOM_BITS: u32 = 20;

/// Identity of one start of a node, rising from start to start on one VM.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:x}")]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Builds one from Unix milliseconds and random bits.
    pub fn new(unix_millis: u64, random: u64) -> Self {
        Self((unix_millis << RANDOM_BITS) | (random & ((1 << RANDOM_BITS) - 1)))
    }

    /// Parses the hexadecimal form that `Display` writes.
    pub fn parse(text: &str) -> Option<Self> {
        u64::from_str_radix(text, 16).ok().map(Self)
    }
}
