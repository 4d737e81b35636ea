//! Simulation of a fleet whose engines crash under culprits, in virtual time.
//!
//! Copies of a culprit arrive at random nodes, several at once. Each is prefilled and runs, and its
//! engine crashes 34 to 90 ms later with all that runs there. Nodes send each other what they see;
//! messages take some milliseconds, and some get lost. Innocent requests run at the same engines,
//! engines also crash on their own, and each interrupted request is retried.

use crosslane_coordination::quarantine::{
    ANNOUNCE_DELAY_MS, BLAME_WINDOW_MS, INNOCENT_AFTER_MS, Quarantine,
};
use crosslane_coordination::suspicion::{Status, Update};
use crosslane_state::endpoint::Tag;
use crosslane_state::fingerprint::Fingerprint;
use crosslane_state::time::Millis;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, HashMap};

const UNIX_MS: u64 = 1_800_000_000_000;

/// Duration of a run, in milliseconds: of an innocent request, and of a culprit until the crash.
const RUN_MS: std::ops::Range<u64> = 1_500..4_500;
const CRASH_AFTER_MS: std::ops::Range<u64> = 34..90;

/// Time to check an engine that interrupted a request, and latency of a message, in milliseconds.
const CHECK_MS: u64 = 3;
const LATENCY_MS: std::ops::Range<u64> = 1..12;

/// Time until the second check of an engine that still accepted connections at the first one, in
/// milliseconds.
const SECOND_CHECK_MS: u64 = 12;

/// Time after which a node that starts gets the known strikes and rulings from another one, in
/// milliseconds.
const SYNC_MS: u64 = 300;

/// Share of the messages that get lost.
const MESSAGE_LOSS: f64 = 0.03;

/// Time after which a crashed engine is back, in milliseconds.
const RESTART_MS: u64 = 2_000;

/// Length of the simulation, in milliseconds.
const LENGTH_MS: u64 = 20_000;

/// When many engines crash together, and the time between two such crashes, in milliseconds.
const JOINT_CRASHES_AT_MS: std::ops::Range<u64> = 4_000..13_000;
const JOINT_CRASH_INTERVAL_MS: u64 = 600;

/// Time between rulings, in milliseconds.
const RULING_INTERVAL_MS: u64 = 20;

/// Number of calls by a caller, and the time between two, in milliseconds.
const CALLS: u32 = 2;
const CALL_INTERVAL_MS: std::ops::Range<u64> = 100..1_500;

/// A chosen engine, with its incarnation at that time.
#[derive(Clone, Copy, Debug)]
struct Choice {
    engine: usize,
    incarnation: u64,
}

/// An event of the simulation.
#[derive(Clone, Debug)]
enum Event {
    /// A caller calls again, at any node.
    Returns { request: usize, attempt: u32 },
    /// An attempt of a request starts at a node.
    Starts { node: usize, request: usize, attempt: u32, choice: Choice },
    /// The announcement of a trial is over.
    Announced { node: usize, request: usize, attempt: u32, choice: Choice },
    /// A culprit crashes an engine, if that is still the same incarnation.
    Crashes { engine: usize, incarnation: u64 },
    /// A run completes.
    Completes { run: u64 },
    /// A node has checked an engine that interrupted a request.
    Checked(Check),
    /// An update from another node arrives.
    Receives { node: usize, from: Tag, request: Fingerprint, update: Update },
    /// An engine is back.
    Back { engine: usize },
    /// A node found an engine alive, and is to check again.
    CheckPending(Check),
    /// It has checked again.
    CheckedAgain(Check),
    /// A node that starts receives what another one knows.
    Synced { node: usize },
}

/// A node's check of an engine that interrupted a request.
#[derive(Clone, Debug)]
struct Check {
    node: usize,
    request: usize,
    attempt: u32,
    tag: Tag,
    /// Duration of the run.
    ran: u64,
    /// Whether the first check still found the engine alive.
    late: bool,
}

struct Run {
    node: usize,
    request: usize,
    attempt: u32,
    engine: usize,
    began: u64,
}

