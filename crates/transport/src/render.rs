//! Builds HTTP responses from buffers, either buffered or streamed as server-sent events.

use crate::buffer::{End, Reader, Step};
use crate::entry::{ParsedRequest, Target};
use crate::headers::REQUEST;
use crate::http::{self, BodyError, ResponseBody};
use crate::metrics::Counter;
use crate::node::{Progress, Shared};
use crate::run::NOT_READY_MILLIS;
use bytes::Bytes;
use crosslane_protocol::completion::Completion;
use crosslane_protocol::refusal::{self, Code, Refusal};
use crosslane_state::request::Key;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use std::sync::Arc;

/// Builds the response to a request from the buffer of its run.
pub async fn render(
    shared: &Arc<Shared>,
    request: &ParsedRequest,
    key: &Key,
    reader: Option<Reader>,
    progress: Progress,
) -> Result<Response<ResponseBody>, Refusal> {
    let mut reader = reader.ok_or_else(abandoned_refusal)?;
    let mut response = match &request.target {
        Target::Model(completion) if completion.stream => {
            stream_response(shared, completion, key, reader, progress).await?
        }
        Target::Model(completion) => {
            let chunks = chunks_or_refusal(shared, reader.read_to_end().await)?;
            let text: Vec<u8> = chunks.concat();
            let text = String::from_utf8_lossy(&text);
            http::json(200, &completion.full(key.as_str(), &text, chunks.len() as u64))
        }
        Target::Service(_) => {
            let chunks = chunks_or_refusal(shared, reader.read_to_end().await)?;
            service_response(&reader, chunks)
        }
    };
    if let Ok(value) = HeaderValue::from_str(key.as_str()) {
        response.headers_mut().insert(REQUEST, value);
    }
    Ok(response)
}

/// Refusal of a request that would join a run which is being cancelled as all of its callers have disconnected.
fn abandoned_refusal() -> Refusal {
    Refusal::unknown(Code::CallerLeft, "the earlier request is being abandoned")
        .retry_after(NOT_READY_MILLIS)
}

fn chunks_or_refusal(
    shared: &Shared,
    (chunks, end): (Vec<Bytes>, End),
) -> Result<Vec<Bytes>, Refusal> {
    match end {
        End::Done => {
            shared.metrics.count(Counter::Answers);
            Ok(chunks)
        }
        End::Refused(refusal) => Err(refusal),
    }
}

fn service_response(reader: &Reader, chunks: Vec<Bytes>) -> Response<ResponseBody> {
    let mut response = Response::new(http::full(chunks.concat()));
    if let Some(head) = reader.head() {
        *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::OK);
        if let Ok(value) = HeaderValue::from_str(&head.content_type) {
            response.headers_mut().insert(CONTENT_TYPE, value);
        }
    }
    response
}

/// State of a response that is streamed as server-sent events.
struct EventStream {
    shared: Arc<Shared>,
    completion: Completion,
    id: String,
    reader: Reader,
    generated_tokens: u64,
    first_step: Option<Step>,
    ended: bool,
    _progress: Progress,
}

/// Responds with server-sent events; a refusal before the first chunk becomes a plain error response.
async fn stream_response(
    shared: &Arc<Shared>,
    completion: &Completion,
    key: &Key,
    mut reader: Reader,
    progress: Progress,
) -> Result<Response<ResponseBody>, Refusal> {
    let started = shared.clock.now();
    let first_step = match reader.next().await {
        Step::End(End::Refused(refusal)) => return Err(refusal),
        step => step,
    };
    shared.metrics.first_output(shared.clock.now().since(started));
    let events = EventStream {
        shared: shared.clone(),
        completion: completion.clone(),
        id: key.as_str().to_owned(),
        reader,
        generated_tokens: 0,
        first_step: Some(first_step),
        ended: false,
        _progress: progress,
    };
    let frames = stream::unfold(events, |mut events| async move {
        let data = events.next().await?;
        Some((Ok::<_, BodyError>(Frame::data(data)), events))
    });
    let mut response = Response::new(StreamBody::new(frames).boxed());
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    Ok(response)
}

impl EventStream {
    async fn next(&mut self) -> Option<Bytes> {
        if self.ended {
            return None;
        }
        let step = match self.first_step.take() {
            Some(step) => step,
            None => self.reader.next().await,
        };
        Some(match step {
            Step::Piece(chunk) => {
                self.generated_tokens += 1;
                let text = String::from_utf8_lossy(&chunk);
                event(&self.completion.chunk(&self.id, &text))
            }
            Step::End(End::Done) => {
                self.ended = true;
                self.shared.metrics.count(Counter::Answers);
                let last = event(&self.completion.last_chunk(&self.id, self.generated_tokens));
                Bytes::from([last.as_ref(), b"data: [DONE]\n\n"].concat())
            }
            Step::End(End::Refused(refusal)) => {
                self.ended = true;
                self.shared.metrics.refused(refusal.code);
                event(&refusal::Body { error: refusal })
            }
        })
    }
}

/// Formats one server-sent event with JSON data.
pub fn event(body: &impl serde::Serialize) -> Bytes {
    Bytes::from(format!("data: {}\n\n", serde_json::to_string(body).unwrap_or_default()))
}
