//! Placement: which runner of a pool gets a request.
//!
//! Two candidates are drawn and the one with less expected work is taken, so the cost of a
//! decision does not grow with the pool. The other modes are baselines to measure against.

use crosslane_state::load::{Estimate, Tracker};
use crosslane_state::runner::{Id, Key, Runner, Table};
use crosslane_state::time::Millis;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Draws for an eligible candidate before the pool is scanned from a random place.
const DRAWS: usize = 8;

/// How a candidate is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Best of two by corrected load.
    #[default]
    BestOfTwo,
    /// Each in turn.
    RoundRobin,
    /// Any.
    Random,
    /// Least load by uncorrected report, over the whole pool.
    LeastReported,
}

/// What is asked of the pool.
#[derive(Clone, Copy)]
pub struct Query<'a> {
    /// Candidates.
    pub pool: &'a [Key],
    /// Their descriptions.
    pub table: &'a Table,
    /// Their load.
    pub board: &'a Tracker,
    /// How long the request will hold a slot, in milliseconds.
    pub work: u64,
    /// Time of the decision.
    pub now: Millis,
}

/// Chooses runners, with randomness from a seed.
#[derive(Clone, Debug)]
pub struct Chooser {
    mode: Mode,
    random: SmallRng,
    turn: usize,
}

impl Chooser {
    /// A chooser whose choices repeat for the same seed.
    pub fn new(mode: Mode, seed: u64) -> Self {
        Self { mode, random: SmallRng::seed_from_u64(seed), turn: 0 }
    }

    /// A runner of the pool that passes a check, if there is one.
    pub fn choose(&mut self, query: Query<'_>, eligible: impl Fn(&Runner) -> bool) -> Option<Id> {
        let usable = |runner: &Runner| {
            eligible(runner) && query.board.estimate(runner.id).avoid_until <= query.now
        };
        match self.mode {
            Mode::BestOfTwo => {
                let first = self.draw(query, &usable)?;
                let second = self.draw(query, &usable)?;
                Some(lighter(query, first, second))
            }
            Mode::Random => self.draw(query, &usable).map(|it| it.id),
            Mode::RoundRobin => {
                self.turn = self.turn.wrapping_add(1);
                scan(query, self.turn, &usable).map(|it| it.id)
            }
            Mode::LeastReported => query
                .pool
                .iter()
                .filter_map(|key| query.table.get(*key))
                .filter(|runner| usable(runner))
                .min_by_key(|runner| reported(query.board.estimate(runner.id)))
                .map(|it| it.id),
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
        for _ in 0..DRAWS {
            let key = query.pool[self.random.random_range(0..query.pool.len())];
            if let Some(runner) = query.table.get(key).filter(|it| usable(it)) {
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

/// The runner with less expected wait: what its owner told, and what was sent there since.
fn lighter(query: Query<'_>, first: &Runner, second: &Runner) -> Id {
    let cost = |runner: &Runner| {
        let entry = query.board.estimate(runner.id);
        let slots = runner.slots.max(1);
        let sent = u64::from(entry.sent_since_report) * query.work / u64::from(slots);
        let wait = u64::from(entry.report.wait_millis) + sent;
        (wait, entry.outstanding() * COST_SCALE / slots)
    };
    if cost(second) < cost(first) { second.id } else { first.id }
}

/// Fixed-point scale for load per slot.
const COST_SCALE: u32 = 1000;

fn reported(entry: Estimate) -> u32 {
    entry.report.busy + entry.report.waiting
}
