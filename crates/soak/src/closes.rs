//! Answers with neither a length nor chunks: how many callers got whole, and how many nodes cut although they were whole.

use crosslane_platform_standins::caller::Ending;
use crosslane_platform_standins::ledger::{Ended, Run};
use crosslane_platform_standins::unframed::Unframed;
use std::fmt::{Display, Formatter, Result as Written};
use std::sync::{Mutex, PoisonError};

/// How such answers ended at sound nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Complete for their callers.
    pub answered: u64,
    /// Cut, although a run made them whole.
    pub cut_whole: u64,
    /// Cut, and no run made them whole.
    pub cut: u64,
}

impl Display for Tally {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Written {
        let Self { answered, cut_whole, cut } = self;
        write!(formatter, "{answered} answered, {cut} cut, {cut_whole} cut although whole")
    }
}

/// Answers with neither a length nor chunks.
#[derive(Debug, Default)]
pub struct Closes {
    unframed: Unframed,
    tally: Mutex<Tally>,
}

impl Closes {
    /// Those of a share of the requests.
    pub fn new(unframed: Unframed) -> Self {
        Self { unframed, tally: Mutex::default() }
    }

    /// Records how a request ended whose runs are these.
    pub fn record(&self, request: &str, ending: Ending, runs: &[Run]) {
        if !self.unframed.has(request) {
            return;
        }
        let is_whole = runs.iter().any(|run| run.ended == Some(Ended::Whole));
        let mut tally = self.tally.lock().unwrap_or_else(PoisonError::into_inner);
        match ending {
            Ending::Answered => tally.answered += 1,
            Ending::Cut | Ending::Closed if is_whole => tally.cut_whole += 1,
            Ending::Cut | Ending::Closed => tally.cut += 1,
            _ => {}
        }
    }

    /// What was recorded.
    pub fn tally(&self) -> Tally {
        *self.tally.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
