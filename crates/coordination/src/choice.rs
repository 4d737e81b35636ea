//! Selects an endpoint for a request.
//!
//! Load pattern: bursts that fill the engines of one failure domain before those of another.
//! Endpoints without room are therefore filtered out before scoring. Otherwise an engine of the own
//! domain that is slightly over capacity would be preferred to one of another domain that has room,
//! and the request would be refused.

use crate::entry::Entry;
use crate::index::Group;
use crate::speed::Usual;
use crosslane_state::build::Build;
use crosslane_state::endpoint::{Key, Stage, Tag};
use crosslane_state::residency::Residency;
use crosslane_state::time::Millis;
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

/// Largest pool in which all engines are considered. In a larger one, only the engines of the own
/// failure domain and a sample of the others are: the usage of nodes in other domains arrives late,
/// so that all nodes would choose the same engine.
pub(crate) const MAX_FULL_SCAN: usize = 24;

/// Largest group of endpoints in which all are considered, before those of other domains are
/// sampled. In a larger one, the candidates follow a point on the ring.
pub(crate) const MAX_EXACT_CHOICE: usize = 512;

/// Candidates of the own domain in a larger group: the least loaded of so many is among the least
/// loaded tenth of all but for one choice in thirty.
const NEAR_CANDIDATES: usize = 32;

/// Endpoints that are looked at for these candidates, some of which may be full or leaving.
const MAX_PROBES: usize = 4 * NEAR_CANDIDATES;

/// Engines that are asked for a cached prompt in a larger group: the candidates that its request
/// had, and some for those that were full then or have come since.
pub(crate) const MAX_LOOKUP: usize = NEAR_CANDIDATES + NEAR_CANDIDATES / 2;

/// Number of engines sampled from other domains, for when those of the own domain are full or gone.
const REMOTE_SAMPLE: usize = 8;

/// Number of plain endpoints sampled: their requests end before other nodes learn of them.
const PLAIN_SAMPLE: usize = 2;

/// Score penalty of endpoints in other failure domains, in the unit of utilization: traffic between
/// domains costs, but less than a late answer.
const CROSS_DOMAIN_PENALTY: f64 = 0.04;

/// The same in a pool larger than [`MAX_FULL_SCAN`]: the load of about one request, which has
/// usually arrived since the other domain's last report.
const LARGE_POOL_CROSS_DOMAIN_PENALTY: f64 = 0.15;

/// Score penalty of an engine whose free memory is kept for streams of its build: that of a full engine, so that new streams begin
/// there only if no other engine has room.
const RESERVE_PENALTY: f64 = 1.0;

/// Utilization up to which an engine's memory is overcommitted by the expected need of its requests:
/// running requests have not generated all of their tokens yet, which leaves about 5 % unused.
const OVERCOMMIT_LIMIT: f64 = 1.05;

/// Width of the random part of a score, which keeps nodes from choosing the same endpoint.
const SCORE_JITTER: f64 = 0.06;

/// Largest ratio of an endpoint's time to that of a fast one in a score.
const MAX_SLOWNESS: f64 = 4.0;

/// Smallest difference in the duration of plain calls that counts, in milliseconds: busy VMs delay responses for some milliseconds.
const MIN_DIFFERENCE_MS: f64 = 10.0;

/// Free memory that a request needs at an engine.
#[derive(Clone, Copy, Debug)]
pub struct Room {
    /// Tokens of KV cache.
    pub tokens: u32,
    /// Utilization above which an engine is not considered.
    pub max_utilization: f64,
}

impl Room {
    /// Whether an engine with this utilization has the room.
    fn fits(self, utilization: f64, capacity: u64) -> bool {
        let after = utilization + f64::from(self.tokens) / capacity.max(1) as f64;
        utilization <= self.max_utilization && (after <= OVERCOMMIT_LIMIT || utilization == 0.0)
    }
}

/// What an endpoint must meet to serve a request, whatever its load.
#[derive(Clone, Copy, Debug)]
pub struct Terms<'a> {
    /// Where the request may be served.
    pub residency: &'a Residency,
    /// Build that began the stream, if it has begun.
    pub build: Option<Build>,
}

