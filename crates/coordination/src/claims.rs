//! Claims on keys whose requests may not be repeated, as the log and peers tell them.
//!
//! The first claim of a key stands. After a node has departed, keys that it may have owned are
//! in doubt until its claims have all been collected.

use crosslane_state::hash;
use crosslane_state::incarnation::Incarnation;
use crosslane_state::time::Millis;
use std::collections::hash_map::Entry;
use std::collections::{HashMap, VecDeque};

/// Why a key that the ledger does not know may have been run all the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doubt {
    /// Another node claimed it.
    Claimed,
    /// A node that owned it has departed, and its claims are not all known here yet.
    Unsettled,
}

/// A member that the log says is no more.
#[derive(Clone, Copy, Debug)]
struct Departed {
    incarnation: Incarnation,
    at: Millis,
    settled: bool,
}

/// Claims by key hash, for a window of time.
#[derive(Clone, Debug)]
pub struct Claims {
    window_millis: u64,
    first: HashMap<u64, Incarnation>,
    ages: VecDeque<(Millis, u64)>,
    departed: Vec<Departed>,
}

impl Claims {
    /// No claims, each to be remembered for a window in milliseconds.
    pub fn new(window_millis: u64) -> Self {
        Self { window_millis, first: HashMap::new(), ages: VecDeque::new(), departed: Vec::new() }
    }

    /// Takes a claim; the first one of a key stands.
    pub fn claim(&mut self, key: u64, by: Incarnation, now: Millis) {
        while let Some((at, old)) = self.ages.front().copied() {
            if now.since(at) < self.window_millis {
                break;
            }
            self.ages.pop_front();
            self.first.remove(&old);
        }
        if let Entry::Vacant(vacant) = self.first.entry(key) {
            vacant.insert(by);
            self.ages.push_back((now, key));
        }
    }

    /// Whether a node other than `by` claimed a key first.
    pub fn by_other(&self, key: u64, by: Incarnation) -> bool {
        self.first.get(&key).is_some_and(|first| *first != by)
    }

    /// Notes a departure; `settled` if the node handed everything over.
    pub fn departed(&mut self, incarnation: Incarnation, settled: bool, now: Millis) {
        self.departed.retain(|it| now.since(it.at) < self.window_millis);
        self.departed.push(Departed { incarnation, at: now, settled });
    }

    /// Departed nodes whose claims have not been collected.
    pub fn unsettled(&self) -> Vec<Incarnation> {
        self.departed.iter().filter(|it| !it.settled).map(|it| it.incarnation).collect()
    }

    /// Notes that a departed node's claims are all known here.
    pub fn settle(&mut self, incarnation: Incarnation) {
        for departed in self.departed.iter_mut().filter(|it| it.incarnation == incarnation) {
            departed.settled = true;
        }
    }

    /// What speaks against running a key at a node.
    pub fn doubt(&self, key: u64, at: Incarnation) -> Option<Doubt> {
        if self.by_other(key, at) {
            return Some(Doubt::Claimed);
        }
        let weight = hash::rendezvous_weight(key, at.0);
        let owned = |it: &&Departed| hash::rendezvous_weight(key, it.incarnation.0) > weight;
        let mut unsettled = self.departed.iter().filter(|it| !it.settled);
        unsettled.find(owned).map(|_| Doubt::Unsettled)
    }
}
