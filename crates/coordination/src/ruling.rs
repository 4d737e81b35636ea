//! Rulings on requests under which endpoints crashed.
//!
//! All nodes have them, and the store keeps them. The later of two rulings on one request wins, so
//! nodes can merge them in any order.

use crosslane_state::fingerprint::Fingerprint;
use crosslane_state::hash;
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Time for which a request is shut out, in milliseconds. A repaired model or service is tried
/// again within the hour, and the next crash shuts the request out again.
pub const SHUT_OUT_MS: u64 = 3_600_000;

/// What a ruling says about a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Verdict {
    /// All nodes refuse it.
    #[display("shut")]
    Shut,
    /// It is let in again, by an operator or because another request caused the crashes.
    #[display("lifted")]
    Lifted,
}

/// A decision about a request. The later of two wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ruling {
    /// When it was made, in milliseconds of Unix time.
    pub at: u64,
    /// What it says.
    pub verdict: Verdict,
}

impl Ruling {
    /// Whether it is no longer in force.
    pub fn is_expired(&self, unix_ms: u64) -> bool {
        self.at.saturating_add(SHUT_OUT_MS) <= unix_ms
    }

    /// Its part in the digest of all rulings.
    pub fn hash(&self, request: Fingerprint) -> u64 {
        hash::of(format!("{request} {} {}", self.at, self.verdict).as_bytes())
    }
}
