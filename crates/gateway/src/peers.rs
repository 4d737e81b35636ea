//! Messages between nodes: heartbeats by UDP, and data of the store by tarpc for nodes that are
//! behind.
//!
//! A heartbeat holds the offsets up to which its sender has read the store, and its usage of
//! endpoints. A node that receives higher offsets, and does not get the data from the store itself
//! at once, pulls it from the sender. So only a few nodes need to read the store, and those that it
//! rejects follow the others. In a large fleet, newer offsets are also announced to some nodes at
//! once, which announce them in turn when they have the data (`coordination::gossip`).
//!
//! Between heartbeats a node reports to near nodes at once when requests begin or end at an engine,
//! since a prefill is over before the next heartbeat.
//!
//! `members` says which nodes read the store.

use crate::event;
use crate::extension::{self, Candidacy, Extension, LoadReport, QueryContext, SpeedReport};
use crate::history::{Chunk, Request};
use crate::members::{Heartbeat, Message, Scope};
use crate::mirror::{Batch, Offsets, Packed, Topic};
use crate::node::{Node, lock};
use crate::quota::Query;
use crate::{ballot, limit, pull, quarantine, quota, resume};
use crosslane_coordination::gossip;
use crosslane_coordination::heartbeat::FAR_EVERY;
use crosslane_coordination::limits;
use crosslane_coordination::segments;
use crosslane_coordination::suspicion::Update;
use crosslane_platform::store::Client;
use crosslane_state::endpoint::Tag;
use crosslane_state::fingerprint::Fingerprint;
use crosslane_state::time::Millis;
use futures::StreamExt;
use log::{debug, warn};
use serde::{Deserialize, Serialize};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tarpc::context;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

/// Topic of the store in which nodes register their addresses.
const ADDRESS_TOPIC: &str = "keyed.nodes";

/// Number of heartbeats of which one goes to silent nodes too.
const SILENT_EVERY_ROUNDS: u64 = 8;

/// Pause before the next attempt to register, since rejected calls have a price too. It doubles
/// with each failure up to a maximum: hundreds of nodes may start during an outage of the store.
const REGISTER_PAUSE: Duration = Duration::from_millis(700);
const REGISTER_MAX_DOUBLINGS: u32 = 3;

/// Pause after a failed receive, which would otherwise be repeated in a busy loop.
const RECEIVE_PAUSE: Duration = Duration::from_millis(20);

/// Time in which usage updates are gathered into one message: short compared to a prefill of 100
/// ms.
const UPDATE_GATHER_TIME: Duration = Duration::from_millis(3);

/// Pause after a broadcast of limits. Changes during the pause go into one message, even if an
/// endpoint names another limit in each answer.
const LIMITS_PAUSE: Duration = Duration::from_millis(20);

/// Entries in a datagram: some 100 bytes each.
const DATAGRAM_ENTRIES: usize = 200;

/// Endpoints in a datagram whose speeds are reported: some 30 bytes for each band of load, of which an endpoint passes through two or three.
const DATAGRAM_SPEEDS: usize = 120;

/// Crashes in a datagram: some 1,200 bytes each at most.
const DATAGRAM_CRASHES: usize = 40;

/// Minimum time between two requests for all rulings, or for all limits, in milliseconds: hundreds
/// of nodes may send a digest that differs from this node's.
const ASK_PAUSE_MS: u64 = 300;

/// Size of the largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 60_000;

/// Answer to a node that asks for newer data.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Answer<T> {
    /// The data, or the first part of it.
    Data(T),
    /// No bandwidth is left for now; another node may have some.
    Busy,
    /// This node has nothing newer.
    NothingNewer,
}

/// Calls between nodes by tarpc.
#[tarpc::service]
pub trait Peer {
    /// Records of endpoints from an offset on; for the next page of a snapshot, those after a key.
    async fn endpoints(from: u64, after: Option<String>) -> Answer<Batch>;
    /// The next chunk of a newer configuration.
    async fn configuration(request: Request) -> Answer<Chunk>;
    /// Records of endpoints as by `endpoints`, compressed.
    async fn packed_endpoints(from: u64, after: Option<String>) -> Answer<Packed>;
}

