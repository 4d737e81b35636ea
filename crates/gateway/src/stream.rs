//! Token streams: reserves decode memory, prefills the prompt, then decodes and relays the tokens.
//!
//! Decode memory is the scarcest resource, and a prefill's KV cache expires after half a second. So memory
//! is reserved at a decode engine before the prefill; concurrent nodes are arbitrated by the engine itself.
//! A stream that breaks off is continued at another engine if its route allows.

use crate::cache::{self, Hits};
use crate::exchange::{self, Answer, Call, Failure, Slot};
use crate::liveness;
use crate::metrics::Metrics;
use crate::node::{Node, ResponseBody, lock};
use crate::plain;
use crate::quarantine;
use crate::refusal::{Reason, Refusal};
use crate::relay::Relay;
use crate::reservation::{Handle, Reservation};
use crate::shutdown;
use crate::stall::{self, Watch};
use crosslane_coordination::admission::{self, Caller, Timeliness};
use crosslane_coordination::choice::{Query, Room};
use crosslane_coordination::health::Outcome;
use crosslane_coordination::prefiller::{KvCache, Prefiller};
use crosslane_coordination::speed::Sample;
use crosslane_platform::request::Purpose;
use crosslane_platform::{engine, response};
use crosslane_state::endpoint::{Key, Stage};
use crosslane_state::route::{Engine, Kind, Route};
use hyper::Response;
use rand::Rng;
use std::future::pending;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Timeout of a prefill, queueing included: prefill of the longest prompts takes up to 200 ms. After it the
/// decode engine prefills the prompt itself, while its reservation is still valid.
const PREFILL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Queued prompt tokens at which a prefill engine counts as full: engines prefill that many in 0.6 to 1 s,
/// after which a first event would be late.
const PREFILL_CAPACITY_TOKENS: u64 = 33_000;

/// Prefill engines to try when they are at their rate limits; each try costs a round trip to the limit's owner.
const MAX_PREFILL_ENGINES: usize = 4;

/// Longest response to a prefill.
const MAX_PREFILL_RESPONSE_BYTES: usize = 16_384;

/// Consecutive intervals without data, each as long as the route's longest gap between events, after which an engine
/// counts as stalled: none of its streams is on time any more.
const STALL_GAPS: u32 = 5;

/// Retry-After of a refused caller: streams last some 3 s, and bursts are over within seconds. Randomised,
/// so that refused callers don't all return at once.
const RETRY_AFTER_MS: std::ops::Range<u64> = 2_000..4_400;

/// Engines of an attempt that may stall.
#[derive(Clone, Copy, Debug)]
pub struct Watched<'a> {
    /// Engines that may run the request, the one that is waited for last.
    pub engines: &'a [Key],
    /// Whether the attempt replaces no stalled one.
    pub is_first: bool,
}

/// One streaming request, from reservation to relay; it may run at several engines in turn.
pub struct Generation {
    /// Node.
    pub node: Arc<Node>,
    /// Request.
    pub call: Call,
    /// Matched route.
    pub route: Route,
    /// Service that serves it.
    pub service: String,
    /// Capabilities of the service's engines.
    pub engine: Engine,
    /// What admission control knows of the caller.
    pub caller: Caller,
    /// Whether the response can still be on time.
    pub timeliness: Timeliness,
    /// Attempts that reached an endpoint, or are being sent to one.
    attempts: AtomicU32,
    /// Attempts that may have run the request, or are being sent; a later refusal does not undo them.
    may_have_run: AtomicU32,
    /// Whether the stalled run that is being replaced has broken off.
    stalled_run_broke: AtomicBool,
    /// Engines that accepted no connection; they may still grant memory over one that is open.
    unreachable: Mutex<Vec<Key>>,
    /// Prefill engine that prefilled the prompt and may still cache it.
    prefilled_at: Option<Key>,
}

