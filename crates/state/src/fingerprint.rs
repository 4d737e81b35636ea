//! Request fingerprints: collision-resistant digests that decide whether two requests are the same.
//!
//! The hash is a cryptographic one, so that no caller can craft a request with the fingerprint of another
//! caller's.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use std::fmt::{Debug, Display, Formatter, Result as FmtResult};
use std::str::FromStr;

/// Bytes of a fingerprint: among 2^40 requests, the chance of any collision is one in 2^48.
const BYTES: usize = 16;

/// Digest of the parts that a repeated request has in common with the first.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint([u8; BYTES]);

/// The text is not a fingerprint.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("a fingerprint must have {} hexadecimal digits", BYTES * 2)]
pub struct ParseError;

impl Fingerprint {
    /// Hashes parts in order, each with its length, so that bytes moved from one part to the next change it.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut bytes = [0; BYTES];
        hasher.finalize_xof().fill(&mut bytes);
        Self(bytes)
    }

    /// Its bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl Display for Fingerprint {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> FmtResult {
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl Debug for Fingerprint {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> FmtResult {
        Display::fmt(self, formatter)
    }
}

impl FromStr for Fingerprint {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        if text.len() != BYTES * 2 || !text.is_ascii() {
            return Err(ParseError);
        }
        let mut bytes = [0; BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[index * 2..index * 2 + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| ParseError)?;
        }
        Ok(Self(bytes))
    }
}
