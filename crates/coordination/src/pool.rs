//! The endpoints this node may use, with their load and health.
//!
//! The load of an endpoint is this node's own usage plus the usage that other nodes last reported.
//! Health is passive: it follows from the outcomes of real requests, here and at other nodes, and
//! old outcomes decay.

use crate::builds::Builds;
use crate::calls;
use crate::choice::{self, MAX_EXACT_CHOICE, MAX_FULL_SCAN, Query, Terms};
use crate::connections::Use;
use crate::entry::{Entry, LOAD_REPORT_TTL_MS, Load};
use crate::health::{Health, Outcome};
use crate::index::Index;
use crate::peer_speeds::{PeerSpeeds, Row};
use crate::speed::{Relative, Sample, Speed, Usual};
use crate::usage::{PeerUsage, Usage};
use crosslane_state::endpoint::{Endpoint, Key, Stage, Tag};
use crosslane_state::time::Millis;
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use slotmap::SlotMap;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;

/// Time for which an engine gets no new work after an order to change its stage. The engine first
/// finishes its running requests (about 3 s), then changes stage (6 s). Meanwhile it still grants
/// reservations and looks empty, but refuses requests.
const STAGE_CHANGE_MS: u64 = 12_000;

/// Time for which an endpoint is kept after its record was lost during a store outage. Live
/// endpoints register again within about 2 s of the store's return. An endpoint that really left
/// must get no work from 2 s after its record disappeared, and a request may be in flight for a
/// few hundred milliseconds.
const LAPSE_GRACE_MS: u64 = 1_200;

/// Time for which the usual speeds of a service's endpoints are kept, in milliseconds: they change slowly, and choices are frequent.
const USUAL_TTL_MS: u64 = 100;

/// Time after the last pace of an endpoint for which its service counts as one whose endpoints state theirs, in milliseconds.
const PACED_MS: u64 = 10_000;

/// Endpoints from which the usual speed of a service follows, so that its cost does not grow with the service.
const MAX_USUAL_ENDPOINTS: usize = 256;

/// All stages.
const STAGES: [Stage; 3] = [Stage::Plain, Stage::Prefill, Stage::Decode];

/// An order to an engine to change its stage.
#[derive(Clone, Copy, Debug)]
struct StageOrder {
    stage: Stage,
    /// Time at which the order expires.
    until: Millis,
    /// Whether this node issued the order.
    issued_here: bool,
}

/// Why no endpoint of a service may serve a request, whatever its load; the later ones count before the earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Unavailable {
    /// No endpoint is in a region where the request may be served.
    Region,
    /// No endpoint there runs the build that began the stream.
    Build,
    /// All endpoints that could are in evacuated failure domains.
    Evacuated,
}

/// All known endpoints, indexed by key and by tag.
#[derive(Debug)]
pub struct Pool {
    domain: String,
    /// Regions of the failure domains.
    regions: HashMap<String, String>,
    /// Failure domains whose endpoints get no new requests.
    evacuated: BTreeSet<String>,
    entries: SlotMap<Key, Entry>,
    tags: HashMap<Tag, Key>,
    /// Endpoints by id, of which only the latest incarnation is known.
    ids: HashMap<String, Key>,
    index: Index,
    builds: Builds,
    /// Endpoints whose records disappeared and may return.
    lapsed: HashSet<Key>,
    draining_count: usize,
    peer_usage: PeerUsage,
    peer_speeds: PeerSpeeds,
    /// Usual speeds by service and stage, with the time of their computation.
    usual_speeds: HashMap<(Tag, Stage), (Usual, Millis)>,
    /// Engines whose local usage changed since the last delta was taken.
    changed_usage: HashSet<Key>,
    /// When an endpoint of a service last stated its pace to this node.
    paced: HashMap<Tag, Millis>,
    /// Open stage-change orders by engine.
    stage_orders: HashMap<Tag, StageOrder>,
    random: SmallRng,
}

impl Pool {
    /// An empty pool of a node in this failure domain.
    pub fn new(domain: String, random: SmallRng) -> Self {
        Self {
            index: Index::new(domain.clone()),
            domain,
            regions: HashMap::new(),
            evacuated: BTreeSet::new(),
            entries: SlotMap::with_key(),
            tags: HashMap::new(),
            ids: HashMap::new(),
            builds: Builds::default(),
            lapsed: HashSet::new(),
            draining_count: 0,
            peer_usage: PeerUsage::default(),
            peer_speeds: PeerSpeeds::default(),
            usual_speeds: HashMap::new(),
            changed_usage: HashSet::new(),
            paced: HashMap::new(),
            stage_orders: HashMap::new(),
            random,
        }
    }

