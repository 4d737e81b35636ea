//! Attempts: one try of one request on engines.

use crate::incarnation::Incarnation;
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Names an attempt everywhere, engines included; tells which node made it.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{origin}-{sequence:x}-{round:x}")]
pub struct Id {
    /// Node that runs the request.
    pub origin: Incarnation,
    /// Number of the request at that node.
    pub sequence: u64,
    /// Number of the try, from zero.
    pub round: u16,
}

impl Id {
    /// Parses the form that `Display` writes.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('-');
        let origin = Incarnation::parse(parts.next()?)?;
        let sequence = u64::from_str_radix(parts.next()?, 16).ok()?;
        let round = u16::from_str_radix(parts.next()?, 16).ok()?;
        parts.next().is_none().then_some(Self { origin, sequence, round })
    }

    /// The same request's following try.
    pub fn next(self) -> Self {
        Self { round: self.round.saturating_add(1), ..self }
    }
}
