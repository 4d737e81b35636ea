//! Replica of the store's data, from reads of the store and from other nodes.
//!
//! Both topics are logs: a higher offset is newer, wherever the record comes from.

use crate::foreign;
use crate::history::{CHUNK_BYTES, Chunk, History, Patch, Request};
use crate::operators;
use crate::patch;
use bytes::Bytes;
pub use crosslane_coordination::replica::Changed;
use crosslane_coordination::replica::{self, Delta, Replica};
use crosslane_platform::store::{self, Page, Record};
use serde::{Deserialize, Serialize};
use std::io;

/// Size of a batch before it is compressed, to about an eighth: a fleet's ten thousand records come in ten pages, and each
/// page takes a link of 10 Mbit/s as long as a chunk of the configuration.
const MAX_UNPACKED_BYTES: usize = 8 * CHUNK_BYTES;

/// Empty records that begin a delta without all offsets. Two, so that its offsets never look complete.
const MARKS: usize = 2;

/// Topic of the store that nodes follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// The topic of the operators: the configuration and the evacuations of failure domains.
    Operators,
    /// The topic of the endpoints.
    Endpoints,
}

impl Topic {
    /// Name in the store.
    pub fn name(self) -> &'static str {
        match self {
            Self::Operators => store::OPERATOR_TOPIC,
            Self::Endpoints => store::ENDPOINT_TOPIC,
        }
    }
}

/// Offsets up to which a node has the data of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offsets {
    /// Offset after the newest record of the operators that is in use.
    pub configuration: u64,
    /// Offset after the newest record of an endpoint.
    pub endpoints: u64,
}

impl Offsets {
    /// Offset of a topic.
    pub fn of(&self, topic: Topic) -> u64 {
        match topic {
            Topic::Operators => self.configuration,
            Topic::Endpoints => self.endpoints,
        }
    }
}

/// Record of an endpoint as nodes send it to each other.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Entry {
    offset: u64,
    key: String,
    value: Option<Vec<u8>>,
}

impl Entry {
    /// Size of its key and value, in bytes.
    fn len(&self) -> usize {
        self.key.len() + self.value.as_ref().map_or(0, Vec::len)
    }
}

impl From<Record> for Entry {
    fn from(record: Record) -> Self {
        let Record { offset, key, value } = record;
        Self { offset, key, value: value.map(|bytes| bytes.to_vec()) }
    }
}

impl From<Entry> for Record {
    fn from(entry: Entry) -> Self {
        let Entry { offset, key, value } = entry;
        Self { offset, key, value: value.map(Bytes::from) }
    }
}

/// Records of endpoints for a node that is behind.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Batch {
    /// The changes after its offset. The first record has the offset from which it is complete. One that lacks offsets in between
    /// begins with two empty records at that offset.
    Delta {
        /// Records in the order of the log.
        entries: Vec<Entry>,
        /// Offset after the last record.
        end: u64,
    },
    /// A page of the newest records of all keys, for a node that is too far behind.
    SnapshotPage {
        /// Records in the order of their keys.
        entries: Vec<Entry>,
        /// Offset up to which the snapshot is complete.
        end: u64,
        /// Key after which the next page begins; nothing on the last page.
        next: Option<String>,
    },
}

impl Batch {
    /// Without what names no endpoint.
    pub fn compacted(self) -> Self {
        let compact = |entries: Vec<Entry>| {
            let records = entries.into_iter().map(Record::from);
            records.map(|record| foreign::compact_endpoint(record).into()).collect()
        };
        match self {
            Self::Delta { entries, end } => Self::Delta { entries: compact(entries), end },
            Self::SnapshotPage { entries, end, next } => {
                Self::SnapshotPage { entries: compact(entries), end, next }
            }
        }
    }

    /// Size of the keys and values of its records, in bytes.
    pub fn len(&self) -> usize {
        let (Self::Delta { entries, .. } | Self::SnapshotPage { entries, .. }) = self;
        entries.iter().map(Entry::len).sum()
    }

    /// Whether it holds no records.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl From<replica::Page> for Batch {
    fn from(page: replica::Page) -> Self {
        let replica::Page { records, end, next } = page;
        Self::SnapshotPage { entries: records.into_iter().map(Entry::from).collect(), end, next }
    }
}

