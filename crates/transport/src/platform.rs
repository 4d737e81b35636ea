//! Clients of the platform's log service and VM list.

use crate::http::{Call, Client, Error};
use crosslane_protocol::platform::{Append, Appended, Page, VmList};
use hyper::Method;
use std::net::SocketAddr;
use std::time::Duration;

/// HTTP status that says an offset is no longer kept.
const GONE: u16 = 410;

/// Client of both.
#[derive(Clone, Debug)]
pub struct Platform {
    client: Client,
    log: SocketAddr,
    vms: SocketAddr,
    limit: Duration,
}

/// What a read of a stream found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Read {
    /// Records, possibly none.
    Page(Page),
    /// The offset is no longer kept; this is the oldest that is.
    Trimmed {
        /// Oldest offset kept.
        first: u64,
    },
}

impl Platform {
    /// A client that waits this long for an answer.
    pub fn new(client: Client, log: SocketAddr, vms: SocketAddr, limit: Duration) -> Self {
        Self { client, log, vms, limit }
    }

    /// Appends records; an error leaves open whether they were.
    pub async fn append(&self, stream: &str, records: Vec<String>) -> Result<u64, Error> {
        let call = Call::json(self.log, format!("/streams/{stream}"), &Append { records });
        self.client.fetch(call, self.limit).await.map(|it: Appended| it.offset)
    }

    /// Reads records from an offset on, waiting up to `wait` for the first.
    pub async fn read(&self, stream: &str, from: u64, wait: Duration) -> Result<Read, Error> {
        let path = format!("/streams/{stream}?from={from}&wait={}", wait.as_millis());
        let call = Call::new(Method::GET, self.log, path);
        match self.client.fetch_long(call, self.limit + wait).await {
            Ok(page) => Ok(Read::Page(page)),
            Err(Error::Status { status: GONE, body, to }) => {
                let page: Page = serde_json::from_str(&body)
                    .map_err(|error| Error::Broken { to, message: error.to_string() })?;
                Ok(Read::Trimmed { first: page.first })
            }
            Err(error) => Err(error),
        }
    }

    /// The platform's list of VMs.
    pub async fn vms(&self) -> Result<VmList, Error> {
        self.client.fetch_long(Call::new(Method::GET, self.vms, "/vms"), self.limit).await
    }
}
