//! Calls to plain services: ordinary requests and responses, without prefill and decode.

use crate::cut::{Cut, Side};
use crate::event;
use crate::exchange::{self, Answer, Call, Failure, Slot};
use crate::limit;
use crate::liveness::Liveness;
use crate::metrics::{Metrics, Retry};
use crate::node::{Node, ResponseBody, lock};
use crate::quarantine;
use crate::refusal::{Reason, Refusal};
use crate::resume;
use crate::sse::Tail;
use crate::stall::{self, Watch};
use bytes::Bytes;
use crosslane_coordination::calls;
use crosslane_coordination::choice::Query;
use crosslane_coordination::health::Outcome;
use crosslane_coordination::speed::Sample;
use crosslane_coordination::wait;
use crosslane_platform::request::Purpose;
use crosslane_platform::response;
use crosslane_state::endpoint::{Key, Stage};
use crosslane_state::route::{Kind, Route};
use crosslane_transport::connection::{self, Closer};
use crosslane_transport::http;
use http_body_util::StreamBody;
use http_body_util::combinators::BoxBody;
use hyper::body::{Body, Frame};
use hyper::http::response::Parts;
use hyper::{Method, Response, StatusCode};
use log::info;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// Responses up to this length are buffered before they are passed on if the request is safe, so that one that breaks
/// off can be retried. Usual responses are about 1 KB.
const MAX_BUFFERED_BYTES: u64 = 65_536;

/// Share of the latency target after which a safe request is retried at another endpoint: the rest is enough for
/// a usual run there.
const STALL_SHARE: f64 = 0.6;

/// Endpoints whose queues are looked at for one call: the better of two is among the least loaded third of so many nearly always.
const MAX_LEFT_OUT: usize = 16;

/// Intervals into which that time is divided: with a single one, a stall of this node would count as one of the endpoint.
const STALL_INTERVALS: u32 = 2;

/// One part in this many of the time left goes into checks of the endpoint of a response that ended with its connection.
const CHECK_DIVISOR: u32 = 4;

/// Retry-After of a refused caller: plain calls last some 60 ms, bursts of load some seconds.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// Sends a call to endpoints of a service until one responds, and returns the response.
pub async fn run(
    node: &Arc<Node>,
    route: &Route,
    service: &str,
    call: &Call,
) -> Result<Response<ResponseBody>, Refusal> {
    let mut attempts = Attempts {
        node,
        route,
        service,
        call,
        tried: Mutex::default(),
        sent: AtomicU32::new(0),
        second_may_have_run: AtomicBool::new(false),
        too_long: Mutex::default(),
    };
    // Once an attempt may have run the request, a later refusal does not undo that.
    let mut may_have_run = false;
    let mut reason = Reason::NoEndpoint;
    let mut error_response: Option<Response<ResponseBody>> = None;
    while let Some(choice) = attempts.next().await {
        match attempts.attempt(choice).await {
            Ok(Attempt::Final(response)) => return Ok(response),
            Ok(Attempt::Error(response)) => {
                attempts.count_sent();
                error_response = Some(response);
                node.metrics.count_retry(Retry::Error);
            }
            Err(failure) => {
                let second_may_have_run = attempts.second_may_have_run();
                may_have_run |= failure.may_have_run() || second_may_have_run;
                let is_final = matches!(reason, Reason::Broken | Reason::Timeout);
                if failure.may_have_run() || !may_have_run {
                    reason = failure.into();
                } else if second_may_have_run && !is_final {
                    reason = Reason::Broken;
                }
                if failure.was_sent() {
                    attempts.count_sent();
                }
                if failure.may_have_run() && !route.kind.idempotent() {
                    return Err(reason.into());
                }
                if failure != Failure::Stopping {
                    node.metrics.count_retry(failure.into());
                }
                if failure.is_final() {
                    break;
                }
            }
        }
        if attempts.sent() >= route.max_attempts || call.remaining().is_zero() {
            break;
        }
        if reason == Reason::Unreachable && call.must_forward(node, service) {
            break;
        }
    }
    error_response.ok_or_else(|| attempts.refusal(reason))
}

