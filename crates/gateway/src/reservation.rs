//! Resources that a request owns at engines before its run: reserved memory and prefilled KV cache.
//!
//! Both are released when dropped unused, on every path.

use crate::exchange::Slot;
use crate::node::Node;
use crosslane_platform::engine;
use crosslane_state::endpoint::{Endpoint, Key};
use crosslane_transport::connection::Outgoing;
use log::debug;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Timeout of a release.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(800);

/// Memory reserved at a decode engine; released when dropped unused.
#[derive(Debug)]
pub struct Reservation {
    node: Arc<Node>,
    engine: Endpoint,
    /// Engine's key in the pool.
    pub key: Key,
    /// Reservation's id at the engine; `None` once used.
    pub id: Option<String>,
    /// The request in flight at the engine; `None` once used.
    pub slot: Option<Slot>,
}

impl Reservation {
    /// Wraps a reservation that an engine granted.
    pub fn new(node: &Arc<Node>, engine: Endpoint, id: String, slot: Slot) -> Self {
        Self { node: node.clone(), engine, key: slot.key, id: Some(id), slot: Some(slot) }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(id) = self.id.take() {
            release(&self.node, &self.engine, engine::release_reservation(&self.engine, &id));
        }
    }
}

/// KV cache of a prompt at a prefill engine; freed when dropped unused.
#[derive(Debug)]
pub struct Handle {
    node: Arc<Node>,
    engine: Endpoint,
    /// Handle's id at the engine; `None` once used.
    pub id: Option<String>,
}

impl Handle {
    /// Wraps a handle that an engine returned.
    pub fn new(node: &Arc<Node>, engine: Endpoint, id: String) -> Self {
        Self { node: node.clone(), engine, id: Some(id) }
    }

    /// Engine's address and the handle's id, with which another engine fetches the KV cache.
    pub fn source(&self) -> Option<(SocketAddr, &str)> {
        Some((self.engine.address, self.id.as_deref()?))
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        if let Some(id) = self.id.take() {
            release(&self.node, &self.engine, engine::release_kv_handle(&self.engine, &id));
        }
    }
}

/// Sends a release in the background. If it is lost, the resource expires at the engine.
fn release(node: &Arc<Node>, engine: &Endpoint, request: Outgoing) {
    let control = node.control.clone();
    let engine = engine.clone();
    tokio::spawn(async move {
        if let Err(error) = control.call(&engine, request, RELEASE_TIMEOUT).await {
            debug!("release at {} failed: {error}", engine.id);
        }
    });
}