/// Requirements on the endpoint of a request.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Service.
    pub service: &'a str,
    /// Stage.
    pub stage: Stage,
    /// KV cache of one endpoint of this stage, in tokens; zero for plain services.
    pub capacity_tokens: u64,
    /// Most connections that this node may have at one endpoint.
    pub max_connections: u32,
    /// Tokens that a prefill engine computes for the request; zero in other stages.
    pub prompt_tokens: u32,
    /// Whether fast endpoints are preferred. After a refusal the emptiest one is, whatever its speed: the usage of other nodes is known
    /// late, and all nodes ask the fast ones.
    pub prefers_fast: bool,
    /// Room that the endpoint must have; with `None`, the least loaded one is chosen however full.
    pub room: Option<Room>,
    /// Endpoints to exclude.
    pub exclude: &'a [Key],
    /// What it must meet.
    pub terms: Terms<'a>,
    /// Point on the ring from which its candidates follow in a large group.
    pub point: Tag,
}

impl Query<'_> {
    /// Whether an endpoint is eligible for the request.
    pub(crate) fn admits(&self, key: Key, entry: &Entry, now: Millis) -> bool {
        let endpoint = &entry.endpoint;
        !endpoint.draining
            && entry.throttled_until <= now
            && entry.local.requests < self.max_connections
            && endpoint.stage == self.stage
            && endpoint.service == self.service
            && !self.exclude.contains(&key)
    }

    /// Slowness of an endpoint that states no pace. Plain calls differ in their durations, so that a few long ones would make it seem slow.
    fn unpaced(&self, slowness: f64) -> f64 {
        if self.stage == Stage::Plain { 1.0 } else { slowness }
    }

    /// Slowness as it counts for the choice. Run times of plain calls include the delays of this node itself.
    fn noticed(&self, slowness: f64, usual_ms: Option<f64>) -> f64 {
        let difference_ms = usual_ms.unwrap_or_default() * (slowness - 1.0);
        if self.stage == Stage::Plain && difference_ms < MIN_DIFFERENCE_MS { 1.0 } else { slowness }
    }

    /// Load of an endpoint as it counts for the choice, by its time per unit relative to that of a fast one. A decode engine's free
    /// memory counts by the square of its speed, so that a slow engine is used once the faster ones are nearly full: a stream
    /// there is delayed at each event and holds memory for longer. A prefill engine counts by the time until the prompt is done.
    fn weighted(&self, utilization: f64, slowness: f64) -> f64 {
        let slowness = slowness.min(MAX_SLOWNESS);
        match self.stage {
            // A call at a slow endpoint takes longer even if it has free slots.
            Stage::Plain => (1.0 + utilization) * slowness - 1.0,
            Stage::Prefill => {
                let prompt = f64::from(self.prompt_tokens) / self.capacity_tokens.max(1) as f64;
                (utilization + prompt) * slowness - prompt
            }
            // The same as the utilization for a fast engine, also beyond its capacity.
            Stage::Decode if utilization >= 1.0 => utilization,
            Stage::Decode => 1.0 - (1.0 - utilization) / slowness.powi(2),
        }
    }

    /// Whether a new stream would use memory at an engine that streams of its build need when one of the build's engines ends:
    /// they can go on only at the others, while a new stream can begin at any build.
    fn uses_reserve(&self, group: &Group, build: Build, utilization: f64) -> bool {
        let begins = self.stage == Stage::Decode && self.terms.build.is_none();
        if !begins || !group.has_several_builds() {
            return false;
        }
        let tokens = self.room.map_or(0, |room| room.tokens);
        let after = utilization + f64::from(tokens) / self.capacity_tokens.max(1) as f64;
        after > 1.0 - 1.0 / group.count_of(build).max(1) as f64
    }
}

/// An endpoint that may be chosen.
struct Candidate<'a> {
    key: Key,
    entry: &'a Entry,
    /// Load as a share of the endpoint's capacity.
    utilization: f64,
}

