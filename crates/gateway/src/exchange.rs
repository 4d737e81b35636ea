//! One attempt: sends a request to one endpoint and reads the head of the response.
//!
//! An attempt counts towards the endpoint's load until its response has been read or dropped. Dropping the response
//! closes the connection, which makes the endpoint abort the run.

use crate::control::CONNECT_TIMEOUT;
use crate::event;
use crate::limit;
use crate::liveness::{self, Liveness};
use crate::metrics::Retry;
use crate::node::Node;
use crate::overtime::Overtime;
use crate::quarantine::{self, Trial};
use crate::quota::Grant;
use crate::refusal::{Reason, Refusal};
use crate::shutdown;
use crate::stream;
use bytes::Bytes;
use crosslane_coordination::backlog::Pool;
use crosslane_coordination::choice::Terms;
use crosslane_coordination::health::Outcome;
use crosslane_coordination::quarantine::INNOCENT_AFTER_MS;
use crosslane_coordination::speed::Sample;
use crosslane_platform::request::{Metadata, Purpose};
use crosslane_platform::response::Head;
use crosslane_state::build::Build;
use crosslane_state::endpoint::{Endpoint, Key, Stage, Tag};
use crosslane_state::fingerprint::Fingerprint;
use crosslane_state::priority::Priority;
use crosslane_state::residency::Residency;
use crosslane_state::segment::Segment;
use crosslane_state::time::Millis;
use crosslane_transport::clock::Deadline;
use crosslane_transport::connection::{Connection, Error, Outgoing};
use crosslane_transport::framing;
use derive_more::Display;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{AUTHORIZATION, COOKIE, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Method, Request, StatusCode, Uri};
use log::{debug, info};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::time::error::Elapsed;
use tokio::time::{Instant, timeout_at};

/// Request with its body read.
#[derive(Clone, Debug)]
pub struct Call {
    /// Parsed headers.
    pub metadata: Arc<Metadata>,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Body.
    pub body: Bytes,
    /// When the request head arrived.
    pub arrived: Instant,
    /// Deadline: the earlier of the caller's deadline and the route's timeout.
    pub deadline: Deadline,
    /// The caller's deadline, or the same if it named none.
    pub caller_deadline: Deadline,
    /// Fingerprint, computed on first use.
    pub fingerprint: Arc<OnceLock<Fingerprint>>,
    /// Segments of its prompt that other requests may share, in the order of their ids in the metadata.
    pub segments: Arc<[Segment]>,
    /// Grant from its organisation's rate limit.
    pub grant: Arc<Grant>,
    /// Where it may be served.
    pub residency: Residency,
    /// Its priority.
    pub priority: Priority,
    /// Build that began the stream, once it has begun; a stream goes on only there.
    pub build: Arc<OnceLock<Build>>,
    /// Whether the last attempt got a connection to its endpoint, so that it may have been sent.
    pub connected: Arc<AtomicBool>,
    /// Whether its prompt may have reached a prefill engine, so that another prefill is a repeat.
    pub prefilled: Arc<AtomicBool>,
    /// Whether it is refused once this node has lost its way to the service, so that another node can serve it.
    pub may_forward: bool,
}

impl Call {
    /// Whether another node should serve the call, since this one has lost its way to the service.
    pub fn must_forward(&self, node: &Node, service: &str) -> bool {
        self.may_forward && node.has_lost(service)
    }

    /// Time left until the deadline.
    pub fn remaining(&self) -> Duration {
        self.deadline.left()
    }

    /// Whether it takes up a stream of which it is not known which build began it.
    pub fn is_unbound(&self) -> bool {
        self.metadata.resumes_stream() && self.build.get().is_none()
    }