impl Generation {
    /// Creates a streaming request for a service's engines.
    pub fn new(node: Arc<Node>, route: Route, service: String, engine: Engine, call: Call) -> Self {
        let caller = Caller {
            target_ms: route.target_latency_ms,
            max_silence_ms: route.caller_idle_timeout_ms(),
            spent_ms: call
                .metadata
                .timeout
                .map_or(0, |patience| node.earlier_attempts_ms(&route.name, patience)),
            resumes: call.metadata.last_event_id.is_some(),
        };
        let timeliness = Timeliness::from(&caller);
        Self {
            node,
            call,
            route,
            service,
            engine,
            caller,
            timeliness,
            attempts: AtomicU32::new(0),
            may_have_run: AtomicU32::new(0),
            stalled_run_broke: AtomicBool::new(false),
            unreachable: Mutex::default(),
            prefilled_at: None,
        }
    }

    /// Runs the request at engines and returns the event stream.
    pub async fn start(mut self) -> Result<Response<ResponseBody>, Refusal> {
        let max_wait = self.max_wait();
        let until = self.call.deadline.instant().min(self.call.arrived + max_wait);
        let hits = self.cache_hits().await;
        if self.call.is_unbound() {
            let build = hits.decoding_build.ok_or_else(|| retry_later(Reason::UnknownStream))?;
            self.call.build.get_or_init(|| build);
        }
        let (mut reservation, kept) = self.reserve_near_cache(&hits, until).await?;
        // The wait for memory may have used up the time that a shutdown leaves it to end.
        let tokens = self.call.metadata.estimated_output_tokens();
        shutdown::check(&self.node, &self.route, &self.service, tokens, self.call.remaining())?;
        Metrics::observe(&self.node.metrics.reservation_wait, self.call.arrived.elapsed());
        self.call.grant.renew(&self.call.metadata.id).await?;
        let mut handle = match self.choose_reader(kept) {
            Prefiller::Decoding => None,
            Prefiller::Prefilling => self.first_prefill(hits.prefill).await?,
        };
        if !self.node.pool().may_receive(reservation.key, self.call.terms()) {
            // The engine announced its departure during the prefill, or its domain was evacuated.
            let until = self.call.deadline.instant().min(Instant::now() + max_wait);
            reservation = self.reserve(until, &[]).await?;
        }
        let answer =
            self.decode(&mut reservation, handle.as_mut(), self.call.metadata.last_event_id).await;
        let answer = match answer {
            Ok(answer) => answer,
            Err(failure) => self.retry(failure).await?,
        };
        let stream = self.retry_error(answer).await;
        Metrics::observe(&self.node.metrics.first_byte, self.call.arrived.elapsed());
        Ok(match stream {
            Ok(answer) => self.relay(answer),
            Err(error) => plain::relay(&self.node, error, &self.call, false),
        })
    }

    /// Retries at another engine if the response is an error rather than a stream and the request may run
    /// again. Returns the error response if the retry is not allowed or fails.
    async fn retry_error(&self, mut answer: Answer) -> Result<Answer, Answer> {
        if answer.parts.status.is_success() {
            return Ok(answer);
        }
        answer.record_outcome(Outcome::Error);
        if !self.route.kind.idempotent() {
            return Err(answer);
        }
        answer.end_trial();
        match self.retry(Failure::Broken).await {
            Ok(other) if other.parts.status.is_success() => Ok(other),
            Ok(_) | Err(_) => Err(answer),
        }
    }

    /// Engines that still cache the prompt of a caller that resumes a stream. There is no lookup for other late callers:
    /// most were refused before their prefill, or are no retries at all, so no engine has their prompt (537 lookups a
    /// day on eleven nodes, each at 47 engines, without a hit).
    async fn cache_hits(&self) -> Hits {
        match &self.call.metadata.last_segment_id {
            Some(part) if self.timeliness == Timeliness::Resumed => {
                cache::lookup(&self.node, &self.service, &self.call, part).await
            }
            _ => Hits::default(),
        }
    }

