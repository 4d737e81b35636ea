//! One run of the soak, and its report.

use crate::closes;
use crate::fault::{self, Fault, PARTITIONED};
use crate::innocence;
use crate::keys;
use crate::pressure::{self, Competition};
use crate::reach::Tally;
use crate::site::{Plan, Site};
use crate::traffic::{self, Endings};
use crosslane_platform_standins::caller;
use crosslane_platform_standins::ledger::{Effect, Ledger, Moved, Poison, Violation};
use crosslane_platform_standins::repeats::{Budget, Usage};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::fmt::{Display, Formatter, Result as Written};
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// Aims for the endpoints that end under one request, and under one segment of different prompts; faults of all nodes at once
/// may defeat them without breaking a promise.
const ENDED_BY_REQUEST: u32 = 6;
const ENDED_BY_SEGMENT: u32 = 9;

/// Requests that may run on more endpoints than their routes allow.
const MAX_OVER_ATTEMPTED: usize = 3;

/// Pause between the beginnings of two faults, in milliseconds.
const PAUSE: std::ops::Range<u64> = 50..900;

/// Pause between two looks at a condition.
const LOOK: Duration = Duration::from_millis(50);

/// Time for a condition to come about; far beyond what a busy machine needs.
const PATIENCE: Duration = Duration::from_secs(60);

/// Times for which callers are spread and gather, in milliseconds.
const SPREAD: std::ops::Range<u64> = 1_000..3_000;
const GATHERED: std::ops::Range<u64> = 4_000..8_000;

/// Connections that a plain endpoint accepts where callers gather.
const MAX_CONNECTIONS: u32 = 20;

/// Period in which endpoints renew their records.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Delay of a timer from which on this process stood still.
const STALL: Duration = Duration::from_secs(1);

/// What came of a run.
#[derive(Debug, Default)]
pub struct Report {
    /// Seed.
    pub seed: u64,
    /// Faults by kind.
    pub faults: BTreeMap<Fault, u64>,
    /// Requests by kind and ending.
    pub endings: Endings,
    /// Most memory of a node that ran at the end, in megabytes.
    pub megabytes: u64,
    /// What made endpoints crash, and its effects.
    pub crashing: Vec<(Poison, Effect)>,
    /// Runs that were stopped to be moved, and those that went on.
    pub moved: Moved,
    /// Answers without length or chunks.
    pub closes: closes::Tally,
    /// First tries at nodes where callers gathered.
    pub crowded: Tally,
    /// Requests of different priority in contended bursts.
    pub competition: Competition,
    /// Largest usage of the retry budget, by service.
    pub retries: BTreeMap<&'static str, Usage>,
    /// Broken promises.
    pub violations: Vec<Violation>,
}

impl Report {
    /// Whether more endpoints than the aim ended under a request or a segment.
    pub fn misses_aim(&self) -> bool {
        self.crashing.iter().any(|(poison, effect)| match poison {
            Poison::Request(_) => effect.ended > ENDED_BY_REQUEST,
            Poison::Segment(_) => effect.ended > ENDED_BY_SEGMENT,
        })
    }

    /// Requests that were asked.
    pub fn requests(&self) -> u64 {
        self.endings.values().sum()
    }
}

impl Display for Report {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Written {
        let requests = self.requests();
        let faults: u64 = self.faults.values().sum();
        let broken = self.violations.len();
        writeln!(
            formatter,
            "seed {}: {requests} requests, {faults} faults, {} MB, {broken} promises broken",
            self.seed, self.megabytes
        )?;
        for ((kind, ending), count) in &self.endings {
            writeln!(formatter, "  {kind:?} {ending:?}: {count}")?;
        }
        for (fault, count) in &self.faults {
            writeln!(formatter, "  {fault}: {count}")?;
        }
        for (poison, Effect { ended, reached, late, .. }) in &self.crashing {
            writeln!(
                formatter,
                "  {poison:?}: {ended} ended, {reached} sends, {late} of them late"
            )?;
        }
        let Moved { stopped, continued } = self.moved;
        writeln!(formatter, "  {stopped} runs stopped for a move, {continued} continued")?;
        writeln!(formatter, "  answers without length or chunks: {}", self.closes)?;
        writeln!(formatter, "  at crowded nodes: {}", self.crowded)?;
        write!(formatter, "{}", self.competition)?;
        for (service, usage) in &self.retries {
            writeln!(formatter, "  {service}: {usage}")?;
        }
        for Violation { invariant: promise, request, observed: seen } in &self.violations {
            writeln!(formatter, "  BROKEN {promise}: {request} {seen}")?;
        }
        Ok(())
    }
}