#[derive(Clone)]
struct Server(Arc<Node>);

impl Peer for Server {
    async fn endpoints(
        self,
        _: context::Context,
        from: u64,
        after: Option<String>,
    ) -> Answer<Batch> {
        let node = &self.0;
        let batch = node.mirror().batch(from, after.as_deref());
        // Only snapshots are large. Recent changes are sent even without bandwidth left.
        if matches!(batch, Batch::SnapshotPage { .. }) && !node.link_has_room() {
            return Answer::Busy;
        }
        node.count_sent_to_peers(batch.len());
        Answer::Data(batch)
    }

    async fn packed_endpoints(
        self,
        _: context::Context,
        from: u64,
        after: Option<String>,
    ) -> Answer<Packed> {
        let node = &self.0;
        let batch = node.mirror().large_batch(from, after.as_deref());
        if matches!(batch, Batch::SnapshotPage { .. }) && !node.link_has_room() {
            return Answer::Busy;
        }
        match Packed::try_from(&batch) {
            Ok(packed) => {
                node.count_sent_to_peers(packed.len());
                Answer::Data(packed)
            }
            Err(error) => {
                warn!(why:% = error; "{}", event::SKIPPED);
                Answer::NothingNewer
            }
        }
    }

    async fn configuration(self, _: context::Context, request: Request) -> Answer<Chunk> {
        let node = &self.0;
        if !node.link_has_room() {
            return Answer::Busy;
        }
        match node.mirror().chunk(request) {
            Ok(Some(chunk)) => {
                node.count_sent_to_peers(chunk.len());
                Answer::Data(chunk)
            }
            Ok(None) => Answer::NothingNewer,
            Err(error) => {
                warn!(why:% = error; "{}", event::SKIPPED);
                Answer::NothingNewer
            }
        }
    }
}

/// Exchanges state with the other nodes until the process ends.
pub async fn run(node: Arc<Node>) -> io::Result<()> {
    let address = SocketAddr::new(node.settings.ip, node.settings.peer_port);
    let socket = Arc::new(UdpSocket::bind(address).await?);
    // Set only here: a node has one socket.
    let _ = node.socket.set(socket.clone());
    tokio::spawn(serve(node.clone(), address));
    tokio::spawn(register_address(node.clone()));
    tokio::spawn(send_heartbeats(node.clone(), socket.clone()));
    tokio::spawn(ballot::run(node.clone()));
    tokio::spawn(send_usage_updates(node.clone(), socket.clone()));
    tokio::spawn(announce_data(node.clone(), socket.clone()));
    tokio::spawn(broadcast_suspicions(node.clone(), socket.clone()));
    tokio::spawn(broadcast_limits(node.clone(), socket.clone()));
    tokio::spawn(pull::follow_endpoints(node.clone()));
    tokio::spawn(pull::follow_configuration(node.clone()));
    receive(node, socket).await
}

async fn serve(node: Arc<Node>, address: SocketAddr) {
    let listener = match tarpc::serde_transport::tcp::listen(address, Bincode::default).await {
        Ok(listener) => listener,
        Err(error) => {
            warn!(dependency = "peers", why:% = error; "{}", event::LOST);
            return;
        }
    };
    let accepted = listener.filter_map(|channel| async { channel.ok() });
    let channels = accepted.map(BaseChannel::with_defaults);
    channels
        .for_each(|channel| async {
            let requests = channel.execute(Server(node.clone()).serve());
            tokio::spawn(requests.for_each(|answer| async {
                tokio::spawn(answer);
            }));
        })
        .await;
}

