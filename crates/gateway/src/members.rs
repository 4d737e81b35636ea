//! Other nodes as their heartbeats show them, and what follows for this one.
//!
//! Which nodes read the store, and which gives orders, follows from the heartbeats without agreement:
//! the first by name, passing over those whose reads fail. Two that differ for a moment both read;
//! for orders the store's lease decides.

use crate::mirror::Ends;
use crosslane_coordination::pool::Usage;
use crosslane_platform::settings::Settings;
use crosslane_state::endpoint::{Stage, Tag};
use crosslane_state::time::Millis;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

/// Shortest time between heartbeats. What others have at engines is this old at most; drafts last
/// some 3 s.
const HEARTBEAT: Duration = Duration::from_millis(250);

/// Time between heartbeats for each other node: a node sends and takes some 130 heartbeats a second
/// at most.
const HEARTBEAT_EACH: Duration = Duration::from_micros(7_500);

/// Time without a heartbeat after which a node counts as silent, in heartbeats.
const SILENT_HEARTBEATS: u32 = 6;

/// Other nodes up to which all are told of requests at engines at once. Some 8 messages a second
/// and node are sent at the grown sites' traffic, so this many cost twice what heartbeats do.
const NEAR: usize = 32;

/// Nodes of a failure domain that read the store: with one, its silence would be noticed only
/// after seconds.
const READERS: usize = 2;

/// Time that a silent node still counts towards the retry budget, in milliseconds: the window in
/// which what it spent still counts.
const REMEMBERED: u64 = 10_000;

/// What a node tells the others.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Heartbeat {
    /// VM of the sender.
    pub vm: String,
    /// Failure domain of the sender.
    pub domain: String,
    /// Whether the sender goes on: it is not stopping.
    pub steady: bool,
    /// Whether the store answers the sender's reads.
    pub fed: bool,
    /// How far it knows the store.
    pub ends: Ends,
    /// What it has at endpoints.
    pub usage: Vec<(Tag, Usage)>,
    /// Stages that it ordered engines to take, until they have.
    pub changing: Vec<(Tag, Stage)>,
}

/// What nodes send each other by UDP.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Message {
    /// Everything, at intervals.
    Heartbeat(Heartbeat),
    /// What changed at engines, to near nodes at once.
    Update {
        /// Tag of the sender's VM.
        vm: Tag,
        /// What the sender now has at these engines.
        usage: Vec<(Tag, Usage)>,
    },
    /// How far the sender knows the store, to some near nodes once it got a configuration from another.
    News {
        /// How far.
        ends: Ends,
    },
}

/// Which nodes are told something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All that were ever heard of.
    All,
    /// Those that live.
    Live,
    /// Those that live and choose among the same engines: all, or among many those of this failure
    /// domain.
    Near,
}

/// What is known of another node.
#[derive(Clone, Debug, Default)]
struct Member {
    vm: String,
    domain: String,
    steady: bool,
    fed: bool,
    ends: Ends,
    heard: Option<Millis>,
}

/// Other nodes by address.
#[derive(Debug)]
pub struct Members {
    me: IpAddr,
    vm: String,
    domain: String,
    members: HashMap<IpAddr, Member>,
}

impl Members {
    /// The nodes named in the settings, not heard yet.
    pub fn new(settings: &Settings) -> Self {
        let mut members = Self {
            me: settings.ip,
            vm: settings.vm.clone(),
            domain: settings.domain.clone(),
            members: HashMap::new(),
        };
        settings.seeds.iter().for_each(|ip| members.add(*ip));
        members
    }

    /// Adds a node that was not heard yet.
    pub fn add(&mut self, ip: IpAddr) {
        if ip != self.me {
            self.members.entry(ip).or_default();
        }
    }

    /// Takes a heartbeat.
    pub fn hear(&mut self, ip: IpAddr, heartbeat: &Heartbeat, now: Millis) {
        if ip == self.me {
            return;
        }
        let member = Member {
            vm: heartbeat.vm.clone(),
            domain: heartbeat.domain.clone(),
            steady: heartbeat.steady,
            fed: heartbeat.fed,
            ends: heartbeat.ends,
            heard: Some(now),
        };
        self.members.insert(ip, member);
    }

    /// Takes news of a node that is known.
    pub fn hear_news(&mut self, ip: IpAddr, ends: Ends) {
        if let Some(member) = self.members.get_mut(&ip) {
            member.ends = ends;
        }
    }

    /// Addresses of the nodes that know enough, but for one that failed: those of this failure domain,
    /// or else all. Traffic between domains is dear.
    pub fn holders(
        &self,
        now: Millis,
        failed: Option<IpAddr>,
        enough: impl Fn(&Ends) -> bool,
    ) -> Vec<IpAddr> {
        let (own, other): (Vec<_>, Vec<_>) = self
            .live(now)
            .filter(|(ip, it)| Some(**ip) != failed && enough(&it.ends))
            .partition(|(_, it)| it.domain == self.domain);
        let holders = if own.is_empty() { other } else { own };
        holders.into_iter().map(|(ip, _)| *ip).collect()
    }

    /// Time between heartbeats, which grows with the number of nodes.
    pub fn interval(&self) -> Duration {
        HEARTBEAT.max(HEARTBEAT_EACH * self.members.len() as u32)
    }

    fn live(&self, now: Millis) -> impl Iterator<Item = (&IpAddr, &Member)> {
        let silent = (self.interval() * SILENT_HEARTBEATS).as_millis() as u64;
        let heard = move |it: &Member| it.heard.is_some_and(|at| now.since(at) < silent);
        self.members.iter().filter(move |(_, it)| heard(it))
    }

    /// Addresses of the nodes in a scope.
    pub fn addresses(&self, scope: Scope, now: Millis) -> Vec<IpAddr> {
        let few = self.members.len() <= NEAR;
        let domain = |it: &Member| few || it.domain == self.domain;
        match scope {
            Scope::All => self.members.keys().copied().collect(),
            Scope::Live => self.live(now).map(|(ip, _)| *ip).collect(),
            Scope::Near => self.live(now).filter(|(_, it)| domain(it)).map(|(ip, _)| *ip).collect(),
        }
    }

    /// Nodes heard within the retry budget's window, this one among them.
    pub fn count(&self, now: Millis) -> usize {
        let recent = |it: &&Member| it.heard.is_some_and(|at| now.since(at) < REMEMBERED);
        1 + self.members.values().filter(recent).count()
    }

    /// Whether this node comes first among those that may give orders.
    pub fn first(&self, now: Millis) -> bool {
        let mut others = self.live(now).filter(|(_, it)| it.steady && it.fed);
        others.all(|(_, it)| self.vm < it.vm)
    }

    /// Whether this node is one of its failure domain's readers of the store.
    pub fn reads(&self, now: Millis) -> bool {
        let before = self
            .live(now)
            .filter(|(_, it)| it.domain == self.domain && it.steady && it.fed && it.vm < self.vm);
        before.count() < READERS
    }
}
