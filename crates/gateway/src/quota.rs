//! Distributed rate limiting: queries the owner of a limit before a request is sent, and replies to such queries as an owner.
//!
//! A limit is an organisation's, one that an endpoint names (`limit`), or what is lent of a retry budget or of the connections to
//! endpoints (`connections`); `coordination::quota` decides. Nodes that see
//! the same members choose the same owner, without agreement. An owner that doesn't reply is skipped for a while, and the next
//! one is queried.

use crate::connections;
use crate::event;
use crate::limit;
use crate::members::{Message, Subject};
use crate::node::{Node, lock};
use crate::peers;
use crate::refusal::{Reason, Refusal};
use crosslane_coordination::limits::{self, Update as LimitUpdate};
use crosslane_coordination::quota::{Charge, Decision, Misses, Quota, Tolerance};
use crosslane_state::endpoint::Tag;
use crosslane_state::organisation::{Limit, Organisation};
use crosslane_state::time::Millis;
use derive_more::Display;
use log::info;
use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Timeout of a query: a round trip of 3 ms, plus the time for which a message waits on the smallest VMs during a burst.
/// Two timeouts in a row still leave time for a call with a latency target of 120 ms.
const QUERY_TIMEOUT: Duration = Duration::from_millis(40);

/// Cost of a retry, in the unit of a retry budget.
const RETRY_COST: u32 = 1;

/// Time for which a query is remembered, so that a grant in a late reply can be refunded.
const LATE_REPLY_MS: u64 = 5_000;

/// Who decided on a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Source {
    /// The owner, or the next node in its place.
    #[display("{_0}")]
    Owner(IpAddr),
    /// This node, from its even share, since no owner replied.
    #[display("alone")]
    EvenShare,
}

/// A query to an owner that has no reply yet.
#[derive(Debug)]
struct Query {
    reply: oneshot::Sender<Decision>,
    subject: Subject,
    cost: u32,
    asked_at: Millis,
}

/// Token buckets of the limits that this node decides on, and its pending queries to other owners.
#[derive(Debug)]
pub struct Limiter {
    /// Limits that this node owns, or decides on in the owner's place.
    owned: Mutex<Quota>,
    /// Even shares, used while no owner replies.
    shares: Mutex<Quota>,
    /// Queries without a reply, by number.
    pending: Mutex<HashMap<u32, Query>>,
    /// Owners that did not reply.
    unresponsive: Mutex<HashMap<IpAddr, Misses>>,
    next_number: AtomicU32,
}

impl Limiter {
    /// A limiter with nothing used yet.
    pub fn new(bound: Tolerance) -> Self {
        Self {
            owned: Mutex::new(Quota::new(bound)),
            shares: Mutex::new(Quota::new(bound)),
            pending: Mutex::default(),
            unresponsive: Mutex::default(),
            next_number: AtomicU32::default(),
        }
    }

    /// Replaces the tolerance of the limits.
    pub fn set_tolerance(&self, tolerance: Tolerance) {
        lock(&self.owned).set_tolerance(tolerance);
        lock(&self.shares).set_tolerance(tolerance);
    }

    /// Registers a query to an owner; returns its number and the receiver of the reply.
    pub fn register(
        &self,
        subject: Subject,
        cost: u32,
        asked_at: Millis,
    ) -> (u32, oneshot::Receiver<Decision>) {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (reply, receiver) = oneshot::channel();
        lock(&self.pending).insert(number, Query { reply, subject, cost, asked_at });
        (number, receiver)
    }

    /// Delivers an owner's reply. Returns the subject and cost to refund if it grants a request that no longer waits.
    pub fn resolve(&self, number: u32, decision: Decision) -> Option<(Subject, u32)> {
        let Query { reply, subject, cost, .. } = lock(&self.pending).remove(&number)?;
        let abandoned = reply.send(decision).is_err();
        (abandoned && decision == Decision::Granted).then_some((subject, cost))
    }

    /// Refunds a grant that another node did not use.
    pub fn refund(&self, subject: Subject, cost: u32) {
        lock(&self.owned).refund(subject.tag(), cost);
    }

    /// Removes expired state.
    pub fn remove_expired(&self, now: Millis) {
        lock(&self.owned).expire(now);
        lock(&self.shares).expire(now);
        lock(&self.unresponsive).retain(|_, misses| !misses.is_stale(now));
        lock(&self.pending).retain(|_, query| now.since(query.asked_at) < LATE_REPLY_MS);
    }
}

