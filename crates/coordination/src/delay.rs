//! How long work waits for the node itself: for its processor and for its link.
//!
//! All are told from what happens anyway. A task that is ready waits for the processor until all tasks before it have run, and a
//! node that is never idle can't run more. A
//! connection to an endpoint takes one round trip, and longer than usual while bytes queue on the node's own link. A single wait
//! tells little: an endpoint may be slow, and a node may have a fraction of a core, which it gets in bursts. So the shortest wait
//! of a period counts: it is long only if everything waited.

use crosslane_state::endpoint::Tag;
use crosslane_state::time::Millis;
use std::collections::HashMap;
use std::time::Duration;

/// Time after which the usual round trip to a failure domain is determined anew, in milliseconds: ways to it change.
const USUAL_MS: u64 = 30_000;

/// Shortest waits of a period.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Standing {
    /// For the processor.
    pub processor: Option<Duration>,
    /// For the link: the part of a round trip beyond the usual one.
    pub link: Option<Duration>,
    /// Share of the period in which the node had something to run.
    pub busy: f64,
}

impl Standing {
    /// The longer of the two; zero if nothing waited.
    pub fn longest(self) -> Duration {
        self.processor.unwrap_or_default().max(self.link.unwrap_or_default())
    }
}

/// Shortest round trip to a failure domain, of this period and the one before.
#[derive(Clone, Copy, Debug)]
struct Usual {
    since: Millis,
    current: Duration,
    previous: Duration,
}

/// Waits of the current period.
#[derive(Clone, Debug, Default)]
pub struct Delays {
    standing: Standing,
    usual: HashMap<Tag, Usual>,
}

impl Delays {
    /// Records how long a ready task waited for the processor.
    pub fn record_task(&mut self, waited: Duration) {
        shorten(&mut self.standing.processor, waited);
    }

    /// Records how long an endpoint of a failure domain took to accept a connection. While the node is `loaded`, a longer round
    /// trip does not become the usual one.
    pub fn record_round_trip(&mut self, domain: Tag, took: Duration, loaded: bool, now: Millis) {
        let new = Usual { since: now, current: took, previous: took };
        let usual = self.usual.entry(domain).or_insert(new);
        if !loaded && now.since(usual.since) >= USUAL_MS {
            *usual = Usual { since: now, current: took, previous: usual.current };
        }
        usual.current = usual.current.min(took);
        let shortest = usual.current.min(usual.previous);
        shorten(&mut self.standing.link, took.saturating_sub(shortest));
    }

    /// Shortest waits since the last call.
    pub fn take(&mut self) -> Standing {
        std::mem::take(&mut self.standing)
    }
}

fn shorten(shortest: &mut Option<Duration>, waited: Duration) {
    *shortest = Some(shortest.map_or(waited, |shortest| shortest.min(waited)));
}
