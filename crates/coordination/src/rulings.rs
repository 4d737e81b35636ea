//! Rulings on requests that crash endpoints: made here, merged with those of other nodes and of the store, and saved there.

use crate::quarantine::Quarantine;
use crate::ruling::{Ruling, Verdict};
use crate::suspect::Suspect;
use crate::suspicion::Update;
use crosslane_state::fingerprint::Fingerprint;
use crosslane_state::time::Millis;

/// Time after its last strike in which a request that is shut out may get other rulings lifted, in
/// milliseconds. It is longer than the time for which nodes leave the decision to others.
const LIFT_WINDOW_MS: u64 = 5_000;

/// Maximum number of rulings, some 200 bytes each; see `quarantine::MAX_SUSPECTS`.
const MAX_RULINGS: usize = 1_024;

/// A ruling that the store may lack: since when it is known, and whether this node made it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Unsaved {
    since: Millis,
    own: bool,
}

impl Quarantine {
    /// Shuts out requests with enough strikes, after the time in which joint crashes may still
    /// become known. Until then they are refused without a ruling. Returns those that are newly
    /// shut out.
    pub fn shut_out_due(&mut self, now: Millis, unix_ms: u64) -> Vec<Fingerprint> {
        if self.ruling_count >= MAX_RULINGS {
            return Vec::new();
        }
        let due = self.suspects.iter().filter(|(_, suspect)| suspect.is_due(now));
        let due =
            due.filter(|(request, suspect)| !self.is_explained_by_suspects(**request, suspect));
        let due: Vec<Fingerprint> = due.map(|(request, _)| *request).collect();
        due.into_iter().filter(|request| self.shut_out(*request, now, unix_ms)).collect()
    }

    /// Lifts rulings on requests that are superseded by another one that is shut out by now.
    /// Returns these requests.
    pub fn lift_superseded(&mut self, now: Millis, unix_ms: u64) -> Vec<Fingerprint> {
        let ruled_out = || self.suspects.values().filter(|suspect| suspect.is_ruled_out());
        let recent = |suspect: &&Suspect| {
            (suspect.decision_delay_ms()..LIFT_WINDOW_MS)
                .contains(&now.since(suspect.last_strike_at))
        };
        let culprits: Vec<&Suspect> = ruled_out().filter(recent).collect();
        let superseded = self.suspects.iter().filter(|(_, suspect)| suspect.is_ruled_out());
        let superseded = superseded
            .filter(|(_, suspect)| culprits.iter().any(|culprit| culprit.supersedes(suspect)));
        let superseded =
            superseded.filter_map(|(request, suspect)| Some((*request, suspect.ruling?)));
        let superseded: Vec<(Fingerprint, Ruling)> = superseded.collect();
        for (request, ruling) in &superseded {
            let at = unix_ms.max(ruling.at + 1);
            self.put_in_force(*request, Ruling { at, verdict: Verdict::Lifted }, now, unix_ms);
        }
        superseded.into_iter().map(|(request, _)| request).collect()
    }

    /// Shuts a request out; false if there is no room for a ruling.
    fn shut_out(&mut self, request: Fingerprint, now: Millis, unix_ms: u64) -> bool {
        self.put_in_force(request, Ruling { at: unix_ms, verdict: Verdict::Shut }, now, unix_ms)
    }

    /// Puts a ruling of this node into force and queues it for other nodes and the store; false if
    /// there is no room for it.
    pub(crate) fn put_in_force(
        &mut self,
        request: Fingerprint,
        ruling: Ruling,
        now: Millis,
        unix_ms: u64,
    ) -> bool {
        if !self.merge(request, ruling, now, unix_ms) {
            return false;
        }
        self.unsaved_rulings.insert(request, Unsaved { since: now, own: true });
        self.outbox.push((request, Update::Ruled(ruling)));
        true
    }

    /// Applies a ruling of another node or of the store; true if it is new.
    pub fn merge_ruling(
        &mut self,
        request: Fingerprint,
        ruling: Ruling,
        now: Millis,
        unix_ms: u64,
    ) -> bool {
        let new = self.merge(request, ruling, now, unix_ms);
        if new {
            self.unsaved_rulings.insert(request, Unsaved { since: now, own: false });
        }
        new
    }

    /// Puts a ruling into force, unless a later one is known or there are too many.
    fn merge(&mut self, request: Fingerprint, ruling: Ruling, now: Millis, unix_ms: u64) -> bool {
        let known = self.suspects.get(&request).and_then(|suspect| suspect.ruling);
        let full = known.is_none() && self.ruling_count >= MAX_RULINGS;
        if full || ruling.is_expired(unix_ms) || known.is_some_and(|known| known >= ruling) {
            return false;
        }
        let suspect = self.suspects.entry(request).or_default();
        suspect.ruling = Some(ruling);
        suspect.last_strike_at = now;
        suspect.trial = None;
        if ruling.verdict == Verdict::Lifted {
            suspect.excused.append(&mut suspect.strikes);
            suspect.excused.append(&mut suspect.attributed);
        }
        self.attribute_crashes(request);
        self.update_digest();
        true
    }

    /// Records that the store has a ruling.
    pub fn mark_saved(&mut self, request: Fingerprint, ruling: Ruling) {
        let known = self.suspects.get(&request).and_then(|suspect| suspect.ruling);
        if known.is_none_or(|known| known <= ruling) {
            self.unsaved_rulings.remove(&request);
        }
    }

    /// Rulings to write to the store: this node's own at once, those of other nodes `after` a time
    /// in milliseconds if this node is responsible for them.
    pub fn rulings_to_save(&self, now: Millis, after: Option<u64>) -> Vec<(Fingerprint, Ruling)> {
        let due = |entry: &Unsaved| {
            entry.own || after.is_some_and(|after| now.since(entry.since) >= after)
        };
        let unsaved = self.unsaved_rulings.iter().filter(|(_, entry)| due(entry));
        let rulings = unsaved
            .filter_map(|(request, _)| Some((*request, self.suspects.get(request)?.ruling?)));
        rulings.collect()
    }

    /// All rulings.
    pub fn rulings(&self) -> impl Iterator<Item = (Fingerprint, Ruling)> {
        self.suspects.iter().filter_map(|(request, suspect)| Some((*request, suspect.ruling?)))
    }

    /// Digest of all rulings, by which nodes detect that theirs differ; zero without any.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    pub(crate) fn update_digest(&mut self) {
        let hashes = self.rulings().map(|(request, ruling)| ruling.hash(request));
        let (digest, ruling_count) =
            hashes.fold((0, 0), |(digest, count), hash| (digest ^ hash, count + 1));
        (self.digest, self.ruling_count) = (digest, ruling_count);
    }
}
