//! Organisations: identified by their callers' API keys, each with an optional rate limit.
//!
//! API keys are kept and compared only as digests, so that none can reach a log line, a metric or a message.

use crate::endpoint::Tag;
use crate::fingerprint::Fingerprint;
use crate::residency::Residency;
use std::collections::HashMap;

/// Index of an organisation in the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Key(u32);

/// Unit of a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Unit {
    /// Each request costs one.
    #[default]
    Requests,
    /// A request costs its prompt tokens and its maximum number of output tokens.
    Tokens {
        /// Cost of a request that states no number of tokens.
        default_tokens: u32,
    },
}

impl Unit {
    /// Cost of a request with the number of tokens that it states, if any.
    pub fn cost(self, tokens: Option<u32>) -> u32 {
        match self {
            Self::Requests => 1,
            Self::Tokens { default_tokens: default } => tokens.unwrap_or(default),
        }
    }
}

/// Rate limit of an organisation over all nodes, in its unit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Units a second.
    pub units_per_second: f64,
    /// Units that may be used at once beyond the rate.
    pub burst: f64,
}

/// An organisation.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Name, as endpoints get it.
    pub name: String,
    /// Unit of its limit.
    pub unit: Unit,
    /// Rate limit, if it has one.
    pub limit: Option<Limit>,
    /// Where its requests may be served.
    pub residency: Residency,
    /// Priority of its requests; 0 is the most urgent.
    pub priority: u8,
}

impl Organisation {
    /// Identifier in messages between nodes.
    pub fn tag(&self) -> Tag {
        Tag::of(&self.name)
    }
}

/// Credential of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Credential {
    /// No credential.
    Absent,
    /// An API key, of which only the digest is kept.
    Key(Fingerprint),
    /// Not a well-formed API key.
    Malformed,
}

/// All organisations of a configuration, with their API keys.
#[derive(Clone, Debug, Default)]
pub struct Organisations {
    organisations: Vec<Organisation>,
    keys: HashMap<Fingerprint, Key>,
    tags: HashMap<Tag, Key>,
    /// Whether they differ in priority.
    is_ranked: bool,
}

impl Organisations {
    /// Adds an organisation with the digests of its API keys; false if another one has its name or one of them.
    pub fn add(&mut self, organisation: Organisation, digests: &[Fingerprint]) -> bool {
        let key = Key(self.organisations.len() as u32);
        let first = self.organisations.first().map_or(organisation.priority, |one| one.priority);
        self.is_ranked |= organisation.priority != first;
        let duplicate_name = self.tags.insert(organisation.tag(), key).is_some();
        let duplicate_key = digests
            .iter()
            .any(|digest| self.keys.insert(*digest, key).is_some_and(|other| other != key));
        self.organisations.push(organisation);
        !duplicate_name && !duplicate_key
    }

    /// The organisation with an API key, given by its digest.
    pub fn by_key_digest(&self, digest: Fingerprint) -> Option<&Organisation> {
        self.keys.get(&digest).and_then(|key| self.get(*key))
    }

    /// The organisation with an identifier in messages between nodes.
    pub fn by_tag(&self, tag: Tag) -> Option<&Organisation> {
        self.tags.get(&tag).and_then(|key| self.get(*key))
    }

    fn get(&self, key: Key) -> Option<&Organisation> {
        self.organisations.get(key.0 as usize)
    }

    /// Whether they differ in priority.
    pub fn is_ranked(&self) -> bool {
        self.is_ranked
    }

    /// All organisations.
    pub fn iter(&self) -> impl Iterator<Item = &Organisation> {
        self.organisations.iter()
    }

    /// Number of organisations.
    pub fn len(&self) -> usize {
        self.organisations.len()
    }

    /// Whether there are no organisations.
    pub fn is_empty(&self) -> bool {
        self.organisations.is_empty()
    }
}
