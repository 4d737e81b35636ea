//! One model request, from a slot to the last token.
//!
//! The decode slot is taken first, then a prefill slot; only then is work handed to an engine,
//! so that a finished prefill has a place to go. Whatever an attempt may hold is freed when it
//! ends, however it ends.

use crate::claims::Claimed;
use crate::engine::{self, Engine, Stream};
use crate::metrics::Counter;
use crate::node::Shared;
use crate::reserve::{self, Slot};
use crate::sweep::{self, Hold};
use crate::tape::{Head, Tape};
use bytes::Bytes;
use crosslane_coordination::node::{Node, Requirements};
use crosslane_coordination::retry::{self, Denial};
use crosslane_coordination::slots::Request;
use crosslane_coordination::splice::{Action, Splice};
use crosslane_protocol::completion::Completion;
use crosslane_protocol::engine::{Decode, Import, Line, Prefill};
use crosslane_protocol::refusal::{Code, Refusal};
use crosslane_state::attempt;
use crosslane_state::request::{Class, Decision, Organisation, Outcome};
use crosslane_state::runner::{Id, Role, Runner};
use crosslane_state::time::Millis;
use std::sync::Arc;
use std::time::Duration;

/// Times a stream is resumed on the same engine.
const RESUMES: usize = 3;

/// Pause before a stream is resumed.
const RESUME_PAUSE: Duration = Duration::from_millis(20);

/// Time left for a retry once output has begun, in milliseconds.
const AFTER_FIRST_MILLIS: u64 = 10_000;

/// Advice on when to come back when there is nothing better to go by, in milliseconds.
pub const NOT_READY_MILLIS: u64 = 1_000;

/// Added to a prefill's expected time before it counts as stalled.
const PREFILL_GRACE: Duration = Duration::from_secs(2);

/// Pause between tries of an import that the decode engine refused.
const IMPORT_PAUSE: Duration = Duration::from_millis(20);

/// A model request to run.
#[derive(Clone, Debug)]
pub struct Job {
    /// The request.
    pub completion: Completion,
    /// What the policy says of it.
    pub verdict: Decision,
    /// On whose behalf.
    pub organisation: Organisation,
    /// When the first output is due.
    pub deadline: Millis,
    /// Hash of the key to claim first, for one that may not be repeated.
    pub claim: Option<u64>,
    /// Number of the request at this node.
    pub sequence: u64,
}

/// Why an attempt failed.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Failure {
    /// Every caller has left.
    Left,
    /// No usable runner.
    NoRunner,
    /// No slot in time.
    Overloaded { retry_after: u64 },
    /// The claim could not be made.
    Claim(Claimed),
    /// An engine failed.
    Engine { runner: Id, error: engine::Error },
}

struct Run {
    shared: Arc<Shared>,
    job: Job,
    tape: Arc<Tape>,
    splice: Splice,
    claimed: bool,
    ran: bool,
}

/// What one attempt holds.
#[derive(Debug, Default)]
struct Holds {
    decode: Option<Hold>,
    prefill: Option<Hold>,
    ran: bool,
    unused_tokens: u64,
}

/// Runs a request; its pieces go to the tape.
pub async fn run(shared: Arc<Shared>, job: Job, tape: Arc<Tape>) -> Result<(), Refusal> {
    let first = attempt::Id { origin: shared.me, sequence: job.sequence, retry_number: 0 };
    tape.head(Head { status: 200, content_type: crate::http::JSON.to_owned() });
    let splice = Splice::new(first);
    let run = Run { shared, job, tape, splice, claimed: false, ran: false };
    run.attempts(first).await
}

impl Run {
    async fn attempts(mut self, first: attempt::Id) -> Result<(), Refusal> {
        let mut attempt = first;
        loop {
            let mut holds = Holds::default();
            self.shared.flights.begin(attempt);
            let tape = self.tape.clone();
            let result = tokio::select! {
                biased;
                () = tape.deserted() => Err(Failure::Left),
                result = self.attempt(attempt, &mut holds) => result,
            };
            self.ran |= holds.ran;
            holds.free(&self.shared, attempt);
            self.shared.flights.end(attempt);
            let Err(failure) = result else {
                return Ok(());
            };
            let pause = self.retry(failure, attempt.retry_number).await?;
            tokio::time::sleep(Duration::from_millis(pause)).await;
            attempt = attempt.next();
            self.splice.switch_attempt(attempt);
        }
    }

