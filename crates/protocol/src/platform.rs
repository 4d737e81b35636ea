//! Messages of the platform's log service and VM list.

use serde::{Deserialize, Serialize};

/// Stream of membership, leaving VMs and policy.
pub const CONTROL: &str = "control";

/// Stream of claims on requests that may not be repeated.
pub const CLAIMS: &str = "claims";

/// Body of `POST /streams/NAME`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// Records, appended together.
    pub records: Vec<String>,
}

/// Answer of `POST /streams/NAME`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the first of them.
    pub offset: u64,
}

/// Answer of `GET /streams/NAME?from=OFFSET&wait=MILLIS`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Oldest offset still kept.
    pub first: u64,
    /// Offset of the first record here.
    pub from: u64,
    /// Offset after the newest record.
    pub tail: u64,
    /// Records.
    pub records: Vec<String>,
}

/// State of a VM in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Runs.
    Live,
    /// Will go.
    Leaving,
    /// Does not run and will not again under this incarnation.
    Gone,
}

/// One VM of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name.
    pub name: String,
    /// State.
    pub state: State,
}

/// Answer of `GET /vms`; lags.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// All VMs.
    pub vms: Vec<Vm>,
}
