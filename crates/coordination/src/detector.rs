//! Failure detector for nodes: a node without recent contact is suspected, and is dead once other
//! nodes confirm that they have no contact either.

use crosslane_state::incarnation::Incarnation;
use crosslane_state::time::Millis;
use std::collections::HashMap;

/// State of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// There was contact recently, or none is due yet.
    Alive,
    /// There was no contact for too long; other nodes are to be asked.
    Suspect,
    /// Other nodes have no contact either, or the node was never watched.
    Dead,
}

#[derive(Clone, Copy, Debug)]
struct Contact {
    last: Millis,
    confirmed: Option<Millis>,
}

/// Detector of failed nodes.
#[derive(Clone, Debug)]
pub struct Detector {
    suspect_after_ms: u64,
    contacts: HashMap<Incarnation, Contact>,
}

impl Detector {
    /// Creates a detector that suspects a node after this time without contact, in milliseconds.
    pub fn new(suspect_after_ms: u64) -> Self {
        Self { suspect_after_ms, contacts: HashMap::new() }
    }

    /// Starts to watch a node, as if there had just been contact.
    pub fn watch(&mut self, node: Incarnation, now: Millis) {
        self.contacts.entry(node).or_insert(Contact { last: now, confirmed: None });
    }

    /// Whether a node is watched.
    pub fn is_watching(&self, node: Incarnation) -> bool {
        self.contacts.contains_key(&node)
    }

    /// Records contact with a node.
    pub fn record_contact(&mut self, node: Incarnation, now: Millis) {
        self.contacts.insert(node, Contact { last: now, confirmed: None });
    }

    /// Records that other nodes have no contact with a suspect either.
    pub fn confirm(&mut self, node: Incarnation, now: Millis) {
        if let Some(contact) = self.contacts.get_mut(&node) {
            contact.confirmed = Some(now);
        }
    }

    /// Stops watching a node.
    pub fn forget(&mut self, node: Incarnation) {
        self.contacts.remove(&node);
    }

    /// State of a node; one that is not watched is dead.
    pub fn liveness(&self, node: Incarnation, now: Millis) -> Liveness {
        match self.contacts.get(&node) {
            None => Liveness::Dead,
            Some(contact) if now.since(contact.last) < self.suspect_after_ms => Liveness::Alive,
            Some(Contact { confirmed: Some(_), .. }) => Liveness::Dead,
            Some(_) => Liveness::Suspect,
        }
    }

    /// Suspects, to ask other nodes about.
    pub fn suspects(&self, now: Millis) -> Vec<Incarnation> {
        let mut suspects: Vec<_> = self
            .contacts
            .keys()
            .filter(|node| self.liveness(**node, now) == Liveness::Suspect)
            .copied()
            .collect();
        suspects.sort_unstable();
        suspects
    }

    /// Resets all nodes to recent contact, after this process was paused.
    pub fn reset(&mut self, now: Millis) {
        for contact in self.contacts.values_mut() {
            *contact = Contact { last: now, confirmed: None };
        }
    }
}
