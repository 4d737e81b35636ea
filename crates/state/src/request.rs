//! Requests: idempotency keys, latency classes, policy decisions and outcomes.

use crate::hash;
use crate::incarnation::Incarnation;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Longest accepted idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 128;

/// Prefix of the keys that crosslane generates.
const GENERATED_PREFIX: &str = "cl-";

/// A caller's idempotency key, or one generated for a request without.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(String);

/// Why a text is not a valid idempotency key.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum KeyError {
    /// It is empty.
    #[display("an idempotency key has at least one character")]
    Empty,
    /// It has more than `MAX_KEY_BYTES` bytes.
    #[display("an idempotency key has at most {MAX_KEY_BYTES} bytes")]
    TooLong,
    /// It has a character other than visible ASCII.
    #[display("an idempotency key has only visible ASCII characters")]
    InvalidCharacter,
}

impl TryFrom<&str> for Key {
    type Error = KeyError;

    fn try_from(raw: &str) -> Result<Self, KeyError> {
        if raw.is_empty() {
            return Err(KeyError::Empty);
        }
        if raw.len() > MAX_KEY_BYTES {
            return Err(KeyError::TooLong);
        }
        if !raw.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(KeyError::InvalidCharacter);
        }
        Ok(Self(raw.to_owned()))
    }
}

impl Key {
    /// Generates a key that names its owner.
    pub fn generate(owner: Incarnation, sequence: u64) -> Self {
        Self(format!("{GENERATED_PREFIX}{owner}-{sequence:x}"))
    }

    /// Owner named in a generated key.
    pub fn generated_by(&self) -> Option<Incarnation> {
        let (owner, _) = self.0.strip_prefix(GENERATED_PREFIX)?.split_once('-')?;
        Incarnation::parse(owner)
    }

    /// Hash by which the owner of the key is chosen.
    pub fn hash(&self) -> u64 {
        hash::of(self.0.as_bytes())
    }

    /// Text of the key.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Latency class of a request.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub enum Class {
    /// Interactive: served first.
    #[display("quick")]
    Quick,
    /// Batch: waits behind quick requests, but only for a bounded time.
    #[default]
    #[display("patient")]
    Patient,
}

/// Hash of an organisation's name; organisations share engines fairly.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Organisation(pub u64);

/// Decision of the policy on a request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Latency class.
    pub class: Class,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Failure domains in which the request may run; empty for all.
    pub domains: Vec<String>,
}

/// What a caller can rely on about a request that ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It ran to completion.
    #[display("done")]
    Done,
    /// It was never handed to a runner under this key.
    #[display("not_run")]
    NotRun,
    /// It may have run.
    #[display("unknown")]
    Unknown,
}
