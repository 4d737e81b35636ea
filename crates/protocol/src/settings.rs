//! Settings of a node, parsed from JSON with comments.
//!
//! All errors of a file are reported together, each with its line, its key, the expected value and the
//! value found.

use crate::section::{Diagnostics, Section};
use crosslane_coordination::{ledger, placement::Mode};
use crosslane_state::runner::{Id, Role, Runner};
use derive_more::{Display, Error};
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// An error at one place of a file.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("line {line}: {key}: expected {expected}, found {found}")]
pub struct Diagnostic {
    /// Line number, from one.
    pub line: usize,
    /// Path of the key, such as `timing.beat_millis`.
    pub key: String,
    /// Description of the valid values.
    pub expected: String,
    /// Excerpt of what the file has there.
    pub found: String,
}

/// All errors of a file.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{}", self.lines())]
pub struct Error {
    /// File name.
    pub file: String,
    /// Its errors, in order of line.
    pub diagnostics: Vec<Diagnostic>,
}

impl Error {
    fn lines(&self) -> String {
        let lines: Vec<_> = self
            .diagnostics
            .iter()
            .map(|diagnostic| format!("{}: {diagnostic}", self.file))
            .collect();
        lines.join("\n")
    }
}

/// A settings file, not yet parsed.
#[derive(Clone, Copy, Debug)]
pub struct Raw<'a> {
    /// File name, for error messages.
    pub file: &'a str,
    /// Contents.
    pub text: &'a str,
}

/// Addresses that a node listens on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listen {
    /// Callers' requests.
    pub callers: SocketAddr,
    /// Requests forwarded by other nodes.
    pub forward: SocketAddr,
    /// Control messages of other nodes.
    pub control: SocketAddr,
    /// Operators' requests.
    pub operator: SocketAddr,
}

/// Limits on callers and on responses to them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request's header, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Maximum number of concurrent connections.
    pub connections: usize,
    /// Time within which a request's header, and then its body, must arrive, in milliseconds.
    pub read_millis: u64,
    /// Maximum size of a service's response, in bytes.
    pub answer_bytes: usize,
}

/// Latency targets of a latency class, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// Time to the first token.
    pub first_millis: u64,
    /// Response time of a plain service.
    pub service_millis: u64,
}

/// How requests are placed on runners.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Load balancing algorithm.
    pub mode: Mode,
    /// Whether a request needs a slot granted by the runner's owner.
    pub reserve: bool,
    /// Whether slots that are predicted to become free soon are granted in advance.
    pub ahead: bool,
    /// Longest prompt that the decode engine prefills itself, in tokens.
    pub local_prefill_tokens: u64,
    /// Assumed prefill rate, in tokens per second.
    pub prefill_rate: u64,
    /// Assumed rate of a decode engine's link, in tokens of KV cache per second.
    pub link_rate: u64,
    /// Assumed decode time of one output token, in milliseconds.
    pub token_millis: u64,
    /// Retry budget, as a percentage of first attempts.
    pub retry_percent: u32,
}

/// Intervals and time limits, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Interval between heartbeats.
    pub beat_millis: u64,
    /// Time without a heartbeat after which a node is suspected.
    pub suspect_millis: u64,
    /// Interval between reconciliations with the attempts that an owned engine lists.
    pub reconcile_millis: u64,
    /// Interval between appends of claims to the log.
    pub claim_millis: u64,
    /// Time after its leave announcement for which a node still accepts new requests.
    pub drain_millis: u64,
    /// Time limit of a request to the platform.
    pub platform_millis: u64,
    /// Log records between two checkpoints: a number, grouped with the intervals.
    pub checkpoint_records: u64,
}

