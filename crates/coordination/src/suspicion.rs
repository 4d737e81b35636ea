//! What nodes exchange about requests under which endpoints crashed, and the status of such a
//! request.

use crate::ruling::Ruling;
use crosslane_state::endpoint::Tag;
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// An update from one node to the others about a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// These endpoints crashed under it, the last one just now.
    Struck(Vec<Tag>),
    /// The sender runs it at this endpoint as a trial.
    TrialStarted(Tag),
    /// The sender's trial is over without a result.
    TrialEnded,
    /// It ran well.
    Cleared,
    /// There is a ruling on it.
    Ruled(Ruling),
    /// These endpoints crashed under it before the receiver started.
    KnownStrikes(Vec<Tag>),
}

/// How a crash is counted for a request that had just started at the endpoint.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Strike {
    /// As a strike; the request has this many by now.
    #[display("held")]
    Counted(usize),
    /// It is counted already.
    #[display("known")]
    Duplicate,
    /// It is attributed to another request, which is shut out.
    #[display("another request is shut out for it")]
    Attributed,
    /// Many endpoints went down together.
    #[display("many endpoints ended together")]
    Coincidence,
    /// There is no room for another suspect.
    #[display("too many suspects")]
    Full,
}

/// Status of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// It has no strikes.
    Clear,
    /// It has strikes; one copy at a time may run.
    Suspect,
    /// Another copy of it is on trial.
    OnTrial,
    /// It is shut out for this many more milliseconds.
    ShutOut(u64),
}
