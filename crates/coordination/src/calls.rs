//! Whether a call to a plain service is sent to an endpoint or refused.
//!
//! Load pattern: bursts beyond what the endpoints of a plain service can do. Endpoints queue several times as many calls as they
//! run at once. Without a bound the queues are full throughout a burst, and each call is late or rejected by a full endpoint, although
//! the endpoints could serve as many on time as they can run. So a call is refused when no endpoint can serve it on time, and its caller
//! is told to return after a while.

use crate::wait::Estimate;

/// Part of the latency target within which an answer is expected; the rest is for run times that vary and for reports that are old.
const EXPECTED_SHARE: f64 = 0.75;

/// Calls at an endpoint, as it reported a short time ago, and how long one takes there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Queue {
    /// Calls that run or wait.
    pub in_progress: f64,
    /// Calls that it runs at once.
    pub slots: f64,
    /// Duration of a call without waiting, in milliseconds.
    pub run_ms: f64,
}

impl Queue {
    /// Wait of the next call for a slot.
    pub fn estimate(self) -> Estimate {
        let ahead = self.in_progress - self.slots;
        Estimate { ahead, per_second: self.slots * 1_000.0 / self.run_ms.max(1.0) }
    }

    /// Expected time until the next call is answered, in milliseconds.
    pub fn answered_ms(self) -> f64 {
        self.estimate().expected_ms().max(0.0) + self.run_ms
    }
}

/// A caller of a plain service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Caller {
    /// Latency target, in milliseconds.
    pub target_ms: u64,
    /// Time until its deadline, in milliseconds.
    pub remaining_ms: u64,
}

impl Caller {
    /// Whether an endpoint with this queue can serve it within the latency target of this try. A caller that was refused before is
    /// treated like the others: if it were let into longer queues, these would make all first tries late.
    pub fn can_use(self, queue: Queue) -> bool {
        let useful_ms = self.target_ms.min(self.remaining_ms) as f64 * EXPECTED_SHARE;
        queue.answered_ms() <= useful_ms || queue.in_progress < queue.slots
    }
}
