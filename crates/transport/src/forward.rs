//! Forwarding of requests with an idempotency key to the node that owns the key.

use crate::entry::ParsedRequest;
use crate::headers::{DEADLINE, HOPS, OWNER, RELEASED_BY};
use crate::http::{self, BodyError, Call, ResponseBody};
use crate::metrics::Counter;
use crate::node::{Progress, Shared};
use crate::render;
use bytes::Bytes;
use crosslane_coordination::keyed::{Flow, ForwardOutcome};
use crosslane_protocol::refusal::{self, Code, Refusal};
use crosslane_state::incarnation::Incarnation;
use crosslane_state::member::Member;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderMap, HeaderName, HeaderValue,
    TRANSFER_ENCODING,
};
use hyper::{Response, StatusCode};
use std::time::Duration;

/// Time after a request's deadline until its owner is treated as unresponsive.
const OWNER_GRACE: Duration = Duration::from_secs(10);

/// Headers that apply to one connection and are not forwarded.
const HOP_BY_HOP: [HeaderName; 4] = [CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING];

/// Forwards a request to a node; the error is the outcome without a response.
pub async fn send(
    shared: &Shared,
    request: &ParsedRequest,
    flow: &Flow,
    owner: Incarnation,
) -> Result<Response<Incoming>, ForwardOutcome> {
    let Some(member) = shared.member(owner).await else {
        return Err(ForwardOutcome::Lost);
    };
    shared.metrics.count(Counter::Forwarded);
    let remaining_ms = request.deadline.since(shared.clock.now());
    let call = build_call(request, flow, &member, remaining_ms);
    let timeout = OWNER_GRACE + Duration::from_millis(remaining_ms);
    let response = match shared.client.send(call, timeout).await {
        Ok(response) => response,
        Err(error) => {
            shared.metrics.count(Counter::OwnerSilent);
            let not_sent = matches!(error, http::Error::Connect { .. });
            return Err(if not_sent { ForwardOutcome::NotDelivered } else { ForwardOutcome::Lost });
        }
    };
    if response.status() != StatusCode::MISDIRECTED_REQUEST {
        return Ok(response);
    }
    shared.metrics.count(Counter::ForwardMoved);
    let new_owner = response.headers().get(OWNER).and_then(|value| value.to_str().ok());
    let new_owner = new_owner.and_then(Incarnation::parse);
    Err(new_owner.map_or(ForwardOutcome::NotDelivered, ForwardOutcome::Redirected))
}

fn build_call(request: &ParsedRequest, flow: &Flow, member: &Member, remaining_ms: u64) -> Call {
    let path = request.head.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut call = Call::new(request.head.method.clone(), member.forward, path);
    call.headers = end_to_end(&request.head.headers);
    call.headers.insert(HOPS, HeaderValue::from(flow.redirected_by().len() + 1));
    call.headers.insert(DEADLINE, HeaderValue::from(remaining_ms));
    let released_by: Vec<_> = flow.redirected_by().iter().map(ToString::to_string).collect();
    if let Ok(value) = HeaderValue::from_str(&released_by.join(",")) {
        call.headers.insert(RELEASED_BY, value);
    }
    call.body = request.body.clone();
    call
}

/// Headers without those that apply to one connection.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut headers = headers.clone();
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    headers
}

/// Relays the owner's response; if an event stream breaks, it ends with an error event.
pub fn relay(response: Response<Incoming>, progress: Progress) -> Response<ResponseBody> {
    let (mut head, body) = response.into_parts();
    head.headers = end_to_end(&head.headers);
    let is_event_stream =
        head.headers.get(CONTENT_TYPE).is_some_and(|value| value == "text/event-stream");
    let state = (Some(body), is_event_stream, progress);
    let frames = stream::unfold(state, |(body, is_event_stream, progress)| async move {
        let mut body = body?;
        let frame = match body.frame().await? {
            Ok(frame) => return Some((Ok(frame), (Some(body), is_event_stream, progress))),
            Err(_) if is_event_stream => Ok(Frame::data(connection_error_event())),
            Err(error) => Err(BodyError::from(error)),
        };
        Some((frame, (None, is_event_stream, progress)))
    });
    Response::from_parts(head, StreamBody::new(frames).boxed())
}

fn connection_error_event() -> Bytes {
    let error = Refusal::unknown(Code::RunnerFailed, "the node that ran this request broke off");
    render::event(&refusal::Body { error })
}
