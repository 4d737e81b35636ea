//! Output of a request, pieced together from attempts by offset.

use crosslane_state::attempt::Id;

/// What to do with a piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Piece {
    /// Hand it on.
    Take,
    /// Drop it: the attempt is not the current one, or the piece came before.
    Drop,
    /// Pieces are missing before it: break off and resume.
    Gap,
}

/// Accepts pieces of the current attempt in order, each once.
#[derive(Clone, Debug)]
pub struct Splice {
    attempt: Id,
    next: u64,
    ended: bool,
}

impl Splice {
    /// Expects the first piece of an attempt.
    pub fn new(attempt: Id) -> Self {
        Self { attempt, next: 0, ended: false }
    }

    /// Goes on with another attempt from the same offset.
    pub fn switch(&mut self, attempt: Id) {
        self.attempt = attempt;
    }

    /// Offset of the piece that comes next.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Judges a piece.
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

    /// Judges an end mark after `total` pieces; true when the output is complete.
    pub fn end(&mut self, attempt: Id, total: u64) -> bool {
        if attempt == self.attempt && total == self.next {
            self.ended = true;
        }
        self.ended
    }
}