/// Registers this node's address in the store, and reads those of the others.
async fn register_address(node: Arc<Node>) {
    let mut client = Client::new(node.settings.store_address);
    let value = node.settings.ip.to_string();
    let mut appended = false;
    let mut failures = 0_u32;
    loop {
        let result = async {
            if !appended {
                client.append(ADDRESS_TOPIC, &node.settings.vm, value.as_bytes(), None).await?;
                appended = true;
            }
            client.latest(ADDRESS_TOPIC).await
        };
        match result.await {
            Ok(page) => {
                let values = page.records.iter().filter_map(|record| record.value.as_deref());
                let texts = values.filter_map(|value| std::str::from_utf8(value).ok());
                let mut members = lock(&node.members);
                texts.filter_map(|text| text.parse().ok()).for_each(|ip| members.add(ip));
                drop(members);
                node.addresses_read.store(true, Ordering::Relaxed);
                node.heartbeat_due.notify_one();
                return;
            }
            Err(error) => {
                debug!("registering this node's address failed: {error}");
                sleep(REGISTER_PAUSE * (1 << failures.min(REGISTER_MAX_DOUBLINGS))).await;
                failures += 1;
            }
        }
    }
}

/// Builds a heartbeat with the current state.
fn current_heartbeat(node: &Node) -> Heartbeat {
    let now = node.now();
    let offsets = node.mirror().offsets();
    let limits_digest = node.limits().digest();
    let (usage, stage_changes) = {
        let pool = node.pool();
        (pool.local_usage(now), pool.pending_stage_orders(now))
    };
    Heartbeat {
        vm: node.settings.vm.clone(),
        domain: node.settings.domain.clone(),
        interval: lock(&node.members).interval(),
        active: node.stopping.borrow().is_none(),
        store_reachable: node.store_reachable(),
        store_recovered_ago_ms: node.store_recovered_ago_ms(),
        offsets,
        usage,
        stage_changes,
        limits_digest,
    }
}

/// Builds the reports that follow a heartbeat.
fn current_extension(node: &Node) -> Extension {
    let mut waiting = node.waiting.report(node.now());
    waiting.truncate(DATAGRAM_ENTRIES);
    let pool = node.pool();
    let loads = pool.recent_loads(node.now()).take(DATAGRAM_ENTRIES);
    let loads = loads.map(|(endpoint, load, age_ms)| LoadReport { endpoint, load, age_ms });
    let speeds = pool.speed_rows(DATAGRAM_SPEEDS, node.now()).into_iter();
    Extension {
        loads: loads.collect(),
        waiting,
        speeds: speeds.flat_map(SpeedReport::of).collect(),
        candidacy: vec![ballot::candidacy(node)],
        ..Extension::default()
    }
}

/// Applies the reports that followed a heartbeat of a node, which expires at a time.
fn apply_extension(node: &Node, from: Tag, extension: Extension, expires_at: Millis) {
    let now = node.now();
    node.waiting.merge(from, extension.waiting, now, expires_at);
    let mut pool = node.pool();
    for LoadReport { endpoint, load, age_ms } in extension.loads {
        pool.merge_load(endpoint, load, now - u64::from(age_ms));
    }
    pool.apply_speed_rows(from, SpeedReport::rows(&extension.speeds), now, expires_at);
}

async fn send_heartbeats(node: Arc<Node>, socket: Arc<UdpSocket>) {
    let mut round = 0_u64;
    let mut changed = true;
    let mut told = Vec::new();
    loop {
        let now = node.now();
        let addresses = {
            let mut members = lock(&node.members);
            let scope = if members.take_unannounced() { Scope::All } else { scope(round, changed) };
            members.addresses(scope, now)
        };
        node.metrics.peers.set(lock(&node.members).addresses(Scope::Live, now).len() as i64);
        send_heartbeat(&node, &socket, &addresses).await;
        send_rulings_digest(&node, &socket, &addresses).await;
        let services = node.lost();
        if !services.is_empty() || !told.is_empty() {
            let message = Message::Lost { services: services.clone() };
            send(&node, &socket, &message, &addresses).await;
            told = services;
        }
        round += 1;
        // A change ends the wait early.
        let interval = Duration::from_millis(lock(&node.members).interval().near_ms);
        changed = timeout(interval, node.heartbeat_due.notified()).await.is_ok();
    }
}

