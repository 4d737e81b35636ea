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
//! before that counts too. For the same reason a bucket gains nothing for a time in which its node
//! did not attend to it as the owner, and starts again empty after a long one: another node may
//! have granted the limit meanwhile. So however often owners change, a window holds at most one
//! bucket in addition to the rate. A sliding window log would allow larger bursts, but a new owner does not
//! have its history. An owner that sees only a part of the fleet grants only that part of the
//! limit, and nothing if it sees less than half: the others may ask an owner that it can't see. A
//! node that gets no answer uses its even share. So the grants of the parts of a partitioned fleet
//! sum to the limit, and their overdrafts to less than the tolerance.
//!
//! Nodes see different members for some seconds: those that start during an outage of the store
//! know the seeds only. If each of two nodes that is taken for the owner granted the whole limit,
//! usage would be twice the limit for as long. The same holds for a node that grants in place of an
//! owner that is merely late. So a node grants the part of an organisation's limit for which it
//! holds votes (`ballot`): all nodes together grant the limit once. What the tolerance allows beyond
//! it is divided among the burst of the owner, deputies that are asked if the owner does not
//! reply in time (`deputy_part`), and nodes that reach neither (`alone_part`).
//!
//! Requests of different priority share a bucket as `precedence` says.

use crate::precedence::{self, Precedence, Reserve};
use crosslane_state::endpoint::Tag;
use crosslane_state::hash;
use crosslane_state::organisation::Limit;
use crosslane_state::priority::Priority;
use crosslane_state::time::Millis;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Part of the tolerance that is added to the burst. Callers of many organisations send bursts of
/// twice the usual load for some seconds, which a limit counted over a window lets through. With
/// fleets at seven times the usual load the highest usage in a window stays at 0.96 of the bound.
const BURST_TOLERANCE: f64 = 0.6;

/// The same where nodes hold a limit by votes. The rest is for deputies and nodes that reach nobody, for a second overdraft when
/// the votes go to another node, and for votes that are counted some 100 ms late.
const LEASED_BURST_TOLERANCE: f64 = 0.4;

/// Part of the tolerance that all deputies grant in a window.
const DEPUTY_TOLERANCE: f64 = 0.2;

/// Part of the tolerance that nodes grant in a window for their own requests, if neither owner nor deputy answers.
const ALONE_TOLERANCE: f64 = 0.1;

/// Part of the tolerance that an owner may overdraw, so that its first requests are not refused.
/// Even shares together may overdraw the same again; the rest is for the time in which a limit has
/// two owners.
const OVERDRAFT: f64 = 0.1;

/// Smallest share of the fleet that an owner must see.
const MIN_FLEET_SHARE: f64 = 0.5;

/// Shortest wait that is advised, in milliseconds: a request that is retried sooner finds no more
/// room.
const MIN_WAIT_MS: u64 = 150;

/// Smallest part of the rate that a less urgent request is assumed to find when a wait is advised.
const MIN_SPARE_SHARE: f64 = 0.05;

/// Longest wait that is advised, in milliseconds. Callers follow an advised wait up to a third of
/// their remaining time, at most some 4.5 s.
const MAX_WAIT_MS: u64 = 4_000;

/// Number of nodes that are asked one after the other until one answers.
pub(crate) const MAX_OWNERS: usize = 3;

/// Time after which an unused bucket is dropped, in milliseconds; it is full long before.
const BUCKET_TTL_MS: u64 = 600_000;

/// Interval at which an owner attends to its buckets, in milliseconds.
pub const ATTEND_INTERVAL_MS: u64 = 100;

/// Longest time between two looks at a bucket that counts in full, in milliseconds. Another node may
/// grant the limit in a longer one, and the margin within the tolerance is a third of a second.
const MAX_CREDIT_MS: u64 = 300;

/// Time after which a bucket that its owner did not attend to starts again empty, in milliseconds.
/// Another node may have taken over with a bucket of its own.
const MAX_ABSENCE_MS: u64 = 2_000;

