//! Moves a run away from a leaving engine.
//!
//! Stopping a run can't be undone, so all that can be known before is made sure of first: that another engine has room, accepts
//! a connection and may be sent the request. Then the engine stops the run and copies its KV cache. From there on, both engines
//! can continue the run, and its handle serves only once. They are asked until one does or the KV cache is gone.

use crate::control::{Control, Response};
use crate::event;
use crate::exchange::{self, Answer, Call, Failure, Slot};
use crate::liveness;
use crate::node::{Node, lock};
use crate::quarantine;
use crate::reservation::Handle;
use crate::stream::Generation;
use crosslane_coordination::admission::FULL_UTILIZATION;
use crosslane_coordination::health::Outcome;
use crosslane_coordination::stop::{self, Orders, Reply};
use crosslane_platform::engine::{self, MoveOutcome};
use crosslane_platform::request::Purpose;
use crosslane_state::endpoint::{Endpoint, Key};
use crosslane_transport::connection::Error;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use log::info;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Timeout of one call: 100 MB over the engines' links take some 10 ms, queued behind other moves.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// Orders to stop one run that may wait for their replies at the same time.
const MAX_OPEN_ORDERS: usize = 3;

/// Interval between calls while the outcome is unknown.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Requests to each engine that keeps the KV cache of a stopped run.
const MAX_ASKS: u32 = 3;

/// One part in this many of the time for which KV cache is kept is the first pause between two such requests, which doubles;
/// the longest wait for the target's response before the source is asked too; and for the reply to an order before it is repeated.
const PAUSE_DIVISOR: u32 = 6;
const PATIENCE_DIVISOR: u32 = 4;

/// A move that is about to begin.
pub struct Move {
    node: Arc<Node>,
    call: Call,
    source: Endpoint,
    source_key: Key,
    target: Endpoint,
    slot: Slot,
    known: Known,
    handle_ttl: Duration,
}

/// What is known of a run that its engine may be told to stop. Belongs to the run and outlives each move.
#[derive(Clone, Debug, Default)]
pub struct Known(Arc<Mutex<Orders>>);

impl Known {
    /// What is known now.
    pub fn get(&self) -> stop::Run {
        lock(&self.0).known()
    }

    /// What is known of the run after it went on at the same engine.
    pub fn resumed(&self) -> Self {
        Self(Arc::new(Mutex::new(lock(&self.0).resumed())))
    }

    fn send(&self) {
        lock(&self.0).send();
    }

    fn record(&self, reply: Reply) -> bool {
        lock(&self.0).record(reply)
    }
}

impl Move {
    /// Plans to move a run from an engine to another one with room for it, if there is one besides those to exclude. `known`
    /// records what becomes of it.
    pub fn plan(
        generation: &Generation,
        source: &Endpoint,
        source_key: Key,
        exclude: &[Key],
        known: Known,
    ) -> Option<Self> {
        let Generation { node, call, .. } = generation;
        let exclude = [exclude, &[source_key]].concat();
        let choice = generation.choose_decode(FULL_UTILIZATION, &exclude, true)?;
        let target = node.pool().get(choice.0).cloned().filter(|to| to.tag() != source.tag())?;
        let slot = Slot::acquire(node, choice, generation.expected_tokens());
        Some(Self {
            node: node.clone(),
            call: call.clone(),
            source: source.clone(),
            source_key,
            target,
            slot,
            known,
            handle_ttl: Duration::from_millis(generation.engine.handle_ttl_ms),
        })
    }

    /// Stops the run if the other engine can be sent the request. Returns it if a reply named the handle of its KV cache; without one it
    /// may be stopped too.
    pub async fn stop(mut self) -> Option<Stopped> {
        quarantine::check(&self.node, &self.call).ok()?;
        self.slot.acquire_permit(&self.call.metadata.id).await.ok()?;
        self.slot.connect(&self.target).await.ok()?;
        let Self { node, call, source, source_key, target, slot, known, handle_ttl } = self;
        let (id, copied) =
            stop_and_copy(&node.control, &call, &source, &target, &known, handle_ttl).await?;
        let handle = Handle::new(&node, source.clone(), id);
        let source = Holder { engine: source, key: source_key, is_source: true };
        let target = Holder { engine: target, key: slot.key, is_source: false };
        let target = copied.then_some((target, slot));
        Some(Stopped { handle, source, target, at: Instant::now() })
    }
}

/// A run that was stopped, with the engines that keep its KV cache.
pub struct Stopped {
    /// KV cache; freed at both engines if it is dropped unused.
    handle: Handle,
    source: Holder,
    /// Engine to which the KV cache was copied, if it was, and the slot that was acquired there.
    target: Option<(Holder, Slot)>,
    at: Instant,
}

