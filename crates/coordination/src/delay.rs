//! How long work waits for the node itself: for its processor and for its link.
//!
//! Both are told from what happens anyway. A task that is ready waits for the processor until all tasks before it have run. A
//! connection to an endpoint takes one round trip, and longer than usual while bytes queue on the node's own link.
//!
//! A single wait tells little. Endpoints may be slow, so for the link the shortest wait of a period counts: it is long only if
//! all had to wait. A small VM gets its fraction of a core in bursts, within which some tasks don't wait however
//! much there is to do; so for the processor the median counts, and only if the node was hardly ever idle.

use crosslane_state::endpoint::Tag;
use crosslane_state::time::Millis;
use std::collections::HashMap;
use std::time::Duration;

/// Time after which the usual round trip to a failure domain is determined anew, in milliseconds: ways to it change.
const USUAL_MS: u64 = 30_000;

/// Waits of a period.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Standing {
    /// Median for the processor.
    pub processor: Option<Duration>,
    /// Shortest for the link: the part of a round trip beyond the usual one.
    pub link: Option<Duration>,
    /// Share of the period in which the node had something to run.
    pub busy: f64,
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
    processor: Vec<Duration>,
    link: Option<Duration>,
    usual: HashMap<Tag, Usual>,
}

impl Delays {
    /// Records how long a ready task waited for the processor.
    pub fn record_task(&mut self, waited: Duration) {
        self.processor.push(waited);
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
        let waited = took.saturating_sub(shortest);
        self.link = Some(self.link.map_or(waited, |link| link.min(waited)));
    }

    /// Waits since the last call, in which the node had something to run for a share of the time.
    pub fn take(&mut self, busy: f64) -> Standing {
        let mut waits = std::mem::take(&mut self.processor);
        let middle = waits.len() / 2;
        let processor = (!waits.is_empty()).then(|| *waits.select_nth_unstable(middle).1);
        Standing { processor, link: self.link.take(), busy }
    }
}
