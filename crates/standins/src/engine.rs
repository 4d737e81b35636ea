//! A model engine: prefill and decode with slots, limited KV memory and a limited link.

use crate::orders::{Faults, Options};
use crate::reply::{lost, query, read, take};
use crate::text;
use bytes::Bytes;
use crosslane_protocol::completion::estimate_tokens;
use crosslane_protocol::engine::{
    Decode, Event, Events, Export, Held, HeldList, Import, Line, Load, Order, Prefill, Prefilled,
    RawLine,
};
use crosslane_transport::http::{BodyError, Call, Client, ResponseBody, json};
use crosslane_transport::serve;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Method, Request, Response};
use serde_json::json;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};

/// Bytes of a prompt that its cached prefix is told by.
const PREFIX_BYTES: usize = 512;

/// Prefixes cached.
const PREFIXES: usize = 256;

/// Every so many cache events one is lost.
const EVENT_GAP: u64 = 7;

/// Time for another engine to hand over a KV cache.
const EXPORT: Duration = Duration::from_secs(10);

/// Pieces after which a stream breaks off on order.
const BREAK_AFTER: u64 = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Prefilling,
    Prefilled(Instant),
    Importing,
    Ready,
    Decoding,
    Ended,
}

#[derive(Debug)]
struct Attempt {
    prompt: String,
    done: u64,
    stage: Stage,
    kv: u64,
    next: u64,
    end: u64,
}

#[derive(Debug, Default)]
struct State {
    attempts: HashMap<String, Attempt>,
    tombstones: HashSet<String>,
    prefixes: VecDeque<u64>,
    events: Vec<(Instant, Event)>,
    loads: VecDeque<(Instant, Load)>,
    runs: BTreeMap<String, u64>,
    fence: u64,
    most_busy: u32,
    faults: Faults,
}

struct Engine {
    options: Options,
    state: Mutex<State>,
    changed: watch::Sender<()>,
    compute: Semaphore,
    link: Semaphore,
    client: Client,
    break_streams: AtomicU64,
    lose_prefills: AtomicU64,
    lose_cancels: AtomicU64,
    frozen: AtomicBool,
}

/// Serves until the process ends.
pub async fn run(listener: TcpListener, options: Options) {
    let engine = Arc::new(Engine {
        options,
        state: Mutex::default(),
        changed: watch::Sender::new(()),
        compute: Semaphore::new(1),
        link: Semaphore::new(1),
        client: Client::default(),
        break_streams: AtomicU64::new(0),
        lose_prefills: AtomicU64::new(0),
        lose_cancels: AtomicU64::new(0),
        frozen: AtomicBool::new(false),
    });
    tokio::spawn(engine.clone().age());
    let (_stop, stopped) = watch::channel(false);
    let handler = move |request| engine.clone().handle(request);
    serve::serve(listener, serve::Limits::default(), stopped, handler).await;
}