    async fn attempt(&mut self, attempt: attempt::Id, holds: &mut Holds) -> Result<(), Failure> {
        let tokens = self.job.completion.estimated_prompt_tokens() + self.splice.next_offset();
        let decode = self.take_decode(attempt, tokens, holds).await?;
        if tokens <= self.shared.settings.placement.local_prefill_tokens {
            self.shared.metrics.count(Counter::PrefillLocal);
            self.dispatchable().await?;
            touch(&mut holds.decode);
            self.prefill(attempt, &decode, holds).await?;
        } else {
            let prefill = self.take_prefill(attempt, tokens, holds).await?;
            self.dispatchable().await?;
            touch(&mut holds.prefill);
            self.prefill(attempt, &prefill, holds).await?;
            if let Some(hold) = &holds.prefill {
                self.release_early(attempt, hold);
            }
            touch(&mut holds.decode);
            self.import(attempt, &decode, &prefill).await?;
            if let Some(hold) = holds.prefill.take() {
                tokio::spawn(sweep::free(self.shared.clone(), attempt, hold));
            }
        }
        self.decode(attempt, &decode, holds).await
    }

    async fn take_decode(
        &mut self,
        attempt: attempt::Id,
        tokens: u64,
        holds: &mut Holds,
    ) -> Result<Runner, Failure> {
        let max_tokens = self.job.completion.max_tokens;
        let lead = self.prefill_millis(tokens);
        let hold = lead + max_tokens * self.shared.settings.placement.token_millis;
        let transfer = self.transfer_millis(tokens);
        let ask = Request {
            lead_ms: lead,
            transfer_ms: transfer,
            ..self.ask(attempt, tokens, tokens + max_tokens, hold)
        };
        let Slot { runner, owner, start_in } = self.take(Role::Decode, ask).await?;
        holds.decode = Some(Hold { runner: runner.clone(), owner, dispatched: false });
        tokio::time::sleep(Duration::from_millis(start_in)).await;
        self.shared.flights.touch(attempt, &runner.vm);
        Ok(runner)
    }

    async fn take_prefill(
        &mut self,
        attempt: attempt::Id,
        tokens: u64,
        holds: &mut Holds,
    ) -> Result<Runner, Failure> {
        let ask = self.ask(attempt, tokens, tokens, self.prefill_millis(tokens));
        let Slot { runner, owner, .. } = self.take(Role::Prefill, ask).await?;
        holds.prefill = Some(Hold { runner: runner.clone(), owner, dispatched: false });
        self.shared.flights.touch(attempt, &runner.vm);
        Ok(runner)
    }

    /// An ask whose patience leaves time for prefill, transfer and the first output.
    fn ask(&self, attempt: attempt::Id, tokens: u64, kv_tokens: u64, hold: u64) -> Request {
        let work = self.prefill_millis(tokens) + self.transfer_millis(tokens);
        let first = self.shared.settings.placement.token_millis;
        Request {
            attempt,
            class: self.job.verdict.class,
            organisation: self.job.organisation,
            kv_tokens,
            max_wait_ms: self.left().saturating_sub(work + first),
            lead_ms: 0,
            hold_ms: hold,
            transfer_ms: 0,
        }
    }

    async fn take(&self, role: Role, ask: Request) -> Result<Slot, Failure> {
        let wanted = Requirements {
            role,
            serves: &self.job.completion.model,
            domains: &self.job.verdict.domains,
            exclude: &[],
            hold_ms: ask.hold_ms,
        };
        reserve::take(&self.shared, wanted, ask).await.map_err(|error| match error {
            reserve::Error::NoRunner => Failure::NoRunner,
            reserve::Error::Full { retry_after } => Failure::Overloaded { retry_after },
        })
    }

    /// Makes the claim, if one is due, and sees to it that this node may still dispatch.
    async fn dispatchable(&mut self) -> Result<(), Failure> {
        if let Some(key) = self.job.claim.filter(|_| !self.claimed) {
            match self.shared.claims.claim(key).await {
                Claimed::Mine => self.claimed = true,
                other => return Err(Failure::Claim(other)),
            }
        }
        if self.shared.fresh().await { Ok(()) } else { Err(Failure::NoRunner) }
    }

