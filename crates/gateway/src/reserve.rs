//! Reserves decode memory at an engine before the prompt is prefilled.
//!
//! Concurrent reservations of several nodes are arbitrated by the engine. `admission` decides how long a request waits and
//! up to which load an engine is asked.

use crate::event;
use crate::exchange::{self, Slot};
use crate::limit;
use crate::quarantine;
use crate::refusal::{Reason, Refusal};
use crate::reservation::Reservation;
use crate::stream::{Generation, retry_later};
use crosslane_coordination::admission::Timeliness;
use crosslane_coordination::health::Outcome;
use crosslane_coordination::pool::Unavailable;
use crosslane_platform::engine;
use crosslane_state::endpoint::{Key, Stage, Tag};
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
        let mut rounds = 0_u32;
        loop {
            let bound = match self.round(except).await {
                Ok(reservation) => return Ok(reservation),
                Err(bound) => bound,
            };
            rounds += 1;
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
            if let Some(refusal) = limit::refusal_by(&self.node, &self.service, until) {
                return Err(refusal);
            }
            let pause = Duration::from_millis(rand::rng().random_range(RETRY_PAUSE_MS));
            if Instant::now() + pause >= until {
                self.log_no_room(bound, rounds);
                return Err(retry_later(Reason::NoRoom));
            }
            sleep(pause).await;
        }
    }

    /// Reserves memory for the output tokens only, at an engine that caches the prompt. A reservation for the prompt as
    /// well would evict it.
    pub async fn reserve_at(&self, engine: Key) -> Option<Reservation> {
        self.reserve_on((engine, 0.0), self.output_tokens().max(MIN_RESERVED_TOKENS)).await
    }

    /// Asks the best engines for memory once. The error says what is exhausted: `memory` if no engine seems to have
    /// room, `reservations` if engines refused.
    async fn round(&self, except: &[Key]) -> Result<Reservation, &'static str> {
        let tokens = self.expected_tokens();
        let mut tried = quarantine::engines_with_trials(&self.node, &self.call);
        tried.extend(except);
        tried.extend(self.unreachable().iter());
        let excluded = tried.len();
        while tried.len() < excluded + MAX_ENGINES_PER_ROUND {
            let max_utilization = self.timeliness.max_utilization(self.is_bound());
            let Some(choice) = self.choose_decode(max_utilization, &tried) else {
                return Err(if tried.len() == excluded { "memory" } else { "reservations" });
            };
            match self.reserve_on(choice, tokens).await {
                Some(reservation) => return Ok(reservation),
                None => tried.push(choice.0),
            }
        }
        Err("reservations")
    }

    fn log_no_room(&self, bound: &'static str, rounds: u32) {
        let tokens = self.expected_tokens();
        let occupancy = self.node.pool().occupancy(&self.service, self.engine.kv_capacity_tokens);
        let request = self.call.metadata.id.as_str();
        let late = self.timeliness != Timeliness::OnTime;
        let outcome = "no_room";
        info!(request, late, tokens, rounds, bound, occupancy, outcome; "{}", event::RESERVE);
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
                slot.record_outcome(exchange::error_outcome(error));
                None
            }
        };
        let id = id?;
        Some(Reservation::new(&self.node, engine, id, slot))
    }
}
