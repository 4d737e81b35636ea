//! Strikes as the store keeps them while no node runs. Each node writes those that it saw into one record of its own.

use crate::quarantine::{Quarantine, STRIKE_TTL_MS};
use crate::ruling::Verdict;
use crate::suspect::{JOINT_CRASH_WINDOW_MS, Suspect};
use crosslane_state::endpoint::Tag;
use crosslane_state::fingerprint::Fingerprint;
use crosslane_state::time::Millis;
use std::cmp::Reverse;

/// Number of strikes from which on they are saved: each crash strikes innocent requests too, most of them once.
const MIN_STRIKES: usize = 2;

/// Maximum number of requests in a node's record, some 200 bytes each. The ones that were struck last are kept.
const MAX_SAVED: usize = 64;

/// Strikes against a request, as the store keeps them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Saved {
    /// The request.
    pub request: Fingerprint,
    /// Incarnations that crashed under it.
    pub endpoints: Vec<Tag>,
    /// When the last strike was recorded, in milliseconds of Unix time.
    pub at: u64,
}

impl Suspect {
    /// Whether no record of the store has all of its strikes.
    fn is_unsaved(&self) -> bool {
        self.strikes.iter().any(|endpoint| !self.saved.contains(endpoint))
    }

    /// Whether this node is to save its strikes: the one that saw the last strike, and others `after` a time in milliseconds.
    fn is_to_save(&self, now: Millis, after: Option<u64>) -> bool {
        let delay_ms = if self.saw_last_strike { Some(JOINT_CRASH_WINDOW_MS) } else { after };
        self.is_unsaved() && delay_ms.is_some_and(|delay| now.since(self.last_strike_at) >= delay)
    }
}

impl Quarantine {
    /// What this node's record in the store is to hold, if that differs from what it holds. Strikes that another node saw and
    /// nobody saved are added `after` a time in milliseconds if this node is responsible for them.
    pub fn strikes_to_save(
        &self,
        now: Millis,
        after: Option<u64>,
        unix_ms: u64,
    ) -> Option<Vec<Saved>> {
        let own = self.own_record.as_ref()?;
        let suspects =
            self.suspects.iter().filter(|(_, suspect)| suspect.strikes.len() >= MIN_STRIKES);
        let kept =
            suspects.filter(|(request, it)| own.contains(request) || it.is_to_save(now, after));
        let mut kept: Vec<(&Fingerprint, &Suspect)> = kept.collect();
        kept.sort_by_key(|(_, suspect)| Reverse(suspect.last_strike_at));
        kept.truncate(MAX_SAVED);
        let grown = kept.iter().any(|(_, suspect)| suspect.is_to_save(now, after));
        let dropped = own.iter().any(|request| kept.iter().all(|(kept, _)| *kept != request));
        let saved = |(request, suspect): (&Fingerprint, &Suspect)| Saved {
            request: *request,
            endpoints: suspect.strikes.clone(),
            at: unix_ms.saturating_sub(now.since(suspect.last_strike_at)),
        };
        (grown || dropped).then(|| kept.into_iter().map(saved).collect())
    }

    /// Records that this node's record in the store holds these strikes.
    pub fn set_own_record(&mut self, strikes: &[Saved]) {
        self.mark_strikes_saved(strikes);
        self.own_record = Some(strikes.iter().map(|saved| saved.request).collect());
    }

    /// Records that a record of the store holds these strikes.
    pub fn mark_strikes_saved(&mut self, strikes: &[Saved]) {
        for Saved { request, endpoints, .. } in strikes {
            if let Some(Suspect { strikes, saved, .. }) = self.suspects.get_mut(request) {
                saved.extend(endpoints.iter().filter(|endpoint| strikes.contains(endpoint)));
            }
        }
    }

    /// Counts strikes that the store kept, unless they have expired or a ruling lifted them.
    pub fn restore_strikes(&mut self, strikes: &[Saved], now: Millis, unix_ms: u64) {
        for Saved { request, endpoints, at } in strikes {
            let ruling = self.suspects.get(request).and_then(|suspect| suspect.ruling);
            let lifted = ruling.is_some_and(|ruling| ruling.verdict == Verdict::Lifted);
            if !lifted && at.saturating_add(STRIKE_TTL_MS) > unix_ms {
                self.apply_strikes(*request, endpoints, now);
            }
        }
        // Those that were added later, too, are attributed to requests that are shut out.
        let requests: Vec<Fingerprint> = self.suspects.keys().copied().collect();
        requests.into_iter().for_each(|request| self.attribute_crashes(request));
    }
}
