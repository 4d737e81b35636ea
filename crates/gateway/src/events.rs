//! Server-sent events, cut where one ends, so that none is passed on in part.

use bytes::{Bytes, BytesMut};

/// Ends an event.
const END: &[u8] = b"\n\n";

/// Longest event that is kept until its end, in bytes; the sites' events have some 500.
const LONGEST: usize = 1 << 20;

/// Bytes of a stream that are not passed on yet.
#[derive(Debug, Default)]
pub struct Events {
    pending: BytesMut,
    last_id: Option<u64>,
}

impl Events {
    /// Adds bytes and takes all events that are whole.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.pending.extend_from_slice(bytes);
        let end = self.pending.windows(END.len()).rposition(|it| it == END);
        let end = match end {
            Some(at) => at + END.len(),
            None if self.pending.len() > LONGEST => self.pending.len(),
            None => return None,
        };
        let whole = self.pending.split_to(end).freeze();
        self.last_id = last_id(&whole).or(self.last_id);
        Some(whole)
    }

    /// Whether bytes of an event that is not whole are left.
    pub fn partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Drops what is left of an event that broke off.
    pub fn discard(&mut self) {
        self.pending.clear();
    }

    /// Id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }
}

fn last_id(events: &[u8]) -> Option<u64> {
    let lines = events.rsplit(|it| *it == b'\n');
    let mut ids = lines.filter_map(|it| it.strip_prefix(b"id:"));
    std::str::from_utf8(ids.next()?).ok()?.trim().parse().ok()
}
