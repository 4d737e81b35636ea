//! Splits a stream of server-sent events after complete events, so that none is forwarded in part.

use bytes::{Bytes, BytesMut};

/// Terminator of an event.
const TERMINATOR: &[u8] = b"\n\n";

/// Terminators of an event that the format of such streams allows.
const TERMINATORS: [&[u8]; 3] = [TERMINATOR, b"\r\r", b"\r\n\r\n"];

/// Size of the longest of them.
const MAX_TERMINATOR_BYTES: usize = 4;

/// Maximum size of an event; those of a site have some 500 bytes.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// Buffer for the bytes of a stream that are not forwarded yet.
#[derive(Debug, Default)]
pub struct Splitter {
    pending: BytesMut,
    last_id: Option<u64>,
}

impl Splitter {
    /// Adds bytes and takes all complete events.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        // What was searched before holds no terminator, though it may end within one.
        let searched = self.pending.len().saturating_sub(TERMINATOR.len() - 1);
        self.pending.extend_from_slice(bytes);
        let mut added = self.pending[searched..].windows(TERMINATOR.len());
        let end = searched + added.rposition(|bytes| bytes == TERMINATOR)? + TERMINATOR.len();
        let complete = self.pending.split_to(end).freeze();
        self.last_id = last_id(&complete).or(self.last_id);
        Some(complete)
    }

    /// Whether an incomplete event is left.
    pub fn has_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Whether an incomplete event is longer than events may be: it may have no end.
    pub fn is_too_long(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }

    /// Drops an incomplete event after the stream broke off.
    pub fn discard(&mut self) {
        self.pending.clear();
    }

    /// Id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }
}

/// Last bytes of a stream that is passed on as it arrives.
#[derive(Clone, Debug, Default)]
pub struct Tail(Vec<u8>);

impl Tail {
    /// Adds bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.0.extend_from_slice(&bytes[bytes.len().saturating_sub(MAX_TERMINATOR_BYTES)..]);
        self.0.drain(..self.0.len().saturating_sub(MAX_TERMINATOR_BYTES));
    }

    /// Whether the stream ends within an event.
    pub fn is_partial(&self) -> bool {
        !self.0.is_empty() && !TERMINATORS.iter().any(|terminator| self.0.ends_with(terminator))
    }
}

/// Number of complete events.
pub fn count(events: &[u8]) -> usize {
    events.windows(TERMINATOR.len()).filter(|bytes| *bytes == TERMINATOR).count()
}

fn last_id(events: &[u8]) -> Option<u64> {
    let lines = events.rsplit(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    std::str::from_utf8(ids.next()?).ok()?.trim().parse().ok()
}
