//! Requests that crash the endpoints that run them (poison requests), and what all nodes know of
//! them.
//!
//! Load pattern: a request that crashes its engine is sent again and again, through every node and
//! under new ids. Endpoint health is kept per incarnation and is lost with the engine, so each copy
//! would crash two more. This module remembers the request instead: an endpoint that goes down
//! right after it began to run a request is a strike against that request, and a request with
//! strikes from three incarnations is shut out.
//!
//! Other requests run at the same engine and get the strike too, so a strike alone has no cost for
//! them:
//!
//! - Only runs that began a moment before the crash get a strike. A request that completes, or that
//!   keeps running for long enough, is cleared.
//! - Only one node at a time runs a suspect, and no two suspects run at the same engine. So copies
//!   that arrive meanwhile don't each crash an engine, and a request that is resumed next to the
//!   culprit isn't struck with it again.
//! - No request is shut out while other suspects were present at all the endpoints that crashed
//!   under it: where few engines decode, a request that was interrupted together with the culprit
//!   may be resumed next to it. Suspects are then tried one by one until one of them completes, or
//!   crashes an endpoint alone.
//! - Crashes that are attributed to a request that is shut out count against no other request,
//!   unless another one was present at all of these crashes and at one more. Then that one is shut
//!   out, and the ruling on the first is lifted.
//! - If many endpoints go down together, as with a failure domain or a release, a request is a
//!   suspect only if it ran at two of them.
//!
//! Strikes are sets of incarnations, so nodes can merge updates in any order.

use crate::ruling::{SHUT_OUT_MS, Verdict};
use crate::rulings::Unsaved;
use crate::suspect::{JOINT_CRASH_WINDOW_MS, STRIKES_TO_SHUT_OUT, Suspect, Trial};
use crate::suspicion::{Status, Strike, Update};
use crosslane_state::endpoint::Tag;
use crosslane_state::fingerprint::Fingerprint;
use crosslane_state::time::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// Time from the start of a run in which a crash counts as a strike against its request, in
/// milliseconds. Culprits crash their engine 34 to 115 ms after the start. With twice this time,
/// innocent requests are shut out where engines crash in a row at 7 nodes.
pub const BLAME_WINDOW_MS: u64 = 250;

/// Time after which a run that still goes on shows that its request is innocent, in milliseconds.
pub const INNOCENT_AFTER_MS: u64 = 3 * BLAME_WINDOW_MS;

/// Time for which strikes count, in milliseconds. Callers retry within their deadline of seconds,
/// and people who try again do so within minutes.
pub(crate) const STRIKE_TTL_MS: u64 = 600_000;

/// Time for which excused crashes are kept if nothing else is known of a request, in milliseconds:
/// other nodes still report the same crashes. While any entry is kept, the fingerprint of each
/// request is computed.
const EXCUSED_TTL_MS: u64 = 2_000;

/// Time for which crashes are kept that are attributed to another request, in milliseconds. If that
/// request was only a bystander of the real culprit, the culprit is sent again within this time.
const ATTRIBUTED_TTL_MS: u64 = 60_000;

/// Time between the announcement of a trial and its start, in milliseconds. It lets a concurrent
/// announcement for the same endpoint arrive from another node first.
pub const ANNOUNCE_DELAY_MS: u64 = 20;

/// Number of endpoints going down together from which on they have another cause than a request:
/// copies that are tried one at a time crash at most two in that time.
const JOINT_CRASHES: usize = 3;

/// Maximum number of suspects, some 200 bytes each. At the maximum, known ones with more than this number of
/// strikes are kept, so that a flood of new ones can't evict them.
const MAX_SUSPECTS: usize = 4_096;
const WEAK_STRIKES: usize = 1;

/// Requests under which endpoints crashed.
#[derive(Debug)]
pub struct Quarantine {
    /// Tag of this node.
    node: Tag,
    pub(crate) suspects: BTreeMap<Fingerprint, Suspect>,
    /// Endpoints that went down a moment ago, as seen or reported, and when.
    recent_crashes: Vec<(Tag, Millis)>,
    /// Updates that are still to be sent to other nodes.
    pub(crate) outbox: Vec<(Fingerprint, Update)>,
    /// Rulings that the store may lack.
    pub(crate) unsaved_rulings: BTreeMap<Fingerprint, Unsaved>,
    /// Requests in this node's record of strikes in the store, once that was read.
    pub(crate) own_record: Option<BTreeSet<Fingerprint>>,
    /// Combined digest of all rulings.
    pub(crate) digest: u64,
    pub(crate) ruling_count: usize,
}

