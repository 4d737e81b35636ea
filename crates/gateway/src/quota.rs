//! Asks a limit's owner whether a request may be sent, and answers as an owner.
//!
//! A limit is an organisation's, or one that an endpoint names (`limit`). What is decided stands in `coordination::quota`.
//! The owner is the same at all nodes that hear of the same
//! others, without agreement; one that does not answer is passed over for a while, and the next one asked.

use crate::event;
use crate::limit;
use crate::members::{Message, Subject};
use crate::node::{Node, lock};
use crate::peers;
use crate::refusal::{Reason, Refusal};
use crosslane_coordination::limits;
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

/// Time for an owner's answer: a round trip of 3 ms, and the time for which the smallest VMs let a message wait
/// in a burst. Two of them leave time for a call with a target of 120 ms.
const ANSWER: Duration = Duration::from_millis(40);

/// Time for which a late answer is waited for, in milliseconds, to give back what it grants.
const LATE_ANSWER: u64 = 5_000;

/// Who ruled on a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Source {
    /// The owner, or the next one in its place.
    #[display("{_0}")]
    Owner(IpAddr),
    /// This node, with its even share: no owner answered.
    #[display("alone")]
    Alone,
}

/// A question to an owner.
#[derive(Debug)]
struct Question {
    waiting: oneshot::Sender<Decision>,
    subject: Subject,
    cost: u32,
    asked: Millis,
}

/// Limits as this node rules on them, and what it asks others.
#[derive(Debug)]
pub struct Desk {
    owned: Mutex<Quota>,
    alone: Mutex<Quota>,
    /// Questions that are not answered yet, by number.
    pending: Mutex<HashMap<u32, Question>>,
    /// Owners that did not answer.
    silent: Mutex<HashMap<IpAddr, Misses>>,
    next: AtomicU32,
}

impl Desk {
    /// Nothing used yet.
    pub fn new(bound: Tolerance) -> Self {
        Self {
            owned: Mutex::new(Quota::new(bound)),
            alone: Mutex::new(Quota::new(bound)),
            pending: Mutex::default(),
            silent: Mutex::default(),
            next: AtomicU32::default(),
        }
    }

    /// Notes a question to an owner; its number, and where the answer comes.
    pub fn ask(
        &self,
        subject: Subject,
        cost: u32,
        asked: Millis,
    ) -> (u32, oneshot::Receiver<Decision>) {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let (waiting, answer) = oneshot::channel();
        lock(&self.pending).insert(number, Question { waiting, subject, cost, asked });
        (number, answer)
    }

    /// Takes an owner's answer. What it granted to a request that waits no longer is to be given back: whose,
    /// and how much.
    pub fn hear(&self, number: u32, verdict: Decision) -> Option<(Subject, u32)> {
        let Question { waiting, subject, cost, .. } = lock(&self.pending).remove(&number)?;
        let unheard = waiting.send(verdict).is_err();
        (unheard && verdict == Decision::Granted).then_some((subject, cost))
    }

    /// Takes back what another node was granted and did not use.
    pub fn hear_back(&self, subject: Subject, cost: u32) {
        lock(&self.owned).refund(subject.tag(), cost);
    }

    /// Forgets what is over.
    pub fn tidy(&self, now: Millis) {
        lock(&self.owned).expire(now);
        lock(&self.alone).expire(now);
        lock(&self.silent).retain(|_, it| !it.is_stale(now));
        lock(&self.pending).retain(|_, it| now.since(it.asked) < LATE_ANSWER);
    }
}

/// What a request took of a limit; given back when dropped, unless the request was sent.
#[derive(Debug)]
pub struct Grant {
    node: Arc<Node>,
    taken: Option<Taken>,
    sent: AtomicBool,
}

#[derive(Clone, Copy, Debug)]
struct Taken {
    subject: Subject,
    cost: u32,
    source: Source,
}

impl Grant {
    /// Of no limit.
    pub fn unlimited(node: &Arc<Node>) -> Self {
        Self::new(node, None)
    }

    fn new(node: &Arc<Node>, taken: Option<Taken>) -> Self {
        Self { node: node.clone(), taken, sent: AtomicBool::new(false) }
    }

    /// Notes that the request is sent; whether it was before.
    pub fn sent(&self) -> bool {
        self.sent.swap(true, Ordering::Relaxed)
    }

    /// Notes that it does not count after all, nor before.
    pub fn unsent(&self) {
        self.sent.store(false, Ordering::Relaxed);
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        let unused = !self.sent.load(Ordering::Relaxed);
        let Some(Taken { subject, cost, source }) = self.taken.filter(|_| unused) else {
            return;
        };
        let desk = self.node.desk(subject);
        match source {
            Source::Alone => lock(&desk.alone).refund(subject.tag(), cost),
            Source::Owner(ip) if ip == self.node.settings.ip => desk.hear_back(subject, cost),
            Source::Owner(ip) => {
                peers::post(&self.node, &Message::GivenBack { subject, cost }, ip);
            }
        }
    }
}

/// Takes what a request costs from its organisation's limit, if it has one.
pub async fn take(
    node: &Arc<Node>,
    organisation: Option<&Organisation>,
    tokens: Option<u32>,
    request: &str,
) -> Result<Grant, Refusal> {
    let limited = organisation.and_then(|it| it.limit.map(|limit| (it, limit)));
    let Some((organisation, limit)) = limited else {
        return Ok(Grant::unlimited(node));
    };
    let cost = organisation.unit.cost(tokens);
    let subject = Subject::Organisation(organisation.tag());
    match ask(node, subject, limit, cost).await {
        Ok(grant) => Ok(grant),
        Err(Over { wait_ms, source }) => {
            let organisation = organisation.name.as_str();
            info!(request, organisation, cost, source:%, wait_ms; "{}", event::OVER_QUOTA);
            Err(Refusal::later(Reason::OverQuota, Duration::from_millis(wait_ms)))
        }
    }
}

