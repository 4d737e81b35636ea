//! Orders to engines to change their stage. One node at a time gives them, under a lease in the
//! store.

use crate::event;
use crate::node::{Node, lock};
use crosslane_coordination::lease::{Lease, ORDER_WINDOW_MS, Record, Step};
use crosslane_coordination::stages::{Change, Planner};
use crosslane_platform::engine::{self, OrderOutcome};
use crosslane_platform::store::{Client, Error};
use crosslane_state::endpoint::{Key, Stage, Tag};
use log::{debug, info, warn};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Topic of the lease in the store.
const TOPIC: &str = "keyed.duty";

/// Key of the lease.
const KEY: &str = "orders";

/// Interval of the checks of the engines' stages.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Pause after the start, in which nodes find each other, so that only one asks for the lease.
const DISCOVERY_TIME: Duration = Duration::from_millis(900);

/// Timeout of an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);

/// Plans by service.
type Plans = HashMap<String, Planner>;

/// Gives orders while this node is the leader, forever.
pub async fn run(node: Arc<Node>) {
    sleep(DISCOVERY_TIME).await;
    let mut client = Client::new(node.settings.store_address);
    let mut lease = Lease::new(node.settings.vm.clone(), node.settings.lease_ms);
    let mut plans = HashMap::new();
    loop {
        let active = node.stopping.borrow().is_none();
        let leader = lock(&node.members).is_leader(node.now());
        if active && leader && node.lost().is_empty() {
            give_orders(&node, &mut client, &mut lease, &mut plans).await;
        }
        sleep(CHECK_INTERVAL).await;
    }
}

/// Record of the lease.
#[derive(Debug, Default, Serialize, Deserialize)]
struct LeaseRecord {
    /// Holder of the lease.
    holder: String,
    /// Orders given under this lease, so that the next holder does not repeat them.
    orders: Vec<(Tag, Stage)>,
}

async fn give_orders(node: &Arc<Node>, client: &mut Client, lease: &mut Lease, plans: &mut Plans) {
    if changes(node, plans).is_empty() {
        return;
    }
    let started_at = node.now();
    match acquire(node, client, lease, plans).await {
        Ok(Some((fence, changes))) => {
            info!(fence, orders = changes.len(); "{}", event::LEASE);
            for (service, change) in changes {
                if node.now().since(started_at) < ORDER_WINDOW_MS {
                    plans.entry(service).or_default().record_own_order(change, node.now());
                    tokio::spawn(send_order(node.clone(), change, fence));
                }
            }
        }
        Ok(None) => {}
        Err(error) => {
            lease.reset();
            debug!("taking the lease on orders failed: {error}");
        }
    }
}

/// Stage changes that are needed among the engines of configured services. Records of endpoints may
/// name other services.
fn changes(node: &Node, plans: &mut Plans) -> Vec<(String, Change)> {
    let Some(table) = node.table() else {
        return Vec::new();
    };
    let has_engines =
        |name: &str| table.services.get(name).is_some_and(|service| service.engine.is_some());
    let now = node.now();
    let mut pool = node.pool();
    let times: HashMap<Key, f64> =
        pool.relative_times(now).into_iter().map(|(key, time)| (key, time.to_fast)).collect();
    let mut needed = Vec::new();
    for (service, engines) in pool.engines().into_iter().filter(|entry| has_engines(entry.0)) {
        let plan = plans.entry(service.to_owned()).or_default();
        let engine = table.services.get(service).and_then(|service| service.engine.as_ref());
        let capacity = engine.map_or(0, |engine| engine.kv_capacity_tokens);
        plan.record_speeds(times.clone(), pool.occupancy(service, capacity));
        let changes = plan.changes(&engines, now).into_iter();
        needed.extend(changes.map(|change| (service.to_owned(), change)));
    }
    needed
}

/// Adds the orders of an earlier holder to the plans, except for those that are carried out
/// already.
fn add_earlier_orders(node: &Node, plans: &mut Plans, record: &LeaseRecord) {
    let now = node.now();
    let pool = node.pool();
    for (service, engines) in pool.engines() {
        let plan = plans.entry(service.to_owned()).or_default();
        for (key, engine) in engines {
            let tag = engine.tag();
            let order = record.orders.iter().find(|order| order.0 == tag);
            if let Some((_, stage)) = order.filter(|order| order.1 != engine.stage) {
                plan.record_peer_order(Change { key, stage: *stage }, now);
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
    let value = page
        .records
        .iter()
        .rfind(|record| record.key == KEY)
        .and_then(|record| record.value.as_deref());
    let record = value.map(decode_record);
    if let Some(record) = &record {
        add_earlier_orders(node, plans, record);
    }
    let changes = changes(node, plans);
    if changes.is_empty() {
        return Ok(None);
    }
    let current = Record { holder: record.map(|record| record.holder), end: page.end };
    let Step::Append { end } = lease.step(&current, node.now()) else {
        return Ok(None);
    };
    let orders = orders(node, &changes);
    let record = LeaseRecord { holder: node.settings.vm.clone(), orders };
    let value = bincode::serialize(&record).unwrap_or_default();
    // Tokens start at one: zero may stand for no token.
    let offset = client.append(TOPIC, KEY, &value, Some(end)).await?;
    Ok(Some((offset + 1, changes)))
}

/// Decodes the record of the lease. A record of another version, which can't be decoded, counts as
/// held by another node, which may be giving orders.
fn decode_record(bytes: &[u8]) -> LeaseRecord {
    bincode::deserialize(bytes).unwrap_or_else(|error| {
        warn!(why:% = error; "{}", event::SKIPPED);
        LeaseRecord::default()
    })
}

fn orders(node: &Node, changes: &[(String, Change)]) -> Vec<(Tag, Stage)> {
    let pool = node.pool();
    let stages =
        changes.iter().filter_map(|(_, change)| Some((pool.get(change.key)?, change.stage)));
    stages.map(|(engine, stage)| (engine.tag(), stage)).collect()
}

async fn send_order(node: Arc<Node>, change: Change, fence: u64) {
    let Some(endpoint) = node.pool().get(change.key).cloned() else {
        return;
    };
    let request = engine::order_stage_change(&endpoint, change.stage, &node.settings.vm, fence);
    let answer = node.control.call(&endpoint, request, ORDER_TIMEOUT).await;
    let id = endpoint.id;
    let stage = format!("{:?}", change.stage);
    let outcome = answer.map(|answer| engine::parse_order_outcome(answer.status));
    if matches!(outcome, Ok(OrderOutcome::Taken)) {
        node.pool().record_stage_order(change.key, change.stage, node.now());
        node.heartbeat_due.notify_one();
    }
    match outcome {
        Ok(OrderOutcome::Fenced) => info!(id, stage, fence, outcome = "fenced"; "{}", event::ORDER),
        Ok(outcome) => info!(id, stage, fence, outcome:? = outcome; "{}", event::ORDER),
        Err(error) => info!(id, stage, fence, outcome:% = error; "{}", event::ORDER),
    }
}
