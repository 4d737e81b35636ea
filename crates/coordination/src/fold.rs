//! The fold of the control stream: members, leaving VMs and policy.
//!
//! The log's order is the one arbiter. Every node folds the same records in the same order
//! and so comes to the same state; a doubled record changes nothing.

use crate::record::{Leave, Record};
use crosslane_state::incarnation::Incarnation;
use crosslane_state::member::Roster;
use crosslane_state::policy::{Publication, Version};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Publications kept for `policy history`.
const HISTORY: usize = 64;

/// Identities of publications and announcements kept to settle doubled records.
const REMEMBERED: usize = 4_096;

/// What became of a publication.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// It counted and made this version.
    #[display("counted as version {_0}")]
    Counted(Version),
    /// Another came first; this version was in force.
    #[display("lost the race: version {_0} came first")]
    Lost(Version),
    /// It was taken back before it was accepted.
    #[display("withdrawn")]
    Withdrawn,
}

/// Why a record can't be folded.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// Records between the last folded one and this are missing.
    #[display("records from {expected} to {found} are missing")]
    Gap {
        /// Offset that was due.
        expected: u64,
        /// Offset that came.
        found: u64,
    },
}

/// Everything the control stream says.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Offset of the next record to fold.
    pub next: u64,
    /// Members.
    pub roster: Roster,
    /// Leaving VMs.
    pub leaving: BTreeMap<String, Leave>,
    /// Announcements that no longer hold.
    pub ended: VecDeque<String>,
    /// Departed nodes that handed everything over.
    pub released: BTreeSet<Incarnation>,
    /// Publications that counted, oldest first.
    pub history: VecDeque<Publication>,
    /// What became of each publication, oldest first.
    pub verdicts: VecDeque<(String, Verdict)>,
    /// Offset of the last checkpoint.
    pub checkpoint: u64,
}

impl State {
    /// Folds the record at an offset; one already folded changes nothing.
    pub fn fold(&mut self, offset: u64, record: Option<Record>) -> Result<(), Error> {
        if offset < self.next {
            return Ok(());
        }
        if offset > self.next {
            return self.bridge(offset, record);
        }
        self.next = offset + 1;
        if let Some(record) = record {
            self.apply(record);
        }
        Ok(())
    }

    /// Version in force, or about to be everywhere.
    pub fn version(&self) -> Version {
        self.history.back().map_or_else(Version::default, |it| it.version)
    }

    /// Program in force, if any was published.
    pub fn program(&self) -> Option<&str> {
        self.history.back().map(|it| it.program.as_str())
    }

    /// What became of a publication.
    pub fn verdict(&self, id: &str) -> Option<&Verdict> {
        self.verdicts.iter().rev().find(|(it, _)| it == id).map(|(_, verdict)| verdict)
    }

    /// An announcement with the node that it holds for, if its VM has one.
    pub fn stamped(&self, leave: Leave) -> Leave {
        let member = self.roster.iter().find(|it| it.vm == leave.vm);
        let node = leave.node.or(member.map(|it| it.incarnation));
        Leave { node, ..leave }
    }

    /// Whether an announcement still holds: not once its node was replaced.
    pub fn stands(&self, leave: &Leave) -> bool {
        leave.node.is_none_or(|it| self.roster.get(it).is_some())
    }

    /// Failure domains that have not confirmed the newest version.
    pub fn missing(&self) -> BTreeSet<String> {
        let Some(newest) = self.history.back().filter(|it| !it.accepted) else {
            return BTreeSet::new();
        };
        self.domains().difference(&newest.confirmed).cloned().collect()
    }

    /// Failure domains that have members.
    pub fn domains(&self) -> BTreeSet<String> {
        self.roster.iter().map(|it| it.domain.clone()).collect()
    }

    /// Takes a checkpoint's state across a gap; reading goes on from its `next`.
    fn bridge(&mut self, offset: u64, record: Option<Record>) -> Result<(), Error> {
        match record {
            Some(Record::Checkpoint { state }) if state.next > self.next => {
                *self = *state;
                Ok(())
            }
            _ => Err(Error::Gap { expected: self.next, found: offset }),
        }
    }

    fn apply(&mut self, record: Record) {
        match record {
            Record::Join { member } => {
                self.end_leave(&member.vm);
                self.roster.join(member);
                self.accept();
            }
            Record::Depart { incarnation, released } => {
                if self.roster.depart(incarnation).is_some() && released {
                    self.released.insert(incarnation);
                    while self.released.len() > HISTORY {
                        self.released.pop_first();
                    }
                }
                self.accept();
            }
            Record::Leave { leave } => {
                let leave = self.stamped(leave);
                if !self.ended.contains(&leave.id) {
                    self.leaving.insert(leave.vm.clone(), leave);
                }
            }
            Record::Back { vm } => self.end_leave(&vm),
            Record::Publish { id, base, program, author } => {
                self.publish(id, base, program, author);
            }
            Record::Withdraw { publication } => self.withdraw(&publication),
            Record::Confirm { version, domain } => self.confirm(version, domain),
            Record::Checkpoint { .. } => self.checkpoint = self.next - 1,
        }
    }

    fn end_leave(&mut self, vm: &str) {
        if let Some(leave) = self.leaving.remove(vm) {
            self.ended.push_back(leave.id);
            if self.ended.len() > REMEMBERED {
                self.ended.pop_front();
            }
        }
    }

    fn publish(&mut self, id: String, base: Version, program: String, author: String) {
        if self.verdict(&id).is_some() {
            return;
        }
        if base != self.version() {
            self.settle(id, Verdict::Lost(self.version()));
            return;
        }
        let version = Version(base.0 + 1);
        self.settle(id.clone(), Verdict::Counted(version));
        self.push(Publication {
            id,
            version,
            program,
            author,
            confirmed: BTreeSet::new(),
            accepted: false,
        });
    }

    /// Puts the program before the newest in force again, under a new version.
    fn withdraw(&mut self, id: &str) {
        let Some(newest) = self.history.back().filter(|it| it.id == id && !it.accepted) else {
            return;
        };
        let version = Version(newest.version.0 + 1);
        let author = newest.author.clone();
        let before = self.history.iter().rev().nth(1).map(|it| it.program.clone());
        if let Some(entry) = self.verdicts.iter_mut().find(|(it, _)| it == id) {
            entry.1 = Verdict::Withdrawn;
        }
        self.push(Publication {
            id: format!("{id}/withdrawn"),
            version,
            program: before.unwrap_or_else(|| crate::program::DEFAULT.to_owned()),
            author,
            confirmed: BTreeSet::new(),
            accepted: false,
        });
    }

    fn confirm(&mut self, version: Version, domain: String) {
        if let Some(newest) = self.history.back_mut().filter(|it| it.version == version) {
            newest.confirmed.insert(domain);
        }
        self.accept();
    }

    fn accept(&mut self) {
        let domains = self.domains();
        if let Some(newest) = self.history.back_mut()
            && !domains.is_empty()
            && domains.is_subset(&newest.confirmed)
        {
            newest.accepted = true;
        }
    }

    fn push(&mut self, publication: Publication) {
        self.history.push_back(publication);
        if self.history.len() > HISTORY {
            self.history.pop_front();
        }
    }

    fn settle(&mut self, id: String, verdict: Verdict) {
        self.verdicts.push_back((id, verdict));
        if self.verdicts.len() > REMEMBERED {
            self.verdicts.pop_front();
        }
    }
}
