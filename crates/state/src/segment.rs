//! Segments of prompts, which different requests may share.

use crate::fingerprint::{Fingerprint, ParseError};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::str::FromStr;

/// Digest of a segment's id and of the service whose engines read it.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Segment(Fingerprint);

impl Segment {
    /// The segment of a service with this id.
    pub fn new(service: &str, id: &str) -> Self {
        Self(Fingerprint::of(&[service.as_bytes(), id.as_bytes()]))
    }

    /// Its bytes.
    pub fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl FromStr for Segment {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        text.parse().map(Self)
    }
}
