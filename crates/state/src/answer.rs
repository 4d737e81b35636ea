//! Recorded answers of requests that have ended.

use serde::{Deserialize, Serialize};

/// A whole answer, as first given.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Value of `content-type`.
    pub content_type: String,
    /// Text pieces in order, for a model; one body for a service.
    pub pieces: Vec<Vec<u8>>,
}

impl Answer {
    /// Size of the pieces, in bytes.
    pub fn bytes(&self) -> usize {
        self.pieces.iter().map(Vec::len).sum()
    }
}