/// Scope of a heartbeat.
fn scope(round: u64, changed: bool) -> Scope {
    match round {
        round if round.is_multiple_of(SILENT_EVERY_ROUNDS) => Scope::All,
        round if changed || round.is_multiple_of(FAR_EVERY) => Scope::Live,
        _ => Scope::Near,
    }
}

/// Sends usage updates when requests begin or end at engines: to all near nodes, or to some of them if
/// each request has few of many engines as candidates.
async fn send_usage_updates(node: Arc<Node>, socket: Arc<UdpSocket>) {
    loop {
        node.usage_changed.notified().await;
        sleep(UPDATE_GATHER_TIME).await;
        let scope = if node.pool().samples() { Scope::Successors } else { Scope::Near };
        let addresses = lock(&node.members).addresses(scope, node.now());
        let usage = node.pool().take_usage_delta(node.now());
        if !usage.is_empty() {
            send(&node, &socket, &Message::UsageDelta { vm: node.tag(), usage }, &addresses).await;
        }
    }
}

/// Announces newer data to some nodes, and once more to others if nothing changes for a while.
async fn announce_data(node: Arc<Node>, socket: Arc<UdpSocket>) {
    let mut repeats = false;
    loop {
        let changed = node.data_changed.notified();
        let changed = match repeats {
            true => timeout(Duration::from_millis(gossip::REPEAT_MS), changed).await.is_ok(),
            false => {
                changed.await;
                true
            }
        };
        repeats = changed;
        let (near, far, is_reader) = {
            let mut members = lock(&node.members);
            let (near, far) = members.near_and_far(node.now());
            (near, far, members.is_store_reader(node.now()))
        };
        let chosen = gossip::targets(&near, &far, is_reader, &mut rand::rng());
        let offsets = node.mirror().offsets();
        send(&node, &socket, &Message::Offsets { offsets }, &chosen).await;
    }
}

/// Broadcasts suspicions about requests that may crash endpoints. Copies of such a request may
/// arrive at any node, and each further one can crash an endpoint until that node has the
/// suspicion.
async fn broadcast_suspicions(node: Arc<Node>, socket: Arc<UdpSocket>) {
    loop {
        node.suspicions_changed.notified().await;
        let updates = node.quarantine().take_outbox();
        let segments = node.segments().take_outbox();
        let addresses = lock(&node.members).addresses(Scope::Live, node.now());
        send_suspicions(&node, &socket, updates, &addresses).await;
        send_segments(&node, &socket, &segments, &addresses).await;
    }
}

async fn send_segments(
    node: &Node,
    socket: &UdpSocket,
    updates: &[segments::Update],
    addresses: &[IpAddr],
) {
    for chunk in updates.chunks(DATAGRAM_CRASHES) {
        let message = Message::Segments { updates: chunk.to_vec() };
        send(node, socket, &message, addresses).await;
    }
}

async fn send_suspicions(
    node: &Node,
    socket: &UdpSocket,
    updates: Vec<(Fingerprint, Update)>,
    addresses: &[IpAddr],
) {
    for chunk in updates.chunks(DATAGRAM_ENTRIES) {
        let message = Message::Suspicions { vm: node.tag(), updates: chunk.to_vec() };
        send(node, socket, &message, addresses).await;
    }
}

/// Broadcasts rate limits that endpoints named, changed or withdrew.
async fn broadcast_limits(node: Arc<Node>, socket: Arc<UdpSocket>) {
    loop {
        node.limits_changed.notified().await;
        let outbox = node.limits().take_outbox();
        let live = lock(&node.members).addresses(Scope::Live, node.now());
        send_limits(&node, &socket, outbox.all, &live).await;
        for (endpoint, update) in outbox.owners {
            let owners = lock(&node.members).owners(endpoint, node.now());
            send_limits(&node, &socket, vec![(endpoint, update)], &owners).await;
        }
        sleep(LIMITS_PAUSE).await;
    }
}

