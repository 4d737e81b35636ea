//! Metrics: counters, gauges and latency histograms in the Prometheus text format.

use crate::refusal::{REASONS, Reason};
use crosslane_state::endpoint::Stage;
use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry,
};
use prometheus::{Result, TextEncoder};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Upper bounds of the histogram buckets, denser around the usual latency targets of 0.3 and 0.9 s.
const BUCKETS_S: [f64; 11] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.6, 0.9, 2.0, 5.0];

/// Log lines that this process dropped because its log output was not read; counted by the log appender.
pub static LINES_DROPPED: AtomicU64 = AtomicU64::new(0);

/// Why a request was retried, or why a retry was denied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// The endpoint could not be reached.
    Unreachable,
    /// The endpoint was at its rate limit.
    RateLimited,
    /// The endpoint refused the request without running it.
    Refused,
    /// The endpoint broke off.
    Broken,
    /// The endpoint responded with a server error.
    Error,
    /// A stream was resumed at another engine.
    Resumed,
    /// Denied: the retry budget is exhausted.
    DeniedBudget,
    /// Denied: the request is quarantined.
    Quarantined,
}

/// Every retry reason with its metric label, in the order of `Retry`.
pub const RETRIES: [(Retry, &str); 8] = [
    (Retry::Unreachable, "unreachable"),
    (Retry::RateLimited, "limited"),
    (Retry::Refused, "refused"),
    (Retry::Broken, "broken"),
    (Retry::Error, "error"),
    (Retry::Resumed, "resumed"),
    (Retry::DeniedBudget, "denied_budget"),
    (Retry::Quarantined, "barred"),
];

/// All metrics of a node.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    refusals: IntCounterVec,
    retries: IntCounterVec,
    store_errors: IntCounterVec,
    connections: IntCounterVec,
    forwarded: IntCounterVec,
    /// Streams that callers take up again, by how the build that began them was found.
    resumed: IntCounterVec,
    /// Names of streams whose build is known.
    pub known_streams: IntGauge,
    /// Names of streams that were dropped for others.
    pub dropped_streams: IntCounter,
    /// Services whose endpoints this node can't reach.
    pub lost_services: IntGauge,
    /// Failed pulls from other nodes.
    pub pull_failures: IntCounter,
    /// Endpoint records that were skipped as unusable.
    pub skipped_records: IntCounter,
    /// Endpoints that crashed right after they started to run a request.
    pub strikes: IntCounter,
    /// Endpoints that stalled during an attempt.
    pub stalls: IntCounter,
    /// Load reports of endpoints that could not be used.
    pub invalid_load_reports: IntCounter,
    /// Least and largest time per unit of work, in percent of the median of the service and stage.
    relative_times: IntGaugeVec,
    /// Endpoints that are noticeably slower than their services.
    pub slow_endpoints: IntGauge,
    /// Endpoints that name a rate limit.
    pub limited_endpoints: IntGauge,
    /// Requests that this node refused as the owner of a limit only to leave a reserve to more urgent ones.
    pub reserved: IntCounter,
    /// Queries for a limit that this node passed on to an owner that it prefers to itself.
    pub passed_on: IntCounter,
    /// Tokens of organisations' limits that this node granted, by its role.
    granted: IntCounterVec,
    /// Queries for a limit whose replies did not come in time: `late`, or not at all: `missed`.
    late_replies: IntCounterVec,
    /// Failure domains that are evacuated.
    pub evacuated_domains: IntGauge,
    /// Requests that are shut out.
    pub shut_out_requests: IntGauge,
    /// Patterns of prompt segments that are shut out.
    pub shut_out_segments: IntGauge,
    /// Bytes of store records sent to other nodes.
    pub sent_bytes: IntCounter,
    /// Duration of a pull from another node.
    pub pull: Histogram,
    /// Time from the arrival of a request to the first byte or event of its response.
    pub first_byte: Histogram,
    /// Time from the arrival of a request until memory was reserved at an engine.
    pub reservation_wait: Histogram,
    /// Requests that wait for room at endpoints.
    pub waiting: IntGauge,
    /// Time that requests waited for room at endpoints, with or without success.
    pub room_wait: Histogram,
    /// Requests that were refused at once, since the expected wait was too long.
    pub shed: IntCounter,
    /// Responses to control calls that may belong to other calls.
    pub unassociated: IntCounter,
    /// Waiting requests that left their place to more urgent ones.
    pub displaced: IntCounter,
    /// Duration of a prefill.
    pub prefill: Histogram,
    /// Gaps between events.
    pub event_gap: Histogram,
    /// Version of the configuration in force.
    pub configuration_version: IntGauge,
    /// Wait for the processor in the last second, in milliseconds.
    pub processor_wait: IntGauge,
    /// Wait for the link in the last second, in milliseconds.
    pub link_wait: IntGauge,
    /// New connections of callers that were closed before anything was read from them.
    pub closed_unread: IntCounter,
    /// Bytes received.
    pub received: IntGauge,
    /// Bytes sent.
    pub sent: IntGauge,
    /// Known endpoints.
    pub endpoints: IntGauge,
    /// Other live nodes.
    pub peers: IntGauge,
    lines_dropped: IntGauge,
}

