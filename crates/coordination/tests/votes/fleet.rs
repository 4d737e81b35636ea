//! A fleet of nodes that grant one limit, in virtual time: messages are late, lost, or cut off, and nodes pause or start again.

use crosslane_coordination::ballot::{self, Ballot, OFFICES, Office, Recall, Stamp, Voter, Votes};
use crosslane_coordination::heartbeat::{self, Interval};
use crosslane_coordination::limits;
use crosslane_coordination::quota::{self, Charge, Decision, Quota, Tolerance};
use crosslane_state::endpoint::Tag;
use crosslane_state::incarnation::Incarnation;
use crosslane_state::organisation::Limit;
use crosslane_state::time::Millis;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};

pub const BOUND: Tolerance = Tolerance { window_ms: 8_000, overage: 0.1, slack: 140_000.0 };
pub const LENGTH_MS: u64 = 30_000;
/// When the load and the faults begin.
pub const BEGIN_MS: u64 = 8_000;
const DOMAINS: usize = 4;
/// Nodes by rank that send heartbeats here: those after them never own the limit.
const RANKS: usize = 8;
const QUERY_TIMEOUT_MS: u64 = 40;
const LATE_REPLY_MS: u64 = 110;
const MIN_DISCOVERY_MS: u64 = 300;
const PASS_ON_MS: u64 = 15;
const MAX_REFUND_AGE_MS: u64 = 2_000;

/// How nodes decide who grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// The next node grants the limit if the owner does not reply in time.
    Failover,
    /// It grants a quarter.
    Quarter,
    /// By votes.
    Votes,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    None,
    /// Messages of the first owner, and to it, take longer for 10 s.
    Late {
        from_ms: u64,
        to_ms: u64,
    },
    /// A share of all messages is late by up to so much.
    SomeLate {
        share: f64,
        by_ms: u64,
    },
    /// A share of all messages is lost.
    Lossy {
        share: f64,
    },
    /// The first owners are paused in turn, each for so long.
    PausedInTurn {
        for_ms: u64,
    },
    /// The first owner is killed at the begin, and starts again after so long.
    Restarts {
        after_ms: u64,
    },
    /// All nodes are killed 4 s after the begin, and start again after a second.
    AllRestart,
    /// A share of the nodes is cut off from the others for 10 s.
    Cut {
        share: f64,
    },
}

#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub name: &'static str,
    pub fault: Fault,
    /// Load as a multiple of the limit from the begin on; 0.56 before.
    pub load: f64,
}

#[derive(Debug, Default)]
pub struct Outcome {
    /// Highest usage in a window, as a share of what is tolerated.
    pub most: f64,
    /// Part refused of what a bucket without tolerance that sees all grants.
    pub refused: f64,
}

#[derive(Debug)]
enum Event {
    Heartbeat { rank: usize },
    Stamp { from: usize, to: usize, stamp: Stamp, valid_ms: u64 },
    Ballot { from: usize, to: usize, ballot: Ballot },
    Recall { from: usize, to: usize, recall: Recall },
    Returned { from: usize, to: usize, recall: Recall },
    Tick,
    Started { node: usize },
    Query { request: usize, to: usize, passed_on: bool },
    Reply { request: usize, from: usize, decision: Decision },
    NextOwner { request: usize, rank: usize },
    GiveUp { request: usize },
    Refund { to: usize, cost: u32, office: Office },
    Arrival,
}

struct Entry(u64, u64, Event);
impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Entry {}
impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

struct Node {
    voter: Voter<usize>,
    votes: Votes<usize>,
    owned: Quota,
    deputies: Quota,
    alone: Quota,
    incarnation: Incarnation,
    /// When it started; it neither sends nor receives before.
    up_from: u64,
    /// Last heartbeat of each candidate, and until when it is valid.
    heard: BTreeMap<usize, u64>,
    has_voted: bool,
}

struct Request {
    at: usize,
    cost: u32,
    open: bool,
    asked: Vec<usize>,
    refused: bool,
    granted_by: HashMap<usize, Office>,
    sent_at: u64,
}

