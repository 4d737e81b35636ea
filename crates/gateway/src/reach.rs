//! Watches whether this node has a way to the endpoints of each service.
//!
//! While it has none, callers' requests are forwarded to other nodes (`forward`), which are told so. Probes find out when the way
//! is back. What this node saw meanwhile says nothing about the endpoints, so it is not held against them.

use crate::control::CONNECT_TIMEOUT;
use crate::event;
use crate::node::Node;
use crosslane_coordination::reach::SAMPLE;
use crosslane_state::endpoint::Tag;
use futures::future::join_all;
use log::{info, warn};
use rand::Rng;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Pause between probes, in milliseconds. Random, so that nodes behind one partition do not all come back at once.
const PROBE_PAUSE_MS: std::ops::Range<u64> = 150..350;

/// Pause between checks while single endpoints can't be reached.
const CHECK_PAUSE: Duration = Duration::from_millis(100);

/// Time that the first endpoint of a check has alone: many round trips. Usually it accepts, and the others need not be asked.
const FIRST_ALONE: Duration = Duration::from_millis(50);

/// Time for an endpoint to accept a connection of a node whose own work waits: the time after which a lost packet is sent again.
/// The usual time passes there before the answer is looked at.
const LIMITED_TIMEOUT: Duration = Duration::from_secs(1);

/// Watches until the process ends.
pub async fn watch(node: Arc<Node>) {
    let mut lost = HashSet::new();
    loop {
        if lost.is_empty() {
            node.dialer.until_unreachable().await;
        }
        join_all(node.dialer.suspects().iter().map(|service| check(&node, service))).await;
        let now: HashSet<String> = node.dialer.lost().into_iter().collect();
        if now != lost {
            report(&node, &lost, &now);
            lost = now;
        }
        if lost.is_empty() {
            sleep(CHECK_PAUSE).await;
            continue;
        }
        let pause = rand::rng().random_range(PROBE_PAUSE_MS);
        sleep(Duration::from_millis(pause)).await;
        join_all(lost.iter().map(|service| probe(&node, service))).await;
    }
}

/// Finds out whether any of a sample of endpoints accepts a connection. The dialer records those that do.
async fn check(node: &Node, service: &str) {
    let sample = node.pool().sample(service, SAMPLE);
    if let Some(first) = sample.first()
        && matches!(
            timeout(FIRST_ALONE, node.dialer.check(first, CONNECT_TIMEOUT)).await,
            Ok(Ok(()))
        )
    {
        return;
    }
    let checks = sample.iter().map(|endpoint| node.dialer.check(endpoint, connect_timeout(node)));
    if !sample.is_empty() && join_all(checks).await.iter().all(Result::is_err) {
        node.dialer.record_none_reached(service);
    }
}

fn connect_timeout(node: &Node) -> Duration {
    if node.load.is_limited() { LIMITED_TIMEOUT } else { CONNECT_TIMEOUT }
}

/// Tries a random endpoint of a service. One without endpoints is no longer lost.
async fn probe(node: &Node, service: &str) {
    let sample = node.pool().sample(service, 1);
    match sample.first() {
        // The dialer records the result.
        Some(endpoint) => drop(node.dialer.check(endpoint, connect_timeout(node)).await),
        None => node.dialer.forget(service),
    }
}

fn report(node: &Node, before: &HashSet<String>, now: &HashSet<String>) {
    for service in now.difference(before) {
        warn!(dependency = "endpoints", service, why = "no new connection"; "{}", event::LOST);
        node.pool().forget_outcomes(service);
    }
    for service in before.difference(now) {
        info!(dependency = "endpoints", service; "{}", event::REGAINED);
    }
    node.metrics.lost_services.set(now.len() as i64);
    node.set_lost(now.iter().map(|service| Tag::of(service)).collect());
}
