//! Rate limits that endpoints name in their answers, as this node knows them.
//!
//! An overloaded endpoint names in each answer how many requests per second it takes from all nodes
//! together. An answer without a limit ends it, but answers overtake each other: one whose request
//! was sent before this node knew of the limit may have been made before the limit was named. So a
//! lower limit is applied at once; a higher one or none only if its request was sent after the last
//! change.
//!
//! Nodes send each other changes with revisions. The higher revision wins; of two changes with the
//! same revision, the lower limit. So all nodes converge, whatever the order of messages. What may
//! be sent under a limit is decided by its owner, as for organisations (`quota`).

use crate::quota::{self, Tolerance};
use crosslane_state::endpoint::Tag;
use crosslane_state::hash;
use crosslane_state::organisation::Limit;
use crosslane_state::rate::Rate;
use crosslane_state::time::Millis;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};

/// Size of a limit's token bucket, in seconds of its rate. Requests arrive unevenly, so a bucket of
/// a single request would waste much of the limit; a full second would burden an endpoint that is
/// already overloaded.
const BURST_SECONDS: f64 = 0.5;

/// The same for a cold endpoint, whose requests are counted over a single second.
const COLD_BURST_SECONDS: f64 = 0.1;

/// Rate at which an endpoint with a limit of zero is probed, in requests per second: only an answer
/// can show that it takes requests again.
const PROBE_RATE: f64 = 0.1;

/// Lowest rate for any other endpoint, in requests per second.
const MIN_RATE: f64 = 0.02;

/// Tolerance of these limits: nothing is tolerated beyond the limit, and the window is long enough
/// to save up a whole request at the lowest rate.
pub const TOLERANCE: Tolerance = Tolerance { window_ms: 60_000, overage: 0.0, slack: 0.0 };

/// Share of the limit that a backup owner grants. Nodes that miss answers of the first owner ask
/// the next one while others still ask the first; together the two must not grant the limit twice.
pub(crate) const BACKUP_SHARE: f64 = 0.25;

/// Longest wait that is advised, in milliseconds. With hundreds of nodes each gets a turn once in
/// minutes.
const MAX_WAIT_MS: u64 = 10_000;

/// Time for which the limit of an unlisted endpoint is kept, in milliseconds: the list of endpoints
/// may lag.
const UNLISTED_TTL_MS: u64 = 10_000;

/// An endpoint's limit with its revision, as nodes send it to each other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Number of changes so far.
    pub revision: u64,
    /// The limit; `None` if the endpoint names none any more.
    pub rate: Option<Rate>,
}

impl Update {
    /// Whether it wins over another one.
    fn wins_over(self, other: Self) -> bool {
        let newer = self.revision > other.revision;
        newer || (self.revision == other.revision && lower(self.rate, other.rate))
    }
}

/// What this node knows of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    update: Update,
    /// When this node learned of it.
    learned_at: Millis,
}

/// A change of a limit that is new to this node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// Previous limit.
    pub previous: Option<Rate>,
    /// Limit from now on.
    pub rate: Option<Rate>,
}

impl Change {
    /// Whether the endpoint began or ceased to name a limit. All nodes need to know that; the rate
    /// itself matters only to the limit's owners.
    fn concerns_all_nodes(self) -> bool {
        self.previous.is_some() != self.rate.is_some()
    }
}

/// Changes to send to other nodes.
#[derive(Debug, Default)]
pub struct Outbox {
    /// For all nodes.
    pub all: Vec<(Tag, Update)>,
    /// For the owners of the limits only.
    pub owners: Vec<(Tag, Update)>,
}

/// Limits by endpoint.
#[derive(Debug, Default)]
pub struct Limits {
    entries: HashMap<Tag, Entry>,
    /// Endpoints with unsent changes, and whether these go to all nodes.
    unsent: HashMap<Tag, bool>,
    /// Endpoints that named a limit that can't be parsed.
    invalid: HashSet<Tag>,
}

impl Limits {
    /// Applies the limit in an answer, or its absence. `sent` is when the answer's request was
    /// sent.
    pub fn observe(
        &mut self,
        endpoint: Tag,
        rate: Option<Rate>,
        sent: Millis,
        now: Millis,
    ) -> Option<Change> {
        let Entry { update, learned_at } = self.entries.get(&endpoint).copied().unwrap_or_default();
        let applies = lower(rate, update.rate) || (rate != update.rate && sent > learned_at);
        if !applies {
            return None;
        }
        let change = Change { previous: update.rate, rate };
        *self.unsent.entry(endpoint).or_default() |= change.concerns_all_nodes();
        let update = Update { revision: update.revision + 1, rate };
        self.entries.insert(endpoint, Entry { update, learned_at: now });
        Some(change)
    }

    /// Records that an endpoint named a limit that can't be parsed; true the first time.
    pub fn mark_invalid(&mut self, endpoint: Tag) -> bool {
        self.invalid.insert(endpoint)
    }

    /// Applies a change from another node.
    pub fn apply(&mut self, endpoint: Tag, update: Update, now: Millis) -> Option<Change> {
        let known = self.entries.get(&endpoint).map(|entry| entry.update).unwrap_or_default();
        if !update.wins_over(known) {
            return None;
        }
        self.entries.insert(endpoint, Entry { update, learned_at: now });
        (update.rate != known.rate).then_some(Change { previous: known.rate, rate: update.rate })
    }

