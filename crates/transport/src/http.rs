//! HTTP with hyper: a client, and helpers for the bodies of clients and servers.
//!
//! The client opens a connection for each call, by which the response is associated with it.

use crate::{connection, framing};
use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderMap};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

/// Any error of a body.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Body of a response.
pub type ResponseBody = BoxBody<Bytes, BodyError>;

/// Media type of JSON.
pub const JSON: &str = "application/json";

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum size of a buffered response: some times that of the longest list or log page.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Why a call failed.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// No connection was established; nothing was sent.
    #[display("no connection to {to}")]
    Connect {
        /// Remote address.
        to: SocketAddr,
    },
    /// The connection failed after part of the request may have been sent, or the response is invalid.
    #[display("call to {to} failed: {message}")]
    Broken {
        /// Remote address.
        to: SocketAddr,
        /// Cause.
        message: String,
    },
    /// No response before the deadline.
    #[display("no response from {to} before the deadline")]
    Timeout {
        /// Remote address.
        to: SocketAddr,
    },
    /// The response has an error status.
    #[display("{to} responded with status {status}: {body}")]
    Status {
        /// Remote address.
        to: SocketAddr,
        /// HTTP status.
        status: u16,
        /// Response body.
        body: String,
    },
}

impl From<connection::Error> for Error {
    fn from(error: connection::Error) -> Self {
        match error {
            connection::Error::Unreachable { to, .. } | connection::Error::Connect { to, .. } => {
                Self::Connect { to }
            }
            connection::Error::Broken { to, message } => Self::Broken { to, message },
            connection::Error::Unassociated { to } => {
                Self::Broken { to, message: error.to_string() }
            }
            connection::Error::Timeout { to } => Self::Timeout { to },
        }
    }
}

/// A request to send.
#[derive(Clone, Debug)]
pub struct Call {
    /// Remote address.
    pub to: SocketAddr,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Request headers.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
}

impl Call {
    /// A call without a body.
    pub fn new(method: Method, to: SocketAddr, path: impl Into<String>) -> Self {
        Self { to, method, path: path.into(), headers: HeaderMap::new(), body: Bytes::new() }
    }

    /// A POST call with a JSON body.
    pub fn json(to: SocketAddr, path: impl Into<String>, body: &impl Serialize) -> Self {
        let mut call = Self::new(Method::POST, to, path);
        call.headers.insert(CONTENT_TYPE, hyper::header::HeaderValue::from_static(JSON));
        call.body = serde_json::to_vec(body).unwrap_or_default().into();
        call
    }
}

/// HTTP client.
#[derive(Clone, Debug)]
pub struct Client {
    inner: hyper_util::client::legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let inner = hyper_util::client::legacy::Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build(connector);
        Self { inner }
    }
}

impl Client {
    /// Sends a call and returns the response once its head has arrived.
    pub async fn send(&self, call: Call, timeout: Duration) -> Result<Response<Incoming>, Error> {
        let to = call.to;
        let mut request = Request::builder()
            .method(call.method)
            .uri(format!("http://{to}{}", call.path))
            .body(Full::new(call.body))
            .map_err(|error| Error::Broken { to, message: error.to_string() })?;
        request.headers_mut().extend(call.headers);
        match tokio::time::timeout(timeout, self.inner.request(request)).await {
            Err(_) => Err(Error::Timeout { to }),
            Ok(Err(error)) if error.is_connect() => Err(Error::Connect { to }),
            Ok(Err(error)) => Err(Error::Broken { to, message: error.to_string() }),
            Ok(Ok(response)) => match framing::check(&response) {
                Ok(()) => Ok(response),
                Err(error) => Err(Error::Broken { to, message: error.to_string() }),
            },
        }
    }

    /// Sends a call and reads the whole response within the timeout.
    pub async fn send_buffered(
        &self,
        call: Call,
        timeout: Duration,
    ) -> Result<Response<Bytes>, Error> {
        let to = call.to;
        let started = tokio::time::Instant::now();
        let (head, body) = self.send(call, timeout).await?.into_parts();
        let remaining = timeout.saturating_sub(started.elapsed());
        let body = Limited::new(body, MAX_RESPONSE_BYTES);
        match tokio::time::timeout(remaining, body.collect()).await {
            Err(_) => Err(Error::Timeout { to }),
            Ok(Err(error)) => Err(Error::Broken { to, message: error.to_string() }),
            Ok(Ok(body)) => Ok(Response::from_parts(head, body.to_bytes())),
        }
    }

    /// Sends a call and decodes the JSON response; an error status is an error.
    pub async fn fetch<T: DeserializeOwned>(
        &self,
        call: Call,
        timeout: Duration,
    ) -> Result<T, Error> {
        let to = call.to;
        decode(to, self.send_buffered(call, timeout).await?)
    }

    /// Like `fetch`, for a long response: the timeout applies to the head and to each frame of the body.
    pub async fn fetch_long<T: DeserializeOwned>(
        &self,
        call: Call,
        timeout: Duration,
    ) -> Result<T, Error> {
        let to = call.to;
        let (head, body) = self.send(call, timeout).await?.into_parts();
        let body = connection::read_body(body, to, timeout, MAX_RESPONSE_BYTES).await?;
        decode(to, Response::from_parts(head, body))
    }
}

/// Decodes a JSON response; an error status is an error.
fn decode<T: DeserializeOwned>(to: SocketAddr, response: Response<Bytes>) -> Result<T, Error> {
    let status = response.status();
    if !status.is_success() {
        let body = String::from_utf8_lossy(response.body()).into_owned();
        return Err(Error::Status { to, status: status.as_u16(), body });
    }
    serde_json::from_slice(response.body())
        .map_err(|error| Error::Broken { to, message: error.to_string() })
}

/// Why a request's body could not be read.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum ReadError {
    /// It exceeds the size limit.
    #[display("the body is too long")]
    TooLong,
    /// It did not arrive in time, or the connection failed.
    #[display("the body did not come whole in time")]
    Incomplete,
}

/// Reads a whole body within a size limit and a timeout.
pub async fn read_body<B>(body: B, max_bytes: usize, timeout: Duration) -> Result<Bytes, ReadError>
where
    B: Body,
    B::Error: Into<BodyError>,
{
    match tokio::time::timeout(timeout, Limited::new(body, max_bytes).collect()).await {
        Err(_) => Err(ReadError::Incomplete),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(ReadError::TooLong),
        Ok(Err(_)) => Err(ReadError::Incomplete),
    }
}

/// A buffered body.
pub fn full(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed()
}

/// A response with a JSON body.
pub fn json(status: u16, body: &impl Serialize) -> Response<ResponseBody> {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(full(bytes));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    let json = hyper::header::HeaderValue::from_static(JSON);
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
