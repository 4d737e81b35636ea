//! Which of several endpoints a request is placed at.
//!
//! Load pattern: bursts that fill one failure domain's engines before another's. The room decides
//! before anything is weighed: an engine of the own domain that is a little over full would else be
//! preferred to one of another domain that has room, and the request refused.

use crate::entry::Entry;
use crosslane_state::endpoint::{Key, Stage};
use crosslane_state::time::Millis;
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

/// Engines up to which all are looked at. Among more, only those of the own failure domain: what
/// nodes of other domains have is known late, and all would choose the same one.
pub(crate) const ALL_LOOKED_AT: usize = 24;

/// Engines drawn among those of other domains, for when the own domain's are full or gone.
const DRAWN: usize = 8;

/// Plain endpoints drawn: their requests are over before other nodes hear of them.
const DRAWN_PLAIN: usize = 2;

/// Added to the load of endpoints in other failure domains, as a share of a full endpoint: traffic
/// between domains is priced, but less than a late answer.
const DOMAIN_PENALTY: f64 = 0.04;

/// The same among more engines than are all looked at: about one draft or prompt, which usually came
/// since the other domain was last heard.
const FAR_PENALTY: f64 = 0.15;

/// Load, as a share of a full engine, up to which its memory is given away by what requests are expected
/// to need: those that run have not generated all of it yet, some half of a tenth (worked out).
const OVERBOOKED: f64 = 1.05;

/// Width of the random part of a score, which keeps nodes from choosing alike.
const JITTER: f64 = 0.06;

/// Room that a request needs at an engine.
#[derive(Clone, Copy, Debug)]
pub struct Room {
    /// Tokens of KV cache.
    pub tokens: u32,
    /// Load, as a share of a full engine, above which one is not asked.
    pub below: f64,
}

impl Room {
    /// Whether an engine that is so full has it.
    fn fits(self, fullness: f64, capacity: u64) -> bool {
        let after = fullness + f64::from(self.tokens) / capacity.max(1) as f64;
        fullness <= self.below && (after <= OVERBOOKED || fullness == 0.0)
    }
}

/// What a placement asks for.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Service.
    pub service: &'a str,
    /// Stage.
    pub stage: Stage,
    /// Tokens of KV cache that one endpoint of this stage carries; zero for plain services.
    pub capacity: u64,
    /// Connections that this node may have at one endpoint.
    pub connections: u32,
    /// Room that the endpoint must have; without, the least loaded is taken however full it is.
    pub room: Option<Room>,
    /// Endpoints not to use.
    pub except: &'a [Key],
}

impl Query<'_> {
    /// Whether an endpoint may be given the request.
    pub(crate) fn admits(&self, key: Key, entry: &Entry, now: Millis) -> bool {
        let endpoint = &entry.endpoint;
        !endpoint.draining
            && entry.held <= now
            && entry.here.requests < self.connections
            && endpoint.stage == self.stage
            && endpoint.service == self.service
            && !self.except.contains(&key)
    }
}

/// An endpoint that may be chosen.
struct Candidate<'a> {
    key: Key,
    entry: &'a Entry,
    /// Load as a share of a full endpoint.
    fullness: f64,
}

/// The best of the endpoints that a query admits, and its load as a share of a full one.
pub(crate) fn best(
    query: Query<'_>,
    entries: Vec<(Key, &Entry)>,
    domain: &str,
    random: &mut SmallRng,
    now: Millis,
) -> Option<(Key, f64)> {
    let many = entries.len() > ALL_LOOKED_AT;
    let loads = entries.into_iter().map(|(key, entry)| {
        let fullness = entry.fullness(query.capacity, now);
        Candidate { key, entry, fullness }
    });
    let roomy =
        |it: &Candidate<'_>| query.room.is_none_or(|room| room.fits(it.fullness, query.capacity));
    let mut candidates: Vec<Candidate<'_>> = loads.filter(roomy).collect();
    match query.stage {
        Stage::Plain => draw(&mut candidates, DRAWN_PLAIN, random),
        Stage::Prefill | Stage::Decode if many => {
            let near = |it: &Candidate<'_>| it.entry.endpoint.domain == domain;
            let (near, mut far): (Vec<_>, Vec<_>) = candidates.into_iter().partition(near);
            draw(&mut far, DRAWN, random);
            candidates = near;
            candidates.extend(far);
        }
        Stage::Prefill | Stage::Decode => {}
    }
    let away = if many { FAR_PENALTY } else { DOMAIN_PENALTY };
    let scored = candidates.into_iter().map(|Candidate { key, entry, fullness }| {
        let mut score = fullness + entry.penalty(now) + entry.easing(now);
        if entry.endpoint.domain != domain {
            score += away;
        }
        if entry.lapsed.is_some() {
            score += 0.5;
        }
        (key, fullness, score + random.random_range(0.0..JITTER))
    });
    let best = scored.min_by(|one, other| one.2.total_cmp(&other.2));
    best.map(|(key, fullness, _)| (key, fullness))
}

/// Leaves so many, drawn at random.
fn draw(candidates: &mut Vec<Candidate<'_>>, count: usize, random: &mut SmallRng) {
    if candidates.len() > count {
        candidates.partial_shuffle(random, count);
        candidates.drain(..candidates.len() - count);
    }
}
