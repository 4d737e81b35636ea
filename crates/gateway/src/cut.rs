//! Log line of an answer that ended early: who closed, what was missing and what kept the node from completing it.

use crate::event;
use crosslane_transport::connection::Closer;
use derive_more::Display;
use log::info;

/// Side that ended an answer early.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Side {
    /// The caller.
    #[display("caller")]
    Caller,
    /// The endpoint.
    #[display("endpoint")]
    Endpoint,
    /// This machine's kernel, which had no acknowledgement in time.
    #[display("kernel")]
    Kernel,
    /// The node.
    #[display("node")]
    Node,
}

impl Side {
    /// Side that ended an answer early, if a connection to `peer` ended it.
    pub fn new(closer: Closer, peer: Self) -> Self {
        match closer {
            Closer::Peer => peer,
            Closer::Kernel => Self::Kernel,
            Closer::Node => Self::Node,
        }
    }
}

/// An answer that ended early.
#[derive(Clone, Copy, Debug)]
pub struct Cut<'a> {
    /// Request id.
    pub request: &'a str,
    /// Who ended it.
    pub by: Side,
    /// Endpoint whose run broke off last, or empty.
    pub to: &'a str,
    /// What was still to be sent.
    pub missing: &'a str,
    /// What kept the node from completing it.
    pub bound: &'a str,
    /// Cause of the break.
    pub why: &'a str,
    /// Time left until the deadline, in milliseconds.
    pub left_ms: u64,
}

impl Cut<'_> {
    /// Writes the log line.
    pub fn log(self) {
        let Self { request, by, to, missing, bound, why, left_ms } = self;
        info!(request, by:%, to, missing, bound, why, left_ms; "{}", event::CUT);
    }
}
