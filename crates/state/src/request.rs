//! Requests as the decisions see them.

use crate::hash;
use crate::incarnation::Incarnation;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Longest accepted key, in bytes.
pub const KEY_BYTES: usize = 128;

/// Prefix of the keys that crosslane mints.
const MINTED: &str = "cl-";

/// A caller's idempotency key, or a minted one.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(String);

/// Why a text is no key.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum KeyError {
    /// No characters.
    #[display("an idempotency key has at least one character")]
    Empty,
    /// Over `KEY_BYTES`.
    #[display("an idempotency key has at most {KEY_BYTES} bytes")]
    Long,
    /// Something else than visible ASCII.
    #[display("an idempotency key has only visible ASCII characters")]
    Character,
}

impl TryFrom<&str> for Key {
    type Error = KeyError;

    fn try_from(raw: &str) -> Result<Self, KeyError> {
        if raw.is_empty() {
            return Err(KeyError::Empty);
        }
        if raw.len() > KEY_BYTES {
            return Err(KeyError::Long);
        }
        if !raw.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(KeyError::Character);
        }
        Ok(Self(raw.to_owned()))
    }
}

impl Key {
    /// Mints a key that names its owner.
    pub fn mint(owner: Incarnation, sequence: u64) -> Self {
        Self(format!("{MINTED}{owner}-{sequence:x}"))
    }

    /// Owner named in a minted key.
    pub fn minted_by(&self) -> Option<Incarnation> {
        let (owner, _) = self.0.strip_prefix(MINTED)?.split_once('-')?;
        Incarnation::parse(owner)
    }

    /// Hash by which an owner is chosen.
    pub fn hash(&self) -> u64 {
        hash::of(self.0.as_bytes())
    }

    /// The text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// How urgent a request is.
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
    /// Served first.
    #[display("quick")]
    Quick,
    /// Waits behind quick work, with a bound.
    #[default]
    #[display("patient")]
    Patient,
}

/// An organisation whose requests share fairly with others'.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Organisation(pub u64);

/// What the policy decided for a request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// Urgency.
    pub class: Class,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Failure domains in which it may run; empty for all.
    pub domains: Vec<String>,
}

/// How a request ended, or what is known of it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Ran to its end.
    #[display("done")]
    Done,
    /// Nothing was handed to a runner under this key.
    #[display("not_run")]
    NotRun,
    /// It may have run.
    #[display("unknown")]
    Unknown,
}
