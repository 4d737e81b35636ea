//! Refusals: error responses to callers.

use crosslane_state::request::Outcome;
use serde::{Deserialize, Serialize};

/// Reason of a refusal; part of the interface for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The body is not the expected JSON.
    BadBody,
    /// A header is malformed.
    BadHeader,
    /// The body is too long.
    BodyTooLong,
    /// The body did not arrive in time, or its connection broke.
    BodyIncomplete,
    /// No service or model matches the request.
    NoRoute,
    /// The idempotency key was used for a different request.
    KeyMismatch,
    /// An earlier request with the key may have run; its outcome is unknown.
    KeyUnknown,
    /// A departed node may have run a request with the key; its claims are still being collected.
    KeyInDoubt,
    /// No room for another idempotency record.
    LedgerFull,
    /// The node is not ready.
    NotReady,
    /// The node is leaving.
    Leaving,
    /// No slot becomes free in time.
    Overloaded,
    /// No runner is usable.
    NoRunner,
    /// The node that owns the key can't be reached.
    OwnerUnreachable,
    /// Neither the log nor a neighbour can record the claim on the key.
    ClaimUnavailable,
    /// A runner failed, and no retry was possible.
    RunnerFailed,
    /// The runner's response is too long.
    AnswerTooLong,
    /// The policy program failed on the request.
    PolicyFailed,
    /// The caller closed its connection.
    CallerLeft,
}

/// Row of the table of codes: code, name, HTTP status.
type Row = (Code, &'static str, u16);

/// Every code with its name and HTTP status.
pub const CODES: [Row; 19] = [
    (Code::BadBody, "bad_body", 400),
    (Code::BadHeader, "bad_header", 400),
    (Code::BodyTooLong, "body_too_long", 413),
    (Code::BodyIncomplete, "body_incomplete", 408),
    (Code::NoRoute, "no_route", 404),
    (Code::KeyMismatch, "key_mismatch", 422),
    (Code::KeyUnknown, "key_unknown", 409),
    (Code::KeyInDoubt, "key_in_doubt", 503),
    (Code::LedgerFull, "ledger_full", 503),
    (Code::NotReady, "not_ready", 503),
    (Code::Leaving, "leaving", 503),
    (Code::Overloaded, "overloaded", 429),
    (Code::NoRunner, "no_runner", 503),
    (Code::OwnerUnreachable, "owner_unreachable", 503),
    (Code::ClaimUnavailable, "claim_unavailable", 503),
    (Code::RunnerFailed, "runner_failed", 502),
    (Code::AnswerTooLong, "answer_too_long", 502),
    (Code::PolicyFailed, "policy_failed", 500),
    (Code::CallerLeft, "caller_left", 499),
];

impl Code {
    /// Name in JSON and in metrics.
    pub fn name(self) -> &'static str {
        self.row().1
    }

    /// HTTP status.
    pub fn status(self) -> u16 {
        self.row().2
    }

    fn row(self) -> &'static Row {
        CODES.iter().find(|row| row.0 == self).unwrap_or(&CODES[0])
    }
}

/// A refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Reason code.
    pub code: Code,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Human-readable description.
    pub message: String,
    /// Time after which a retry is worthwhile, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Refuses a request that was never handed to a runner.
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Self { code, outcome: Outcome::NotRun, message: message.into(), retry_after_ms: None }
    }

    /// Refuses a request that may have run.
    pub fn unknown(code: Code, message: impl Into<String>) -> Self {
        Self { code, outcome: Outcome::Unknown, message: message.into(), retry_after_ms: None }
    }

    /// Adds the time after which a retry is worthwhile, in milliseconds.
    pub fn retry_after(mut self, millis: u64) -> Self {
        self.retry_after_ms = Some(millis);
        self
    }
}

/// JSON body of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Body {
    /// The refusal.
    pub error: Refusal,
}