async fn send_limits(
    node: &Node,
    socket: &UdpSocket,
    updates: Vec<(Tag, limits::Update)>,
    addresses: &[IpAddr],
) {
    for chunk in updates.chunks(DATAGRAM_ENTRIES) {
        send(node, socket, &Message::Limits { updates: chunk.to_vec() }, addresses).await;
    }
}

/// Sends the digest of the rulings, if there are any. A node with another digest asks for them.
async fn send_rulings_digest(node: &Node, socket: &UdpSocket, addresses: &[IpAddr]) {
    let digest = node.quarantine().digest();
    if digest != 0 {
        send(node, socket, &Message::RulingsDigest { digest }, addresses).await;
    }
    let digest = node.segments().digest();
    if digest != 0 {
        send(node, socket, &Message::SegmentsDigest { digest }, addresses).await;
    }
}

/// Sends a node the suspicions that have no ruling yet, if this node is a reader of the store in
/// its failure domain.
async fn send_unruled_suspicions(node: &Node, socket: &UdpSocket, to: IpAddr) {
    if lock(&node.members).is_store_reader(node.now()) {
        let updates = node.quarantine().known_strikes();
        send_suspicions(node, socket, updates, &[to]).await;
        let updates = node.segments().snapshot();
        send_segments(node, socket, &updates, &[to]).await;
    }
}

/// Sends all rulings to a node that asked for them.
async fn send_rulings(node: &Node, socket: &UdpSocket, to: IpAddr) {
    let rulings: Vec<_> = node.quarantine().rulings().collect();
    let updates =
        rulings.into_iter().map(|(request, ruling)| (request, Update::Ruled(ruling))).collect();
    send_suspicions(node, socket, updates, &[to]).await;
}

async fn send(node: &Node, socket: &UdpSocket, message: &Message, addresses: &[IpAddr]) {
    match bincode::serialize(message) {
        Ok(bytes) => send_bytes(node, socket, &bytes, addresses).await,
        Err(error) => warn!(why:% = error; "{}", event::SKIPPED),
    }
}

/// Sends a heartbeat and the reports that follow it.
async fn send_heartbeat(node: &Node, socket: &UdpSocket, addresses: &[IpAddr]) {
    let heartbeat = bincode::serialize(&Message::Heartbeat(current_heartbeat(node)));
    let encoded = heartbeat.and_then(|mut bytes| {
        let extension = current_extension(node).encode()?;
        // A heartbeat that does not fit into a datagram would make this node look silent.
        if bytes.len() + extension.len() <= MAX_DATAGRAM_BYTES {
            bytes.extend(extension);
        }
        Ok(bytes)
    });
    match encoded {
        Ok(bytes) => send_bytes(node, socket, &bytes, addresses).await,
        Err(error) => warn!(why:% = error; "{}", event::SKIPPED),
    }
}

async fn send_bytes(node: &Node, socket: &UdpSocket, bytes: &[u8], addresses: &[IpAddr]) {
    for ip in addresses {
        node.load.link.add_written(bytes.len());
        // The next heartbeat makes up for a lost message; a node that can't be reached gives an
        // error each time.
        if let Err(error) = socket.send_to(bytes, (*ip, node.settings.peer_port)).await {
            debug!("sending to {ip} failed: {error}");
        }
    }
}

/// Sends a small message without waiting, or drops it, since a request is waiting for the answer.
pub fn try_send(node: &Node, message: &Message, to: IpAddr) {
    try_send_with(node, message, &Extension::default(), to);
}

/// Sends a small message and what accompanies it, as `try_send` does.
pub fn try_send_with(node: &Node, message: &Message, extension: &Extension, to: IpAddr) {
    let Some(socket) = node.socket.get() else {
        return;
    };
    let encoded = bincode::serialize(message).and_then(|mut bytes| {
        bytes.extend(extension.encode()?);
        Ok(bytes)
    });
    match encoded {
        Ok(bytes) => {
            if let Err(error) = socket.try_send_to(&bytes, (to, node.settings.peer_port).into()) {
                debug!("sending to {to} failed: {error}");
            }
        }
        Err(error) => warn!(why:% = error; "{}", event::SKIPPED),
    }
}

