//! Calls to plain services.

use crate::event;
use crate::exchange::{self, Answer, Call, Failure, Seat};
use crate::limit;
use crate::meter::{Meter, Retry};
use crate::node::{Node, Reply};
use crate::quarantine;
use crate::refusal::{Reason, Refusal};
use crate::watch::{self, Watch};
use bytes::Bytes;
use crosslane_coordination::choice::Query;
use crosslane_coordination::health::Outcome;
use crosslane_platform::request::Purpose;
use crosslane_platform::response;
use crosslane_state::endpoint::{Key, Stage};
use crosslane_state::route::{Kind, Route};
use crosslane_transport::http;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::{Body, Frame};
use hyper::http::response::Parts;
use log::info;
use std::future::ready;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout_at;

/// Answers up to this length are read whole before they are passed on if the request is
/// idempotent, so that one that breaks off can be asked for again. Pages are about 1 KB.
const WHOLE_BYTES: u64 = 65_536;

/// Share of the target after which an idempotent request is tried elsewhere: leaves time for a
/// usual run at the other endpoint.
const PATIENCE: f64 = 0.6;

/// Pauses of which that patience is made: with one alone, a standstill of this node would count as the endpoint's.
const PAUSES: u32 = 2;

/// When a refused caller should come back: plain calls last some 60 ms, bursts seconds.
const COME_BACK: Duration = Duration::from_millis(250);

/// Carries a call to an endpoint of a service and back.
pub async fn run(
    node: &Arc<Node>,
    route: &Route,
    service: &str,
    call: &Call,
) -> Result<Response<Reply>, Refusal> {
    let mut tries = Tries { node, route, service, call, tried: Vec::new(), sent: 0, next: None };
    // Once an attempt may have run, a later refusal does not make the request one that has not.
    let mut ran = false;
    let mut last = Reason::NoEndpoint;
    let mut kept: Option<Response<Reply>> = None;
    while let Some(place) = tries.next() {
        match tries.attempt(place).await {
            Ok(Attempt::Final(response)) => return Ok(response),
            Ok(Attempt::Error(response)) => {
                tries.sent += 1;
                kept = Some(response);
                node.meter.retried(Retry::Error);
            }
            Err(failure) => {
                ran |= failure.may_have_run();
                if failure.may_have_run() || !ran {
                    last = failure.into();
                }
                tries.sent += u32::from(failure.sent());
                if failure.may_have_run() && !route.kind.idempotent() {
                    return Err(last.into());
                }
                node.meter.retried(failure.into());
                if failure.barred() {
                    break;
                }
            }
        }
        if tries.sent >= route.max_attempts || call.left().is_zero() {
            break;
        }
    }
    kept.ok_or_else(|| refusal(node, service, last))
}

/// An endpoint's answer.
enum Attempt {
    /// To be passed on.
    Final(Response<Reply>),
    /// An error of the endpoint's own, for which another may have a better answer.
    Error(Response<Reply>),
}

/// Attempts at a call, one after the other.
struct Tries<'a> {
    node: &'a Arc<Node>,
    route: &'a Route,
    service: &'a str,
    call: &'a Call,
    tried: Vec<Key>,
    /// Attempts that reached an endpoint.
    sent: u32,
    /// Endpoint for the next attempt, with its repeat taken from the budget: the one before fell silent.
    next: Option<(Key, f64)>,
}

