//! Membership of nodes: who is alive, as their heartbeats show, and which roles follow from it.
//!
//! Which nodes read the store and which one gives orders to engines follows from the heartbeats
//! without agreement: the first by name, without those whose reads fail. If two nodes disagree for
//! a moment, both read; orders are protected by the lease in the store.

use crate::mirror::Offsets;
use crosslane_coordination::ballot::{Ballot, Recall};
use crosslane_coordination::heartbeat::{self, Interval, MAX_NEAR_PEERS};
use crosslane_coordination::limits::Update as LimitUpdate;
use crosslane_coordination::quota;
use crosslane_coordination::ring::Ring;
use crosslane_coordination::segments;
use crosslane_coordination::streams::{Knowledge, Name, Record};
use crosslane_coordination::suspicion;
use crosslane_coordination::usage::Usage;
use crosslane_platform::settings::{Adjustable, Settings};
use crosslane_state::endpoint::{Stage, Tag};
use crosslane_state::fingerprint::Fingerprint;
use crosslane_state::time::Millis;
use rand::Rng;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::IpAddr;

/// Nodes of a failure domain that read the store: with a single one, its loss would be noticed only
/// after seconds.
const READERS_PER_DOMAIN: usize = 2;

/// Minimum time between two nodes taking over from readers that the store rejects, in milliseconds.
/// If heartbeats are rarer, it is their interval.
const TAKEOVER_MS: u64 = 500;

/// State that a node sends to all others at intervals.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Heartbeat {
    /// VM of the sender.
    pub vm: String,
    /// Failure domain of the sender.
    pub domain: String,
    /// Time to its next heartbeats.
    pub interval: Interval,
    /// Whether the sender keeps running: it is not stopping.
    pub active: bool,
    /// Whether the sender read the store successfully a short time ago.
    pub store_reachable: bool,
    /// Time since the store recovered from an outage, in milliseconds, while endpoints may still
    /// rewrite records that expired in it.
    pub store_recovered_ago_ms: Option<u64>,
    /// Offsets up to which it has the data of the store.
    pub offsets: Offsets,
    /// Its usage of endpoints.
    pub usage: Vec<(Tag, Usage)>,
    /// Stage changes that it ordered and that engines have not completed.
    pub stage_changes: Vec<(Tag, Stage)>,
    /// Digest of the endpoints' rate limits that it has received.
    pub limits_digest: u64,
}

/// Subject of a rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Subject {
    /// An organisation, whose limit is configured.
    Organisation(Tag),
    /// An endpoint, which names its limit.
    Endpoint(Tag),
    /// The part of a service's retry budget that is lent.
    Retries(Tag),
    /// The part of the connections to a service's endpoints that is lent.
    Connections(Tag),
}

impl Subject {
    /// Tag in messages between nodes.
    pub fn tag(self) -> Tag {
        match self {
            Self::Organisation(tag)
            | Self::Endpoint(tag)
            | Self::Retries(tag)
            | Self::Connections(tag) => tag,
        }
    }
}

