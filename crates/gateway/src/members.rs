//! Other nodes as their heartbeats show them, and what follows for this one.
//!
//! Which nodes read the store, and which gives orders, follows from the heartbeats without agreement:
//! the first by name, passing over those whose reads fail. Two that differ for a moment both read;
//! for orders the store's lease decides.

use crate::mirror::Ends;
use crosslane_coordination::heartbeat::{self, FEW, Interval};
use crosslane_coordination::limits::Word as LimitWord;
use crosslane_coordination::quota;
use crosslane_coordination::suspicion;
use crosslane_coordination::usage::Usage;
use crosslane_platform::settings::Settings;
use crosslane_state::endpoint::{Stage, Tag};
use crosslane_state::fingerprint::Fingerprint;
use crosslane_state::time::Millis;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::IpAddr;

/// Nodes of a failure domain that read the store: with one, its silence would be noticed only
/// after seconds.
const READERS: usize = 2;

/// Least time that a node leaves to the one before it to take over from readers that the store turns away,
/// in milliseconds. Where heartbeats are rarer, it leaves it as long as they take.
const TAKEOVER: u64 = 500;

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
    /// Time since the store answered again after a failure, in milliseconds, while endpoints' records that
    /// lapsed meanwhile may still come back.
    pub returned: Option<u64>,
    /// How far it knows the store.
    pub ends: Ends,
    /// What it has at endpoints.
    pub usage: Vec<(Tag, Usage)>,
    /// Stages that it ordered engines to take, until they have.
    pub changing: Vec<(Tag, Stage)>,
    /// Digest of the limits that endpoints name, as it knows them.
    pub limits: u64,
}

/// Whose limit a request counts against.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Subject {
    /// An organisation's, as configured.
    Organisation(Tag),
    /// An endpoint's, as it names it.
    Endpoint(Tag),
}

impl Subject {
    /// Name between nodes.
    pub fn tag(self) -> Tag {
        match self {
            Self::Organisation(tag) | Self::Endpoint(tag) => tag,
        }
    }
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
    /// What the sender saw or heard of requests under which endpoints ended, at once.
    Words {
        /// Tag of the sender's VM.
        vm: Tag,
        /// What, by request.
        words: Vec<(Fingerprint, suspicion::Word)>,
    },
    /// Which rulings the sender knows; after each heartbeat while there are any.
    Rulings {
        /// Digest of them all.
        digest: u64,
    },
    /// Asks for all rulings.
    RulingsWanted,
    /// Limits that endpoints name, as the sender knows them.
    Limits {
        /// By endpoint.
        words: Vec<(Tag, LimitWord)>,
    },
    /// Asks for all limits that endpoints name.
    LimitsWanted,
    /// Asks a limit's owner whether a request may be sent.
    Ask {
        /// Number of the question.
        number: u32,
        /// Whose limit.
        subject: Subject,
        /// What it costs.
        cost: u32,
        /// The limit as the sender knows it, if an endpoint names it.
        word: Option<LimitWord>,
    },
    /// An owner's answer.
    Ruled {
        /// Number of the question.
        number: u32,
        /// Whose limit.
        subject: Subject,
        /// Answer.
        verdict: quota::Verdict,
    },
    /// Gives back what was granted and not used.
    GivenBack {
        /// Whose limit.
        subject: Subject,
        /// What it would have cost.
        cost: u32,
    },
}

/// How a heartbeat is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Word {
    /// Until when it counts.
    pub until: Millis,
    /// Whether its sender is near and was silent before: it should hear of this node at once, to know who
    /// reads the store.
    pub newcomer: bool,
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

/// Time for which a silent node may still serve callers that this one can't see, in milliseconds: cuts between
/// nodes last seconds, and one that is gone for good must not hold its share of organisations' limits.
const FORGOTTEN: u64 = 60_000;

/// What is known of another node.
#[derive(Clone, Debug, Default)]
struct Member {
    vm: String,
    /// Name between nodes.
    tag: Tag,
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
    /// Since when too few nodes before this one read the store.
    lacking: Option<Millis>,
}

