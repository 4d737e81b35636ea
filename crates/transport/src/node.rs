//! A node: the state that its parts share, its startup and its shutdown.

use crate::buffer::Buffer;
use crate::claims::Writer;
use crate::clock::{self, Clock};
use crate::http::{Client, ResponseBody};
use crate::keeper::Keeper;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::platform::Platform;
use crate::{cleanup, drain, entry, follower, heartbeat, operator, rpc, serve};
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

/// Heartbeat periods without a tick of its own after which this process counts as paused.
const PAUSED_AFTER_BEATS: u64 = 4;

/// Delay between two attempts to catch up at startup.
const START_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Time for the servers to send the rest of their responses at shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a request waits for a node to catch up after a pause.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a node can't start.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// Listening on an address failed.
    #[display("can't listen on {address}: {source}")]
    Listen {
        /// Address.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The metrics socket can't be opened.
    #[display("can't open the metrics socket: {source}")]
    Metrics {
        /// Error of the operating system.
        source: io::Error,
    },
    /// An actor did not start.
    #[display("an actor did not start: {source}")]
    Actor {
        /// Error of the actor library.
        source: SpawnErr,
    },
}

/// Lifecycle phase of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Has not yet caught up with the log and its policy.
    Starting,
    /// Accepts requests.
    Serving,
    /// Announced as leaving: accepts callers' requests until the drain time is over, and forwarded
    /// ones after it.
    Leaving {
        /// Start of the drain.
        since: Millis,
    },
    /// Holds no more work or state: safe to stop.
    Stopped,
    /// Was replaced, or read a record of a newer format: rejects all requests.
    Fenced,
}

/// Policy in force on this node.
#[derive(Debug)]
pub struct Policy {
    /// Version.
    pub version: Version,
    /// Compiled program.
    pub program: Program,
}

/// Attempts in progress, with the VMs that they use.
#[derive(Debug, Default)]
pub struct InFlight {
    attempts: Mutex<HashMap<attempt::Id, Vec<String>>>,
}

impl InFlight {
    /// Adds an attempt.
    pub fn begin(&self, attempt: attempt::Id) {
        self.lock().insert(attempt, Vec::new());
    }

    /// Records that an attempt uses a VM.
    pub fn add_vm(&self, attempt: attempt::Id, vm: &str) {
        if let Some(vms) = self.lock().get_mut(&attempt) {
            vms.push(vm.to_owned());
        }
    }

    /// Removes an attempt.
    pub fn end(&self, attempt: attempt::Id) {
        self.lock().remove(&attempt);
    }

    /// For each of the given attempts, whether it is in progress.
    pub fn still_in_use(&self, attempts: &[attempt::Id]) -> Vec<bool> {
        let in_progress = self.lock();
        attempts.iter().map(|attempt| in_progress.contains_key(attempt)).collect()
    }

    /// Number of attempts that use a VM.
    pub fn count_on(&self, vm: &str) -> u32 {
        self.lock().values().filter(|vms| vms.iter().any(|used| used == vm)).count() as u32
    }

    /// Number of attempts in progress.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether no attempt is in progress.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<attempt::Id, Vec<String>>> {
        self.attempts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// State shared by the parts of a node.
pub struct Shared {
    /// Settings.
    pub settings: Settings,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// This node's entry in the membership.
    pub member: Member,
    /// Clock.
    pub clock: Clock,
    /// HTTP client.
    pub client: Client,
    /// Client of the platform's services.
    pub platform: Platform,
    /// Actor that owns the node's decision state.
    pub keeper: Keeper,
    /// Connections to other nodes.
    pub peers: Peers,
    /// Metrics.
    pub metrics: Metrics,
    /// Writer of claims.
    pub claims: Writer,
    /// Attempts in progress.
    pub in_flight: InFlight,
    buffers: Mutex<HashMap<Key, Arc<Buffer>>>,
    /// Lifecycle phase.
    pub phase: watch::Sender<Phase>,
    policy: RwLock<Arc<Policy>>,
    in_progress: AtomicUsize,
    sequence: AtomicU64,
    last_tick: AtomicU64,
    log_answers: AtomicBool,
    is_member: AtomicBool,
    duties_running: AtomicBool,
}

/// Guard that counts a request as in progress until it is dropped.
pub struct Progress {
    shared: Arc<Shared>,
}

impl Drop for Progress {
    fn drop(&mut self) {
        let remaining = self.shared.in_progress.fetch_sub(1, Ordering::Relaxed) - 1;
        self.shared.metrics.in_progress(remaining as u64);
    }
}

impl Shared {
    /// Counts a request as in progress.
    pub fn progress(self: &Arc<Self>) -> Progress {
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        Progress { shared: self.clone() }
    }

