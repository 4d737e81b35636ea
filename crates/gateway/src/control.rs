//! Short calls to engines on kept connections: reservations, handles and orders.

use crate::kept::Kept;
use bytes::Bytes;
use crosslane_transport::connection::{Connection, Error, Outgoing};
use http_body_util::{BodyExt, Limited};
use hyper::StatusCode;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Time to open a connection: two ways of a few milliseconds, with room for one lost packet.
pub const CONNECT: Duration = Duration::from_millis(250);

/// Longest answer to a short call, in bytes.
const ANSWER_BYTES: usize = 65_536;

/// Rest after which a connection is not used again: endpoints close idle ones after seconds.
const REST: Duration = Duration::from_millis(1_500);

/// Connections kept for each engine; calls are short and few at once.
const KEPT: usize = 2;

/// An answer that was read whole.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Body.
    pub body: Bytes,
}

/// Makes short calls.
#[derive(Clone, Debug)]
pub struct Control {
    kept: Kept,
}

impl Default for Control {
    fn default() -> Self {
        Self { kept: Kept::new(REST, KEPT) }
    }
}

impl Control {
    /// Makes a call and reads its answer.
    pub async fn call(
        &self,
        to: SocketAddr,
        request: Outgoing,
        limit: Duration,
    ) -> Result<Answer, Error> {
        let until = Instant::now() + limit;
        let mut connection = match self.kept.take(to) {
            Some(connection) => connection,
            None => Connection::open(to, CONNECT.min(limit)).await?,
        };
        let response = connection.send(request, until).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), ANSWER_BYTES);
        let body = match timeout_at(until, body.collect()).await {
            Err(_) => return Err(Error::Timeout { to }),
            Ok(Err(error)) => return Err(Error::Broken { to, message: error.to_string() }),
            Ok(Ok(body)) => body.to_bytes(),
        };
        self.kept.keep(to, connection);
        Ok(Answer { status, body })
    }

    /// Closes connections that rested too long.
    pub fn tidy(&self) {
        self.kept.tidy();
    }
}
