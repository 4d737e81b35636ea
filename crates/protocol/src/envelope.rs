//! Log records in their written form: JSON with a format number.

use crosslane_coordination::record::Record;
use crosslane_state::incarnation::Incarnation;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Format number that this release writes and reads.
pub const FORMAT: u32 = 1;

/// Why a written record can't be read.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// Torn or foreign: skipped, by every node alike.
    #[display("not a record: {message}")]
    Torn {
        /// Parser's words.
        message: String,
    },
    /// From a newer release: folding stops here.
    #[display("record has format {format}, this release reads {FORMAT}")]
    Newer {
        /// Format number found.
        format: u32,
    },
}

/// A record as written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Raw<'a>(pub &'a str);

#[derive(Deserialize)]
struct Head {
    format: u32,
}

#[derive(Serialize, Deserialize)]
struct Envelope<T> {
    format: u32,
    record: T,
}

/// Claims appended together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    /// Node that claims.
    pub by: Incarnation,
    /// Hashes of the keys.
    pub keys: Vec<u64>,
}

impl TryFrom<Raw<'_>> for Record {
    type Error = Error;

    fn try_from(raw: Raw<'_>) -> Result<Self, Error> {
        read(raw.0)
    }
}

impl TryFrom<Raw<'_>> for Claims {
    type Error = Error;

    fn try_from(raw: Raw<'_>) -> Result<Self, Error> {
        read(raw.0)
    }
}

/// Writes a record.
pub fn write(record: &impl Serialize) -> String {
    serde_json::to_string(&Envelope { format: FORMAT, record }).unwrap_or_default()
}

fn read<T: for<'de> Deserialize<'de>>(text: &str) -> Result<T, Error> {
    let torn = |error: serde_json::Error| Error::Torn { message: error.to_string() };
    let head: Head = serde_json::from_str(text).map_err(torn)?;
    if head.format > FORMAT {
        return Err(Error::Newer { format: head.format });
    }
    let envelope: Envelope<T> = serde_json::from_str(text).map_err(torn)?;
    Ok(envelope.record)
}
