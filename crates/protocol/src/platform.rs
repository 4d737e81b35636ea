//! Messages of the platform's log service and of its VM list.

use serde::{Deserialize, Serialize};

/// Log stream of membership, leaving VMs and policy.
pub const CONTROL_STREAM: &str = "control";

/// Log stream of claims on the idempotency keys of requests that may run only once.
pub const CLAIMS_STREAM: &str = "claims";

/// Body of `POST /streams/NAME`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// Records to append together.
    pub records: Vec<String>,
}

/// Response to `POST /streams/NAME`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the first appended record.
    pub offset: u64,
}

/// Response to `GET /streams/NAME?from=OFFSET&wait=MILLIS`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Offset of the oldest record that the log still keeps.
    pub first: u64,
    /// Offset of the first record of this page.
    pub from: u64,
    /// Offset after the newest record.
    pub tail: u64,
    /// Records of this page.
    pub records: Vec<String>,
}

/// State of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It runs.
    Live,
    /// It will be stopped.
    Leaving,
    /// It has stopped; if it starts again, it does so as another incarnation.
    Gone,
}

/// A VM of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name.
    pub name: String,
    /// State.
    pub state: State,
}

/// Response to `GET /vms`; may be outdated.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// All VMs.
    pub vms: Vec<Vm>,
}
