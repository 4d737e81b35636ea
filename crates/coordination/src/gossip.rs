//! Which nodes are told at once that a node has newer data of the store.
//!
//! Load pattern: ten thousand endpoints start or are released within seconds, and the two readers of a failure domain have
//! each change first. If they tell all nodes of their domain, two hundred nodes pull each change from the two, whose links
//! are then full for as long as the endpoints times the nodes take. So a node tells only a few others at random, and each of
//! these tells as many once it has the data: the number of nodes that have it multiplies with each round, and each serves a
//! few. Each node tells others once more after a pause, for those that nobody told.

use rand::Rng;
use rand::seq::IndexedRandom;

/// Nodes of the own failure domain that are told at a time.
const NEAR_FANOUT: usize = 8;

/// Nodes of other failure domains that a reader of the store tells: their own readers may be gone or cut off.
const FAR_FANOUT: usize = 8;

/// Pause after which a node tells others once more, if nothing newer came meanwhile: longer than all rounds take for a single
/// change, and short compared to the seconds in which a change must be known everywhere.
pub const REPEAT_MS: u64 = 500;

/// Nodes to tell, out of the live ones.
pub fn targets<T: Copy>(near: &[T], far: &[T], is_reader: bool, random: &mut impl Rng) -> Vec<T> {
    let far_fanout = if is_reader { FAR_FANOUT } else { 0 };
    let chosen_near = near.choose_multiple(random, NEAR_FANOUT);
    let mut chosen: Vec<T> = chosen_near.copied().collect();
    chosen.extend(far.choose_multiple(random, far_fanout).copied());
    chosen
}
