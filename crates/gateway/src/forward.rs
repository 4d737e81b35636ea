//! Forwards callers' requests to other nodes while this one has no way to the endpoints of a service.
//!
//! The other node treats a forwarded request as its own caller's: it authenticates it, charges its organisation, and places it.
//! It accepts them on a port of its own and forwards none of them, so a request is forwarded once at most. Dropping the response
//! closes the connection, which ends the run behind it.

use crate::control::CONNECT_TIMEOUT;
use crate::cut::{Cut, Side};
use crate::event;
use crate::exchange::Call;
use crate::node::{Node, ResponseBody, lock};
use crate::overtime::Overtime;
use crate::plain::exact_length;
use crate::refusal::{REASONS, Reason, Refusal};
use crosslane_platform::request::Metadata;
use crosslane_platform::response;
use crosslane_state::endpoint::Tag;
use crosslane_state::route::{Kind, Route};
use crosslane_transport::clock::Deadline;
use crosslane_transport::connection::{self, Closer, Connection, Error, Outgoing};
use crosslane_transport::http::BodyError;
use http_body_util::combinators::BoxBody;
use http_body_util::{Full, StreamBody};
use hyper::body::{Body, Bytes, Frame, Incoming};
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Method, Request as HttpRequest, Response, StatusCode, Uri};
use log::info;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use tokio::time::Instant;

/// Header with which a node tells another one why it refused a forwarded request. Callers and endpoints never see it.
const REFUSAL: HeaderName = HeaderName::from_static("crosslane-refusal");

/// Nodes that are tried for one request. If half of them are cut off as well and this node does not know yet, one request in
/// 256 finds none.
const MAX_TARGETS: usize = 8;

/// Who sent a request to this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// Another node, which has no way to the endpoints.
    Node,
}

impl Origin {
    /// Marks a refusal for the node that forwarded the request, and removes the mark from all other responses.
    pub fn mark(self, response: &mut Response<ResponseBody>, reason: Option<Reason>) {
        let headers = response.headers_mut();
        headers.remove(REFUSAL);
        if let (Self::Node, Some(reason)) = (self, reason) {
            headers.insert(REFUSAL, HeaderValue::from_static(reason.name()));
        }
    }
}

/// A request that can be forwarded.
#[derive(Debug)]
pub struct Request {
    metadata: Arc<Metadata>,
    method: Method,
    uri: Uri,
    body: Bytes,
    /// When the caller gives up; for plain calls also when the route's time is over.
    deadline: Deadline,
    may_repeat: bool,
}

/// Why a node did not take a request.
enum Failure {
    /// It did not run the request.
    NotRun(Reason),
    /// It may have run the request.
    Unknown(Reason),
}

impl Request {
    /// What a call needs at another node. Its grants stay here and are refunded, since the other node acquires its own.
    pub fn new(call: &Call, route: &Route) -> Self {
        let is_stream = matches!(route.kind, Kind::Stream { .. });
        let deadline = if is_stream { &call.caller_deadline } else { &call.deadline };
        Self {
            metadata: call.metadata.clone(),
            method: call.method.clone(),
            uri: call.uri.clone(),
            body: call.body.clone(),
            deadline: deadline.clone(),
            may_repeat: route.kind.idempotent() && route.max_attempts > 1,
        }
    }

    /// Sends the request to other nodes until one serves it. `None` if none took it.
    pub async fn send(
        &self,
        node: &Arc<Node>,
        service: &str,
    ) -> Option<Result<Response<ResponseBody>, Refusal>> {
        let targets =
            lock(&node.members).forward_targets(Tag::of(service), node.now(), &mut rand::rng());
        let mut unknown = None;
        for target in targets.into_iter().take(MAX_TARGETS) {
            match self.send_to(node, target).await {
                Ok(response) if unknown.is_some() && means_not_run(response.status()) => break,
                Ok(response) => return Some(Ok(response)),
                Err(Failure::NotRun(Reason::Unreachable)) => {
                    lock(&node.members).record_lost(target, Tag::of(service), node.now());
                }
                Err(Failure::NotRun(_)) => {}
                Err(Failure::Unknown(reason)) => {
                    unknown = Some(Err(reason.into()));
                    if !self.may_repeat || !node.take_retry(service, &self.metadata.id).await {
                        break;
                    }
                }
            }
            if self.deadline.left().is_zero() {
                break;
            }
        }
        unknown
    }

    async fn send_to(
        &self,
        node: &Node,
        target: IpAddr,
    ) -> Result<Response<ResponseBody>, Failure> {
        let result = self.exchange(node, target).await;
        let outcome = match &result {
            Ok(response) => response.status().as_u16().to_string(),
            Err(Failure::NotRun(reason) | Failure::Unknown(reason)) => reason.name().into(),
        };
        let request = self.metadata.id.as_str();
        let left_ms = self.deadline.left().as_millis() as u64;
        node.metrics.count_forwarded(if result.is_ok() { "answered" } else { "not_answered" });
        info!(request, to:% = target, outcome, left_ms; "{}", event::FORWARD);
        result
    }

