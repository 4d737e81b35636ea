//! Decodes the records of endpoints in the store.
//!
//! A record is decoded once, when it changes: in a site of hundreds of endpoints, some records
//! change many times a second while it starts or is released, and each change would otherwise
//! decode all. An invalid record is reported once and takes the endpoint of that key out of use;
//! the other endpoints stay.

use bytes::Bytes;
use crosslane_platform::discovery;
use crosslane_state::endpoint::Endpoint;
use derive_more::{Display, Error, From};
use std::collections::HashMap;

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
pub struct Directory(HashMap<String, Cached>);

impl Directory {
    /// Updates the directory to the newest records of all ids. Returns the reasons why changed
    /// records are not used.
    pub fn update<'a>(
        &mut self,
        records: impl Iterator<Item = (&'a String, &'a Bytes)>,
    ) -> Vec<Error> {
        let mut previous = std::mem::take(&mut self.0);
        let mut errors = Vec::new();
        for (id, bytes) in records {
            let entry = previous.remove_entry(id);
            let (id, mut cached) = entry.unwrap_or_else(|| (id.clone(), Cached::default()));
            if cached.bytes != bytes {
                errors.extend(cached.update(&id, bytes).err());
            }
            self.0.insert(id, cached);
        }
        errors
    }

    /// Endpoints whose records are valid.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.0.values().filter_map(|cached| cached.endpoint.as_ref())
    }
}
