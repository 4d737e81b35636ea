//! Open-loop load at a set rate, and what came of it.

use crate::arguments::{number, text};
use crate::error::Error;
use crate::fleet::MODEL;
use crate::vm::{self, Access};
use clap::ArgMatches;
use crosslane_protocol::refusal::Body;
use crosslane_standins::text as standin;
use crosslane_transport::headers::{DEADLINE, IDEMPOTENCY_KEY, ORGANISATION};
use crosslane_transport::http::{self, Call, Client};
use hdrhistogram::Histogram;
use http_body_util::BodyExt;
use hyper::Method;
use hyper::header::HeaderValue;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Time after which an answer counts as lost.
const PATIENCE: Duration = Duration::from_secs(60);

/// Histogram precision, in significant digits.
const DIGITS: u8 = 3;

/// Time between two lines of progress.
const PROGRESS: Duration = Duration::from_secs(1);

/// What to send.
#[derive(Clone, Debug)]
pub struct Options {
    /// Nodes, in turn.
    pub to: Vec<SocketAddr>,
    /// Operators' ports of the nodes, for what they prefilled.
    pub operators: Vec<Access>,
    /// Requests per second.
    pub rate: u64,
    /// Length of the run, in seconds.
    pub seconds: u64,
    /// Lengths of prompts, in tokens, drawn evenly by their logarithm.
    pub prompt: (u64, u64),
    /// Most tokens to generate.
    pub max_tokens: u64,
    /// Target for the first output, in milliseconds.
    pub first_ms: u64,
    /// Target between outputs, in milliseconds.
    pub between_ms: u64,
    /// Percentage of calls to the service.
    pub service_percent: u64,
    /// Percentage of requests with a key.
    pub keyed_percent: u64,
    /// Deadline to send, in milliseconds; zero for none.
    pub deadline_ms: u64,
    /// Organisations that the requests come from.
    pub organisations: u64,
    /// Seed.
    pub seed: u64,
    /// Model.
    pub model: String,
    /// Path of the service.
    pub service_path: String,
    /// Whether answers are compared with the stand-ins' definition.
    pub verify: bool,
    /// Whether the report is JSON.
    pub json: bool,
    /// Whether progress is kept quiet.
    pub quiet: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            to: Vec::new(),
            operators: Vec::new(),
            rate: 50,
            seconds: 10,
            prompt: (50, 2_000),
            max_tokens: 64,
            first_ms: 490,
            between_ms: 39,
            service_percent: 0,
            keyed_percent: 0,
            deadline_ms: 0,
            organisations: 8,
            seed: 1,
            model: MODEL.to_owned(),
            service_path: "/booking/confirm".to_owned(),
            verify: true,
            json: false,
            quiet: true,
        }
    }
}

impl TryFrom<&ArgMatches> for Options {
    type Error = Error;

    fn try_from(matches: &ArgMatches) -> Result<Self, Error> {
        let prompt = (number(matches, "prompt-min"), number(matches, "prompt-max"));
        if prompt.0 == 0 || prompt.1 < prompt.0 {
            let message = "prompt-min must be from 1 to prompt-max".to_owned();
            return Err(Error::Argument { message });
        }
        Ok(Self {
            to: matches.get_many::<SocketAddr>("to").into_iter().flatten().copied().collect(),
            operators: operators(matches)?,
            rate: number(matches, "rate").max(1),
            seconds: number(matches, "seconds"),
            prompt,
            max_tokens: number(matches, "max-tokens"),
            first_ms: number(matches, "first-ms"),
            between_ms: number(matches, "between-ms"),
            service_percent: number(matches, "service-percent"),
            keyed_percent: number(matches, "keyed-percent"),
            deadline_ms: number(matches, "deadline-ms"),
            organisations: number(matches, "organisations").max(1),
            seed: number(matches, "seed"),
            model: text(matches, "model")?,
            service_path: text(matches, "service-path")?,
            verify: matches.get_flag("verify"),
            json: matches.get_flag("json"),
            quiet: matches.get_flag("quiet"),
        })
    }
}

