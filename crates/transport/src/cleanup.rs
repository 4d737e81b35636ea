//! Frees engine memory: cancels attempts until the engine confirms, and reconciles the attempts that
//! engines hold with those still in use.

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

/// Delay before the first repeated cancel; it doubles each time.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Longest delay between two cancels.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Number of cancels of one attempt, after which it is left to reconciliation.
const CANCEL_LIMIT: usize = 60;

/// Timeout of a call to another node.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Resources that an attempt may hold at one runner.
#[derive(Clone, Debug)]
pub struct Hold {
    /// Runner.
    pub runner: Runner,
    /// Node that granted the slot, if one did.
    pub owner: Option<Incarnation>,
    /// Whether a call was sent to the engine, so that it may hold memory for the attempt.
    pub dispatched: bool,
}

/// Frees what an attempt holds at a runner: first the engine's memory, then the slot.
pub async fn free(shared: Arc<Shared>, attempt: attempt::Id, hold: Hold) {
    if hold.dispatched {
        cancel(&shared, &hold.runner, attempt).await;
    }
    if let Some(owner) = hold.owner {
        release(&shared, owner, hold.runner.id, attempt).await;
    }
}

/// Cancels an attempt at an engine, repeatedly until the engine confirms or the limit is reached.
pub async fn cancel(shared: &Shared, runner: &Runner, attempt: attempt::Id) {
    let engine = Engine::new(shared.client.clone(), runner.address);
    let mut delay = RETRY_DELAY;
    for _ in 0..CANCEL_LIMIT {
        if engine.cancel(attempt).await {
            shared.metrics.count(Counter::Cancelled);
            return;
        }
        shared.metrics.count(Counter::CancelRetried);
        tokio::time::sleep(delay).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    }
}

/// Releases a slot at the node that granted it.
pub async fn release(shared: &Shared, owner: Incarnation, runner: Id, attempt: attempt::Id) {
    if owner == shared.incarnation {
        shared.keeper.release(runner, attempt);
        return;
    }
    let call = |client: PeerClient, context| async move {
        client.release_slot(context, runner, attempt).await
    };
    if let Some(member) = shared.member(owner).await {
        let _ = shared.peers.call(member.control, CALL_TIMEOUT, call).await;
    }
}

/// Reconciles the engines that this node owns, and those whose owner is dead, until the process ends.
pub async fn run(shared: Arc<Shared>) {
    let period = Duration::from_millis(shared.settings.timing.reconcile_millis);
    loop {
        tokio::time::sleep(period).await;
        let list = |node: &mut Node, now| (node.owned().cloned().collect(), node.taken_over(now));
        let (owned, taken_over): (Vec<Runner>, Vec<Runner>) = shared.keeper.with_node(list).await;
        let owned = owned.into_iter().map(|runner| reconcile(shared.clone(), runner));
        let taken_over = taken_over.into_iter().map(|runner| free_orphans(shared.clone(), runner));
        tokio::join!(join_all(owned), join_all(taken_over));
    }
}

/// Attempts that hold memory at an engine, as it reports them.
async fn held_attempts(shared: &Shared, runner: &Runner) -> Option<Vec<attempt::Id>> {
    let engine = Engine::new(shared.client.clone(), runner.address);
    let list = engine.held().await.ok()?;
    Some(list.held.iter().filter_map(|entry| attempt::Id::parse(&entry.attempt)).collect())
}

/// Frees the attempts of dead nodes at an engine whose owner is dead too.
async fn free_orphans(shared: Arc<Shared>, runner: Runner) {
    let Some(held) = held_attempts(&shared, &runner).await else {
        return;
    };
    let orphans = shared.keeper.with_node(move |node, now| node.orphans(&held, now)).await;
    orphans.into_iter().for_each(|attempt| reclaim(&shared, &runner, attempt, None));
}

/// Frees an attempt that is no longer in use.
fn reclaim(
    shared: &Arc<Shared>,
    runner: &Runner,
    attempt: attempt::Id,
    owner: Option<Incarnation>,
) {
    shared.metrics.count(Counter::Reconciled);
    info!(event = "reconciled", attempt:% = attempt, runner = runner.name.as_str(); "");
    let hold = Hold { runner: runner.clone(), owner, dispatched: true };
    tokio::spawn(free(shared.clone(), attempt, hold));
}

/// Frees the attempts at an owned engine that are no longer in use.
async fn reconcile(shared: Arc<Shared>, runner: Runner) {
    let id = runner.id;
    let Some(held) = held_attempts(&shared, &runner).await else {
        shared.keeper.with_node(move |node, _| node.mark_unresponsive(id)).await;
        return;
    };
    let plan = move |node: &mut Node, now| node.reconcile(id, &held, now);
    let Some(plan) = shared.keeper.with_node(plan).await else {
        return;
    };
    let mut unused = plan.cancel;
    for (origin, attempts) in plan.confirm {
        unused.extend(unused_attempts(&shared, origin, attempts).await);
    }
    unused
        .into_iter()
        .for_each(|attempt| reclaim(&shared, &runner, attempt, Some(shared.incarnation)));
}

/// Attempts that their origin reports as no longer in use.
async fn unused_attempts(
    shared: &Shared,
    origin: Incarnation,
    attempts: Vec<attempt::Id>,
) -> Vec<attempt::Id> {
    let in_use = if origin == shared.incarnation {
        Ok(shared.in_flight.still_in_use(&attempts))
    } else if let Some(member) = shared.member(origin).await {
        let queried = attempts.clone();
        let call = |client: PeerClient, context| async move {
            client.still_in_use(context, queried).await
        };
        shared.peers.call(member.control, CALL_TIMEOUT, call).await
    } else {
        return Vec::new();
    };
    let Ok(in_use) = in_use else {
        shared.keeper.with_node(move |node, now| node.detector.watch(origin, now)).await;
        return Vec::new();
    };
    let pairs = attempts.into_iter().zip(in_use);
    pairs.filter(|(_, in_use)| !in_use).map(|(attempt, _)| attempt).collect()
}
