//! Distributed rate limiting: queries the owner of a limit before a request is sent, and replies to such queries as an owner.
//!
//! A limit is an organisation's, one that an endpoint names (`limit`), or what is lent of a retry budget or of the connections to
//! endpoints (`connections`); `coordination::quota` decides. Nodes that see
//! the same members choose the same owner, without agreement. An owner that doesn't reply is skipped for a while, and the next
//! one is queried. A node that is queried in place of an owner that it sees itself passes the query on to that one, and the refund
//! too: nodes see different members for some seconds, and a limit with two owners would be granted twice.
//!
//! Limits of organisations are held by votes; `organisations` decides on these.
//!
//! The priority of a request follows the query in its datagram (`extension`).

use crate::ballot;
use crate::connections;
use crate::event;
use crate::extension::{Extension, QueryContext};
use crate::limit;
use crate::members::{Message, Subject};
use crate::node::{Node, lock};
use crate::organisations;
use crate::peers;
use crate::refusal::{Reason, Refusal};
use crosslane_coordination::limits::{self, Update as LimitUpdate};
use crosslane_coordination::quota::{self, Charge, Decision, Misses, Quota, Tolerance};
use crosslane_state::endpoint::Tag;
use crosslane_state::organisation::{Limit, Organisation};
use crosslane_state::priority::Priority;
use crosslane_state::route::Route;
use crosslane_state::time::Millis;
use derive_more::Display;
use log::info;
use std::collections::{HashMap, VecDeque};
use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Timeout of a query: a round trip of 3 ms, plus the time for which a message waits on the smallest VMs during a burst.
/// Two timeouts in a row still leave time for a call with a latency target of 120 ms.
pub(crate) const QUERY_TIMEOUT: Duration = Duration::from_millis(40);

/// Timeout of a query that is passed on. Two of them, to the owners before a deputy, fit into the timeout of the query itself.
const PASS_ON_TIMEOUT: Duration = Duration::from_millis(15);

/// Age from which a grant of an organisation is taken anew before its request is sent, in milliseconds.
const RENEWED_AFTER_MS: u64 = 1_000;

/// Time for which the granter of a query that was passed on is remembered for its refund, which comes within 2 s.
const PASSED_ON_TTL_MS: u64 = 3_000;

/// Maximum number of remembered granters; the oldest is dropped, and its refund is not passed on.
const MAX_PASSED_ON: usize = 4_096;

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
struct Pending {
    reply: oneshot::Sender<Decision>,
    subject: Subject,
    cost: u32,
    asked_at: Millis,
}

/// A query of another node.
#[derive(Clone, Copy, Debug)]
pub struct Query {
    /// Number, repeated in the reply.
    pub number: u32,
    /// Subject of the limit.
    pub subject: Subject,
    /// Cost of the request.
    pub cost: u32,
    /// The limit of an endpoint as that node has it.
    pub named: Option<LimitUpdate>,
    /// What accompanies the query.
    pub context: QueryContext,
}

/// A grant of another node that was passed on, or one of this node as a deputy.
#[derive(Clone, Copy, Debug)]
struct PassedOn {
    subject: Subject,
    cost: u32,
    querier: IpAddr,
    granter: IpAddr,
    at: Millis,
}

/// Token buckets of the limits that this node decides on, and its pending queries to other owners.
#[derive(Debug)]
pub struct Limiter {
    /// Limits that this node owns, or decides on in the owner's place.
    pub(crate) owned: Mutex<Quota>,
    /// The deputies' parts of organisations' limits.
    pub(crate) deputies: Mutex<Quota>,
    /// Even shares, used while no owner replies.
    pub(crate) shares: Mutex<Quota>,
    /// Queries without a reply, by number.
    pending: Mutex<HashMap<u32, Pending>>,
    /// Owners that did not reply.
    pub(crate) unresponsive: Mutex<HashMap<IpAddr, Misses>>,
    /// Grants that were passed on to other nodes, oldest first.
    passed_on: Mutex<VecDeque<PassedOn>>,
    next_number: AtomicU32,
    /// When what was granted was last logged.
    pub(crate) reported_at: Mutex<Millis>,
}