fn operators(matches: &ArgMatches) -> Result<Vec<Access>, Error> {
    let addresses = matches.get_many::<SocketAddr>("operator").into_iter().flatten();
    let key = vm::key(matches)?;
    Ok(addresses.map(|it| Access::new(*it, &key)).collect())
}

/// One request to send.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Path.
    pub path: String,
    /// Body.
    pub body: Value,
    /// Idempotency key.
    pub key: Option<String>,
    /// Organisation.
    pub organisation: String,
    /// Deadline, in milliseconds; zero for none.
    pub deadline_ms: u64,
    /// Answer that the stand-ins define, for a model.
    pub expected: Option<String>,
}

impl Sample {
    /// A streamed completion with a prompt of its own.
    pub fn model(model: &str, sequence: u64, tokens: u64, max_tokens: u64) -> Self {
        let prompt = prompt(sequence, tokens);
        let expected = standin::answer(&prompt, max_tokens);
        let body =
            json!({ "model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": true });
        Self {
            path: "/v1/completions".to_owned(),
            body,
            key: None,
            organisation: "demo".to_owned(),
            deadline_ms: 0,
            expected: Some(expected),
        }
    }

    /// A call of a service.
    pub fn service(path: &str, key: Option<String>) -> Self {
        Self {
            path: path.to_owned(),
            body: json!({ "pitch": 7 }),
            key,
            organisation: "demo".to_owned(),
            deadline_ms: 0,
            expected: None,
        }
    }

    fn call(&self, to: SocketAddr) -> Call {
        let mut call = Call::json(to, self.path.as_str(), &self.body);
        let organisation = HeaderValue::from_str(&self.organisation).ok();
        let key = self.key.as_ref().and_then(|it| HeaderValue::from_str(it).ok());
        let deadline = (self.deadline_ms > 0).then(|| HeaderValue::from(self.deadline_ms));
        let headers = [(ORGANISATION, organisation), (IDEMPOTENCY_KEY, key), (DEADLINE, deadline)];
        for (name, value) in headers {
            if let Some(value) = value {
                call.headers.insert(name, value);
            }
        }
        call
    }
}

/// A prompt of a length in tokens, unlike those of other sequence numbers.
pub fn prompt(sequence: u64, tokens: u64) -> String {
    let mut text = format!("{sequence:012x} ");
    let mut word = sequence;
    while (text.len() as u64) < tokens * 4 {
        word = word.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        text.push_str(&format!("{:05x} ", word >> 44));
    }
    text.truncate(tokens as usize * 4);
    text
}

/// What came of one request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// HTTP status; zero without answer.
    pub status: u16,
    /// Time to the first output, in milliseconds.
    pub first_ms: f64,
    /// Mean time between outputs, in milliseconds.
    pub between_ms: f64,
    /// Pieces that came.
    pub pieces: u64,
    /// Whether the end mark came.
    pub ended: bool,
    /// Whether the answer is the expected one.
    pub correct: bool,
    /// Code, outcome and message of a refusal.
    pub refusal: Option<(String, String, String)>,
}

/// Sends a request and reads its answer whole, as status and body.
pub async fn whole(
    client: &Client,
    to: SocketAddr,
    sample: &Sample,
) -> Result<(u16, String), Error> {
    let response = client.send_buffered(sample.call(to), PATIENCE).await?;
    let body = String::from_utf8_lossy(response.body()).into_owned();
    Ok((response.status().as_u16(), body))
}

/// Sends a request and times its output.
pub async fn send(client: &Client, to: SocketAddr, sample: &Sample) -> Outcome {
    let started = Instant::now();
    let read = async {
        match client.send(sample.call(to), PATIENCE).await {
            Ok(response) => read(response, sample, started).await,
            Err(http::Error::Connect { .. }) => refused("no_connection", "not_run"),
            Err(_) => refused("broken", "unknown"),
        }
    };
    let answered = tokio::time::timeout(PATIENCE, read).await;
    answered.unwrap_or_else(|_| refused("no_answer", "unknown"))
}

fn refused(code: &str, outcome: &str) -> Outcome {
    let refusal = (code.to_owned(), outcome.to_owned(), String::new());
    Outcome { refusal: Some(refusal), ..Outcome::default() }
}

