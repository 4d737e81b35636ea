//! Lease on sending orders to engines, in the platform's store, taken by conditional append.
//!
//! The holder appends a new record before each round of orders and sends them within
//! `ORDER_WINDOW_MS`. Any other node may append only after the record has been unchanged for longer
//! than the lease and that window, so more than the lease's length lies between the orders of two
//! holders. The record's offset is the fencing token, which rises with each append.

use crosslane_state::time::Millis;

/// Time after the start of an append within which its orders are sent, in milliseconds. It is far
/// shorter than the lease, so that a late order still falls inside it.
pub const ORDER_WINDOW_MS: u64 = 1_000;

/// Time after the lease's end before another node takes over, in milliseconds: the order window and
/// a margin for a slow answer of the store and for timers that fire late.
const TAKEOVER_MARGIN_MS: u64 = ORDER_WINDOW_MS + 500;

/// State of the lease in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Holder by the newest record, if there is one.
    pub holder: Option<String>,
    /// Offset after the newest record.
    pub end: u64,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Append if the partition still ends at this offset.
    Append {
        /// Expected end offset of the partition.
        end: u64,
    },
    /// Wait: another node may be sending orders.
    Wait,
}

/// A node's view of the lease.
#[derive(Debug)]
pub struct Lease {
    node: String,
    /// Length, in milliseconds.
    length_ms: u64,
    last_seen: Option<(u64, Millis)>,
}

impl Lease {
    /// Creates the view of `node` of a lease of a length in milliseconds.
    pub fn new(node: String, length_ms: u64) -> Self {
        Self { node, length_ms, last_seen: None }
    }

    /// Decides by the record that was read just now.
    pub fn step(&mut self, record: &Record, now: Millis) -> Step {
        let free = record.holder.as_ref().is_none_or(|holder| *holder == self.node);
        if free {
            return Step::Append { end: record.end };
        }
        match self.last_seen {
            Some((end, since)) if end == record.end => {
                if now.since(since) > self.length_ms + TAKEOVER_MARGIN_MS {
                    return Step::Append { end };
                }
            }
            _ => self.last_seen = Some((record.end, now)),
        }
        Step::Wait
    }

    /// Forgets the last record, after an append that failed or was refused.
    pub fn reset(&mut self) {
        self.last_seen = None;
    }
}