struct Engine {
    /// Number of its incarnation, and whether it is up.
    incarnation: u64,
    up: bool,
}

/// Parameters of a fleet.
#[derive(Clone)]
pub struct Case {
    pub nodes: usize,
    pub engines: usize,
    /// Number of culprits: requests that crash engines.
    pub culprits: usize,
    /// Copies of each culprit per second.
    pub copies: f64,
    /// Innocent requests per second.
    pub innocent: f64,
    /// Engines that crash on their own per second.
    pub crashes: f64,
    /// Share of the engines that crash together, each time.
    pub joint_share: f64,
    /// Whether engines are chosen before the prefill, so that two suspects may choose the same one.
    pub reserves: bool,
    /// Whether all nodes choose the engine with the fewest runs, so that requests that are
    /// interrupted together are resumed together.
    pub least_loaded: bool,
    /// Share of crashes at which a node's first check still finds the engine alive.
    pub late_checks: f64,
    /// Nodes that are killed and restarted per second.
    pub restarts: f64,
    /// Attempts of a request per call.
    pub attempts: u32,
    /// Time from a request's arrival or interruption to its run, in milliseconds.
    pub starts: std::ops::Range<u64>,
}

impl Default for Case {
    fn default() -> Self {
        Self {
            nodes: 8,
            engines: 6,
            culprits: 1,
            copies: 5.0,
            innocent: 10.0,
            crashes: 0.0,
            joint_share: 0.0,
            reserves: false,
            least_loaded: false,
            late_checks: 0.0,
            restarts: 0.0,
            attempts: 2,
            starts: 60..300,
        }
    }
}

/// Result of a simulation.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Engines that crashed under each culprit.
    pub crashed: Vec<u32>,
    /// Number of innocent requests.
    pub innocent: u32,
    /// Times that an innocent request was refused.
    pub refused: u32,
    /// Innocent requests that were shut out by a ruling.
    pub ruled: usize,
    /// Those of them that are still shut out at the end.
    pub still_shut: usize,
}

pub struct Fleet {
    case: Case,
    random: SmallRng,
    nodes: Vec<Quarantine>,
    /// When each restarted node serves again.
    serve_from: Vec<u64>,
    engines: Vec<Engine>,
    runs: BTreeMap<u64, Run>,
    events: HashMap<u64, Vec<Event>>,
    counter: u64,
    /// Number of requests so far; those below the number of culprits are culprits.
    requests: usize,
    ruled: BTreeSet<Fingerprint>,
    outcome: Outcome,
}

fn fingerprint_of(request: usize) -> Fingerprint {
    Fingerprint::of(&[&request.to_le_bytes()])
}

fn tag(engine: usize, incarnation: u64) -> Tag {
    Tag(engine as u64 * 1_000 + incarnation)
}

impl Fleet {
    pub fn new(case: &Case, seed: u64) -> Self {
        let engines = (0..case.engines).map(|_| Engine { incarnation: 0, up: true });
        Self {
            case: case.clone(),
            random: SmallRng::seed_from_u64(seed),
            nodes: (0..case.nodes).map(|node| Quarantine::new(Tag(node as u64))).collect(),
            serve_from: vec![0; case.nodes],
            engines: engines.collect(),
            runs: BTreeMap::new(),
            events: HashMap::new(),
            counter: 0,
            requests: case.culprits,
            ruled: BTreeSet::new(),
            outcome: Outcome { crashed: vec![0; case.culprits], ..Outcome::default() },
        }
    }

    /// Runs the simulation to its end.
    pub fn play(mut self) -> Outcome {
        for now in 0..LENGTH_MS {
            self.step(now);
        }
        let culprits: Vec<Fingerprint> = (0..self.case.culprits).map(fingerprint_of).collect();
        let innocent = self.ruled.iter().filter(|request| !culprits.contains(request));
        let shut = |request: &&Fingerprint| {
            let status = |node: &Quarantine| node.status(**request, Millis(LENGTH_MS), UNIX_MS);
            self.nodes.iter().any(|node| matches!(status(node), Status::ShutOut(_)))
        };
        self.outcome.ruled = innocent.clone().count();
        self.outcome.still_shut = innocent.filter(shut).count();
        self.outcome
    }

