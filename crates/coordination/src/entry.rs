//! What a node knows of one endpoint: what it carries, and how well it has answered.

use crate::health::Health;
use crate::usage::Usage;
use crosslane_state::endpoint::{Endpoint, Tag};
use crosslane_state::time::Millis;

/// Failures that others have seen from which on this node tells them of its successes there.
const DOUBTED: f32 = 0.5;

/// Time that a load report is used, in milliseconds; plain calls last some 60 ms.
const LOAD_LIFE: u64 = 400;

/// Time in which an endpoint that ceased to name a limit gets its full part again, in milliseconds, and the load of full
/// endpoints that it is taken to have at first. It looks empty, and all nodes would send it what comes at once.
const EASES: u64 = 3_000;
const EASED: f64 = 0.5;

/// A load report that came with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Requests it works on at once.
    pub slots: u32,
}

/// What is known of one endpoint.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) tag: Tag,
    pub(crate) endpoint: Endpoint,
    pub(crate) here: Usage,
    pub(crate) elsewhere: Usage,
    pub(crate) health: Health,
    pub(crate) load: Option<(Load, Millis)>,
    /// When its record went, if it may come back.
    pub(crate) lapsed: Option<Millis>,
    /// Until when its limit has no room for this node.
    pub(crate) held: Millis,
    /// When it ceased to name a limit.
    pub(crate) eased: Option<Millis>,
}

impl Entry {
    /// What this node has there, as it is told to others.
    pub(crate) fn row(&self, now: Millis) -> (Tag, Usage) {
        let outcomes = self.health.record(now);
        (self.tag, Usage { outcomes, ..self.here })
    }

    /// How much it is to be avoided: what this node saw itself, or all nodes together.
    pub(crate) fn penalty(&self, now: Millis) -> f64 {
        let here = self.health.record(now);
        here.penalty().max(here.plus(self.elsewhere.outcomes).penalty())
    }

    /// Load that it is taken to have beside its own, while it comes back from need.
    pub(crate) fn easing(&self, now: Millis) -> f64 {
        let since = self.eased.map_or(EASES, |at| now.since(at));
        EASED * EASES.saturating_sub(since) as f64 / EASES as f64
    }

    /// Whether other nodes need to know what this one has there.
    pub(crate) fn worth_telling(&self, now: Millis) -> bool {
        let Usage { requests, tokens, .. } = self.here;
        let outcomes = self.health.record(now);
        let doubted = self.elsewhere.outcomes.failures > DOUBTED && outcomes.successes > DOUBTED;
        requests > 0 || tokens > 0 || outcomes.failures > DOUBTED || doubted
    }

    /// Load as a share of what it carries.
    pub(crate) fn fullness(&self, capacity: u64, now: Millis) -> f64 {
        if capacity > 0 {
            return f64::from(self.here.tokens + self.elsewhere.tokens) / capacity as f64;
        }
        let slots = f64::from(self.endpoint.slots.max(1));
        let reported = match self.load {
            Some((load, at)) if now.since(at) < LOAD_LIFE => load.running + load.waiting,
            _ => 0,
        };
        let counted = self.here.requests + self.elsewhere.requests;
        f64::from(reported.max(counted)) / slots
    }
}
