//! Slots: a runner is chosen and a slot of it asked of the node that owns it.

use crate::metrics::Counter;
use crate::node::Shared;
use crosslane_coordination::detector::Liveness;
use crosslane_coordination::node::{Node, Requirements};
use crosslane_coordination::slots::{Decision, Request};
use crosslane_protocol::peer::PeerClient;
use crosslane_state::incarnation::Incarnation;
use crosslane_state::runner::{Id, Runner};
use std::time::Duration;

/// Time between looks at whether the owner that keeps us waiting still lives.
const OWNER_LOOK: Duration = Duration::from_millis(200);

/// Runners tried for one slot.
const CANDIDATES: usize = 2;

/// Why there is no slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// No usable runner.
    NoRunner,
    /// No slot in time.
    Full {
        /// When coming back helps, in milliseconds.
        retry_after: u64,
    },
}

/// A slot taken.
#[derive(Clone, Debug)]
pub struct Slot {
    /// Runner.
    pub runner: Runner,
    /// Node that granted it, if one did.
    pub owner: Option<Incarnation>,
    /// Milliseconds until the prefill is to start.
    pub start_in: u64,
}

/// Takes a slot of one of the runners that will do.
pub async fn take(shared: &Shared, wanted: Requirements<'_>, ask: Request) -> Result<Slot, Error> {
    let mut refused: Option<u64> = None;
    let mut avoid = Vec::new();
    for _ in 0..CANDIDATES {
        let Some(runner) = place(shared, Requirements { exclude: &avoid, ..wanted }).await else {
            break;
        };
        match reserve(shared, runner.id, ask).await {
            Ok((owner, start_in)) => return Ok(Slot { runner, owner, start_in }),
            Err(retry_after) => {
                refused = Some(refused.map_or(retry_after, |it| it.min(retry_after)));
                let id = runner.id;
                shared.keeper.visit(move |node, _| node.loads.undo_sent(id)).await;
                avoid.push(id);
            }
        }
    }
    Err(refused.map_or(Error::NoRunner, |retry_after| Error::Full { retry_after }))
}

/// Chooses a runner.
pub async fn place(shared: &Shared, wanted: Requirements<'_>) -> Option<Runner> {
    let Requirements { role, hold_ms: work, .. } = wanted;
    let (serves, domains) = (wanted.serves.to_owned(), wanted.domains.to_vec());
    let avoid = wanted.exclude.to_vec();
    let choose = move |node: &mut Node, now| {
        let (serves, domains, avoid) = (&serves, &domains, &avoid);
        let id =
            node.place(Requirements { role, serves, domains, exclude: avoid, hold_ms: work }, now)?;
        node.options().table.find(id).cloned()
    };
    shared.keeper.visit(choose).await
}

/// Reserves a slot with the runner's owner, or goes on by estimate without it.
async fn reserve(
    shared: &Shared,
    runner: Id,
    ask: Request,
) -> Result<(Option<Incarnation>, u64), u64> {
    if !shared.settings.placement.reserve {
        return Ok((None, 0));
    }
    let owner = shared.keeper.visit(move |node, _| node.owner(runner)).await;
    let grant = match owner {
        Some(owner) if owner == shared.me => shared.keeper.ask(runner, ask).await,
        Some(owner) => ask_owner(shared, owner, runner, ask).await,
        None => Decision::NotOwner,
    };
    match grant {
        Decision::Granted { start_in_ms: start_in, wait_ms: wait } => {
            shared.keeper.visit(move |node, _| node.loads.record_wait(runner, wait)).await;
            Ok((owner, start_in))
        }
        Decision::Refused { retry_after } => Err(retry_after),
        Decision::NotOwner => {
            shared.metrics.count(Counter::SlotEstimated);
            Ok((None, 0))
        }
    }
}

/// Asks a runner's owner, for as long as it lives.
async fn ask_owner(shared: &Shared, owner: Incarnation, runner: Id, ask: Request) -> Decision {
    let Some(member) = shared.member(owner).await else {
        return Decision::NotOwner;
    };
    let limit = Duration::from_millis(ask.max_wait_ms + ask.lead_ms) + OWNER_LOOK;
    let call = |client: PeerClient, context| async move {
        client.reserve_slot(context, runner, ask).await
    };
    tokio::select! {
        grant = shared.peers.call(member.control, limit, call) => grant.unwrap_or(Decision::NotOwner),
        () = silence(shared, owner) => Decision::NotOwner,
    }
}

/// Resolves once a node is no longer believed alive.
async fn silence(shared: &Shared, other: Incarnation) {
    let alive = move |node: &mut Node, now| node.liveness(other, now) == Liveness::Alive;
    while shared.keeper.visit(alive).await {
        tokio::time::sleep(OWNER_LOOK).await;
    }
}
