//! The parts that a node's tasks share.

use crate::cache::Lists;
use crate::control::Control;
use crate::directory::Directory;
use crate::event;
use crate::kept::Kept;
use crate::members::{Members, Subject};
use crate::meter::Meter;
use crate::mirror::{Change, Ends, Mirror, Topic};
use crate::quarantine::Checks;
use crate::quota::Desk;
use crosslane_coordination::admission::Patience;
use crosslane_coordination::allowance::{Allowance, Budget};
use crosslane_coordination::connections;
use crosslane_coordination::durations::{Durations, Mark};
use crosslane_coordination::limits::{self, Limits, Queues};
use crosslane_coordination::pace::Pace;
use crosslane_coordination::pool::Pool;
use crosslane_coordination::quarantine::Quarantine;
use crosslane_platform::configuration;
use crosslane_platform::settings::Settings;
use crosslane_state::endpoint::{Endpoint, Stage, Tag};
use crosslane_state::route::Table;
use crosslane_state::time::Millis;
use crosslane_transport::clock::Clock;
use log::{info, warn};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, watch};
use tokio::time::timeout;

pub use crosslane_transport::http::Reply;

/// Time after the store's return in which endpoints' records may still come back, in
/// milliseconds: about 2 s for live ones, and a margin for reading them.
const LAPSE_WINDOW: u64 = 2_500;

/// Time after a read in which the store counts as answering, in milliseconds: a waiting read and
/// the time for its answer.
const FED: u64 = 3_300;

/// Share of the endpoints (one in so many) whose records going at once looks like a store that
/// lost them rather than like endpoints that left.
const MASS_LAPSE: usize = 3;

/// Share of the link (one part in so many) that what is handed to other nodes may take; callers have the
/// rest.
const LINK_SHARE: u64 = 2;

/// Bytes that may be handed to other nodes at once: 0.1 s of a link of 10 Mbit/s, behind which an endpoint's
/// leaving waits at most.
const BURST: u32 = 128 * 1_024;

/// Time after a suspension, in milliseconds, in which a node that hears of nothing newer serves nobody: a read
/// of the store and two heartbeats. After it, it serves by what it knows, as with the store out of reach.
const UNSURE: u64 = 1_500;

/// Time that a caller waits for a newer configuration which other nodes have: what it takes them (0.2 to 0.3 s).
/// One whose key was added a moment ago would else be refused for good.
const CATCH_UP: Duration = Duration::from_millis(350);

/// Source of what was read from the store by this node.
pub const STORE: &str = "store";

/// What a node shares between its tasks.
#[derive(Debug)]
pub struct Node {
    /// Settings.
    pub settings: Settings,
    /// Clock.
    pub clock: Clock,
    /// Metrics.
    pub meter: Meter,
    /// Calls to engines besides requests.
    pub control: Control,
    /// Connections to plain endpoints that rest between two requests.
    pub idle: Kept,
    /// Other nodes.
    pub members: Mutex<Members>,
    /// What engines keep of prompts.
    pub lists: Lists,
    /// Wakes what tells others of a change.
    pub changed: Notify,
    /// Wakes what tells near nodes of requests at engines.
    pub updated: Notify,
    /// How far another node knows the store, at the most.
    pub told: watch::Sender<Ends>,
    /// Wakes what tells near nodes of a configuration that came from another one.
    pub gained: Notify,
    /// Wakes what tells others of requests under which endpoints ended.
    pub suspected: Notify,
    /// Wakes what tells others of limits that endpoints name.
    pub limited: Notify,
    /// Wakes what writes rulings to the store.
    pub ruled: Notify,
    /// Looks at endpoints that broke something off.
    pub checks: Checks,
    /// Whether the store was asked which requests are shut out, be it in vain.
    pub rulings_read: AtomicBool,
    /// Organisations' limits.
    pub quota: Desk,
    /// Limits that endpoints name.
    pub throttle: Desk,
    /// Socket for messages between nodes, once it is bound.
    pub socket: OnceLock<Arc<UdpSocket>>,
    /// Wakes what waits for a newer configuration.
    in_force: Notify,
    /// When the stop was announced.
    pub stopping: watch::Sender<Option<Millis>>,
    mirror: Mutex<Mirror>,
    directory: Mutex<Directory>,
    table: Mutex<Option<Arc<Table>>>,
    pool: Mutex<Pool>,
    allowance: Mutex<Allowance>,
    store_back: Mutex<Millis>,
    store_read: Mutex<Option<Millis>>,
    /// Whether the last call to the store failed.
    store_lost: AtomicBool,
    /// When the machine went on after a suspension, until this node knows what changed meanwhile.
    woken: Mutex<Option<Millis>>,
    /// How fast large things are handed to other nodes.
    pace: Mutex<Pace>,
    patience: Mutex<HashMap<String, Patience>>,
    /// How long requests last, by service.
    durations: Mutex<HashMap<String, Durations>>,
    quarantine: Mutex<Quarantine>,
    limits: Mutex<Limits>,
    /// Requests that wait for room under limits that this node owns.
    pub queues: Mutex<Queues>,
}

