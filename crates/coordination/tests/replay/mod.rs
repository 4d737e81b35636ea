//! Replay of a load against the decisions, in virtual time.
//!
//! Streams arrive, wait for decode memory, hold it while they generate, and are answered on time,
//! late or not at all. A refused caller comes back once. All callers may be cut off at one moment and
//! return together. Sizes, rates and waits are those of a small site: engines of 41,000 tokens,
//! streams of 3,200 tokens read and 640 generated at 5.4 ms each.

use crosslane_coordination::admission::{Caller, Standing};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Step of virtual time, in milliseconds.
const STEP: u64 = 10;

/// Target, in milliseconds.
pub const TARGET: u64 = 900;

/// Silence that callers bear, in milliseconds.
pub const SILENCE: u64 = 3_600;

/// Time that a caller waits in all, in milliseconds.
const DEADLINE: u64 = 14_000;

/// Time from memory to the first event, in milliseconds.
const FIRST: u64 = 250;

const CAPACITY: u64 = 41_000;
const PROMPT: u64 = 3_200;
const MILLIS_A_TOKEN: f64 = 5.4;

/// Worth of a late answer, where one on time is worth 1.
const LATE: f64 = 0.2;

/// What a request may do to get memory.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Load above which an engine is not asked.
    pub full: f64,
    /// Longest wait, in milliseconds.
    pub wait: u64,
}

/// Decides terms by what is known of a caller.
pub type Rule = fn(&Caller) -> Terms;

/// The decisions under test.
pub fn admission(caller: &Caller) -> Terms {
    let standing = Standing::from(caller);
    Terms { full: standing.full(), wait: standing.wait(caller) }
}

/// A load.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Streams a second.
    pub rate: f64,
    /// Start, end and strength of bursts.
    pub bursts: &'static [(u64, u64, f64)],
    /// When every stream is cut, and its caller returns at once 3.6 s later.
    pub cut: Option<u64>,
    /// Decoding engines.
    pub engines: usize,
    /// Length, in milliseconds.
    pub length: u64,
}

/// What came of a load.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Mean worth of a stream.
    pub worth: f64,
    /// Streams never answered.
    pub lost: usize,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Away { until: u64 },
    Waiting { since: u64 },
    Running { engine: usize, until: u64 },
    Done { worth: f64 },
}

#[derive(Clone, Copy, Debug)]
struct Stream {
    first: u64,
    tokens: u64,
    returned: bool,
    cut: bool,
    state: State,
}

impl Stream {
    fn need(&self) -> u64 {
        PROMPT + self.tokens
    }

    fn caller(&self, since: u64) -> Caller {
        Caller { target: TARGET, silence: SILENCE, spent: since - self.first, resumes: self.cut }
    }
}

/// Plays a load under a rule.
pub fn play(load: Load, rule: Rule, seed: u64) -> Outcome {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut streams = arrivals(load, &mut random);
    let mut used = vec![0_u64; load.engines];
    let mut orphans = Vec::new();
    for now in (0..load.length + DEADLINE).step_by(STEP as usize) {
        if load.cut == Some(now) {
            orphans = cut(&mut streams, now);
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
    for now in (0..load.length).step_by(STEP as usize) {
        let burst = load.bursts.iter().find(|burst| (burst.0..burst.1).contains(&now));
        let rate = load.rate * burst.map_or(1.0, |found| found.2);
        if random.random_bool(rate * STEP as f64 / 1_000.0) {
            let tokens = random.random_range(100..1_180);
            let state = State::Away { until: now };
            streams.push(Stream { first: now, tokens, returned: false, cut: false, state });
        }
    }
    streams
}

/// A run whose caller was cut off.
#[derive(Clone, Copy, Debug)]
struct Orphan {
    engine: usize,
    until: u64,
    tokens: u64,
}

/// Cuts the streams that run; the engines, which nobody told, hold their memory until they end.
fn cut(streams: &mut [Stream], now: u64) -> Vec<Orphan> {
    let mut orphans = Vec::new();
    for stream in streams {
        if let State::Running { engine, until } = stream.state {
            orphans.push(Orphan { engine, until, tokens: stream.need() });
            stream.cut = true;
            stream.returned = true;
            stream.state = State::Away { until: now + SILENCE };
        }
    }
    orphans
}

fn step(stream: &mut Stream, used: &mut [u64], rule: Rule, now: u64, random: &mut SmallRng) {
    match stream.state {
        State::Away { until } if until <= now => stream.state = State::Waiting { since: now },
        State::Waiting { since } => wait(stream, since, used, rule, now, random),
        State::Running { engine, until } if until <= now => {
            used[engine] -= stream.need();
            stream.state = State::Done { worth: if stream.late(until) { LATE } else { 1.0 } };
        }
        _ => {}
    }
}

impl Stream {
    /// Whether a run that ends then had its first event late.
    fn late(&self, end: u64) -> bool {
        let granted = end - self.run();
        self.cut || granted + FIRST > self.first + TARGET
    }

    fn run(&self) -> u64 {
        FIRST + (self.tokens as f64 * MILLIS_A_TOKEN) as u64
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
    let asks = random.random_bool(STEP as f64 / 70.0);
    let emptiest = (0..used.len()).min_by_key(|engine| used[*engine]);
    if let Some(engine) = emptiest.filter(|_| asks) {
        let load = used[engine] as f64 / CAPACITY as f64;
        if load <= terms.full && used[engine] + stream.need() <= CAPACITY {
            used[engine] += stream.need();
            stream.state = State::Running { engine, until: now + stream.run() };
            return;
        }
    }
    if now - since < terms.wait {
        return;
    }
    let back = now + random.random_range(2_000..4_400);
    let again = !stream.returned && back < stream.first + DEADLINE;
    stream.returned = true;
    stream.state = if again { State::Away { until: back } } else { State::Done { worth: 0.0 } };
}
