//! Relays a stream of events to the caller while its run moves between engines.
//!
//! Only whole events are relayed. If an engine is leaving, its run is moved to another engine together with its KV cache.
//! If a run breaks off, the stream is resumed at another engine if its route allows, and is cut otherwise.

use crate::cut::{Cut, Side};
use crate::event;
use crate::exchange::{self, Answer, Failure, Slot};
use crate::metrics::{Metrics, Retry};
use crate::migration;
use crate::node::ResponseBody;
use crate::quarantine;
use crate::resume;
use crate::sse::Splitter;
use crate::stream::Generation;
use bytes::{Bytes, BytesMut};
use crosslane_coordination::admission::FULL_UTILIZATION;
use crosslane_coordination::health::Outcome;
use crosslane_platform::engine::MoveOutcome;
use crosslane_platform::request::Purpose;
use crosslane_state::endpoint::Endpoint;
use crosslane_state::route::Kind;
use crosslane_transport::connection::{self, Closer};
use crosslane_transport::http::BodyError;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use log::info;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Time from an engine's announced departure until its runs are moved: short runs end by themselves, and the engine
/// goes on serving for at least 2 s.
const MOVE_DELAY: Duration = Duration::from_millis(1_000);

/// Interval between attempts to move a run, when other engines have no room.
const MOVE_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Attempts to move a run: as many as fit into the time for which a leaving engine serves.
const MAX_MOVES: u32 = 4;

/// Timeout to read what a stopped run had already sent.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(600);

/// Relays the events of one stream.
pub struct Relay {
    generation: Generation,
    answer: Option<Answer>,
    events: Splitter,
    /// When to move the run away from a leaving engine.
    move_at: Option<Instant>,
    /// Remaining attempts to move the run.
    moves_left: u32,
    /// Endpoint of the last attempt.
    last_endpoint: String,
    /// Error with which to cut the stream.
    broken: Option<Break>,
    /// Whether the stream is bound to a build and other nodes were told.
    begun: bool,
}

/// How an attempt broke off.
#[derive(Clone, Debug)]
struct Break {
    by: Side,
    why: String,
}

impl Break {
    fn new(by: Side, why: impl Into<String>) -> Self {
        Self { by, why: why.into() }
    }
}

/// Next part of an engine's response.
enum Chunk {
    Data(Bytes),
    End,
    Broken(Break),
    /// The engine stalled, and another one runs the stream instead.
    Replaced(Box<Answer>),
}

type Item = (Result<Frame<Bytes>, BodyError>, Relay);

impl Relay {
    /// Starts to relay an engine's response.
    pub fn new(generation: Generation, answer: Answer) -> Self {
        let events = Splitter::default();
        Self {
            generation,
            last_endpoint: answer.endpoint.id.clone(),
            answer: Some(answer),
            events,
            move_at: None,
            moves_left: MAX_MOVES,
            broken: None,
            begun: false,
        }
    }

    /// Response body for the caller.
    pub fn body(self) -> ResponseBody {
        BoxBody::new(StreamBody::new(futures::stream::unfold(self, Self::next)))
    }

    async fn next(mut self) -> Option<Item> {
        loop {
            if let Some(broken) = self.broken.take() {
                return Some((Err(broken.why.into()), self));
            }
            // A stream has no response only after it was cut by an error.
            self.answer.as_ref()?;
            if self.must_move() {
                match self.move_run().await {
                    Some(events) => return Some((Ok(Frame::data(events)), self)),
                    None => continue,
                }
            }
            match self.next_chunk().await {
                Chunk::Data(bytes) => {
                    if let Some(events) = self.events.push(&bytes) {
                        self.begin();
                        self.answer.iter_mut().for_each(Answer::record_progress);
                        return Some((Ok(Frame::data(events)), self));
                    }
                }
                Chunk::End => {
                    self.record_outcome(Outcome::Good);
                    self.answer.iter_mut().for_each(Answer::complete);
                    return None;
                }
                Chunk::Replaced(answer) => self.replace_answer(*answer).await,
                Chunk::Broken(broken) => {
                    self.record_outcome(Outcome::Failed);
                    self.fail_over(broken).await;
                }
            }
        }
    }

    /// Binds the stream to the build of its engine, before its first event leaves or its KV cache moves.
    fn begin(&mut self) {
        if let Some(answer) = self.answer.as_ref().filter(|_| !self.begun) {
            self.begun = true;
            let Generation { node, call, route, .. } = &self.generation;
            resume::begin(node, call, route, answer.endpoint.build());
        }
    }

    /// Abandons an engine and resumes the stream at another one, or marks the stream to be cut.
    async fn fail_over(&mut self, broken: Break) {
        self.drop_broken().await;
        if let Err(bound) = self.resume(&broken.why).await {
            self.cut(broken, bound);
        }
    }

    /// Marks the stream to be cut, and logs why.
    fn cut(&mut self, broken: Break, bound: &str) {
        let call = &self.generation.call;
        Cut {
            request: &call.metadata.id,
            by: broken.by,
            to: &self.last_endpoint,
            missing: &self
                .last_event()
                .map_or("all events".into(), |id| format!("events after {id}")),
            bound,
            why: &broken.why,
            left_ms: call.remaining().as_millis() as u64,
        }
        .log();
        self.broken = Some(broken);
    }

