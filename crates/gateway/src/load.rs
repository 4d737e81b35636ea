//! What a node measures of its own load: waits for its processor and link, bytes, memory and descriptors.

use crate::event;
use crate::node::{Node, lock};
use crosslane_coordination::delay::Delays;
use crosslane_state::endpoint::Tag;
use crosslane_state::time::Millis;
use crosslane_transport::metered::Meter;
use log::info;
use std::fs;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Interval of the reports.
const INTERVAL: Duration = Duration::from_secs(1);

/// Share of the shortest latency target from which on a wait is reported.
const REPORTED_SHARE: u32 = 10;

/// Size of a page of memory, in kilobytes.
const PAGE_KB: u64 = 4;

/// Load of a node.
#[derive(Debug, Default)]
pub struct Load {
    /// Bytes of callers' connections, those to endpoints, and datagrams to and from other nodes.
    pub link: Arc<Meter>,
    delays: Mutex<Delays>,
}

impl Load {
    /// Records how long a ready task waited for the processor.
    pub fn record_task(&self, waited: Duration) {
        lock(&self.delays).record_task(waited);
    }

    /// Records how long an endpoint of a failure domain took to accept a connection.
    pub fn record_round_trip(&self, domain: &str, took: Duration, now: Millis) {
        lock(&self.delays).record_round_trip(Tag::of(domain), took, false, now);
    }
}

/// Reports seconds in which all work waited long, until the process ends.
pub async fn report(node: Arc<Node>) {
    let mut before = bytes(&node.load.link);
    let mut since = Instant::now();
    loop {
        sleep(INTERVAL).await;
        let now = bytes(&node.load.link);
        let seconds = since.elapsed().as_secs_f64();
        let [received, sent] = [0, 1].map(|way| ((now[way] - before[way]) as f64 / seconds) as u64);
        (before, since) = (now, Instant::now());
        let standing = lock(&node.load.delays).take();
        let (processor, link) =
            (standing.processor.unwrap_or_default(), standing.link.unwrap_or_default());
        node.metrics.processor_wait.set(processor.as_millis() as i64);
        node.metrics.link_wait.set(link.as_millis() as i64);
        node.metrics.received.set(now[0].cast_signed());
        node.metrics.sent.set(now[1].cast_signed());
        let Some(table) = node.table() else { continue };
        let target = Duration::from_millis(table.shortest_target_ms);
        if standing.longest() < target / REPORTED_SHARE {
            continue;
        }
        let (processor_ms, link_ms) = (processor.as_millis() as u64, link.as_millis() as u64);
        let capacity = node.adjustable().link_bytes_per_second;
        let (memory_kb, descriptors) = (memory_kb(), descriptors());
        info!(processor_ms, link_ms, received, sent, capacity, memory_kb, descriptors; "{}", event::LOAD);
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
