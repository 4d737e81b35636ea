//! Requests that wait for room at endpoints, in one queue per service and stage.
//!
//! The first request of a queue is woken when room may have come free: a run ended here, or the usage of other nodes changed. It asks
//! endpoints; if it finds none, the next one is woken, which may accept endpoints that the first one does not. A request that
//! is not woken asks after a pause, so that no wait depends on an event. A request leaves the queue when its
//! waiter is dropped, also because its caller disconnected. `wait` decides how long a request waits, `backlog` holds what other nodes
//! report.

use crate::node::lock;
use crosslane_coordination::backlog::{Backlog, Counts, Pool, Row};
use crosslane_coordination::queue::{Bounds, Full, Queue, Ticket, Urgency};
use crosslane_coordination::turnover::Turnover;
use crosslane_coordination::wait::Estimate;
use crosslane_state::endpoint::Tag;
use crosslane_state::priority::Priority;
use crosslane_state::time::Millis;
use prometheus::IntGauge;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

/// Bounds of one queue: several seconds of a node's share of a burst, and their prompts.
const BOUNDS: Bounds = Bounds { requests: 512, bytes: 8 << 20 };

/// Wakes one waiting request.
#[derive(Debug, Default)]
struct Signal {
    notify: Notify,
    displaced: AtomicBool,
}

/// Queue of one pool.
#[derive(Debug)]
struct Line {
    queue: Queue,
    signals: HashMap<Ticket, Arc<Signal>>,
}

impl Default for Line {
    fn default() -> Self {
        Self { queue: Queue::new(BOUNDS), signals: HashMap::new() }
    }
}

impl Line {
    fn wake(&self, ticket: Option<Ticket>) {
        if let Some(signal) = ticket.and_then(|ticket| self.signals.get(&ticket)) {
            signal.notify.notify_one();
        }
    }
}

#[derive(Debug, Default)]
struct State {
    lines: HashMap<Pool, Line>,
    backlog: Backlog,
    turnovers: HashMap<Pool, Turnover>,
}

impl State {
    fn counts(&self, pool: Pool) -> Counts {
        self.lines.get(&pool).map(|line| line.queue.counts()).unwrap_or_default()
    }
}

/// Requests that wait for room.
#[derive(Clone, Debug)]
pub struct Waiting {
    state: Arc<Mutex<State>>,
    /// Number of waiting requests.
    length: IntGauge,
}

/// Why a request asks for room again, or does not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// Room may have come free.
    Ask,
    /// Its time is over.
    Over,
    /// A more urgent request took its place in the queue.
    Displaced,
}

impl Waiting {
    /// Without waiting requests; their number is shown by a metric.
    pub fn new(length: IntGauge) -> Self {
        Self { state: Arc::default(), length }
    }

    /// Adds a request that holds some bytes.
    pub fn join(&self, pool: Pool, urgency: Urgency, bytes: usize) -> Result<Waiter, Full> {
        let mut state = lock(&self.state);
        let line = state.lines.entry(pool).or_default();
        let (ticket, displaced) = line.queue.push(urgency, bytes)?;
        for signal in displaced.iter().filter_map(|other| line.signals.remove(other)) {
            signal.displaced.store(true, Ordering::Relaxed);
            signal.notify.notify_one();
        }
        let signal = Arc::<Signal>::default();
        line.signals.insert(ticket, signal.clone());
        line.wake(line.queue.first().filter(|first| *first != ticket));
        self.length.inc();
        Ok(Waiter { waiting: self.clone(), pool, ticket, signal })
    }

    /// Whether requests that come before one of this urgency wait.
    pub fn is_behind(&self, pool: Pool, urgency: Urgency) -> bool {
        let state = lock(&self.state);
        state.lines.get(&pool).is_some_and(|line| line.queue.ahead_of(urgency) > 0)
    }

