//! Leaving: no new work, everything in progress to its end, then what is known handed over.

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

/// Time between looks at what is left.
const LOOK: Duration = Duration::from_millis(100);

/// Time for a node to take endings.
const HANDOVER: Duration = Duration::from_secs(5);

/// Endings handed over in one call.
const CHUNK: usize = 500;

/// Tries to record the departure before it is left to the VM list.
const DEPART_TRIES: usize = 5;

/// Starts to leave, whether announced or told by a signal.
pub fn announce(shared: &Shared) {
    let since = shared.clock.now();
    let leave = |phase: &mut Phase| {
        let first = matches!(phase, Phase::Starting | Phase::Serving);
        if first {
            *phase = Phase::Leaving { since };
        }
        first
    };
    if shared.phase.send_if_modified(leave) {
        info!(event = "leaving"; "");
        let me = Leave {
            id: format!("self/{}", shared.me),
            vm: shared.settings.vm.clone(),
            node: Some(shared.me),
        };
        let keeper = shared.keeper.clone();
        tokio::spawn(async move { keeper.visit(move |node, _| node.add_leave(me)).await });
    }
}

/// Leaves once this VM is announced as leaving, and sees it through.
pub async fn watch(shared: Arc<Shared>) {
    let vm = shared.settings.vm.clone();
    loop {
        let vm = vm.clone();
        if shared.keeper.visit(move |node, _| node.is_leaving(&vm)).await {
            announce(&shared);
        }
        if let Phase::Leaving { since } = *shared.phase.borrow() {
            let age = shared.clock.now().since(since);
            if age >= shared.settings.timing.drain_millis && idle(&shared) {
                break;
            }
        }
        tokio::time::sleep(LOOK).await;
    }
    let released = hand_over(&shared).await;
    depart(&shared, released).await;
    info!(event = "safe_to_stop"; "");
    shared.phase.send_replace(Phase::Stopped);
}

fn idle(shared: &Shared) -> bool {
    shared.in_progress() == 0 && shared.flights.is_empty()
}

/// Gives every ending to the node that owns its key next; true when all were taken.
async fn hand_over(shared: &Arc<Shared>) -> bool {
    let collect = |node: &mut Node, _| {
        let mut by_owner: BTreeMap<SocketAddr, Vec<IdempotencyRecord>> = BTreeMap::new();
        for (key, fingerprint, answer) in node.ledger.handover() {
            let Some(next) = node.successor(&key).map(|it: &Member| it.control) else {
                continue;
            };
            let answer = answer.map(|it| it.as_ref().clone());
            by_owner.entry(next).or_default().push(IdempotencyRecord { key, fingerprint, answer });
        }
        by_owner
    };
    let mut taken = true;
    for (owner, endings) in shared.keeper.visit(collect).await {
        for chunk in endings.chunks(CHUNK) {
            let chunk = chunk.to_vec();
            let call =
                |client: PeerClient, context| async move { client.handover(context, chunk).await };
            if shared.peers.call(owner, HANDOVER, call).await.is_err() {
                warn!(event = "handover_failed", to:% = owner; "");
                taken = false;
            }
        }
    }
    taken
}

/// Records that this node holds nothing more.
async fn depart(shared: &Arc<Shared>, released: bool) {
    if !shared.is_member() {
        return;
    }
    for _ in 0..DEPART_TRIES {
        let record = Record::Depart { incarnation: shared.me, released };
        if follower::append(shared, &record).await {
            return;
        }
        tokio::time::sleep(LOOK).await;
    }
    warn!(event = "departure_unrecorded"; "the log is out; the VM list will tell");
}