/// Message between nodes, sent by UDP.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Message {
    /// The whole state of the sender, at intervals.
    Heartbeat(Heartbeat),
    /// Changed usage of engines, sent to near nodes at once.
    UsageDelta {
        /// Tag of the sender's VM.
        vm: Tag,
        /// The new usage of these engines.
        usage: Vec<(Tag, Usage)>,
    },
    /// Offsets that the sender has reached, sent to some nodes at once.
    Offsets {
        /// Offsets up to which the sender has the data of the store.
        offsets: Offsets,
    },
    /// Suspicions that the sender made or received about requests that may crash endpoints, sent at
    /// once.
    Suspicions {
        /// Tag of the sender's VM.
        vm: Tag,
        /// Updates by request.
        updates: Vec<(Fingerprint, suspicion::Update)>,
    },
    /// Digest of the rulings that the sender has, sent after each heartbeat while there are any.
    RulingsDigest {
        /// Digest of all rulings.
        digest: u64,
    },
    /// Request for all rulings.
    RulingsRequest,
    /// Rate limits that endpoints name, as the sender has them.
    Limits {
        /// Updates by endpoint.
        updates: Vec<(Tag, LimitUpdate)>,
    },
    /// Request for all rate limits that endpoints name.
    LimitsRequest,
    /// Query to the node that owns a limit, whether it grants a request.
    QuotaRequest {
        /// Number of the query, repeated in the reply.
        number: u32,
        /// Subject of the limit.
        subject: Subject,
        /// Cost of the request.
        cost: u32,
        /// The limit as the sender has it, if it is one of an endpoint.
        limit: Option<LimitUpdate>,
    },
    /// Reply of the node that owns the limit.
    QuotaReply {
        /// Number of the query, repeated in the reply.
        number: u32,
        /// Subject of the limit.
        subject: Subject,
        /// Its decision.
        decision: quota::Decision,
    },
    /// Refunds a grant that was not used.
    QuotaRefund {
        /// Subject of the limit.
        subject: Subject,
        /// Cost of the request that was not sent.
        cost: u32,
    },
    /// Services that the sender has lost its way to, sent after each heartbeat while there are any, and once when there are none
    /// any more.
    Lost {
        /// Tags of the services.
        services: Vec<Tag>,
    },
    /// Streams that begin at the sender, sent before their first events leave.
    Streams {
        /// The streams.
        begun: Vec<Record>,
    },
    /// Query which build began a stream.
    StreamQuery {
        /// Number of the query, repeated in the reply.
        number: u32,
        /// The stream, if it can be named.
        name: Option<Name>,
        /// Tag of its service, if the request can only go to one.
        service: Option<Tag>,
        /// Time that a stream and the return of its caller may take, in milliseconds.
        span_ms: u32,
    },
    /// What the sender knows of a stream.
    StreamReply {
        /// Number of the query.
        number: u32,
        /// Its knowledge.
        knowledge: Knowledge,
    },
    /// Evidence for and against segments of prompts, and rulings on them, sent at once.
    Segments {
        /// The updates, in order.
        updates: Vec<segments::Update>,
    },
    /// Digest of the rulings on segments that the sender has, sent after each heartbeat while there are any.
    SegmentsDigest {
        /// Digest of all rulings.
        digest: u64,
    },
    /// Request for all that the receiver knows of segments.
    SegmentsRequest,
    /// Votes of the sender for the receiver, for offices of organisations' limits.
    Ballot(Ballot),
    /// Votes for the receiver that the sender wants back.
    Recall(Recall),
    /// Votes of the receiver that the sender returns.
    Returned(Recall),
}

/// Result of recording a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Receipt {
    /// Time at which its contents expire.
    pub expires_at: Millis,
    /// Whether its sender is near and was silent before. It needs a heartbeat of this node at once
    /// to work out who reads the store.
    pub newcomer: bool,
    /// Whether its sender was silent before.
    pub silent: bool,
}

/// Which nodes get a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All known nodes, including silent ones.
    All,
    /// Live nodes.
    Live,
    /// Live nodes that choose among the same engines: all nodes of a small site, those of this
    /// failure domain in a large one.
    Near,
    /// The near nodes that follow this one on the ring of tags, a bounded number.
    Successors,
}

/// Nodes of a large fleet that are told of a stream, besides the one that begins it. A message to each costs less than the usage
/// updates of the stream's run.
const HOLDERS: usize = 3;

/// Time for which a silent node is assumed to still serve callers behind a network partition, in
/// milliseconds: partitions last seconds, and a node that is gone for good must not hold its share
/// of the organisations' limits.
const PARTITION_MS: u64 = 60_000;

/// Time for which a node that could not reach an endpoint for a request gets no other one, in milliseconds: about the time between
/// two probes. If it has lost its way, it says so itself.
const REFUSED_MS: u64 = 250;

/// Another node.
#[derive(Clone, Debug, Default)]
struct Member {
    vm: String,
    /// Tag in messages between nodes.
    tag: Tag,
    domain: String,
    active: bool,
    store_reachable: bool,
    offsets: Offsets,
    last_heartbeat: Option<LastHeartbeat>,
    /// Services that it has lost its way to, and until when that counts.
    lost: Vec<(Tag, Millis)>,
}

/// Name of a node on the ring.
fn place(ip: IpAddr) -> Tag {
    Tag::of(&ip.to_string())
}

impl Member {
    /// Whether its next heartbeat is not overdue.
    fn is_live(&self, now: Millis) -> bool {
        self.last_heartbeat.is_some_and(|last| now < last.expires_at())
    }

    /// Whether it has lost its way to a service, or to any.
    fn has_lost(&self, service: Option<Tag>, now: Millis) -> bool {
        let is_meant = |known: Tag| service.is_none_or(|service| service == known);
        self.lost.iter().any(|(known, until)| is_meant(*known) && *until > now)
    }
}

/// The last heartbeat of a node.
#[derive(Clone, Copy, Debug)]
struct LastHeartbeat {
    at: Millis,
    /// Time to the next heartbeat, in milliseconds.
    interval_ms: u64,
}