    /// What an endpoint must meet to run it.
    pub fn terms(&self) -> Terms<'_> {
        Terms { residency: &self.residency, build: self.build.get().copied() }
    }

    /// What an endpoint must meet to prefill its prompt: KV cache is no part of what the caller gets.
    pub fn prefill_terms(&self) -> Terms<'_> {
        Terms { build: None, ..self.terms() }
    }

    /// Point on the rings of endpoints and nodes from which its candidates follow.
    pub fn point(&self) -> Tag {
        self.metadata.point()
    }

    /// Hash of what a repeat of the request has in common with it: host, method, path, caller and body. Request ids,
    /// deadlines and caller addresses differ between repeats, so the caller is identified by its organisation and credentials.
    pub fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| self.digest())
    }

    fn digest(&self) -> Fingerprint {
        let uri = self.uri.to_string();
        let credential =
            |name| self.metadata.headers.get(name).map_or(&[][..], HeaderValue::as_bytes);
        let (authorization, cookie) = (credential(AUTHORIZATION), credential(COOKIE));
        let (host, method) = (self.metadata.host.as_bytes(), self.method.as_str().as_bytes());
        let organisation = self.metadata.organisation.as_deref().unwrap_or_default().as_bytes();
        let caller = [authorization, cookie, organisation];
        Fingerprint::of(&[host, method, uri.as_bytes(), &caller.concat(), &self.body])
    }
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Failure {
    /// Not sent: the endpoint accepted no connection.
    #[display("unreachable")]
    Unreachable,
    /// Not sent: the endpoint may not be used, or the connection failed before.
    #[display("unsent")]
    Unsent,
    /// The endpoint responded that it did not run the request.
    #[display("refused")]
    Refused,
    /// Not sent: the endpoint is at its rate limit.
    #[display("limited")]
    RateLimited,
    /// Sent, but no usable response arrived.
    #[display("broken")]
    Broken,
    /// Sent, but the deadline passed.
    #[display("timeout")]
    Timeout,
    /// Not sent: endpoints crashed while running it, and another copy is on trial.
    #[display("on trial")]
    OnTrial,
    /// Not sent: shut out, since too many endpoints crashed while running it.
    #[display("shut out")]
    ShutOut,
    /// Not sent: this node is stopping, and the request may outlast it.
    #[display("stopping")]
    Stopping,
}

impl Failure {
    /// Whether the endpoint may have run the request.
    pub fn may_have_run(self) -> bool {
        matches!(self, Self::Broken | Self::Timeout)
    }

    /// Whether the request reached an endpoint.
    pub fn was_sent(self) -> bool {
        matches!(self, Self::Refused | Self::Broken | Self::Timeout)
    }

    /// Whether no other endpoint is tried.
    pub fn is_final(self) -> bool {
        self.quarantined() || self == Self::Stopping
    }

    /// Whether quarantine keeps the request from every endpoint for now.
    pub fn quarantined(self) -> bool {
        matches!(self, Self::OnTrial | Self::ShutOut)
    }
}

/// A request in flight at an endpoint; released when dropped.
#[derive(Debug)]
pub struct Slot {
    node: Arc<Node>,
    /// Endpoint.
    pub key: Key,
    tokens: u32,
    /// Endpoints among which it was chosen, if the endpoint is known.
    pool: Option<Pool>,
    /// Whether the endpoint has granted it room.
    granted_at: Option<Millis>,
    /// Load of the endpoint when it was chosen, as a share of its capacity.
    load: f64,
    /// Grant from the endpoint's rate limit, once acquired.
    permit: Option<Grant>,
    /// Connection on which to send the request, if it was opened before.
    connection: Option<Connection>,
}

impl Slot {
    /// Counts a request, with its KV cache tokens, at the chosen endpoint.
    pub fn acquire(node: &Arc<Node>, (key, load): (Key, f64), tokens: u32) -> Self {
        let pool = {
            let mut pool = node.pool();
            pool.add_request(key, tokens);
            let service = |found: &Endpoint| Tag::of(&found.service);
            pool.get(key).map(|found| Pool { service: service(found), stage: found.stage })
        };
        node.usage_changed.notify_one();
        let (granted_at, permit, connection) = (None, None, None);
        Self { node: node.clone(), key, tokens, pool, granted_at, load, permit, connection }
    }

    /// Records that the endpoint has granted room: until its end, the request holds what others may wait for.
    pub fn record_grant(&mut self) {
        self.granted_at = Some(self.node.now());
    }

    /// Acquires a permit from the endpoint's rate limit, if it has one.
    pub async fn acquire_permit(&mut self, request: &str) -> Result<(), Failure> {
        if self.permit.is_none() {
            self.permit = Some(limit::acquire(&self.node, self.key, request).await?);
        }
        Ok(())
    }

    /// Opens the connection on which the request will be sent.
    pub async fn connect(&mut self, endpoint: &Endpoint) -> Result<(), Failure> {
        let ack_timeout = self.node.ack_timeout();
        let opened = self.node.dialer.open(endpoint, CONNECT_TIMEOUT, ack_timeout).await;
        self.connection = Some(opened.map_err(|error| Failure::from(&error))?);
        Ok(())
    }

    /// Skips the rate limit: the endpoint has the run already, so it is not a new request there.
    pub fn skip_rate_limit(&mut self) {
        self.permit = Some(Grant::unlimited(&self.node));
    }

