//! Rate limits that endpoints name in their responses: records them, shares them with other nodes and enforces them. The rate
//! of a cold endpoint, which the configuration gives, is enforced in the same way.
//!
//! `coordination::limits` holds the known limits and resolves conflicting updates; the owner of a limit (`quota`) decides what
//! may be sent. A request for which an endpoint's limit has no room goes to another endpoint, and the node sends nothing to the
//! first one until there should be room again.

use crate::event;
use crate::exchange::Failure;
use crate::members::{Message, Subject};
use crate::node::{Node, lock};
use crate::peers;
use crate::quota::{self, Exceeded, Grant};
use crate::refusal::{Reason, Refusal};
use crosslane_coordination::limits::{self, Change, Update};
use crosslane_platform::response::LimitError;
use crosslane_state::endpoint::{Endpoint, Key, Stage, Tag};
use crosslane_state::organisation::Limit;
use crosslane_state::rate::Rate;
use crosslane_state::time::Millis;
use log::{info, warn};
use std::fmt::Display;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Cost of a request, in the unit of an endpoint's limit.
const COST: u32 = 1;

/// Records the limit named in an endpoint's response; `sent_at` is when its request was sent. An unreadable limit changes
/// nothing and is logged once.
pub fn record(
    node: &Node,
    endpoint: &Endpoint,
    named: &Result<Option<Rate>, LimitError>,
    sent_at: Millis,
) {
    let from = endpoint.id.as_str();
    let rate = match named {
        Ok(rate) => *rate,
        Err(error) => {
            if node.limits().mark_invalid(endpoint.tag()) {
                warn!(from, why:% = error; "{}", event::SKIPPED);
            }
            return;
        }
    };
    let change = node.limits().observe(endpoint.tag(), rate, sent_at, node.now());
    if let Some(change) = change {
        apply_change(node, endpoint.tag(), change, "answer");
        node.limits_changed.notify_one();
    }
}

/// Applies another node's updates.
pub fn apply_updates(node: &Node, updates: &[(Tag, Update)], from: IpAddr) {
    for (endpoint, update) in updates {
        let change = node.limits().apply(*endpoint, *update, node.now());
        if let Some(change) = change {
            apply_change(node, *endpoint, change, from);
        }
    }
}

/// Applies the limit that a querying node has, and sends it the newer state if it is behind.
pub fn sync_with_querier(node: &Node, subject: Subject, theirs: Option<Update>, from: IpAddr) {
    let (Subject::Endpoint(endpoint), Some(theirs)) = (subject, theirs) else {
        return;
    };
    apply_updates(node, &[(endpoint, theirs)], from);
    let ours = node.limits().latest(endpoint);
    if let Some(ours) = ours.filter(|ours| *ours != theirs) {
        peers::try_send(node, &Message::Limits { updates: vec![(endpoint, ours)] }, from);
    }
}

/// Applies a changed limit to the bucket and to the pool, and logs it.
fn apply_change(node: &Node, endpoint: Tag, change: Change, source: impl Display) {
    if change.rate.is_some() {
        quota::start_bucket(node, Subject::Endpoint(endpoint));
    }
    let mut pool = node.pool();
    pool.end_throttle(endpoint, change.rate.is_none(), node.now());
    let to = pool.key(endpoint).and_then(|key| pool.get(key)).map(|listed| listed.id.as_str());
    let to = to.unwrap_or_default();
    let (per_second, before) = (rate_text(change.rate), rate_text(change.previous));
    info!(to, per_second, before, source:%; "{}", event::LIMIT);
}

/// Limit as written to the log; empty if there is none.
fn rate_text(rate: Option<Rate>) -> String {
    rate.map(|limit| limit.to_string()).unwrap_or_default()
}

/// Limit of an endpoint for all nodes together, if it names one or is cold; the lower one of both.
pub fn endpoint_limit(node: &Node, endpoint: Tag) -> Option<Limit> {
    let named = node.limits().rate(endpoint).map(limits::fleet_limit);
    let limits = [named, cold_limit(node, endpoint)].into_iter().flatten();
    limits.min_by(|one, other| one.units_per_second.total_cmp(&other.units_per_second))
}

/// Limit of an endpoint while it is cold.
fn cold_limit(node: &Node, endpoint: Tag) -> Option<Limit> {
    let service = node.pool().cold_service(endpoint, node.now())?.to_owned();
    let rate = node.table()?.services.get(&service)?.cold_rate?;
    Some(limits::cold_limit(rate, node.adjustable().cold))
}

/// Takes a request's cost from the limit of an endpoint, if it names one.
pub async fn acquire(node: &Arc<Node>, key: Key, request: &str) -> Result<Grant, Failure> {
    let endpoint = node.pool().get(key).map(Endpoint::tag).ok_or(Failure::Unsent)?;
    let Some(limit) = endpoint_limit(node, endpoint) else {
        return Ok(Grant::unlimited(node));
    };
    match quota::acquire(node, Subject::Endpoint(endpoint), limit, COST).await {
        Ok(grant) => Ok(grant),
        Err(Exceeded { wait_ms, source }) => {
            let mut pool = node.pool();
            pool.throttle(key, node.now() + wait_ms);
            let to = pool.get(key).map(|listed| listed.id.as_str()).unwrap_or_default();
            info!(request, to, wait_ms, source:%; "{}", event::HELD_BACK);
            Err(Failure::RateLimited)
        }
    }
}

/// Refusal if all endpoints that could serve a request are at their limits.
pub fn refusal(node: &Node, service: &str, stage: Stage) -> Option<Refusal> {
    let wait = node.pool().throttled_for_ms(service, stage, node.now())?;
    Some(Refusal::retry_after(Reason::RateLimited, Duration::from_millis(wait)))
}

/// Refusal of a stream if no engine's limit will have room by a time.
pub fn refusal_by(node: &Node, service: &str, until: Instant) -> Option<Refusal> {
    let refusal = refusal(node, service, Stage::Decode)?;
    let room_at = Instant::now() + refusal.retry_after.unwrap_or_default();
    (room_at >= until).then_some(refusal)
}

/// Removes expired state, and the limits of endpoints that are gone.
pub fn remove_expired(node: &Node) {
    let now = node.now();
    node.endpoint_limiter.remove_expired(now);
    lock(&node.queues).expire(now);
    let pool = node.pool();
    let mut limits = node.limits();
    limits.expire(|endpoint| pool.key(endpoint).is_some(), now);
    node.metrics.limited_endpoints.set(limits.count() as i64);
}