impl Engine {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        let (head, body) = request.into_parts();
        let path = head.uri.path().to_owned();
        let parts: Vec<_> = path.trim_matches('/').split('/').collect();
        match (&head.method, parts.as_slice()) {
            (&Method::POST, ["prefill"]) => self.prefill(body).await,
            (&Method::POST, ["import"]) => self.import(body).await,
            (&Method::GET, ["export", attempt]) => self.export(attempt).await,
            (&Method::POST, ["decode"]) => self.decode(body, true).await,
            (&Method::POST, ["resume"]) => self.decode(body, false).await,
            (&Method::DELETE, ["attempts", attempt]) => self.cancel(attempt),
            (&Method::GET, ["held"]) => json(200, &self.held()),
            (&Method::GET, ["load"]) => json(200, &self.load()),
            (&Method::GET, ["events"]) => {
                json(200, &self.events(query(head.uri.query(), "from").unwrap_or(0)))
            }
            (&Method::POST, ["orders"]) => self.order(body).await,
            (&Method::POST, ["faults"]) => self.fault(body).await,
            (&Method::GET, ["stats"]) => {
                let state = self.lock();
                json(200, &json!({ "runs": state.runs, "most_busy": state.most_busy }))
            }
            _ => json(404, &json!({})),
        }
    }

    async fn prefill(&self, body: Incoming) -> Response<ResponseBody> {
        let Some(body) = read::<Prefill>(body).await else {
            return json(400, &json!({ "error": "not a prefill" }));
        };
        let total = estimate_tokens(&body.prompt) + body.done;
        let cached = {
            let mut state = self.lock();
            if state.tombstones.contains(&body.attempt) {
                return json(410, &json!({}));
            }
            if state.faults.refuse || state.kv() + total > self.options.kv_tokens {
                return json(503, &json!({}));
            }
            *state.runs.entry(body.prompt.clone()).or_default() += 1;
            let attempt = Attempt {
                prompt: body.prompt.clone(),
                done: body.done,
                stage: Stage::Prefilling,
                kv: total,
                next: 0,
                end: 0,
            };
            state.attempts.insert(body.attempt.clone(), attempt);
            state.cache(&body.prompt).min(total)
        };
        let Ok(_permit) = self.compute.acquire().await else {
            return json(503, &json!({}));
        };
        self.stall(|faults| faults.stall_prefills).await;
        let micros = (total - cached) * 1_000_000 / self.options.prefill_rate;
        tokio::time::sleep(Duration::from_micros(micros)).await;
        if !self.stage(&body.attempt, Stage::Prefilled(Instant::now())) {
            return json(410, &json!({}));
        }
        if take(&self.lose_prefills) {
            return lost();
        }
        json(200, &Prefilled { tokens: total, cached })
    }

    async fn import(&self, body: Incoming) -> Response<ResponseBody> {
        let Some(body) = read::<Import>(body).await else {
            return json(400, &json!({ "error": "not an import" }));
        };
        let Ok(source) = body.source.parse() else {
            return json(400, &json!({ "error": "source is no address" }));
        };
        {
            let mut state = self.lock();
            if state.tombstones.contains(&body.attempt) {
                return json(410, &json!({}));
            }
            let full = state.busy() >= self.options.slots
                || state.kv() + body.max_tokens > self.options.kv_tokens;
            if state.faults.refuse || full {
                return json(429, &json!({}));
            }
            let attempt = Attempt {
                prompt: String::new(),
                done: 0,
                stage: Stage::Importing,
                kv: body.max_tokens,
                next: 0,
                end: 0,
            };
            state.attempts.insert(body.attempt.clone(), attempt);
            state.most_busy = state.most_busy.max(state.busy());
        }
        let Ok(_permit) = self.link.acquire().await else {
            return json(503, &json!({}));
        };
        self.stall(|faults| faults.stall_transfers).await;
        let call = Call::new(Method::GET, source, format!("/export/{}", body.attempt));
        let Ok(export) = self.client.fetch::<Export>(call, EXPORT).await else {
            self.lock().attempts.remove(&body.attempt);
            return json(409, &json!({ "error": "the source has no such KV cache" }));
        };
        let held = estimate_tokens(&export.prompt) + export.done;
        let micros = held * self.options.token_bytes * 1_000_000 / self.options.link_rate;
        tokio::time::sleep(Duration::from_micros(micros)).await;
        let mut state = self.lock();
        let Some(attempt) = state.attempts.get_mut(&body.attempt) else {
            return json(410, &json!({}));
        };
        attempt.prompt = export.prompt;
        attempt.done = export.done;
        attempt.kv += held;
        attempt.stage = Stage::Ready;
        json(200, &json!({}))
    }

    async fn export(&self, attempt: &str) -> Response<ResponseBody> {
        let mut state = self.lock();
        let ready = |it: &Attempt| matches!(it.stage, Stage::Prefilled(_));
        if !state.attempts.get(attempt).is_some_and(ready) {
            return json(404, &json!({}));
        }
        match state.attempts.remove(attempt) {
            Some(held) => json(200, &Export { prompt: held.prompt, done: held.done }),
            None => json(404, &json!({})),
        }
    }

    async fn decode(self: Arc<Self>, body: Incoming, start: bool) -> Response<ResponseBody> {
        let Some(body) = read::<Decode>(body).await else {
            return json(400, &json!({ "error": "not a decode" }));
        };
        let begun = {
            let mut state = self.lock();
            let busy = state.busy();
            let Some(attempt) = state.attempts.get_mut(&body.attempt) else {
                return json(404, &json!({}));
            };
            let local = matches!(attempt.stage, Stage::Prefilled(_));
            if local && busy >= self.options.slots {
                return json(429, &json!({}));
            }
            let begin = start && (local || attempt.stage == Stage::Ready);
            if begin {
                attempt.stage = Stage::Decoding;
                attempt.next = attempt.done;
                attempt.end = text::length(&attempt.prompt, body.max_tokens);
                state.most_busy = state.most_busy.max(state.busy());
            } else if !matches!(attempt.stage, Stage::Decoding | Stage::Ended) {
                return json(409, &json!({}));
            }
            begin
        };
        if begun {
            tokio::spawn(self.clone().generate(body.attempt.clone()));
        }
        let breaks = take(&self.break_streams).then_some(body.from + BREAK_AFTER);
        let reader = Reader { engine: self, attempt: body.attempt, next: body.from, breaks };
        let frames = stream::unfold(Some(reader), |reader| async move {
            let mut reader = reader?;
            match reader.line().await {
                Ok((line, true)) => Some((Ok(Frame::data(line)), Some(reader))),
                Ok((line, false)) => Some((Ok(Frame::data(line)), None)),
                Err(error) => Some((Err(error), None)),
            }
        });
        Response::new(StreamBody::new(frames).boxed())
    }

    /// Generates an attempt's tokens, at the pace of the whole batch.
    async fn generate(self: Arc<Self>, name: String) {
        loop {
            let busy = u64::from(self.lock().busy().saturating_sub(1));
            let micros = self.options.step_micros + busy * self.options.crowd_micros;
            tokio::time::sleep(Duration::from_micros(micros)).await;
            if self.frozen.load(Ordering::Relaxed) {
                continue;
            }
            let mut state = self.lock();
            let Some(attempt) = state.attempts.get_mut(&name) else {
                return;
            };
            attempt.next += 1;
            if attempt.next >= attempt.end {
                attempt.stage = Stage::Ended;
                attempt.kv = 0;
            }
            let ended = attempt.stage == Stage::Ended;
            drop(state);
            self.changed.send_replace(());
            if ended {
                return;
            }
        }
    }

    fn cancel(&self, attempt: &str) -> Response<ResponseBody> {
        let mut state = self.lock();
        let freed = state.attempts.remove(attempt).is_some();
        state.tombstones.insert(attempt.to_owned());
        drop(state);
        self.changed.send_replace(());
        if take(&self.lose_cancels) {
            return lost();
        }
        json(200, &json!({ "freed": freed }))
    }

    fn held(&self) -> HeldList {
        let state = self.lock();
        let holding = state.attempts.iter().filter(|(_, it)| it.stage != Stage::Ended);
        let held = holding.map(|(name, it)| Held { attempt: name.clone(), tokens: it.kv });
        HeldList { held: held.collect() }
    }

    fn load(&self) -> Load {
        let lag = Duration::from_millis(self.options.lag_millis);
        let state = self.lock();
        let old = state.loads.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        old.map(|(_, load)| *load).unwrap_or_default()
    }

    fn events(&self, from: u64) -> Events {
        let lag = Duration::from_millis(self.options.lag_millis);
        let state = self.lock();
        let due = state.events.iter().filter(|(at, it)| at.elapsed() >= lag && it.sequence >= from);
        let kept = due.filter(|(_, it)| it.sequence % EVENT_GAP != 0);
        Events { events: kept.map(|(_, it)| *it).collect() }
    }

    async fn order(&self, body: Incoming) -> Response<ResponseBody> {
        let Some(order) = read::<Order>(body).await else {
            return json(400, &json!({ "error": "not an order" }));
        };
        let mut state = self.lock();
        if self.options.fences && order.fence < state.fence {
            return json(409, &json!({ "fence": state.fence }));
        }
        state.fence = order.fence;
        json(200, &json!({}))
    }

    async fn fault(&self, body: Incoming) -> Response<ResponseBody> {
        let Some(faults) = read::<Faults>(body).await else {
            return json(400, &json!({ "error": "not faults" }));
        };
        self.break_streams.store(faults.break_streams, Ordering::Relaxed);
        self.lose_prefills.store(faults.lose_prefills, Ordering::Relaxed);
        self.lose_cancels.store(faults.lose_cancels, Ordering::Relaxed);
        self.frozen.store(faults.freeze, Ordering::Relaxed);
        self.lock().faults = faults;
        json(200, &json!({}))
    }

    /// Waits while a fault is ordered.
    async fn stall(&self, fault: impl Fn(&Faults) -> bool) {
        while fault(&self.lock().faults) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Drops prefills that nobody fetched, and samples the load.
    async fn age(self: Arc<Self>) {
        let life = Duration::from_millis(self.options.life_millis);
        loop {
            tokio::time::sleep(Duration::from_millis(20)).await;
            let mut state = self.lock();
            state.attempts.retain(|_, it| match it.stage {
                Stage::Prefilled(at) => at.elapsed() < life,
                _ => true,
            });
            let load = Load { busy: state.busy(), kv_tokens: state.kv() };
            state.loads.push_back((Instant::now(), load));
            if state.loads.len() > 200 {
                state.loads.pop_front();
            }
        }
    }

    /// Moves an attempt on, unless it was cancelled.
    fn stage(&self, attempt: &str, stage: Stage) -> bool {
        match self.lock().attempts.get_mut(attempt) {
            Some(held) => {
                held.stage = stage;
                true
            }
            None => false,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn busy(&self) -> u32 {
        let in_slot =
            |it: &&Attempt| matches!(it.stage, Stage::Importing | Stage::Ready | Stage::Decoding);
        self.attempts.values().filter(in_slot).count() as u32
    }

    fn kv(&self) -> u64 {
        self.attempts.values().map(|it| it.kv).sum()
    }

    /// Tokens of a prompt found in the prefix cache, which now has them.
    fn cache(&mut self, prompt: &str) -> u64 {
        let Some(prefix) = prompt.get(..PREFIX_BYTES) else {
            return 0;
        };
        let hash = xxhash_rust::xxh3::xxh3_64(prefix.as_bytes());
        if self.prefixes.contains(&hash) {
            return estimate_tokens(prefix);
        }
        self.prefixes.push_back(hash);
        let sequence = self.events.len() as u64;
        let event = Event { sequence, prefix: hash, stored: true };
        self.events.push((Instant::now(), event));
        if self.prefixes.len() > PREFIXES {
            self.prefixes.pop_front();
        }
        0
    }
}

/// One reader of an attempt's tokens.
struct Reader {
    engine: Arc<Engine>,
    attempt: String,
    next: u64,
    breaks: Option<u64>,
}

impl Reader {
    /// The next line, and whether more will follow.
    async fn line(&mut self) -> Result<(Bytes, bool), BodyError> {
        let mut changed = self.engine.changed.subscribe();
        loop {
            changed.mark_unchanged();
            if self.breaks == Some(self.next) {
                return Err("stream broken on order".into());
            }
            if let Some(line) = self.ready()? {
                let more = matches!(line, Line::Token { .. });
                let mut bytes = serde_json::to_vec(&RawLine::from(line))?;
                bytes.push(b'\n');
                return Ok((bytes.into(), more));
            }
            changed.changed().await?;
        }
    }

    fn ready(&mut self) -> Result<Option<Line>, BodyError> {
        let state = self.engine.lock();
        let attempt = state.attempts.get(&self.attempt).ok_or("attempt cancelled")?;
        if self.next < attempt.next {
            let offset = self.next;
            self.next += 1;
            let text = text::token(&attempt.prompt, offset);
            return Ok(Some(Line::Token { offset, text }));
        }
        Ok((attempt.stage == Stage::Ended).then_some(Line::End { total_tokens: attempt.end }))
    }
}
