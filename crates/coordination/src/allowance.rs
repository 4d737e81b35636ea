//! This node's share of the retry budget of all nodes.
//!
//! The budget is a ratio of a service's requests in a sliding window plus a fixed slack. A node
//! sees only its own requests, so it uses the ratio of those and an even part of the slack, both
//! with a margin for windows that don't line up between nodes.
//!
//! Load pattern: a part of the engines crashes, and each broken stream is at another one of a
//! thousand nodes. An even part of the slack is less than one retry there, so that all retries
//! would be denied while the budget is unused. Half of the slack is therefore lent by one node, the
//! owner of the service's budget (`quota`), to those that need it.
//!
//! Load pattern: the nodes are killed again and again while endpoints fail. What a node has used is
//! known to its process only, so a series of restarts within a window would use the budget several
//! times. In its first window after a restart a node therefore uses a smaller ratio, and of a smaller part of the
//! slack what corresponds to its age. Over all lives of a node, a window then holds at most the part
//! of the life that was old by then, and that of a young one.

use crosslane_state::organisation::Limit;
use crosslane_state::time::Millis;
use std::collections::{HashMap, VecDeque};

/// Share of the ratio that is used. The rest is margin: the number of requests in a window can be a
/// quarter lower than in the window before.
const RATIO_MARGIN: f64 = 0.7;

/// The same for a node that started again less than a window ago. Its former life may have used the ratio in full.
const YOUNG_RATIO_MARGIN: f64 = 0.2;

/// Share of the slack that is divided evenly among the nodes. What is neither divided nor lent is
/// margin for nodes that start again, that know different numbers of members, and for a budget with two owners.
const EVEN_SLACK_SHARE: f64 = 0.3;

/// Share of the slack that the nodes gain evenly within their first window.
const YOUNG_SLACK_SHARE: f64 = 0.15;

/// Share of the slack that the owner of the budget lends within a window.
const LENT_SLACK_SHARE: f64 = 0.3;

/// Retry budget of all nodes together for one service.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Retries per request.
    pub ratio: f64,
    /// Retries allowed in addition.
    pub slack: f64,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
}

impl Budget {
    /// Limit of what the owner lends: a full bucket and what flows in during a window make up its share of the slack.
    pub fn lent(&self) -> Limit {
        let burst = self.slack * LENT_SLACK_SHARE / 2.0;
        Limit { units_per_second: burst * 1_000.0 / self.window_ms.max(1) as f64, burst }
    }
}

/// Times of one service's requests and retries within the window.
#[derive(Debug, Default)]
struct Tally {
    requests: VecDeque<Millis>,
    retries: VecDeque<Millis>,
}

impl Tally {
    fn drop_before(&mut self, before: Millis) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|time| *time < before) {
                times.pop_front();
            }
        }
    }
}

/// Retries that this node may make, by service.
#[derive(Debug)]
pub struct Allowance {
    budget: Budget,
    /// Since when what this node used is known; none if it used nothing before.
    young_since: Option<Millis>,
    services: HashMap<String, Tally>,
}

impl Allowance {
    /// Creates the part of a budget of a node that has used nothing of it.
    pub fn new(budget: Budget) -> Self {
        Self { budget, young_since: None, services: HashMap::new() }
    }

    /// Starts the first window anew: what this node used in a former life, or what the others used while they took it for dead, is
    /// not known.
    pub fn restart(&mut self, now: Millis) {
        self.young_since = Some(now);
    }

    /// Replaces the budget. Requests and retries within the former window still count.
    pub fn set_budget(&mut self, budget: Budget) {
        self.budget = budget;
    }

    /// Counts a request for a service.
    pub fn record_request(&mut self, service: &str, now: Millis) {
        let window = self.budget.window_ms;
        let tally = self.tally(service);
        tally.requests.push_back(now);
        tally.drop_before(now - window);
    }

    /// Takes a request back that was counted at a time.
    pub fn withdraw_request(&mut self, service: &str, counted_at: Millis) {
        let requests = &mut self.tally(service).requests;
        if let Some(place) = requests.iter().rposition(|time| *time == counted_at) {
            requests.remove(place);
        }
    }

    /// Takes one retry if this node's part of the budget has room for it. If not, the owner may still lend one. The slack is
    /// divided among a number of nodes, and is not used while that is not known.
    pub fn take_retry(&mut self, service: &str, sharers: Option<usize>, now: Millis) -> bool {
        let window = self.budget.window_ms;
        let (ratio, slack) = self.parts(now);
        let slack = sharers.map_or(0.0, |sharers| slack / sharers.max(1) as f64);
        let tally = self.tally(service);
        tally.drop_before(now - window);
        let limit = ratio * tally.requests.len() as f64 + slack;
        let granted = (tally.retries.len() as f64) + 1.0 <= limit;
        if granted {
            tally.retries.push_back(now);
        }
        granted
    }

    /// Ratio that this node uses, and the part of the slack that all nodes like it divide.
    fn parts(&self, now: Millis) -> (f64, f64) {
        let Budget { ratio, slack, window_ms: window } = self.budget;
        let age = self.young_since.map_or(window, |since| now.since(since));
        if age >= window {
            return (ratio * RATIO_MARGIN, slack * EVEN_SLACK_SHARE);
        }
        let gained = YOUNG_SLACK_SHARE * age as f64 / window as f64;
        (ratio * YOUNG_RATIO_MARGIN, slack * gained)
    }

    fn tally(&mut self, service: &str) -> &mut Tally {
        self.services.entry(service.to_owned()).or_default()
    }
}
