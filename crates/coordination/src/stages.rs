//! Plans how many engines of a service prefill and how many decode.
//!
//! Decode memory runs out long before prefill throughput, so about a quarter of the engines prefill
//! and the others decode. Engines are moved back from decode to prefill only when few prefill engines
//! are left, or when some have been missing for `SHORTAGE_MS`.
//!
//! A slow decode engine delays every event and holds memory for longer, while a slow prefill engine delays only the first event.
//! So slow engines prefill before fast ones, as long as the prefill engines stay fast enough together. A fast prefill engine and
//! a slow decode engine are exchanged only while the decode engines have room, since both are out of service for 6 to 12 s.
//!
//! Streams go on only at the build that began them, so a build keeps two decode engines while engines of
//! other builds can change their stage.

use crosslane_state::build::Build;
use crosslane_state::endpoint::{Endpoint, Key, Stage};
use crosslane_state::time::Millis;
use std::cmp::Reverse;
use std::collections::{HashMap, VecDeque};

/// Engines per prefill engine at which average traffic keeps the prefill engines busy.
const ENGINES_PER_PREFILL: f64 = 5.0;

/// Engines per prefill engine above which a decode engine is moved back to prefill. With one prefill
/// engine out of eight, the usual prompts keep it fully busy and each prompt waits for a second.
const MAX_ENGINES_PER_PREFILL: f64 = 6.0;

/// Prefill engines in reserve per square root of all engines: the more engines there are, the less
/// their queues vary. This gives 3 of 9 engines and 5 of 18; with one fewer, prompts wait for a
/// second.
const PREFILL_RESERVE: f64 = 0.35;

/// Time for which the list of engines must be unchanged before anything is ordered. The engines of a
/// starting site register over about 3 s, and a split of only a part of them would be wrong.
const SETTLE_MS: u64 = 800;

/// Time before the same engine is ordered again: an order may be executed up to 12 s late, and a
/// stage change takes about 6 s more.
const REORDER_MS: u64 = 20_000;

/// Time for which engine counts are remembered: crashed engines return after about 5 s, and a stage
/// change takes an engine out of service for about 6 s.
const COUNT_WINDOW_MS: u64 = 8_000;

/// Time for which prefill engines must be missing before decode engines replace them. An engine that
/// crashes for the usual 5 s is missing from the list for less.
const SHORTAGE_MS: u64 = 4_000;

/// Decode engines of a build that its streams need: one that takes them up when the other one ends.
const MIN_DECODE_ENGINES: usize = 2;

/// Time of a decode engine relative to that of a fast one from which on it is exchanged for a fast prefill engine.
const MIN_EXCHANGE_RATIO: f64 = 1.8;

/// Share of the decode memory in use above which no engines are exchanged.
const MAX_EXCHANGE_OCCUPANCY: f64 = 0.6;

/// Exchanges at a time: one for this many engines, so that one in 16 is out of service. A smaller service has none.
const ENGINES_PER_EXCHANGE: usize = 32;

/// Least throughput of the prefill engines, as a share of that of as many fast ones: the reserve takes up the rest.
const MIN_PREFILL_THROUGHPUT: f64 = 0.6;

/// Time for which an engine must be slow before it is exchanged, in milliseconds: other workloads on its VM slow it down for
/// 0.6 s at a time, and an exchange takes two engines out of service for 6 to 12 s.
const LASTING_MS: u64 = 5_000;

/// Time after which an engine may be exchanged again, in milliseconds. One that is slow in one stage only must not change to and fro.
const EXCHANGE_AGAIN_MS: u64 = 300_000;

/// A stage change to order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// The engine.
    pub key: Key,
    /// Its new stage.
    pub stage: Stage,
}

