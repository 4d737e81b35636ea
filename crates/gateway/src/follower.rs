//! Follows the topics of the store by long polling.
//!
//! Each call to the store has a price, so only some nodes of a failure domain read it. The others
//! pull from them, and read only what does not arrive that way.

use crate::event;
use crate::foreign;
use crate::mirror::Topic;
use crate::node::{Node, STORE_SOURCE, lock};
use crosslane_coordination::bootstrap::{FirstRead, Situation};
use crosslane_platform::store::{Client, Error};
use crosslane_state::time::Millis;
use log::{info, warn};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::sleep;

/// Time that the store holds a read until there is a new record. Each call has a price; but if the
/// store restarts and loses the read, a longer one would delay a new configuration too much.
const LONG_POLL: Duration = Duration::from_millis(2_000);

/// Interval of the checks whether this node must read.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The same before the first read.
const STARTUP_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Time after which data that other nodes announced, and that was not pulled from them, is read
/// from the store, in milliseconds: three times what a transfer takes among 61 nodes (0.2 to 0.3
/// s), a third of the time in which every node must have it.
const OVERDUE_MS: u64 = 1_000;

/// Pause after the first read, in which heartbeats arrive, so that only the readers continue.
/// Changes during the pause come from other nodes, or with the next read.
const DISCOVERY_TIME: Duration = Duration::from_millis(600);

/// Pause after a read that returned records of endpoints: there are some hundred changes while a
/// site starts or is released, and each call has a price. Short compared to the 2 s in which every
/// node must know that an endpoint leaves.
const BATCH_PAUSE: Duration = Duration::from_millis(150);

/// Pause after a failed call, since rejected calls have a price too.
const RETRY_PAUSE: Duration = Duration::from_millis(350);

/// How often this pause doubles at nodes that are not readers: up to 2.8 s, in which the readers
/// announce what is new.
const MAX_DOUBLINGS: u32 = 3;

/// The same while a topic was never read. The node can't serve callers until then, so it retries
/// every 0.7 s.
const STARTUP_MAX_DOUBLINGS: u32 = 1;

/// Pause after the first failure, which often is a single broken connection.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(40);

/// Pause after further failures while a topic was never read, without which the node can't serve
/// callers.
const STARTUP_RETRY_PAUSE: Duration = Duration::from_millis(80);

/// Number of failures up to which this pause applies, to spare a store that is out for long.
const STARTUP_FAILURES: u32 = 6;

/// Reason for a read of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// This node is one of the readers of its failure domain.
    Reader,
    /// This node has nothing of the topic, and the store has not answered that the topic is empty.
    Uninitialised,
    /// Other nodes announced data that has not been pulled from them.
    Overdue,
}

/// Pause after a failed call, by the number of consecutive failures before it.
pub fn retry_pause(failures: u32, reason: Reason) -> Duration {
    match (failures, reason) {
        (0, _) => FIRST_RETRY_PAUSE,
        (failures, Reason::Uninitialised) if failures < STARTUP_FAILURES => STARTUP_RETRY_PAUSE,
        (_, Reason::Reader) => RETRY_PAUSE,
        (failures, Reason::Uninitialised) => {
            RETRY_PAUSE * (1 << (failures - STARTUP_FAILURES).min(STARTUP_MAX_DOUBLINGS))
        }
        (failures, Reason::Overdue) => RETRY_PAUSE * (1 << (failures - 1).min(MAX_DOUBLINGS)),
    }
}

/// Tracks data that other nodes announced and this node lacks.
///
/// Load pattern: while hundreds of endpoints start, other nodes always have something newer. Only
/// data that was announced a second ago is overdue. If every moment in which something is lacking
/// counted, 270 of 295 nodes would read the store too, with 3,300 calls in 3 s.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    /// Announced offset that this node waits for.
    awaited: u64,
    since: Millis,
}

impl Lag {
    /// Whether an offset that was announced long enough ago has not been reached.
    pub fn is_overdue(&mut self, announced: u64, known: u64, now: Millis) -> bool {
        if known >= self.awaited {
            *self = Self { awaited: announced, since: now };
        }
        known < self.awaited && now.since(self.since) >= OVERDUE_MS
    }
}