/// Runs a site under faults; nodes' logs lie in the folder.
pub async fn run(plan: &Plan, folder: &Path) -> io::Result<Report> {
    let site = Site::start(plan, folder).await?;
    until_ready(&site).await?;
    let over = Arc::new(AtomicBool::new(false));
    let mut callers = JoinSet::new();
    for name in 0..plan.callers {
        callers.spawn(traffic::call(site.clone(), name, plan.seed, over.clone()));
    }
    let probe = tokio::spawn(traffic::probe(site.clone(), plan.seed, over.clone()));
    let poisonous = plan.mix.is_complete().then(|| {
        let culprits = tokio::spawn(traffic::crash(site.clone(), plan.seed, over.clone()));
        let segments =
            tokio::spawn(traffic::crash_by_segment(site.clone(), plan.seed, over.clone()));
        [culprits, segments]
    });
    let keyed = tokio::spawn(keys::call(site.clone(), plan.seed, over.clone()));
    let beats = tokio::spawn(beat(site.clone()));
    let [drawn, beside, in_need, leaving] = plan.mix.series();
    let (drawn, beside, in_need, leaving, partitioned, (), ()) = tokio::join!(
        disturb(&site, plan, plan.seed, drawn),
        disturb(&site, plan, !plan.seed, beside),
        disturb(&site, plan, plan.seed.rotate_left(17), in_need),
        disturb(&site, plan, plan.seed.rotate_left(53), leaving),
        disturb_in_turn(&site, plan, plan.seed.rotate_left(29)),
        gather(&site, plan, plan.seed.rotate_left(47)),
        pressure::press(&site, plan, plan.seed.rotate_left(11))
    );
    let mut faults = drawn?;
    for (fault, count) in beside?.into_iter().chain(in_need?).chain(leaving?).chain(partitioned?) {
        *faults.entry(fault).or_default() += count;
    }
    beats.abort();
    site.mend().await?;
    until_ready(&site).await?;
    over.store(true, Ordering::Relaxed);
    probe.await?;
    for culprits in poisonous.into_iter().flatten() {
        culprits.await?;
    }
    keyed.await?;
    keys::check(&site).await;
    traffic::check_crashes(&site);
    innocence::check(&site, plan.seed);
    site.reach.check(&site.ledger);
    site.crowd.check(&site.ledger);
    site.returns.check(&site.ledger);
    site.bursts.check(&site.ledger);
    pressure::check_loads(&site, plan);
    let mut endings = Endings::new();
    while let Some(some) = callers.join_next().await {
        some?.into_iter().for_each(|(ending, count)| *endings.entry(ending).or_default() += count);
    }
    until_idle(&site).await;
    let retries = check_retries(&site.ledger, plan.retry_budget);
    let mut megabytes = 0;
    for node in &site.nodes {
        megabytes = megabytes.max(node.peak_megabytes());
    }
    let (crashing, violations) = (site.ledger.effects(), site.ledger.violations());
    let moved = site.ledger.moved();
    let (closes, crowded) = (site.closes.tally(), site.crowd.tally());
    let competition = site.bursts.competition();
    Ok(Report {
        seed: plan.seed,
        faults,
        endings,
        megabytes,
        crashing,
        moved,
        closes,
        crowded,
        competition,
        retries,
        violations,
    })
}

