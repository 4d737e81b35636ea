//! Takes the rate limits that endpoints name in their answers.

use crate::event;
use crate::node::Node;
use crosslane_platform::answer::LimitError;
use crosslane_state::endpoint::Endpoint;
use crosslane_state::rate::Rate;
use crosslane_state::time::Millis;
use log::{info, warn};

/// Takes what an answer of an endpoint says whose request was sent at a time. What can't be read changes nothing.
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
            warn!(from, why:% = error; "{}", event::SKIPPED);
            return;
        }
    };
    let change = node.limits().note(endpoint.tag(), rate, sent, node.now());
    if let Some(change) = change {
        let (per_second, before) = (told(change.rate), told(change.before));
        info!(to = from, per_second, before, source = "answer"; "{}", event::LIMIT);
    }
}

/// A limit as logs tell it; empty for none.
fn told(rate: Option<Rate>) -> String {
    rate.map(|it| it.to_string()).unwrap_or_default()
}

/// Forgets endpoints that are gone.
pub fn tidy(node: &Node) {
    let pool = node.pool();
    let mut limits = node.limits();
    limits.retain(|it| pool.key(it).is_some());
    node.meter.limited.set(limits.count() as i64);
}
