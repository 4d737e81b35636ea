//! HTTP by hyper: one pooled client and the bodies that both sides use.

use crate::connection;
use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderMap};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

/// Any error of a body.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Body of an answer.
pub type Reply = BoxBody<Bytes, BodyError>;

/// Media type of JSON.
pub const JSON: &str = "application/json";

/// Time to open a connection.
const CONNECT: Duration = Duration::from_millis(500);

/// Time that an idle connection is kept.
const IDLE: Duration = Duration::from_secs(30);

/// Why a call failed.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// No connection: nothing was sent.
    #[display("no connection to {to}")]
    Connect {
        /// Address called.
        to: SocketAddr,
    },
    /// Broke off after something may have been sent.
    #[display("call to {to} broke off: {message}")]
    Broken {
        /// Address called.
        to: SocketAddr,
        /// What was seen.
        message: String,
    },
    /// No answer in time.
    #[display("no answer from {to} in time")]
    Timeout {
        /// Address called.
        to: SocketAddr,
    },
    /// Answered with an error status.
    #[display("{to} answered {status}: {body}")]
    Status {
        /// Address called.
        to: SocketAddr,
        /// Status.
        status: u16,
        /// Body.
        body: String,
    },
}

impl From<connection::Error> for Error {
    fn from(error: connection::Error) -> Self {
        match error {
            connection::Error::Connect { to, .. } => Self::Connect { to },
            connection::Error::Broken { to, message } => Self::Broken { to, message },
            connection::Error::Timeout { to } => Self::Timeout { to },
        }
    }
}

/// A call to make.
#[derive(Clone, Debug)]
pub struct Call {
    /// Address.
    pub to: SocketAddr,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Call {
    /// A call without body.
    pub fn new(method: Method, to: SocketAddr, path: impl Into<String>) -> Self {
        Self { to, method, path: path.into(), headers: HeaderMap::new(), body: Bytes::new() }
    }

    /// A call with a JSON body.
    pub fn json(to: SocketAddr, path: impl Into<String>, body: &impl Serialize) -> Self {
        let mut call = Self::new(Method::POST, to, path);
        call.headers.insert(CONTENT_TYPE, hyper::header::HeaderValue::from_static(JSON));
        call.body = serde_json::to_vec(body).unwrap_or_default().into();
        call
    }
}

/// Makes calls over pooled connections.
#[derive(Clone, Debug)]
pub struct Client {
    inner: hyper_util::client::legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT));
        let inner = hyper_util::client::legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE)
            .build(connector);
        Self { inner }
    }
}

impl Client {
    /// Makes a call and returns the answer once its head is there.
    pub async fn send(&self, call: Call, limit: Duration) -> Result<Response<Incoming>, Error> {
        let to = call.to;
        let mut request = Request::builder()
            .method(call.method)
            .uri(format!("http://{to}{}", call.path))
            .body(Full::new(call.body))
            .map_err(|error| Error::Broken { to, message: error.to_string() })?;
        request.headers_mut().extend(call.headers);
        match tokio::time::timeout(limit, self.inner.request(request)).await {
            Err(_) => Err(Error::Timeout { to }),
            Ok(Err(error)) if error.is_connect() => Err(Error::Connect { to }),
            Ok(Err(error)) => Err(Error::Broken { to, message: error.to_string() }),
            Ok(Ok(response)) => Ok(response),
        }
    }

    /// Makes a call and reads the whole answer.
    pub async fn whole(&self, call: Call, limit: Duration) -> Result<Response<Bytes>, Error> {
        let to = call.to;
        let started = tokio::time::Instant::now();
        let (head, body) = self.send(call, limit).await?.into_parts();
        let left = limit.saturating_sub(started.elapsed());
        match tokio::time::timeout(left, body.collect()).await {
            Err(_) => Err(Error::Timeout { to }),
            Ok(Err(error)) => Err(Error::Broken { to, message: error.to_string() }),
            Ok(Ok(body)) => Ok(Response::from_parts(head, body.to_bytes())),
        }
    }

    /// Makes a call and reads a JSON answer; an error status is an error.
    pub async fn fetch<T: DeserializeOwned>(
        &self,
        call: Call,
        limit: Duration,
    ) -> Result<T, Error> {
        let to = call.to;
        decode(to, self.whole(call, limit).await?)
    }

    /// The same for an answer of any length: the limit holds until it begins, and for each pause in it.
    pub async fn fetch_long<T: DeserializeOwned>(
        &self,
        call: Call,
        limit: Duration,
    ) -> Result<T, Error> {
        let to = call.to;
        let (head, body) = self.send(call, limit).await?.into_parts();
        let body = connection::whole(body, to, limit).await?;
        decode(to, Response::from_parts(head, body))
    }
}

/// Decodes a JSON answer; an error status is an error.
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
    /// Over the limit.
    #[display("the body is too long")]
    TooLong,
    /// Too slow, or broken off.
    #[display("the body did not come whole in time")]
    Incomplete,
}

/// Reads a whole body within limits of bytes and time.
pub async fn read<B>(body: B, bytes: usize, limit: Duration) -> Result<Bytes, ReadError>
where
    B: Body,
    B::Error: Into<BodyError>,
{
    match tokio::time::timeout(limit, Limited::new(body, bytes).collect()).await {
        Err(_) => Err(ReadError::Incomplete),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(ReadError::TooLong),
        Ok(Err(_)) => Err(ReadError::Incomplete),
    }
}

/// A body that is there at once.
pub fn full(bytes: impl Into<Bytes>) -> Reply {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed()
}

/// An answer with a JSON body.
pub fn json(status: u16, body: &impl Serialize) -> Response<Reply> {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(full(bytes));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    let json = hyper::header::HeaderValue::from_static(JSON);
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
