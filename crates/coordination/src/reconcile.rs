//! Reconciliation of the attempts that an engine holds with those that nodes still need.
//!
//! The engine's own list is the source of truth, as it survives any node. A new owner of a runner
//! therefore needs no state of the former owner to clean up.

use crate::detector::Liveness;
use crosslane_state::attempt::Id;
use crosslane_state::incarnation::Incarnation;
use std::collections::BTreeMap;

/// Actions that follow from an engine's list of attempts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Attempts to cancel, as their nodes are dead.
    pub cancel: Vec<Id>,
    /// Attempts to confirm, by the node to ask whether it still needs them.
    pub confirm: BTreeMap<Incarnation, Vec<Id>>,
}

/// Plans the actions for held attempts by the liveness of the nodes that made them.
///
/// Live nodes are asked only about attempts that are due for confirmation; attempts of suspected
/// nodes are left alone.
pub fn plan(held: &[(Id, bool)], liveness: impl Fn(Incarnation) -> Liveness) -> Plan {
    let mut plan = Plan::default();
    for (attempt, due) in held {
        match liveness(attempt.origin) {
            Liveness::Dead => plan.cancel.push(*attempt),
            Liveness::Alive if *due => {
                plan.confirm.entry(attempt.origin).or_default().push(*attempt);
            }
            Liveness::Alive | Liveness::Suspect => {}
        }
    }
    plan
}
