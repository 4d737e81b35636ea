//! Log records in their stored form: JSON with a format number.

use crosslane_coordination::record::Record;
use crosslane_state::incarnation::Incarnation;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Format number that this release writes and reads.
pub const FORMAT: u32 = 1;

/// Why a stored record can't be decoded.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// It is torn or not a record at all; every node skips it.
    #[display("malformed record: {message}")]
    Malformed {
        /// The parser's error message.
        message: String,
    },
    /// It was written by a newer release; the log can't be replayed beyond it.
    #[display("unsupported record format {format}; this release reads up to {FORMAT}")]
    NewerFormat {
        /// Format number found.
        format: u32,
    },
}

/// A record as stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Raw<'a>(pub &'a str);

#[derive(Deserialize)]
struct Header {
    format: u32,
}

#[derive(Serialize, Deserialize)]
struct Envelope<T> {
    format: u32,
    record: T,
}

/// Claims on idempotency keys, appended as one record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    /// Node that claims.
    pub by: Incarnation,
    /// Hashes of the claimed keys.
    pub keys: Vec<u64>,
}

impl TryFrom<Raw<'_>> for Record {
    type Error = Error;

    fn try_from(raw: Raw<'_>) -> Result<Self, Error> {
        decode(raw.0)
    }
}

impl TryFrom<Raw<'_>> for Claims {
    type Error = Error;

    fn try_from(raw: Raw<'_>) -> Result<Self, Error> {
        decode(raw.0)
    }
}

/// Encodes a record with the current format number.
pub fn encode(record: &impl Serialize) -> String {
    serde_json::to_string(&Envelope { format: FORMAT, record }).unwrap_or_default()
}

fn decode<T: for<'de> Deserialize<'de>>(text: &str) -> Result<T, Error> {
    let malformed = |error: serde_json::Error| Error::Malformed { message: error.to_string() };
    let header: Header = serde_json::from_str(text).map_err(malformed)?;
    if header.format > FORMAT {
        return Err(Error::NewerFormat { format: header.format });
    }
    let envelope: Envelope<T> = serde_json::from_str(text).map_err(malformed)?;
    Ok(envelope.record)
}
