//! Freeing of engine memory: cancel until confirmed, and reconciliation with engines' lists.

use crate::engine::Engine;
use crate::metrics::Counter;
use crate::node::Shared;
use crosslane_coordination::node::Node;
use crosslane_protocol::peer::PeerClient;
use crosslane_state::attempt;
use crosslane_state::incarnation::Incarnation;
use crosslane_state::runner::{Id, Runner};
use futures::future::join_all;
use log::info;
use std::sync::Arc;
use std::time::Duration;

/// First pause between two cancels.
const PAUSE: Duration = Duration::from_millis(50);

/// Longest pause between two cancels.
const PAUSE_LIMIT: Duration = Duration::from_secs(2);

/// Cancels of one attempt before it is left to reconciliation.
const TRIES: usize = 60;

/// Time for a node to say which attempts it wants.
const WANTED: Duration = Duration::from_millis(500);

/// What an attempt may hold at one runner.
#[derive(Clone, Debug)]
pub struct Hold {
    /// Runner.
    pub runner: Runner,
    /// Node that granted the slot, if one did.
    pub owner: Option<Incarnation>,
    /// Whether the engine may know the attempt.
    pub touched: bool,
}

/// Frees what an attempt holds at a runner: its memory first, then its slot.
pub async fn free(shared: Arc<Shared>, attempt: attempt::Id, hold: Hold) {
    if hold.touched {
        cancel(&shared, &hold.runner, attempt).await;
    }
    if let Some(owner) = hold.owner {
        release(&shared, owner, hold.runner.id, attempt).await;
    }
}

/// Cancels an attempt at an engine until the engine confirms.
pub async fn cancel(shared: &Shared, runner: &Runner, attempt: attempt::Id) {
    let engine = Engine::new(shared.client.clone(), runner.address);
    let mut pause = PAUSE;
    for _ in 0..TRIES {
        if engine.cancel(attempt).await {
            shared.metrics.count(Counter::Cancelled);
            return;
        }
        shared.metrics.count(Counter::CancelRetried);
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(PAUSE_LIMIT);
    }
}

/// Gives a slot back to the node that granted it.
pub async fn release(shared: &Shared, owner: Incarnation, runner: Id, attempt: attempt::Id) {
    if owner == shared.me {
        shared.keeper.release(runner, attempt);
        return;
    }
    let call = |client: PeerClient, context| async move {
        client.release_slot(context, runner, attempt).await
    };
    if let Some(member) = shared.member(owner).await {
        let _ = shared.peers.call(member.control, WANTED, call).await;
    }
}

/// Reconciles owned engines, and those whose owner is dead, until the process ends.
pub async fn run(shared: Arc<Shared>) {
    let period = Duration::from_millis(shared.settings.timing.reconcile_millis);
    loop {
        tokio::time::sleep(period).await;
        let look = |node: &mut Node, now| (node.owned().cloned().collect(), node.taken_over(now));
        let (owned, taken_over): (Vec<Runner>, Vec<Runner>) = shared.keeper.visit(look).await;
        let owned = owned.into_iter().map(|runner| reconcile(shared.clone(), runner));
        let taken_over = taken_over.into_iter().map(|runner| clear(shared.clone(), runner));
        tokio::join!(join_all(owned), join_all(taken_over));
    }
}

/// Attempts that an engine holds, by its own list.
async fn held(shared: &Shared, runner: &Runner) -> Option<Vec<attempt::Id>> {
    let engine = Engine::new(shared.client.clone(), runner.address);
    let list = engine.held().await.ok()?;
    Some(list.held.iter().filter_map(|it| attempt::Id::parse(&it.attempt)).collect())
}

/// Frees what dead nodes left at an engine whose owner is dead too.
async fn clear(shared: Arc<Shared>, runner: Runner) {
    let Some(held) = held(&shared, &runner).await else {
        return;
    };
    let orphans = shared.keeper.visit(move |node, now| node.orphans(&held, now)).await;
    orphans.into_iter().for_each(|it| reclaim(&shared, &runner, it, None));
}

/// Frees an attempt that nobody wants.
fn reclaim(
    shared: &Arc<Shared>,
    runner: &Runner,
    attempt: attempt::Id,
    owner: Option<Incarnation>,
) {
    shared.metrics.count(Counter::Reconciled);
    info!(event = "reconciled", attempt:% = attempt, runner = runner.name.as_str(); "");
    let hold = Hold { runner: runner.clone(), owner, touched: true };
    tokio::spawn(free(shared.clone(), attempt, hold));
}

async fn reconcile(shared: Arc<Shared>, runner: Runner) {
    let id = runner.id;
    let Some(held) = held(&shared, &runner).await else {
        shared.keeper.visit(move |node, _| node.mark_unresponsive(id)).await;
        return;
    };
    let plan = move |node: &mut Node, now| node.reconcile(id, &held, now);
    let Some(plan) = shared.keeper.visit(plan).await else {
        return;
    };
    let mut unwanted = plan.cancel;
    for (origin, attempts) in plan.confirm {
        unwanted.extend(disowned(&shared, origin, attempts).await);
    }
    unwanted.into_iter().for_each(|it| reclaim(&shared, &runner, it, Some(shared.me)));
}

/// Attempts that their maker says it does not want.
async fn disowned(
    shared: &Shared,
    origin: Incarnation,
    attempts: Vec<attempt::Id>,
) -> Vec<attempt::Id> {
    let wanted = if origin == shared.me {
        Ok(shared.flights.wanted(&attempts))
    } else if let Some(member) = shared.member(origin).await {
        let asked = attempts.clone();
        let call =
            |client: PeerClient, context| async move { client.still_in_use(context, asked).await };
        shared.peers.call(member.control, WANTED, call).await
    } else {
        return Vec::new();
    };
    let Ok(wanted) = wanted else {
        shared.keeper.visit(move |node, now| node.detector.watch(origin, now)).await;
        return Vec::new();
    };
    let pairs = attempts.into_iter().zip(wanted);
    pairs.filter(|(_, wanted)| !wanted).map(|(attempt, _)| attempt).collect()
}