/// Age of a grant up to which its cost is refunded, in milliseconds. A refund can be used at once,
/// while the tokens belong to the time of the grant: refunds of grants over several seconds would all
/// be used within one window in addition to the rate. In a replay with half of the requests given up
/// after 1.9 s, usage stays at 0.97 of what is tolerated; after 4 s it is 1.08.
const MAX_REFUND_AGE_MS: u64 = 2_000;

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

    /// What all deputies may grant beside the owner of a limit.
    pub fn deputy_part(&self, limit: Limit) -> Limit {
        self.part(limit, DEPUTY_TOLERANCE)
    }

    /// What all nodes together may grant that reach neither owner nor deputy.
    pub fn alone_part(&self, limit: Limit) -> Limit {
        self.part(limit, ALONE_TOLERANCE)
    }

    /// A limit of which a full bucket and the rate over a window make up a part of the tolerance.
    fn part(&self, limit: Limit, share: f64) -> Limit {
        let burst = self.tolerated_excess(limit) * share / 2.0;
        Limit { units_per_second: burst * 1_000.0 / self.window_ms.max(1) as f64, burst }
    }

    /// The same window without any excess.
    pub fn strict(&self) -> Self {
        Self { window_ms: self.window_ms, ..Self::default() }
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
    /// Priority of the request; `None` if its sender states none.
    pub priority: Option<Priority>,
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
#[derive(Clone, Debug)]
struct Bucket {
    level: f64,
    refilled_at: Millis,
    /// When its owner last looked at it.
    attended_at: Millis,
    /// Share of the limit that its owner held then.
    share: f64,
    largest_cost: u32,
    precedence: Precedence,
}

impl Bucket {
    fn empty(now: Millis) -> Self {
        let precedence = Precedence::default();
        Self {
            level: 0.0,
            refilled_at: now,
            attended_at: now,
            share: 0.0,
            largest_cost: 0,
            precedence,
        }
    }

    /// Leaves out a time in which its owner did not attend to it.
    fn attend(&mut self, now: Millis) {
        let absent_ms = now.since(self.attended_at);
        if absent_ms > MAX_ABSENCE_MS {
            self.level = self.level.min(0.0);
            self.refilled_at = now;
        } else if absent_ms > MAX_CREDIT_MS {
            self.refilled_at = self.refilled_at + (absent_ms - MAX_CREDIT_MS);
        }
        self.attended_at = now;
    }

    /// Adds what the rate brought since the last refill, and returns it.
    fn refill(&mut self, rate: f64, capacity: f64, now: Millis) -> f64 {
        let gained = rate * now.since(self.refilled_at) as f64 / 1_000.0;
        self.level = (self.level + gained).min(capacity);
        self.refilled_at = now;
        gained
    }
}

/// Tokens of one limit since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Granted.
    pub granted: u64,
    /// Refunded, as a request was not sent.
    pub refunded: u64,
    /// Charged for runs that are repeated.
    pub charged: u64,
    /// Refused.
    pub refused: u64,
}

/// When buckets gain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Gains {
    /// At all times.
    Always,
    /// While their node attends to them.
    Attended,
    /// By the share that their node holds, while it attends to them.
    Leased,
}

/// Token buckets of the limits that this node owns, or of its even shares.
#[derive(Debug)]
pub struct Quota {
    tolerance: Tolerance,
    tallies: HashMap<Tag, Tally>,
    gains: Gains,
    buckets: HashMap<Tag, Bucket>,
    withheld: u64,
}

impl Quota {
    /// Starts without any buckets. They gain at all times.
    pub fn new(tolerance: Tolerance) -> Self {
        let (buckets, tallies) = (HashMap::new(), HashMap::new());
        Self { tolerance, tallies, gains: Gains::Always, buckets, withheld: 0 }
    }

    /// Starts without any buckets. They gain only while this node attends to them, at intervals of
    /// `ATTEND_INTERVAL_MS` or with each decision.
    pub fn attended(tolerance: Tolerance) -> Self {
        Self { gains: Gains::Attended, ..Self::new(tolerance) }
    }

    /// Starts without any buckets, for limits that this node holds by votes (`hold`).
    pub fn leased(tolerance: Tolerance) -> Self {
        Self { gains: Gains::Leased, ..Self::new(tolerance) }
    }

    /// Replaces the tolerance. Buckets keep their levels, up to their new capacity.
    pub fn set_tolerance(&mut self, tolerance: Tolerance) {
        self.tolerance = tolerance;
    }

    /// Creates a limit's bucket if there is none, so that it fills from now on and not only from
    /// the first request.
    pub fn open_bucket(&mut self, subject: Tag, now: Millis) {
        self.buckets.entry(subject).or_insert_with(|| Bucket::empty(now));
    }

    /// Attends to the buckets of the limits that this node owns.
    pub fn attend(&mut self, owns: impl Fn(Tag) -> bool, now: Millis) {
        for (subject, bucket) in &mut self.buckets {
            if owns(*subject) {
                bucket.attend(now);
            }
        }
    }

