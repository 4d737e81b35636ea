//! Rulings on poison requests, as the store keeps them.
//!
//! A ruling says that a request under which endpoints crashed is rejected by all nodes, or that it
//! is allowed again. Nodes send rulings to each other at once; the store serves nodes behind a
//! network partition, and keeps rulings while no node runs. The readers of a failure domain follow
//! it by long polling, with one call in 10 s each. The topic also holds the strikes that precede rulings, in one record of each
//! node that saw some (`coordination::strikes`).

use crate::event;
use crate::node::{Node, lock};
use crosslane_coordination::pattern::Pattern;
use crosslane_coordination::ruling::{Ruling, Verdict};
use crosslane_coordination::segments;
use crosslane_coordination::strikes::Saved;
use crosslane_coordination::suspicion::Update;
use crosslane_platform::store::{Client, Error, Page, Record};
use crosslane_state::endpoint::Tag;
use crosslane_state::fingerprint::Fingerprint;
use crosslane_state::segment::Segment;
use crosslane_transport::clock;
use derive_more::{Display, Error as StdError};
use log::{debug, info, warn};
use serde::{Deserialize, Serialize};
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

/// Error for a record without a ruling or strikes.
#[derive(Clone, Copy, Debug, Display, StdError, PartialEq, Eq)]
#[display("neither ruling nor strikes")]
pub struct Malformed;

/// Begins the keys of rulings on segments, which earlier versions skip.
const SEGMENTS_PREFIX: &str = "segments-";

/// Begins the keys of the nodes' records of strikes, which earlier versions skip too.
const STRIKES_PREFIX: &str = "strikes-";

/// What a ruling is on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// A request, by its fingerprint.
    Request(Fingerprint),
    /// All requests whose prompts have some segments.
    Segments(Pattern),
}

/// A subject and the ruling on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// What it is on.
    pub subject: Subject,
    /// The ruling.
    pub ruling: Ruling,
}

/// Ruling as the store keeps it.
#[derive(Serialize, Deserialize)]
struct Value {
    #[serde(flatten)]
    ruling: Ruling,
    /// Segments, if it is on some.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    segments: Vec<String>,
}

/// Strikes against one request in a node's record.
#[derive(Serialize, Deserialize)]
struct StrikesValue {
    request: String,
    endpoints: Vec<Tag>,
    at: u64,
}

impl From<&Saved> for StrikesValue {
    fn from(saved: &Saved) -> Self {
        let (request, endpoints) = (saved.request.to_string(), saved.endpoints.clone());
        Self { request, endpoints, at: saved.at }
    }
}

impl TryFrom<StrikesValue> for Saved {
    type Error = Malformed;

    fn try_from(value: StrikesValue) -> Result<Self, Malformed> {
        let StrikesValue { request, endpoints, at } = value;
        Ok(Self { request: request.parse().map_err(|_| Malformed)?, endpoints, at })
    }
}

impl Subject {
    /// Key in the store.
    pub fn key(&self) -> String {
        match self {
            Self::Request(request) => request.to_string(),
            Self::Segments(pattern) => format!("{SEGMENTS_PREFIX}{}", pattern.fingerprint()),
        }
    }
}

impl TryFrom<&Record> for Entry {
    type Error = Malformed;

    fn try_from(record: &Record) -> Result<Self, Malformed> {
        let value = record.value.as_deref().ok_or(Malformed)?;
        let Value { ruling, segments } = serde_json::from_slice(value).map_err(|_| Malformed)?;
        let subject = match record.key.strip_prefix(SEGMENTS_PREFIX) {
            None => Subject::Request(record.key.parse().map_err(|_| Malformed)?),
            Some(_) => {
                let segments: Result<Vec<Segment>, _> =
                    segments.iter().map(|segment| segment.parse()).collect();
                let segments = segments.map_err(|_| Malformed)?;
                Subject::Segments(Pattern::try_from(segments).map_err(|_| Malformed)?)
            }
        };
        Ok(Self { subject, ruling })
    }
}

impl Entry {
    async fn write(&self, client: &mut Client) -> Result<(), Error> {
        let segments = match &self.subject {
            Subject::Request(_) => Vec::new(),
            Subject::Segments(pattern) => {
                pattern.segments().iter().map(Segment::to_string).collect()
            }
        };
        let value = Value { ruling: self.ruling, segments };
        let value = serde_json::to_vec(&value).unwrap_or_default();
        client.append(TOPIC, &self.subject.key(), &value, None).await?;
        Ok(())
    }

    /// Records that the store has the ruling.
    fn mark_saved(&self, node: &Node) {
        match &self.subject {
            Subject::Request(request) => node.quarantine().mark_saved(*request, self.ruling),
            Subject::Segments(pattern) => node.segments().mark_saved(pattern, self.ruling),
        }
    }

    /// Applies a ruling of the store, and queues it for the other nodes if it is new here.
    fn merge(&self, node: &Node) -> bool {
        let (now, unix) = (node.now(), clock::unix());
        match &self.subject {
            Subject::Request(request) => {
                let mut quarantine = node.quarantine();
                let new = quarantine.merge_ruling(*request, self.ruling, now, unix);
                if new {
                    quarantine.queue_update(*request, Update::Ruled(self.ruling));
                }
                new
            }
            Subject::Segments(pattern) => {
                let mut segments = node.segments();
                let new = segments.merge_ruling(pattern.clone(), self.ruling, now, unix);
                if new {
                    segments.queue_update(segments::Update::Ruled(pattern.clone(), self.ruling));
                }
                new
            }
        }
    }
}