impl Tries<'_> {
    /// The endpoint for the next attempt, if there is one and it may be made.
    fn next(&mut self) -> Option<(Key, f64)> {
        let place = match self.next.take() {
            Some(place) => place,
            None => self.choose(self.sent > 0)?,
        };
        self.tried.push(place.0);
        Some(place)
    }

    /// The best endpoint that was not tried, with a repeat from the budget if it takes one.
    fn choose(&self, repeats: bool) -> Option<(Key, f64)> {
        let (service, except) = (self.service, self.tried.as_slice());
        let connections = self.node.connections(service);
        let stage = Stage::Plain;
        let query = Query { service, stage, capacity: 0, connections, room: None, except };
        let place = self.node.pool().choose(query, self.node.now())?;
        if repeats && !self.node.take_repeat(service) {
            self.node.meter.retried(Retry::DeniedBudget);
            return None;
        }
        Some(place)
    }

    fn last(&self) -> bool {
        self.sent + 1 >= self.route.max_attempts
    }

    async fn attempt(&mut self, place: (Key, f64)) -> Result<Attempt, Failure> {
        let attempt = attempt(self.node, self.route, self.call, place, self.last());
        if self.last() || self.route.kind != Kind::Safe {
            return attempt.await;
        }
        match self.unless_silent(place.0, attempt).await {
            Ok(attempted) => attempted,
            Err(next) => {
                self.next = Some(next);
                Err(Failure::Timeout)
            }
        }
    }

    /// Waits for an endpoint. A silent one is given up only for another one: it may merely be slow, and without
    /// another its answer is the only one that can come.
    async fn unless_silent<T>(
        &self,
        at: Key,
        attempt: impl Future<Output = T>,
    ) -> Result<T, (Key, f64)> {
        let patience = self.route.target_latency_ms as f64 * PATIENCE;
        let pause = Duration::from_millis((patience / f64::from(PAUSES)) as u64);
        let watch = Watch { node: self.node, call: self.call, at, pauses: (PAUSES, pause) };
        watch::unless_silent(watch, attempt, || ready(self.choose(true))).await
    }
}

async fn attempt(
    node: &Arc<Node>,
    route: &Route,
    call: &Call,
    place: (Key, f64),
    last: bool,
) -> Result<Attempt, Failure> {
    let seat = Seat::take(node, place, 0);
    let until = call.deadline.instant();
    let answer = exchange::send(call, seat, &Purpose::Run, until).await?;
    Meter::time(&node.meter.first, call.arrived.elapsed());
    let error = answer.parts.status.is_server_error();
    answer.note(if error { Outcome::Error } else { Outcome::Good });
    let short = answer.head.content_length.is_some_and(|it| it <= WHOLE_BYTES);
    if route.kind != Kind::Safe || !short {
        return Ok(Attempt::Final(relay(node, answer, call)));
    }
    let (parts, body) = answer.read(call, WHOLE_BYTES as usize, until).await?;
    let response = whole(parts, body);
    Ok(if error && !last { Attempt::Error(response) } else { Attempt::Final(response) })
}

fn whole(parts: Parts, body: Bytes) -> Response<Reply> {
    let mut response = Response::new(http::full(body));
    *response.status_mut() = parts.status;
    *response.headers_mut() = response::forwarded_headers(&parts.headers);
    response
}

/// Passes an answer on as it comes; it is broken off if the time runs out.
pub fn relay(node: &Arc<Node>, answer: Answer, call: &Call) -> Response<Reply> {
    let status = answer.parts.status;
    let headers = response::forwarded_headers(&answer.parts.headers);
    let begun = Some((node.clone(), answer, call.clone()));
    let frames = futures::stream::unfold(begun, move |state| async move {
        let (node, mut answer, call) = state?;
        let error: http::BodyError =
            match timeout_at(call.deadline.instant(), answer.body.frame()).await {
                Ok(None) => {
                    answer.ended_well();
                    return None;
                }
                Ok(Some(Ok(frame))) => {
                    // Nobody asks for more once a known length is reached.
                    if answer.body.is_end_stream() {
                        answer.ended_well();
                    }
                    return Some((Ok(frame), Some((node, answer, call))));
                }
                Ok(Some(Err(error))) => error.into(),
                Err(elapsed) => elapsed.into(),
            };
        answer.note(Outcome::Failed);
        let (request, to) = (call.ask.id.as_str(), answer.endpoint.id.as_str());
        info!(request, to, why:% = error, outcome = "cut"; "{}", event::ATTEMPT);
        let Answer { endpoint, began, .. } = answer;
        quarantine::judge(&node, &call, &endpoint, began).await;
        Some((Err::<Frame<Bytes>, _>(error), None))
    });
    let mut response = Response::new(BoxBody::new(StreamBody::new(frames)));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Says when to come back if the request has not run.
fn refusal(node: &Node, service: &str, reason: Reason) -> Refusal {
    match reason {
        Reason::Broken | Reason::Timeout => reason.into(),
        Reason::NoEndpoint | Reason::Limited => {
            limit::refusal(node, service, Stage::Plain).unwrap_or(Refusal::later(reason, COME_BACK))
        }
        _ => Refusal::later(reason, COME_BACK),
    }
}
