//! Assembles the output of a request from the pieces of its attempts, by offset.

use crosslane_state::attempt::Id;

/// What to do with a piece of output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Piece {
    /// Forward it to the caller.
    Take,
    /// Drop it: it is a duplicate or belongs to another attempt than the current one.
    Drop,
    /// Pieces before it are missing: abort the attempt and resume with another.
    Gap,
}

/// Accepts the pieces of the current attempt in order, each exactly once.
#[derive(Clone, Debug)]
pub struct Splice {
    attempt: Id,
    next: u64,
    ended: bool,
}

impl Splice {
    /// A splice that expects the first piece of an attempt.
    pub fn new(attempt: Id) -> Self {
        Self { attempt, next: 0, ended: false }
    }

    /// Continues with another attempt at the same offset.
    pub fn switch(&mut self, attempt: Id) {
        self.attempt = attempt;
    }

    /// Offset of the next piece expected.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Decides what to do with a piece.
    pub fn piece(&mut self, attempt: Id, offset: u64) -> Piece {
        if self.ended || attempt != self.attempt || offset < self.next {
            return Piece::Drop;
        }
        if offset > self.next {
            return Piece::Gap;
        }
        self.next += 1;
        Piece::Take
    }

    /// Handles an end marker after `total` pieces; returns whether the output is complete.
    pub fn end(&mut self, attempt: Id, total: u64) -> bool {
        if attempt == self.attempt && total == self.next {
            self.ended = true;
        }
        self.ended
    }
}