/// Validated settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// VM this node runs on.
    pub vm: String,
    /// Its failure domain.
    pub domain: String,
    /// Addresses it listens on.
    pub listen: Listen,
    /// Key that operators authenticate with.
    pub operator_key: String,
    /// Address of the platform's log service.
    pub log: SocketAddr,
    /// Address of the platform's VM list.
    pub vms: SocketAddr,
    /// Control addresses of nodes to start from while the log is unavailable.
    pub seeds: Vec<SocketAddr>,
    /// StatsD address that metrics are sent to.
    pub statsd: Option<SocketAddr>,
    /// Whether the log format is JSON.
    pub json_logs: bool,
    /// Worker threads.
    pub workers: usize,
    /// Number of nodes that heartbeats are sent to.
    pub neighbours: usize,
    /// Limits on callers and on responses to them.
    pub limits: Limits,
    /// Latency targets of quick (interactive) requests.
    pub quick: Target,
    /// Latency targets of patient (batch) requests.
    pub patient: Target,
    /// How requests are placed on runners.
    pub placement: Placement,
    /// Limits of the idempotency records.
    pub ledger: ledger::Limits,
    /// Intervals and time limits.
    pub timing: Timing,
    /// Engines and plain services.
    pub runners: Vec<Runner>,
}

const MODES: [(&str, Mode); 4] = [
    ("best_of_two", Mode::BestOfTwo),
    ("round_robin", Mode::RoundRobin),
    ("random", Mode::Random),
    ("least_reported", Mode::LeastReported),
];

const ROLES: [(&str, Role); 3] =
    [("prefill", Role::Prefill), ("decode", Role::Decode), ("service", Role::Service)];

const LOG_FORMATS: [(&str, bool); 2] = [("text", false), ("json", true)];

/// Milliseconds of an hour.
const HOUR_MS: u64 = 3_600_000;

impl TryFrom<Raw<'_>> for Settings {
    type Error = Error;

    fn try_from(raw: Raw<'_>) -> Result<Self, Error> {
        let parsed = parse_to_ast(raw.text, &CollectOptions::default(), &ParseOptions::default());
        let diagnostics = Diagnostics { source: raw.text, list: RefCell::default() };
        let settings = match &parsed {
            Ok(result) => result.value.as_ref().map(|value| read_settings(&diagnostics, value)),
            Err(error) => {
                let found = error.kind().to_string();
                diagnostics.add(
                    error.range().start,
                    "file".to_owned(),
                    "JSON with comments",
                    found,
                );
                None
            }
        };
        if settings.is_none() && diagnostics.list.borrow().is_empty() {
            diagnostics.add(0, "file".to_owned(), "an object", "nothing".to_owned());
        }
        let mut list = diagnostics.list.into_inner();
        list.sort_by(|a, b| (a.line, &a.key).cmp(&(b.line, &b.key)));
        match settings {
            Some(settings) if list.is_empty() => Ok(settings),
            _ => Err(Error { file: raw.file.to_owned(), diagnostics: list }),
        }
    }
}

fn read_settings<'a>(
    diagnostics: &'a Diagnostics<'a>,
    value: &'a jsonc_parser::ast::Value<'a>,
) -> Settings {
    let root = Section::new(diagnostics, value, String::new());
    let settings = Settings {
        vm: root.text("vm"),
        domain: root.text("domain"),
        listen: listen(root.section("listen")),
        operator_key: root.text("operator_key"),
        log: root.address("log"),
        vms: root.address("vms"),
        seeds: root.addresses("seeds"),
        statsd: root.optional_address("statsd"),
        json_logs: root.choice("log_format", &LOG_FORMATS, Some(false)),
        workers: root.number("workers", 1..=256, 2) as usize,
        neighbours: root.number("neighbours", 1..=64, 8) as usize,
        limits: limits(root.section("limits")),
        quick: target(root.section("quick"), 490),
        patient: target(root.section("patient"), 10_000),
        placement: placement(root.section("placement")),
        ledger: ledger(root.section("ledger")),
        timing: timing(root.section("timing")),
        runners: runners(diagnostics, root.list("runners")),
    };
    root.reject_unknown_keys();
    settings
}

fn listen(section: Section<'_>) -> Listen {
    let listen = Listen {
        callers: section.address("callers"),
        forward: section.address("forward"),
        control: section.address("control"),
        operator: section.address("operator"),
    };
    section.reject_unknown_keys();
    listen
}

