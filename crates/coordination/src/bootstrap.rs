//! First read of the store by a node that starts: when it reads everything from the store, and when it leaves that to
//! others and gets the data from them.
//!
//! Load pattern: all nodes of a fleet start together, or after all were killed. If each reads all records of endpoints from
//! the store, the bytes read grow with the nodes times the endpoints: 3 GB at a thousand nodes and ten thousand endpoints.
//! In a large fleet only the seeds read at once. Another node reads only if nobody has announced the data for a while, at a
//! random time, so that the first reads show before the others follow; or if what was announced does not arrive.

use crate::heartbeat::MAX_NEAR_PEERS;
use crosslane_state::time::Millis;

/// Time for which a node waits to learn of the other nodes, in milliseconds: it registers with the store and reads their
/// addresses meanwhile.
const DISCOVERY_MS: u64 = 1_000;

/// Time in which the heartbeats of nodes that have the data arrive, in milliseconds.
const ANNOUNCEMENT_MS: u64 = 300;

/// Mean time between the first reads of two nodes of a fleet in which nobody has the data, in microseconds: a read and its
/// announcement take some 50 ms, in which 20 more nodes read.
const READ_SPACING_US: u64 = 2_500;

/// Time after which announced data counts as stalled if no part of it has arrived, in milliseconds.
const STALLED_MS: u64 = 1_000;

/// What a node without the data knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Situation {
    /// Whether it is one of the seeds, which others can find.
    pub is_seed: bool,
    /// Number of other nodes, once it has read their addresses.
    pub others: Option<usize>,
    /// Whether another node has announced the data.
    pub announced: bool,
    /// Parts of the data that have arrived from other nodes.
    pub parts: u64,
}

/// Decides when a node reads everything from the store.
#[derive(Clone, Copy, Debug)]
pub struct FirstRead {
    /// A random number from 0 to 1.
    draw: f64,
    situation: Situation,
    /// When that last changed.
    since: Millis,
}

impl FirstRead {
    /// Starts to wait at a time.
    pub fn new(draw: f64, now: Millis) -> Self {
        Self { draw, situation: Situation::default(), since: now }
    }

    /// Whether to read now.
    pub fn is_due(&mut self, situation: Situation, now: Millis) -> bool {
        if situation != self.situation {
            (self.situation, self.since) = (situation, now);
        }
        now.since(self.since) >= self.patience_ms()
    }

    /// Time for which the present situation is waited out, in milliseconds.
    fn patience_ms(&self) -> u64 {
        let Situation { is_seed, others, announced, .. } = self.situation;
        match others {
            Some(others) if others <= MAX_NEAR_PEERS => 0,
            _ if announced => STALLED_MS + self.turn_ms(),
            _ if is_seed => 0,
            None => DISCOVERY_MS,
            Some(_) => ANNOUNCEMENT_MS + self.turn_ms(),
        }
    }

    /// Random part of the wait, so that the nodes of a fleet don't read all at once, in milliseconds.
    fn turn_ms(&self) -> u64 {
        let spread_ms = READ_SPACING_US * self.situation.others.unwrap_or_default() as u64 / 1_000;
        (self.draw * spread_ms as f64) as u64
    }
}
