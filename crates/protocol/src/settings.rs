//! Settings of a node, checked from JSON with comments.
//!
//! Every mistake of a file is reported at once, each with its line, key, what was expected
//! and what was found.

use crate::section::{Report, Section};
use crosslane_coordination::{ledger, placement::Mode};
use crosslane_state::runner::{Id, Role, Runner};
use derive_more::{Display, Error};
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// One mistake in a file.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("line {line}: {key}: expected {expected}, found {found}")]
pub struct Mistake {
    /// Line, from one.
    pub line: usize,
    /// Path of the key.
    pub key: String,
    /// What should stand there.
    pub expected: String,
    /// What stands there.
    pub found: String,
}

/// All mistakes of a file.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{}", self.lines())]
pub struct Error {
    /// File name.
    pub file: String,
    /// Its mistakes, by line.
    pub mistakes: Vec<Mistake>,
}

impl Error {
    fn lines(&self) -> String {
        let lines: Vec<_> = self.mistakes.iter().map(|it| format!("{}: {it}", self.file)).collect();
        lines.join("\n")
    }
}

/// A settings file as read.
#[derive(Clone, Copy, Debug)]
pub struct Raw<'a> {
    /// File name, for messages.
    pub file: &'a str,
    /// Its text.
    pub text: &'a str,
}

/// Addresses that a node listens on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listen {
    /// Callers.
    pub callers: SocketAddr,
    /// Requests forwarded by other nodes.
    pub forward: SocketAddr,
    /// Control messages of other nodes.
    pub control: SocketAddr,
    /// Operators.
    pub operator: SocketAddr,
}

/// Limits towards callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Connections at once.
    pub connections: usize,
    /// Time for a request's head or body to arrive, in milliseconds.
    pub read_millis: u64,
    /// Bytes of a service's answer.
    pub answer_bytes: usize,
}

/// Latency targets of a class, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// Time to first output.
    pub first_millis: u64,
    /// Time for a plain service to answer.
    pub service_millis: u64,
}

/// How work is placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// How candidates are chosen.
    pub mode: Mode,
    /// Whether owners grant slots.
    pub reserve: bool,
    /// Whether slots are granted ahead of predicted releases.
    pub ahead: bool,
    /// Prompts up to this many tokens are prefilled where they decode.
    pub local_prefill_tokens: u64,
    /// Assumed prefill rate, in tokens per second.
    pub prefill_rate: u64,
    /// Assumed rate of a decode engine's link, in tokens of KV cache per second.
    pub link_rate: u64,
    /// Assumed time of one output token, in milliseconds.
    pub token_millis: u64,
    /// Retries as a percentage of fresh requests.
    pub retry_percent: u32,
}

/// Periods, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Between heartbeats.
    pub beat_millis: u64,
    /// Silence after which a node is suspected.
    pub suspect_millis: u64,
    /// Between looks at an owned engine's list.
    pub reconcile_millis: u64,
    /// Between appends of claims.
    pub claim_millis: u64,
    /// Between a leave announcement and the refusal of new requests.
    pub drain_millis: u64,
    /// Wait for one answer of the platform.
    pub platform_millis: u64,
    /// Log records between two checkpoints; not a time, but kept with them.
    pub checkpoint_records: u64,
}

/// Checked settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// VM this node runs on.
    pub vm: String,
    /// Its failure domain.
    pub domain: String,
    /// Addresses it listens on.
    pub listen: Listen,
    /// Key that operators show.
    pub operator_key: String,
    /// Platform's log.
    pub log: SocketAddr,
    /// Platform's VM list.
    pub vms: SocketAddr,
    /// Control addresses to ask when starting with the log out.
    pub seeds: Vec<SocketAddr>,
    /// Where metrics go.
    pub statsd: Option<SocketAddr>,
    /// Whether logs are JSON.
    pub json_logs: bool,
    /// Threads that do the work.
    pub workers: usize,
    /// Nodes that heartbeats go to.
    pub neighbours: usize,
    /// Limits towards callers.
    pub limits: Limits,
    /// Targets of quick requests.
    pub quick: Target,
    /// Targets of patient requests.
    pub patient: Target,
    /// How work is placed.
    pub placement: Placement,
    /// Bounds of the ledger.
    pub ledger: ledger::Limits,
    /// Periods.
    pub timing: Timing,
    /// Engines and services.
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

/// An hour, in milliseconds.
const HOUR: u64 = 3_600_000;

