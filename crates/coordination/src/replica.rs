//! Replica of a compacted log: what a node has of it, and what it can send to nodes that are behind.
//!
//! The store numbers its records and keeps the newest one of each key. A node learns of them from reads of the log, from reads of the
//! newest records of all keys, and from other nodes, in any order and with restarts in between. The offset at which the store wrote a
//! record is kept through all of these.
//!
//! What a node can tell others follows from how it learned of it. Records read one after the other continue any replica that ends at one
//! of them. A read of everything only shows what differs between two offsets: records in between that were written over or deleted are not
//! seen, and neither is when a key was deleted. Such a span is sent as a whole, to replicas that end at its beginning. A replica that ends
//! within it gets a snapshot, since it may have a record that the span does not delete.
//!
//! Pages of a snapshot come at different times and from nodes with different ends. The lowest of these is the end of the snapshot, and what
//! changed after it is there in part. Until the replica has passed the highest one, it sends no spans that begin meanwhile.

use bytes::Bytes;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound;
use xxhash_rust::xxh3::xxh3_64;

/// Begins the value that stands for one that names no endpoint.
const DIGEST_PREFIX: &[u8] = b"digest ";

/// Length of such a value: the prefix and 64 bits in hexadecimal.
const DIGEST_BYTES: usize = 23;

/// Size of the keys and values of kept digests, in bytes; a digest of a further key is not kept.
pub const MAX_DIGESTS_BYTES: usize = 256 << 10;

/// Recent records that are kept at least, for replicas that are behind. With more keys, as many are kept as there are keys: when all
/// endpoints start, each writes one. If fewer were kept, nodes would fall so far behind in such a start that each gets the whole
/// snapshot again and again.
const MIN_RECENT: usize = 8_192;

/// Size of the recent records that are kept, in bytes, unless the newest records of all keys take more. The records of a fleet of ten
/// thousand endpoints have some 3 MB.
pub const RECENT_BYTES: usize = 4 << 20;

/// One record of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Offset in the log.
    pub offset: u64,
    /// Key; empty if the record names nothing.
    pub key: String,
    /// Value; none in a tombstone, which deletes the key.
    pub value: Option<Bytes>,
}

impl Record {
    /// Record that only takes up its offset.
    pub fn empty(offset: u64) -> Self {
        Self { offset, key: String::new(), value: None }
    }

    /// Replaces the value by its digest.
    pub fn digest(mut self) -> Self {
        self.value = self.value.map(|value| if is_digest(&value) { value } else { digest(&value) });
        self
    }

    /// Size of its key and value, in bytes.
    fn len(&self) -> usize {
        self.key.len() + self.value.as_ref().map_or(0, Bytes::len)
    }
}

/// Whether a value is the digest of another one.
pub fn is_digest(value: &[u8]) -> bool {
    value.len() == DIGEST_BYTES && value.starts_with(DIGEST_PREFIX)
}

fn digest(value: &[u8]) -> Bytes {
    [DIGEST_PREFIX, format!("{:016x}", xxh3_64(value)).as_bytes()].concat().into()
}

/// The changes of a replica from one offset to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delta {
    /// Offset from which it is complete.
    pub start: u64,
    /// Offset up to which it is complete.
    pub end: u64,
    /// Records in the order of the log.
    pub records: Vec<Record>,
    /// Whether it has the record of each offset in between.
    pub is_exact: bool,
}

impl Delta {
    /// A delta whose records show whether any offset is missing.
    pub fn new(start: u64, end: u64, records: Vec<Record>) -> Self {
        let is_exact = has_each(&records, start, end);
        Self { start, end, records, is_exact }
    }

    fn len(&self) -> usize {
        self.records.iter().map(Record::len).sum()
    }
}

/// Deletion of a key at an unknown offset before an end.
fn tombstone(key: &str, end: u64) -> Record {
    Record { offset: end - 1, key: key.to_owned(), value: None }
}

/// Whether records have each offset of a range once.
fn has_each(records: &[Record], start: u64, end: u64) -> bool {
    records.iter().map(|record| record.offset).eq(start..end)
}

/// A part of the newest records of all keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// Records in the order of their keys.
    pub records: Vec<Record>,
    /// Offset up to which the replica is complete.
    pub end: u64,
    /// Key after which the next page begins; nothing on the last page.
    pub next: Option<String>,
}

