//! Speed of an endpoint in its current stage: the time that it takes for a unit of work, by load.
//!
//! Load pattern: endpoints of one service differ in speed for good (0.7 and 1.7 of the usual time), share their VMs with other
//! workloads (2.5 times slower for 0.6 s, 15 % of the time), or slow down above some load. Choices by load alone fill slow
//! endpoints as much as fast ones.
//!
//! Runs are summed by band of load and decay exponentially, so that rows of several nodes can be added. A unit is a plain call, a
//! prompt token, or an event of a stream. The pace that an endpoint reports with its load only corrects for short deviations:
//! its ratio to the endpoint's average pace applies to the time of a run while the report is fresh.

use crosslane_state::endpoint::Key;
use crosslane_state::time::Millis;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::collections::HashSet;

/// Bands of load, of equal width up to a full endpoint. The last one also holds higher loads.
pub const BANDS: usize = 8;

/// Time constant of the decay of observations, in milliseconds: 8 % of the weight is left after 3 s.
const DECAY_MS: f64 = 1_200.0;

/// Largest weight of a band, in runs. More runs would delay the return to the neutral value when an endpoint gets none.
const MAX_RUNS: f32 = 16.0;

/// Weight of the neutral value, in runs.
const NEUTRAL_RUNS: f64 = 1.0;

/// Weight from which a band counts when another one has observations too.
const MIN_RUNS: f32 = 0.5;

/// Weight from which a node reports its own observations to others.
const MIN_SHARED_RUNS: f32 = 0.2;

/// Time constant with which a reported deviation of the pace fades, in milliseconds: half of the duration of a deviation.
const DEVIATION_MS: f64 = 300.0;

/// Time constant of the average pace, in milliseconds.
const AVERAGE_PACE_MS: f64 = 3_000.0;

/// Longest time for which a report counts in the average pace, in milliseconds: a third of a deviation.
const MAX_PACE_SPAN_MS: u64 = 200;

/// Bounds of the deviation from the average pace.
const MIN_DEVIATION: f64 = 0.25;
const MAX_DEVIATION: f64 = 4.0;

/// Factor by which an endpoint's time must differ from the median for the difference to count.
pub const NOTICEABLE: f64 = 1.25;

/// Time relative to the median from which on operators are told that an endpoint is slow.
const REPORTED: f64 = 1.5;

/// A run that ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// Requests in progress at its start, as a share of the endpoint's slots.
    pub load: f64,
    /// Units of work.
    pub units: f64,
    /// Time that they took, in milliseconds.
    pub took_ms: f64,
}

/// Decayed sums over the runs in a band of load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Band {
    /// Runs.
    pub runs: f32,
    /// Units of work.
    pub units: f32,
    /// Time, in milliseconds.
    pub took_ms: f32,
}

impl Band {
    fn plus(self, other: Self) -> Self {
        Self {
            runs: self.runs + other.runs,
            units: self.units + other.units,
            took_ms: self.took_ms + other.took_ms,
        }
    }

    fn scaled(self, factor: f32) -> Self {
        Self {
            runs: self.runs * factor,
            units: self.units * factor,
            took_ms: self.took_ms * factor,
        }
    }

    fn capped(self) -> Self {
        if self.runs > MAX_RUNS { self.scaled(MAX_RUNS / self.runs) } else { self }
    }

    fn is_valid(&self) -> bool {
        let sums = [self.runs, self.units, self.took_ms];
        sums.iter().all(|sum| sum.is_finite() && *sum >= 0.0)
    }

    fn time_ms(&self) -> Option<f64> {
        (self.units > 0.0).then(|| f64::from(self.took_ms) / f64::from(self.units))
    }
}

/// Decayed sums over runs at an endpoint, by band of load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Record {
    /// Sums by band.
    pub bands: [Band; BANDS],
}

impl Record {
    /// Sum of two records.
    pub fn plus(self, other: Self) -> Self {
        Self { bands: std::array::from_fn(|at| self.bands[at].plus(other.bands[at])) }
    }

    /// The record after a time.
    pub fn decayed(self, elapsed_ms: u64) -> Self {
        let factor = (-(elapsed_ms as f64) / DECAY_MS).exp() as f32;
        Self { bands: self.bands.map(|band| band.scaled(factor)) }
    }

    /// The record with a limited weight.
    fn capped(self) -> Self {
        Self { bands: self.bands.map(Band::capped) }
    }

    /// Weight in runs.
    pub fn runs(&self) -> f32 {
        self.bands.iter().map(|band| band.runs).sum()
    }

