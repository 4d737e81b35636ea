//! Forwarding of keyed requests to the node that owns the key.

use crate::entry::{self, Asked, DEADLINE, HOPS, MOST_HOPS, OWNER, PASSED};
use crate::http::{self, BodyError, Call, Reply};
use crate::metrics::Counter;
use crate::node::{Progress, Shared};
use bytes::Bytes;
use crosslane_protocol::refusal::{self, Code, Refusal};
use crosslane_state::incarnation::Incarnation;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderMap, HeaderName, HeaderValue,
    TRANSFER_ENCODING,
};
use hyper::{Response, StatusCode};
use std::sync::Arc;
use std::time::Duration;

/// Added to a request's time before its owner counts as silent.
const GRACE: Duration = Duration::from_secs(10);

/// Headers that belong to one connection.
const HOP_BY_HOP: [HeaderName; 4] = [CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING];

/// Why a request was not forwarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// No owner took it; nothing was run for it there.
    Unreached,
    /// It is to be refused.
    Refused(Refusal),
}

/// Forwards a request, following the owners that the nodes name.
pub async fn send(
    shared: &Arc<Shared>,
    asked: &Asked,
    owner: Incarnation,
) -> Result<Response<Incoming>, Error> {
    let mut owner = owner;
    let mut passed = Vec::new();
    for hops in 1..=MOST_HOPS {
        let response = once(shared, asked, owner, hops, &passed).await?;
        if response.status() != StatusCode::MISDIRECTED_REQUEST {
            return Ok(response);
        }
        passed.push(owner.to_string());
        shared.metrics.count(Counter::ForwardMoved);
        let named = response.headers().get(OWNER).and_then(|it| it.to_str().ok());
        owner = named.and_then(Incarnation::parse).ok_or(Error::Unreached)?;
    }
    Err(Error::Refused(entry::unreachable()))
}

async fn once(
    shared: &Arc<Shared>,
    asked: &Asked,
    owner: Incarnation,
    hops: u32,
    passed: &[String],
) -> Result<Response<Incoming>, Error> {
    let Some(member) = shared.member(owner).await else {
        let message = "the node that knew this key is gone";
        return Err(Error::Refused(Refusal::unknown(Code::KeyUnknown, message)));
    };
    shared.metrics.count(Counter::Forwarded);
    let left = asked.deadline.since(shared.clock.now());
    let path = asked.head.uri.path_and_query().map_or("/", |it| it.as_str());
    let mut call = Call::new(asked.head.method.clone(), member.forward, path);
    call.headers = end_to_end(&asked.head.headers);
    call.headers.insert(HOPS, HeaderValue::from(hops));
    if let Ok(value) = HeaderValue::from_str(&passed.join(",")) {
        call.headers.insert(PASSED, value);
    }
    call.headers.insert(DEADLINE, HeaderValue::from(left));
    call.body = asked.body.clone();
    let limit = GRACE + Duration::from_millis(left);
    match shared.client.send(call, limit).await {
        Ok(response) => Ok(response),
        Err(http::Error::Connect { .. }) => Err(Error::Unreached),
        Err(_) if asked.verdict.repeatable => Err(Error::Unreached),
        Err(_) => Err(Error::Refused(entry::unreachable())),
    }
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
    entry::event(&refusal::Body { error })
}