    /// Records how the request ended at the endpoint.
    pub fn record_outcome(&self, outcome: Outcome) {
        self.node.record_outcome(self.key, outcome);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.node.pool().remove_request(self.key, self.tokens);
        self.node.usage_changed.notify_one();
        // A request that got no room frees none, and would wake the one that waits in vain.
        if let (Some(pool), Some(granted_at)) = (self.pool, self.granted_at) {
            self.node.waiting.record_end(pool, granted_at, self.node.now());
        }
    }
}

/// How far a run has come, as its response shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The request was sent.
    Sent,
    /// The response head has arrived.
    Begun,
    /// A part of the body has arrived.
    Written,
}

/// A response whose body is still to be read.
#[derive(Debug)]
pub struct Answer {
    /// Response head as received.
    pub parts: Parts,
    /// Parsed response headers.
    pub head: Head,
    /// Body.
    pub body: Incoming,
    /// Endpoint that responded.
    pub endpoint: Endpoint,
    /// When the response head arrived: engines send it with the first token, so the run starts then.
    pub started_at: Millis,
    /// How far the run has come.
    pub progress: Progress,
    /// Whether its head says where the body ends.
    is_framed: bool,
    overtime: Overtime,
    slot: Slot,
    /// Segments of the prompt with which the run goes well once it has gone on for long enough; none if that is known.
    unproven: Option<Arc<[Segment]>>,
    /// Trial, if the request is suspected of crashing endpoints.
    trial: Option<Trial>,
    /// Connection; closed on drop unless the whole response was read and the connection is reusable.
    connection: Option<Connection>,
    /// Whether the connection may be reused.
    reusable: bool,
}

impl Answer {
    /// Records how the request ended at the endpoint.
    pub fn record_outcome(&self, outcome: Outcome) {
        // The caller may have read too late.
        if outcome != Outcome::Failed || !self.overtime.has_begun() {
            self.slot.record_outcome(outcome);
        }
    }

    /// Records the time that a part of the run took, with the endpoint's present load besides this run.
    pub fn observe_run(&self, sample: impl FnOnce(f64) -> Sample) {
        let Slot { node, key, .. } = &self.slot;
        let (mut pool, now) = (node.pool(), node.now());
        let sample = sample(pool.load_besides_one(*key, now));
        pool.observe_run(*key, self.endpoint.stage, sample, now);
    }

    /// Ends the trial, which holds back other attempts at a suspect request.
    pub fn end_trial(&mut self) {
        self.trial = None;
    }

    /// Records that a part of the body has arrived, and that the run goes on once it has done so for long enough.
    pub fn record_progress(&mut self) {
        self.progress = Progress::Written;
        self.trial.iter_mut().for_each(|trial| trial.written = true);
        let ran_ms = self.slot.node.now().since(self.started_at);
        if ran_ms >= INNOCENT_AFTER_MS
            && let Some(segments) = self.unproven.take()
        {
            quarantine::record_sound(&self.slot.node, &segments);
        }
    }

    /// Records that the response is complete, and returns the connection for reuse.
    pub fn complete(&mut self) {
        if let Some(segments) = self.unproven.take() {
            quarantine::record_sound(&self.slot.node, &segments);
        }
        if let Some(trial) = &mut self.trial {
            trial.completed = true;
        }
        if self.reusable
            && let Some(connection) = self.connection.take()
        {
            self.slot.node.idle_connections.put_back(self.endpoint.address, connection);
        }
    }

    /// Endpoint's key in the pool.
    pub fn key(&self) -> Key {
        self.slot.key
    }

    /// Whether the end of the response can be told from the end of its connection.
    pub fn is_framed(&self) -> bool {
        self.is_framed
    }

    /// Whether the endpoint's process still runs, as far as this node finds out within a time.
    pub async fn liveness(&self, patience: Duration) -> Liveness {
        liveness::settle(&self.slot.node, &self.endpoint, patience).await
    }

    /// Reads the next frame of the body, if it arrives in time.
    pub async fn frame(
        &mut self,
        until: Instant,
    ) -> Result<Option<hyper::Result<Frame<Bytes>>>, Elapsed> {
        self.overtime.frame(&mut self.body, until).await
    }

