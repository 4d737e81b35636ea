//! Faults: what begins, and what ends it.

use crate::proxy::{DISTURBING, Mode, PARTITIONS};
use crate::site::{GRACE_S, Site};
use crosslane_platform_standins::endpoint::FAULTS;
use crosslane_platform_standins::store::Trouble;
use nix::sys::signal::Signal;
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Kinds of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, derive_more::Display)]
pub enum Fault {
    /// A node is killed and started again.
    #[display("node killed")]
    Kill,
    /// A node stands still for a while.
    #[display("node frozen")]
    Freeze,
    /// A node is stopped as planned and started again.
    #[display("node stopped")]
    Stop,
    /// All nodes are stopped as planned, in turn.
    #[display("nodes stopped in turn")]
    Rolling,
    /// A node's settings file is written anew.
    #[display("settings written")]
    Reload,
    /// A configuration is published.
    #[display("configuration")]
    Configure,
    /// Several configurations in quick succession, larger than those before.
    #[display("configurations in a row")]
    Storm,
    /// An endpoint ends without notice, and another one comes.
    #[display("endpoint crashed")]
    Crash,
    /// An endpoint ends without notice, and starts again under its id.
    #[display("endpoint born again")]
    Rebirth,
    /// An endpoint announces that it leaves, or its record goes, and it ends; another one comes first.
    #[display("endpoint released")]
    Release,
    /// Some requests at an endpoint meet a fault.
    #[display("endpoint grey")]
    Grey,
    /// An endpoint does nothing for a while, and goes on.
    #[display("endpoint silent")]
    Silence,
    /// An endpoint names a limit, other ones, and none again.
    #[display("endpoint in need")]
    Need,
    /// A node is partitioned from all endpoints, or several are; callers, store and nodes reach them.
    #[display("nodes cut off")]
    Partition,
    /// The way to an endpoint is disturbed.
    #[display("way to endpoint")]
    EndpointWay,
    /// The way from a node to the store is disturbed.
    #[display("way to store")]
    StoreWay,
    /// The store misbehaves.
    #[display("store")]
    Store,
    /// The store is away for so long that endpoints' records lapse.
    #[display("store lapsed")]
    Lapse,
    /// The store drops its history.
    #[display("store compacted")]
    Compact,
}

/// Which faults a run plays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mix {
    /// Those that the seeds kept for CI were found with.
    Former,
    /// All.
    All,
    /// Planned work only, at engines some of which fail part of their requests.
    Planned,
    /// None.
    Quiet,
}

impl Mix {
    /// Whether partitions, and requests that crash endpoints, come beside the series.
    pub fn is_complete(self) -> bool {
        match self {
            Self::Former | Self::All => true,
            Self::Planned | Self::Quiet => false,
        }
    }

    /// Kinds of each series; the series overlap.
    pub fn series(self) -> [&'static [Fault]; 4] {
        match self {
            Self::Former => [&DRAWN, &BESIDE, &IN_NEED, &[]],
            Self::All => [&DRAWN, &BESIDE, &IN_NEED, &LEAVING],
            Self::Planned => [&PLANNED, &[], &[], &LEAVING],
            Self::Quiet => [&[]; 4],
        }
    }
}

/// Every kind; those twice are drawn twice as often.
const DRAWN: [Fault; 20] = [
    Fault::Kill,
    Fault::Kill,
    Fault::Freeze,
    Fault::Stop,
    Fault::Stop,
    Fault::Rolling,
    Fault::Reload,
    Fault::Configure,
    Fault::Configure,
    Fault::Storm,
    Fault::Crash,
    Fault::Rebirth,
    Fault::Release,
    Fault::Release,
    Fault::Grey,
    Fault::EndpointWay,
    Fault::StoreWay,
    Fault::Store,
    Fault::Lapse,
    Fault::Compact,
];

/// Kinds of a second series, which overlaps the first: what may come near a silence without a part in it.
const BESIDE: [Fault; 4] = [Fault::Silence, Fault::Silence, Fault::Reload, Fault::Configure];

/// Kinds of a third series beside both.
const IN_NEED: [Fault; 1] = [Fault::Need];

/// Kinds of a fourth series: a partition beside all others.
pub const PARTITIONED: [Fault; 1] = [Fault::Partition];

/// Kinds of a fifth series beside the others: engines leave, so that their runs are moved, while settings and configurations
/// change.
const LEAVING: [Fault; 4] = [Fault::Release, Fault::Release, Fault::Reload, Fault::Configure];

/// Kinds of a run with planned work only, which must cut off nothing, at engines some of which fail part of their requests.
const PLANNED: [Fault; 8] = [
    Fault::Stop,
    Fault::Rolling,
    Fault::Reload,
    Fault::Configure,
    Fault::Storm,
    Fault::Release,
    Fault::Release,
    Fault::Grey,
];