    /// Sets the regions of the failure domains.
    pub fn with_regions(self, regions: HashMap<String, String>) -> Self {
        Self { regions, ..self }
    }

    /// Replaces the regions of the failure domains. Requests that run go on.
    pub fn set_regions(&mut self, regions: HashMap<String, String>) {
        self.regions = regions;
    }

    /// Sets the failure domains whose endpoints get no new requests. Requests that run there go on.
    pub fn set_evacuated(&mut self, domains: BTreeSet<String>) {
        self.evacuated = domains;
    }

    /// Failure domains whose endpoints get no new requests.
    pub fn evacuated(&self) -> &BTreeSet<String> {
        &self.evacuated
    }

    /// Number of endpoints in some failure domains.
    pub fn count_in(&self, domains: &BTreeSet<String>) -> usize {
        self.entries.values().filter(|entry| domains.contains(&entry.endpoint.domain)).count()
    }

    /// Whether a request may be sent to an endpoint: it is known and meets the terms. It may be draining, since a run that was
    /// stopped there can be continued there.
    pub fn accepts(&self, key: Key, terms: Terms<'_>) -> bool {
        let Self { entries, regions, evacuated, .. } = self;
        entries.get(key).is_some_and(|entry| bar(entry, terms, regions, evacuated).is_none())
    }

    /// Whether an endpoint accepts requests under some terms and is not draining.
    pub fn may_receive(&self, key: Key, terms: Terms<'_>) -> bool {
        self.accepts(key, terms) && !self.is_leaving(key)
    }

    /// Builds of all services.
    pub fn builds(&self) -> &Builds {
        &self.builds
    }

    /// Whether an endpoint's failure domain is in service.
    fn serves(&self, endpoint: &Endpoint) -> bool {
        !self.evacuated.contains(&endpoint.domain)
    }

    /// Why no endpoint of a service and stage may serve a request under some terms, if there are endpoints and none may. It
    /// will not change within a caller's patience.
    pub fn unavailable(
        &self,
        service: &str,
        stage: Stage,
        terms: Terms<'_>,
    ) -> Option<Unavailable> {
        let Self { index, entries, regions, evacuated, .. } = self;
        let listed = index.group(service, stage).keys().filter_map(|key| entries.get(key));
        // Without any endpoint of its build, a stream can't go on, even if no other endpoint is listed either.
        let mut reason = terms.build.map(|_| Unavailable::Build);
        for entry in listed.filter(|entry| !entry.endpoint.draining) {
            let barred = bar(entry, terms, regions, evacuated)?;
            reason = reason.max(Some(barred));
        }
        reason
    }

    /// Whether an endpoint of a service and stage other than these may receive requests under some terms, at some load.
    pub fn any_besides(
        &self,
        service: &str,
        stage: Stage,
        terms: Terms<'_>,
        except: &[Key],
    ) -> bool {
        let mut others =
            self.index.group(service, stage).keys().filter(|key| !except.contains(key));
        others.any(|key| self.may_receive(key, terms))
    }

    /// Replaces the list of endpoints, as if each had been updated and the missing ones withdrawn.
    pub fn replace(&mut self, endpoints: Vec<Endpoint>, lenient: bool, now: Millis) {
        let listed: HashSet<&str> = endpoints.iter().map(|endpoint| endpoint.id.as_str()).collect();
        let missing = self.ids.keys().filter(|id| !listed.contains(id.as_str()));
        let missing: Vec<String> = missing.cloned().collect();
        missing.iter().for_each(|id| self.withdraw(id, lenient, now));
        for endpoint in endpoints {
            self.update(endpoint, now);
        }
    }

