//! Failure detection: silence makes a suspect, others' word makes it dead.

use crosslane_state::incarnation::Incarnation;
use crosslane_state::time::Millis;
use std::collections::HashMap;

/// What is believed of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Belief {
    /// Heard from lately, or not yet due.
    Alive,
    /// Silent; others are to be asked.
    Suspect,
    /// Silent, and no other node hears it.
    Dead,
}

#[derive(Clone, Copy, Debug)]
struct Sight {
    heard: Millis,
    confirmed: Option<Millis>,
}

/// Beliefs about nodes.
#[derive(Clone, Debug)]
pub struct Detector {
    suspect_millis: u64,
    sights: HashMap<Incarnation, Sight>,
}

impl Detector {
    /// A detector that suspects after a silence in milliseconds.
    pub fn new(suspect_millis: u64) -> Self {
        Self { suspect_millis, sights: HashMap::new() }
    }

    /// Starts watching a node as if it had just been heard.
    pub fn watch(&mut self, node: Incarnation, now: Millis) {
        self.sights.entry(node).or_insert(Sight { heard: now, confirmed: None });
    }

    /// Whether a node is watched.
    pub fn watches(&self, node: Incarnation) -> bool {
        self.sights.contains_key(&node)
    }

    /// Counts a sign of life.
    pub fn heard(&mut self, node: Incarnation, now: Millis) {
        self.sights.insert(node, Sight { heard: now, confirmed: None });
    }

    /// Takes the word of others that a suspect is silent for them too.
    pub fn confirm(&mut self, node: Incarnation, now: Millis) {
        if let Some(sight) = self.sights.get_mut(&node) {
            sight.confirmed = Some(now);
        }
    }

    /// Forgets a node.
    pub fn forget(&mut self, node: Incarnation) {
        self.sights.remove(&node);
    }

    /// Belief about a node; one never watched is dead.
    pub fn belief(&self, node: Incarnation, now: Millis) -> Belief {
        match self.sights.get(&node) {
            None => Belief::Dead,
            Some(sight) if now.since(sight.heard) < self.suspect_millis => Belief::Alive,
            Some(Sight { confirmed: Some(_), .. }) => Belief::Dead,
            Some(_) => Belief::Suspect,
        }
    }

    /// Nodes to ask others about.
    pub fn suspects(&self, now: Millis) -> Vec<Incarnation> {
        let mut suspects: Vec<_> = self
            .sights
            .keys()
            .filter(|node| self.belief(**node, now) == Belief::Suspect)
            .copied()
            .collect();
        suspects.sort_unstable();
        suspects
    }

    /// Gives every node a fresh start, after this process itself was paused.
    pub fn restart(&mut self, now: Millis) {
        for sight in self.sights.values_mut() {
            *sight = Sight { heard: now, confirmed: None };
        }
    }
}