impl TryFrom<Raw<'_>> for Settings {
    type Error = Error;

    fn try_from(raw: Raw<'_>) -> Result<Self, Error> {
        let parsed = parse_to_ast(raw.text, &CollectOptions::default(), &ParseOptions::default());
        let report = Report { text: raw.text, mistakes: RefCell::default() };
        let settings = match &parsed {
            Ok(result) => result.value.as_ref().map(|value| root(&report, value)),
            Err(error) => {
                let found = error.kind().to_string();
                report.add(error.range().start, "file".to_owned(), "JSON with comments", found);
                None
            }
        };
        if settings.is_none() && report.mistakes.borrow().is_empty() {
            report.add(0, "file".to_owned(), "an object", "nothing".to_owned());
        }
        let mut mistakes = report.mistakes.into_inner();
        mistakes.sort_by(|a, b| (a.line, &a.key).cmp(&(b.line, &b.key)));
        match settings {
            Some(settings) if mistakes.is_empty() => Ok(settings),
            _ => Err(Error { file: raw.file.to_owned(), mistakes }),
        }
    }
}

fn root<'a>(report: &'a Report<'a>, value: &'a jsonc_parser::ast::Value<'a>) -> Settings {
    let top = Section::new(report, value, String::new());
    let settings = Settings {
        vm: top.text("vm"),
        domain: top.text("domain"),
        listen: listen(top.section("listen")),
        operator_key: top.text("operator_key"),
        log: top.address("log"),
        vms: top.address("vms"),
        seeds: top.addresses("seeds"),
        statsd: top.optional_address("statsd"),
        json_logs: top.choice("log_format", &LOG_FORMATS, Some(false)),
        workers: top.number("workers", 1..=256, 2) as usize,
        neighbours: top.number("neighbours", 1..=64, 8) as usize,
        limits: limits(top.section("limits")),
        quick: target(top.section("quick"), 490),
        patient: target(top.section("patient"), 10_000),
        placement: placement(top.section("placement")),
        ledger: ledger(top.section("ledger")),
        timing: timing(top.section("timing")),
        runners: runners(report, top.list("runners")),
    };
    top.close();
    settings
}

fn listen(section: Section<'_>) -> Listen {
    let listen = Listen {
        callers: section.address("callers"),
        forward: section.address("forward"),
        control: section.address("control"),
        operator: section.address("operator"),
    };
    section.close();
    listen
}

fn limits(section: Section<'_>) -> Limits {
    let limits = Limits {
        header_bytes: section.number("header_bytes", 8_192..=1 << 20, 16_384) as usize,
        body_bytes: section.number("body_bytes", 1_024..=1 << 28, 1 << 20) as usize,
        connections: section.number("connections", 1..=1_000_000, 10_000) as usize,
        read_millis: section.number("read_millis", 10..=HOUR, 10_000),
        answer_bytes: section.number("answer_bytes", 1_024..=1 << 28, 1 << 20) as usize,
    };
    section.close();
    limits
}

fn target(section: Section<'_>, first: u64) -> Target {
    let target = Target {
        first_millis: section.number("first_millis", 1..=HOUR, first),
        service_millis: section.number("service_millis", 1..=HOUR, 10_000),
    };
    section.close();
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
    section.close();
    placement
}

fn ledger(section: Section<'_>) -> ledger::Limits {
    let limits = ledger::Limits {
        answers: section.number("answers", 1..=10_000_000, 20_000) as usize,
        bytes: section.number("bytes", 1_024..=1 << 34, 64 << 20) as usize,
        answer_millis: section.number("answer_millis", 1..=24 * HOUR, 600_000),
        tombstones: section.number("tombstones", 1..=100_000_000, 100_000) as usize,
        window_millis: section.number("window_millis", 1..=48 * HOUR, 24 * HOUR),
    };
    section.close();
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
    section.close();
    timing
}

fn runners<'a>(report: &'a Report<'a>, sections: Vec<Section<'a>>) -> Vec<Runner> {
    let mut names = BTreeSet::new();
    let runners: Vec<_> = sections.into_iter().map(runner).collect();
    for runner in &runners {
        if !runner.name.is_empty() && !names.insert(runner.name.clone()) {
            let at = report.text.rfind(&format!("\"{}\"", runner.name)).unwrap_or(0);
            report.add(at, "runners.name".into(), "a name used once", runner.name.clone());
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
    section.close();
    runner
}
