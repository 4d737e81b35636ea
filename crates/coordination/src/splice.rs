//! Assembles the output of a request from the pieces of its attempts, by offset.

use crosslane_state::attempt::Id;

/// What to do with a piece of output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Forward it to the caller.
    Forward,
    /// Drop it: it is a duplicate or belongs to another attempt than the current one.
    Drop,
    /// Pieces before it are missing: abort the attempt and resume with another.
    Gap,
}

/// Accepts the pieces of the current attempt in order, each exactly once.
#[derive(Clone, Debug)]
pub struct Splice {
    attempt: Id,
    next_offset: u64,
    ended: bool,
}

impl Splice {
    /// A splice that expects the first piece of an attempt.
    pub fn new(attempt: Id) -> Self {
        Self { attempt, next_offset: 0, ended: false }
    }

    /// Continues with another attempt at the same offset.
    pub fn switch_attempt(&mut self, attempt: Id) {
        self.attempt = attempt;
    }

    /// Offset of the next piece expected.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Decides what to do with a piece.
    pub fn accept(&mut self, attempt: Id, offset: u64) -> Action {
        if self.ended || attempt != self.attempt || offset < self.next_offset {
            return Action::Drop;
        }
        if offset > self.next_offset {
            return Action::Gap;
        }
        self.next_offset += 1;
        Action::Forward
    }

    /// Handles an end marker after `total` pieces; returns whether the output is complete.
    pub fn finish(&mut self, attempt: Id, total: u64) -> bool {
        if attempt == self.attempt && total == self.next_offset {
            self.ended = true;
        }
        self.ended
    }
}
