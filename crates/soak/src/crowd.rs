//! Callers who gather at one node: where they connect, and how they fare there, compared with the other nodes.

use crate::reach::{CONTACT, Tally};
use crosslane_platform_standins::ledger::Ledger;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Part of what the other nodes serve, which the crowded node must reach.
const LEAST_SHARE: f64 = 0.75;

/// One caller in so many stays where it was.
const STAYS: usize = 10;

#[derive(Debug, Default)]
struct State {
    /// Node at which callers gather, and since when.
    node: Option<(usize, Instant)>,
    tally: Tally,
}

/// The callers' crowd, and what became of their requests.
#[derive(Debug, Default)]
pub struct Crowd(Mutex<State>);

impl Crowd {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Has callers gather at a node, or spread again.
    pub fn gather(&self, node: Option<usize>) {
        self.lock().node = node.map(|node| (node, Instant::now()));
    }

    /// Node that a caller connects to, if it gathers with others.
    pub fn node_for(&self, caller: usize) -> Option<usize> {
        let gathers = !caller.is_multiple_of(STAYS);
        self.lock().node.filter(|_| gathers).map(|(node, _)| node)
    }

    /// Whether callers gathered at a node so long before a request was sent that the promise holds.
    pub fn is_at(&self, node: usize, sent: Instant) -> bool {
        self.lock().node.is_some_and(|(at, since)| at == node && since + CONTACT <= sent)
    }

    /// Records a first try that the crowded node served.
    pub fn record_served(&self) {
        self.lock().tally.served += 1;
    }

    /// Records a first try that failed at the crowded node, and whether its repeat at another node was served.
    pub fn record_failed(&self, request: &str, served_elsewhere: bool) {
        self.lock().tally.record_failed(request, served_elsewhere);
    }

    /// First tries at crowded nodes so far.
    pub fn tally(&self) -> Tally {
        self.lock().tally.clone()
    }

    /// Holds what crowded nodes served against what others served at the same moments.
    pub fn check(&self, ledger: &Ledger) {
        let tally = &self.lock().tally;
        if tally.is_below(LEAST_SHARE) {
            let request = tally.unserved.first().map_or("", String::as_str);
            ledger.record_violation(
                "a node with most callers serves them",
                request,
                tally.to_string(),
            );
        }
    }
}
