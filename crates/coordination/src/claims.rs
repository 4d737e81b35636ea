//! Claims on the keys of requests that may not be repeated, collected from the log and from peers.
//!
//! A node claims a key before it runs the request. The first claim on a key wins. After a node has
//! departed, keys that it may have owned are in doubt until all of its claims have been collected.

use crosslane_state::hash;
use crosslane_state::incarnation::Incarnation;
use crosslane_state::time::Millis;
use std::collections::hash_map::Entry;
use std::collections::{HashMap, VecDeque};

/// Why a request may have been run although the ledger has no record of its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doubt {
    /// Another node claimed the key.
    Claimed,
    /// A node that owned the key has departed, and not all of its claims are known here yet.
    ClaimsIncomplete,
}

/// A member whose departure is in the log.
#[derive(Clone, Copy, Debug)]
struct Departed {
    incarnation: Incarnation,
    at: Millis,
    claims_collected: bool,
}

/// Claims by key hash, kept for a time window.
#[derive(Clone, Debug)]
pub struct Claims {
    window_millis: u64,
    first_claims: HashMap<u64, Incarnation>,
    claim_ages: VecDeque<(Millis, u64)>,
    departures: Vec<Departed>,
}

impl Claims {
    /// An empty set of claims, each of which is kept for a window in milliseconds.
    pub fn new(window_millis: u64) -> Self {
        Self {
            window_millis,
            first_claims: HashMap::new(),
            claim_ages: VecDeque::new(),
            departures: Vec::new(),
        }
    }

    /// Adds a claim, unless the key is already claimed.
    pub fn claim(&mut self, key: u64, by: Incarnation, now: Millis) {
        while let Some((at, expired)) = self.claim_ages.front().copied() {
            if now.since(at) < self.window_millis {
                break;
            }
            self.claim_ages.pop_front();
            self.first_claims.remove(&expired);
        }
        if let Entry::Vacant(vacant) = self.first_claims.entry(key) {
            vacant.insert(by);
            self.claim_ages.push_back((now, key));
        }
    }

    /// Whether the first claim on a key was made by a node other than `by`.
    pub fn claimed_by_other(&self, key: u64, by: Incarnation) -> bool {
        self.first_claims.get(&key).is_some_and(|first| *first != by)
    }

    /// Records a departure; `claims_collected` if the node handed over all its state.
    pub fn record_departure(
        &mut self,
        incarnation: Incarnation,
        claims_collected: bool,
        now: Millis,
    ) {
        self.departures.retain(|departed| now.since(departed.at) < self.window_millis);
        self.departures.push(Departed { incarnation, at: now, claims_collected });
    }

    /// Departed nodes whose claims have not all been collected.
    pub fn uncollected(&self) -> Vec<Incarnation> {
        self.departures
            .iter()
            .filter(|departed| !departed.claims_collected)
            .map(|departed| departed.incarnation)
            .collect()
    }

    /// Records that all claims of a departed node are known here.
    pub fn mark_collected(&mut self, incarnation: Incarnation) {
        for departed in
            self.departures.iter_mut().filter(|departed| departed.incarnation == incarnation)
        {
            departed.claims_collected = true;
        }
    }

    /// Why the node `at` must not run a key now, if there is a reason.
    pub fn doubt(&self, key: u64, at: Incarnation) -> Option<Doubt> {
        if self.claimed_by_other(key, at) {
            return Some(Doubt::Claimed);
        }
        let weight = hash::rendezvous_weight(key, at.0);
        let ranked_higher =
            |departed: &&Departed| hash::rendezvous_weight(key, departed.incarnation.0) > weight;
        let mut uncollected = self.departures.iter().filter(|departed| !departed.claims_collected);
        uncollected.find(ranked_higher).map(|_| Doubt::ClaimsIncomplete)
    }
}
