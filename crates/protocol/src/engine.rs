//! Messages of the engine interface; docs/ENGINES.md says what each call promises.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Body of `POST /prefill`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prefill {
    /// Attempt that will own the KV cache.
    pub attempt: String,
    /// Model.
    pub model: String,
    /// Prompt.
    pub prompt: String,
    /// Tokens of the answer that an earlier attempt has already given.
    pub done: u64,
    /// Whether quick.
    pub quick: bool,
}

/// Answer of `POST /prefill`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prefilled {
    /// Tokens held.
    pub tokens: u64,
    /// Tokens found in the prefix cache.
    pub cached: u64,
}

/// Body of `POST /import`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Import {
    /// Attempt.
    pub attempt: String,
    /// Address of the engine that holds its KV cache.
    pub source: String,
    /// Most tokens that will be generated.
    pub max_tokens: u64,
}

/// Answer of `GET /export/ATTEMPT`, after which the body's length stands for the KV cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Export {
    /// Prompt whose KV cache this is.
    pub prompt: String,
    /// Tokens of the answer already given.
    pub done: u64,
}

/// Body of `POST /decode` and `POST /resume`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decode {
    /// Attempt.
    pub attempt: String,
    /// Offset of the first piece wanted, in tokens of the whole answer.
    pub from: u64,
    /// Length of the whole answer at the most, in tokens.
    pub max_tokens: u64,
}

/// Line of a decode stream as it comes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RawLine {
    /// Offset of a piece, in tokens of the whole answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub o: Option<u64>,
    /// Text of a piece.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub t: Option<String>,
    /// End mark: tokens of the whole answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub end: Option<u64>,
}

/// Line of a decode stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Line {
    /// One piece.
    Piece {
        /// Offset in tokens of the whole answer.
        offset: u64,
        /// Text.
        text: String,
    },
    /// End mark.
    End {
        /// Tokens of the whole answer.
        total: u64,
    },
}

/// A line that is neither a piece nor an end mark.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("a line has an offset and a text, or an end")]
pub struct LineError;

impl TryFrom<RawLine> for Line {
    type Error = LineError;

    fn try_from(raw: RawLine) -> Result<Self, LineError> {
        match raw {
            RawLine { o: Some(offset), t: Some(text), end: None } => {
                Ok(Self::Piece { offset, text })
            }
            RawLine { o: None, t: None, end: Some(total) } => Ok(Self::End { total }),
            _ => Err(LineError),
        }
    }
}

impl From<Line> for RawLine {
    fn from(line: Line) -> Self {
        match line {
            Line::Piece { offset, text } => Self { o: Some(offset), t: Some(text), end: None },
            Line::End { total } => Self { o: None, t: None, end: Some(total) },
        }
    }
}

/// One attempt that an engine holds memory for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// Attempt.
    pub attempt: String,
    /// KV cache, in tokens.
    pub tokens: u64,
}

/// Answer of `GET /held`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldList {
    /// All that hold memory.
    pub held: Vec<Held>,
}

/// Answer of `GET /load`; lags.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in slots.
    pub busy: u32,
    /// KV cache held, in tokens.
    pub kv_tokens: u64,
}

/// Body of `POST /orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number: offset of the log record that made the sender owner.
    pub fence: u64,
    /// Model to load.
    pub load_model: String,
}

/// One cache event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Number of the event; gaps mean lost events.
    pub sequence: u64,
    /// Hash of the prefix.
    pub prefix: u64,
    /// Whether it was stored, else evicted.
    pub stored: bool,
}

/// Answer of `GET /events?from=N`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Events {
    /// Events from N on.
    pub events: Vec<Event>,
}
