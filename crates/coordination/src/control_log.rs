//! Replicated state machine over the control stream: members, leaving VMs and policy.
//!
//! The order of the log decides every conflict. All nodes replay the same records in the same order
//! and so reach the same state. Duplicate records have no effect.

use crate::record::{Leave, Record};
use crosslane_state::incarnation::Incarnation;
use crosslane_state::member::Roster;
use crosslane_state::policy::{Publication, Version};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Publications kept for `policy history`.
const MAX_HISTORY: usize = 64;

/// Ids of publications and announcements kept to detect duplicate records.
const MAX_REMEMBERED: usize = 4_096;

/// Outcome of a publication.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It was applied as this version.
    #[serde(rename = "counted")]
    #[display("counted as version {_0}")]
    Applied(Version),
    /// Another publication came first; this version was in force.
    #[serde(rename = "lost")]
    #[display("lost the race: version {_0} came first")]
    Conflict(Version),
    /// It was withdrawn before it was accepted.
    #[display("withdrawn")]
    Withdrawn,
}

/// Why a record can't be applied.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// Records between the last applied one and this one are missing.
    #[display("records from {expected} to {found} are missing")]
    Gap {
        /// Offset of the next record to apply.
        expected: u64,
        /// Offset of the record found.
        found: u64,
    },
}

/// State replayed from the control stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Offset of the next record to apply.
    #[serde(rename = "next")]
    pub next_offset: u64,
    /// Member nodes.
    pub roster: Roster,
    /// Announcements of leaving VMs, by VM.
    pub leaving: BTreeMap<String, Leave>,
    /// Ids of announcements that have ended, oldest first.
    #[serde(rename = "ended")]
    pub ended_leaves: VecDeque<String>,
    /// Departed nodes that handed over all their state.
    pub released: BTreeSet<Incarnation>,
    /// Applied publications, oldest first.
    pub history: VecDeque<Publication>,
    /// Outcome of each publication, oldest first.
    #[serde(rename = "verdicts")]
    pub outcomes: VecDeque<(String, Outcome)>,
    /// Offset of the last checkpoint.
    #[serde(rename = "checkpoint")]
    pub checkpoint_offset: u64,
}

impl State {
    /// Applies the record at an offset. A record that was already applied has no effect.
    pub fn replay(&mut self, offset: u64, record: Option<Record>) -> Result<(), Error> {
        if offset < self.next_offset {
            return Ok(());
        }
        if offset > self.next_offset {
            return self.restore(offset, record);
        }
        self.next_offset = offset + 1;
        if let Some(record) = record {
            self.apply(record);
        }
        Ok(())
    }

    /// Newest version, which may not be in force at every node yet.
    pub fn version(&self) -> Version {
        self.history.back().map_or_else(Version::default, |publication| publication.version)
    }

    /// Program of the newest version, if any was published.
    pub fn program(&self) -> Option<&str> {
        self.history.back().map(|publication| publication.program.as_str())
    }

    /// Outcome of a publication.
    pub fn outcome(&self, id: &str) -> Option<&Outcome> {
        self.outcomes.iter().rev().find(|(known, _)| known == id).map(|(_, outcome)| outcome)
    }

    /// An announcement with its node filled in, if the VM has a member.
    pub fn with_node(&self, leave: Leave) -> Leave {
        let member = self.roster.iter().find(|member| member.vm == leave.vm);
        let node = leave.node.or(member.map(|found| found.incarnation));
        Leave { node, ..leave }
    }

    /// Whether an announcement still applies: no longer once its node was replaced.
    pub fn is_current(&self, leave: &Leave) -> bool {
        leave.node.is_none_or(|node| self.roster.get(node).is_some())
    }

    /// Failure domains that have not confirmed the newest version.
    pub fn unconfirmed_domains(&self) -> BTreeSet<String> {
        let Some(newest) = self.history.back().filter(|publication| !publication.accepted) else {
            return BTreeSet::new();
        };
        self.domains().difference(&newest.confirmed).cloned().collect()
    }