pub struct Fleet {
    way: Way,
    fault: Fault,
    load: f64,
    limit: Limit,
    nodes: Vec<Node>,
    /// The nodes that rank first for the limit.
    ranked: Vec<usize>,
    cut_off: Vec<bool>,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<Entry>>,
    number: u64,
    random: SmallRng,
    usage: VecDeque<(u64, f64)>,
    sum: f64,
    most: f64,
    reference: Quota,
    granted: f64,
    within: f64,
}

const SUBJECT: Tag = Tag(7);

fn node(way: Way, incarnation: u64, up_from: u64) -> Node {
    let incarnation = Incarnation(incarnation);
    let alone = if way == Way::Votes { Quota::new(BOUND.strict()) } else { Quota::new(BOUND) };
    Node {
        voter: Voter::new(incarnation),
        votes: Votes::new(incarnation),
        owned: if way == Way::Votes { Quota::leased(BOUND) } else { Quota::attended(BOUND) },
        deputies: Quota::leased(BOUND.strict()),
        alone,
        incarnation,
        up_from,
        heard: BTreeMap::new(),
        has_voted: false,
    }
}

/// Plays a case with a number of nodes.
pub fn play(case: &Case, way: Way, count: usize, limit: Limit, seed: u64) -> Outcome {
    let mut random = SmallRng::seed_from_u64(seed);
    let subject = Tag(SUBJECT.0 + seed);
    let all = (0..count).map(|node| (Tag(node as u64), node));
    let mut ranked = quota::ranked(subject, all);
    ranked.truncate(RANKS);
    let share = if let Fault::Cut { share } = case.fault { share } else { 0.0 };
    let cut_off = (0..count).map(|_| random.random_bool(share)).collect();
    let fleet = Fleet {
        way,
        fault: case.fault,
        load: case.load,
        limit,
        nodes: (0..count).map(|_| node(way, 1, 0)).collect(),
        ranked,
        cut_off,
        requests: Vec::new(),
        events: BinaryHeap::new(),
        number: 0,
        random,
        usage: VecDeque::new(),
        sum: 0.0,
        most: 0.0,
        reference: Quota::new(Tolerance { overage: 0.0, slack: 0.0, ..BOUND }),
        granted: 0.0,
        within: 0.0,
    };
    fleet.run()
}

impl Fleet {
    fn run(mut self) -> Outcome {
        for rank in 0..self.ranked.len() {
            self.push(rank as u64, Event::Heartbeat { rank });
        }
        self.push(0, Event::Tick);
        self.push(4_000, Event::Arrival);
        while let Some(Reverse(Entry(now, _, event))) = self.events.pop() {
            if now >= LENGTH_MS {
                break;
            }
            self.handle(event, now);
        }
        Outcome { most: self.most, refused: (1.0 - self.granted / self.within).max(0.0) }
    }

    fn push(&mut self, at: u64, event: Event) {
        self.number += 1;
        self.events.push(Reverse(Entry(at, self.number, event)));
    }

    fn interval(&self) -> Interval {
        Interval::for_peers(self.nodes.len() - 1)
    }

    fn interval_ms(&self, one: usize, other: usize) -> u64 {
        self.interval().for_domain(one % DOMAINS == other % DOMAINS)
    }

    fn during(&self, now: u64, length_ms: u64) -> bool {
        (BEGIN_MS..BEGIN_MS + length_ms).contains(&now)
    }

    /// End of the pause that a node is in.
    fn paused_until(&self, node: usize, now: u64) -> Option<u64> {
        let Fault::PausedInTurn { for_ms } = self.fault else {
            return None;
        };
        let turn = now.checked_sub(BEGIN_MS)? / for_ms;
        (self.ranked[turn as usize % 2] == node).then_some(BEGIN_MS + (turn + 1) * for_ms)
    }

    fn is_up(&self, node: usize, now: u64) -> bool {
        now >= self.nodes[node].up_from
    }

