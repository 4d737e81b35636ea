//! Drain: waits for the requests in progress, hands idempotency records over to the next owners
//! of their keys, and records the departure.

use crate::follower;
use crate::node::{Phase, Shared};
use crosslane_coordination::node::Node;
use crosslane_coordination::record::{Leave, Record};
use crosslane_protocol::peer::{IdempotencyRecord, PeerClient};
use crosslane_state::member::Member;
use log::{info, warn};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Interval between two checks whether the drain has finished, and between two attempts to record
/// the departure.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of one handover call.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(5);

/// Idempotency records handed over in one call.
const HANDOVER_RECORDS: usize = 500;

/// Attempts to record the departure, after which the other nodes take it from the VM list.
const DEPART_ATTEMPTS: usize = 5;

/// Starts the drain, on an announced leave or on a signal.
pub fn announce(shared: &Shared) {
    let since = shared.clock.now();
    let start_drain = |phase: &mut Phase| {
        let starts = matches!(phase, Phase::Starting | Phase::Serving);
        if starts {
            *phase = Phase::Leaving { since };
        }
        starts
    };
    if shared.phase.send_if_modified(start_drain) {
        info!(event = "leaving"; "");
        let leave = Leave {
            id: format!("self/{}", shared.incarnation),
            vm: shared.settings.vm.clone(),
            node: Some(shared.incarnation),
        };
        let keeper = shared.keeper.clone();
        tokio::spawn(async move { keeper.with_node(move |node, _| node.add_leave(leave)).await });
    }
}

/// Starts the drain once this VM is announced as leaving, and completes every started drain.
pub async fn watch(shared: Arc<Shared>) {
    let vm = shared.settings.vm.clone();
    loop {
        let vm = vm.clone();
        if shared.keeper.with_node(move |node, _| node.is_leaving(&vm)).await {
            announce(&shared);
        }
        if let Phase::Leaving { since } = *shared.phase.borrow() {
            let drained_ms = shared.clock.now().since(since);
            if drained_ms >= shared.settings.timing.drain_millis && idle(&shared) {
                break;
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let released = hand_over(&shared).await;
    depart(&shared, released).await;
    info!(event = "safe_to_stop"; "");
    shared.phase.send_replace(Phase::Stopped);
}

/// Whether no request and no attempt is in progress.
fn idle(shared: &Shared) -> bool {
    shared.in_progress() == 0 && shared.in_flight.is_empty()
}

/// Hands each idempotency record over to the next owner of its key; true if every call succeeded.
async fn hand_over(shared: &Arc<Shared>) -> bool {
    let collect = |node: &mut Node, _| {
        let mut by_owner: BTreeMap<SocketAddr, Vec<IdempotencyRecord>> = BTreeMap::new();
        for (key, fingerprint, answer) in node.ledger.handover() {
            let Some(next) = node.successor(&key).map(|member: &Member| member.control) else {
                continue;
            };
            let answer = answer.map(|shared_answer| shared_answer.as_ref().clone());
            by_owner.entry(next).or_default().push(IdempotencyRecord { key, fingerprint, answer });
        }
        by_owner
    };
    let mut complete = true;
    for (owner, records) in shared.keeper.with_node(collect).await {
        for chunk in records.chunks(HANDOVER_RECORDS) {
            let chunk = chunk.to_vec();
            let call =
                |client: PeerClient, context| async move { client.handover(context, chunk).await };
            if shared.peers.call(owner, HANDOVER_TIMEOUT, call).await.is_err() {
                warn!(event = "handover_failed", to:% = owner; "");
                complete = false;
            }
        }
    }
    complete
}

/// Records in the log that this node has departed.
async fn depart(shared: &Arc<Shared>, released: bool) {
    if !shared.is_member() {
        return;
    }
    for _ in 0..DEPART_ATTEMPTS {
        let record = Record::Depart { incarnation: shared.incarnation, released };
        if follower::append(shared, &record).await {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    warn!(event = "departure_unrecorded"; "the log is unavailable; other nodes will take the departure from the VM list");
}