    /// Adds or changes a listed endpoint. If its id is known with another birth time or build, it was
    /// restarted: the former entry is removed at once, with its usage and health.
    pub fn update(&mut self, endpoint: Endpoint, now: Millis) {
        let (tag, build) = (endpoint.tag(), endpoint.build());
        let Some(key) = self.ids.get(&endpoint.id).copied() else {
            return self.insert(tag, endpoint, now);
        };
        match self.entries.get_mut(key) {
            Some(entry) if (entry.tag, entry.build) == (tag, build) => {
                let former = std::mem::replace(&mut entry.endpoint, endpoint);
                if (former.cold_ms, former.sequence)
                    != (entry.endpoint.cold_ms, entry.endpoint.sequence)
                {
                    entry.cold_until = now + entry.endpoint.cold_ms;
                }
                entry.lapsed_at = None;
                if former.stage != entry.endpoint.stage {
                    entry.speed = Speed::default();
                }
                self.lapsed.remove(&key);
                self.draining_count -= usize::from(former.draining);
                self.draining_count += usize::from(entry.endpoint.draining);
                self.index.remove(&former);
                self.index.insert(&entry.endpoint, key);
            }
            _ => {
                self.remove(key, now);
                self.insert(tag, endpoint, now);
            }
        }
    }

    /// Removes an endpoint that is no longer listed. With `lenient` it is kept for
    /// `LAPSE_GRACE_MS`, as its record may have expired during a store outage and may return.
    pub fn withdraw(&mut self, id: &str, lenient: bool, now: Millis) {
        let Some(key) = self.ids.get(id).copied() else {
            return;
        };
        match self.entries.get_mut(key) {
            Some(entry) if lenient || entry.lapsed_at.is_some() => {
                entry.lapsed_at.get_or_insert(now);
                self.lapsed.insert(key);
            }
            _ => self.remove(key, now),
        }
    }

    /// Removes lapsed endpoints that did not return, expired stage orders, and the usage of nodes
    /// that stopped reporting.
    pub fn expire(&mut self, now: Millis) {
        self.stage_orders.retain(|_, order| order.until > now);
        let changed = self.peer_usage.expire(now);
        self.refresh_remote(changed);
        let changed = self.peer_speeds.expire(now);
        self.refresh_speeds(changed, now);
        let gone = |entry: &Entry| entry.lapsed_at.is_some_and(|at| now.since(at) > LAPSE_GRACE_MS);
        let lapsed = self.lapsed.iter().filter(|key| self.entries.get(**key).is_none_or(gone));
        let gone: Vec<Key> = lapsed.copied().collect();
        gone.into_iter().for_each(|key| self.remove(key, now));
    }

    fn remove(&mut self, key: Key, now: Millis) {
        self.lapsed.remove(&key);
        if let Some(entry) = self.entries.remove(key) {
            self.builds.remove(Tag::of(&entry.endpoint.service), entry.build, now);
            self.peer_speeds.forget_endpoint(entry.tag);
            self.tags.remove(&entry.tag);
            self.ids.remove(&entry.endpoint.id);
            self.index.remove(&entry.endpoint);
            self.draining_count -= usize::from(entry.endpoint.draining);
        }
    }

    fn insert(&mut self, tag: Tag, endpoint: Endpoint, now: Millis) {
        let remote = self.peer_usage.sum(tag);
        let cold_until = now + endpoint.cold_ms;
        self.draining_count += usize::from(endpoint.draining);
        let build = endpoint.build();
        self.builds.add(Tag::of(&endpoint.service), build, now);
        let key = self.entries.insert(Entry {
            tag,
            build,
            endpoint,
            local: Usage::default(),
            remote,
            health: Health::default(),
            reported_load: None,
            own_load: None,
            lapsed_at: None,
            throttled_until: Millis::default(),
            limit_lifted_at: None,
            cold_until,
            speed: Speed::default(),
        });
        self.tags.insert(tag, key);
        if let Some(entry) = self.entries.get(key) {
            self.ids.insert(entry.endpoint.id.clone(), key);
            self.index.insert(&entry.endpoint, key);
        }
    }

    /// The endpoint at a key.
    pub fn get(&self, key: Key) -> Option<&Endpoint> {
        self.entries.get(key).map(|entry| &entry.endpoint)
    }

    /// The key of an endpoint.
    pub fn key(&self, tag: Tag) -> Option<Key> {
        self.tags.get(&tag).copied()
    }

    /// Whether an endpoint is draining or gone.
    pub fn is_leaving(&self, key: Key) -> bool {
        self.entries.get(key).is_none_or(|entry| entry.endpoint.draining)
    }

    /// Whether an endpoint that was listed before is draining or gone. If its record disappeared and came back, it has another
    /// key.
    pub fn has_left(&self, endpoint: &Endpoint) -> bool {
        let key = self.tags.get(&endpoint.tag());
        let entry = key.and_then(|key| self.entries.get(*key));
        let entry = entry.filter(|entry| entry.build == endpoint.build());
        entry.is_none_or(|entry| entry.endpoint.draining)
    }

