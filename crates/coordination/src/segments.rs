//! Prompt segments that crash the endpoints that answer a prompt with them (poison segments).
//!
//! Load pattern: requests that have nothing but one segment in common crash an endpoint each, so the
//! quarantine of requests, which recognises copies, never sees one of them three times.
//!
//! All nodes collect the same evidence. Against segments: which requests had begun at each endpoint a
//! moment before it crashed. For them: that a request ran well. From it each node derives which
//! segments may be the cause:
//!
//! - Of the segments that all requests with a candidate have in common, those with which no request
//!   ran well are shut out together, as a pattern. A prompt that lacks one of them is still served. If
//!   it completes, that segment is no longer suspected; if it crashes another endpoint, the others are
//!   not. So a segment that merely accompanies the culprit is never shut out by itself.
//! - While nothing is known of any segment, a candidate is shut out together with the one that most of its requests have, until
//!   a sound run has had the time to decide between them.
//! - A candidate with a rival is not shut out: another segment, not of the pattern, that was present at
//!   all of the same crashes, or all but one. Further crashes, or one run that goes well, decide between
//!   them.
//! - Crashes under a pattern that is shut out count against no other segment.
//! - Segments with which requests ran well before the crashes need more strikes: they may have become
//!   poisonous, but different poison requests may also have a popular segment in common.
//! - Strikes from copies of a single request don't count, which the quarantine of requests handles.

use crate::pattern::Pattern;
use crate::pattern_rulings::{Due, Ruled};
use crate::ruling::{Ruling, SHUT_OUT_MS, Verdict};
use crate::soundness::Soundness;
use crosslane_state::endpoint::Tag;
use crosslane_state::fingerprint::Fingerprint;
use crosslane_state::hash;
use crosslane_state::segment::Segment;
use crosslane_state::time::Millis;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// Time for which crashes count, in milliseconds.
const CRASH_TTL_MS: u64 = 600_000;

/// Maximum number of crashes that are remembered, and of requests at each. The latest ones are kept, so
/// that a flood of others leaves room for those under the next culprit.
const MAX_CRASHES: usize = 128;
const MAX_REPORTS: usize = 16;

/// Maximum number of segments that are weighed at a time, besides those of new reports and of what is due.
const MAX_WEIGHED: usize = 32;

/// Number of nodes that tell the others of a segment with which requests ran well before.
const WITNESSES: u64 = 8;

/// An update from one node to the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// An endpoint crashed right after a request had begun there, with these shared segments, each
    /// with whether requests ran well with it before.
    Crashed {
        /// Incarnation that crashed.
        endpoint: Tag,
        /// The request.
        request: Fingerprint,
        /// Shared segments of its prompt.
        segments: Vec<(Segment, bool)>,
    },
    /// A request ran well with the segment after a crash.
    Sound(Segment),
    /// Requests ran well with the segment before the crashes.
    SoundBefore(Segment),
    /// There is a ruling on a pattern.
    Ruled(Pattern, Ruling),
}

/// Requests that had begun at an endpoint a moment before it crashed.
#[derive(Clone, Debug)]
pub(crate) struct Crash {
    pub at: Millis,
    pub reports: Vec<Report>,
}

/// A request that had begun, and the shared segments of its prompt.
#[derive(Clone, Debug)]
pub(crate) struct Report {
    pub request: Fingerprint,
    pub segments: Vec<Segment>,
}

impl Crash {
    pub fn has(&self, segment: Segment) -> bool {
        self.reports.iter().any(|report| report.segments.contains(&segment))
    }

    pub fn is_explained_by(&self, pattern: &Pattern) -> bool {
        self.reports.iter().any(|report| pattern.matches(&report.segments))
    }
}

