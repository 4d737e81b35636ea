//! How long requests last, by those that ended recently and those in progress.
//!
//! A node that stops accepts a request only if it ends before the node is killed. Under load
//! streams last several times as long as at other times, so the estimate is the longest of the last
//! minute and the age of the oldest in progress.

use crosslane_state::time::Millis;
use std::collections::BTreeSet;

/// Length of a window, in milliseconds. Durations are kept for their own window and the next one.
const WINDOW_MS: u64 = 30_000;

/// Start of a request in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timer {
    started_at: Millis,
    number: u64,
}

/// Durations of the requests of one service.
#[derive(Clone, Debug, Default)]
pub struct Durations {
    in_progress: BTreeSet<Timer>,
    counter: u64,
    /// Longest duration in this window and in the one before, in milliseconds.
    longest: [Option<u64>; 2],
    /// Start of this window.
    window_start: Millis,
}

impl Durations {
    /// Records the start of a request.
    pub fn begin(&mut self, now: Millis) -> Timer {
        self.counter += 1;
        let timer = Timer { started_at: now, number: self.counter };
        self.in_progress.insert(timer);
        timer
    }

    /// Records its end. A request without a complete answer would have lasted longer, or did not
    /// run at all, so it counts only if a complete one is known.
    pub fn end(&mut self, timer: Timer, complete: bool, now: Millis) {
        self.in_progress.remove(&timer);
        self.rotate(now);
        if complete || self.longest_ended().is_some() {
            let duration = now.since(timer.started_at);
            self.longest[0] = self.longest[0].max(Some(duration));
        }
    }

    /// Longest duration to expect, in milliseconds; `None` if no request was answered recently.
    pub fn longest(&mut self, now: Millis) -> Option<u64> {
        self.rotate(now);
        let oldest = self.in_progress.first().map_or(0, |timer| now.since(timer.started_at));
        self.longest_ended().map(|longest| longest.max(oldest))
    }

    fn longest_ended(&self) -> Option<u64> {
        self.longest[0].max(self.longest[1])
    }

    fn rotate(&mut self, now: Millis) {
        let elapsed_windows = now.since(self.window_start) / WINDOW_MS;
        if elapsed_windows > 0 {
            self.longest = [None, if elapsed_windows == 1 { self.longest[0] } else { None }];
            self.window_start = now;
        }
    }
}
