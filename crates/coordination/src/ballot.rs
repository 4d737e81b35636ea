//! Which node may grant which part of a limit: votes of all nodes, each a lease on an even part of it.
//!
//! Load pattern: the owner of a limit replies some tens of milliseconds late in a burst, and the nodes that ask it can't tell that
//! from its end. If the next node granted the limit in its place, both would grant the whole of it. So a node grants only
//! the part of a limit for which it holds votes, and a vote is given to one node at a time: whatever is late, lost, repeated or cut
//! off, the parts of all nodes add up to the limit at most.
//!
//! A candidate sends its time with each heartbeat (`Stamp`). The voter echoes it, and promises its vote for a time that
//! it counts from the receipt, while the candidate counts from the sending: the vote is over for the candidate first, however
//! long messages take. The voter renews the promise with each heartbeat, and gives its vote to another node only
//! once the promise is over, once the candidate said that it stops, or once it has started again. So that a node that comes to be
//! preferred need not wait, the voter recalls its vote from the other one, which returns it (`Recall`).
//!
//! Two offices have votes of their own: the owner grants the limit, and a deputy a small part beside it, for requests that the owner
//! does not answer.

use crosslane_state::endpoint::Tag;
use crosslane_state::hash;
use crosslane_state::incarnation::Incarnation;
use crosslane_state::time::Millis;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};
use std::hash::Hash;

/// Margin between the end of a vote for its candidate and for its voter, in milliseconds, for clocks that differ in speed.
const DRIFT_MARGIN_MS: u64 = 50;

/// Time for which a returned vote is remembered, in milliseconds: no message takes so long.
const RETURNED_MS: u64 = 300_000;

/// What a node is voted into.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Office {
    /// Grants the limit.
    Owner,
    /// Grants a small part beside the owner.
    Deputy,
}

/// All offices, by the rank of the nodes that are voted into them.
pub const OFFICES: [Office; 2] = [Office::Owner, Office::Deputy];

/// An office for one limit.
pub type Seat = (Office, Tag);

/// Time of a candidate when it sent a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// The candidate's process.
    pub incarnation: Incarnation,
    /// Its time.
    pub at: Millis,
}

/// Votes of a node for another one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ballot {
    /// The voter's process.
    pub voter: Incarnation,
    /// The candidate's time from which the votes are valid.
    pub since: Stamp,
    /// Validity in milliseconds.
    pub valid_ms: u64,
    /// The offices.
    pub seats: Vec<Seat>,
}

/// Votes that a node wants back, or that are returned to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recall {
    /// The voter's process.
    pub voter: Incarnation,
    /// The newest time of the candidate for which it has voted.
    pub until: Stamp,
    /// The offices.
    pub seats: Vec<Seat>,
}

/// A candidate as the voter heard it last.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    stamp: Stamp,
    valid_ms: u64,
    until: Millis,
}

/// A vote that was given.
#[derive(Clone, Copy, Debug)]
struct Promise<N> {
    to: N,
    stamp: Stamp,
    until: Millis,
}

/// Votes that this node gives. `N` names nodes.
#[derive(Debug)]
pub struct Voter<N> {
    incarnation: Incarnation,
    candidates: HashMap<N, Candidate>,
    promises: HashMap<Seat, Promise<N>>,
    /// Whom the node would vote for now.
    preferred: HashMap<Seat, N>,
    /// The same by node.
    seats: HashMap<N, Vec<Seat>>,
}

impl<N: Copy + Eq + Hash> Voter<N> {
    /// A voter that has given no vote.
    pub fn new(incarnation: Incarnation) -> Self {
        let (candidates, promises) = (HashMap::new(), HashMap::new());
        let (preferred, seats) = (HashMap::new(), HashMap::new());
        Self { incarnation, candidates, promises, preferred, seats }
    }

    /// Records a candidate's time, for which votes are valid for some milliseconds from now. One of a former process, or one that
    /// was overtaken, is ignored.
    pub fn hear(&mut self, from: N, stamp: Stamp, valid_ms: u64, now: Millis) {
        let newer = self.candidates.get(&from).is_none_or(|known| {
            let order = |stamp: Stamp| (stamp.incarnation, stamp.at);
            order(known.stamp) < order(stamp) || known.until <= now
        });
        if newer {
            let until = now + valid_ms + DRIFT_MARGIN_MS;
            self.candidates.insert(from, Candidate { stamp, valid_ms, until });
        }
    }