async fn read(
    response: hyper::Response<hyper::body::Incoming>,
    sample: &Sample,
    started: Instant,
) -> Outcome {
    let status = response.status().as_u16();
    let mut body = response.into_body();
    let mut outcome = Outcome { status, ..Outcome::default() };
    let mut buffer = Vec::new();
    let mut text = String::new();
    let (mut first, mut last) = (None, started);
    while let Some(Ok(frame)) = body.frame().await {
        let Ok(data) = frame.into_data() else {
            continue;
        };
        buffer.extend_from_slice(&data);
        if sample.expected.is_none() || status != 200 {
            continue;
        }
        while let Some(end) = buffer.windows(2).position(|it| it == b"\n\n") {
            let event: Vec<u8> = buffer.drain(..end + 2).collect();
            if event.starts_with(b"data: [DONE]") {
                outcome.ended = true;
                continue;
            }
            let value: Value = serde_json::from_slice(&event[6..]).unwrap_or_default();
            if value.get("error").is_some() {
                outcome.refusal = refusal(&value);
            } else if let Some(piece) = value["choices"][0]["text"].as_str()
                && !piece.is_empty()
            {
                text.push_str(piece);
                outcome.pieces += 1;
                last = Instant::now();
                first.get_or_insert(last);
            }
        }
    }
    match &sample.expected {
        Some(expected) if status == 200 => outcome.correct = outcome.ended && text == *expected,
        _ => {
            let value: Value = serde_json::from_slice(&buffer).unwrap_or_default();
            outcome.refusal = refusal(&value);
            outcome.ended = status == 200 && !value.is_null();
            outcome.correct = outcome.ended;
            last = Instant::now();
            first = Some(last);
        }
    }
    if !outcome.ended && outcome.refusal.is_none() {
        outcome.refusal = refused("broken", "unknown").refusal;
    }
    let first = first.unwrap_or(last);
    outcome.first_ms = (first - started).as_secs_f64() * 1e3;
    let gaps = outcome.pieces.saturating_sub(1).max(1);
    outcome.between_ms = (last - first).as_secs_f64() * 1e3 / gaps as f64;
    outcome
}

fn refusal(value: &Value) -> Option<(String, String, String)> {
    let body: Body = serde_json::from_value(value.clone()).ok()?;
    let error = body.error;
    Some((error.code.name().to_owned(), error.outcome.to_string(), error.message))
}

/// Quantiles of a latency, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Half are below.
    pub p50: f64,
    /// 95 in 100 are below.
    pub p95: f64,
    /// 99 in 100 are below.
    pub p99: f64,
}

/// What came of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Requests sent.
    pub sent: u64,
    /// Whole answers.
    pub whole: u64,
    /// Whole answers within both targets.
    pub good: u64,
    /// Those per second.
    pub goodput: f64,
    /// Answers that differ from what the stand-ins define.
    pub wrong: u64,
    /// Pieces that came.
    pub pieces: u64,
    /// Refusals by code and outcome.
    pub refused: BTreeMap<String, u64>,
    /// Time to the first output, in milliseconds.
    pub first_ms: Quantiles,
    /// Time between outputs, in milliseconds.
    pub between_ms: Quantiles,
    /// Tokens that the nodes had prefilled, if operators' ports were given.
    pub prefilled: u64,
    /// Share of them whose result was not used.
    pub wasted_prefill: f64,
}

struct Tally {
    report: Report,
    first: Histogram<u64>,
    between: Histogram<u64>,
}

impl Tally {
    fn new() -> Self {
        let histogram = || Histogram::new(DIGITS).expect("a valid precision");
        Self { report: Report::default(), first: histogram(), between: histogram() }
    }

    fn add(&mut self, outcome: &Outcome, options: &Options) {
        let report = &mut self.report;
        report.sent += 1;
        report.pieces += outcome.pieces;
        if let Some((code, known, _)) = &outcome.refusal {
            *report.refused.entry(format!("{code}/{known}")).or_default() += 1;
            return;
        }
        report.whole += 1;
        if options.verify && !outcome.correct {
            report.wrong += 1;
            return;
        }
        let first = outcome.first_ms <= options.first_ms as f64;
        let between = outcome.between_ms <= options.between_ms as f64;
        report.good += u64::from(first && between);
        let _ = self.first.record((outcome.first_ms * 1e3) as u64);
        if outcome.pieces > 1 {
            let _ = self.between.record((outcome.between_ms * 1e3) as u64);
        }
    }