fn limits(section: Section<'_>) -> Limits {
    let limits = Limits {
        header_bytes: section.number("header_bytes", 8_192..=1 << 20, 16_384) as usize,
        body_bytes: section.number("body_bytes", 1_024..=1 << 28, 1 << 20) as usize,
        connections: section.number("connections", 1..=1_000_000, 10_000) as usize,
        read_millis: section.number("read_millis", 10..=HOUR_MS, 10_000),
        answer_bytes: section.number("answer_bytes", 1_024..=1 << 28, 1 << 20) as usize,
    };
    section.reject_unknown_keys();
    limits
}

fn target(section: Section<'_>, default_first_millis: u64) -> Target {
    let target = Target {
        first_millis: section.number("first_millis", 1..=HOUR_MS, default_first_millis),
        service_millis: section.number("service_millis", 1..=HOUR_MS, 10_000),
    };
    section.reject_unknown_keys();
    target
}

fn placement(section: Section<'_>) -> Placement {
    let placement = Placement {
        mode: section.choice("mode", &MODES, Some(Mode::BestOfTwo)),
        reserve: section.flag("reserve", true),
        ahead: section.flag("ahead", false),
        local_prefill_tokens: section.number("local_prefill_tokens", 0..=1 << 20, 64),
        prefill_rate: section.number("prefill_rate", 1..=1 << 30, 20_000),
        link_rate: section.number("link_rate", 1..=1 << 40, 20_000),
        token_millis: section.number("token_millis", 1..=10_000, 10),
        retry_percent: section.number("retry_percent", 0..=100, 10) as u32,
    };
    section.reject_unknown_keys();
    placement
}

fn ledger(section: Section<'_>) -> ledger::Limits {
    let limits = ledger::Limits {
        answers: section.number("answers", 1..=10_000_000, 20_000) as usize,
        bytes: section.number("bytes", 1_024..=1 << 34, 64 << 20) as usize,
        answer_millis: section.number("answer_millis", 1..=24 * HOUR_MS, 600_000),
        tombstones: section.number("tombstones", 1..=100_000_000, 100_000) as usize,
        window_millis: section.number("window_millis", 1..=48 * HOUR_MS, 24 * HOUR_MS),
    };
    section.reject_unknown_keys();
    limits
}

fn timing(section: Section<'_>) -> Timing {
    let timing = Timing {
        beat_millis: section.number("beat_millis", 10..=60_000, 250),
        suspect_millis: section.number("suspect_millis", 50..=600_000, 1_500),
        reconcile_millis: section.number("reconcile_millis", 50..=600_000, 500),
        claim_millis: section.number("claim_millis", 0..=1_000, 20),
        drain_millis: section.number("drain_millis", 0..=600_000, 2_000),
        platform_millis: section.number("platform_millis", 10..=60_000, 1_000),
        checkpoint_records: section.number("checkpoint_records", 10..=1_000_000, 500),
    };
    section.reject_unknown_keys();
    timing
}

fn runners<'a>(diagnostics: &'a Diagnostics<'a>, sections: Vec<Section<'a>>) -> Vec<Runner> {
    let mut names = BTreeSet::new();
    let runners: Vec<_> = sections.into_iter().map(runner).collect();
    for runner in &runners {
        if !runner.name.is_empty() && !names.insert(runner.name.clone()) {
            let offset = diagnostics.source.rfind(&format!("\"{}\"", runner.name)).unwrap_or(0);
            diagnostics.add(offset, "runners.name".into(), "a unique name", runner.name.clone());
        }
    }
    runners
}

fn runner(section: Section<'_>) -> Runner {
    let name = section.text("name");
    let runner = Runner {
        id: Id::of(&name),
        vm: section.optional_text("vm", &name),
        name,
        domain: section.text("domain"),
        address: section.address("address"),
        role: section.choice("role", &ROLES, None),
        serves: section.text("serves"),
        slots: section.number("slots", 1..=100_000, 20) as u32,
        kv_tokens: section.number("kv_tokens", 0..=1 << 40, 0),
        fences: section.flag("fences", false),
    };
    section.reject_unknown_keys();
    runner
}
