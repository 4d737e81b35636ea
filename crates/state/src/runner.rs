//! Runners: engines and plain services that do the work.

use crate::hash;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};
use std::collections::HashMap;
use std::net::SocketAddr;

new_key_type! {
    /// Place of a runner in this node's table.
    pub struct Key;
}

/// Name of a runner between nodes: a hash of its name in the settings.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:x}")]
pub struct Id(pub u64);

impl Id {
    /// Identity of the runner with this name.
    pub fn of(name: &str) -> Self {
        Self(hash::of(name.as_bytes()))
    }
}

/// What a runner does.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Computes KV cache from prompts.
    #[display("prefill")]
    Prefill,
    /// Generates tokens.
    #[display("decode")]
    Decode,
    /// Answers plain HTTP calls.
    #[display("service")]
    Service,
}

/// One runner, as settings describe it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Runner {
    /// Identity between nodes.
    pub id: Id,
    /// Name in settings.
    pub name: String,
    /// VM it runs on.
    pub vm: String,
    /// Failure domain.
    pub domain: String,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// What it does.
    pub role: Role,
    /// Model served, or path prefix for a service.
    pub serves: String,
    /// Requests it holds at once.
    pub slots: u32,
    /// KV cache it holds, in tokens.
    pub kv_tokens: u64,
    /// Whether it refuses orders with an old fencing number.
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
    /// Adds a runner; a second one of the same name replaces nothing.
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

    /// The runner with an identity.
    pub fn find(&self, id: Id) -> Option<&Runner> {
        self.ids.get(&id).and_then(|key| self.arena.get(*key))
    }

    /// Keys of the runners with a role that serve a model or prefix.
    pub fn pool(&self, role: Role, serves: &str) -> &[Key] {
        self.pools.get(&(role, serves.to_owned())).map_or(&[], Vec::as_slice)
    }

    /// All runners.
    pub fn iter(&self) -> impl Iterator<Item = &Runner> {
        self.arena.values()
    }
}