    fn report(mut self, seconds: f64) -> Report {
        self.report.goodput = self.report.good as f64 / seconds;
        self.report.first_ms = quantiles(&self.first);
        self.report.between_ms = quantiles(&self.between);
        self.report
    }
}

fn quantiles(histogram: &Histogram<u64>) -> Quantiles {
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
    Quantiles { p50: at(0.5), p95: at(0.95), p99: at(0.99) }
}

/// Sends the load and reports.
pub async fn run(options: &Options) -> Result<(), Error> {
    let report = drive(options).await;
    let text = if options.json {
        serde_json::to_string(&report).unwrap_or_default()
    } else {
        format!("{:#}", json!(report))
    };
    println!("{text}");
    if report.wrong > 0 { Err(Error::failed("some answers were wrong")) } else { Ok(()) }
}

/// Tokens prefilled so far, and those whose result was not used.
async fn prefilled(operators: &[Access]) -> (u64, u64) {
    let (mut tokens, mut wasted) = (0, 0);
    for operator in operators {
        let status = operator.call(Method::GET, "/status").await.unwrap_or_default();
        let counter = |name: &str| status["counters"][name].as_u64().unwrap_or(0);
        tokens += counter("prefill.tokens");
        wasted += counter("prefill.wasted_tokens");
    }
    (tokens, wasted)
}

/// Sends the load and returns the report.
pub async fn drive(options: &Options) -> Report {
    let before = prefilled(&options.operators).await;
    let mut report = send_all(options).await;
    let after = prefilled(&options.operators).await;
    report.prefilled = after.0 - before.0;
    report.wasted_prefill = (after.1 - before.1) as f64 / report.prefilled.max(1) as f64;
    report
}

async fn send_all(options: &Options) -> Report {
    let mut random = SmallRng::seed_from_u64(options.seed);
    let client = Client::default();
    let (results, mut outcomes) = mpsc::unbounded_channel();
    let collected = options.clone();
    let collector = tokio::spawn(async move {
        let mut tally = Tally::new();
        let mut shown = Instant::now();
        while let Some(outcome) = outcomes.recv().await {
            tally.add(&outcome, &collected);
            if !collected.quiet && shown.elapsed() >= PROGRESS {
                shown = Instant::now();
                eprintln!("{} answered, {} within targets", tally.report.sent, tally.report.good);
            }
        }
        tally
    });
    let started = tokio::time::Instant::now();
    let length = Duration::from_secs(options.seconds);
    let mut due = Duration::ZERO;
    let mut sequence = 0u64;
    while due < length {
        tokio::time::sleep_until(started + due).await;
        let sample = sample(options, &mut random, sequence);
        let to = options.to[sequence as usize % options.to.len()];
        let (client, results) = (client.clone(), results.clone());
        tokio::spawn(async move {
            let _ = results.send(send(&client, to, &sample).await);
        });
        sequence += 1;
        let uniform: f64 = random.random_range(f64::EPSILON..1.0);
        due += Duration::from_secs_f64(-uniform.ln() / options.rate as f64);
    }
    drop(results);
    let tally = collector.await.unwrap_or_else(|_| Tally::new());
    tally.report(options.seconds as f64)
}

fn sample(options: &Options, random: &mut SmallRng, sequence: u64) -> Sample {
    let number = (options.seed << 32) | sequence;
    let keyed = random.random_range(0..100) < options.keyed_percent;
    let key = keyed.then(|| format!("load-{number:x}"));
    let mut sample = if random.random_range(0..100) < options.service_percent {
        Sample::service(&options.service_path, key.clone())
    } else {
        let (least, most) = (options.prompt.0 as f64, options.prompt.1 as f64);
        let uniform: f64 = random.random();
        let tokens = (least * (most / least).powf(uniform)) as u64;
        Sample::model(&options.model, number, tokens, options.max_tokens)
    };
    sample.key = key;
    sample.deadline_ms = options.deadline_ms;
    sample.organisation = format!("organisation-{}", random.random_range(0..options.organisations));
    sample
}
