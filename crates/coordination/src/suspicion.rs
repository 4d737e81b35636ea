//! What is said of requests under which endpoints ended: by nodes to each other, and to whoever sends them.

use crate::ruling::Ruling;
use crosslane_state::endpoint::Tag;
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// What nodes tell each other about a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Word {
    /// These endpoints ended under it, the last one just now.
    Struck(Vec<Tag>),
    /// The sender runs it at this endpoint, to see whether that ends too.
    Tried(Tag),
    /// The sender runs it no longer.
    Rested,
    /// It ran well.
    Cleared,
    /// It was decided about.
    Ruled(Ruling),
    /// These endpoints ended under it before the receiver started.
    Known(Vec<Tag>),
}

/// What an endpoint's end says of a request that had just begun there.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Strike {
    /// It is held against the request, as so many are by now.
    #[display("held")]
    Held(usize),
    /// It is counted already.
    #[display("known")]
    Known,
    /// A request that is shut out explains it.
    #[display("another request is shut out for it")]
    Explained,
    /// Many endpoints ended together.
    #[display("many endpoints ended together")]
    Chance,
    /// There is no room for another suspect.
    #[display("too many suspects")]
    Full,
}

/// How a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing is held against it.
    Free,
    /// Endpoints ended under it; it may be tried once at a time.
    Suspect,
    /// It is being tried by another copy.
    OnTrial,
    /// It is shut out, still so long in milliseconds.
    Shut(u64),
}