/// An engine that keeps the KV cache of a stopped run.
struct Holder {
    engine: Endpoint,
    key: Key,
    is_source: bool,
}

/// The attempts to continue a stopped run.
struct Continuation<'a> {
    generation: &'a Generation,
    purpose: Purpose<'a>,
    stopped_at: Instant,
    /// Signals that a request to the target failed.
    failed: Notify,
    /// Whether an engine broke off an attempt.
    broke: AtomicBool,
}

impl Stopped {
    /// Engine to which the KV cache was copied.
    pub fn target(&self) -> Option<Key> {
        self.target.as_ref().map(|(target, _)| target.key)
    }

    /// Engines that keep the KV cache.
    pub fn holders(&self) -> Vec<Key> {
        self.target().into_iter().chain([self.source.key]).collect()
    }

    /// Continues the run after an event at one of the engines that keep its KV cache; none if all fail until it has expired.
    pub async fn resume(self, generation: &Generation, last_event: Option<u64>) -> Option<Answer> {
        let Self { mut handle, source, target, at: stopped_at } = self;
        let purpose = Purpose::Decode { reservation: None, source: handle.source(), last_event };
        let (failed, broke) = (Notify::new(), AtomicBool::new(false));
        let continuation = Continuation { generation, purpose, stopped_at, failed, broke };
        let answer = match target {
            Some((target, slot)) => continuation.ask_both(&target, slot, &source).await,
            None => continuation.ask(&source, None).await,
        };
        if answer.is_some() {
            handle.id = None;
        }
        answer
    }
}

impl Continuation<'_> {
    /// Asks the target, and the source too once the target has failed or not responded for a while.
    async fn ask_both(&self, target: &Holder, slot: Slot, source: &Holder) -> Option<Answer> {
        let gap = Duration::from_millis(self.generation.route.target_gap_ms);
        let patience = gap.min(self.handle_ttl() / PATIENCE_DIVISOR);
        let mut at_target = pin!(self.ask(target, Some(slot)));
        let mut at_source = pin!(async {
            // Either way, the source is asked.
            let _ = timeout(patience, self.failed.notified()).await;
            self.ask(source, None).await
        });
        tokio::select! {
            biased;
            answer = at_target.as_mut() => match answer {
                Some(answer) => Some(answer),
                None => at_source.await,
            },
            answer = at_source.as_mut() => match answer {
                Some(answer) => Some(answer),
                None => at_target.await,
            },
        }
    }

    fn handle_ttl(&self) -> Duration {
        Duration::from_millis(self.generation.engine.handle_ttl_ms)
    }

    /// Asks an engine a few times while the KV cache is kept. Each time but the first takes a retry from the budget.
    async fn ask(&self, holder: &Holder, mut slot: Option<Slot>) -> Option<Answer> {
        let Generation { call, .. } = self.generation;
        let ttl = self.handle_ttl();
        let mut pause = ttl / PAUSE_DIVISOR;
        for number in 1..=MAX_ASKS {
            match self.attempt(holder, slot.take(), number).await {
                Ok(answer) => return Some(answer),
                Err(failure) => self.record(failure, holder),
            }
            let is_over = self.stopped_at.elapsed() + pause >= ttl || call.remaining().is_zero();
            if number == MAX_ASKS || is_over {
                break;
            }
            sleep(pause).await;
            pause *= 2;
            if !self.generation.take_retry().await {
                break;
            }
        }
        None
    }

    fn record(&self, failure: Failure, holder: &Holder) {
        self.broke.fetch_or(failure.may_have_run(), Ordering::Relaxed);
        if !holder.is_source {
            self.failed.notify_one();
        }
    }

    /// Sends the request to an engine once. An error response counts as a failure.
    async fn attempt(
        &self,
        holder: &Holder,
        slot: Option<Slot>,
        number: u32,
    ) -> Result<Answer, Failure> {
        let Generation { node, call, .. } = self.generation;
        let until = call.deadline.instant();
        let tokens = self.generation.expected_tokens();
        let mut slot = slot.unwrap_or_else(|| Slot::acquire(node, (holder.key, 0.0), tokens));
        if holder.is_source && number == 1 {
            // The engine has the run already, so it is no new request there.
            slot.skip_rate_limit();
        }
        let sent = if holder.is_source {
            let proven = !self.broke.load(Ordering::Relaxed);
            exchange::send_back(call, slot, &holder.engine, &self.purpose, until, proven).await
        } else {
            exchange::send(call, slot, &self.purpose, until).await
        };
        self.log(&holder.engine, &sent);
        let answer = sent?;
        if !answer.parts.status.is_success() {
            answer.record_outcome(Outcome::Error);
            return Err(Failure::Broken);
        }
        Ok(answer)
    }

    /// Logs what an engine answered.
    fn log(&self, engine: &Endpoint, sent: &Result<Answer, Failure>) {
        let Generation { node, call, .. } = self.generation;
        let (request, to) = (call.metadata.id.as_str(), engine.id.as_str());
        let outcome = match sent {
            Ok(answer) => answer.parts.status.to_string(),
            Err(failure) => failure.to_string(),
        };
        let listed = node.pool().key(engine.tag()).is_some();
        let stopped_ms = self.stopped_at.elapsed().as_millis() as u64;
        info!(request, to, outcome, listed, stopped_ms; "{}", event::CONTINUE);
    }
}