impl Metrics {
    /// Registers all metrics, starting from zero.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, label: &str| {
            let counters = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(counters.clone()))?;
            Ok::<_, prometheus::Error>(counters)
        };
        let histogram = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(BUCKETS_S.to_vec());
            let histogram = Histogram::with_opts(options)?;
            registry.register(Box::new(histogram.clone()))?;
            Ok::<_, prometheus::Error>(histogram)
        };
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let relative_times = IntGaugeVec::new(
            Opts::new(
                "crosslane_relative_time_percent",
                "Least and largest time per unit of work, in percent of the median",
            ),
            &["service", "stage", "extreme"],
        )?;
        registry.register(Box::new(relative_times.clone()))?;
        Ok(Self {
            requests: counters("crosslane_requests", "Requests by ending", "ending")?,
            refusals: counters("crosslane_refusals", "Own answers by reason", "reason")?,
            retries: counters("crosslane_retries", "Retries by reason", "reason")?,
            store_errors: counters("crosslane_store_errors", "Failed store calls", "topic")?,
            connections: counters(
                "crosslane_endpoint_connections",
                "New connections to endpoints by outcome",
                "outcome",
            )?,
            forwarded: counters(
                "crosslane_forwarded",
                "Requests sent to other nodes by outcome",
                "outcome",
            )?,
            resumed: counters(
                "crosslane_resumed_streams",
                "Streams that callers take up again, by how their build was found",
                "source",
            )?,
            known_streams: gauge("crosslane_known_streams", "Names of streams with a known build")?,
            dropped_streams: counter(
                "crosslane_dropped_streams",
                "Names of streams that were dropped for others",
            )?,
            lost_services: gauge(
                "crosslane_lost_services",
                "Services whose endpoints can't be reached",
            )?,
            pull_failures: counter("crosslane_pull_failures", "Failed pulls from other nodes")?,
            skipped_records: counter("crosslane_skipped_records", "Endpoints' records not used")?,
            strikes: counter("crosslane_strikes", "Endpoints that ended under a request")?,
            stalls: counter("crosslane_silences", "Endpoints that fell silent")?,
            invalid_load_reports: counter(
                "crosslane_invalid_load_reports",
                "Load reports of endpoints not used",
            )?,
            relative_times,
            slow_endpoints: gauge(
                "crosslane_slow_endpoints",
                "Endpoints that are slower than their services",
            )?,
            limited_endpoints: gauge("crosslane_limited_endpoints", "Endpoints that name a limit")?,
            reserved: counter(
                "crosslane_limit_reserved",
                "Requests refused under a limit to leave a reserve to more urgent ones",
            )?,
            passed_on: counter(
                "crosslane_limit_passed_on",
                "Queries for a limit passed on to its owner",
            )?,
            granted: counters(
                "crosslane_limit_granted",
                "Tokens of organisations' limits granted by role",
                "role",
            )?,
            late_replies: counters(
                "crosslane_limit_replies",
                "Replies of owners of limits that did not come in time",
                "outcome",
            )?,
            evacuated_domains: gauge(
                "crosslane_evacuated_domains",
                "Failure domains that are evacuated",
            )?,
            shut_out_requests: gauge("crosslane_shut_out", "Requests that are shut out")?,
            shut_out_segments: gauge(
                "crosslane_shut_out_segments",
                "Patterns of prompt segments that are shut out",
            )?,
            sent_bytes: counter("crosslane_told_bytes", "Bytes of records handed to other nodes")?,
            pull: histogram("crosslane_pull_seconds", "Time of a pull from another node")?,
            first_byte: histogram("crosslane_first_seconds", "Time to the first byte or event")?,
            reservation_wait: histogram(
                "crosslane_reserve_seconds",
                "Time until memory was reserved",
            )?,
            waiting: gauge("crosslane_waiting", "Requests that wait for room")?,
            room_wait: histogram("crosslane_wait_seconds", "Time that requests waited for room")?,
            shed: counter("crosslane_shed", "Requests refused at once as the wait was too long")?,
            unassociated: counter(
                "crosslane_unassociated_responses",
                "Responses to control calls that may belong to other calls",
            )?,
            displaced: counter("crosslane_displaced", "Waiting requests that left their place")?,
            prefill: histogram("crosslane_prefill_seconds", "Time of a prefill")?,
            event_gap: histogram("crosslane_gap_seconds", "Pauses between events")?,
            configuration_version: gauge(
                "crosslane_config_version",
                "Version of the configuration in force",
            )?,
            processor_wait: gauge(
                "crosslane_processor_wait_ms",
                "Wait for the processor in a second",
            )?,
            link_wait: gauge("crosslane_link_wait_ms", "Wait for the link in a second")?,
            closed_unread: counter("crosslane_closed_unread", "New connections closed unread")?,
            received: gauge("crosslane_received_bytes", "Bytes received")?,
            sent: gauge("crosslane_sent_bytes", "Bytes sent")?,
            endpoints: gauge("crosslane_endpoints", "Endpoints known")?,
            peers: gauge("crosslane_peers", "Other nodes heard")?,
            lines_dropped: gauge("crosslane_log_lines_dropped", "Log lines dropped")?,
            registry,
        })
    }

    /// Sets the extremes of the times relative to the median, by service and stage. Those without observations are removed.
    pub fn set_relative_times(&self, extremes: &HashMap<(&str, Stage), (f64, f64)>) {
        self.relative_times.reset();
        for ((service, stage), (least, most)) in extremes {
            let stage = format!("{stage:?}");
            for (extreme, time) in [("least", least), ("most", most)] {
                let labels = [*service, stage.as_str(), extreme];
                self.relative_times.with_label_values(&labels).set((time * 100.0) as i64);
            }
        }
    }

    /// Counts a request by its ending.
    pub fn count_ending(&self, ending: &str) {
        self.requests.with_label_values(&[ending]).inc();
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, reason: Reason) {
        self.refusals.with_label_values(&[REASONS[reason as usize].1]).inc();
    }

    /// Counts a retry or a denied retry.
    pub fn count_retry(&self, retry: Retry) {
        self.retries.with_label_values(&[RETRIES[retry as usize].1]).inc();
    }

    /// Counts a failed call to the store.
    pub fn count_store_error(&self, topic: &str) {
        self.store_errors.with_label_values(&[topic]).inc();
    }

    /// Counts a new connection to an endpoint by its outcome.
    pub fn count_connection(&self, outcome: &str) {
        self.connections.with_label_values(&[outcome]).inc();
    }

    /// Counts a stream that a caller takes up again, by how the build that began it was found.
    pub fn count_resumed(&self, source: &str) {
        self.resumed.with_label_values(&[source]).inc();
    }

    /// Counts a request sent to another node by its outcome.
    pub fn count_forwarded(&self, outcome: &str) {
        self.forwarded.with_label_values(&[outcome]).inc();
    }

    /// Counts tokens of an organisation's limit that were granted in a role.
    pub fn count_granted(&self, role: &str, tokens: u64) {
        self.granted.with_label_values(&[role]).inc_by(tokens);
    }

    /// Tokens of organisations' limits that were granted in a role.
    pub fn granted(&self, role: &str) -> u64 {
        self.granted.with_label_values(&[role]).get()
    }

    /// Counts a reply of a limit's owner that did not come in time.
    pub fn count_late_reply(&self, outcome: &str) {
        self.late_replies.with_label_values(&[outcome]).inc();
    }

    /// Adds a duration to a histogram.
    pub fn observe(histogram: &Histogram, time: Duration) {
        histogram.observe(time.as_secs_f64());
    }

    /// Encodes all metrics as text.
    pub fn encode(&self) -> Result<Vec<u8>> {
        let dropped = LINES_DROPPED.load(Ordering::Relaxed);
        self.lines_dropped.set(dropped.cast_signed());
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