async fn receive(node: Arc<Node>, socket: Arc<UdpSocket>) -> io::Result<()> {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut rulings_last_asked = None;
    let mut segments_last_asked = None;
    let mut limits_last_asked = None;
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => {
                node.load.link.add_read(received.0);
                received
            }
            Err(error) => {
                debug!("receiving failed: {error}");
                sleep(RECEIVE_PAUSE).await;
                continue;
            }
        };
        let mut bytes = &buffer[..length];
        match extension::decode_part(&mut bytes) {
            Ok(Message::Heartbeat(heartbeat)) => {
                let extension = Extension::decode(bytes).unwrap_or_else(|error| {
                    warn!(from:% = from, why:% = error; "{}", event::SKIPPED);
                    Extension::default()
                });
                let differs = heartbeat.limits_digest != node.limits().digest();
                let sender = Tag::of(&heartbeat.vm);
                let candidacy = extension.candidacy.first().copied();
                let expires_at =
                    handle_heartbeat(&node, &socket, from.ip(), heartbeat, candidacy).await;
                apply_extension(&node, sender, extension, expires_at);
                node.waiting.wake_all();
                let pause_ms = limits_ask_pause_ms(&node);
                if differs && is_due(&mut limits_last_asked, pause_ms, node.now()) {
                    send(&node, &socket, &Message::LimitsRequest, &[from.ip()]).await;
                }
            }
            Ok(Message::UsageDelta { vm, usage }) => {
                node.pool().apply_usage_delta(vm, &usage);
                node.waiting.wake_all();
            }
            Ok(Message::Offsets { offsets }) => {
                lock(&node.members).record_offsets(from.ip(), offsets);
                node.record_peer_offsets(offsets);
            }
            Ok(Message::Suspicions { vm, updates }) => {
                quarantine::apply_updates(&node, vm, updates)
            }
            Ok(Message::RulingsDigest { digest }) => {
                if digest != node.quarantine().digest()
                    && is_due(&mut rulings_last_asked, ASK_PAUSE_MS, node.now())
                {
                    send(&node, &socket, &Message::RulingsRequest, &[from.ip()]).await;
                }
            }
            Ok(Message::Segments { updates }) => quarantine::apply_segment_updates(&node, updates),
            Ok(Message::SegmentsDigest { digest }) => {
                if digest != node.segments().digest()
                    && is_due(&mut segments_last_asked, ASK_PAUSE_MS, node.now())
                {
                    send(&node, &socket, &Message::SegmentsRequest, &[from.ip()]).await;
                }
            }
            Ok(Message::SegmentsRequest) => {
                let updates = node.segments().snapshot();
                send_segments(&node, &socket, &updates, &[from.ip()]).await;
            }
            Ok(Message::Limits { updates }) => limit::apply_updates(&node, &updates, from.ip()),
            Ok(Message::Lost { services }) => {
                lock(&node.members).set_lost(from.ip(), &services, node.now());
            }
            Ok(Message::LimitsRequest) => {
                let updates = node.limits().snapshot();
                send_limits(&node, &socket, updates, &[from.ip()]).await;
            }
            Ok(Message::QuotaRequest { number, subject, cost, limit }) => {
                limit::sync_with_querier(&node, subject, limit, from.ip());
                let context = match Extension::decode(bytes) {
                    Ok(extension) => extension.query.first().copied().unwrap_or_default(),
                    Err(error) => {
                        warn!(from:% = from, why:% = error; "{}", event::SKIPPED);
                        QueryContext::default()
                    }
                };
                let query = Query { number, subject, cost, named: limit, context };
                quota::answer(&node, query, from.ip());
            }
            Ok(Message::QuotaReply { number, subject, decision }) => {
                if let Some((subject, cost)) = node.limiter(subject).resolve(number, decision) {
                    node.metrics.count_late_reply("late");
                    try_send(&node, &Message::QuotaRefund { subject, cost }, from.ip());
                }
            }
            Ok(Message::QuotaRefund { subject, cost }) => {
                quota::refund(&node, subject, cost, from.ip());
            }
            Ok(Message::Ballot(votes)) => ballot::record(&node, from.ip(), &votes),
            Ok(Message::Recall(votes)) => ballot::give_back(&node, from.ip(), &votes),
            Ok(Message::Returned(votes)) => ballot::take_back(&node, from.ip(), &votes),
            Ok(Message::Streams { begun }) => resume::record(&node, &begun),
            Ok(Message::StreamQuery { number, name, service, span_ms }) => {
                resume::reply(&node, number, name, service, span_ms, from.ip());
            }
            Ok(Message::StreamReply { number, knowledge }) => {
                node.stream_queries.resolve(number, knowledge);
            }
            Ok(Message::RulingsRequest) => {
                send_rulings(&node, &socket, from.ip()).await;
                send_unruled_suspicions(&node, &socket, from.ip()).await;
            }
            Err(error) => warn!(from:% = from, why:% = error; "{}", event::SKIPPED),
        }
    }
}

