//! Refusals: what a caller is told when there is no answer.

use crosslane_state::request::Outcome;
use serde::{Deserialize, Serialize};

/// Stable reason of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The body is not the JSON that is expected.
    BadBody,
    /// A header is malformed.
    BadHeader,
    /// The body is too long.
    BodyTooLong,
    /// The body did not come in time or broke off.
    BodyIncomplete,
    /// No service or model answers to this.
    NoRoute,
    /// The key was used for another request.
    KeyMismatch,
    /// An earlier request under the key may have run.
    KeyUnknown,
    /// A departed node may have run a request under the key; this is being found out.
    KeyInDoubt,
    /// No room to remember the key.
    LedgerFull,
    /// The node is not ready.
    NotReady,
    /// The node is leaving.
    Leaving,
    /// No slot in time.
    Overloaded,
    /// No usable runner.
    NoRunner,
    /// The owner of the key can't be reached.
    OwnerUnreachable,
    /// Neither the log nor a peer can take the claim.
    ClaimUnavailable,
    /// A runner failed and no retry was possible.
    RunnerFailed,
    /// The runner's answer is too long.
    AnswerTooLong,
    /// The policy failed on this request.
    PolicyFailed,
    /// The caller had left.
    CallerLeft,
}

/// Row of the table of codes: name, HTTP status.
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
    /// Name in JSON and in counters.
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
    /// Reason.
    pub code: Code,
    /// What is known of the run.
    pub outcome: Outcome,
    /// For a person.
    pub message: String,
    /// When coming back helps, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// A refusal of a request of which nothing was handed to a runner.
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Self { code, outcome: Outcome::NotRun, message: message.into(), retry_after_ms: None }
    }

    /// A refusal of a request that may have run.
    pub fn unknown(code: Code, message: impl Into<String>) -> Self {
        Self { code, outcome: Outcome::Unknown, message: message.into(), retry_after_ms: None }
    }

    /// Says when coming back helps, in milliseconds.
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