impl From<Delta> for Batch {
    fn from(delta: Delta) -> Self {
        let Delta { start, end, records, is_exact } = delta;
        let marks = if is_exact { 0 } else { MARKS };
        let marks = std::iter::repeat_n(Record::empty(start), marks);
        let entries = marks.chain(records).map(Entry::from).collect();
        Self::Delta { entries, end }
    }
}

/// A compressed batch.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Packed(Vec<u8>);

impl Packed {
    /// Size in bytes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether it is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl TryFrom<&Batch> for Packed {
    type Error = io::Error;

    fn try_from(batch: &Batch) -> io::Result<Self> {
        let bytes = bincode::serialize(batch).map_err(io::Error::other)?;
        Ok(Self(patch::create(&[], &bytes)?.to_vec()))
    }
}

impl TryFrom<Packed> for Batch {
    type Error = io::Error;

    fn try_from(packed: Packed) -> io::Result<Self> {
        let bytes = patch::apply(&[], &packed.0)?;
        bincode::deserialize(&bytes).map_err(io::Error::other)
    }
}

/// Pages of a snapshot received so far, from one node or several.
#[derive(Debug, Default)]
pub struct Snapshot {
    entries: Vec<Entry>,
    /// Offset up to which the snapshot is complete, the lowest of all pages: changes between two
    /// pages are pulled after it.
    end: u64,
    /// Key after which the next page begins.
    next: Option<String>,
}

impl Snapshot {
    /// Key after which the next page begins; nothing for the first page.
    pub fn after(&self) -> Option<&String> {
        self.next.as_ref()
    }

    /// Adds a page; returns the snapshot once it is complete.
    pub fn add_page(
        &mut self,
        entries: Vec<Entry>,
        end: u64,
        next: Option<String>,
    ) -> Option<Self> {
        self.end = if self.next.is_some() { self.end.min(end) } else { end };
        // Nodes of earlier versions send no offsets: their records hold at the end of the page.
        let dated = entries.into_iter().map(|entry| {
            let offset = if entry.offset == 0 { end.saturating_sub(1) } else { entry.offset };
            Entry { offset, ..entry }
        });
        self.entries.extend(dated);
        // Shows the highest end of all pages.
        self.entries.extend(end.checked_sub(1).map(|last| Record::empty(last).into()));
        self.next = next;
        self.next.is_none().then(|| std::mem::take(self))
    }
}

/// Topics that a merge changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// The configuration, or which failure domains are evacuated.
    pub configuration: bool,
    /// The records of endpoints.
    pub endpoints: bool,
}

/// Replica of the operators' and of the endpoints' records.
#[derive(Debug, Default)]
pub struct Mirror {
    /// Offset up to which the topic of the operators was read.
    operators_end: u64,
    operators: History,
    endpoints: Replica,
}

impl Mirror {
    /// Offsets up to which this node has the data of the store.
    pub fn offsets(&self) -> Offsets {
        Offsets { configuration: self.operators.end(), endpoints: self.endpoints.end() }
    }

    /// Whether it has no data yet.
    pub fn is_empty(&self) -> bool {
        self.offsets() == Offsets::default()
    }

    /// Offset from which the next read of a topic starts.
    pub fn read_offset(&self, topic: Topic) -> u64 {
        match topic {
            Topic::Operators => self.operators_end.max(self.operators.end()),
            Topic::Endpoints => self.endpoints.end(),
        }
    }

    /// State of the operators' records.
    pub fn operators(&self) -> operators::State {
        self.operators.text().map(operators::State::decode).unwrap_or_default()
    }

    /// Records of endpoints by id.
    pub fn endpoints(&self) -> impl Iterator<Item = (&String, &Bytes)> {
        self.endpoints.values()
    }

    /// Record of an endpoint.
    pub fn endpoint(&self, id: &str) -> Option<&Bytes> {
        self.endpoints.value(id)
    }

    /// Takes the records of endpoints that changed since the last call.
    pub fn take_changed_endpoints(&mut self) -> Changed {
        self.endpoints.take_changed()
    }