    async fn exchange(
        &self,
        node: &Node,
        target: IpAddr,
    ) -> Result<Response<ResponseBody>, Failure> {
        let port = node.settings.forward_port.ok_or(Failure::NotRun(Reason::NotReady))?;
        let to = SocketAddr::new(target, port);
        let until = self.deadline.instant();
        let connect = CONNECT_TIMEOUT.min(until.saturating_duration_since(Instant::now()));
        let (from, meter) = (Some(node.settings.ip), node.load.link.clone());
        let opened = Connection::open(from, to, connect, node.ack_timeout(), meter).await;
        let mut connection = opened.map_err(|_| Failure::NotRun(Reason::NotReady))?;
        let response =
            connection.send(self.outgoing(), until).await.map_err(|error| match error {
                Error::Unreachable { .. } | Error::Connect { .. } => {
                    Failure::NotRun(Reason::NotReady)
                }
                Error::Broken { .. } | Error::Unassociated { .. } => {
                    Failure::Unknown(Reason::Broken)
                }
                Error::Timeout { .. } => Failure::Unknown(Reason::Timeout),
            })?;
        match refusal(&response) {
            Some(reason) if is_own_state(reason) => Err(Failure::NotRun(reason)),
            _ => Ok(self.relay(connection, response, target)),
        }
    }

    fn outgoing(&self) -> Outgoing {
        let mut request = HttpRequest::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.metadata.headers_to_node(self.deadline.left());
        request
    }

    /// Streams a response to the caller.
    fn relay(
        &self,
        connection: Connection,
        response: Response<Incoming>,
        target: IpAddr,
    ) -> Response<ResponseBody> {
        let (parts, body) = response.into_parts();
        let length = exact_length(parts.status, body.size_hint().exact());
        let (metadata, deadline) = (self.metadata.clone(), self.deadline.clone());
        let initial = Some((connection, body, Overtime::default()));
        let frames = futures::stream::unfold(initial, move |state| {
            let (metadata, deadline) = (metadata.clone(), deadline.clone());
            async move {
                let (connection, mut body, mut overtime) = state?;
                let (by, error): (Side, BodyError) =
                    match overtime.frame(&mut body, deadline.instant()).await {
                        Ok(None) => return None,
                        Ok(Some(Ok(frame))) => {
                            return Some((Ok(frame), Some((connection, body, overtime))));
                        }
                        Ok(Some(Err(error))) => (
                            Side::new(Closer::of(&error), Side::Node),
                            connection::cause(&error).into(),
                        ),
                        Err(elapsed) => (Side::Node, elapsed.into()),
                    };
                Cut {
                    request: &metadata.id,
                    by,
                    to: &target.to_string(),
                    missing: "the end",
                    bound: "forwarded",
                    why: &error.to_string(),
                    left_ms: deadline.left().as_millis() as u64,
                }
                .log();
                Some((Err::<Frame<Bytes>, _>(error), None))
            }
        });
        let mut relayed = Response::new(BoxBody::new(StreamBody::new(frames)));
        *relayed.status_mut() = parts.status;
        *relayed.headers_mut() = response::forwarded_headers(&parts.headers, &self.method, length);
        relayed
    }
}

/// Whether a status promises that the request has not run, which a later attempt can't say of an earlier one.
pub fn means_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Why the other node refused, if the response is its own refusal.
fn refusal(response: &Response<Incoming>) -> Option<Reason> {
    let name = response.headers().get(REFUSAL)?.to_str().ok()?;
    REASONS.iter().find(|known| known.1 == name).map(|known| known.0)
}

/// Whether a refusal is due to the state of the node that refused, so that another one may serve the request.
fn is_own_state(reason: Reason) -> bool {
    match reason {
        Reason::Unreachable | Reason::NotReady | Reason::Stopping => true,
        // This node authenticated the request by a configuration that the other one may not have yet.
        Reason::NoRoute | Reason::NoKey | Reason::UnknownKey => true,
        Reason::NoId
        | Reason::BodyTooLong
        | Reason::BodyIncomplete
        | Reason::NoEndpoint
        | Reason::NoRoom
        | Reason::Refused
        | Reason::Broken
        | Reason::Timeout
        | Reason::OnTrial
        | Reason::ShutOut
        | Reason::OverQuota
        | Reason::RateLimited
        | Reason::Evacuated
        | Reason::NoRegion
        | Reason::NoVersion
        | Reason::UnknownStream
        | Reason::GraceOver => false,
    }
}
