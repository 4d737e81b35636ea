//! Execution of one model request, from the slot reservation to the last token.
//!
//! An attempt reserves a decode slot first and then a prefill slot, and only then calls an engine,
//! so that a decode engine is ready for the finished prefill. All resources that an attempt may
//! hold are freed when it ends, whatever the result.

use crate::buffer::{Buffer, Head};
use crate::claims::Claimed;
use crate::cleanup::{self, Hold};
use crate::engine::{self, Engine, Stream};
use crate::metrics::Counter;
use crate::node::Shared;
use crate::reserve::{self, Slot};
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

/// Number of times that a stream is resumed on the same engine.
const MAX_RESUMES: usize = 3;

/// Delay before a stream is resumed.
const RESUME_DELAY: Duration = Duration::from_millis(20);

/// Time allowed for a retry once output has begun.
const RETRY_AFTER_OUTPUT_MS: u64 = 10_000;

/// Default of the advice when to retry, in milliseconds, where nothing better is known.
pub const NOT_READY_MILLIS: u64 = 1_000;

/// Added to the time allowed for a prefill or an import before it counts as stalled.
const PREFILL_GRACE: Duration = Duration::from_secs(2);

/// Delay before an import that the decode engine refused is repeated.
const IMPORT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Model request to run.
#[derive(Clone, Debug)]
pub struct Job {
    /// Request.
    pub completion: Completion,
    /// Decision of the policy on the request.
    pub decision: Decision,
    /// Organisation that sent the request.
    pub organisation: Organisation,
    /// Deadline of the first output.
    pub deadline: Millis,
    /// Hash of the key to claim before dispatch, if the request must not be repeated.
    pub claim: Option<u64>,
    /// Sequence number of the request on this node.
    pub sequence: u64,
}

/// Why an attempt failed.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Failure {
    /// All callers have disconnected.
    CallersLeft,
    /// No usable runner.
    NoRunner,
    /// No slot before the deadline.
    Overloaded { retry_after_ms: u64 },
    /// The claim failed.
    Claim(Claimed),
    /// A call to an engine failed.
    Engine { runner: Id, error: engine::Error },
}

/// State of a running request across its attempts.
struct Run {
    shared: Arc<Shared>,
    job: Job,
    buffer: Arc<Buffer>,
    splice: Splice,
    claimed: bool,
    ran: bool,
}

/// Resources that one attempt holds.
#[derive(Debug, Default)]
struct Holds {
    decode: Option<Hold>,
    prefill: Option<Hold>,
    ran: bool,
    unused_tokens: u64,
}

/// Runs a request; its output goes to the buffer.
pub async fn run(shared: Arc<Shared>, job: Job, buffer: Arc<Buffer>) -> Result<(), Refusal> {
    let first = attempt::Id { origin: shared.incarnation, sequence: job.sequence, retry_number: 0 };
    buffer.head(Head { status: 200, content_type: crate::http::JSON.to_owned() });
    let splice = Splice::new(first);
    let run = Run { shared, job, buffer, splice, claimed: false, ran: false };
    run.attempts(first).await
}

impl Run {
    /// Makes attempts until one succeeds or no retry is allowed.
    async fn attempts(mut self, first: attempt::Id) -> Result<(), Refusal> {
        let mut attempt = first;
        loop {
            let mut holds = Holds::default();
            self.shared.in_flight.begin(attempt);
            let buffer = self.buffer.clone();
            let result = tokio::select! {
                biased;
                () = buffer.is_abandoned() => Err(Failure::CallersLeft),
                result = self.attempt(attempt, &mut holds) => result,
            };
            self.ran |= holds.ran;
            holds.free(&self.shared, attempt);
            self.shared.in_flight.end(attempt);
            let Err(failure) = result else {
                return Ok(());
            };
            let delay_ms = self.retry(failure, attempt.retry_number).await?;
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            attempt = attempt.next();
            self.splice.switch_attempt(attempt);
        }
    }

