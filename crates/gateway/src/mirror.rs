//! What the store holds, as this node last read it or was told by another node.
//!
//! Both topics are logs, so what lies at a higher offset is newer, whoever tells it.

use bytes::Bytes;
use crosslane_platform::store::{self, Page, Record};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Records of a topic that are kept for nodes that are behind: more than the endpoints of a site of 300
/// nodes write when they all start. With 512 nodes fell so far behind there that each was sent
/// the whole list, again and again, over links of 10 Mbit/s.
const RECENT: usize = 8_192;

/// A record with its offset, as nodes send it.
type Numbered = (u64, String, Option<Vec<u8>>);

/// What another node lacks of one topic.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Part {
    /// Offset after the newest record.
    pub end: u64,
    /// Whether these are the newest records of all keys, rather than those that were lacking.
    pub whole: bool,
    /// Records.
    pub records: Vec<Numbered>,
}

/// What another node lacks of both topics.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Delta {
    /// Of the operators' topic.
    pub operators: Part,
    /// Of the endpoints' topic.
    pub endpoints: Part,
}

impl Delta {
    /// Number of records.
    pub fn records(&self) -> usize {
        self.operators.records.len() + self.endpoints.records.len()
    }

    /// Bytes of the records' keys and values.
    pub fn bytes(&self) -> usize {
        let records = self.operators.records.iter().chain(&self.endpoints.records);
        records.map(|(_, key, value)| key.len() + value.as_ref().map_or(0, Vec::len)).sum()
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

/// One topic.
#[derive(Debug, Default)]
struct Topic {
    end: u64,
    /// Newest record of each key.
    newest: BTreeMap<String, Bytes>,
    recent: VecDeque<(u64, Record)>,
}

impl Topic {
    /// Takes records from an offset on, or without one all there are; false if nothing is new.
    fn take(&mut self, page: Page, from: Option<u64>) -> bool {
        if page.end <= self.end {
            return false;
        }
        match from {
            Some(from) => {
                let told = self.end.saturating_sub(from) as usize;
                let numbered = page.records.into_iter().enumerate().skip(told);
                numbered.for_each(|(place, record)| self.put(from + place as u64, record));
            }
            None => {
                self.newest.clear();
                self.recent.clear();
                let values = page.records.into_iter();
                self.newest.extend(values.filter_map(|it| Some((it.key, it.value?))));
            }
        }
        self.end = page.end;
        true
    }

    fn put(&mut self, offset: u64, record: Record) {
        match &record.value {
            Some(value) => self.newest.insert(record.key.clone(), value.clone()),
            None => self.newest.remove(&record.key),
        };
        if self.recent.len() == RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back((offset, record));
    }

    /// What a node lacks that has read up to an offset.
    fn part(&self, from: u64) -> Part {
        let kept = self.recent.front().is_some_and(|(offset, _)| *offset <= from);
        let whole = from < self.end && !kept;
        let bytes = |it: &Bytes| it.to_vec();
        let records = if whole {
            let newest = self.newest.iter();
            newest.map(|(key, value)| (0, key.clone(), Some(bytes(value)))).collect()
        } else {
            let lacking = self.recent.iter().filter(|(offset, _)| *offset >= from);
            let numbered = |(offset, it): &(u64, Record)| {
                (*offset, it.key.clone(), it.value.as_ref().map(bytes))
            };
            lacking.map(numbered).collect()
        };
        Part { end: self.end, whole, records }
    }

    /// Takes what another node knows.
    fn merge(&mut self, part: Part) -> bool {
        let first = part.records.first().map_or(self.end, |it| it.0);
        if !part.whole && first > self.end {
            // What lies between was not sent.
            return false;
        }
        let from = (!part.whole).then_some(first);
        let record = |(_, key, value): Numbered| Record { key, value: value.map(Bytes::from) };
        let records = part.records.into_iter().map(record).collect();
        self.take(Page { records, end: part.end }, from)
    }
}

/// The newest records of both topics.
#[derive(Debug, Default)]
pub struct Mirror {
    operators: Topic,
    endpoints: Topic,
}

impl Mirror {
    /// Offsets after the newest records of the operators' and the endpoints' topic.
    pub fn ends(&self) -> (u64, u64) {
        (self.operators.end, self.endpoints.end)
    }

    /// Offset after the newest record of a topic.
    pub fn end(&self, topic: &str) -> u64 {
        if topic == store::OPERATORS { self.operators.end } else { self.endpoints.end }
    }

    /// The configuration.
    pub fn configuration(&self) -> Option<&Bytes> {
        self.operators.newest.get(store::CONFIGURATION)
    }

    /// Endpoints' records by id.
    pub fn endpoints(&self) -> impl Iterator<Item = (&String, &Bytes)> {
        self.endpoints.newest.iter()
    }

    /// Takes records of a topic: those from an offset on, or without one all there are. What
    /// another node told meanwhile is left out.
    pub fn take(&mut self, topic: &str, page: Page, from: Option<u64>) -> Change {
        if topic == store::OPERATORS {
            return Change { configuration: self.operators.take(page, from), endpoints: false };
        }
        Change { configuration: false, endpoints: self.endpoints.take(page, from) }
    }

    /// What a node lacks that has read both topics up to these offsets.
    pub fn delta(&self, ends: (u64, u64)) -> Delta {
        Delta { operators: self.operators.part(ends.0), endpoints: self.endpoints.part(ends.1) }
    }

    /// Takes what another node knows.
    pub fn merge(&mut self, delta: Delta) -> Change {
        Change {
            configuration: self.operators.merge(delta.operators),
            endpoints: self.endpoints.merge(delta.endpoints),
        }
    }
}
