//! Connections to endpoints that rest between two requests.
//!
//! An endpoint resets connections over its cap, and any new one while its queue is long; on one that answered before, it says
//! that it did not run the request.

use crate::node::lock;
use crosslane_transport::connection::Connection;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::timeout;

/// Longest answer that is read only to keep its connection, in bytes, and time for it.
const UNREAD_BYTES: usize = 4_096;
const UNREAD: Duration = Duration::from_millis(250);

/// Connections that rest, by endpoint.
#[derive(Clone, Debug)]
pub struct Kept {
    connections: Arc<Mutex<HashMap<SocketAddr, Vec<Connection>>>>,
    /// Rest after which one is not used again: endpoints close idle ones after seconds.
    rest: Duration,
    /// Connections kept for each endpoint.
    most: usize,
}

impl Kept {
    /// Keeps so many for each endpoint, for so long.
    pub fn new(rest: Duration, most: usize) -> Self {
        Self { connections: Arc::default(), rest, most }
    }

    /// Takes the one to an endpoint that was used last.
    pub fn take(&self, to: SocketAddr) -> Option<Connection> {
        let mut kept = lock(&self.connections);
        let connections = kept.get_mut(&to)?;
        connections.retain(|it| it.fresh(self.rest));
        connections.pop()
    }

    /// Keeps a connection once its last answer has been read.
    pub fn keep(&self, to: SocketAddr, mut connection: Connection) {
        let kept = self.clone();
        tokio::spawn(async move {
            if connection.reusable().await {
                kept.put(to, connection);
            }
        });
    }

    /// Keeps a connection once the rest of its last answer has come, which nobody needs.
    pub fn keep_after(&self, to: SocketAddr, connection: Connection, body: Incoming) {
        let kept = self.clone();
        tokio::spawn(async move {
            let rest = Limited::new(body, UNREAD_BYTES).collect();
            if matches!(timeout(UNREAD, rest).await, Ok(Ok(_))) {
                kept.keep(to, connection);
            }
        });
    }

    fn put(&self, to: SocketAddr, connection: Connection) {
        let mut kept = lock(&self.connections);
        let connections = kept.entry(to).or_default();
        if connections.len() < self.most {
            connections.push(connection);
        }
    }

    /// Closes all to an endpoint: what broke one may have broken them.
    pub fn forget(&self, to: SocketAddr) {
        lock(&self.connections).remove(&to);
    }

    /// Closes those that rested too long.
    pub fn tidy(&self) {
        let mut kept = lock(&self.connections);
        kept.values_mut().for_each(|it| it.retain(|one| one.fresh(self.rest)));
        kept.retain(|_, it| !it.is_empty());
    }
}
