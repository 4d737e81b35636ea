//! Connection limit of a node at the endpoints of a service.
//!
//! Load patterns: bursts of three times the usual traffic while nodes stop, after which one node in
//! two dozen has hundreds of requests waiting at one endpoint; and nearly all callers at one node
//! for some seconds. An endpoint has a connection cap for all nodes together and resets connections
//! above it, and a request on a reset connection is indistinguishable from one that ran.
//!
//! Half of what is shared is divided evenly, so that a node without contact to the others has its
//! part. The other half is lent by one node, the owner of the service's cap (`quota`), to nodes that
//! need more. A lease adds one connection at each endpoint of the service, so that leases and
//! messages follow the load of a node and not the number of endpoints.

use crate::limits::BACKUP_SHARE;
use crate::quota::MAX_OWNERS;
use crosslane_state::organisation::Limit;
use crosslane_state::time::Millis;
use std::collections::VecDeque;

/// Fraction of the cap that nodes may use; the rest is for connections that are being closed and for
/// calls other than requests.
const SHARED_FRACTION: f64 = 0.9;

/// Part of that which is divided evenly.
const EVEN_PART: f64 = 0.5;

/// Time for which requests may begin under a lease, in milliseconds.
const USE_MS: u64 = 6_000;

/// Time before its end at which a lease that is still needed is replaced, in milliseconds.
const RENEWAL_MS: u64 = 1_000;

/// Time for which connections may be open after their last request, in milliseconds.
const IDLE_MS: u64 = 1_000;

/// Connections that a node needs at an endpoint, as a multiple of its mean number of requests there:
/// endpoints are not loaded evenly.
const HEADROOM: f64 = 2.0;

/// Samples of the need, the highest of which counts.
const SAMPLES: usize = 4;

/// Connections that each of `nodes` nodes may have at an endpoint with this cap without a lease; at
/// least one, as the endpoint would be unreachable otherwise.
pub fn share(cap: u32, nodes: usize) -> u32 {
    let share = f64::from(cap) * SHARED_FRACTION * EVEN_PART / nodes.max(1) as f64;
    (share as u32).max(1)
}

/// Limit of the leases that the owner of a cap grants. Each is spent for as long as a connection that
/// was opened under it may last, where requests last `longest_ms` at most: a full bucket and what
/// flows in during that time make up what can be lent. All owners and nodes without an owner may
/// grant their parts at the same time.
pub fn lent(cap: u32, nodes: usize, longest_ms: u64) -> Limit {
    let even = f64::from(share(cap, nodes)) * nodes as f64;
    let spare = (f64::from(cap) * SHARED_FRACTION - even).max(0.0);
    let granting = 1.0 + BACKUP_SHARE * MAX_OWNERS as f64;
    let burst = spare / granting / 2.0;
    let lifetime_ms = USE_MS + longest_ms + IDLE_MS;
    Limit { units_per_second: burst * 1_000.0 / lifetime_ms as f64, burst }
}

/// Requests of a node at the endpoints of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Use {
    /// Mean number at an endpoint.
    pub mean: f64,
    /// Most at one endpoint.
    pub most: u32,
}

/// A granted connection at each endpoint.
#[derive(Debug)]
struct Lease<G> {
    grant: G,
    at: Millis,
}

/// What to do about a node's leases.
#[derive(Debug)]
pub struct Plan<G> {
    /// Grants whose time is over. Connections may still be open under them.
    pub expired: Vec<G>,
    /// Grants that are no longer needed and under which no request runs.
    pub unneeded: Vec<G>,
    /// Number of leases to ask for.
    pub missing: u32,
}

/// The leases of a node for the endpoints of a service.
#[derive(Debug)]
pub struct Leases<G> {
    /// In the order of their grants.
    leases: VecDeque<Lease<G>>,
    needs: VecDeque<u32>,
}

impl<G> Default for Leases<G> {
    fn default() -> Self {
        Self { leases: VecDeque::new(), needs: VecDeque::new() }
    }
}

impl<G> Leases<G> {
    /// Number of leases under which requests may begin.
    pub fn count(&self, now: Millis) -> u32 {
        self.leases.iter().filter(|lease| now.since(lease.at) < USE_MS).count() as u32
    }

    /// Adds a granted lease.
    pub fn add(&mut self, grant: G, now: Millis) {
        self.leases.push_back(Lease { grant, at: now });
    }

    /// Grants of all leases, which end.
    pub fn end(self) -> impl Iterator<Item = G> {
        self.leases.into_iter().map(|lease| lease.grant)
    }

    /// Plans leases for a use of the endpoints where the node's even share is `share`.
    pub fn plan(&mut self, usage: Use, share: u32, now: Millis) -> Plan<G> {
        self.needs.push_back((usage.mean * HEADROOM).ceil() as u32);
        if self.needs.len() > SAMPLES {
            self.needs.pop_front();
        }
        let beyond = |connections: u32| connections.saturating_sub(share);
        let needed = beyond(self.needs.iter().copied().max().unwrap_or_default());
        let expired = self.leases.len() - self.count(now) as usize;
        let expired = self.take(expired);
        let kept = needed.max(beyond(usage.most)) as usize;
        let unneeded = self.take(self.leases.len().saturating_sub(kept));
        let missing = needed.saturating_sub(self.count(now + RENEWAL_MS));
        Plan { expired, unneeded, missing }
    }

    fn take(&mut self, count: usize) -> Vec<G> {
        self.leases.drain(..count).map(|lease| lease.grant).collect()
    }
}
