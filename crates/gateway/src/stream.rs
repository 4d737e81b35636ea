//! Streams of generated tokens: memory reserved, prompt read, tokens generated and relayed.
//!
//! Decode memory runs out first, and a prefill's result lives for half a second. So memory is
//! reserved at a decoding engine before the prompt is read; the engine itself arbitrates between
//! nodes. A stream that breaks off is continued at another engine if its route allows.

use crate::cache::{self, Keepers};
use crate::exchange::{self, Answer, Call, Failure, Seat};
use crate::hold::{Handle, Hold};
use crate::meter::{Meter, Retry};
use crate::node::{Node, Reply};
use crate::plain;
use crate::quarantine;
use crate::refusal::{Reason, Refusal};
use crate::relay::Relay;
use crate::stopping;
use crate::watch::{self, Watch};
use crosslane_coordination::admission::{self, Caller, Standing};
use crosslane_coordination::choice::{Query, Room};
use crosslane_coordination::health::Outcome;
use crosslane_coordination::reader::{Kept, Reader};
use crosslane_platform::request::Purpose;
use crosslane_platform::{engine, response};
use crosslane_state::endpoint::{Key, Stage};
use crosslane_state::route::{Engine, Kind, Route};
use hyper::Response;
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time for a prefill, queueing included: the longest prompts take some 200 ms. After it the
/// decoding engine reads the prompt itself, while its reservation still lasts.
const PREFILL_LIMIT: Duration = Duration::from_millis(1_000);

/// Prompt tokens at a prefilling engine that count as full: what the sites' engines read in 0.6 to
/// 1 s, after which a first event would be late.
const PREFILL_BACKLOG: u64 = 33_000;

/// Prefilling engines that are tried where limits have no room; each costs a round trip to the limit's owner.
const PREFILLERS: usize = 4;

/// Longest answer to a prefill, in bytes.
const PREFILL_BYTES: usize = 16_384;

/// Pauses, each as long as the longest on time, after which an engine counts as silent: no stream that it makes
/// is on time any more.
const SILENT: u32 = 5;

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
    /// What the service's engines can do.
    pub engine: Engine,
    /// What admission knows of the caller.
    pub caller: Caller,
    /// Whether the caller can still be answered on time.
    pub standing: Standing,
    /// Endpoints to which the request was sent.
    pub sent: u32,
    /// Prefilling engine that read the prompt, and may still keep it.
    read_at: Option<Key>,
    /// What the next attempt needs: the engine before fell silent.
    spare: Option<Spare>,
}

/// All that an attempt at another engine needs, with its repeat taken from the budget.
#[derive(Debug)]
pub struct Spare {
    hold: Hold,
    /// Its prompt, if that was to be read elsewhere first.
    handle: Option<Handle>,
}

impl Run {
    /// A stream for a service's engines.
    pub fn new(node: Arc<Node>, route: Route, service: String, engine: Engine, call: Call) -> Self {
        let caller = Caller {
            target: route.target_latency_ms,
            silence: route.caller_idle_timeout_ms(),
            spent: call.ask.timeout.map_or(0, |it| node.spent(&route.name, it)),
            resumes: call.ask.last_event_id.is_some(),
        };
        let standing = Standing::from(&caller);
        let (sent, read_at, spare) = (0, None, None);
        Self { node, call, route, service, engine, caller, standing, sent, read_at, spare }
    }

    /// Carries the request to engines and returns the stream.
    pub async fn start(mut self) -> Result<Response<Reply>, Refusal> {
        let patience = Duration::from_millis(self.standing.wait(&self.caller));
        let until = self.call.deadline.instant().min(self.call.arrived + patience);
        let keepers = self.keepers().await;
        let (mut hold, kept) = self.reserve_best(&keepers, until).await?;
        // It may have waited for memory until a stop leaves it too little time to end.
        stopping::check(&self.node, &self.route, &self.service, self.call.left())?;
        Meter::time(&self.node.meter.wait, self.call.arrived.elapsed());
        let mut handle = match self.reader(kept) {
            Reader::Decoding => None,
            Reader::Prefilling => self.first_prefill(keepers.prefilling).await?,
        };
        if !self.node.pool().usable(hold.key) {
            // It announced that it leaves while the prompt was read.
            let until = self.call.deadline.instant().min(Instant::now() + patience);
            hold = self.reserve(until, None).await?;
        }
        let answer = self.decode(&mut hold, handle.as_mut(), self.call.ask.last_event_id).await;
        let answer = match answer {
            Ok(answer) => answer,
            Err(failure) => self.again(failure).await?,
        };
        let stream = self.without_error(answer).await;
        Meter::time(&self.node.meter.first, self.call.arrived.elapsed());
        Ok(match stream {
            Ok(answer) => self.relay(answer),
            Err(error) => plain::relay(&self.node, error, &self.call),
        })
    }

