//! Streams of generated tokens: memory reserved, prompt read, tokens generated and relayed.
//!
//! Decode memory runs out first, and a prefill's result lives for half a second. So memory is
//! reserved at a decoding engine before the prompt is read; the engine itself arbitrates between
//! nodes. A stream that breaks off is continued at another engine if its route allows.

use crate::event;
use crate::events::Events;
use crate::exchange::{self, Answer, Call, Failure, Seat};
use crate::meter::{Meter, Retry};
use crate::node::{Node, Reply};
use crate::refusal::{Reason, Refusal};
use bytes::{Bytes, BytesMut};
use crosslane_coordination::pool::{Outcome, Query};
use crosslane_platform::ask::Purpose;
use crosslane_platform::engine::Move;
use crosslane_platform::{answer, engine};
use crosslane_state::endpoint::{Endpoint, Key, Stage};
use crosslane_state::route::{Engine, Kind, Route};
use crosslane_transport::http::BodyError;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::{Response, StatusCode};
use log::{debug, info};
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout_at};

/// Share of the target that a request may wait for memory. A caller refused within a quarter of the
/// target loses little when it comes back, and a shorter queue leaves more answers on time: at
/// 0.72 both sites scored 0.02 to 0.04 less.
const WAIT_SHARE: f64 = 0.24;

/// Pause before memory is asked for again: about the time in which one of the sites' engines ends
/// a draft at full load.
const PAUSE_MILLIS: std::ops::Range<u64> = 50..90;

/// Engines asked for memory before a pause: some may have crashed, and a refusal costs one short
/// call.
const ASKED: usize = 4;

/// Share of an engine's memory above which it is believed to be full and not asked.
const FULL: f64 = 1.0;

/// Time for the answer to a reservation, which usually takes 5 ms. One silent engine must leave time
/// to ask another within `WAIT_SHARE`.
const HOLD_ANSWER: Duration = Duration::from_millis(90);

/// Time for the answer to a release.
const RELEASE_ANSWER: Duration = Duration::from_millis(800);

/// Time for a prefill, queueing included: the longest prompts take some 200 ms. After it the
/// decoding engine reads the prompt itself, while its reservation still lasts.
const PREFILL_LIMIT: Duration = Duration::from_millis(1_000);

/// Prompt tokens at a prefilling engine that count as full: what the sites' engines read in 0.6 s,
/// after which a first event would be late.
const PREFILL_BACKLOG: u64 = 33_000;

/// Longest answer to a prefill, in bytes.
const PREFILL_BYTES: usize = 16_384;

/// Share of the most tokens that are expected where the caller gives no estimate.
const USUAL_SHARE: f64 = 0.5;

/// Time for an answer's head from an engine that holds the memory; it usually takes 50 ms.
const HEAD_LIMIT: Duration = Duration::from_millis(1_200);

/// Silence, as a multiple of the longest pause on time, after which an engine counts as stalled.
const STALL: u64 = 5;

/// Time after an engine's announcement that it leaves before its runs are moved: short ones end by
/// themselves, and it serves for 2 s at least.
const MOVE_AFTER: Duration = Duration::from_millis(1_000);

/// Pause before a move is tried again, when other engines have no room.
const MOVE_PAUSE: Duration = Duration::from_millis(300);

/// Moves tried for a run: those that fit into the time for which a leaving engine serves.
const MOVES: u32 = 4;

/// Time for a move: 100 MB over the engines' links take some 10 ms, behind other moves.
const MOVE_ANSWER: Duration = Duration::from_millis(600);

/// When a refused caller should come back, in milliseconds: drafts last some 3 s, and bursts are
/// over within seconds. Spread, so that the refused don't come back at once.
const COME_BACK_MILLIS: std::ops::Range<u64> = 2_000..4_400;

/// A stream on its way.
pub struct Run {
    node: Arc<Node>,
    call: Call,
    route: Route,
    service: String,
    engine: Engine,
    /// Endpoints to which the request was sent.
    sent: u32,
}

/// Memory reserved at a decoding engine; released when dropped before its use.
struct Hold {
    node: Arc<Node>,
    engine: Endpoint,
    key: Key,
    id: Option<String>,
    seat: Option<Seat>,
}

impl Drop for Hold {
    fn drop(&mut self) {
        if let Some(id) = self.id.take() {
            release(&self.node, &self.engine, engine::drop_hold(&self.engine, &id));
        }
    }
}

