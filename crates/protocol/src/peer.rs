//! Control messages between nodes.

use crosslane_coordination::fold;
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

/// What a node tells its neighbours at each heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Beat {
    /// Sender.
    pub from: Incarnation,
    /// Policy version in force there.
    pub version: Version,
    /// Load of the runners it owns.
    pub loads: Vec<(runner::Id, Report)>,
    /// Announcements that the log may not have.
    pub leaves: Vec<Leave>,
    /// The sender itself, while others may not have it from the log.
    pub newcomer: Option<Member>,
}

/// What a node knows, for one that starts while the log is out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Folded log.
    pub state: fold::State,
    /// Nodes that the log does not have.
    pub guests: Vec<Member>,
}

/// A key with its fingerprint and answer, handed over by a node that stops.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ending {
    /// Key.
    pub key: Key,
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Answer, if still kept.
    pub answer: Option<Answer>,
}

/// Calls between nodes.
#[tarpc::service]
pub trait Peer {
    /// Exchanges heartbeats.
    async fn beat(beat: Beat) -> Beat;
    /// Asks for a slot of a runner that the callee owns.
    async fn reserve(runner: runner::Id, ask: Request) -> Decision;
    /// Gives a slot back.
    async fn release(runner: runner::Id, attempt: attempt::Id);
    /// Which of the callee's attempts it still wants.
    async fn wanted(attempts: Vec<attempt::Id>) -> Vec<bool>;
    /// Makes the callee give a key up; true when it knows nothing under it.
    async fn inquire(key: Key, by: Incarnation) -> bool;
    /// Whether the callee hears a node.
    async fn hears(node: Incarnation) -> bool;
    /// Leaves copies of claims while the log is out; false when one can't be taken.
    async fn copy_claims(by: Incarnation, keys: Vec<u64>) -> bool;
    /// Copies of a departed node's claims.
    async fn copied_claims(by: Incarnation) -> Vec<u64>;
    /// Hands over endings.
    async fn handover(endings: Vec<Ending>);
    /// What the callee knows, for a node that starts while the log is out.
    async fn snapshot() -> Snapshot;
    /// Requests in progress at the callee that touch a VM; for its own VM also whether it
    /// has not stopped yet.
    async fn busy(vm: String) -> u32;
}
