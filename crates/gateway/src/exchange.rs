//! One attempt: a request sent to one endpoint, and the answer's head.
//!
//! An attempt counts at its endpoint until its answer has been read or dropped. Dropping it closes
//! the connection, which ends the run.

use crate::control::CONNECT;
use crate::event;
use crate::limit;
use crate::meter::Retry;
use crate::node::Node;
use crate::quarantine::{self, Trial};
use crate::quota::Grant;
use crate::refusal::Reason;
use bytes::Bytes;
use crosslane_coordination::health::Outcome;
use crosslane_platform::request::{Metadata, Purpose};
use crosslane_platform::response::Head;
use crosslane_state::endpoint::{Endpoint, Key};
use crosslane_state::fingerprint::Fingerprint;
use crosslane_state::time::Millis;
use crosslane_transport::clock::Deadline;
use crosslane_transport::connection::{Connection, Error, Outgoing};
use derive_more::Display;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, COOKIE, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Method, Request, StatusCode, Uri};
use log::info;
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// A request with its body read.
#[derive(Clone, Debug)]
pub struct Call {
    /// What its headers say.
    pub ask: Arc<Metadata>,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Body.
    pub body: Bytes,
    /// When its head had arrived.
    pub arrived: Instant,
    /// When it must have ended: the caller's deadline or the route's timeout.
    pub deadline: Deadline,
    /// Its fingerprint, once it was asked for.
    pub print: Arc<OnceLock<Fingerprint>>,
    /// What it took of its organisation's limit.
    pub grant: Arc<Grant>,
}

impl Call {
    /// Time left until its deadline.
    pub fn left(&self) -> Duration {
        self.deadline.left()
    }

    /// What a repetition has in common with it: path, caller and body. Ids and deadlines differ, and so do the
    /// addresses by which a caller comes; it is known by its organisation, or by the credentials that it shows.
    pub fn fingerprint(&self) -> Fingerprint {
        *self.print.get_or_init(|| self.digest())
    }

    fn digest(&self) -> Fingerprint {
        let uri = self.uri.to_string();
        let credential = |name| self.ask.headers.get(name).map_or(&[][..], HeaderValue::as_bytes);
        let (authorization, cookie) = (credential(AUTHORIZATION), credential(COOKIE));
        let (host, method) = (self.ask.host.as_bytes(), self.method.as_str().as_bytes());
        let organisation = self.ask.organisation.as_deref().unwrap_or_default().as_bytes();
        let caller = [authorization, cookie, organisation];
        Fingerprint::of(&[host, method, uri.as_bytes(), &caller.concat(), &self.body])
    }
}

/// Why an attempt has no answer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Failure {
    /// It was not sent.
    #[display("unreachable")]
    Unsent,
    /// The endpoint says that it did not run it.
    #[display("refused")]
    Refused,
    /// It was not sent: the endpoint's limit has no room.
    #[display("limited")]
    Limited,
    /// It was sent, and no usable answer came.
    #[display("broken")]
    Broken,
    /// It was sent, and the time ran out.
    #[display("timeout")]
    Timeout,
    /// It was not sent: endpoints ended under it, and another copy is being tried.
    #[display("on trial")]
    OnTrial,
    /// It was not sent: too many endpoints ended under it.
    #[display("shut out")]
    ShutOut,
}

impl Failure {
    /// Whether the endpoint may have run the request.
    pub fn may_have_run(self) -> bool {
        matches!(self, Self::Broken | Self::Timeout)
    }

    /// Whether it reached an endpoint.
    pub fn sent(self) -> bool {
        matches!(self, Self::Refused | Self::Broken | Self::Timeout)
    }

    /// Whether the request may not be sent to any endpoint now.
    pub fn barred(self) -> bool {
        matches!(self, Self::OnTrial | Self::ShutOut)
    }
}

/// A request's place at an endpoint; given up when dropped.
#[derive(Debug)]
pub struct Seat {
    node: Arc<Node>,
    /// Endpoint.
    pub key: Key,
    tokens: u32,
    /// Load for which the endpoint was chosen, as a share of a full one.
    load: f64,
    /// What it took of the endpoint's limit, once it has.
    permit: Option<Grant>,
}

impl Seat {
    /// Counts a request with its tokens of KV cache at an endpoint that was chosen for its load.
    pub fn take(node: &Arc<Node>, (key, load): (Key, f64), tokens: u32) -> Self {
        node.pool().enter(key, tokens);
        node.updated.notify_one();
        Self { node: node.clone(), key, tokens, load, permit: None }
    }

    /// Takes its part of the limit that the endpoint names, if it names one.
    pub async fn admit(&mut self, request: &str) -> Result<(), Failure> {
        if self.permit.is_none() {
            self.permit = Some(limit::admit(&self.node, self.key, request).await?);
        }
        Ok(())
    }

    /// Goes on at an endpoint that has the run already: it is no new one there.
    pub fn excuse(&mut self) {
        self.permit = Some(Grant::unlimited(&self.node));
    }