    /// Fills the bucket of a limit of which this node holds a share. What was gained since the last look counts by the smaller of
    /// the shares then and now.
    pub fn hold(&mut self, subject: Tag, limit: Limit, share: f64, now: Millis) {
        // What is saved up for an expensive request stays.
        let cost = self.buckets.get(&subject).map_or(0, |bucket| bucket.largest_cost);
        let (draw, priority) = (0.0, None);
        self.filled(Charge { subject, limit, cost, draw, priority }, share, now);
    }

    /// Decides on a limit of which this node holds a share. Where less than the cost of a request fits into its bucket, requests pass as by
    /// an even share.
    pub fn decide_leased(&mut self, charge: Charge, share: f64, now: Millis) -> Decision {
        if share <= 0.0 {
            return Decision::Undecided;
        }
        let (_, capacity) = self.scale(charge, share);
        let needed = f64::from(charge.cost) - self.overdraft(charge.limit, share);
        match needed <= capacity {
            true => self.decide_by_level(charge, share, now),
            false => self.decide_alone(charge, share, now),
        }
    }

    /// Decides as the owner, which sees `share` of the fleet.
    pub fn decide(&mut self, charge: Charge, share: f64, now: Millis) -> Decision {
        match may_own(share) {
            true => self.decide_by_level(charge, share, now),
            false => Decision::Undecided,
        }
    }

    fn decide_by_level(&mut self, charge: Charge, share: f64, now: Millis) -> Decision {
        let cost = f64::from(charge.cost);
        let priority = charge.priority.unwrap_or(precedence::UNKNOWN);
        let (rate, capacity) = self.scale(charge, share);
        let overdraft = self.overdraft(charge.limit, share);
        let bucket = self.filled(charge, share, now);
        bucket.precedence.record(priority, cost, now);
        let reserve = bucket.precedence.reserve(priority, cost, capacity, now);
        let needed = cost - overdraft;
        let has_room = bucket.level >= needed;
        let leaves_reserve = bucket.level >= needed + reserve.tokens;
        if leaves_reserve || (has_room && reserve.exempt) {
            bucket.level -= cost;
            if !leaves_reserve {
                bucket.precedence.spend_exempt(cost);
            }
            self.tally(charge.subject).granted += u64::from(charge.cost);
            return Decision::Granted;
        }
        let missing = needed + reserve.tokens - bucket.level;
        self.withheld += u64::from(has_room);
        self.tally(charge.subject).refused += u64::from(charge.cost);
        Decision::OverLimit { wait: wait_ms(missing / spare_rate(rate, reserve), charge.draw) }
    }

    /// Decides by an even share, which may be less than the cost of one request. So a request
    /// passes with the probability that makes the mean right. Priorities are not told apart: there
    /// is rarely room for two requests.
    pub fn decide_alone(&mut self, charge: Charge, share: f64, now: Millis) -> Decision {
        let needed = f64::from(charge.cost) * charge.draw - self.overdraft(charge.limit, share);
        let (rate, _) = self.scale(charge, share);
        let bucket = self.filled(charge, share, now);
        let missing = needed - bucket.level;
        if missing > 0.0 {
            self.tally(charge.subject).refused += u64::from(charge.cost);
            return Decision::OverLimit { wait: wait_ms(missing / rate, charge.draw) };
        }
        bucket.level -= f64::from(charge.cost);
        self.tally(charge.subject).granted += u64::from(charge.cost);
        Decision::Granted
    }

    /// Tokens granted, refunded, charged and refused since the last call, by limit.
    pub fn take_tallies(&mut self) -> HashMap<Tag, Tally> {
        std::mem::take(&mut self.tallies)
    }

    fn tally(&mut self, subject: Tag) -> &mut Tally {
        self.tallies.entry(subject).or_default()
    }

    /// Number of requests since the last call that were refused only since they had to leave a
    /// reserve to more urgent ones.
    pub fn take_withheld(&mut self) -> u64 {
        std::mem::take(&mut self.withheld)
    }

    /// Rate and capacity of the bucket for a part of a limit.
    fn scale(&self, charge: Charge, share: f64) -> (f64, f64) {
        let Charge { limit, cost, .. } = charge;
        let spare = self.tolerance.tolerated_excess(limit) * share;
        // A share of the burst may be less than the cost; then the cost can be saved up within a
        // window.
        let burst = |tolerance| limit.burst * share + spare * tolerance;
        let saved = f64::from(cost).min(self.tolerance.earned(limit) * share);
        let capacity = match self.gains {
            // One node at most holds so much; many small parts could save up several times the burst.
            Gains::Leased if !may_own(share) => burst(LEASED_BURST_TOLERANCE),
            Gains::Leased => burst(LEASED_BURST_TOLERANCE).max(saved),
            Gains::Always | Gains::Attended => burst(BURST_TOLERANCE).max(saved),
        };
        (limit.units_per_second * share, capacity)
    }

