//! Slot reservation: chooses a runner and requests a slot from the node that owns it.

use crate::metrics::Counter;
use crate::node::Shared;
use crosslane_coordination::detector::Liveness;
use crosslane_coordination::node::{Node, Requirements};
use crosslane_coordination::slots::{Decision, Request};
use crosslane_protocol::peer::PeerClient;
use crosslane_state::incarnation::Incarnation;
use crosslane_state::runner::{Id, Runner};
use std::time::Duration;

/// Interval between two checks whether the owner is still alive while its decision is pending.
const OWNER_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Number of runners tried for one slot.
const MAX_CANDIDATES: usize = 2;

/// Why no slot was reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// No usable runner.
    NoRunner,
    /// No slot before the deadline.
    Full {
        /// Time after which to retry, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Reserved slot.
#[derive(Clone, Debug)]
pub struct Slot {
    /// Runner.
    pub runner: Runner,
    /// Node that granted the slot; none if it was taken without a reservation.
    pub owner: Option<Incarnation>,
    /// Time until the prefill should start, in milliseconds.
    pub start_in_ms: u64,
}

/// Reserves a slot at one of the runners that meet the requirements.
pub async fn reserve(
    shared: &Shared,
    requirements: Requirements<'_>,
    request: Request,
) -> Result<Slot, Error> {
    let mut min_retry_ms: Option<u64> = None;
    let mut exclude = Vec::new();
    for _ in 0..MAX_CANDIDATES {
        let Some(runner) = place(shared, Requirements { exclude: &exclude, ..requirements }).await
        else {
            break;
        };
        match request_slot(shared, runner.id, request).await {
            Ok((owner, start_in_ms)) => return Ok(Slot { runner, owner, start_in_ms }),
            Err(retry_after_ms) => {
                min_retry_ms = Some(
                    min_retry_ms.map_or(retry_after_ms, |shortest| shortest.min(retry_after_ms)),
                );
                let id = runner.id;
                shared.keeper.with_node(move |node, _| node.loads.undo_sent(id)).await;
                exclude.push(id);
            }
        }
    }
    Err(min_retry_ms.map_or(Error::NoRunner, |retry_after_ms| Error::Full { retry_after_ms }))
}

/// Chooses a runner that meets the requirements.
pub async fn place(shared: &Shared, requirements: Requirements<'_>) -> Option<Runner> {
    let Requirements { role, hold_ms, .. } = requirements;
    let (serves, domains) = (requirements.serves.to_owned(), requirements.domains.to_vec());
    let exclude = requirements.exclude.to_vec();
    let choose = move |node: &mut Node, now| {
        let (serves, domains, exclude) = (&serves, &domains, &exclude);
        let id = node.place(Requirements { role, serves, domains, exclude, hold_ms }, now)?;
        node.options().table.find(id).cloned()
    };
    shared.keeper.with_node(choose).await
}

/// Requests a slot from the runner's owner; without an owner, takes one by estimate.
async fn request_slot(
    shared: &Shared,
    runner: Id,
    request: Request,
) -> Result<(Option<Incarnation>, u64), u64> {
    if !shared.settings.placement.reserve {
        return Ok((None, 0));
    }
    let owner = shared.keeper.with_node(move |node, _| node.owner(runner)).await;
    let decision = match owner {
        Some(owner) if owner == shared.incarnation => {
            shared.keeper.request_slot(runner, request).await
        }
        Some(owner) => request_from_owner(shared, owner, runner, request).await,
        None => Decision::NotOwner,
    };
    match decision {
        Decision::Granted { start_in_ms, wait_ms } => {
            shared.keeper.with_node(move |node, _| node.loads.record_wait(runner, wait_ms)).await;
            Ok((owner, start_in_ms))
        }
        Decision::Refused { retry_after } => Err(retry_after),
        Decision::NotOwner => {
            shared.metrics.count(Counter::SlotEstimated);
            Ok((None, 0))
        }
    }
}

/// Requests a slot from a runner's owner on another node, while that node is alive.
async fn request_from_owner(
    shared: &Shared,
    owner: Incarnation,
    runner: Id,
    request: Request,
) -> Decision {
    let Some(member) = shared.member(owner).await else {
        return Decision::NotOwner;
    };
    let timeout =
        Duration::from_millis(request.max_wait_ms + request.lead_ms) + OWNER_CHECK_INTERVAL;
    let call = |client: PeerClient, context| async move {
        client.reserve_slot(context, runner, request).await
    };
    tokio::select! {
        decision = shared.peers.call(member.control, timeout, call) => decision.unwrap_or(Decision::NotOwner),
        () = until_not_alive(shared, owner) => Decision::NotOwner,
    }
}

/// Resolves once the failure detector no longer considers a node alive.
async fn until_not_alive(shared: &Shared, incarnation: Incarnation) {
    let alive = move |node: &mut Node, now| node.liveness(incarnation, now) == Liveness::Alive;
    while shared.keeper.with_node(alive).await {
        tokio::time::sleep(OWNER_CHECK_INTERVAL).await;
    }
}