    /// Reserves memory at an engine that caches the prompt, or else at any engine.
    async fn reserve_near_cache(
        &self,
        hits: &Hits,
        until: Instant,
    ) -> Result<(Reservation, KvCache), Refusal> {
        if let Some(cached_at) = hits.decode
            && let Some(reservation) = self.reserve_at(cached_at).await
        {
            return Ok((reservation, KvCache::Decoding));
        }
        let reservation = self.reserve(until, &[]).await?;
        let kept = hits.prefill.map_or(KvCache::Absent, |_| KvCache::Prefilling);
        Ok((reservation, kept))
    }

    /// Chooses which kind of engine prefills the prompt.
    fn choose_reader(&self, kept: KvCache) -> Prefiller {
        // The least queue decides: that of a fast engine may be longer, although it is done sooner.
        let queue = self.choose_prefill(false).map(|(_, load)| load);
        let engines = self.node.pool().prefill_engine_count(&self.service);
        Prefiller::choose(kept, queue, engines)
    }

    /// Prefill engine with the shortest queue, and its load.
    fn choose_prefill(&self, prefers_fast: bool) -> Option<(Key, f64)> {
        let (service, stage) = (self.service.as_str(), Stage::Prefill);
        let (capacity, connections) =
            (PREFILL_CAPACITY_TOKENS, self.node.connection_share(service));
        let query = Query {
            service,
            stage,
            capacity_tokens: capacity,
            max_connections: connections,
            prompt_tokens: self.call.metadata.prompt_tokens,
            prefers_fast,
            room: None,
            exclude: &[],
            terms: self.call.prefill_terms(),
            point: self.call.point(),
        };
        self.node.pool().choose(query, self.node.now())
    }

    /// Best decode engine with room for the request and a load, as a share of its capacity, not above `below`; with
    /// its load. Fast ones are preferred if asked for.
    pub fn choose_decode(
        &self,
        below: f64,
        except: &[Key],
        prefers_fast: bool,
    ) -> Option<(Key, f64)> {
        let room = Some(Room { tokens: self.expected_tokens(), max_utilization: below });
        let (service, capacity) = (self.service.as_str(), self.engine.kv_capacity_tokens);
        let connections = self.node.connection_share(service);
        let stage = Stage::Decode;
        let query = Query {
            service,
            stage,
            capacity_tokens: capacity,
            max_connections: connections,
            prompt_tokens: 0,
            prefers_fast,
            room,
            exclude: except,
            terms: self.call.terms(),
            point: self.call.point(),
        };
        self.node.pool().choose(query, self.node.now())
    }

    /// Prefills the prompt for a first attempt. If that fails, the decode engine does the prefill itself, if the
    /// retry budget allows: the failed prefill counts as an attempt.
    async fn first_prefill(&mut self, cached_at: Option<Key>) -> Result<Option<Handle>, Refusal> {
        let prefilled = self.prefill(cached_at).await;
        if prefilled.is_none() && !self.take_retry().await {
            return Err(retry_later(Reason::Refused));
        }
        Ok(prefilled.map(|(at, handle)| {
            self.prefilled_at = Some(at);
            handle
        }))
    }

    /// Prefills the prompt at an engine that caches it, or else at the best one that is below its rate limit.
    async fn prefill(&self, mut cached_at: Option<Key>) -> Option<(Key, Handle)> {
        for _ in 0..MAX_PREFILL_ENGINES {
            let cached = cached_at.take();
            let choice = match cached {
                Some(key) => (key, 0.0),
                None => self.choose_prefill(true)?,
            };
            match self.prefill_at(choice, cached.is_some()).await {
                Err(Failure::RateLimited) => {}
                prefilled => return Some((choice.0, prefilled.ok()??)),
            }
        }
        None
    }

