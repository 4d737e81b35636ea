//! Endpoints, read from their records in the store.
//!
//! A record is decoded once, when it changes: a site of hundreds of endpoints changes some of them
//! many times a second while it starts or is released, and each change would else decode all. What
//! can't be read is told of once, and takes the endpoint under that key out of use; all others stay.

use bytes::Bytes;
use crosslane_platform::discovery;
use crosslane_state::endpoint::Endpoint;
use derive_more::{Display, Error, From};
use std::collections::HashMap;

/// Why a record is not used.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// It names no endpoint.
    #[display("{_0}")]
    Unreadable(discovery::Error),
    /// Its endpoint started again since; the record came late.
    #[display("record of endpoint {id} born at {born}, which was born again at {newest}")]
    Former {
        /// Its id.
        id: String,
        /// Birth that the record tells.
        born: u64,
        /// Latest birth under the id.
        newest: u64,
    },
}

/// One record and what it says.
#[derive(Debug, Default)]
struct Known {
    bytes: Bytes,
    /// Nothing if it can't be read.
    endpoint: Option<Endpoint>,
    /// Latest birth under the id.
    newest: u64,
}

impl Known {
    /// Takes a changed record. One of a former incarnation changes nothing.
    fn take(&mut self, id: &str, bytes: &Bytes) -> Result<(), Error> {
        self.bytes = bytes.clone();
        match discovery::decode(id, bytes) {
            Ok(endpoint) if endpoint.started_unix_ms < self.newest => {
                let (id, born, newest) = (id.to_owned(), endpoint.started_unix_ms, self.newest);
                Err(Error::Former { id, born, newest })
            }
            Ok(endpoint) => {
                self.newest = endpoint.started_unix_ms;
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
pub struct Directory(HashMap<String, Known>);

impl Directory {
    /// Takes the newest records of all ids. Returns why those are not used that changed and can't be.
    pub fn take<'a>(
        &mut self,
        records: impl Iterator<Item = (&'a String, &'a Bytes)>,
    ) -> Vec<Error> {
        let mut before = std::mem::take(&mut self.0);
        let mut errors = Vec::new();
        for (id, bytes) in records {
            let known = before.remove_entry(id);
            let (id, mut known) = known.unwrap_or_else(|| (id.clone(), Known::default()));
            if known.bytes != bytes {
                errors.extend(known.take(&id, bytes).err());
            }
            self.0.insert(id, known);
        }
        errors
    }

    /// Endpoints whose records can be read.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.0.values().filter_map(|it| it.endpoint.as_ref())
    }
}
