//! Votes for the owners and deputies of organisations' limits, exchanged between nodes (`coordination::ballot`).
//!
//! A node that accepts votes tells its time with each heartbeat. Each node that prefers it for some limit replies with its votes at once,
//! and again when it comes to prefer it for more. Nodes that don't know the fleet neither vote nor accept votes.

use crate::extension::Candidacy;
use crate::members::{Heartbeat, Message};
use crate::node::{Node, lock};
use crate::{peers, quota};
use crosslane_coordination::ballot::{
    self, Ballot, OFFICES, Office, Recall, Seat, Stamp, Voter, Votes,
};
use crosslane_coordination::heartbeat::{self, MAX_NEAR_PEERS};
use crosslane_state::endpoint::Tag;
use crosslane_state::incarnation::Incarnation;
use crosslane_state::time::Millis;
use crosslane_transport::clock;
use std::collections::{HashMap, HashSet};
use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::sleep;

/// Interval at which a node looks whether it prefers others than before.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Shortest time after the start in which a node hears of those that own limits, in milliseconds.
const MIN_DISCOVERY_MS: u64 = 300;

/// In a large fleet, nodes look for those they prefer at most so many times in the interval of heartbeats.
const LOOKS_PER_INTERVAL: u64 = 4;

/// Votes that this node gives and holds.
#[derive(Debug)]
pub struct Ballots {
    incarnation: Incarnation,
    voter: Mutex<Voter<IpAddr>>,
    votes: Mutex<Votes<IpAddr>>,
    /// Nodes that accept no votes.
    declining: Mutex<HashSet<IpAddr>>,
    /// When this node looked for those it prefers.
    looked_at: Mutex<Option<Millis>>,
    /// Whether nodes came or went since then.
    changed: AtomicBool,
    /// Whether this node has begun to vote.
    votes_given: AtomicBool,
}

impl Default for Ballots {
    fn default() -> Self {
        Self::new()
    }
}

impl Ballots {
    /// Nothing given and nothing held.
    pub fn new() -> Self {
        let incarnation = clock::incarnation();
        Self {
            incarnation,
            voter: Mutex::new(Voter::new(incarnation)),
            votes: Mutex::new(Votes::new(incarnation)),
            declining: Mutex::default(),
            looked_at: Mutex::default(),
            changed: AtomicBool::new(true),
            votes_given: AtomicBool::new(false),
        }
    }
}

/// What this node tells others of whether it accepts votes.
pub fn candidacy(node: &Node) -> Candidacy {
    Candidacy { stamp: stamp(node), accepts: accepts_votes(node) }
}

fn stamp(node: &Node) -> Stamp {
    Stamp { incarnation: node.ballots.incarnation, at: node.now() }
}

/// Whether this node may own limits: one that does not know the fleet prefers others than the rest does.
fn accepts_votes(node: &Node) -> bool {
    quota::knows_fleet(node) && node.stopping.borrow().is_none()
}

/// Whether this node may vote: once it has heard all nodes that it knows, or those that own limits have had time to reply to its first
/// heartbeat. Before, it would vote for others than the rest does, and a former process of it may have voted for a node that has not heard of its end.
fn may_vote(node: &Node) -> bool {
    let (members, now) = (lock(&node.members), node.now());
    let reply_ms = MIN_DISCOVERY_MS.max(members.interval().near_ms / LOOKS_PER_INTERVAL);
    let has_heard = members.has_heard_all() || now >= Millis(reply_ms);
    drop(members);
    has_heard && quota::knows_fleet(node)
}