/// KV cache kept at a prefilling engine; freed when dropped before its use.
struct Handle {
    node: Arc<Node>,
    engine: Endpoint,
    id: Option<String>,
}

impl Drop for Handle {
    fn drop(&mut self) {
        if let Some(id) = self.id.take() {
            release(&self.node, &self.engine, engine::drop_handle(&self.engine, &id));
        }
    }
}

/// Makes a call that gives something back; what is lost lapses at the engine by itself.
fn release(
    node: &Arc<Node>,
    engine: &Endpoint,
    request: crosslane_transport::connection::Outgoing,
) {
    let control = node.control.clone();
    let to = engine.address;
    tokio::spawn(async move {
        if let Err(error) = control.call(to, request, RELEASE_ANSWER).await {
            debug!("release at {to}: {error}");
        }
    });
}

impl Run {
    /// A stream for a service's engines.
    pub fn new(node: Arc<Node>, route: Route, service: String, engine: Engine, call: Call) -> Self {
        Self { node, call, route, service, engine, sent: 0 }
    }

    /// Carries the request to engines and returns the stream.
    pub async fn start(mut self) -> Result<Response<Reply>, Refusal> {
        let patience = Duration::from_millis((self.route.target as f64 * WAIT_SHARE) as u64);
        let until = self.call.deadline.min(self.call.arrived + patience);
        let mut hold = self.reserve(until).await?;
        Meter::time(&self.node.meter.wait, self.call.arrived.elapsed());
        let mut handle = self.prefill().await;
        if handle.is_none() && !self.node.take_repeat(&self.service) {
            // The engine that was to read the prompt had an attempt; the next one is a repeat.
            self.node.meter.retried(Retry::DeniedBudget);
            return Err(come_back(Reason::Refused));
        }
        if !self.node.pool().usable(hold.key) {
            // It announced that it leaves while the prompt was read.
            hold = self.reserve(self.call.deadline.min(Instant::now() + patience)).await?;
        }
        let answer = self.decode(&mut hold, handle.as_mut(), self.call.ask.last_event).await;
        let answer = match answer {
            Ok(answer) => answer,
            Err(failure) => self.again(failure).await?,
        };
        Meter::time(&self.node.meter.first, self.call.arrived.elapsed());
        Ok(self.relay(answer))
    }

    /// Tokens of KV cache that the request is expected to need.
    fn tokens(&self) -> u32 {
        let ask = &self.call.ask;
        let usual = (f64::from(ask.most) * USUAL_SHARE) as u32;
        ask.prompt + ask.hint.unwrap_or(usual).min(ask.most)
    }

    /// Reserves memory at a decoding engine.
    async fn reserve(&self, until: Instant) -> Result<Hold, Refusal> {
        let mut rounds = 0_u32;
        loop {
            let bound = match self.round().await {
                Ok(hold) => return Ok(hold),
                Err(bound) => bound,
            };
            rounds += 1;
            let pause = Duration::from_millis(rand::rng().random_range(PAUSE_MILLIS));
            if Instant::now() + pause >= until {
                self.no_room(bound, rounds);
                return Err(come_back(Reason::NoRoom));
            }
            sleep(pause).await;
        }
    }

