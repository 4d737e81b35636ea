//! Decode memory, reserved at an engine before a prompt is read.
//!
//! The engine itself arbitrates between nodes. Who asks first, for how long and up to which load is
//! decided by `admission`.

use crate::event;
use crate::exchange::{self, Seat};
use crate::hold::Hold;
use crate::limit;
use crate::quarantine;
use crate::refusal::{Reason, Refusal};
use crate::stream::{Run, come_back};
use crosslane_coordination::admission::Standing;
use crosslane_coordination::health::Outcome;
use crosslane_platform::engine;
use crosslane_state::endpoint::Key;
use hyper::StatusCode;
use log::{debug, info};
use rand::Rng;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Pause before memory is asked for again: about the time in which one of the sites' engines ends
/// a draft at full load.
const PAUSE_MILLIS: std::ops::Range<u64> = 50..90;

/// Engines asked for memory before a pause: some may have crashed, and a refusal costs one short
/// call.
const ASKED: usize = 4;

/// Time for the answer to a reservation, which usually takes 5 ms. One silent engine must leave time
/// to ask another while a caller waits.
const HOLD_ANSWER: Duration = Duration::from_millis(90);

/// Share of the most tokens that are expected where the caller gives no estimate.
const USUAL_SHARE: f64 = 0.5;

/// Fewest tokens that are reserved.
const LEAST: u32 = 64;

impl Run {
    /// Tokens of KV cache that the request is expected to need.
    pub fn tokens(&self) -> u32 {
        self.call.ask.prompt_tokens + self.output()
    }

    /// Tokens that the request is expected to generate.
    fn output(&self) -> u32 {
        let ask = &self.call.ask;
        let usual = (f64::from(ask.max_output_tokens) * USUAL_SHARE) as u32;
        ask.expected_output_tokens.unwrap_or(usual).min(ask.max_output_tokens)
    }

    /// Reserves memory at a decoding engine, if need be not at one of them.
    pub async fn reserve(&self, until: Instant, but: Option<Key>) -> Result<Hold, Refusal> {
        let mut rounds = 0_u32;
        loop {
            let bound = match self.round(but).await {
                Ok(hold) => return Ok(hold),
                Err(bound) => bound,
            };
            rounds += 1;
            if let Some(refusal) = limit::refusal_by(&self.node, &self.service, until) {
                return Err(refusal);
            }
            let pause = Duration::from_millis(rand::rng().random_range(PAUSE_MILLIS));
            if Instant::now() + pause >= until {
                self.no_room(bound, rounds);
                return Err(come_back(Reason::NoRoom));
            }
            sleep(pause).await;
        }
    }

    /// Reserves memory at an engine that keeps the prompt, for what is still to be generated. To
    /// reserve the whole would push the prompt out.
    pub async fn reserve_at(&self, keeper: Key) -> Option<Hold> {
        self.hold((keeper, 0.0), self.output().max(LEAST)).await
    }

    /// Asks the best engines for memory once, or says what is short.
    async fn round(&self, but: Option<Key>) -> Result<Hold, &'static str> {
        let tokens = self.tokens();
        let mut tried = quarantine::others_on_trial(&self.node, &self.call);
        tried.extend(but);
        let barred = tried.len();
        while tried.len() < barred + ASKED {
            let Some(place) = self.decoder(self.standing.full(), &tried) else {
                return Err(if tried.len() == barred { "memory" } else { "reservations" });
            };
            match self.hold(place, tokens).await {
                Some(hold) => return Ok(hold),
                None => tried.push(place.0),
            }
        }
        Err("reservations")
    }

    fn no_room(&self, bound: &'static str, rounds: u32) {
        let tokens = self.tokens();
        let occupancy = self.node.pool().occupancy(&self.service, self.engine.kv_capacity_tokens);
        let request = self.call.ask.id.as_str();
        let late = self.standing != Standing::OnTime;
        let outcome = "no_room";
        info!(request, late, tokens, rounds, bound, occupancy, outcome; "{}", event::RESERVE);
    }

    async fn hold(&self, place: (Key, f64), tokens: u32) -> Option<Hold> {
        let key = place.0;
        let engine = self.node.pool().get(key).cloned()?;
        let mut seat = Seat::take(&self.node, place, self.tokens());
        // Before memory is reserved, which would lie idle without it.
        seat.admit(&self.call.ask.id).await.ok()?;
        let request = engine::reserve(&engine, tokens, self.engine.max_hold_ms);
        let answer = self.node.control.call(engine.address, request, HOLD_ANSWER).await;
        let id = match &answer {
            Ok(answer) if answer.status.is_success() => engine::parse_reservation(&answer.body),
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
}
