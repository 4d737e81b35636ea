//! Members: the node incarnations that the log has recorded.

use crate::hash;
use crate::incarnation::Incarnation;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// One node that has joined.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Which start of the node.
    pub incarnation: Incarnation,
    /// VM it runs on.
    pub vm: String,
    /// Failure domain.
    pub domain: String,
    /// Address for control messages.
    pub control: SocketAddr,
    /// Address for forwarded requests.
    pub forward: SocketAddr,
}

/// The members in force; written as a list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<Member>", into = "Vec<Member>")]
pub struct Roster {
    members: BTreeMap<Incarnation, Member>,
}

impl From<Vec<Member>> for Roster {
    fn from(members: Vec<Member>) -> Self {
        Self { members: members.into_iter().map(|it| (it.incarnation, it)).collect() }
    }
}

impl From<Roster> for Vec<Member> {
    fn from(roster: Roster) -> Self {
        roster.members.into_values().collect()
    }
}

impl Roster {
    /// Adds a member and returns earlier ones on the same VM, now removed.
    pub fn join(&mut self, member: Member) -> Vec<Incarnation> {
        let replaced: Vec<_> = self
            .members
            .values()
            .filter(|old| old.vm == member.vm && old.incarnation < member.incarnation)
            .map(|old| old.incarnation)
            .collect();
        for old in &replaced {
            self.members.remove(old);
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

    /// All members, by incarnation.
    pub fn iter(&self) -> impl Iterator<Item = &Member> + Clone {
        self.members.values()
    }

    /// How many members there are.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Members from the highest rendezvous weight for a hash downwards.
    pub fn ranked(&self, key: u64) -> Vec<Incarnation> {
        let mut ranked: Vec<_> =
            self.members.keys().map(|it| (hash::weight(key, it.0), *it)).collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.into_iter().map(|(_, it)| it).collect()
    }

    /// The member with the highest weight that passes a check.
    pub fn owner(&self, key: u64, eligible: impl Fn(Incarnation) -> bool) -> Option<Incarnation> {
        self.members
            .keys()
            .filter(|it| eligible(**it))
            .max_by_key(|it| (hash::weight(key, it.0), **it))
            .copied()
    }

    /// The next `count` members after one on the ring of incarnation hashes.
    pub fn neighbours(&self, of: Incarnation, count: usize) -> Vec<&Member> {
        let place = |it: Incarnation| (hash::weight(RING, it.0), it);
        let mut ring: Vec<_> = self.members.values().filter(|it| it.incarnation != of).collect();
        let here = place(of);
        ring.sort_unstable_by_key(|it| (place(it.incarnation) < here, place(it.incarnation)));
        ring.truncate(count);
        ring
    }
}

/// Seed of the ring on which neighbours are chosen.
const RING: u64 = 0x0063_726f_7373;