/// Holds repeats against the retry budget of all nodes together, the attempts of their routes and the deadlines of their callers.
fn check_retries(ledger: &Ledger, budget: Budget) -> BTreeMap<&'static str, Usage> {
    let usage = ledger.retry_usage(budget);
    for (service, usage) in usage.iter().filter(|(_, usage)| usage.is_exceeded()) {
        let observed = format!("{service}: {usage}");
        ledger.record_violation("repeats stay within the retry budget", "", observed);
    }
    let over = ledger.over_attempted();
    if over.len() > MAX_OVER_ATTEMPTED {
        let observed = format!("{} requests: {over:?}", over.len());
        ledger.record_violation("requests run on as many endpoints as allowed", &over[0], observed);
    }
    let deadlines = ledger.deadlines();
    if deadlines.is_exceeded() {
        let observed = format!("{deadlines:?}");
        ledger.record_violation("endpoints get no more time than remains", "", observed);
    }
    usage
}

/// Begins faults, one after the other, and waits until all have ended.
async fn disturb(
    site: &Arc<Site>,
    plan: &Plan,
    seed: u64,
    kinds: &[Fault],
) -> io::Result<BTreeMap<Fault, u64>> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut counts = BTreeMap::new();
    let mut running = JoinSet::new();
    let end = Instant::now() + plan.time;
    while !kinds.is_empty() && Instant::now() < end {
        let fault = kinds[random.random_range(0..kinds.len())];
        *counts.entry(fault).or_default() += 1;
        let own = SmallRng::seed_from_u64(random.random());
        running.spawn(fault::play(site.clone(), fault, own));
        sleep(Duration::from_millis(random.random_range(PAUSE))).await;
    }
    while let Some(played) = running.join_next().await {
        played??;
    }
    Ok(counts)
}

/// Partitions nodes, one partition after the other.
async fn disturb_in_turn(
    site: &Arc<Site>,
    plan: &Plan,
    seed: u64,
) -> io::Result<BTreeMap<Fault, u64>> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut counts = BTreeMap::new();
    let end = Instant::now() + plan.time;
    while plan.partitions && plan.mix.is_complete() && Instant::now() < end {
        sleep(Duration::from_millis(random.random_range(PAUSE))).await;
        let fault = PARTITIONED[random.random_range(0..PARTITIONED.len())];
        *counts.entry(fault).or_default() += 1;
        fault::play(site.clone(), fault, SmallRng::seed_from_u64(random.random())).await?;
    }
    Ok(counts)
}

/// Has most callers gather at one node, then at another one.
async fn gather(site: &Arc<Site>, plan: &Plan, seed: u64) {
    if !plan.gathering {
        return;
    }
    site.set_max_connections(MAX_CONNECTIONS);
    let mut random = SmallRng::seed_from_u64(seed);
    let end = Instant::now() + plan.time;
    while Instant::now() < end {
        sleep(Duration::from_millis(random.random_range(SPREAD))).await;
        site.crowd.gather(Some(random.random_range(0..plan.nodes)));
        sleep(Duration::from_millis(random.random_range(GATHERED))).await;
        site.crowd.gather(None);
    }
}

/// Renews endpoints' records while they live.
async fn beat(site: Arc<Site>) {
    loop {
        let began = Instant::now();
        sleep(HEARTBEAT).await;
        if began.elapsed() > HEARTBEAT + STALL {
            // This process stood still, and with it the store and all endpoints.
            site.disturb();
        }
        site.announce_all();
    }
}

async fn until_ready(site: &Site) -> io::Result<()> {
    let end = Instant::now() + PATIENCE;
    for node in &site.nodes {
        while !caller::ready(node.ready()).await {
            if Instant::now() > end {
                return Err(io::Error::other("a node is never ready"));
            }
            sleep(LOOK).await;
        }
    }
    Ok(())
}

/// Waits until no run goes on: nobody waits for one any more.
async fn until_idle(site: &Site) {
    let end = Instant::now() + PATIENCE;
    while !site.ledger.running().is_empty() && Instant::now() < end {
        sleep(LOOK).await;
    }
    for (request, endpoint) in site.ledger.running() {
        let seen = format!("still runs at {endpoint}");
        site.ledger.record_violation("no memory held for callers who left", &request, seen);
    }
}
