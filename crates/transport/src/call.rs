//! One request to a service, with its retries.

use crate::buffer::{Buffer, Head};
use crate::claims::Claimed;
use crate::http::{self, Call};
use crate::metrics::Counter;
use crate::node::Shared;
use crate::reserve;
use crate::run::{NOT_READY_MILLIS, denial_counter};
use bytes::Bytes;
use crosslane_coordination::node::{Node, Requirements};
use crosslane_coordination::retry;
use crosslane_protocol::refusal::{Code, Refusal};
use crosslane_state::attempt;
use crosslane_state::request::{Decision, Outcome};
use crosslane_state::runner::{Id, Role, Runner};
use crosslane_state::time::Millis;
use hyper::header::{CONTENT_TYPE, HeaderMap};
use hyper::{Method, Response};
use std::sync::Arc;
use std::time::Duration;

/// A request to run at a service.
#[derive(Clone, Debug)]
pub struct Job {
    /// Path prefix of the service.
    pub prefix: String,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Request headers to forward.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// Decision of the routing policy.
    pub decision: Decision,
    /// When the response is due.
    pub deadline: Millis,
    /// Hash of the idempotency key to claim before the first attempt, if the request must not be repeated.
    pub claim_key_hash: Option<u64>,
    /// Sequence number of the request at this node.
    pub sequence: u64,
}

impl Job {
    fn requirements(&self) -> Requirements<'_> {
        Requirements {
            role: Role::Service,
            serves: &self.prefix,
            domains: &self.decision.domains,
            exclude: &[],
            hold_ms: 0,
        }
    }
}

/// Runs a request and writes the response to the buffer.
///
/// A request that must not be repeated runs to its end even if every caller disconnects, so that
/// its response can be replayed when the caller retries.
pub async fn run(shared: Arc<Shared>, job: Job, buffer: Arc<Buffer>) -> Result<(), Refusal> {
    if !job.decision.repeatable {
        return run_attempts(&shared, &job, &buffer).await;
    }
    tokio::select! {
        result = run_attempts(&shared, &job, &buffer) => result,
        () = buffer.is_abandoned() => {
            shared.metrics.count(Counter::CallerLeft);
            Err(Refusal::unknown(Code::CallerLeft, "the caller left"))
        }
    }
}

async fn run_attempts(shared: &Arc<Shared>, job: &Job, buffer: &Buffer) -> Result<(), Refusal> {
    if let Some(key_hash) = job.claim_key_hash {
        match shared.claims.claim(key_hash).await {
            Claimed::Mine => {}
            Claimed::Elsewhere => {
                return Err(Refusal::unknown(Code::KeyUnknown, "another node claimed this key"));
            }
            Claimed::Unavailable => {
                let message = "neither the log nor a peer took the claim";
                return Err(
                    Refusal::not_run(Code::ClaimUnavailable, message).retry_after(NOT_READY_MILLIS)
                );
            }
        }
    }
    let mut attempt =
        attempt::Id { origin: shared.incarnation, sequence: job.sequence, retry_number: 0 };
    let mut may_have_run = false;
    loop {
        let runner = reserve::place(shared, job.requirements()).await;
        let runner = runner.ok_or_else(|| service_refusal(may_have_run, "no usable runner"))?;
        if !shared.wait_until_caught_up().await {
            return Err(service_refusal(may_have_run, "this node was replaced"));
        }
        shared.in_flight.begin(attempt);
        shared.in_flight.add_vm(attempt, &runner.vm);
        let result = send_attempt(shared, job, &runner).await;
        shared.in_flight.end(attempt);
        let id = runner.id;
        shared.keeper.with_node(move |node, _| node.loads.undo_sent(id)).await;
        let error = match result {
            Ok(response) => return write_response(shared, response, buffer),
            Err(error) => error,
        };
        may_have_run |= !matches!(error, http::Error::Connect { .. });
        let delay_ms =
            retry_delay_ms(shared, job, (id, &error), may_have_run, attempt.retry_number).await?;
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        attempt = attempt.next();
    }
}

async fn send_attempt(
    shared: &Shared,
    job: &Job,
    runner: &Runner,
) -> Result<Response<Bytes>, http::Error> {
    let call = Call {
        to: runner.address,
        method: job.method.clone(),
        path: job.path.clone(),
        headers: job.headers.clone(),
        body: job.body.clone(),
    };
    let remaining_ms = job.deadline.since(shared.clock.now());
    shared.client.send_buffered(call, Duration::from_millis(remaining_ms)).await
}

fn write_response(
    shared: &Shared,
    response: Response<Bytes>,
    buffer: &Buffer,
) -> Result<(), Refusal> {
    let (head, body) = response.into_parts();
    if body.len() > shared.settings.limits.answer_bytes {
        return Err(Refusal::unknown(Code::AnswerTooLong, "the service's answer is too long"));
    }
    let content_type = head.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    buffer.head(Head {
        status: head.status.as_u16(),
        content_type: content_type.unwrap_or("application/octet-stream").to_owned(),
    });
    buffer.push(body);
    Ok(())
}

async fn retry_delay_ms(
    shared: &Shared,
    job: &Job,
    (runner, error): (Id, &http::Error),
    may_have_run: bool,
    retry_number: u16,
) -> Result<u64, Refusal> {
    let failure = retry::Failure {
        may_have_run,
        repeatable: job.decision.repeatable,
        retry_number,
        left_ms: job.deadline.since(shared.clock.now()),
        needed_ms: 0,
    };
    let decide = move |node: &mut Node, now| {
        node.mark_failed(runner, now);
        node.budget.retry(failure)
    };
    match shared.keeper.with_node(decide).await {
        Ok(delay_ms) => {
            shared.metrics.count(match error {
                http::Error::Connect { .. } => Counter::RetryUnreachable,
                http::Error::Timeout { .. } => Counter::RetryStalled,
                http::Error::Broken { .. } | http::Error::Status { .. } => Counter::RetryBroken,
            });
            Ok(delay_ms)
        }
        Err(denial) => {
            shared.metrics.count(denial_counter(denial));
            let mut refusal = service_refusal(may_have_run, "the service failed");
            refusal.code = Code::RunnerFailed;
            Err(refusal)
        }
    }
}

fn service_refusal(may_have_run: bool, message: &str) -> Refusal {
    let outcome = if may_have_run { Outcome::Unknown } else { Outcome::NotRun };
    Refusal {
        code: Code::NoRunner,
        outcome,
        message: message.to_owned(),
        retry_after_ms: Some(NOT_READY_MILLIS),
    }
}