/// Response of an endpoint.
enum Attempt {
    /// Passed on to the caller.
    Final(Response<ResponseBody>),
    /// Server error; another endpoint may respond better.
    Error(Response<ResponseBody>),
}

/// Attempts at a call: one after the other, and a second one beside the first if that stalls.
struct Attempts<'a> {
    node: &'a Arc<Node>,
    route: &'a Route,
    service: &'a str,
    call: &'a Call,
    tried: Mutex<Vec<Key>>,
    /// Attempts that reached an endpoint, and second ones in progress.
    sent: AtomicU32,
    /// Whether an attempt beside a stalled one failed after it may have run.
    second_may_have_run: AtomicBool,
    /// The shortest queue in which the call would be late.
    too_long: Mutex<Option<calls::Queue>>,
}

impl Attempts<'_> {
    fn sent(&self) -> u32 {
        self.sent.load(Ordering::Relaxed)
    }

    fn count_sent(&self) {
        self.sent.fetch_add(1, Ordering::Relaxed);
    }

    fn second_may_have_run(&self) -> bool {
        self.second_may_have_run.load(Ordering::Relaxed)
    }

    /// Chooses the endpoint for the next attempt, if there is one and a retry is allowed.
    async fn next(&mut self) -> Option<(Key, f64)> {
        let choice = self.choose()?;
        if self.sent() > 0 && !self.take_retry().await {
            return None;
        }
        lock(&self.tried).push(choice.0);
        Some(choice)
    }

    /// The best untried endpoint that can serve the call on time, as far as endpoints report their queues.
    fn choose(&self) -> Option<(Key, f64)> {
        let Self { node, route, service, call, .. } = self;
        let mut excluded = lock(&self.tried).clone();
        let mut left_out = 0;
        let max_connections = node.connection_share(service);
        let (mut pool, now) = (node.pool(), node.now());
        let run_ms = pool.usual_time_ms(service, Stage::Plain, now);
        let caller = calls::Caller {
            target_ms: route.target_latency_ms,
            remaining_ms: call.remaining().as_millis() as u64,
        };
        loop {
            let query = Query {
                service,
                stage: Stage::Plain,
                capacity_tokens: 0,
                max_connections,
                prompt_tokens: 0,
                prefers_fast: true,
                room: None,
                exclude: &excluded,
                terms: call.terms(),
                point: call.point(),
            };
            let choice = pool.choose(query, now)?;
            let queue = run_ms.and_then(|run_ms| pool.queue(choice.0, run_ms, now));
            match queue.filter(|queue| !caller.can_use(*queue)) {
                Some(queue) => self.record_too_long(queue),
                None => return Some(choice),
            }
            excluded.push(choice.0);
            left_out += 1;
            if left_out == MAX_LEFT_OUT {
                return None;
            }
        }
    }

    fn record_too_long(&self, queue: calls::Queue) {
        let mut shortest = lock(&self.too_long);
        let is_shorter = |known: calls::Queue| queue.answered_ms() < known.answered_ms();
        if shortest.is_none_or(is_shorter) {
            *shortest = Some(queue);
        }
    }

    /// Refusal after the last attempt; with a Retry-After if the request has not run.
    fn refusal(&self, reason: Reason) -> Refusal {
        let Self { node, service, call, .. } = self;
        let too_long = *lock(&self.too_long);
        match (reason, too_long) {
            (Reason::Broken | Reason::Timeout, _) => reason.into(),
            (Reason::NoEndpoint | Reason::Refused, Some(queue)) => self.shed(queue),
            (Reason::NoEndpoint | Reason::RateLimited, _) => {
                limit::refusal(node, service, Stage::Plain)
                    .or_else(|| exchange::refusal(node, service, Stage::Plain, call))
                    .unwrap_or(Refusal::retry_after(reason, RETRY_AFTER))
            }
            _ => Refusal::retry_after(reason, RETRY_AFTER),
        }
    }

    /// Refuses a call that would be late in the shortest queue.
    fn shed(&self, queue: calls::Queue) -> Refusal {
        let Self { node, service, call, .. } = self;
        let patience = call.metadata.timeout.unwrap_or_else(|| call.remaining());
        let remaining_ms = patience.as_millis() as u64;
        let wait_ms = wait::retry_within_ms(queue.estimate(), remaining_ms, rand::random());
        let (request, expected_ms) = (call.metadata.id.as_str(), queue.answered_ms() as u64);
        let outcome = "wait_too_long";
        info!(request, service, expected_ms, wait_ms, outcome; "{}", event::RESERVE);
        node.metrics.shed.inc();
        Refusal::retry_after(Reason::NoRoom, Duration::from_millis(wait_ms))
    }

    async fn take_retry(&self) -> bool {
        self.node.take_retry(self.service, &self.call.metadata.id).await
    }

    /// Whether the next attempt is the last one.
    fn is_last(&self) -> bool {
        self.sent() + 1 >= self.route.max_attempts
    }

    async fn attempt(&self, choice: (Key, f64)) -> Result<Attempt, Failure> {
        let attempt = send_once(self.node, self.route, self.call, choice, self.is_last());
        if self.is_last() || self.route.kind != Kind::Safe {
            return attempt.await;
        }
        let stall_ms = self.route.target_latency_ms as f64 * STALL_SHARE;
        let interval = Duration::from_millis((stall_ms / f64::from(STALL_INTERVALS)) as u64);
        let watch = Watch {
            node: self.node,
            call: self.call,
            at: choice.0,
            intervals: (STALL_INTERVALS, interval),
        };
        let failed = |done: &Result<Attempt, Failure>| !matches!(done, Ok(Attempt::Final(_)));
        let answered = stall::unless_stalled(watch, attempt, failed, || self.second());
        answered.await.unwrap_or_else(|second| Ok(Attempt::Final(second)))
    }

    /// Makes a second attempt beside a stalled one, at an endpoint with a free slot. `None` unless that responds with
    /// success: the stalled endpoint may merely be slow, and its response can still arrive. Under
    /// overload second attempts would only add to the load.
    async fn second(&self) -> Option<Response<ResponseBody>> {
        // A node that has too much to do takes its own delay for that of the endpoint.
        if self.sent() + 2 > self.route.max_attempts || self.node.load.is_limited() {
            return None;
        }
        let choice = self.choose().filter(|(_, utilization)| *utilization < 1.0)?;
        if !self.take_retry().await {
            return None;
        }
        lock(&self.tried).push(choice.0);
        // Counted before, since the first attempt may end meanwhile and drop this one.
        self.count_sent();
        match send_once(self.node, self.route, self.call, choice, true).await {
            Ok(Attempt::Final(response)) if !response.status().is_server_error() => Some(response),
            Ok(_) => {
                self.second_may_have_run.store(true, Ordering::Relaxed);
                self.node.metrics.count_retry(Retry::Error);
                None
            }
            Err(failure) => {
                if !failure.was_sent() {
                    self.sent.fetch_sub(1, Ordering::Relaxed);
                }
                self.second_may_have_run.fetch_or(failure.may_have_run(), Ordering::Relaxed);
                self.node.metrics.count_retry(failure.into());
                None
            }
        }
    }
}