impl Members {
    /// The nodes named in the settings, not heard yet.
    pub fn new(settings: &Settings) -> Self {
        let mut members = Self {
            me: settings.ip,
            vm: settings.vm.clone(),
            domain: settings.domain.clone(),
            window: settings.retry_window_ms,
            members: HashMap::new(),
            found: false,
            lacking: None,
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

    /// Takes a heartbeat.
    pub fn hear(&mut self, ip: IpAddr, heartbeat: &Heartbeat, now: Millis) -> Word {
        let interval = heartbeat.interval.toward(heartbeat.domain == self.domain);
        let heard = Heard { at: now, interval };
        let known = self.members.get(&ip).and_then(|it| it.heard);
        let silent = known.is_none_or(|it| it.until() <= now);
        let newcomer = ip != self.me && silent && self.near(&heartbeat.domain);
        let word = Word { until: heard.until(), newcomer };
        if ip == self.me {
            return word;
        }
        let member = Member {
            vm: heartbeat.vm.clone(),
            tag: Tag::of(&heartbeat.vm),
            domain: heartbeat.domain.clone(),
            steady: heartbeat.steady,
            fed: heartbeat.fed,
            ends: heartbeat.ends,
            heard: Some(heard),
        };
        self.members.insert(ip, member);
        word
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

    /// Whether nodes of a failure domain choose among the same engines as this one.
    fn near(&self, domain: &str) -> bool {
        self.members.len() <= FEW || domain == self.domain
    }

    fn live(&self, now: Millis) -> impl Iterator<Item = (&IpAddr, &Member)> {
        let heard = move |it: &Member| it.heard.is_some_and(|it| now < it.until());
        self.members.iter().filter(move |(_, it)| heard(it))
    }

    /// Addresses of the nodes in a scope.
    pub fn addresses(&self, scope: Scope, now: Millis) -> Vec<IpAddr> {
        match scope {
            Scope::All => self.members.keys().copied().collect(),
            Scope::Live => self.live(now).map(|(ip, _)| *ip).collect(),
            Scope::Near => {
                let near = self.live(now).filter(|(_, it)| self.near(&it.domain));
                near.map(|(ip, _)| *ip).collect()
            }
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

    /// Nodes that may rule on a limit, first choice first, among all that live and are not stopping.
    pub fn owners(&self, subject: Tag, now: Millis) -> Vec<IpAddr> {
        let others = self.live(now).filter(|(_, it)| it.steady).map(|(ip, it)| (it.tag, *ip));
        quota::owners(subject, others.chain([(Tag::of(&self.vm), self.me)]))
    }

    /// Nodes that this one sees, and those that may serve callers, this one among both. Until this node has
    /// lived for a while, those not heard yet count too.
    pub fn seen(&self, now: Millis) -> (usize, usize) {
        let started = now < Millis(self.window);
        let serves = |it: &&Member| {
            it.heard.map_or(started, |heard| {
                now < heard.until() || (it.steady && now.since(heard.at) < FORGOTTEN)
            })
        };
        (1 + self.live(now).count(), 1 + self.members.values().filter(serves).count())
    }

    /// Whether this node comes first among those that may give orders.
    pub fn first(&self, now: Millis) -> bool {
        let mut others = self.live(now).filter(|(_, it)| it.steady && it.fed);
        others.all(|(_, it)| self.vm < it.vm)
    }

    /// Whether this node is one of its failure domain's readers of the store.
    ///
    /// Load pattern: a store that turns many nodes away, or all. The first nodes by name read. Where
    /// they are turned away, the next ones take over one after the other, so that a store which is
    /// out for 4 s is asked by a few: when all took over at once, 295 nodes made 4,700 calls to
    /// it (of 13,500 in a day), which said no more than the readers' own.
    pub fn reads(&mut self, now: Millis) -> bool {
        let before = self
            .live(now)
            .filter(|(_, it)| it.domain == self.domain && it.steady && it.vm < self.vm);
        let (rank, fed) =
            before.fold((0, 0), |(rank, fed), (_, it)| (rank + 1, fed + usize::from(it.fed)));
        if rank < READERS || fed >= READERS {
            self.lacking = None;
            return rank < READERS;
        }
        let since = *self.lacking.get_or_insert(now);
        let step = TAKEOVER.max(self.interval().near);
        now.since(since) >= step * (rank - READERS + 1) as u64
    }
}
