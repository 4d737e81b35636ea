//! Crashes that are known of one request.

use crate::quarantine::ANNOUNCE_DELAY_MS;
use crate::ruling::{Ruling, Verdict};
use crosslane_state::endpoint::Tag;
use crosslane_state::time::Millis;
use std::collections::BTreeSet;

/// Number of strikes that shut a request out. A second crash may be coincidence; with 40 engines of
/// which 30 crash within 10 s, three in a row hit one request in 150,000.
pub const STRIKES_TO_SHUT_OUT: usize = 3;

/// Number of crashes that a request must have been present at to be a possible cause of crashes
/// under another one. Being present at one is coincidence where many requests run.
pub(crate) const CRASHES_TO_EXPLAIN: usize = 2;

/// Time within which endpoints count as going down together, in milliseconds. Without the rule on
/// joint crashes, innocent requests are shut out where 40 % of the engines crash every 600 ms.
pub const JOINT_CRASH_WINDOW_MS: u64 = 60;

/// Delay after the last strike before a node rules that saw an earlier strike but not the last one,
/// in milliseconds.
const WITNESS_DELAY_MS: u64 = 500;

/// Delay before a node rules that saw none of the strikes, in milliseconds: the nodes that saw them
/// may have gone down themselves.
const BYSTANDER_DELAY_MS: u64 = 1_000;

/// Time for which another node's trial holds back copies of the request, in milliseconds. Reserving
/// memory, prefill and the first tokens take up to 2 s. The trial ends sooner if that node reports
/// its end.
const TRIAL_MS: u64 = 3_000;

/// Time after the end of a trial in which a crash of its endpoint still counts as one it was
/// present at, in milliseconds.
const AFTER_TRIAL_MS: u64 = 500;

/// Time after its announcement before which a trial that ends was withdrawn before its run, in milliseconds.
const WITHDRAWN_MS: u64 = 2 * ANNOUNCE_DELAY_MS;

/// Maximum number of endpoints that are remembered per request and list.
const MAX_ENDPOINTS: usize = 16;

/// A run of a suspect, of which there is one at a time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Trial {
    /// Node that runs it.
    pub by: Tag,
    pub endpoint: Tag,
    pub announced_at: Millis,
    /// When it stops holding back copies of the request.
    pub until: Millis,
}

/// Crashes, trial and ruling of one request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Suspect {
    /// Incarnations whose crash counts as a strike against it.
    pub strikes: Vec<Tag>,
    /// Those of them that are in a record of the store.
    pub saved: BTreeSet<Tag>,
    /// Incarnations that crashed under it by coincidence.
    pub excused: Vec<Tag>,
    /// Incarnations that crashed under it and under another request, which is shut out for it.
    pub attributed: Vec<Tag>,
    /// Incarnations that crashed during or shortly after a trial of it there.
    pub present_at: Vec<Tag>,
    /// Endpoint of its last trial, and when that trial ended.
    pub last_trial: Option<(Tag, Millis)>,
    /// When the last strike was recorded.
    pub last_strike_at: Millis,
    pub trial: Option<Trial>,
    /// Whether segments of other requests explain its strikes.
    pub explained_by_segments: bool,
    pub ruling: Option<Ruling>,
    /// Whether other nodes were told of it.
    pub announced: bool,
    /// Whether this node saw any of its strikes, and whether it saw the last one.
    pub saw_strike: bool,
    pub saw_last_strike: bool,
}

impl Trial {
    /// A trial that is announced now.
    pub fn new(by: Tag, endpoint: Tag, now: Millis) -> Self {
        Self { by, endpoint, announced_at: now, until: now + TRIAL_MS }
    }
}

impl Suspect {
    /// Whether a ruling shuts it out.
    pub fn is_ruled_out(&self) -> bool {
        self.ruling.is_some_and(|ruling| ruling.verdict == Verdict::Shut)
    }

    /// Whether it has enough strikes to be shut out.
    pub fn has_enough_strikes(&self) -> bool {
        self.strikes.len() >= STRIKES_TO_SHUT_OUT
    }

    /// Whether it may have caused crashes that also count against other requests: it was present at
    /// two at least.
    pub fn may_cause_crashes(&self) -> bool {
        !self.is_ruled_out()
            && !self.strikes.is_empty()
            && self.strikes.len() + self.present_at.len() >= CRASHES_TO_EXPLAIN
    }

