//! Rate limits that endpoints name: taken from answers, told to other nodes, and kept.
//!
//! What is known of them, and which of two words counts, is decided by `coordination::limits`; what may be sent, by the
//! limit's owner (`quota`). A request that an endpoint's limit has no room for goes to another endpoint, and the node leaves the
//! first one alone until there should be room again.

use crate::event;
use crate::exchange::Failure;
use crate::members::{Message, Subject};
use crate::node::{Node, lock};
use crate::peers;
use crate::quota::{self, Grant, Over};
use crate::refusal::{Reason, Refusal};
use crosslane_coordination::limits::{self, Change, Word};
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

/// What a request costs an endpoint's limit.
const COST: u32 = 1;

/// Takes what an answer of an endpoint says whose request was sent at a time. What can't be read changes
/// nothing, and is told of once.
pub fn note(
    node: &Node,
    endpoint: &Endpoint,
    named: &Result<Option<Rate>, LimitError>,
    sent: Millis,
) {
    let from = endpoint.id.as_str();
    let rate = match named {
        Ok(rate) => *rate,
        Err(error) => {
            if node.limits().unreadable(endpoint.tag()) {
                warn!(from, why:% = error; "{}", event::SKIPPED);
            }
            return;
        }
    };
    let change = node.limits().note(endpoint.tag(), rate, sent, node.now());
    if let Some(change) = change {
        apply(node, endpoint.tag(), change, "answer");
        node.limited.notify_one();
    }
}

/// Takes another node's words.
pub fn hear(node: &Node, words: &[(Tag, Word)], from: IpAddr) {
    for (endpoint, word) in words {
        let change = node.limits().hear(*endpoint, *word, node.now());
        if let Some(change) = change {
            apply(node, *endpoint, change, from);
        }
    }
}

/// Takes what a node knows of a limit that it asks about, and tells it if it knows less.
pub fn hear_asker(node: &Node, subject: Subject, word: Option<Word>, from: IpAddr) {
    let (Subject::Endpoint(endpoint), Some(word)) = (subject, word) else {
        return;
    };
    hear(node, &[(endpoint, word)], from);
    let known = node.limits().word(endpoint);
    if let Some(known) = known.filter(|it| *it != word) {
        peers::post(node, &Message::Limits { words: vec![(endpoint, known)] }, from);
    }
}

fn apply(node: &Node, endpoint: Tag, change: Change, source: impl Display) {
    if change.rate.is_some() {
        quota::begin(node, Subject::Endpoint(endpoint));
    }
    let mut pool = node.pool();
    pool.let_in(endpoint, change.rate.is_none(), node.now());
    let to = pool.key(endpoint).and_then(|key| pool.get(key)).map(|it| it.id.as_str());
    let to = to.unwrap_or_default();
    let (per_second, before) = (told(change.rate), told(change.before));
    info!(to, per_second, before, source:%; "{}", event::LIMIT);
}

/// A limit as logs tell it; empty for none.
fn told(rate: Option<Rate>) -> String {
    rate.map(|it| it.to_string()).unwrap_or_default()
}

/// What all nodes together may send to an endpoint, if it names a limit.
pub fn of(node: &Node, endpoint: Tag) -> Option<Limit> {
    node.limits().rate(endpoint).map(limits::limit)
}

/// Takes a request's part of the limit of an endpoint, if it names one.
pub async fn admit(node: &Arc<Node>, key: Key, request: &str) -> Result<Grant, Failure> {
    let endpoint = node.pool().get(key).map(Endpoint::tag).ok_or(Failure::Unsent)?;
    let Some(limit) = of(node, endpoint) else {
        return Ok(Grant::unlimited(node));
    };
    match quota::ask(node, Subject::Endpoint(endpoint), limit, COST).await {
        Ok(grant) => Ok(grant),
        Err(Over { wait_ms, source }) => {
            let mut pool = node.pool();
            pool.hold_back(key, node.now() + wait_ms);
            let to = pool.get(key).map(|it| it.id.as_str()).unwrap_or_default();
            info!(request, to, wait_ms, source:%; "{}", event::HELD_BACK);
            Err(Failure::Limited)
        }
    }
}

/// Refuses a request if the limits of all endpoints that could serve it have no room.
pub fn refusal(node: &Node, service: &str, stage: Stage) -> Option<Refusal> {
    let wait = node.pool().held_for(service, stage, node.now())?;
    Some(Refusal::later(Reason::Limited, Duration::from_millis(wait)))
}

/// Refuses a stream if no engine's limit has room by a time.
pub fn refusal_by(node: &Node, service: &str, until: Instant) -> Option<Refusal> {
    let refusal = refusal(node, service, Stage::Decode)?;
    let room = Instant::now() + refusal.retry_after.unwrap_or_default();
    (room >= until).then_some(refusal)
}

/// Forgets endpoints that are gone.
pub fn tidy(node: &Node) {
    let now = node.now();
    node.throttle.tidy(now);
    lock(&node.queues).expire(now);
    let pool = node.pool();
    let mut limits = node.limits();
    limits.expire(|it| pool.key(it).is_some(), now);
    node.meter.limited.set(limits.count() as i64);
}
