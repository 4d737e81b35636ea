//! What the store holds, as this node last read it or was told by another node.
//!
//! Both topics are logs, so what lies at a higher offset is newer, whoever tells it.

use crate::history::{History, PIECE, Piece, Step, Wanted};
use bytes::Bytes;
use crosslane_platform::store::{self, Page, Record};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::ops::Bound;

/// Endpoints' records that are kept for nodes that are behind: more than the endpoints of a site of 300
/// nodes write when they all start. With 512 nodes fell so far behind there that each was sent
/// the whole list, again and again, over links of 10 Mbit/s.
const RECENT: usize = 8_192;

/// What a node follows in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// The operators', of which it takes the configuration.
    Operators,
    /// The endpoints'.
    Endpoints,
}

impl Topic {
    /// Its name in the store.
    pub fn name(self) -> &'static str {
        match self {
            Self::Operators => store::OPERATOR_TOPIC,
            Self::Endpoints => store::ENDPOINT_TOPIC,
        }
    }
}

/// Offsets up to which a node knows the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ends {
    /// After the newest configuration's record.
    pub configuration: u64,
    /// After the newest endpoint's record.
    pub endpoints: u64,
}

impl Ends {
    /// The one of a topic.
    pub fn of(&self, topic: Topic) -> u64 {
        match topic {
            Topic::Operators => self.configuration,
            Topic::Endpoints => self.endpoints,
        }
    }
}

/// A record of an endpoint, as nodes send it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Entry {
    offset: u64,
    key: String,
    value: Option<Vec<u8>>,
}

impl Entry {
    fn new(offset: u64, key: &str, value: Option<&Bytes>) -> Self {
        Self { offset, key: key.to_owned(), value: value.map(|it| it.to_vec()) }
    }

    /// Bytes of its key and value.
    fn len(&self) -> usize {
        self.key.len() + self.value.as_ref().map_or(0, Vec::len)
    }
}

impl From<Entry> for Record {
    fn from(entry: Entry) -> Self {
        let Entry { offset, key, value } = entry;
        Self { offset, key, value: value.map(Bytes::from) }
    }
}

/// Endpoints' records that another node lacks.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Part {
    /// Those that lie after what it has read.
    Recent {
        /// In the order of the log.
        entries: Vec<Entry>,
        /// Offset after the last of them.
        end: u64,
    },
    /// A page of the newest ones of all keys, for a node that is too far behind.
    Listed {
        /// In the order of their keys.
        entries: Vec<Entry>,
        /// Offset up to which the list is complete.
        end: u64,
        /// Key after which the next page begins; nothing after the last page.
        next: Option<String>,
    },
}

impl Part {
    /// Bytes of its records' keys and values.
    pub fn len(&self) -> usize {
        let (Self::Recent { entries, .. } | Self::Listed { entries, .. }) = self;
        entries.iter().map(Entry::len).sum()
    }

    /// Whether it brings no records.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// A list of which pages have come, from one node or several.
#[derive(Debug, Default)]
pub struct List {
    entries: Vec<Entry>,
    /// Offset up to which it is complete: what came between two pages is read again after it.
    end: u64,
    /// Key after which the next page begins.
    next: Option<String>,
}

impl List {
    /// Key after which the next page begins; nothing for the first one.
    pub fn after(&self) -> Option<&String> {
        self.next.as_ref()
    }

    /// Adds a page; the list once it is whole.
    pub fn add(&mut self, entries: Vec<Entry>, end: u64, next: Option<String>) -> Option<Self> {
        self.end = if self.next.is_some() { self.end.min(end) } else { end };
        self.entries.extend(entries);
        self.next = next;
        self.next.is_none().then(|| std::mem::take(self))
    }
}

/// What changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// The configuration.
    pub configuration: bool,
    /// The endpoints' records.
    pub endpoints: bool,
}

/// Endpoints' records.
#[derive(Debug, Default)]
struct Endpoints {
    end: u64,
    /// Newest record of each key.
    newest: BTreeMap<String, Bytes>,
    recent: VecDeque<Record>,
}

impl Endpoints {
    /// Takes records that lie one after the other; false if nothing is new.
    fn append(&mut self, page: Page) -> bool {
        if page.end <= self.end {
            return false;
        }
        let told = self.end;
        page.records.into_iter().filter(|it| it.offset >= told).for_each(|it| self.put(it));
        self.end = page.end;
        true
    }

    /// Takes the newest records of all keys; false if nothing is new.
    fn replace(&mut self, page: Page) -> bool {
        if page.end <= self.end {
            return false;
        }
        let values = page.records.into_iter();
        self.newest = values.filter_map(|it| Some((it.key, it.value?))).collect();
        self.recent.clear();
        self.end = page.end;
        true
    }

