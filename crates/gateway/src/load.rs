//! Load of a node itself: waits for its processor and link, bytes, memory and descriptors, and whether it takes on more.

use crate::event;
use crate::node::{Node, lock};
use crosslane_coordination::delay::{Delays, Standing};
use crosslane_coordination::intake::{self, Intake, Verdict};
use crosslane_state::endpoint::Tag;
use crosslane_state::time::Millis;
use crosslane_transport::metered::Meter;
use log::info;
use std::fs;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

/// Interval of the reports.
const INTERVAL: Duration = Duration::from_secs(1);

/// Part of the shortest latency target from which on a wait is reported.
const REPORTED_DIVISOR: u32 = 10;

/// Connections that usually wait for being accepted at most.
pub const BACKLOG: usize = 1_024;

/// Size of a page of memory, in kilobytes.
const PAGE_KB: u64 = 4;

#[derive(Debug, Default)]
struct State {
    delays: Delays,
    intake: Intake,
    /// When the current period began, and how long this thread had run tasks by then.
    busy: Option<(Instant, Duration)>,
    /// Since the last report.
    seen: Seen,
}

/// What a report tells of.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    /// Longest waits of the periods.
    standing: Standing,
    /// New connections that were closed unread.
    closed: u64,
}

/// Load of a node.
#[derive(Debug, Default)]
pub struct Load {
    /// Bytes of callers' connections, those to endpoints, and datagrams to and from other nodes.
    pub link: Arc<Meter>,
    /// Requests that are open, and new connections whose first request has not been read.
    open: AtomicUsize,
    state: Mutex<State>,
    /// Told when a request has ended.
    ended: Notify,
}

/// An open request, or a new connection that waits for its first one.
#[derive(Debug)]
pub struct Open(Arc<Load>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
        self.0.ended.notify_one();
    }
}

impl Load {
    /// Counts a request as open until the result is dropped.
    pub fn open(self: &Arc<Self>) -> Open {
        let open = self.open.fetch_add(1, Ordering::Relaxed) + 1;
        lock(&self.state).intake.record_open(open);
        Open(self.clone())
    }

    /// Decides on a new connection, whose task waited for the processor. `target` is the shortest latency target.
    pub fn decide(&self, waited: Duration, target: Duration, now: Millis) -> Verdict {
        let open = self.open.load(Ordering::Relaxed);
        let mut state = lock(&self.state);
        state.delays.record_task(waited);
        state.advance(open, target, now);
        let verdict = state.intake.decide(open);
        state.seen.closed += u64::from(verdict == Verdict::Close);
        verdict
    }

    /// Whether there is a limit on what the node takes on, since its own work waits.
    pub fn is_limited(&self) -> bool {
        lock(&self.state).intake.limit().is_some()
    }

    /// Whether as many requests are open as the node takes on.
    pub fn is_full(&self) -> bool {
        lock(&self.state).intake.is_full(self.open.load(Ordering::Relaxed))
    }

    /// New connections that may wait for being accepted: as many as the node takes on besides those that are open, or the usual
    /// number.
    pub fn room(&self) -> usize {
        let limit = lock(&self.state).intake.limit().unwrap_or(BACKLOG);
        limit.saturating_sub(self.open.load(Ordering::Relaxed)).clamp(1, BACKLOG)
    }

    /// Waits until new connections are taken again: there is room for some, or the period is over.
    pub async fn until_room(&self, target: Duration) {
        let period_over = sleep(intake::period(target));
        let has_room = async {
            while !lock(&self.state).intake.has_room(self.open.load(Ordering::Relaxed)) {
                self.ended.notified().await;
            }
        };
        tokio::select! {
            () = period_over => {}
            () = has_room => {}
        }
    }

    /// Records how long an endpoint of a failure domain took to accept a connection.
    pub fn record_round_trip(&self, domain: &str, took: Duration, now: Millis) {
        let mut state = lock(&self.state);
        // If the wait lasts although next to nothing is taken, the way is longer.
        let loaded = state.intake.limit().is_some_and(|limit| limit > 1);
        state.delays.record_round_trip(Tag::of(domain), took, loaded, now);
    }

    /// What was seen since the last call.
    fn take_seen(&self, target: Duration, now: Millis) -> Seen {
        let mut state = lock(&self.state);
        state.advance(self.open.load(Ordering::Relaxed), target, now);
        std::mem::take(&mut state.seen)
    }
}

impl State {
    /// Begins a period if the current one is over.
    fn advance(&mut self, open: usize, target: Duration, now: Millis) {
        if !self.intake.is_due(target, now) {
            return;
        }
        let busy = self.take_busy();
        let standing = self.delays.take(busy);
        let seen = &mut self.seen.standing;
        seen.processor = seen.processor.max(standing.processor);
        seen.link = seen.link.max(standing.link);
        seen.busy = seen.busy.max(standing.busy);
        self.intake.begin_period(standing, open, target, now);
    }

    /// Share of the time since the last call in which this thread had tasks to run.
    fn take_busy(&mut self) -> f64 {
        let now = (Instant::now(), Handle::current().metrics().worker_total_busy_duration(0));
        let before = self.busy.replace(now).unwrap_or(now);
        let elapsed = (now.0 - before.0).as_secs_f64();
        let busy = now.1.saturating_sub(before.1).as_secs_f64();
        if elapsed > 0.0 { busy / elapsed } else { 0.0 }
    }
}

/// Reports seconds in which work waited long, until the process ends.
pub async fn report(node: Arc<Node>) {
    let mut before = bytes(&node.load.link);
    let mut since = Instant::now();
    loop {
        sleep(INTERVAL).await;
        let now = bytes(&node.load.link);
        let seconds = since.elapsed().as_secs_f64();
        let [received, sent] = [0, 1].map(|way| ((now[way] - before[way]) as f64 / seconds) as u64);
        (before, since) = (now, Instant::now());
        let Some(target) = node.shortest_target() else { continue };
        let Seen { standing, closed } = node.load.take_seen(target, node.now());
        let (processor, link) =
            (standing.processor.unwrap_or_default(), standing.link.unwrap_or_default());
        node.metrics.processor_wait.set(processor.as_millis() as i64);
        node.metrics.link_wait.set(link.as_millis() as i64);
        node.metrics.received.set(now[0].cast_signed());
        node.metrics.sent.set(now[1].cast_signed());
        node.metrics.closed_unread.inc_by(closed);
        if closed == 0 && processor.max(link) < target / REPORTED_DIVISOR {
            continue;
        }
        let busy_percent = (standing.busy * 100.0) as u64;
        let (processor_ms, link_ms) = (processor.as_millis() as u64, link.as_millis() as u64);
        let capacity = node.adjustable().link_bytes_per_second;
        let (memory_kb, descriptors) = (memory_kb(), descriptors());
        let open = node.load.open.load(Ordering::Relaxed);
        let limit = lock(&node.load.state).intake.limit().unwrap_or(0);
        info!(processor_ms, link_ms, busy_percent, received, sent, capacity, memory_kb, descriptors, open, limit, closed; "{}", event::LOAD);
    }
}

/// Bytes received and sent so far.
fn bytes(link: &Meter) -> [u64; 2] {
    [&link.read, &link.written].map(|count| count.load(Ordering::Relaxed))
}

/// Resident memory; zero if the system doesn't tell.
fn memory_kb() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_KB
}

/// Open descriptors; zero if the system doesn't tell.
fn descriptors() -> usize {
    fs::read_dir("/proc/self/fd").map_or(0, Iterator::count)
}