/// Keys that changed.
#[derive(Debug, PartialEq, Eq)]
pub enum Changed {
    /// These.
    Ids(BTreeSet<String>),
    /// Possibly all.
    All,
}

impl Default for Changed {
    fn default() -> Self {
        Self::Ids(BTreeSet::new())
    }
}

/// Newest record of a key.
#[derive(Clone, Debug)]
struct Newest {
    offset: u64,
    value: Bytes,
}

/// Replica of one log.
#[derive(Debug, Default)]
pub struct Replica {
    end: u64,
    /// Offset up to which some of the changes after the end are there.
    ahead: u64,
    newest: BTreeMap<String, Newest>,
    /// Size of the newest records, in bytes, and of the digests among them.
    newest_bytes: usize,
    digests_bytes: usize,
    /// Recent changes, of which each begins where the one before ends.
    recent: VecDeque<Delta>,
    recent_records: usize,
    recent_bytes: usize,
    changed: Changed,
}

impl Replica {
    /// Offset up to which it is complete.
    pub fn end(&self) -> u64 {
        self.end
    }

    /// Newest values by key.
    pub fn values(&self) -> impl Iterator<Item = (&String, &Bytes)> {
        self.newest.iter().map(|(key, newest)| (key, &newest.value))
    }

    /// Newest value of a key.
    pub fn value(&self, key: &str) -> Option<&Bytes> {
        self.newest.get(key).map(|newest| &newest.value)
    }

    /// Takes the keys that changed since the last call.
    pub fn take_changed(&mut self) -> Changed {
        std::mem::take(&mut self.changed)
    }

    /// Size of all that is kept, in bytes.
    pub fn bytes(&self) -> usize {
        self.newest_bytes + self.recent_bytes
    }

    /// Adds the changes after this replica's end; returns false if there are none, or if it can't be known which of them it has.
    pub fn extend(&mut self, delta: Delta) -> bool {
        let Delta { start, end, mut records, is_exact } = delta;
        if end <= self.end || start > self.end {
            return false;
        }
        if start < self.end {
            records.retain(|record| record.offset >= self.end);
            // The offsets of records in an inexact delta are not those of the store.
            if !is_exact || !has_each(&records, self.end, end) {
                return false;
            }
        }
        if is_exact || start < self.end {
            for record in records {
                let (start, end) = (record.offset, record.offset + 1);
                self.add(Delta { start, end, records: vec![record], is_exact: true });
            }
        } else {
            records.retain(|record| !record.key.is_empty());
            records.extend(self.deleted_ahead(&records, end));
            records.sort_by_key(|record| record.offset);
            self.add(Delta { start, end, records, is_exact: false });
        }
        true
    }

    /// Deletions that a delta without all offsets does not show: pages of a snapshot come from nodes with different ends, so records may
    /// be there that were written after this replica's end. Such a delta has each of them that still holds at its end.
    fn deleted_ahead(&self, records: &[Record], end: u64) -> Vec<Record> {
        let listed: BTreeSet<&str> = records.iter().map(|record| record.key.as_str()).collect();
        let is_ahead = |old: &Newest| (self.end..end).contains(&old.offset);
        let deleted =
            self.newest.iter().filter(|(key, old)| is_ahead(old) && !listed.contains(key.as_str()));
        deleted.map(|(key, _)| tombstone(key, end)).collect()
    }

    /// Replaces everything by the newest records of all keys; returns false if they are not newer. A record at or after the end shows up to
    /// which offset changes after it are there in part.
    pub fn replace(&mut self, records: Vec<Record>, end: u64) -> bool {
        if end <= self.end {
            return false;
        }
        let newest = records.iter().map(|record| record.offset + 1).max();
        let ahead = newest.filter(|newest| *newest > end).unwrap_or_default();
        self.ahead = self.ahead.max(ahead);
        let records = records.into_iter().filter(|record| !record.key.is_empty());
        if self.end == 0 {
            records.for_each(|record| self.apply(&record));
            self.changed = Changed::All;
            self.end = end;
            return true;
        }
        let start = self.end;
        let listed: BTreeMap<String, Record> =
            records.map(|record| (record.key.clone(), record)).collect();
        // What is as new as the page or newer is not in it, or was written after it.
        let deleted =
            self.newest.iter().filter(|(key, old)| old.offset < end && !listed.contains_key(*key));
        let mut changes: Vec<Record> = deleted.map(|(key, _)| tombstone(key, end)).collect();
        changes.extend(listed.into_values().filter_map(|record| self.difference(record, end)));
        changes.sort_by_key(|record| record.offset);
        self.add(Delta { start, end, records: changes, is_exact: false });
        true
    }