    /// When a message arrives; nothing if it is lost.
    fn arrival(&mut self, from: usize, to: usize, now: u64) -> Option<u64> {
        let mut after = if from % DOMAINS == to % DOMAINS { 1 } else { 2 };
        match self.fault {
            Fault::Late { from_ms, to_ms } if self.during(now, 10_000) => {
                after += if self.ranked[0] == from { from_ms } else { 0 };
                after += if self.ranked[0] == to { to_ms } else { 0 };
            }
            Fault::SomeLate { share, by_ms } if self.random.random_bool(share) => {
                after += self.random.random_range(0..by_ms);
            }
            Fault::Lossy { share } if self.random.random_bool(share) => return None,
            Fault::Cut { .. }
                if self.during(now, 10_000) && self.cut_off[from] != self.cut_off[to] =>
            {
                return None;
            }
            _ => {}
        }
        let at = now + after;
        Some(self.paused_until(to, at).unwrap_or(at))
    }

    fn send(&mut self, from: usize, to: usize, now: u64, event: Event) {
        let sent = match from == to {
            true => Some(now),
            false => self.arrival(from, to, now),
        };
        if let Some(at) = sent {
            self.push(at, event);
        }
    }

    fn handle(&mut self, event: Event, now: u64) {
        match event {
            Event::Arrival => self.arrive(now),
            Event::Tick => self.tick(now),
            Event::Heartbeat { rank } => self.beat(rank, now),
            Event::Started { node } => self.greet(node, now),
            Event::Stamp { from, to, stamp, valid_ms } if self.is_up(to, now) => {
                self.nodes[to].heard.insert(from, now + valid_ms);
                self.nodes[to].voter.hear(from, stamp, valid_ms, Millis(now));
                self.nodes[to].votes.meet(from, stamp.incarnation);
                self.prefer(to, now);
                self.vote(to, from, now);
            }
            Event::Ballot { from, to, ballot } if self.is_up(to, now) => {
                self.nodes[to].votes.record(from, &ballot);
            }
            Event::Recall { from, to, recall } if self.is_up(to, now) => {
                if let Some(recall) = self.nodes[to].votes.give_back(from, &recall) {
                    self.send(to, from, now, Event::Returned { from: to, to: from, recall });
                }
            }
            Event::Returned { from, to, recall } if self.is_up(to, now) => {
                for preferred in self.nodes[to].voter.take_back(from, &recall) {
                    self.vote(to, preferred, now);
                }
            }
            Event::Query { request, to, passed_on } if self.is_up(to, now) => {
                self.answer(request, to, passed_on, now);
            }
            Event::Reply { request, from, decision } => self.resolve(request, from, decision, now),
            Event::NextOwner { request, rank } => self.ask(request, rank, now),
            Event::GiveUp { request } => self.give_up(request, now),
            Event::Refund { to, cost, office } if self.is_up(to, now) => {
                let node = &mut self.nodes[to];
                let quota = match office {
                    Office::Owner => &mut node.owned,
                    Office::Deputy => &mut node.deputies,
                };
                quota.refund(SUBJECT, cost);
            }
            _ => {}
        }
    }

    fn beat(&mut self, rank: usize, now: u64) {
        let from = self.ranked[rank];
        let round = now / self.interval().near_ms.max(1);
        self.push(now + self.interval().near_ms, Event::Heartbeat { rank });
        if !self.is_up(from, now) || self.paused_until(from, now).is_some() {
            return;
        }
        for to in 0..self.nodes.len() {
            let is_due = self.interval_ms(from, to) == self.interval().near_ms
                || round.is_multiple_of(heartbeat::FAR_EVERY)
                || !self.nodes[to].heard.contains_key(&from);
            if is_due {
                self.stamp(from, to, now);
            }
        }
    }

    fn stamp(&mut self, from: usize, to: usize, now: u64) {
        let stamp = Stamp { incarnation: self.nodes[from].incarnation, at: Millis(now) };
        let valid_ms = heartbeat::ttl_ms(self.interval_ms(from, to));
        self.send(from, to, now, Event::Stamp { from, to, stamp, valid_ms });
    }