    /// Makes one attempt.
    async fn attempt(&mut self, attempt: attempt::Id, holds: &mut Holds) -> Result<(), Failure> {
        let tokens = self.job.completion.estimated_prompt_tokens() + self.splice.next_offset();
        let decode = self.reserve_decode(attempt, tokens, holds).await?;
        if tokens <= self.shared.settings.placement.local_prefill_tokens {
            self.shared.metrics.count(Counter::PrefillLocal);
            self.ensure_dispatch_allowed().await?;
            mark_dispatched(&mut holds.decode);
            self.prefill(attempt, &decode, holds).await?;
        } else {
            let prefill = self.reserve_prefill(attempt, tokens, holds).await?;
            self.ensure_dispatch_allowed().await?;
            mark_dispatched(&mut holds.prefill);
            self.prefill(attempt, &prefill, holds).await?;
            if let Some(hold) = &holds.prefill {
                self.release_prefill_slot(attempt, hold);
            }
            mark_dispatched(&mut holds.decode);
            self.import(attempt, &decode, &prefill).await?;
            if let Some(hold) = holds.prefill.take() {
                tokio::spawn(cleanup::free(self.shared.clone(), attempt, hold));
            }
        }
        self.decode(attempt, &decode, holds).await
    }

    /// Reserves a decode slot and waits until the prefill should start.
    async fn reserve_decode(
        &mut self,
        attempt: attempt::Id,
        tokens: u64,
        holds: &mut Holds,
    ) -> Result<Runner, Failure> {
        let max_tokens = self.job.completion.max_tokens;
        let lead_ms = self.prefill_ms(tokens);
        let hold_ms = lead_ms + max_tokens * self.shared.settings.placement.token_millis;
        let transfer_ms = self.transfer_ms(tokens);
        let request = Request {
            lead_ms,
            transfer_ms,
            ..self.slot_request(attempt, tokens, tokens + max_tokens, hold_ms)
        };
        let Slot { runner, owner, start_in_ms } = self.reserve(Role::Decode, request).await?;
        holds.decode = Some(Hold { runner: runner.clone(), owner, dispatched: false });
        tokio::time::sleep(Duration::from_millis(start_in_ms)).await;
        self.shared.in_flight.add_vm(attempt, &runner.vm);
        Ok(runner)
    }

    /// Reserves a prefill slot.
    async fn reserve_prefill(
        &mut self,
        attempt: attempt::Id,
        tokens: u64,
        holds: &mut Holds,
    ) -> Result<Runner, Failure> {
        let request = self.slot_request(attempt, tokens, tokens, self.prefill_ms(tokens));
        let Slot { runner, owner, .. } = self.reserve(Role::Prefill, request).await?;
        holds.prefill = Some(Hold { runner: runner.clone(), owner, dispatched: false });
        self.shared.in_flight.add_vm(attempt, &runner.vm);
        Ok(runner)
    }

    /// Slot request whose maximum wait leaves time for prefill, transfer and the first output.
    fn slot_request(
        &self,
        attempt: attempt::Id,
        tokens: u64,
        kv_tokens: u64,
        hold_ms: u64,
    ) -> Request {
        let work_ms = self.prefill_ms(tokens) + self.transfer_ms(tokens);
        let first_token_ms = self.shared.settings.placement.token_millis;
        Request {
            attempt,
            class: self.job.decision.class,
            organisation: self.job.organisation,
            kv_tokens,
            max_wait_ms: self.remaining_ms().saturating_sub(work_ms + first_token_ms),
            lead_ms: 0,
            hold_ms,
            transfer_ms: 0,
        }
    }

    async fn reserve(&self, role: Role, request: Request) -> Result<Slot, Failure> {
        let requirements = Requirements {
            role,
            serves: &self.job.completion.model,
            domains: &self.job.decision.domains,
            exclude: &[],
            hold_ms: request.hold_ms,
        };
        reserve::reserve(&self.shared, requirements, request).await.map_err(|error| match error {
            reserve::Error::NoRunner => Failure::NoRunner,
            reserve::Error::Full { retry_after_ms } => Failure::Overloaded { retry_after_ms },
        })
    }

    /// Makes the claim, if one is needed, and checks that this node may still dispatch.
    async fn ensure_dispatch_allowed(&mut self) -> Result<(), Failure> {
        if let Some(key) = self.job.claim.filter(|_| !self.claimed) {
            match self.shared.claims.claim(key).await {
                Claimed::Mine => self.claimed = true,
                claimed => return Err(Failure::Claim(claimed)),
            }
        }
        if self.shared.wait_until_caught_up().await { Ok(()) } else { Err(Failure::NoRunner) }
    }

