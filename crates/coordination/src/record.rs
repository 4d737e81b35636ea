//! Records of the control stream in the platform's log.

use crosslane_state::incarnation::Incarnation;
use crosslane_state::member::Member;
use crosslane_state::policy::Version;
use serde::{Deserialize, Serialize};

/// An announcement that a VM is leaving.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Leave {
    /// Identity of the announcement.
    pub id: String,
    /// VM that leaves.
    pub vm: String,
    /// Node that it holds for; `None` for an endpoint VM.
    pub node: Option<Incarnation>,
}

/// One record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Record {
    /// A node joins; replaces an earlier one on its VM.
    Join {
        /// The node.
        member: Member,
    },
    /// A node has ended.
    Depart {
        /// The node.
        incarnation: Incarnation,
        /// Whether it handed everything over; else its VM is gone.
        released: bool,
    },
    /// A VM is leaving.
    Leave {
        /// The announcement.
        leave: Leave,
    },
    /// An endpoint VM is back and usable.
    Back {
        /// VM.
        vm: String,
    },
    /// A policy, to follow a base version.
    Publish {
        /// Identity given by its publisher.
        id: String,
        /// Version it was written against.
        base: Version,
        /// Program text.
        program: String,
        /// Who published it.
        author: String,
    },
    /// Takes back a policy that is not accepted yet.
    Withdraw {
        /// The publication.
        publication: String,
    },
    /// A version is in force at every node of a failure domain.
    Confirm {
        /// Version.
        version: Version,
        /// Failure domain.
        domain: String,
    },
    /// The whole fold so far, before the log forgets its parts.
    Checkpoint {
        /// Fold at this offset.
        state: Box<crate::fold::State>,
    },
}