impl Limiter {
    /// A limiter with nothing used yet.
    pub fn new(bound: Tolerance) -> Self {
        Self::with_owned(Quota::new(bound), bound)
    }

    /// A limiter of limits that nodes hold by votes. What they grant besides is part of the tolerance.
    pub fn leased(bound: Tolerance) -> Self {
        Self::with_owned(Quota::leased(bound), bound.strict())
    }

    /// A limiter whose owned buckets gain only while this node attends to them.
    pub fn attended(bound: Tolerance) -> Self {
        Self::with_owned(Quota::attended(bound), bound)
    }

    fn with_owned(owned: Quota, bound: Tolerance) -> Self {
        Self {
            owned: Mutex::new(owned),
            deputies: Mutex::new(Quota::leased(bound.strict())),
            shares: Mutex::new(Quota::new(bound)),
            pending: Mutex::default(),
            unresponsive: Mutex::default(),
            passed_on: Mutex::default(),
            next_number: AtomicU32::default(),
            reported_at: Mutex::default(),
        }
    }

    /// Replaces the tolerance of limits that nodes hold by votes.
    pub fn set_tolerance(&self, tolerance: Tolerance) {
        lock(&self.owned).set_tolerance(tolerance);
        lock(&self.deputies).set_tolerance(tolerance.strict());
        lock(&self.shares).set_tolerance(tolerance.strict());
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
        lock(&self.pending).insert(number, Pending { reply, subject, cost, asked_at });
        (number, receiver)
    }

    /// Delivers an owner's reply. Returns the subject and cost to refund if it grants a request that no longer waits.
    pub fn resolve(&self, number: u32, decision: Decision) -> Option<(Subject, u32)> {
        let Pending { reply, subject, cost, .. } = lock(&self.pending).remove(&number)?;
        let abandoned = reply.send(decision).is_err();
        (abandoned && decision == Decision::Granted).then_some((subject, cost))
    }

    /// Refunds a grant that another node did not use.
    pub fn refund(&self, subject: Subject, cost: u32) {
        lock(&self.owned).refund(subject.tag(), cost);
    }

    /// Charges the cost of a run that is repeated.
    pub fn charge(&self, subject: Subject, cost: u32) {
        lock(&self.owned).charge(subject.tag(), cost);
    }

    /// Records that another node granted a query that `querier` sent to this one.
    pub fn record_passed_on(
        &self,
        (subject, cost): (Subject, u32),
        querier: IpAddr,
        granter: IpAddr,
        at: Millis,
    ) {
        let mut passed_on = lock(&self.passed_on);
        if passed_on.len() >= MAX_PASSED_ON {
            passed_on.pop_front();
        }
        passed_on.push_back(PassedOn { subject, cost, querier, granter, at });
    }

    /// Takes the node that granted a query of `querier` to this one, if it was passed on.
    pub fn take_granter(&self, subject: Subject, cost: u32, querier: IpAddr) -> Option<IpAddr> {
        let mut passed_on = lock(&self.passed_on);
        let place = passed_on.iter().position(|known| {
            known.subject == subject && known.cost == cost && known.querier == querier
        })?;
        passed_on.remove(place).map(|known| known.granter)
    }

    /// Removes expired state.
    pub fn remove_expired(&self, now: Millis) {
        lock(&self.owned).expire(now);
        lock(&self.shares).expire(now);
        lock(&self.unresponsive).retain(|_, misses| !misses.is_stale(now));
        lock(&self.passed_on).retain(|known| now.since(known.at) < PASSED_ON_TTL_MS);
        lock(&self.pending).retain(|_, query| now.since(query.asked_at) < LATE_REPLY_MS);
    }
}

/// Cost granted from a limit; refunded on drop unless the request was sent.
#[derive(Debug)]
pub struct Grant {
    node: Arc<Node>,
    debit: Mutex<Option<Debit>>,
    sent: AtomicBool,
}