/// Rest after which a connection to a plain endpoint is not used again: shorter than the shortest after which endpoints
/// close them.
const IDLE_REST: Duration = Duration::from_millis(700);

/// Connections that are kept for each plain endpoint: those of all nodes together count against its cap.
const IDLE_KEPT: usize = 3;

/// A request under way.
#[derive(Debug)]
pub struct Open {
    service: String,
    mark: Mark,
}

impl Node {
    /// A node that knows only its settings.
    pub fn new(settings: Settings) -> prometheus::Result<Self> {
        let budget = Budget {
            ratio: settings.retry_ratio,
            slack: settings.retry_slack,
            window: settings.retry_window_ms,
        };
        Ok(Self {
            clock: Clock::start(),
            meter: Meter::new()?,
            control: Control::default(),
            idle: Kept::new(IDLE_REST, IDLE_KEPT),
            lists: Lists::default(),
            members: Mutex::new(Members::new(&settings)),
            changed: Notify::new(),
            updated: Notify::new(),
            told: watch::Sender::default(),
            gained: Notify::new(),
            suspected: Notify::new(),
            limited: Notify::new(),
            ruled: Notify::new(),
            checks: Checks::default(),
            rulings_read: AtomicBool::new(false),
            quota: Desk::new(settings.quota),
            throttle: Desk::new(limits::BOUND),
            socket: OnceLock::new(),
            in_force: Notify::new(),
            stopping: watch::Sender::new(None),
            mirror: Mutex::default(),
            directory: Mutex::default(),
            table: Mutex::default(),
            pool: Mutex::new(Pool::new(settings.domain.clone(), SmallRng::from_os_rng())),
            allowance: Mutex::new(Allowance::new(budget)),
            store_back: Mutex::default(),
            store_read: Mutex::default(),
            store_lost: AtomicBool::new(false),
            woken: Mutex::default(),
            pace: Mutex::new(Pace::new(settings.link_bytes_per_second / LINK_SHARE, BURST)),
            patience: Mutex::default(),
            durations: Mutex::default(),
            quarantine: Mutex::new(Quarantine::new(Tag::of(&settings.vm))),
            limits: Mutex::default(),
            queues: Mutex::default(),
            settings,
        })
    }

    /// Counts a request of a service as under way.
    pub fn begin(&self, service: &str) -> Open {
        let mark = lock(&self.durations).entry(service.to_owned()).or_default().begin(self.now());
        Open { service: service.to_owned(), mark }
    }

    /// Notes that a request ended, be it answered whole or not.
    pub fn end(&self, open: Open, whole: bool) {
        if let Some(durations) = lock(&self.durations).get_mut(&open.service) {
            durations.end(open.mark, whole, self.now());
        }
    }

    /// Time that requests of a service last at the longest, if any was answered lately.
    pub fn longest(&self, service: &str) -> Option<Duration> {
        let longest = lock(&self.durations).get_mut(service)?.longest(self.now());
        longest.map(Duration::from_millis)
    }

    /// This node's name between nodes.
    pub fn tag(&self) -> Tag {
        Tag::of(&self.settings.vm)
    }

