//! Reserves decode memory at an engine before the prompt is prefilled.
//!
//! Concurrent reservations of several nodes are arbitrated by the engine. `admission` decides how long a request waits and
//! up to which load an engine is asked; requests that find no memory wait in the order of `queue`, or are refused at once if
//! `wait` expects none in time.

use crate::event;
use crate::exchange::{self, Slot};
use crate::limit;
use crate::metrics::Metrics;
use crate::quarantine;
use crate::refusal::{Reason, Refusal};
use crate::reservation::Reservation;
use crate::stream::{Generation, retry_later};
use crate::waiting::{Turn, Waiter};
use crosslane_coordination::admission::{Rank, Timeliness};
use crosslane_coordination::backlog::Pool;
use crosslane_coordination::health::Outcome;
use crosslane_coordination::pool::Unavailable;
use crosslane_coordination::queue::{Full, Urgency};
use crosslane_coordination::wait::{self, Estimate, Verdict};
use crosslane_platform::engine;
use crosslane_state::endpoint::{Key, Stage, Tag};
use crosslane_state::priority::Priority;
use crosslane_transport::connection::Error;
use hyper::StatusCode;
use log::{debug, info};
use rand::Rng;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Pause between rounds of reservation attempts: about the time in which an engine at full load ends one stream.
const RETRY_PAUSE_MS: std::ops::Range<u64> = 50..90;

/// Engines asked in one round: some may have crashed, and a refusal costs only one short call.
const MAX_ENGINES_PER_ROUND: usize = 4;

/// Timeout of a reservation, which usually takes 5 ms. An unresponsive engine must leave time to ask another one while the
/// caller waits.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(90);

/// Share of the maximum output tokens that is expected if the caller gives no estimate.
const DEFAULT_OUTPUT_SHARE: f64 = 0.5;

/// Minimum size of a reservation.
const MIN_RESERVED_TOKENS: u32 = 64;

/// Pause after engines refused a request, in which it is not woken: other nodes were faster, and their usage is not known yet.
const REFUSED_PAUSE: Duration = Duration::from_millis(15);

/// Longest time until a request that arrived behind others asks engines. Those that wait may need what is scarce, such as
/// engines of one region, and a refusal within 10 ms must not miss room elsewhere.
const MAX_FIRST_PAUSE: Duration = Duration::from_millis(5);

/// Utilization of engines that is assumed at least if they have no room.
const MIN_ASSUMED_UTILIZATION: f64 = 0.5;

/// What a request lacked whose reservations were refused.
const RESERVATIONS: &str = "reservations";

/// What a request lacks that has not asked an engine yet.
const QUEUE: &str = "queue";

/// Expected wait in the log if no stream has ended lately.
const UNKNOWN: i64 = -1;

/// Estimate if no stream has ended lately.
const NO_BACKLOG: Estimate = Estimate { ahead: 0.0, per_second: 1_000.0 };

/// Wait of a request for memory.
#[derive(Debug)]
struct Wait {
    rounds: u32,
    /// What was exhausted in the last round.
    bound: &'static str,
    /// Place in the queue.
    waiter: Option<Waiter>,
    since: Instant,
}

impl Generation {
    /// Whether no engine can run the request, however long it waits for memory.
    fn reaches_no_engine(&self) -> bool {
        let unreachable = self.unreachable();
        let any_left = || {
            let terms = self.call.terms();
            self.node.pool().any_besides(&self.service, Stage::Decode, terms, &unreachable)
        };
        self.node.has_lost(&self.service) || (!unreachable.is_empty() && !any_left())
    }

    /// Whether the stream can go on only at some engines of the service.
    fn is_bound(&self) -> bool {
        let service = Tag::of(&self.service);
        self.call.build.get().is_some() && self.node.pool().builds().several(service)
    }

    /// Whether no engine is left that runs the build at which the stream began.
    pub fn has_no_version(&self) -> bool {
        let terms = self.call.terms();
        let unavailable = self.node.pool().unavailable(&self.service, Stage::Decode, terms);
        unavailable == Some(Unavailable::Build)
    }