/// Makes one attempt, and buffers a short response to a safe request.
async fn send_once(
    node: &Arc<Node>,
    route: &Route,
    call: &Call,
    choice: (Key, f64),
    last: bool,
) -> Result<Attempt, Failure> {
    let slot = Slot::acquire(node, choice, 0);
    let until = call.deadline.instant();
    let (load, started_at) = (choice.1, Instant::now());
    let answer = exchange::send(call, slot, &Purpose::Run, until).await?;
    let took_ms = started_at.elapsed().as_secs_f64() * 1e3;
    if answer.parts.status.is_success() && !matches!(route.kind, Kind::Stream { .. }) {
        // Of a full endpoint, the time is that of the calls before it too.
        answer.observe_run(|_| Sample { load, units: load.max(1.0), took_ms });
    }
    Metrics::observe(&node.metrics.first_byte, call.arrived.elapsed());
    let error = answer.parts.status.is_server_error();
    answer.record_outcome(if error { Outcome::Error } else { Outcome::Good });
    let short = answer.head.content_length.is_some_and(|length| length <= MAX_BUFFERED_BYTES);
    if let Kind::Stream { .. } = route.kind
        && answer.parts.status.is_success()
    {
        resume::begin(node, call, route, answer.endpoint.build());
    }
    if route.kind != Kind::Safe || !short {
        let is_stream = matches!(route.kind, Kind::Stream { .. });
        return Ok(Attempt::Final(relay(node, answer, call, is_stream)));
    }
    let (parts, body) = answer.read_body(call, MAX_BUFFERED_BYTES as usize, until).await?;
    let response = buffered(&call.method, parts, body);
    Ok(if error && !last { Attempt::Error(response) } else { Attempt::Final(response) })
}

