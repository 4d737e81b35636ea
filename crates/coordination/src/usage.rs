//! Usage of endpoints by nodes: by this node, and the sums over all others.
//!
//! A node receives some 130 heartbeats per second however many nodes there are, and each names some
//! tens of endpoints. So usage is kept by endpoint: a sum visits the few nodes that use that
//! endpoint, not all nodes.

use crate::health::Record;
use crosslane_state::endpoint::Tag;
use crosslane_state::time::Millis;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};

/// Usage of one endpoint by one node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of requests.
    pub requests: u32,
    /// Tokens of KV cache in use or being computed.
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

/// Another node.
#[derive(Debug)]
struct Peer {
    /// When its last heartbeat expires.
    expires_at: Millis,
    /// Endpoints that it reported usage of.
    endpoints: HashSet<Tag>,
}

/// Usage of endpoints by all other nodes, as they last reported it.
#[derive(Debug, Default)]
pub struct PeerUsage {
    peers: HashMap<Tag, Peer>,
    /// By endpoint, then by node.
    usage: HashMap<Tag, HashMap<Tag, Usage>>,
}

impl PeerUsage {
    /// Replaces all usage of a node, which is valid until a time. Returns the endpoints whose sum
    /// may have changed.
    pub fn replace(&mut self, peer: Tag, usage: Vec<(Tag, Usage)>, until: Millis) -> HashSet<Tag> {
        let mut changed = self.forget(peer);
        let endpoints: HashSet<Tag> = usage.iter().map(|entry| entry.0).collect();
        for (endpoint, used) in usage {
            self.usage.entry(endpoint).or_default().insert(peer, used);
        }
        changed.extend(&endpoints);
        self.peers.insert(peer, Peer { expires_at: until, endpoints });
        changed
    }

    /// Updates a node's usage of some endpoints; false if there is no full report of that node yet.
    pub fn update(&mut self, peer: Tag, usage: &[(Tag, Usage)]) -> bool {
        let Some(known) = self.peers.get_mut(&peer) else {
            return false;
        };
        for (endpoint, used) in usage {
            known.endpoints.insert(*endpoint);
            self.usage.entry(*endpoint).or_default().insert(peer, *used);
        }
        true
    }

    /// Drops nodes whose report has expired. Returns the endpoints whose sum may have changed.
    pub fn expire(&mut self, now: Millis) -> HashSet<Tag> {
        let expired = self.peers.iter().filter(|(_, peer)| peer.expires_at <= now);
        let expired: Vec<Tag> = expired.map(|(peer, _)| *peer).collect();
        expired.into_iter().flat_map(|peer| self.forget(peer)).collect()
    }

    fn forget(&mut self, peer: Tag) -> HashSet<Tag> {
        let endpoints = self.peers.remove(&peer).map(|peer| peer.endpoints).unwrap_or_default();
        for endpoint in &endpoints {
            if let Some(nodes) = self.usage.get_mut(endpoint) {
                nodes.remove(&peer);
                if nodes.is_empty() {
                    self.usage.remove(endpoint);
                }
            }
        }
        endpoints
    }

    /// Sum of all other nodes' usage of an endpoint.
    pub fn sum(&self, endpoint: Tag) -> Usage {
        let by_node = self.usage.get(&endpoint).into_iter().flat_map(HashMap::values);
        by_node.fold(Usage::default(), |sum, usage| sum.plus(*usage))
    }
}
