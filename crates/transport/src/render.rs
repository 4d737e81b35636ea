//! Answers from tapes: whole, or streamed as server-sent events.

use crate::entry::{Asked, Target};
use crate::headers::REQUEST;
use crate::http::{self, BodyError, Reply};
use crate::metrics::Counter;
use crate::node::{Progress, Shared};
use crate::run::NOT_READY_MILLIS;
use crate::tape::{End, Reader, Step};
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

/// Answers from a tape.
pub async fn render(
    shared: &Arc<Shared>,
    asked: &Asked,
    key: &Key,
    reader: Option<Reader>,
    progress: Progress,
) -> Result<Response<Reply>, Refusal> {
    let mut reader = reader.ok_or_else(abandoned)?;
    let mut response = match &asked.target {
        Target::Model(completion) if completion.stream => {
            streamed(shared, completion, key, reader, progress).await?
        }
        Target::Model(completion) => {
            let pieces = finished(shared, reader.whole().await)?;
            let text: Vec<u8> = pieces.concat();
            let text = String::from_utf8_lossy(&text);
            http::json(200, &completion.full(key.as_str(), &text, pieces.len() as u64))
        }
        Target::Service(_) => {
            let pieces = finished(shared, reader.whole().await)?;
            service(&reader, pieces)
        }
    };
    if let Ok(value) = HeaderValue::from_str(key.as_str()) {
        response.headers_mut().insert(REQUEST, value);
    }
    Ok(response)
}

/// The refusal of a request that meets a run which every caller has left.
fn abandoned() -> Refusal {
    Refusal::unknown(Code::CallerLeft, "the earlier request is being abandoned")
        .retry_after(NOT_READY_MILLIS)
}

fn finished(shared: &Shared, (pieces, end): (Vec<Bytes>, End)) -> Result<Vec<Bytes>, Refusal> {
    match end {
        End::Done => {
            shared.metrics.count(Counter::Answers);
            Ok(pieces)
        }
        End::Refused(refusal) => Err(refusal),
    }
}

fn service(reader: &Reader, pieces: Vec<Bytes>) -> Response<Reply> {
    let mut response = Response::new(http::full(pieces.concat()));
    if let Some(head) = reader.head() {
        *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::OK);
        if let Ok(value) = HeaderValue::from_str(&head.content_type) {
            response.headers_mut().insert(CONTENT_TYPE, value);
        }
    }
    response
}

/// A stream of server-sent events on its way to a caller.
struct Events {
    shared: Arc<Shared>,
    completion: Completion,
    id: String,
    reader: Reader,
    generated: u64,
    first: Option<Step>,
    ended: bool,
    _progress: Progress,
}

/// Answers by server-sent events; a refusal before the first piece is an answer of its own.
async fn streamed(
    shared: &Arc<Shared>,
    completion: &Completion,
    key: &Key,
    mut reader: Reader,
    progress: Progress,
) -> Result<Response<Reply>, Refusal> {
    let started = shared.clock.now();
    let first = match reader.next().await {
        Step::End(End::Refused(refusal)) => return Err(refusal),
        step => step,
    };
    shared.metrics.first_output(shared.clock.now().since(started));
    let events = Events {
        shared: shared.clone(),
        completion: completion.clone(),
        id: key.as_str().to_owned(),
        reader,
        generated: 0,
        first: Some(first),
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

impl Events {
    async fn next(&mut self) -> Option<Bytes> {
        if self.ended {
            return None;
        }
        let step = match self.first.take() {
            Some(step) => step,
            None => self.reader.next().await,
        };
        Some(match step {
            Step::Piece(piece) => {
                self.generated += 1;
                let text = String::from_utf8_lossy(&piece);
                event(&self.completion.chunk(&self.id, &text))
            }
            Step::End(End::Done) => {
                self.ended = true;
                self.shared.metrics.count(Counter::Answers);
                let last = event(&self.completion.last_chunk(&self.id, self.generated));
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

/// One server-sent event with a JSON body.
pub fn event(body: &impl serde::Serialize) -> Bytes {
    Bytes::from(format!("data: {}\n\n", serde_json::to_string(body).unwrap_or_default()))
}