impl Quarantine {
    /// Creates an empty quarantine at `node`.
    pub fn new(node: Tag) -> Self {
        let (suspects, unsaved_rulings) = (BTreeMap::new(), BTreeMap::new());
        let (recent_crashes, outbox, digest, ruling_count) = (Vec::new(), Vec::new(), 0, 0);
        Self {
            node,
            suspects,
            recent_crashes,
            outbox,
            unsaved_rulings,
            own_record: None,
            digest,
            ruling_count,
        }
    }

    /// Whether there are no entries at all, so that no request has to be looked up.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Status of a request.
    pub fn status(&self, request: Fingerprint, now: Millis, unix_ms: u64) -> Status {
        let Some(suspect) = self.suspects.get(&request) else {
            return Status::Clear;
        };
        let on_trial = suspect.trial.is_some_and(|trial| trial.until > now);
        let since = suspect.ruling.map_or(unix_ms, |ruling| ruling.at);
        match self.is_shut_out(request, suspect) {
            true => Status::ShutOut((since + SHUT_OUT_MS).saturating_sub(unix_ms)),
            false if suspect.strikes.is_empty() => Status::Clear,
            false if on_trial => Status::OnTrial,
            false => Status::Suspect,
        }
    }

    /// Whether a request is shut out, either by a ruling or because one is due.
    fn is_shut_out(&self, request: Fingerprint, suspect: &Suspect) -> bool {
        match suspect.ruling {
            Some(ruling) => ruling.verdict == Verdict::Shut,
            None => {
                suspect.has_enough_strikes() && !self.is_explained_by_suspects(request, suspect)
            }
        }
    }

    /// Whether other suspects may have caused the crashes under a request: all of them, or all but one if only suspects count
    /// that were present at as many crashes. With several culprits, each causes a part.
    pub(crate) fn is_explained_by_suspects(&self, request: Fingerprint, suspect: &Suspect) -> bool {
        if suspect.explained_by_segments {
            return true;
        }
        let unexplained = |least: usize| {
            let others = || self.suspects.iter().filter(|(other, _)| **other != request);
            let may_cause =
                |other: &Suspect| other.may_cause_crashes() && other.crash_count() >= least;
            let explained = |endpoint: &Tag| {
                others().any(|(_, other)| may_cause(other) && other.was_present_at(*endpoint))
            };
            suspect.strikes.iter().filter(|endpoint| !explained(endpoint)).count()
        };
        unexplained(0) == 0 || unexplained(suspect.strikes.len()) <= 1
    }

    /// Records for each request with enough strikes whether segments of other requests explain these.
    pub fn update_explanations(&mut self, explain: impl Fn(Fingerprint, &[Tag]) -> bool) {
        let undecided = self.suspects.iter_mut().filter(|(_, suspect)| suspect.ruling.is_none());
        for (request, suspect) in undecided.filter(|(_, suspect)| suspect.has_enough_strikes()) {
            suspect.explained_by_segments = explain(*request, &suspect.strikes);
        }
    }

