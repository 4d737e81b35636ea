//! Measurements of whole sites of processes; docs/MEASUREMENTS.md has the figures.
//!
//! Build everything first, then run one by name:
//! `cargo run --release --example experiment -- goodput-alpenzelt`

use crosslane::load::{self, Options, Report, Sample};
use crosslane_harness::site::{Binaries, Plan, Site};
use crosslane_protocol::platform::State;
use crosslane_transport::http::Client;
use hdrhistogram::Histogram;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// One way of placing work, as settings say it.
struct Way {
    name: &'static str,
    placement: fn() -> Value,
}

const WAYS: [Way; 6] = [
    Way { name: "owner grants, best of two", placement: || json!({}) },
    Way { name: "the same, granted ahead", placement: || json!({ "ahead": true }) },
    Way {
        name: "no grants, best of two",
        placement: || json!({ "reserve": false, "mode": "best_of_two" }),
    },
    Way {
        name: "no grants, round robin",
        placement: || json!({ "reserve": false, "mode": "round_robin" }),
    },
    Way { name: "no grants, random", placement: || json!({ "reserve": false, "mode": "random" }) },
    Way {
        name: "no grants, least reported",
        placement: || json!({ "reserve": false, "mode": "least_reported" }),
    },
];

/// A deployment's runners and requests, scaled to one machine.
struct Mix {
    prefill: usize,
    decode: usize,
    services: usize,
    prompt: (u64, u64),
    max_tokens: u64,
    service_percent: u64,
    /// Model requests per second that the decode engines can take.
    capacity: f64,
}

/// Drafts: 10 reply runners, 3 web runners.
const ALPENZELT: Mix = Mix {
    prefill: 4,
    decode: 6,
    services: 3,
    prompt: (200, 4_000),
    max_tokens: 120,
    service_percent: 30,
    capacity: 53.0,
};

/// Manifests: 20 reading runners, 3 desk runners.
const POSTFLOKKUN: Mix = Mix {
    prefill: 12,
    decode: 8,
    services: 3,
    prompt: (1_000, 6_000),
    max_tokens: 80,
    service_percent: 30,
    capacity: 106.0,
};

const NODES: usize = 6;
const SECONDS: u64 = 5;
const WARM_UP_SECONDS: u64 = 1;
const FACTORS: [f64; 4] = [0.5, 0.8, 1.0, 1.3];

fn main() -> io::Result<()> {
    let executable = std::env::current_exe()?;
    let binaries = Binaries::beside(&executable);
    let name = std::env::args().nth(1).unwrap_or_default();
    match name.as_str() {
        "goodput-alpenzelt" => goodput(&binaries, &ALPENZELT, &FACTORS, None),
        "goodput-postflokkun" => goodput(&binaries, &POSTFLOKKUN, &[0.8, 1.3], None),
        "engine-dies" => goodput(&binaries, &ALPENZELT, &[0.8], Some("decode-0")),
        "log-out" => log_out(&binaries),
        "overhead" => overhead(&binaries),
        "soak" => soak(&binaries),
        "claims" => claims(&binaries),
        "control" => control(&binaries),
        "times" => times(&binaries),
        _ => Err(io::Error::other("which? see the match in this file")),
    }
}

fn plan(mix: &Mix, mut placement: Value) -> Plan {
    placement["token_millis"] = json!(25);
    Plan {
        nodes: NODES,
        prefill: mix.prefill,
        decode: mix.decode,
        services: mix.services,
        slots: 20,
        engine: vec!["--step-micros=15000".into(), "--crowd-micros=500".into()],
        settings: json!({
            "placement": placement,
            "patient": { "first_millis": 490 },
        }),
        ..Plan::default()
    }
}

fn options(site: &Site, mix: &Mix, rate: f64, seconds: u64, seed: u64) -> Options {
    let all = rate / (1.0 - mix.service_percent as f64 / 100.0);
    Options {
        to: (0..site.nodes.len()).map(|place| site.callers(place)).collect(),
        operators: site.operators(),
        rate: all.round().max(1.0) as u64,
        seconds,
        prompt: mix.prompt,
        max_tokens: mix.max_tokens,
        service_percent: mix.service_percent,
        deadline_ms: 490,
        seed,
        ..Options::default()
    }
}

fn total(site: &Site, counter: &str) -> u64 {
    (0..site.nodes.len()).map(|place| site.counter(place, counter)).sum()
}