    /// Prefills the prompt at an engine. If the engine caches the prompt, the time is not that of a prefill.
    async fn prefill_at(
        &self,
        choice: (Key, f64),
        cached: bool,
    ) -> Result<Option<Handle>, Failure> {
        let started_at = Instant::now();
        let load = self.node.pool().request_load(choice.0, self.node.now());
        let slot = Slot::acquire(&self.node, choice, self.call.metadata.prompt_tokens);
        let until = self.call.deadline.instant().min(started_at + PREFILL_TIMEOUT);
        let answer = exchange::send(&self.call, slot, &Purpose::Prefill, until).await?;
        let engine = answer.endpoint.clone();
        answer.record_outcome(Outcome::Good);
        if !cached && answer.parts.status.is_success() {
            // The prompts ahead are prefilled first.
            let ahead = choice.1 * PREFILL_CAPACITY_TOKENS as f64;
            let units = ahead + f64::from(self.call.metadata.prompt_tokens);
            let took_ms = started_at.elapsed().as_secs_f64() * 1e3;
            answer.observe_run(|_| Sample { load, units, took_ms });
        }
        let (_, body) = answer.read_body(&self.call, MAX_PREFILL_RESPONSE_BYTES, until).await?;
        let Some(id) = engine::parse_kv_handle(&body) else {
            return Ok(None);
        };
        Metrics::observe(&self.node.metrics.prefill, started_at.elapsed());
        Ok(Some(Handle::new(&self.node, engine, id)))
    }

    /// Sends the request to the engine that granted the reservation, and to another one if that stalls.
    async fn decode(
        &self,
        reservation: &mut Reservation,
        handle: Option<&mut Handle>,
        last_event: Option<u64>,
    ) -> Result<Answer, Failure> {
        let at = reservation.key;
        let sending = self.send(reservation, handle, last_event);
        let watched = Watched { engines: &[at], is_first: true };
        self.unless_stalled(watched, last_event, sending, Result::is_err).await.unwrap_or_else(Ok)
    }

    /// Sends the request to the engine that granted the reservation.
    async fn send(
        &self,
        reservation: &mut Reservation,
        handle: Option<&mut Handle>,
        last_event: Option<u64>,
    ) -> Result<Answer, Failure> {
        let Some(slot) = reservation.slot.take() else {
            return Err(Failure::Unsent);
        };
        let at = slot.key;
        let source = handle.as_deref().and_then(Handle::source);
        let purpose =
            Purpose::Decode { reservation: reservation.id.as_deref(), source, last_event };
        // Counted before, since the attempt may be dropped meanwhile.
        self.attempts.fetch_add(1, Ordering::Relaxed);
        self.may_have_run.fetch_add(1, Ordering::Relaxed);
        let answer = exchange::send(&self.call, slot, &purpose, self.call.deadline.instant()).await;
        if answer.as_ref().is_err_and(|failure| !failure.may_have_run()) {
            self.may_have_run.fetch_sub(1, Ordering::Relaxed);
        }
        match &answer {
            Ok(_) => {
                reservation.id = None;
                handle.into_iter().for_each(|handle| handle.id = None);
            }
            Err(failure) if failure.was_sent() => {}
            Err(failure) => {
                if *failure == Failure::Unreachable {
                    self.unreachable().push(at);
                }
                self.attempts.fetch_sub(1, Ordering::Relaxed);
            }
        }
        answer
    }

    /// Waits for an attempt. If it stalls, it is abandoned only for a response of another engine, which is returned as the error.
    pub async fn unless_stalled<T>(
        &self,
        watched: Watched<'_>,
        last_event: Option<u64>,
        attempt: impl Future<Output = T>,
        broke: impl Fn(&T) -> bool,
    ) -> Result<T, Answer> {
        let Watched { engines, is_first } = watched;
        let Some(at) = engines.last().copied() else {
            return Ok(attempt.await);
        };
        if is_first {
            self.stalled_run_broke.store(false, Ordering::Relaxed);
        }
        let broke = |done: &T| {
            let broke = broke(done);
            self.stalled_run_broke.fetch_or(broke && is_first, Ordering::Relaxed);
            broke
        };
        let gap = Duration::from_millis(self.route.target_gap_ms);
        let watch = Watch { node: &self.node, call: &self.call, at, intervals: (STALL_GAPS, gap) };
        stall::unless_stalled(watch, attempt, broke, || self.replace(engines, last_event)).await
    }

