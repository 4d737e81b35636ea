//! One call of a plain service.

use crate::claims::Claimed;
use crate::http::{self, Call};
use crate::metrics::Counter;
use crate::node::Shared;
use crate::reserve;
use crate::run::{NOT_READY_MILLIS, denied};
use crate::tape::{Head, Tape};
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

/// A service call to make.
#[derive(Clone, Debug)]
pub struct Job {
    /// Path prefix of the service.
    pub prefix: String,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers to pass on.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// What the policy says of it.
    pub verdict: Decision,
    /// When the answer is due.
    pub deadline: Millis,
    /// Hash of the key to claim first, for one that may not be repeated.
    pub claim: Option<u64>,
    /// Number of the request at this node.
    pub sequence: u64,
}

impl Job {
    fn wanted(&self) -> Requirements<'_> {
        Requirements {
            role: Role::Service,
            serves: &self.prefix,
            domains: &self.verdict.domains,
            exclude: &[],
            hold_ms: 0,
        }
    }
}

/// Makes a call; the answer goes to the tape.
///
/// One that may not be repeated is seen through to its end even if the caller leaves, so that
/// its answer is there when the caller comes back.
pub async fn run(shared: Arc<Shared>, job: Job, tape: Arc<Tape>) -> Result<(), Refusal> {
    if !job.verdict.repeatable {
        return attempts(&shared, &job, &tape).await;
    }
    tokio::select! {
        result = attempts(&shared, &job, &tape) => result,
        () = tape.deserted() => {
            shared.metrics.count(Counter::CallerLeft);
            Err(Refusal::unknown(Code::CallerLeft, "the caller left"))
        }
    }
}

async fn attempts(shared: &Arc<Shared>, job: &Job, tape: &Tape) -> Result<(), Refusal> {
    if let Some(key) = job.claim {
        match shared.claims.claim(key).await {
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
    let mut attempt = attempt::Id { origin: shared.me, sequence: job.sequence, retry_number: 0 };
    let mut ran = false;
    loop {
        let runner = reserve::place(shared, job.wanted()).await;
        let runner = runner.ok_or_else(|| refuse(ran, "no usable runner"))?;
        if !shared.fresh().await {
            return Err(refuse(ran, "this node was replaced"));
        }
        shared.flights.begin(attempt);
        shared.flights.touch(attempt, &runner.vm);
        let result = once(shared, job, &runner).await;
        shared.flights.end(attempt);
        let id = runner.id;
        shared.keeper.visit(move |node, _| node.loads.undo_sent(id)).await;
        let error = match result {
            Ok(response) => return answer(shared, response, tape),
            Err(error) => error,
        };
        ran |= !matches!(error, http::Error::Connect { .. });
        let pause = retry(shared, job, (id, &error), ran, attempt.retry_number).await?;
        tokio::time::sleep(Duration::from_millis(pause)).await;
        attempt = attempt.next();
    }
}

async fn once(shared: &Shared, job: &Job, runner: &Runner) -> Result<Response<Bytes>, http::Error> {
    let call = Call {
        to: runner.address,
        method: job.method.clone(),
        path: job.path.clone(),
        headers: job.headers.clone(),
        body: job.body.clone(),
    };
    let left = job.deadline.since(shared.clock.now());
    shared.client.whole(call, Duration::from_millis(left)).await
}

fn answer(shared: &Shared, response: Response<Bytes>, tape: &Tape) -> Result<(), Refusal> {
    let (head, body) = response.into_parts();
    if body.len() > shared.settings.limits.answer_bytes {
        return Err(Refusal::unknown(Code::AnswerTooLong, "the service's answer is too long"));
    }
    let content_type = head.headers.get(CONTENT_TYPE).and_then(|it| it.to_str().ok());
    tape.head(Head {
        status: head.status.as_u16(),
        content_type: content_type.unwrap_or("application/octet-stream").to_owned(),
    });
    tape.push(body);
    Ok(())
}

async fn retry(
    shared: &Shared,
    job: &Job,
    (runner, error): (Id, &http::Error),
    ran: bool,
    round: u16,
) -> Result<u64, Refusal> {
    let failure = retry::Failure {
        may_have_run: ran,
        repeatable: job.verdict.repeatable,
        retry_number: round,
        left_ms: job.deadline.since(shared.clock.now()),
        needed_ms: 0,
    };
    let decide = move |node: &mut Node, now| {
        node.mark_failed(runner, now);
        node.budget.retry(failure)
    };
    match shared.keeper.visit(decide).await {
        Ok(pause) => {
            shared.metrics.count(match error {
                http::Error::Connect { .. } => Counter::RetryUnreachable,
                http::Error::Timeout { .. } => Counter::RetryStalled,
                http::Error::Broken { .. } | http::Error::Status { .. } => Counter::RetryBroken,
            });
            Ok(pause)
        }
        Err(denial) => {
            shared.metrics.count(denied(denial));
            let mut refusal = refuse(ran, "the service failed");
            refusal.code = Code::RunnerFailed;
            Err(refusal)
        }
    }
}

fn refuse(ran: bool, message: &str) -> Refusal {
    let outcome = if ran { Outcome::Unknown } else { Outcome::NotRun };
    Refusal {
        code: Code::NoRunner,
        outcome,
        message: message.to_owned(),
        retry_after_ms: Some(NOT_READY_MILLIS),
    }
}