    /// Goes on with the response of another engine.
    async fn replace_answer(&mut self, answer: Answer) {
        self.events.discard();
        self.generation.node.metrics.count_retry(Retry::Resumed);
        self.log_resume("engine silent", "resumed");
        self.last_endpoint.clone_from(&answer.endpoint.id);
        if let Some(silent) = self.answer.replace(answer) {
            let Generation { node, call, .. } = &self.generation;
            let (endpoint, run) = (silent.endpoint.clone(), (silent.started_at, silent.progress));
            // Ends the silent run before the check, which takes a while.
            drop(silent);
            quarantine::check_for_crash(node, call, &endpoint, run).await;
        }
    }

    fn record_outcome(&self, outcome: Outcome) {
        if let Some(answer) = &self.answer {
            answer.record_outcome(outcome);
        }
    }

    /// Drops a response that broke off, and checks whether its engine crashed while running the request.
    async fn drop_broken(&mut self) {
        if let Some(Answer { endpoint, started_at, progress, .. }) = self.answer.take() {
            let Generation { node, call, .. } = &self.generation;
            quarantine::check_for_crash(node, call, &endpoint, (started_at, progress)).await;
        }
    }

    async fn next_chunk(&mut self) -> Chunk {
        let Some(answer) = &mut self.answer else {
            return Chunk::Broken(Break::new(Side::Node, "no engine"));
        };
        let last_event = self.events.last_id().or(self.generation.call.metadata.last_event_id);
        let (at, started_at) = (answer.key(), Instant::now());
        let until = self.generation.call.deadline.instant();
        let frame = timeout_at(until, answer.body.frame());
        let broke = |frame: &Result<Option<Result<_, _>>, _>| matches!(frame, Ok(Some(Err(_))));
        let frame = self.generation.unless_stalled(&[at], last_event, frame, broke).await;
        Metrics::observe(&self.generation.node.metrics.event_gap, started_at.elapsed());
        match frame {
            Err(answer) => Chunk::Replaced(Box::new(answer)),
            Ok(Err(_)) if self.generation.extend_deadline() => Chunk::Data(Bytes::new()),
            Ok(Err(_)) => Chunk::Broken(Break::new(Side::Node, "time ran out")),
            Ok(Ok(Some(Ok(frame)))) => Chunk::Data(frame.into_data().unwrap_or_default()),
            Ok(Ok(Some(Err(error)))) => {
                let by = Side::new(Closer::of(&error), Side::Endpoint);
                Chunk::Broken(Break::new(by, connection::cause(&error)))
            }
            Ok(Ok(None)) if self.events.has_partial() => {
                Chunk::Broken(Break::new(Side::Endpoint, "engine ended within an event"))
            }
            Ok(Ok(None)) => Chunk::End,
        }
    }

    /// Whether the engine is leaving and `MOVE_DELAY`, or the interval since the last attempt, has passed.
    fn must_move(&mut self) -> bool {
        let Some(answer) = &self.answer else {
            return false;
        };
        if !self.generation.node.pool().has_left(&answer.endpoint) {
            self.move_at = None;
            return false;
        }
        let now = Instant::now();
        self.moves_left > 0 && now >= *self.move_at.get_or_insert(now + MOVE_DELAY)
    }

    /// Moves the run with its KV cache to another engine. Returns events that arrived meanwhile.
    async fn move_run(&mut self) -> Option<Bytes> {
        self.moves_left -= 1;
        self.move_at = Some(Instant::now() + MOVE_RETRY_INTERVAL);
        self.begin();
        let (source, key) =
            self.answer.as_ref().map(|answer| (answer.endpoint.clone(), answer.key()))?;
        let choice = self.generation.choose_decode(FULL_UTILIZATION, &[key])?;
        let target = self.generation.node.pool().get(choice.0).cloned()?;
        let mut slot =
            Slot::acquire(&self.generation.node, choice, self.generation.expected_tokens());
        // Before the run is stopped, since the target's rate limit must have room for it.
        slot.acquire_permit(&self.generation.call.metadata.id).await.ok()?;
        if !self.generation.node.take_retry(&self.generation.service).await {
            return None;
        }
        let Generation { node, call, .. } = &self.generation;
        let outcome = migration::stop_and_copy(&node.control, call, &source, &target).await;
        // The source keeps the KV cache until the run continues, so a run that the target refuses is not lost.
        let mut stopped =
            Slot::acquire(&self.generation.node, (key, 0.0), self.generation.expected_tokens());
        stopped.skip_rate_limit();
        let (handle, slots) = match outcome {
            MoveOutcome::Copied { handle } => {
                (handle, vec![(slot, target), (stopped, source.clone())])
            }
            MoveOutcome::Stopped { handle } => (handle, vec![(stopped, source.clone())]),
            MoveOutcome::UnderWay | MoveOutcome::Ended | MoveOutcome::Refused => return None,
        };
        let stopped_at = Instant::now();
        self.move_at = None;
        let drained = self.drain().await;
        self.continue_run(&source, &handle, slots, stopped_at).await;
        drained
    }

