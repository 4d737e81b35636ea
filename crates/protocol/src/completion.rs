//! OpenAI-style completion requests and their answers.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

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
    pub fn chunk(&self, id: &str, piece: &str) -> Value {
        self.envelope(id, ".chunk", self.part("delta", piece, Value::Null))
    }

    /// Body that closes a stream.
    pub fn last_chunk(&self, id: &str, generated: u64) -> Value {
        let mut body = self.envelope(id, ".chunk", self.part("delta", "", json!("stop")));
        body["usage"] = self.usage(generated);
        body
    }

    /// Body of a whole answer.
    pub fn whole(&self, id: &str, answer: &str, generated: u64) -> Value {
        let mut body = self.envelope(id, "", self.part("message", answer, json!("stop")));
        body["usage"] = self.usage(generated);
        body
    }

    fn envelope(&self, id: &str, suffix: &str, choice: Value) -> Value {
        let object = match self.form {
            Form::Text => "text_completion".to_owned(),
            Form::Chat => format!("chat.completion{suffix}"),
        };
        json!({ "id": id, "object": object, "model": self.model, "choices": [choice] })
    }

    fn part(&self, field: &str, text: &str, finish: Value) -> Value {
        match self.form {
            Form::Text => json!({ "index": 0, "text": text, "finish_reason": finish }),
            Form::Chat => json!({
                "index": 0,
                field: { "role": "assistant", "content": text },
                "finish_reason": finish,
            }),
        }
    }

    fn usage(&self, generated: u64) -> Value {
        let prompt = self.prompt_tokens();
        json!({
            "prompt_tokens": prompt,
            "completion_tokens": generated,
            "total_tokens": prompt + generated,
        })
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