    /// Reads the whole body, up to a length limit.
    pub async fn read_body(
        mut self,
        call: &Call,
        limit: usize,
        until: Instant,
    ) -> Result<(Parts, Bytes), Failure> {
        match timeout_at(until, Limited::new(&mut self.body, limit).collect()).await {
            Err(_) => Err(Failure::Timeout),
            Ok(Ok(body)) => {
                self.complete();
                Ok((self.parts, body.to_bytes()))
            }
            Ok(Err(error)) if error.downcast_ref::<LengthLimitError>().is_some() => {
                self.record_outcome(Outcome::Error);
                Err(Failure::Broken)
            }
            Ok(Err(_)) => {
                self.record_outcome(Outcome::Failed);
                let Self { endpoint, started_at, progress, slot, .. } = self;
                let run = (started_at, progress);
                quarantine::check_for_crash(&slot.node, call, &endpoint, run).await;
                Err(Failure::Broken)
            }
        }
    }
}

/// Refusal if no endpoint of a service and stage may serve a call, however long it waits.
pub fn refusal(node: &Node, service: &str, stage: Stage, call: &Call) -> Option<Refusal> {
    let unavailable = node.pool().unavailable(service, stage, call.terms())?;
    Some(stream::retry_later(unavailable.into()))
}

/// Sends a call to an endpoint and waits for the response head.
pub async fn send(
    call: &Call,
    mut slot: Slot,
    purpose: &Purpose<'_>,
    until: Instant,
) -> Result<Answer, Failure> {
    let node = slot.node.clone();
    let Some(endpoint) = node.pool().get(slot.key).cloned() else {
        return Err(Failure::Unsent);
    };
    slot.acquire_permit(&call.metadata.id).await?;
    let terms = match purpose {
        Purpose::Prefill => call.prefill_terms(),
        Purpose::Run | Purpose::Decode { .. } => call.terms(),
    };
    // The last check: its domain may have been evacuated since it was chosen, or the stream may have begun elsewhere.
    if !node.pool().accepts(slot.key, terms) {
        log_failure(call, &endpoint, Failure::Unsent, "no longer meets the terms");
        return Err(Failure::Unsent);
    }
    let trial = quarantine::admit(&node, call, &endpoint, purpose).await?;
    if let Err(failure) = shutdown::check_before_sending(&node, &endpoint.service, call, purpose) {
        log_failure(call, &endpoint, failure, "may outlast the grace period");
        return Err(failure);
    }
    // A run that is moved with its KV cache, without a reservation, goes on and does not count again.
    if matches!(purpose, Purpose::Run | Purpose::Decode { reservation: Some(_), .. }) {
        call.grant.charge_repeat();
    }
    transmit(call, slot, endpoint, purpose, until, trial).await
}

/// Sends a call to the engine at which it ran until it was stopped there. The engine need not be listed any more, nor meet the
/// terms of new requests. With `proven`, quarantine does not keep the call from it, since the run went well there.
pub async fn send_back(
    call: &Call,
    mut slot: Slot,
    engine: &Endpoint,
    purpose: &Purpose<'_>,
    until: Instant,
    proven: bool,
) -> Result<Answer, Failure> {
    let node = slot.node.clone();
    // Limits of endpoints that are not listed are forgotten.
    if node.pool().get(slot.key).is_some() {
        slot.acquire_permit(&call.metadata.id).await?;
    }
    let trial = match quarantine::admit(&node, call, engine, purpose).await {
        Err(_) if proven => None,
        admitted => admitted?,
    };
    transmit(call, slot, engine.clone(), purpose, until, trial).await
}

