//! How many requests a node takes on at once, by how long its own work waits.
//!
//! Load pattern: most new connections of a failure domain or region at one VM with a fraction of a core and a slow link. A node that
//! takes on all of them serves all of them late. What it can run is no number of its settings: it depends on the requests, the
//! endpoints, and what else uses the VM. So the limit follows from the waits that it causes (`delay`). Once work waits
//! too long in two periods on end, no more requests may be open than there were without such waits; fewer if that does not end them, and more
//! again when they have ended. Without waits there is no limit.
//!
//! The limit applies to new connections before anything is read from them. A connection that is closed unread costs its caller one
//! round trip, and any request on it may be sent to another node. Each period takes one new connection in any case: a
//! node that takes none looks dead, and what it takes shows whether the limit still fits.

use crate::delay::Standing;
use crosslane_state::time::Millis;
use std::time::Duration;

/// Periods in the shortest latency target: a limit is to take effect before requests are late.
const PERIODS: u32 = 3;

/// Part of the shortest latency target that work may wait each time that it needs the processor or the link. A request does so
/// some ten times, and its own waits may take a third of its target.
const WAIT_DIVISOR: u32 = 30;

/// Share of a period in which a node that can't run more has something to run. One that is idle for longer runs what it has.
const BUSY: f64 = 0.9;

/// Part of the open requests that a first limit leaves, where fewer were borne: a node that has just started knows of none.
const FIRST: f64 = 0.5;

/// Factor of the limit after a period in which work waited too long.
const DECREASE: f64 = 0.75;

/// Factor of the limit after any other period.
const INCREASE: f64 = 1.125;

/// Factor by which requests that were open without waits count less after each period.
const FADING: f64 = 0.98;

/// Multiple of the most open requests of a period from which on a limit is no longer needed.
const UNNEEDED: f64 = 4.0;

/// Part of the limit that is free before a full node takes new connections again, so that it does not change its mind with each.
const ROOM_DIVISOR: f64 = 8.0;

/// Length of a period, where this is the shortest latency target.
pub fn period(target: Duration) -> Duration {
    target / PERIODS
}

/// Whether a new connection is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is served.
    Take,
    /// It is closed before anything is read.
    Close,
}

/// Limit on the requests that are open at a node.
#[derive(Clone, Debug, Default)]
pub struct Intake {
    limit: Option<f64>,
    /// Requests that were open lately without waits.
    borne: f64,
    /// Whether work waited too long in the last period.
    waited: bool,
    /// When the current period began.
    since: Millis,
    /// Most requests that were open at once in this period.
    most_open: usize,
    /// Whether a new connection was taken in this period.
    took: bool,
}

impl Intake {
    /// Whether the current period is over, where this is the shortest latency target.
    pub fn is_due(&self, target: Duration, now: Millis) -> bool {
        u128::from(now.since(self.since)) >= period(target).as_millis()
    }

    /// Begins a period, with a number of open requests. `standing` holds the waits of the last one.
    pub fn begin_period(&mut self, standing: Standing, open: usize, target: Duration, now: Millis) {
        let most_open = std::mem::replace(&mut self.most_open, open) as f64;
        let waited = waits_too_long(standing, target);
        let lasts = std::mem::replace(&mut self.waited, waited) || self.limit.is_some();
        if waited && lasts {
            self.decrease(most_open);
        } else if !waited {
            self.borne = most_open.max(self.borne * FADING);
            // Without a round trip it is not known whether the link is free.
            if standing.link.is_some() {
                self.limit = self.limit.map(|limit| limit * INCREASE + 1.0);
            }
            self.limit = self.limit.filter(|limit| *limit < most_open * UNNEEDED);
        }
        (self.since, self.took) = (now, false);
    }

    fn decrease(&mut self, most_open: f64) {
        let limit = match self.limit {
            None => self.borne.max(most_open * FIRST),
            // A limit that the open requests still exceed has not shown its effect.
            Some(limit) if most_open > limit + 1.0 => limit,
            Some(limit) => limit * DECREASE,
        };
        self.limit = Some(limit.max(1.0));
        self.borne = self.borne.min(limit);
    }

    /// Records how many requests are open.
    pub fn record_open(&mut self, open: usize) {
        self.most_open = self.most_open.max(open);
    }

    /// Decides on a new connection while a number of requests are open.
    pub fn decide(&mut self, open: usize) -> Verdict {
        if self.is_full(open) && self.took {
            return Verdict::Close;
        }
        self.took = true;
        Verdict::Take
    }

    /// Whether as many requests are open as the node takes on.
    pub fn is_full(&self, open: usize) -> bool {
        self.limit.is_some_and(|limit| open as f64 >= limit)
    }

    /// Whether a node that was full takes several new connections.
    pub fn has_room(&self, open: usize) -> bool {
        self.limit.is_none_or(|limit| open as f64 + (limit / ROOM_DIVISOR).max(1.0) <= limit)
    }

    /// The limit in force, if there is one.
    pub fn limit(&self) -> Option<usize> {
        self.limit.map(|limit| limit as usize)
    }
}

/// Whether the work of a period waited so long for the node itself that requests become late.
fn waits_too_long(standing: Standing, target: Duration) -> bool {
    let limit = target / WAIT_DIVISOR;
    let is_long = |wait: Option<Duration>| wait.is_some_and(|wait| wait > limit);
    is_long(standing.link) || (standing.busy >= BUSY && is_long(standing.processor))
}