    /// Time since the start.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// The configuration in force, once there is one.
    pub fn table(&self) -> Option<Arc<Table>> {
        lock(&self.table).clone()
    }

    /// The configuration in force, or a newer one that another node told of, if it comes in time.
    pub async fn newer_table(&self, before: Arc<Table>) -> Arc<Table> {
        let in_force = self.in_force.notified();
        if self.behind(Topic::Operators) {
            // Without a newer one the one in force decides.
            let _ = timeout(CATCH_UP, in_force).await;
        }
        self.table().unwrap_or(before)
    }

    /// Endpoints.
    pub fn pool(&self) -> MutexGuard<'_, Pool> {
        lock(&self.pool)
    }

    /// What the store holds.
    pub fn mirror(&self) -> MutexGuard<'_, Mirror> {
        lock(&self.mirror)
    }

    /// Requests under which endpoints ended.
    pub fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        lock(&self.quarantine)
    }

    /// Where it is decided what may be used of a limit.
    pub fn desk(&self, subject: Subject) -> &Desk {
        match subject {
            Subject::Organisation(_) => &self.quota,
            Subject::Endpoint(_) => &self.throttle,
        }
    }

    /// Limits that endpoints name.
    pub fn limits(&self) -> MutexGuard<'_, Limits> {
        lock(&self.limits)
    }

    /// Notes how far another node knows the store.
    pub fn hear_of(&self, ends: Ends) {
        self.told.send_if_modified(|told| {
            let before = *told;
            told.configuration = told.configuration.max(ends.configuration);
            told.endpoints = told.endpoints.max(ends.endpoints);
            *told != before
        });
    }

    /// Whether another node knows more of a topic.
    pub fn behind(&self, topic: Topic) -> bool {
        let known = self.mirror().ends();
        self.told.borrow().of(topic) > known.of(topic)
    }

    /// Whether callers may be sent here.
    pub fn ready(&self) -> bool {
        let asked = self.rulings_read.load(Ordering::Relaxed);
        let informed = asked && self.table().is_some() && self.caught_up();
        self.stopping.borrow().is_none() && informed && !self.pool().is_empty()
    }

    /// Notes that the machine was suspended: what is believed is that much older, and others took this node
    /// for gone.
    pub fn wake(&self) {
        *lock(&self.woken) = Some(self.now());
        *lock(&self.store_read) = None;
        self.changed.notify_one();
    }

    /// Notes that this node knows what the store, or another node, knows now.
    pub fn refreshed(&self) {
        *lock(&self.woken) = None;
    }

    /// Whether what is believed is not older than a suspension of the machine.
    pub fn caught_up(&self) -> bool {
        lock(&self.woken).is_none_or(|at| self.now().since(at) >= UNSURE)
    }

    /// Connections that this node may have at one endpoint of a service.
    pub fn connections(&self, service: &str) -> u32 {
        let table = self.table();
        let cap = table.as_ref().and_then(|it| it.services.get(service)?.max_connections);
        let (_, nodes) = lock(&self.members).seen(self.now());
        cap.map_or(u32::MAX, |it| connections::part(it, nodes))
    }

    /// Counts a request for a service.
    pub fn count_request(&self, service: &str) {
        lock(&self.allowance).request(service, self.now());
    }

    /// Takes a repeat for a service from the retry budget.
    pub fn take_repeat(&self, service: &str) -> bool {
        let members = lock(&self.members).count(self.now());
        lock(&self.allowance).take(service, members, self.now())
    }

    /// Time that a caller of a route with this patience spent on earlier tries, in milliseconds.
    pub fn spent(&self, route: &str, patience: Duration) -> u64 {
        let patience = patience.as_millis() as u64;
        let mut routes = lock(&self.patience);
        routes.entry(route.to_owned()).or_default().spent(patience, self.now())
    }

    /// Notes that the store answered, for the first time since a failure if `returned`.
    pub fn store_answered(&self, returned: bool) {
        let now = self.now();
        if !self.fed() {
            // Those who would read in its place need not.
            self.changed.notify_one();
        }
        *lock(&self.store_read) = Some(now);
        self.store_lost.store(false, Ordering::Relaxed);
        self.refreshed();
        if returned {
            *lock(&self.store_back) = now;
        }
    }

    /// Notes that the store failed.
    pub fn store_failed(&self, topic: Topic) {
        if lock(&self.store_read).take().is_some() {
            self.changed.notify_one();
        }
        self.store_lost.store(true, Ordering::Relaxed);
        self.meter.store_failed(topic.name());
    }

    /// Time since the store returned, in milliseconds, while records that lapsed may still come back.
    pub fn returned(&self) -> Option<u64> {
        let back = *lock(&self.store_back);
        let ago = self.now().since(back);
        (back > Millis::default() && ago < LAPSE_WINDOW).then_some(ago)
    }

    /// Notes that the store returned to another node so long ago: this one may not have asked it.
    pub fn hear_returned(&self, ago: u64) {
        let at = self.now() - ago;
        let mut back = lock(&self.store_back);
        *back = (*back).max(at);
    }

    /// Whether this node reads the store, and the store answers.
    pub fn fed(&self) -> bool {
        lock(&self.store_read).is_some_and(|at| self.now().since(at) < FED)
    }

    /// Whether the last call to the store failed.
    pub fn store_lost(&self) -> bool {
        self.store_lost.load(Ordering::Relaxed)
    }

    /// Whether the link has room to hand something large to another node.
    pub fn has_room(&self) -> bool {
        lock(&self.pace).open(self.now())
    }

    /// Counts bytes handed to another node.
    pub fn count_told(&self, bytes: usize) {
        lock(&self.pace).spend(bytes);
        self.meter.told_bytes.inc_by(bytes as u64);
    }

    /// Puts in force what changed in the mirror.
    pub fn apply(&self, change: Change, source: &'static str) {
        if change.configuration {
            self.apply_configuration(source);
        }
        if change.endpoints {
            self.apply_endpoints(source);
        }
        if change != Change::default() && source == STORE {
            self.changed.notify_one();
        }
    }

    fn apply_configuration(&self, source: &'static str) {
        let decoded = self.mirror().configuration().map(|it| configuration::decode(it));
        let table = match decoded {
            None => return,
            Some(Ok(table)) => table,
            Some(Err(error)) => {
                warn!(why:% = error; "{}", event::SKIPPED);
                return;
            }
        };
        let mut held = lock(&self.table);
        let before = held.as_ref().map_or(0, |it| it.version);
        if held.is_some() && table.version <= before {
            return;
        }
        info!(version = table.version, before, source; "{}", event::CONFIGURATION);
        self.meter.version.set(table.version.cast_signed());
        *held = Some(Arc::new(table));
        drop(held);
        self.in_force.notify_waiters();
    }

    fn apply_endpoints(&self, source: &'static str) {
        let mut directory = lock(&self.directory);
        let mirror = self.mirror();
        let errors = directory.take(mirror.endpoints());
        let end = mirror.ends().endpoints;
        drop(mirror);
        let endpoints: Vec<Endpoint> = directory.endpoints().cloned().collect();
        for error in errors {
            self.meter.skipped_records.inc();
            warn!(why:% = error; "{}", event::SKIPPED);
        }
        let now = self.now();
        let lapsed = self.returned().is_some();
        let mut pool = self.pool();
        let draining = endpoints.iter().filter(|it| it.draining).count();
        let missing = pool.len().saturating_sub(endpoints.len());
        let lenient = lapsed || missing * MASS_LAPSE > pool.len();
        let prefill = endpoints.iter().filter(|it| it.stage == Stage::Prefill).count();
        let decode = endpoints.iter().filter(|it| it.stage == Stage::Decode).count();
        let listed = endpoints.len();
        info!(offset = end, listed, prefill, decode, draining, lenient, source; "{}", event::ENDPOINTS);
        pool.replace(endpoints, lenient, now);
        self.meter.endpoints.set(pool.len() as i64);
    }
}

/// Locks; what a panic left behind is used as it is, since every change is a single step.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
