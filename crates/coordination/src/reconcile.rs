//! Reconciliation of what an engine holds with what nodes still want.
//!
//! The engine's own list is the truth that survives every node, so a new owner of a runner
//! needs no state of the old one to clean up after anybody.

use crate::detector::Belief;
use crosslane_state::attempt::Id;
use crosslane_state::incarnation::Incarnation;
use std::collections::BTreeMap;

/// What to do about an engine's list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Nobody wants these: cancel them.
    pub cancel: Vec<Id>,
    /// Ask these nodes which of their attempts they still want.
    pub ask: BTreeMap<Incarnation, Vec<Id>>,
}

/// Sorts held attempts by what is believed of the nodes that made them.
///
/// Live nodes are asked only about attempts that are due.
pub fn plan(held: &[(Id, bool)], belief: impl Fn(Incarnation) -> Belief) -> Plan {
    let mut plan = Plan::default();
    for (attempt, due) in held {
        match belief(attempt.origin) {
            Belief::Dead => plan.cancel.push(*attempt),
            Belief::Alive if *due => {
                plan.ask.entry(attempt.origin).or_default().push(*attempt);
            }
            Belief::Alive | Belief::Suspect => {}
        }
    }
    plan
}