/// Evidence for and against prompt segments, and what is shut out.
#[derive(Debug)]
pub struct Segments {
    node: Tag,
    pub(crate) crashes: BTreeMap<Tag, Crash>,
    /// Endpoints of `crashes` by segment.
    pub(crate) endpoints: BTreeMap<Segment, BTreeSet<Tag>>,
    soundness: Soundness,
    /// Segments of `crashes` with which requests ran well, and when that last became known; only crashes after it count.
    pub(crate) sound_since: BTreeMap<Segment, Millis>,
    /// Segments of `crashes` with which requests ran well before.
    pub(crate) sound_before: BTreeSet<Segment>,
    pub(crate) ruled: BTreeMap<Fingerprint, Ruled>,
    /// Patterns whose ruling expired: the next crash under one shuts it out again.
    pub(crate) lapsed: BTreeMap<Fingerprint, (Pattern, Millis)>,
    pub(crate) due: BTreeMap<Pattern, Due>,
    /// Number of segments that are still to be weighed since the last change, and the one after which they follow.
    pub(crate) unweighed: usize,
    next: Option<Segment>,
    pub(crate) outbox: Vec<Update>,
    pub(crate) digest: u64,
}

impl Segments {
    /// Creates an empty state at `node`.
    pub fn new(node: Tag) -> Self {
        Self {
            node,
            crashes: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            soundness: Soundness::default(),
            sound_since: BTreeMap::new(),
            sound_before: BTreeSet::new(),
            ruled: BTreeMap::new(),
            lapsed: BTreeMap::new(),
            due: BTreeMap::new(),
            unweighed: 0,
            next: None,
            outbox: Vec::new(),
            digest: 0,
        }
    }

    /// Pattern that shuts out a prompt with these shared segments, and for how many more milliseconds.
    pub fn shut_out(&self, prompt: &[Segment], unix_ms: u64) -> Option<(&Pattern, u64)> {
        if prompt.is_empty() {
            return None;
        }
        let shut = self.ruled.values().filter(|ruled| ruled.ruling.verdict == Verdict::Shut);
        let ruled = shut.map(|ruled| (&ruled.pattern, ruled.ruling.at + SHUT_OUT_MS));
        let due = self.due.keys().map(|pattern| (pattern, unix_ms + SHUT_OUT_MS));
        let mut all = ruled.chain(due).filter(|(pattern, _)| pattern.matches(prompt));
        all.next().map(|(pattern, until)| (pattern, until.saturating_sub(unix_ms)))
    }

    /// Records that an endpoint crashed right after a request had begun there. Returns the number of strikes against the
    /// segment of it that has most.
    pub fn record_crash(
        &mut self,
        endpoint: Tag,
        request: Fingerprint,
        prompt: &[Segment],
        now: Millis,
    ) -> usize {
        let before = |segment: &Segment| (*segment, self.soundness.contains(*segment, now));
        let segments: Vec<(Segment, bool)> = prompt.iter().map(before).collect();
        if segments.is_empty() || !self.add_crash(endpoint, request, &segments, now) {
            return 0;
        }
        self.outbox.push(Update::Crashed { endpoint, request, segments });
        self.reconsider(prompt, true, now);
        prompt.iter().map(|segment| self.strikes(*segment).len()).max().unwrap_or_default()
    }