    /// KV cache tokens that the request is expected to need.
    pub fn expected_tokens(&self) -> u32 {
        self.call.metadata.prompt_tokens + self.output_tokens()
    }

    /// Output tokens that the request is expected to generate.
    fn output_tokens(&self) -> u32 {
        let metadata = &self.call.metadata;
        let default = (f64::from(metadata.max_output_tokens) * DEFAULT_OUTPUT_SHARE) as u32;
        metadata.expected_output_tokens.unwrap_or(default).min(metadata.max_output_tokens)
    }

    /// Reserves memory at a decode engine other than these, and waits for it until a time.
    pub async fn reserve(&self, until: Instant, except: &[Key]) -> Result<Reservation, Refusal> {
        let since = Instant::now();
        let mut wait = Wait { rounds: 0, bound: QUEUE, waiter: None, since };
        let result = self.reserve_in_order(&mut wait, until, except).await;
        if wait.waiter.take().is_some() {
            Metrics::observe(&self.node.metrics.room_wait, since.elapsed());
        }
        result
    }

    async fn reserve_in_order(
        &self,
        wait: &mut Wait,
        until: Instant,
        except: &[Key],
    ) -> Result<Reservation, Refusal> {
        // Elsewhere waiting requests ask for room at intervals, without an order.
        let is_ordered = self.node.sheds(&self.service);
        // A request behind others joins them first: it must not take room that they wait for.
        let mut asks = !is_ordered || !self.node.waiting.is_behind(self.pool(), self.urgency());
        if !asks
            && self.choose_decode(self.max_utilization(), &self.excluded(except), true).is_none()
        {
            self.check_reach(until)?;
            self.check_expected(wait, until)?;
        }
        loop {
            if asks {
                wait.bound = match self.round(until, except).await {
                    Ok(reservation) => return Ok(reservation),
                    Err(bound) => bound,
                };
                wait.rounds += 1;
            }
            self.check_reach(until)?;
            if wait.rounds == 1 {
                self.check_expected(wait, until)?;
            }
            if !is_ordered {
                let pause = Duration::from_millis(rand::rng().random_range(RETRY_PAUSE_MS));
                if Instant::now() + pause >= until {
                    return Err(self.refuse(wait, "no_room"));
                }
                sleep(pause).await;
                continue;
            }
            // Before the pause, so that less urgent requests do not take the room that comes free meanwhile.
            if wait.waiter.is_none() {
                wait.waiter = Some(self.join(wait)?);
            }
            if wait.bound == RESERVATIONS {
                sleep(REFUSED_PAUSE).await;
            }
            let pause = Duration::from_millis(rand::rng().random_range(RETRY_PAUSE_MS));
            let pause = if asks { pause } else { MAX_FIRST_PAUSE };
            let now = Instant::now();
            let not_before = if asks { now + pause } else { now };
            let Some(waiter) = &wait.waiter else {
                continue;
            };
            waiter.pass();
            match waiter.turn(not_before, now + pause, until).await {
                Turn::Ask => asks = true,
                // Engines are asked at least once.
                Turn::Over if wait.rounds == 0 => asks = true,
                Turn::Over => return Err(self.refuse(wait, "no_room")),
                Turn::Displaced => {
                    self.node.metrics.displaced.inc();
                    return Err(self.refuse(wait, "displaced"));
                }
            }
        }
    }

    /// Refuses a request for which waiting is of no use.
    fn check_reach(&self, until: Instant) -> Result<(), Refusal> {
        if let Some(refusal) =
            exchange::refusal(&self.node, &self.service, Stage::Decode, &self.call)
        {
            return Err(refusal);
        }
        if self.reaches_no_engine() {
            // Other engines of the service may be reached, and other nodes reach no more of this build.
            let bound = self.call.build.get().is_some() && !self.node.has_lost(&self.service);
            let reason = if bound { Reason::NoVersion } else { Reason::Unreachable };
            return Err(retry_later(reason));
        }
        limit::refusal_by(&self.node, &self.service, until).map_or(Ok(()), Err)
    }

