//! Recorded responses, replayed when a caller repeats an idempotency key.

use serde::{Deserialize, Serialize};

/// A complete response, as first sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Value of `content-type`.
    pub content_type: String,
    /// For a model, the generated text in order, one token each; for a service, the body alone.
    pub chunks: Vec<Vec<u8>>,
}

impl Answer {
    /// Total size of the body, in bytes.
    pub fn size_bytes(&self) -> usize {
        self.chunks.iter().map(Vec::len).sum()
    }
}
