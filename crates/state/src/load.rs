//! Load of runners: delayed reports of their owners, corrected by the requests sent since.

use crate::runner::Id;
use crate::time::Millis;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Load of a runner, reported by the node that owns it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Slots in use or granted.
    pub busy: u32,
    /// Requests queued for a slot.
    pub waiting: u32,
    /// Expected wait for a new request, in milliseconds.
    pub wait_millis: u32,
}

/// Load estimate of one runner.
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimate {
    /// Latest report.
    pub report: Report,
    /// Time at which it arrived.
    pub reported_at: Millis,
    /// Requests sent to the runner since the latest report or grant.
    pub sent_since_report: u32,
    /// The runner gets no requests before this time.
    pub avoid_until: Millis,
}

impl Estimate {
    /// Estimated number of outstanding requests: in slots, queued, or sent since.
    pub fn outstanding(&self) -> u32 {
        self.report.busy + self.report.waiting + self.sent_since_report
    }
}

/// Load estimates of all runners for which this node has reports.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    estimates: HashMap<Id, Estimate>,
}

impl Tracker {
    /// Estimate for a runner, empty without a report.
    pub fn estimate(&self, id: Id) -> Estimate {
        self.estimates.get(&id).copied().unwrap_or_default()
    }

    /// Replaces the latest report and restarts the count of requests sent since.
    pub fn record_report(&mut self, id: Id, report: Report, now: Millis) {
        let estimate = self.estimates.entry(id).or_default();
        estimate.report = report;
        estimate.reported_at = now;
        estimate.sent_since_report = 0;
    }

    /// Updates the expected wait, which an owner returns with each grant.
    pub fn record_wait(&mut self, id: Id, wait_millis: u32) {
        let estimate = self.estimates.entry(id).or_default();
        estimate.report.wait_millis = wait_millis;
        estimate.sent_since_report = 0;
    }

    /// Counts a request sent to a runner.
    pub fn record_sent(&mut self, id: Id) {
        self.estimates.entry(id).or_default().sent_since_report += 1;
    }

    /// Uncounts a sent request: the runner refused it, or its call has ended.
    pub fn undo_sent(&mut self, id: Id) {
        let estimate = self.estimates.entry(id).or_default();
        estimate.sent_since_report = estimate.sent_since_report.saturating_sub(1);
    }

    /// Sends no requests to a failed runner before a time.
    pub fn avoid(&mut self, id: Id, until: Millis) {
        self.estimates.entry(id).or_default().avoid_until = until;
    }
}