/// Cost granted from a limit; refunded on drop unless the request was sent.
#[derive(Debug)]
pub struct Grant {
    node: Arc<Node>,
    debit: Option<Debit>,
    sent: AtomicBool,
}

/// Cost taken from a limit, and who granted it.
#[derive(Clone, Copy, Debug)]
struct Debit {
    subject: Subject,
    cost: u32,
    source: Source,
}

impl Grant {
    /// A grant without a limit.
    pub fn unlimited(node: &Arc<Node>) -> Self {
        Self::new(node, None)
    }

    fn new(node: &Arc<Node>, debit: Option<Debit>) -> Self {
        Self { node: node.clone(), debit, sent: AtomicBool::new(false) }
    }

    /// Marks the request as sent; returns whether it was marked before.
    pub fn mark_sent(&self) -> bool {
        self.sent.swap(true, Ordering::Relaxed)
    }

    /// Marks the request as not sent, so that its cost is refunded.
    pub fn mark_unsent(&self) {
        self.sent.store(false, Ordering::Relaxed);
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        let unused = !self.sent.load(Ordering::Relaxed);
        let Some(Debit { subject, cost, source }) = self.debit.filter(|_| unused) else {
            return;
        };
        let limiter = self.node.limiter(subject);
        match source {
            Source::EvenShare => lock(&limiter.shares).refund(subject.tag(), cost),
            Source::Owner(ip) if ip == self.node.settings.ip => limiter.refund(subject, cost),
            Source::Owner(ip) => {
                peers::try_send(&self.node, &Message::QuotaRefund { subject, cost }, ip);
            }
        }
    }
}

/// Takes a request's cost from its organisation's limit, if it has one.
pub async fn acquire_for_organisation(
    node: &Arc<Node>,
    organisation: Option<&Organisation>,
    tokens: Option<u32>,
    request: &str,
) -> Result<Grant, Refusal> {
    let limited = organisation.and_then(|known| known.limit.map(|limit| (known, limit)));
    let Some((organisation, limit)) = limited else {
        return Ok(Grant::unlimited(node));
    };
    let cost = organisation.unit.cost(tokens);
    let subject = Subject::Organisation(organisation.tag());
    match acquire(node, subject, limit, cost).await {
        Ok(grant) => Ok(grant),
        Err(Exceeded { wait_ms, source }) => {
            let organisation = organisation.name.as_str();
            info!(request, organisation, cost, source:%, wait_ms; "{}", event::OVER_QUOTA);
            Err(Refusal::retry_after(Reason::OverQuota, Duration::from_millis(wait_ms)))
        }
    }
}

/// Takes a retry from the part of a service's budget that its owner lends. It counts as used even if nothing is sent.
pub async fn borrow_retry(node: &Arc<Node>, service: &str) -> bool {
    let subject = Subject::Retries(Tag::of(service));
    let borrowed = acquire(node, subject, node.adjustable().retry_budget.lent(), RETRY_COST).await;
    borrowed.is_ok_and(|grant| {
        grant.mark_sent();
        true
    })
}

/// The requested cost exceeds a limit.
#[derive(Clone, Copy, Debug)]
pub struct Exceeded {
    /// Estimated time until there is room.
    pub wait_ms: u64,
    /// Who decided.
    pub source: Source,
}

/// Takes a cost from a limit if its owner grants it.
pub async fn acquire(
    node: &Arc<Node>,
    subject: Subject,
    limit: Limit,
    cost: u32,
) -> Result<Grant, Exceeded> {
    let charge = Charge { subject: subject.tag(), limit, cost, draw: rand::random() };
    let (decision, source) = decide(node, subject, charge).await;
    if let Decision::OverLimit { wait: wait_ms } = decision {
        return Err(Exceeded { wait_ms, source });
    }
    Ok(Grant::new(node, Some(Debit { subject, cost, source })))
}

/// Decision of the owner, of the next node in its place, or of this node alone.
async fn decide(node: &Arc<Node>, subject: Subject, charge: Charge) -> (Decision, Source) {
    let owners = owners(node, subject);
    let limiter = node.limiter(subject);
    for owner in owners {
        let misses = lock(&limiter.unresponsive).get(&owner).copied();
        if misses.is_some_and(|known| known.should_skip(node.now())) {
            continue;
        }
        let decision = if owner == node.settings.ip {
            Some(decide_as_owner(node, subject, charge))
        } else {
            query(node, subject, charge, owner).await
        };
        let Some(decision) = decision else {
            lock(&limiter.unresponsive).entry(owner).or_default().miss(node.now());
            continue;
        };
        lock(&limiter.unresponsive).remove(&owner);
        if decision != Decision::Undecided {
            return (decision, Source::Owner(owner));
        }
    }
    let (_, serving) = lock(&node.members).live_and_serving(node.now());
    let share = 1.0 / serving as f64;
    let charge = as_deputy(subject, charge);
    (lock(&limiter.shares).decide_alone(charge, share, node.now()), Source::EvenShare)
}

