//! A fleet whose engines end under requests that make them crash, in virtual time.
//!
//! Copies of the request come to nodes at random, several at once; each is read, runs, and its engine ends 34
//! to 90 ms later with all that runs there. Nodes tell each other what they saw; messages take some milliseconds, and
//! some get lost. Innocent requests run at the same engines, engines crash by themselves too, and each
//! request that breaks off is tried once more.

use crosslane_coordination::quarantine::{ANNOUNCED, BLAMED, INNOCENT, Quarantine};
use crosslane_coordination::suspicion::{Standing, Word};
use crosslane_state::endpoint::Tag;
use crosslane_state::fingerprint::Fingerprint;
use crosslane_state::time::Millis;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, HashMap};

const UNIX: u64 = 1_800_000_000_000;

/// Time of a run, in milliseconds: for innocent requests, and to the crash for the other.
const RUNS: std::ops::Range<u64> = 1_500..4_500;
const CRASHES: std::ops::Range<u64> = 34..90;

/// Time to look at an engine that broke off, and that a message takes, in milliseconds.
const LOOK: u64 = 3;
const MESSAGE: std::ops::Range<u64> = 1..12;

/// Time until the second look at an engine that still took connections at the first one.
const SECOND_LOOK: u64 = 12;

/// Time in which a node that starts hears from another one.
const GREETED: u64 = 300;

/// Share of the messages that get lost.
const LOST: f64 = 0.03;

/// Time after which an engine is back, in milliseconds.
const BACK: u64 = 2_000;

/// Length of a run of the simulation, in milliseconds.
const END: u64 = 20_000;

/// When many engines crash together, and how often, in milliseconds.
const TOGETHER: std::ops::Range<u64> = 4_000..13_000;
const EVERY: u64 = 600;

/// Time between rulings, in milliseconds.
const SETTLES: u64 = 20;

/// Times that a caller comes, and after which while, in milliseconds.
const CALLS: u32 = 2;
const RETURNS: std::ops::Range<u64> = 100..1_500;

/// An engine that was chosen, and its life then.
#[derive(Clone, Copy, Debug)]
struct Place {
    engine: usize,
    life: u64,
}

/// What happens at a moment.
#[derive(Clone, Debug)]
enum Event {
    /// A caller returns, at any node.
    Returns { request: usize, attempt: u32 },
    /// An attempt of a request begins at a node.
    Starts { node: usize, request: usize, attempt: u32, place: Place },
    /// Others had time to hear of a suspect's run.
    Announced { node: usize, request: usize, attempt: u32, place: Place },
    /// The engine of a request that makes engines crash ends, if it is still the same.
    Ends { engine: usize, life: u64 },
    /// A run goes well.
    Well { run: u64 },
    /// A node has looked at an engine that ended under a request.
    Looked(Look),
    /// A word arrives.
    Heard { node: usize, from: Tag, request: Fingerprint, word: Word },
    /// An engine is back.
    Back { engine: usize },
    /// A node found an engine alive, and is to look again.
    LookedAgain(Look),
    /// It looked again.
    Struck(Look),
    /// A node that starts hears what another one knows.
    Greeted { node: usize },
}

/// What a node sees of an engine that ended under a request.
#[derive(Clone, Debug)]
struct Look {
    node: usize,
    request: usize,
    attempt: u32,
    tag: Tag,
    /// Time that it had run.
    ran: u64,
    /// Whether it still found the engine alive.
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
    /// Its incarnation, and whether it is up.
    life: u64,
    up: bool,
}

/// A fleet, and what is to happen to it.
#[derive(Clone)]
pub struct Case {
    pub nodes: usize,
    pub engines: usize,
    /// Requests that make engines crash.
    pub culprits: usize,
    /// Copies of each a second.
    pub copies: f64,
    /// Innocent requests a second.
    pub innocent: f64,
    /// Engines that crash by themselves in a second.
    pub crashes: f64,
    /// Share of the engines that crash together, in each of some seconds.
    pub together: f64,
    /// Whether engines are chosen before prompts are read, so that two suspects may choose the same one.
    pub reserves: bool,
    /// Whether all nodes choose the engine that runs the least, so that requests that break off together go on together.
    pub least: bool,
    /// Share of the ends at which a node still finds the engine alive at its first look.
    pub late: f64,
    /// Nodes that are killed and start again in a second.
    pub restarts: f64,
    /// Attempts of a request at a node.
    pub attempts: u32,
    /// Time from a request's arrival, or from a break, to its run, in milliseconds.
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
            together: 0.0,
            reserves: false,
            least: false,
            late: 0.0,
            restarts: 0.0,
            attempts: 2,
            starts: 60..300,
        }
    }
}

