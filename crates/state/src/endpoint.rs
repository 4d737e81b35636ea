//! Endpoints as service discovery describes them: prefill engines, decode engines and plain services.

use crate::build::Build;
use crate::hash;
use serde::{Deserialize, Serialize};
use slotmap::new_key_type;
use std::net::SocketAddr;

new_key_type! {
    /// Arena key of an endpoint in this node's pool.
    pub struct Key;
}

/// Short identifier in messages between nodes: the hash of the name of a VM or an organisation, or of an
/// endpoint's id and start time.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Tag(pub u64);

impl Tag {
    /// Hashes a name.
    pub fn of(name: &str) -> Self {
        Self(hash::of(name.as_bytes()))
    }
}

/// Work that an endpoint does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// Computes KV cache from prompts.
    Prefill,
    /// Generates tokens.
    Decode,
    /// Answers plain HTTP requests.
    Plain,
}

/// One incarnation of an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Name, which an endpoint keeps over restarts.
    pub id: String,
    /// Start of this incarnation by the endpoint's own clock, in Unix milliseconds.
    pub started_unix_ms: u64,
    /// Service it belongs to.
    pub service: String,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Version of its software.
    pub software: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Work that it does.
    pub stage: Stage,
    /// Whether it announced that it shuts down.
    pub draining: bool,
    /// Time for which it stays cold from when its record was written, in milliseconds.
    pub cold_ms: u64,
    /// Sequence number of its record.
    pub sequence: u64,
}

impl Endpoint {
    /// Identifier of this incarnation in messages between nodes. After a restart under the same id it
    /// is another one, since the new process holds no memory or requests of the old one.
    pub fn tag(&self) -> Tag {
        let start_bytes = self.started_unix_ms.to_le_bytes();
        Tag(hash::of(&[self.id.as_bytes(), &start_bytes].concat()))
    }

    /// Build that it runs.
    pub fn build(&self) -> Build {
        Build::new(&self.service, &self.software)
    }
}