    /// Engines that are neither draining, lapsed nor evacuated, by service.
    pub fn engines(&self) -> HashMap<&str, Vec<(Key, &Endpoint)>> {
        let mut services: HashMap<&str, Vec<(Key, &Endpoint)>> = HashMap::new();
        for (key, entry) in &self.entries {
            let endpoint = &entry.endpoint;
            let usable = !endpoint.draining && entry.lapsed_at.is_none() && self.serves(endpoint);
            if endpoint.stage == Stage::Plain || !usable {
                continue;
            }
            services.entry(&endpoint.service).or_default().push((key, endpoint));
        }
        services
    }

    /// Engines of a service that may hold the cached prefix of a caller in this failure domain whose
    /// requests start at a point of the ring: all of them, in a large pool only those of the domain,
    /// as these are preferred for placement, and in a very large one only those that were candidates.
    pub fn cache_candidates(&self, service: &str, point: Tag) -> Vec<(Key, Endpoint)> {
        let groups = [Stage::Prefill, Stage::Decode].map(|stage| self.index.group(service, stage));
        let count: usize = groups.iter().map(|group| group.len()).sum();
        let near_only = count > MAX_FULL_SCAN;
        let candidates = groups.into_iter().flat_map(|group| {
            let exact = group.len() <= MAX_EXACT_CHOICE;
            let near =
                group.near_from(point).take(if exact { usize::MAX } else { choice::MAX_LOOKUP });
            let far = group.far_from(point).take(if near_only { 0 } else { usize::MAX });
            near.chain(far)
        });
        let known = candidates.filter_map(|key| Some((key, self.entries.get(key)?)));
        let usable = known.filter(|(_, entry)| {
            !entry.endpoint.draining && entry.lapsed_at.is_none() && self.serves(&entry.endpoint)
        });
        usable.map(|(key, entry)| (key, entry.endpoint.clone())).collect()
    }

    /// Number of prefill engines of a service that this node prefers for placement: all of them, or
    /// in a large pool only those of its failure domain.
    pub fn prefill_engine_count(&self, service: &str) -> usize {
        let group = self.index.group(service, Stage::Prefill);
        let usable = |key: &Key| {
            let endpoint = self.get(*key);
            endpoint.is_some_and(|found| !found.draining && self.serves(found))
        };
        let near = group.near_from(Tag::default()).filter(usable).count();
        let all =
            near + group.far_from(Tag::default()).filter(usable).take(MAX_FULL_SCAN + 1).count();
        if all > MAX_FULL_SCAN { near } else { all }
    }

    /// Number of known endpoints of a stage.
    pub fn count(&self, stage: Stage) -> usize {
        self.index.count(stage)
    }

    /// Number of known endpoints that are draining.
    pub fn draining_count(&self) -> usize {
        self.draining_count
    }

    /// Number of known endpoints.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The best endpoint for a query, with its utilization; 1.0 or more means that the endpoint is
    /// estimated to be full. Failures affect the choice but not the utilization.
    pub fn choose(&mut self, query: Query<'_>, now: Millis) -> Option<(Key, f64)> {
        let usual = self.usual(query.service, query.stage, now);
        let Self { domain, regions, evacuated, entries, index, stage_orders, random, .. } = self;
        let changing = |entry: &Entry| {
            let order = stage_orders.get(&entry.tag);
            order.is_some_and(|order| order.until > now && order.stage != entry.endpoint.stage)
        };
        let admitted = |(key, entry): &(Key, &Entry)| {
            query.admits(*key, entry, now)
                && !changing(entry)
                && bar(entry, query.terms, regions, evacuated).is_none()
        };
        let found = |key: Key| entries.get(key).map(|entry| (key, entry)).filter(admitted);
        let group = index.group(query.service, query.stage);
        if group.len() > MAX_EXACT_CHOICE
            && let Some(best) =
                choice::best_of_sample(query, group, found, domain, random, (&usual, now))
        {
            return Some(best);
        }
        let candidates = group.keys().filter_map(found).collect();
        choice::best(query, group, candidates, domain, random, (&usual, now))
    }

