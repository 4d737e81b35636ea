//! Attempts whose endpoint is silent: they go on, and what could replace them is searched for beside them.

use crate::event;
use crate::exchange::Call;
use crate::node::Node;
use crosslane_coordination::health::Outcome;
use crosslane_coordination::silence::Silence;
use crosslane_state::endpoint::Key;
use log::info;
use std::pin::pin;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// When an endpoint counts as silent, and within which attempt.
#[derive(Clone, Copy)]
pub struct Watch<'a> {
    /// Node.
    pub node: &'a Node,
    /// Request.
    pub call: &'a Call,
    /// Endpoint.
    pub at: Key,
    /// Pauses that make a silence, and the length of each.
    pub pauses: (u32, Duration),
}

/// Waits for an attempt. While its endpoint is silent, what could replace it is searched for beside it; the attempt is given
/// up only for what is found.
pub async fn unless_silent<T, S, F: Future<Output = Option<S>>>(
    watch: Watch<'_>,
    attempt: impl Future<Output = T>,
    search: impl Fn() -> F,
) -> Result<T, S> {
    let Watch { node, call, at, pauses: (count, pause) } = watch;
    let mut attempt = pin!(attempt);
    let mut silence = Silence::of(count);
    let began = Instant::now();
    loop {
        match timeout(pause, attempt.as_mut()).await {
            Ok(done) => return Ok(done),
            Err(_) if !silence.pause() => continue,
            Err(_) => told_silent(node, call, at, began),
        }
        let found = tokio::select! {
            biased;
            done = attempt.as_mut() => return Ok(done),
            found = search() => found,
        };
        if let Some(found) = found {
            return Err(found);
        }
    }
}

/// Notes and tells that an endpoint sent nothing of an attempt since a moment.
fn told_silent(node: &Node, call: &Call, at: Key, since: Instant) {
    let mut pool = node.pool();
    pool.record_outcome(at, Outcome::Failed, node.now());
    node.meter.silences.inc();
    let to = pool.get(at).map(|it| it.id.as_str()).unwrap_or_default();
    let (request, listed) = (call.ask.id.as_str(), pool.is_usable(at));
    let silent_ms = since.elapsed().as_millis() as u64;
    let left_ms = call.left().as_millis() as u64;
    info!(request, to, silent_ms, listed, left_ms; "{}", event::SILENT);
}
