//! How often nodes tell each other what they have, and for how long a node's word counts.
//!
//! Load pattern: a node sends to all others and hears all, so the time between heartbeats grows with
//! their number. Whatever must outlast a heartbeat follows from the time that its sender says it
//! will take to the next one. With a fixed life of 2 s, at 295 nodes (2.2 s within a failure domain,
//! 6.6 s between two) a node forgot what others had at engines before it heard of them again, and
//! took no updates from them meanwhile: in a simulation it believed 0.37 less of all memory to be
//! taken in the mean, and 0.003 more with the times that follow.

use serde::{Deserialize, Serialize};

/// Shortest time between heartbeats, in milliseconds. What others have at engines is this old at
/// most; drafts last some 3 s.
const SHORTEST: u64 = 250;

/// Time between heartbeats for each other node, in microseconds: a node sends and takes some 130
/// heartbeats a second at most.
const EACH: u64 = 7_500;

/// Other nodes up to which all are near: they are told of requests at engines at once. Some 8
/// messages a second and node are sent at the grown sites' traffic, so this many cost twice what
/// heartbeats do.
pub const FEW: usize = 32;

/// Heartbeats between those to other failure domains, where nodes are many: they choose engines of
/// their own domain first, and traffic between domains is dear.
pub const FAR_EVERY: u64 = 3;

/// Intervals for which a word counts, in halves: two lost heartbeats in a row end it, one does not.
const HALVES: u64 = 5;

/// Least time for which a word counts, in milliseconds: six heartbeats among few nodes, since a busy VM
/// sends some late.
const LEAST_LIFE: u64 = 1_500;

/// Time between a node's heartbeats, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Interval {
    /// To nodes of its own failure domain, or to all where they are few.
    pub near: u64,
    /// To nodes of other failure domains.
    pub far: u64,
}

impl Interval {
    /// The interval of a node among so many others.
    pub fn among(others: usize) -> Self {
        let near = SHORTEST.max(EACH * others as u64 / 1_000);
        let far = if others <= FEW { near } else { near * FAR_EVERY };
        Self { near, far }
    }

    /// Time to the next heartbeat, as a node of the same failure domain or of another hears it.
    pub fn toward(self, same_domain: bool) -> u64 {
        if same_domain { self.near } else { self.far }
    }
}

/// Time for which a word counts whose sender speaks again after an interval, in milliseconds.
pub fn life(interval: u64) -> u64 {
    LEAST_LIFE.max(interval.saturating_mul(HALVES) / 2)
}
