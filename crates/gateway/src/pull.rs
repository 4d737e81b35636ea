//! Pulls data of the store that other nodes have and this one lacks.
//!
//! Records of endpoints and the configuration are pulled independently, so the notice that an
//! endpoint leaves never waits behind a large configuration. Both come in small parts with a time
//! limit each. A transfer that makes progress is never given up, however long it takes, and a
//! stalled one continues at another node where it stopped. With a single limit of 1 s for the whole
//! transfer, two versions of 0.5 MB never arrived over 10 Mbit/s, and nodes kept old routes
//! forever.

use crate::event;
use crate::history::Download;
use crate::metrics::Metrics;
use crate::mirror::{Batch, Snapshot, Topic};
use crate::node::{Node, lock};
use crate::peers::{Answer, PeerClient};
use crosslane_coordination::heartbeat::MAX_NEAR_PEERS;
use crosslane_state::time::Millis;
use log::{info, warn};
use rand::Rng;
use rand::seq::IndexedRandom;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{client, context};
use tokio::time::{sleep, timeout};

/// Delay of a pull, in which this node's own read of the store may return the data first.
const STORE_HEAD_START: Duration = Duration::from_millis(120);

/// Timeout for connecting, and for each answer: 27 times the time of a chunk on a 10 Mbit/s link,
/// and short enough to ask three nodes within the 3 s in which a change must be in force.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Pause after a failed pull, which would otherwise be repeated in a busy loop.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Range of the random pause after another node had no bandwidth left, in milliseconds: about the
/// time that the transfers which filled its link take. Random, so that the rejected nodes don't all
/// come back at once.
const BUSY_PAUSE_MS: Range<u64> = 30..120;

/// How often this pause doubles while nodes have no bandwidth: up to 1 s, so that hundreds of nodes
/// that start at once don't keep the first ones from serving callers.
const BUSY_MAX_DOUBLINGS: u32 = 3;

/// The same while this node has nothing of a topic and the fleet is small: longer, since the store
/// returns everything at once.
const FIRST_STORE_HEAD_START: Duration = Duration::from_millis(400);

/// Log name of another node as the source of a change.
const PEER_SOURCE: &str = "peer";

/// Outcome of a pull without an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// This node has caught up.
    Complete,
    /// The other node has nothing newer, while a third one has.
    Exhausted,
    /// The other node has no bandwidth left.
    Busy,
}

/// A pull from another node.
struct Pull<'a> {
    node: &'a Node,
    topic: Topic,
    from: IpAddr,
    /// Offset up to which this node had the topic before.
    known: u64,
    /// Highest offset of the topic that any node has announced.
    announced: u64,
    started_at: Millis,
    parts: usize,
    bytes: usize,
}

impl<'a> Pull<'a> {
    fn new(node: &'a Node, topic: Topic, from: IpAddr) -> Self {
        let known = node.mirror().offsets().of(topic);
        let announced = node.peer_offsets.borrow().of(topic);
        Self { node, topic, from, known, announced, started_at: node.now(), parts: 0, bytes: 0 }
    }

    async fn connect(&self) -> io::Result<PeerClient> {
        let address = SocketAddr::new(self.from, self.node.settings.peer_port);
        let connecting = tarpc::serde_transport::tcp::connect(address, Bincode::default);
        let transport = timeout(CALL_TIMEOUT, connecting).await??;
        Ok(PeerClient::new(client::Config::default(), transport).spawn())
    }

    /// Offset up to which this node has the topic now.
    fn current_offset(&self) -> u64 {
        self.node.mirror().offsets().of(self.topic)
    }

    fn count_part(&mut self, bytes: usize) {
        self.parts += 1;
        self.node.pulled_parts.fetch_add(1, Ordering::Relaxed);
        self.bytes += bytes;
    }

    /// Logs and counts the outcome, and waits if the next pull can't succeed yet. Takes and returns
    /// the number of consecutive pulls that ended at busy nodes.
    async fn finish(self, result: io::Result<Outcome>, busy_in_a_row: u32) -> u32 {
        let took_ms = self.node.now().since(self.started_at);
        Metrics::observe(&self.node.metrics.pull, Duration::from_millis(took_ms));
        let now = self.current_offset();
        let Self { node, topic, from, known, announced: told, parts: pieces, bytes, .. } = self;
        let topic = topic.name();
        match &result {
            Ok(outcome) => {
                info!(from:% = from, topic, outcome:? = outcome, known, now, pieces, bytes, took_ms; "{}", event::PULLED);
            }
            Err(error) => {
                node.metrics.pull_failures.inc();
                warn!(from:% = from, topic, known, now, told, pieces, bytes, took_ms, why:% = error; "{}", event::PULL_FAILED);
            }
        }
        match result {
            Ok(Outcome::Busy) => {
                sleep(
                    random_duration(BUSY_PAUSE_MS) * (1 << busy_in_a_row.min(BUSY_MAX_DOUBLINGS)),
                )
                .await;
                return busy_in_a_row + 1;
            }
            Ok(_) if now > known => {}
            Ok(_) | Err(_) => sleep(RETRY_PAUSE).await,
        }
        0
    }

