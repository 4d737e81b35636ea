//! Follows the store's topics by waiting reads.
//!
//! Each call is priced, so only some nodes of a failure domain read; the others are told by them, and
//! read only what does not come that way.

use crate::event;
use crate::mirror::Topic;
use crate::node::{Node, STORE, lock};
use crosslane_platform::store::{Client, Error};
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

/// Pause after the first failure, which is often a single dead connection.
const FIRST_PAUSE: Duration = Duration::from_millis(40);

/// Pause after further failures while a topic was never read: without it nothing can be served.
const START_PAUSE: Duration = Duration::from_millis(80);

/// Failures up to which that pause is kept: a store that is out for long is not to be pressed.
const START_TRIES: u32 = 6;

/// Pause after a failed call that was preceded by so many.
pub fn pause(failures: u32, never_read: bool) -> Duration {
    match failures {
        0 => FIRST_PAUSE,
        failures if never_read && failures < START_TRIES => START_PAUSE,
        _ => PAUSE,
    }
}

/// Follows one topic for good.
pub async fn follow(node: Arc<Node>, topic: Topic) {
    let mut client = Client::new(node.settings.store);
    let mut whole = true;
    let mut failures = 0_u32;
    let mut behind_since = None;
    loop {
        behind_since = node.behind(topic).then(|| behind_since.unwrap_or(node.now()));
        let overdue = behind_since.is_some_and(|it| node.now().since(it) >= OVERDUE);
        if !lock(&node.members).reads(node.now()) && !whole && !overdue {
            sleep(IDLE).await;
            continue;
        }
        match step(&node, &mut client, topic, &mut whole).await {
            Ok(()) => {
                node.store_answered(failures > 0);
                if failures > 0 {
                    info!(topic = topic.name(), failures; "{}", event::REGAINED);
                }
                failures = 0;
            }
            Err(Error::Gone) => whole = true,
            Err(error) => {
                node.store_failed(topic);
                if failures == 0 {
                    warn!(topic = topic.name(), why:% = error; "{}", event::LOST);
                }
                let never_read = node.mirror().end(topic) == 0;
                sleep(pause(failures, never_read)).await;
                failures += 1;
            }
        }
    }
}

/// Reads once: everything at first, then what is new.
async fn step(
    node: &Node,
    client: &mut Client,
    topic: Topic,
    whole: &mut bool,
) -> Result<(), Error> {
    let from = (!*whole).then(|| node.mirror().end(topic));
    let page = match from {
        None => client.newest(topic.name()).await?,
        Some(from) => client.read(topic.name(), from, WAIT).await?,
    };
    let empty = page.end == 0;
    let first = *whole && node.mirror().end(topic) == 0;
    *whole = empty;
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
