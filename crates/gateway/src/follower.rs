//! Follows the store's topics by waiting reads.
//!
//! Each call is priced, so only some nodes of a failure domain read; the others are told by them, and
//! read only what does not come that way.

use crate::event;
use crate::mirror::Topic;
use crate::node::{Node, STORE, lock};
use crosslane_platform::store::{Client, Error};
use crosslane_state::time::Millis;
use log::{info, warn};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Time that a read waits for a record. Each call is priced; one that waits longer would notice a
/// store that came back, but lost the waiting read, too late for a new configuration.
const WAIT: Duration = Duration::from_millis(2_000);

/// Time between looks at whether this node is to read.
const IDLE: Duration = Duration::from_millis(100);

/// Time in milliseconds after which what other nodes told of, and did not bring, is read from the store:
/// three times what it takes them at 61 nodes (0.2 to 0.3 s), a third of the time in which it must be known.
const OVERDUE: u64 = 1_000;

/// Time after the first read in which nodes hear of each other, so that only those go on that are
/// to read. What changes meanwhile is told by others, or read after it.
const SETTLE: Duration = Duration::from_millis(600);

/// Pause after a read that brought endpoints' records: they change some hundred times while a site
/// starts or is released, and each call is priced. Small against the 2 s in which a leaving
/// endpoint must be known everywhere.
const BATCH: Duration = Duration::from_millis(150);

/// Pause after a failed call: refused calls are priced too.
const PAUSE: Duration = Duration::from_millis(350);

/// How often this pause doubles at nodes that others read for: 2.8 s, in which the others tell of what is new.
const DOUBLED: u32 = 3;

/// The same while a topic was never read: the node serves nobody until then, so it is asked each 0.7 s.
const START_DOUBLED: u32 = 1;

/// Pause after the first failure, which is often a single dead connection.
const FIRST_PAUSE: Duration = Duration::from_millis(40);

/// Pause after further failures while a topic was never read: without it nothing can be served.
const START_PAUSE: Duration = Duration::from_millis(80);

/// Failures up to which that pause is kept: a store that is out for long is not to be pressed.
const START_TRIES: u32 = 6;

/// Why a node reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// It is one of its failure domain's readers.
    Reader,
    /// It knows nothing of the topic, and was not told that there is nothing.
    Nothing,
    /// What others told of did not come from them.
    Overdue,
}

/// Pause after a failed call that was preceded by so many.
pub fn pause(failures: u32, need: Need) -> Duration {
    match (failures, need) {
        (0, _) => FIRST_PAUSE,
        (failures, Need::Nothing) if failures < START_TRIES => START_PAUSE,
        (_, Need::Reader) => PAUSE,
        (failures, Need::Nothing) => PAUSE * (1 << (failures - START_TRIES).min(START_DOUBLED)),
        (failures, Need::Overdue) => PAUSE * (1 << (failures - 1).min(DOUBLED)),
    }
}

/// What others told of that this node does not know yet.
///
/// Load pattern: while hundreds of endpoints start, others always know something newer. Only what was
/// told a second ago is overdue; to take every moment at which something was lacking as one made 270
/// nodes of 295 read the store too, 3,300 calls in 3 s.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    /// Offset that was told of.
    told: u64,
    since: Millis,
}

impl Lag {
    /// Whether an offset that was told of long ago is still beyond what is known.
    pub fn overdue(&mut self, told: u64, known: u64, now: Millis) -> bool {
        if known >= self.told {
            *self = Self { told, since: now };
        }
        known < self.told && now.since(self.since) >= OVERDUE
    }
}

/// How a node follows one topic.
#[derive(Debug, Default)]
struct Follower {
    /// Whether the store ever answered, be it that there is nothing.
    answered: bool,
    /// Whether the records after those known are gone, so that all must be read.
    gone: bool,
    /// Failed calls in a row.
    failures: u32,
    lag: Lag,
}

impl Follower {
    /// Why the topic is to be read now, if so.
    fn need(&mut self, node: &Node, topic: Topic) -> Option<Need> {
        let now = node.now();
        let (told, known) = (node.told.borrow().of(topic), node.mirror().ends().of(topic));
        let overdue = self.lag.overdue(told, known, now);
        if !self.answered && node.mirror().end(topic) == 0 {
            return Some(Need::Nothing);
        }
        if lock(&node.members).reads(now) {
            return Some(Need::Reader);
        }
        overdue.then_some(Need::Overdue)
    }

    /// Reads once: everything at first, then what is new.
    async fn step(&mut self, node: &Node, client: &mut Client, topic: Topic) -> Result<(), Error> {
        let known = node.mirror().end(topic);
        let from = (known > 0 && !self.gone).then_some(known);
        let page = match from {
            None => client.latest(topic.name()).await?,
            Some(from) => client.read(topic.name(), from, WAIT).await?,
        };
        node.store_answered(self.failures > 0);
        self.gone = false;
        let first = !std::mem::replace(&mut self.answered, true);
        let empty = page.end == 0;
        let change = node.mirror().take(topic, page, from);
        node.apply(change, STORE);
        if first {
            sleep(SETTLE).await;
        } else if empty {
            sleep(PAUSE).await;
        } else if change.endpoints {
            sleep(BATCH).await;
        }
        Ok(())
    }
}

/// Follows one topic for good.
pub async fn follow(node: Arc<Node>, topic: Topic) {
    let mut client = Client::new(node.settings.store_address);
    let mut follower = Follower::default();
    loop {
        let Some(need) = follower.need(&node, topic) else {
            sleep(IDLE).await;
            continue;
        };
        match follower.step(&node, &mut client, topic).await {
            Ok(()) => {
                let failures = std::mem::take(&mut follower.failures);
                if failures > 0 {
                    info!(topic = topic.name(), failures; "{}", event::REGAINED);
                }
            }
            Err(Error::Gone) => follower.gone = true,
            Err(error) => {
                node.store_failed(topic);
                if follower.failures == 0 {
                    warn!(topic = topic.name(), why:% = error; "{}", event::LOST);
                }
                sleep(pause(follower.failures, need)).await;
                follower.failures += 1;
            }
        }
    }
}
