//! Idle connections to endpoints, pooled for reuse.
//!
//! An endpoint resets connections above its cap, and every new connection while its queue is long. On a reused connection it
//! responds instead that it did not run the request.

use crate::node::lock;
use crosslane_transport::connection::Connection;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::timeout;

/// Limits within which an unneeded response is read so that its connection can be reused.
const MAX_DRAIN_BYTES: usize = 4_096;
const DRAIN_TIMEOUT: Duration = Duration::from_millis(250);

/// Idle connections by endpoint.
#[derive(Clone, Debug)]
pub struct Connections {
    connections: Arc<Mutex<HashMap<SocketAddr, Vec<Connection>>>>,
    /// Idle time after which a connection is not reused: endpoints close idle ones after seconds.
    max_idle: Duration,
    /// Idle connections kept for each endpoint.
    max_per_endpoint: usize,
}

impl Connections {
    /// An empty pool.
    pub fn new(max_idle: Duration, max_per_endpoint: usize) -> Self {
        Self { connections: Arc::default(), max_idle, max_per_endpoint }
    }

    /// Takes the most recently used connection to an endpoint.
    pub fn take(&self, to: SocketAddr) -> Option<Connection> {
        let mut idle = lock(&self.connections);
        let connections = idle.get_mut(&to)?;
        connections.retain(|connection| connection.is_reusable(self.max_idle));
        connections.pop()
    }

    /// Returns a connection once its last response has been read.
    pub fn put_back(&self, to: SocketAddr, mut connection: Connection) {
        let pool = self.clone();
        tokio::spawn(async move {
            if connection.wait_ready().await {
                pool.insert(to, connection);
            }
        });
    }

    /// Returns a connection once the unneeded body of its last response has been read.
    pub fn put_back_after(&self, to: SocketAddr, connection: Connection, body: Incoming) {
        let pool = self.clone();
        tokio::spawn(async move {
            let drained = Limited::new(body, MAX_DRAIN_BYTES).collect();
            if matches!(timeout(DRAIN_TIMEOUT, drained).await, Ok(Ok(_))) {
                pool.put_back(to, connection);
            }
        });
    }

    fn insert(&self, to: SocketAddr, connection: Connection) {
        let mut idle = lock(&self.connections);
        let connections = idle.entry(to).or_default();
        if connections.len() < self.max_per_endpoint {
            connections.push(connection);
        }
    }

    /// Closes all idle connections to an endpoint: what broke one may have broken the others.
    pub fn close_all(&self, to: SocketAddr) {
        lock(&self.connections).remove(&to);
    }

    /// Closes connections that were idle for too long.
    pub fn remove_expired(&self) {
        let mut idle = lock(&self.connections);
        idle.values_mut().for_each(|connections| {
            connections.retain(|connection| connection.is_reusable(self.max_idle));
        });
        idle.retain(|_, connections| !connections.is_empty());
    }
}
