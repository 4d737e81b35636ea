//! Client of the engine interface.

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

/// Time for an engine to answer a short call.
const SHORT: Duration = Duration::from_secs(1);

/// Longest silence within a decode stream.
const STALL: Duration = Duration::from_secs(2);

/// Longest line of a decode stream, in bytes.
const LINE_BYTES: usize = 1 << 16;

/// Why a call to an engine failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// It was never reached.
    #[display("the engine can't be reached")]
    Unreachable,
    /// It refused before starting.
    #[display("the engine refused: {status}")]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// It does not know the attempt, or has dropped it.
    #[display("the engine has dropped the attempt")]
    Gone,
    /// It broke off.
    #[display("the engine broke off: {message}")]
    Broken {
        /// What was seen.
        message: String,
    },
    /// It did not answer in time.
    #[display("the engine stalled")]
    Stalled,
}

impl Error {
    /// Whether the engine may have done something.
    pub fn ran(&self) -> bool {
        !matches!(self, Self::Unreachable | Self::Refused { .. })
    }
}

/// Statuses with which an engine refuses before starting.
const REFUSALS: [u16; 4] = [400, 429, 503, 507];

/// Statuses with which an engine says that it has no such attempt.
const GONE: [u16; 3] = [404, 409, 410];

impl From<http::Error> for Error {
    fn from(error: http::Error) -> Self {
        match error {
            http::Error::Connect { .. } => Self::Unreachable,
            http::Error::Timeout { .. } => Self::Stalled,
            http::Error::Broken { message, .. } => Self::Broken { message },
            http::Error::Status { status, .. } if REFUSALS.contains(&status) => {
                Self::Refused { status }
            }
            http::Error::Status { status, .. } if GONE.contains(&status) => Self::Gone,
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
    /// A client of the engine at an address.
    pub fn new(client: Client, address: SocketAddr) -> Self {
        Self { client, address }
    }

    /// Address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Computes a prompt's KV cache.
    pub async fn prefill(&self, body: &Prefill, limit: Duration) -> Result<Prefilled, Error> {
        Ok(self.client.fetch(Call::json(self.address, "/prefill", body), limit).await?)
    }

    /// Makes the engine fetch an attempt's KV cache from another.
    pub async fn import(&self, body: &Import, limit: Duration) -> Result<(), Error> {
        let call = Call::json(self.address, "/import", body);
        let _: serde_json::Value = self.client.fetch(call, limit).await?;
        Ok(())
    }

    /// Starts decoding.
    pub async fn decode(&self, body: &Decode) -> Result<Stream, Error> {
        self.stream("/decode", body).await
    }

    /// Reads a running or ended decode again from an offset.
    pub async fn resume(&self, body: &Decode) -> Result<Stream, Error> {
        self.stream("/resume", body).await
    }

    /// Frees whatever an attempt holds; true once the engine has confirmed.
    pub async fn cancel(&self, attempt: attempt::Id) -> bool {
        let call = Call::new(Method::DELETE, self.address, format!("/attempts/{attempt}"));
        let confirmed = |status: hyper::StatusCode| status.is_success() || status == GONE[0];
        self.client.send_buffered(call, SHORT).await.is_ok_and(|it| confirmed(it.status()))
    }

    /// Attempts that hold memory.
    pub async fn held(&self) -> Result<HeldList, Error> {
        Ok(self.client.fetch(Call::new(Method::GET, self.address, "/held"), SHORT).await?)
    }

    async fn stream(&self, path: &str, body: &impl Serialize) -> Result<Stream, Error> {
        let response = self.client.send(Call::json(self.address, path, body), STALL).await?;
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
    /// The next line; an end of the body before the end mark is an error.
    pub async fn next(&mut self) -> Result<Line, Error> {
        loop {
            if let Some(line) = self.line() {
                let raw: RawLine =
                    serde_json::from_slice(&line).map_err(|error| broken(error.into()))?;
                return Line::try_from(raw).map_err(|error| broken(error.into()));
            }
            if self.buffer.len() > LINE_BYTES {
                return Err(Error::Broken { message: "line too long".to_owned() });
            }
            let frame = tokio::time::timeout(STALL, self.body.frame()).await;
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

    fn line(&mut self) -> Option<Bytes> {
        let end = self.buffer.iter().position(|byte| *byte == b'\n')?;
        let line = self.buffer.split_to(end + 1);
        Some(line.freeze())
    }
}

fn broken(error: BodyError) -> Error {
    Error::Broken { message: error.to_string() }
}