    /// Notes how the request ended.
    pub fn note(&self, outcome: Outcome) {
        self.node.pool().note(self.key, outcome, self.node.now());
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.node.pool().leave(self.key, self.tokens);
        self.node.updated.notify_one();
    }
}

/// An answer whose body is still to be read.
#[derive(Debug)]
pub struct Answer {
    /// Head as it came.
    pub parts: Parts,
    /// What it says.
    pub head: Head,
    /// Body.
    pub body: Incoming,
    /// Endpoint that answers.
    pub endpoint: Endpoint,
    /// When its head came: a run begins with its first token.
    pub began: Millis,
    seat: Seat,
    /// What the run shows of a request under which endpoints ended.
    trial: Option<Trial>,
    /// Closed when dropped, unless the whole answer was read and it may rest.
    connection: Option<Connection>,
    /// Whether it may rest.
    rests: bool,
}

impl Answer {
    /// Notes how the request ended.
    pub fn note(&self, outcome: Outcome) {
        self.seat.note(outcome);
    }

    /// Ends what keeps other attempts of a suspect back: its run is over.
    pub fn rest(&mut self) {
        self.trial = None;
    }

    /// Notes that the whole answer was made.
    pub fn ended_well(&mut self) {
        if let Some(trial) = &mut self.trial {
            trial.well = true;
        }
        if self.rests
            && let Some(connection) = self.connection.take()
        {
            self.seat.node.idle.keep(self.endpoint.address, connection);
        }
    }

    /// Place of the endpoint in the pool.
    pub fn key(&self) -> Key {
        self.seat.key
    }

    /// Reads a whole body of limited length.
    pub async fn read(
        mut self,
        call: &Call,
        limit: usize,
        until: Instant,
    ) -> Result<(Parts, Bytes), Failure> {
        match timeout_at(until, Limited::new(&mut self.body, limit).collect()).await {
            Err(_) => Err(Failure::Timeout),
            Ok(Ok(body)) => {
                self.ended_well();
                Ok((self.parts, body.to_bytes()))
            }
            Ok(Err(error)) if error.downcast_ref::<LengthLimitError>().is_some() => {
                self.note(Outcome::Error);
                Err(Failure::Broken)
            }
            Ok(Err(_)) => {
                self.note(Outcome::Failed);
                let Self { endpoint, began, seat, .. } = self;
                quarantine::judge(&seat.node, call, &endpoint, began).await;
                Err(Failure::Broken)
            }
        }
    }
}

/// Sends a call to an endpoint and waits for the answer's head.
pub async fn send(
    call: &Call,
    mut seat: Seat,
    purpose: &Purpose<'_>,
    until: Instant,
) -> Result<Answer, Failure> {
    let node = seat.node.clone();
    let Some(endpoint) = node.pool().get(seat.key).cloned() else {
        return Err(Failure::Unsent);
    };
    seat.admit(&call.ask.id).await?;
    let mut trial = quarantine::admit(&node, call, &endpoint, purpose).await?;
    placed(&node, call, &seat, &endpoint, purpose);
    let sent = node.now();
    let runs = !matches!(purpose, Purpose::Prefill);
    // Before it is sent: whoever gives it up meanwhile does not know whether it runs.
    let ran = runs && call.grant.sent();
    let unsent = || {
        if runs && !ran {
            call.grant.unsent();
        }
    };
    seat.permit.iter().for_each(|it| {
        it.sent();
    });
    let attempt = attempt(&node, call, &endpoint, purpose, until).await;
    let (connection, parts, body) = match attempt {
        Ok(answered) => answered,
        Err(error) => {
            let failure = Failure::from(&error);
            if !failure.may_have_run() {
                unsent();
                seat.permit.iter().for_each(Grant::unsent);
            }
            seat.note(outcome(&error));
            told(call, &endpoint, failure, &error.to_string());
            if failure == Failure::Broken {
                quarantine::judge(&node, call, &endpoint, sent).await;
            }
            return Err(failure);
        }
    };
    let head = Head::parse(&parts, &call.ask.id);
    if let Some(load) = head.load {
        node.pool().load(seat.key, load, node.now());
    }
    // Whoever says that another one is meant names a limit of its own.
    if head.id_matches && parts.status != StatusCode::MISDIRECTED_REQUEST {
        limit::note(&node, &endpoint, &head.rate_limit, sent);
    }
    let failure = judge(&head, parts.status, purpose);
    if let Some((failure, outcome)) = failure {
        if !failure.may_have_run() {
            unsent();
        }
        // An endpoint in need that refuses keeps to its limit; it is not to be avoided for that.
        if outcome != Outcome::Refused || node.limits().rate(endpoint.tag()).is_none() {
            seat.note(outcome);
        }
        told(call, &endpoint, failure, &parts.status.to_string());
        if failure == Failure::Refused && matches!(purpose, Purpose::Run) {
            node.idle.keep_after(endpoint.address, connection, body);
        }
        return Err(failure);
    }
    if parts.status.is_server_error() {
        let (request, to) = (call.ask.id.as_str(), endpoint.id.as_str());
        let status = parts.status.as_u16();
        info!(request, to, status, outcome = "error"; "{}", event::ATTEMPT);
    }
    let began = node.now();
    trial.iter_mut().for_each(|it| it.began = Some(began));
    let (connection, rests) = (Some(connection), matches!(purpose, Purpose::Run));
    Ok(Answer { parts, head, body, endpoint, began, seat, trial, connection, rests })
}