    /// Merges records read from the store: those from an offset on, or all if there is none.
    /// Records that have come from another node meanwhile are skipped.
    pub fn merge(&mut self, topic: Topic, page: Page, from: Option<u64>) -> Change {
        let mut change = Change::default();
        match (topic, from) {
            (Topic::Operators, Some(_)) => change.configuration = self.append_operators(page),
            (Topic::Operators, None) => change.configuration = self.replace_operators(page),
            (Topic::Endpoints, Some(from)) => {
                let delta = Delta::new(from, page.end, page.records);
                change.endpoints = self.endpoints.extend(delta);
            }
            (Topic::Endpoints, None) => {
                change.endpoints = self.endpoints.replace(page.records, page.end);
            }
        }
        change
    }

    fn append_operators(&mut self, page: Page) -> bool {
        self.operators_end = self.operators_end.max(page.end);
        let known_end = self.operators.end();
        let mut state = self.operators();
        let mut changed = false;
        for record in page.records.iter().filter(|record| record.offset >= known_end) {
            if state.apply(record) {
                changed |= self.operators.add_version(record.offset + 1, state.encode());
            }
        }
        changed
    }

    /// Replaces the state by the newest records of all keys. Deletions show only as keys that are missing, so this is the
    /// version of the page's end, even if nothing differs: else a node that has not heard of a deletion would count as newer.
    fn replace_operators(&mut self, page: Page) -> bool {
        self.operators_end = self.operators_end.max(page.end);
        let configuration = self.operators().configuration;
        let mut state = operators::State { configuration, ..operators::State::default() };
        page.records.iter().for_each(|record| {
            state.apply(record);
        });
        // Empty records hold the ends of pages; the state is complete up to the lowest one.
        let named = page.records.iter().filter(|record| !record.key.is_empty());
        let newest = named.map(|record| record.offset + 1).max();
        let end = page.end.max(newest.unwrap_or_default());
        let known = self.operators.end() > 0 || state != operators::State::default();
        known && self.operators.add_version(end, state.encode())
    }

    /// The next chunk of the operators' state for another node, if this one has a newer version.
    pub fn chunk(&mut self, request: Request) -> io::Result<Option<Chunk>> {
        self.operators.chunk(request)
    }

    /// Applies a complete patch of the operators' state from another node.
    pub fn apply_patch(&mut self, patch: Patch) -> io::Result<Change> {
        Ok(Change { configuration: self.operators.apply(patch)?, endpoints: false })
    }

    /// Records of endpoints for a node that has read up to an offset; for the next page of a
    /// snapshot, those after a key.
    pub fn batch(&self, from: u64, after: Option<&str>) -> Batch {
        self.batch_of(from, after, CHUNK_BYTES)
    }

    /// The same with more records, to be compressed.
    pub fn large_batch(&self, from: u64, after: Option<&str>) -> Batch {
        self.batch_of(from, after, MAX_UNPACKED_BYTES)
    }

    fn batch_of(&self, from: u64, after: Option<&str>, limit: usize) -> Batch {
        let delta = after.is_none().then(|| self.endpoints.delta(from, limit)).flatten();
        delta.map_or_else(|| self.endpoints.page(after, limit).into(), Batch::from)
    }

    /// Merges changes that another node sent, in the order of the log. The offset of the first one tells from where on they are
    /// complete.
    pub fn merge_delta(&mut self, entries: Vec<Entry>, end: u64) -> Change {
        let start = entries.first().map_or(end, |entry| entry.offset);
        let is_whole = entries.first().is_none_or(|entry| entry.key.is_empty());
        let delta = Delta::new(start, end, entries.into_iter().map(Record::from).collect());
        // Nodes of earlier versions also send the rest of a span, which lacks deletions.
        let endpoints = (is_whole || delta.is_exact) && self.endpoints.extend(delta);
        Change { configuration: false, endpoints }
    }

    /// Merges a complete snapshot that other nodes sent.
    pub fn merge_snapshot(&mut self, snapshot: Snapshot) -> Change {
        let records = snapshot.entries.into_iter().map(Record::from).collect();
        let endpoints = self.endpoints.replace(records, snapshot.end);
        Change { configuration: false, endpoints }
    }
}
