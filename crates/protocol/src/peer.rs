//! Control messages between nodes.

use crosslane_coordination::control_log;
use crosslane_coordination::record::Leave;
use crosslane_coordination::slots::{Decision, Request};
use crosslane_state::answer::Answer;
use crosslane_state::attempt;
use crosslane_state::incarnation::Incarnation;
use crosslane_state::load::Report;
use crosslane_state::member::Member;
use crosslane_state::policy::Version;
use crosslane_state::request::Key;
use crosslane_state::runner;
use serde::{Deserialize, Serialize};

/// Heartbeat that neighbours exchange.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Sender.
    pub sender: Incarnation,
    /// Policy version that the sender uses.
    pub version: Version,
    /// Load of the runners that the sender owns.
    pub loads: Vec<(runner::Id, Report)>,
    /// Leave announcements, which may not be in the log yet.
    pub leaves: Vec<Leave>,
    /// Description of the sender, while its join may not have reached others through the log.
    pub new_member: Option<Member>,
}

/// State for a node that starts while the log is unavailable.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// State replayed from the control stream of the log.
    pub state: control_log::State,
    /// Nodes whose join is not in the log.
    pub provisional_members: Vec<Member>,
}

/// Idempotency record that a stopping node hands over to the next owner of the key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdempotencyRecord {
    /// Idempotency key.
    pub key: Key,
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Recorded response, if it is still kept.
    pub answer: Option<Answer>,
}

/// Calls between nodes.
#[tarpc::service]
pub trait Peer {
    /// Takes the caller's heartbeat and returns the callee's.
    async fn heartbeat(heartbeat: Heartbeat) -> Heartbeat;
    /// Reserves a slot of a runner that the callee owns.
    async fn reserve_slot(runner: runner::Id, ask: Request) -> Decision;
    /// Frees a slot of a runner that the callee owns.
    async fn release_slot(runner: runner::Id, attempt: attempt::Id);
    /// For each of the callee's attempts, whether it is still in use.
    async fn still_in_use(attempts: Vec<attempt::Id>) -> Vec<bool>;
    /// Releases a key to the caller unless the callee has a record of it; true if it is released.
    async fn release_key(key: Key, new_owner: Incarnation) -> bool;
    /// Indirect probe: whether the callee can reach a node that the caller suspects.
    async fn probe(node: Incarnation) -> bool;
    /// Stores copies of the caller's claims while the log is unavailable; false if one is rejected.
    async fn replicate_claims(claimer: Incarnation, key_hashes: Vec<u64>) -> bool;
    /// Returns the copies that the callee holds of a departed node's claims.
    async fn replicated_claims(claimer: Incarnation) -> Vec<u64>;
    /// Hands over idempotency records.
    async fn handover(records: Vec<IdempotencyRecord>);
    /// Returns the callee's state, for a node that starts while the log is unavailable.
    async fn snapshot() -> Snapshot;
    /// Number of requests in progress at the callee that use a VM. For the callee's own VM, this is all its
    /// requests in progress, and one more until the callee has stopped.
    async fn in_progress(vm: String) -> u32;
}
