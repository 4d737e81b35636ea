//! What nodes tell each other: heartbeats by UDP, and what the store holds by tarpc when one is behind.
//!
//! A heartbeat says how far its sender has read the store and what it has at endpoints. A node that
//! learns of something newer, and does not read it from the store itself at once, pulls it from
//! the sender. So few nodes need to read, and those that the store turns away follow the others.
//!
//! Between heartbeats a node tells its near ones at once which requests came to an engine and left
//! it, since a prefill is over before the next heartbeat.
//!
//! Which nodes read follows from the heartbeats, without agreement: the first few of a failure domain
//! by name, passing over those whose reads fail. Two that differ for a moment read both.

use crate::event;
use crate::history::{Piece, Wanted};
use crate::members::{Heartbeat, Message, Scope};
use crate::mirror::{Part, Topic};
use crate::node::{Node, lock};
use crate::{limit, pull, quarantine, quota};
use crosslane_coordination::heartbeat::FAR_EVERY;
use crosslane_coordination::limits;
use crosslane_coordination::suspicion::Word;
use crosslane_platform::store::Client;
use crosslane_state::endpoint::Tag;
use crosslane_state::fingerprint::Fingerprint;
use crosslane_state::time::Millis;
use futures::StreamExt;
use log::{debug, warn};
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tarpc::context;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

/// Topic in which nodes leave their addresses.
const NODES: &str = "keyed.nodes";

/// Heartbeats between those to silent nodes.
const SILENT_EVERY: u64 = 8;

/// Pause before the store is asked again for the nodes' addresses: refused calls are priced. It doubles
/// with each failure up to so often: hundreds of nodes may have started while the store is out.
const ENLIST_PAUSE: Duration = Duration::from_millis(700);
const ENLIST_DOUBLED: u32 = 3;

/// Pause after a failed receive, which would else be tried without end.
const RECEIVE_PAUSE: Duration = Duration::from_millis(20);

/// Time in which updates are gathered into one message: small against a prefill of 100 ms.
const UPDATE_BATCH: Duration = Duration::from_millis(3);

/// Near nodes that are told of a configuration by each one that got it: the nodes
/// that have it multiply with each round, while each has room on its link for a few.
const NEWS_TO: usize = 8;

/// Pause after limits were told: what changes meanwhile goes into one message, also when endpoints name another limit in
/// each answer.
const LIMITS_PAUSE: Duration = Duration::from_millis(20);

/// Words in a datagram: some 100 bytes each.
const WORDS: usize = 200;

/// Least time between two questions for rulings, or for limits, in milliseconds: hundreds of nodes may know the same that this
/// one lacks.
const ASK_PAUSE: u64 = 300;

/// Largest datagram.
const DATAGRAM: usize = 60_000;

/// Answer to a node that asks for what is newer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Told<T> {
    /// Some of it.
    Some(T),
    /// Enough was sent for now: others may have it too.
    Busy,
    /// This node knows nothing newer.
    Nothing,
}

/// What nodes ask each other by tarpc.
#[tarpc::service]
pub trait Peer {
    /// Endpoints' records beyond an offset; of a list, those after a key.
    async fn endpoints(from: u64, after: Option<String>) -> Told<Part>;
    /// The next piece of a newer configuration.
    async fn configuration(wanted: Wanted) -> Told<Piece>;
}

#[derive(Clone)]
struct Server(Arc<Node>);

impl Peer for Server {
    async fn endpoints(self, _: context::Context, from: u64, after: Option<String>) -> Told<Part> {
        let node = &self.0;
        let part = node.mirror().part(from, after.as_deref());
        // A whole list is large; what was lacking a moment ago is told however busy the link is.
        if matches!(part, Part::Listed { .. }) && !node.has_room() {
            return Told::Busy;
        }
        node.count_told(part.len());
        Told::Some(part)
    }

    async fn configuration(self, _: context::Context, wanted: Wanted) -> Told<Piece> {
        let node = &self.0;
        if !node.has_room() {
            return Told::Busy;
        }
        match node.mirror().piece(wanted) {
            Ok(Some(piece)) => {
                node.count_told(piece.len());
                Told::Some(piece)
            }
            Ok(None) => Told::Nothing,
            Err(error) => {
                warn!(why:% = error; "{}", event::SKIPPED);
                Told::Nothing
            }
        }
    }
}