    /// What is known of an endpoint's limit.
    pub fn latest(&self, endpoint: Tag) -> Option<Update> {
        self.entries.get(&endpoint).map(|entry| entry.update)
    }

    /// The limit that an endpoint names.
    pub fn rate(&self, endpoint: Tag) -> Option<Rate> {
        self.latest(endpoint)?.rate
    }

    /// All entries, also of limits that ended: a node that missed the end would otherwise keep the
    /// limit.
    pub fn snapshot(&self) -> Vec<(Tag, Update)> {
        self.entries.iter().map(|(endpoint, entry)| (*endpoint, entry.update)).collect()
    }

    /// Digest of the endpoints that name a limit. Rates are left out, since they may change with
    /// each answer and matter only to owners.
    pub fn digest(&self) -> u64 {
        let named = self.entries.iter().filter(|(_, entry)| entry.update.rate.is_some());
        named.fold(0, |digest, (endpoint, _)| digest ^ hash::of(&endpoint.0.to_le_bytes()))
    }

    /// Takes the changes since the last call.
    pub fn take_outbox(&mut self) -> Outbox {
        let mut outbox = Outbox::default();
        for (endpoint, to_all) in std::mem::take(&mut self.unsent) {
            if let Some(entry) = self.entries.get(&endpoint) {
                let updates = if to_all { &mut outbox.all } else { &mut outbox.owners };
                updates.push((endpoint, entry.update));
            }
        }
        outbox
    }

    /// Number of endpoints that name a limit.
    pub fn count(&self) -> usize {
        self.entries.values().filter(|entry| entry.update.rate.is_some()).count()
    }

    /// Drops endpoints that are gone.
    pub fn expire(&mut self, listed: impl Fn(Tag) -> bool, now: Millis) {
        self.invalid.retain(|endpoint| listed(*endpoint));
        self.entries.retain(|endpoint, entry| {
            listed(*endpoint) || now.since(entry.learned_at) < UNLISTED_TTL_MS
        });
    }
}

/// Whether one limit is lower than another; `None` is the highest.
fn lower(one: Option<Rate>, other: Option<Rate>) -> bool {
    match (one, other) {
        (Some(one), Some(other)) => one < other,
        (Some(_), None) => true,
        (None, _) => false,
    }
}

/// Limit on requests of all nodes together to an endpoint that names a rate.
pub fn fleet_limit(rate: Rate) -> Limit {
    let rate = match rate.per_second() {
        0.0 => PROBE_RATE,
        rate => rate.max(MIN_RATE),
    };
    Limit { units_per_second: rate, burst: rate * BURST_SECONDS }
}

/// How far the requests that a cold endpoint receives within a second may exceed its rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTolerance {
    /// Multiple of the rate.
    pub factor: f64,
    /// Requests in addition.
    pub slack: f64,
}

/// Limit on requests of all nodes together to a cold endpoint: its owner and both backups may grant it at the same time, each
/// with a full bucket, without exceeding what is tolerated within a second.
pub fn cold_limit(rate: Rate, tolerance: ColdTolerance) -> Limit {
    let tolerated = rate.per_second() * tolerance.factor + tolerance.slack;
    let owners = 1.0 + BACKUP_SHARE * (quota::MAX_OWNERS - 1) as f64;
    let rate = tolerated / (owners * (1.0 + COLD_BURST_SECONDS));
    Limit { units_per_second: rate, burst: rate * COLD_BURST_SECONDS }
}

/// Part of a limit that a backup owner may grant.
pub fn backup_limit(limit: Limit) -> Limit {
    Limit {
        units_per_second: limit.units_per_second * BACKUP_SHARE,
        burst: limit.burst * BACKUP_SHARE,
    }
}

/// Virtual queues of the requests that were refused under each limit and are to be retried.
///
/// Load pattern: every node of a large fleet has requests for an endpoint that takes two per
/// second. If each were told to retry when there is room again, all but one would find it taken and
/// ask again at once. So each retry is placed behind those before it.
#[derive(Debug, Default)]
pub struct Queues(HashMap<Tag, Queue>);

#[derive(Clone, Copy, Debug)]
struct Queue {
    waiting: f64,
    updated_at: Millis,
}

impl Queues {
    /// Adds a refused request and returns its wait in milliseconds; `wait` is its wait if it were
    /// alone.
    pub fn join(&mut self, endpoint: Tag, rate: f64, wait: u64, now: Millis) -> u64 {
        let queue = self.0.entry(endpoint).or_insert(Queue { waiting: 0.0, updated_at: now });
        let served = rate * now.since(queue.updated_at) as f64 / 1_000.0;
        let capacity = rate * MAX_WAIT_MS as f64 / 1_000.0;
        let ahead = (queue.waiting - served).max(0.0);
        *queue = Queue { waiting: (ahead + 1.0).min(capacity), updated_at: now };
        let delay_ms = (ahead / rate.max(MIN_RATE) * 1_000.0) as u64;
        (wait + delay_ms).min(MAX_WAIT_MS)
    }

    /// Drops queues that are empty.
    pub fn expire(&mut self, now: Millis) {
        self.0.retain(|_, queue| now.since(queue.updated_at) < MAX_WAIT_MS);
    }
}
