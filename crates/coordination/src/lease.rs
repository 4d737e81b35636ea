//! Who may give orders to engines: a lease in the platform's store, taken by conditional append.
//!
//! The holder appends anew before each round of orders and gives them within `ORDER_WINDOW`. Any
//! other node may append only after the record stood unchanged for longer than the lease and that
//! window, so two holders never take turns within the lease. The record's offset is the fencing
//! token, which rises with each append.

use crosslane_state::time::Millis;

/// Time after the start of an append within which its orders are sent, in milliseconds. Well
/// under the lease, so that a late order still falls inside it.
pub const ORDER_WINDOW: u64 = 1_000;

/// Added to the lease before another node takes over, in milliseconds: the order window and a
/// margin for the store's answer and for timers that go off late.
const TAKEOVER_MARGIN: u64 = ORDER_WINDOW + 500;

/// What the store says of the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Holder of the newest record, if there is one.
    pub holder: Option<String>,
    /// Offset after the newest record.
    pub end: u64,
}

/// What to do about the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Append if the partition still ends at this offset.
    Append {
        /// Where the partition must end.
        end: u64,
    },
    /// Another node may be giving orders.
    Wait,
}

/// Follows the lease on behalf of one node.
#[derive(Debug)]
pub struct Lease {
    me: String,
    /// Length, in milliseconds.
    length: u64,
    seen: Option<(u64, Millis)>,
}

impl Lease {
    /// A lease of this length, in milliseconds, as `me` follows it.
    pub fn new(me: String, length: u64) -> Self {
        Self { me, length, seen: None }
    }

    /// Decides on a record read now.
    pub fn step(&mut self, record: &Record, now: Millis) -> Step {
        let free = record.holder.as_ref().is_none_or(|it| *it == self.me);
        if free {
            return Step::Append { end: record.end };
        }
        match self.seen {
            Some((end, since)) if end == record.end => {
                if now.since(since) > self.length + TAKEOVER_MARGIN {
                    return Step::Append { end };
                }
            }
            _ => self.seen = Some((record.end, now)),
        }
        Step::Wait
    }

    /// Forgets what was seen, after a lost or refused append.
    pub fn reset(&mut self) {
        self.seen = None;
    }
}
