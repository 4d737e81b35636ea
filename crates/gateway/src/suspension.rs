//! Detects that the machine was suspended.
//!
//! Timers and `Instant` don't count the time of a suspension, while `node.now()` does. Only this
//! module compares the two. A process that was stopped by a signal, or got no processor time, while
//! the machine kept running needs no such detection: its timers are due and the answers to its
//! reads have arrived when it continues.

use crate::event;
use crate::node::Node;
use log::warn;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Interval of the checks: short compared to a suspension.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Minimum difference between the clocks that counts as a suspension, in milliseconds: two
/// heartbeats. The state of a node may be that old at any time.
const MIN_SUSPENSION_MS: u64 = 500;

/// Compares the clocks forever.
pub async fn watch(node: Arc<Node>) {
    let mut previous = (node.now(), Instant::now());
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = (node.now(), Instant::now());
        let running_ms = (now.1 - previous.1).as_millis() as u64;
        let for_ms = now.0.since(previous.0).saturating_sub(running_ms);
        previous = now;
        if for_ms >= MIN_SUSPENSION_MS {
            warn!(for_ms; "{}", event::SUSPENDED);
            node.mark_resumed();
        }
    }
}