    /// Runs the stream at another engine beside stalled ones, if it may be resumed. `None` if that engine refuses or fails:
    /// the stalled runs may only be delayed, so the stream still depends on them.
    fn replace<'a>(
        &'a self,
        stalled: &'a [Key],
        last_event: Option<u64>,
    ) -> Pin<Box<dyn Future<Output = Option<Answer>> + Send + Sync + 'a>> {
        Box::pin(async move {
            let resumable = self.route.kind == Kind::Stream { resumable: true };
            if !resumable || self.attempts() >= self.route.max_attempts {
                return None;
            }
            quarantine::check(&self.node, &self.call).ok()?;
            let mut reservation = self.reserve(self.resume_by(), stalled).await.ok()?;
            let mut handle = self.refetch_prompt().await.ok()?;
            if !self.take_retry().await {
                return None;
            }
            let engines = [stalled, &[reservation.key]].concat();
            let sending = self.send(&mut reservation, handle.as_mut(), last_event);
            let watched = Watched { engines: &engines, is_first: false };
            let sent = self.unless_stalled(watched, last_event, sending, Result::is_err);
            let answer = tokio::select! {
                answer = sent => answer.unwrap_or_else(Ok).ok()?,
                () = self.overlap_ends(stalled) => return None,
            };
            if answer.parts.status.is_success() {
                return Some(answer);
            }
            answer.record_outcome(Outcome::Error);
            None
        })
    }

    /// Waits until a replacement of stalled runs must be given up, since one of their engines can still be reached.
    async fn overlap_ends(&self, stalled: &[Key]) {
        loop {
            sleep(engine::MAX_OVERLAP).await;
            if self.stalled_run_broke.load(Ordering::Relaxed) {
                return pending().await;
            }
            for key in stalled {
                let engine = self.node.pool().get(*key).cloned();
                if let Some(engine) = engine
                    && liveness::accepts_connections(&self.node.dialer, &engine).await
                {
                    return;
                }
            }
        }
    }

    /// Moves the deadline if the configuration in force gives the route more time than the one on the request's arrival.
    /// Returns whether there is time left.
    pub fn extend_deadline(&mut self) -> bool {
        let Call { metadata, uri, deadline, .. } = &self.call;
        let table = self.node.table();
        let route = table.as_ref().and_then(|table| table.find(&metadata.host, uri.path()));
        let timeout_ms = route.map_or(0, |route| route.timeout_ms);
        let before = metadata.time_limit(self.route.timeout_ms);
        let more = metadata.time_limit(timeout_ms).saturating_sub(before);
        self.call.deadline = deadline.later(more);
        self.route.timeout_ms = self.route.timeout_ms.max(timeout_ms);
        !self.call.remaining().is_zero()
    }

    /// Takes a retry from the budget; false if it is used up.
    pub async fn take_retry(&self) -> bool {
        self.node.take_retry(&self.service, &self.call.metadata.id).await
    }

    /// Engines that accepted no connection for this request.
    pub fn unreachable(&self) -> MutexGuard<'_, Vec<Key>> {
        lock(&self.unreachable)
    }

    /// Attempts so far.
    pub fn attempts(&self) -> u32 {
        self.attempts.load(Ordering::Relaxed)
    }

    /// Longest wait for memory before the first attempt.
    fn max_wait(&self) -> Duration {
        let max_wait_ms = match self.node.sheds(&self.service) {
            true => self.timeliness.max_wait_with_shedding_ms(&self.caller),
            false => self.timeliness.max_wait_ms(&self.caller),
        };
        Duration::from_millis(max_wait_ms)
    }

    /// Latest time to wait for memory to resume a stream.
    fn resume_by(&self) -> Instant {
        let max_wait = Duration::from_millis(admission::resume_wait_ms(&self.caller));
        self.call.deadline.instant().min(Instant::now() + max_wait)
    }

    /// Retries at other engines after a failed attempt, while attempts and the retry budget allow.
    async fn retry(&self, failure: Failure) -> Result<Answer, Refusal> {
        let kind = self.route.kind;
        if failure.may_have_run() && !kind.idempotent() {
            return Err(self.final_refusal(failure));
        }
        let mut failure = failure;
        while !failure.is_final() && self.attempts() < self.route.max_attempts.max(1) {
            if failure == Failure::Unreachable && self.node.has_lost(&self.service) {
                break;
            }
            let first = self.attempts() == 0;
            if !first && !self.take_retry().await {
                break;
            }
            self.node.metrics.count_retry(failure.into());
            let last_event = self.call.metadata.last_event_id;
            match self.retry_elsewhere(last_event, self.resume_by()).await {
                Ok(answer) => return Ok(answer),
                Err(None) => break,
                Err(Some(next)) if next.quarantined() && failure.may_have_run() => break,
                Err(Some(next)) if next.may_have_run() && !kind.idempotent() => {
                    return Err(self.final_refusal(next));
                }
                // A later refusal does not undo that an earlier attempt may have run.
                Err(Some(next)) if next.may_have_run() || !failure.may_have_run() => failure = next,
                Err(Some(_)) => {}
            }
        }
        Err(self.final_refusal(failure))
    }

    /// Runs the request at another engine, from after the given event. Waits for memory until a time.
    pub async fn retry_elsewhere(
        &self,
        last_event: Option<u64>,
        until: Instant,
    ) -> Result<Answer, Option<Failure>> {
        quarantine::check(&self.node, &self.call).map_err(Some)?;
        let mut reservation = self.reserve(until, &[]).await.map_err(|_| None)?;
        let mut handle = self.refetch_prompt().await.unwrap_or_default();
        self.decode(&mut reservation, handle.as_mut(), last_event).await.map_err(Some)
    }

    /// Fetches the prompt's KV cache from the engine that prefilled it, which usually still has it: a new prefill at the
    /// next engine takes 0.2 s and stalls its other streams. `None` if no engine may be asked.
    async fn refetch_prompt(&self) -> Result<Option<Handle>, Failure> {
        let terms = self.call.prefill_terms();
        let may_receive = |key: &Key| self.node.pool().may_receive(*key, terms);
        let cached_at = self.prefilled_at.filter(may_receive);
        let Some(cached_at) = cached_at else {
            return Ok(None);
        };
        if !self.take_retry().await {
            return Ok(None);
        }
        let prefilled = self.prefill(Some(cached_at)).await;
        prefilled.map(|(_, handle)| Some(handle)).ok_or(Failure::Timeout)
    }

    /// Refusal after the last attempt; with a Retry-After if the request has not run.
    fn final_refusal(&self, failure: Failure) -> Refusal {
        let reason = Reason::from(failure);
        if failure.may_have_run() {
            return reason.into();
        }
        match self.may_have_run.load(Ordering::Relaxed) {
            0 => retry_later(reason),
            _ => Reason::Broken.into(),
        }
    }

    fn relay(self, answer: Answer) -> Response<ResponseBody> {
        let status = answer.parts.status;
        // The run may go on at another engine, so the length is not known.
        let headers = response::forwarded_headers(&answer.parts.headers, &self.call.method, None);
        let mut response = Response::new(Relay::new(self, answer).body());
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }
}

/// Refuses a request that has not run, with a randomised Retry-After.
pub fn retry_later(reason: Reason) -> Refusal {
    let wait = rand::rng().random_range(RETRY_AFTER_MS);
    Refusal::retry_after(reason, Duration::from_millis(wait))
}
