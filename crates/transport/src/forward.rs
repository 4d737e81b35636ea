//! Forwarding of keyed requests to the node that owns the key.

use crate::entry::Asked;
use crate::headers::{DEADLINE, HOPS, OWNER, PASSED};
use crate::http::{self, BodyError, Call, Reply};
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

/// Added to a request's time before its owner counts as silent.
const GRACE: Duration = Duration::from_secs(10);

/// Headers that belong to one connection.
const HOP_BY_HOP: [HeaderName; 4] = [CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING];

/// Forwards a request to a node; an error says what came of it instead of an answer.
pub async fn send(
    shared: &Shared,
    asked: &Asked,
    flow: &Flow,
    owner: Incarnation,
) -> Result<Response<Incoming>, ForwardOutcome> {
    let Some(member) = shared.member(owner).await else {
        return Err(ForwardOutcome::Lost);
    };
    shared.metrics.count(Counter::Forwarded);
    let left = asked.deadline.since(shared.clock.now());
    let call = call(asked, flow, &member, left);
    let limit = GRACE + Duration::from_millis(left);
    let response = match shared.client.send(call, limit).await {
        Ok(response) => response,
        Err(error) => {
            shared.metrics.count(Counter::OwnerSilent);
            let unreached = matches!(error, http::Error::Connect { .. });
            return Err(if unreached {
                ForwardOutcome::NotDelivered
            } else {
                ForwardOutcome::Lost
            });
        }
    };
    if response.status() != StatusCode::MISDIRECTED_REQUEST {
        return Ok(response);
    }
    shared.metrics.count(Counter::ForwardMoved);
    let named = response.headers().get(OWNER).and_then(|it| it.to_str().ok());
    let named = named.and_then(Incarnation::parse);
    Err(named.map_or(ForwardOutcome::NotDelivered, ForwardOutcome::Redirected))
}

fn call(asked: &Asked, flow: &Flow, member: &Member, left: u64) -> Call {
    let path = asked.head.uri.path_and_query().map_or("/", |it| it.as_str());
    let mut call = Call::new(asked.head.method.clone(), member.forward, path);
    call.headers = end_to_end(&asked.head.headers);
    call.headers.insert(HOPS, HeaderValue::from(flow.redirected_by().len() + 1));
    call.headers.insert(DEADLINE, HeaderValue::from(left));
    let passed: Vec<_> = flow.redirected_by().iter().map(ToString::to_string).collect();
    if let Ok(value) = HeaderValue::from_str(&passed.join(",")) {
        call.headers.insert(PASSED, value);
    }
    call.body = asked.body.clone();
    call
}

/// Headers that go from end to end.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut headers = headers.clone();
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    headers
}

/// Passes an owner's answer on; one that breaks off ends in an explicit error.
pub fn relay(response: Response<Incoming>, progress: Progress) -> Response<Reply> {
    let (mut head, body) = response.into_parts();
    head.headers = end_to_end(&head.headers);
    let events = head.headers.get(CONTENT_TYPE).is_some_and(|it| it == "text/event-stream");
    let state = (Some(body), events, progress);
    let frames = stream::unfold(state, |(body, events, progress)| async move {
        let mut body = body?;
        let frame = match body.frame().await? {
            Ok(frame) => return Some((Ok(frame), (Some(body), events, progress))),
            Err(_) if events => Ok(Frame::data(broken())),
            Err(error) => Err(BodyError::from(error)),
        };
        Some((frame, (None, events, progress)))
    });
    Response::from_parts(head, StreamBody::new(frames).boxed())
}

fn broken() -> Bytes {
    let error = Refusal::unknown(Code::RunnerFailed, "the node that ran this request broke off");
    render::event(&refusal::Body { error })
}