    fn step(&mut self, now: u64) {
        let case = self.case.clone();
        for culprit in 0..case.culprits {
            if self.occurs(case.copies) {
                self.arrive(now, culprit);
            }
        }
        if self.occurs(case.innocent) {
            self.arrive(now, self.requests);
            self.requests += 1;
        }
        if self.occurs(case.crashes) {
            let engine = self.random.random_range(0..case.engines);
            self.crash(now, engine, self.engines[engine].incarnation);
        }
        if case.restarts > 0.0 && self.occurs(case.restarts) {
            self.restart(now);
        }
        if JOINT_CRASHES_AT_MS.contains(&now) && now.is_multiple_of(JOINT_CRASH_INTERVAL_MS) {
            for engine in 0..case.engines {
                if self.random.random_bool(case.joint_share) {
                    self.crash(now, engine, self.engines[engine].incarnation);
                }
            }
        }
        for event in self.events.remove(&now).unwrap_or_default() {
            self.handle(now, event);
        }
        self.settle(now);
        self.send_updates(now);
    }

    /// Whether an event with a rate per second happens in this millisecond.
    fn occurs(&mut self, rate: f64) -> bool {
        self.random.random_bool(rate / 1_000.0)
    }

    /// Kills and restarts a node, which loses its state. Its runs end, and it serves again once
    /// another node has sent what it knows.
    fn restart(&mut self, now: u64) {
        let node = self.random.random_range(0..self.nodes.len());
        self.nodes[node] = Quarantine::new(Tag(node as u64));
        self.runs.retain(|_, run| run.node != node);
        self.serve_from[node] = now + SYNC_MS;
        self.at(now + SYNC_MS, Event::Synced { node });
    }

    fn synced(&mut self, now: u64, node: usize) {
        let mut others = (0..self.nodes.len()).filter(|other| now >= self.serve_from[*other]);
        let Some(from) = others.find(|other| *other != node) else {
            self.serve_from[node] = now + SYNC_MS;
            return self.at(now + SYNC_MS, Event::Synced { node });
        };
        let rulings =
            self.nodes[from].rulings().map(|(request, ruling)| (request, Update::Ruled(ruling)));
        let updates: Vec<_> = rulings.chain(self.nodes[from].known_strikes()).collect();
        for (request, update) in updates {
            self.nodes[node].apply(Tag(from as u64), request, update, Millis(now), UNIX_MS);
        }
    }

    fn at(&mut self, at: u64, event: Event) {
        self.events.entry(at).or_default().push(event);
    }

    fn arrive(&mut self, now: u64, request: usize) {
        let node = self.random.random_range(0..self.nodes.len());
        if request >= self.case.culprits {
            self.outcome.innocent += 1;
        }
        self.start(now, node, request, 1);
    }

    /// Starts an attempt of a request if its status allows.
    fn start(&mut self, now: u64, node: usize, request: usize, attempt: u32) {
        if now < self.serve_from[node] {
            return;
        }
        match self.nodes[node].status(fingerprint_of(request), Millis(now), UNIX_MS) {
            Status::Clear | Status::Suspect => {
                let Some(choice) = self.choose(now, node, request) else { return };
                let after = self.random.random_range(self.case.starts.clone());
                self.at(now + after, Event::Starts { node, request, attempt, choice });
            }
            Status::ShutOut(_) if request >= self.case.culprits => self.outcome.refused += 1,
            Status::ShutOut(_) | Status::OnTrial => {}
        }
    }

    /// Chooses an engine for a request. With `reserves` this happens before the prefill.
    fn choose(&mut self, now: u64, node: usize, request: usize) -> Option<Choice> {
        let taken = match self.nodes[node].status(fingerprint_of(request), Millis(now), UNIX_MS) {
            Status::Suspect => self.nodes[node].other_trials(fingerprint_of(request), Millis(now)),
            _ => Vec::new(),
        };
        let up = (0..self.engines.len()).filter(|engine| self.engines[*engine].up);
        let free: Vec<usize> = up
            .filter(|engine| !taken.contains(&tag(*engine, self.engines[*engine].incarnation)))
            .collect();
        if free.is_empty() {
            return None;
        }
        let engine = match self.case.least_loaded {
            true => free.into_iter().min_by_key(|engine| self.load(*engine))?,
            false => free[self.random.random_range(0..free.len())],
        };
        Some(Choice { engine, incarnation: self.engines[engine].incarnation })
    }