/// State of following one topic.
#[derive(Debug)]
struct Follower {
    first_read: FirstRead,
    /// Whether the store ever answered, even if the topic was empty.
    answered: bool,
    /// Whether this node has nothing of the topic, and does not know that it is empty.
    uninitialised: bool,
    /// Whether the store has dropped the records after the last known one, so that everything must
    /// be read.
    records_dropped: bool,
    /// Consecutive failed calls.
    failures: u32,
    lag: Lag,
}

impl Follower {
    fn new(now: Millis) -> Self {
        let first_read = FirstRead::new(rand::random(), now);
        Self {
            first_read,
            answered: false,
            uninitialised: true,
            records_dropped: false,
            failures: 0,
            lag: Lag::default(),
        }
    }

    /// Interval of the checks whether this node must read: a node without data serves no callers.
    fn check_interval(&self) -> Duration {
        if self.uninitialised { STARTUP_CHECK_INTERVAL } else { CHECK_INTERVAL }
    }

    /// Reason to read the topic now, if there is one.
    fn reason(&mut self, node: &Node, topic: Topic) -> Option<Reason> {
        let now = node.now();
        let (announced, known) =
            (node.peer_offsets.borrow().of(topic), node.mirror().offsets().of(topic));
        let overdue = self.lag.is_overdue(announced, known, now);
        self.uninitialised = !self.answered && node.mirror().read_offset(topic) == 0;
        if self.uninitialised {
            let parts = node.pulled_parts.load(Ordering::Relaxed);
            let (is_seed, others) = (node.is_seed(), node.known_others());
            let situation = Situation { is_seed, others, announced: announced > 0, parts };
            return self.first_read.is_due(situation, now).then_some(Reason::Uninitialised);
        }
        if lock(&node.members).is_store_reader(now) {
            return Some(Reason::Reader);
        }
        overdue.then_some(Reason::Overdue)
    }

    /// Reads once: everything at first, then new records.
    async fn step(&mut self, node: &Node, client: &mut Client, topic: Topic) -> Result<(), Error> {
        let known = node.mirror().read_offset(topic);
        let from = (known > 0 && !self.records_dropped).then_some(known);
        let page = match from {
            None => {
                client.latest_of(topic.name(), |record| foreign::compact(topic, record)).await?
            }
            Some(from) => {
                let mut page = client.read(topic.name(), from, LONG_POLL).await?;
                let records = page.records.into_iter();
                page.records = records.map(|record| foreign::compact(topic, record)).collect();
                page
            }
        };
        node.record_store_answer(self.failures > 0);
        self.records_dropped = false;
        let first = !std::mem::replace(&mut self.answered, true);
        let empty = page.end == 0;
        let change = node.mirror().merge(topic, page, from);
        node.apply(change, STORE_SOURCE);
        if first {
            sleep(DISCOVERY_TIME).await;
        } else if empty {
            sleep(RETRY_PAUSE).await;
        } else if change.endpoints {
            sleep(BATCH_PAUSE).await;
        }
        Ok(())
    }
}

/// Follows one topic forever.
pub async fn follow(node: Arc<Node>, topic: Topic) {
    let mut client = Client::new(node.settings.store_address);
    let mut follower = Follower::new(node.now());
    loop {
        let Some(reason) = follower.reason(&node, topic) else {
            sleep(follower.check_interval()).await;
            continue;
        };
        match follower.step(&node, &mut client, topic).await {
            Ok(()) => {
                let failures = std::mem::take(&mut follower.failures);
                if failures > 0 {
                    info!(topic = topic.name(), failures; "{}", event::REGAINED);
                }
            }
            Err(Error::Gone) => follower.records_dropped = true,
            Err(error @ Error::Unreadable) => {
                warn!(topic = topic.name(), why:% = error; "{}", event::SKIPPED);
                follower.records_dropped = true;
                sleep(FIRST_RETRY_PAUSE).await;
            }
            Err(error) => {
                node.record_store_failure(topic);
                if follower.failures == 0 {
                    warn!(topic = topic.name(), why:% = error; "{}", event::LOST);
                }
                sleep(retry_pause(follower.failures, reason)).await;
                follower.failures += 1;
            }
        }
    }
}