/// Sends a call to an endpoint that may run it.
async fn transmit(
    call: &Call,
    mut slot: Slot,
    endpoint: Endpoint,
    purpose: &Purpose<'_>,
    until: Instant,
    mut trial: Option<Trial>,
) -> Result<Answer, Failure> {
    let node = slot.node.clone();
    log_placement(&node, call, &slot, &endpoint, purpose);
    let sent_at = node.now();
    let runs = !matches!(purpose, Purpose::Prefill);
    // Marked before sending: if the attempt is dropped meanwhile, whether the endpoint runs the request is unknown.
    let sent_before = runs && call.grant.mark_sent();
    let mark_unsent = || {
        if runs && !sent_before {
            call.grant.mark_unsent();
        }
    };
    slot.permit.iter().for_each(|permit| {
        permit.mark_sent();
    });
    let opened = slot.connection.take();
    let result = connect_and_send(&node, call, &endpoint, purpose, until, opened).await;
    let arrived = result.as_ref().map_or_else(Error::may_have_been_sent, |_| true);
    call.prefilled.fetch_or(arrived && !runs, Ordering::Relaxed);
    let (connection, parts, body) = match result {
        Ok(received) => received,
        Err(error) => {
            let failure = Failure::from(&error);
            if !failure.may_have_run() {
                mark_unsent();
                slot.permit.iter().for_each(Grant::mark_unsent);
            }
            slot.record_outcome(error_outcome(&error));
            log_failure(call, &endpoint, failure, &error.to_string());
            if failure == Failure::Broken {
                let run = (sent_at, Progress::Sent);
                quarantine::check_for_crash(&node, call, &endpoint, run).await;
            }
            return Err(failure);
        }
    };
    let head = Head::parse(&parts, &call.metadata.id);
    match &head.load {
        Ok(load) => {
            let (mut pool, now) = (node.pool(), node.now());
            load.iter().for_each(|load| pool.record_load(slot.key, *load, now));
        }
        Err(error) => {
            debug!("load report of {} ignored: {error}", endpoint.id);
            node.metrics.invalid_load_reports.inc();
        }
    }
    // A 421 comes from another incarnation at the same address, which names its own rate limit.
    if head.id_matches && parts.status != StatusCode::MISDIRECTED_REQUEST {
        limit::record(&node, &endpoint, &head.rate_limit, sent_at);
    }
    let rejection = reject(&head, parts.status, purpose);
    if let Some((failure, outcome)) = rejection {
        if !failure.may_have_run() {
            mark_unsent();
        }
        // An endpoint that names a rate limit refuses to enforce it; that is no reason to avoid it.
        if outcome != Outcome::Refused || node.limits().rate(endpoint.tag()).is_none() {
            slot.record_outcome(outcome);
        }
        log_failure(call, &endpoint, failure, &parts.status.to_string());
        if failure == Failure::Refused && matches!(purpose, Purpose::Run) {
            node.idle_connections.put_back_after(endpoint.address, connection, body);
        }
        return Err(failure);
    }
    if parts.status.is_server_error() {
        let (request, to) = (call.metadata.id.as_str(), endpoint.id.as_str());
        let status = parts.status.as_u16();
        info!(request, to, status, outcome = "error"; "{}", event::ATTEMPT);
    }
    let started_at = node.now();
    trial.iter_mut().for_each(|running| running.started_at = Some(started_at));
    let (connection, reusable) = (Some(connection), matches!(purpose, Purpose::Run));
    // A method or status may allow no body.
    let is_framed = framing::is_framed(&parts.headers) || body.size_hint().exact().is_some();
    let unproven = (runs && parts.status.is_success()).then(|| call.segments.clone());
    Ok(Answer {
        parts,
        head,
        body,
        endpoint,
        started_at,
        progress: Progress::Begun,
        is_framed,
        overtime: Overtime::default(),
        slot,
        unproven,
        trial,
        connection,
        reusable,
    })
}

/// Logs where a request is sent and the load behind the choice.
fn log_placement(
    node: &Node,
    call: &Call,
    slot: &Slot,
    endpoint: &Endpoint,
    purpose: &Purpose<'_>,
) {
    let request = call.metadata.id.as_str();
    let (to, software) = (endpoint.id.as_str(), endpoint.software.as_str());
    let purpose = match purpose {
        Purpose::Run => "run",
        Purpose::Prefill => "prefill",
        Purpose::Decode { source: Some(_), .. } => "decode",
        Purpose::Decode { source: None, .. } => "prefill and decode",
    };
    let (load, offset) = (slot.load, node.mirror().offsets().endpoints);
    let left_ms = call.remaining().as_millis() as u64;
    let prompt = call.metadata.last_segment_id.as_deref().unwrap_or_default();
    info!(request, prompt, to, software, purpose, load, offset, left_ms; "{}", event::PLACE);
}

async fn connect_and_send(
    node: &Node,
    call: &Call,
    endpoint: &Endpoint,
    purpose: &Purpose<'_>,
    until: Instant,
    opened: Option<Connection>,
) -> Result<(Connection, Parts, Incoming), Error> {
    let to = endpoint.address;
    call.connected.store(false, Ordering::Relaxed);
    if let Some(connection) = opened {
        call.connected.store(true, Ordering::Relaxed);
        match send_over(connection, build_request(call, endpoint, purpose), until).await {
            // The endpoint closed the connection before anything was sent.
            Err(error) if !error.may_have_been_sent() => {}
            sent => return sent,
        }
    }
    while matches!(purpose, Purpose::Run)
        && let Some(connection) = node.idle_connections.take(to)
    {
        call.connected.store(true, Ordering::Relaxed);
        match send_over(connection, build_request(call, endpoint, purpose), until).await {
            // The endpoint closed the connection while it was idle.
            Err(error) if !error.may_have_been_sent() => continue,
            Err(error) => {
                node.idle_connections.close_all(to);
                return Err(error);
            }
            received => return received,
        }
    }
    let connect = CONNECT_TIMEOUT.min(until.saturating_duration_since(Instant::now()));
    call.connected.store(false, Ordering::Relaxed);
    let connection = node.dialer.open(endpoint, connect, node.ack_timeout()).await?;
    call.connected.store(true, Ordering::Relaxed);
    send_over(connection, build_request(call, endpoint, purpose), until).await
}

