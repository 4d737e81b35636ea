//! Client for short control calls to engines: reservations, handles and orders.
//!
//! A connection is pooled once its engine has carried back the id of a call. The responses of other engines are associated with their calls
//! by a connection for each.

use crate::dialer::Dialer;
use crate::idle::Connections;
use crate::metrics::Metrics;
use bytes::Bytes;
use crosslane_platform::request;
use crosslane_state::endpoint::Endpoint;
use crosslane_transport::association::Association;
use crosslane_transport::connection::{ACK_TIMEOUT, Error, Outgoing};
use crosslane_transport::framing;
use http_body_util::{BodyExt, Limited};
use hyper::StatusCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Timeout to open a connection: a round trip of a few milliseconds, with room for one lost packet.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Longest response to a control call.
const MAX_RESPONSE_BYTES: usize = 65_536;

/// Idle time after which a connection is not reused: endpoints close idle ones after seconds.
const MAX_IDLE: Duration = Duration::from_millis(1_500);

/// Idle connections kept for each engine; calls are short and few run at once.
const MAX_IDLE_PER_ENGINE: usize = 2;

/// A response with its body read.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status.
    pub status: StatusCode,
    /// Body.
    pub body: Bytes,
    /// Whether its length or chunks show that the body is whole.
    pub is_framed: bool,
    /// How it is known to belong to the call.
    pub association: Association,
    /// Time from sending the call until its head arrived.
    pub took: Duration,
}

/// Makes control calls to engines.
#[derive(Clone, Debug)]
pub struct Control {
    dialer: Dialer,
    metrics: Arc<Metrics>,
    idle: Connections,
}

impl Control {
    /// A client without connections.
    pub fn new(dialer: Dialer, metrics: Arc<Metrics>) -> Self {
        Self { dialer, metrics, idle: Connections::new(MAX_IDLE, MAX_IDLE_PER_ENGINE) }
    }

    /// The dialer that opens its connections.
    pub fn dialer(&self) -> &Dialer {
        &self.dialer
    }

    /// Makes a call and reads the whole response.
    pub async fn call(
        &self,
        engine: &Endpoint,
        request: Outgoing,
        timeout: Duration,
    ) -> Result<Response, Error> {
        let to = engine.address;
        let until = Instant::now() + timeout;
        let mut connection = match self.idle.take(to) {
            Some(connection) => connection,
            None => self.dialer.open(engine, CONNECT_TIMEOUT.min(timeout), ACK_TIMEOUT).await?,
        };
        let sent_at = Instant::now();
        let called = connection.call(request, &request::call_id(), until).await;
        let (response, association) = called.inspect_err(|error| {
            self.metrics.unassociated.inc_by(matches!(error, Error::Unassociated { .. }).into());
        })?;
        let took = sent_at.elapsed();
        let (status, is_framed) = (response.status(), framing::is_framed(response.headers()));
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
        let body = match timeout_at(until, body.collect()).await {
            Err(_) => return Err(Error::Timeout { to }),
            Ok(Err(error)) => return Err(Error::Broken { to, message: error.to_string() }),
            Ok(Ok(body)) => body.to_bytes(),
        };
        if association.allows_reuse() {
            self.idle.put_back(to, connection);
        }
        Ok(Response { status, body, is_framed, association, took })
    }

    /// Closes connections that were idle for too long.
    pub fn remove_expired(&self) {
        self.idle.remove_expired();
    }
}