/// Cost taken from a limit, and who granted it.
#[derive(Clone, Copy, Debug)]
struct Debit {
    subject: Subject,
    cost: u32,
    source: Source,
    granted_at: Millis,
    priority: Option<Priority>,
}

impl Debit {
    /// Whether the cost is given back if it is not used. What is lent to nodes is given back at any time.
    fn is_refunded(&self, now: Millis) -> bool {
        match self.subject {
            Subject::Organisation(_) => quota::is_refunded(self.granted_at, now),
            Subject::Endpoint(_) | Subject::Retries(_) | Subject::Connections(_) => true,
        }
    }
}

impl Grant {
    /// A grant without a limit.
    pub fn unlimited(node: &Arc<Node>) -> Self {
        Self::new(node, None)
    }

    fn new(node: &Arc<Node>, debit: Option<Debit>) -> Self {
        Self { node: node.clone(), debit: Mutex::new(debit), sent: AtomicBool::new(false) }
    }

    /// Marks the request as sent; returns whether it was marked before.
    pub fn mark_sent(&self) -> bool {
        self.sent.swap(true, Ordering::Relaxed)
    }

    /// Whether the request is marked as sent.
    pub fn was_sent(&self) -> bool {
        self.sent.load(Ordering::Relaxed)
    }

    /// Charges the cost once more if the request has run before: each run counts against the limit of an organisation. A run that
    /// breaks off is continued whatever is left of the limit; later requests get less.
    pub fn charge_repeat(&self) {
        let Some(Debit { subject, cost, source, .. }) = *lock(&self.debit) else {
            return;
        };
        let is_limited = matches!(subject, Subject::Organisation(_));
        if !is_limited || !self.sent.load(Ordering::Relaxed) {
            return;
        }
        let limiter = self.node.limiter(subject);
        match source {
            Source::EvenShare => lock(&limiter.shares).charge(subject.tag(), cost),
            Source::Owner(ip) if ip == self.node.settings.ip => limiter.charge(subject, cost),
            Source::Owner(ip) => {
                let number = limiter.next_number.fetch_add(1, Ordering::Relaxed);
                let message = Message::QuotaRequest { number, subject, cost, limit: None };
                let context = QueryContext { repeats: true, ..QueryContext::default() };
                let extension = Extension { query: vec![context], ..Extension::default() };
                peers::try_send_with(&self.node, &message, &extension, ip);
            }
        }
    }

    /// Takes the cost anew if it was taken so long ago that another window counts it: requests that wait for memory after their grant would
    /// be sent in addition to all that the limit grants by then.
    pub async fn renew(&self, request: &str) -> Result<(), Refusal> {
        let Some(Debit { subject, cost, granted_at, priority, .. }) = *lock(&self.debit) else {
            return Ok(());
        };
        let Subject::Organisation(organisation) = subject else {
            return Ok(());
        };
        let node = &self.node;
        let limit = configured(node, organisation);
        let limit = limit.filter(|_| node.now().since(granted_at) >= RENEWED_AFTER_MS);
        let Some(limit) = limit else {
            return Ok(());
        };
        match acquire_urgent(node, subject, limit, cost, priority).await {
            Ok(renewed) => {
                *lock(&self.debit) = lock(&renewed.debit).take();
                Ok(())
            }
            Err(Exceeded { wait_ms, source }) => {
                let waited_ms = node.now().since(granted_at);
                info!(request, cost, waited_ms, source:%, wait_ms; "{}", event::OVER_QUOTA);
                Err(Refusal::retry_after(Reason::OverQuota, Duration::from_millis(wait_ms)))
            }
        }
    }