/// Sends a request over an open connection and waits for the response head.
async fn send_over(
    mut connection: Connection,
    request: Outgoing,
    until: Instant,
) -> Result<(Connection, Parts, Incoming), Error> {
    let response = connection.send(request, until).await?;
    let (parts, body) = response.into_parts();
    Ok((connection, parts, body))
}

fn build_request(call: &Call, endpoint: &Endpoint, purpose: &Purpose<'_>) -> Outgoing {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    // The timeout of a stream's route may be raised while it runs; then its engine must not stop before.
    let remaining = match purpose {
        Purpose::Run => call.remaining(),
        Purpose::Prefill | Purpose::Decode { .. } => call.caller_deadline.left(),
    };
    *request.headers_mut() = call.metadata.headers(&endpoint.id, remaining, purpose);
    request
}

/// Checks a response head; returns the failure and its outcome for the endpoint's health if it can't be used.
fn reject(head: &Head, status: StatusCode, purpose: &Purpose<'_>) -> Option<(Failure, Outcome)> {
    let sealed = head.has_required_seal || matches!(purpose, Purpose::Prefill);
    if !head.id_matches || !sealed {
        return Some((Failure::Broken, Outcome::Failed));
    }
    head.not_executed.then(|| (Failure::Refused, refusal_outcome(status, purpose)))
}

/// Outcome of a refusal for the endpoint's health.
fn refusal_outcome(status: StatusCode, purpose: &Purpose<'_>) -> Outcome {
    match purpose {
        // Another incarnation listens at the address, or the engine has changed its stage.
        _ if status == StatusCode::MISDIRECTED_REQUEST => Outcome::Down,
        // The engine had granted the memory: it is about to change its stage, or the KV cache to fetch is gone.
        Purpose::Decode { reservation: Some(_), source: None, .. } => Outcome::Down,
        Purpose::Decode { reservation: Some(_), source: Some(_), .. } => Outcome::Failed,
        Purpose::Run | Purpose::Prefill | Purpose::Decode { .. } => Outcome::Refused,
    }
}

fn log_failure(call: &Call, endpoint: &Endpoint, failure: Failure, why: &str) {
    let request = call.metadata.id.as_str();
    let left_ms = call.remaining().as_millis() as u64;
    let to = endpoint.id.as_str();
    info!(request, to, failure:% = failure, why, left_ms; "{}", event::ATTEMPT);
}

/// Outcome of a connection error for the endpoint's health.
pub fn error_outcome(error: &Error) -> Outcome {
    if error.may_have_been_sent() { Outcome::Failed } else { Outcome::Down }
}

impl From<Failure> for Retry {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::Unreachable | Failure::Unsent => Self::Unreachable,
            Failure::RateLimited => Self::RateLimited,
            Failure::Refused | Failure::Stopping => Self::Refused,
            Failure::Broken | Failure::Timeout => Self::Broken,
            Failure::OnTrial | Failure::ShutOut => Self::Quarantined,
        }
    }
}

impl From<Failure> for Reason {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::Unreachable => Self::Unreachable,
            Failure::Unsent => Self::NoEndpoint,
            Failure::RateLimited => Self::RateLimited,
            Failure::Refused => Self::Refused,
            Failure::Broken => Self::Broken,
            Failure::Timeout => Self::Timeout,
            Failure::OnTrial => Self::OnTrial,
            Failure::ShutOut => Self::ShutOut,
            Failure::Stopping => Self::Stopping,
        }
    }
}

impl From<&Error> for Failure {
    fn from(error: &Error) -> Self {
        match error {
            Error::Unreachable { .. } => Self::Unreachable,
            Error::Connect { .. } => Self::Unsent,
            Error::Broken { .. } | Error::Unassociated { .. } => Self::Broken,
            Error::Timeout { .. } => Self::Timeout,
        }
    }
}