    async fn endpoints(&mut self, snapshot: &mut Snapshot) -> io::Result<Outcome> {
        let peer = self.connect().await?;
        loop {
            let known = self.current_offset();
            if known >= self.announced {
                *snapshot = Snapshot::default();
                return Ok(Outcome::Complete);
            }
            let call = peer.packed_endpoints(context::current(), known, snapshot.after().cloned());
            let packed = match timeout(CALL_TIMEOUT, call).await?.map_err(io::Error::other)? {
                Answer::Data(packed) => packed,
                Answer::Busy => return Ok(Outcome::Busy),
                Answer::NothingNewer => return Ok(Outcome::Exhausted),
            };
            self.count_part(packed.len());
            let change = match Batch::try_from(packed)?.compacted() {
                Batch::Delta { entries, end } => self.node.mirror().merge_delta(entries, end),
                Batch::SnapshotPage { entries, end, next } => {
                    match snapshot.add_page(entries, end, next) {
                        Some(snapshot) => self.node.mirror().merge_snapshot(snapshot),
                        None => continue,
                    }
                }
            };
            self.node.apply(change, PEER_SOURCE);
            if self.current_offset() == known {
                return Ok(Outcome::Exhausted);
            }
        }
    }

    async fn configuration(&mut self, download: &mut Download) -> io::Result<Outcome> {
        let peer = self.connect().await?;
        loop {
            let known = self.current_offset();
            if known >= self.announced {
                return Ok(Outcome::Complete);
            }
            let call = peer.configuration(context::current(), download.request(known));
            let chunk = match timeout(CALL_TIMEOUT, call).await?.map_err(io::Error::other)? {
                Answer::Data(chunk) => chunk,
                Answer::Busy => return Ok(Outcome::Busy),
                Answer::NothingNewer => return Ok(Outcome::Exhausted),
            };
            self.count_part(chunk.len());
            if let Some(patch) = download.add_chunk(chunk) {
                let merged = self.node.mirror().apply_patch(patch);
                let change = merged.inspect_err(|_| download.require_full())?;
                self.node.apply(change, PEER_SOURCE);
            }
        }
    }
}

/// Pulls records of endpoints whenever this node is behind, forever.
pub async fn follow_endpoints(node: Arc<Node>) {
    let topic = Topic::Endpoints;
    let mut snapshot = Snapshot::default();
    let mut failed = None;
    let mut busy_in_a_row = 0;
    loop {
        wait_until_behind(&node, topic).await;
        let Some(from) = choose_source(&node, topic, failed.take()) else {
            sleep(RETRY_PAUSE).await;
            continue;
        };
        let mut pull = Pull::new(&node, topic, from);
        let result = pull.endpoints(&mut snapshot).await;
        failed = result.is_err().then_some(from);
        busy_in_a_row = pull.finish(result, busy_in_a_row).await;
    }
}

/// Pulls the configuration whenever this node is behind, forever.
pub async fn follow_configuration(node: Arc<Node>) {
    let topic = Topic::Operators;
    let mut download = Download::default();
    let mut last = None;
    let mut failed = None;
    let mut busy_in_a_row = 0;
    loop {
        wait_until_behind(&node, topic).await;
        // Other nodes may offer another patch, so a download that has begun continues at the same
        // node.
        let resumed = last.filter(|_| download.has_started());
        let Some(from) = resumed.or_else(|| choose_source(&node, topic, failed.take())) else {
            sleep(RETRY_PAUSE).await;
            continue;
        };
        let mut pull = Pull::new(&node, topic, from);
        let result = pull.configuration(&mut download).await;
        last = matches!(result, Ok(Outcome::Busy)).then_some(from);
        failed = result.is_err().then_some(from);
        busy_in_a_row = pull.finish(result, busy_in_a_row).await;
    }
}

/// Waits until another node announces newer data, and this node's own read of the store has not
/// returned it during the delay.
async fn wait_until_behind(node: &Node, topic: Topic) {
    let mut announced = node.peer_offsets.subscribe();
    loop {
        if node.is_behind(topic) {
            sleep(store_head_start(node, topic)).await;
        }
        if node.is_behind(topic) {
            return;
        }
        // Never fails: the node owns the sender.
        let _ = announced.changed().await;
    }
}

/// Delay of a pull in favour of this node's own read of the store.
fn store_head_start(node: &Node, topic: Topic) -> Duration {
    let is_empty = node.mirror().offsets().of(topic) == 0;
    match () {
        () if node.last_store_call_failed() => Duration::ZERO,
        () if is_empty && node.known_others().is_some_and(|others| others > MAX_NEAR_PEERS) => {
            Duration::ZERO
        }
        () if is_empty => FIRST_STORE_HEAD_START,
        () if node.store_reachable() => STORE_HEAD_START,
        () => Duration::ZERO,
    }
}

/// Chooses a random node with newer data, except for one that failed; one of this failure domain if
/// possible. Random, so that not all nodes ask the same one.
fn choose_source(node: &Node, topic: Topic, failed: Option<IpAddr>) -> Option<IpAddr> {
    let known = node.mirror().offsets().of(topic);
    let sources =
        lock(&node.members).sources(node.now(), failed, |offsets| offsets.of(topic) > known);
    sources.choose(&mut rand::rng()).copied()
}

fn random_duration(range_ms: Range<u64>) -> Duration {
    Duration::from_millis(rand::rng().random_range(range_ms))
}