    /// An engine's answer that is an error is no stream: another one's in its place if the request
    /// may run again, or else the error.
    async fn without_error(&mut self, mut answer: Answer) -> Result<Answer, Answer> {
        if answer.parts.status.is_success() {
            return Ok(answer);
        }
        answer.note(Outcome::Error);
        if !self.route.kind.idempotent() {
            return Err(answer);
        }
        answer.rest();
        match self.again(Failure::Broken).await {
            Ok(other) if other.parts.status.is_success() => Ok(other),
            Ok(_) | Err(_) => Err(answer),
        }
    }

    /// Engines that keep the prompt of a caller who takes a stream up again. One that has no part of its
    /// answer was mostly refused before its prompt was read, or only seemed to come back: 537 such questions
    /// in a day's logs of eleven nodes, to 47 engines each, found nothing.
    async fn keepers(&self) -> Keepers {
        match &self.call.ask.last_segment_id {
            Some(part) if self.standing == Standing::Resumed => {
                cache::find(&self.node, &self.service, &self.call.ask.id, part).await
            }
            _ => Keepers::default(),
        }
    }

    /// Reserves memory where the prompt is kept, or else anywhere.
    async fn reserve_best(
        &self,
        keepers: &Keepers,
        until: Instant,
    ) -> Result<(Hold, Kept), Refusal> {
        if let Some(keeper) = keepers.decoding
            && let Some(hold) = self.reserve_at(keeper).await
        {
            return Ok((hold, Kept::Decoding));
        }
        let hold = self.reserve(until, None).await?;
        let kept = keepers.prefilling.map_or(Kept::Nowhere, |_| Kept::Prefilling);
        Ok((hold, kept))
    }

    fn reader(&self, kept: Kept) -> Reader {
        let queue = self.prefiller().map(|(_, load)| load);
        let engines = self.node.pool().prefilling(&self.service);
        Reader::choose(kept, queue, engines)
    }

    /// The prefilling engine with the shortest queue, and its load.
    fn prefiller(&self) -> Option<(Key, f64)> {
        let (service, stage) = (self.service.as_str(), Stage::Prefill);
        let (capacity, connections) = (PREFILL_BACKLOG, self.node.connections(service));
        let query = Query { service, stage, capacity, connections, room: None, except: &[] };
        self.node.pool().choose(query, self.node.now())
    }

    /// The best decoding engine that has room for the request, if its load is not above a share of a full
    /// one, and its load.
    pub fn decoder(&self, below: f64, except: &[Key]) -> Option<(Key, f64)> {
        let room = Some(Room { tokens: self.tokens(), below });
        let (service, capacity) = (self.service.as_str(), self.engine.kv_capacity_tokens);
        let connections = self.node.connections(service);
        let stage = Stage::Decode;
        let query = Query { service, stage, capacity, connections, room, except };
        self.node.pool().choose(query, self.node.now())
    }

    /// Has the prompt read for a first attempt. If that fails, the decoding engine is to read it
    /// itself, as the retry budget allows: the engine that failed had an attempt.
    async fn first_prefill(&mut self, keeper: Option<Key>) -> Result<Option<Handle>, Refusal> {
        let read = self.prefill(keeper).await;
        if read.is_none() && !self.node.take_repeat(&self.service) {
            self.node.meter.retried(Retry::DeniedBudget);
            return Err(come_back(Reason::Refused));
        }
        Ok(read.map(|(at, handle)| {
            self.read_at = Some(at);
            handle
        }))
    }

    /// Has the prompt read at an engine that keeps it, or at the best one whose limit has room.
    async fn prefill(&self, mut keeper: Option<Key>) -> Option<(Key, Handle)> {
        for _ in 0..PREFILLERS {
            let place = match keeper.take() {
                Some(key) => (key, 0.0),
                None => self.prefiller()?,
            };
            match self.prefill_at(place).await {
                Err(Failure::Limited) => {}
                read => return Some((place.0, read.ok()??)),
            }
        }
        None
    }

    async fn prefill_at(&self, place: (Key, f64)) -> Result<Option<Handle>, Failure> {
        let began = Instant::now();
        let seat = Seat::take(&self.node, place, self.call.ask.prompt_tokens);
        let until = self.call.deadline.instant().min(began + PREFILL_LIMIT);
        let answer = exchange::send(&self.call, seat, &Purpose::Prefill, until).await?;
        let engine = answer.endpoint.clone();
        answer.note(Outcome::Good);
        let (_, body) = answer.read(&self.call, PREFILL_BYTES, until).await?;
        let Some(id) = engine::parse_kv_handle(&body) else {
            return Ok(None);
        };
        Meter::time(&self.node.meter.prefill, began.elapsed());
        Ok(Some(Handle::new(&self.node, engine, id)))
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
        let purpose = Purpose::Decode { reservation: hold.id.as_deref(), source, last_event };
        let (at, until) = (seat.key, self.call.deadline.instant());
        let sending = exchange::send(&self.call, seat, &purpose, until);
        let answer = match self.unless_silent(at, self.sent + 1, sending).await {
            Ok(answer) => answer,
            Err(spare) => {
                self.spare = Some(spare);
                Err(Failure::Timeout)
            }
        };
        self.sent += u32::from(answer.as_ref().map_or_else(|it| it.sent(), |_| true));
        if answer.is_ok() {
            hold.id = None;
            if let Some(handle) = &mut handle {
                handle.id = None;
            }
        }
        answer
    }