impl LastHeartbeat {
    /// Time at which the node counts as silent.
    fn expires_at(self) -> Millis {
        self.at + heartbeat::ttl_ms(self.interval_ms)
    }
}

/// The other nodes by address.
#[derive(Debug)]
pub struct Members {
    own_ip: IpAddr,
    vm: String,
    domain: String,
    /// Window of the retry budget, in milliseconds.
    retry_window_ms: u64,
    members: HashMap<IpAddr, Member>,
    /// The same nodes on a ring.
    ring: Ring<IpAddr>,
    /// Whether nodes were added that have not been sent a heartbeat yet.
    unannounced: bool,
    /// Since when too few of the nodes before this one read the store.
    readers_missing_since: Option<Millis>,
}

impl Members {
    /// Creates the membership from the seeds in the settings, all silent as yet.
    pub fn new(settings: &Settings) -> Self {
        let Settings { fixed, adjustable } = settings;
        let mut members = Self {
            own_ip: fixed.ip,
            vm: fixed.vm.clone(),
            domain: fixed.domain.clone(),
            retry_window_ms: adjustable.retry_budget.window_ms,
            members: HashMap::new(),
            ring: Ring::default(),
            unannounced: false,
            readers_missing_since: None,
        };
        members.adjust(adjustable);
        members
    }

    /// Applies settings: adds the nodes among their seeds that are not known yet, and keeps all others.
    pub fn adjust(&mut self, settings: &Adjustable) {
        self.retry_window_ms = settings.retry_budget.window_ms;
        settings.seeds.iter().for_each(|ip| self.add(*ip));
    }

    /// Adds a node that has sent no heartbeat yet.
    pub fn add(&mut self, ip: IpAddr) {
        if ip != self.own_ip && !self.members.contains_key(&ip) {
            self.members.insert(ip, Member::default());
            self.ring.insert(place(ip), ip);
            self.unannounced = true;
        }
    }

    /// Whether nodes were added since the last call, which need a heartbeat of this one. Silent
    /// nodes get only every eighth heartbeat: among 295 nodes, a node that started would be unknown
    /// for up to 18 s.
    pub fn take_unannounced(&mut self) -> bool {
        std::mem::take(&mut self.unannounced)
    }

    /// Records a heartbeat.
    pub fn record_heartbeat(&mut self, ip: IpAddr, heartbeat: &Heartbeat, now: Millis) -> Receipt {
        let interval_ms = heartbeat.interval.for_domain(heartbeat.domain == self.domain);
        let last_heartbeat = LastHeartbeat { at: now, interval_ms };
        let known = self.members.get(&ip);
        let previous = known.and_then(|member| member.last_heartbeat);
        let lost = known.map_or_else(Vec::new, |member| member.lost.clone());
        let silent = previous.is_none_or(|previous| previous.expires_at() <= now);
        let newcomer = ip != self.own_ip && silent && self.is_near(&heartbeat.domain);
        let receipt = Receipt { expires_at: last_heartbeat.expires_at(), newcomer, silent };
        if ip == self.own_ip {
            return receipt;
        }
        let member = Member {
            vm: heartbeat.vm.clone(),
            tag: Tag::of(&heartbeat.vm),
            domain: heartbeat.domain.clone(),
            active: heartbeat.active,
            store_reachable: heartbeat.store_reachable,
            offsets: heartbeat.offsets,
            last_heartbeat: Some(last_heartbeat),
            lost,
        };
        if self.members.insert(ip, member).is_none() {
            self.ring.insert(place(ip), ip);
        }
        receipt
    }

    /// Records the offsets that a known node announced between heartbeats.
    pub fn record_offsets(&mut self, ip: IpAddr, offsets: Offsets) {
        if let Some(member) = self.members.get_mut(&ip) {
            member.offsets = offsets;
        }
    }

    /// Records the services that a node says it has lost its way to. It counts until its next heartbeat is overdue.
    pub fn set_lost(&mut self, ip: IpAddr, services: &[Tag], now: Millis) {
        if let Some(member) = self.members.get_mut(&ip) {
            let until = member.last_heartbeat.map_or(now, LastHeartbeat::expires_at);
            member.lost = services.iter().map(|service| (*service, until)).collect();
        }
    }

    /// Records that a node refused a request since it has lost its way to a service.
    pub fn record_lost(&mut self, ip: IpAddr, service: Tag, now: Millis) {
        if let Some(member) = self.members.get_mut(&ip) {
            member.lost.retain(|(known, until)| *known != service && *until > now);
            member.lost.push((service, now + REFUSED_MS));
        }
    }

