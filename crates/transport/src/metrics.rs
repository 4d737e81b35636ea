//! Counters, sent to statsd and shown to operators.

use cadence::{BufferedUdpMetricSink, Counted, Gauged, NopMetricSink, StatsdClient, Timed};
use crosslane_protocol::refusal::{CODES, Code};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};

/// Events that are counted, besides refusals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Counter {
    /// Requests received.
    Requests,
    /// Answers sent completely.
    Answers,
    /// Requests that joined a running request with the same key.
    Joined,
    /// Answers replayed from the idempotency records.
    Replayed,
    /// Callers that disconnected before the end.
    CallerLeft,
    /// Requests forwarded to the owner of their key.
    Forwarded,
    /// Forwarded requests that were passed on to another owner.
    ForwardMoved,
    /// Owners of a key that did not answer.
    OwnerSilent,
    /// Retries after a runner was unreachable.
    RetryUnreachable,
    /// Retries after a runner refused.
    RetryRefused,
    /// Retries after the connection to a runner broke.
    RetryBroken,
    /// Retries after a runner stalled.
    RetryStalled,
    /// Retries after a runner had dropped the attempt.
    RetryGone,
    /// Streams resumed on the same engine.
    Resumed,
    /// Retries denied: the retry budget is used up.
    DeniedBudget,
    /// Retries denied: no time left.
    DeniedDeadline,
    /// Retries denied: the request must not be repeated.
    DeniedNotRepeatable,
    /// Tokens prefilled.
    PrefillTokens,
    /// Tokens prefilled whose result was never used.
    PrefillWasted,
    /// Prefills run on the decode engine.
    PrefillLocal,
    /// Slots taken by estimate because no owner was reachable.
    SlotEstimated,
    /// Cancels confirmed by an engine.
    Cancelled,
    /// Cancels sent again.
    CancelRetried,
    /// Attempts cancelled by reconciliation.
    Reconciled,
    /// Failed reads and appends of the log.
    LogFailed,
    /// Malformed log records that were skipped.
    LogSkipped,
    /// Appends of claims.
    ClaimAppends,
    /// Claims recorded in the log.
    Claims,
    /// Claims replicated to a peer while the log was unavailable.
    ClaimCopies,
    /// Heartbeats without an answer.
    BeatFailed,
    /// Nodes declared dead.
    NodesDead,
    /// Pauses of this process after which it had to catch up.
    Paused,
    /// Policies that failed to compile on this node.
    PolicyBroken,
}

/// All counters with their metric names, in the order of the enum.
pub const COUNTERS: [(Counter, &str); 33] = [
    (Counter::Requests, "requests"),
    (Counter::Answers, "answers"),
    (Counter::Joined, "joined"),
    (Counter::Replayed, "replayed"),
    (Counter::CallerLeft, "caller_left"),
    (Counter::Forwarded, "forwarded"),
    (Counter::ForwardMoved, "forward_moved"),
    (Counter::OwnerSilent, "owner_silent"),
    (Counter::RetryUnreachable, "retry.unreachable"),
    (Counter::RetryRefused, "retry.refused"),
    (Counter::RetryBroken, "retry.broken"),
    (Counter::RetryStalled, "retry.stalled"),
    (Counter::RetryGone, "retry.gone"),
    (Counter::Resumed, "resumed"),
    (Counter::DeniedBudget, "retry_denied.budget"),
    (Counter::DeniedDeadline, "retry_denied.deadline"),
    (Counter::DeniedNotRepeatable, "retry_denied.not_repeatable"),
    (Counter::PrefillTokens, "prefill.tokens"),
    (Counter::PrefillWasted, "prefill.wasted_tokens"),
    (Counter::PrefillLocal, "prefill.local"),
    (Counter::SlotEstimated, "slot_estimated"),
    (Counter::Cancelled, "cancel.confirmed"),
    (Counter::CancelRetried, "cancel.retried"),
    (Counter::Reconciled, "reconciled"),
    (Counter::LogFailed, "log.failed"),
    (Counter::LogSkipped, "log.skipped"),
    (Counter::ClaimAppends, "claims.appends"),
    (Counter::Claims, "claims.recorded"),
    (Counter::ClaimCopies, "claims.copied"),
    (Counter::BeatFailed, "beat_failed"),
    (Counter::NodesDead, "nodes_dead"),
    (Counter::Paused, "paused"),
    (Counter::PolicyBroken, "policy_broken"),
];

/// Prefix of every metric.
pub const PREFIX: &str = "crosslane";

/// Counters of this process, also sent to statsd.
pub struct Metrics {
    statsd: StatsdClient,
    counts: Vec<AtomicU64>,
    refusals: Vec<AtomicU64>,
}

impl Metrics {
    /// Creates metrics that are sent to a statsd address, or only counted if there is none.
    pub fn new(statsd: Option<SocketAddr>) -> io::Result<Self> {
        let client = match statsd {
            None => StatsdClient::from_sink(PREFIX, NopMetricSink),
            Some(address) => {
                let socket = UdpSocket::bind(unspecified(address))?;
                socket.set_nonblocking(true)?;
                let sink =
                    BufferedUdpMetricSink::from(address, socket).map_err(io::Error::other)?;
                StatsdClient::from_sink(PREFIX, sink)
            }
        };
        Ok(Self {
            statsd: client,
            counts: COUNTERS.iter().map(|_| AtomicU64::new(0)).collect(),
            refusals: CODES.iter().map(|_| AtomicU64::new(0)).collect(),
        })
    }

    /// Adds one to a counter.
    pub fn count(&self, counter: Counter) {
        self.add(counter, 1);
    }

    /// Adds to a counter.
    pub fn add(&self, counter: Counter, by: u64) {
        let index = counter as usize;
        self.counts[index].fetch_add(by, Ordering::Relaxed);
        let _ = self.statsd.count(COUNTERS[index].1, by);
    }

    /// Counts a refusal.
    pub fn refused(&self, code: Code) {
        let index = CODES.iter().position(|row| row.0 == code).unwrap_or_default();
        self.refusals[index].fetch_add(1, Ordering::Relaxed);
        let _ = self.statsd.count(&format!("refused.{}", code.name()), 1);
    }

    /// Sends the time to the first output of a request, in milliseconds.
    pub fn first_output(&self, millis: u64) {
        let _ = self.statsd.time("first_output", millis);
    }

    /// Sends the number of requests in progress.
    pub fn in_progress(&self, requests: u64) {
        let _ = self.statsd.gauge("in_progress", requests);
    }

    /// Values of all counters that are not zero.
    pub fn snapshot(&self) -> BTreeMap<String, u64> {
        let read = |value: &AtomicU64| value.load(Ordering::Relaxed);
        let counts = COUNTERS.iter().zip(&self.counts);
        let counts = counts.map(|((_, name), value)| ((*name).to_owned(), read(value)));
        let refusals = CODES.iter().zip(&self.refusals);
        let refusals = refusals.map(|(row, value)| (format!("refused.{}", row.1), read(value)));
        counts.chain(refusals).filter(|(_, value)| *value > 0).collect()
    }
}

/// Unspecified address of the same family, with any port.
fn unspecified(peer: SocketAddr) -> SocketAddr {
    if peer.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0u16; 8], 0).into() }
}
