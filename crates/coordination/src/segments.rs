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
//! - A candidate with a rival is not shut out: another segment, not of the pattern, that was present at
//!   all of the same crashes. One more crash, or one run that goes well, decides between them.
//! - Crashes under a pattern that is shut out count against no other segment.
//! - Segments with which requests ran well before the crashes need more strikes: they may have become
//!   poisonous, but different poison requests may also have a popular segment in common.
//! - Strikes from copies of a single request don't count, which the quarantine of requests handles.

use crate::pattern::Pattern;
use crate::quarantine::INNOCENT_AFTER_MS;
use crate::ruling::{Ruling, SHUT_OUT_MS, Verdict};
use crate::soundness::Soundness;
use crate::suspect::{CRASHES_TO_EXPLAIN, JOINT_CRASH_WINDOW_MS, STRIKES_TO_SHUT_OUT};
use crosslane_state::endpoint::Tag;
use crosslane_state::fingerprint::Fingerprint;
use crosslane_state::hash;
use crosslane_state::segment::Segment;
use crosslane_state::time::Millis;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Evidence that shuts a pattern out.
#[derive(Clone, Copy, Debug)]
struct Need {
    strikes: usize,
    /// Number of different requests that the strikes come from.
    requests: usize,
    /// Time between the first strike and the last one, in milliseconds: a sound run must have had the time to show that a
    /// segment is innocent.
    span_ms: u64,
}

/// Evidence against segments that all of the requests have in common, and nothing else.
const AGAINST_COMMON: Need = Need { strikes: STRIKES_TO_SHUT_OUT, requests: 2, span_ms: 0 };

/// Evidence where the requests also differ in segments that may be the cause as well.
const AGAINST_ONE_OF_SEVERAL: Need = Need { strikes: STRIKES_TO_SHUT_OUT, requests: 3, span_ms: 0 };

/// The same if one of these segments is in several requests, so that two of them may be the causes; and if nothing is known of
/// any segment of the requests, as at the start.
const AGAINST_ONE_OF_FEW: Need = Need { strikes: 5, requests: 3, span_ms: 0 };
const AGAINST_ONE_OF_FEW_UNKNOWN: Need = Need { span_ms: INNOCENT_AFTER_MS, ..AGAINST_ONE_OF_FEW };

/// Evidence against segments with which requests ran well before.
const AGAINST_SOUND: Need =
    Need { strikes: 2 * STRIKES_TO_SHUT_OUT, requests: 4, span_ms: 2 * INNOCENT_AFTER_MS };

/// The same if other segments are in several of the requests, so that these may be the causes.
const AGAINST_SOUND_OR_FEW: Need = Need { strikes: 4 * STRIKES_TO_SHUT_OUT, ..AGAINST_SOUND };

/// Maximum number of further strikes needed where endpoints crash for other causes meanwhile.
const MAX_MORE_STRIKES: usize = 2;

/// Number of crashes that count within `JOINT_CRASH_WINDOW_MS`: more endpoints going down together
/// have another cause.
const MAX_JOINT_STRIKES: usize = 2;

/// Time for which crashes count, in milliseconds.
const CRASH_TTL_MS: u64 = 600_000;

/// Maximum number of crashes that are remembered, and of requests at each. The latest ones are kept, so
/// that a flood of others leaves room for those under the next culprit.
const MAX_CRASHES: usize = 128;
const MAX_REPORTS: usize = 16;

/// Maximum number of patterns that are shut out.
const MAX_PATTERNS: usize = 256;

/// Number of nodes that tell the others of a segment with which requests ran well before.
const WITNESSES: u64 = 8;

/// Time after which a node that did not see the last crash shuts a pattern out itself, in milliseconds.
const BYSTANDER_DELAY_MS: u64 = 1_000;

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
struct Crash {
    at: Millis,
    reports: Vec<Report>,
}

/// A request that had begun, and the shared segments of its prompt.
#[derive(Clone, Debug)]
struct Report {
    request: Fingerprint,
    segments: Vec<Segment>,
}