/// Planner of stage changes for one service.
#[derive(Debug, Default)]
pub struct Planner {
    orders: HashMap<Key, (Stage, Millis)>,
    last_engines: Vec<Key>,
    unchanged_since: Millis,
    /// Recent engine counts.
    recent_counts: VecDeque<(Millis, usize)>,
    /// Since when there are fewer prefill engines than the target.
    short_since: Option<Millis>,
    /// Times of engines relative to fast ones of their stage, where they are known.
    slowness: HashMap<Key, f64>,
    /// Share of the decode memory in use, if it is known.
    occupancy: Option<f64>,
    /// Since when engines are slow.
    slow_since: HashMap<Key, Millis>,
    /// When engines were last exchanged, and the last time that any were.
    exchanged_at: HashMap<Key, Millis>,
    exchanged_last: Option<Millis>,
    /// Engines that were last found to be exchanged.
    to_exchange: Vec<Key>,
}

impl Planner {
    /// Stage changes to order among the live engines of the service.
    pub fn changes(&mut self, engines: &[(Key, &Endpoint)], now: Millis) -> Vec<Change> {
        self.track_slowness(now);
        let max = self.recent_max(engines.len(), now);
        if !self.is_settled(engines, now) {
            return Vec::new();
        }
        self.orders.retain(|key, (_, at)| {
            now.since(*at) < REORDER_MS && engines.iter().any(|(listed, _)| listed == key)
        });
        let prefill = self.planned(engines, Stage::Prefill).count();
        let max = target_prefill(max);
        let min = self.min_prefill(prefill, engines.len(), now);
        let (count, from, to) = if prefill > max {
            (prefill - max, Stage::Prefill, Stage::Decode)
        } else if prefill < min && engines.len() > 1 {
            (min - prefill, Stage::Decode, Stage::Prefill)
        } else {
            return self.exchanges(engines, now);
        };
        let mut candidates: Vec<(Key, &Endpoint)> = engines
            .iter()
            .filter(|(key, endpoint)| {
                endpoint.stage == from && !endpoint.draining && !self.orders.contains_key(key)
            })
            .copied()
            .collect();
        let mut counts =
            Counts::of(self.planned(engines, Stage::Prefill), self.planned(engines, Stage::Decode));
        let changes = (0..count).map_while(|_| {
            let index = counts.take_next(&candidates, to, |key| self.is_slow(key))?;
            Some(Change { key: candidates.remove(index).0, stage: to })
        });
        changes.collect()
    }

    /// Records the times of engines relative to fast ones of their stage, and the share of the decode memory in use.
    pub fn record_speeds(&mut self, slowness: HashMap<Key, f64>, occupancy: f64) {
        (self.slowness, self.occupancy) = (slowness, Some(occupancy));
    }

    fn is_slow(&self, key: Key) -> bool {
        self.slowness.get(&key).is_some_and(|slowness| *slowness >= MIN_EXCHANGE_RATIO)
    }

    /// Notes since when engines are slow. One whose slowness is not known at present stays as it was.
    fn track_slowness(&mut self, now: Millis) {
        for (key, slowness) in &self.slowness {
            if *slowness >= MIN_EXCHANGE_RATIO {
                self.slow_since.entry(*key).or_insert(now);
            } else {
                self.slow_since.remove(key);
            }
        }
    }

    /// Whether an engine has been slow for long enough to change its stage, and was not exchanged a short time ago.
    fn is_lastingly_slow(&self, key: Key, now: Millis) -> bool {
        let lasting = self.slow_since.get(&key).is_some_and(|at| now.since(*at) >= LASTING_MS);
        lasting && self.may_be_exchanged(key, now)
    }

    fn may_be_exchanged(&self, key: Key, now: Millis) -> bool {
        self.exchanged_at.get(&key).is_none_or(|at| now.since(*at) >= EXCHANGE_AGAIN_MS)
    }