    /// Expected wait of a request of this urgency if this many are in progress at the pool; nothing if runs have not ended lately.
    pub fn estimate(
        &self,
        pool: Pool,
        urgency: Urgency,
        in_progress: u32,
        now: Millis,
    ) -> Option<Estimate> {
        let state = lock(&self.state);
        let per_second = state.turnovers.get(&pool)?.per_second(in_progress, now)?;
        let here = state.lines.get(&pool).map_or(0, |line| line.queue.ahead_of(urgency));
        let elsewhere = {
            let Urgency { priority, timeliness, .. } = urgency;
            state.backlog.ahead_elsewhere(pool, priority, timeliness, now)
        };
        Some(Estimate { ahead: here as f64 + f64::from(elsewhere), per_second })
    }

    /// Number of more urgent priorities of which requests wait or were refused a short time ago, here or elsewhere.
    pub fn more_urgent(&self, pool: Pool, priority: Priority, now: Millis) -> usize {
        let state = lock(&self.state);
        state.backlog.more_urgent(pool, &state.counts(pool), priority, now)
    }

    /// Records that a request was refused for lack of room.
    pub fn record_refusal(&self, pool: Pool, priority: Priority, now: Millis) {
        lock(&self.state).backlog.record_refusal(pool, priority, now);
    }

    /// Records that a request that held room has ended, and wakes the first waiting one.
    pub fn record_end(&self, pool: Pool, granted_at: Millis, now: Millis) {
        let mut state = lock(&self.state);
        state.turnovers.entry(pool).or_default().observe(now.since(granted_at), now);
        state.lines.get(&pool).into_iter().for_each(|line| line.wake(line.queue.first()));
    }

    /// Wakes the first waiting request of each pool, since the usage of other nodes or the endpoints changed.
    pub fn wake_all(&self) {
        lock(&self.state).lines.values().for_each(|line| line.wake(line.queue.first()));
    }

    /// Report for other nodes.
    pub fn report(&self, now: Millis) -> Vec<Row> {
        let mut state = lock(&self.state);
        let counts = state.lines.iter().map(|(pool, line)| (*pool, line.queue.counts())).collect();
        state.backlog.rows(&counts, now)
    }

    /// Replaces the report of another node, whose heartbeat expires at `until`.
    pub fn merge(&self, from: Tag, rows: Vec<Row>, now: Millis, until: Millis) {
        lock(&self.state).backlog.merge(from, rows, now, until);
    }
}

/// A request in a queue; leaves it when dropped.
#[derive(Debug)]
pub struct Waiter {
    waiting: Waiting,
    pool: Pool,
    ticket: Ticket,
    signal: Arc<Signal>,
}

impl Waiter {
    /// Lets the next request ask, as this one found no room.
    pub fn pass(&self) {
        let state = lock(&self.waiting.state);
        if let Some(line) = state.lines.get(&self.pool) {
            line.wake(line.queue.next_after(self.ticket));
        }
    }

    /// Whether it is the first of its queue.
    pub fn is_first(&self) -> bool {
        let state = lock(&self.waiting.state);
        state.lines.get(&self.pool).and_then(|line| line.queue.first()) == Some(self.ticket)
    }

    /// Waits until the request should ask for room: when it is woken, or at `poll_at`. A request that is not the first one and
    /// asked a short time ago, so that it has a time `not_before`, lets the next one ask instead.
    pub async fn turn(&self, not_before: Instant, poll_at: Instant, until: Instant) -> Turn {
        loop {
            let woken = timeout_at(poll_at.min(until), self.signal.notify.notified()).await.is_ok();
            if self.signal.displaced.load(Ordering::Relaxed) {
                return Turn::Displaced;
            }
            let now = Instant::now();
            if now >= until {
                return Turn::Over;
            }
            if !woken || now >= not_before || self.is_first() {
                return Turn::Ask;
            }
            self.pass();
        }
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        self.waiting.length.dec();
        let mut state = lock(&self.waiting.state);
        if let Some(line) = state.lines.get_mut(&self.pool) {
            line.signals.remove(&self.ticket);
            line.queue.remove(self.ticket);
            // The line stays, so that no ticket is used twice: a displaced request may be dropped later.
            line.wake(line.queue.first());
        }
    }
}