    /// Nodes that may serve requests for a service in place of this one, in random order: by turns one of this failure domain and
    /// one of the others, since a partition may affect a whole domain.
    pub fn forward_targets(&self, service: Tag, now: Millis, random: &mut impl Rng) -> Vec<IpAddr> {
        let may_serve = |member: &Member| member.active && !member.has_lost(Some(service), now);
        let (mut near, mut far): (Vec<_>, Vec<_>) = self
            .live(now)
            .filter(|(_, member)| may_serve(member))
            .partition(|(_, member)| member.domain == self.domain);
        near.shuffle(random);
        far.shuffle(random);
        let (mut near, mut far) = (near.into_iter(), far.into_iter());
        let turns = std::iter::from_fn(|| match (near.next(), far.next()) {
            (None, None) => None,
            turn => Some([turn.0, turn.1]),
        });
        turns.flatten().flatten().map(|(ip, _)| *ip).collect()
    }

    /// Addresses of live nodes with sufficient offsets, except for one that failed: those of this
    /// failure domain, or all if there are none, since traffic between domains is expensive.
    pub fn sources(
        &self,
        now: Millis,
        failed: Option<IpAddr>,
        sufficient: impl Fn(&Offsets) -> bool,
    ) -> Vec<IpAddr> {
        let (own, other): (Vec<_>, Vec<_>) = self
            .live(now)
            .filter(|(ip, member)| Some(**ip) != failed && sufficient(&member.offsets))
            .partition(|(_, member)| member.domain == self.domain);
        let chosen = if own.is_empty() { other } else { own };
        chosen.into_iter().map(|(ip, _)| *ip).collect()
    }

    /// Number of other nodes, including silent ones.
    pub fn count(&self) -> usize {
        self.members.len()
    }

    /// Interval of this node's heartbeats.
    pub fn interval(&self) -> Interval {
        Interval::for_peers(self.members.len())
    }

    /// Whether the nodes of a failure domain choose among the same engines as this one.
    fn is_near(&self, domain: &str) -> bool {
        self.members.len() <= MAX_NEAR_PEERS || domain == self.domain
    }

    fn live(&self, now: Millis) -> impl Iterator<Item = (&IpAddr, &Member)> {
        self.members.iter().filter(move |(_, member)| member.is_live(now))
    }

    /// Addresses of the nodes in a scope.
    pub fn addresses(&self, scope: Scope, now: Millis) -> Vec<IpAddr> {
        match scope {
            Scope::All => self.members.keys().copied().collect(),
            Scope::Live => self.live(now).map(|(ip, _)| *ip).collect(),
            Scope::Near => {
                let near = self.live(now).filter(|(_, member)| self.is_near(&member.domain));
                near.map(|(ip, _)| *ip).collect()
            }
            Scope::Successors => self.successors(now),
        }
    }

    /// Near nodes by their distance after this one on the ring of tags. Which ones these are changes only as nodes come and
    /// go, so a node that was told of a request is also told of its end.
    fn successors(&self, now: Millis) -> Vec<IpAddr> {
        let own_tag = Tag::of(&self.vm);
        let near = self.live(now).filter(|(_, member)| self.is_near(&member.domain));
        let mut ring: Vec<(u64, IpAddr)> =
            near.map(|(ip, member)| (member.tag.0.wrapping_sub(own_tag.0), *ip)).collect();
        ring.sort_unstable();
        ring.truncate(MAX_NEAR_PEERS);
        ring.into_iter().map(|(_, ip)| ip).collect()
    }

    /// Nodes to tell of a stream that begins: all other live ones of a small fleet, else those that follow its point on the ring.
    pub fn stream_holders(&self, point: Tag, now: Millis) -> Vec<IpAddr> {
        if self.members.len() <= MAX_NEAR_PEERS {
            return self.addresses(Scope::Live, now);
        }
        self.ring.first(HOLDERS, point, |ip| {
            let member = self.members.get(ip)?;
            member.is_live(now).then_some(member.domain.as_str())
        })
    }

    /// Nodes to ask of a stream: those that may have been told, and some more, since nodes come and go in between. A node that has
    /// just started asks also those that it has not heard of yet.
    pub fn stream_sources(&self, point: Tag, now: Millis) -> Vec<IpAddr> {
        if self.members.len() <= MAX_NEAR_PEERS {
            return self.addresses(Scope::All, now);
        }
        let mut sources = Vec::new();
        for _ in 0..2 {
            let more = self.ring.first(HOLDERS, point, |ip| {
                let member = self.members.get(ip).filter(|_| !sources.contains(ip))?;
                let unheard = member.last_heartbeat.is_none().then_some(*ip);
                let may_know = member.is_live(now) || unheard.is_some();
                may_know.then_some((member.domain.as_str(), unheard))
            });
            sources.extend(more);
        }
        sources
    }