/// Minimum time between two requests for all limits, in milliseconds. In a large fleet endpoints
/// begin and cease to name limits all the time, so the digests of two nodes are rarely equal. A
/// node also learns limits from answers of endpoints and from the owners.
fn limits_ask_pause_ms(node: &Node) -> u64 {
    ASK_PAUSE_MS.max(2 * lock(&node.members).interval().near_ms)
}

/// Whether enough time has passed to ask again.
fn is_due(last_asked: &mut Option<Millis>, pause_ms: u64, now: Millis) -> bool {
    let due = last_asked.is_none_or(|at| now.since(at) >= pause_ms);
    if due {
        *last_asked = Some(now);
    }
    due
}

/// Handles a heartbeat; a near node that was silent before gets one in return at once. Returns the time at which it expires.
async fn handle_heartbeat(
    node: &Node,
    socket: &UdpSocket,
    from: IpAddr,
    heartbeat: Heartbeat,
    candidacy: Option<Candidacy>,
) -> Millis {
    let receipt = lock(&node.members).record_heartbeat(from, &heartbeat, node.now());
    ballot::hear(node, from, &heartbeat, candidacy, receipt.silent);
    let lacks_data = heartbeat.offsets == Offsets::default();
    if let Some(ago_ms) = heartbeat.store_recovered_ago_ms {
        node.record_peer_recovery(ago_ms);
    }
    node.record_peer_offsets(heartbeat.offsets);
    if !node.is_behind(Topic::Operators) && !node.is_behind(Topic::Endpoints) {
        node.mark_up_to_date();
    }
    {
        let mut pool = node.pool();
        pool.apply_usage_report(Tag::of(&heartbeat.vm), heartbeat.usage, receipt.expires_at);
        pool.merge_stage_orders(&heartbeat.stage_changes, receipt.expires_at);
    }
    // Who can't read the store knows the seeds only.
    let lost = receipt.silent && lacks_data && node.is_seed() && !node.mirror().is_empty();
    if receipt.newcomer || lost {
        send_heartbeat(node, socket, &[from]).await;
        send_rulings_digest(node, socket, &[from]).await;
        // Either node may just have started and lack suspicions and rulings.
        send_unruled_suspicions(node, socket, from).await;
        send(node, socket, &Message::RulingsRequest, &[from]).await;
        send(node, socket, &Message::SegmentsRequest, &[from]).await;
    }
    // A node that has just started can vote for this one only once it has heard it.
    if receipt.silent && !receipt.newcomer && !lost && ballot::is_preferred(node) {
        send_heartbeat(node, socket, &[from]).await;
    }
    receipt.expires_at
}
