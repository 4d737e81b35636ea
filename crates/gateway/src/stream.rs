//! Streams of generated tokens: memory reserved, prompt read, tokens generated and relayed.
//!
//! Decode memory runs out first, and a prefill's result lives for half a second. So memory is
//! reserved at a decoding engine before the prompt is read; the engine itself arbitrates between
//! nodes. A stream that breaks off is continued at another engine if its route allows.

use crate::event;
use crate::exchange::{self, Answer, Call, Failure, Seat};
use crate::hold::{Handle, Hold};
use crate::meter::{Meter, Retry};
use crate::node::{Node, Reply};
use crate::plain;
use crate::refusal::{Reason, Refusal};
use crate::relay::Relay;
use crosslane_coordination::health::Outcome;
use crosslane_coordination::pool::Query;
use crosslane_platform::ask::Purpose;
use crosslane_platform::{answer, engine};
use crosslane_state::endpoint::{Key, Stage};
use crosslane_state::route::{Engine, Kind, Route};
use hyper::{Response, StatusCode};
use log::{debug, info};
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

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
pub const FULL: f64 = 1.0;

/// Time for the answer to a reservation, which usually takes 5 ms. One silent engine must leave time
/// to ask another within `WAIT_SHARE`.
const HOLD_ANSWER: Duration = Duration::from_millis(90);

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

/// When a refused caller should come back, in milliseconds: drafts last some 3 s, and bursts are
/// over within seconds. Spread, so that the refused don't come back at once.
const COME_BACK_MILLIS: std::ops::Range<u64> = 2_000..4_400;

/// A stream on its way.
pub struct Run {
    /// Node.
    pub node: Arc<Node>,
    /// Request.
    pub call: Call,
    /// Route it came by.
    pub route: Route,
    /// Service it falls to.
    pub service: String,
    engine: Engine,
    /// Endpoints to which the request was sent.
    pub sent: u32,
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
        let stream = self.without_error(answer).await;
        Meter::time(&self.node.meter.first, self.call.arrived.elapsed());
        Ok(match stream {
            Ok(answer) => self.relay(answer),
            Err(error) => plain::relay(error, &self.call),
        })
    }

    /// An engine's answer that is an error is no stream: another one's in its place if the request
    /// may run again, or else the error.
    async fn without_error(&mut self, answer: Answer) -> Result<Answer, Answer> {
        if answer.parts.status.is_success() {
            return Ok(answer);
        }
        answer.note(Outcome::Error);
        if !self.route.kind.idempotent() {
            return Err(answer);
        }
        match self.again(Failure::Broken).await {
            Ok(other) if other.parts.status.is_success() => Ok(other),
            Ok(_) | Err(_) => Err(answer),
        }
    }

    /// Tokens of KV cache that the request is expected to need.
    pub fn tokens(&self) -> u32 {
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

    /// The best engine of a stage, and its load.
    pub fn choose(&self, stage: Stage, except: &[Key]) -> Option<(Key, f64)> {
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
        Some(Hold::new(&self.node, engine, id, seat))
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
        answer.note(Outcome::Good);
        let (_, body) = answer.read(PREFILL_BYTES, until).await.ok()?;
        let id = engine::handle(&body)?;
        Meter::time(&self.node.meter.prefill, began.elapsed());
        Some(Handle::new(&self.node, engine, id))
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
        let source = handle.as_deref().and_then(Handle::source);
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
            self.node.meter.retried(failure.into());
            match self.elsewhere(self.call.ask.last_event).await {
                Ok(answer) => return Ok(answer),
                Err(None) => break,
                Err(Some(next)) if next.may_have_run() && !kind.idempotent() => {
                    return Err(given_up(next));
                }
                // A later refusal does not make the request one that has not run.
                Err(Some(next)) if next.may_have_run() || !failure.may_have_run() => failure = next,
                Err(Some(_)) => {}
            }
        }
        Err(given_up(failure))
    }

    /// Runs the request at an engine that reads the prompt itself, after an event.
    pub async fn elsewhere(&mut self, last_event: Option<u64>) -> Result<Answer, Option<Failure>> {
        let patience = Duration::from_millis(self.route.target);
        let until = self.call.deadline.min(Instant::now() + patience);
        let mut hold = self.reserve(until).await.map_err(|_| None)?;
        self.decode(&mut hold, None, last_event).await.map_err(Some)
    }

    fn relay(self, answer: Answer) -> Response<Reply> {
        let status = answer.parts.status;
        let headers = answer::headers(&answer.parts.headers);
        let mut response = Response::new(Relay::new(self, answer).body());
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }
}

fn come_back(reason: Reason) -> Refusal {
    let wait = rand::rng().random_range(COME_BACK_MILLIS);
    Refusal::later(reason, Duration::from_millis(wait))
}

/// Says when to come back if the request has not run.
fn given_up(failure: Failure) -> Refusal {
    let reason = Reason::from(failure);
    if failure.may_have_run() { reason.into() } else { come_back(reason) }
}
