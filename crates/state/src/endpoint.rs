//! Endpoints as service discovery describes them: engines in two stages, and plain services.

use crate::hash;
use serde::{Deserialize, Serialize};
use slotmap::new_key_type;
use std::net::SocketAddr;

new_key_type! {
    /// Place of an endpoint in this node's pool.
    pub struct Key;
}

/// Name of an endpoint between nodes: a hash of its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Tag(pub u64);

impl Tag {
    /// Tag of the endpoint with this id.
    pub fn of(id: &str) -> Self {
        Self(hash::of(id.as_bytes()))
    }
}

/// What an endpoint does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// Computes KV cache from prompts.
    Prefill,
    /// Generates tokens.
    Decode,
    /// Answers plain calls.
    Plain,
}

/// One incarnation of an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Identity of this incarnation.
    pub id: String,
    /// Service it belongs to.
    pub service: String,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Requests it works on at once.
    pub slots: u32,
    /// What it does.
    pub stage: Stage,
    /// Whether it announced that it leaves.
    pub draining: bool,
}
