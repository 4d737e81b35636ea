//! What a node still takes once its stop was announced.
//!
//! The balancer needs two questions a second apart to see that a node is not ready, and where most of a
//! failure domain's nodes stop at once it goes on using all of them. So what surely ends before the kill is taken; streams,
//! which last seconds, only at first, and only if such streams end in time.

use crate::node::Node;
use crate::refusal::{COME_BACK, Reason, Refusal};
use crosslane_state::route::{Kind, Route};
use std::time::Duration;

/// Time after the announcement in which streams are taken, and calls by how long such calls last; later ones by how long
/// they may take.
pub const TAKES_STREAMS: Duration = Duration::from_millis(2_800);

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
    /// Time that such requests last at the longest.
    pub lasts: Duration,
    /// Whether its answer is a stream.
    pub streams: bool,
}

impl Late {
    /// Whether it is taken.
    pub fn taken(self) -> bool {
        let ends = |takes: Duration| self.since + takes + MARGIN <= self.grace;
        match self.since <= TAKES_STREAMS {
            true => ends(self.lasts),
            false => !self.streams && ends(self.left),
        }
    }
}

/// Refuses a request that may not begin any more, since a stop was announced.
pub fn check(node: &Node, route: &Route, service: &str, left: Duration) -> Result<(), Refusal> {
    let Some(at) = *node.stopping.borrow() else {
        return Ok(());
    };
    let late = Late {
        since: Duration::from_millis(node.now().since(at)),
        grace: Duration::from_millis(node.settings.grace_ms),
        left,
        lasts: node.longest(service).map_or(left, |it| it.min(left)),
        streams: matches!(route.kind, Kind::Stream { .. }),
    };
    if late.taken() { Ok(()) } else { Err(Refusal::later(Reason::Stopping, COME_BACK)) }
}
