//! Which patterns of prompt segments are to be shut out, by the evidence of all nodes.

use crate::pattern::Pattern;
use crate::quarantine::INNOCENT_AFTER_MS;
use crate::segments::{Crash, Report, Segments};
use crate::suspect::{CRASHES_TO_EXPLAIN, JOINT_CRASH_WINDOW_MS, STRIKES_TO_SHUT_OUT};
use crosslane_state::endpoint::Tag;
use crosslane_state::fingerprint::Fingerprint;
use crosslane_state::segment::Segment;
use crosslane_state::time::Millis;
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

/// Evidence against two segments together where nothing is known of any: prompts with only one of them are served.
const AGAINST_PAIR: Need = Need { strikes: STRIKES_TO_SHUT_OUT, requests: 3, span_ms: 0 };

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

impl Segments {
    /// Patterns to shut out by the evidence, other than those that are, if one of these segments is the cause.
    pub(crate) fn suspected_patterns(&self, candidates: BTreeSet<Segment>) -> BTreeSet<Pattern> {
        let crashes = |segment: &Segment| self.endpoints.get(segment).map_or(0, BTreeSet::len);
        let candidates = candidates.into_iter();
        let candidates = candidates.filter(|segment| crashes(segment) >= STRIKES_TO_SHUT_OUT);
        let patterns = candidates.filter_map(|segment| self.pattern_of(segment));
        let again = |(pattern, at): &&(Pattern, Millis)| {
            self.crashes.values().any(|crash| crash.at > *at && crash.is_explained_by(pattern))
        };
        let lapsed = self.lapsed.values().filter(again).map(|(pattern, _)| pattern.clone());
        patterns.chain(lapsed).filter(|pattern| !self.is_covered(pattern)).collect()
    }

    /// Whether a pattern that is shut out matches all that this one does.
    fn is_covered(&self, pattern: &Pattern) -> bool {
        self.shut_patterns().any(|shut| shut.matches(pattern.segments()))
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
        if enough {
            return (!self.has_rival(&common, &strikes)).then_some(pattern);
        }
        match (sound_before, several, some_known) {
            (false, true, false) => self.pair_of(segment, &strikes, &others),
            _ => None,
        }
    }

    /// Pattern of a segment and the one that most requests with it have, if these have no third one in common: while nothing is
    /// known of any segment, either may be the cause.
    fn pair_of(
        &self,
        segment: Segment,
        strikes: &[(Tag, &Crash)],
        others: &BTreeMap<Segment, BTreeSet<Fingerprint>>,
    ) -> Option<Pattern> {
        let (other, requests) = others.iter().max_by_key(|(_, requests)| requests.len())?;
        let pair = Pattern::try_from(vec![segment, *other]).ok()?;
        let under_both = strikes.iter().filter(|(_, crash)| crash.is_explained_by(&pair));
        let under_both: Vec<(Tag, &Crash)> = under_both.copied().collect();
        let shared = |third: &Segment| {
            others.get(third).is_some_and(|with| with.intersection(requests).count() > 1)
        };
        let differ = !others.keys().any(|third| third != other && shared(third));
        let enough = count_strikes(&under_both) >= AGAINST_PAIR.strikes
            && requests.len() >= AGAINST_PAIR.requests;
        (differ && enough && !self.has_rival(pair.segments(), &under_both)).then_some(pair)
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

    /// Whether a segment that is not common to the requests with a candidate was present at all of its crashes but one, which may
    /// have another cause.
    fn has_rival(&self, common: &[Segment], strikes: &[(Tag, &Crash)]) -> bool {
        let mut presences: BTreeMap<Segment, usize> = BTreeMap::new();
        for (_, crash) in strikes {
            let segments = crash.reports.iter().flat_map(|report| &report.segments);
            let others: BTreeSet<Segment> = segments.copied().collect();
            others.into_iter().for_each(|other| *presences.entry(other).or_default() += 1);
        }
        presences.iter().any(|(other, count)| {
            *count + 1 >= strikes.len()
                && !common.contains(other)
                && !self.sound_before.contains(other)
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
        let by_ruling = |endpoint: &&Tag| {
            let mut shut = self.shut_patterns();
            shut.any(|pattern| prompts_beside(endpoint).any(|prompt| pattern.matches(prompt)))
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
