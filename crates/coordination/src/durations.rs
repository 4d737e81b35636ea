//! How long requests last, by those that ended lately and those that are under way.
//!
//! A node that stops takes a request only if it ends before the kill. Under load streams last several times as long as on
//! a calm day, so the longest of the last minute tells, and the age of what still runs.

use crosslane_state::time::Millis;
use std::collections::BTreeSet;

/// Time after which what ended in it begins to be forgotten, in milliseconds.
const WINDOW: u64 = 30_000;

/// A request that is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Mark {
    began: Millis,
    number: u64,
}

/// Durations of the requests of one service.
#[derive(Clone, Debug, Default)]
pub struct Durations {
    open: BTreeSet<Mark>,
    counter: u64,
    /// The longest that ended in this window and in the one before, in milliseconds.
    longest: [Option<u64>; 2],
    /// When this window began.
    turned: Millis,
}

impl Durations {
    /// Notes that a request begins.
    pub fn begin(&mut self, now: Millis) -> Mark {
        self.counter += 1;
        let mark = Mark { began: now, number: self.counter };
        self.open.insert(mark);
        mark
    }

    /// Notes that it ended. One that was not answered whole would have lasted longer, if it ran at all.
    pub fn end(&mut self, mark: Mark, whole: bool, now: Millis) {
        self.open.remove(&mark);
        self.turn(now);
        if whole || self.ended().is_some() {
            let lasted = now.since(mark.began);
            self.longest[0] = self.longest[0].max(Some(lasted));
        }
    }

    /// Time that requests last at the longest, in milliseconds; nothing if none was answered lately.
    pub fn longest(&mut self, now: Millis) -> Option<u64> {
        self.turn(now);
        let oldest = self.open.first().map_or(0, |it| now.since(it.began));
        self.ended().map(|it| it.max(oldest))
    }

    fn ended(&self) -> Option<u64> {
        self.longest[0].max(self.longest[1])
    }

    fn turn(&mut self, now: Millis) {
        let windows = now.since(self.turned) / WINDOW;
        if windows > 0 {
            self.longest = [None, if windows == 1 { self.longest[0] } else { None }];
            self.turned = now;
        }
    }
}
