//! OpenAI-compatible completion requests and responses.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Output limit of a request without `max_tokens`.
pub const DEFAULT_MAX_TOKENS: u64 = 64;

/// Highest valid `max_tokens`.
pub const MAX_OUTPUT_TOKENS: u64 = 16_384;

/// Bytes of a token in length estimates.
pub const BYTES_PER_TOKEN: usize = 4;

/// API that a request uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Api {
    /// `/v1/completions`.
    Text,
    /// `/v1/chat/completions`.
    Chat,
}

impl Api {
    /// The API served at a path.
    pub fn from_path(path: &str) -> Option<Self> {
        match path {
            "/v1/completions" => Some(Self::Text),
            "/v1/chat/completions" => Some(Self::Chat),
            _ => None,
        }
    }
}

/// A validated completion request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completion {
    /// Text or chat completion.
    pub api: Api,
    /// Name of the model.
    pub model: String,
    /// Prompt; for a chat, its messages joined by line feeds.
    pub prompt: String,
    /// Maximum number of output tokens.
    pub max_tokens: u64,
    /// Whether the response is streamed.
    pub stream: bool,
}

/// Why a body is not a valid completion request.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// It is not JSON.
    #[display("the body is not JSON: {message}")]
    Json {
        /// The parser's error message.
        message: String,
    },
    /// A field is missing or of the wrong type.
    #[display("{field}: expected {expected}")]
    Field {
        /// Name of the field.
        field: &'static str,
        /// Description of the valid values.
        expected: &'static str,
    },
}

/// A request body, not yet validated, with the API of its path.
pub struct Raw<'a> {
    /// Text or chat completion.
    pub api: Api,
    /// Body as received.
    pub body: &'a [u8],
}

impl TryFrom<Raw<'_>> for Completion {
    type Error = Error;

    fn try_from(raw: Raw<'_>) -> Result<Self, Error> {
        let value: Value = serde_json::from_slice(raw.body)
            .map_err(|error| Error::Json { message: error.to_string() })?;
        let prompt = match raw.api {
            Api::Text => text(&value, "prompt")?,
            Api::Chat => messages(&value)?,
        };
        Ok(Self {
            api: raw.api,
            model: text(&value, "model")?,
            prompt,
            max_tokens: max_tokens(&value)?,
            stream: stream(&value)?,
        })
    }
}

impl Completion {
    /// Estimates the length of the prompt, in tokens.
    pub fn estimated_prompt_tokens(&self) -> u64 {
        estimate_tokens(&self.prompt)
    }

    /// Body of a streamed chunk.
    pub fn chunk<'a>(&'a self, id: &'a str, text: &'a str) -> Body<'a> {
        Body { choices: [Choice::new(self.api, text, Kind::Chunk)], ..self.body(id, true) }
    }

    /// Body of the last chunk of a stream.
    pub fn last_chunk<'a>(&'a self, id: &'a str, generated_tokens: u64) -> Body<'a> {
        let choices = [Choice::new(self.api, "", Kind::LastChunk)];
        Body { choices, usage: Some(self.usage(generated_tokens)), ..self.body(id, true) }
    }

    /// Body of a response that is not streamed.
    pub fn full<'a>(&'a self, id: &'a str, text: &'a str, generated_tokens: u64) -> Body<'a> {
        let choices = [Choice::new(self.api, text, Kind::Full)];
        Body { choices, usage: Some(self.usage(generated_tokens)), ..self.body(id, false) }
    }

    fn body<'a>(&'a self, id: &'a str, chunk: bool) -> Body<'a> {
        let object = match (self.api, chunk) {
            (Api::Text, _) => "text_completion",
            (Api::Chat, true) => "chat.completion.chunk",
            (Api::Chat, false) => "chat.completion",
        };
        let choices = [Choice::new(self.api, "", Kind::Chunk)];
        Body { id, object, model: &self.model, choices, usage: None }
    }

    fn usage(&self, generated_tokens: u64) -> Usage {
        let prompt = self.estimated_prompt_tokens();
        Usage {
            prompt_tokens: prompt,
            completion_tokens: generated_tokens,
            total_tokens: prompt + generated_tokens,
        }
    }
}

/// Body of a response, or of a chunk of a streamed one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Body<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

/// Token counts of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
struct Usage {
    prompt_tokens: u64,
    completion_tokens: u64,
    total_tokens: u64,
}

/// Part of a response that a body holds.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Kind {
    Chunk,
    LastChunk,
    Full,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Message<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Message<'a>>,
    finish_reason: Option<&'static str>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
struct Message<'a> {
    role: &'static str,
    content: &'a str,
}

impl<'a> Choice<'a> {
    fn new(api: Api, text: &'a str, kind: Kind) -> Self {
        let message = |present: bool| {
            (api == Api::Chat && present).then_some(Message { role: "assistant", content: text })
        };
        Self {
            index: 0,
            text: (api == Api::Text).then_some(text),
            delta: message(kind != Kind::Full),
            message: message(kind == Kind::Full),
            finish_reason: (kind != Kind::Chunk).then_some("stop"),
        }
    }
}

/// Estimates the length of a text, in tokens.
pub fn estimate_tokens(text: &str) -> u64 {
    text.len().div_ceil(BYTES_PER_TOKEN) as u64
}

fn text(value: &Value, field: &'static str) -> Result<String, Error> {
    match value.get(field).and_then(Value::as_str) {
        Some(text) if !text.is_empty() => Ok(text.to_owned()),
        _ => Err(Error::Field { field, expected: "a string that is not empty" }),
    }
}

fn messages(value: &Value) -> Result<String, Error> {
    let invalid = || Error::Field {
        field: "messages",
        expected: "an array of objects with a string content",
    };
    let list = value.get("messages").and_then(Value::as_array).ok_or_else(invalid)?;
    let contents: Option<Vec<&str>> =
        list.iter().map(|message| message.get("content").and_then(Value::as_str)).collect();
    let joined = contents.ok_or_else(invalid)?.join("\n");
    if joined.is_empty() { Err(invalid()) } else { Ok(joined) }
}

fn max_tokens(value: &Value) -> Result<u64, Error> {
    let Some(raw) = value.get("max_tokens") else {
        return Ok(DEFAULT_MAX_TOKENS);
    };
    raw.as_u64()
        .filter(|count| (1..=MAX_OUTPUT_TOKENS).contains(count))
        .ok_or(Error::Field { field: "max_tokens", expected: "a whole number from 1 to 16384" })
}

fn stream(value: &Value) -> Result<bool, Error> {
    match value.get("stream") {
        None => Ok(false),
        Some(raw) => {
            raw.as_bool().ok_or(Error::Field { field: "stream", expected: "true or false" })
        }
    }
}
