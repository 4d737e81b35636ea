//! Messages of the engine interface; docs/ENGINES.md specifies each call.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Body of `POST /prefill`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prefill {
    /// Attempt that the KV cache is computed for.
    pub attempt: String,
    /// Name of the model.
    pub model: String,
    /// Prompt.
    pub prompt: String,
    /// Output tokens that an earlier attempt has already generated.
    pub done: u64,
    /// Whether the request is of the quick (interactive) class.
    pub quick: bool,
}

/// Response to `POST /prefill`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prefilled {
    /// Size of the KV cache, in tokens.
    pub tokens: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached: u64,
}

/// Body of `POST /import`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Import {
    /// Attempt.
    pub attempt: String,
    /// Address of the engine that holds the KV cache.
    pub source: String,
    /// Maximum length of the output, in tokens.
    pub max_tokens: u64,
}

/// Response to `GET /export/ATTEMPT`, which moves an attempt's KV cache to another engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Export {
    /// Prompt that the KV cache belongs to.
    pub prompt: String,
    /// Output tokens already generated.
    pub done: u64,
}

/// Body of `POST /decode` and `POST /resume`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decode {
    /// Attempt.
    pub attempt: String,
    /// Offset in the output from which to stream, in tokens.
    pub from: u64,
    /// Maximum length of the output, in tokens.
    pub max_tokens: u64,
}

/// Line of a decode stream, not yet validated.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RawLine {
    /// Offset of a token in the output.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub o: Option<u64>,
    /// Text of a token.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub t: Option<String>,
    /// On the last line: length of the output, in tokens.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub end: Option<u64>,
}

/// Line of a decode stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Line {
    /// One token of the output.
    Token {
        /// Offset of the token in the output.
        offset: u64,
        /// Text.
        text: String,
    },
    /// The last line.
    End {
        /// Length of the output, in tokens.
        total_tokens: u64,
    },
}

/// The line is neither a token nor the last line.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("line of a decode stream must have either `o` and `t` or `end`")]
pub struct LineError;

impl TryFrom<RawLine> for Line {
    type Error = LineError;

    fn try_from(raw: RawLine) -> Result<Self, LineError> {
        match raw {
            RawLine { o: Some(offset), t: Some(text), end: None } => {
                Ok(Self::Token { offset, text })
            }
            RawLine { o: None, t: None, end: Some(length) } => {
                Ok(Self::End { total_tokens: length })
            }
            _ => Err(LineError),
        }
    }
}

impl From<Line> for RawLine {
    fn from(line: Line) -> Self {
        match line {
            Line::Token { offset, text } => Self { o: Some(offset), t: Some(text), end: None },
            Line::End { total_tokens: total } => Self { o: None, t: None, end: Some(total) },
        }
    }
}

/// An attempt for which an engine holds KV cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// Attempt.
    pub attempt: String,
    /// Size of the KV cache, in tokens.
    pub tokens: u64,
}

/// Response to `GET /held`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldList {
    /// All attempts for which the engine holds KV cache.
    pub held: Vec<Held>,
}

/// Response to `GET /load`; may be outdated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Slots in use.
    pub busy: u32,
    /// KV cache in use, in tokens.
    pub kv_tokens: u64,
}

/// Body of `POST /orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token: offset of the log record that made the sender the owner.
    pub fence: u64,
    /// Model to load.
    pub load_model: String,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Number of the event; a gap means that events were lost.
    pub sequence: u64,
    /// Hash of the cached prefix.
    pub prefix: u64,
    /// Whether the prefix was stored; otherwise it was evicted.
    pub stored: bool,
}

/// Response to `GET /events?from=N`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Events {
    /// Events from number N on.
    pub events: Vec<Event>,
}
