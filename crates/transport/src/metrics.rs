//! Counters, sent to statsd and shown to operators.

use cadence::{BufferedUdpMetricSink, Counted, Gauged, NopMetricSink, StatsdClient, Timed};
use crosslane_protocol::refusal::{CODES, Code};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};

/// What is counted, besides refusals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Counter {
    /// Requests that came.
    Requests,
    /// Answers given whole.
    Answers,
    /// Requests that joined a running one under their key.
    Joined,
    /// Answers given again from the ledger.
    Replayed,
    /// Callers that left before the end.
    CallerLeft,
    /// Requests forwarded to the owner of their key.
    Forwarded,
    /// Forwards that were sent on to another owner.
    ForwardMoved,
    /// Owners of a key that did not answer.
    OwnerSilent,
    /// Retries after a runner could not be reached.
    RetryUnreachable,
    /// Retries after a runner refused.
    RetryRefused,
    /// Retries after a runner broke off.
    RetryBroken,
    /// Retries after a runner stalled.
    RetryStalled,
    /// Retries after a runner had dropped the attempt.
    RetryGone,
    /// Streams resumed on the same engine.
    Resumed,
    /// Retries denied: budget spent.
    DeniedBudget,
    /// Retries denied: no time left.
    DeniedDeadline,
    /// Retries denied: may not be repeated.
    DeniedNotRepeatable,
    /// Tokens prefilled.
    PrefillTokens,
    /// Tokens prefilled whose result was not used.
    PrefillWasted,
    /// Prefills done where the request decodes.
    PrefillLocal,
    /// Slots taken by estimate, the owner being out of reach.
    SlotEstimated,
    /// Cancels that an engine confirmed.
    Cancelled,
    /// Cancels sent again.
    CancelRetried,
    /// Attempts cancelled by reconciliation.
    Reconciled,
    /// Reads or appends that the log failed.
    LogFailed,
    /// Log records that could not be read and were skipped.
    LogSkipped,
    /// Appends of claims.
    ClaimAppends,
    /// Claims recorded in the log.
    Claims,
    /// Claims left with a peer, the log being out.
    ClaimCopies,
    /// Heartbeats without an answer.
    BeatFailed,
    /// Nodes confirmed dead.
    NodesDead,
    /// Pauses of this process that made it catch up first.
    Paused,
    /// Policies that did not compile here.
    PolicyBroken,
}

/// Every counter with its name.
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

/// Counts, and sends what it counts.
pub struct Metrics {
    statsd: StatsdClient,
    counts: Vec<AtomicU64>,
    refusals: Vec<AtomicU64>,
}

impl Metrics {
    /// Metrics sent to a statsd address, or kept only.
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

    /// Counts one.
    pub fn count(&self, counter: Counter) {
        self.add(counter, 1);
    }

    /// Counts several.
    pub fn add(&self, counter: Counter, by: u64) {
        let place = counter as usize;
        self.counts[place].fetch_add(by, Ordering::Relaxed);
        let _ = self.statsd.count(COUNTERS[place].1, by);
    }

    /// Counts a refusal.
    pub fn refused(&self, code: Code) {
        let place = CODES.iter().position(|row| row.0 == code).unwrap_or_default();
        self.refusals[place].fetch_add(1, Ordering::Relaxed);
        let _ = self.statsd.count(&format!("refused.{}", code.name()), 1);
    }

    /// Sends how long a request took to its first output, in milliseconds.
    pub fn first_output(&self, millis: u64) {
        let _ = self.statsd.time("first_output", millis);
    }

    /// Sends how many requests are in progress.
    pub fn in_progress(&self, requests: u64) {
        let _ = self.statsd.gauge("in_progress", requests);
    }

    /// Everything counted so far that is not zero.
    pub fn snapshot(&self) -> BTreeMap<String, u64> {
        let read = |value: &AtomicU64| value.load(Ordering::Relaxed);
        let counts = COUNTERS.iter().zip(&self.counts);
        let counts = counts.map(|((_, name), value)| ((*name).to_owned(), read(value)));
        let refusals = CODES.iter().zip(&self.refusals);
        let refusals = refusals.map(|(row, value)| (format!("refused.{}", row.1), read(value)));
        counts.chain(refusals).filter(|(_, value)| *value > 0).collect()
    }
}

fn unspecified(peer: SocketAddr) -> SocketAddr {
    if peer.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0u16; 8], 0).into() }
}