    /// Number of crashes at which it was present.
    pub fn crash_count(&self) -> usize {
        let beside = self.present_at.iter().filter(|endpoint| !self.strikes.contains(endpoint));
        self.strikes.len() + beside.count()
    }

    /// Whether it was present at a crash.
    pub fn was_present_at(&self, endpoint: Tag) -> bool {
        self.strikes.contains(&endpoint) || self.present_at.contains(&endpoint)
    }

    /// Records the crash of an endpoint if its trial runs there, or ended a moment ago.
    pub fn record_crash_nearby(&mut self, endpoint: Tag, now: Millis) {
        let running =
            self.trial.is_some_and(|trial| trial.endpoint == endpoint && trial.until > now);
        let just_ended = |(place, ended_at): (Tag, Millis)| {
            place == endpoint && now.since(ended_at) < AFTER_TRIAL_MS
        };
        let present = running || self.last_trial.is_some_and(just_ended);
        if present && !self.present_at.contains(&endpoint) && self.present_at.len() < MAX_ENDPOINTS
        {
            self.present_at.push(endpoint);
        }
    }

    /// Ends its trial.
    pub fn end_trial(&mut self, now: Millis) {
        let ran = |trial: &Trial| now.since(trial.announced_at) >= WITHDRAWN_MS;
        self.last_trial = self.trial.take().filter(ran).map(|trial| (trial.endpoint, now));
    }

    /// Whether it was present at all the crashes that another request is shut out for, and at one
    /// more.
    pub fn supersedes(&self, other: &Self) -> bool {
        let was_here =
            |endpoint: &Tag| self.strikes.contains(endpoint) || self.attributed.contains(endpoint);
        other.has_enough_strikes()
            && other.strikes.iter().all(was_here)
            && self.strikes.iter().any(|endpoint| !other.strikes.contains(endpoint))
    }

    /// Turns crashes that were attributed to another request into strikes again.
    pub fn restore_attributed(&mut self) {
        let attributed = std::mem::take(&mut self.attributed);
        self.strikes.extend(attributed);
    }

    /// Whether this node is to rule on it now. The node that saw the last strike rules first, then
    /// those that saw another one, then any: without a ruling the strikes are lost as nodes
    /// restart, and the request crashes three more endpoints.
    pub fn is_due(&self, now: Millis) -> bool {
        self.ruling.is_none()
            && self.has_enough_strikes()
            && now.since(self.last_strike_at) >= self.decision_delay_ms()
    }

    /// Time for which this node leaves the ruling to nodes that saw more, in milliseconds.
    pub fn decision_delay_ms(&self) -> u64 {
        match (self.saw_last_strike, self.saw_strike) {
            (true, _) => JOINT_CRASH_WINDOW_MS,
            (false, true) => WITNESS_DELAY_MS,
            (false, false) => BYSTANDER_DELAY_MS,
        }
    }

    /// Adds a strike; false if the crash is known.
    pub fn add_strike(&mut self, endpoint: Tag) -> bool {
        let known = [&self.strikes, &self.excused, &self.attributed];
        let known = known.iter().any(|list| list.contains(&endpoint));
        if known || self.strikes.len() >= MAX_ENDPOINTS {
            return false;
        }
        self.strikes.push(endpoint);
        true
    }

    /// Excuses strikes as coincidence.
    pub fn excuse(&mut self, endpoints: &[Tag]) {
        let removed = self.remove_strikes(endpoints);
        self.excused.extend(removed);
        self.excused.truncate(MAX_ENDPOINTS);
    }

    /// Attributes strikes to another request, which is shut out.
    pub fn attribute(&mut self, endpoints: &[Tag]) {
        let removed = self.remove_strikes(endpoints);
        removed.into_iter().for_each(|endpoint| self.attribute_one(endpoint));
    }

    /// Records a crash as attributed to another request, which is shut out.
    pub fn attribute_one(&mut self, endpoint: Tag) {
        if !self.attributed.contains(&endpoint) && self.attributed.len() < MAX_ENDPOINTS {
            self.attributed.push(endpoint);
        }
    }

    fn remove_strikes(&mut self, endpoints: &[Tag]) -> Vec<Tag> {
        let (removed, kept) =
            self.strikes.iter().copied().partition(|endpoint| endpoints.contains(endpoint));
        self.strikes = kept;
        removed
    }
}
