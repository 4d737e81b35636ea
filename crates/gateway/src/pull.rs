//! Takes from other nodes what they know of the store and this one does not.
//!
//! Endpoints' records and the configuration are pulled apart, so that an endpoint's leaving never
//! waits behind a large configuration. Both come in pieces with a time limit each: a transfer that
//! goes on is never given up, however long it takes, and one that stalls is taken up at another node
//! from where it was. With one limit of a second for all, two versions of 0.5 MB never arrived over
//! 10 Mbit/s, and nodes kept older routes for good.

use crate::event;
use crate::history::Download;
use crate::metrics::Metrics;
use crate::mirror::{List, Part, Topic};
use crate::node::{Node, lock};
use crate::peers::{PeerClient, Told};
use crosslane_state::time::Millis;
use log::{info, warn};
use rand::Rng;
use rand::seq::IndexedRandom;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{client, context};
use tokio::time::{sleep, timeout};

/// Time given to the store to bring what another node told of, before it is pulled from there.
const OWN_READ: Duration = Duration::from_millis(120);

/// Time for a connection, and for each answer: 27 times what a piece takes on a link of 10 Mbit/s, and
/// short enough to ask three nodes within the 3 s in which a change is to be in force.
const ANSWER: Duration = Duration::from_millis(700);

/// Pause after a failed pull, which would else be tried without end.
const PAUSE: Duration = Duration::from_millis(100);

/// Pauses after a node said that its link is busy, in milliseconds: about as long as it takes to send
/// what made it so. Drawn, so that those sent away do not meet again.
const BUSY: Range<u64> = 30..120;

/// How often these pauses double while others go on being busy: up to 1 s, so that hundreds of nodes that start
/// at once do not keep the first ones from serving.
const DOUBLED: u32 = 3;

/// Time given to the store while a node knows nothing of a topic: longer, since it brings all there is.
const FIRST_READ: Duration = Duration::from_millis(400);

/// Name of the source in logs of what came from another node.
const PEER: &str = "peer";

/// How a pull ended that did not fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// Nothing more is lacking.
    Complete,
    /// The other node knows no more, while a third one does.
    Exhausted,
    /// The other node has no room on its link.
    Busy,
}

/// One pull from another node.
struct Pull<'a> {
    node: &'a Node,
    topic: Topic,
    from: IpAddr,
    /// Offset up to which the topic was known before.
    known: u64,
    /// Offset up to which some node knows it.
    told: u64,
    began: Millis,
    pieces: usize,
    bytes: usize,
}

impl<'a> Pull<'a> {
    fn new(node: &'a Node, topic: Topic, from: IpAddr) -> Self {
        let known = node.mirror().ends().of(topic);
        let told = node.told.borrow().of(topic);
        Self { node, topic, from, known, told, began: node.now(), pieces: 0, bytes: 0 }
    }

    async fn connect(&self) -> io::Result<PeerClient> {
        let address = SocketAddr::new(self.from, self.node.settings.peer_port);
        let connecting = tarpc::serde_transport::tcp::connect(address, Bincode::default);
        let transport = timeout(ANSWER, connecting).await??;
        Ok(PeerClient::new(client::Config::default(), transport).spawn())
    }

    /// Offset up to which the topic is known now.
    fn now(&self) -> u64 {
        self.node.mirror().ends().of(self.topic)
    }

    fn came(&mut self, bytes: usize) {
        self.pieces += 1;
        self.bytes += bytes;
    }

    /// Logs and counts how it ended, and waits before the next one if there is no use in it yet. Takes and
    /// gives how often in a row others were busy.
    async fn ended(self, result: io::Result<Outcome>, turned_away: u32) -> u32 {
        let took_ms = self.node.now().since(self.began);
        Metrics::observe(&self.node.meter.pull, Duration::from_millis(took_ms));
        let now = self.now();
        let Self { node, topic, from, known, told, pieces, bytes, .. } = self;
        let topic = topic.name();
        match &result {
            Ok(outcome) => {
                info!(from:% = from, topic, outcome:? = outcome, known, now, pieces, bytes, took_ms; "{}", event::PULLED);
            }
            Err(error) => {
                node.meter.pull_failures.inc();
                warn!(from:% = from, topic, known, now, told, pieces, bytes, took_ms, why:% = error; "{}", event::PULL_FAILED);
            }
        }
        match result {
            Ok(Outcome::Busy) => {
                sleep(drawn(BUSY) * (1 << turned_away.min(DOUBLED))).await;
                return turned_away + 1;
            }
            Ok(_) if now > known => {}
            Ok(_) | Err(_) => sleep(PAUSE).await,
        }
        0
    }

