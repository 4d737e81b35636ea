//! Rulings on poison requests, as the store keeps them.
//!
//! A ruling says that a request under which endpoints crashed is rejected by all nodes, or that it
//! is allowed again. Nodes send rulings to each other at once; the store serves nodes behind a
//! network partition, and keeps rulings while no node runs. The readers of a failure domain follow
//! it by long polling, with one call in 10 s each.

use crate::event;
use crate::node::{Node, lock};
use crosslane_coordination::ruling::{Ruling, Verdict};
use crosslane_coordination::suspicion::Update;
use crosslane_platform::store::{Client, Error, Page, Record};
use crosslane_state::fingerprint::Fingerprint;
use crosslane_transport::clock;
use derive_more::{Display, Error as StdError};
use log::{debug, info, warn};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Topic of the rulings in the store.
const TOPIC: &str = "keyed.quarantine";

/// Interval of the checks whether this node must read or write.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time that the store holds a read until there is a new record: rulings come from other nodes at
/// once, and each call has a price.
const LONG_POLL: Duration = Duration::from_secs(10);

/// Pause after a failed call, and how often it doubles: up to 4 s.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
const MAX_DOUBLINGS: u32 = 3;

/// Time after which a reader writes a ruling that the node which made it has not written, in
/// milliseconds.
const ORPHANED_MS: u64 = 2_000;

/// Error for a record without a ruling.
#[derive(Clone, Copy, Debug, Display, StdError, PartialEq, Eq)]
#[display("not a ruling")]
pub struct Malformed;

/// A request and the ruling on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// The ruling.
    pub ruling: Ruling,
}

impl TryFrom<&Record> for Entry {
    type Error = Malformed;

    fn try_from(record: &Record) -> Result<Self, Malformed> {
        let request = record.key.parse().map_err(|_| Malformed)?;
        let value = record.value.as_deref().ok_or(Malformed)?;
        let ruling = serde_json::from_slice(value).map_err(|_| Malformed)?;
        Ok(Self { request, ruling })
    }
}

impl Entry {
    async fn write(&self, client: &mut Client) -> Result<(), Error> {
        let value = serde_json::to_vec(&self.ruling).unwrap_or_default();
        client.append(TOPIC, &self.request.to_string(), &value, None).await?;
        Ok(())
    }
}

/// Reads the rulings from the store at the start, and follows them forever while this node is a
/// reader.
pub async fn follow(node: Arc<Node>) {
    let mut client = Client::new(node.settings.store_address);
    let mut known = None;
    let mut failures = 0_u32;
    let mut initialised = false;
    loop {
        if initialised && !lock(&node.members).is_store_reader(node.now()) {
            known = None;
            sleep(CHECK_INTERVAL).await;
            continue;
        }
        let page = read(&mut client, known).await;
        match page {
            Ok(page) => {
                (known, failures, initialised) = (Some(page.end), 0, true);
                apply(&node, &page);
            }
            Err(Error::Gone) => known = None,
            Err(error) => {
                debug!("reading rulings failed: {error}");
                sleep(RETRY_PAUSE * (1 << failures.min(MAX_DOUBLINGS))).await;
                failures += 1;
            }
        }
        node.rulings_read_tried.store(true, Ordering::Relaxed);
    }
}

async fn read(client: &mut Client, known: Option<u64>) -> Result<Page, Error> {
    match known {
        None => client.latest(TOPIC).await,
        Some(from) => client.read(TOPIC, from, LONG_POLL).await,
    }
}

/// Applies rulings, and sends new ones to the other nodes.
fn apply(node: &Node, page: &Page) {
    let (now, unix) = (node.now(), clock::unix());
    for record in &page.records {
        let Ok(Entry { request, ruling }) = Entry::try_from(record) else {
            node.metrics.skipped_records.inc();
            warn!(why = "not a ruling", key = record.key; "{}", event::SKIPPED);
            continue;
        };
        let mut quarantine = node.quarantine();
        let new = quarantine.merge_ruling(request, ruling, now, unix);
        quarantine.mark_saved(request, ruling);
        if new {
            quarantine.queue_update(request, Update::Ruled(ruling));
            drop(quarantine);
            info!(fingerprint:% = request, verdict:% = ruling.verdict, source = "store"; "{}", event::RULED);
            node.suspicions_changed.notify_one();
        }
    }
}

/// Writes rulings that the store lacks, forever.
pub async fn save(node: Arc<Node>) {
    let mut client = Client::new(node.settings.store_address);
    let mut failures = 0_u32;
    loop {
        // A new ruling is written at once, since all nodes may be killed at the next moment.
        let _ = timeout(CHECK_INTERVAL, node.rulings_changed.notified()).await;
        let reader = lock(&node.members).is_store_reader(node.now());
        let unsaved = node.quarantine().rulings_to_save(node.now(), reader.then_some(ORPHANED_MS));
        for (request, ruling) in unsaved {
            match (Entry { request, ruling }).write(&mut client).await {
                Ok(()) => {
                    failures = 0;
                    node.quarantine().mark_saved(request, ruling);
                }
                Err(error) => {
                    info!(fingerprint:% = request, why:% = error; "{}", event::UNSAVED);
                    sleep(RETRY_PAUSE * (1 << failures.min(MAX_DOUBLINGS))).await;
                    failures += 1;
                }
            }
        }
    }
}

/// All unexpired rulings in the store.
pub async fn list(client: &mut Client) -> Result<Vec<Entry>, Error> {
    let page = client.latest(TOPIC).await?;
    let unix = clock::unix();
    let entries = page.records.iter().filter_map(|record| Entry::try_from(record).ok());
    Ok(entries.filter(|entry| !entry.ruling.is_expired(unix)).collect())
}

/// Lifts the ruling on a request.
pub async fn lift(client: &mut Client, request: Fingerprint) -> Result<(), Error> {
    let ruling = Ruling { at: clock::unix(), verdict: Verdict::Lifted };
    Entry { request, ruling }.write(client).await
}
