//! What the store holds, as this node last read it or was told by another node.
//!
//! Both topics are logs, so what lies at a higher offset is newer, whoever tells it.

use bytes::Bytes;
use crosslane_platform::store::{self, Page, Record};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A copy that can be sent to another node.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Snapshot {
    /// Offset after the newest record of the operators' topic.
    pub operators_end: u64,
    /// The configuration.
    pub configuration: Option<Vec<u8>>,
    /// Offset after the newest record of the endpoints' topic.
    pub endpoints_end: u64,
    /// Endpoints' records by id.
    pub endpoints: Vec<(String, Vec<u8>)>,
}

/// What changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// The configuration.
    pub configuration: bool,
    /// The endpoints' records.
    pub endpoints: bool,
}

/// The newest records of both topics.
#[derive(Debug, Default)]
pub struct Mirror {
    operators_end: u64,
    configuration: Option<Bytes>,
    endpoints_end: u64,
    endpoints: BTreeMap<String, Bytes>,
}

impl Mirror {
    /// Offsets after the newest records of the operators' and the endpoints' topic.
    pub fn ends(&self) -> (u64, u64) {
        (self.operators_end, self.endpoints_end)
    }

    /// The configuration.
    pub fn configuration(&self) -> Option<&Bytes> {
        self.configuration.as_ref()
    }

    /// Endpoints' records by id.
    pub fn endpoints(&self) -> impl Iterator<Item = (&String, &Bytes)> {
        self.endpoints.iter()
    }

    /// Takes records of a topic: those from an offset on, or without one all there are. What
    /// another node told meanwhile is left out.
    pub fn take(&mut self, topic: &str, page: Page, from: Option<u64>) -> Change {
        let known = self.end(topic);
        if page.end <= known {
            return Change::default();
        }
        let told = from.map_or(0, |from| known.saturating_sub(from));
        let records = page.records.into_iter().skip(told as usize).collect();
        if topic == store::OPERATORS {
            self.operators_end = page.end;
            return self.take_operators(records);
        }
        self.endpoints_end = page.end;
        self.take_endpoints(records, from.is_none())
    }

    /// Offset after the newest record of a topic.
    pub fn end(&self, topic: &str) -> u64 {
        if topic == store::OPERATORS { self.operators_end } else { self.endpoints_end }
    }

    fn take_operators(&mut self, records: Vec<Record>) -> Change {
        let newest = records.into_iter().rfind(|it| it.key == store::CONFIGURATION);
        let Some(value) = newest.and_then(|it| it.value) else {
            return Change::default();
        };
        self.configuration = Some(value);
        Change { configuration: true, endpoints: false }
    }

    fn take_endpoints(&mut self, records: Vec<Record>, whole: bool) -> Change {
        if whole {
            self.endpoints.clear();
        }
        for record in records {
            match record.value {
                Some(value) => self.endpoints.insert(record.key, value),
                None => self.endpoints.remove(&record.key),
            };
        }
        Change { configuration: false, endpoints: true }
    }

    /// A copy for another node.
    pub fn snapshot(&self) -> Snapshot {
        let endpoints = self.endpoints.iter().map(|(id, it)| (id.clone(), it.to_vec()));
        Snapshot {
            operators_end: self.operators_end,
            configuration: self.configuration.as_ref().map(|it| it.to_vec()),
            endpoints_end: self.endpoints_end,
            endpoints: endpoints.collect(),
        }
    }

    /// Takes what is newer in another node's copy.
    pub fn merge(&mut self, snapshot: Snapshot) -> Change {
        let mut change = Change::default();
        if snapshot.operators_end > self.operators_end && snapshot.configuration.is_some() {
            self.operators_end = snapshot.operators_end;
            self.configuration = snapshot.configuration.map(Bytes::from);
            change.configuration = true;
        }
        if snapshot.endpoints_end > self.endpoints_end {
            self.endpoints_end = snapshot.endpoints_end;
            let endpoints = snapshot.endpoints.into_iter();
            self.endpoints = endpoints.map(|(id, it)| (id, Bytes::from(it))).collect();
            change.endpoints = true;
        }
        change
    }
}