/// Tells where a request goes, and what decided it.
fn placed(node: &Node, call: &Call, seat: &Seat, endpoint: &Endpoint, purpose: &Purpose<'_>) {
    let request = call.ask.id.as_str();
    let to = endpoint.id.as_str();
    let purpose = match purpose {
        Purpose::Run => "run",
        Purpose::Prefill => "prefill",
        Purpose::Decode { source: Some(_), .. } => "decode",
        Purpose::Decode { source: None, .. } => "prefill and decode",
    };
    let (load, offset) = (seat.load, node.mirror().ends().endpoints);
    let left_ms = call.left().as_millis() as u64;
    let prompt = call.ask.last_segment_id.as_deref().unwrap_or_default();
    info!(request, prompt, to, purpose, load, offset, left_ms; "{}", event::PLACE);
}

async fn attempt(
    node: &Node,
    call: &Call,
    endpoint: &Endpoint,
    purpose: &Purpose<'_>,
    until: Instant,
) -> Result<(Connection, Parts, Incoming), Error> {
    let to = endpoint.address;
    while matches!(purpose, Purpose::Run)
        && let Some(connection) = node.idle.take(to)
    {
        match over(connection, request(call, endpoint, purpose), until).await {
            // It was closed while it rested.
            Err(error) if !error.sent() => continue,
            Err(error) => {
                node.idle.forget(to);
                return Err(error);
            }
            answered => return answered,
        }
    }
    let connect = CONNECT.min(until.saturating_duration_since(Instant::now()));
    let connection = Connection::open(to, connect).await?;
    over(connection, request(call, endpoint, purpose), until).await
}

/// Sends a request over a connection and waits for the answer's head.
async fn over(
    mut connection: Connection,
    request: Outgoing,
    until: Instant,
) -> Result<(Connection, Parts, Incoming), Error> {
    let response = connection.send(request, until).await?;
    let (parts, body) = response.into_parts();
    Ok((connection, parts, body))
}

fn request(call: &Call, endpoint: &Endpoint, purpose: &Purpose<'_>) -> Outgoing {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = call.ask.headers(&endpoint.id, call.left(), purpose);
    request
}

/// Why an answer can't be used, if so, and what that says of the endpoint.
fn judge(head: &Head, status: StatusCode, purpose: &Purpose<'_>) -> Option<(Failure, Outcome)> {
    let sealed = head.has_required_seal || matches!(purpose, Purpose::Prefill);
    if !head.id_matches || !sealed || status.is_informational() {
        return Some((Failure::Broken, Outcome::Failed));
    }
    head.not_executed.then(|| (Failure::Refused, refused(status, purpose)))
}

/// What a refusal says of the endpoint.
fn refused(status: StatusCode, purpose: &Purpose<'_>) -> Outcome {
    match purpose {
        // Another incarnation answers at the address, or the engine has changed its stage.
        _ if status == StatusCode::MISDIRECTED_REQUEST => Outcome::Down,
        // It granted the memory: it is about to change its stage, or the KV cache to fetch is gone.
        Purpose::Decode { reservation: Some(_), source: None, .. } => Outcome::Down,
        Purpose::Decode { reservation: Some(_), source: Some(_), .. } => Outcome::Failed,
        Purpose::Run | Purpose::Prefill | Purpose::Decode { .. } => Outcome::Refused,
    }
}

fn told(call: &Call, endpoint: &Endpoint, failure: Failure, why: &str) {
    let request = call.ask.id.as_str();
    let left_ms = call.left().as_millis() as u64;
    let to = endpoint.id.as_str();
    info!(request, to, failure:% = failure, why, left_ms; "{}", event::ATTEMPT);
}

/// What a failed connection says of the endpoint.
pub fn outcome(error: &Error) -> Outcome {
    if error.sent() { Outcome::Failed } else { Outcome::Down }
}

impl From<Failure> for Retry {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::Unsent => Self::Unreachable,
            Failure::Limited => Self::Limited,
            Failure::Refused => Self::Refused,
            Failure::Broken | Failure::Timeout => Self::Broken,
            Failure::OnTrial | Failure::ShutOut => Self::Barred,
        }
    }
}

impl From<Failure> for Reason {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::Unsent => Self::NoEndpoint,
            Failure::Limited => Self::Limited,
            Failure::Refused => Self::Refused,
            Failure::Broken => Self::Broken,
            Failure::Timeout => Self::Timeout,
            Failure::OnTrial => Self::OnTrial,
            Failure::ShutOut => Self::ShutOut,
        }
    }
}

impl From<&Error> for Failure {
    fn from(error: &Error) -> Self {
        match error {
            Error::Connect { .. } => Self::Unsent,
            Error::Broken { .. } => Self::Broken,
            Error::Timeout { .. } => Self::Timeout,
        }
    }
}
