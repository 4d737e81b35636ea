//! How long requests last, by those that ended recently and those in progress.
//!
//! A node that stops accepts a request only if it ends before the node is killed. Under load
//! streams last several times as long as at other times, so the estimate is the longest of the last
//! minute and the age of the oldest in progress. If a request says how many tokens it expects, the
//! estimate is the slowest of these per expected token, which covers both the load and how far such
//! expectations are off.

use crosslane_state::time::Millis;
use std::collections::BTreeSet;

/// Length of a window, in milliseconds. Durations are kept for their own window and the next one.
const WINDOW_MS: u64 = 30_000;

/// Start of a request in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timer {
    started_at: Millis,
    number: u64,
    /// Tokens that the request expects; zero if unknown.
    tokens: u32,
}

impl Timer {
    /// Duration until a time, in milliseconds; not zero, as it is a measure for longer requests.
    fn elapsed(&self, now: Millis) -> u64 {
        now.since(self.started_at).max(1)
    }

    /// Duration until a time per expected token, in milliseconds.
    fn per_token(&self, now: Millis) -> Option<f64> {
        (self.tokens > 0).then(|| self.elapsed(now) as f64 / f64::from(self.tokens))
    }
}

/// Durations of the requests of one service.
#[derive(Clone, Debug, Default)]
pub struct Durations {
    in_progress: BTreeSet<Timer>,
    counter: u64,
    /// Longest duration in this window and in the one before, in milliseconds.
    longest: [Option<u64>; 2],
    /// The same per expected token.
    longest_per_token: [Option<f64>; 2],
    /// Start of this window.
    window_start: Millis,
}

impl Durations {
    /// Records the start of a request that expects some tokens; zero if unknown.
    pub fn begin(&mut self, now: Millis, tokens: u32) -> Timer {
        self.counter += 1;
        let timer = Timer { started_at: now, number: self.counter, tokens };
        self.in_progress.insert(timer);
        timer
    }

    /// Records its end. A request without a complete answer would have lasted longer, or did not
    /// run at all, so it counts only if a complete one is known.
    pub fn end(&mut self, timer: Timer, complete: bool, now: Millis) {
        self.in_progress.remove(&timer);
        self.rotate(now);
        if complete || self.longest_ended().is_some() {
            self.longest[0] = self.longest[0].max(Some(timer.elapsed(now)));
            let per_token = self.longest_per_token[0].into_iter().chain(timer.per_token(now));
            self.longest_per_token[0] = per_token.reduce(f64::max);
        }
    }

    /// Longest duration to expect of a request that expects some tokens, in milliseconds; `None` if no request was
    /// answered recently.
    pub fn longest(&mut self, now: Millis, tokens: u32) -> Option<u64> {
        self.rotate(now);
        if tokens > 0
            && let Some(ended) = self.longest_per_token.into_iter().flatten().reduce(f64::max)
        {
            let running = self.in_progress.iter().filter_map(|timer| timer.per_token(now));
            return Some((running.fold(ended, f64::max) * f64::from(tokens)) as u64);
        }
        let oldest = self.in_progress.first().map_or(0, |timer| now.since(timer.started_at));
        self.longest_ended().map(|longest| longest.max(oldest))
    }

    fn longest_ended(&self) -> Option<u64> {
        self.longest[0].max(self.longest[1])
    }

    fn rotate(&mut self, now: Millis) {
        let elapsed_windows = now.since(self.window_start) / WINDOW_MS;
        if elapsed_windows > 0 {
            let keep = elapsed_windows == 1;
            self.longest = [None, self.longest[0].filter(|_| keep)];
            self.longest_per_token = [None, self.longest_per_token[0].filter(|_| keep)];
            self.window_start = now;
        }
    }
}
