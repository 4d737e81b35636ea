//! Simulation of a fleet whose engines crash under poison segments, in virtual time.
//!
//! Prompts have a first segment, a second one and one of their own. Poison requests arrive at random
//! nodes, no two alike, among sound ones that share their other segments. Nodes send each other what
//! they see; messages take some milliseconds, and some get lost. Interrupted requests are resumed.

use crosslane_coordination::quarantine::{BLAME_WINDOW_MS, INNOCENT_AFTER_MS};
use crosslane_coordination::segments::{Segments, Update};
use crosslane_state::endpoint::Tag;
use crosslane_state::fingerprint::Fingerprint;
use crosslane_state::segment::Segment;
use crosslane_state::time::Millis;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashMap};
use std::ops::Range;

const UNIX_MS: u64 = 1_800_000_000_000;

/// Duration of a sound run, and time until a poisonous one crashes its engine, in milliseconds.
const RUN_MS: Range<u64> = 1_000..3_000;
const CRASH_AFTER_MS: Range<u64> = 34..121;

/// Time from the arrival of a request to its run, in milliseconds.
const START_MS: Range<u64> = 40..300;

/// Time to check an engine that interrupted a request, and latency of a message, in milliseconds.
const CHECK_MS: u64 = 3;
const LATENCY_MS: Range<u64> = 1..12;

/// Share of the messages that get lost.
const MESSAGE_LOSS: f64 = 0.03;

/// Time after which a crashed engine is back, in milliseconds.
const RESTART_MS: u64 = 4_000;

/// When poison requests begin to arrive, and the length of the simulation, in milliseconds.
const POISON_FROM_MS: u64 = 6_000;
const LENGTH_MS: u64 = 26_000;

/// Time in which all nodes must know of a poison segment, and the crashes before it begins.
const CONTACT_MS: u64 = 3_000;
const CRASHES_ALLOWED: u32 = 5;

/// Interval of the rulings, in milliseconds.
const RULING_INTERVAL_MS: u64 = 50;

/// Interval at which nodes compare the digests of their rulings.
const HEARTBEAT_MS: u64 = 1_000;

/// Crashes under one request after which the quarantine of requests bars it.
const CRASHES_PER_REQUEST: u32 = 3;

/// Time between the restart of a node and its being told what the others know, in milliseconds.
const SYNC_MS: u64 = 300;

/// Parameters of a fleet.
#[derive(Clone, Debug)]
pub struct Case {
    pub nodes: usize,
    pub engines: usize,
    /// Sound and poison requests per second.
    pub sound: f64,
    pub poison: f64,
    /// Number of different first and second segments.
    pub firsts: u64,
    pub seconds: u64,
    pub poisons: &'static [Poison],
    /// Attempts of a request.
    pub attempts: u32,
    /// Engines that crash on their own per second.
    pub crashes: f64,
    /// Nodes that are killed and restarted per second.
    pub restarts: f64,
    /// Whether sound requests arrive before the poison ones.
    pub warm: bool,
    /// Whether a sound request with the other segments runs beside each poison one, at the same engine.
    pub companions: bool,
}

/// Which prompts have a poison segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Poison {
    /// In place of the first segment.
    First,
    /// In place of the second segment, under one first segment.
    Second,
    /// In place of the second segment, under any first one.
    SecondAnywhere,
    /// Between a sound first and a sound second one.
    Between,
    /// Not a segment: each request is poisonous by itself, and all of them have one first segment. Each is sent three times.
    Requests,
}

impl Default for Case {
    fn default() -> Self {
        Self {
            nodes: 6,
            engines: 24,
            sound: 12.0,
            poison: 4.0,
            firsts: 3,
            seconds: 40,
            poisons: &[Poison::Second],
            attempts: 2,
            crashes: 0.0,
            restarts: 0.0,
            warm: true,
            companions: false,
        }
    }
}

/// Result of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Engines that crashed under each poison.
    pub crashed: Vec<u32>,
    /// Poison requests that reached engines after all nodes had to know of it.
    pub late: Vec<u32>,
    /// Sound requests that arrived from twice the time of contact after the last crash that is allowed, and those that
    /// were shut out.
    pub sound: u32,
    pub refused: u32,
    /// Sound requests that were shut out at any time.
    pub refused_ever: u32,
}