    /// Prefills the prompt and the output so far.
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
            quick: self.job.decision.class == Class::Quick,
        };
        let expected_ms = self.prefill_ms(completion.estimated_prompt_tokens());
        let timeout = Duration::from_millis(self.remaining_ms().max(expected_ms)) + PREFILL_GRACE;
        let ran_before = std::mem::replace(&mut holds.ran, true);
        let result = self.engine(runner).prefill(&body, timeout).await;
        match result {
            Ok(prefilled) => {
                let computed_tokens = prefilled.tokens - prefilled.cached;
                self.shared.metrics.add(Counter::PrefillTokens, computed_tokens);
                holds.unused_tokens = computed_tokens;
                Ok(())
            }
            Err(error) => {
                holds.ran = ran_before || error.ran();
                Err(Failure::Engine { runner: runner.id, error })
            }
        }
    }

    /// Releases the prefill slot before the KV cache is transferred: meanwhile the engine can
    /// prefill the next prompt.
    fn release_prefill_slot(&self, attempt: attempt::Id, hold: &Hold) {
        if let Some(owner) = hold.owner {
            let (shared, runner) = (self.shared.clone(), hold.runner.id);
            tokio::spawn(async move { cleanup::release(&shared, owner, runner, attempt).await });
        }
    }

    /// Transfers the KV cache to the decode engine.
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
        let timeout = Duration::from_millis(self.remaining_ms()) + PREFILL_GRACE;
        loop {
            match self.engine(decode).import(&body, timeout).await {
                Ok(()) => return Ok(()),
                Err(engine::Error::Refused { .. }) if self.remaining_ms() > 0 => {
                    tokio::time::sleep(IMPORT_RETRY_DELAY).await;
                }
                Err(error) => {
                    return Err(Failure::Engine { runner: decode.id, error });
                }
            }
        }
    }

    /// Decodes to the end, and resumes the stream where it breaks off.
    async fn decode(
        &mut self,
        attempt: attempt::Id,
        runner: &Runner,
        holds: &mut Holds,
    ) -> Result<(), Failure> {
        let engine = self.engine(runner);
        let failed = |error| Failure::Engine { runner: runner.id, error };
        let mut stream = engine.decode(&self.decode_body(attempt)).await.map_err(failed)?;
        let mut resumes = 0;
        loop {
            match self.read(attempt, &mut stream, holds).await {
                Ok(()) => return Ok(()),
                Err(engine::Error::Broken { .. } | engine::Error::Stalled)
                    if resumes < MAX_RESUMES =>
                {
                    resumes += 1;
                    stream = self.resume(&engine, attempt).await.map_err(failed)?;
                }
                Err(error) => return Err(failed(error)),
            }
        }
    }

    /// Reopens a broken stream at the next offset; repeated if this connection breaks too.
    async fn resume(&self, engine: &Engine, attempt: attempt::Id) -> Result<Stream, engine::Error> {
        let mut resume_attempts = 0;
        loop {
            self.shared.metrics.count(Counter::Resumed);
            tokio::time::sleep(RESUME_DELAY).await;
            resume_attempts += 1;
            match engine.resume(&self.decode_body(attempt)).await {
                Err(engine::Error::Broken { .. }) if resume_attempts < MAX_RESUMES => {}
                result => return result,
            }
        }
    }

    /// Forwards a stream to the buffer until its end mark.
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
                        self.buffer.push(Bytes::from(text));
                    }
                    Action::Drop => {}
                    Action::Gap => return Err(broken("pieces are missing")),
                },
                Line::End { total_tokens } if self.splice.finish(attempt, total_tokens) => {
                    return Ok(());
                }
                Line::End { .. } => return Err(broken("end mark too early")),
            }
        }
    }

    /// Decode request that starts at the next offset.
    fn decode_body(&self, attempt: attempt::Id) -> Decode {
        Decode {
            attempt: attempt.to_string(),
            from: self.splice.next_offset(),
            max_tokens: self.job.completion.max_tokens,
        }
    }

    /// Decides on a retry: the delay before it in milliseconds, or the refusal to send.
    async fn retry(&self, failure: Failure, retry_number: u16) -> Result<u64, Refusal> {
        let (runner, error) = match failure {
            Failure::Engine { runner, error } => (runner, error),
            other => return Err(self.refusal(&other)),
        };
        let tokens = self.job.completion.estimated_prompt_tokens() + self.splice.next_offset();
        let failed_attempt = retry::Failure {
            may_have_run: self.ran,
            repeatable: self.job.decision.repeatable,
            retry_number,
            left_ms: self.remaining_ms(),
            needed_ms: self.prefill_ms(tokens),
        };
        let decide = move |node: &mut Node, now| {
            node.mark_failed(runner, now);
            node.budget.retry(failed_attempt)
        };
        match self.shared.keeper.with_node(decide).await {
            Ok(delay_ms) => {
                self.shared.metrics.count(retry_counter(&error));
                Ok(delay_ms)
            }
            Err(denial) => {
                self.shared.metrics.count(denial_counter(denial));
                Err(self.refuse(Code::RunnerFailed, error.to_string()))
            }
        }
    }

    /// Refusal of a failure that allows no retry.
    fn refusal(&self, failure: &Failure) -> Refusal {
        match failure {
            Failure::CallersLeft => {
                self.shared.metrics.count(Counter::CallerLeft);
                self.refuse(Code::CallerLeft, "the caller left")
            }
            Failure::Overloaded { retry_after_ms } => self
                .refuse(Code::Overloaded, "no slot in time for the first output")
                .retry_after(*retry_after_ms),
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

    /// Refusal whose outcome says whether an engine may have run the request.
    fn refuse(&self, code: Code, message: impl Into<String>) -> Refusal {
        let outcome = if self.ran { Outcome::Unknown } else { Outcome::NotRun };
        Refusal { code, outcome, message: message.into(), retry_after_ms: None }
    }

    /// Time left for the next step, in milliseconds.
    fn remaining_ms(&self) -> u64 {
        if self.splice.next_offset() > 0 {
            return RETRY_AFTER_OUTPUT_MS;
        }
        self.job.deadline.since(self.shared.clock.now())
    }

    /// Expected duration of a prefill, in milliseconds.
    fn prefill_ms(&self, tokens: u64) -> u64 {
        tokens * 1_000 / self.shared.settings.placement.prefill_rate
    }

    /// Expected duration of the KV transfer, in milliseconds; zero if the decode engine prefills.
    fn transfer_ms(&self, tokens: u64) -> u64 {
        let placement = self.shared.settings.placement;
        let local = tokens <= placement.local_prefill_tokens;
        if local { 0 } else { tokens * 1_000 / placement.link_rate }
    }

    fn engine(&self, runner: &Runner) -> Engine {
        Engine::new(self.shared.client.clone(), runner.address)
    }
}

impl Holds {
    /// Frees all resources of an ended attempt.
    fn free(self, shared: &Arc<Shared>, attempt: attempt::Id) {
        shared.metrics.add(Counter::PrefillWasted, self.unused_tokens);
        for hold in [self.decode, self.prefill].into_iter().flatten() {
            tokio::spawn(cleanup::free(shared.clone(), attempt, hold));
        }
    }
}

/// Records that a call is about to be sent to the engine.
fn mark_dispatched(hold: &mut Option<Hold>) {
    if let Some(hold) = hold {
        hold.dispatched = true;
    }
}

/// Error of a decode stream that breaks the protocol.
fn broken(message: &str) -> engine::Error {
    engine::Error::Broken { message: message.to_owned() }
}

/// Counter of the retries after an error.
fn retry_counter(error: &engine::Error) -> Counter {
    match error {
        engine::Error::Unreachable => Counter::RetryUnreachable,
        engine::Error::Refused { .. } => Counter::RetryRefused,
        engine::Error::Gone => Counter::RetryGone,
        engine::Error::Broken { .. } => Counter::RetryBroken,
        engine::Error::Stalled => Counter::RetryStalled,
    }
}

/// Counter of a denied retry.
pub fn denial_counter(denial: Denial) -> Counter {
    match denial {
        Denial::Budget => Counter::DeniedBudget,
        Denial::Deadline => Counter::DeniedDeadline,
        Denial::NotRepeatable => Counter::DeniedNotRepeatable,
    }
}
