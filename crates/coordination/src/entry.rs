//! Load and health of one endpoint as one node sees them.

use crate::calls;
use crate::health::Health;
use crate::speed::Speed;
use crate::usage::Usage;
use crosslane_state::build::Build;
use crosslane_state::endpoint::{Endpoint, Tag};
use crosslane_state::time::Millis;
use serde::{Deserialize, Serialize};

/// Weighted outcomes above which they are shared: failures always, successes only if other nodes
/// report failures.
const SHARED_OUTCOMES: f32 = 0.5;

/// Time for which a load report is used. Plain calls last about 60 ms.
pub(crate) const LOAD_REPORT_TTL_MS: u64 = 400;

/// Duration of the slow start after an endpoint lifts its rate limit, and the additional utilization
/// it is assumed to have at the start. Without it, the endpoint looks empty and all nodes would send
/// it their new requests at once.
const SLOW_START_MS: u64 = 3_000;
const SLOW_START_LOAD: f64 = 0.5;

/// The same while an endpoint is cold, so that it is slow.
const COLD_LOAD: f64 = 0.3;

/// A load report that came with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Requests that the endpoint processes at once.
    pub slots: u32,
    /// How long work takes at present, in percent of the usual time, if the endpoint states it.
    pub pace_percent: Option<u32>,
}

/// An endpoint with its load and health.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) tag: Tag,
    pub(crate) build: Build,
    pub(crate) endpoint: Endpoint,
    pub(crate) local: Usage,
    pub(crate) remote: Usage,
    pub(crate) health: Health,
    /// Newest report, to this node or to another one.
    pub(crate) reported_load: Option<(Load, Millis)>,
    /// Newest report to this node.
    pub(crate) own_load: Option<(Load, Millis)>,
    /// When its record disappeared, if it may return.
    pub(crate) lapsed_at: Option<Millis>,
    /// Time until which its rate limit leaves no room for this node.
    pub(crate) throttled_until: Millis,
    /// When it lifted its rate limit.
    pub(crate) limit_lifted_at: Option<Millis>,
    /// Time until which it is cold.
    pub(crate) cold_until: Millis,
    /// Speed in its stage.
    pub(crate) speed: Speed,
}

impl Entry {
    /// This node's usage of the endpoint, as shared with other nodes.
    pub(crate) fn usage_row(&self, now: Millis) -> (Tag, Usage) {
        let outcomes = self.health.record(now);
        (self.tag, Usage { outcomes, ..self.local })
    }

    /// Score penalty for failures: by the outcomes of this node alone or of all nodes together,
    /// whichever is higher.
    pub(crate) fn penalty(&self, now: Millis) -> f64 {
        let local = self.health.record(now);
        local.penalty().max(local.plus(self.remote.outcomes).penalty())
    }

    /// Utilization added while the endpoint is cold, or during the slow start, where it falls linearly to zero.
    pub(crate) fn slow_start_load(&self, now: Millis) -> f64 {
        if self.cold_until > now {
            return COLD_LOAD;
        }
        let elapsed = self.limit_lifted_at.map_or(SLOW_START_MS, |at| now.since(at));
        SLOW_START_LOAD * SLOW_START_MS.saturating_sub(elapsed) as f64 / SLOW_START_MS as f64
    }

    /// Whether other nodes need to know this node's usage of the endpoint.
    pub(crate) fn worth_sharing(&self, now: Millis) -> bool {
        let Usage { requests, tokens, .. } = self.local;
        let outcomes = self.health.record(now);
        let disputed =
            self.remote.outcomes.failures > SHARED_OUTCOMES && outcomes.successes > SHARED_OUTCOMES;
        requests > 0 || tokens > 0 || outcomes.failures > SHARED_OUTCOMES || disputed
    }

    /// Whether the endpoint states its pace.
    pub(crate) fn states_pace(&self) -> bool {
        self.reported_load.is_some_and(|(load, _)| load.pace_percent.is_some())
    }

    /// Queue of a plain endpoint that reported its load and pace a short time ago.
    pub(crate) fn queue(&self, run_ms: f64, now: Millis) -> Option<calls::Queue> {
        let (load, _) = self.reported_load.filter(|(_, at)| now.since(*at) < LOAD_REPORT_TTL_MS)?;
        load.pace_percent?;
        let slots = f64::from(load.slots);
        let in_progress = self.utilization(0, now) * f64::from(self.endpoint.slots.max(1));
        Some(calls::Queue { in_progress, slots, run_ms: run_ms * self.speed.deviation(now) })
    }

    /// Load as a share of the endpoint's capacity: by tokens of KV cache, or by slots if `capacity`
    /// is zero.
    pub(crate) fn utilization(&self, capacity: u64, now: Millis) -> f64 {
        if capacity > 0 {
            return f64::from(self.local.tokens + self.remote.tokens) / capacity as f64;
        }
        self.request_load(now)
    }

    /// Requests in progress as a share of the endpoint's slots.
    pub(crate) fn request_load(&self, now: Millis) -> f64 {
        let slots = f64::from(self.endpoint.slots.max(1));
        let reported = match self.reported_load {
            Some((load, at)) if now.since(at) < LOAD_REPORT_TTL_MS => load.running + load.waiting,
            _ => 0,
        };
        let tracked = self.local.requests + self.remote.requests;
        f64::from(reported.max(tracked)) / slots
    }
}