#[derive(Clone, Debug)]
struct Request {
    number: u64,
    prompt: Vec<Segment>,
    poison: Option<usize>,
    attempt: u32,
}

#[derive(Clone, Debug)]
enum Event {
    Starts { node: usize, request: Request },
    Survives { run: u64 },
    Ends { run: u64 },
    Crashes { engine: usize, incarnation: u64, poison: Option<usize> },
    Back { engine: usize },
    Checked { node: usize, request: Request, tag: Tag, ran_ms: u64 },
    Receives { node: usize, update: Update },
    Synced { node: usize },
}

struct Run {
    node: usize,
    engine: usize,
    began: u64,
    request: Request,
}

pub struct Fleet {
    case: Case,
    random: SmallRng,
    nodes: Vec<Segments>,
    serve_from: Vec<u64>,
    /// Incarnation of each engine, and whether it is up.
    engines: Vec<(u64, bool)>,
    runs: BTreeMap<u64, Run>,
    events: HashMap<u64, Vec<Event>>,
    counter: u64,
    last_allowed_at: Vec<Option<u64>>,
    crashes_by_request: HashMap<u64, u32>,
    outcome: Outcome,
}

fn segment(kind: &str, number: u64) -> Segment {
    Segment::new("reads", &format!("{kind}{number}"))
}

fn tag(engine: usize, incarnation: u64) -> Tag {
    Tag(engine as u64 * 1_000 + incarnation)
}

impl Fleet {
    pub fn new(case: &Case, seed: u64) -> Self {
        let poisons = case.poisons.len();
        Self {
            case: case.clone(),
            random: SmallRng::seed_from_u64(seed),
            nodes: (0..case.nodes).map(|node| Segments::new(Tag(node as u64))).collect(),
            serve_from: vec![0; case.nodes],
            engines: vec![(0, true); case.engines],
            runs: BTreeMap::new(),
            events: HashMap::new(),
            counter: 0,
            last_allowed_at: vec![None; poisons],
            crashes_by_request: HashMap::new(),
            outcome: Outcome {
                crashed: vec![0; poisons],
                late: vec![0; poisons],
                ..Outcome::default()
            },
        }
    }

    pub fn play(mut self) -> Outcome {
        for now in 0..LENGTH_MS {
            self.step(now);
        }
        self.outcome
    }

    fn step(&mut self, now: u64) {
        let case = self.case.clone();
        if (case.warm || now >= POISON_FROM_MS) && self.occurs(case.sound) {
            let request = self.sound_request();
            self.arrive(now, request);
        }
        for poison in 0..case.poisons.len() {
            if now >= POISON_FROM_MS && self.occurs(case.poison / case.poisons.len() as f64) {
                let request = self.poison_request(poison);
                self.arrive(now, request);
            }
        }
        if self.occurs(case.crashes) {
            let engine = self.random.random_range(0..case.engines);
            self.crash(now, engine, self.engines[engine].0, None);
        }
        if self.occurs(case.restarts) {
            let node = self.random.random_range(0..case.nodes);
            self.nodes[node] = Segments::new(Tag(node as u64));
            self.runs.retain(|_, run| run.node != node);
            self.serve_from[node] = now + SYNC_MS;
            self.at(now + SYNC_MS, Event::Synced { node });
        }
        for event in self.events.remove(&now).unwrap_or_default() {
            self.handle(now, event);
        }
        if now.is_multiple_of(RULING_INTERVAL_MS) {
            self.nodes.iter_mut().for_each(|node| {
                node.make_rulings(Millis(now), UNIX_MS + now);
                node.expire(Millis(now), UNIX_MS + now);
            });
        }
        if now.is_multiple_of(HEARTBEAT_MS) {
            (0..self.nodes.len()).for_each(|node| self.compare_digest(now, node));
        }
        self.send_updates(now);
    }