    /// Whether other nodes need the record.
    pub fn worth_sharing(&self) -> bool {
        self.runs() >= MIN_SHARED_RUNS
    }

    /// Whether a record of another node can be used.
    pub fn is_valid(&self) -> bool {
        self.bands.iter().all(Band::is_valid)
    }

    /// Time per unit at a load, between those of the bands with observations; flat beyond them.
    pub fn time_ms(&self, load: f64) -> Option<f64> {
        let known = |min: f32| {
            self.bands.iter().enumerate().filter_map(move |(at, band)| {
                let time = band.time_ms().filter(|_| band.runs >= min)?;
                Some((middle(at), time))
            })
        };
        let min = if known(MIN_RUNS).next().is_some() { MIN_RUNS } else { 0.0 };
        let below = known(min).rfind(|(at, _)| *at <= load);
        let above = known(min).find(|(at, _)| *at > load);
        match (below, above) {
            (Some((low, from)), Some((high, to))) => {
                Some(from + (to - from) * (load - low) / (high - low))
            }
            (Some((_, time)), None) | (None, Some((_, time))) => Some(time),
            (None, None) => None,
        }
    }
}

/// Load in the middle of a band.
fn middle(band: usize) -> f64 {
    (band as f64 + 0.5) / BANDS as f64
}

fn band_of(load: f64) -> usize {
    ((load.max(0.0) * BANDS as f64) as usize).min(BANDS - 1)
}

/// Pace that an endpoint reports, as a ratio to its usual one.
#[derive(Clone, Copy, Debug)]
struct Pace {
    latest: f64,
    at: Millis,
    average: f64,
}

impl Pace {
    /// Expected ratio of the current pace to the average.
    fn deviation(&self, now: Millis) -> f64 {
        let fresh = (-(now.since(self.at) as f64) / DEVIATION_MS).exp();
        let deviation = (self.latest / self.average).clamp(MIN_DEVIATION, MAX_DEVIATION);
        1.0 + (deviation - 1.0) * fresh
    }
}

/// Speed of an endpoint in its current stage.
#[derive(Clone, Copy, Debug, Default)]
pub struct Speed {
    own: Record,
    own_at: Millis,
    remote: Record,
    remote_at: Millis,
    pace: Option<Pace>,
}

impl Speed {
    /// Records a run on this node.
    pub fn observe(&mut self, sample: Sample, now: Millis) {
        let Sample { load, units, took_ms } = sample;
        let valid = load.is_finite() && units.is_finite() && took_ms.is_finite();
        if !valid || units <= 0.0 || took_ms < 0.0 {
            return;
        }
        self.own = self.own.decayed(now.since(self.own_at));
        self.own_at = now;
        let took_ms = (took_ms / self.deviation(now)) as f32;
        let band = &mut self.own.bands[band_of(load)];
        *band = band.plus(Band { runs: 1.0, units: units as f32, took_ms }).capped();
    }

    /// Records a pace, in percent of the usual one, that the endpoint reported at a time.
    pub fn report(&mut self, pace_percent: u32, at: Millis) {
        let latest = f64::from(pace_percent) / 100.0;
        if latest <= 0.0 {
            return;
        }
        let average = match self.pace {
            Some(known) if known.at > at => return,
            Some(known) => {
                // A report says little about a long time before it.
                let span_ms = at.since(known.at).min(MAX_PACE_SPAN_MS) as f64;
                let kept = (-span_ms / AVERAGE_PACE_MS).exp();
                latest + (known.average - latest) * kept
            }
            None => latest,
        };
        self.pace = Some(Pace { latest, at, average });
    }

    /// Replaces the sum of other nodes' records.
    pub fn merge(&mut self, remote: Record, now: Millis) {
        (self.remote, self.remote_at) = (remote.capped(), now);
    }

    /// Observations of this node, as shared with others.
    pub fn own(&self, now: Millis) -> Record {
        self.own.decayed(now.since(self.own_at))
    }

    /// Observations of all nodes.
    pub fn record(&self, now: Millis) -> Record {
        self.own(now).plus(self.remote.decayed(now.since(self.remote_at)))
    }

    /// Expected time per unit at a load, in milliseconds; `None` without observations.
    pub fn time_ms(&self, load: f64, now: Millis) -> Option<f64> {
        Some(self.record(now).time_ms(load)? * self.deviation(now))
    }

    /// Expected time at a load relative to that of the median endpoint; 1.0 without observations.
    pub fn relative(&self, load: f64, usual: &Usual, now: Millis) -> f64 {
        self.lasting(load, usual, now).unwrap_or(1.0) * self.deviation(now)
    }

