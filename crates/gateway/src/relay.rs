//! Relays a stream of events to the caller while its run moves between engines.
//!
//! Only whole events are relayed. If an engine is leaving, its run is moved to another engine together with its KV cache.
//! If a run breaks off, the stream is resumed at another engine if its route allows, and is cut otherwise.

use crate::backlog::{self, Receiver, Sender};
use crate::cut::{Cut, Side};
use crate::event;
use crate::exchange::Answer;
use crate::liveness::Liveness;
use crate::metrics::{Metrics, Retry};
use crate::migration::{Known, Move, Stopped};
use crate::node::ResponseBody;
use crate::quarantine;
use crate::resume;
use crate::sse::{self, Splitter};
use crate::stream::{Generation, Watched};
use bytes::Bytes;
use crosslane_coordination::health::Outcome;
use crosslane_coordination::speed::Sample;
use crosslane_coordination::stop::{self, Completeness, End};
use crosslane_state::endpoint::Key;
use crosslane_state::route::Kind;
use crosslane_transport::connection::{self, Closer};
use crosslane_transport::http::BodyError;
use http_body_util::StreamBody;
use http_body_util::combinators::BoxBody;
use hyper::body::Frame;
use log::info;
use std::pin::pin;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tokio_util::task::AbortOnDropHandle;

/// Time from an engine's announced departure until its runs are moved: short runs end by themselves, and the engine
/// goes on serving for at least 2 s.
const MOVE_DELAY: Duration = Duration::from_millis(1_000);

/// Interval between attempts to move a run, when other engines have no room.
const MOVE_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Attempts to move a run away from an engine: as many as fit into the time for which a leaving engine serves.
const MAX_MOVES: u32 = 4;

/// Time in which an event is usually passed on. If the next one is awaited later, the time between them is that of the caller.
const MAX_UNWATCHED: Duration = Duration::from_millis(5);

/// One part in this many of the time for which the KV cache of a stopped run is kept may go into reading what it had sent.
const DRAIN_DIVISOR: u64 = 4;

/// What keeps a stream from being resumed for a while only.
const BUDGET_SPENT: &str = "retry budget spent";
const NO_MEMORY: &str = "no memory elsewhere";
const QUARANTINED: &str = "quarantined";
const TEMPORARY_BOUNDS: [&str; 3] = [BUDGET_SPENT, NO_MEMORY, QUARANTINED];

/// Relays the events of one stream.
pub struct Relay {
    generation: Generation,
    answer: Option<Answer>,
    events: Splitter,
    /// When to move the run away from a leaving engine.
    move_at: Option<Instant>,
    /// Remaining attempts to move the run.
    moves_left: u32,
    /// Whether the current run was stopped.
    known: Known,
    /// Engines that did not continue the run when it was moved to them.
    failed_targets: Vec<Key>,
    /// Endpoint of the last attempt.
    last_endpoint: String,
    /// Error with which to cut the stream.
    broken: Option<Break>,
    /// Whether the stream is bound to a build and other nodes were told.
    begun: bool,
    /// When the last event of the current run arrived.
    last_event_at: Option<Instant>,
    /// When the relay began to wait for the current chunk.
    waited_since: Instant,
    /// Whether events may still be read that arrived while the relay was not waiting.
    catches_up: bool,
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

type Item = Result<Frame<Bytes>, BodyError>;

/// What a relay does next.
enum Next {
    Item(Item, Relay),
    Move(Relay),
    End,
}

/// A stream to the caller. A move goes on whether or not the caller reads, since a stopped run is kept only briefly. What the engine
/// sends meanwhile is read no faster than the caller reads, apart from a backlog of a fixed size.
enum State {
    Relaying(Box<Relay>),
    Moving {
        task: AbortOnDropHandle<Relay>,
        events: Receiver,
    },
    /// The task of a move panicked.
    Cut,
}

impl State {
    async fn next(mut self) -> Option<(Item, Self)> {
        loop {
            self = match self {
                Self::Relaying(relay) => match relay.next().await {
                    Next::Item(item, relay) => {
                        return Some((item, Self::Relaying(Box::new(relay))));
                    }
                    Next::Move(relay) => Self::begin_move(relay),
                    Next::End => return None,
                },
                Self::Cut => return None,
                Self::Moving { task, mut events } => match events.recv().await {
                    Some(whole) => {
                        return Some((Ok(Frame::data(whole)), Self::Moving { task, events }));
                    }
                    // The task dropped its sender, so it ends at once.
                    None => match task.await {
                        Ok(relay) => Self::Relaying(Box::new(relay)),
                        Err(error) => return Some((Err(error.into()), Self::Cut)),
                    },
                },
            }
        }
    }

