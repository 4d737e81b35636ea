//! Liveness checks: whether an endpoint that broke off a response has crashed.
//!
//! An endpoint that refuses connections has crashed if another one accepts them. Otherwise this node's own links may be gone, and
//! the check is repeated for some seconds: a poison request may also have crashed all others.

use crate::dialer::Dialer;
use crate::event;
use crate::node::{Node, lock};
use crosslane_state::endpoint::{Endpoint, Tag};
use crosslane_transport::connection::Error;
use log::info;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::OnceCell;
use tokio::time::{Instant, sleep};

/// Timeout of a liveness check: a port without a process refuses connections within a round trip of some 3 ms. The next
/// attempt at the request waits for the check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// Delay before the second check of an endpoint that still accepts connections: a process that ends closes its connections
/// and its port one after the other.
const RECHECK_DELAY: Duration = Duration::from_millis(10);

/// Delay before the next check of an endpoint that still accepts connections, and before the first one after no other endpoint
/// could be reached either. It doubles up to 2.4 s, in which endpoints that crash under a poison request are back.
const NEXT_CHECK_DELAY: Duration = Duration::from_millis(150);
const MAX_CHECK_DOUBLINGS: u32 = 4;

/// Other endpoints to try before an endpoint that refuses connections counts as gone: some may have ended too.
const MAX_OTHER_CHECKS: usize = 3;

/// Remembered checks: enough for some seconds in which hundreds of endpoints end.
const MAX_CHECKS: usize = 1_024;

/// What a check finds out about an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// Its process runs, as far as this node can tell.
    Alive,
    /// Its process has ended or is just ending.
    Gone,
    /// It refuses connections, but so do all others: this node's own links may be gone. Or it did not answer in time.
    Unknown,
}

/// What came of a connection to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Look {
    /// It was accepted.
    Accepted,
    /// It was refused: no process listens.
    Refused,
    /// Neither, or it failed in another way.
    Unanswered,
}

/// Liveness checks of endpoints that broke off responses; all requests that ran there share one check.
#[derive(Debug, Default)]
pub struct Checks(Mutex<HashMap<Tag, Arc<OnceCell<Liveness>>>>);

impl Checks {
    /// Whether an endpoint is gone. Concurrent requests share a check; only that one is gone is remembered, since a live
    /// endpoint may be gone at the next check.
    pub async fn check(&self, node: &Node, endpoint: &Endpoint) -> Liveness {
        let tag = endpoint.tag();
        let cell = {
            let mut checks = lock(&self.0);
            if checks.len() >= MAX_CHECKS {
                checks.clear();
            }
            checks.entry(tag).or_default().clone()
        };
        let liveness = *cell.get_or_init(|| probe(node, endpoint)).await;
        if liveness != Liveness::Gone {
            lock(&self.0).remove(&tag);
        }
        liveness
    }

    /// Forgets that an endpoint is gone.
    fn forget(&self, endpoint: &Endpoint) {
        lock(&self.0).remove(&endpoint.tag());
    }
}

/// Whether an endpoint refuses connections while another one accepts them.
async fn probe(node: &Node, endpoint: &Endpoint) -> Liveness {
    if look(&node.dialer, endpoint).await != Look::Refused {
        sleep(RECHECK_DELAY).await;
        match look(&node.dialer, endpoint).await {
            Look::Accepted => return Liveness::Alive,
            Look::Unanswered => return Liveness::Unknown,
            Look::Refused => {}
        }
    }
    match reaches_another(node, endpoint).await {
        true => Liveness::Gone,
        false => Liveness::Unknown,
    }
}

/// Whether an endpoint turns out to be gone within the next seconds, if the first check did not show it.
pub async fn turns_out_gone(node: &Node, endpoint: &Endpoint) -> bool {
    for doublings in 0..=MAX_CHECK_DOUBLINGS {
        sleep(NEXT_CHECK_DELAY * (1 << doublings)).await;
        match node.liveness_checks.check(node, endpoint).await {
            Liveness::Alive => return false,
            // The links may have come back between the two looks of the check.
            Liveness::Gone => return refuses_connections(&node.dialer, endpoint).await,
            Liveness::Unknown => {}
        }
    }
    false
}

/// What this node finds out about an endpoint within a time. That it is gone is confirmed, and a check without a result is repeated: this
/// node's own links may come back meanwhile.
pub async fn settle(node: &Node, endpoint: &Endpoint, patience: Duration) -> Liveness {
    let until = Instant::now() + patience;
    loop {
        let found = match node.liveness_checks.check(node, endpoint).await {
            Liveness::Gone if !refuses_connections(&node.dialer, endpoint).await => {
                node.liveness_checks.forget(endpoint);
                Liveness::Unknown
            }
            Liveness::Alive if node.pool().is_replaced(endpoint) => Liveness::Gone,
            found => found,
        };
        if found != Liveness::Unknown || Instant::now() + NEXT_CHECK_DELAY > until {
            return found;
        }
        sleep(NEXT_CHECK_DELAY).await;
    }
}

/// Whether this node reaches another endpoint, if there is one. Otherwise its own links may be gone: then it sees every endpoint
/// refuse connections.
async fn reaches_another(node: &Node, endpoint: &Endpoint) -> bool {
    for _ in 0..MAX_OTHER_CHECKS {
        let other = node.pool().random_other(endpoint);
        match other {
            None => return true,
            Some(other) if accepts_connections(&node.dialer, &other).await => return true,
            Some(_) => {}
        }
    }
    let why = "no other endpoint can be reached";
    info!(dependency = "endpoints", to = endpoint.id, why; "{}", event::LOST);
    false
}

async fn look(dialer: &Dialer, endpoint: &Endpoint) -> Look {
    match dialer.check(endpoint, CHECK_TIMEOUT).await {
        Ok(()) => Look::Accepted,
        Err(Error::Unreachable { refused: true, .. }) => Look::Refused,
        Err(_) => Look::Unanswered,
    }
}

/// Whether an endpoint refuses connections, so its process has ended. A timeout or another error does not count.
pub async fn refuses_connections(dialer: &Dialer, endpoint: &Endpoint) -> bool {
    look(dialer, endpoint).await == Look::Refused
}

/// Whether an endpoint's process is running and its machine can be reached.
pub async fn accepts_connections(dialer: &Dialer, endpoint: &Endpoint) -> bool {
    look(dialer, endpoint).await == Look::Accepted
}