    /// Number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Relaxed)
    }

    /// Outputs of the keyed requests in progress.
    pub fn buffers(&self) -> MutexGuard<'_, HashMap<Key, Arc<Buffer>>> {
        self.buffers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sequence number for a new request.
    pub fn sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::Relaxed)
    }

    /// Policy in force on this node.
    pub fn policy(&self) -> Arc<Policy> {
        self.policy.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Puts a policy in force unless its version is not newer than the current one.
    pub fn set_policy(&self, version: Version, program: Program) {
        let mut policy = self.policy.write().unwrap_or_else(PoisonError::into_inner);
        if version > policy.version {
            *policy = Arc::new(Policy { version, program });
        }
    }

    /// Whether the last call to the log succeeded.
    pub fn log_answers(&self) -> bool {
        self.log_answers.load(Ordering::Relaxed)
    }

    /// Sets whether the log answers; returns the previous value.
    pub fn set_log_answers(&self, answers: bool) -> bool {
        self.log_answers.swap(answers, Ordering::Relaxed)
    }

    /// Whether the log lists this node as a member.
    pub fn is_member(&self) -> bool {
        self.is_member.load(Ordering::Relaxed)
    }

    /// Sets whether the log lists this node as a member; fences a node that was removed without
    /// leaving by itself.
    pub fn set_membership(&self, member: bool) {
        let before = self.is_member.swap(member, Ordering::Relaxed);
        let leaving = matches!(*self.phase.borrow(), Phase::Leaving { .. } | Phase::Stopped);
        if before && !member && !leaving {
            self.fence("replaced");
        }
    }

    /// Rejects all requests from now on, for good.
    pub fn fence(&self, reason: &str) {
        if *self.phase.borrow() != Phase::Fenced {
            error!(event = "fenced", reason = reason; "");
            self.phase.send_replace(Phase::Fenced);
        }
    }

    /// Records that this process is running.
    pub fn tick(&self) {
        self.last_tick.store(self.clock.now().0, Ordering::Relaxed);
    }

    /// Whether this process was paused and has not yet caught up.
    pub fn paused(&self) -> bool {
        let last_tick = Millis(self.last_tick.load(Ordering::Relaxed));
        let elapsed_ms = self.clock.now().since(last_tick);
        elapsed_ms > PAUSED_AFTER_BEATS * self.settings.timing.beat_millis
    }

    /// Waits until a paused process has caught up; false if it must not dispatch.
    pub async fn wait_until_caught_up(&self) -> bool {
        let started = self.clock.now();
        while self.paused() {
            if self.clock.now().since(started) > CATCH_UP_TIMEOUT.as_millis() as u64 {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        *self.phase.borrow() != Phase::Fenced
    }

    /// Marks the slower duties as running; returns whether they already were.
    pub fn start_duties(&self) -> bool {
        self.duties_running.swap(true, Ordering::Relaxed)
    }

    /// Marks the slower duties as finished.
    pub fn finish_duties(&self) {
        self.duties_running.store(false, Ordering::Relaxed);
    }

    /// Member, logged or provisional, with an incarnation.
    pub async fn member(&self, incarnation: Incarnation) -> Option<Member> {
        self.keeper.with_node(move |node, _| node.member(incarnation).cloned()).await
    }
}

/// Addresses that a node is bound to.
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
    /// Shared state.
    pub shared: Arc<Shared>,
    /// Bound addresses.
    pub addresses: Addresses,
    stop: watch::Sender<bool>,
    servers: Vec<JoinHandle<()>>,
}

/// Starts a node: binds its ports and begins to catch up with the log.
pub async fn start(settings: Settings) -> Result<Handle, StartError> {
    let callers = listen(settings.listen.callers).await?;
    let forward = listen(settings.listen.forward).await?;
    let control = listen(settings.listen.control).await?;
    let operators = listen(settings.listen.operator).await?;
    let addresses = Addresses {
        callers: local_address(&callers)?,
        operator: local_address(&operators)?,
        control: local_address(&control)?,
    };
    let shared = build_shared(settings, addresses.control, local_address(&forward)?).await?;
    Writer::start(shared.clone()).await.map_err(|source| StartError::Actor { source })?;
    let (stop, stopped) = watch::channel(false);

    let limits = serve::Limits {
        header_bytes: shared.settings.limits.header_bytes,
        connections: shared.settings.limits.connections,
        header_timeout: Duration::from_millis(shared.settings.limits.read_millis),
    };
    let caller_handler = handler(shared.clone(), entry::handle_caller);
    let callers = tokio::spawn(serve::serve(callers, limits, stopped.clone(), caller_handler));
    let forward_limits =
        serve::Limits { header_bytes: limits.header_bytes * 2, ..Default::default() };
    let forward_handler = handler(shared.clone(), entry::handle_forwarded);
    let forward =
        tokio::spawn(serve::serve(forward, forward_limits, stopped.clone(), forward_handler));
    let operator_handler = handler(shared.clone(), operator::handle);
    tokio::spawn(serve::serve(operators, serve::Limits::default(), stopped, operator_handler));
    tokio::spawn(rpc::serve(control, shared.clone()));
    tokio::spawn(join(shared.clone()));
    tokio::spawn(heartbeat::run(shared.clone()));
    tokio::spawn(cleanup::run(shared.clone()));
    tokio::spawn(drain::watch(shared.clone()));
    Ok(Handle { shared, addresses, stop, servers: vec![callers, forward] })
}

impl Handle {
    /// Drains the node; resolves once it is safe to stop and every response has been sent.
    pub async fn leave(self) {
        drain::announce(&self.shared);
        let mut phase = self.shared.phase.subscribe();
        let _ = phase.wait_for(|current| matches!(current, Phase::Stopped | Phase::Fenced)).await;
        self.stop.send_replace(true);
        let servers = futures::future::join_all(self.servers);
        let _ = tokio::time::timeout(SHUTDOWN_TIMEOUT, servers).await;
    }

    /// Resolves once the node is fenced.
    pub async fn fenced(&self) {
        let mut phase = self.shared.phase.subscribe();
        let _ = phase.wait_for(|current| *current == Phase::Fenced).await;
    }
}

async fn build_shared(
    settings: Settings,
    control: SocketAddr,
    forward: SocketAddr,
) -> Result<Arc<Shared>, StartError> {
    let clock = Clock::start();
    let incarnation = clock::incarnation();
    let node = Node::new(options(&settings, incarnation));
    let keeper =
        Keeper::start(node, clock.clone()).await.map_err(|source| StartError::Actor { source })?;
    let metrics = Metrics::new(settings.statsd).map_err(|source| StartError::Metrics { source })?;
    let client = Client::default();
    let limit = Duration::from_millis(settings.timing.platform_millis);
    let default = Program::compile(program::DEFAULT).expect("the default policy compiles");
    Ok(Arc::new(Shared {
        incarnation,
        member: Member {
            incarnation,
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
        in_flight: InFlight::default(),
        buffers: Mutex::default(),
        phase: watch::Sender::new(Phase::Starting),
        policy: RwLock::new(Arc::new(Policy { version: Version(0), program: default })),
        in_progress: AtomicUsize::new(0),
        sequence: AtomicU64::new(0),
        last_tick: AtomicU64::new(0),
        log_answers: AtomicBool::new(false),
        is_member: AtomicBool::new(false),
        duties_running: AtomicBool::new(false),
        settings,
    }))
}

fn options(settings: &Settings, incarnation: Incarnation) -> Options {
    let mut table = Table::default();
    for runner in &settings.runners {
        table.insert(runner.clone());
    }
    Options {
        incarnation,
        domain: settings.domain.clone(),
        table,
        mode: settings.placement.mode,
        retry_percent: settings.placement.retry_percent,
        suspect_millis: settings.timing.suspect_millis,
        neighbours: settings.neighbours,
        grant_early: settings.placement.ahead,
        ledger: settings.ledger,
        seed: incarnation.0,
    }
}

/// Catches up with the log, or with other nodes while the log is unavailable, then joins and
/// follows the log.
async fn join(shared: Arc<Shared>) {
    while !follower::catch_up(&shared).await {
        if heartbeat::fetch_snapshot(&shared).await {
            break;
        }
        tokio::time::sleep(START_RETRY_DELAY).await;
    }
    let record = Record::Join { member: shared.member.clone() };
    if follower::append(&shared, &record).await {
        shared.set_log_answers(true);
        while !shared.is_member() && follower::catch_up(&shared).await {}
    }
    heartbeat::announce(&shared).await;
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

fn local_address(listener: &TcpListener) -> Result<SocketAddr, StartError> {
    let unknown = SocketAddr::from(([0, 0, 0, 0], 0));
    listener.local_addr().map_err(|source| StartError::Listen { address: unknown, source })
}
