//! Decodes the records of endpoints in the store.
//!
//! A record is decoded once, when it changes, and only the changed ones are looked at: while thousands of endpoints start or
//! are released, some change many times a second. An invalid record is reported once and takes the endpoint of that key out of use;
//! the other endpoints stay.

use bytes::Bytes;
use crosslane_platform::discovery;
use crosslane_state::endpoint::Endpoint;
use derive_more::{Display, Error, From};
use std::collections::{HashMap, HashSet};

/// Reason why a record is not used.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The record can't be decoded.
    #[display("{_0}")]
    Unreadable(discovery::Error),
    /// The endpoint has restarted since; the record arrived late.
    #[display(
        "record of endpoint {id} started at {born} is stale: the endpoint restarted at {newest}"
    )]
    Stale {
        /// Id of the endpoint.
        id: String,
        /// Start time in the record.
        born: u64,
        /// Latest start time under the id.
        newest: u64,
    },
}

/// A record and the endpoint decoded from it.
#[derive(Debug, Default)]
struct Cached {
    bytes: Bytes,
    /// The endpoint, unless the record can't be decoded.
    endpoint: Option<Endpoint>,
    /// Latest start time under the id.
    latest_born: u64,
}

impl Cached {
    /// Decodes a changed record. A record of an earlier incarnation changes nothing.
    fn update(&mut self, id: &str, bytes: &Bytes) -> Result<(), Error> {
        self.bytes = bytes.clone();
        match discovery::decode(id, bytes) {
            Ok(endpoint) if endpoint.started_unix_ms < self.latest_born => {
                let (id, born, newest) =
                    (id.to_owned(), endpoint.started_unix_ms, self.latest_born);
                Err(Error::Stale { id, born, newest })
            }
            Ok(endpoint) => {
                self.latest_born = endpoint.started_unix_ms;
                self.endpoint = Some(endpoint);
                Ok(())
            }
            Err(error) => {
                self.endpoint = None;
                Err(error.into())
            }
        }
    }
}

/// Endpoints by id.
#[derive(Debug, Default)]
pub struct Directory {
    records: HashMap<String, Cached>,
    /// Number of records that name an endpoint.
    listed: usize,
}

impl Directory {
    /// Applies the newest record of an id, or its absence. An error says why a changed record is not used.
    pub fn apply(&mut self, id: &str, bytes: Option<&Bytes>) -> Result<(), Error> {
        let Some(bytes) = bytes else {
            let removed = self.records.remove(id);
            self.listed -= usize::from(removed.is_some_and(|cached| cached.endpoint.is_some()));
            return Ok(());
        };
        if !self.records.contains_key(id) {
            self.records.insert(id.to_owned(), Cached::default());
        }
        let Some(cached) = self.records.get_mut(id).filter(|cached| cached.bytes != bytes) else {
            return Ok(());
        };
        self.listed -= usize::from(cached.endpoint.is_some());
        let result = cached.update(id, bytes);
        self.listed += usize::from(cached.endpoint.is_some());
        result
    }

    /// Updates the directory to the newest records of all ids. Returns the reasons why changed
    /// records are not used.
    pub fn update<'a>(
        &mut self,
        records: impl Iterator<Item = (&'a String, &'a Bytes)>,
    ) -> Vec<Error> {
        let mut missing: HashSet<String> = self.records.keys().cloned().collect();
        let mut errors = Vec::new();
        for (id, bytes) in records {
            missing.remove(id);
            errors.extend(self.apply(id, Some(bytes)).err());
        }
        for id in missing {
            errors.extend(self.apply(&id, None).err());
        }
        errors
    }

    /// The endpoint with an id, if its record is valid.
    pub fn endpoint(&self, id: &str) -> Option<&Endpoint> {
        self.records.get(id)?.endpoint.as_ref()
    }

    /// Endpoints whose records are valid.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.records.values().filter_map(|cached| cached.endpoint.as_ref())
    }

    /// Number of endpoints whose records are valid.
    pub fn len(&self) -> usize {
        self.listed
    }

    /// Whether no record is valid.
    pub fn is_empty(&self) -> bool {
        self.listed == 0
    }
}