/// Goodput and wasted prefill of every way, one after another at each load.
fn goodput(binaries: &Binaries, mix: &Mix, factors: &[f64], dies: Option<&str>) -> io::Result<()> {
    println!(
        "| load | way | goodput /s | share good | refused | p95 first ms | p95 between ms | wasted prefill |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for (round, factor) in factors.iter().enumerate() {
        for way in &WAYS {
            let mut site = Site::start(binaries.clone(), &plan(mix, (way.placement)()))?;
            let rate = factor * mix.capacity;
            let warm = options(&site, mix, rate, WARM_UP_SECONDS, 100);
            site.runtime.block_on(load::drive(&warm));
            let run = options(&site, mix, rate, SECONDS, round as u64 + 1);
            let running = site.runtime.spawn(async move { load::drive(&run).await });
            if let Some(engine) = dies {
                std::thread::sleep(Duration::from_secs(SECONDS / 3));
                site.signal_standin(engine, Signal::SIGKILL);
            }
            let report = site.runtime.block_on(running).map_err(io::Error::other)?;
            row(*factor, way.name, &report);
        }
    }
    Ok(())
}

fn row(factor: f64, name: &str, report: &Report) {
    let refused: u64 = report.refused.values().sum();
    println!(
        "| {factor} | {name} | {:.1} | {:.3} | {refused} | {:.0} | {:.1} | {:.2} % |",
        report.goodput,
        report.good as f64 / report.sent.max(1) as f64,
        report.first_ms.p95,
        report.between_ms.p95,
        report.wasted_prefill * 100.0,
    );
    if report.wrong > 0 {
        println!("WRONG ANSWERS: {}", report.wrong);
    }
}

/// Goodput of repeatable requests before, during and after an outage of the log.
fn log_out(binaries: &Binaries) -> io::Result<()> {
    let mut site = Site::start(binaries.clone(), &plan(&ALPENZELT, json!({})))?;
    let rate = 0.8 * ALPENZELT.capacity;
    for (seed, phase) in ["warm-up", "before", "out", "after"].iter().enumerate() {
        site.fault("log", &json!({ "outage": *phase == "out" }));
        let answers = *phase != "out";
        let noticed = |it: &mut Site| (0..NODES).all(|at| it.status(at)["log_answers"] == answers);
        site.until(Duration::from_secs(20), noticed);
        let run = Options {
            service_percent: 0,
            keyed_percent: 30,
            ..options(&site, &ALPENZELT, rate, SECONDS, seed as u64 + 1)
        };
        let report = site.runtime.block_on(load::drive(&run));
        println!(
            "{phase}: goodput {:.1}/s of {} sent, refused {:?}",
            report.goodput, report.sent, report.refused
        );
    }
    Ok(())
}

/// Processor time in milliseconds and resident memory in MiB of a process.
fn usage(process: u32) -> (u64, f64) {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let fields: Vec<_> = stat.rsplit(") ").next().unwrap_or_default().split(' ').collect();
    let ticks = |place: usize| fields.get(place).and_then(|it| it.parse::<u64>().ok()).unwrap_or(0);
    let statm = std::fs::read_to_string(format!("/proc/{process}/statm")).unwrap_or_default();
    let pages: f64 = statm.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0.0);
    ((ticks(11) + ticks(12)) * 10, pages * 4_096.0 / 1_048_576.0)
}

fn node_usage(site: &Site, place: usize) -> (u64, f64) {
    site.nodes[place].as_ref().map_or((0, 0.0), |node| usage(node.process.id()))
}

/// Added latency of a node, and what a node relays.
fn overhead(binaries: &Binaries) -> io::Result<()> {
    let fast = vec!["--step-micros=0".into(), "--crowd-micros=0".into()];
    let plan = Plan {
        nodes: 1,
        prefill: 1,
        decode: 4,
        prefill_rate: 100_000_000,
        slots: 200,
        engine: fast,
        settings: json!({ "placement": { "local_prefill_tokens": 1_000 } }),
        ..Plan::default()
    };
    let site = Site::start(binaries.clone(), &plan)?;
    let (node, service) = (site.callers(0), site.fleet.service[0]);
    let mut through = Histogram::<u64>::new(3).map_err(io::Error::other)?;
    let mut straight = through.clone();
    let client = Client::default();
    let one = |to: SocketAddr| {
        let (client, sample) = (client.clone(), Sample::service("/booking/page", None));
        async move {
            let started = Instant::now();
            load::whole(&client, to, &sample).await.map(|_| started.elapsed())
        }
    };
    for _ in 0..2_000 {
        for (to, histogram) in [(node, &mut through), (service, &mut straight)] {
            let took = site.runtime.block_on(one(to)).map_err(io::Error::other)?;
            let _ = histogram.record(took.as_micros() as u64);
        }
    }
    for quantile in [0.5, 0.95, 0.99] {
        let (a, b) = (through.value_at_quantile(quantile), straight.value_at_quantile(quantile));
        println!(
            "service call, p{}: through {a} us, straight {b} us, added {} us",
            quantile * 100.0,
            a.saturating_sub(b)
        );
    }
    let busy = |label: &str, options: &Options| {
        let (before, _) = node_usage(&site, 0);
        let started = Instant::now();
        let report = site.runtime.block_on(load::drive(options));
        let (after, memory) = node_usage(&site, 0);
        let core = (after - before) as f64 / started.elapsed().as_millis() as f64;
        let seconds = started.elapsed().as_secs_f64();
        println!(
            "{label}: {:.0} answers/s, {:.0} tokens/s, node uses {:.2} cores, {memory:.0} MiB, p50 {:.2} ms, p99 {:.2} ms, refused {:?}",
            report.whole as f64 / seconds,
            report.pieces as f64 / seconds,
            core,
            report.first_ms.p50,
            report.first_ms.p99,
            report.refused,
        );
    };
    let base = Options { to: vec![node], seconds: 8, ..Options::default() };
    for rate in [1_000, 4_000] {
        let small = Options { rate, service_percent: 100, ..base.clone() };
        busy(&format!("small answers, {rate}/s offered"), &small);
    }
    for rate in [50, 200, 400] {
        let tokens = Options { rate, prompt: (50, 60), max_tokens: 200, ..base.clone() };
        busy(&format!("streams, {rate}/s offered"), &tokens);
    }
    Ok(())
}

