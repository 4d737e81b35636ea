//! Distributed enforcement of limits over all nodes together: of organisations, and of rates that
//! endpoints name.
//!
//! Load pattern: hundreds of nodes each see a request per second or less of each organisation,
//! until one organisation sends seven times its usual load. No node sees the whole, and an even
//! share is less than one request. So each organisation has an owner, a node that all others ask
//! before a request runs. The owner keeps one token bucket, and its answer takes a round trip of
//! some milliseconds. Cost of requests that never ran is refunded.
//!
//! Reasons for the rules: a bucket starts empty, since its owner may have restarted, and usage
//! before that counts too. So however often owners change, a window holds at most one bucket in
//! addition to the rate. A sliding window log would allow larger bursts, but a new owner does not
//! have its history. An owner that sees only a part of the fleet grants only that part of the
//! limit, and nothing if it sees less than half: the others may ask an owner that it can't see. A
//! node that gets no answer uses its even share. So the grants of the parts of a partitioned fleet
//! sum to the limit, and their overdrafts to less than the tolerance.

use crosslane_state::endpoint::Tag;
use crosslane_state::hash;
use crosslane_state::organisation::Limit;
use crosslane_state::time::Millis;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Part of the tolerance that is added to the burst. Callers of many organisations send bursts of
/// twice the usual load for some seconds, which a limit counted over a window lets through. With
/// fleets at seven times the usual load the highest usage in a window stays at 0.96 of the bound.
const BURST_TOLERANCE: f64 = 0.6;

/// Part of the tolerance that an owner may overdraw, so that its first requests are not refused.
/// Even shares together may overdraw the same again; the rest is for the time in which a limit has
/// two owners.
const OVERDRAFT: f64 = 0.1;

/// Smallest share of the fleet that an owner must see.
const MIN_FLEET_SHARE: f64 = 0.5;

/// Shortest wait that is advised, in milliseconds: a request that is retried sooner finds no more
/// room.
const MIN_WAIT_MS: u64 = 150;

/// Longest wait that is advised, in milliseconds. Callers follow an advised wait up to a third of
/// their remaining time, at most some 4.5 s.
const MAX_WAIT_MS: u64 = 4_000;

/// Number of nodes that are asked one after the other until one answers.
pub(crate) const MAX_OWNERS: usize = 3;

/// Time after which an unused bucket is dropped, in milliseconds; it is full long before.
const BUCKET_TTL_MS: u64 = 600_000;

/// Consecutive unanswered queries after which an owner is skipped. A single one may just be lost,
/// and asking the next owner for a second then has two owners grant the limit at a time.
const MISSES_TO_SKIP: u32 = 2;

/// Time for which an unresponsive owner is skipped, in milliseconds; after it a heartbeat shows
/// whether it is alive.
const SKIP_MS: u64 = 1_000;

/// Unanswered queries to one owner.
#[derive(Clone, Copy, Debug, Default)]
pub struct Misses {
    count: u32,
    last_at: Millis,
}

impl Misses {
    /// Counts an unanswered query.
    pub fn miss(&mut self, now: Millis) {
        self.count += 1;
        self.last_at = now;
    }

    /// Whether the last one was so long ago that it means nothing any more.
    pub fn is_stale(&self, now: Millis) -> bool {
        now.since(self.last_at) >= SKIP_MS * u64::from(MISSES_TO_SKIP)
    }

    /// Whether the owner is skipped.
    pub fn should_skip(&self, now: Millis) -> bool {
        self.count >= MISSES_TO_SKIP && now.since(self.last_at) < SKIP_MS
    }
}

/// Tolerance: how far usage by all nodes together may exceed a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tolerance {
    /// Window over which usage is counted, in milliseconds.
    pub window_ms: u64,
    /// Tolerated excess as a share of what the limit allows.
    pub overage: f64,
    /// Further excess, in the limit's unit.
    pub slack: f64,
}

impl Tolerance {
    /// Usage in a window that is within a limit.
    pub fn allowed(&self, limit: Limit) -> f64 {
        self.earned(limit) + limit.burst
    }

    /// Tolerated usage in a window beyond a limit.
    pub fn tolerated_excess(&self, limit: Limit) -> f64 {
        self.allowed(limit) * self.overage + self.slack
    }

    fn earned(&self, limit: Limit) -> f64 {
        limit.units_per_second * self.window_ms as f64 / 1_000.0
    }
}

/// A request's charge against a limit.
#[derive(Clone, Copy, Debug)]
pub struct Charge {
    /// Whose limit it is.
    pub subject: Tag,
    /// The limit.
    pub limit: Limit,
    /// Cost of the request, in the limit's unit.
    pub cost: u32,
    /// A random number from 0 to 1.
    pub draw: f64,
}

/// Whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decision {
    /// It may run.
    Granted,
    /// It would exceed the limit.
    OverLimit {
        /// Time until there should be room, in milliseconds.
        wait: u64,
    },
    /// The owner sees too little of the fleet, or does not know the limit.
    Undecided,
}

/// Token bucket of one limit; a level below zero is an overdraft.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    level: f64,
    refilled_at: Millis,
}

impl Bucket {
    fn refill(&mut self, rate: f64, capacity: f64, now: Millis) {
        let gained = rate * now.since(self.refilled_at) as f64 / 1_000.0;
        self.level = (self.level + gained).min(capacity);
        self.refilled_at = now;
    }
}

/// Token buckets of the limits that this node owns, or of its even shares.
#[derive(Debug)]
pub struct Quota {
    tolerance: Tolerance,
    buckets: HashMap<Tag, Bucket>,
}

impl Quota {
    /// Starts without any buckets.
    pub fn new(tolerance: Tolerance) -> Self {
        Self { tolerance, buckets: HashMap::new() }
    }

    /// Replaces the tolerance. Buckets keep their levels, up to their new capacity.
    pub fn set_tolerance(&mut self, tolerance: Tolerance) {
        self.tolerance = tolerance;
    }

    /// Creates a limit's bucket if there is none, so that it fills from now on and not only from
    /// the first request.
    pub fn open_bucket(&mut self, subject: Tag, now: Millis) {
        self.buckets.entry(subject).or_insert(Bucket { level: 0.0, refilled_at: now });
    }

    /// Decides as the owner, which sees `share` of the fleet.
    pub fn decide(&mut self, charge: Charge, share: f64, now: Millis) -> Decision {
        if share < MIN_FLEET_SHARE {
            return Decision::Undecided;
        }
        self.try_spend(charge, share, f64::from(charge.cost), now)
    }

    /// Decides by an even share, which may be less than the cost of one request. So a request
    /// passes with the probability that makes the mean right.
    pub fn decide_alone(&mut self, charge: Charge, share: f64, now: Millis) -> Decision {
        self.try_spend(charge, share, f64::from(charge.cost) * charge.draw, now)
    }

    fn try_spend(&mut self, charge: Charge, share: f64, needed: f64, now: Millis) -> Decision {
        let Charge { subject, limit, cost, draw } = charge;
        let cost = f64::from(cost);
        let rate = limit.units_per_second * share;
        let spare = self.tolerance.tolerated_excess(limit) * share;
        let overdraft = spare * OVERDRAFT;
        // A share of the burst may be less than the cost; then the cost can be saved up within a
        // window.
        let burst = limit.burst * share + spare * BURST_TOLERANCE;
        let capacity = burst.max(cost.min(self.tolerance.earned(limit) * share));
        let bucket = self.buckets.entry(subject).or_insert(Bucket { level: 0.0, refilled_at: now });
        bucket.refill(rate, capacity, now);
        let missing = needed - bucket.level - overdraft;
        if missing > 0.0 {
            return Decision::OverLimit { wait: wait_ms(missing / rate, draw) };
        }
        bucket.level -= cost;
        Decision::Granted
    }

    /// Refunds the cost of a request that was granted and never ran.
    pub fn refund(&mut self, subject: Tag, cost: u32) {
        if let Some(bucket) = self.buckets.get_mut(&subject) {
            bucket.level += f64::from(cost);
        }
    }

    /// Drops buckets that are no longer used.
    pub fn expire(&mut self, now: Millis) {
        self.buckets.retain(|_, bucket| now.since(bucket.refilled_at) < BUCKET_TTL_MS);
    }
}

/// Nodes that may decide on a limit, in order of preference. A node that joins or leaves moves few
/// limits.
pub fn owners<T: Ord>(subject: Tag, nodes: impl Iterator<Item = (Tag, T)>) -> Vec<T> {
    let mut owners = ranked(subject, nodes);
    owners.truncate(MAX_OWNERS);
    owners
}

/// Nodes by their rendezvous weight for a limit, the highest first.
pub fn ranked<T: Ord>(subject: Tag, nodes: impl Iterator<Item = (Tag, T)>) -> Vec<T> {
    let mut ranked: Vec<_> =
        nodes.map(|(tag, node)| (hash::rendezvous_weight(subject.0, tag.0), node)).collect();
    ranked.sort_unstable_by(|one, other| other.cmp(one));
    ranked.into_iter().map(|(_, node)| node).collect()
}

/// Wait in milliseconds until `seconds` have passed. A random part of up to the same length is
/// added, since requests that were refused together would otherwise be retried together.
fn wait_ms(seconds: f64, draw: f64) -> u64 {
    let millis = seconds * 1_000.0 * (1.0 + draw);
    (millis as u64).clamp(MIN_WAIT_MS, MAX_WAIT_MS)
}
