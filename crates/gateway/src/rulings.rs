//! Rulings on requests under which endpoints ended, as the store keeps them.
//!
//! Nodes tell each other at once; the store is for those that are cut off from the others, and for the time
//! when no node is left. The readers of a failure domain wait for records, which costs a call in 10 s
//! each.

use crate::event;
use crate::node::{Node, lock};
use crosslane_coordination::ruling::{Ruling, Verdict};
use crosslane_coordination::suspicion::Word;
use crosslane_platform::store::{Client, Error, Page, Record};
use crosslane_state::fingerprint::Fingerprint;
use crosslane_transport::clock;
use derive_more::{Display, Error as StdError};
use log::{debug, info, warn};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Topic of the rulings.
const TOPIC: &str = "keyed.quarantine";

/// Time between looks at whether this node is to read or to write.
const IDLE: Duration = Duration::from_millis(250);

/// Time that a read waits for a record: other nodes tell of it at once, and each call is priced.
const WAIT: Duration = Duration::from_secs(10);

/// Pause after a failed call, and how often it doubles: 4 s.
const PAUSE: Duration = Duration::from_millis(500);
const DOUBLED: u32 = 3;

/// Time after which a reader writes a ruling that the node which made it did not, in milliseconds.
const ORPHANED: u64 = 2_000;

/// A record that holds no ruling.
#[derive(Clone, Copy, Debug, Display, StdError, PartialEq, Eq)]
#[display("not a ruling")]
pub struct Malformed;

/// A request and what was decided about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Request.
    pub request: Fingerprint,
    /// Ruling.
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

/// Reads the store's rulings at the start, and follows them for good while this node is a reader.
pub async fn follow(node: Arc<Node>) {
    let mut client = Client::new(node.settings.store_address);
    let mut known = None;
    let mut failures = 0_u32;
    let mut asked = false;
    loop {
        if asked && !lock(&node.members).reads(node.now()) {
            known = None;
            sleep(IDLE).await;
            continue;
        }
        let page = read(&mut client, known).await;
        match page {
            Ok(page) => {
                (known, failures, asked) = (Some(page.end), 0, true);
                take(&node, &page);
            }
            Err(Error::Gone) => known = None,
            Err(error) => {
                debug!("rulings: {error}");
                sleep(PAUSE * (1 << failures.min(DOUBLED))).await;
                failures += 1;
            }
        }
        node.rulings_read.store(true, Ordering::Relaxed);
    }
}

async fn read(client: &mut Client, known: Option<u64>) -> Result<Page, Error> {
    match known {
        None => client.latest(TOPIC).await,
        Some(from) => client.read(TOPIC, from, WAIT).await,
    }
}

/// Puts rulings in force, and tells others of those that are new.
fn take(node: &Node, page: &Page) {
    let (now, unix) = (node.now(), clock::unix());
    for record in &page.records {
        let Ok(Entry { request, ruling }) = Entry::try_from(record) else {
            node.meter.skipped_records.inc();
            warn!(why = "not a ruling", key = record.key; "{}", event::SKIPPED);
            continue;
        };
        let mut quarantine = node.quarantine();
        let new = quarantine.take(request, ruling, now, unix);
        quarantine.saved(request, ruling);
        if new {
            quarantine.tell(request, Word::Ruled(ruling));
            drop(quarantine);
            info!(fingerprint:% = request, verdict:% = ruling.verdict, source = "store"; "{}", event::RULED);
            node.suspected.notify_one();
        }
    }
}

/// Writes rulings to the store that it lacks, for good.
pub async fn save(node: Arc<Node>) {
    let mut client = Client::new(node.settings.store_address);
    let mut failures = 0_u32;
    loop {
        // What was ruled here is written at once: all nodes may be killed at the next moment.
        let _ = timeout(IDLE, node.ruled.notified()).await;
        let reader = lock(&node.members).reads(node.now());
        let unsaved = node.quarantine().unsaved(node.now(), reader.then_some(ORPHANED));
        for (request, ruling) in unsaved {
            match (Entry { request, ruling }).write(&mut client).await {
                Ok(()) => {
                    failures = 0;
                    node.quarantine().saved(request, ruling);
                }
                Err(error) => {
                    info!(fingerprint:% = request, why:% = error; "{}", event::UNSAVED);
                    sleep(PAUSE * (1 << failures.min(DOUBLED))).await;
                    failures += 1;
                }
            }
        }
    }
}

/// All rulings that the store holds and that are not over.
pub async fn list(client: &mut Client) -> Result<Vec<Entry>, Error> {
    let page = client.latest(TOPIC).await?;
    let unix = clock::unix();
    let entries = page.records.iter().filter_map(|it| Entry::try_from(it).ok());
    Ok(entries.filter(|it| !it.ruling.over(unix)).collect())
}

/// Lets a request in again.
pub async fn lift(client: &mut Client, request: Fingerprint) -> Result<(), Error> {
    let ruling = Ruling { at: clock::unix(), verdict: Verdict::Lifted };
    Entry { request, ruling }.write(client).await
}