/// The best of the candidates that follow the query's point in a large group; none if no candidate has room.
pub(crate) fn best_of_sample<'a>(
    query: Query<'_>,
    group: &Group,
    admitted: impl Fn(Key) -> Option<(Key, &'a Entry)>,
    domain: &str,
    random: &mut SmallRng,
    (usual, now): (&Usual, Millis),
) -> Option<(Key, f64)> {
    let fits = |(_, entry): &(Key, &Entry)| {
        let utilization = entry.utilization(query.capacity_tokens, now);
        query.room.is_none_or(|room| room.fits(utilization, query.capacity_tokens))
    };
    let near = group.near_from(query.point).take(MAX_PROBES).filter_map(&admitted).filter(fits);
    let far = group.far_from(query.point).take(MAX_PROBES).filter_map(&admitted).filter(fits);
    let candidates = near.take(NEAR_CANDIDATES).chain(far.take(REMOTE_SAMPLE)).collect();
    best(query, group, candidates, domain, random, (usual, now))
}

/// The best of the endpoints of a group that a query admits, with its utilization.
pub(crate) fn best(
    query: Query<'_>,
    group: &Group,
    entries: Vec<(Key, &Entry)>,
    domain: &str,
    random: &mut SmallRng,
    (usual, now): (&Usual, Millis),
) -> Option<(Key, f64)> {
    let many = entries.len() > MAX_FULL_SCAN;
    let scanned = entries.into_iter().map(|(key, entry)| {
        let utilization = entry.utilization(query.capacity_tokens, now);
        Candidate { key, entry, utilization }
    });
    let has_room = |candidate: &Candidate<'_>| {
        query.room.is_none_or(|room| room.fits(candidate.utilization, query.capacity_tokens))
    };
    let mut candidates: Vec<Candidate<'_>> = scanned.filter(has_room).collect();
    match query.stage {
        Stage::Plain => sample(&mut candidates, PLAIN_SAMPLE, random),
        Stage::Prefill | Stage::Decode if many => {
            let same_domain = |candidate: &Candidate<'_>| candidate.entry.endpoint.domain == domain;
            let (same_domain, mut other_domains): (Vec<_>, Vec<_>) =
                candidates.into_iter().partition(same_domain);
            sample(&mut other_domains, REMOTE_SAMPLE, random);
            candidates = same_domain;
            candidates.extend(other_domains);
        }
        Stage::Prefill | Stage::Decode => {}
    }
    let penalty_elsewhere =
        if many { LARGE_POOL_CROSS_DOMAIN_PENALTY } else { CROSS_DOMAIN_PENALTY };
    let scored = candidates.into_iter().map(|Candidate { key, entry, utilization }| {
        let requests = entry.request_load(now);
        let relative = entry.speed.relative(requests, usual, now);
        let slowness = if query.prefers_fast { usual.slowness(relative, requests) } else { 1.0 };
        let slowness = if entry.states_pace() {
            query.noticed(slowness, usual.time_ms(requests))
        } else {
            query.unpaced(slowness)
        };
        let load = query.weighted(utilization, slowness);
        let mut score = load + entry.penalty(now) + entry.slow_start_load(now);
        if entry.endpoint.domain != domain {
            score += penalty_elsewhere;
        }
        if entry.lapsed_at.is_some() {
            score += 0.5;
        }
        if query.uses_reserve(group, entry.build, utilization) {
            score += RESERVE_PENALTY;
        }
        (key, utilization, score + random.random_range(0.0..SCORE_JITTER))
    });
    let best = scored.min_by(|a, b| a.2.total_cmp(&b.2));
    best.map(|(key, utilization, _)| (key, utilization))
}

/// Keeps a random sample of at most `count` candidates.
fn sample(candidates: &mut Vec<Candidate<'_>>, count: usize, random: &mut SmallRng) {
    if candidates.len() > count {
        candidates.partial_shuffle(random, count);
        candidates.drain(..candidates.len() - count);
    }
}
