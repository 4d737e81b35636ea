//! Callers who come back with a stream that broke off: how many go on, compared with the new streams that begin.

use crosslane_platform_standins::ledger::Ledger;
use std::sync::{Mutex, PoisonError};

/// Returns from which on the promise holds.
const MIN_RETURNS: u64 = 12;

/// Part of the share of new streams that begin, which the share of returns that go on must reach.
const LEAST_SHARE: f64 = 0.5;

/// Streams at nodes in touch.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    all: u64,
    /// Those of which events arrived.
    served: u64,
}

impl Count {
    fn add(&mut self, served: bool) {
        self.all += 1;
        self.served += u64::from(served);
    }

    fn share(self) -> f64 {
        self.served as f64 / self.all.max(1) as f64
    }
}

/// New streams, and those that callers took up again.
#[derive(Debug, Default)]
pub struct Returns(Mutex<[Count; 2]>);

impl Returns {
    /// Records whether events arrived of a new stream, or of one that its caller took up again.
    pub fn record(&self, again: bool, served: bool) {
        let mut counts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        counts[usize::from(again)].add(served);
    }

    /// Holds the share of returns that go on against that of new streams that begin.
    pub fn check(&self, ledger: &Ledger) {
        let [new, again] = *self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if again.all >= MIN_RETURNS && again.share() < LEAST_SHARE * new.share() {
            let seen = format!("{again:?}, of new streams {new:?}");
            ledger.record_violation("callers who come back go on", "", seen);
        }
    }
}