/// What came of a run of the simulation.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Engines that ended under each culprit.
    pub ended: Vec<u32>,
    /// Innocent requests.
    pub innocent: u32,
    /// Times that one was refused.
    pub refused: u32,
    /// Innocent requests that were ruled to be shut out.
    pub ruled: usize,
    /// Of these, those that still are at the end.
    pub still_shut: usize,
}

pub struct Fleet {
    case: Case,
    random: SmallRng,
    nodes: Vec<Quarantine>,
    /// When nodes serve that were started again.
    serve_from: Vec<u64>,
    engines: Vec<Engine>,
    runs: BTreeMap<u64, Run>,
    events: HashMap<u64, Vec<Event>>,
    counter: u64,
    /// Requests so far: those below the number of culprits make engines crash.
    requests: usize,
    ruled: BTreeSet<Fingerprint>,
    outcome: Outcome,
}

fn print(request: usize) -> Fingerprint {
    Fingerprint::of(&[&request.to_le_bytes()])
}

fn tag(engine: usize, life: u64) -> Tag {
    Tag(engine as u64 * 1_000 + life)
}

impl Fleet {
    pub fn new(case: &Case, seed: u64) -> Self {
        let engines = (0..case.engines).map(|_| Engine { life: 0, up: true });
        Self {
            case: case.clone(),
            random: SmallRng::seed_from_u64(seed),
            nodes: (0..case.nodes).map(|it| Quarantine::new(Tag(it as u64))).collect(),
            serve_from: vec![0; case.nodes],
            engines: engines.collect(),
            runs: BTreeMap::new(),
            events: HashMap::new(),
            counter: 0,
            requests: case.culprits,
            ruled: BTreeSet::new(),
            outcome: Outcome { ended: vec![0; case.culprits], ..Outcome::default() },
        }
    }

    /// Plays it to its end.
    pub fn play(mut self) -> Outcome {
        for now in 0..END {
            self.step(now);
        }
        let culprits: Vec<Fingerprint> = (0..self.case.culprits).map(print).collect();
        let innocent = self.ruled.iter().filter(|it| !culprits.contains(it));
        let shut = |request: &&Fingerprint| {
            let standing = |it: &Quarantine| it.standing(**request, Millis(END), UNIX);
            self.nodes.iter().any(|it| matches!(standing(it), Standing::Shut(_)))
        };
        self.outcome.ruled = innocent.clone().count();
        self.outcome.still_shut = innocent.filter(shut).count();
        self.outcome
    }

    fn step(&mut self, now: u64) {
        let case = self.case.clone();
        for culprit in 0..case.culprits {
            if self.happens(case.copies) {
                self.arrive(now, culprit);
            }
        }
        if self.happens(case.innocent) {
            self.arrive(now, self.requests);
            self.requests += 1;
        }
        if self.happens(case.crashes) {
            let engine = self.random.random_range(0..case.engines);
            self.end(now, engine, self.engines[engine].life);
        }
        if case.restarts > 0.0 && self.happens(case.restarts) {
            self.restart(now);
        }
        if TOGETHER.contains(&now) && now.is_multiple_of(EVERY) {
            for engine in 0..case.engines {
                if self.random.random_bool(case.together) {
                    self.end(now, engine, self.engines[engine].life);
                }
            }
        }
        for event in self.events.remove(&now).unwrap_or_default() {
            self.handle(now, event);
        }
        self.settle(now);
        self.tell(now);
    }

    /// Whether something happens in this millisecond that happens so often in a second.
    fn happens(&mut self, rate: f64) -> bool {
        self.random.random_bool(rate / 1_000.0)
    }

    /// Kills a node, which starts again and knows nothing. What ran there ends; it serves once it heard from another one.
    fn restart(&mut self, now: u64) {
        let node = self.random.random_range(0..self.nodes.len());
        self.nodes[node] = Quarantine::new(Tag(node as u64));
        self.runs.retain(|_, it| it.node != node);
        self.serve_from[node] = now + GREETED;
        self.at(now + GREETED, Event::Greeted { node });
    }

