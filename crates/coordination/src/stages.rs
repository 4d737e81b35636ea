//! How many engines of a service prefill and how many decode.
//!
//! Decode memory runs out long before prefill power does, so some quarter of the engines prefill and
//! the rest decode. The way back is taken only when the prefill side is nearly gone.

use crosslane_state::endpoint::{Endpoint, Key, Stage};
use crosslane_state::time::Millis;
use std::cmp::Reverse;
use std::collections::{HashMap, VecDeque};

/// Engines per prefilling engine that the mean of the sites' traffic keeps busy.
const ENGINES_PER_PREFILL: f64 = 5.0;

/// Engines per prefilling engine above which one is taken back from decoding: with one in eight
/// left, a site's usual prompts kept it fully busy, and each waited a second.
const ENGINES_PER_PREFILL_LEAST: f64 = 6.0;

/// Prefilling engines in reserve per square root of all engines: the more there are, the less each
/// one's queue varies. It gives 3 of 9 engines and 5 of 18, with one less of which prompts wait for a second.
const RESERVE: f64 = 0.35;

/// Time that the list of engines must stand still before anything is ordered, in milliseconds.
/// Engines of a starting site appear over some 3 s, and a share of a part of them is wrong.
const SETTLED: u64 = 800;

/// Time before the same engine is ordered again, in milliseconds: an order may be carried out 12 s
/// late, and a change of stage takes about 6 s more.
const REORDER: u64 = 20_000;

/// Time that a number of engines is remembered, in milliseconds: engines that crash are back after
/// some 5 s, and a change of stage takes about 6 s out of an engine's work.
const REMEMBERED: u64 = 8_000;

/// Time that fewer engines than wanted must prefill before one is taken back from decoding, in
/// milliseconds. An engine that crashes for the usual 5 s is missing from the list for less.
const MISSED: u64 = 4_000;

/// A change of stage to order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// Engine to order.
    pub key: Key,
    /// Stage to take.
    pub stage: Stage,
}

/// Plans changes of stage.
#[derive(Debug, Default)]
pub struct Plan {
    ordered: HashMap<Key, (Stage, Millis)>,
    seen: Vec<Key>,
    since: Millis,
    /// Numbers of engines seen lately.
    counts: VecDeque<(Millis, usize)>,
    /// Since when fewer engines than wanted prefill.
    short: Option<Millis>,
}

impl Plan {
    /// Changes wanted among the live engines of one service.
    pub fn changes(&mut self, engines: &[(Key, &Endpoint)], now: Millis) -> Vec<Change> {
        let most = self.most(engines.len(), now);
        if !self.settled(engines, now) {
            return Vec::new();
        }
        self.ordered.retain(|key, (_, at)| {
            now.since(*at) < REORDER && engines.iter().any(|(it, _)| it == key)
        });
        let prefill = self.prefilling(engines).count();
        let most = wanted(most);
        let least = self.least(prefill, engines.len(), now);
        let (count, from, to) = if prefill > most {
            (prefill - most, Stage::Prefill, Stage::Decode)
        } else if prefill < least && engines.len() > 1 {
            (least - prefill, Stage::Decode, Stage::Prefill)
        } else {
            return Vec::new();
        };
        let mut free: Vec<(Key, &Endpoint)> = engines
            .iter()
            .filter(|(key, it)| it.stage == from && !it.draining && !self.ordered.contains_key(key))
            .copied()
            .collect();
        let mut domains = Domains::of(self.prefilling(engines).map(|it| it.domain.as_str()));
        let changes = (0..count).map_while(|_| {
            let place = domains.next(&free, to)?;
            Some(Change { key: free.remove(place).0, stage: to })
        });
        changes.collect()
    }

    /// Engines that prefill once all orders are carried out.
    fn prefilling<'a>(
        &self,
        engines: &[(Key, &'a Endpoint)],
    ) -> impl Iterator<Item = &'a Endpoint> {
        let stage = |key: &Key, it: &Endpoint| self.ordered.get(key).map_or(it.stage, |it| it.0);
        engines.iter().filter(move |(key, it)| stage(key, it) == Stage::Prefill).map(|(_, it)| *it)
    }

    /// Engines that must prefill: a few at once, and as many as wanted if they are missed for long.
    fn least(&mut self, prefill: usize, engines: usize, now: Millis) -> usize {
        let wanted = wanted(engines);
        let short = prefill < wanted;
        self.short = short.then(|| self.short.unwrap_or(now));
        if self.short.is_some_and(|since| now.since(since) >= MISSED) {
            return wanted;
        }
        (engines as f64 / ENGINES_PER_PREFILL_LEAST).ceil() as usize
    }

    /// Most engines seen lately: those that crashed are usually back before a change is done.
    fn most(&mut self, count: usize, now: Millis) -> usize {
        self.counts.retain(|(at, _)| now.since(*at) < REMEMBERED);
        if self.counts.back().is_none_or(|(_, last)| *last != count) {
            self.counts.push_back((now, count));
        }
        self.counts.iter().map(|(_, count)| *count).max().unwrap_or(count)
    }

    fn settled(&mut self, engines: &[(Key, &Endpoint)], now: Millis) -> bool {
        if !self.seen.iter().eq(engines.iter().map(|(key, _)| key)) {
            self.seen = engines.iter().map(|(key, _)| *key).collect();
            self.since = now;
        }
        now.since(self.since) >= SETTLED
    }

    /// Takes notice of an order that another node sent, unless it is known.
    pub fn told(&mut self, change: Change, now: Millis) {
        self.ordered.entry(change.key).or_insert((change.stage, now));
    }

    /// Remembers that an order was sent.
    pub fn sent(&mut self, change: Change, now: Millis) {
        self.ordered.insert(change.key, (change.stage, now));
    }
}

/// Prefilling engines by failure domain. They are kept even, since nodes prefer their own domain's.
#[derive(Debug)]
struct Domains<'a>(HashMap<&'a str, usize>);

impl<'a> Domains<'a> {
    fn of(prefilling: impl Iterator<Item = &'a str>) -> Self {
        let mut counts = HashMap::new();
        prefilling.for_each(|it| *counts.entry(it).or_default() += 1);
        Self(counts)
    }

    /// Place of the engine to change next: where most prefill, or where fewest do.
    fn next(&mut self, free: &[(Key, &'a Endpoint)], to: Stage) -> Option<usize> {
        let count = |domain: &str| self.0.get(domain).copied().unwrap_or(0);
        let counted = free.iter().map(|(_, it)| count(&it.domain)).enumerate();
        let chosen = if to == Stage::Prefill {
            counted.min_by_key(|(place, count)| (*count, *place))
        } else {
            counted.max_by_key(|(place, count)| (*count, Reverse(*place)))
        };
        let (place, _) = chosen?;
        let prefilling = self.0.entry(&free[place].1.domain).or_default();
        *prefilling = if to == Stage::Prefill { *prefilling + 1 } else { *prefilling - 1 };
        Some(place)
    }
}

/// Prefilling engines wanted among some engines.
fn wanted(engines: usize) -> usize {
    let engines = engines as f64;
    (engines / ENGINES_PER_PREFILL + RESERVE * engines.sqrt()).round() as usize
}
