//! Rate limits that endpoints name in their answers, as this node knows them.
//!
//! An endpoint in need names in each answer how many requests a second it takes from all nodes together. An answer
//! without a limit ends it, but answers overtake each other: one to a request that was sent before this
//! node knew of the limit may have been made before it was named. So a lower limit counts at
//! once, and a higher one or none only if its request was sent since.
//!
//! Nodes tell each other what changes, as words with revisions. Of two words the higher revision counts; of two changes
//! that were seen at the same time, the lower limit. So all nodes come to the same, in whatever order words arrive. What
//! may be sent under a limit is decided by its owner, as for organisations (`quota`).

use crate::quota::Bound;
use crosslane_state::endpoint::Tag;
use crosslane_state::hash;
use crosslane_state::organisation::Limit;
use crosslane_state::rate::Rate;
use crosslane_state::time::Millis;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};

/// Time in which an owner may send at once what comes in, in seconds. Callers come unevenly, and a bucket of one
/// request would waste much of the limit; a full second of it would burden an endpoint in need.
const BURST_S: f64 = 0.5;

/// Rate that is used of an endpoint that takes none, in requests a second: only an answer can say that it does again.
const PROBES: f64 = 0.1;

/// Least rate that is used of any other, in requests a second.
const LEAST: f64 = 0.02;

/// How a bucket is filled: nothing is borne beyond the limit, and a whole request can be saved up at the least rate.
pub const BOUND: Bound = Bound { window: 60_000, overage: 0.0, slack: 0.0 };

/// Part of the limit that a node grants which is not its first owner. Nodes that miss the first owner's answers ask the
/// next one while others still ask the first; together they must not grant the limit twice.
const DEPUTY: f64 = 0.25;

/// Longest wait that is advised, in milliseconds. With hundreds of nodes each gets a turn once in minutes.
const LONGEST_WAIT: u64 = 10_000;

/// Time for which the limit of an endpoint that is not listed is kept, in milliseconds: the list may lag.
const UNLISTED: u64 = 10_000;

/// What a node tells of an endpoint's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Word {
    /// Counts the changes that were seen.
    pub revision: u64,
    /// The limit; nothing since the endpoint names none.
    pub rate: Option<Rate>,
}

impl Word {
    /// Whether it counts rather than another.
    fn outdoes(self, other: Self) -> bool {
        let newer = self.revision > other.revision;
        newer || (self.revision == other.revision && lower(self.rate, other.rate))
    }
}

/// What is known of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    word: Word,
    /// Since when this node knows.
    since: Millis,
}

/// A limit that is new to this node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// Limit so far.
    pub before: Option<Rate>,
    /// Limit from now on.
    pub rate: Option<Rate>,
}

impl Change {
    /// Whether the endpoint began or ceased to name a limit. All nodes have to know that; which one it names, only those
    /// who rule on it.
    fn concerns_all(self) -> bool {
        self.before.is_some() != self.rate.is_some()
    }
}

/// What is to be told to other nodes.
#[derive(Debug, Default)]
pub struct News {
    /// Words for all.
    pub all: Vec<(Tag, Word)>,
    /// Words for the owners of their limits.
    pub owners: Vec<(Tag, Word)>,
}

/// Limits by endpoint.
#[derive(Debug, Default)]
pub struct Limits {
    known: HashMap<Tag, Known>,
    /// Endpoints whose words are to be told, and whether to all.
    news: HashMap<Tag, bool>,
    /// Endpoints that named what is no limit.
    unreadable: HashSet<Tag>,
}

impl Limits {
    /// Takes what an answer says whose request was sent at a time.
    pub fn note(
        &mut self,
        endpoint: Tag,
        rate: Option<Rate>,
        sent: Millis,
        now: Millis,
    ) -> Option<Change> {
        let Known { word, since } = self.known.get(&endpoint).copied().unwrap_or_default();
        let counts = lower(rate, word.rate) || (rate != word.rate && sent > since);
        if !counts {
            return None;
        }
        let change = Change { before: word.rate, rate };
        *self.news.entry(endpoint).or_default() |= change.concerns_all();
        let word = Word { revision: word.revision + 1, rate };
        self.known.insert(endpoint, Known { word, since: now });
        Some(change)
    }

    /// Notes that an endpoint names what is no limit; whether for the first time.
    pub fn unreadable(&mut self, endpoint: Tag) -> bool {
        self.unreadable.insert(endpoint)
    }