    /// Whether there are so many engines that each request has some of them as candidates.
    pub fn samples(&self) -> bool {
        [Stage::Prefill, Stage::Decode].iter().any(|stage| self.count(*stage) > MAX_EXACT_CHOICE)
    }

    /// Point from which the candidates of requests for a service follow, if they are not always the
    /// same.
    pub fn ring_point(&self, service: &str, point: Tag) -> Option<Tag> {
        let groups = [Stage::Prefill, Stage::Decode].map(|stage| self.index.group(service, stage));
        groups.iter().any(|group| group.len() > MAX_EXACT_CHOICE).then_some(point)
    }

    /// Estimated share of the KV cache in use over all decode engines of a service.
    pub fn occupancy(&self, service: &str, capacity: u64) -> f64 {
        let group = self.index.group(service, Stage::Decode);
        let decoding = group.keys().filter_map(|key| self.entries.get(key));
        let decoding =
            decoding.filter(|entry| !entry.endpoint.draining && self.serves(&entry.endpoint));
        let (taken, count) = decoding.fold((0.0, 0.0), |(taken, count), entry| {
            (taken + f64::from(entry.local.tokens + entry.remote.tokens), count + 1.0)
        });
        if count == 0.0 { 1.0 } else { taken / (count * capacity.max(1) as f64) }
    }

    /// Requests in progress at the endpoints of a service and stage, from all nodes, and the number of these endpoints.
    pub fn in_progress(&self, service: &str, stage: Stage) -> (u32, usize) {
        let group = self.index.group(service, stage);
        let entries = group.keys().filter_map(|key| self.entries.get(key));
        let requests = entries.map(|entry| entry.local.requests + entry.remote.requests);
        (requests.sum(), group.len())
    }