/// Records another node's heartbeat, and replies with the votes for it.
pub fn hear(
    node: &Node,
    from: IpAddr,
    heartbeat: &Heartbeat,
    candidacy: Option<Candidacy>,
    is_new: bool,
) {
    let (ballots, now) = (&node.ballots, node.now());
    let accepts = candidacy.is_some_and(|known| known.accepts && heartbeat.active);
    let declines = candidacy.is_some() && !accepts;
    let changed = match declines {
        true => lock(&ballots.declining).insert(from),
        false => lock(&ballots.declining).remove(&from),
    };
    if let Some(Candidacy { stamp, .. }) = candidacy {
        let is_near = heartbeat.domain == node.settings.domain;
        let valid_ms = heartbeat::ttl_ms(heartbeat.interval.for_domain(is_near));
        lock(&ballots.votes).meet(from, stamp.incarnation);
        let mut voter = lock(&ballots.voter);
        if accepts {
            voter.hear(from, stamp, valid_ms, now);
        }
        if !heartbeat.active {
            voter.release(from, stamp.incarnation);
        }
    }
    if changed || is_new || !heartbeat.active {
        ballots.changed.store(true, Ordering::Relaxed);
        look(node);
    }
    vote(node, from);
}

/// Whether this node prefers itself for an office, as others may that have just started.
pub fn is_preferred(node: &Node) -> bool {
    lock(&node.ballots.voter).prefers(node.settings.ip)
}

/// Looks for the preferred nodes of new limits.
pub fn record_new_limits(node: &Node) {
    node.ballots.changed.store(true, Ordering::Relaxed);
}

/// Records the votes of another node.
pub fn record(node: &Node, from: IpAddr, ballot: &Ballot) {
    lock(&node.ballots.votes).record(from, ballot);
}

/// Returns votes to a node that recalls them.
pub fn give_back(node: &Node, to: IpAddr, recall: &Recall) {
    let returned = lock(&node.ballots.votes).give_back(to, recall);
    if let Some(returned) = returned {
        peers::try_send(node, &Message::Returned(returned), to);
    }
}

/// Gives votes that were returned to the nodes that this one prefers.
pub fn take_back(node: &Node, from: IpAddr, returned: &Recall) {
    let preferred = lock(&node.ballots.voter).take_back(from, returned);
    preferred.into_iter().for_each(|to| vote(node, to));
}

/// Recalls votes from nodes that this one does not prefer any more.
fn recall(node: &Node) {
    let recalls = lock(&node.ballots.voter).recalls(node.now());
    let own = node.settings.ip;
    for (from, recall) in recalls {
        if from != own {
            peers::try_send(node, &Message::Recall(recall), from);
        } else if lock(&node.ballots.votes).give_back(own, &recall).is_some() {
            take_back(node, own, &recall);
        }
    }
}

/// Votes for a node, if this one prefers it for anything.
fn vote(node: &Node, to: IpAddr) {
    if !may_vote(node) {
        return;
    }
    let ballot = lock(&node.ballots.voter).cast(to, node.now());
    match ballot {
        Some(ballot) if to == node.settings.ip => record(node, to, &ballot),
        Some(ballot) => peers::try_send(node, &Message::Ballot(ballot), to),
        None => {}
    }
}

/// Looks for the nodes that this one prefers, and votes for those that it did not prefer before.
fn look(node: &Node) {
    let (ballots, now) = (&node.ballots, node.now());
    let (interval_ms, count) = {
        let members = lock(&node.members);
        (members.interval().near_ms, members.count())
    };
    let pause_ms = if count > MAX_NEAR_PEERS { interval_ms / LOOKS_PER_INTERVAL } else { 0 };
    {
        let mut looked_at = lock(&ballots.looked_at);
        let due_ms = match ballots.changed.load(Ordering::Relaxed) {
            true => pause_ms,
            false => interval_ms,
        };
        if looked_at.is_some_and(|at| now.since(at) < due_ms) {
            return;
        }
        *looked_at = Some(now);
    }
    ballots.changed.store(false, Ordering::Relaxed);
    let preferred = preferred(node);
    let begins = may_vote(node) && !ballots.votes_given.swap(true, Ordering::Relaxed);
    let all: HashSet<IpAddr> = preferred.values().copied().collect();
    let gained = lock(&ballots.voter).prefer(preferred);
    let told = if begins { all.into_iter().collect() } else { gained };
    told.into_iter().for_each(|to| vote(node, to));
    recall(node);
}