    /// A node that starts sends heartbeats to all, and those that own limits reply.
    fn greet(&mut self, node: usize, now: u64) {
        let owners = self.ranked.clone();
        if owners.contains(&node) {
            (0..self.nodes.len()).for_each(|to| self.stamp(node, to, now));
        }
        for owner in owners.into_iter().filter(|owner| *owner != node) {
            if self.is_up(owner, now) && self.paused_until(owner, now).is_none() {
                self.stamp(owner, node, now);
            }
        }
    }

    fn live(&self, at: usize, now: u64) -> Vec<(Tag, usize)> {
        let heard = &self.nodes[at].heard;
        let heard = heard.iter().filter(|(node, until)| **until > now || **node == at);
        heard.map(|(node, _)| (Tag(*node as u64), *node)).collect()
    }

    fn subject(&self) -> Tag {
        // The order of the candidates is that of `ranked`.
        SUBJECT
    }

    /// The live nodes in the order of their rank.
    fn in_order(&self, at: usize, now: u64) -> Vec<usize> {
        let live = self.live(at, now);
        self.ranked
            .iter()
            .copied()
            .filter(|node| live.iter().any(|(_, known)| known == node))
            .collect()
    }

    fn prefer(&mut self, at: usize, now: u64) {
        let order = self.in_order(at, now);
        let seats = OFFICES.into_iter().zip(order);
        let preferred = seats.map(|(office, node)| ((office, self.subject()), node)).collect();
        for to in self.nodes[at].voter.prefer(preferred) {
            self.vote(at, to, now);
        }
        for (to, recall) in self.nodes[at].voter.recalls(Millis(now)) {
            self.send(at, to, now, Event::Recall { from: at, to, recall });
        }
    }

    /// Votes once all candidates that are up were heard, or the node is older than all promises.
    fn vote(&mut self, at: usize, to: usize, now: u64) {
        let age = now - self.nodes[at].up_from;
        let all = self.ranked.iter().all(|node| self.nodes[at].heard.contains_key(node));
        if !all && age < MIN_DISCOVERY_MS.max(self.interval().near_ms / 4) {
            return;
        }
        if !std::mem::replace(&mut self.nodes[at].has_voted, true) {
            self.in_order(at, now).into_iter().for_each(|other| self.vote(at, other, now));
        }
        if let Some(ballot) = self.nodes[at].voter.cast(to, Millis(now)) {
            self.send(at, to, now, Event::Ballot { from: at, to, ballot });
        }
    }

    fn share(&self, node: usize, office: Office, now: u64) -> f64 {
        let votes = self.nodes[node].votes.count((office, self.subject()), Millis(now));
        (votes as f64 / self.nodes.len() as f64).min(1.0)
    }

    fn tick(&mut self, now: u64) {
        self.push(now + quota::ATTEND_INTERVAL_MS, Event::Tick);
        self.restart(now);
        for at in 0..self.nodes.len() {
            let due = now.is_multiple_of(self.interval().near_ms / 100 * 100);
            if self.is_up(at, now) && self.paused_until(at, now).is_none() && due {
                self.prefer(at, now);
            }
        }
        for at in self.ranked.clone() {
            if !self.is_up(at, now) || self.paused_until(at, now).is_some() {
                continue;
            }
            let (owner, deputy) =
                (self.share(at, Office::Owner, now), self.share(at, Office::Deputy, now));
            let (limit, is_first) = (self.limit, self.in_order(at, now).first() == Some(&at));
            let node = &mut self.nodes[at];
            match self.way {
                Way::Votes => {
                    node.owned.hold(SUBJECT, limit, owner, Millis(now));
                    node.deputies.hold(SUBJECT, BOUND.deputy_part(limit), deputy, Millis(now));
                }
                Way::Failover | Way::Quarter => {
                    node.owned.attend(|_| is_first, Millis(now));
                }
            }
        }
    }

