//! Virtual-time simulations of fleets, from small sites to the planned size: the memory usage of
//! engines as a node computes it from other nodes' messages, and the number of nodes that call a
//! store that is out.
//!
//! In the first, every node has streams at engines of its failure domain, which begin and end. It
//! sends its usage in heartbeats to all nodes, and in updates to near nodes; some messages get
//! lost. Nodes crash with their streams and restart.

mod node;

use crosslane_coordination::heartbeat::{FAR_EVERY, Interval, MAX_NEAR_PEERS};
use crosslane_coordination::pool::Pool;
use crosslane_coordination::usage::Usage;
use crosslane_gateway::members::{Heartbeat, Members};
use crosslane_gateway::mirror::Offsets;
use crosslane_platform::settings::{Fixed, Settings};
use crosslane_state::endpoint::{Endpoint, Stage, Tag};
use crosslane_state::time::Millis;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use std::collections::{HashMap, HashSet};
use std::net::IpAddr;

const SERVICE: &str = "drafts";

/// Memory of an engine, and what a stream takes of it, in tokens.
const ENGINE_TOKENS: u64 = 45_000;
const STREAM_TOKENS: u32 = 5_600;

/// Duration of a stream, in milliseconds.
const STREAM_MS: std::ops::Range<u64> = 1_500..5_000;

/// Mean share of the memory that is in use.
const MEAN_USAGE: f64 = 0.6;

/// Step and end of virtual time, in milliseconds.
const STEP_MS: u64 = 100;
const END_MS: u64 = 120_000;

/// Maximum difference between computed and actual memory usage, as a share of all memory: that of
/// the streams which began and ended since the last heartbeat of another failure domain.
const MAX_ERROR: f64 = 0.08;

/// Share of messages that get lost.
const LOSS_RATE: f64 = 0.02;

/// Duration of a store outage, in milliseconds.
const OUTAGE_MS: u64 = 4_000;

/// Time of the crash of nodes, and their downtime, in milliseconds.
const CRASH_AT_MS: u64 = 60_000;
const DOWNTIME_MS: u64 = 1_000;

fn domain(node: usize, domains: usize) -> String {
    format!("d{}", node % domains)
}

/// Engines, distributed evenly over the failure domains.
fn engines(count: usize, domains: usize) -> Vec<Endpoint> {
    let engine = |index: usize| Endpoint {
        id: format!("e{index}"),
        started_unix_ms: 1,
        service: SERVICE.into(),
        address: ([10, 0, 0, 1], 80).into(),
        domain: domain(index, domains),
        software: "v1".into(),
        slots: 12,
        stage: Stage::Decode,
        draining: false,
        cold_ms: 0,
        sequence: 0,
    };
    (0..count).map(engine).collect()
}

/// A simulated node.
struct Node {
    name: String,
    domain: String,
    near: bool,
    /// Engine and end time of each stream.
    streams: Vec<(Tag, u64)>,
    /// Engines in its last update.
    updated: HashSet<Tag>,
    round: u64,
    next_heartbeat: u64,
    /// Time at which it is up again.
    down_until: u64,
}

impl Node {
    fn usage(&self) -> Vec<(Tag, Usage)> {
        let mut usage: HashMap<Tag, Usage> = HashMap::new();
        for (engine, _) in &self.streams {
            let at_engine = usage.entry(*engine).or_default();
            at_engine.requests += 1;
            at_engine.tokens += STREAM_TOKENS;
        }
        usage.into_iter().collect()
    }

    /// Usage of engines, with an empty one for those where it has nothing any more.
    fn update(&mut self) -> Vec<(Tag, Usage)> {
        let mut usage = self.usage();
        let engines = usage.iter().map(|entry| entry.0).collect();
        let before = std::mem::replace(&mut self.updated, engines);
        let ended = before.difference(&self.updated).map(|engine| (*engine, Usage::default()));
        usage.extend(ended);
        usage
    }

