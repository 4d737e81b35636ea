//! Rate limits that endpoints name in their answers, as this node knows them.
//!
//! An endpoint in need names in each answer how many requests a second it takes from all nodes together. An answer
//! without a limit ends it, but answers overtake each other: one to a request that was sent before this
//! node knew of the limit may have been made before it was named. So a lower limit counts at
//! once, and a higher one or none only if its request was sent since.

use crosslane_state::endpoint::Tag;
use crosslane_state::rate::Rate;
use crosslane_state::time::Millis;
use std::collections::HashMap;

/// What is known of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    /// Its limit; nothing since it named none.
    rate: Option<Rate>,
    /// Since when this node knows.
    since: Millis,
}

/// A limit that is new to this node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// Limit so far.
    pub before: Option<Rate>,
    /// Limit from now on.
    pub rate: Option<Rate>,
}

/// Limits by endpoint.
#[derive(Debug, Default)]
pub struct Limits(HashMap<Tag, Known>);

impl Limits {
    /// Takes what an answer says whose request was sent at a time.
    pub fn note(
        &mut self,
        endpoint: Tag,
        rate: Option<Rate>,
        sent: Millis,
        now: Millis,
    ) -> Option<Change> {
        let known = self.0.get(&endpoint).copied().unwrap_or_default();
        let counts = lower(rate, known.rate) || (rate != known.rate && sent > known.since);
        if !counts {
            return None;
        }
        self.0.insert(endpoint, Known { rate, since: now });
        Some(Change { before: known.rate, rate })
    }

    /// Endpoints that name a limit.
    pub fn count(&self) -> usize {
        self.0.values().filter(|it| it.rate.is_some()).count()
    }

    /// Forgets endpoints that are gone.
    pub fn retain(&mut self, listed: impl Fn(Tag) -> bool) {
        self.0.retain(|endpoint, _| listed(*endpoint));
    }
}

/// Whether one limit is lower than another; none is the highest.
fn lower(one: Option<Rate>, other: Option<Rate>) -> bool {
    match (one, other) {
        (Some(one), Some(other)) => one < other,
        (Some(_), None) => true,
        (None, _) => false,
    }
}
