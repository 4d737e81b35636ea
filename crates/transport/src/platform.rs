//! Client of the platform's log service and VM list.

use crate::http::{Call, Client, Error};
use crosslane_protocol::platform::{Append, Appended, Page, VmList};
use hyper::Method;
use std::net::SocketAddr;
use std::time::Duration;

/// HTTP 410 Gone: the log has trimmed the records at the requested offset.
const GONE: u16 = 410;

/// Client of the log service and the VM list.
#[derive(Clone, Debug)]
pub struct Platform {
    client: Client,
    log_address: SocketAddr,
    vms_address: SocketAddr,
    timeout: Duration,
}

/// Result of reading a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Read {
    /// Records from the offset on; may be empty.
    Page(Page),
    /// The records at the offset were trimmed.
    Trimmed {
        /// Oldest offset that the log still has.
        first: u64,
    },
}

impl Platform {
    /// Creates a client with a timeout for each response.
    pub fn new(
        client: Client,
        log_address: SocketAddr,
        vms_address: SocketAddr,
        timeout: Duration,
    ) -> Self {
        Self { client, log_address, vms_address, timeout }
    }

    /// Appends records and returns the offset of the first; after an error they may still have been appended.
    pub async fn append(&self, stream: &str, records: Vec<String>) -> Result<u64, Error> {
        let call = Call::json(self.log_address, format!("/streams/{stream}"), &Append { records });
        self.client.fetch(call, self.timeout).await.map(|appended: Appended| appended.offset)
    }

    /// Reads records from an offset on; waits up to `wait` if there are none yet.
    pub async fn read(&self, stream: &str, from: u64, wait: Duration) -> Result<Read, Error> {
        let path = format!("/streams/{stream}?from={from}&wait={}", wait.as_millis());
        let call = Call::new(Method::GET, self.log_address, path);
        match self.client.fetch_long(call, self.timeout + wait).await {
            Ok(page) => Ok(Read::Page(page)),
            Err(Error::Status { status: GONE, body, to }) => {
                let page: Page = serde_json::from_str(&body)
                    .map_err(|error| Error::Broken { to, message: error.to_string() })?;
                Ok(Read::Trimmed { first: page.first })
            }
            Err(error) => Err(error),
        }
    }

    /// Fetches the platform's list of VMs.
    pub async fn vms(&self) -> Result<VmList, Error> {
        self.client.fetch_long(Call::new(Method::GET, self.vms_address, "/vms"), self.timeout).await
    }
}