    /// The record, if it differs from this replica's, with an offset at which it holds. Nodes of earlier versions send snapshots without
    /// offsets; such a record holds at the end of the snapshot.
    fn difference(&self, mut record: Record, end: u64) -> Option<Record> {
        let known = self.newest.get(&record.key);
        if known.is_some_and(|known| known.offset >= end) {
            return None;
        }
        let is_same = known.is_some_and(|known| {
            Some(&known.value) == record.value.as_ref()
                && (record.offset..self.end).contains(&known.offset)
        });
        if record.offset == 0 {
            record.offset = end - 1;
        }
        record.offset = record.offset.max(self.end);
        (!is_same).then_some(record)
    }

    /// Adds a change that begins at this replica's end.
    fn add(&mut self, delta: Delta) {
        delta.records.iter().for_each(|record| self.apply(record));
        let begins_ahead = !delta.is_exact && self.end < self.ahead;
        self.end = delta.end;
        if begins_ahead {
            self.recent.clear();
            (self.recent_records, self.recent_bytes) = (0, 0);
            return;
        }
        self.recent_records += delta.records.len();
        self.recent_bytes += delta.len();
        self.recent.push_back(delta);
        while self.recent_records > MIN_RECENT.max(self.newest.len())
            || self.recent_bytes > RECENT_BYTES.max(self.newest_bytes)
        {
            let Some(oldest) = self.recent.pop_front() else {
                return;
            };
            self.recent_records -= oldest.records.len();
            self.recent_bytes -= oldest.len();
        }
    }

    /// Applies a record, unless a newer one of its key is known.
    fn apply(&mut self, record: &Record) {
        let known = self.newest.get(&record.key);
        if record.key.is_empty() || known.is_some_and(|known| known.offset > record.offset) {
            return;
        }
        let is_new = known.is_none();
        self.remove(&record.key);
        if let Changed::Ids(ids) = &mut self.changed {
            ids.insert(record.key.clone());
        }
        let Some(value) = &record.value else {
            return;
        };
        let (bytes, is_digest) = (record.len(), is_digest(value));
        if is_new && is_digest && self.digests_bytes + bytes > MAX_DIGESTS_BYTES {
            return;
        }
        self.newest_bytes += bytes;
        self.digests_bytes += if is_digest { bytes } else { 0 };
        let newest = Newest { offset: record.offset, value: value.clone() };
        self.newest.insert(record.key.clone(), newest);
    }

    fn remove(&mut self, key: &str) {
        if let Some(old) = self.newest.remove(key) {
            let bytes = key.len() + old.value.len();
            self.newest_bytes -= bytes;
            self.digests_bytes -= if is_digest(&old.value) { bytes } else { 0 };
        }
    }

    /// Changes after an offset, up to about a size. None if a replica that ends there needs a snapshot: its end is not one at which a
    /// change begins, or the next change is too long.
    pub fn delta(&self, from: u64, limit: usize) -> Option<Delta> {
        let mut chosen = Delta::new(from, from, Vec::new());
        if from >= self.end {
            chosen.end = self.end;
            return Some(chosen);
        }
        let first = self.recent.binary_search_by_key(&from, |change| change.start).ok()?;
        let mut bytes = 0;
        for change in self.recent.range(first..) {
            let is_too_long = !change.is_exact && bytes + change.len() > limit;
            if bytes >= limit || is_too_long {
                break;
            }
            bytes += change.len();
            chosen.is_exact &= change.is_exact;
            chosen.end = change.end;
            chosen.records.extend(change.records.iter().cloned());
        }
        (chosen.end > from).then_some(chosen)
    }

    /// Page of the newest records after a key, up to about a size.
    pub fn page(&self, after: Option<&str>, limit: usize) -> Page {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let (mut records, mut bytes, mut is_cut) = (Vec::new(), 0, false);
        for (key, newest) in self.newest.range::<str, _>((from, Bound::Unbounded)) {
            is_cut = bytes >= limit;
            if is_cut {
                break;
            }
            let Newest { offset, value } = newest.clone();
            let record = Record { offset, key: key.clone(), value: Some(value) };
            bytes += record.len();
            records.push(record);
        }
        let next = records.last().filter(|_| is_cut).map(|record| record.key.clone());
        Page { records, end: self.end, next }
    }
}
