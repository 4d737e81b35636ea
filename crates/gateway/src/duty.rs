//! Orders to engines: one node at a time, under a lease in the store.

use crate::event;
use crate::node::{Node, lock};
use crosslane_coordination::lease::{Lease, ORDER_WINDOW, Record as Held, Step};
use crosslane_coordination::stages::{Change, Plan};
use crosslane_platform::engine::{self, OrderOutcome};
use crosslane_platform::store::{Client, Error};
use crosslane_state::endpoint::{Stage, Tag};
use log::{debug, info, warn};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Topic of the lease.
const TOPIC: &str = "keyed.duty";

/// Key of the lease.
const KEY: &str = "orders";

/// Time between looks at the engines' stages.
const LOOK: Duration = Duration::from_millis(500);

/// Time after the start in which nodes find each other, so that one alone asks for the lease.
const SETTLE: Duration = Duration::from_millis(900);

/// Time for an order's answer.
const ANSWER: Duration = Duration::from_millis(800);

/// Plans by service.
type Plans = HashMap<String, Plan>;

/// Gives orders when it is this node's turn, for good.
pub async fn run(node: Arc<Node>) {
    sleep(SETTLE).await;
    let mut client = Client::new(node.settings.store_address);
    let mut lease = Lease::new(node.settings.vm.clone(), node.settings.lease_ms);
    let mut plans = HashMap::new();
    loop {
        let steady = node.stopping.borrow().is_none();
        let first = lock(&node.members).first(node.now());
        if steady && first {
            round(&node, &mut client, &mut lease, &mut plans).await;
        }
        sleep(LOOK).await;
    }
}

/// What the record of the lease says.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Turn {
    /// Holder.
    holder: String,
    /// Orders of this turn, so that the next holder does not give them again.
    orders: Vec<(Tag, Stage)>,
}

async fn round(node: &Arc<Node>, client: &mut Client, lease: &mut Lease, plans: &mut Plans) {
    if changes(node, plans).is_empty() {
        return;
    }
    let began = node.now();
    match acquire(node, client, lease, plans).await {
        Ok(Some((fence, changes))) => {
            info!(fence, orders = changes.len(); "{}", event::LEASE);
            for (service, change) in changes {
                if node.now().since(began) < ORDER_WINDOW {
                    plans.entry(service).or_default().sent(change, node.now());
                    tokio::spawn(order(node.clone(), change, fence));
                }
            }
        }
        Ok(None) => {}
        Err(error) => {
            lease.reset();
            debug!("lease on orders: {error}");
        }
    }
}

/// Changes wanted among the engines of the configuration's services; records may name others.
fn changes(node: &Node, plans: &mut Plans) -> Vec<(String, Change)> {
    let Some(table) = node.table() else {
        return Vec::new();
    };
    let generates = |it: &str| table.services.get(it).is_some_and(|it| it.engine.is_some());
    let now = node.now();
    let pool = node.pool();
    let mut wanted = Vec::new();
    for (service, engines) in pool.engines().into_iter().filter(|it| generates(it.0)) {
        let plan = plans.entry(service.to_owned()).or_default();
        let changes = plan.changes(&engines, now).into_iter();
        wanted.extend(changes.map(|change| (service.to_owned(), change)));
    }
    wanted
}

/// Counts the orders of an earlier turn as sent, unless they were carried out already.
fn absorb(node: &Node, plans: &mut Plans, turn: &Turn) {
    let now = node.now();
    let pool = node.pool();
    for (service, engines) in pool.engines() {
        let plan = plans.entry(service.to_owned()).or_default();
        for (key, engine) in engines {
            let tag = engine.tag();
            let order = turn.orders.iter().find(|it| it.0 == tag);
            if let Some((_, stage)) = order.filter(|it| it.1 != engine.stage) {
                plan.told(Change { key, stage: *stage }, now);
            }
        }
    }
}

/// Takes the lease; returns its fencing token and the orders to give.
async fn acquire(
    node: &Node,
    client: &mut Client,
    lease: &mut Lease,
    plans: &mut Plans,
) -> Result<Option<(u64, Vec<(String, Change)>)>, Error> {
    let page = client.latest(TOPIC).await?;
    let record = page.records.iter().rfind(|it| it.key == KEY).and_then(|it| it.value.as_deref());
    let turn = record.map(read_turn);
    if let Some(turn) = &turn {
        absorb(node, plans, turn);
    }
    let changes = changes(node, plans);
    if changes.is_empty() {
        return Ok(None);
    }
    let held = Held { holder: turn.map(|it| it.holder), end: page.end };
    let Step::Append { end } = lease.step(&held, node.now()) else {
        return Ok(None);
    };
    let orders = orders(node, &changes);
    let turn = Turn { holder: node.settings.vm.clone(), orders };
    let value = bincode::serialize(&turn).unwrap_or_default();
    // Tokens start from one, since zero may mean none.
    let offset = client.append(TOPIC, KEY, &value, Some(end)).await?;
    Ok(Some((offset + 1, changes)))
}

/// A turn's record. One that can't be read, of another version, counts as the turn of somebody else, who may
/// be giving orders.
fn read_turn(bytes: &[u8]) -> Turn {
    bincode::deserialize(bytes).unwrap_or_else(|error| {
        warn!(why:% = error; "{}", event::SKIPPED);
        Turn::default()
    })
}

fn orders(node: &Node, changes: &[(String, Change)]) -> Vec<(Tag, Stage)> {
    let pool = node.pool();
    let rows = changes.iter().filter_map(|(_, it)| Some((pool.get(it.key)?, it.stage)));
    rows.map(|(engine, stage)| (engine.tag(), stage)).collect()
}

async fn order(node: Arc<Node>, change: Change, fence: u64) {
    let Some(endpoint) = node.pool().get(change.key).cloned() else {
        return;
    };
    let request = engine::order_stage_change(&endpoint, change.stage, &node.settings.vm, fence);
    let answer = node.control.call(endpoint.address, request, ANSWER).await;
    let id = endpoint.id;
    let stage = format!("{:?}", change.stage);
    let outcome = answer.map(|it| engine::parse_order_outcome(it.status));
    if matches!(outcome, Ok(OrderOutcome::Taken)) {
        node.pool().ordered(change.key, change.stage, node.now());
        node.changed.notify_one();
    }
    match outcome {
        Ok(OrderOutcome::Fenced) => info!(id, stage, fence, outcome = "fenced"; "{}", event::ORDER),
        Ok(outcome) => info!(id, stage, fence, outcome:? = outcome; "{}", event::ORDER),
        Err(error) => info!(id, stage, fence, outcome:% = error; "{}", event::ORDER),
    }
}