    /// Exchanges fast prefill engines for slow decode engines of the same domain and build, a few at a time. Times of different
    /// stages can't be compared, so an engine counts as fast only beside slow ones of its stage.
    fn exchanges(&mut self, engines: &[(Key, &Endpoint)], now: Millis) -> Vec<Change> {
        let has_room = self.occupancy.is_some_and(|occupancy| occupancy < MAX_EXCHANGE_OCCUPANCY);
        let is_recent = self.exchanged_last.is_some_and(|at| now.since(at) < REORDER_MS);
        if !has_room || is_recent || !self.orders.is_empty() {
            return Vec::new();
        }
        let changes = self.exchangeable(engines, now);
        self.to_exchange = changes.iter().map(|change| change.key).collect();
        changes
    }

    fn exchangeable(&self, engines: &[(Key, &Endpoint)], now: Millis) -> Vec<Change> {
        let of = |stage| engines.iter().filter(move |(_, engine)| engine.stage == stage);
        let slowness = |key: &Key| self.slowness.get(key).copied().unwrap_or(1.0);
        if !of(Stage::Prefill).any(|(key, _)| self.is_slow(*key)) {
            return Vec::new();
        }
        let is_fast = |key: &Key| self.slowness.get(key).is_some_and(|slowness| *slowness <= 1.0);
        let mut fast: Vec<_> = of(Stage::Prefill)
            .filter(|(key, _)| is_fast(key) && self.may_be_exchanged(*key, now))
            .collect();
        let mut slow: Vec<_> =
            of(Stage::Decode).filter(|(key, _)| self.is_lastingly_slow(*key, now)).collect();
        let mut decode = Counts::of([].into_iter(), self.planned(engines, Stage::Decode)).decode;
        slow.sort_by(|(a, _), (b, _)| slowness(b).total_cmp(&slowness(a)));
        let least = MIN_PREFILL_THROUGHPUT * of(Stage::Prefill).count() as f64;
        let mut throughput: f64 = of(Stage::Prefill).map(|(key, _)| 1.0 / slowness(key)).sum();
        let mut changes = Vec::new();
        for (key, engine) in slow {
            let after = throughput - (1.0 - 1.0 / slowness(key));
            if changes.len() >= 2 * (engines.len() / ENGINES_PER_EXCHANGE) || after < least {
                break;
            }
            // Both engines are out of service for a while, and streams of the build need some that decode.
            let left = decode.entry(engine.build()).or_default();
            if *left <= MIN_DECODE_ENGINES {
                continue;
            }
            let alike = |(_, other): &&(Key, &Endpoint)| {
                !other.draining && other.domain == engine.domain && other.build() == engine.build()
            };
            if let Some(index) = fast.iter().position(alike).filter(|_| !engine.draining) {
                (throughput, *left) = (after, *left - 1);
                changes.push(Change { key: *key, stage: Stage::Prefill });
                changes.push(Change { key: fast.remove(index).0, stage: Stage::Decode });
            }
        }
        changes
    }

    /// Engines of a stage once all orders are executed.
    fn planned<'a>(
        &self,
        engines: &[(Key, &'a Endpoint)],
        stage: Stage,
    ) -> impl Iterator<Item = &'a Endpoint> {
        let planned = |key: &Key, endpoint: &Endpoint| {
            self.orders.get(key).map_or(endpoint.stage, |order| order.0)
        };
        engines
            .iter()
            .filter(move |(key, endpoint)| planned(key, endpoint) == stage)
            .map(|(_, endpoint)| *endpoint)
    }

    /// Fewest engines that must prefill: a lower bound at once, the target after [`SHORTAGE_MS`].
    fn min_prefill(&mut self, prefill: usize, engines: usize, now: Millis) -> usize {
        let target = target_prefill(engines);
        let short = prefill < target;
        self.short_since = short.then(|| self.short_since.unwrap_or(now));
        if self.short_since.is_some_and(|since| now.since(since) >= SHORTAGE_MS) {
            return target;
        }
        (engines as f64 / MAX_ENGINES_PER_PREFILL).ceil() as usize
    }