/// The node that this one prefers for each office of each limit.
fn preferred(node: &Node) -> HashMap<Seat, IpAddr> {
    let Some(table) = node.table() else {
        return HashMap::new();
    };
    let own = accepts_votes(node).then(|| (node.tag(), node.settings.ip));
    let candidates = {
        let declining = lock(&node.ballots.declining);
        let members = lock(&node.members);
        let others = members.candidates(node.now()).filter(|(_, ip)| !declining.contains(ip));
        others.chain(own).collect::<Vec<_>>()
    };
    let organisations = table.organisations.iter().flat_map(|all| all.iter());
    let limited = organisations.filter(|known| known.limit.is_some());
    let seats = limited.flat_map(|organisation| {
        let tag = organisation.tag();
        let ranked = ballot::rank(tag, &candidates);
        OFFICES.into_iter().zip(ranked).map(move |(office, node)| ((office, tag), node))
    });
    seats.filter_map(|(seat, node)| Some((seat, node?))).collect()
}

/// Whether this node knows no other, so that it holds all limits without any votes.
fn is_alone(node: &Node) -> bool {
    lock(&node.members).count() == 0
}

/// Nodes to ask for a limit: its owner, then its deputy.
pub fn asked(node: &Node, limit: Tag) -> Vec<IpAddr> {
    if is_alone(node) {
        return vec![node.settings.ip];
    }
    let (voter, now) = (lock(&node.ballots.voter), node.now());
    let mut asked: Vec<IpAddr> =
        OFFICES.iter().filter_map(|office| voter.asked((*office, limit), now)).collect();
    asked.dedup();
    asked
}

/// Whether the owner that this node prefers decides on a request of another node: that one voted for others, and this one is not the owner
/// either, or stops.
pub fn should_pass_on(node: &Node, limit: Tag, querier: IpAddr) -> bool {
    let (votes, now) = (lock(&node.ballots.votes), node.now());
    let given = OFFICES.iter().any(|office| votes.has((*office, limit), querier, now));
    let owns = votes.count((Office::Owner, limit), now) > 0;
    node.stopping.borrow().is_some() || !(given || owns)
}

/// Office in which this node decides on a request of another node, or of its own.
pub fn office(node: &Node, limit: Tag, querier: IpAddr) -> Option<Office> {
    if is_alone(node) {
        return Some(Office::Owner);
    }
    if node.stopping.borrow().is_some() {
        return None;
    }
    let (votes, now) = (lock(&node.ballots.votes), node.now());
    let given = |office: &Office| votes.has((*office, limit), querier, now);
    let held = |office: &Office| votes.count((*office, limit), now) > 0;
    OFFICES.into_iter().find(given).or_else(|| OFFICES.into_iter().find(held))
}

/// Share of a limit, or of the deputies' part of it, that this node holds.
pub fn share(node: &Node, seat: Seat, sharers: usize) -> f64 {
    if is_alone(node) && seat.0 == Office::Owner {
        return 1.0;
    }
    let votes = lock(&node.ballots.votes).count(seat, node.now());
    (votes as f64 / sharers.max(1) as f64).min(1.0)
}

/// Offices that this node holds, or held until a short time ago.
pub fn seats(node: &Node) -> Vec<Seat> {
    lock(&node.ballots.votes).seats().collect()
}

/// Removes votes and promises whose time is over.
pub fn remove_expired(node: &Node) {
    let now = node.now();
    lock(&node.ballots.voter).expire(now);
    lock(&node.ballots.votes).expire(now);
}

/// Keeps the votes of this node up to date until the process ends.
pub async fn run(node: Arc<Node>) {
    loop {
        if accepts_votes(&node) {
            let own = node.settings.ip;
            let valid_ms = heartbeat::ttl_ms(lock(&node.members).interval().near_ms);
            lock(&node.ballots.voter).hear(own, stamp(&node), valid_ms, node.now());
            look(&node);
            vote(&node, own);
        } else {
            lock(&node.ballots.voter).release(node.settings.ip, node.ballots.incarnation);
            look(&node);
        }
        sleep(CHECK_INTERVAL).await;
    }
}
