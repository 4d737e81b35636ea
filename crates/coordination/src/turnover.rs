//! Rate at which room comes free at the endpoints of a pool.
//!
//! By Little's law, it is the number of runs in progress divided by their mean duration. The mean is that of the runs of this node
//! that ended lately, since streams last longer under load; the runs in progress are those of all nodes.

use crosslane_state::time::Millis;

/// Time after which an observation counts 1/e, in milliseconds: some streams end within it at each node.
const DECAY_MS: f64 = 20_000.0;

/// Weight below which there are too few recent observations for an estimate.
const MIN_WEIGHT: f64 = 0.05;

/// Durations of the runs that ended at a pool.
#[derive(Clone, Copy, Debug, Default)]
pub struct Turnover {
    weight: f64,
    sum_ms: f64,
    updated: Millis,
}

impl Turnover {
    /// Records a run that ended.
    pub fn observe(&mut self, took_ms: u64, now: Millis) {
        let kept = self.decay(now);
        self.weight = self.weight * kept + 1.0;
        self.sum_ms = self.sum_ms * kept + took_ms as f64;
        self.updated = now;
    }

    /// Mean duration, in milliseconds; nothing if too few runs ended lately.
    pub fn mean_ms(&self, now: Millis) -> Option<f64> {
        let is_known = self.weight * self.decay(now) >= MIN_WEIGHT;
        is_known.then(|| (self.sum_ms / self.weight).max(1.0))
    }

    /// Runs that end per second while this many are in progress.
    pub fn per_second(&self, in_progress: u32, now: Millis) -> Option<f64> {
        let mean_ms = self.mean_ms(now)?;
        (in_progress > 0).then(|| f64::from(in_progress) * 1_000.0 / mean_ms)
    }

    fn decay(&self, now: Millis) -> f64 {
        (-(now.since(self.updated) as f64) / DECAY_MS).exp()
    }
}