    async fn endpoints(&mut self, list: &mut List) -> io::Result<Outcome> {
        let peer = self.connect().await?;
        loop {
            let known = self.now();
            if known >= self.told {
                *list = List::default();
                return Ok(Outcome::Complete);
            }
            let asked = peer.endpoints(context::current(), known, list.after().cloned());
            let part = match timeout(ANSWER, asked).await?.map_err(io::Error::other)? {
                Told::Some(part) => part,
                Told::Busy => return Ok(Outcome::Busy),
                Told::Nothing => return Ok(Outcome::Exhausted),
            };
            self.came(part.len());
            let change = match part {
                Part::Recent { entries, end } => self.node.mirror().merge_recent(entries, end),
                Part::Listed { entries, end, next } => match list.add(entries, end, next) {
                    Some(list) => self.node.mirror().merge_list(list),
                    None => continue,
                },
            };
            self.node.apply(change, PEER);
            if self.now() == known {
                return Ok(Outcome::Exhausted);
            }
        }
    }

    async fn configuration(&mut self, download: &mut Download) -> io::Result<Outcome> {
        let peer = self.connect().await?;
        loop {
            let held = self.now();
            if held >= self.told {
                return Ok(Outcome::Complete);
            }
            let asked = peer.configuration(context::current(), download.wanted(held));
            let piece = match timeout(ANSWER, asked).await?.map_err(io::Error::other)? {
                Told::Some(piece) => piece,
                Told::Busy => return Ok(Outcome::Busy),
                Told::Nothing => return Ok(Outcome::Exhausted),
            };
            self.came(piece.len());
            if let Some(step) = download.take(piece) {
                let taken = self.node.mirror().take_step(step);
                let change = taken.inspect_err(|_| download.distrust())?;
                self.node.apply(change, PEER);
                self.node.gained.notify_one();
            }
        }
    }
}

/// Keeps up with endpoints' records for good.
pub async fn follow_endpoints(node: Arc<Node>) {
    let topic = Topic::Endpoints;
    let mut list = List::default();
    let mut failed = None;
    let mut turned_away = 0;
    loop {
        until_behind(&node, topic).await;
        let Some(from) = source(&node, topic, failed.take()) else {
            sleep(PAUSE).await;
            continue;
        };
        let mut pull = Pull::new(&node, topic, from);
        let result = pull.endpoints(&mut list).await;
        failed = result.is_err().then_some(from);
        turned_away = pull.ended(result, turned_away).await;
    }
}

/// Keeps up with the configuration for good.
pub async fn follow_configuration(node: Arc<Node>) {
    let topic = Topic::Operators;
    let mut download = Download::default();
    let mut last = None;
    let mut failed = None;
    let mut turned_away = 0;
    loop {
        until_behind(&node, topic).await;
        // Another node may know another step, so a part is gone on with where it came from.
        let begun = last.filter(|_| download.begun());
        let Some(from) = begun.or_else(|| source(&node, topic, failed.take())) else {
            sleep(PAUSE).await;
            continue;
        };
        let mut pull = Pull::new(&node, topic, from);
        let result = pull.configuration(&mut download).await;
        last = matches!(result, Ok(Outcome::Busy)).then_some(from);
        failed = result.is_err().then_some(from);
        turned_away = pull.ended(result, turned_away).await;
    }
}

/// Waits until another node told of something newer that the store has not brought meanwhile.
async fn until_behind(node: &Node, topic: Topic) {
    let mut told = node.told.subscribe();
    loop {
        if node.behind(topic) {
            sleep(own_read(node, topic)).await;
        }
        if node.behind(topic) {
            return;
        }
        // The sender is the node's own, so it stays.
        let _ = told.changed().await;
    }
}

/// Time given to this node's own read of the store.
fn own_read(node: &Node, topic: Topic) -> Duration {
    let knows_nothing = node.mirror().ends().of(topic) == 0;
    match () {
        () if node.store_lost() => Duration::ZERO,
        () if knows_nothing => FIRST_READ,
        () if node.fed() => OWN_READ,
        () => Duration::ZERO,
    }
}

/// A node that knows more than this one, but for one that failed; of the own failure domain if there is
/// one. Drawn, so that not all ask the same one.
fn source(node: &Node, topic: Topic, failed: Option<IpAddr>) -> Option<IpAddr> {
    let known = node.mirror().ends().of(topic);
    let holders = lock(&node.members).holders(node.now(), failed, |it| it.of(topic) > known);
    holders.choose(&mut rand::rng()).copied()
}

fn drawn(millis: Range<u64>) -> Duration {
    Duration::from_millis(rand::rng().random_range(millis))
}