    /// Largest recent engine count: crashed engines usually return before a stage change completes.
    fn recent_max(&mut self, count: usize, now: Millis) -> usize {
        self.recent_counts.retain(|(at, _)| now.since(*at) < COUNT_WINDOW_MS);
        if self.recent_counts.back().is_none_or(|(_, latest)| *latest != count) {
            self.recent_counts.push_back((now, count));
        }
        self.recent_counts.iter().map(|(_, count)| *count).max().unwrap_or(count)
    }

    fn is_settled(&mut self, engines: &[(Key, &Endpoint)], now: Millis) -> bool {
        if !self.last_engines.iter().eq(engines.iter().map(|(key, _)| key)) {
            self.last_engines = engines.iter().map(|(key, _)| *key).collect();
            self.unchanged_since = now;
        }
        now.since(self.unchanged_since) >= SETTLE_MS
    }

    /// Records an order sent by another node, unless one for the engine is known.
    pub fn record_peer_order(&mut self, change: Change, now: Millis) {
        self.orders.entry(change.key).or_insert((change.stage, now));
    }

    /// Records an order sent by this node.
    pub fn record_own_order(&mut self, change: Change, now: Millis) {
        if self.to_exchange.contains(&change.key) {
            self.exchanged_last = Some(now);
            self.exchanged_at.retain(|_, at| now.since(*at) < EXCHANGE_AGAIN_MS);
            self.exchanged_at.insert(change.key, now);
        }
        self.orders.insert(change.key, (change.stage, now));
    }
}

/// Engines that prefill, by failure domain, and that decode, by build. The former are kept balanced, as nodes prefer engines of
/// their own domain.
#[derive(Debug, Default)]
struct Counts<'a> {
    prefill: HashMap<&'a str, usize>,
    decode: HashMap<Build, usize>,
}

impl<'a> Counts<'a> {
    fn of(
        prefill: impl Iterator<Item = &'a Endpoint>,
        decode: impl Iterator<Item = &'a Endpoint>,
    ) -> Self {
        let mut counts = Self::default();
        for engine in prefill {
            *counts.prefill.entry(&engine.domain).or_default() += 1;
        }
        for engine in decode {
            *counts.decode.entry(engine.build()).or_default() += 1;
        }
        counts
    }

    /// Index of the engine to change next: one of the domain with the fewest prefill engines if it becomes one, else of the
    /// domain with the most. Engines that their build needs to decode come last. Of the others, slow ones prefill first.
    fn take_next(
        &mut self,
        candidates: &[(Key, &'a Endpoint)],
        to: Stage,
        is_slow: impl Fn(Key) -> bool,
    ) -> Option<usize> {
        let prefill = |engine: &Endpoint| {
            self.prefill.get(engine.domain.as_str()).copied().unwrap_or_default()
        };
        let needed = |engine: &Endpoint| {
            self.decode.get(&engine.build()).is_some_and(|count| *count <= MIN_DECODE_ENGINES)
        };
        let ranked = candidates.iter().map(|(_, engine)| *engine).enumerate();
        let (index, engine) = if to == Stage::Prefill {
            ranked.min_by_key(|(index, engine)| {
                (needed(engine), prefill(engine), !is_slow(candidates[*index].0), *index)
            })
        } else {
            ranked.max_by_key(|(index, engine)| {
                (prefill(engine), !is_slow(candidates[*index].0), Reverse(*index))
            })
        }?;
        let prefill = self.prefill.entry(&engine.domain).or_default();
        let decode = self.decode.entry(engine.build()).or_default();
        let (more, fewer) =
            if to == Stage::Prefill { (prefill, decode) } else { (decode, prefill) };
        *more += 1;
        *fewer = fewer.saturating_sub(1);
        Some(index)
    }
}

/// Target number of prefill engines for a number of engines.
fn target_prefill(engines: usize) -> usize {
    let engines = engines as f64;
    (engines / ENGINES_PER_PREFILL + PREFILL_RESERVE * engines.sqrt()).round() as usize
}