    /// Asks the best engines for memory once, or says what is short.
    async fn round(&self) -> Result<Hold, &'static str> {
        let tokens = self.tokens();
        let mut tried = Vec::new();
        while tried.len() < ASKED {
            if !self.prefill_free() {
                return Err("prefill");
            }
            let (key, load) = self.choose(Stage::Decode, &tried).ok_or("engines")?;
            if load > FULL {
                return Err("memory");
            }
            match self.hold((key, load), tokens).await {
                Some(hold) => return Ok(hold),
                None => tried.push(key),
            }
        }
        Err("reservations")
    }

    fn no_room(&self, bound: &'static str, rounds: u32) {
        let tokens = self.tokens();
        let occupancy = self.node.pool().occupancy(&self.service, self.engine.capacity);
        let request = self.call.ask.id.as_str();
        let outcome = "no_room";
        info!(request, tokens, rounds, bound, occupancy, outcome; "{}", event::RESERVE);
    }

    /// Whether a prompt would be read soon; true where no engine prefills.
    fn prefill_free(&self) -> bool {
        self.choose(Stage::Prefill, &[]).is_none_or(|(_, score)| score < FULL)
    }

    fn choose(&self, stage: Stage, except: &[Key]) -> Option<(Key, f64)> {
        let capacity = match stage {
            Stage::Prefill => PREFILL_BACKLOG,
            Stage::Decode | Stage::Plain => self.engine.capacity,
        };
        let query = Query { service: &self.service, stage, capacity, except };
        self.node.pool().choose(query, self.node.now())
    }

    async fn hold(&self, place: (Key, f64), tokens: u32) -> Option<Hold> {
        let key = place.0;
        let engine = self.node.pool().get(key).cloned()?;
        let seat = Seat::take(&self.node, place, tokens);
        let request = engine::take_hold(&engine, tokens, self.engine.hold_limit);
        let answer = self.node.control.call(engine.address, request, HOLD_ANSWER).await;
        let id = match &answer {
            Ok(answer) if answer.status.is_success() => engine::hold(&answer.body),
            Ok(answer) => {
                debug!("reservation at {}: {}", engine.id, answer.status);
                let full = answer.status == StatusCode::SERVICE_UNAVAILABLE;
                seat.note(if full { Outcome::Refused } else { Outcome::Down });
                None
            }
            Err(error) => {
                debug!("reservation at {}: {error}", engine.id);
                seat.note(exchange::outcome(error));
                None
            }
        };
        let id = id?;
        Some(Hold { node: self.node.clone(), engine, key, id: Some(id), seat: Some(seat) })
    }

    /// Has the prompt read. Nothing is returned if that failed and the decoding engine is to read
    /// it itself.
    async fn prefill(&self) -> Option<Handle> {
        let place = self.choose(Stage::Prefill, &[])?;
        let began = Instant::now();
        let seat = Seat::take(&self.node, place, self.call.ask.prompt);
        let until = self.call.deadline.min(began + PREFILL_LIMIT);
        let answer = exchange::send(&self.call, seat, &Purpose::Prefill, until).await.ok()?;
        let engine = answer.endpoint.clone();
        let (_, body) = answer.read(PREFILL_BYTES, until).await.ok()?;
        let id = engine::handle(&body)?;
        Meter::time(&self.node.meter.prefill, began.elapsed());
        Some(Handle { node: self.node.clone(), engine, id: Some(id) })
    }

    /// Sends the request to the engine that holds its memory.
    async fn decode(
        &mut self,
        hold: &mut Hold,
        mut handle: Option<&mut Handle>,
        last_event: Option<u64>,
    ) -> Result<Answer, Failure> {
        let Some(seat) = hold.seat.take() else {
            return Err(Failure::Unsent);
        };
        let source = handle.as_deref().and_then(|it| Some((it.engine.address, it.id.as_deref()?)));
        let purpose = Purpose::Decode { hold: hold.id.as_deref(), source, last_event };
        let until = self.head_by();
        let answer = exchange::send(&self.call, seat, &purpose, until).await;
        self.sent += u32::from(!matches!(answer, Err(Failure::Unsent)));
        if answer.is_ok() {
            hold.id = None;
            if let Some(handle) = &mut handle {
                handle.id = None;
            }
        }
        answer
    }

    /// When an answer must have begun: a stream that may be resumed is tried elsewhere after a
    /// silence.
    fn head_by(&self) -> Instant {
        let resumable = self.route.kind == Kind::Stream { resumable: true };
        if !resumable || self.sent + 1 >= self.route.attempts {
            return self.call.deadline;
        }
        self.call.deadline.min(Instant::now() + HEAD_LIMIT)
    }

    /// Tries once more after an attempt that has no answer, where that is allowed.
    async fn again(&mut self, failure: Failure) -> Result<Answer, Refusal> {
        let kind = self.route.kind;
        if failure.may_have_run() && !kind.idempotent() {
            return Err(given_up(failure));
        }
        let mut failure = failure;
        while self.sent < self.route.attempts.max(1) {
            if self.sent > 0 && !self.node.take_repeat(&self.service) {
                self.node.meter.retried(Retry::DeniedBudget);
                break;
            }
            self.node.meter.retried(retry(failure));
            match self.elsewhere(self.call.ask.last_event).await {
                Ok(answer) => return Ok(answer),
                Err(None) => break,
                Err(Some(next)) if next.may_have_run() && !kind.idempotent() => {
                    return Err(given_up(next));
                }
                Err(Some(next)) => failure = next,
            }
        }
        Err(given_up(failure))
    }

    /// Runs the request at an engine that reads the prompt itself, after an event.
    async fn elsewhere(&mut self, last_event: Option<u64>) -> Result<Answer, Option<Failure>> {
        let patience = Duration::from_millis(self.route.target);
        let until = self.call.deadline.min(Instant::now() + patience);
        let mut hold = self.reserve(until).await.map_err(|_| None)?;
        self.decode(&mut hold, None, last_event).await.map_err(Some)
    }

    fn relay(self, answer: Answer) -> Response<Reply> {
        let status = answer.parts.status;
        let headers = answer::headers(&answer.parts.headers);
        let relay = Relay {
            run: self,
            answer: Some(answer),
            events: Events::default(),
            move_at: None,
            moves: MOVES,
            broken: None,
        };
        let frames = futures::stream::unfold(relay, Relay::next);
        let mut response = Response::new(BoxBody::new(StreamBody::new(frames)));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }
}

