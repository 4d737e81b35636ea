//! A node put together: what its parts share, and how it starts and ends.

use crate::claims::Writer;
use crate::clock::{self, Clock};
use crate::http::{Client, ResponseBody};
use crate::keeper::Keeper;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::platform::Platform;
use crate::tape::Tape;
use crate::{drain, entry, follower, operator, pulse, rpc, serve, sweep};
use crosslane_coordination::node::{Node, Options};
use crosslane_coordination::program::{self, Program};
use crosslane_coordination::record::Record;
use crosslane_protocol::settings::Settings;
use crosslane_state::attempt;
use crosslane_state::incarnation::Incarnation;
use crosslane_state::member::Member;
use crosslane_state::policy::Version;
use crosslane_state::request::Key;
use crosslane_state::runner::Table;
use crosslane_state::time::Millis;
use derive_more::{Display, Error};
use hyper::body::Incoming;
use hyper::{Request, Response};
use log::{error, info};
use ractor::SpawnErr;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Heartbeats missed by this process itself before it counts as paused.
const PAUSED_BEATS: u64 = 4;

/// Pause between two tries to start.
const START_PAUSE: Duration = Duration::from_millis(200);

/// Time for the last bytes of answers to be sent.
const LAST_BYTES: Duration = Duration::from_secs(5);

/// Time for a request to wait until a paused node has caught up.
const FRESH: Duration = Duration::from_secs(5);

/// Why a node can't start.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// An address can't be listened on.
    #[display("can't listen on {address}: {source}")]
    Listen {
        /// Address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The metrics socket can't be opened.
    #[display("can't open the metrics socket: {source}")]
    Metrics {
        /// What the system says.
        source: io::Error,
    },
    /// An actor did not start.
    #[display("an actor did not start: {source}")]
    Actor {
        /// What the library says.
        source: SpawnErr,
    },
}

/// Where a node stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Does not yet hold the policy in force.
    Starting,
    /// Takes requests.
    Serving,
    /// Announced as leaving: takes requests for a moment more.
    Leaving {
        /// Since when.
        since: Millis,
    },
    /// Has given everything up: safe to stop.
    Stopped,
    /// Was replaced, or met a record that it can't read: takes nothing.
    Fenced,
}

/// Policy in force at this node.
#[derive(Debug)]
pub struct Policy {
    /// Its version.
    pub version: Version,
    /// Its program.
    pub program: Program,
}

/// Attempts in progress, with the VMs that they touch.
#[derive(Debug, Default)]
pub struct Flights {
    attempts: Mutex<HashMap<attempt::Id, Vec<String>>>,
}

impl Flights {
    /// Begins an attempt.
    pub fn begin(&self, attempt: attempt::Id) {
        self.lock().insert(attempt, Vec::new());
    }

    /// Notes that an attempt touches a VM.
    pub fn touch(&self, attempt: attempt::Id, vm: &str) {
        if let Some(vms) = self.lock().get_mut(&attempt) {
            vms.push(vm.to_owned());
        }
    }

    /// Ends an attempt.
    pub fn end(&self, attempt: attempt::Id) {
        self.lock().remove(&attempt);
    }

    /// Which attempts are in progress.
    pub fn wanted(&self, attempts: &[attempt::Id]) -> Vec<bool> {
        let held = self.lock();
        attempts.iter().map(|it| held.contains_key(it)).collect()
    }

    /// How many attempts touch a VM.
    pub fn touching(&self, vm: &str) -> u32 {
        self.lock().values().filter(|vms| vms.iter().any(|it| it == vm)).count() as u32
    }

    /// How many attempts there are.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<attempt::Id, Vec<String>>> {
        self.attempts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What the parts of a node share.
pub struct Shared {
    /// Settings.
    pub settings: Settings,
    /// This start.
    pub me: Incarnation,
    /// This node as others know it.
    pub member: Member,
    /// Clock.
    pub clock: Clock,
    /// HTTP client.
    pub client: Client,
    /// Platform's services.
    pub platform: Platform,
    /// Decisions.
    pub keeper: Keeper,
    /// Other nodes.
    pub peers: Peers,
    /// Counters.
    pub metrics: Metrics,
    /// Claims.
    pub claims: Writer,
    /// Attempts in progress.
    pub flights: Flights,
    tapes: Mutex<HashMap<Key, Arc<Tape>>>,
    /// Where the node stands.
    pub phase: watch::Sender<Phase>,
    policy: RwLock<Arc<Policy>>,
    in_progress: AtomicUsize,
    sequence: AtomicU64,
    ticked: AtomicU64,
    log_answers: AtomicBool,
    member_now: AtomicBool,
    on_duty: AtomicBool,
}

/// Counts a request as in progress until dropped.
pub struct Progress {
    shared: Arc<Shared>,
}

impl Drop for Progress {
    fn drop(&mut self) {
        let left = self.shared.in_progress.fetch_sub(1, Ordering::Relaxed) - 1;
        self.shared.metrics.in_progress(left as u64);
    }
}

impl Shared {
    /// Counts a request as in progress.
    pub fn progress(self: &Arc<Self>) -> Progress {
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        Progress { shared: self.clone() }
    }

