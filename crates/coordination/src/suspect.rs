//! What is held against one request.

use crate::ruling::{Ruling, Verdict};
use crosslane_state::endpoint::Tag;
use crosslane_state::time::Millis;

/// Strikes that shut a request out. A second crash may be chance; among 40 engines of which 30 crash in 10 s
/// three in a row hit one request in 150,000 (worked out).
pub const SHUT_AT: usize = 3;

/// Endpoints that ended with a request there, from which on it may explain what is held against another one: that it
/// was at one is chance where many run.
const EXPLAINS_AT: usize = 2;

/// Time within which endpoints end together, in milliseconds. Where 40 % of the engines ended every
/// 600 ms, 17 of 2,934 innocent requests were shut out at 7 nodes and 142 of 23,817 at 61 without the rule on them, 2 and none
/// with it (simulated, blamed for 500 ms).
pub const TOGETHER: u64 = 60;

/// Time after a last strike in which the node that saw it rules, before others do, in milliseconds.
const LEFT_TO_OTHERS: u64 = 500;

/// The same, before nodes rule that only heard of strikes: whoever saw them may have ended with them.
const LEFT_TO_WITNESSES: u64 = 1_000;

/// Time after a run's end in which its endpoint's end may still be found, in milliseconds.
const AFTERWARDS: u64 = 500;

/// Most endpoints remembered for each request, for what others are excused.
const MOST_ENDPOINTS: usize = 16;

/// A run of a suspect.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Trial {
    /// Node that runs it.
    pub by: Tag,
    pub endpoint: Tag,
    /// Until when it keeps copies back.
    pub until: Millis,
}

/// What is held against a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Suspect {
    /// Incarnations that ended under it.
    pub strikes: Vec<Tag>,
    /// Incarnations whose end has another explanation.
    pub excused: Vec<Tag>,
    /// Incarnations that ended under it and under one that is shut out.
    pub shared: Vec<Tag>,
    /// Incarnations that ended while it was tried there.
    pub beside: Vec<Tag>,
    /// Its last run that is over, and when it ended.
    pub rested: Option<(Tag, Millis)>,
    /// Last strike.
    pub at: Millis,
    pub trial: Option<Trial>,
    pub ruling: Option<Ruling>,
    /// Whether others were told of it.
    pub told: bool,
    /// Whether one of its strikes, and whether its last one, was seen by this node.
    pub seen: bool,
    pub last_seen: bool,
}

impl Suspect {
    /// Whether a ruling shuts it out.
    pub fn ruled_out(&self) -> bool {
        self.ruling.is_some_and(|it| it.verdict == Verdict::Shut)
    }

    /// Whether enough endpoints ended under it.
    pub fn guilty(&self) -> bool {
        self.strikes.len() >= SHUT_AT
    }

    /// Whether it may have ended endpoints that ended under others too: it was at two at least.
    pub fn may_explain(&self) -> bool {
        !self.ruled_out()
            && !self.strikes.is_empty()
            && self.strikes.len() + self.beside.len() >= EXPLAINS_AT
    }

    /// Whether it was at an endpoint that ended.
    pub fn was_at(&self, endpoint: Tag) -> bool {
        self.strikes.contains(&endpoint) || self.beside.contains(&endpoint)
    }

    /// Notes that an endpoint ended, if it was tried there a moment ago.
    pub fn witness(&mut self, endpoint: Tag, now: Millis) {
        let running = self.trial.is_some_and(|it| it.endpoint == endpoint && it.until > now);
        let ran = |(at, since): (Tag, Millis)| at == endpoint && now.since(since) < AFTERWARDS;
        let there = running || self.rested.is_some_and(ran);
        if there && !self.beside.contains(&endpoint) && self.beside.len() < MOST_ENDPOINTS {
            self.beside.push(endpoint);
        }
    }

    /// Ends its run.
    pub fn rest(&mut self, now: Millis) {
        self.rested = self.trial.take().map(|it| (it.endpoint, now));
    }

    /// Whether all that one ended which is shut out ended under this one too, and another endpoint besides.
    pub fn outdoes(&self, shut: &Self) -> bool {
        let here = |it: &Tag| self.strikes.contains(it) || self.shared.contains(it);
        shut.guilty()
            && shut.strikes.iter().all(here)
            && self.strikes.iter().any(|it| !shut.strikes.contains(it))
    }

    /// Takes strikes up again that were taken for another request's.
    pub fn restore(&mut self) {
        let shared = std::mem::take(&mut self.shared);
        self.strikes.extend(shared);
    }

    /// Whether this node is to rule on it now: who saw the last strike, or if that node did not, who saw another,
    /// or at last anyone. What nobody rules on is forgotten as nodes restart, and ends three endpoints more.
    pub fn due(&self, now: Millis) -> bool {
        self.ruling.is_none() && self.guilty() && now.since(self.at) >= self.left_to_others()
    }

    /// Time that this node leaves a decision on it to others which saw more, in milliseconds.
    pub fn left_to_others(&self) -> u64 {
        match (self.last_seen, self.seen) {
            (true, _) => TOGETHER,
            (false, true) => LEFT_TO_OTHERS,
            (false, false) => LEFT_TO_WITNESSES,
        }
    }

    /// Adds a strike; false if it was known or is excused.
    pub fn strike(&mut self, endpoint: Tag) -> bool {
        let known = [&self.strikes, &self.excused, &self.shared];
        let known = known.iter().any(|it| it.contains(&endpoint));
        if known || self.strikes.len() >= MOST_ENDPOINTS {
            return false;
        }
        self.strikes.push(endpoint);
        true
    }

    /// Takes back strikes that chance explains.
    pub fn excuse(&mut self, endpoints: &[Tag]) {
        let explained = self.take_back(endpoints);
        self.excused.extend(explained);
        self.excused.truncate(MOST_ENDPOINTS);
    }

    /// Takes back strikes that a request explains that is shut out.
    pub fn share(&mut self, endpoints: &[Tag]) {
        let explained = self.take_back(endpoints);
        explained.into_iter().for_each(|it| self.share_one(it));
    }

    /// Notes an end that a request explains that is shut out.
    pub fn share_one(&mut self, endpoint: Tag) {
        if !self.shared.contains(&endpoint) && self.shared.len() < MOST_ENDPOINTS {
            self.shared.push(endpoint);
        }
    }

    fn take_back(&mut self, endpoints: &[Tag]) -> Vec<Tag> {
        let (explained, left) = self.strikes.iter().copied().partition(|it| endpoints.contains(it));
        self.strikes = left;
        explained
    }
}
