//! When an endpoint that sends nothing counts as stalled.
//!
//! A stalled endpoint need not be dead: an engine that runs out of memory suspends runs and
//! continues them later, and a busy one is just slow. So a stall never ends an attempt by itself.
//! It starts the search for another endpoint, and the first one is given up only once the other is
//! sure to take the request.
//!
//! A stall consists of several timeouts in a row, each with a timer of its own, and a timeout
//! counts once however long it took. When this node itself was paused for seconds, its timer fires
//! before the node has read what arrived meanwhile; one timer for the whole stall would take that
//! pause for a stall of the endpoint.

/// Counter of consecutive timeouts.
#[derive(Clone, Copy, Debug)]
pub struct Stall {
    threshold: u32,
    timeouts: u32,
}

impl Stall {
    /// Starts to count towards a stall of `threshold` timeouts. A new counter is created with each
    /// output.
    pub fn after(threshold: u32) -> Self {
        Self { threshold, timeouts: 0 }
    }

    /// Counts a timeout; true if it completes a stall, and again after as many more.
    pub fn record_timeout(&mut self) -> bool {
        self.timeouts += 1;
        self.timeouts.is_multiple_of(self.threshold)
    }
}
