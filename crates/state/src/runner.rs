//! Runners: the prefill engines, decode engines and plain services behind a node's own interface.

use crate::hash;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};
use std::collections::HashMap;
use std::net::SocketAddr;

new_key_type! {
    /// Arena key of a runner in this node's table.
    pub struct Key;
}

/// Identifier of a runner in messages between nodes: a hash of its name in the settings.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:x}")]
pub struct Id(pub u64);

impl Id {
    /// Hashes a runner's name.
    pub fn of(name: &str) -> Self {
        Self(hash::of(name.as_bytes()))
    }
}

/// Work that a runner does.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Computes KV cache from prompts.
    #[display("prefill")]
    Prefill,
    /// Generates tokens.
    #[display("decode")]
    Decode,
    /// Answers plain HTTP requests.
    #[display("service")]
    Service,
}

/// A runner, as described in the settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Runner {
    /// Identifier in messages between nodes.
    pub id: Id,
    /// Name in the settings.
    pub name: String,
    /// VM it runs on.
    pub vm: String,
    /// Failure domain.
    pub domain: String,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Work that it does.
    pub role: Role,
    /// Name of the model, or path prefix of a service.
    pub serves: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// KV cache capacity, in tokens.
    pub kv_tokens: u64,
    /// Whether it rejects orders with an outdated fencing token.
    pub fences: bool,
}

/// All runners that this node may use.
#[derive(Clone, Debug, Default)]
pub struct Table {
    arena: SlotMap<Key, Runner>,
    ids: HashMap<Id, Key>,
    pools: HashMap<(Role, String), Vec<Key>>,
}

impl Table {
    /// Adds a runner; one with the same name stays as it is.
    pub fn insert(&mut self, runner: Runner) -> Key {
        if let Some(key) = self.ids.get(&runner.id) {
            return *key;
        }
        let pool = (runner.role, runner.serves.clone());
        let id = runner.id;
        let key = self.arena.insert(runner);
        self.ids.insert(id, key);
        self.pools.entry(pool).or_default().push(key);
        key
    }

    /// The runner at a key.
    pub fn get(&self, key: Key) -> Option<&Runner> {
        self.arena.get(key)
    }

    /// The runner with an identifier.
    pub fn find(&self, id: Id) -> Option<&Runner> {
        self.ids.get(&id).and_then(|key| self.arena.get(*key))
    }

    /// Keys of the runners with a role for a model or path prefix.
    pub fn pool(&self, role: Role, serves: &str) -> &[Key] {
        self.pools.get(&(role, serves.to_owned())).map_or(&[], Vec::as_slice)
    }

    /// All runners.
    pub fn iter(&self) -> impl Iterator<Item = &Runner> {
        self.arena.values()
    }
}