    fn overdraft(&self, limit: Limit, share: f64) -> f64 {
        self.tolerance.tolerated_excess(limit) * share * OVERDRAFT
    }

    /// The bucket of a charge with what the rate brought until now.
    fn filled(&mut self, charge: Charge, share: f64, now: Millis) -> &mut Bucket {
        let (rate, capacity) = self.scale(charge, share);
        let gains = self.gains;
        let bucket = self.buckets.entry(charge.subject).or_insert_with(|| Bucket::empty(now));
        if gains != Gains::Always {
            bucket.attend(now);
        }
        let held = if gains == Gains::Leased { bucket.share.min(share) } else { share };
        bucket.share = share;
        bucket.largest_cost = bucket.largest_cost.max(charge.cost);
        let gained = bucket.refill(charge.limit.units_per_second * held, capacity, now);
        bucket.precedence.refill(gained, rate, f64::from(charge.cost));
        bucket
    }

    /// Charges the cost of a request that runs once more, even if nothing is left.
    pub fn charge(&mut self, subject: Tag, cost: u32) {
        if let Some(bucket) = self.buckets.get_mut(&subject) {
            bucket.level -= f64::from(cost);
            self.tally(subject).charged += u64::from(cost);
        }
    }

    /// Refunds the cost of a request that was granted and never ran.
    pub fn refund(&mut self, subject: Tag, cost: u32) {
        if let Some(bucket) = self.buckets.get_mut(&subject) {
            bucket.level += f64::from(cost);
            self.tally(subject).refunded += u64::from(cost);
        }
    }

    /// Drops buckets that are no longer used.
    pub fn expire(&mut self, now: Millis) {
        self.buckets.retain(|_, bucket| now.since(bucket.refilled_at) < BUCKET_TTL_MS);
        let Self { buckets, tallies, .. } = self;
        tallies.retain(|subject, _| buckets.contains_key(subject));
    }
}

/// Whether a node that sees `share` of the fleet decides as an owner.
pub fn may_own(share: f64) -> bool {
    share >= MIN_FLEET_SHARE
}

/// Whether the cost of a grant of some age that was not used is refunded.
pub fn is_refunded(granted_at: Millis, now: Millis) -> bool {
    now.since(granted_at) <= MAX_REFUND_AGE_MS
}

/// Nodes that may decide on a limit, in order of preference. A node that joins or leaves moves few
/// limits.
pub fn owners<T: Ord>(subject: Tag, nodes: impl Iterator<Item = (Tag, T)>) -> Vec<T> {
    let mut owners = ranked(subject, nodes);
    owners.truncate(MAX_OWNERS);
    owners
}

/// Owners that are preferred to a node, which asks them before it decides in their place, as nodes
/// do that know no votes: all if it is not an owner.
pub fn preferred<'a, T: PartialEq>(owners: &'a [T], node: &T) -> &'a [T] {
    let place = owners.iter().position(|owner| owner == node).unwrap_or(owners.len());
    &owners[..place]
}

/// Nodes by their rendezvous weight for a limit, the highest first.
pub fn ranked<T: Ord>(subject: Tag, nodes: impl Iterator<Item = (Tag, T)>) -> Vec<T> {
    let mut ranked: Vec<_> =
        nodes.map(|(tag, node)| (hash::rendezvous_weight(subject.0, tag.0), node)).collect();
    ranked.sort_unstable_by(|one, other| other.cmp(one));
    ranked.into_iter().map(|(_, node)| node).collect()
}

/// Rate at which a request finds room: what more urgent ones leave, at least a small part.
fn spare_rate(rate: f64, reserve: Reserve) -> f64 {
    (rate - reserve.per_second).max(rate * MIN_SPARE_SHARE)
}

/// Wait in milliseconds until `seconds` have passed. A random part of up to the same length is
/// added, since requests that were refused together would otherwise be retried together.
fn wait_ms(seconds: f64, draw: f64) -> u64 {
    let millis = seconds * 1_000.0 * (1.0 + draw);
    (millis as u64).clamp(MIN_WAIT_MS, MAX_WAIT_MS)
}
