//! Stall detection: while an endpoint sends nothing, its attempt goes on and a failover is searched for concurrently.

use crate::event;
use crate::exchange::Call;
use crate::node::Node;
use crosslane_coordination::health::Outcome;
use crosslane_coordination::stall::Stall;
use crosslane_state::endpoint::Key;
use log::info;
use std::pin::pin;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Attempt to watch, and when its endpoint counts as stalled.
#[derive(Clone, Copy)]
pub struct Watch<'a> {
    /// Node.
    pub node: &'a Node,
    /// Request.
    pub call: &'a Call,
    /// Endpoint.
    pub at: Key,
    /// Consecutive intervals without data that count as a stall, and the length of each.
    pub intervals: (u32, Duration),
}

/// Waits for an attempt. While its endpoint is stalled, `search` looks for a failover concurrently; the attempt is abandoned
/// only once one is found, which is returned as the error. An attempt that `broke` meanwhile leaves the search to its end.
pub async fn unless_stalled<T, S, F: Future<Output = Option<S>>>(
    watch: Watch<'_>,
    attempt: impl Future<Output = T>,
    broke: impl Fn(&T) -> bool,
    search: impl Fn() -> F,
) -> Result<T, S> {
    let Watch { node, call, at, intervals: (count, interval) } = watch;
    let mut attempt = pin!(attempt);
    let mut stall = Stall::after(count);
    let started_at = Instant::now();
    loop {
        match timeout(interval, attempt.as_mut()).await {
            Ok(done) => return Ok(done),
            Err(_) if !stall.record_timeout() => continue,
            Err(_) => record_stall(node, call, at, started_at),
        }
        let mut search = pin!(search());
        let found = tokio::select! {
            biased;
            done = attempt.as_mut() => {
                let found = if broke(&done) { search.await } else { None };
                return found.map_or(Ok(done), Err);
            }
            found = search.as_mut() => found,
        };
        if let Some(found) = found {
            return Err(found);
        }
    }
}

/// Counts and logs that an endpoint has sent nothing for an attempt since a time.
fn record_stall(node: &Node, call: &Call, at: Key, since: Instant) {
    node.record_outcome(at, Outcome::Failed);
    node.metrics.stalls.inc();
    let pool = node.pool();
    let to = pool.get(at).map(|endpoint| endpoint.id.as_str()).unwrap_or_default();
    let (request, listed) = (call.metadata.id.as_str(), !pool.is_leaving(at));
    let silent_ms = since.elapsed().as_millis() as u64;
    let left_ms = call.remaining().as_millis() as u64;
    info!(request, to, silent_ms, listed, left_ms; "{}", event::SILENT);
}