/// Serves and follows other nodes for good.
pub async fn run(node: Arc<Node>) -> io::Result<()> {
    let address = SocketAddr::new(node.settings.ip, node.settings.peer_port);
    let socket = Arc::new(UdpSocket::bind(address).await?);
    // Set once: a node has one socket.
    let _ = node.socket.set(socket.clone());
    tokio::spawn(serve(node.clone(), address));
    tokio::spawn(enlist(node.clone()));
    tokio::spawn(tell(node.clone(), socket.clone()));
    tokio::spawn(tell_updates(node.clone(), socket.clone()));
    tokio::spawn(tell_news(node.clone(), socket.clone()));
    tokio::spawn(tell_words(node.clone(), socket.clone()));
    tokio::spawn(tell_limits(node.clone(), socket.clone()));
    tokio::spawn(pull::follow_endpoints(node.clone()));
    tokio::spawn(pull::follow_configuration(node.clone()));
    listen(node, socket).await
}

async fn serve(node: Arc<Node>, address: SocketAddr) {
    let listener = match tarpc::serde_transport::tcp::listen(address, Bincode::default).await {
        Ok(listener) => listener,
        Err(error) => {
            warn!(dependency = "peers", why:% = error; "{}", event::LOST);
            return;
        }
    };
    let accepted = listener.filter_map(|it| async { it.ok() });
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

/// Leaves this node's address in the store and reads the others'.
async fn enlist(node: Arc<Node>) {
    let mut client = Client::new(node.settings.store_address);
    let value = node.settings.ip.to_string();
    let mut appended = false;
    let mut failures = 0_u32;
    loop {
        let result = async {
            if !appended {
                client.append(NODES, &node.settings.vm, value.as_bytes(), None).await?;
                appended = true;
            }
            client.latest(NODES).await
        };
        match result.await {
            Ok(page) => {
                let values = page.records.iter().filter_map(|it| it.value.as_deref());
                let texts = values.filter_map(|it| std::str::from_utf8(it).ok());
                let mut members = lock(&node.members);
                texts.filter_map(|it| it.parse().ok()).for_each(|ip| members.add(ip));
                drop(members);
                node.changed.notify_one();
                return;
            }
            Err(error) => {
                debug!("addresses of nodes: {error}");
                sleep(ENLIST_PAUSE * (1 << failures.min(ENLIST_DOUBLED))).await;
                failures += 1;
            }
        }
    }
}

/// What this node tells now.
fn heartbeat(node: &Node) -> Heartbeat {
    let now = node.now();
    let ends = node.mirror().ends();
    let limits = node.limits().digest();
    let (usage, changing) = {
        let pool = node.pool();
        (pool.usage(now), pool.changing(now))
    };
    Heartbeat {
        vm: node.settings.vm.clone(),
        domain: node.settings.domain.clone(),
        interval: lock(&node.members).interval(),
        steady: node.stopping.borrow().is_none(),
        fed: node.fed(),
        returned: node.returned(),
        ends,
        usage,
        changing,
        limits,
    }
}

async fn tell(node: Arc<Node>, socket: Arc<UdpSocket>) {
    let mut round = 0_u64;
    let mut changed = true;
    loop {
        let now = node.now();
        let heartbeat = heartbeat(&node);
        let addresses = {
            let mut members = lock(&node.members);
            let scope = if members.take_found() { Scope::All } else { scope(round, changed) };
            members.addresses(scope, now)
        };
        node.meter.peers.set(lock(&node.members).addresses(Scope::Live, now).len() as i64);
        send(&node, &socket, &Message::Heartbeat(heartbeat), &addresses).await;
        tell_rulings(&node, &socket, &addresses).await;
        round += 1;
        // A change is told at once.
        let interval = Duration::from_millis(lock(&node.members).interval().near);
        changed = timeout(interval, node.changed.notified()).await.is_ok();
    }
}

/// Who gets a heartbeat.
fn scope(round: u64, changed: bool) -> Scope {
    match round {
        round if round.is_multiple_of(SILENT_EVERY) => Scope::All,
        round if changed || round.is_multiple_of(FAR_EVERY) => Scope::Live,
        _ => Scope::Near,
    }
}

/// Tells near nodes of requests that came to engines and left them.
async fn tell_updates(node: Arc<Node>, socket: Arc<UdpSocket>) {
    loop {
        node.updated.notified().await;
        sleep(UPDATE_BATCH).await;
        let addresses = lock(&node.members).addresses(Scope::Near, node.now());
        let usage = node.pool().updates(node.now());
        if !usage.is_empty() {
            send(&node, &socket, &Message::Update { vm: node.tag(), usage }, &addresses).await;
        }
    }
}

/// Tells some near nodes of a configuration that came from another node, so that those who lack it have
/// more than the few that read the store to ask.
async fn tell_news(node: Arc<Node>, socket: Arc<UdpSocket>) {
    loop {
        node.gained.notified().await;
        let near = lock(&node.members).addresses(Scope::Near, node.now());
        let some: Vec<_> = near.choose_multiple(&mut rand::rng(), NEWS_TO).copied().collect();
        let ends = node.mirror().ends();
        send(&node, &socket, &Message::News { ends }, &some).await;
    }
}

/// Tells all others at once of requests under which endpoints ended: copies may come to any node, and the
/// rest is decided by who knows first.
async fn tell_words(node: Arc<Node>, socket: Arc<UdpSocket>) {
    loop {
        node.suspected.notified().await;
        let words = node.quarantine().words();
        let addresses = lock(&node.members).addresses(Scope::Live, node.now());
        send_words(&node, &socket, words, &addresses).await;
    }
}

async fn send_words(
    node: &Node,
    socket: &UdpSocket,
    words: Vec<(Fingerprint, Word)>,
    addresses: &[IpAddr],
) {
    for words in words.chunks(WORDS) {
        let message = Message::Words { vm: node.tag(), words: words.to_vec() };
        send(node, socket, &message, addresses).await;
    }
}

/// Tells others at once of limits that endpoints begin to name, change or no longer name.
async fn tell_limits(node: Arc<Node>, socket: Arc<UdpSocket>) {
    loop {
        node.limited.notified().await;
        let news = node.limits().news();
        let live = lock(&node.members).addresses(Scope::Live, node.now());
        send_limits(&node, &socket, news.all, &live).await;
        for (endpoint, word) in news.owners {
            let owners = lock(&node.members).owners(endpoint, node.now());
            send_limits(&node, &socket, vec![(endpoint, word)], &owners).await;
        }
        sleep(LIMITS_PAUSE).await;
    }
}

async fn send_limits(
    node: &Node,
    socket: &UdpSocket,
    words: Vec<(Tag, limits::Word)>,
    addresses: &[IpAddr],
) {
    for words in words.chunks(WORDS) {
        send(node, socket, &Message::Limits { words: words.to_vec() }, addresses).await;
    }
}

/// Tells which rulings this node knows, if any, so that whoever missed one asks for it.
async fn tell_rulings(node: &Node, socket: &UdpSocket, addresses: &[IpAddr]) {
    let digest = node.quarantine().digest();
    if digest != 0 {
        send(node, socket, &Message::Rulings { digest }, addresses).await;
    }
}

/// Tells a node what is held against requests that are not ruled on, if this node is one of the few of its failure domain
/// that read.
async fn tell_suspects(node: &Node, socket: &UdpSocket, to: IpAddr) {
    if lock(&node.members).reads(node.now()) {
        let words = node.quarantine().known();
        send_words(node, socket, words, &[to]).await;
    }
}

/// Sends all rulings to a node that asks for them.
async fn send_rulings(node: &Node, socket: &UdpSocket, to: IpAddr) {
    let rulings: Vec<_> = node.quarantine().rulings().collect();
    let words = rulings.into_iter().map(|(it, ruling)| (it, Word::Ruled(ruling))).collect();
    send_words(node, socket, words, &[to]).await;
}

async fn send(node: &Node, socket: &UdpSocket, message: &Message, addresses: &[IpAddr]) {
    let bytes = match bincode::serialize(message) {
        Ok(bytes) => bytes,
        Err(error) => {
            warn!(why:% = error; "{}", event::SKIPPED);
            return;
        }
    };
    for ip in addresses {
        // A lost message is made good by the next heartbeat; a node cut off gives an error each time.
        if let Err(error) = socket.send_to(&bytes, (*ip, node.settings.peer_port)).await {
            debug!("message to {ip}: {error}");
        }
    }
}

/// Sends a small message at once, or not at all: whoever waits for an answer does not wait for long.
pub fn post(node: &Node, message: &Message, to: IpAddr) {
    let Some(socket) = node.socket.get() else {
        return;
    };
    match bincode::serialize(message) {
        Ok(bytes) => {
            if let Err(error) = socket.try_send_to(&bytes, (to, node.settings.peer_port).into()) {
                debug!("message to {to}: {error}");
            }
        }
        Err(error) => warn!(why:% = error; "{}", event::SKIPPED),
    }
}

async fn listen(node: Arc<Node>, socket: Arc<UdpSocket>) -> io::Result<()> {
    let mut buffer = vec![0; DATAGRAM];
    let mut asked = None;
    let mut limits_asked = None;
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                debug!("heartbeats: {error}");
                sleep(RECEIVE_PAUSE).await;
                continue;
            }
        };
        match bincode::deserialize(&buffer[..length]) {
            Ok(Message::Heartbeat(heard)) => {
                let differs = heard.limits != node.limits().digest();
                hear(&node, &socket, from.ip(), heard).await;
                let pause = limits_pause(&node);
                if differs && due(&mut limits_asked, pause, node.now()) {
                    send(&node, &socket, &Message::LimitsWanted, &[from.ip()]).await;
                }
            }
            Ok(Message::Update { vm, usage }) => node.pool().update(vm, &usage),
            Ok(Message::News { ends }) => {
                lock(&node.members).hear_news(from.ip(), ends);
                node.hear_of(ends);
            }
            Ok(Message::Words { vm, words }) => quarantine::hear(&node, vm, words),
            Ok(Message::Rulings { digest }) => {
                if digest != node.quarantine().digest() && due(&mut asked, ASK_PAUSE, node.now()) {
                    send(&node, &socket, &Message::RulingsWanted, &[from.ip()]).await;
                }
            }
            Ok(Message::Limits { words }) => limit::hear(&node, &words, from.ip()),
            Ok(Message::LimitsWanted) => {
                let words = node.limits().words();
                send_limits(&node, &socket, words, &[from.ip()]).await;
            }
            Ok(Message::Ask { number, subject, cost, word }) => {
                limit::hear_asker(&node, subject, word, from.ip());
                let answer = quota::answer(&node, number, subject, cost);
                post(&node, &answer, from.ip());
            }
            Ok(Message::Ruled { number, subject, verdict }) => {
                if let Some((subject, cost)) = node.desk(subject).hear(number, verdict) {
                    post(&node, &Message::GivenBack { subject, cost }, from.ip());
                }
            }
            Ok(Message::GivenBack { subject, cost }) => {
                node.desk(subject).hear_back(subject, cost);
            }
            Ok(Message::RulingsWanted) => {
                send_rulings(&node, &socket, from.ip()).await;
                tell_suspects(&node, &socket, from.ip()).await;
            }
            Err(error) => warn!(from:% = from, why:% = error; "{}", event::SKIPPED),
        }
    }
}

