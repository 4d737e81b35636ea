//! OpenAI-style completion requests and their answers.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Tokens generated when a request does not say.
pub const DEFAULT_MAX_TOKENS: u64 = 64;

/// Most tokens that a request may ask for.
pub const MOST_TOKENS: u64 = 16_384;

/// Bytes taken for one token in estimates.
pub const BYTES_PER_TOKEN: usize = 4;

/// Which of the two forms a request has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Form {
    /// `/v1/completions`.
    Text,
    /// `/v1/chat/completions`.
    Chat,
}

impl Form {
    /// The form served at a path.
    pub fn at(path: &str) -> Option<Self> {
        match path {
            "/v1/completions" => Some(Self::Text),
            "/v1/chat/completions" => Some(Self::Chat),
            _ => None,
        }
    }
}

/// A checked completion request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completion {
    /// Text or chat.
    pub form: Form,
    /// Model.
    pub model: String,
    /// Prompt; of a chat, its messages one after another.
    pub prompt: String,
    /// Most tokens to generate.
    pub max_tokens: u64,
    /// Whether the answer is streamed.
    pub stream: bool,
}

/// Why a body is no completion request.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// Not JSON.
    #[display("the body is not JSON: {message}")]
    Json {
        /// Parser's words.
        message: String,
    },
    /// A field is missing or of the wrong type.
    #[display("{field}: expected {expected}")]
    Field {
        /// Field.
        field: &'static str,
        /// What it should be.
        expected: &'static str,
    },
}

/// A body together with the form that its path demands.
pub struct Raw<'a> {
    /// Text or chat.
    pub form: Form,
    /// Body as it came.
    pub body: &'a [u8],
}

impl TryFrom<Raw<'_>> for Completion {
    type Error = Error;

    fn try_from(raw: Raw<'_>) -> Result<Self, Error> {
        let value: Value = serde_json::from_slice(raw.body)
            .map_err(|error| Error::Json { message: error.to_string() })?;
        let prompt = match raw.form {
            Form::Text => text(&value, "prompt")?,
            Form::Chat => messages(&value)?,
        };
        Ok(Self {
            form: raw.form,
            model: text(&value, "model")?,
            prompt,
            max_tokens: max_tokens(&value)?,
            stream: stream(&value)?,
        })
    }
}

impl Completion {
    /// Estimated length of the prompt, in tokens.
    pub fn prompt_tokens(&self) -> u64 {
        tokens(&self.prompt)
    }

    /// Body of one streamed piece.
    pub fn chunk<'a>(&'a self, id: &'a str, piece: &'a str) -> Body<'a> {
        Body { choices: [Choice::new(self.form, piece, Place::Piece)], ..self.body(id, true) }
    }

    /// Body that closes a stream.
    pub fn last_chunk<'a>(&'a self, id: &'a str, generated: u64) -> Body<'a> {
        let choices = [Choice::new(self.form, "", Place::Last)];
        Body { choices, usage: Some(self.usage(generated)), ..self.body(id, true) }
    }

    /// Body of a whole answer.
    pub fn whole<'a>(&'a self, id: &'a str, answer: &'a str, generated: u64) -> Body<'a> {
        let choices = [Choice::new(self.form, answer, Place::Whole)];
        Body { choices, usage: Some(self.usage(generated)), ..self.body(id, false) }
    }

    fn body<'a>(&'a self, id: &'a str, chunk: bool) -> Body<'a> {
        let object = match (self.form, chunk) {
            (Form::Text, _) => "text_completion",
            (Form::Chat, true) => "chat.completion.chunk",
            (Form::Chat, false) => "chat.completion",
        };
        let choices = [Choice::new(self.form, "", Place::Piece)];
        Body { id, object, model: &self.model, choices, usage: None }
    }

    fn usage(&self, generated: u64) -> Usage {
        let prompt = self.prompt_tokens();
        Usage {
            prompt_tokens: prompt,
            completion_tokens: generated,
            total_tokens: prompt + generated,
        }
    }
}

/// Body of an answer, whole or in pieces.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Body<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

/// Tokens that a request cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
struct Usage {
    prompt_tokens: u64,
    completion_tokens: u64,
    total_tokens: u64,
}

/// Where in an answer a text stands.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Place {
    Piece,
    Last,
    Whole,
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
    fn new(form: Form, text: &'a str, place: Place) -> Self {
        let message = |wanted: bool| {
            (form == Form::Chat && wanted).then_some(Message { role: "assistant", content: text })
        };
        Self {
            index: 0,
            text: (form == Form::Text).then_some(text),
            delta: message(place != Place::Whole),
            message: message(place == Place::Whole),
            finish_reason: (place != Place::Piece).then_some("stop"),
        }
    }
}

/// Estimated length of a text, in tokens.
pub fn tokens(text: &str) -> u64 {
    text.len().div_ceil(BYTES_PER_TOKEN) as u64
}

fn text(value: &Value, field: &'static str) -> Result<String, Error> {
    match value.get(field).and_then(Value::as_str) {
        Some(text) if !text.is_empty() => Ok(text.to_owned()),
        _ => Err(Error::Field { field, expected: "a string that is not empty" }),
    }
}

fn messages(value: &Value) -> Result<String, Error> {
    let wrong = || Error::Field {
        field: "messages",
        expected: "an array of objects with a string content",
    };
    let list = value.get("messages").and_then(Value::as_array).ok_or_else(wrong)?;
    let contents: Option<Vec<&str>> =
        list.iter().map(|it| it.get("content").and_then(Value::as_str)).collect();
    let joined = contents.ok_or_else(wrong)?.join("\n");
    if joined.is_empty() { Err(wrong()) } else { Ok(joined) }
}

fn max_tokens(value: &Value) -> Result<u64, Error> {
    let Some(raw) = value.get("max_tokens") else {
        return Ok(DEFAULT_MAX_TOKENS);
    };
    raw.as_u64()
        .filter(|it| (1..=MOST_TOKENS).contains(it))
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
