//! Prompt segments with which requests ran well lately.
//!
//! The memory is bounded by two generations: once the younger one is full, it replaces the older one.

use crosslane_state::segment::Segment;
use crosslane_state::time::Millis;
use std::collections::HashMap;

/// Time for which a run counts, in milliseconds.
const TTL_MS: u64 = 600_000;

/// Maximum number of segments in a generation, some 40 bytes each.
const MAX_SEGMENTS: usize = 4_096;

/// Segments and when a request last ran well with each.
#[derive(Debug, Default)]
pub struct Soundness {
    young: HashMap<Segment, Millis>,
    old: HashMap<Segment, Millis>,
}

impl Soundness {
    /// Records that a request ran well with a segment.
    pub fn record(&mut self, segment: Segment, now: Millis) {
        if self.young.len() >= MAX_SEGMENTS && !self.young.contains_key(&segment) {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(segment, now);
    }

    /// Whether a request ran well with a segment lately.
    pub fn contains(&self, segment: Segment, now: Millis) -> bool {
        let at = self.young.get(&segment).or_else(|| self.old.get(&segment));
        at.is_some_and(|at| now.since(*at) < TTL_MS)
    }
}