    async fn prefill(
        &self,
        attempt: attempt::Id,
        runner: &Runner,
        holds: &mut Holds,
    ) -> Result<(), Failure> {
        let completion = &self.job.completion;
        let body = Prefill {
            attempt: attempt.to_string(),
            model: completion.model.clone(),
            prompt: completion.prompt.clone(),
            done: self.splice.next_offset(),
            quick: self.job.verdict.class == Class::Quick,
        };
        let expected = self.prefill_millis(completion.estimated_prompt_tokens());
        let limit = Duration::from_millis(self.left().max(expected)) + PREFILL_GRACE;
        let ran = std::mem::replace(&mut holds.ran, true);
        let prefilled = self.engine(runner).prefill(&body, limit).await;
        match prefilled {
            Ok(prefilled) => {
                let tokens = prefilled.tokens - prefilled.cached;
                self.shared.metrics.add(Counter::PrefillTokens, tokens);
                holds.unused_tokens = tokens;
                Ok(())
            }
            Err(error) => {
                holds.ran = ran || error.ran();
                Err(Failure::Engine { runner: runner.id, error })
            }
        }
    }

    /// The prefill engine can take the next prompt while this result is still being moved.
    fn release_early(&self, attempt: attempt::Id, hold: &Hold) {
        if let Some(owner) = hold.owner {
            let (shared, runner) = (self.shared.clone(), hold.runner.id);
            tokio::spawn(async move { sweep::release(&shared, owner, runner, attempt).await });
        }
    }

    async fn import(
        &self,
        attempt: attempt::Id,
        decode: &Runner,
        prefill: &Runner,
    ) -> Result<(), Failure> {
        let body = Import {
            attempt: attempt.to_string(),
            source: prefill.address.to_string(),
            max_tokens: self.job.completion.max_tokens,
        };
        let limit = Duration::from_millis(self.left()) + PREFILL_GRACE;
        loop {
            match self.engine(decode).import(&body, limit).await {
                Ok(()) => return Ok(()),
                Err(engine::Error::Refused { .. }) if self.left() > 0 => {
                    tokio::time::sleep(IMPORT_PAUSE).await;
                }
                Err(error) => {
                    return Err(Failure::Engine { runner: decode.id, error });
                }
            }
        }
    }

    async fn decode(
        &mut self,
        attempt: attempt::Id,
        runner: &Runner,
        holds: &mut Holds,
    ) -> Result<(), Failure> {
        let engine = self.engine(runner);
        let failed = |error| Failure::Engine { runner: runner.id, error };
        let mut stream = engine.decode(&self.wanted(attempt)).await.map_err(failed)?;
        let mut resumes = 0;
        loop {
            match self.read(attempt, &mut stream, holds).await {
                Ok(()) => return Ok(()),
                Err(engine::Error::Broken { .. } | engine::Error::Stalled) if resumes < RESUMES => {
                    resumes += 1;
                    stream = self.resume(&engine, attempt).await.map_err(failed)?;
                }
                Err(error) => return Err(failed(error)),
            }
        }
    }

    /// Reads on where a stream broke off; the connection may break more than once.
    async fn resume(&self, engine: &Engine, attempt: attempt::Id) -> Result<Stream, engine::Error> {
        let mut tries = 0;
        loop {
            self.shared.metrics.count(Counter::Resumed);
            tokio::time::sleep(RESUME_PAUSE).await;
            tries += 1;
            match engine.resume(&self.wanted(attempt)).await {
                Err(engine::Error::Broken { .. }) if tries < RESUMES => {}
                result => return result,
            }
        }
    }

    /// Reads a stream until its end mark.
    async fn read(
        &mut self,
        attempt: attempt::Id,
        stream: &mut Stream,
        holds: &mut Holds,
    ) -> Result<(), engine::Error> {
        loop {
            match stream.next().await? {
                Line::Token { offset, text } => match self.splice.accept(attempt, offset) {
                    Action::Forward => {
                        holds.unused_tokens = 0;
                        self.tape.push(Bytes::from(text));
                    }
                    Action::Drop => {}
                    Action::Gap => return Err(broken("pieces are missing")),
                },
                Line::End { total_tokens: total } if self.splice.finish(attempt, total) => {
                    return Ok(());
                }
                Line::End { .. } => return Err(broken("end mark too early")),
            }
        }
    }

    fn wanted(&self, attempt: attempt::Id) -> Decode {
        Decode {
            attempt: attempt.to_string(),
            from: self.splice.next_offset(),
            max_tokens: self.job.completion.max_tokens,
        }
    }

