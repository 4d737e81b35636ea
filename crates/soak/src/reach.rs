//! How callers of nodes that are cut off from all endpoints fare, compared with those of the others.
//!
//! A first try that fails at a cut-off node is repeated at once at another node. Shares of all requests can't be compared: callers
//! who are refused ask again at once, so that moments in which no node can serve count most where refusals are quickest.

use crosslane_platform_standins::ledger::Ledger;
use derive_more::Display;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time from the beginning of a partition after which the promise holds.
pub const CONTACT: Duration = Duration::from_secs(3);

/// Time after the beginning of a partition in which requests may be sent over connections that it has made dead.
const DEAD_CONNECTIONS: Duration = Duration::from_millis(1_500);

/// Part of what the other nodes serve, which a cut-off node must reach.
const LEAST_SHARE: f64 = 2.0 / 3.0;

/// Failures that are no breach: some, and a part of the requests.
const BORNE: f64 = 10.0;
const BORNE_SHARE: f64 = 1.0 / 50.0;

/// First tries at cut-off nodes.
#[derive(Clone, Debug, Default, Display)]
#[display("{served} served, {failed} failed everywhere, only here {unserved:?}")]
pub struct Tally {
    /// Those that were served.
    pub served: u64,
    /// Those that failed, as did their repeats at other nodes.
    pub failed: u64,
    /// Those that failed though their repeats at other nodes were served.
    pub unserved: Vec<String>,
}

impl Tally {
    /// Whether these nodes serve far less than the others could.
    pub fn breaks(&self) -> bool {
        self.is_below(LEAST_SHARE)
    }

    /// Whether these nodes serve less than a share of what the others could.
    pub fn is_below(&self, least_share: f64) -> bool {
        let (served, unserved) = (self.served as f64, self.unserved.len() as f64);
        let all = served + self.failed as f64 + unserved;
        unserved > BORNE + BORNE_SHARE * all && served < least_share * (served + unserved)
    }

    /// Records a first try that failed, and whether its repeat at another node was served.
    pub fn record_failed(&mut self, request: &str, served_elsewhere: bool) {
        if served_elsewhere {
            self.unserved.push(request.to_owned());
        } else {
            self.failed += 1;
        }
    }
}

#[derive(Debug)]
struct State {
    /// Beginning of each node's partition, and its end if it is over.
    partitions: Vec<Option<(Instant, Option<Instant>)>>,
    tally: Tally,
}

/// Partitions of nodes from all endpoints, and what became of requests meanwhile.
#[derive(Debug)]
pub struct Reach(Mutex<State>);

impl Reach {
    /// No partition yet.
    pub fn new(nodes: usize) -> Self {
        Self(Mutex::new(State { partitions: vec![None; nodes], tally: Tally::default() }))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a partition of a node begins or ends.
    pub fn partition(&self, node: usize, cut_off: bool) {
        let now = Instant::now();
        let partition = &mut self.lock().partitions[node];
        match partition {
            Some((_, end)) if !cut_off => {
                end.get_or_insert(now);
            }
            _ if cut_off => *partition = Some((now, None)),
            _ => {}
        }
    }

    /// Whether a node was cut off from so long before a request was sent until now that the promise holds.
    pub fn is_cut_off(&self, node: usize, sent: Instant) -> bool {
        let partition = self.lock().partitions[node];
        partition.is_some_and(|(start, end)| end.is_none() && start + CONTACT <= sent)
    }

    /// Records a first try that a cut-off node served.
    pub fn record_served(&self) {
        self.lock().tally.served += 1;
    }

    /// Records a first try that failed at a cut-off node, and whether its repeat at another node was served.
    pub fn record_failed(&self, request: &str, served_elsewhere: bool) {
        self.lock().tally.record_failed(request, served_elsewhere);
    }

    /// Whether a node was not cut off for some time.
    pub fn has_way(&self, node: usize, time: Duration) -> bool {
        let is_over = |end: Option<Instant>| end.is_some_and(|end| end.elapsed() > time);
        self.lock().partitions[node].is_none_or(|(_, end)| is_over(end))
    }

    /// Whether a request was under way at a node when a partition of it began, or used a connection that it made dead.
    pub fn broke_off(&self, node: usize, sent: Instant) -> bool {
        let state = self.lock();
        state.partitions[node].is_some_and(|(start, _)| sent < start + DEAD_CONNECTIONS)
    }

    /// Holds what cut-off nodes served against what others served at the same moments.
    pub fn check(&self, ledger: &Ledger) {
        let tally = &self.lock().tally;
        if tally.breaks() {
            let seen = tally.to_string();
            let request = tally.unserved.first().map_or("", String::as_str);
            ledger.record_violation(
                "a node that reaches no endpoint serves its callers",
                request,
                seen,
            );
        }
    }
}