    /// Refuses a request that has found no room if the expected wait is too long. A stream that has begun waits in any case.
    fn check_expected(&self, wait: &Wait, until: Instant) -> Result<(), Refusal> {
        if self.may_be_served(until) {
            return Ok(());
        }
        self.node.metrics.shed.inc();
        Err(self.refuse(wait, "wait_too_long"))
    }

    /// Whether room is expected to come free before a time.
    fn may_be_served(&self, until: Instant) -> bool {
        let useful_ms = until.saturating_duration_since(Instant::now()).as_millis() as u64;
        let sheds = self.attempts() == 0 && self.node.sheds(&self.service);
        let estimate = self.estimate().filter(|_| sheds);
        estimate.is_none_or(|estimate| {
            let verdict = wait::decide(estimate, useful_ms, self.level(), rand::random());
            verdict == Verdict::Wait
        })
    }

    /// Joins the requests that wait.
    fn join(&self, wait: &Wait) -> Result<Waiter, Refusal> {
        let joined = self.node.waiting.join(self.pool(), self.urgency(), self.call.body.len());
        joined.map_err(|Full| self.refuse(wait, "queue_full"))
    }

    /// Decode engines of the service.
    fn pool(&self) -> Pool {
        Pool { service: Tag::of(&self.service), stage: Stage::Decode }
    }

    fn urgency(&self) -> Urgency {
        let waited_ms = self.call.arrived.elapsed().as_millis() as u64;
        let arrived = self.node.now() - waited_ms;
        Urgency { priority: self.call.priority, timeliness: self.timeliness, arrived }
    }

    /// Expected wait, if streams have ended lately.
    fn estimate(&self) -> Option<Estimate> {
        let (known, engines) = self.node.pool().in_progress(&self.service, Stage::Decode);
        // Full engines hold streams, also if this node does not know them, for instance after a restart.
        let assumed = engines as f64 * MIN_ASSUMED_UTILIZATION / self.share();
        let in_progress = known.max(assumed as u32);
        let now = self.node.now();
        self.node.waiting.estimate(self.pool(), self.urgency(), in_progress, now)
    }

    /// Memory that the request needs, as a share of an engine's.
    fn share(&self) -> f64 {
        f64::from(self.expected_tokens().max(1)) / self.engine.kv_capacity_tokens.max(1) as f64
    }

    /// Place of the request's priority among those of its service.
    fn level(&self) -> f64 {
        let table = self.node.table();
        table.map_or(1.0, |table| table.level(&self.service, self.call.priority))
    }

    /// Utilization above which an engine is considered full for this request.
    fn max_utilization(&self) -> f64 {
        let among_equals = self.timeliness.max_utilization(self.is_bound());
        let ranked = self.node.table().is_some_and(|table| table.is_ranked(&self.service));
        if !ranked {
            return among_equals;
        }
        let (pool, priority) = (self.pool(), self.call.priority);
        let rank = Rank {
            more_urgent: self.node.waiting.more_urgent(pool, priority, self.node.now()),
            share: self.share(),
        };
        rank.max_utilization(among_equals)
    }

    /// Reserves memory for the output tokens only, at an engine that caches the prompt. A reservation for the prompt as
    /// well would evict it.
    pub async fn reserve_at(&self, engine: Key) -> Option<Reservation> {
        self.reserve_on((engine, 0.0), self.output_tokens().max(MIN_RESERVED_TOKENS)).await
    }

    /// Engines that the request may not use.
    fn excluded(&self, except: &[Key]) -> Vec<Key> {
        let mut excluded = quarantine::engines_with_trials(&self.node, &self.call);
        excluded.extend(except);
        excluded.extend(self.unreachable().iter());
        excluded
    }

