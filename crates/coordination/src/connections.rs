//! Connections that a node may have at one endpoint.
//!
//! Load pattern: bursts of three times the usual while nodes stop, after which a node in two dozen has hundreds of
//! requests waiting at one endpoint. An endpoint resets what is over the cap that it has for all nodes together, and a
//! request on such a connection can't be told from one that ran. So each node keeps to an even part of the cap: it is
//! many times what requests that are on time need, and no node has to ask.

/// Part of the cap that is shared out; the rest is for connections that are being closed, and for calls besides requests.
const SHARED: f64 = 0.9;

/// Connections that one of some nodes may have at an endpoint with a cap; one at least, or it could never be reached.
pub fn part(cap: u32, nodes: usize) -> u32 {
    let part = f64::from(cap) * SHARED / nodes.max(1) as f64;
    (part as u32).max(1)
}
