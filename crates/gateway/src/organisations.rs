//! Limits of organisations: each node grants the part for which it holds votes (`ballot`).
//!
//! A request asks the owner of the limit, and the deputy too if the owner does not reply in time. The owner's reply still counts then: a late
//! reply is no refusal, and says nothing of what the owner grants. A node that reaches neither has a small part of its own.

use crate::ballot;
use crate::event;
use crate::members::Subject;
use crate::node::{Node, lock};
use crate::quota::{Limiter, QUERY_TIMEOUT, Source, configured, knows_fleet, send_query, sharers};
use crosslane_coordination::ballot::Office;
use crosslane_coordination::quota::{Charge, Decision, Tally};
use crosslane_state::endpoint::Tag;
use derive_more::Display;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use log::info;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Longest wait for a reply once all nodes were asked.
const LATE_REPLY_TIMEOUT: Duration = Duration::from_millis(110);

/// Interval at which a node logs what it granted, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 1_000;

/// In which role this node decides on a limit.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Role {
    /// As its owner.
    #[display("owner")]
    Owner,
    /// In place of the owner, which did not reply in time.
    #[display("deputy")]
    Deputy,
    /// For its own requests, since no owner replied.
    #[display("alone")]
    Alone,
}

/// Decision of the owner, of the deputy if the owner does not reply in time, or of this node alone if neither does.
pub async fn decide(node: &Arc<Node>, subject: Subject, charge: Charge) -> (Decision, Source) {
    let (limiter, own) = (node.limiter(subject), node.settings.ip);
    let mut queries = FuturesUnordered::new();
    let mut replies = Replies { limiter, unanswered: Vec::new(), refusal: None };
    for (rank, ip) in ballot::asked(node, charge.subject).into_iter().enumerate() {
        if ip == own {
            let decision = decide_in_office(node, subject, charge, own);
            if let Some(decision) = replies.take(Reply { rank, ip, decision }) {
                return decision;
            }
            continue;
        }
        let misses = lock(&limiter.unresponsive).get(&ip).copied();
        let is_silent = misses.is_some_and(|known| known.should_skip(node.now()));
        replies.unanswered.push(ip);
        queries.push(async move {
            let reply = send_query(node, subject, charge, ip, false).await;
            Reply { rank, ip, decision: reply.unwrap_or(Decision::Undecided) }
        });
        // The node after one that was silent is asked at once; what that one replies still counts.
        let wait = if is_silent { Duration::ZERO } else { QUERY_TIMEOUT };
        if let Some(decision) = replies.collect(&mut queries, wait).await {
            return decision;
        }
    }
    if let Some(decision) = replies.collect(&mut queries, LATE_REPLY_TIMEOUT).await {
        return decision;
    }
    for ip in replies.unanswered {
        node.metrics.count_late_reply("missed");
        lock(&limiter.unresponsive).entry(ip).or_default().miss(node.now());
    }
    match replies.refusal {
        Some((decision, ip)) => (decision, Source::Owner(ip)),
        None => (decide_alone(node, subject, charge), Source::EvenShare),
    }
}

/// Reply to a query.
struct Reply {
    /// Rank of the node that was asked; 0 is the owner.
    rank: usize,
    ip: IpAddr,
    decision: Decision,
}

/// Replies to the queries for a request.
struct Replies<'a> {
    limiter: &'a Limiter,
    /// Nodes that have not replied.
    unanswered: Vec<IpAddr>,
    /// Refusal of the deputy, which counts unless the owner replies.
    refusal: Option<(Decision, IpAddr)>,
}

impl Replies<'_> {
    /// Waits for replies, until one decides.
    async fn collect(
        &mut self,
        queries: &mut FuturesUnordered<impl Future<Output = Reply>>,
        wait: Duration,
    ) -> Option<(Decision, Source)> {
        let until = Instant::now() + wait;
        while let Ok(Some(reply)) = timeout_at(until, queries.next()).await {
            self.unanswered.retain(|ip| *ip != reply.ip);
            lock(&self.limiter.unresponsive).remove(&reply.ip);
            if let Some(decision) = self.take(reply) {
                return Some(decision);
            }
        }
        None
    }

    /// Takes a reply; returns the decision if it is one.
    fn take(&mut self, reply: Reply) -> Option<(Decision, Source)> {
        let Reply { rank, ip, decision } = reply;
        match decision {
            Decision::OverLimit { .. } if rank > 0 => {
                self.refusal = Some((decision, ip));
                None
            }
            Decision::Granted | Decision::OverLimit { .. } => Some((decision, Source::Owner(ip))),
            Decision::Undecided => None,
        }
    }
}