    /// Has a node catch up with another one that has other rulings.
    fn compare_digest(&mut self, now: u64, node: usize) {
        let other = self.random.random_range(0..self.nodes.len());
        if self.nodes[node].digest() != self.nodes[other].digest() {
            for update in self.nodes[other].snapshot() {
                self.at(now + LATENCY_MS.end, Event::Receives { node, update });
            }
        }
    }

    fn occurs(&mut self, per_second: f64) -> bool {
        self.random.random_bool(per_second / 1_000.0)
    }

    fn at(&mut self, at: u64, event: Event) {
        self.events.entry(at).or_default().push(event);
    }

    fn request(&mut self, prompt: Vec<Segment>, poison: Option<usize>) -> Request {
        self.counter += 1;
        Request { number: self.counter, prompt, poison, attempt: 1 }
    }

    fn sound_request(&mut self) -> Request {
        let first = segment("first", self.random.random_range(0..self.case.firsts));
        let second = segment("second", self.random.random_range(0..self.case.seconds));
        self.request(vec![first, second], None)
    }

    fn poison_request(&mut self, poison: usize) -> Request {
        let first = segment("first", self.random.random_range(0..self.case.firsts));
        let second = segment("second", self.random.random_range(0..self.case.seconds));
        let (only_first, bad) = (segment("first", 0), segment("dead", poison as u64));
        let prompt = match self.case.poisons[poison] {
            Poison::First => vec![bad, second],
            Poison::Second => vec![only_first, bad],
            Poison::SecondAnywhere => vec![first, bad],
            Poison::Between => vec![first, bad, second],
            Poison::Requests => vec![only_first],
        };
        let mut request = self.request(prompt, Some(poison));
        if self.case.poisons[poison] == Poison::Requests {
            request.number -= request.number % 3;
        }
        request
    }

    fn arrive(&mut self, now: u64, request: Request) {
        let node = self.random.random_range(0..self.nodes.len());
        if now < self.serve_from[node] {
            return;
        }
        let settled = |at: &Option<u64>| at.is_some_and(|at| now > at + 2 * CONTACT_MS);
        let counts = request.poison.is_none() && self.last_allowed_at.iter().all(settled);
        self.outcome.sound += u32::from(counts);
        if self.is_shut_out(now, node, &request) {
            self.outcome.refused += u32::from(counts);
            self.outcome.refused_ever += u32::from(request.poison.is_none());
            return;
        }
        self.start(now, node, request);
    }

    fn is_shut_out(&self, now: u64, node: usize, request: &Request) -> bool {
        let crashes = self.crashes_by_request.get(&request.number).copied().unwrap_or_default();
        crashes >= CRASHES_PER_REQUEST
            || self.nodes[node].shut_out(&request.prompt, UNIX_MS + now).is_some()
    }

    fn start(&mut self, now: u64, node: usize, request: Request) {
        let after = self.random.random_range(START_MS);
        self.at(now + after, Event::Starts { node, request });
    }

    fn run(&mut self, now: u64, node: usize, request: Request) {
        if now < self.serve_from[node] || self.is_shut_out(now, node, &request) {
            return;
        }
        let up: Vec<usize> =
            (0..self.engines.len()).filter(|engine| self.engines[*engine].1).collect();
        if up.is_empty() {
            return;
        }
        let engine = up[self.random.random_range(0..up.len())];
        self.counter += 1;
        let run = self.counter;
        if let Some(poison) = request.poison {
            let in_touch = now > self.serve_from[node] + CONTACT_MS;
            let late = self.last_allowed_at[poison].is_some_and(|at| now > at + CONTACT_MS);
            let late = late && in_touch;
            self.outcome.late[poison] += u32::from(late);
            let after = self.random.random_range(CRASH_AFTER_MS);
            let incarnation = self.engines[engine].0;
            self.at(now + after, Event::Crashes { engine, incarnation, poison: Some(poison) });
            if self.case.companions && request.attempt == 1 {
                let sound = |segment: &&Segment| !self.poison_segments().contains(segment);
                let prompt = request.prompt.iter().filter(sound).copied().collect();
                let companion = self.request(prompt, None);
                self.begin(now, node, engine, companion);
            }
            self.runs.insert(run, Run { node, engine, began: now, request });
        } else {
            self.begin(now, node, engine, request);
        }
    }