    /// Requests in progress.
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Relaxed)
    }

    /// Outputs of keyed requests in progress.
    pub fn tapes(&self) -> MutexGuard<'_, HashMap<Key, Arc<Tape>>> {
        self.tapes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number for a new request.
    pub fn sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::Relaxed)
    }

    /// Policy in force here.
    pub fn policy(&self) -> Arc<Policy> {
        self.policy.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Puts a policy in force; an older version changes nothing.
    pub fn set_policy(&self, version: Version, program: Program) {
        let mut policy = self.policy.write().unwrap_or_else(PoisonError::into_inner);
        if version > policy.version {
            *policy = Arc::new(Policy { version, program });
        }
    }

    /// Whether the log answered last time.
    pub fn log_answers(&self) -> bool {
        self.log_answers.load(Ordering::Relaxed)
    }

    /// Notes whether the log answers; returns what held before.
    pub fn set_log_answers(&self, answers: bool) -> bool {
        self.log_answers.swap(answers, Ordering::Relaxed)
    }

    /// Whether the log has this node as a member.
    pub fn is_member(&self) -> bool {
        self.member_now.load(Ordering::Relaxed)
    }

    /// Notes whether the log has this node as a member; one that was removed, and did not
    /// leave by itself, is fenced.
    pub fn note_membership(&self, member: bool) {
        let before = self.member_now.swap(member, Ordering::Relaxed);
        let leaving = matches!(*self.phase.borrow(), Phase::Leaving { .. } | Phase::Stopped);
        if before && !member && !leaving {
            self.fence("replaced");
        }
    }

    /// Takes no more requests, for good.
    pub fn fence(&self, reason: &str) {
        if *self.phase.borrow() != Phase::Fenced {
            error!(event = "fenced", reason = reason; "");
            self.phase.send_replace(Phase::Fenced);
        }
    }

    /// Notes that this process runs.
    pub fn tick(&self) {
        self.ticked.store(self.clock.now().0, Ordering::Relaxed);
    }

    /// Whether this process stood still.
    pub fn paused(&self) -> bool {
        let ticked = Millis(self.ticked.load(Ordering::Relaxed));
        let silence = self.clock.now().since(ticked);
        silence > PAUSED_BEATS * self.settings.timing.beat_millis
    }

    /// Waits until a paused process has caught up; false when it may not dispatch.
    pub async fn fresh(&self) -> bool {
        let started = self.clock.now();
        while self.paused() {
            if self.clock.now().since(started) > FRESH.as_millis() as u64 {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        *self.phase.borrow() != Phase::Fenced
    }

    /// Takes the slower duties, unless they are still being done.
    pub fn busy_with_duties(&self) -> bool {
        self.on_duty.swap(true, Ordering::Relaxed)
    }

    /// Ends the slower duties.
    pub fn done_with_duties(&self) {
        self.on_duty.store(false, Ordering::Relaxed);
    }

    /// The member or guest with an incarnation.
    pub async fn member(&self, incarnation: Incarnation) -> Option<Member> {
        self.keeper.visit(move |node, _| node.member(incarnation).cloned()).await
    }
}

/// Addresses that a node turned out to listen on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Callers.
    pub callers: SocketAddr,
    /// Operators.
    pub operator: SocketAddr,
    /// Other nodes' control messages.
    pub control: SocketAddr,
}

/// A started node.
pub struct Handle {
    /// What its parts share.
    pub shared: Arc<Shared>,
    /// Where it listens.
    pub addresses: Addresses,
    stop: watch::Sender<bool>,
    servers: Vec<JoinHandle<()>>,
}

/// Starts a node: listens, and begins to catch up with the log.
pub async fn start(settings: Settings) -> Result<Handle, StartError> {
    let callers = listen(settings.listen.callers).await?;
    let forward = listen(settings.listen.forward).await?;
    let control = listen(settings.listen.control).await?;
    let operators = listen(settings.listen.operator).await?;
    let addresses = Addresses {
        callers: local(&callers)?,
        operator: local(&operators)?,
        control: local(&control)?,
    };
    let shared = share(settings, addresses.control, local(&forward)?).await?;
    Writer::start(shared.clone()).await.map_err(|source| StartError::Actor { source })?;
    let (stop, stopped) = watch::channel(false);

    let limits = serve::Limits {
        header_bytes: shared.settings.limits.header_bytes,
        connections: shared.settings.limits.connections,
        header_timeout: Duration::from_millis(shared.settings.limits.read_millis),
    };
    let from_callers = handler(shared.clone(), entry::handle_caller);
    let callers = tokio::spawn(serve::serve(callers, limits, stopped.clone(), from_callers));
    let inner = serve::Limits { header_bytes: limits.header_bytes * 2, ..Default::default() };
    let from_nodes = handler(shared.clone(), entry::handle_forwarded);
    let forward = tokio::spawn(serve::serve(forward, inner, stopped.clone(), from_nodes));
    let from_operators = handler(shared.clone(), operator::handle);
    tokio::spawn(serve::serve(operators, serve::Limits::default(), stopped, from_operators));
    tokio::spawn(rpc::serve(control, shared.clone()));
    tokio::spawn(join(shared.clone()));
    tokio::spawn(pulse::run(shared.clone()));
    tokio::spawn(sweep::run(shared.clone()));
    tokio::spawn(drain::watch(shared.clone()));
    Ok(Handle { shared, addresses, stop, servers: vec![callers, forward] })
}

impl Handle {
    /// Leaves, and resolves once it is safe to stop and every answer has been sent.
    pub async fn leave(self) {
        drain::announce(&self.shared);
        let mut phase = self.shared.phase.subscribe();
        let _ = phase.wait_for(|it| matches!(it, Phase::Stopped | Phase::Fenced)).await;
        self.stop.send_replace(true);
        let servers = futures::future::join_all(self.servers);
        let _ = tokio::time::timeout(LAST_BYTES, servers).await;
    }

    /// Resolves once the node has been replaced and can do nothing more.
    pub async fn fenced(&self) {
        let mut phase = self.shared.phase.subscribe();
        let _ = phase.wait_for(|it| *it == Phase::Fenced).await;
    }
}

async fn share(
    settings: Settings,
    control: SocketAddr,
    forward: SocketAddr,
) -> Result<Arc<Shared>, StartError> {
    let clock = Clock::start();
    let me = clock::incarnation();
    let node = Node::new(options(&settings, me));
    let keeper =
        Keeper::start(node, clock.clone()).await.map_err(|source| StartError::Actor { source })?;
    let metrics = Metrics::new(settings.statsd).map_err(|source| StartError::Metrics { source })?;
    let client = Client::default();
    let limit = Duration::from_millis(settings.timing.platform_millis);
    let default = Program::compile(program::DEFAULT).expect("the default policy compiles");
    Ok(Arc::new(Shared {
        me,
        member: Member {
            incarnation: me,
            vm: settings.vm.clone(),
            domain: settings.domain.clone(),
            control,
            forward,
        },
        clock,
        platform: Platform::new(client.clone(), settings.log, settings.vms, limit),
        client,
        keeper,
        peers: Peers::default(),
        metrics,
        claims: Writer::default(),
        flights: Flights::default(),
        tapes: Mutex::default(),
        phase: watch::Sender::new(Phase::Starting),
        policy: RwLock::new(Arc::new(Policy { version: Version(0), program: default })),
        in_progress: AtomicUsize::new(0),
        sequence: AtomicU64::new(0),
        ticked: AtomicU64::new(0),
        log_answers: AtomicBool::new(false),
        member_now: AtomicBool::new(false),
        on_duty: AtomicBool::new(false),
        settings,
    }))
}

fn options(settings: &Settings, me: Incarnation) -> Options {
    let mut table = Table::default();
    for runner in &settings.runners {
        table.insert(runner.clone());
    }
    Options {
        incarnation: me,
        domain: settings.domain.clone(),
        table,
        mode: settings.placement.mode,
        retry_percent: settings.placement.retry_percent,
        suspect_millis: settings.timing.suspect_millis,
        neighbours: settings.neighbours,
        grant_early: settings.placement.ahead,
        ledger: settings.ledger,
        seed: me.0,
    }
}

/// Catches up with the log, or with a node while the log is out, and joins.
async fn join(shared: Arc<Shared>) {
    while !follower::catch_up(&shared).await {
        if pulse::snapshot(&shared).await {
            break;
        }
        tokio::time::sleep(START_PAUSE).await;
    }
    let record = Record::Join { member: shared.member.clone() };
    if follower::append(&shared, &record).await {
        shared.set_log_answers(true);
        while !shared.is_member() && follower::catch_up(&shared).await {}
    }
    pulse::greet(&shared).await;
    let start = |phase: &mut Phase| {
        let starting = *phase == Phase::Starting;
        if starting {
            *phase = Phase::Serving;
        }
        starting
    };
    shared.phase.send_if_modified(start);
    info!(event = "ready", member = shared.is_member(); "");
    tokio::spawn(follower::claims(shared.clone()));
    follower::control(shared).await;
}

fn handler<F>(
    shared: Arc<Shared>,
    handle: fn(Arc<Shared>, Request<Incoming>) -> F,
) -> impl Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static
where
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    move |request| handle(shared.clone(), request)
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|source| StartError::Listen { address, source })
}

fn local(listener: &TcpListener) -> Result<SocketAddr, StartError> {
    let unknown = SocketAddr::from(([0, 0, 0, 0], 0));
    listener.local_addr().map_err(|source| StartError::Listen { address: unknown, source })
}
