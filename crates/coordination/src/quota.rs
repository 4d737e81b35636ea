//! How much of a limit may still be used, over all nodes together: an organisation's, or one that an endpoint names.
//!
//! Load pattern: hundreds of nodes see a request or less a second of each organisation, until one of them sends
//! seven times its usual. No node sees the whole, and an even share is less than one request. So each
//! organisation has an owner, a node that all ask before a request runs; it keeps one token bucket, and the
//! answer takes a round trip of some milliseconds. What never ran is given back.
//!
//! Reasons for the limits: a bucket begins empty, since its owner may have restarted, and what was used before
//! counts too; so however often owners change, a window holds one bucket at most besides what comes in. What was used in
//! a sliding window would let through larger bursts, but a new owner does not know when they were. An owner that sees a part of the fleet hands out that part, and below half of it nothing: the
//! others may ask one whom it can't see. A node that gets no answer uses its even share. So what the
//! parts of a divided fleet hand out sums to the limit, and their overdrafts to less than what is borne.

use crosslane_state::endpoint::Tag;
use crosslane_state::hash;
use crosslane_state::organisation::Limit;
use crosslane_state::time::Millis;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Part of what is borne beyond a limit that is granted on top of the burst: callers of many organisations come
/// in bursts of twice the usual for some seconds, which a limit counted over a window lets through. In a simulation
/// of fleets at seven times the usual the largest use in a window stays at 0.96 of the bound; no gain is shown.
const ON_TOP: f64 = 0.6;

/// Part of it that an owner may overdraw, so that its first requests are not refused. Even shares together
/// overdraw another such part; the rest is for two owners at a time.
const OVERDRAFT: f64 = 0.1;

/// Least share of the fleet that an owner must see.
const QUORUM: f64 = 0.5;

/// Shortest wait that is advised, in milliseconds: what comes back sooner finds the same.
const SHORTEST_WAIT: u64 = 150;

/// Longest wait that is advised, in milliseconds: callers heed an advice up to a third of the time that they
/// have, at most some 4.5 s.
const LONGEST_WAIT: u64 = 4_000;

/// Nodes that are asked one after the other, until one answers.
const OWNERS: usize = 3;

/// Time after which an unused bucket is forgotten, in milliseconds: long after it is full again.
const IDLE: u64 = 600_000;

/// Answers missed in a row after which an owner is passed over. One may just be lost, and to ask the next owner for a second
/// then has two of them grant the limit at a time.
const MISSED: u32 = 2;

/// Time for which an owner that does not answer is passed over, in milliseconds: that after which a heartbeat
/// tells whether it lives.
const PASSED_OVER: u64 = 1_000;

/// Answers that a node misses from an owner.
#[derive(Clone, Copy, Debug, Default)]
pub struct Misses {
    missed: u32,
    at: Millis,
}

impl Misses {
    /// Notes that a question was not answered.
    pub fn miss(&mut self, now: Millis) {
        self.missed += 1;
        self.at = now;
    }

    /// Whether it lies so far back that it says nothing any more.
    pub fn forgotten(&self, now: Millis) -> bool {
        now.since(self.at) >= PASSED_OVER * u64::from(MISSED)
    }

    /// Whether the owner is passed over.
    pub fn passed_over(&self, now: Millis) -> bool {
        self.missed >= MISSED && now.since(self.at) < PASSED_OVER
    }
}

/// How far all nodes together may be over a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Bound {
    /// Window in which use counts, in milliseconds.
    pub window: u64,
    /// Share of the limit.
    pub overage: f64,
    /// In the limit's unit.
    pub slack: f64,
}

impl Bound {
    /// Use in a window that is within a limit.
    pub fn allowed(&self, limit: Limit) -> f64 {
        self.earned(limit) + limit.burst
    }

    /// Use in a window beyond a limit that is borne.
    pub fn spare(&self, limit: Limit) -> f64 {
        self.allowed(limit) * self.overage + self.slack
    }

    fn earned(&self, limit: Limit) -> f64 {
        limit.units_per_second * self.window as f64 / 1_000.0
    }
}

/// A request that is to run.
#[derive(Clone, Copy, Debug)]
pub struct Ask {
    /// Whose limit it counts against.
    pub subject: Tag,
    /// The limit.
    pub limit: Limit,
    /// What the request costs, in the limit's unit.
    pub cost: u32,
    /// A number drawn from 0 to 1.
    pub draw: f64,
}

/// Whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It may.
    Granted,
    /// It is over the limit.
    Over {
        /// Time until there should be room, in milliseconds.
        wait: u64,
    },
    /// Whoever was asked sees too little of the fleet, or does not know the limit.
    Unsure,
}

/// What is left of one limit; below zero, what was overdrawn.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    level: f64,
    at: Millis,
}

impl Bucket {
    fn refill(&mut self, rate: f64, most: f64, now: Millis) {
        let gained = rate * now.since(self.at) as f64 / 1_000.0;
        self.level = (self.level + gained).min(most);
        self.at = now;
    }
}

/// Limits for which a node is asked, or of which it uses its even share.
#[derive(Debug)]
pub struct Quota {
    bound: Bound,
    buckets: HashMap<Tag, Bucket>,
}

impl Quota {
    /// Nothing used yet.
    pub fn new(bound: Bound) -> Self {
        Self { bound, buckets: HashMap::new() }
    }

    /// Begins to count against a limit: its bucket fills from now on, and not only from the first request.
    pub fn begin(&mut self, subject: Tag, now: Millis) {
        self.buckets.entry(subject).or_insert(Bucket { level: 0.0, at: now });
    }

    /// Rules on a request as the owner, who sees a share of the fleet.
    pub fn rule(&mut self, ask: Ask, share: f64, now: Millis) -> Verdict {
        if share < QUORUM {
            return Verdict::Unsure;
        }
        self.take(ask, share, f64::from(ask.cost), now)
    }

    /// Rules on a request with an even share, of which a request may be more than all: it is let through
    /// with the chance that makes the mean right.
    pub fn rule_alone(&mut self, ask: Ask, share: f64, now: Millis) -> Verdict {
        self.take(ask, share, f64::from(ask.cost) * ask.draw, now)
    }

    fn take(&mut self, ask: Ask, share: f64, needed: f64, now: Millis) -> Verdict {
        let Ask { subject, limit, cost, draw } = ask;
        let cost = f64::from(cost);
        let rate = limit.units_per_second * share;
        let spare = self.bound.spare(limit) * share;
        let overdraft = spare * OVERDRAFT;
        // A share of the burst may be less than the request; it may then be saved up within a window.
        let burst = limit.burst * share + spare * ON_TOP;
        let most = burst.max(cost.min(self.bound.earned(limit) * share));
        let bucket = self.buckets.entry(subject).or_insert(Bucket { level: 0.0, at: now });
        bucket.refill(rate, most, now);
        let lacking = needed - bucket.level - overdraft;
        if lacking > 0.0 {
            return Verdict::Over { wait: wait(lacking / rate, draw) };
        }
        bucket.level -= cost;
        Verdict::Granted
    }

    /// Takes back what a request was granted that never ran.
    pub fn give_back(&mut self, subject: Tag, cost: u32) {
        if let Some(bucket) = self.buckets.get_mut(&subject) {
            bucket.level += f64::from(cost);
        }
    }

    /// Forgets buckets that are not used any more.
    pub fn expire(&mut self, now: Millis) {
        self.buckets.retain(|_, it| now.since(it.at) < IDLE);
    }
}

/// Nodes that may rule on a limit, first choice first, of nodes with their tags. One that comes
/// or goes moves few limits.
pub fn owners<T: Ord>(subject: Tag, nodes: impl Iterator<Item = (Tag, T)>) -> Vec<T> {
    let mut owners = ranked(subject, nodes);
    owners.truncate(OWNERS);
    owners
}

/// Nodes by their weight for a limit, the highest first.
pub fn ranked<T: Ord>(subject: Tag, nodes: impl Iterator<Item = (Tag, T)>) -> Vec<T> {
    let mut ranked: Vec<_> =
        nodes.map(|(tag, node)| (hash::rendezvous_weight(subject.0, tag.0), node)).collect();
    ranked.sort_unstable_by(|one, other| other.cmp(one));
    ranked.into_iter().map(|(_, node)| node).collect()
}

/// When to come back, after what is lacking has come in so many seconds. Spread over as long again, since
/// those who were refused together would else come back together.
fn wait(seconds: f64, draw: f64) -> u64 {
    let millis = seconds * 1_000.0 * (1.0 + draw);
    (millis as u64).clamp(SHORTEST_WAIT, LONGEST_WAIT)
}