/// Stops a run at its engine and copies its KV cache to another one. Asks until a reply names the handle, or no further one can. An order
/// without a reply is repeated while its reply may still come: the KV cache of a stopped run is kept for a short time only. Returns the
/// handle, and whether the KV cache was copied.
async fn stop_and_copy(
    control: &Control,
    call: &Call,
    from: &Endpoint,
    to: &Endpoint,
    known: &Known,
    handle_ttl: Duration,
) -> Option<(String, bool)> {
    let run = &call.metadata.id;
    let patience = CALL_TIMEOUT.min(handle_ttl / PATIENCE_DIVISOR);
    let mut orders = FuturesUnordered::new();
    let (mut next_at, mut until) = (Instant::now(), call.deadline.instant());
    let kept_until = next_at + handle_ttl;
    let mut asks = true;
    loop {
        let response = tokio::select! {
            biased;
            Some(response) = orders.next() => response,
            () = sleep_until(until) => return None,
            () = sleep_until(next_at), if asks && orders.len() < MAX_OPEN_ORDERS => {
                known.send();
                orders.push(control.call(from, engine::move_run(from, run, to.address), CALL_TIMEOUT));
                let now = Instant::now();
                next_at = now + if now < kept_until { patience } else { CALL_TIMEOUT };
                continue;
            }
        };
        let (outcome, asks_again) = record(known, response, (run, from, to));
        match outcome {
            Some(MoveOutcome::Copied { handle }) => return Some((handle, true)),
            Some(MoveOutcome::Stopped { handle }) => return Some((handle, false)),
            _ => next_at = next_at.min(Instant::now() + RETRY_INTERVAL),
        }
        let is_gone = async || liveness::refuses_connections(control.dialer(), from).await;
        if asks && (!asks_again || is_gone().await) {
            // The replies to open orders may be under way.
            (asks, until) = (false, until.min(Instant::now() + patience));
        }
        if !asks && orders.is_empty() {
            return None;
        }
    }
}

/// Records and logs the response to an order. Returns what it says, and whether another order can tell more.
fn record(
    known: &Known,
    response: Result<Response, Error>,
    (run, from, to): (&str, &Endpoint, &Endpoint),
) -> (Option<MoveOutcome>, bool) {
    let outcome = response.as_ref().ok().map(|Response { status, body, is_framed, .. }| {
        engine::parse_move_outcome(*status, body, *is_framed)
    });
    log(run, from, to, outcome.as_ref(), &response);
    let asks_again = known.record(reply(&outcome, response.err()));
    (outcome, asks_again)
}

/// Reply to an order, from what its response says or why there is none.
fn reply(outcome: &Option<MoveOutcome>, error: Option<Error>) -> Reply {
    match outcome {
        Some(MoveOutcome::Copied { .. } | MoveOutcome::Stopped { .. }) => Reply::Stopped,
        Some(MoveOutcome::UnderWay) => Reply::UnderWay,
        Some(MoveOutcome::NoRun) => Reply::NoRun,
        Some(MoveOutcome::Refused) => Reply::Refused,
        Some(MoveOutcome::Unclear) => Reply::Missing,
        None if error.is_some_and(|error| !error.may_have_been_sent()) => Reply::Unsent,
        None => Reply::Missing,
    }
}

fn log(
    request: &str,
    from: &Endpoint,
    to: &Endpoint,
    outcome: Option<&MoveOutcome>,
    response: &Result<Response, Error>,
) {
    let (from, to) = (from.id.as_str(), to.id.as_str());
    let outcome = outcome.map_or("unknown".into(), |outcome| format!("{outcome:?}"));
    match response {
        Ok(Response { status, association, took, .. }) => {
            let took_ms = took.as_secs_f64() * 1e3;
            info!(request, from, to, outcome, why:% = status, association:%, took_ms; "{}", event::MOVE);
        }
        Err(error) => info!(request, from, to, outcome, why:% = error; "{}", event::MOVE),
    }
}