    fn restart(&mut self, now: u64) {
        let restarted = match self.fault {
            Fault::Restarts { after_ms } if now == BEGIN_MS => {
                vec![(self.ranked[0], now + after_ms)]
            }
            Fault::AllRestart if now == BEGIN_MS + 4_000 => {
                (0..self.nodes.len()).map(|at| (at, now + 1_000)).collect()
            }
            _ => return,
        };
        for (at, up_from) in restarted {
            self.nodes[at] = node(self.way, 2, up_from);
            self.push(up_from, Event::Started { node: at });
        }
    }

    fn arrive(&mut self, now: u64) {
        let load = if now < BEGIN_MS { 0.56 } else { self.load };
        let cost: u32 = self.random.random_range(600..10_000);
        let per_ms = self.limit.units_per_second * load / 1_000.0;
        let pause = f64::from(cost) / per_ms * self.random.random_range(0.5..1.5);
        // Several requests may arrive in a millisecond.
        self.push(now + pause as u64, Event::Arrival);
        let at = self.random.random_range(0..self.nodes.len());
        if !self.is_up(at, now) || self.paused_until(at, now).is_some() {
            return;
        }
        let (draw, priority) = (0.5, None);
        let charge = Charge { subject: SUBJECT, limit: self.limit, cost, draw, priority };
        if self.reference.decide(charge, 1.0, Millis(now)) == Decision::Granted {
            self.within += f64::from(cost);
        }
        let asked = match self.way {
            Way::Votes => {
                let voter = &self.nodes[at].voter;
                let asked = OFFICES.iter().map(|office| (*office, self.subject()));
                let mut asked: Vec<usize> =
                    asked.filter_map(|seat| voter.asked(seat, Millis(now))).collect();
                asked.dedup();
                asked
            }
            Way::Failover | Way::Quarter => {
                let mut order = self.in_order(at, now);
                order.truncate(3);
                order
            }
        };
        let request = self.requests.len();
        let (open, refused, granted_by) = (true, false, HashMap::new());
        self.requests.push(Request { at, cost, open, asked, refused, granted_by, sent_at: now });
        self.ask(request, 0, now);
    }

    fn ask(&mut self, request: usize, rank: usize, now: u64) {
        let Request { at, open, .. } = self.requests[request];
        if !open {
            return;
        }
        let asked = self.requests[request].asked.clone();
        let Some(to) = asked.get(rank).copied() else {
            return self.give_up(request, now);
        };
        self.send(at, to, now, Event::Query { request, to, passed_on: false });
        let is_last = rank + 1 == asked.len();
        if is_last && self.way == Way::Votes {
            self.push(now + QUERY_TIMEOUT_MS + LATE_REPLY_MS, Event::GiveUp { request });
        } else {
            self.push(now + QUERY_TIMEOUT_MS, Event::NextOwner { request, rank: rank + 1 });
        }
    }

    fn charge(&mut self, request: usize) -> Charge {
        let (cost, draw) = (self.requests[request].cost, self.random.random());
        Charge { subject: SUBJECT, limit: self.limit, cost, draw, priority: None }
    }

    fn answer(&mut self, request: usize, at: usize, passed_on: bool, now: u64) {
        let querier = self.requests[request].at;
        let charge = self.charge(request);
        let decision = match self.way {
            Way::Votes => self.decide_by_votes(request, at, charge, now),
            Way::Failover | Way::Quarter => {
                let first = self.in_order(at, now).first().copied();
                let better = first.filter(|first| *first != at && !passed_on);
                // The answer of the owner counts if it comes within the time of a query that is passed on.
                if let Some(owner) = better
                    && let Some(there) = self.arrival(at, owner, now)
                    && let Some(back) = self.arrival(owner, at, there)
                    && back <= now + PASS_ON_MS
                    && self.is_up(owner, there)
                {
                    let decision = self.nodes[owner].owned.decide(charge, 1.0, Millis(now));
                    self.note(request, owner, Office::Owner, decision);
                    return self.reply(request, at, querier, decision, back);
                }
                let limit = match self.way {
                    Way::Quarter if first != Some(at) => limits::backup_limit(charge.limit),
                    _ => charge.limit,
                };
                let charge = Charge { limit, ..charge };
                let decision = self.nodes[at].owned.decide(charge, 1.0, Millis(now));
                self.note(request, at, Office::Owner, decision);
                decision
            }
        };
        self.reply(request, at, querier, decision, now);
    }