/// Decides by what nodes may grant of an organisation's limit that reach neither owner nor deputy. A node that does not know the fleet does not know
/// how many it is divided among.
fn decide_alone(node: &Node, subject: Subject, charge: Charge) -> Decision {
    let sharers = if knows_fleet(node) { sharers(node, subject) as f64 } else { f64::INFINITY };
    let limit = node.adjustable().quota.alone_part(charge.limit);
    let charge = Charge { limit, ..charge };
    let shares = &node.limiter(subject).shares;
    let decision = lock(shares).decide_alone(charge, 1.0 / sharers, node.now());
    count_decision(node, charge, decision, Role::Alone);
    decision
}

/// Decides on a request of a node by the part of an organisation's limit for which this one has votes.
pub fn decide_in_office(
    node: &Node,
    subject: Subject,
    charge: Charge,
    querier: IpAddr,
) -> Decision {
    let Some(office) = ballot::office(node, charge.subject, querier) else {
        return Decision::Undecided;
    };
    let share = ballot::share(node, (office, charge.subject), sharers(node, subject));
    let (limiter, now) = (node.limiter(subject), node.now());
    match office {
        Office::Owner => {
            let decision = lock(&limiter.owned).decide_leased(charge, share, now);
            count_decision(node, charge, decision, Role::Owner);
            decision
        }
        Office::Deputy => {
            let limit = node.adjustable().quota.deputy_part(charge.limit);
            let charge = Charge { limit, ..charge };
            let decision = lock(&limiter.deputies).decide_leased(charge, share, now);
            count_decision(node, charge, decision, Role::Deputy);
            if decision == Decision::Granted {
                let debit = (subject, charge.cost);
                limiter.record_passed_on(debit, querier, node.settings.ip, now);
            }
            decision
        }
    }
}

/// Counts what a decision grants of an organisation's limit.
fn count_decision(node: &Node, charge: Charge, decision: Decision, role: Role) {
    if decision == Decision::Granted {
        node.metrics.count_granted(&role.to_string(), charge.cost.into());
    }
}

/// Fills the buckets of the organisations' limits of which this node holds a part.
pub fn hold(node: &Node) {
    let (limiter, now) = (&node.organisation_limiter, node.now());
    let tolerance = node.adjustable().quota;
    let sharers = sharers(node, Subject::Organisation(Tag::default()));
    for (office, organisation) in ballot::seats(node) {
        let Some(limit) = configured(node, organisation) else {
            continue;
        };
        let share = ballot::share(node, (office, organisation), sharers);
        match office {
            Office::Owner => lock(&limiter.owned).hold(organisation, limit, share, now),
            Office::Deputy => {
                let limit = tolerance.deputy_part(limit);
                lock(&limiter.deputies).hold(organisation, limit, share, now);
            }
        }
    }
    node.metrics.reserved.inc_by(lock(&limiter.owned).take_withheld());
}

/// Logs what this node granted of the organisations' limits since the last report.
pub fn report(node: &Node) {
    let (limiter, now) = (&node.organisation_limiter, node.now());
    {
        let mut reported_at = lock(&limiter.reported_at);
        if now.since(*reported_at) < REPORT_INTERVAL_MS {
            return;
        }
        *reported_at = now;
    }
    let Some(table) = node.table() else {
        return;
    };
    let quotas = [
        (&limiter.owned, Role::Owner),
        (&limiter.deputies, Role::Deputy),
        (&limiter.shares, Role::Alone),
    ];
    let tallies = quotas.into_iter().flat_map(|(quota, role)| {
        lock(quota).take_tallies().into_iter().map(move |(tag, tally)| (tag, tally, role))
    });
    for (tag, tally, role) in tallies {
        let known = table.organisations.as_ref().and_then(|all| all.by_tag(tag));
        let organisation = known.map_or("", |known| known.name.as_str());
        let Tally { granted, refunded, charged, refused } = tally;
        info!(
            organisation, role:%, granted, refunded, charged, refused;
            "{}", event::GRANTED
        );
    }
}