    fn greeted(&mut self, now: u64, node: usize) {
        let mut others = (0..self.nodes.len()).filter(|it| now >= self.serve_from[*it]);
        let Some(from) = others.find(|it| *it != node) else {
            self.serve_from[node] = now + GREETED;
            return self.at(now + GREETED, Event::Greeted { node });
        };
        let rulings = self.nodes[from].rulings().map(|(it, ruling)| (it, Word::Ruled(ruling)));
        let words: Vec<_> = rulings.chain(self.nodes[from].known()).collect();
        for (request, word) in words {
            self.nodes[node].hear(Tag(from as u64), request, word, Millis(now), UNIX);
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

    /// Sends a request on its way, if it may be.
    fn start(&mut self, now: u64, node: usize, request: usize, attempt: u32) {
        if now < self.serve_from[node] {
            return;
        }
        match self.nodes[node].standing(print(request), Millis(now), UNIX) {
            Standing::Free | Standing::Suspect => {
                let Some(place) = self.place(now, node, request) else { return };
                let after = self.random.random_range(self.case.starts.clone());
                self.at(now + after, Event::Starts { node, request, attempt, place });
            }
            Standing::Shut(_) if request >= self.case.culprits => self.outcome.refused += 1,
            Standing::Shut(_) | Standing::OnTrial => {}
        }
    }

    /// Chooses an engine, whose memory is reserved before the prompt is read.
    fn place(&mut self, now: u64, node: usize, request: usize) -> Option<Place> {
        let taken = match self.nodes[node].standing(print(request), Millis(now), UNIX) {
            Standing::Suspect => self.nodes[node].trials(print(request), Millis(now)),
            _ => Vec::new(),
        };
        let up = (0..self.engines.len()).filter(|it| self.engines[*it].up);
        let free: Vec<usize> =
            up.filter(|it| !taken.contains(&tag(*it, self.engines[*it].life))).collect();
        if free.is_empty() {
            return None;
        }
        let engine = match self.case.least {
            true => free.into_iter().min_by_key(|it| self.load(*it))?,
            false => free[self.random.random_range(0..free.len())],
        };
        Some(Place { engine, life: self.engines[engine].life })
    }

    /// Runs at an engine.
    fn load(&self, engine: usize) -> usize {
        self.runs.values().filter(|it| it.engine == engine).count()
    }

    fn run(&mut self, now: u64, node: usize, request: usize, attempt: u32, place: Place) {
        if now < self.serve_from[node] {
            return;
        }
        let (at, fingerprint) = (Millis(now), print(request));
        let standing = self.nodes[node].standing(fingerprint, at, UNIX);
        if matches!(standing, Standing::Shut(_) | Standing::OnTrial) {
            return;
        }
        let chosen = if self.case.reserves { Some(place) } else { self.place(now, node, request) };
        let Some(Place { engine, life }) = chosen else { return };
        let gone = !self.engines[engine].up || self.engines[engine].life != life;
        let beside = self.nodes[node].trials(fingerprint, at).contains(&tag(engine, life));
        if gone || (self.case.reserves && standing == Standing::Suspect && beside) {
            return self.start(now, node, request, attempt);
        }
        let place = Place { engine, life };
        if standing == Standing::Suspect {
            self.nodes[node].begin(fingerprint, tag(engine, life), at);
            self.at(now + ANNOUNCED, Event::Announced { node, request, attempt, place });
        } else {
            self.go(now, node, request, attempt, place);
        }
    }

    /// Begins the run of a suspect, unless another one that was announced meanwhile goes before it.
    fn announced(&mut self, now: u64, node: usize, request: usize, attempt: u32, place: Place) {
        let Place { engine, life } = place;
        let (at, fingerprint) = (Millis(now), print(request));
        let gone = !self.engines[engine].up || self.engines[engine].life != life;
        if now < self.serve_from[node] {
            return;
        }
        if gone || self.nodes[node].gives_way(fingerprint, tag(engine, life), at) {
            self.nodes[node].rest(fingerprint, at);
            return self.start(now, node, request, attempt);
        }
        self.go(now, node, request, attempt, place);
    }

    fn go(&mut self, now: u64, node: usize, request: usize, attempt: u32, place: Place) {
        let Place { engine, life } = place;
        self.counter += 1;
        let run = self.counter;
        self.runs.insert(run, Run { node, request, attempt, engine, began: now });
        if request < self.case.culprits {
            let after = self.random.random_range(CRASHES);
            self.at(now + after, Event::Ends { engine, life });
        } else {
            let after = self.random.random_range(RUNS);
            self.at(now + after, Event::Well { run });
        }
    }

    fn end(&mut self, now: u64, engine: usize, life: u64) {
        if !self.engines[engine].up || self.engines[engine].life != life {
            return;
        }
        self.engines[engine].up = false;
        self.at(now + BACK, Event::Back { engine });
        let here: Vec<u64> =
            self.runs.iter().filter(|(_, it)| it.engine == engine).map(|it| *it.0).collect();
        let mut culprits = Vec::new();
        let mut late = HashMap::new();
        for run in here {
            let Some(Run { node, request, attempt, began, .. }) = self.runs.remove(&run) else {
                continue;
            };
            if request < self.case.culprits {
                culprits.push(request);
            }
            let (tag, ran) = (tag(engine, life), now - began);
            let look = Look { node, request, attempt, tag, ran, late: false };
            let late = *late.entry(node).or_insert_with(|| self.finds_alive());
            if late {
                self.at(now + LOOK, Event::LookedAgain(look.clone()));
            }
            self.at(now + LOOK, Event::Looked(Look { late, ..look }));
        }
        culprits.sort_unstable();
        culprits.dedup();
        culprits.into_iter().for_each(|it| self.outcome.ended[it] += 1);
    }

    /// Whether a node finds an engine alive that has just ended.
    fn finds_alive(&mut self) -> bool {
        self.case.late > 0.0 && self.random.random_bool(self.case.late)
    }

    /// Holds an end against a request.
    fn strike(&mut self, now: u64, look: &Look) {
        if now < self.serve_from[look.node] {
            return;
        }
        let Look { node, request, tag, ran, .. } = *look;
        self.nodes[node].ended(tag, Millis(now));
        match ran {
            ran if ran <= BLAMED => {
                self.nodes[node].strike(print(request), tag, Millis(now));
            }
            ran if ran >= INNOCENT => {
                self.nodes[node].clear(print(request));
            }
            _ => {}
        }
    }

    fn looked(&mut self, now: u64, look: Look) {
        if now < self.serve_from[look.node] {
            return;
        }
        if !look.late {
            self.strike(now, &look);
        }
        let Look { node, request, attempt, .. } = look;
        self.nodes[node].rest(print(request), Millis(now));
        let next = attempt + 1;
        match next {
            next if next > CALLS * self.case.attempts => {}
            next if next % self.case.attempts == 1 => {
                let after = self.random.random_range(RETURNS);
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
            Event::Starts { node, request, attempt, place } => {
                self.run(now, node, request, attempt, place);
            }
            Event::Announced { node, request, attempt, place } => {
                self.announced(now, node, request, attempt, place);
            }
            Event::Ends { engine, life } => self.end(now, engine, life),
            Event::Well { run } => {
                if let Some(run) = self.runs.remove(&run) {
                    self.nodes[run.node].clear(print(run.request));
                }
            }
            Event::Looked(look) => self.looked(now, look),
            Event::LookedAgain(look) => self.at(now + SECOND_LOOK, Event::Struck(look)),
            Event::Struck(look) => self.strike(now, &look),
            Event::Greeted { node } => self.greeted(now, node),
            Event::Heard { node, from, request, word } => {
                self.nodes[node].hear(from, request, word, Millis(now), UNIX);
            }
            Event::Back { engine } => {
                let engine = &mut self.engines[engine];
                (engine.life, engine.up) = (engine.life + 1, true);
            }
        }
    }

    fn settle(&mut self, now: u64) {
        if now.is_multiple_of(SETTLES) {
            let settled = self.nodes.iter_mut().map(|it| it.settle(Millis(now), UNIX));
            let ruled: Vec<Fingerprint> = settled.flatten().collect();
            self.ruled.extend(ruled);
            self.nodes.iter_mut().for_each(|it| {
                it.acquit(Millis(now), UNIX);
            });
        }
    }

    fn tell(&mut self, now: u64) {
        for from in 0..self.nodes.len() {
            for (request, word) in self.nodes[from].words() {
                for node in (0..self.nodes.len()).filter(|it| *it != from) {
                    if !self.random.random_bool(LOST) {
                        let after = self.random.random_range(MESSAGE);
                        let word = word.clone();
                        let from = Tag(from as u64);
                        self.at(now + after, Event::Heard { node, from, request, word });
                    }
                }
            }
        }
    }
}
