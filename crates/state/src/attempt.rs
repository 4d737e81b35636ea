//! Attempts: a request and its retries each run on engines under an identifier of their own.

use crate::incarnation::Incarnation;
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Identifies an attempt on every node and engine, and names the node that made it.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{origin}-{sequence:x}-{retry_number:x}")]
pub struct Id {
    /// Node that runs the request and made the attempt.
    pub origin: Incarnation,
    /// Number of the request, counted by that node.
    pub sequence: u64,
    /// Number of retries before it, zero for the first attempt.
    pub retry_number: u16,
}

impl Id {
    /// Parses the form that `Display` writes.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('-');
        let origin = Incarnation::parse(parts.next()?)?;
        let sequence = u64::from_str_radix(parts.next()?, 16).ok()?;
        let retry_number = u16::from_str_radix(parts.next()?, 16).ok()?;
        parts.next().is_none().then_some(Self { origin, sequence, retry_number })
    }

    /// The next attempt of the same request.
    pub fn next(self) -> Self {
        Self { retry_number: self.retry_number.saturating_add(1), ..self }
    }
}