/// Reads rulings and strikes from the store at the start, and follows them forever while this node is a
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
                apply_strikes(&node, &page, initialised);
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

/// Strikes in a node's record.
fn read_strikes(record: &Record) -> Result<Vec<Saved>, Malformed> {
    let value = record.value.as_deref().ok_or(Malformed)?;
    let values: Vec<StrikesValue> = serde_json::from_slice(value).map_err(|_| Malformed)?;
    values.into_iter().map(Saved::try_from).collect()
}

/// Records which strikes the store has, and counts them when this node starts. They come before the rulings, which take some back.
fn apply_strikes(node: &Node, page: &Page, initialised: bool) {
    let (now, unix) = (node.now(), clock::unix());
    let mut quarantine = node.quarantine();
    let mut own = Vec::new();
    for record in &page.records {
        let Some(author) = record.key.strip_prefix(STRIKES_PREFIX) else {
            continue;
        };
        let Ok(strikes) = read_strikes(record) else {
            node.metrics.skipped_records.inc();
            warn!(why = "no strikes", key = record.key; "{}", event::SKIPPED);
            continue;
        };
        if !initialised {
            quarantine.restore_strikes(&strikes, now, unix);
        }
        quarantine.mark_strikes_saved(&strikes);
        if author == node.settings.vm {
            own = strikes;
        }
    }
    if !initialised {
        quarantine.set_own_record(&own);
    }
}

/// Applies rulings, and sends new ones to the other nodes.
fn apply(node: &Node, page: &Page) {
    for record in page.records.iter().filter(|record| !record.key.starts_with(STRIKES_PREFIX)) {
        let Ok(entry) = Entry::try_from(record) else {
            node.metrics.skipped_records.inc();
            warn!(why = "not a ruling", key = record.key; "{}", event::SKIPPED);
            continue;
        };
        let new = entry.merge(node);
        entry.mark_saved(node);
        if new {
            info!(fingerprint = entry.subject.key(), verdict:% = entry.ruling.verdict, source = "store"; "{}", event::RULED);
            node.suspicions_changed.notify_one();
        }
    }
}

/// Writes rulings and strikes that the store lacks, forever.
pub async fn save(node: Arc<Node>) {
    let mut client = Client::new(node.settings.store_address);
    let mut failures = 0_u32;
    loop {
        // A new ruling is written at once, since all nodes may be killed at the next moment.
        let _ = timeout(CHECK_INTERVAL, node.rulings_changed.notified()).await;
        let reader = lock(&node.members).is_store_reader(node.now());
        let after = reader.then_some(ORPHANED_MS);
        for entry in unsaved(&node, after) {
            match entry.write(&mut client).await {
                Ok(()) => {
                    failures = 0;
                    entry.mark_saved(&node);
                }
                Err(error) => {
                    info!(fingerprint = entry.subject.key(), why:% = error; "{}", event::UNSAVED);
                    sleep(RETRY_PAUSE * (1 << failures.min(MAX_DOUBLINGS))).await;
                    failures += 1;
                }
            }
        }
        let strikes = node.quarantine().strikes_to_save(node.now(), after, clock::unix());
        if let Some(strikes) = strikes {
            match write_strikes(&node, &mut client, &strikes).await {
                Ok(()) => {
                    failures = 0;
                    node.quarantine().set_own_record(&strikes);
                }
                Err(error) => {
                    debug!("writing strikes failed: {error}");
                    sleep(RETRY_PAUSE * (1 << failures.min(MAX_DOUBLINGS))).await;
                    failures += 1;
                }
            }
        }
    }
}

/// Writes this node's record of strikes.
async fn write_strikes(node: &Node, client: &mut Client, strikes: &[Saved]) -> Result<(), Error> {
    let values: Vec<StrikesValue> = strikes.iter().map(StrikesValue::from).collect();
    let value = serde_json::to_vec(&values).unwrap_or_default();
    let key = format!("{STRIKES_PREFIX}{}", node.settings.vm);
    client.append(TOPIC, &key, &value, None).await?;
    Ok(())
}

/// Rulings that this node is to write to the store, those of other nodes `after` a time in milliseconds.
fn unsaved(node: &Node, after: Option<u64>) -> Vec<Entry> {
    let requests = node.quarantine().rulings_to_save(node.now(), after);
    let requests =
        requests.into_iter().map(|(request, ruling)| (Subject::Request(request), ruling));
    let patterns = node.segments().rulings_to_save(node.now(), after);
    let patterns =
        patterns.into_iter().map(|(pattern, ruling)| (Subject::Segments(pattern), ruling));
    requests.chain(patterns).map(|(subject, ruling)| Entry { subject, ruling }).collect()
}

/// All unexpired rulings in the store.
pub async fn list(client: &mut Client) -> Result<Vec<Entry>, Error> {
    let page = client.latest(TOPIC).await?;
    let unix = clock::unix();
    let entries = page.records.iter().filter_map(|record| Entry::try_from(record).ok());
    Ok(entries.filter(|entry| !entry.ruling.is_expired(unix)).collect())
}

/// Lifts the ruling on a subject.
pub async fn lift(client: &mut Client, subject: Subject) -> Result<(), Error> {
    let ruling = Ruling { at: clock::unix(), verdict: Verdict::Lifted };
    Entry { subject, ruling }.write(client).await
}