    /// Takes another node's word.
    pub fn hear(&mut self, endpoint: Tag, word: Word, now: Millis) -> Option<Change> {
        let known = self.known.get(&endpoint).map(|it| it.word).unwrap_or_default();
        if !word.outdoes(known) {
            return None;
        }
        self.known.insert(endpoint, Known { word, since: now });
        (word.rate != known.rate).then_some(Change { before: known.rate, rate: word.rate })
    }

    /// What is known of an endpoint's limit.
    pub fn word(&self, endpoint: Tag) -> Option<Word> {
        self.known.get(&endpoint).map(|it| it.word)
    }

    /// The limit that an endpoint names.
    pub fn rate(&self, endpoint: Tag) -> Option<Rate> {
        self.word(endpoint)?.rate
    }

    /// All words, also of limits that ended: who missed an end would hold on to its limit.
    pub fn words(&self) -> Vec<(Tag, Word)> {
        self.known.iter().map(|(endpoint, it)| (*endpoint, it.word)).collect()
    }

    /// Digest of the endpoints that name a limit: the same at nodes that know of the same ones. Which limit it is may
    /// change with each answer, and only owners have to know.
    pub fn digest(&self) -> u64 {
        let named = self.known.iter().filter(|(_, it)| it.word.rate.is_some());
        named.fold(0, |digest, (endpoint, _)| digest ^ hash::of(&endpoint.0.to_le_bytes()))
    }

    /// What changed since this was last asked.
    pub fn news(&mut self) -> News {
        let mut news = News::default();
        for (endpoint, all) in std::mem::take(&mut self.news) {
            if let Some(it) = self.known.get(&endpoint) {
                let words = if all { &mut news.all } else { &mut news.owners };
                words.push((endpoint, it.word));
            }
        }
        news
    }

    /// Endpoints that name a limit.
    pub fn count(&self) -> usize {
        self.known.values().filter(|it| it.word.rate.is_some()).count()
    }

    /// Forgets endpoints that are gone.
    pub fn expire(&mut self, listed: impl Fn(Tag) -> bool, now: Millis) {
        self.unreadable.retain(|it| listed(*it));
        self.known.retain(|it, known| listed(*it) || now.since(known.since) < UNLISTED);
    }
}

/// Whether one limit is lower than another; none is the highest.
fn lower(one: Option<Rate>, other: Option<Rate>) -> bool {
    match (one, other) {
        (Some(one), Some(other)) => one < other,
        (Some(_), None) => true,
        (None, _) => false,
    }
}

/// What all nodes together may send to an endpoint that names a rate.
pub fn limit(rate: Rate) -> Limit {
    let rate = match rate.per_second() {
        0.0 => PROBES,
        rate => rate.max(LEAST),
    };
    Limit { units_per_second: rate, burst: rate * BURST_S }
}

/// What a node may grant in the place of a limit's first owner.
pub fn deputy(limit: Limit) -> Limit {
    Limit { units_per_second: limit.units_per_second * DEPUTY, burst: limit.burst * DEPUTY }
}

/// Requests that were refused under each limit and may come again.
///
/// Load pattern: every node of a large fleet has requests for an endpoint that takes two a second. Each that is told to come
/// back when there is room again would find it taken, and ask again at once. So each is sent to the end of the queue.
#[derive(Debug, Default)]
pub struct Queues(HashMap<Tag, Queue>);

#[derive(Clone, Copy, Debug)]
struct Queue {
    waiting: f64,
    at: Millis,
}

impl Queues {
    /// When one more that was refused should come back, in milliseconds; `wait` if it were alone.
    pub fn join(&mut self, endpoint: Tag, rate: f64, wait: u64, now: Millis) -> u64 {
        let queue = self.0.entry(endpoint).or_insert(Queue { waiting: 0.0, at: now });
        let served = rate * now.since(queue.at) as f64 / 1_000.0;
        let most = rate * LONGEST_WAIT as f64 / 1_000.0;
        let before = (queue.waiting - served).max(0.0);
        *queue = Queue { waiting: (before + 1.0).min(most), at: now };
        let behind = (before / rate.max(LEAST) * 1_000.0) as u64;
        (wait + behind).min(LONGEST_WAIT)
    }

    /// Forgets queues that are empty.
    pub fn expire(&mut self, now: Millis) {
        self.0.retain(|_, it| now.since(it.at) < LONGEST_WAIT);
    }
}
