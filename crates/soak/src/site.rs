//! The site under soak: store, endpoints and nodes, and what is disturbed.

use crate::closes::Closes;
use crate::crowd::Crowd;
use crate::fault::Mix;
use crate::node::Node;
use crate::pressure::{Bursts, Pressure};
use crate::proxy::{Mode, Proxy};
use crate::reach::Reach;
use crate::returns::Returns;
use crosslane_platform_standins::endpoint::{Endpoint, Engines, Stage};
use crosslane_platform_standins::ledger::{Kind, Ledger};
use crosslane_platform_standins::ports;
use crosslane_platform_standins::repeats::Budget;
use crosslane_platform_standins::serve::Server;
use crosslane_platform_standins::store::{CONFIGURATION, ENDPOINTS, OPERATORS, Store};
use crosslane_platform_standins::texts::{self, Place};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::time::sleep;

/// Routes by which the configuration grows at once.
const GROWTH: u64 = 1_500;

/// Most routes that nobody asks for: more than any site has.
const MOST_BESIDES: u64 = 7_500;

/// Time after a disturbance by which everything that was missed must have been caught up with:
/// three times what a node takes, since the machine may be busy.
pub const SETTLED: Duration = Duration::from_secs(6);

/// Failure domains.
const DOMAINS: [&str; 3] = ["aarau", "olten", "solothurn"];

/// Time after which an endpoint is back that crashed under a request.
const BACK: Duration = Duration::from_millis(1_500);

/// Sites of this process so far: each has addresses of its own, since the metrics' port is the same for all.
static SITES: AtomicU32 = AtomicU32::new(0);

/// Sites of one process at the same time.
const SITES_A_PROCESS: u32 = 4;

/// Time from a stop's announcement to the kill, in seconds.
pub const GRACE_S: u64 = 8;

/// How many of each there are, and how long the soak lasts.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of all choices.
    pub seed: u64,
    /// Nodes.
    pub nodes: usize,
    /// Engines, both stages together.
    pub engines: usize,
    /// Plain endpoints.
    pub pages: usize,
    /// Callers.
    pub callers: usize,
    /// Time in which faults begin.
    pub time: Duration,
    /// Whether nodes are partitioned from all endpoints.
    pub partitions: bool,
    /// Which faults are played.
    pub mix: Mix,
    /// Whether most callers gather at one node, again and again.
    pub gathering: bool,
    /// Additional load.
    pub pressure: Pressure,
    /// Retry budget of each service.
    pub retry_budget: Budget,
    /// Software versions that endpoints run side by side.
    pub versions: usize,
    /// `crosslaned`.
    pub program: PathBuf,
}

/// An endpoint that takes requests.
#[derive(Debug)]
pub struct Served {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// When it started: later ones have higher numbers.
    born: u64,
    /// Its place, which a successor keeps.
    pub place: usize,
    /// The way to it.
    pub proxy: Proxy,
    /// Ways from each node to it.
    ways: Vec<Proxy>,
    /// Address at which nodes reach it.
    address: SocketAddr,
    _server: Server,
    leaving: bool,
    /// Whether it leaves without saying so: its record is gone.
    unannounced: bool,
}

