//! Nodes on a ring of hashes.
//!
//! Which nodes follow a point stays the same while others come and go, at every node that knows the same ones: what was told to
//! them is found there again. The cost of a look-up grows with the logarithm of the number of nodes.

use crosslane_state::endpoint::Tag;
use crosslane_state::hash;
use std::collections::BTreeMap;
use std::ops::Bound;

/// Points of each node: with so many, nodes have shares of the ring that differ by a third.
const POINTS: u64 = 8;

/// Points that are looked at for nodes of different failure domains.
const MAX_PROBES: usize = 64;

/// Nodes by their points.
#[derive(Debug)]
pub struct Ring<T> {
    points: BTreeMap<u64, T>,
}

impl<T> Default for Ring<T> {
    fn default() -> Self {
        Self { points: BTreeMap::new() }
    }
}

impl<T: Copy + Eq> Ring<T> {
    /// Adds a node under a name.
    pub fn insert(&mut self, name: Tag, node: T) {
        self.points.extend(points(name).map(|point| (point, node)));
    }

    /// The first nodes from a point on, of different failure domains as far as there are some. `domain` gives the failure domain
    /// of a node, or nothing if it is not to be taken.
    pub fn first<D: Eq>(
        &self,
        count: usize,
        from: Tag,
        domain: impl Fn(&T) -> Option<D>,
    ) -> Vec<T> {
        let after = self.points.range((Bound::Included(from.0), Bound::Unbounded));
        let nodes = after.chain(self.points.range(..from.0)).map(|(_, node)| *node);
        let (mut chosen, mut spare): (Vec<(T, D)>, Vec<T>) = (Vec::new(), Vec::new());
        for node in nodes.take(MAX_PROBES) {
            if chosen.len() == count {
                break;
            }
            let seen = spare.contains(&node) || chosen.iter().any(|(known, _)| *known == node);
            let Some(domain) = domain(&node).filter(|_| !seen) else {
                continue;
            };
            if chosen.iter().any(|(_, known)| *known == domain) {
                spare.push(node);
            } else {
                chosen.push((node, domain));
            }
        }
        let missing = count - chosen.len();
        chosen.into_iter().map(|(node, _)| node).chain(spare.into_iter().take(missing)).collect()
    }
}

fn points(name: Tag) -> impl Iterator<Item = u64> {
    (0..POINTS).map(move |number| hash::rendezvous_weight(name.0, number))
}