    /// Reads the events that a stopped run had already sent.
    async fn drain(&mut self) -> Option<Bytes> {
        let answer = self.answer.as_mut()?;
        let until = Instant::now() + DRAIN_TIMEOUT;
        let mut drained = BytesMut::new();
        while let Ok(Some(Ok(frame))) = timeout_at(until, answer.body.frame()).await {
            let bytes = frame.into_data().unwrap_or_default();
            drained.extend(self.events.push(&bytes).into_iter().flatten());
        }
        self.events.discard();
        (!drained.is_empty()).then(|| drained.freeze())
    }

    /// Continues a stopped run from its KV cache, at the first engine that does not refuse it.
    async fn continue_run(
        &mut self,
        source: &Endpoint,
        handle: &str,
        slots: Vec<(Slot, Endpoint)>,
        stopped_at: Instant,
    ) {
        let last_event = self.last_event();
        let source = Some((source.address, handle));
        let purpose = Purpose::Decode { reservation: None, source, last_event };
        let until = self.generation.call.deadline.instant();
        self.answer = None;
        for (slot, engine) in slots {
            let sent = exchange::send(&self.generation.call, slot, &purpose, until).await;
            self.log_continuation(&engine, &sent, stopped_at);
            match sent {
                Ok(answer) => self.answer = Some(answer),
                Err(failure) if !failure.may_have_run() => continue,
                Err(_) => {}
            }
            break;
        }
        // Without a response, the stream is resumed or cut like one that broke off.
        if self.answer.is_none()
            && let Err(bound) = self.resume("move failed").await
        {
            self.cut(Break::new(Side::Node, "move failed"), bound);
        }
    }

    /// Id of the last event that the caller has, relayed here or in the response that it resumes.
    fn last_event(&self) -> Option<u64> {
        self.events.last_id().or(self.generation.call.metadata.last_event_id)
    }

    /// Resumes the stream at other engines while attempts are left. The error says what prevents it.
    async fn resume(&mut self, why: &str) -> Result<(), &'static str> {
        let last = self.last_event();
        self.events.discard();
        loop {
            if let Some(bound) = self.resume_denied().await {
                return Err(bound);
            }
            // A caller that waits no longer disconnects.
            let until = self.generation.call.deadline.instant();
            let resumed = self.generation.retry_elsewhere(last, until).await;
            self.generation.node.metrics.count_retry(Retry::Resumed);
            let resumed = match resumed {
                Ok(answer) if answer.parts.status.is_success() => {
                    self.log_resume(why, "resumed");
                    self.last_endpoint.clone_from(&answer.endpoint.id);
                    self.answer = Some(answer);
                    return Ok(());
                }
                resumed => resumed,
            };
            self.log_resume(why, "not resumed");
            match resumed {
                Ok(answer) => {
                    answer.record_outcome(Outcome::Error);
                    // The response, and its trial with it, is dropped before the next try.
                }
                Err(None) if self.generation.has_no_version() => {
                    return Err("no engine of its version");
                }
                Err(None) => return Err("no memory elsewhere"),
                Err(Some(failure)) if failure.quarantined() => return Err("quarantined"),
                Err(Some(_)) => {}
            }
        }
    }

    /// Why the stream may not be resumed, if so; otherwise takes a retry from the budget.
    async fn resume_denied(&self) -> Option<&'static str> {
        let Generation { node, call, route, service, .. } = &self.generation;
        if call.remaining().is_zero() {
            return Some("time ran out");
        }
        if route.kind != (Kind::Stream { resumable: true }) {
            return Some("may not be resumed");
        }
        if self.generation.attempts() >= route.max_attempts {
            return Some("no attempt left");
        }
        if !node.take_retry(service).await {
            node.metrics.count_retry(Retry::DeniedBudget);
            return Some("retry budget spent");
        }
        None
    }

    /// Logs what an engine that may continue a stopped run answered.
    fn log_continuation(
        &self,
        engine: &Endpoint,
        sent: &Result<Answer, Failure>,
        stopped_at: Instant,
    ) {
        let Generation { node, call, .. } = &self.generation;
        let (request, to) = (call.metadata.id.as_str(), engine.id.as_str());
        let outcome = match sent {
            Ok(answer) => answer.parts.status.to_string(),
            Err(failure) => failure.to_string(),
        };
        let listed = node.pool().key(engine.tag()).is_some();
        let (after, stopped_ms) =
            (self.last_event().unwrap_or_default(), stopped_at.elapsed().as_millis() as u64);
        info!(request, to, outcome, listed, after, stopped_ms; "{}", event::CONTINUE);
    }

    fn log_resume(&self, why: &str, outcome: &str) {
        let request = self.generation.call.metadata.id.as_str();
        let after = self.last_event().unwrap_or_default();
        info!(request, why, outcome, after; "{}", event::ATTEMPT);
    }
}