/// Everything.
#[derive(Debug)]
pub struct Site {
    /// What is seen.
    pub ledger: Ledger,
    /// Store.
    pub store: Store,
    /// Ways from each node to the store.
    pub ways: Vec<Proxy>,
    /// Nodes.
    pub nodes: Vec<Node>,
    served: Mutex<Vec<Served>>,
    /// Modes of the ways from each node to all endpoints.
    partitions: Mutex<Vec<Mode>>,
    /// Since when nodes are cut off from all endpoints, and what that did to their callers.
    pub reach: Reach,
    /// Callers who gather at one node.
    pub crowd: Crowd,
    /// Callers who came back with their streams.
    pub returns: Returns,
    /// How answers without length or chunks ended.
    pub closes: Closes,
    /// Callers of different priority that competed.
    pub bursts: Bursts,
    /// Additional load, and the seed of all choices.
    pressure: (Pressure, u64),
    engines: Engines,
    version: AtomicU64,
    /// Routes in it that nobody asks for.
    besides: AtomicU64,
    /// Connections that a plain endpoint accepts from all nodes together; zero for any number.
    max_connections: AtomicU32,
    /// When the newest configuration was accepted.
    accepted: Mutex<Instant>,
    disturbed: Mutex<Instant>,
    started: AtomicU64,
    /// Told of endpoints that crashed under a request.
    crashes: UnboundedSender<String>,
    /// Number of software versions.
    versions: usize,
    _store_server: Server,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Site {
    /// Starts everything; nodes become ready in their own time.
    pub async fn start(plan: &Plan, folder: &Path) -> io::Result<Arc<Self>> {
        let store = Store::default();
        let store_server = store.serve().await?;
        let mut ways = Vec::new();
        for _ in 0..plan.nodes {
            ways.push(Proxy::start(store_server.address).await?);
        }
        let nodes = nodes(plan, &ways, folder)?;
        let (crashes, crashed) = mpsc::unbounded_channel();
        let site = Self {
            ledger: Ledger::default(),
            store,
            ways,
            nodes,
            served: Mutex::default(),
            partitions: Mutex::new(vec![Mode::Pass; plan.nodes]),
            reach: Reach::new(plan.nodes),
            crowd: Crowd::default(),
            returns: Returns::default(),
            bursts: Bursts::default(),
            closes: Closes::new(plan.pressure.unframed),
            pressure: (plan.pressure, plan.seed),
            engines: Engines::default(),
            version: AtomicU64::new(0),
            besides: AtomicU64::new(0),
            max_connections: AtomicU32::new(0),
            accepted: Mutex::new(Instant::now()),
            disturbed: Mutex::new(Instant::now()),
            started: AtomicU64::new(0),
            crashes,
            versions: plan.versions,
            _store_server: store_server,
        };
        site.configure();
        for place in 0..plan.engines + plan.pages {
            // Too many prefill at first, so that orders are due.
            let stage = match place {
                place if place >= plan.engines => Stage::Plain,
                place if place * 2 < plan.engines => Stage::Prefill,
                _ => Stage::Decode,
            };
            site.add(place, stage, site.software(place)).await?;
        }
        for node in &site.nodes {
            node.start().await?;
        }
        let site = Arc::new(site);
        tokio::spawn(bear_again(Arc::downgrade(&site), crashed));
        Ok(site)
    }

    /// Publishes the next configuration. Numbered and written in one step, since versions rise in the store.
    pub fn configure(&self) {
        let mut accepted = lock(&self.accepted);
        let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
        let besides = self.besides.load(Ordering::Relaxed);
        let configuration = texts::configuration(version, besides);
        // What was just written as JSON can be read.
        let mut bytes = texts::with_organisations(&configuration, version).unwrap_or(configuration);
        if self.pressure.0.bursts {
            bytes = texts::with_priorities(&bytes).unwrap_or(bytes);
        }
        let most = self.max_connections.load(Ordering::Relaxed);
        if most > 0 {
            bytes = texts::with_max_connections(&bytes, most).unwrap_or(bytes);
        }
        self.store.put(OPERATORS, CONFIGURATION, Some(bytes));
        *accepted = Instant::now();
    }

    /// Has the configuration name how many connections a plain endpoint accepts from all nodes together.
    pub fn set_max_connections(&self, most: u32) {
        self.max_connections.store(most, Ordering::Relaxed);
        self.configure();
    }

    /// Has the configurations to come be larger, up to some 1.5 MB.
    pub fn grow(&self) {
        if self.besides.load(Ordering::Relaxed) < MOST_BESIDES {
            self.besides.fetch_add(GROWTH, Ordering::Relaxed);
        }
    }

    /// The newest configuration, and since when it is accepted.
    pub fn configuration(&self) -> (u64, Instant) {
        (self.version.load(Ordering::Relaxed), *lock(&self.accepted))
    }

    /// A software version, by any number.
    pub fn software(&self, number: usize) -> String {
        format!("v{}", 1 + number % self.versions)
    }

    /// Adds an endpoint of a software version in a place.
    pub async fn add(&self, place: usize, stage: Stage, software: String) -> io::Result<()> {
        let number = self.started.load(Ordering::Relaxed);
        self.start_endpoint(format!("e{place}-{number}"), place, stage, software).await
    }

    /// Starts an endpoint under an id, which one that ended may have had.
    pub async fn start_endpoint(
        &self,
        id: String,
        place: usize,
        stage: Stage,
        software: String,
    ) -> io::Result<()> {
        let born = self.started.fetch_add(1, Ordering::Relaxed);
        let endpoint = Endpoint::new(
            id,
            stage,
            software,
            self.ledger.clone(),
            self.engines.clone(),
            self.crashes.clone(),
        );
        let (pressure, seed) = self.pressure;
        pressure.apply(&endpoint, place, seed);
        let server = endpoint.serve().await?;
        let proxy = Proxy::start(server.address).await?;
        proxy.set_surplus(pressure.surplus);
        let mut served = lock(&self.served);
        let ways = self.start_ways(proxy.address)?;
        let port = ways.first().map_or(0, |way| way.address.port());
        let address = SocketAddr::new(Ipv4Addr::UNSPECIFIED.into(), port);
        self.engines.add(address.to_string(), endpoint.clone());
        let served_now = Served {
            endpoint,
            born,
            place,
            proxy,
            ways,
            address,
            _server: server,
            leaving: false,
            unannounced: false,
        };
        self.announce(&served_now);
        served.push(served_now);
        Ok(())
    }

    /// Opens ways from all nodes to a server, under a port that is free at all of them, also while they don't run. A node that
    /// connects to the unspecified address from its own one gets to its own one.
    fn start_ways(&self, server: SocketAddr) -> io::Result<Vec<Proxy>> {
        let modes = lock(&self.partitions).clone();
        let first = &self.nodes[0];
        loop {
            let port = ports::free_except(first.ip(), &first.ports())?;
            let ways = self.nodes.iter().zip(&modes).map(|(node, mode)| {
                Proxy::start_at(SocketAddr::new(node.ip(), port), server, *mode)
            });
            match ways.collect() {
                Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
                started => return started,
            }
        }
    }

    /// Partitions a node from all endpoints, or ends that.
    pub fn partition(&self, node: usize, mode: Mode) {
        let served = lock(&self.served);
        lock(&self.partitions)[node] = mode;
        self.reach.partition(node, mode != Mode::Pass);
        served.iter().for_each(|it| it.ways[node].set(mode));
    }

    fn announce(&self, served: &Served) {
        let domain = DOMAINS[served.place % DOMAINS.len()];
        let stage = served.endpoint.stage();
        let Served { address, leaving, born, .. } = served;
        let software = &served.endpoint.software;
        let record = texts::record(*address, stage, domain, software, *leaving, *born);
        let record = (!served.unannounced).then_some(record);
        self.store.put(ENDPOINTS, &served.endpoint.id, record);
    }

    /// Renews the records of endpoints whose stage may have changed, or that the store lost.
    pub fn announce_all(&self) {
        lock(&self.served).iter().for_each(|it| self.announce(it));
    }

    /// Drops the records of all endpoints, as a store does that was away for long.
    pub fn lapse(&self) {
        lock(&self.served).iter().for_each(|it| self.store.put(ENDPOINTS, &it.endpoint.id, None));
    }

    /// Endpoints that are not leaving, by id.
    pub fn steady(&self) -> Vec<String> {
        let served = lock(&self.served);
        served.iter().filter(|it| !it.leaving).map(|it| it.endpoint.id.clone()).collect()
    }

    /// Endpoints that run a kind of request now.
    pub fn serving(&self, kind: Kind) -> usize {
        let stage = if kind.streams() { Stage::Decode } else { Stage::Plain };
        lock(&self.served).iter().filter(|it| !it.leaving && it.endpoint.stage() == stage).count()
    }

    /// Engines of a software version that generate tokens now.
    pub fn generating(&self, software: &str) -> usize {
        let served = lock(&self.served);
        let generates = |it: &&Served| !it.leaving && it.endpoint.stage() == Stage::Decode;
        served.iter().filter(generates).filter(|it| it.endpoint.software == software).count()
    }

    /// Does something with all endpoints.
    pub fn with_all(&self, mut act: impl FnMut(&Endpoint)) {
        lock(&self.served).iter().for_each(|it| act(&it.endpoint));
    }

    /// Looks at an endpoint, if it still takes requests.
    pub fn with<T>(&self, id: &str, look: impl FnOnce(&Served) -> T) -> Option<T> {
        let served = lock(&self.served);
        served.iter().find(|it| it.endpoint.id == id).map(look)
    }

    /// Announces an endpoint as leaving, or drops its record; it takes requests until it is removed.
    pub fn leave(&self, id: &str, unannounced: bool) {
        let mut served = lock(&self.served);
        if let Some(served) = served.iter_mut().find(|it| it.endpoint.id == id) {
            served.leaving = true;
            served.unannounced = unannounced;
            served.endpoint.forbid_work_from(Some(Instant::now() + SETTLED));
            self.announce(served);
        }
    }

    /// Ends an endpoint with all its connections; its record goes later.
    pub fn remove(&self, id: &str) -> Option<Endpoint> {
        self.ledger.disturb(id);
        let mut served = lock(&self.served);
        let place = served.iter().position(|it| it.endpoint.id == id)?;
        let removed = served.remove(place);
        Some(removed.endpoint)
    }

    /// Drops the record of an endpoint that ended.
    pub fn forget(&self, id: &str) {
        self.store.put(ENDPOINTS, id, None);
    }

    /// Notes that nodes or the store are disturbed now, or no longer.
    pub fn disturb(&self) {
        let now = Instant::now();
        *lock(&self.disturbed) = now;
        let served = lock(&self.served);
        let leaving = served.iter().filter(|it| it.leaving);
        leaving.for_each(|it| it.endpoint.forbid_work_from(Some(now + SETTLED)));
    }

    /// Whether some node is in touch and was not cut off for some time.
    pub fn some_node_reaches_endpoints(&self, time: Duration) -> bool {
        let mut nodes = self.nodes.iter().enumerate();
        nodes.any(|(place, node)| node.life().in_touch(time) && self.reach.has_way(place, time))
    }

    /// Whether nodes and the store have been left alone for so long that nothing is missed.
    pub fn calm(&self) -> bool {
        lock(&self.disturbed).elapsed() > SETTLED
    }

    /// Ends every fault: ways pass, the store works, processes run.
    pub async fn mend(&self) -> io::Result<()> {
        self.store.trouble(Default::default());
        self.ways.iter().for_each(|it| it.set(Mode::Pass));
        (0..self.nodes.len()).for_each(|node| self.partition(node, Mode::Pass));
        for served in lock(&self.served).iter() {
            served.proxy.set(Mode::Pass);
            served.endpoint.inject_fault(None);
            served.endpoint.stall(false);
            served.endpoint.set_limit(None);
        }
        for node in &self.nodes {
            node.signal(nix::sys::signal::Signal::SIGCONT);
            node.start().await?;
        }
        self.announce_all();
        Ok(())
    }
}

/// Starts endpoints again that crashed under a request, under their ids.
async fn bear_again(site: Weak<Site>, mut crashed: UnboundedReceiver<String>) {
    while let Some(id) = crashed.recv().await {
        let Some(here) = site.upgrade() else { return };
        let place = here.with(&id, |it| it.place);
        let (Some(place), Some(ended)) = (place, here.remove(&id)) else { continue };
        let site = site.clone();
        tokio::spawn(async move {
            sleep(BACK).await;
            if let Some(site) = site.upgrade() {
                // A port of loopback can always be had; without one the endpoint stays away.
                let _ = site.start_endpoint(id, place, ended.stage(), ended.software).await;
            }
        });
    }
}

/// Nodes on loopback addresses that no other soak uses at the same time.
fn nodes(plan: &Plan, ways: &[Proxy], folder: &Path) -> io::Result<Vec<Node>> {
    let process = std::process::id();
    let site = SITES.fetch_add(1, Ordering::Relaxed);
    let number = process.wrapping_mul(SITES_A_PROCESS).wrapping_add(site % SITES_A_PROCESS);
    let (high, low) = ((number / 250 % 250 + 1) as u8, (number % 250 + 1) as u8);
    let ip = |place: usize| IpAddr::V4(Ipv4Addr::new(127, high, low, place as u8 + 1));
    let ips: Vec<IpAddr> = (0..plan.nodes).map(ip).collect();
    // All nodes use the same ports. What connections of a former site at these addresses left behind holds some of them.
    let [callers, ready, peers] = ports::free_at_all(&ips)?;
    let seeds: Vec<IpAddr> = (0..plan.nodes.min(3)).map(ip).collect();
    let node = |(place, way): (usize, &Proxy)| {
        let place = Place {
            vm: format!("entry-{place}"),
            ip: ip(place),
            domain: DOMAINS[place % DOMAINS.len()].into(),
            callers,
            ready,
            peers,
            seeds: seeds.clone(),
            store: way.address,
            grace_s: GRACE_S,
            retry_budget: plan.retry_budget,
            first_start: true,
        };
        Node::new(place, &plan.program, folder)
    };
    Ok(ways.iter().enumerate().map(node).collect())
}