/// Time for which a partition lasts, in milliseconds: seconds beyond the time after which the promise holds.
const PARTITION_LASTS: std::ops::Range<u64> = 5_000..9_000;

/// Requests a second that an endpoint in need takes, from none to more than come.
const RATES: [f64; 7] = [0.0, 0.3, 1.0, 2.1, 3.0, 8.0, 40.0];

/// Limits that it names one after the other.
const NAMED: u32 = 3;

/// Ways in which the store misbehaves.
const TROUBLES: [Trouble; 5] =
    [Trouble::Busy, Trouble::Silent, Trouble::Slow, Trouble::LosesAnswers, Trouble::Late];

/// Time for which a fault lasts, in milliseconds.
const LASTS: std::ops::Range<u64> = 200..4_000;

/// Time after which a process that ended is started again, in milliseconds.
const RESTARTS: std::ops::Range<u64> = 50..1_500;

/// Time after its end in which an endpoint's record goes: some heartbeats.
const RECORD_GOES: Duration = Duration::from_millis(1_200);

/// Time for which a leaving endpoint still takes requests: long enough to see new work that comes
/// too late.
const LEAVES: Duration = Duration::from_millis(8_500);

/// Part of the leaving endpoints whose record goes in place of an announcement.
const LEAVES_UNANNOUNCED: f64 = 0.3;

/// Time for a process to end once it was killed.
const DIES: Duration = Duration::from_secs(20);

/// Brings a fault about, and ends it.
pub async fn play(site: Arc<Site>, fault: Fault, mut random: SmallRng) -> std::io::Result<()> {
    let lasts = Duration::from_millis(random.random_range(LASTS));
    let node = random.random_range(0..site.nodes.len());
    match fault {
        Fault::Kill => kill(&site, node, &mut random).await?,
        Fault::Freeze => freeze(&site, node, lasts).await,
        Fault::Stop => stop(&site, node, &mut random).await?,
        Fault::Rolling => {
            for node in 0..site.nodes.len() {
                stop(&site, node, &mut random).await?;
            }
        }
        Fault::Reload => {
            site.nodes[node].write_settings()?;
            site.nodes[node].signal(Signal::SIGHUP);
        }
        Fault::Configure => site.configure(),
        Fault::Storm => {
            site.grow();
            for _ in 0..5 {
                site.configure();
                sleep(lasts / 20).await;
            }
        }
        Fault::Crash => crash(&site, &mut random).await?,
        Fault::Rebirth => rebirth(&site, &mut random).await?,
        Fault::Release => release(&site, &mut random).await?,
        Fault::Grey => grey(&site, lasts, &mut random).await,
        Fault::Silence => silence(&site, lasts, &mut random).await,
        Fault::Need => need(&site, lasts, &mut random).await,
        Fault::Partition => partition(&site, &mut random).await,
        Fault::EndpointWay => endpoint_way(&site, lasts, &mut random).await,
        Fault::StoreWay => {
            let mode = choose(&DISTURBING, &mut random);
            site.disturb();
            site.ways[node].set(mode);
            sleep(lasts).await;
            site.ways[node].set(Mode::Pass);
            site.disturb();
        }
        Fault::Store => store(&site, choose(&TROUBLES, &mut random), lasts).await,
        Fault::Lapse => lapse(&site, lasts).await,
        Fault::Compact => {
            site.disturb();
            site.store.compact();
        }
    }
    Ok(())
}

fn choose<T: Copy>(all: &[T], random: &mut SmallRng) -> T {
    all[random.random_range(0..all.len())]
}

async fn kill(site: &Site, node: usize, random: &mut SmallRng) -> std::io::Result<()> {
    site.disturb();
    site.nodes[node].signal(Signal::SIGKILL);
    // Another fault may have ended it and start it again at this moment: then what runs was not killed, and does not end.
    let _ = timeout(DIES, site.nodes[node].ended()).await;
    sleep(Duration::from_millis(random.random_range(RESTARTS))).await;
    site.nodes[node].start().await?;
    site.disturb();
    Ok(())
}

async fn freeze(site: &Site, node: usize, lasts: Duration) {
    site.disturb();
    site.nodes[node].signal(Signal::SIGSTOP);
    sleep(lasts).await;
    site.nodes[node].signal(Signal::SIGCONT);
    site.disturb();
}

/// Stops a node as planned: told first, killed when its grace is over.
async fn stop(site: &Site, node: usize, random: &mut SmallRng) -> std::io::Result<()> {
    let it = &site.nodes[node];
    site.disturb();
    it.signal(Signal::SIGTERM);
    if timeout(Duration::from_secs(GRACE_S), it.ended()).await.is_err() {
        it.signal(Signal::SIGCONT);
        it.signal(Signal::SIGKILL);
        let _ = timeout(DIES, it.ended()).await;
    }
    sleep(Duration::from_millis(random.random_range(RESTARTS))).await;
    it.start().await?;
    site.disturb();
    Ok(())
}

