//! Rulings on patterns of prompt segments: made here, merged with those of other nodes and of the store, and saved there.

use crate::pattern::Pattern;
use crate::ruling::{Ruling, Verdict};
use crate::segments::{Segments, Update};
use crate::suspect::JOINT_CRASH_WINDOW_MS;
use crosslane_state::segment::Segment;
use crosslane_state::time::Millis;
use std::cmp::Reverse;

/// Maximum number of patterns that are shut out.
const MAX_PATTERNS: usize = 256;

/// Time after which a node that did not see the last crash shuts a pattern out itself, in milliseconds.
const BYSTANDER_DELAY_MS: u64 = 1_000;

/// A pattern with a ruling on it.
#[derive(Clone, Debug)]
pub(crate) struct Ruled {
    pub pattern: Pattern,
    pub ruling: Ruling,
    /// Since when the store may lack it, and whether this node made it.
    pub unsaved: Option<(Millis, bool)>,
}

/// A pattern that is to be shut out.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Due {
    pub since: Millis,
    /// Whether this node saw the crash that decided it.
    pub witnessed: bool,
}

impl Segments {
    /// Patterns that are shut out by a ruling.
    pub(crate) fn shut_patterns(&self) -> impl Iterator<Item = &Pattern> {
        let shut = self.ruled.values().filter(|ruled| ruled.ruling.verdict == Verdict::Shut);
        shut.map(|ruled| &ruled.pattern)
    }

    /// Lifts the ruling on a segment by itself.
    pub(crate) fn lift_alone(&mut self, segment: Segment, now: Millis, unix_ms: u64) {
        let Ok(pattern) = Pattern::try_from(vec![segment]) else {
            return;
        };
        let ruled = self.ruled.get(&pattern.fingerprint());
        if let Some(ruled) = ruled.filter(|ruled| ruled.ruling.verdict == Verdict::Shut) {
            let ruling = Ruling { at: unix_ms.max(ruled.ruling.at + 1), verdict: Verdict::Lifted };
            self.put_in_force(pattern, ruling, now, unix_ms);
        }
    }

    /// Makes rulings on what is to be shut out, after the time in which other reports of the same crashes may arrive. Until
    /// then it is refused without a ruling. Returns the patterns that are newly shut out.
    pub fn make_rulings(&mut self, now: Millis, unix_ms: u64) -> Vec<Pattern> {
        if self.unweighed > 0 {
            self.reconsider_next(now);
        }
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
        let pattern = self.ruled.get(&name).map(|ruled| ruled.pattern.clone());
        self.reconsider(pattern.as_ref().map_or(&[], Pattern::segments), false, now);
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

    /// Digest of all rulings, by which nodes detect that theirs differ; zero without any.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    pub(crate) fn update_digest(&mut self) {
        let hashes = self.ruled.iter().map(|(name, ruled)| ruled.ruling.hash(*name));
        self.digest = hashes.fold(0, |digest, hash| digest ^ hash);
    }
}