    /// Decides on a retry: the pause before it, or the refusal to give.
    async fn retry(&self, failure: Failure, round: u16) -> Result<u64, Refusal> {
        let (runner, error) = match failure {
            Failure::Engine { runner, error } => (runner, error),
            other => return Err(self.refusal(&other)),
        };
        let tokens = self.job.completion.estimated_prompt_tokens() + self.splice.next_offset();
        let asked = retry::Failure {
            ran: self.ran,
            repeatable: self.job.verdict.repeatable,
            round,
            left: self.left(),
            needs: self.prefill_millis(tokens),
        };
        let decide = move |node: &mut Node, now| {
            node.mark_failed(runner, now);
            node.budget.retry(asked)
        };
        match self.shared.keeper.visit(decide).await {
            Ok(pause) => {
                self.shared.metrics.count(reason(&error));
                Ok(pause)
            }
            Err(denial) => {
                self.shared.metrics.count(denied(denial));
                Err(self.refuse(Code::RunnerFailed, error.to_string()))
            }
        }
    }

    fn refusal(&self, failure: &Failure) -> Refusal {
        match failure {
            Failure::Left => {
                self.shared.metrics.count(Counter::CallerLeft);
                self.refuse(Code::CallerLeft, "the caller left")
            }
            Failure::Overloaded { retry_after } => self
                .refuse(Code::Overloaded, "no slot in time for the first output")
                .retry_after(*retry_after),
            Failure::Claim(Claimed::Elsewhere) => {
                Refusal::unknown(Code::KeyUnknown, "another node claimed this key")
            }
            Failure::Claim(_) => self
                .refuse(Code::ClaimUnavailable, "neither the log nor a peer took the claim")
                .retry_after(NOT_READY_MILLIS),
            Failure::NoRunner | Failure::Engine { .. } => self
                .refuse(Code::NoRunner, "no usable runner for this model")
                .retry_after(NOT_READY_MILLIS),
        }
    }

    fn refuse(&self, code: Code, message: impl Into<String>) -> Refusal {
        let outcome = if self.ran { Outcome::Unknown } else { Outcome::NotRun };
        Refusal { code, outcome, message: message.into(), retry_after_ms: None }
    }

    fn left(&self) -> u64 {
        if self.splice.next_offset() > 0 {
            return AFTER_FIRST_MILLIS;
        }
        self.job.deadline.since(self.shared.clock.now())
    }

    fn prefill_millis(&self, tokens: u64) -> u64 {
        tokens * 1_000 / self.shared.settings.placement.prefill_rate
    }

    /// Expected time on the link; none if the prompt is prefilled where it decodes.
    fn transfer_millis(&self, tokens: u64) -> u64 {
        let placement = self.shared.settings.placement;
        let local = tokens <= placement.local_prefill_tokens;
        if local { 0 } else { tokens * 1_000 / placement.link_rate }
    }

    fn engine(&self, runner: &Runner) -> Engine {
        Engine::new(self.shared.client.clone(), runner.address)
    }
}

impl Holds {
    fn free(self, shared: &Arc<Shared>, attempt: attempt::Id) {
        shared.metrics.add(Counter::PrefillWasted, self.unused_tokens);
        for hold in [self.decode, self.prefill].into_iter().flatten() {
            tokio::spawn(sweep::free(shared.clone(), attempt, hold));
        }
    }
}

fn touch(hold: &mut Option<Hold>) {
    if let Some(hold) = hold {
        hold.dispatched = true;
    }
}

fn broken(message: &str) -> engine::Error {
    engine::Error::Broken { message: message.to_owned() }
}

fn reason(error: &engine::Error) -> Counter {
    match error {
        engine::Error::Unreachable => Counter::RetryUnreachable,
        engine::Error::Refused { .. } => Counter::RetryRefused,
        engine::Error::Gone => Counter::RetryGone,
        engine::Error::Broken { .. } => Counter::RetryBroken,
        engine::Error::Stalled => Counter::RetryStalled,
    }
}

/// Counter of a denied retry.
pub fn denied(denial: Denial) -> Counter {
    match denial {
        Denial::Budget => Counter::DeniedBudget,
        Denial::Deadline => Counter::DeniedDeadline,
        Denial::NotRepeatable => Counter::DeniedNotRepeatable,
    }
}
