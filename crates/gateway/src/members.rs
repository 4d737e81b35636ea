//! Other nodes as their heartbeats show them, and what follows for this one.
//!
//! Which nodes read the store, and which gives orders, follows from the heartbeats without agreement:
//! the first by name, passing over those whose reads fail. Two that differ for a moment both read;
//! for orders the store's lease decides.

use crate::mirror::Ends;
use crosslane_coordination::heartbeat::{self, FEW, Interval};
use crosslane_coordination::usage::Usage;
use crosslane_platform::settings::Settings;
use crosslane_state::endpoint::{Stage, Tag};
use crosslane_state::time::Millis;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::IpAddr;

/// Nodes of a failure domain that read the store: with one, its silence would be noticed only
/// after seconds.
const READERS: usize = 2;

/// What a node tells the others.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Heartbeat {
    /// VM of the sender.
    pub vm: String,
    /// Failure domain of the sender.
    pub domain: String,
    /// Time to its next heartbeats.
    pub interval: Interval,
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
    heard: Option<Heard>,
}

/// When a node was last heard.
#[derive(Clone, Copy, Debug)]
struct Heard {
    at: Millis,
    /// Time to its next heartbeat, in milliseconds.
    interval: u64,
}

impl Heard {
    /// Until when its word counts.
    fn until(self) -> Millis {
        self.at + heartbeat::life(self.interval)
    }
}

/// Other nodes by address.
#[derive(Debug)]
pub struct Members {
    me: IpAddr,
    vm: String,
    domain: String,
    /// Window of the retry budget, in milliseconds.
    window: u64,
    members: HashMap<IpAddr, Member>,
    /// Whether some were found that this node has not told of itself.
    found: bool,
}

impl Members {
    /// The nodes named in the settings, not heard yet.
    pub fn new(settings: &Settings) -> Self {
        let mut members = Self {
            me: settings.ip,
            vm: settings.vm.clone(),
            domain: settings.domain.clone(),
            window: settings.retry_window,
            members: HashMap::new(),
            found: false,
        };
        settings.seeds.iter().for_each(|ip| members.add(*ip));
        members
    }

    /// Adds a node that was not heard yet.
    pub fn add(&mut self, ip: IpAddr) {
        if ip != self.me && !self.members.contains_key(&ip) {
            self.members.insert(ip, Member::default());
            self.found = true;
        }
    }

    /// Whether nodes were found, since this was last asked, that must be told of this one. Silent nodes are
    /// told in every eighth round only: at 295 nodes a node that started was unknown for up to 18 s.
    pub fn take_found(&mut self) -> bool {
        std::mem::take(&mut self.found)
    }

    /// Takes a heartbeat. Returns until when its word counts.
    pub fn hear(&mut self, ip: IpAddr, heartbeat: &Heartbeat, now: Millis) -> Millis {
        let interval = heartbeat.interval.toward(heartbeat.domain == self.domain);
        let heard = Heard { at: now, interval };
        if ip == self.me {
            return heard.until();
        }
        let member = Member {
            vm: heartbeat.vm.clone(),
            domain: heartbeat.domain.clone(),
            steady: heartbeat.steady,
            fed: heartbeat.fed,
            ends: heartbeat.ends,
            heard: Some(heard),
        };
        self.members.insert(ip, member);
        heard.until()
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

    /// Time between this node's heartbeats.
    pub fn interval(&self) -> Interval {
        Interval::among(self.members.len())
    }

    fn live(&self, now: Millis) -> impl Iterator<Item = (&IpAddr, &Member)> {
        let heard = move |it: &Member| it.heard.is_some_and(|it| now < it.until());
        self.members.iter().filter(move |(_, it)| heard(it))
    }

    /// Addresses of the nodes in a scope.
    pub fn addresses(&self, scope: Scope, now: Millis) -> Vec<IpAddr> {
        let few = self.members.len() <= FEW;
        let domain = |it: &Member| few || it.domain == self.domain;
        match scope {
            Scope::All => self.members.keys().copied().collect(),
            Scope::Live => self.live(now).map(|(ip, _)| *ip).collect(),
            Scope::Near => self.live(now).filter(|(_, it)| domain(it)).map(|(ip, _)| *ip).collect(),
        }
    }

    /// Nodes that spend from the retry budget, this one among them: what a silent one spent up to the
    /// heartbeat that it owed still counts for a window. Until this node has lived that long, those
    /// not heard yet count too: after a restart of all, each would else take most of the budget.
    pub fn count(&self, now: Millis) -> usize {
        let started = now < Millis(self.window);
        let spends =
            |it: &&Member| it.heard.map_or(started, |it| now < it.at + it.interval + self.window);
        1 + self.members.values().filter(spends).count()
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