    /// Addresses of the live nodes that choose among the same engines, and of the other live ones.
    pub fn near_and_far(&self, now: Millis) -> (Vec<IpAddr>, Vec<IpAddr>) {
        let (near, far): (Vec<_>, Vec<_>) =
            self.live(now).partition(|(_, member)| self.is_near(&member.domain));
        let addresses = |members: Vec<(&IpAddr, _)>| members.iter().map(|(ip, _)| **ip).collect();
        (addresses(near), addresses(far))
    }

    /// Number of nodes that share the retry budget, including this one. A node that fell silent without a word may go on behind a
    /// network partition; one that said that it stops may have used its part until its next heartbeat was due, which counts for one
    /// window. Nodes that this one has not heard of since its start may be on the other side of a partition too.
    pub fn retry_budget_sharers(&self, now: Millis) -> usize {
        let shares = |member: &&Member| {
            member.last_heartbeat.map_or(now < Millis(PARTITION_MS), |last| {
                let may_run = member.active && now.since(last.at) < PARTITION_MS;
                may_run || now < last.at + last.interval_ms + self.retry_window_ms
            })
        };
        1 + self.members.values().filter(shares).count()
    }

    /// Candidates for owning the limit of a subject, in order of preference, among the live nodes
    /// that are not stopping.
    pub fn owners(&self, subject: Tag, now: Millis) -> Vec<IpAddr> {
        quota::owners(subject, self.candidates(now).chain([(Tag::of(&self.vm), self.own_ip)]))
    }

    /// Tags and addresses of the live nodes that are not stopping.
    pub fn candidates(&self, now: Millis) -> impl Iterator<Item = (Tag, IpAddr)> {
        let active = self.live(now).filter(|(_, member)| member.active);
        active.map(|(ip, member)| (member.tag, *ip))
    }

    /// Whether all known nodes have been heard.
    pub fn has_heard_all(&self) -> bool {
        self.members.values().all(|member| member.last_heartbeat.is_some())
    }

    /// Number of live nodes, and of nodes that may serve callers, both including this one. During
    /// the first window of this node, nodes without any heartbeat count as serving.
    pub fn live_and_serving(&self, now: Millis) -> (usize, usize) {
        let starting = now < Millis(self.retry_window_ms);
        let serves = |member: &&Member| {
            member.last_heartbeat.map_or(starting, |last| {
                now < last.expires_at() || (member.active && now.since(last.at) < PARTITION_MS)
            })
        };
        (1 + self.live(now).count(), 1 + self.members.values().filter(serves).count())
    }

    /// Whether this node is the first by name of those that may give orders to engines.
    pub fn is_leader(&self, now: Millis) -> bool {
        let mut others = self.live(now).filter(|(_, member)| {
            member.active && member.store_reachable && !member.has_lost(None, now)
        });
        others.all(|(_, member)| self.vm < member.vm)
    }

    /// Whether this node is one of the readers of the store in its failure domain.
    ///
    /// Load pattern: a store that rejects the calls of many nodes, or of all. The first nodes by
    /// name read. If they are rejected, the next ones take over one after the other, so a store
    /// that is out for 4 s gets calls from a few nodes only. If all took over at once, 295 nodes
    /// would make 4,700 calls to it (of 13,500 in a day), which return no more than those of the
    /// readers.
    pub fn is_store_reader(&mut self, now: Millis) -> bool {
        let predecessors = self.live(now).filter(|(_, member)| {
            member.domain == self.domain && member.active && member.vm < self.vm
        });
        let (rank, reading) = predecessors.fold((0, 0), |(rank, reading), (_, member)| {
            (rank + 1, reading + usize::from(member.store_reachable))
        });
        if rank < READERS_PER_DOMAIN || reading >= READERS_PER_DOMAIN {
            self.readers_missing_since = None;
            return rank < READERS_PER_DOMAIN;
        }
        let missing_since = *self.readers_missing_since.get_or_insert(now);
        let step_ms = TAKEOVER_MS.max(self.interval().near_ms);
        now.since(missing_since) >= step_ms * (rank - READERS_PER_DOMAIN + 1) as u64
    }
}