/// Passes events on.
struct Relay {
    run: Run,
    answer: Option<Answer>,
    events: Events,
    /// When the run is to be moved away from an engine that leaves.
    move_at: Option<Instant>,
    /// Moves that may still be tried.
    moves: u32,
    /// Why the stream is to be cut.
    broken: Option<&'static str>,
}

/// What came of a stream.
enum Piece {
    Data(Bytes),
    End,
    Broken(&'static str),
}

type Item = (Result<Frame<Bytes>, BodyError>, Relay);

impl Relay {
    async fn next(mut self) -> Option<Item> {
        loop {
            if let Some(why) = self.broken.take() {
                return Some((Err(why.into()), self));
            }
            // Only after the error that cut it is a stream without an answer.
            self.answer.as_ref()?;
            if self.must_move() {
                match self.hand_over().await {
                    Some(whole) => return Some((Ok(Frame::data(whole)), self)),
                    None => continue,
                }
            }
            match self.piece().await {
                Piece::Data(bytes) => {
                    if let Some(whole) = self.events.push(&bytes) {
                        return Some((Ok(Frame::data(whole)), self));
                    }
                }
                Piece::End => {
                    self.note(Outcome::Good);
                    return None;
                }
                Piece::Broken(why) => {
                    self.note(Outcome::Failed);
                    self.answer = None;
                    if !self.resume(why).await {
                        return Some((Err(why.into()), self));
                    }
                }
            }
        }
    }

    fn note(&self, outcome: Outcome) {
        if let Some(answer) = &self.answer {
            answer.note(outcome);
        }
    }

    async fn piece(&mut self) -> Piece {
        let Some(answer) = &mut self.answer else {
            return Piece::Broken("no engine");
        };
        let began = Instant::now();
        let stall = Duration::from_millis(self.run.route.gap * STALL);
        let until = self.run.call.deadline.min(began + stall);
        let frame = timeout_at(until, answer.body.frame()).await;
        Meter::time(&self.run.node.meter.gap, began.elapsed());
        match frame {
            Ok(Some(Ok(frame))) => Piece::Data(frame.into_data().unwrap_or_default()),
            Ok(Some(Err(_))) => Piece::Broken("engine broke off"),
            Ok(None) if self.events.partial() => Piece::Broken("engine ended within an event"),
            Ok(None) => Piece::End,
            Err(_) if self.run.call.left().is_zero() => Piece::Broken("time ran out"),
            Err(_) => Piece::Broken("engine stalled"),
        }
    }

    /// Whether the engine has been leaving for so long that the run is to go on elsewhere.
    fn must_move(&mut self) -> bool {
        let Some(key) = self.answer.as_ref().map(Answer::key) else {
            return false;
        };
        if self.moves == 0 || self.run.node.pool().usable(key) {
            return false;
        }
        let now = Instant::now();
        now >= *self.move_at.get_or_insert(now + MOVE_AFTER)
    }