    /// Begins a trial of a suspect at an endpoint, if the request is one.
    pub fn begin_trial(&mut self, request: Fingerprint, endpoint: Tag, now: Millis) {
        if let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.trial = Some(Trial::new(self.node, endpoint, now));
            if suspect.announced {
                self.outbox.push((request, Update::TrialStarted(endpoint)));
            }
        }
    }

    /// Ends this node's trial of a suspect.
    pub fn end_trial(&mut self, request: Fingerprint, now: Millis) {
        let Some(suspect) = self.suspects.get_mut(&request) else {
            return;
        };
        if suspect.trial.is_none_or(|trial| trial.by != self.node) {
            return;
        }
        suspect.end_trial(now);
        if suspect.announced {
            self.outbox.push((request, Update::TrialEnded));
        }
    }

    /// Whether an announced trial must yield to that of another suspect at the same endpoint. Of
    /// two that are announced at the same time, the one with the higher fingerprint yields.
    pub fn must_yield(&self, request: Fingerprint, endpoint: Tag, now: Millis) -> bool {
        let lower = self.suspects.range(..request).filter_map(|(_, suspect)| suspect.trial);
        lower.filter(|trial| trial.until > now).any(|trial| trial.endpoint == endpoint)
    }

    /// Endpoints at which other suspects are on trial.
    pub fn other_trials(&self, request: Fingerprint, now: Millis) -> Vec<Tag> {
        let others = self.suspects.iter().filter(|(fingerprint, _)| **fingerprint != request);
        let trials = others.filter_map(|(_, suspect)| suspect.trial);
        trials.filter(|trial| trial.until > now).map(|trial| trial.endpoint).collect()
    }

    /// Records that an endpoint crashed right after a request had started there.
    pub fn record_strike(&mut self, request: Fingerprint, endpoint: Tag, now: Millis) -> Strike {
        self.add_crash(endpoint, now);
        let attributed = self.is_attributed_elsewhere(request, endpoint);
        let known = self.suspects.contains_key(&request);
        if !known && !self.make_room() {
            return Strike::Full;
        }
        let suspect = self.suspects.entry(request).or_default();
        if attributed && !suspect.is_ruled_out() {
            suspect.attribute_one(endpoint);
            if !known {
                suspect.last_strike_at = now;
            }
            self.restore_attributed(request);
            return Strike::Attributed;
        }
        if !suspect.add_strike(endpoint) {
            return Strike::Duplicate;
        }
        (suspect.last_strike_at, suspect.saw_strike, suspect.saw_last_strike) = (now, true, true);
        self.excuse_coincidences();
        self.restore_attributed(request);
        let Some(suspect) = self.suspects.get_mut(&request) else {
            return Strike::Coincidence;
        };
        let strikes = suspect.strikes.len();
        if strikes == 0 {
            return Strike::Coincidence;
        }
        if strikes > 1 || self.recent_crashes.len() <= JOINT_CRASHES {
            suspect.announced = true;
            self.outbox.push((request, Update::Struck(suspect.strikes.clone())));
        }
        Strike::Counted(strikes)
    }

    /// Whether an endpoint crashed under another request that is shut out.
    fn is_attributed_elsewhere(&self, request: Fingerprint, endpoint: Tag) -> bool {
        let mut others = self.suspects.iter().filter(|(fingerprint, _)| **fingerprint != request);
        others.any(|(_, other)| other.is_ruled_out() && other.strikes.contains(&endpoint))
    }

    /// Records that an endpoint went down, whatever ran there. Excuses requests with a strike from
    /// just one of many endpoints that went down together.
    pub fn record_crash(&mut self, endpoint: Tag, now: Millis) {
        self.add_crash(endpoint, now);
        self.excuse_coincidences();
    }

    fn add_crash(&mut self, endpoint: Tag, now: Millis) {
        self.suspects.values_mut().for_each(|suspect| suspect.record_crash_nearby(endpoint, now));
        self.recent_crashes.retain(|(_, at)| now.since(*at) < JOINT_CRASH_WINDOW_MS);
        if self.recent_crashes.iter().all(|crash| crash.0 != endpoint) {
            self.recent_crashes.push((endpoint, now));
        }
    }

    fn excuse_coincidences(&mut self) {
        if self.recent_crashes.len() < JOINT_CRASHES {
            return;
        }
        let crashed: Vec<Tag> = self.recent_crashes.iter().map(|crash| crash.0).collect();
        for suspect in self.suspects.values_mut().filter(|suspect| suspect.ruling.is_none()) {
            let strikes =
                suspect.strikes.iter().filter(|endpoint| crashed.contains(endpoint)).count();
            if strikes == 1 {
                suspect.excuse(&crashed);
            }
        }
    }

    /// Attributes crashes under a request that is shut out to that request, and so takes them back
    /// from all others.
    pub(crate) fn attribute_crashes(&mut self, request: Fingerprint) {
        let culprit = self.suspects.get(&request).filter(|suspect| suspect.is_ruled_out());
        let Some(crashed) = culprit.map(|suspect| suspect.strikes.clone()) else {
            return;
        };
        let others = self.suspects.iter_mut().filter(|(fingerprint, _)| **fingerprint != request);
        let others = others.filter(|(_, other)| !other.is_ruled_out());
        others.for_each(|(_, other)| other.attribute(&crashed));
    }

    /// Turns crashes attributed to other requests into strikes again if a request supersedes one of
    /// these: that one ran next to it and only reached the number of strikes first. Otherwise the
    /// culprit would go on to crash three more endpoints.
    fn restore_attributed(&mut self, request: Fingerprint) {
        let Some(suspect) = self.suspects.get(&request) else {
            return;
        };
        let others = self.suspects.iter().filter(|(fingerprint, _)| **fingerprint != request);
        let mut shut = others.filter(|(_, other)| other.is_ruled_out());
        let supersedes = shut.any(|(_, other)| suspect.supersedes(other));
        if supersedes && let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.restore_attributed();
        }
    }

    /// Forgets a request that ran well; true if there was an entry for it.
    pub fn clear(&mut self, request: Fingerprint) -> bool {
        let Some(suspect) = self.suspects.get(&request).filter(|suspect| suspect.ruling.is_none())
        else {
            return false;
        };
        if suspect.announced {
            self.outbox.push((request, Update::Cleared));
        }
        self.suspects.remove(&request);
        true
    }

    /// Applies an update from another node. Returns whether it was a new ruling.
    pub fn apply(
        &mut self,
        from: Tag,
        request: Fingerprint,
        update: Update,
        now: Millis,
        unix_ms: u64,
    ) -> bool {
        match update {
            Update::Struck(endpoints) => {
                self.apply_strikes(request, &endpoints, now);
                // The last crash is new; the earlier ones were reported when they happened.
                if let Some(last) = endpoints.last() {
                    self.record_crash(*last, now);
                }
            }
            Update::KnownStrikes(endpoints) => self.apply_strikes(request, &endpoints, now),
            Update::TrialStarted(endpoint) => {
                if let Some(suspect) = self.suspects.get_mut(&request) {
                    suspect.trial = Some(Trial::new(from, endpoint, now));
                }
            }
            Update::TrialEnded => {
                let suspect = self.suspects.get_mut(&request);
                if let Some(suspect) =
                    suspect.filter(|known| known.trial.is_some_and(|trial| trial.by == from))
                {
                    suspect.end_trial(now);
                }
            }
            Update::Cleared => {
                let unruled =
                    self.suspects.get(&request).is_some_and(|suspect| suspect.ruling.is_none());
                if unruled {
                    self.suspects.remove(&request);
                }
            }
            Update::Ruled(ruling) => return self.merge_ruling(request, ruling, now, unix_ms),
        }
        false
    }

    pub(crate) fn apply_strikes(&mut self, request: Fingerprint, endpoints: &[Tag], now: Millis) {
        if !self.suspects.contains_key(&request) && !self.make_room() {
            return;
        }
        let suspect = self.suspects.entry(request).or_default();
        endpoints.iter().for_each(|endpoint| {
            suspect.add_strike(*endpoint);
        });
        (suspect.announced, suspect.last_strike_at, suspect.saw_last_strike) = (true, now, false);
        self.restore_attributed(request);
        self.attribute_crashes(request);
    }

    /// Makes room for another suspect: forgets the one with a single strike that is oldest, if there are too many. False if all
    /// have more.
    fn make_room(&mut self) -> bool {
        if self.suspects.len() < MAX_SUSPECTS {
            return true;
        }
        let weak =
            |suspect: &Suspect| suspect.ruling.is_none() && suspect.crash_count() <= WEAK_STRIKES;
        let weak = self.suspects.iter().filter(|(_, suspect)| weak(suspect));
        let oldest = weak.min_by_key(|(_, suspect)| suspect.last_strike_at);
        let oldest = oldest.map(|(request, _)| *request);
        oldest.and_then(|request| self.suspects.remove(&request)).is_some()
    }

    /// Strikes of requests without a ruling, for a node that starts.
    pub fn known_strikes(&self) -> Vec<(Fingerprint, Update)> {
        let suspects = self
            .suspects
            .iter()
            .filter(|(_, suspect)| suspect.announced && suspect.ruling.is_none());
        let struck = suspects.filter(|(_, suspect)| !suspect.strikes.is_empty());
        struck
            .map(|(request, suspect)| (*request, Update::KnownStrikes(suspect.strikes.clone())))
            .collect()
    }

    /// Queues an update for other nodes.
    pub fn queue_update(&mut self, request: Fingerprint, update: Update) {
        self.outbox.push((request, update));
    }

    /// Takes the queued updates for other nodes.
    pub fn take_outbox(&mut self) -> Vec<(Fingerprint, Update)> {
        std::mem::take(&mut self.outbox)
    }

    /// Number of requests that are shut out.
    pub fn shut_out_count(&self) -> usize {
        self.suspects
            .iter()
            .filter(|(request, suspect)| self.is_shut_out(**request, suspect))
            .count()
    }

    /// Drops expired entries and returns their requests. A request whose ruling expires keeps all
    /// strikes but one, so its next crash shuts it out again.
    pub fn expire(&mut self, now: Millis, unix_ms: u64) -> Vec<Fingerprint> {
        for suspect in self.suspects.values_mut() {
            if suspect.ruling.take_if(|ruling| ruling.is_expired(unix_ms)).is_some() {
                suspect.strikes.truncate(STRIKES_TO_SHUT_OUT - 1);
                suspect.last_strike_at = now;
            }
        }
        let expired = |suspect: &Suspect| {
            let ttl_ms = match (suspect.strikes.is_empty(), suspect.attributed.is_empty()) {
                (false, _) => STRIKE_TTL_MS,
                (true, false) => ATTRIBUTED_TTL_MS,
                (true, true) => EXCUSED_TTL_MS,
            };
            suspect.ruling.is_none() && now.since(suspect.last_strike_at) >= ttl_ms
        };
        let removed = self
            .suspects
            .iter()
            .filter(|(_, suspect)| expired(suspect))
            .map(|(request, _)| *request);
        let removed: Vec<Fingerprint> = removed.collect();
        self.suspects.retain(|_, suspect| !expired(suspect));
        self.unsaved_rulings.retain(|request, _| self.suspects.contains_key(request));
        self.update_digest();
        removed
    }
}
