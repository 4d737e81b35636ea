//! How often nodes send heartbeats with their usage of endpoints, and for how long the content is
//! valid.
//!
//! Load pattern: every node sends to all others and receives from all, so the interval grows with
//! their number, and the validity of a heartbeat follows from the interval that its sender
//! announces. With a fixed validity of 2 s, at 295 nodes (2.2 s between heartbeats within a failure
//! domain, 6.6 s between two) a node dropped the usage of others before their next heartbeat, and
//! accepted no updates from them meanwhile: its estimate of the memory in use was 0.37 of all
//! memory too low on average, and 0.003 too high with the times below.

use serde::{Deserialize, Serialize};

/// Shortest interval, in milliseconds. A small fleet's knowledge of engines is at most this old;
/// drafts last some 3 s.
const MIN_INTERVAL_MS: u64 = 250;

/// Part of the interval for each other node, in microseconds: a node sends and receives at most
/// some 130 heartbeats per second.
const INTERVAL_PER_NODE_US: u64 = 7_500;

/// Maximum number of other nodes that are all sent updates of usage at once, whatever their failure
/// domain. At some 8 updates per second and node these cost twice as much as heartbeats.
pub const MAX_NEAR_PEERS: usize = 32;

/// Heartbeats between those to other failure domains, in larger fleets. Nodes prefer engines of
/// their own domain, and traffic between domains is expensive.
pub const FAR_EVERY: u64 = 3;

/// Validity of a heartbeat in halves of its interval: it survives the loss of one heartbeat, but
/// not of two in a row.
const VALID_HALF_INTERVALS: u64 = 5;

/// Shortest validity, in milliseconds: six heartbeats in a small fleet, since a busy VM sends some
/// late.
const MIN_VALIDITY_MS: u64 = 1_500;

/// A node's heartbeat interval, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Interval {
    /// To nodes of its own failure domain, or to all in a small fleet.
    pub near_ms: u64,
    /// To nodes of other failure domains.
    pub far_ms: u64,
}

impl Interval {
    /// Interval of a node with `others` other nodes.
    pub fn for_peers(others: usize) -> Self {
        let near = MIN_INTERVAL_MS.max(INTERVAL_PER_NODE_US * others as u64 / 1_000);
        let far = if others <= MAX_NEAR_PEERS { near } else { near * FAR_EVERY };
        Self { near_ms: near, far_ms: far }
    }

    /// Interval to a node of the same failure domain or of another one.
    pub fn for_domain(self, same_domain: bool) -> u64 {
        if same_domain { self.near_ms } else { self.far_ms }
    }
}

/// Validity of a heartbeat whose sender sends the next one after an interval, in milliseconds.
pub fn ttl_ms(interval: u64) -> u64 {
    MIN_VALIDITY_MS.max(interval.saturating_mul(VALID_HALF_INTERVALS) / 2)
}