    /// Moves the run with its memory to another engine. Returns events that came meanwhile.
    async fn hand_over(&mut self) -> Option<Bytes> {
        self.moves -= 1;
        self.move_at = Some(Instant::now() + MOVE_PAUSE);
        let (source, key) = self.answer.as_ref().map(|it| (it.endpoint.clone(), it.key()))?;
        let place = self.run.choose(Stage::Decode, &[key]).filter(|it| it.1 < FULL)?;
        let target = self.run.node.pool().get(place.0).cloned()?;
        if !self.run.node.take_repeat(&self.run.service) {
            return None;
        }
        let request = engine::move_run(&source, &self.run.call.ask.id, target.address);
        let control = self.run.node.control.clone();
        let answer = control.call(source.address, request, MOVE_ANSWER).await;
        let outcome = match &answer {
            Ok(answer) => engine::moved(answer.status, &answer.body),
            Err(_) => Move::Refused,
        };
        self.told_move(&source, &target, &outcome);
        let (handle, place) = match outcome {
            Move::Copied { handle } => (handle, place),
            Move::Stopped { handle } => (handle, (key, 0.0)),
            Move::Ended | Move::Refused => return None,
        };
        self.move_at = None;
        let rest = self.drain().await;
        self.go_on(&source, &handle, place).await;
        rest
    }

    fn told_move(&self, from: &Endpoint, to: &Endpoint, outcome: &Move) {
        let (request, from, to) = (self.run.call.ask.id.as_str(), from.id.as_str(), to.id.as_str());
        info!(request, from, to, outcome:? = outcome; "{}", event::MOVE);
    }

    /// Reads what a stopped run had still sent.
    async fn drain(&mut self) -> Option<Bytes> {
        let answer = self.answer.as_mut()?;
        let until = Instant::now() + MOVE_ANSWER;
        let mut rest = BytesMut::new();
        while let Ok(Some(Ok(frame))) = timeout_at(until, answer.body.frame()).await {
            let bytes = frame.into_data().unwrap_or_default();
            rest.extend(self.events.push(&bytes).into_iter().flatten());
        }
        self.events.discard();
        (!rest.is_empty()).then(|| rest.freeze())
    }

    /// Lets a stopped run go on from its memory.
    async fn go_on(&mut self, source: &Endpoint, handle: &str, place: (Key, f64)) {
        let last_event = self.last_event();
        let source = Some((source.address, handle));
        let purpose = Purpose::Decode { hold: None, source, last_event };
        let seat = Seat::take(&self.run.node, place, self.run.tokens());
        let until = self.run.call.deadline;
        // Without an answer the stream is continued or cut as one that broke off.
        self.answer = exchange::send(&self.run.call, seat, &purpose, until).await.ok();
        if self.answer.is_none() && !self.resume("move failed").await {
            self.broken = Some("move failed");
        }
    }

    /// The last event passed on, here or before the caller took the stream up again.
    fn last_event(&self) -> Option<u64> {
        self.events.last_id().or(self.run.call.ask.last_event)
    }

    /// Continues the stream at another engine; false if that may not or could not be done.
    async fn resume(&mut self, why: &str) -> bool {
        let last = self.last_event();
        let resumable = self.run.route.kind == Kind::Stream { resumable: true };
        let request = self.run.call.ask.id.clone();
        let left = self.run.call.left();
        let allowed = resumable && !left.is_zero() && self.run.sent < self.run.route.attempts;
        if !allowed || !self.run.node.take_repeat(&self.run.service) {
            info!(request, why, outcome = "cut", after = last.unwrap_or_default(); "{}", event::ATTEMPT);
            return false;
        }
        self.events.discard();
        let resumed = self.run.elsewhere(last).await;
        let outcome = if resumed.is_ok() { "resumed" } else { "not resumed" };
        info!(request, why, outcome, after = last.unwrap_or_default(); "{}", event::ATTEMPT);
        self.run.node.meter.retried(Retry::Resumed);
        self.answer = resumed.ok().filter(|it| it.parts.status.is_success());
        self.answer.is_some()
    }
}

fn come_back(reason: Reason) -> Refusal {
    let wait = rand::rng().random_range(COME_BACK_MILLIS);
    Refusal::later(reason, Duration::from_millis(wait))
}

fn given_up(failure: Failure) -> Refusal {
    match failure {
        Failure::Broken => Reason::Broken.into(),
        Failure::Timeout => Reason::Timeout.into(),
        Failure::Unsent => come_back(Reason::NoEndpoint),
        Failure::Refused => come_back(Reason::Refused),
    }
}

fn retry(failure: Failure) -> Retry {
    match failure {
        Failure::Unsent => Retry::Unreachable,
        Failure::Refused => Retry::Refused,
        Failure::Broken | Failure::Timeout => Retry::Broken,
    }
}
