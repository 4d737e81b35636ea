//! Simulation of a load on the admission decisions, in virtual time.
//!
//! Streams arrive, wait for decode memory, hold it while they generate, and are answered on time,
//! late or not at all. A refused caller retries once. All streams may be interrupted at one moment,
//! after which their callers return together. Sizes, rates and waits are those of a small site:
//! engines of 41,000 tokens, streams with a prompt of 3,200 tokens and 640 generated tokens at
//! 5.4 ms each.

use crosslane_coordination::admission::{Caller, Timeliness};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Step of virtual time, in milliseconds.
const STEP_MS: u64 = 10;

/// Latency target of the first event, in milliseconds.
pub const TARGET_MS: u64 = 900;

/// Silence timeout of callers, in milliseconds.
pub const SILENCE_MS: u64 = 3_600;

/// Total time that a caller waits, in milliseconds.
const DEADLINE_MS: u64 = 14_000;

/// Time from the grant of memory to the first event, in milliseconds.
const FIRST_EVENT_MS: u64 = 250;

const CAPACITY_TOKENS: u64 = 41_000;
const PROMPT_TOKENS: u64 = 3_200;
const MS_PER_TOKEN: f64 = 5.4;

/// Worth of a late answer; one on time is worth 1.
const LATE_WORTH: f64 = 0.2;

/// Conditions under which a request gets memory.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Utilization above which an engine is considered full.
    pub max_utilization: f64,
    /// Longest wait, in milliseconds.
    pub max_wait_ms: u64,
}

/// Admission rule: the terms of a caller.
pub type Rule = fn(&Caller) -> Terms;

/// The rule under test.
pub fn admission(caller: &Caller) -> Terms {
    let timeliness = Timeliness::from(caller);
    Terms {
        max_utilization: timeliness.max_utilization(false),
        max_wait_ms: timeliness.max_wait_ms(caller),
    }
}

/// A load.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Streams per second.
    pub rate: f64,
    /// Bursts: start and end in milliseconds, and factor on the rate.
    pub bursts: &'static [(u64, u64, f64)],
    /// Time at which all streams are interrupted; their callers return 3.6 s later.
    pub cut: Option<u64>,
    /// Number of decode engines.
    pub engines: usize,
    /// Duration, in milliseconds.
    pub length: u64,
}

/// Result of a simulation.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Mean worth of a stream.
    pub worth: f64,
    /// Streams never answered.
    pub lost: usize,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Absent { until: u64 },
    Waiting { since: u64 },
    Running { engine: usize, until: u64 },
    Done { worth: f64 },
}

#[derive(Clone, Copy, Debug)]
struct Stream {
    first_arrival: u64,
    tokens: u64,
    retried: bool,
    interrupted: bool,
    state: State,
}

impl Stream {
    fn tokens_needed(&self) -> u64 {
        PROMPT_TOKENS + self.tokens
    }

    fn caller(&self, since: u64) -> Caller {
        Caller {
            target_ms: TARGET_MS,
            max_silence_ms: SILENCE_MS,
            spent_ms: since - self.first_arrival,
            resumes: self.interrupted,
        }
    }
}

/// Simulates a load under a rule.
pub fn play(load: Load, rule: Rule, seed: u64) -> Outcome {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut streams = arrivals(load, &mut random);
    let mut used = vec![0_u64; load.engines];
    let mut orphans = Vec::new();
    for now in (0..load.length + DEADLINE_MS).step_by(STEP_MS as usize) {
        if load.cut == Some(now) {
            orphans = interrupt(&mut streams, now);
        }
        for orphan in orphans.extract_if(.., |orphan| orphan.until <= now) {
            used[orphan.engine] -= orphan.tokens;
        }
        for stream in &mut streams {
            step(stream, &mut used, rule, now, &mut random);
        }
    }
    let worth =
        |stream: &Stream| if let State::Done { worth } = stream.state { worth } else { 0.0 };
    let lost = streams.iter().filter(|stream| worth(stream) == 0.0).count();
    let sum: f64 = streams.iter().map(worth).sum();
    Outcome { worth: sum / streams.len() as f64, lost }
}

fn arrivals(load: Load, random: &mut SmallRng) -> Vec<Stream> {
    let mut streams = Vec::new();
    for now in (0..load.length).step_by(STEP_MS as usize) {
        let burst = load.bursts.iter().find(|burst| (burst.0..burst.1).contains(&now));
        let rate = load.rate * burst.map_or(1.0, |found| found.2);
        if random.random_bool(rate * STEP_MS as f64 / 1_000.0) {
            let tokens = random.random_range(100..1_180);
            let state = State::Absent { until: now };
            streams.push(Stream {
                first_arrival: now,
                tokens,
                retried: false,
                interrupted: false,
                state,
            });
        }
    }
    streams
}

/// A run whose caller was disconnected.
#[derive(Clone, Copy, Debug)]
struct Orphan {
    engine: usize,
    until: u64,
    tokens: u64,
}

/// Interrupts all running streams. The engines are not notified and hold the memory until the runs
/// end.
fn interrupt(streams: &mut [Stream], now: u64) -> Vec<Orphan> {
    let mut orphans = Vec::new();
    for stream in streams {
        if let State::Running { engine, until } = stream.state {
            orphans.push(Orphan { engine, until, tokens: stream.tokens_needed() });
            stream.interrupted = true;
            stream.retried = true;
            stream.state = State::Absent { until: now + SILENCE_MS };
        }
    }
    orphans
}

fn step(stream: &mut Stream, used: &mut [u64], rule: Rule, now: u64, random: &mut SmallRng) {
    match stream.state {
        State::Absent { until } if until <= now => stream.state = State::Waiting { since: now },
        State::Waiting { since } => wait(stream, since, used, rule, now, random),
        State::Running { engine, until } if until <= now => {
            used[engine] -= stream.tokens_needed();
            stream.state = State::Done { worth: if stream.late(until) { LATE_WORTH } else { 1.0 } };
        }
        _ => {}
    }
}

impl Stream {
    /// Whether the first event of a run that ends at `end` was late.
    fn late(&self, end: u64) -> bool {
        let granted = end - self.run_ms();
        self.interrupted || granted + FIRST_EVENT_MS > self.first_arrival + TARGET_MS
    }

    fn run_ms(&self) -> u64 {
        FIRST_EVENT_MS + (self.tokens as f64 * MS_PER_TOKEN) as u64
    }
}

fn wait(
    stream: &mut Stream,
    since: u64,
    used: &mut [u64],
    rule: Rule,
    now: u64,
    random: &mut SmallRng,
) {
    let terms = rule(&stream.caller(since));
    let polls = random.random_bool(STEP_MS as f64 / 70.0);
    let least_loaded = (0..used.len()).min_by_key(|engine| used[*engine]);
    if let Some(engine) = least_loaded.filter(|_| polls) {
        let load = used[engine] as f64 / CAPACITY_TOKENS as f64;
        if load <= terms.max_utilization && used[engine] + stream.tokens_needed() <= CAPACITY_TOKENS
        {
            used[engine] += stream.tokens_needed();
            stream.state = State::Running { engine, until: now + stream.run_ms() };
            return;
        }
    }
    if now - since < terms.max_wait_ms {
        return;
    }
    let retry_at = now + random.random_range(2_000..4_400);
    let retries = !stream.retried && retry_at < stream.first_arrival + DEADLINE_MS;
    stream.retried = true;
    stream.state =
        if retries { State::Absent { until: retry_at } } else { State::Done { worth: 0.0 } };
}