/// Time between two questions for limits, in milliseconds. In a large fleet some endpoint begins or ceases to name one at any
/// time, so that nodes hardly ever agree; what a node lacks, it also learns from answers and from owners.
fn limits_pause(node: &Node) -> u64 {
    ASK_PAUSE.max(2 * lock(&node.members).interval().near)
}

/// Whether it is time to ask again for what this node lacks.
fn due(asked: &mut Option<Millis>, pause: u64, now: Millis) -> bool {
    let due = asked.is_none_or(|at| now.since(at) >= pause);
    if due {
        *asked = Some(now);
    }
    due
}

/// Takes a heartbeat; one that is new to this node hears of it at once.
async fn hear(node: &Node, socket: &UdpSocket, from: IpAddr, heard: Heartbeat) {
    let word = lock(&node.members).hear(from, &heard, node.now());
    if let Some(ago) = heard.returned {
        node.hear_returned(ago);
    }
    node.hear_of(heard.ends);
    if !node.behind(Topic::Operators) && !node.behind(Topic::Endpoints) {
        node.refreshed();
    }
    {
        let mut pool = node.pool();
        pool.hear(Tag::of(&heard.vm), heard.usage, word.until);
        pool.hear_changing(&heard.changing, word.until);
    }
    if word.newcomer {
        send(node, socket, &Message::Heartbeat(heartbeat(node)), &[from]).await;
        tell_rulings(node, socket, &[from]).await;
        // One that has just started, or this one, may lack what is held against requests.
        tell_suspects(node, socket, from).await;
        send(node, socket, &Message::RulingsWanted, &[from]).await;
    }
}