fn buffered(method: &Method, parts: Parts, body: Bytes) -> Response<ResponseBody> {
    let length = exact_length(parts.status, Some(body.len() as u64));
    let mut response = Response::new(http::full(body));
    *response.status_mut() = parts.status;
    *response.headers_mut() = response::forwarded_headers(&parts.headers, method, length);
    response
}

/// Length to name for a body that is read; none with a status that allows no body.
pub fn exact_length(status: StatusCode, read: Option<u64>) -> Option<u64> {
    let is_bodiless = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&status);
    read.filter(|_| !is_bodiless)
}

/// Whether a response that has ended is whole: if only the end of its connection shows it, its endpoint must still run.
async fn is_whole(answer: &Answer, call: &Call) -> bool {
    let patience = call.remaining() / CHECK_DIVISOR;
    answer.is_framed() || answer.liveness(patience).await == Liveness::Alive
}

/// Streams a response to the caller; cut at the deadline. One that is a stream of events must not end within an event.
pub fn relay(
    node: &Arc<Node>,
    answer: Answer,
    call: &Call,
    is_stream: bool,
) -> Response<ResponseBody> {
    let status = answer.parts.status;
    let length = exact_length(status, answer.body.size_hint().exact());
    let headers = response::forwarded_headers(&answer.parts.headers, &call.method, length);
    let initial = Some((node.clone(), answer, call.clone(), Tail::default()));
    let frames = futures::stream::unfold(initial, move |state| async move {
        let (node, mut answer, call, mut tail) = state?;
        let (by, bound, error): (Side, _, http::BodyError) = match answer
            .frame(call.deadline.instant())
            .await
        {
            Ok(None) if !answer.is_framed() && is_stream && tail.is_partial() => {
                (Side::Endpoint, "may not be resumed", "ended within an event".into())
            }
            Ok(None) if is_whole(&answer, &call).await => {
                answer.complete();
                return None;
            }
            // The connections of a process are closed in the same way when it ends.
            Ok(None) => {
                (Side::Endpoint, "may not be resumed", "crashed at an end without length".into())
            }
            Ok(Some(Ok(frame))) => {
                // hyper stops polling once a known length is reached.
                if answer.body.is_end_stream() {
                    answer.complete();
                } else {
                    answer.record_progress();
                }
                tail.push(frame.data_ref().map_or(&[], |data| data.as_ref()));
                return Some((Ok(frame), Some((node, answer, call, tail))));
            }
            Ok(Some(Err(error))) => {
                let by = Side::new(Closer::of(&error), Side::Endpoint);
                (by, "may not be resumed", connection::cause(&error).into())
            }
            Err(elapsed) => (Side::Node, "time ran out", elapsed.into()),
        };
        answer.record_outcome(Outcome::Failed);
        Cut {
            request: &call.metadata.id,
            by,
            to: &answer.endpoint.id,
            missing: "the end",
            bound,
            why: &error.to_string(),
            left_ms: call.remaining().as_millis() as u64,
        }
        .log();
        let Answer { endpoint, started_at, progress, .. } = answer;
        quarantine::check_for_crash(&node, &call, &endpoint, (started_at, progress)).await;
        Some((Err::<Frame<Bytes>, _>(error), None))
    });
    let mut response = Response::new(BoxBody::new(StreamBody::new(frames)));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
