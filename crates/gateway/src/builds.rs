//! Builds of all services, as the store keeps them for nodes that have just started.
//!
//! A stream that no node was told of is of the only build listed if no other one served shortly before. After the loss of all
//! nodes, only the store can show that. One node at a time records the builds that are listed or went lately.

use crate::event;
use crate::node::{Node, lock};
use crosslane_coordination::builds::Record;
use crosslane_platform::store::{Client, Error};
use crosslane_state::time::Millis;
use log::{debug, info, warn};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::time::{sleep, timeout};

/// Topic in the store, and the key of its only record.
const TOPIC: &str = "keyed.builds";
const KEY: &str = "builds";

/// Interval of the checks whether the record is out of date.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Pause after the start, in which nodes find each other, so that only one writes.
const DISCOVERY_TIME: Duration = Duration::from_millis(900);

/// Pause after a failed call, and how often it doubles: up to 4 s.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
const MAX_DOUBLINGS: u32 = 3;

/// Time that a caller who comes back waits for the record.
const READ_TIMEOUT: Duration = Duration::from_millis(150);

/// Time for which a record is reused, in milliseconds: all callers come back at once, and each call has a price.
const TTL_MS: u64 = 1_000;

/// The record as it was read last, if that succeeded.
#[derive(Debug, Default)]
pub struct Cache(Mutex<Option<(Millis, Option<Record>)>>);

/// The record in the store, and the end of its topic.
struct Saved {
    record: Record,
    end: u64,
}

/// Records the builds while this node is the leader, forever.
pub async fn save(node: Arc<Node>) {
    sleep(DISCOVERY_TIME).await;
    let mut client = Client::new(node.settings.store_address);
    let (mut saved, mut failures) = (None, 0_u32);
    loop {
        sleep(CHECK_INTERVAL).await;
        let active = node.stopping.borrow().is_none();
        let leader = lock(&node.members).is_leader(node.now());
        if !active || !leader || !node.store_reachable() {
            saved = None;
            continue;
        }
        match update(&node, &mut client, saved.take()).await {
            Ok(now) => (saved, failures) = (now, 0),
            Err(error) => {
                debug!("recording the builds failed: {error}");
                sleep(RETRY_PAUSE * (1 << failures.min(MAX_DOUBLINGS))).await;
                failures += 1;
            }
        }
    }
}

/// Writes the record if it is out of date; fails if another node wrote it meanwhile.
async fn update(
    node: &Node,
    client: &mut Client,
    saved: Option<Saved>,
) -> Result<Option<Saved>, Error> {
    let Some(span_ms) = node.table().map(|table| table.longest_return_ms) else {
        return Ok(None);
    };
    let saved = match saved {
        Some(saved) => saved,
        None => latest(client).await?,
    };
    let record = node.pool().builds().record(&saved.record, span_ms, node.now());
    if record == saved.record {
        return Ok(Some(saved));
    }
    let value = serde_json::to_vec(&record).unwrap_or_default();
    let offset = client.append(TOPIC, KEY, &value, Some(saved.end)).await?;
    info!(record:? = record; "{}", event::BUILDS);
    Ok(Some(Saved { record, end: offset + 1 }))
}

async fn latest(client: &mut Client) -> Result<Saved, Error> {
    let page = client.latest(TOPIC).await?;
    let value = page.records.iter().rfind(|record| record.key == KEY);
    let value = value.and_then(|record| record.value.as_deref());
    Ok(Saved { record: value.map_or_else(Record::default, decode), end: page.end })
}

/// Decodes a record. One of another version, which can't be decoded, names no builds.
fn decode(bytes: &[u8]) -> Record {
    serde_json::from_slice(bytes).unwrap_or_else(|error| {
        warn!(why:% = error; "{}", event::SKIPPED);
        Record::default()
    })
}

/// The record in the store, if it can be read.
pub async fn read(node: &Node) -> Option<Record> {
    let mut cached = node.recorded_builds.0.lock().await;
    if let Some((read_at, record)) = &*cached
        && node.now().since(*read_at) < TTL_MS
    {
        return record.clone();
    }
    let mut client = Client::new(node.settings.store_address);
    let record = match timeout(READ_TIMEOUT, latest(&mut client)).await {
        Ok(Ok(saved)) => Some(saved.record),
        Ok(Err(error)) => {
            debug!("reading the recorded builds failed: {error}");
            None
        }
        Err(_) => {
            debug!("the store did not return the recorded builds in time");
            None
        }
    };
    *cached = Some((node.now(), record.clone()));
    record
}
