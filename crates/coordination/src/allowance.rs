//! This node's share of the retry budget that all nodes spend together.
//!
//! The budget is a ratio of a service's requests in a sliding window plus a fixed slack. A node
//! sees only its own requests, so it spends the ratio of those and an even part of the slack,
//! both with a margin for windows that do not line up between nodes.

use crosslane_state::time::Millis;
use std::collections::{HashMap, VecDeque};

/// Share of the ratio that is spent; the rest is margin (a window's requests can fall by a
/// quarter against the one before).
const RATIO_MARGIN: f64 = 0.7;

/// Share of the slack that is spent; the rest covers nodes that hold different member counts.
const SLACK_MARGIN: f64 = 0.6;

/// The budget of all nodes for one service.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Repeats per request.
    pub ratio: f64,
    /// Repeats allowed besides.
    pub slack: f64,
    /// Window, in milliseconds.
    pub window: u64,
}

/// Times of one service's requests and repeats within the window.
#[derive(Debug, Default)]
struct Tally {
    requests: VecDeque<Millis>,
    repeats: VecDeque<Millis>,
}

impl Tally {
    fn forget(&mut self, before: Millis) {
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|it| *it < before) {
                times.pop_front();
            }
        }
    }
}

/// What this node may spend on repeats.
#[derive(Debug)]
pub struct Allowance {
    budget: Budget,
    services: HashMap<String, Tally>,
}

impl Allowance {
    /// A node's part of a budget.
    pub fn new(budget: Budget) -> Self {
        Self { budget, services: HashMap::new() }
    }

    /// Counts a request for a service.
    pub fn request(&mut self, service: &str, now: Millis) {
        let window = self.budget.window;
        let tally = self.tally(service);
        tally.requests.push_back(now);
        tally.forget(now - window);
    }

    /// Takes one repeat among `members` nodes, if the budget still has it.
    pub fn take(&mut self, service: &str, members: usize, now: Millis) -> bool {
        let Budget { ratio, slack, window } = self.budget;
        let tally = self.tally(service);
        tally.forget(now - window);
        let earned = ratio * RATIO_MARGIN * tally.requests.len() as f64;
        let part = slack * SLACK_MARGIN / members.max(1) as f64;
        let granted = (tally.repeats.len() as f64) + 1.0 <= earned + part;
        if granted {
            tally.repeats.push_back(now);
        }
        granted
    }

    fn tally(&mut self, service: &str) -> &mut Tally {
        self.services.entry(service.to_owned()).or_default()
    }
}
