//! Client of the engines' HTTP interface.

use crate::http::{self, BodyError, Call, Client};
use bytes::{Bytes, BytesMut};
use crosslane_protocol::engine::{Decode, HeldList, Import, Line, Prefill, Prefilled, RawLine};
use crosslane_state::attempt;
use derive_more::{Display, Error};
use http_body_util::BodyExt;
use hyper::Method;
use hyper::body::Incoming;
use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of calls that an engine answers at once.
const SHORT_CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time without data within a decode stream.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest line of a decode stream, in bytes.
const MAX_LINE_BYTES: usize = 1 << 16;

/// Why a call to an engine failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// No connection: the engine received nothing.
    #[display("the engine can't be reached")]
    Unreachable,
    /// The engine refused before it started.
    #[display("the engine refused: {status}")]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// The engine doesn't know the attempt, or has dropped it.
    #[display("the engine has dropped the attempt")]
    Gone,
    /// The connection broke, or the response was invalid.
    #[display("the engine broke off: {message}")]
    Broken {
        /// Cause.
        message: String,
    },
    /// The engine did not answer in time.
    #[display("the engine stalled")]
    Stalled,
}

impl Error {
    /// Whether the engine may have started the work.
    pub fn ran(&self) -> bool {
        !matches!(self, Self::Unreachable | Self::Refused { .. })
    }
}

/// HTTP statuses of a refusal before the engine has started.
const REFUSED_STATUSES: [u16; 4] = [400, 429, 503, 507];

/// HTTP statuses that mean that the engine has no such attempt.
const GONE_STATUSES: [u16; 3] = [404, 409, 410];

impl From<http::Error> for Error {
    fn from(error: http::Error) -> Self {
        match error {
            http::Error::Connect { .. } => Self::Unreachable,
            http::Error::Timeout { .. } => Self::Stalled,
            http::Error::Broken { message, .. } => Self::Broken { message },
            http::Error::Status { status, .. } if REFUSED_STATUSES.contains(&status) => {
                Self::Refused { status }
            }
            http::Error::Status { status, .. } if GONE_STATUSES.contains(&status) => Self::Gone,
            http::Error::Status { status, body, .. } => {
                Self::Broken { message: format!("status {status}: {body}") }
            }
        }
    }
}

/// Client of one engine.
#[derive(Clone, Debug)]
pub struct Engine {
    client: Client,
    address: SocketAddr,
}

impl Engine {
    /// Creates a client of the engine at an address.
    pub fn new(client: Client, address: SocketAddr) -> Self {
        Self { client, address }
    }

    /// Address of the engine.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Computes a prompt's KV cache.
    pub async fn prefill(&self, body: &Prefill, timeout: Duration) -> Result<Prefilled, Error> {
        Ok(self.client.fetch(Call::json(self.address, "/prefill", body), timeout).await?)
    }

    /// Makes the engine fetch an attempt's KV cache from another engine.
    pub async fn import(&self, body: &Import, timeout: Duration) -> Result<(), Error> {
        let call = Call::json(self.address, "/import", body);
        let _: serde_json::Value = self.client.fetch(call, timeout).await?;
        Ok(())
    }

    /// Starts decoding.
    pub async fn decode(&self, body: &Decode) -> Result<Stream, Error> {
        self.stream("/decode", body).await
    }

    /// Streams a running or finished decode again, from an offset.
    pub async fn resume(&self, body: &Decode) -> Result<Stream, Error> {
        self.stream("/resume", body).await
    }

    /// Frees all resources of an attempt; true if the engine confirmed.
    pub async fn cancel(&self, attempt: attempt::Id) -> bool {
        let call = Call::new(Method::DELETE, self.address, format!("/attempts/{attempt}"));
        let confirmed =
            |status: hyper::StatusCode| status.is_success() || status == GONE_STATUSES[0];
        self.client
            .send_buffered(call, SHORT_CALL_TIMEOUT)
            .await
            .is_ok_and(|response| confirmed(response.status()))
    }

    /// Lists the attempts that hold memory.
    pub async fn held(&self) -> Result<HeldList, Error> {
        Ok(self
            .client
            .fetch(Call::new(Method::GET, self.address, "/held"), SHORT_CALL_TIMEOUT)
            .await?)
    }

    /// Opens a decode stream.
    async fn stream(&self, path: &str, body: &impl Serialize) -> Result<Stream, Error> {
        let response =
            self.client.send(Call::json(self.address, path, body), STALL_TIMEOUT).await?;
        let status = response.status().as_u16();
        if status != 200 {
            let error = http::Error::Status { to: self.address, status, body: String::new() };
            return Err(error.into());
        }
        Ok(Stream { body: response.into_body(), buffer: BytesMut::new() })
    }
}

/// Lines of a decode stream.
#[derive(Debug)]
pub struct Stream {
    body: Incoming,
    buffer: BytesMut,
}

impl Stream {
    /// Reads the next line; the end of the body is an error, since the caller stops at the end mark.
    pub async fn next(&mut self) -> Result<Line, Error> {
        loop {
            if let Some(line) = self.line() {
                let raw: RawLine =
                    serde_json::from_slice(&line).map_err(|error| broken(error.into()))?;
                return Line::try_from(raw).map_err(|error| broken(error.into()));
            }
            if self.buffer.len() > MAX_LINE_BYTES {
                return Err(Error::Broken { message: "line too long".to_owned() });
            }
            let frame = tokio::time::timeout(STALL_TIMEOUT, self.body.frame()).await;
            match frame.map_err(|_| Error::Stalled)? {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
                Some(Err(error)) => return Err(broken(error.into())),
                None => return Err(broken("end before the end mark".into())),
            }
        }
    }

    /// Takes the next complete line from the buffer.
    fn line(&mut self) -> Option<Bytes> {
        let end = self.buffer.iter().position(|byte| *byte == b'\n')?;
        let line = self.buffer.split_to(end + 1);
        Some(line.freeze())
    }
}

/// Wraps an error of the body or of a line.
fn broken(error: BodyError) -> Error {
    Error::Broken { message: error.to_string() }
}
