//! Placement of requests on the runners of a pool.
//!
//! The default is power of two choices: two candidates are drawn at random, and the one with the
//! shorter expected wait is chosen, so the cost of a decision does not grow with the pool. The other
//! modes are baselines for comparison.

use crosslane_state::load::{Estimate, Tracker};
use crosslane_state::runner::{Id, Key, Runner, Table};
use crosslane_state::time::Millis;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Random draws for an eligible candidate before the pool is scanned from a random index.
const MAX_DRAWS: usize = 8;

/// Placement algorithm.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// The better of two random candidates by corrected load.
    #[default]
    BestOfTwo,
    /// Each in turn.
    RoundRobin,
    /// A random one.
    Random,
    /// The least loaded of the whole pool by uncorrected reports.
    LeastReported,
}

/// A placement request.
#[derive(Clone, Copy)]
pub struct Query<'a> {
    /// Candidates.
    pub pool: &'a [Key],
    /// Their descriptions.
    pub table: &'a Table,
    /// Their loads.
    pub loads: &'a Tracker,
    /// Expected time that the request holds a slot, in milliseconds.
    pub hold_ms: u64,
    /// Time of the decision.
    pub now: Millis,
}

/// Chooses runners with a seeded random generator.
#[derive(Clone, Debug)]
pub struct Chooser {
    mode: Mode,
    random: SmallRng,
    next_index: usize,
}

impl Chooser {
    /// A chooser that makes the same choices for the same seed.
    pub fn new(mode: Mode, seed: u64) -> Self {
        Self { mode, random: SmallRng::seed_from_u64(seed), next_index: 0 }
    }

    /// A runner of the pool that is eligible and not avoided, if there is one.
    pub fn choose(&mut self, query: Query<'_>, eligible: impl Fn(&Runner) -> bool) -> Option<Id> {
        let usable = |runner: &Runner| {
            eligible(runner) && query.loads.estimate(runner.id).avoid_until <= query.now
        };
        match self.mode {
            Mode::BestOfTwo => {
                let first = self.draw(query, &usable)?;
                let second = self.draw(query, &usable)?;
                Some(less_loaded(query, first, second))
            }
            Mode::Random => self.draw(query, &usable).map(|runner| runner.id),
            Mode::RoundRobin => {
                self.next_index = self.next_index.wrapping_add(1);
                scan(query, self.next_index, &usable).map(|runner| runner.id)
            }
            Mode::LeastReported => query
                .pool
                .iter()
                .filter_map(|key| query.table.get(*key))
                .filter(|runner| usable(runner))
                .min_by_key(|runner| reported_load(query.loads.estimate(runner.id)))
                .map(|runner| runner.id),
        }
    }

    fn draw<'a>(
        &mut self,
        query: Query<'a>,
        usable: &impl Fn(&Runner) -> bool,
    ) -> Option<&'a Runner> {
        if query.pool.is_empty() {
            return None;
        }
        for _ in 0..MAX_DRAWS {
            let key = query.pool[self.random.random_range(0..query.pool.len())];
            if let Some(runner) = query.table.get(key).filter(|runner| usable(runner)) {
                return Some(runner);
            }
        }
        let start = self.random.random_range(0..query.pool.len());
        scan(query, start, usable)
    }
}

fn scan<'a>(
    query: Query<'a>,
    start: usize,
    usable: &impl Fn(&Runner) -> bool,
) -> Option<&'a Runner> {
    (0..query.pool.len())
        .filter_map(|step| query.table.get(query.pool[(start + step) % query.pool.len()]))
        .find(|runner| usable(runner))
}

/// The runner with the shorter expected wait: the wait reported by its owner plus that for the
/// requests sent there since.
fn less_loaded(query: Query<'_>, first: &Runner, second: &Runner) -> Id {
    let cost = |runner: &Runner| {
        let entry = query.loads.estimate(runner.id);
        let slots = runner.slots.max(1);
        let queued_ms = u64::from(entry.sent_since_report) * query.hold_ms / u64::from(slots);
        let wait_ms = u64::from(entry.report.wait_millis) + queued_ms;
        (wait_ms, entry.outstanding() * LOAD_SCALE / slots)
    };
    if cost(second) < cost(first) { second.id } else { first.id }
}

/// Fixed-point scale of the load per slot.
const LOAD_SCALE: u32 = 1000;

fn reported_load(entry: Estimate) -> u32 {
    entry.report.busy + entry.report.waiting
}