/// Memory over 100,000 requests, a fifth of them with a key.
fn soak(binaries: &Binaries) -> io::Result<()> {
    let plan =
        Plan { nodes: 3, settings: json!({ "ledger": { "answers": 2_000 } }), ..Plan::default() };
    let site = Site::start(binaries.clone(), &plan)?;
    for round in 0..5 {
        let options = Options {
            to: (0..3).map(|place| site.callers(place)).collect(),
            rate: 2_000,
            seconds: 10,
            service_percent: 95,
            keyed_percent: 20,
            prompt: (20, 60),
            max_tokens: 8,
            seed: round + 1,
            ..Options::default()
        };
        let report = site.runtime.block_on(load::drive(&options));
        let memory: Vec<_> =
            (0..3).map(|place| format!("{:.1}", node_usage(&site, place).1)).collect();
        println!(
            "after {} requests: {} whole, refused {:?}, MiB {memory:?}",
            (round + 1) * 20_000,
            report.whole,
            report.refused
        );
    }
    Ok(())
}

/// Latency and appends of claims against the batch interval.
fn claims(binaries: &Binaries) -> io::Result<()> {
    println!(
        "| batch ms | offered /s | p50 ms | p99 ms | appends/s | claims per append | refused |"
    );
    println!("|---|---|---|---|---|---|---|");
    for batch in [5, 20, 50] {
        let settings = json!({ "timing": { "claim_millis": batch } });
        let plan = Plan { nodes: 3, settings, ..Plan::default() };
        let site = Site::start(binaries.clone(), &plan)?;
        for rate in [10, 100, 1_000] {
            let options = Options {
                to: (0..3).map(|place| site.callers(place)).collect(),
                rate,
                seconds: 5,
                service_percent: 100,
                keyed_percent: 100,
                seed: batch * 10_000 + rate,
                ..Options::default()
            };
            let before = (total(&site, "claims.appends"), total(&site, "claims.recorded"));
            let report = site.runtime.block_on(load::drive(&options));
            let appends = total(&site, "claims.appends") - before.0;
            let claims = total(&site, "claims.recorded") - before.1;
            println!(
                "| {batch} | {rate} | {:.1} | {:.1} | {:.0} | {:.1} | {:?} |",
                report.first_ms.p50,
                report.first_ms.p99,
                appends as f64 / 5.0,
                claims as f64 / appends.max(1) as f64,
                report.refused,
            );
        }
    }
    Ok(())
}

fn control_bytes(site: &Site) -> (u64, u64) {
    let sum = |name: &str| {
        (0..site.nodes.len()).map(|place| site.status(place)[name].as_u64().unwrap_or(0)).sum()
    };
    (sum("control_read_bytes"), sum("control_written_bytes"))
}

