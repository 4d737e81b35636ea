//! What a node still takes once its stop was announced.
//!
//! The balancer needs two questions a second apart to see that a node is not ready, and where most of a
//! failure domain's nodes stop at once it goes on using all of them. So plain calls are taken as long as
//! they surely end before the kill; streams, which last seconds, only at first.

use crate::node::Node;
use crate::refusal::{COME_BACK, Reason, Refusal};
use crosslane_state::route::{Kind, Route};
use std::time::Duration;

/// Time after the announcement in which everything is taken: a stream begun later may not end
/// within the grace.
pub const TAKES_ALL: Duration = Duration::from_millis(2_800);

/// Time before the kill by which a call taken late must have ended: covers a busy VM, and the answer's
/// way.
const MARGIN: Duration = Duration::from_millis(700);

/// A request that came after the announcement.
#[derive(Clone, Copy, Debug)]
pub struct Late {
    /// Time since the announcement.
    pub since: Duration,
    /// Time from the announcement to the kill.
    pub grace: Duration,
    /// Time that the request may take.
    pub left: Duration,
    /// Whether its answer is a stream.
    pub streams: bool,
}

impl Late {
    /// Whether it is taken.
    pub fn taken(self) -> bool {
        let ends = self.since + self.left + MARGIN <= self.grace;
        self.since <= TAKES_ALL || (!self.streams && ends)
    }
}

/// Refuses a request that may not begin any more, since a stop was announced.
pub fn check(node: &Node, route: &Route, left: Duration) -> Result<(), Refusal> {
    let Some(at) = *node.stopping.borrow() else {
        return Ok(());
    };
    let late = Late {
        since: Duration::from_millis(node.now().since(at)),
        grace: Duration::from_millis(node.settings.grace),
        left,
        streams: matches!(route.kind, Kind::Stream { .. }),
    };
    if late.taken() { Ok(()) } else { Err(Refusal::later(Reason::Stopping, COME_BACK)) }
}
