//! What nodes have at endpoints: this one's, and the sums of what the others told.
//!
//! A node hears some 130 heartbeats a second however many nodes there are, and each names some tens of
//! endpoints. So what is told is kept by endpoint: a sum takes the few nodes that have something
//! there, not all that there are.

use crate::health::Record;
use crosslane_state::endpoint::Tag;
use crosslane_state::time::Millis;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};

/// What one node has at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Requests.
    pub requests: u32,
    /// Tokens of KV cache taken or being computed.
    pub tokens: u32,
    /// Outcomes of requests.
    pub outcomes: Record,
}

impl Usage {
    fn plus(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_add(other.requests),
            tokens: self.tokens.saturating_add(other.tokens),
            outcomes: self.outcomes.plus(other.outcomes),
        }
    }
}

/// One other node.
#[derive(Debug)]
struct Peer {
    /// Until when its word counts.
    until: Millis,
    /// Endpoints that it named.
    named: HashSet<Tag>,
}

/// What all other nodes have at endpoints, as they last told.
#[derive(Debug, Default)]
pub struct Told {
    peers: HashMap<Tag, Peer>,
    /// By endpoint, and by node.
    usage: HashMap<Tag, HashMap<Tag, Usage>>,
}

impl Told {
    /// Takes all that a node has, which counts until a time. Returns the endpoints whose sum may have
    /// changed.
    pub fn hear(&mut self, peer: Tag, usage: Vec<(Tag, Usage)>, until: Millis) -> HashSet<Tag> {
        let mut changed = self.forget(peer);
        let named: HashSet<Tag> = usage.iter().map(|it| it.0).collect();
        for (endpoint, has) in usage {
            self.usage.entry(endpoint).or_default().insert(peer, has);
        }
        changed.extend(&named);
        self.peers.insert(peer, Peer { until, named });
        changed
    }

    /// Takes what a node now has at some endpoints. One that was not heard yet is heard first.
    pub fn update(&mut self, peer: Tag, usage: &[(Tag, Usage)]) -> bool {
        let Some(known) = self.peers.get_mut(&peer) else {
            return false;
        };
        for (endpoint, has) in usage {
            known.named.insert(*endpoint);
            self.usage.entry(*endpoint).or_default().insert(peer, *has);
        }
        true
    }

    /// Forgets nodes whose word counts no longer. Returns the endpoints whose sum may have changed.
    pub fn expire(&mut self, now: Millis) -> HashSet<Tag> {
        let silent = self.peers.iter().filter(|(_, it)| it.until <= now);
        let silent: Vec<Tag> = silent.map(|(peer, _)| *peer).collect();
        silent.into_iter().flat_map(|it| self.forget(it)).collect()
    }

    fn forget(&mut self, peer: Tag) -> HashSet<Tag> {
        let named = self.peers.remove(&peer).map(|it| it.named).unwrap_or_default();
        for endpoint in &named {
            if let Some(nodes) = self.usage.get_mut(endpoint) {
                nodes.remove(&peer);
                if nodes.is_empty() {
                    self.usage.remove(endpoint);
                }
            }
        }
        named
    }

    /// What all others have at an endpoint.
    pub fn sum(&self, endpoint: Tag) -> Usage {
        let nodes = self.usage.get(&endpoint).into_iter().flat_map(HashMap::values);
        nodes.fold(Usage::default(), |sum, it| sum.plus(*it))
    }
}
