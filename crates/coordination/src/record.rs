//! Records of the control stream, which is stored in the platform's log.

use crosslane_state::incarnation::Incarnation;
use crosslane_state::member::Member;
use crosslane_state::policy::Version;
use serde::{Deserialize, Serialize};

/// Announcement that a VM is leaving.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Leave {
    /// Id of the announcement.
    pub id: String,
    /// Leaving VM.
    pub vm: String,
    /// Node on the VM; `None` for an endpoint VM.
    pub node: Option<Incarnation>,
}

/// A record of the control stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Record {
    /// A node joins; it replaces an earlier node on the same VM.
    Join {
        /// The node.
        member: Member,
    },
    /// A node has departed.
    Depart {
        /// The node.
        incarnation: Incarnation,
        /// Whether the node handed over all its state. If not, its VM is gone.
        released: bool,
    },
    /// A VM is leaving.
    Leave {
        /// The announcement.
        leave: Leave,
    },
    /// An endpoint VM is usable again.
    Back {
        /// The VM.
        vm: String,
    },
    /// Publishes a policy; it is applied only if `base` is still the newest version.
    Publish {
        /// Id chosen by the publisher.
        id: String,
        /// Version that the policy was written against.
        base: Version,
        /// Source of the program.
        program: String,
        /// Name of the publisher.
        author: String,
    },
    /// Withdraws a policy that is not accepted yet.
    Withdraw {
        /// Id of the publication.
        publication: String,
    },
    /// A version is in force at every node of a failure domain.
    Confirm {
        /// The version.
        version: Version,
        /// The failure domain.
        domain: String,
    },
    /// Snapshot of the replayed state, written before the log truncates older records.
    Checkpoint {
        /// State at this offset.
        state: Box<crate::control_log::State>,
    },
}