    fn poison_segments(&self) -> Vec<Segment> {
        (0..self.case.poisons.len() as u64).map(|poison| segment("dead", poison)).collect()
    }

    /// Begins a sound run.
    fn begin(&mut self, now: u64, node: usize, engine: usize, request: Request) {
        self.counter += 1;
        let run = self.counter;
        let ends = self.random.random_range(RUN_MS);
        self.at(now + INNOCENT_AFTER_MS, Event::Survives { run });
        self.at(now + ends, Event::Ends { run });
        self.runs.insert(run, Run { node, engine, began: now, request });
    }

    fn crash(&mut self, now: u64, engine: usize, incarnation: u64, poison: Option<usize>) {
        if self.engines[engine] != (incarnation, true) {
            return;
        }
        self.engines[engine].1 = false;
        self.at(now + RESTART_MS, Event::Back { engine });
        if let Some(poison) = poison {
            self.outcome.crashed[poison] += 1;
            if self.outcome.crashed[poison] <= CRASHES_ALLOWED {
                self.last_allowed_at[poison] = Some(now);
            }
        }
        let here = self.runs.extract_if(.., |_, run| run.engine == engine);
        let here: Vec<Run> = here.map(|(_, run)| run).collect();
        for Run { node, began, request, .. } in here {
            if request.poison.is_some() {
                *self.crashes_by_request.entry(request.number).or_default() += 1;
            }
            let (tag, ran_ms) = (tag(engine, incarnation), now - began);
            self.at(now + CHECK_MS, Event::Checked { node, request, tag, ran_ms });
        }
    }

    fn checked(&mut self, now: u64, node: usize, mut request: Request, tag: Tag, ran_ms: u64) {
        if now < self.serve_from[node] {
            return;
        }
        if ran_ms <= BLAME_WINDOW_MS {
            let fingerprint = Fingerprint::of(&[&request.number.to_le_bytes()]);
            self.nodes[node].record_crash(tag, fingerprint, &request.prompt, Millis(now));
        }
        request.attempt += 1;
        if request.attempt <= self.case.attempts && !self.is_shut_out(now, node, &request) {
            self.start(now, node, request);
        }
    }

    fn handle(&mut self, now: u64, event: Event) {
        let (at, unix) = (Millis(now), UNIX_MS + now);
        match event {
            Event::Starts { node, request } => self.run(now, node, request),
            Event::Survives { run } => {
                if let Some(run) = self.runs.get(&run) {
                    self.nodes[run.node].record_sound(&run.request.prompt, at, unix);
                }
            }
            Event::Ends { run } => {
                if let Some(run) = self.runs.remove(&run) {
                    self.nodes[run.node].record_sound(&run.request.prompt, at, unix);
                }
            }
            Event::Crashes { engine, incarnation, poison } => {
                self.crash(now, engine, incarnation, poison);
            }
            Event::Back { engine } => self.engines[engine] = (self.engines[engine].0 + 1, true),
            Event::Checked { node, request, tag, ran_ms } => {
                self.checked(now, node, request, tag, ran_ms);
            }
            Event::Receives { node, update } => {
                let nodes = self.nodes.len();
                self.nodes[node].apply(update, nodes, at, unix);
            }
            Event::Synced { node } => {
                let other = (node + 1) % self.nodes.len();
                for update in self.nodes[other].snapshot() {
                    let nodes = self.nodes.len();
                    self.nodes[node].apply(update, nodes, at, unix);
                }
            }
        }
    }

    fn send_updates(&mut self, now: u64) {
        for from in 0..self.nodes.len() {
            for update in self.nodes[from].take_outbox() {
                for node in (0..self.nodes.len()).filter(|other| *other != from) {
                    if !self.random.random_bool(MESSAGE_LOSS) {
                        let after = self.random.random_range(LATENCY_MS);
                        self.at(now + after, Event::Receives { node, update: update.clone() });
                    }
                }
            }
        }
    }
}