/// Control traffic, processor time and memory against nodes, runners and requests.
fn control(binaries: &Binaries) -> io::Result<()> {
    println!(
        "| nodes | engines | model requests/s per node | control bytes/s per node, in + out | core share per node | MiB |"
    );
    println!("|---|---|---|---|---|---|");
    for (nodes, engines) in [(3, 4), (8, 4), (8, 40), (32, 40), (100, 40)] {
        let plan = Plan { nodes, prefill: engines / 2, decode: engines / 2, ..Plan::default() };
        let site = Site::start(binaries.clone(), &plan)?;
        let rates: &[u64] = if nodes <= 8 { &[0, 5, 10] } else { &[0] };
        for rate in rates {
            let before = (control_bytes(&site), cores(&site), Instant::now());
            if *rate == 0 {
                std::thread::sleep(Duration::from_secs(8));
            } else {
                let options = Options {
                    to: (0..nodes).map(|place| site.callers(place)).collect(),
                    rate: rate * nodes as u64,
                    seconds: 8,
                    prompt: (200, 400),
                    max_tokens: 16,
                    ..Options::default()
                };
                site.runtime.block_on(load::drive(&options));
            }
            let seconds = before.2.elapsed().as_secs_f64();
            let (read, written) = control_bytes(&site);
            let bytes = (read - before.0.0 + written - before.0.1) as f64;
            let share = (cores(&site) - before.1) as f64 / 1e3 / seconds / nodes as f64;
            let memory = (0..nodes).map(|it| node_usage(&site, it).1).sum::<f64>() / nodes as f64;
            println!(
                "| {nodes} | {engines} | {rate} | {:.0} | {:.4} | {memory:.1} |",
                bytes / seconds / nodes as f64,
                share,
            );
        }
    }
    Ok(())
}

fn cores(site: &Site) -> u64 {
    (0..site.nodes.len()).map(|place| node_usage(site, place).0).sum()
}

/// Time until a dead node is known, until a policy is in force, and idle appends.
fn times(binaries: &Binaries) -> io::Result<()> {
    let appends = |site: &Site| site.look("log", "/stats")["appends"].as_u64().unwrap_or(0);
    let mut site = Site::start(binaries.clone(), &Plan { nodes: NODES, ..Plan::default() })?;
    let before = appends(&site);
    std::thread::sleep(Duration::from_secs(10));
    println!("appends while idle for 10 s: {}", appends(&site) - before);

    let mut in_force = Histogram::<u64>::new(3).map_err(io::Error::other)?;
    let mut accepted = in_force.clone();
    let path = std::env::temp_dir().join(format!("crosslane-policy-{}", std::process::id()));
    for version in 1..=20u64 {
        let program = format!("// {version}\n#{{ class: \"quick\", repeatable: true }}\n");
        std::fs::write(&path, program)?;
        let before = appends(&site);
        let started = Instant::now();
        let log = site.fleet.log.to_string();
        let text = path.display().to_string();
        let mut publisher = std::process::Command::new(&site.binaries.command)
            .args(["policy", "publish", &text, "--log", &log, "--wait"])
            .stdout(std::process::Stdio::null())
            .spawn()?;
        for place in 0..NODES {
            site.until(Duration::from_secs(10), |it| it.status(place)["policy_version"] == version);
            let _ = in_force.record(started.elapsed().as_millis() as u64);
        }
        publisher.wait()?;
        let _ = accepted.record(started.elapsed().as_millis() as u64);
        if version == 20 {
            println!("appends for one policy: {}", appends(&site) - before);
        }
    }
    let _ = std::fs::remove_file(&path);
    println!(
        "publish to in force at a node: p50 {} ms, max {} ms",
        in_force.value_at_quantile(0.5),
        in_force.max()
    );
    println!(
        "publish to accepted: p50 {} ms, max {} ms",
        accepted.value_at_quantile(0.5),
        accepted.max()
    );

    let started = Instant::now();
    site.signal_node(NODES - 1, Signal::SIGKILL);
    let vm = format!("entry-{}", NODES - 1);
    let believed = |site: &Site, place: usize| {
        let members = site.status(place)["members"].clone();
        let member = members.as_array().into_iter().flatten().find(|it| it["vm"] == vm.as_str());
        member.map(|it| it["belief"].to_string()).unwrap_or_default()
    };
    for place in 0..NODES - 1 {
        site.until(Duration::from_secs(20), |it| believed(it, place) == "\"Dead\"");
    }
    println!("killed to believed dead at every node: {} ms", started.elapsed().as_millis());
    let before = appends(&site);
    let started = Instant::now();
    site.list(&vm, State::Gone);
    for place in 0..NODES - 1 {
        site.until(Duration::from_secs(20), |it| believed(it, place).is_empty());
    }
    println!(
        "listed as gone to departed at every node (the list lags 500 ms): {} ms, {} appends",
        started.elapsed().as_millis(),
        appends(&site) - before
    );

    let before = appends(&site);
    let started = Instant::now();
    for place in 0..NODES - 1 {
        site.signal_node(place, Signal::SIGTERM);
        site.until(Duration::from_secs(30), |it| it.exit_code(place).is_some());
        site.start_node(place)?;
        site.until(Duration::from_secs(30), |it| it.serves(place));
    }
    println!(
        "rolling replacement of {} idle nodes: {} ms, {} appends",
        NODES - 1,
        started.elapsed().as_millis(),
        appends(&site) - before
    );
    Ok(())
}