    /// Ends all promises to a process of a node that said that it stops: it grants nothing any more.
    pub fn release(&mut self, node: N, incarnation: Incarnation) {
        if self.candidates.get(&node).is_some_and(|known| known.stamp.incarnation > incarnation) {
            return;
        }
        self.candidates.remove(&node);
        self.promises
            .retain(|_, promise| promise.to != node || promise.stamp.incarnation > incarnation);
    }

    /// Replaces the preferred node of each office. Returns the nodes that are preferred for more offices than before.
    pub fn prefer(&mut self, preferred: HashMap<Seat, N>) -> Vec<N> {
        let gained =
            |(seat, node): (&Seat, &N)| (self.preferred.get(seat) != Some(node)).then_some(*node);
        let gained: HashSet<N> = preferred.iter().filter_map(gained).collect();
        self.seats = HashMap::new();
        for (seat, node) in &preferred {
            self.seats.entry(*node).or_default().push(*seat);
        }
        self.preferred = preferred;
        gained.into_iter().collect()
    }

    /// Votes that are held by others than the preferred nodes, by their holders.
    pub fn recalls(&self, now: Millis) -> HashMap<N, Recall> {
        let mut recalls = HashMap::new();
        for (seat, preferred) in &self.preferred {
            let Some(holder) = self.holder(*seat, now).filter(|holder| holder != preferred) else {
                continue;
            };
            let Some(Candidate { stamp, .. }) = self.candidates.get(&holder) else {
                continue;
            };
            let recall = recalls.entry(holder).or_insert_with(|| Recall {
                voter: self.incarnation,
                until: *stamp,
                seats: Vec::new(),
            });
            recall.seats.push(*seat);
        }
        recalls
    }

    /// Ends the promises for votes that a node returned, unless it was voted for again meanwhile. Returns the nodes that are
    /// preferred for these offices.
    pub fn take_back(&mut self, from: N, returned: &Recall) -> Vec<N> {
        let mut free = HashSet::new();
        for seat in returned.seats.iter().filter(|_| returned.voter == self.incarnation) {
            let is_returned = |promise: &Promise<N>| {
                let Stamp { incarnation, at } = promise.stamp;
                promise.to == from
                    && incarnation == returned.until.incarnation
                    && at <= returned.until.at
            };
            let preferred = self.preferred.get(seat).filter(|preferred| **preferred != from);
            if self.promises.get(seat).is_some_and(is_returned)
                && let Some(preferred) = preferred
            {
                self.promises.remove(seat);
                free.insert(*preferred);
            }
        }
        free.into_iter().collect()
    }

    /// Whether a node is preferred for any office.
    pub fn prefers(&self, node: N) -> bool {
        self.seats.contains_key(&node)
    }

    /// Votes for a node, as far as it is preferred and no other node holds them. `None` if there are none.
    pub fn cast(&mut self, to: N, now: Millis) -> Option<Ballot> {
        let Candidate { stamp, valid_ms, until } =
            *self.candidates.get(&to).filter(|known| known.until > now)?;
        let preferred = self.seats.get(&to)?;
        let free = |seat: &&Seat| self.holder(**seat, now).is_none_or(|holder| holder == to);
        let seats: Vec<Seat> = preferred.iter().filter(free).copied().collect();
        let promise = Promise { to, stamp, until };
        self.promises.extend(seats.iter().map(|seat| (*seat, promise)));
        let ballot = Ballot { voter: self.incarnation, since: stamp, valid_ms, seats };
        (!ballot.seats.is_empty()).then_some(ballot)
    }

    /// Node that holds this node's vote.
    pub fn holder(&self, seat: Seat, now: Millis) -> Option<N> {
        let promise = self.promises.get(&seat).filter(|promise| promise.until > now)?;
        let known = self.candidates.get(&promise.to);
        let process = promise.stamp.incarnation;
        let restarted = known.is_some_and(|known| known.stamp.incarnation > process);
        (!restarted).then_some(promise.to)
    }

    /// Node to ask: the one that holds this node's vote, or else the one that is preferred.
    pub fn asked(&self, seat: Seat, now: Millis) -> Option<N> {
        self.holder(seat, now).or_else(|| self.preferred.get(&seat).copied())
    }

