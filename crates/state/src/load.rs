//! Load of runners: lagging reports, corrected by what was granted since.

use crate::runner::Id;
use crate::time::Millis;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Load of a runner as its owner tells it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Slots in use or granted.
    pub busy: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Expected wait for a new request, in milliseconds.
    pub wait_millis: u32,
}

/// What is known of one runner.
#[derive(Clone, Copy, Debug, Default)]
pub struct Entry {
    /// Latest report.
    pub report: Report,
    /// When it came.
    pub at: Millis,
    /// Requests sent there since.
    pub sent: u32,
    /// Do not use before this time.
    pub shunned_until: Millis,
}

impl Entry {
    /// Requests believed to be at the runner.
    pub fn depth(&self) -> u32 {
        self.report.busy + self.report.waiting + self.sent
    }
}

/// Load of all runners this node hears of.
#[derive(Clone, Debug, Default)]
pub struct Board {
    entries: HashMap<Id, Entry>,
}

impl Board {
    /// What is known of a runner.
    pub fn get(&self, id: Id) -> Entry {
        self.entries.get(&id).copied().unwrap_or_default()
    }

    /// Takes in a report.
    pub fn report(&mut self, id: Id, report: Report, now: Millis) {
        let entry = self.entries.entry(id).or_default();
        entry.report = report;
        entry.at = now;
        entry.sent = 0;
    }

    /// Takes in the wait that an owner told with a grant.
    pub fn told(&mut self, id: Id, wait_millis: u32) {
        let entry = self.entries.entry(id).or_default();
        entry.report.wait_millis = wait_millis;
        entry.sent = 0;
    }

    /// Counts a request sent to a runner.
    pub fn sent(&mut self, id: Id) {
        self.entries.entry(id).or_default().sent += 1;
    }

    /// Takes back a request that did not stay there.
    pub fn unsent(&mut self, id: Id) {
        let entry = self.entries.entry(id).or_default();
        entry.sent = entry.sent.saturating_sub(1);
    }

    /// Keeps requests away from a runner that failed.
    pub fn shun(&mut self, id: Id, until: Millis) {
        self.entries.entry(id).or_default().shunned_until = until;
    }
}