    /// Number of runs at an engine.
    fn load(&self, engine: usize) -> usize {
        self.runs.values().filter(|run| run.engine == engine).count()
    }

    fn run(&mut self, now: u64, node: usize, request: usize, attempt: u32, choice: Choice) {
        if now < self.serve_from[node] {
            return;
        }
        let (at, fingerprint) = (Millis(now), fingerprint_of(request));
        let status = self.nodes[node].status(fingerprint, at, UNIX_MS);
        if matches!(status, Status::ShutOut(_) | Status::OnTrial) {
            return;
        }
        let chosen =
            if self.case.reserves { Some(choice) } else { self.choose(now, node, request) };
        let Some(Choice { engine, incarnation }) = chosen else { return };
        let replaced = !self.engines[engine].up || self.engines[engine].incarnation != incarnation;
        let next_to_suspect =
            self.nodes[node].other_trials(fingerprint, at).contains(&tag(engine, incarnation));
        if replaced || (self.case.reserves && status == Status::Suspect && next_to_suspect) {
            return self.start(now, node, request, attempt);
        }
        let choice = Choice { engine, incarnation };
        if status == Status::Suspect {
            self.nodes[node].begin_trial(fingerprint, tag(engine, incarnation), at);
            self.at(now + ANNOUNCE_DELAY_MS, Event::Announced { node, request, attempt, choice });
        } else {
            self.go(now, node, request, attempt, choice);
        }
    }

    /// Starts the run of a suspect, unless its trial must yield to another one.
    fn announced(&mut self, now: u64, node: usize, request: usize, attempt: u32, choice: Choice) {
        let Choice { engine, incarnation } = choice;
        let (at, fingerprint) = (Millis(now), fingerprint_of(request));
        let replaced = !self.engines[engine].up || self.engines[engine].incarnation != incarnation;
        if now < self.serve_from[node] {
            return;
        }
        if replaced || self.nodes[node].must_yield(fingerprint, tag(engine, incarnation), at) {
            self.nodes[node].end_trial(fingerprint, at);
            return self.start(now, node, request, attempt);
        }
        self.go(now, node, request, attempt, choice);
    }

    fn go(&mut self, now: u64, node: usize, request: usize, attempt: u32, choice: Choice) {
        let Choice { engine, incarnation } = choice;
        self.counter += 1;
        let run = self.counter;
        self.runs.insert(run, Run { node, request, attempt, engine, began: now });
        if request < self.case.culprits {
            let after = self.random.random_range(CRASH_AFTER_MS);
            self.at(now + after, Event::Crashes { engine, incarnation });
        } else {
            let after = self.random.random_range(RUN_MS);
            self.at(now + after, Event::Completes { run });
        }
    }

    fn crash(&mut self, now: u64, engine: usize, incarnation: u64) {
        if !self.engines[engine].up || self.engines[engine].incarnation != incarnation {
            return;
        }
        self.engines[engine].up = false;
        self.at(now + RESTART_MS, Event::Back { engine });
        let here: Vec<u64> = self
            .runs
            .iter()
            .filter(|(_, run)| run.engine == engine)
            .map(|entry| *entry.0)
            .collect();
        let mut culprits = Vec::new();
        let mut late = HashMap::new();
        for run in here {
            let Some(Run { node, request, attempt, began, .. }) = self.runs.remove(&run) else {
                continue;
            };
            if request < self.case.culprits {
                culprits.push(request);
            }
            let (tag, ran) = (tag(engine, incarnation), now - began);
            let check = Check { node, request, attempt, tag, ran, late: false };
            let late = *late.entry(node).or_insert_with(|| self.finds_alive());
            if late {
                self.at(now + CHECK_MS, Event::CheckPending(check.clone()));
            }
            self.at(now + CHECK_MS, Event::Checked(Check { late, ..check }));
        }
        culprits.sort_unstable();
        culprits.dedup();
        culprits.into_iter().for_each(|culprit| self.outcome.crashed[culprit] += 1);
    }