    /// Asks the best engines for memory once, and no further one after `until`. The error says what is exhausted: `memory` if no engine seems to have
    /// room, `reservations` if engines refused.
    async fn round(&self, until: Instant, except: &[Key]) -> Result<Reservation, &'static str> {
        let tokens = self.expected_tokens();
        let mut tried = self.excluded(except);
        let excluded = tried.len();
        // Each refusal takes some milliseconds, and a caller that is refused in the end should know at once.
        let is_over =
            |asked: usize| asked > 0 && (Instant::now() >= until || !self.may_be_served(until));
        while tried.len() < excluded + MAX_ENGINES_PER_ROUND && !is_over(tried.len() - excluded) {
            let Some(choice) =
                self.choose_decode(self.max_utilization(), &tried, tried.len() == excluded)
            else {
                return Err(if tried.len() == excluded { "memory" } else { RESERVATIONS });
            };
            match self.reserve_on(choice, tokens).await {
                Some(reservation) => return Ok(reservation),
                None => tried.push(choice.0),
            }
        }
        Err(RESERVATIONS)
    }

    /// Refuses the request for lack of room, and logs why.
    fn refuse(&self, wait: &Wait, outcome: &'static str) -> Refusal {
        let now = self.node.now();
        self.node.waiting.record_refusal(self.pool(), self.call.priority, now);
        let estimate = self.estimate();
        let backlog = estimate.filter(|_| self.node.sheds(&self.service)).unwrap_or(NO_BACKLOG);
        let retry_after_ms = wait::retry_after_ms(backlog, self.level(), rand::random());
        let tokens = self.expected_tokens();
        let occupancy = self.node.pool().occupancy(&self.service, self.engine.kv_capacity_tokens);
        let request = self.call.metadata.id.as_str();
        let late = self.timeliness != Timeliness::OnTime;
        let Priority { organisation, route } = self.call.priority;
        let priority = format!("{organisation}.{route}");
        let waited_ms = wait.since.elapsed().as_millis() as u64;
        let ahead = estimate.map_or(UNKNOWN, |known| known.ahead as i64);
        let expected_ms = estimate.map_or(UNKNOWN, |known| known.expected_ms() as i64);
        let Wait { rounds, bound, .. } = *wait;
        info!(
            request, late, tokens, rounds, bound, occupancy, priority, waited_ms, ahead,
            expected_ms, retry_after_ms, outcome;
            "{}", event::RESERVE
        );
        Refusal::retry_after(Reason::NoRoom, Duration::from_millis(retry_after_ms))
    }

    /// Reserves memory at one engine.
    async fn reserve_on(&self, choice: (Key, f64), tokens: u32) -> Option<Reservation> {
        let key = choice.0;
        let engine = self.node.pool().get(key).cloned()?;
        let mut slot = Slot::acquire(&self.node, choice, self.expected_tokens());
        // Before memory is reserved, which would stay unused without a permit.
        slot.acquire_permit(&self.call.metadata.id).await.ok()?;
        let request = engine::reserve(&engine, tokens, self.engine.max_hold_ms);
        let answer = self.node.control.call(&engine, request, RESERVE_TIMEOUT).await;
        let id = match &answer {
            Ok(answer) if answer.status.is_success() => engine::parse_reservation(&answer.body),
            Ok(answer) => {
                debug!("reservation at {} refused: {}", engine.id, answer.status);
                let full = answer.status == StatusCode::SERVICE_UNAVAILABLE;
                slot.record_outcome(if full { Outcome::Refused } else { Outcome::Down });
                None
            }
            Err(error) => {
                debug!("reservation at {} failed: {error}", engine.id);
                // A stream that has begun waits for engines of its build, or until other nodes are seen to be the only way to them.
                let has_begun = self.call.build.get().is_some();
                if !has_begun && matches!(error, Error::Unreachable { refused: true, .. }) {
                    self.unreachable().push(key);
                }
                slot.record_outcome(exchange::error_outcome(error));
                None
            }
        };
        let id = id?;
        slot.record_grant();
        Some(Reservation::new(&self.node, engine, id, slot))
    }
}