    /// Failure domains that have members.
    pub fn domains(&self) -> BTreeSet<String> {
        self.roster.iter().map(|member| member.domain.clone()).collect()
    }

    /// Replaces the state by that of a checkpoint after a gap; replay continues at its next offset.
    fn restore(&mut self, offset: u64, record: Option<Record>) -> Result<(), Error> {
        match record {
            Some(Record::Checkpoint { state }) if state.next_offset > self.next_offset => {
                *self = *state;
                Ok(())
            }
            _ => Err(Error::Gap { expected: self.next_offset, found: offset }),
        }
    }

    fn apply(&mut self, record: Record) {
        match record {
            Record::Join { member } => {
                self.end_leave(&member.vm);
                self.roster.join(member);
                self.accept_if_confirmed();
            }
            Record::Depart { incarnation, released } => {
                if self.roster.depart(incarnation).is_some() && released {
                    self.released.insert(incarnation);
                    while self.released.len() > MAX_HISTORY {
                        self.released.pop_first();
                    }
                }
                self.accept_if_confirmed();
            }
            Record::Leave { leave } => {
                let leave = self.with_node(leave);
                if !self.ended_leaves.contains(&leave.id) {
                    self.leaving.insert(leave.vm.clone(), leave);
                }
            }
            Record::Back { vm } => self.end_leave(&vm),
            Record::Publish { id, base, program, author } => {
                self.publish(id, base, program, author);
            }
            Record::Withdraw { publication } => self.withdraw(&publication),
            Record::Confirm { version, domain } => self.confirm(version, domain),
            Record::Checkpoint { .. } => self.checkpoint_offset = self.next_offset - 1,
        }
    }

    fn end_leave(&mut self, vm: &str) {
        if let Some(leave) = self.leaving.remove(vm) {
            self.ended_leaves.push_back(leave.id);
            if self.ended_leaves.len() > MAX_REMEMBERED {
                self.ended_leaves.pop_front();
            }
        }
    }

    fn publish(&mut self, id: String, base: Version, program: String, author: String) {
        if self.outcome(&id).is_some() {
            return;
        }
        if base != self.version() {
            self.record_outcome(id, Outcome::Conflict(self.version()));
            return;
        }
        let version = Version(base.0 + 1);
        self.record_outcome(id.clone(), Outcome::Applied(version));
        self.push_publication(Publication {
            id,
            version,
            program,
            author,
            confirmed: BTreeSet::new(),
            accepted: false,
        });
    }

    /// Restores the program before the newest one under a new version.
    fn withdraw(&mut self, id: &str) {
        let Some(newest) =
            self.history.back().filter(|publication| publication.id == id && !publication.accepted)
        else {
            return;
        };
        let version = Version(newest.version.0 + 1);
        let author = newest.author.clone();
        let previous =
            self.history.iter().rev().nth(1).map(|publication| publication.program.clone());
        if let Some(entry) = self.outcomes.iter_mut().find(|(known, _)| known == id) {
            entry.1 = Outcome::Withdrawn;
        }
        self.push_publication(Publication {
            id: format!("{id}/withdrawn"),
            version,
            program: previous.unwrap_or_else(|| crate::program::DEFAULT.to_owned()),
            author,
            confirmed: BTreeSet::new(),
            accepted: false,
        });
    }

    fn confirm(&mut self, version: Version, domain: String) {
        if let Some(newest) =
            self.history.back_mut().filter(|publication| publication.version == version)
        {
            newest.confirmed.insert(domain);
        }
        self.accept_if_confirmed();
    }

    fn accept_if_confirmed(&mut self) {
        let domains = self.domains();
        if let Some(newest) = self.history.back_mut()
            && !domains.is_empty()
            && domains.is_subset(&newest.confirmed)
        {
            newest.accepted = true;
        }
    }

    fn push_publication(&mut self, publication: Publication) {
        self.history.push_back(publication);
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
    }

    fn record_outcome(&mut self, id: String, outcome: Outcome) {
        self.outcomes.push_back((id, outcome));
        if self.outcomes.len() > MAX_REMEMBERED {
            self.outcomes.pop_front();
        }
    }
}