    /// Whether a node still finds an engine alive that has just crashed.
    fn finds_alive(&mut self) -> bool {
        self.case.late_checks > 0.0 && self.random.random_bool(self.case.late_checks)
    }

    /// Records a crash against a request, or clears the request, by the duration of its run.
    fn strike(&mut self, now: u64, check: &Check) {
        if now < self.serve_from[check.node] {
            return;
        }
        let Check { node, request, tag, ran, .. } = *check;
        self.nodes[node].record_crash(tag, Millis(now));
        match ran {
            ran if ran <= BLAME_WINDOW_MS => {
                self.nodes[node].record_strike(fingerprint_of(request), tag, Millis(now));
            }
            ran if ran >= INNOCENT_AFTER_MS => {
                self.nodes[node].clear(fingerprint_of(request));
            }
            _ => {}
        }
    }

    fn checked(&mut self, now: u64, check: Check) {
        if now < self.serve_from[check.node] {
            return;
        }
        if !check.late {
            self.strike(now, &check);
        }
        let Check { node, request, attempt, .. } = check;
        self.nodes[node].end_trial(fingerprint_of(request), Millis(now));
        let next = attempt + 1;
        match next {
            next if next > CALLS * self.case.attempts => {}
            next if next % self.case.attempts == 1 => {
                let after = self.random.random_range(CALL_INTERVAL_MS);
                self.at(now + after, Event::Returns { request, attempt: next });
            }
            next => self.start(now, node, request, next),
        }
    }

    fn handle(&mut self, now: u64, event: Event) {
        match event {
            Event::Returns { request, attempt } => {
                let node = self.random.random_range(0..self.nodes.len());
                self.start(now, node, request, attempt);
            }
            Event::Starts { node, request, attempt, choice } => {
                self.run(now, node, request, attempt, choice);
            }
            Event::Announced { node, request, attempt, choice } => {
                self.announced(now, node, request, attempt, choice);
            }
            Event::Crashes { engine, incarnation } => self.crash(now, engine, incarnation),
            Event::Completes { run } => {
                if let Some(run) = self.runs.remove(&run) {
                    self.nodes[run.node].clear(fingerprint_of(run.request));
                }
            }
            Event::Checked(check) => self.checked(now, check),
            Event::CheckPending(check) => {
                self.at(now + SECOND_CHECK_MS, Event::CheckedAgain(check))
            }
            Event::CheckedAgain(check) => self.strike(now, &check),
            Event::Synced { node } => self.synced(now, node),
            Event::Receives { node, from, request, update } => {
                self.nodes[node].apply(from, request, update, Millis(now), UNIX_MS);
            }
            Event::Back { engine } => {
                let engine = &mut self.engines[engine];
                (engine.incarnation, engine.up) = (engine.incarnation + 1, true);
            }
        }
    }

    fn settle(&mut self, now: u64) {
        if now.is_multiple_of(RULING_INTERVAL_MS) {
            let settled = self.nodes.iter_mut().map(|node| node.shut_out_due(Millis(now), UNIX_MS));
            let ruled: Vec<Fingerprint> = settled.flatten().collect();
            self.ruled.extend(ruled);
            self.nodes.iter_mut().for_each(|node| {
                node.lift_superseded(Millis(now), UNIX_MS);
            });
        }
    }

    fn send_updates(&mut self, now: u64) {
        for from in 0..self.nodes.len() {
            for (request, update) in self.nodes[from].take_outbox() {
                for node in (0..self.nodes.len()).filter(|other| *other != from) {
                    if !self.random.random_bool(MESSAGE_LOSS) {
                        let after = self.random.random_range(LATENCY_MS);
                        let update = update.clone();
                        let from = Tag(from as u64);
                        self.at(now + after, Event::Receives { node, from, request, update });
                    }
                }
            }
        }
    }
}