    /// Marks the request as not sent, so that its cost is refunded.
    pub fn mark_unsent(&self) {
        self.sent.store(false, Ordering::Relaxed);
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        let unused = !self.sent.load(Ordering::Relaxed);
        let now = self.node.now();
        let refunded = lock(&self.debit).take();
        let refunded = refunded.filter(|debit| unused && debit.is_refunded(now));
        let Some(Debit { subject, cost, source, .. }) = refunded else {
            return;
        };
        let limiter = self.node.limiter(subject);
        match source {
            Source::EvenShare => lock(&limiter.shares).refund(subject.tag(), cost),
            Source::Owner(ip) if ip == self.node.settings.ip => {
                refund(&self.node, subject, cost, ip);
            }
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
    route: &Route,
    tokens: Option<u32>,
    request: &str,
) -> Result<Grant, Refusal> {
    let limited = organisation.and_then(|known| known.limit.map(|limit| (known, limit)));
    let Some((organisation, limit)) = limited else {
        return Ok(Grant::unlimited(node));
    };
    let cost = organisation.unit.cost(tokens);
    let subject = Subject::Organisation(organisation.tag());
    let priority = Priority { organisation: organisation.priority, route: route.priority };
    match acquire_urgent(node, subject, limit, cost, Some(priority)).await {
        Ok(grant) => Ok(grant),
        Err(Exceeded { wait_ms, source }) => {
            let organisation = organisation.name.as_str();
            let priority = route.priority;
            info!(request, organisation, cost, priority, source:%, wait_ms; "{}", event::OVER_QUOTA);
            Err(Refusal::retry_after(Reason::OverQuota, Duration::from_millis(wait_ms)))
        }
    }
}

/// Takes a retry from the part of a service's budget that its owner lends. It counts as used even if nothing is sent.
pub async fn borrow_retry(node: &Arc<Node>, service: &str) -> Result<Source, Exceeded> {
    let subject = Subject::Retries(Tag::of(service));
    let limit = node.adjustable().retry_budget.lent();
    let grant = acquire(node, subject, limit, RETRY_COST).await?;
    grant.mark_sent();
    let debit = *lock(&grant.debit);
    Ok(debit.map_or(Source::EvenShare, |debit| debit.source))
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
    acquire_urgent(node, subject, limit, cost, None).await
}

/// Takes the cost of a request of some priority from a limit if its owner grants it.
async fn acquire_urgent(
    node: &Arc<Node>,
    subject: Subject,
    limit: Limit,
    cost: u32,
    priority: Option<Priority>,
) -> Result<Grant, Exceeded> {
    let charge = Charge { subject: subject.tag(), limit, cost, draw: rand::random(), priority };
    let (decision, source) = decide(node, subject, charge).await;
    if let Decision::OverLimit { wait: wait_ms } = decision {
        return Err(Exceeded { wait_ms, source });
    }
    let granted_at = node.now();
    Ok(Grant::new(node, Some(Debit { subject, cost, source, granted_at, priority })))
}

/// Decision of the owner, of the next node in its place, or of this node alone.
async fn decide(node: &Arc<Node>, subject: Subject, charge: Charge) -> (Decision, Source) {
    if let Subject::Organisation(_) = subject {
        return organisations::decide(node, subject, charge).await;
    }
    let owners = owners(node, subject);
    if let Some((decision, owner)) = ask(node, subject, charge, &owners, false).await {
        return (decision, Source::Owner(owner));
    }
    let share = 1.0 / sharers(node, subject) as f64;
    let charge = as_deputy(charge);
    let shares = &node.limiter(subject).shares;
    (lock(shares).decide_alone(charge, share, node.now()), Source::EvenShare)
}

/// Decision of the first of some owners that decides.
async fn ask(
    node: &Node,
    subject: Subject,
    charge: Charge,
    owners: &[IpAddr],
    passed_on: bool,
) -> Option<(Decision, IpAddr)> {
    let limiter = node.limiter(subject);
    for owner in owners.iter().copied() {
        let misses = lock(&limiter.unresponsive).get(&owner).copied();
        if misses.is_some_and(|known| known.should_skip(node.now())) {
            continue;
        }
        let decision = if owner == node.settings.ip {
            Some(decide_as_owner(node, subject, charge))
        } else {
            query(node, subject, charge, owner, passed_on).await
        };
        let Some(decision) = decision else {
            // The short time of a query that is passed on says little about the owner.
            if !passed_on {
                lock(&limiter.unresponsive).entry(owner).or_default().miss(node.now());
            }
            continue;
        };
        lock(&limiter.unresponsive).remove(&owner);
        if decision != Decision::Undecided {
            return Some((decision, owner));
        }
    }
    None
}

/// Attends to the buckets of the organisations and of the retry budgets that this node owns.
pub fn attend(node: &Node) {
    organisations::hold(node);
    attend_to(node, Subject::Retries);
    organisations::report(node);
}

fn attend_to(node: &Node, subject: impl Fn(Tag) -> Subject) {
    let any = subject(Tag::default());
    if !quota::may_own(fleet_share(node, any)) {
        return;
    }
    let mut owned = lock(&node.limiter(any).owned);
    owned.attend(|tag| owns(node, subject(tag)), node.now());
    node.metrics.reserved.inc_by(owned.take_withheld());
}

/// Part of the nodes among which a limit is divided that this node sees.
fn fleet_share(node: &Node, subject: Subject) -> f64 {
    let (live, _) = lock(&node.members).live_and_serving(node.now());
    live as f64 / sharers(node, subject) as f64
}

/// Number of nodes among which a limit is divided, including this one.
pub(crate) fn sharers(node: &Node, subject: Subject) -> usize {
    let (members, now) = (lock(&node.members), node.now());
    match subject {
        Subject::Retries(_) => members.retry_budget_sharers(now),
        Subject::Organisation(_) | Subject::Endpoint(_) | Subject::Connections(_) => {
            members.live_and_serving(now).1
        }
    }
}

/// Number of nodes among which the slack of retry budgets is divided, if this node knows the others.
pub fn retry_sharers(node: &Node) -> Option<usize> {
    knows_fleet(node).then(|| lock(&node.members).retry_budget_sharers(node.now()))
}

/// Whether this node knows the members of the fleet. One that has not read their addresses knows the seeds only, which are known
/// to all.
pub fn knows_fleet(node: &Node) -> bool {
    node.known_others().is_some() || node.is_seed() || lock(&node.members).count() == 0
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

/// Reduces a limit that is decided on in the place of its first owner, which may grant at the same time.
fn as_deputy(charge: Charge) -> Charge {
    Charge { limit: limits::backup_limit(charge.limit), ..charge }
}

/// Decides on a request as the limit's owner, or in the owner's place.
fn decide_as_owner(node: &Node, subject: Subject, mut charge: Charge) -> Decision {
    let now = node.now();
    if matches!(subject, Subject::Retries(_)) && !knows_fleet(node) {
        return Decision::Undecided;
    }
    if !owns(node, subject) {
        charge = as_deputy(charge);
    }
    let share = fleet_share(node, subject);
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
async fn query(
    node: &Node,
    subject: Subject,
    charge: Charge,
    owner: IpAddr,
    passed_on: bool,
) -> Option<Decision> {
    let receiver = send_query(node, subject, charge, owner, passed_on);
    let limit = if passed_on { PASS_ON_TIMEOUT } else { QUERY_TIMEOUT };
    let reply = timeout(limit, receiver).await;
    if reply.is_err() {
        node.metrics.count_late_reply("missed");
    }
    reply.ok()?.ok()
}

/// Sends a query to an owner; returns the receiver of the reply.
pub(crate) fn send_query(
    node: &Node,
    subject: Subject,
    charge: Charge,
    owner: IpAddr,
    passed_on: bool,
) -> oneshot::Receiver<Decision> {
    let Charge { cost, priority, .. } = charge;
    let limit = match subject {
        Subject::Organisation(_) | Subject::Retries(_) | Subject::Connections(_) => None,
        Subject::Endpoint(endpoint) => node.limits().latest(endpoint),
    };
    let (number, receiver) = node.limiter(subject).register(subject, cost, node.now());
    let context = QueryContext { priority, passed_on, repeats: false };
    let query = Some(context).filter(|known| *known != QueryContext::default());
    let extension = Extension { query: query.into_iter().collect(), ..Extension::default() };
    let message = Message::QuotaRequest { number, subject, cost, limit };
    peers::try_send_with(node, &message, &extension, owner);
    receiver
}

/// Answers another node's query: itself, or by the nodes that hold the limit if this one holds nothing of it.
pub fn answer(node: &Arc<Node>, query: Query, from: IpAddr) {
    let Query { number, subject, cost, context, .. } = query;
    if context.repeats {
        return node.limiter(subject).charge(subject, cost);
    }
    let own = node.settings.ip;
    let holders = match subject {
        Subject::Organisation(limit)
            if !context.passed_on && ballot::should_pass_on(node, limit, from) =>
        {
            ballot::asked(node, limit)
        }
        _ => Vec::new(),
    };
    let holders: Vec<IpAddr> = holders.into_iter().filter(|ip| ![own, from].contains(ip)).collect();
    let charge = charge(node, query).filter(|_| !holders.is_empty());
    let Some(charge) = charge else {
        peers::try_send(node, &reply(node, query, from), from);
        return;
    };
    let node = node.clone();
    tokio::spawn(async move {
        let Some((decision, granter)) = ask(&node, subject, charge, &holders, true).await else {
            return peers::try_send(&node, &reply(&node, query, from), from);
        };
        node.metrics.passed_on.inc();
        if decision == Decision::Granted {
            let debit = (subject, charge.cost);
            node.limiter(subject).record_passed_on(debit, from, granter, node.now());
        }
        peers::try_send(&node, &Message::QuotaReply { number, subject, decision }, from);
    });
}

/// Refunds a grant that a node did not use, to the node that granted it.
pub fn refund(node: &Node, subject: Subject, cost: u32, from: IpAddr) {
    match node.limiter(subject).take_granter(subject, cost, from) {
        Some(granter) if granter == node.settings.ip => {
            lock(&node.limiter(subject).deputies).refund(subject.tag(), cost);
        }
        Some(granter) => peers::try_send(node, &Message::QuotaRefund { subject, cost }, granter),
        None => node.limiter(subject).refund(subject, cost),
    }
}

/// Replies to another node's query by this node's own decision.
fn reply(node: &Node, query: Query, from: IpAddr) -> Message {
    let Query { number, subject, named, .. } = query;
    let default = match subject {
        // The endpoint no longer names a limit, and the querying node gets that update separately; or this node does
        // not know yet that the endpoint is cold.
        Subject::Endpoint(_) if named.is_some_and(|update| update.rate.is_some()) => {
            Decision::Granted
        }
        _ => Decision::Undecided,
    };
    let decision = charge(node, query).map_or(default, |charge| match subject {
        Subject::Organisation(_) => organisations::decide_in_office(node, subject, charge, from),
        _ => decide_as_owner(node, subject, charge),
    });
    Message::QuotaReply { number, subject, decision }
}

/// Charge of another node's query, if this node knows the limit.
fn charge(node: &Node, query: Query) -> Option<Charge> {
    let Query { subject, cost, context, .. } = query;
    let limit = match subject {
        Subject::Organisation(organisation) => configured(node, organisation),
        Subject::Retries(_) => Some(node.adjustable().retry_budget.lent()),
        Subject::Connections(service) => connections::lent_by_tag(node, service),
        Subject::Endpoint(endpoint) => limit::endpoint_limit(node, endpoint),
    }?;
    let (subject, priority) = (subject.tag(), context.priority);
    Some(Charge { subject, limit, cost, draw: rand::random(), priority })
}

/// Configured limit of an organisation.
pub(crate) fn configured(node: &Node, organisation: Tag) -> Option<Limit> {
    let table = node.table()?;
    table.organisations.as_ref()?.by_tag(organisation)?.limit
}