impl Crash {
    fn has(&self, segment: Segment) -> bool {
        self.reports.iter().any(|report| report.segments.contains(&segment))
    }

    fn is_explained_by(&self, pattern: &Pattern) -> bool {
        self.reports.iter().any(|report| pattern.matches(&report.segments))
    }
}

/// A pattern with a ruling on it.
#[derive(Clone, Debug)]
struct Ruled {
    pattern: Pattern,
    ruling: Ruling,
    /// Since when the store may lack it, and whether this node made it.
    unsaved: Option<(Millis, bool)>,
}

/// A pattern that is to be shut out.
#[derive(Clone, Copy, Debug)]
struct Due {
    since: Millis,
    /// Whether this node saw the crash that decided it.
    witnessed: bool,
}

/// Evidence for and against prompt segments, and what is shut out.
#[derive(Debug)]
pub struct Segments {
    node: Tag,
    crashes: BTreeMap<Tag, Crash>,
    /// Endpoints of `crashes` by segment.
    endpoints: BTreeMap<Segment, BTreeSet<Tag>>,
    soundness: Soundness,
    /// Segments of `crashes` with which requests ran well, and when that last became known; only crashes after it count.
    sound_since: BTreeMap<Segment, Millis>,
    /// Segments of `crashes` with which requests ran well before.
    sound_before: BTreeSet<Segment>,
    ruled: BTreeMap<Fingerprint, Ruled>,
    /// Patterns whose ruling expired: the next crash under one shuts it out again.
    lapsed: BTreeMap<Fingerprint, (Pattern, Millis)>,
    due: BTreeMap<Pattern, Due>,
    outbox: Vec<Update>,
    digest: u64,
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
        self.reconsider(true, now);
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
        let alone = |ruled: &Ruled| ruled.pattern.segments() == [segment];
        let shut = |ruled: &Ruled| ruled.ruling.verdict == Verdict::Shut && alone(ruled);
        strikes > 1
            || (strikes > 0 && !self.sound_before.contains(&segment))
            || self.ruled.values().any(shut)
    }

    fn clear(&mut self, segment: Segment, now: Millis) {
        self.sound_since.insert(segment, now);
        self.sound_before.insert(segment);
        self.reconsider(false, now);
    }

    /// Lifts the ruling on a segment by itself.
    fn lift_alone(&mut self, segment: Segment, now: Millis, unix_ms: u64) {
        let Ok(pattern) = Pattern::try_from(vec![segment]) else {
            return;
        };
        let ruled = self.ruled.get(&pattern.fingerprint());
        if let Some(ruled) = ruled.filter(|ruled| ruled.ruling.verdict == Verdict::Shut) {
            let ruling = Ruling { at: unix_ms.max(ruled.ruling.at + 1), verdict: Verdict::Lifted };
            self.put_in_force(pattern, ruling, now, unix_ms);
        }
    }

    /// Applies an update from another node, of `nodes` in all. Returns whether it was a new ruling.
    pub fn apply(&mut self, update: Update, nodes: usize, now: Millis, unix_ms: u64) -> bool {
        match update {
            Update::Crashed { endpoint, request, segments } => {
                if self.add_crash(endpoint, request, &segments, now) {
                    self.vouch(endpoint, &segments, nodes, now);
                    self.reconsider(false, now);
                }
            }
            Update::Sound(segment) => self.clear(segment, now),
            Update::SoundBefore(segment) => {
                self.sound_before.insert(segment);
                self.reconsider(false, now);
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
    fn strikes(&self, segment: Segment) -> Vec<(Tag, &Crash)> {
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
    fn is_explained(&self, segment: Segment, crash: &Crash) -> bool {
        let shut = self.ruled.values().filter(|ruled| ruled.ruling.verdict == Verdict::Shut);
        let mut others = shut.filter(|ruled| !ruled.pattern.segments().contains(&segment));
        others.any(|ruled| crash.is_explained_by(&ruled.pattern))
    }

    /// Works out again which patterns are to be shut out.
    fn reconsider(&mut self, witnessed: bool, now: Millis) {
        let due = self.suspected_patterns();
        self.due.retain(|pattern, _| due.contains(pattern));
        for pattern in due {
            let entry = self.due.entry(pattern).or_insert(Due { since: now, witnessed });
            entry.witnessed |= witnessed;
        }
    }

    /// Patterns to shut out by the evidence, other than those that are.
    fn suspected_patterns(&self) -> BTreeSet<Pattern> {
        let candidates = self.endpoints.iter();
        let candidates = candidates.filter(|(_, endpoints)| endpoints.len() >= STRIKES_TO_SHUT_OUT);
        let patterns = candidates.filter_map(|(segment, _)| self.pattern_of(*segment));
        let again = |(pattern, at): &&(Pattern, Millis)| {
            self.crashes.values().any(|crash| crash.at > *at && crash.is_explained_by(pattern))
        };
        let lapsed = self.lapsed.values().filter(again).map(|(pattern, _)| pattern.clone());
        patterns.chain(lapsed).filter(|pattern| !self.is_covered(pattern)).collect()
    }

    /// Whether a pattern that is shut out matches all that this one does.
    fn is_covered(&self, pattern: &Pattern) -> bool {
        let shut = self.ruled.values().filter(|ruled| ruled.ruling.verdict == Verdict::Shut);
        shut.into_iter().any(|ruled| ruled.pattern.matches(pattern.segments()))
    }

    /// Pattern to shut out if a segment is the cause of the crashes under it, if there is enough evidence.
    fn pattern_of(&self, segment: Segment) -> Option<Pattern> {
        let strikes = self.strikes(segment);
        let reports: Vec<&Report> = strikes
            .iter()
            .flat_map(|(_, crash)| &crash.reports)
            .filter(|report| report.segments.contains(&segment))
            .collect();
        let first = reports.first()?;
        let in_all =
            |segment: &&Segment| reports.iter().all(|report| report.segments.contains(segment));
        let common: Vec<Segment> = first.segments.iter().filter(in_all).copied().collect();
        let unproven: Vec<Segment> =
            common.iter().filter(|segment| !self.sound_before.contains(segment)).copied().collect();
        let sound_before = unproven.is_empty();
        if !sound_before && self.sound_before.contains(&segment) {
            return None;
        }
        let pattern = if sound_before { common.clone() } else { unproven };
        let pattern = Pattern::try_from(pattern).ok()?;
        let requests: BTreeSet<Fingerprint> = reports.iter().map(|report| report.request).collect();
        let others = self.requests_by_segment(&reports, &common);
        let several = others.values().any(|requests| requests.len() > 1);
        let mut all = reports.iter().flat_map(|report| &report.segments);
        let some_known = all.any(|segment| self.sound_before.contains(segment));
        let need = match (sound_before, others.is_empty(), several, some_known) {
            (true, _, false, _) => AGAINST_SOUND,
            (true, _, true, _) => AGAINST_SOUND_OR_FEW,
            (false, true, _, _) => AGAINST_COMMON,
            (false, false, false, _) => AGAINST_ONE_OF_SEVERAL,
            (false, false, true, true) => AGAINST_ONE_OF_FEW,
            (false, false, true, false) => AGAINST_ONE_OF_FEW_UNKNOWN,
        };
        let enough = count_strikes(&strikes) >= need.strikes + self.more_strikes(segment, &strikes)
            && requests.len() >= need.requests
            && span_of(&strikes) >= need.span_ms;
        (enough && !self.has_rival(&common, &strikes)).then_some(pattern)
    }

    /// Number of further strikes needed, since endpoints also crash without a segment.
    fn more_strikes(&self, segment: Segment, strikes: &[(Tag, &Crash)]) -> usize {
        let Some(since) = strikes.iter().map(|(_, crash)| crash.at).min() else {
            return 0;
        };
        let without = |crash: &&Crash| {
            crash.at >= since && !crash.has(segment) && !self.is_explained(segment, crash)
        };
        let others = self.crashes.values().filter(without).count();
        others.div_ceil(strikes.len()).min(MAX_MORE_STRIKES)
    }

    /// Requests by segment that may be the cause as well, but is not common to all.
    fn requests_by_segment(
        &self,
        reports: &[&Report],
        common: &[Segment],
    ) -> BTreeMap<Segment, BTreeSet<Fingerprint>> {
        let mut requests: BTreeMap<Segment, BTreeSet<Fingerprint>> = BTreeMap::new();
        for report in reports {
            let others = report
                .segments
                .iter()
                .filter(|other| !common.contains(other) && !self.sound_before.contains(other));
            for segment in others {
                requests.entry(*segment).or_default().insert(report.request);
            }
        }
        requests
    }

    /// Whether a segment that is not common to the requests with a candidate was present at all of its crashes.
    fn has_rival(&self, common: &[Segment], strikes: &[(Tag, &Crash)]) -> bool {
        let Some((_, first)) = strikes.first() else {
            return false;
        };
        let mut others = first.reports.iter().flat_map(|report| &report.segments);
        others.any(|other| {
            !common.contains(other)
                && !self.sound_before.contains(other)
                && strikes.iter().all(|(_, crash)| crash.has(*other))
        })
    }

    /// Whether segments of other requests explain the crashes under a request: one that is suspected was present at all of them,
    /// or at all but one, beside those that are explained by what is shut out.
    pub fn explain(&self, request: Fingerprint, crashes: &[Tag]) -> bool {
        let prompts_beside = |endpoint: &Tag| {
            let crash = self.crashes.get(endpoint);
            let reports = crash.into_iter().flat_map(|crash| &crash.reports);
            reports.filter(|report| report.request != request).map(|report| &report.segments)
        };
        let shut = || self.ruled.values().filter(|ruled| ruled.ruling.verdict == Verdict::Shut);
        let by_ruling = |endpoint: &&Tag| {
            shut().any(|ruled| prompts_beside(endpoint).any(|prompt| ruled.pattern.matches(prompt)))
        };
        let (explained, left): (Vec<&Tag>, Vec<&Tag>) = crashes.iter().partition(by_ruling);
        let mut presences: BTreeMap<Segment, usize> = BTreeMap::new();
        for endpoint in left {
            let beside: BTreeSet<Segment> = prompts_beside(endpoint).flatten().copied().collect();
            beside.into_iter().for_each(|segment| *presences.entry(segment).or_default() += 1);
        }
        let suspected = presences.iter().filter(|(segment, _)| {
            !self.sound_before.contains(segment)
                && self.strikes(**segment).len() >= CRASHES_TO_EXPLAIN
        });
        let most = suspected.map(|(_, count)| *count).max().unwrap_or_default();
        explained.len() + most + 1 >= crashes.len() && explained.len() + most > 0
    }

    /// Makes rulings on what is to be shut out, after the time in which other reports of the same crashes may arrive. Until
    /// then it is refused without a ruling. Returns the patterns that are newly shut out.
    pub fn make_rulings(&mut self, now: Millis, unix_ms: u64) -> Vec<Pattern> {
        let delay =
            |due: &Due| if due.witnessed { JOINT_CRASH_WINDOW_MS } else { BYSTANDER_DELAY_MS };
        let ripe = self.due.iter().filter(|(_, due)| now.since(due.since) >= delay(due));
        let mut ripe: Vec<Pattern> = ripe.map(|(pattern, _)| pattern.clone()).collect();
        // What a narrower pattern explains counts no longer towards a wider one.
        ripe.sort_by_key(|pattern| Reverse(pattern.segments().len()));
        let ruling = Ruling { at: unix_ms, verdict: Verdict::Shut };
        ripe.retain(|pattern| {
            self.due.contains_key(pattern)
                && self.put_in_force(pattern.clone(), ruling, now, unix_ms)
        });
        ripe
    }

    /// Puts a ruling of this node into force and queues it for other nodes and the store; false if there is no room.
    fn put_in_force(
        &mut self,
        pattern: Pattern,
        ruling: Ruling,
        now: Millis,
        unix_ms: u64,
    ) -> bool {
        if !self.merge(pattern.clone(), ruling, Some((now, true)), now, unix_ms) {
            return false;
        }
        self.outbox.push(Update::Ruled(pattern, ruling));
        true
    }

    /// Applies a ruling of another node or of the store; true if it is new.
    pub fn merge_ruling(
        &mut self,
        pattern: Pattern,
        ruling: Ruling,
        now: Millis,
        unix_ms: u64,
    ) -> bool {
        self.merge(pattern, ruling, Some((now, false)), now, unix_ms)
    }

    fn merge(
        &mut self,
        pattern: Pattern,
        ruling: Ruling,
        unsaved: Option<(Millis, bool)>,
        now: Millis,
        unix_ms: u64,
    ) -> bool {
        let name = pattern.fingerprint();
        let known = self.ruled.get(&name).map(|known| known.ruling);
        let full = known.is_none() && self.ruled.len() >= MAX_PATTERNS;
        if full || ruling.is_expired(unix_ms) || known.is_some_and(|known| known >= ruling) {
            return false;
        }
        if ruling.verdict == Verdict::Lifted {
            // What led to the ruling must not lead to the next one.
            pattern.segments().iter().for_each(|segment| {
                self.sound_since.insert(*segment, now);
            });
        }
        self.ruled.insert(name, Ruled { pattern, ruling, unsaved });
        self.lapsed.remove(&name);
        self.update_digest();
        self.reconsider(false, now);
        true
    }

    /// Records that the store has a ruling.
    pub fn mark_saved(&mut self, pattern: &Pattern, ruling: Ruling) {
        if let Some(known) = self.ruled.get_mut(&pattern.fingerprint())
            && known.ruling <= ruling
        {
            known.unsaved = None;
        }
    }

    /// Rulings to write to the store: this node's own at once, those of other nodes `after` a time in milliseconds if this
    /// node is responsible for them.
    pub fn rulings_to_save(&self, now: Millis, after: Option<u64>) -> Vec<(Pattern, Ruling)> {
        let due = |ruled: &&Ruled| {
            ruled.unsaved.is_some_and(|(since, own)| {
                own || after.is_some_and(|after| now.since(since) >= after)
            })
        };
        let unsaved = self.ruled.values().filter(due);
        unsaved.map(|ruled| (ruled.pattern.clone(), ruled.ruling)).collect()
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

    /// Digest of all rulings, by which nodes detect that theirs differ; zero without any.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    fn update_digest(&mut self) {
        let hashes = self.ruled.iter().map(|(name, ruled)| ruled.ruling.hash(*name));
        self.digest = hashes.fold(0, |digest, hash| digest ^ hash);
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
        let shut = |ruled: &&Ruled| ruled.ruling.verdict == Verdict::Shut;
        self.ruled.values().filter(shut).count() + self.due.len()
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
        self.reconsider(false, now);
    }
}

/// Time between the first strike and the last one, in milliseconds.
fn span_of(strikes: &[(Tag, &Crash)]) -> u64 {
    let times = || strikes.iter().map(|(_, crash)| crash.at);
    times().max().zip(times().min()).map_or(0, |(last, first)| last.since(first))
}

/// Number of crashes that count as strikes, if those of many endpoints that went down together have another cause.
fn count_strikes(strikes: &[(Tag, &Crash)]) -> usize {
    let mut times: Vec<Millis> = strikes.iter().map(|(_, crash)| crash.at).collect();
    times.sort_unstable();
    let mut counted: Vec<Millis> = Vec::new();
    for at in times {
        let joint = counted.iter().filter(|other| at.since(**other) < JOINT_CRASH_WINDOW_MS);
        if joint.count() < MAX_JOINT_STRIKES {
            counted.push(at);
        }
    }
    counted.len()
}
