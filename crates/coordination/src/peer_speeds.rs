//! Observations of endpoints' speeds by other nodes, as they last reported them.

use crate::speed::Record;
use crosslane_state::endpoint::{Stage, Tag};
use crosslane_state::time::Millis;
use std::collections::{HashMap, HashSet};

/// A node's observations of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Row {
    /// The endpoint.
    pub endpoint: Tag,
    /// Its stage during the runs.
    pub stage: Stage,
    /// Sums over the runs.
    pub record: Record,
}

/// Report of a node.
#[derive(Debug)]
struct Peer {
    received_at: Millis,
    expires_at: Millis,
    endpoints: HashSet<Tag>,
}

/// Observations of all other nodes.
#[derive(Debug, Default)]
pub(crate) struct PeerSpeeds {
    peers: HashMap<Tag, Peer>,
    /// By endpoint, then by node.
    rows: HashMap<Tag, HashMap<Tag, Row>>,
}

impl PeerSpeeds {
    /// Replaces all rows of a node, which are valid until a time. Returns the endpoints whose sum may have changed.
    pub(crate) fn replace(
        &mut self,
        peer: Tag,
        rows: Vec<Row>,
        now: Millis,
        until: Millis,
    ) -> HashSet<Tag> {
        let mut changed = self.forget(peer);
        let rows = rows.into_iter().filter(|row| row.record.is_valid());
        let mut endpoints = HashSet::new();
        for row in rows {
            endpoints.insert(row.endpoint);
            self.rows.entry(row.endpoint).or_default().insert(peer, row);
        }
        changed.extend(&endpoints);
        if !endpoints.is_empty() {
            self.peers.insert(peer, Peer { received_at: now, expires_at: until, endpoints });
        }
        changed
    }

    /// Drops the rows of nodes whose report has expired. Returns the endpoints whose sum may have changed.
    pub(crate) fn expire(&mut self, now: Millis) -> HashSet<Tag> {
        let expired = self.peers.iter().filter(|(_, peer)| peer.expires_at <= now);
        let expired: Vec<Tag> = expired.map(|(peer, _)| *peer).collect();
        expired.into_iter().flat_map(|peer| self.forget(peer)).collect()
    }

    /// Drops all rows.
    pub(crate) fn clear(&mut self) {
        self.peers.clear();
        self.rows.clear();
    }

    /// Drops all rows of an endpoint.
    pub(crate) fn forget_endpoint(&mut self, endpoint: Tag) {
        self.rows.remove(&endpoint);
    }

    fn forget(&mut self, peer: Tag) -> HashSet<Tag> {
        let endpoints = self.peers.remove(&peer).map(|peer| peer.endpoints).unwrap_or_default();
        for endpoint in &endpoints {
            if let Some(nodes) = self.rows.get_mut(endpoint) {
                nodes.remove(&peer);
                if nodes.is_empty() {
                    self.rows.remove(endpoint);
                }
            }
        }
        endpoints
    }

    /// Sum of all other nodes' observations of an endpoint in a stage, decayed since their reports.
    pub(crate) fn sum(&self, endpoint: Tag, stage: Stage, now: Millis) -> Record {
        let by_node = self.rows.get(&endpoint).into_iter().flatten();
        let in_stage = by_node.filter(|(_, row)| row.stage == stage);
        in_stage.fold(Record::default(), |sum, (peer, row)| {
            let age_ms = self.peers.get(peer).map_or(0, |peer| now.since(peer.received_at));
            sum.plus(row.record.decayed(age_ms))
        })
    }
}