    fn heartbeat(&self, interval: Interval) -> Heartbeat {
        Heartbeat {
            vm: self.name.clone(),
            domain: self.domain.clone(),
            interval,
            active: true,
            store_reachable: true,
            store_recovered_ago_ms: None,
            offsets: Offsets::default(),
            usage: self.usage(),
            stage_changes: Vec::new(),
            limits_digest: 0,
        }
    }
}

struct Case {
    nodes: usize,
    engines: usize,
    domains: usize,
    /// Share of the nodes that crash at the same time.
    crash: f64,
}

#[rstest]
#[case(Case { nodes: 8, engines: 9, domains: 3, crash: 0.3 })]
#[case(Case { nodes: 61, engines: 140, domains: 4, crash: 0.3 })]
#[case(Case { nodes: 295, engines: 256, domains: 5, crash: 0.3 })]
#[case(Case { nodes: 780, engines: 2_000, domains: 8, crash: 0.3 })]
fn computed_memory_usage_is_near_the_actual_one(#[case] case: Case) {
    let mut random = SmallRng::seed_from_u64(7);
    let engines = engines(case.engines, case.domains);
    let mut pool = Pool::new(domain(0, case.domains), SmallRng::seed_from_u64(1));
    pool.replace(engines.clone(), false, Millis(0));
    let Settings { fixed, adjustable } = node::settings();
    let fixed = Fixed { vm: "n0".into(), domain: domain(0, case.domains), ..fixed };
    let settings = Settings { fixed, adjustable };
    let mut members = Members::new(&settings);
    let interval = Interval::for_peers(case.nodes - 1);
    let mut nodes: Vec<Node> = (1..case.nodes)
        .map(|index| Node {
            name: format!("n{index}"),
            domain: domain(index, case.domains),
            near: case.nodes - 1 <= MAX_NEAR_PEERS || index % case.domains == 0,
            streams: Vec::new(),
            updated: HashSet::new(),
            round: 0,
            next_heartbeat: random.random_range(0..interval.near_ms),
            down_until: 0,
        })
        .collect();
    let mean = (STREAM_MS.start + STREAM_MS.end) as f64 / 2.0;
    let streams =
        MEAN_USAGE * case.engines as f64 * ENGINE_TOKENS as f64 / f64::from(STREAM_TOKENS);
    let stream_probability = streams / mean * STEP_MS as f64 / (case.nodes - 1) as f64;
    // Time until every node has sent enough heartbeats, at the start and after the crash.
    let settle_ms = 3 * interval.far_ms + STREAM_MS.end;
    let mut errors = Vec::new();
    for now in (0..END_MS).step_by(STEP_MS as usize) {
        for (index, node) in nodes.iter_mut().enumerate() {
            step(node, now, stream_probability, &engines, &mut random);
            if now == CRASH_AT_MS && random.random_bool(case.crash) {
                node.streams.clear();
                node.down_until = now + DOWNTIME_MS;
            }
            if now < node.down_until {
                continue;
            }
            let lost = random.random_bool(LOSS_RATE);
            let update = node.update();
            if node.near && !lost {
                pool.apply_usage_delta(Tag::of(&node.name), &update);
            }
            if now >= node.next_heartbeat {
                node.next_heartbeat = now + interval.near_ms;
                node.round += 1;
                let sent = node.near || node.round.is_multiple_of(FAR_EVERY);
                if sent && !lost {
                    let heartbeat = node.heartbeat(interval);
                    let receipt = members.record_heartbeat(ip(index), &heartbeat, Millis(now));
                    pool.apply_usage_report(
                        Tag::of(&node.name),
                        heartbeat.usage,
                        receipt.expires_at,
                    );
                }
            }
        }
        pool.expire(Millis(now));
        let settled = (settle_ms..CRASH_AT_MS).contains(&now) || now > CRASH_AT_MS + settle_ms;
        if settled {
            let stream_count: usize = nodes.iter().map(|node| node.streams.len()).sum();
            let actual = stream_count as f64 * f64::from(STREAM_TOKENS)
                / (case.engines as u64 * ENGINE_TOKENS) as f64;
            errors.push(pool.occupancy(SERVICE, ENGINE_TOKENS) - actual);
        }
    }
    let worst = errors.iter().fold(0.0_f64, |worst, error| worst.max(error.abs()));
    let mean = errors.iter().sum::<f64>() / errors.len() as f64;
    println!("{} nodes: mean error {mean:.3}, worst {worst:.3}", case.nodes);
    assert!(
        mean.abs() <= 0.01 && worst <= MAX_ERROR,
        "{} nodes: mean error {mean:.3}, worst {worst:.3}",
        case.nodes
    );
}

