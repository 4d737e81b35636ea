//! What a node believes of the engines' memory, against what is true, from small sites to the planned
//! size, in virtual time.
//!
//! Every node has streams at engines of its failure domain, which begin, last and end; it tells them by
//! heartbeats to all and at once to near nodes, some of which get lost. Nodes crash with their streams
//! and start again.

mod node;

use crosslane_coordination::heartbeat::{FAR_EVERY, FEW, Interval};
use crosslane_coordination::pool::Pool;
use crosslane_coordination::usage::Usage;
use crosslane_gateway::members::{Heartbeat, Members};
use crosslane_gateway::mirror::Ends;
use crosslane_platform::settings::Settings;
use crosslane_state::endpoint::{Endpoint, Stage, Tag};
use crosslane_state::time::Millis;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use std::collections::{HashMap, HashSet};
use std::net::IpAddr;

const SERVICE: &str = "drafts";

/// Engine memory, and what a stream takes of it, in tokens.
const CAPACITY: u64 = 45_000;
const STREAM: u32 = 5_600;

/// Time that a stream lasts, in milliseconds.
const LASTS: std::ops::Range<u64> = 1_500..5_000;

/// Share of the memory that is taken in the mean.
const TAKEN: f64 = 0.6;

/// Step of virtual time, and its end, in milliseconds.
const STEP: u64 = 100;
const END: u64 = 120_000;

/// Largest difference between believed and true memory, as a share of all of it: the streams that began and
/// ended since the last heartbeat of another failure domain.
const NEAR: f64 = 0.08;

/// Share of the messages that get lost.
const LOST: f64 = 0.02;

/// Time for which a store is out, in milliseconds.
const OUT: u64 = 4_000;

/// When nodes crash, and for how long they are gone, in milliseconds.
const CRASH: u64 = 60_000;
const GONE: u64 = 1_000;

fn domain(node: usize, domains: usize) -> String {
    format!("d{}", node % domains)
}

/// Engines, even over the failure domains.
fn engines(count: usize, domains: usize) -> Vec<Endpoint> {
    let engine = |place: usize| Endpoint {
        id: format!("e{place}"),
        born: 1,
        service: SERVICE.into(),
        address: ([10, 0, 0, 1], 80).into(),
        domain: domain(place, domains),
        slots: 12,
        stage: Stage::Decode,
        draining: false,
    };
    (0..count).map(engine).collect()
}

/// Another node.
struct Node {
    name: String,
    domain: String,
    near: bool,
    /// Engine and end of each stream.
    streams: Vec<(Tag, u64)>,
    /// Engines named in its last update.
    named: HashSet<Tag>,
    round: u64,
    next: u64,
    /// Until when it is gone.
    gone: u64,
}

impl Node {
    fn usage(&self) -> Vec<(Tag, Usage)> {
        let mut usage: HashMap<Tag, Usage> = HashMap::new();
        for (engine, _) in &self.streams {
            let has = usage.entry(*engine).or_default();
            has.requests += 1;
            has.tokens += STREAM;
        }
        usage.into_iter().collect()
    }

    /// What changed at engines, those among them where it has nothing any more.
    fn update(&mut self) -> Vec<(Tag, Usage)> {
        let mut usage = self.usage();
        let named = usage.iter().map(|it| it.0).collect();
        let before = std::mem::replace(&mut self.named, named);
        let ended = before.difference(&self.named).map(|it| (*it, Usage::default()));
        usage.extend(ended);
        usage
    }

    fn heartbeat(&self, interval: Interval) -> Heartbeat {
        Heartbeat {
            vm: self.name.clone(),
            domain: self.domain.clone(),
            interval,
            steady: true,
            fed: true,
            returned: None,
            ends: Ends::default(),
            usage: self.usage(),
            changing: Vec::new(),
            limits: 0,
        }
    }
}

struct Case {
    nodes: usize,
    engines: usize,
    domains: usize,
    /// Share of the nodes that crash at one moment.
    crash: f64,
}

