//! Borrows connections to the endpoints of a service while this node has more requests there than its even share of their cap.
//!
//! `coordination::connections` decides what is needed, and the owner of the cap (`quota`) what is granted. A node that needs more
//! asks some times a second and once for each lease, whatever the number of endpoints.

use crate::members::Subject;
use crate::node::{Node, lock};
use crate::quota::{self, Grant};
use crosslane_coordination::connections::{self, Plan};
use crosslane_state::endpoint::Tag;
use crosslane_state::organisation::Limit;
use crosslane_state::route::Table;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Interval at which needs are looked at.
const INTERVAL: Duration = Duration::from_millis(250);

/// Cost of a lease, in the unit of what is lent.
const LEASE_COST: u32 = 1;

/// Borrows and gives back until the process ends.
pub async fn borrow_as_needed(node: Arc<Node>) {
    loop {
        sleep(INTERVAL).await;
        let Some(table) = node.table() else { continue };
        for (service, known) in &table.services {
            if let Some(cap) = known.max_connections {
                plan(&node, &table, service, cap).await;
            }
        }
        end_others(&node, &table);
    }
}

/// Ends the leases for services that are no longer configured.
fn end_others(node: &Node, table: &Table) {
    let mut leases = lock(&node.connection_leases);
    let gone = leases.extract_if(|service, _| !table.services.contains_key(service));
    spend(gone.flat_map(|(_, leases)| leases.end()));
}

async fn plan(node: &Arc<Node>, table: &Table, service: &str, cap: u32) {
    let subject = Subject::Connections(Tag::of(service));
    quota::start_bucket(node, subject);
    let share = connections::share(cap, serving(node));
    let Plan { expired, unneeded, missing } = {
        // Held until the leases are changed, so that no request begins under one that is given back.
        let pool = node.pool();
        let mut leases = lock(&node.connection_leases);
        let leases = leases.entry(service.to_owned()).or_default();
        leases.plan(pool.requests_at(service), share, node.now())
    };
    spend(expired);
    if !unneeded.is_empty() {
        let addresses = node.pool().addresses(service);
        addresses.into_iter().for_each(|address| node.idle_connections.close_all(address));
    }
    drop::<Vec<Grant>>(unneeded);
    let limit = lent(node, table, service, cap);
    for _ in 0..missing {
        let Ok(grant) = quota::acquire(node, subject, limit, LEASE_COST).await else { return };
        let now = node.now();
        lock(&node.connection_leases).entry(service.to_owned()).or_default().add(grant, now);
    }
}

/// Ends leases without a refund: connections may still be open under them, and the bucket forgets them when none is.
fn spend(grants: impl IntoIterator<Item = Grant>) {
    grants.into_iter().for_each(|grant| {
        grant.mark_sent();
    });
}

fn serving(node: &Node) -> usize {
    lock(&node.members).live_and_serving(node.now()).1
}

fn lent(node: &Node, table: &Table, service: &str, cap: u32) -> Limit {
    connections::lent(cap, serving(node), table.longest_timeout_ms(service))
}

/// Limit of what is lent of the connections to a service's endpoints, if they have a cap.
pub fn lent_by_tag(node: &Node, service: Tag) -> Option<Limit> {
    let table = node.table()?;
    let (name, known) = table.services.iter().find(|(name, _)| Tag::of(name) == service)?;
    Some(lent(node, &table, name, known.max_connections?))
}