    fn begin_move(mut relay: Relay) -> Self {
        let (sender, events) = backlog::channel();
        let task = AbortOnDropHandle::new(tokio::spawn(async move {
            relay.move_run(&sender).await;
            relay
        }));
        Self::Moving { task, events }
    }
}

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
            known: Known::default(),
            failed_targets: Vec::new(),
            broken: None,
            begun: false,
            last_event_at: None,
            waited_since: Instant::now(),
            catches_up: false,
        }
    }

    /// Response body for the caller.
    pub fn body(self) -> ResponseBody {
        let relaying = State::Relaying(Box::new(self));
        BoxBody::new(StreamBody::new(futures::stream::unfold(relaying, State::next)))
    }

    async fn next(mut self) -> Next {
        loop {
            if let Some(broken) = self.broken.take() {
                return Next::Item(Err(broken.why.into()), self);
            }
            // A stream has no response once it was completed or cut.
            if self.answer.is_none() {
                return Next::End;
            }
            if self.must_move() {
                return Next::Move(self);
            }
            match self.next_chunk().await {
                Chunk::Data(bytes) => {
                    if let Some(events) = self.events.push(&bytes) {
                        self.begin();
                        self.observe(&events);
                        self.answer.iter_mut().for_each(Answer::record_progress);
                        return Next::Item(Ok(Frame::data(events)), self);
                    }
                }
                Chunk::End => self.end().await,
                Chunk::Replaced(answer) => self.replace_answer(*answer).await,
                Chunk::Broken(broken) => self.break_off(broken).await,
            }
        }
    }

    /// Records the time since the previous event of the run. It says nothing about the engine if the relay was not waiting
    /// meanwhile, since the caller had not read the previous event.
    fn observe(&mut self, events: &Bytes) {
        let Some(answer) = &self.answer else { return };
        let now = Instant::now();
        let previous = self.last_event_at.replace(now);
        let unwatched = previous
            .is_some_and(|at| self.waited_since.saturating_duration_since(at) >= MAX_UNWATCHED);
        if unwatched || self.catches_up {
            // Events that arrived meanwhile are read without a wait; the time after the first one that is waited for counts again.
            self.catches_up = now.saturating_duration_since(self.waited_since) < MAX_UNWATCHED;
            return;
        }
        if let Some(previous) = previous {
            let took_ms = (now - previous).as_secs_f64() * 1e3;
            let units = sse::count(events) as f64;
            answer.observe_run(|load| Sample { load, units, took_ms });
        }
    }

    /// Ends the stream if the response that ended is whole, and resumes it otherwise.
    async fn end(&mut self) {
        let end = self.response_end();
        let completeness = self.known.get().completeness(end);
        if end != End::Framed {
            self.log_close(completeness);
        }
        match completeness {
            Completeness::Whole => self.complete(),
            Completeness::UnlessCrashed => match self.engine_liveness().await {
                Liveness::Alive => self.complete(),
                // A part must not look whole.
                Liveness::Gone | Liveness::Unknown => {
                    self.fail(Break::new(Side::Endpoint, "crashed at an end without length")).await;
                }
            },
            Completeness::Unknown => self.fail_stopped("ended").await,
        }
    }

    /// How the response ended.
    fn response_end(&self) -> End {
        let is_framed = self.answer.as_ref().is_some_and(Answer::is_framed);
        if is_framed { End::Framed } else { End::Closed }
    }

    async fn engine_liveness(&self) -> Liveness {
        match &self.answer {
            Some(answer) => answer.liveness(self.stop_patience()).await,
            None => Liveness::Unknown,
        }
    }

    /// Resumes the stream after its response broke off.
    async fn break_off(&mut self, broken: Break) {
        match self.known.get() {
            stop::Run::Unstopped => self.fail(broken).await,
            stop::Run::Unknown | stop::Run::Stopped => self.fail_stopped(&broken.why).await,
        }
    }

    /// Resumes the stream after the end of a run that this node may have stopped.
    async fn fail_stopped(&mut self, why: &str) {
        self.drop_broken().await;
        self.resume_stopped(Break::new(Side::Node, format!("told to stop: {why}"))).await;
    }

    /// Ends the stream with the whole response.
    fn complete(&mut self) {
        self.record_outcome(Outcome::Good);
        if let Some(mut answer) = self.answer.take() {
            answer.complete();
        }
    }

    /// Resumes the stream after its engine broke it off, or marks it to be cut.
    async fn fail(&mut self, broken: Break) {
        self.record_outcome(Outcome::Failed);
        self.fail_over(broken).await;
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
        let silent = self.answer.take();
        self.run_at(answer);
        if let Some(silent) = silent {
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
        if self.events.is_too_long() {
            return Chunk::Broken(Break::new(Side::Endpoint, "an event without end"));
        }
        let last_event = self.events.last_id().or(self.generation.call.metadata.last_event_id);
        let (at, started_at) = (answer.key(), Instant::now());
        self.waited_since = started_at;
        let until = self.generation.call.deadline.instant();
        let frame = answer.frame(until);
        let broke = |frame: &Result<Option<Result<_, _>>, _>| matches!(frame, Ok(Some(Err(_))));
        let watched = Watched { engines: &[at], is_first: true };
        let frame = self.generation.unless_stalled(watched, last_event, frame, broke).await;
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

    /// Reads on once the caller has taken enough of what waits for it.
    async fn next_chunk_with_room(&mut self, events: &Sender) -> Chunk {
        events.has_room().await;
        self.next_chunk().await
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

    /// Moves the run with its KV cache to another engine. Events that arrive meanwhile are passed on.
    async fn move_run(&mut self, events: &Sender) {
        self.moves_left -= 1;
        self.move_at = Some(Instant::now() + MOVE_RETRY_INTERVAL);
        self.begin();
        let planned = self.answer.as_ref().and_then(|answer| {
            let (source, key, known) = (&answer.endpoint, answer.key(), self.known.clone());
            Move::plan(&self.generation, source, key, &self.failed_targets, known)
        });
        let Some(planned) = planned else {
            return;
        };
        let mut stopping = pin!(planned.stop());
        let last = loop {
            tokio::select! {
                biased;
                stopped = stopping.as_mut() => {
                    if let Some(stopped) = stopped {
                        self.drain(events).await;
                        self.continue_run(stopped).await;
                    }
                    return;
                }
                chunk = self.next_chunk_with_room(events) => match chunk {
                    Chunk::Data(bytes) => self.pass_on(&bytes, events),
                    Chunk::Replaced(answer) => return self.replace_answer(*answer).await,
                    Chunk::End | Chunk::Broken(_) => break chunk,
                },
            }
        };
        // The engine closes the response of a run that it stops, before it answers the call.
        let is_whole = matches!(last, Chunk::End) && self.response_end() == End::Framed;
        if !is_whole
            && self.known.get() == stop::Run::Unknown
            && let Ok(Some(stopped)) = timeout(self.stop_patience(), stopping).await
        {
            return self.continue_run(stopped).await;
        }
        match last {
            Chunk::Broken(broken) => self.break_off(broken).await,
            _ => self.end().await,
        }
    }

    /// Time to wait for the response to a call that may have stopped the run, once the run has ended: as long as the caller waits,
    /// or half as long if the stream can be resumed without it.
    fn stop_patience(&self) -> Duration {
        let Generation { route, caller, call, .. } = &self.generation;
        let resumable = route.kind == (Kind::Stream { resumable: true });
        let millis = caller.max_silence_ms / if resumable { 2 } else { 1 };
        Duration::from_millis(millis).min(call.remaining())
    }

    /// Passes the whole events of a chunk on.
    fn pass_on(&mut self, bytes: &Bytes, events: &Sender) {
        if let Some(whole) = self.events.push(bytes) {
            self.observe(&whole);
            self.answer.iter_mut().for_each(Answer::record_progress);
            events.send(whole);
        }
    }

    /// Passes on the events that a stopped run had already sent. Those that come too late are generated again.
    async fn drain(&mut self, events: &Sender) {
        let limit = Duration::from_millis(self.generation.engine.handle_ttl_ms / DRAIN_DIVISOR);
        let until = Instant::now() + limit;
        while let Some(answer) = &mut self.answer
            && timeout_at(until, events.has_room()).await.is_ok()
            && let Ok(Some(Ok(frame))) = answer.frame(until).await
        {
            // Its wait for the caller says nothing about the engine.
            self.last_event_at = None;
            self.pass_on(&frame.into_data().unwrap_or_default(), events);
        }
    }

    /// Continues a stopped run from its KV cache.
    async fn continue_run(&mut self, stopped: Stopped) {
        let last_event = self.last_event();
        self.events.discard();
        self.answer = None;
        let (target, holders) = (stopped.target(), stopped.holders());
        let continuing = stopped.resume(&self.generation, last_event);
        let watched = Watched { engines: &holders, is_first: true };
        let continued =
            self.generation.unless_stalled(watched, last_event, continuing, Option::is_none).await;
        match continued {
            Ok(Some(answer)) | Err(answer) => {
                self.failed_targets.extend(target.filter(|key| *key != answer.key()));
                self.run_at(answer);
            }
            Ok(None) => self.resume_stopped(Break::new(Side::Node, "move failed")).await,
        }
    }

    /// Resumes a stream whose stopped run could not be continued, or marks it to be cut. What only stands in the way for a while is
    /// waited for as long as the caller waits: it was this node that stopped the run.
    async fn resume_stopped(&mut self, broken: Break) {
        let patience = Duration::from_millis(self.generation.caller.max_silence_ms);
        let until = self.generation.call.deadline.instant().min(Instant::now() + patience);
        while let Err(bound) = self.resume(&broken.why).await {
            if !TEMPORARY_BOUNDS.contains(&bound) || Instant::now() >= until {
                return self.cut(broken, bound);
            }
            sleep(MOVE_RETRY_INTERVAL).await;
        }
    }

    /// Goes on with the response of an engine. Moves are counted anew at another one.
    fn run_at(&mut self, answer: Answer) {
        if self.last_endpoint == answer.endpoint.id {
            self.move_at = Some(Instant::now() + MOVE_RETRY_INTERVAL);
            self.known = self.known.resumed();
        } else {
            (self.move_at, self.moves_left) = (None, MAX_MOVES);
            self.known = Known::default();
        }
        self.last_endpoint.clone_from(&answer.endpoint.id);
        self.last_event_at = None;
        self.answer = Some(answer);
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
                    self.run_at(answer);
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
                Err(None) => return Err(NO_MEMORY),
                Err(Some(failure)) if failure.quarantined() => return Err(QUARANTINED),
                Err(Some(_)) => {}
            }
        }
    }

    /// Why the stream may not be resumed, if so; otherwise takes a retry from the budget.
    async fn resume_denied(&self) -> Option<&'static str> {
        let Generation { call, route, .. } = &self.generation;
        if call.remaining().is_zero() {
            return Some("time ran out");
        }
        if route.kind != (Kind::Stream { resumable: true }) {
            return Some("may not be resumed");
        }
        if self.generation.attempts() >= route.max_attempts {
            return Some("no attempt left");
        }
        if !self.generation.take_retry().await {
            return Some(BUDGET_SPENT);
        }
        None
    }

    /// Logs that the engine ended its response by closing the connection.
    fn log_close(&self, completeness: Completeness) {
        let request = self.generation.call.metadata.id.as_str();
        let (to, run) = (self.last_endpoint.as_str(), self.known.get());
        let after = self.last_event().unwrap_or_default();
        info!(request, to, run:? = run, completeness:? = completeness, after; "{}", event::CLOSED);
    }

    fn log_resume(&self, why: &str, outcome: &str) {
        let request = self.generation.call.metadata.id.as_str();
        let after = self.last_event().unwrap_or_default();
        info!(request, why, outcome, after; "{}", event::ATTEMPT);
    }
}