    /// Waits for an engine. A silent one is given up only once another one has granted memory and the prompt is read
    /// for it: its run may have been put off and go on, and nothing else may be left of the stream.
    pub async fn unless_silent<T>(
        &self,
        at: Key,
        sent: u32,
        attempt: impl Future<Output = T>,
    ) -> Result<T, Spare> {
        let pause = Duration::from_millis(self.route.target_gap_ms);
        let watch = Watch { node: &self.node, call: &self.call, at, pauses: (SILENT, pause) };
        watch::unless_silent(watch, attempt, || self.room_elsewhere(at, sent)).await
    }

    /// Memory at another engine than a silent one, the prompt and a repeat for it, if the stream may go on there.
    async fn room_elsewhere(&self, silent: Key, sent: u32) -> Option<Spare> {
        let resumable = self.route.kind == Kind::Stream { resumable: true };
        if !resumable || sent >= self.route.max_attempts {
            return None;
        }
        quarantine::check(&self.node, &self.call).ok()?;
        let hold = self.reserve(self.resume_by(), Some(silent)).await.ok()?;
        // Without an answer to that, nothing is sure at the other engine yet.
        let handle = self.prefill_again().await.ok()?;
        let engine = self.node.pool().get(hold.key).cloned()?;
        if quarantine::refuses(engine.address).await {
            return None;
        }
        if !self.node.take_repeat(&self.service) {
            self.node.meter.retried(Retry::DeniedBudget);
            return None;
        }
        Some(Spare { hold, handle })
    }

    /// Until when memory is waited for to go on with a stream.
    fn resume_by(&self) -> Instant {
        let patience = Duration::from_millis(admission::resume_wait(&self.caller));
        self.call.deadline.instant().min(Instant::now() + patience)
    }

    /// Tries once more after an attempt that has no answer, where that is allowed.
    async fn again(&mut self, failure: Failure) -> Result<Answer, Refusal> {
        let kind = self.route.kind;
        if failure.may_have_run() && !kind.idempotent() {
            return Err(given_up(failure));
        }
        let mut failure = failure;
        while !failure.barred() && self.sent < self.route.max_attempts.max(1) {
            let paid = self.sent == 0 || self.spare.is_some();
            if !paid && !self.node.take_repeat(&self.service) {
                self.node.meter.retried(Retry::DeniedBudget);
                break;
            }
            self.node.meter.retried(failure.into());
            match self.elsewhere(self.call.ask.last_event_id).await {
                Ok(answer) => return Ok(answer),
                Err(None) => break,
                Err(Some(next)) if next.barred() && failure.may_have_run() => break,
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

    /// Runs the request at another engine, after an event.
    pub async fn elsewhere(&mut self, last_event: Option<u64>) -> Result<Answer, Option<Failure>> {
        quarantine::check(&self.node, &self.call).map_err(Some)?;
        let Spare { mut hold, mut handle } = match self.spare.take() {
            Some(spare) => spare,
            None => {
                let hold = self.reserve(self.resume_by(), None).await.map_err(|_| None)?;
                Spare { hold, handle: self.prefill_again().await.unwrap_or_default() }
            }
        };
        self.decode(&mut hold, handle.as_mut(), last_event).await.map_err(Some)
    }

    /// Fetches the prompt from the engine that read it, which usually keeps it: reading it again at
    /// the next engine takes 0.2 s, and its streams pause meanwhile. Nothing where no engine may be asked.
    async fn prefill_again(&self) -> Result<Option<Handle>, Failure> {
        let keeper = self.read_at.filter(|it| self.node.pool().usable(*it));
        let Some(keeper) = keeper.filter(|_| self.node.take_repeat(&self.service)) else {
            return Ok(None);
        };
        let read = self.prefill(Some(keeper)).await;
        read.map(|(_, handle)| Some(handle)).ok_or(Failure::Timeout)
    }

    /// Whether the next attempt has all that it needs.
    pub fn has_spare(&self) -> bool {
        self.spare.is_some()
    }

    /// Keeps what the next attempt needs.
    pub fn keep_spare(&mut self, spare: Spare) {
        self.spare = Some(spare);
    }

    fn relay(self, answer: Answer) -> Response<Reply> {
        let status = answer.parts.status;
        let headers = response::forwarded_headers(&answer.parts.headers);
        let mut response = Response::new(Relay::new(self, answer).body());
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }
}

/// Refuses a request that has not run, with a time after which to come back.
pub fn come_back(reason: Reason) -> Refusal {
    let wait = rand::rng().random_range(COME_BACK_MILLIS);
    Refusal::later(reason, Duration::from_millis(wait))
}

/// Says when to come back if the request has not run.
fn given_up(failure: Failure) -> Refusal {
    let reason = Reason::from(failure);
    if failure.may_have_run() { reason.into() } else { come_back(reason) }
}
