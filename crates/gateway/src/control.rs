//! Short calls to engines on kept connections: reservations, handles and orders.

use bytes::Bytes;
use crosslane_transport::connection::{Connection, Error, Outgoing};
use http_body_util::{BodyExt, Limited};
use hyper::StatusCode;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

use crate::node::lock;

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
#[derive(Clone, Debug, Default)]
pub struct Control {
    kept: Arc<Mutex<HashMap<SocketAddr, Vec<Connection>>>>,
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
        let mut connection = match self.take(to) {
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
        let kept = self.clone();
        tokio::spawn(async move { kept.keep(to, connection).await });
        Ok(Answer { status, body })
    }

    fn take(&self, to: SocketAddr) -> Option<Connection> {
        let mut kept = lock(&self.kept);
        let connections = kept.get_mut(&to)?;
        connections.retain(|it| it.fresh(REST));
        connections.pop()
    }

    async fn keep(&self, to: SocketAddr, mut connection: Connection) {
        if !connection.reusable().await {
            return;
        }
        let mut kept = lock(&self.kept);
        let connections = kept.entry(to).or_default();
        if connections.len() < KEPT {
            connections.push(connection);
        }
    }

    /// Closes connections that rested too long.
    pub fn tidy(&self) {
        let mut kept = lock(&self.kept);
        kept.values_mut().for_each(|it| it.retain(|one| one.fresh(REST)));
        kept.retain(|_, it| !it.is_empty());
    }
}