/// Ends and begins streams, at engines of the node's failure domain.
fn step(
    node: &mut Node,
    now: u64,
    stream_probability: f64,
    engines: &[Endpoint],
    random: &mut SmallRng,
) {
    node.streams.retain(|stream| stream.1 > now);
    if now < node.down_until || !random.random_bool(stream_probability.min(1.0)) {
        return;
    }
    let own: Vec<&Endpoint> =
        engines.iter().filter(|engine| engine.domain == node.domain).collect();
    let engine = own[random.random_range(0..own.len())].tag();
    node.streams.push((engine, now + random.random_range(STREAM_MS)));
}

fn ip(index: usize) -> IpAddr {
    IpAddr::from([127, 1, (index / 250) as u8, (index % 250) as u8 + 1])
}

struct Outage {
    nodes: usize,
    domains: usize,
    /// Maximum number of nodes that call the store.
    max_callers: usize,
}

/// A store that is out for 4 s gets calls from few of the nodes, not from all.
#[rstest]
#[case(Outage { nodes: 8, domains: 3, max_callers: 8 })]
#[case(Outage { nodes: 61, domains: 4, max_callers: 37 })]
#[case(Outage { nodes: 295, domains: 5, max_callers: 16 })]
#[case(Outage { nodes: 780, domains: 8, max_callers: 16 })]
fn a_store_that_is_out_is_called_by_few(#[case] case: Outage) {
    let name = |index: usize| format!("n{index:03}");
    let mut nodes: Vec<Members> = (0..case.nodes)
        .map(|index| {
            let (vm, domain) = (name(index), domain(index, case.domains));
            let Settings { fixed, adjustable } = node::settings();
            let fixed = Fixed { vm, domain, ip: ip(index), ..fixed };
            Members::new(&Settings { fixed, adjustable })
        })
        .collect();
    let interval = Interval::for_peers(case.nodes - 1);
    for node in &mut nodes {
        for other in 0..case.nodes {
            let heartbeat = Heartbeat {
                vm: name(other),
                domain: domain(other, case.domains),
                interval: Interval { near_ms: OUTAGE_MS * 2, far_ms: OUTAGE_MS * 2 },
                active: true,
                store_reachable: false,
                store_recovered_ago_ms: None,
                offsets: Offsets::default(),
                usage: Vec::new(),
                stage_changes: Vec::new(),
                limits_digest: 0,
            };
            node.record_heartbeat(ip(other), &heartbeat, Millis(0));
        }
    }
    let mut callers: HashSet<usize> = HashSet::new();
    for now in (0..OUTAGE_MS).step_by(100) {
        let reads = |(index, node): (usize, &mut Members)| {
            node.is_store_reader(Millis(now)).then_some(index)
        };
        callers.extend(nodes.iter_mut().enumerate().filter_map(reads));
    }
    println!(
        "{} nodes, heartbeats each {} ms: {} call the store",
        case.nodes,
        interval.near_ms,
        callers.len()
    );
    assert!(
        callers.len() <= case.max_callers,
        "{} of {} nodes call the store",
        callers.len(),
        case.nodes
    );
}