#[rstest]
#[case(Case { nodes: 8, engines: 9, domains: 3, crash: 0.3 })]
#[case(Case { nodes: 61, engines: 140, domains: 4, crash: 0.3 })]
#[case(Case { nodes: 295, engines: 256, domains: 5, crash: 0.3 })]
#[case(Case { nodes: 780, engines: 2_000, domains: 8, crash: 0.3 })]
fn believed_memory_is_near_the_true_one(#[case] case: Case) {
    let mut random = SmallRng::seed_from_u64(7);
    let engines = engines(case.engines, case.domains);
    let mut pool = Pool::new(domain(0, case.domains), SmallRng::seed_from_u64(1));
    pool.replace(engines.clone(), false, Millis(0));
    let settings =
        Settings { vm: "n0".into(), domain: domain(0, case.domains), ..node::settings() };
    let mut members = Members::new(&settings);
    let interval = Interval::among(case.nodes - 1);
    let mut nodes: Vec<Node> = (1..case.nodes)
        .map(|place| Node {
            name: format!("n{place}"),
            domain: domain(place, case.domains),
            near: case.nodes - 1 <= FEW || place % case.domains == 0,
            streams: Vec::new(),
            named: HashSet::new(),
            round: 0,
            next: random.random_range(0..interval.near),
            gone: 0,
        })
        .collect();
    let mean = (LASTS.start + LASTS.end) as f64 / 2.0;
    let streams = TAKEN * case.engines as f64 * CAPACITY as f64 / f64::from(STREAM);
    let begins = streams / mean * STEP as f64 / (case.nodes - 1) as f64;
    // Until every node was heard often enough, and again after the crash.
    let settles = 3 * interval.far + LASTS.end;
    let mut errors = Vec::new();
    for now in (0..END).step_by(STEP as usize) {
        for (place, node) in nodes.iter_mut().enumerate() {
            step(node, now, begins, &engines, &mut random);
            if now == CRASH && random.random_bool(case.crash) {
                node.streams.clear();
                node.gone = now + GONE;
            }
            if now < node.gone {
                continue;
            }
            let lost = random.random_bool(LOST);
            let update = node.update();
            if node.near && !lost {
                pool.apply_usage_delta(Tag::of(&node.name), &update);
            }
            if now >= node.next {
                node.next = now + interval.near;
                node.round += 1;
                let told = node.near || node.round.is_multiple_of(FAR_EVERY);
                if told && !lost {
                    let heartbeat = node.heartbeat(interval);
                    let word = members.hear(ip(place), &heartbeat, Millis(now));
                    pool.apply_usage_report(Tag::of(&node.name), heartbeat.usage, word.until);
                }
            }
        }
        pool.expire(Millis(now));
        let settled = (settles..CRASH).contains(&now) || now > CRASH + settles;
        if settled {
            let taken: usize = nodes.iter().map(|it| it.streams.len()).sum();
            let truth = taken as f64 * f64::from(STREAM) / (case.engines as u64 * CAPACITY) as f64;
            errors.push(pool.occupancy(SERVICE, CAPACITY) - truth);
        }
    }
    let worst = errors.iter().fold(0.0_f64, |worst, it| worst.max(it.abs()));
    let mean = errors.iter().sum::<f64>() / errors.len() as f64;
    println!("{} nodes: mean error {mean:.3}, worst {worst:.3}", case.nodes);
    assert!(
        mean.abs() <= 0.01 && worst <= NEAR,
        "{} nodes: mean error {mean:.3}, worst {worst:.3}",
        case.nodes
    );
}

/// Streams end and begin, at engines of the node's failure domain.
fn step(node: &mut Node, now: u64, begins: f64, engines: &[Endpoint], random: &mut SmallRng) {
    node.streams.retain(|it| it.1 > now);
    if now < node.gone || !random.random_bool(begins.min(1.0)) {
        return;
    }
    let own: Vec<&Endpoint> = engines.iter().filter(|it| it.domain == node.domain).collect();
    let engine = own[random.random_range(0..own.len())].tag();
    node.streams.push((engine, now + random.random_range(LASTS)));
}

fn ip(place: usize) -> IpAddr {
    IpAddr::from([127, 1, (place / 250) as u8, (place % 250) as u8 + 1])
}

struct Outage {
    nodes: usize,
    domains: usize,
    /// Most nodes that ask the store.
    ask: usize,
}

/// A store that is out for 4 s is asked by few of the nodes, not by all.
#[rstest]
#[case(Outage { nodes: 8, domains: 3, ask: 8 })]
#[case(Outage { nodes: 61, domains: 4, ask: 37 })]
#[case(Outage { nodes: 295, domains: 5, ask: 16 })]
#[case(Outage { nodes: 780, domains: 8, ask: 16 })]
fn a_store_that_is_out_is_asked_by_few(#[case] case: Outage) {
    let name = |place: usize| format!("n{place:03}");
    let mut nodes: Vec<Members> = (0..case.nodes)
        .map(|place| {
            let (vm, domain) = (name(place), domain(place, case.domains));
            Members::new(&Settings { vm, domain, ip: ip(place), ..node::settings() })
        })
        .collect();
    let interval = Interval::among(case.nodes - 1);
    for node in &mut nodes {
        for other in 0..case.nodes {
            let heartbeat = Heartbeat {
                vm: name(other),
                domain: domain(other, case.domains),
                interval: Interval { near: OUT * 2, far: OUT * 2 },
                steady: true,
                fed: false,
                returned: None,
                ends: Ends::default(),
                usage: Vec::new(),
                changing: Vec::new(),
                limits: 0,
            };
            node.hear(ip(other), &heartbeat, Millis(0));
        }
    }
    let mut asked: HashSet<usize> = HashSet::new();
    for now in (0..OUT).step_by(100) {
        let reads = |(place, node): (usize, &mut Members)| node.reads(Millis(now)).then_some(place);
        asked.extend(nodes.iter_mut().enumerate().filter_map(reads));
    }
    println!("{} nodes, heartbeats each {} ms: {} ask", case.nodes, interval.near, asked.len());
    assert!(asked.len() <= case.ask, "{} of {} nodes ask", asked.len(), case.nodes);
}