    fn reply(&mut self, request: usize, from: usize, to: usize, decision: Decision, now: u64) {
        self.send(from, to, now, Event::Reply { request, from, decision });
    }

    fn note(&mut self, request: usize, by: usize, office: Office, decision: Decision) {
        if decision == Decision::Granted {
            self.requests[request].granted_by.insert(by, office);
        }
    }

    fn decide_by_votes(&mut self, request: usize, at: usize, charge: Charge, now: u64) -> Decision {
        let querier = self.requests[request].at;
        let votes = &self.nodes[at].votes;
        let has = |office: &Office| votes.has((*office, SUBJECT), querier, Millis(now));
        let held = |office: &Office| votes.count((*office, SUBJECT), Millis(now)) > 0;
        let office = OFFICES.into_iter().find(has).or_else(|| OFFICES.into_iter().find(held));
        let Some(office) = office else {
            return Decision::Undecided;
        };
        let share = self.share(at, office, now);
        let node = &mut self.nodes[at];
        let decision = match office {
            Office::Owner => node.owned.decide_leased(charge, share, Millis(now)),
            Office::Deputy => {
                let limit = BOUND.deputy_part(charge.limit);
                node.deputies.decide_leased(Charge { limit, ..charge }, share, Millis(now))
            }
        };
        self.note(request, at, office, decision);
        decision
    }

    fn resolve(&mut self, request: usize, from: usize, decision: Decision, now: u64) {
        let Request { at, cost, open, sent_at, .. } = self.requests[request];
        let granted = decision == Decision::Granted;
        if !open {
            let granters: Vec<_> = self.requests[request].granted_by.drain().collect();
            if granted && now - sent_at <= MAX_REFUND_AGE_MS {
                for (to, office) in granters.into_iter().filter(|(by, _)| *by == from) {
                    self.send(at, to, now, Event::Refund { to, cost, office });
                }
            }
            return;
        }
        let is_owner = self.requests[request].asked.first() == Some(&from);
        match decision {
            Decision::Granted => self.run_request(request, now),
            Decision::OverLimit { .. } if is_owner || self.way != Way::Votes => {
                self.requests[request].open = false;
            }
            Decision::OverLimit { .. } => self.requests[request].refused = true,
            Decision::Undecided => {}
        }
    }

    fn run_request(&mut self, request: usize, now: u64) {
        self.requests[request].open = false;
        let cost = f64::from(self.requests[request].cost);
        self.granted += cost;
        self.usage.push_back((now, cost));
        self.sum += cost;
        while self.usage.front().is_some_and(|entry| entry.0 + BOUND.window_ms < now) {
            self.sum -= self.usage.pop_front().map_or(0.0, |entry| entry.1);
        }
        let tolerated = BOUND.allowed(self.limit) + BOUND.tolerated_excess(self.limit);
        self.most = self.most.max(self.sum / tolerated);
    }

    fn give_up(&mut self, request: usize, now: u64) {
        if !self.requests[request].open {
            return;
        }
        if self.requests[request].refused {
            self.requests[request].open = false;
            return;
        }
        let mut charge = self.charge(request);
        if self.way == Way::Votes {
            charge.limit = BOUND.alone_part(charge.limit);
        }
        let share = 1.0 / self.nodes.len() as f64;
        let at = self.requests[request].at;
        match self.nodes[at].alone.decide_alone(charge, share, Millis(now)) {
            Decision::Granted => self.run_request(request, now),
            _ => self.requests[request].open = false,
        }
    }
}

/// Ranks of the first nodes, as `ballot::rank` and `quota::ranked` agree on.
pub fn ranks_agree(count: usize) -> bool {
    let nodes: Vec<(Tag, usize)> = (0..count).map(|node| (Tag(node as u64), node)).collect();
    let ranked = quota::ranked(SUBJECT, nodes.iter().copied());
    ballot::rank(SUBJECT, &nodes) == [Some(ranked[0]), ranked.get(1).copied()]
}