/// Starts the bucket of a limit, if this node owns it.
pub fn start_bucket(node: &Node, subject: Subject) {
    if owns(node, subject) {
        lock(&node.limiter(subject).owned).open_bucket(subject.tag(), node.now());
    }
}

/// Nodes that may decide on a limit, in order of preference. Other nodes no longer query a stopping node, so it does not
/// decide either.
fn owners(node: &Node, subject: Subject) -> Vec<IpAddr> {
    let mut owners = lock(&node.members).owners(subject.tag(), node.now());
    if node.stopping.borrow().is_some() {
        owners.retain(|ip| *ip != node.settings.ip);
    }
    owners
}

/// Whether this node is the first owner of a limit.
fn owns(node: &Node, subject: Subject) -> bool {
    owners(node, subject).first() == Some(&node.settings.ip)
}

/// Reduces a limit that is decided on in the place of its first owner, which may grant at the same time. Limits of
/// organisations are not reduced: their tolerated overage covers it.
fn as_deputy(subject: Subject, charge: Charge) -> Charge {
    match subject {
        Subject::Organisation(_) => charge,
        Subject::Endpoint(_) | Subject::Retries(_) | Subject::Connections(_) => {
            Charge { limit: limits::backup_limit(charge.limit), ..charge }
        }
    }
}

/// Decides on a request as the limit's owner, or in the owner's place.
fn decide_as_owner(node: &Node, subject: Subject, mut charge: Charge) -> Decision {
    let now = node.now();
    if !owns(node, subject) {
        charge = as_deputy(subject, charge);
    }
    let (live, serving) = lock(&node.members).live_and_serving(now);
    let share = live as f64 / serving as f64;
    let decision = lock(&node.limiter(subject).owned).decide(charge, share, now);
    match (subject, decision) {
        (Subject::Endpoint(endpoint), Decision::OverLimit { wait }) => {
            let wait = lock(&node.queues).join(endpoint, charge.limit.units_per_second, wait, now);
            Decision::OverLimit { wait }
        }
        _ => decision,
    }
}

/// Queries an owner over the network; `None` without a reply in time.
async fn query(node: &Node, subject: Subject, charge: Charge, owner: IpAddr) -> Option<Decision> {
    let cost = charge.cost;
    let latest = match subject {
        Subject::Organisation(_) | Subject::Retries(_) | Subject::Connections(_) => None,
        Subject::Endpoint(endpoint) => node.limits().latest(endpoint),
    };
    let (number, receiver) = node.limiter(subject).register(subject, cost, node.now());
    peers::try_send(node, &Message::QuotaRequest { number, subject, cost, limit: latest }, owner);
    timeout(QUERY_TIMEOUT, receiver).await.ok()?.ok()
}

/// Replies to another node's query; `named` is the limit of an endpoint as that node has it.
pub fn reply(
    node: &Node,
    number: u32,
    subject: Subject,
    cost: u32,
    named: Option<LimitUpdate>,
) -> Message {
    let (limit, default) = match subject {
        Subject::Organisation(organisation) => {
            (configured(node, organisation), Decision::Undecided)
        }
        Subject::Retries(_) => (Some(node.adjustable().retry_budget.lent()), Decision::Undecided),
        Subject::Connections(service) => {
            (connections::lent_by_tag(node, service), Decision::Undecided)
        }
        Subject::Endpoint(endpoint) => {
            // The endpoint no longer names a limit, and the querying node gets that update separately; or this node does
            // not know yet that the endpoint is cold.
            let ended = named.is_some_and(|update| update.rate.is_some());
            let default = if ended { Decision::Granted } else { Decision::Undecided };
            (limit::endpoint_limit(node, endpoint), default)
        }
    };
    let decision = limit.map_or(default, |limit| {
        let charge = Charge { subject: subject.tag(), limit, cost, draw: rand::random() };
        decide_as_owner(node, subject, charge)
    });
    Message::QuotaReply { number, subject, decision }
}

/// Configured limit of an organisation.
fn configured(node: &Node, organisation: Tag) -> Option<Limit> {
    let table = node.table()?;
    table.organisations.as_ref()?.by_tag(organisation)?.limit
}
