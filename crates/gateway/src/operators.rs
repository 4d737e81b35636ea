//! What the operators have written: the configuration, and the failure domains that are evacuated.
//!
//! Both are records of one topic. They are replicated as one text, so that whoever has a version of it has everything up to
//! its offset, the end of an evacuation included. The text is the configuration itself while no domain is evacuated; else a
//! line for each evacuated domain comes before it.

use bytes::{Bytes, BytesMut};
use crosslane_platform::evacuation;
use crosslane_platform::store::{CONFIGURATION_KEY, Record};
use std::collections::BTreeSet;

/// State of the operators' records.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    /// Text of the configuration, if there is one.
    pub configuration: Option<Bytes>,
    /// Failure domains that are evacuated.
    pub evacuated: BTreeSet<String>,
}

impl State {
    /// Applies a record. Returns whether it writes a configuration, or begins or ends an evacuation.
    pub fn apply(&mut self, record: &Record) -> bool {
        if record.key == CONFIGURATION_KEY {
            self.configuration = record.value.clone().or_else(|| self.configuration.take());
            return record.value.is_some();
        }
        match (evacuation::domain(&record.key), &record.value) {
            (Some(domain), Some(_)) => self.evacuated.insert(domain.to_owned()),
            (Some(domain), None) => self.evacuated.remove(domain),
            (None, _) => false,
        }
    }

    /// Text that is sent to other nodes.
    pub fn encode(&self) -> Bytes {
        let configuration = self.configuration.clone().unwrap_or_default();
        if self.evacuated.is_empty() {
            return configuration;
        }
        let mut text = BytesMut::new();
        for domain in &self.evacuated {
            text.extend_from_slice(evacuation::key(domain).as_bytes());
            text.extend_from_slice(b"\n");
        }
        text.extend_from_slice(&configuration);
        text.freeze()
    }

    /// State from a text.
    pub fn decode(text: &Bytes) -> Self {
        let mut rest = text.clone();
        let mut evacuated = BTreeSet::new();
        while let Some((domain, length)) = first_line(&rest) {
            evacuated.insert(domain);
            rest = rest.slice(length..);
        }
        Self { configuration: (!rest.is_empty()).then_some(rest), evacuated }
    }
}

/// Domain in the first line, if it is the line of an evacuation, and the length of that line.
fn first_line(text: &[u8]) -> Option<(String, usize)> {
    let end = text.iter().position(|byte| *byte == b'\n')?;
    let domain = evacuation::domain(std::str::from_utf8(&text[..end]).ok()?)?;
    Some((domain.to_owned(), end + 1))
}
