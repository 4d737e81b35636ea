//! What a request holds at engines before its run: reserved memory, and KV cache to be fetched.
//!
//! Both are given back when dropped before their use, on every way out.

use crate::exchange::Seat;
use crate::node::Node;
use crosslane_platform::engine;
use crosslane_state::endpoint::{Endpoint, Key};
use crosslane_transport::connection::Outgoing;
use log::debug;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time for the answer to a release.
const RELEASE_ANSWER: Duration = Duration::from_millis(800);

/// Memory reserved at a decoding engine; released when dropped before its use.
#[derive(Debug)]
pub struct Hold {
    node: Arc<Node>,
    engine: Endpoint,
    /// Place of the engine in the pool.
    pub key: Key,
    /// Its name at the engine, until it was used.
    pub id: Option<String>,
    /// Place of the request at the engine, until it was used.
    pub seat: Option<Seat>,
}

impl Hold {
    /// A reservation that an engine granted.
    pub fn new(node: &Arc<Node>, engine: Endpoint, id: String, seat: Seat) -> Self {
        Self { node: node.clone(), engine, key: seat.key, id: Some(id), seat: Some(seat) }
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        if let Some(id) = self.id.take() {
            release(&self.node, &self.engine, engine::release_reservation(&self.engine, &id));
        }
    }
}

/// KV cache kept at a prefilling engine; freed when dropped before its use.
#[derive(Debug)]
pub struct Handle {
    node: Arc<Node>,
    engine: Endpoint,
    /// Its name at the engine, until it was used.
    pub id: Option<String>,
}

impl Handle {
    /// A handle that an engine gave.
    pub fn new(node: &Arc<Node>, engine: Endpoint, id: String) -> Self {
        Self { node: node.clone(), engine, id: Some(id) }
    }

    /// Engine's address and the handle's name, as another engine needs them.
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

/// Makes a call that gives something back; what is lost lapses at the engine by itself.
fn release(node: &Arc<Node>, engine: &Endpoint, request: Outgoing) {
    let control = node.control.clone();
    let to = engine.address;
    tokio::spawn(async move {
        if let Err(error) = control.call(to, request, RELEASE_ANSWER).await {
            debug!("release at {to}: {error}");
        }
    });
}