fn endpoint(site: &Site, random: &mut SmallRng) -> Option<String> {
    site.steady().choose(random).cloned()
}

async fn crash(site: &Site, random: &mut SmallRng) -> std::io::Result<()> {
    let Some(id) = endpoint(site, random) else {
        return Ok(());
    };
    let place = site.with(&id, |it| it.place);
    let gone = site.remove(&id);
    sleep(RECORD_GOES).await;
    site.forget(&id);
    sleep(Duration::from_millis(random.random_range(RESTARTS))).await;
    match (place, gone) {
        (Some(place), Some(gone)) => site.add(place, gone.stage(), gone.software).await,
        _ => Ok(()),
    }
}

/// Its record stands until the next incarnation writes its own.
async fn rebirth(site: &Site, random: &mut SmallRng) -> std::io::Result<()> {
    let Some(id) = endpoint(site, random) else {
        return Ok(());
    };
    let place = site.with(&id, |it| it.place);
    let ended = site.remove(&id);
    sleep(Duration::from_millis(random.random_range(RESTARTS))).await;
    match (place, ended) {
        (Some(place), Some(ended)) => {
            let software = site.software(random.random_range(0..usize::MAX));
            site.start_endpoint(id, place, ended.stage(), software).await
        }
        _ => Ok(()),
    }
}

async fn release(site: &Site, random: &mut SmallRng) -> std::io::Result<()> {
    let Some(id) = endpoint(site, random) else {
        return Ok(());
    };
    let Some((place, stage)) = site.with(&id, |it| (it.place, it.endpoint.stage())) else {
        return Ok(());
    };
    site.add(place, stage, site.software(random.random_range(0..usize::MAX))).await?;
    site.leave(&id, random.random_bool(LEAVES_UNANNOUNCED));
    sleep(LEAVES).await;
    site.remove(&id);
    site.forget(&id);
    Ok(())
}

/// Cuts off one node, some, or all but one.
async fn partition(site: &Site, random: &mut SmallRng) {
    let mode = choose(&PARTITIONS, random);
    let count = random.random_range(1..site.nodes.len().max(2));
    let first = random.random_range(0..site.nodes.len());
    let cut_off = (first..first + count).map(|node| node % site.nodes.len());
    let cut_off: Vec<usize> = cut_off.collect();
    cut_off.iter().for_each(|node| site.partition(*node, mode));
    sleep(Duration::from_millis(random.random_range(PARTITION_LASTS))).await;
    cut_off.iter().for_each(|node| site.partition(*node, Mode::Pass));
}

async fn grey(site: &Site, lasts: Duration, random: &mut SmallRng) {
    let fault = choose(&FAULTS, random);
    let one_in = random.random_range(2..8);
    let Some(id) = endpoint(site, random) else {
        return;
    };
    site.with(&id, |it| it.endpoint.inject_fault(Some((fault, one_in))));
    sleep(lasts).await;
    site.with(&id, |it| it.endpoint.inject_fault(None));
}

async fn silence(site: &Site, lasts: Duration, random: &mut SmallRng) {
    let Some(id) = endpoint(site, random) else {
        return;
    };
    site.with(&id, |it| it.endpoint.stall(true));
    sleep(lasts).await;
    site.with(&id, |it| it.endpoint.stall(false));
}

async fn need(site: &Site, lasts: Duration, random: &mut SmallRng) {
    let Some(id) = endpoint(site, random) else {
        return;
    };
    for _ in 0..NAMED {
        let rate = choose(&RATES, random);
        site.with(&id, |it| it.endpoint.set_limit(Some(rate)));
        sleep(lasts).await;
    }
    site.with(&id, |it| it.endpoint.set_limit(None));
}

async fn endpoint_way(site: &Site, lasts: Duration, random: &mut SmallRng) {
    let mode = choose(&DISTURBING, random);
    let Some(id) = endpoint(site, random) else {
        return;
    };
    site.with(&id, |it| {
        it.endpoint.set_disturbed(true);
        it.proxy.set(mode);
    });
    sleep(lasts).await;
    site.with(&id, |it| {
        it.proxy.set(Mode::Pass);
        // What was held back may still break off what began meanwhile.
        it.endpoint.set_disturbed(false);
    });
}

async fn store(site: &Site, trouble: Trouble, lasts: Duration) {
    site.disturb();
    site.store.trouble(trouble);
    sleep(lasts).await;
    site.store.trouble(Trouble::None);
    site.disturb();
}

/// The store is away, endpoints' records lapse meanwhile, and are back soon after its return.
async fn lapse(site: &Site, lasts: Duration) {
    site.disturb();
    site.store.trouble(Trouble::Busy);
    sleep(lasts).await;
    site.lapse();
    site.store.trouble(Trouble::None);
    sleep(Duration::from_millis(700)).await;
    site.announce_all();
    site.disturb();
}