/// What is asked for is over a limit.
#[derive(Clone, Copy, Debug)]
pub struct Over {
    /// Time until there should be room, in milliseconds.
    pub wait_ms: u64,
    /// Who ruled so.
    pub source: Source,
}

/// Takes something from a limit, as its owner rules.
pub async fn ask(
    node: &Arc<Node>,
    subject: Subject,
    limit: Limit,
    cost: u32,
) -> Result<Grant, Over> {
    let ask = Charge { subject: subject.tag(), limit, cost, draw: rand::random() };
    let (verdict, source) = rule(node, subject, ask).await;
    if let Decision::OverLimit { wait: wait_ms } = verdict {
        return Err(Over { wait_ms, source });
    }
    Ok(Grant::new(node, Some(Taken { subject, cost, source })))
}

/// What the owner says, the next one in its place, or this node alone.
async fn rule(node: &Arc<Node>, subject: Subject, ask: Charge) -> (Decision, Source) {
    let owners = owners(node, subject);
    let desk = node.desk(subject);
    for owner in owners {
        let silence = lock(&desk.silent).get(&owner).copied();
        if silence.is_some_and(|it| it.should_skip(node.now())) {
            continue;
        }
        let verdict = if owner == node.settings.ip {
            Some(own(node, subject, ask))
        } else {
            question(node, subject, ask, owner).await
        };
        let Some(verdict) = verdict else {
            lock(&desk.silent).entry(owner).or_default().miss(node.now());
            continue;
        };
        lock(&desk.silent).remove(&owner);
        if verdict != Decision::Undecided {
            return (verdict, Source::Owner(owner));
        }
    }
    let (_, known) = lock(&node.members).seen(node.now());
    let share = 1.0 / known as f64;
    let ask = in_place(subject, ask);
    (lock(&desk.alone).decide_alone(ask, share, node.now()), Source::Alone)
}

/// Begins to count against a limit that this node owns.
pub fn begin(node: &Node, subject: Subject) {
    if owns(node, subject) {
        lock(&node.desk(subject).owned).open_bucket(subject.tag(), node.now());
    }
}

/// Nodes that may rule on a limit, first choice first. Others no longer ask a node that is stopping, so it does not rule
/// either.
fn owners(node: &Node, subject: Subject) -> Vec<IpAddr> {
    let mut owners = lock(&node.members).owners(subject.tag(), node.now());
    if node.stopping.borrow().is_some() {
        owners.retain(|it| *it != node.settings.ip);
    }
    owners
}

/// Whether this node is a limit's first owner.
fn owns(node: &Node, subject: Subject) -> bool {
    owners(node, subject).first() == Some(&node.settings.ip)
}

/// What is asked for in the place of a limit's first owner, which may rule at the same time. What organisations may use beyond
/// their limits covers that.
fn in_place(subject: Subject, ask: Charge) -> Charge {
    match subject {
        Subject::Organisation(_) => ask,
        Subject::Endpoint(_) => Charge { limit: limits::backup_limit(ask.limit), ..ask },
    }
}

/// Rules on a request as the limit's owner, or in the owner's place.
fn own(node: &Node, subject: Subject, mut ask: Charge) -> Decision {
    let now = node.now();
    if matches!(subject, Subject::Endpoint(_)) && !owns(node, subject) {
        ask = in_place(subject, ask);
    }
    let (seen, known) = lock(&node.members).seen(now);
    let share = seen as f64 / known as f64;
    let verdict = lock(&node.desk(subject).owned).decide(ask, share, now);
    match (subject, verdict) {
        (Subject::Endpoint(endpoint), Decision::OverLimit { wait }) => {
            let wait = lock(&node.queues).join(endpoint, ask.limit.rate, wait, now);
            Decision::OverLimit { wait }
        }
        _ => verdict,
    }
}

async fn question(node: &Node, subject: Subject, ask: Charge, owner: IpAddr) -> Option<Decision> {
    let cost = ask.cost;
    let word = match subject {
        Subject::Organisation(_) => None,
        Subject::Endpoint(endpoint) => node.limits().latest(endpoint),
    };
    let (number, answer) = node.desk(subject).ask(subject, cost, node.now());
    peers::post(node, &Message::Ask { number, subject, cost, word }, owner);
    timeout(ANSWER, answer).await.ok()?.ok()
}

/// Answers another node's question.
pub fn answer(node: &Node, number: u32, subject: Subject, cost: u32) -> Message {
    let (limit, without) = match subject {
        Subject::Organisation(organisation) => {
            (configured(node, organisation), Decision::Undecided)
        }
        // It names none any more, which the asker is told besides.
        Subject::Endpoint(endpoint) => (limit::of(node, endpoint), Decision::Granted),
    };
    let verdict = limit.map_or(without, |limit| {
        let ask = Charge { subject: subject.tag(), limit, cost, draw: rand::random() };
        own(node, subject, ask)
    });
    Message::Ruled { number, subject, verdict }
}

/// An organisation's limit.
fn configured(node: &Node, organisation: Tag) -> Option<Limit> {
    let table = node.table()?;
    table.organisations.as_ref()?.named(organisation)?.limit
}