    fn put(&mut self, record: Record) {
        match &record.value {
            Some(value) => self.newest.insert(record.key.clone(), value.clone()),
            None => self.newest.remove(&record.key),
        };
        if self.recent.len() == RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back(record);
    }

    /// What a node lacks that has read up to an offset; of a list, what comes after a key.
    fn part(&self, from: u64, after: Option<&str>) -> Part {
        let kept = self.recent.front().is_some_and(|it| it.offset <= from);
        if after.is_some() || (from < self.end && !kept) {
            return self.listed(after);
        }
        let lacking = self.recent.iter().filter(|it| it.offset >= from);
        let entries = lacking.map(|it| Entry::new(it.offset, &it.key, it.value.as_ref()));
        let (entries, more) = bounded(entries);
        let last = entries.last().map(|it| it.offset + 1);
        Part::Recent { entries, end: last.filter(|_| more).unwrap_or(self.end) }
    }

    fn listed(&self, after: Option<&str>) -> Part {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let rest = self.newest.range::<str, _>((from, Bound::Unbounded));
        let (entries, more) = bounded(rest.map(|(key, value)| Entry::new(0, key, Some(value))));
        let next = entries.last().filter(|_| more).map(|it| it.key.clone());
        Part::Listed { entries, end: self.end, next }
    }
}

/// The first entries, up to some bytes, and whether there are more.
fn bounded(entries: impl Iterator<Item = Entry>) -> (Vec<Entry>, bool) {
    let mut taken = Vec::new();
    let mut bytes = 0;
    for entry in entries {
        if bytes >= PIECE {
            return (taken, true);
        }
        bytes += entry.len();
        taken.push(entry);
    }
    (taken, false)
}

/// The configuration and the endpoints' records.
#[derive(Debug, Default)]
pub struct Mirror {
    /// Offset up to which the operators' topic was read.
    operators: u64,
    configuration: History,
    endpoints: Endpoints,
}

impl Mirror {
    /// How far this node knows the store.
    pub fn ends(&self) -> Ends {
        Ends { configuration: self.configuration.end(), endpoints: self.endpoints.end }
    }

    /// Offset from which a topic is to be read.
    pub fn end(&self, topic: Topic) -> u64 {
        match topic {
            Topic::Operators => self.operators.max(self.configuration.end()),
            Topic::Endpoints => self.endpoints.end,
        }
    }

    /// The configuration.
    pub fn configuration(&self) -> Option<&Bytes> {
        self.configuration.text()
    }

    /// Endpoints' records by id.
    pub fn endpoints(&self) -> impl Iterator<Item = (&String, &Bytes)> {
        self.endpoints.newest.iter()
    }

    /// Takes records of a topic: those from an offset on, or without one all there are. What
    /// another node told meanwhile is left out.
    pub fn take(&mut self, topic: Topic, page: Page, from: Option<u64>) -> Change {
        let mut change = Change::default();
        match (topic, from) {
            (Topic::Operators, _) => change.configuration = self.take_configurations(page),
            (Topic::Endpoints, Some(_)) => change.endpoints = self.endpoints.append(page),
            (Topic::Endpoints, None) => change.endpoints = self.endpoints.replace(page),
        }
        change
    }

    fn take_configurations(&mut self, page: Page) -> bool {
        self.operators = self.operators.max(page.end);
        let mut changed = false;
        for record in page.records.into_iter().filter(|it| it.key == store::CONFIGURATION_KEY) {
            if let Some(text) = record.value {
                changed |= self.configuration.put(record.offset + 1, text);
            }
        }
        changed
    }

    /// The next piece of the configuration for another node, if this one knows a newer one.
    pub fn piece(&mut self, wanted: Wanted) -> io::Result<Option<Piece>> {
        self.configuration.piece(wanted)
    }

    /// Takes a whole step of the configuration from another node.
    pub fn take_step(&mut self, step: Step) -> io::Result<Change> {
        Ok(Change { configuration: self.configuration.take(step)?, endpoints: false })
    }

    /// Endpoints' records for a node that has read up to an offset; of a list, those after a key.
    pub fn part(&self, from: u64, after: Option<&str>) -> Part {
        self.endpoints.part(from, after)
    }

    /// Takes records that another node sent in the order of the log.
    pub fn merge_recent(&mut self, entries: Vec<Entry>, end: u64) -> Change {
        let first = entries.first().map_or(end, |it| it.offset);
        // What lies between was not sent.
        let gap = first > self.endpoints.end;
        let records = entries.into_iter().map(Record::from).collect();
        let endpoints = !gap && self.endpoints.append(Page { records, end });
        Change { configuration: false, endpoints }
    }

    /// Takes a whole list that other nodes sent.
    pub fn merge_list(&mut self, list: List) -> Change {
        let records = list.entries.into_iter().map(Record::from).collect();
        let page = Page { records, end: list.end };
        Change { configuration: false, endpoints: self.endpoints.replace(page) }
    }
}