    /// Adds a request and its tokens to the local usage of an endpoint.
    pub fn add_request(&mut self, key: Key, tokens: u32) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.local.requests += 1;
            entry.local.tokens += tokens;
            self.mark_changed(key);
        }
    }

    /// Removes a request and its tokens from the local usage of an endpoint.
    pub fn remove_request(&mut self, key: Key, tokens: u32) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.local.requests = entry.local.requests.saturating_sub(1);
            entry.local.tokens = entry.local.tokens.saturating_sub(tokens);
            self.mark_changed(key);
        }
    }

    fn mark_changed(&mut self, key: Key) {
        let engine =
            self.entries.get(key).is_some_and(|entry| entry.endpoint.stage != Stage::Plain);
        if engine {
            self.changed_usage.insert(key);
        }
    }

    /// Records the outcome of a request for the endpoint's health.
    pub fn record_outcome(&mut self, key: Key, outcome: Outcome, now: Millis) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.health.observe(outcome, now);
        }
    }

    /// Forgets the outcomes at the endpoints of a service: this node had lost its way to them.
    pub fn forget_outcomes(&mut self, service: &str) {
        let of_service = |entry: &&mut Entry| entry.endpoint.service == service;
        self.entries.values_mut().filter(of_service).for_each(|entry| {
            entry.health = Health::default();
        });
    }

    /// A random sample of the endpoints of a service.
    pub fn sample(&mut self, service: &str, count: usize) -> Vec<Endpoint> {
        let keys = STAGES.iter().flat_map(|stage| self.index.group(service, *stage).keys());
        let sample = keys.choose_multiple(&mut self.random, count);
        sample.into_iter().filter_map(|key| self.get(key)).cloned().collect()
    }

    /// A random endpoint other than one.
    pub fn random_other(&mut self, endpoint: &Endpoint) -> Option<Endpoint> {
        let is_other = |entry: &&Entry| entry.endpoint.id != endpoint.id;
        let count = self.entries.values().filter(is_other).count();
        let place = self.random.random_range(0..count.max(1));
        self.entries.values().filter(is_other).nth(place).map(|entry| entry.endpoint.clone())
    }

    /// Records a load report of an endpoint.
    pub fn record_load(&mut self, key: Key, load: Load, now: Millis) {
        if let Some(entry) = self.entries.get_mut(key) {
            if load.pace_percent.is_some() {
                self.paced.insert(Tag::of(&entry.endpoint.service), now);
            }
            load.pace_percent.iter().for_each(|pace| entry.speed.report(*pace, now));
            entry.reported_load = Some((load, now));
            entry.own_load = Some((load, now));
        }
    }

    /// Whether endpoints of a service state their pace, as they do if they share their VMs with other workloads.
    pub fn states_pace(&self, service: &str, now: Millis) -> bool {
        let latest = self.paced.get(&Tag::of(service));
        latest.is_some_and(|at| now.since(*at) < PACED_MS)
    }

    /// Merges a load that an endpoint reported to another node at a time; the newest report counts.
    pub fn merge_load(&mut self, endpoint: Tag, load: Load, at: Millis) {
        let entry = self.tags.get(&endpoint).and_then(|key| self.entries.get_mut(*key));
        if let Some(entry) = entry
            && entry.reported_load.is_none_or(|(_, known)| known < at)
        {
            load.pace_percent.iter().for_each(|pace| entry.speed.report(*pace, at));
            entry.reported_load = Some((load, at));
        }
    }

    /// Loads that endpoints with a varying pace reported to this node, with the ages of the reports in milliseconds. Where
    /// endpoints state no pace, nodes do not share loads.
    pub fn recent_loads(&self, now: Millis) -> impl Iterator<Item = (Tag, Load, u16)> {
        self.entries.values().filter_map(move |entry| {
            let (load, at) = entry.own_load.filter(|(load, _)| load.pace_percent.is_some())?;
            let age_ms = u16::try_from(now.since(at)).ok()?;
            (u64::from(age_ms) < LOAD_REPORT_TTL_MS).then_some((entry.tag, load, age_ms))
        })
    }

    /// Queue of a plain endpoint that reported its load and pace a short time ago; `run_ms` is the usual duration of a call.
    pub fn queue(&self, key: Key, run_ms: f64, now: Millis) -> Option<calls::Queue> {
        self.entries.get(key)?.queue(run_ms, now)
    }

    /// Usual time per unit of work at endpoints without load, in milliseconds.
    pub fn usual_time_ms(&mut self, service: &str, stage: Stage, now: Millis) -> Option<f64> {
        self.usual(service, stage, now).time_ms(0.0)
    }

    /// Service of an endpoint, if it is cold.
    pub fn cold_service(&self, endpoint: Tag, now: Millis) -> Option<&str> {
        let entry = self.entries.get(*self.tags.get(&endpoint)?)?;
        (entry.cold_until > now).then_some(&entry.endpoint.service)
    }

    /// Sends an endpoint no requests until a time, as its rate limit is exhausted.
    pub fn throttle(&mut self, key: Key, until: Millis) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.throttled_until = until;
        }
    }

    /// Ends the throttling of an endpoint whose rate limit changed. If the limit was lifted
    /// altogether (`ended`), a slow start begins.
    pub fn end_throttle(&mut self, tag: Tag, ended: bool, now: Millis) {
        if let Some(entry) = self.tags.get(&tag).and_then(|key| self.entries.get_mut(*key)) {
            entry.throttled_until = now;
            entry.limit_lifted_at = ended.then_some(now);
        }
    }

    /// Time in milliseconds until the first endpoint of a service and stage is no longer throttled,
    /// or `None` if at least one is not throttled now.
    pub fn throttled_for_ms(&self, service: &str, stage: Stage, now: Millis) -> Option<u64> {
        let group = self.index.group(service, stage);
        let usable = group.keys().filter_map(|key| self.entries.get(key));
        let usable =
            usable.filter(|entry| !entry.endpoint.draining && self.serves(&entry.endpoint));
        let earliest = usable.map(|entry| entry.throttled_until).min()?;
        (earliest > now).then(|| earliest.since(now))
    }

    /// Local usage of all endpoints that other nodes need to know, for a full report.
    pub fn local_usage(&self, now: Millis) -> Vec<(Tag, Usage)> {
        let shared = self.entries.values().filter(|entry| entry.worth_sharing(now));
        shared.map(|entry| entry.usage_row(now)).collect()
    }

    /// This node's requests at the endpoints of a service, by the stage that has most.
    pub fn requests_at(&self, service: &str) -> Use {
        STAGES.iter().fold(Use::default(), |highest, stage| {
            let group = self.index.group(service, *stage);
            let entries = group.keys().filter_map(|key| self.entries.get(key));
            let (sum, most) = entries.fold((0, 0), |(sum, most), entry| {
                let requests = entry.local.requests;
                (sum + requests, requests.max(most))
            });
            let mean = f64::from(sum) / group.len().max(1) as f64;
            Use { mean: mean.max(highest.mean), most: most.max(highest.most) }
        })
    }

    /// Endpoints of a service.
    pub fn addresses(&self, service: &str) -> Vec<SocketAddr> {
        let keys = STAGES.iter().flat_map(|stage| self.index.group(service, *stage).keys());
        keys.filter_map(|key| self.get(key)).map(|endpoint| endpoint.address).collect()
    }

    /// Whether an endpoint of its service that started later has an endpoint's address.
    pub fn is_replaced(&self, endpoint: &Endpoint) -> bool {
        let mut keys =
            STAGES.iter().flat_map(|stage| self.index.group(&endpoint.service, *stage).keys());
        let other = |listed: &Endpoint| {
            listed.address == endpoint.address && listed.started_unix_ms > endpoint.started_unix_ms
        };
        keys.any(|key| self.get(key).is_some_and(other))
    }

    /// Records that this node ordered an engine to change its stage.
    pub fn record_stage_order(&mut self, key: Key, stage: Stage, now: Millis) {
        if let Some(entry) = self.entries.get(key) {
            let order = StageOrder { stage, until: now + STAGE_CHANGE_MS, issued_here: true };
            self.stage_orders.insert(entry.tag, order);
        }
    }

    /// Stage orders issued by this node that are not carried out yet.
    pub fn pending_stage_orders(&self, now: Millis) -> Vec<(Tag, Stage)> {
        let stage_of = |tag: &Tag| {
            let entry = self.tags.get(tag).and_then(|key| self.entries.get(*key));
            entry.map(|found| found.endpoint.stage)
        };
        // Orders received from peers are not forwarded: nodes would renew each other's copies, and
        // an order would never expire.
        let issued =
            self.stage_orders.iter().filter(|(_, order)| order.issued_here && order.until > now);
        let open =
            issued.filter(|(tag, order)| stage_of(tag).is_some_and(|stage| stage != order.stage));
        open.map(|(tag, order)| (*tag, order.stage)).collect()
    }

    /// Merges stage orders reported by another node; they expire at `until`.
    pub fn merge_stage_orders(&mut self, orders: &[(Tag, Stage)], until: Millis) {
        for (tag, stage) in orders {
            let order = StageOrder { stage: *stage, until, issued_here: false };
            let known = self.stage_orders.entry(*tag).or_insert(order);
            if known.until < until {
                *known = order;
            }
        }
    }

    /// Takes the local usage of the engines where it changed since the last call, for a delta report.
    pub fn take_usage_delta(&mut self, now: Millis) -> Vec<(Tag, Usage)> {
        let changed = std::mem::take(&mut self.changed_usage);
        changed.into_iter().filter_map(|key| Some(self.entries.get(key)?.usage_row(now))).collect()
    }

    /// Applies a usage delta of another node. It is ignored until that node's first full report.
    pub fn apply_usage_delta(&mut self, peer: Tag, usage: &[(Tag, Usage)]) {
        if self.peer_usage.update(peer, usage) {
            self.refresh_remote(usage.iter().map(|row| row.0));
        }
    }

    /// Replaces the usage of another node with a full report that expires at `until`.
    pub fn apply_usage_report(&mut self, peer: Tag, usage: Vec<(Tag, Usage)>, until: Millis) {
        let changed = self.peer_usage.replace(peer, usage, until);
        self.refresh_remote(changed);
    }

    /// Requests in progress at an endpoint, as a share of its slots.
    pub fn request_load(&self, key: Key, now: Millis) -> f64 {
        self.entries.get(key).map_or(0.0, |entry| entry.request_load(now))
    }

    /// The same without one of the requests.
    pub fn load_besides_one(&self, key: Key, now: Millis) -> f64 {
        let slots = self.get(key).map_or(1, |endpoint| endpoint.slots.max(1));
        (self.request_load(key, now) - 1.0 / f64::from(slots)).max(0.0)
    }

    /// Records the time that a run at an endpoint took, unless the endpoint has changed its stage since.
    pub fn observe_run(&mut self, key: Key, stage: Stage, sample: Sample, now: Millis) {
        let entry = self.entries.get_mut(key);
        if let Some(entry) = entry.filter(|entry| entry.endpoint.stage == stage) {
            entry.speed.observe(sample, now);
        }
    }

    /// Speed of an endpoint in its stage.
    pub fn speed(&self, key: Key) -> Option<&Speed> {
        self.entries.get(key).map(|entry| &entry.speed)
    }

    /// Expected time per unit at an endpoint, relative to the median of its service and stage at the same load; 1.0 is neutral.
    pub fn relative_speed(&mut self, key: Key, now: Millis) -> f64 {
        let Some(Endpoint { service, stage, .. }) = self.get(key) else {
            return 1.0;
        };
        let (service, stage) = (service.clone(), *stage);
        let usual = self.usual(&service, stage, now);
        let entry = self.entries.get(key);
        entry.map_or(1.0, |entry| entry.speed.relative(entry.request_load(now), &usual, now))
    }

    /// Relative times of the endpoints with observations, apart from the deviations that they report.
    pub fn relative_times(&mut self, now: Millis) -> Vec<(Key, Relative)> {
        let keys: Vec<Key> = self.entries.keys().collect();
        let relative = keys.into_iter().filter_map(|key| {
            let Endpoint { service, stage, .. } = self.get(key)?;
            let (service, stage) = (service.clone(), *stage);
            let usual = self.usual(&service, stage, now);
            let entry = self.entries.get(key)?;
            let load = entry.request_load(now);
            let to_median = entry.speed.lasting(load, &usual, now)?;
            Some((key, Relative { to_median, to_fast: usual.slowness(to_median, load) }))
        });
        relative.collect()
    }

    /// Usual speeds of a service's endpoints in a stage.
    fn usual(&mut self, service: &str, stage: Stage, now: Millis) -> Usual {
        let Self { usual_speeds, index, entries, .. } = self;
        let compute = || {
            let keys = index.group(service, stage).keys().take(MAX_USUAL_ENDPOINTS);
            let known = keys.filter_map(|key| entries.get(key));
            (Usual::of(known.map(|entry| entry.speed.record(now))), now)
        };
        let cached = usual_speeds.entry((Tag::of(service), stage)).or_insert_with(compute);
        if now.since(cached.1) >= USUAL_TTL_MS {
            *cached = compute();
        }
        cached.0
    }

    /// This node's observations of endpoints' speeds, for a report of limited length; those with most runs first.
    pub fn speed_rows(&self, limit: usize, now: Millis) -> Vec<Row> {
        let rows = self.entries.values().map(|entry| Row {
            endpoint: entry.tag,
            stage: entry.endpoint.stage,
            record: entry.speed.own(now),
        });
        let mut rows: Vec<Row> = rows.filter(|row| row.record.worth_sharing()).collect();
        rows.sort_by(|a, b| b.record.runs().total_cmp(&a.record.runs()));
        rows.truncate(limit);
        rows
    }

    /// Replaces the observations of another node, which expire at `until`.
    pub fn apply_speed_rows(&mut self, peer: Tag, rows: Vec<Row>, now: Millis, until: Millis) {
        let changed = self.peer_speeds.replace(peer, rows, now, until);
        self.refresh_speeds(changed, now);
    }

    /// Forgets the speeds of all endpoints: this node was suspended and missed what changed.
    pub fn forget_speeds(&mut self) {
        self.peer_speeds.clear();
        self.usual_speeds.clear();
        self.entries.values_mut().for_each(|entry| entry.speed = Speed::default());
    }

    fn refresh_speeds(&mut self, changed: impl IntoIterator<Item = Tag>, now: Millis) {
        for tag in changed {
            if let Some(entry) = self.tags.get(&tag).and_then(|key| self.entries.get_mut(*key)) {
                let stage = entry.endpoint.stage;
                entry.speed.merge(self.peer_speeds.sum(tag, stage, now), now);
            }
        }
    }

    fn refresh_remote(&mut self, changed: impl IntoIterator<Item = Tag>) {
        for tag in changed {
            if let Some(entry) = self.tags.get(&tag).and_then(|key| self.entries.get_mut(*key)) {
                entry.remote = self.peer_usage.sum(tag);
            }
        }
    }
}

/// Why an endpoint may not serve requests under some terms, whatever its load.
fn bar(
    entry: &Entry,
    terms: Terms<'_>,
    regions: &HashMap<String, String>,
    evacuated: &BTreeSet<String>,
) -> Option<Unavailable> {
    let domain = &entry.endpoint.domain;
    if !terms.residency.permits(regions.get(domain).map(String::as_str)) {
        return Some(Unavailable::Region);
    }
    if terms.build.is_some_and(|build| build != entry.build) {
        return Some(Unavailable::Build);
    }
    evacuated.contains(domain).then_some(Unavailable::Evacuated)
}
