//! Cluster membership: the node incarnations whose join is recorded in the log.

use crate::hash;
use crate::incarnation::Incarnation;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// One node that has joined.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Identity of this start of the node.
    pub incarnation: Incarnation,
    /// VM it runs on.
    pub vm: String,
    /// Failure domain.
    pub domain: String,
    /// Address for control messages of other nodes.
    pub control: SocketAddr,
    /// Address for requests forwarded by other nodes.
    pub forward: SocketAddr,
}

/// Current members; serialized as a list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<Member>", into = "Vec<Member>")]
pub struct Roster {
    members: BTreeMap<Incarnation, Member>,
}

impl From<Vec<Member>> for Roster {
    fn from(members: Vec<Member>) -> Self {
        Self { members: members.into_iter().map(|member| (member.incarnation, member)).collect() }
    }
}

impl From<Roster> for Vec<Member> {
    fn from(roster: Roster) -> Self {
        roster.members.into_values().collect()
    }
}

impl Roster {
    /// Adds a member, and removes and returns earlier incarnations on the same VM.
    pub fn join(&mut self, member: Member) -> Vec<Incarnation> {
        let replaced: Vec<_> = self
            .members
            .values()
            .filter(|old| old.vm == member.vm && old.incarnation < member.incarnation)
            .map(|old| old.incarnation)
            .collect();
        for incarnation in &replaced {
            self.members.remove(incarnation);
        }
        self.members.insert(member.incarnation, member);
        replaced
    }

    /// Removes a member.
    pub fn depart(&mut self, incarnation: Incarnation) -> Option<Member> {
        self.members.remove(&incarnation)
    }

    /// The member with this incarnation.
    pub fn get(&self, incarnation: Incarnation) -> Option<&Member> {
        self.members.get(&incarnation)
    }

    /// All members, in order of incarnation.
    pub fn iter(&self) -> impl Iterator<Item = &Member> + Clone {
        self.members.values()
    }

    /// Number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there are no members.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Members by their rendezvous weight for a key hash, highest first.
    pub fn ranked(&self, key: u64) -> Vec<Incarnation> {
        let mut ranked: Vec<_> = self
            .members
            .keys()
            .map(|member| (hash::rendezvous_weight(key, member.0), *member))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.into_iter().map(|(_, member)| member).collect()
    }

    /// The eligible member with the highest rendezvous weight for a key hash.
    pub fn owner(&self, key: u64, eligible: impl Fn(Incarnation) -> bool) -> Option<Incarnation> {
        self.members
            .keys()
            .filter(|member| eligible(**member))
            .max_by_key(|member| (hash::rendezvous_weight(key, member.0), **member))
            .copied()
    }

    /// The `count` members that follow an incarnation on the ring of incarnation hashes.
    pub fn neighbours(&self, of: Incarnation, count: usize) -> Vec<&Member> {
        let position = |incarnation: Incarnation| {
            (hash::rendezvous_weight(RING_KEY, incarnation.0), incarnation)
        };
        let mut ring: Vec<_> =
            self.members.values().filter(|member| member.incarnation != of).collect();
        let start = position(of);
        ring.sort_unstable_by_key(|member| {
            (position(member.incarnation) < start, position(member.incarnation))
        });
        ring.truncate(count);
        ring
    }
}

/// Hash key that gives each incarnation its position on the ring.
const RING_KEY: u64 = 0x0063_726f_7373;