    /// Removes candidates and promises whose time is over.
    pub fn expire(&mut self, now: Millis) {
        self.candidates.retain(|_, known| known.until > now);
        self.promises.retain(|_, promise| promise.until > now);
    }
}

/// Votes that this node holds. `N` names nodes.
#[derive(Debug)]
pub struct Votes<N> {
    incarnation: Incarnation,
    held: HashMap<Seat, HashMap<N, Millis>>,
    voters: HashMap<N, Incarnation>,
    /// Time up to which votes of a node were returned: those that arrive later don't count.
    returned: HashMap<(N, Seat), Millis>,
}

impl<N: Copy + Eq + Hash> Votes<N> {
    /// No votes.
    pub fn new(incarnation: Incarnation) -> Self {
        let (held, voters, returned) = (HashMap::new(), HashMap::new(), HashMap::new());
        Self { incarnation, held, voters, returned }
    }

    /// Records the votes of a node. Those for a former process of this one, and those of a former process of the voter, don't count.
    pub fn record(&mut self, from: N, ballot: &Ballot) {
        if ballot.since.incarnation != self.incarnation || !self.meet(from, ballot.voter) {
            return;
        }
        let until = ballot.since.at + ballot.valid_ms;
        for seat in &ballot.seats {
            let returned = self.returned.get(&(from, *seat));
            if returned.is_some_and(|until| ballot.since.at <= *until) {
                continue;
            }
            let valid = self.held.entry(*seat).or_default().entry(from).or_insert(until);
            *valid = until.max(*valid);
        }
    }

    /// Returns votes to a node that recalls them. `None` if they were given to a former process of this one.
    pub fn give_back(&mut self, to: N, recall: &Recall) -> Option<Recall> {
        if recall.until.incarnation != self.incarnation || !self.meet(to, recall.voter) {
            return None;
        }
        for seat in &recall.seats {
            if let Some(votes) = self.held.get_mut(seat) {
                votes.remove(&to);
            }
            let until = self.returned.entry((to, *seat)).or_insert(recall.until.at);
            *until = recall.until.at.max(*until);
        }
        Some(recall.clone())
    }

    /// Records the process of a voter; one that has started again may have voted for another node. Returns false if it is a former
    /// one.
    pub fn meet(&mut self, voter: N, incarnation: Incarnation) -> bool {
        let known = *self.voters.entry(voter).or_insert(incarnation);
        if known < incarnation {
            self.voters.insert(voter, incarnation);
            self.held.values_mut().for_each(|votes| {
                votes.remove(&voter);
            });
        }
        known <= incarnation
    }

    /// Number of valid votes.
    pub fn count(&self, seat: Seat, now: Millis) -> usize {
        let votes = self.held.get(&seat);
        votes.map_or(0, |votes| votes.values().filter(|until| **until > now).count())
    }

    /// Whether a node's vote is held.
    pub fn has(&self, seat: Seat, voter: N, now: Millis) -> bool {
        let vote = self.held.get(&seat).and_then(|votes| votes.get(&voter));
        vote.is_some_and(|until| *until > now)
    }

    /// Offices with valid votes, and those whose last votes were not removed yet.
    pub fn seats(&self) -> impl Iterator<Item = Seat> {
        self.held.keys().copied()
    }

    /// Removes votes whose time is over.
    pub fn expire(&mut self, now: Millis) {
        self.held.retain(|_, votes| {
            votes.retain(|_, until| *until > now);
            !votes.is_empty()
        });
        self.returned.retain(|_, until| now.since(*until) < RETURNED_MS);
    }
}

/// The nodes that rank first and second for a limit, by their rendezvous weight.
pub fn rank<N: Copy + Ord>(subject: Tag, nodes: &[(Tag, N)]) -> [Option<N>; OFFICES.len()] {
    let mut best: [Option<(u64, N)>; OFFICES.len()] = [None; OFFICES.len()];
    for (tag, node) in nodes {
        let weighed = Some((hash::rendezvous_weight(subject.0, tag.0), *node));
        if weighed > best[0] {
            best = [weighed, best[0]];
        } else if weighed > best[1] {
            best[1] = weighed;
        }
    }
    best.map(|found| found.map(|(_, node)| node))
}