    /// The same apart from the deviation that the endpoint reports; `None` without enough observations.
    pub fn lasting(&self, load: f64, usual: &Usual, now: Millis) -> Option<f64> {
        let record = self.record(now);
        let weight = f64::from(record.runs());
        let ratio = record.time_ms(load)? / usual.time_ms(load)?;
        let known = ratio.is_finite() && record.worth_sharing();
        known.then(|| (ratio * weight + NEUTRAL_RUNS) / (weight + NEUTRAL_RUNS))
    }

    /// Expected ratio of the current pace to the average that the endpoint reports.
    pub fn deviation(&self, now: Millis) -> f64 {
        self.pace.map_or(1.0, |pace| pace.deviation(now))
    }
}

/// Time per unit of an endpoint, relative to the others of its service and stage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Relative {
    /// Relative to the median.
    pub to_median: f64,
    /// Relative to a fast endpoint; 1.0 if the difference is not noticeable.
    pub to_fast: f64,
}

/// Change that operators are told of.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Change {
    /// An endpoint became noticeably slower than its service.
    #[display("slower")]
    Slower,
    /// It is as fast as its service again.
    #[display("recovered")]
    Recovered,
}

/// Endpoints that are noticeably slower than their services.
#[derive(Debug, Default)]
pub struct Watch {
    slow: HashSet<Key>,
}

impl Watch {
    /// Replaces the times relative to the median. Endpoints without observations keep their state while they exist.
    pub fn update(
        &mut self,
        times: &[(Key, Relative)],
        exists: impl Fn(Key) -> bool,
    ) -> Vec<(Key, Change)> {
        self.slow.retain(|key| exists(*key));
        let changes = times.iter().filter_map(|(key, relative)| {
            if relative.to_median >= REPORTED && self.slow.insert(*key) {
                return Some((*key, Change::Slower));
            }
            let recovered = relative.to_median <= NOTICEABLE && self.slow.remove(key);
            recovered.then_some((*key, Change::Recovered))
        });
        changes.collect()
    }

    /// Number of slow endpoints.
    pub fn count(&self) -> usize {
        self.slow.len()
    }
}

/// Usual times per unit of the endpoints of a service and stage, by band of load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usual {
    median: [Option<f64>; BANDS],
    /// Lower quartile.
    fast: [Option<f64>; BANDS],
}

impl Usual {
    /// Usual times over the endpoints with observations, at least two of them. Each counts in all bands, since often only the slow
    /// ones have observations in the highest.
    pub fn of(records: impl Iterator<Item = Record>) -> Self {
        let mut times: [Vec<f64>; BANDS] = Default::default();
        for record in records.filter(|record| record.runs() >= MIN_RUNS) {
            for (band, times) in times.iter_mut().enumerate() {
                times.extend(record.time_ms(middle(band)).filter(|time| *time > 0.0));
            }
        }
        times.iter_mut().for_each(|times| times.sort_by(f64::total_cmp));
        // The lower median: of two endpoints, the faster one is the usual one.
        let median = times.each_ref().map(|times| quantile(times, (times.len().max(1) - 1) / 2));
        let fast = times.each_ref().map(|times| quantile(times, times.len() / 4));
        Self { median, fast }
    }

    /// Median time per unit at a load, in milliseconds.
    pub fn time_ms(&self, load: f64) -> Option<f64> {
        at_load(&self.median, load)
    }

    /// Time of an endpoint relative to that of a fast one, if it takes a time relative to the median; 1.0 if the difference is
    /// not noticeable. A quarter of the endpoints are fast, so that nodes which choose at the same time do not all choose one.
    pub fn slowness(&self, relative: f64, load: f64) -> f64 {
        let fast = at_load(&self.fast, load).zip(self.time_ms(load));
        let slowness = relative * fast.map_or(1.0, |(fast, median)| median / fast);
        if slowness <= NOTICEABLE { 1.0 } else { slowness }
    }
}

fn quantile(sorted: &[f64], index: usize) -> Option<f64> {
    sorted.get(index).copied().filter(|_| sorted.len() > 1)
}

/// Value at a load, between those in the middle of the bands.
fn at_load(bands: &[Option<f64>; BANDS], load: f64) -> Option<f64> {
    let at = load * BANDS as f64 - 0.5;
    let low = (at.floor().max(0.0) as usize).min(BANDS - 1);
    let high = (low + 1).min(BANDS - 1);
    let (from, to) = (bands[low]?, bands[high]?);
    Some(from + (to - from) * (at - low as f64).clamp(0.0, 1.0))
}