    /// Adds a report; false if it is known or there is no room for it.
    fn add_crash(
        &mut self,
        endpoint: Tag,
        request: Fingerprint,
        segments: &[(Segment, bool)],
        now: Millis,
    ) -> bool {
        if !self.crashes.contains_key(&endpoint) && self.crashes.len() >= MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.at);
            let oldest = oldest.map(|(endpoint, _)| *endpoint);
            oldest.map(|endpoint| self.crashes.remove(&endpoint));
            self.index();
        }
        let crash = self.crashes.entry(endpoint).or_insert(Crash { at: now, reports: Vec::new() });
        let known = crash.reports.iter().any(|report| report.request == request);
        if known || crash.reports.len() >= MAX_REPORTS {
            return false;
        }
        let ids: Vec<Segment> = segments.iter().map(|(segment, _)| *segment).collect();
        for segment in &ids {
            self.endpoints.entry(*segment).or_default().insert(endpoint);
        }
        crash.reports.push(Report { request, segments: ids });
        let before = segments.iter().filter(|(_, before)| *before);
        self.sound_before.extend(before.map(|(segment, _)| *segment));
        true
    }

    /// Rebuilds the index after crashes were dropped.
    fn index(&mut self) {
        self.endpoints.clear();
        for (endpoint, crash) in &self.crashes {
            for segment in crash.reports.iter().flat_map(|report| &report.segments) {
                self.endpoints.entry(*segment).or_default().insert(*endpoint);
            }
        }
    }

    /// Records that a request ran well, or goes on for long enough.
    pub fn record_sound(&mut self, prompt: &[Segment], now: Millis, unix_ms: u64) {
        for segment in prompt {
            self.soundness.record(*segment, now);
            if self.is_suspected(*segment) {
                self.outbox.push(Update::Sound(*segment));
                self.clear(*segment, now);
                self.lift_alone(*segment, now, unix_ms);
            }
        }
    }

    /// Whether a run that goes well with a segment is news to the other nodes.
    fn is_suspected(&self, segment: Segment) -> bool {
        if self.crashes.is_empty() && self.ruled.is_empty() {
            return false;
        }
        let strikes = self.strikes(segment).len();
        strikes > 1
            || (strikes > 0 && !self.sound_before.contains(&segment))
            || self.shut_patterns().any(|pattern| pattern.segments() == [segment])
    }

    fn clear(&mut self, segment: Segment, now: Millis) {
        self.sound_since.insert(segment, now);
        self.sound_before.insert(segment);
        self.reconsider(&[segment], false, now);
    }

    /// Applies an update from another node, of `nodes` in all. Returns whether it was a new ruling.
    pub fn apply(&mut self, update: Update, nodes: usize, now: Millis, unix_ms: u64) -> bool {
        match update {
            Update::Crashed { endpoint, request, segments } => {
                if self.add_crash(endpoint, request, &segments, now) {
                    self.vouch(endpoint, &segments, nodes, now);
                    let changed: Vec<Segment> =
                        segments.iter().map(|(segment, _)| *segment).collect();
                    self.reconsider(&changed, false, now);
                }
            }
            Update::Sound(segment) => self.clear(segment, now),
            Update::SoundBefore(segment) => {
                self.sound_before.insert(segment);
                self.reconsider(&[segment], false, now);
            }
            Update::Ruled(pattern, ruling) => {
                return self.merge_ruling(pattern, ruling, now, unix_ms);
            }
        }
        false
    }

    /// Tells the other nodes of segments with which requests ran well here, unless enough others may do so.
    fn vouch(&mut self, endpoint: Tag, segments: &[(Segment, bool)], nodes: usize, now: Millis) {
        for (segment, _) in segments {
            let known = self.sound_before.contains(segment);
            if known || !self.soundness.contains(*segment, now) {
                continue;
            }
            self.sound_before.insert(*segment);
            let key = endpoint.0 ^ hash::of(segment.as_bytes());
            let drawn = hash::rendezvous_weight(key, self.node.0);
            if drawn % (nodes as u64).max(1) < WITNESSES {
                self.outbox.push(Update::SoundBefore(*segment));
            }
        }
    }

    /// Crashes that count as strikes against a segment.
    pub(crate) fn strikes(&self, segment: Segment) -> Vec<(Tag, &Crash)> {
        let since = self.sound_since.get(&segment);
        let endpoints = self.endpoints.get(&segment).into_iter().flatten();
        let crashes =
            endpoints.filter_map(|endpoint| Some((*endpoint, self.crashes.get(endpoint)?)));
        let counts = |crash: &Crash| {
            since.is_none_or(|since| crash.at > *since) && !self.is_explained(segment, crash)
        };
        crashes.filter(|(_, crash)| counts(crash)).collect()
    }

    /// Whether a crash is explained by a pattern that is shut out, to which a segment does not belong.
    pub(crate) fn is_explained(&self, segment: Segment, crash: &Crash) -> bool {
        let mut others = self.shut_patterns().filter(|shut| !shut.segments().contains(&segment));
        others.any(|pattern| crash.is_explained_by(pattern))
    }

    /// Works out again which patterns are to be shut out, as far as some segments, or what is due, decide it. The others follow
    /// by and by in `reconsider_next`: a flood of crashes would take much processor time otherwise.
    pub(crate) fn reconsider(&mut self, changed: &[Segment], witnessed: bool, now: Millis) {
        self.weigh(changed.iter().copied().collect(), witnessed, now);
        self.unweighed = self.endpoints.len();
    }

    /// Works out again which patterns are to be shut out, as far as the next segments decide it.
    pub(crate) fn reconsider_next(&mut self, now: Millis) {
        let from = self.next.map_or(Bound::Unbounded, Bound::Excluded);
        let next = self.endpoints.range((from, Bound::Unbounded)).map(|(segment, _)| *segment);
        let next: BTreeSet<Segment> = next.take(MAX_WEIGHED).collect();
        // Begins again at the first one after the last.
        self.next = next.last().copied().filter(|_| next.len() == MAX_WEIGHED);
        self.unweighed = self.unweighed.saturating_sub(MAX_WEIGHED);
        self.weigh(next, false, now);
    }

    /// Weighs the evidence for some segments, and again for those of what is due.
    fn weigh(&mut self, mut candidates: BTreeSet<Segment>, witnessed: bool, now: Millis) {
        candidates.extend(self.due.keys().flat_map(Pattern::segments));
        let due = self.suspected_patterns(candidates);
        self.set_due(due, witnessed, now);
    }

    fn set_due(&mut self, due: BTreeSet<Pattern>, witnessed: bool, now: Millis) {
        self.due.retain(|pattern, _| due.contains(pattern));
        for pattern in due {
            let entry = self.due.entry(pattern).or_insert(Due { since: now, witnessed });
            entry.witnessed |= witnessed;
        }
    }

    /// All that a node needs to know that starts or was cut off.
    pub fn snapshot(&self) -> Vec<Update> {
        let before = |segment: &Segment| (*segment, self.sound_before.contains(segment));
        let crashes = self.crashes.iter().flat_map(|(endpoint, crash)| {
            crash.reports.iter().map(|report| Update::Crashed {
                endpoint: *endpoint,
                request: report.request,
                segments: report.segments.iter().map(before).collect(),
            })
        });
        let sound = self.sound_since.keys().map(|segment| Update::Sound(*segment));
        let ruled = self.ruled.values();
        let ruled = ruled.map(|ruled| Update::Ruled(ruled.pattern.clone(), ruled.ruling));
        sound.chain(crashes).chain(ruled).collect()
    }

    /// Whether there are updates for other nodes.
    pub fn has_updates(&self) -> bool {
        !self.outbox.is_empty()
    }

    /// Takes the queued updates for other nodes.
    pub fn take_outbox(&mut self) -> Vec<Update> {
        std::mem::take(&mut self.outbox)
    }

    /// Queues an update for other nodes.
    pub fn queue_update(&mut self, update: Update) {
        self.outbox.push(update);
    }

    /// Number of patterns that are shut out.
    pub fn shut_out_count(&self) -> usize {
        self.shut_patterns().count() + self.due.len()
    }

    /// Whether there is nothing to decide or to expire.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.ruled.is_empty() && self.lapsed.is_empty()
    }

    /// Drops what has expired.
    pub fn expire(&mut self, now: Millis, unix_ms: u64) {
        self.lapsed.retain(|_, (_, at)| now.since(*at) < SHUT_OUT_MS);
        let expired = self.ruled.extract_if(.., |_, ruled| ruled.ruling.is_expired(unix_ms));
        let expired: Vec<(Fingerprint, Ruled)> = expired.collect();
        let crashes = self.crashes.len();
        self.crashes.retain(|_, crash| now.since(crash.at) < CRASH_TTL_MS);
        if expired.is_empty() && crashes == self.crashes.len() {
            return;
        }
        let shut = expired.into_iter().filter(|(_, ruled)| ruled.ruling.verdict == Verdict::Shut);
        self.lapsed.extend(shut.map(|(name, ruled)| (name, (ruled.pattern, now))));
        self.index();
        let endpoints = &self.endpoints;
        self.sound_since.retain(|segment, _| endpoints.contains_key(segment));
        self.sound_before.retain(|segment| endpoints.contains_key(segment));
        self.update_digest();
        self.reconsider(&[], false, now);
    }
}
