//! Connection limit of a node at one endpoint.
//!
//! Load pattern: bursts of three times the usual traffic while nodes stop, after which one node in
//! two dozen has hundreds of requests waiting at one endpoint. An endpoint has a connection cap for
//! all nodes together and resets connections above it, and a request on a reset connection is
//! indistinguishable from one that ran. Each node therefore limits itself to an equal share of the
//! cap. The share is many times what requests that are on time need, and no coordination is needed.

/// Fraction of the cap divided among nodes; the rest is for connections that are being closed and
/// for calls other than requests.
const SHARED_FRACTION: f64 = 0.9;

/// Connections that each of `nodes` nodes may have at an endpoint with this cap; at least one, as the
/// endpoint would be unreachable otherwise.
pub fn share(cap: u32, nodes: usize) -> u32 {
    let share = f64::from(cap) * SHARED_FRACTION / nodes.max(1) as f64;
    (share as u32).max(1)
}
