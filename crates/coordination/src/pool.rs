//! The endpoints this node may use, what they carry, and how well they have answered.
//!
//! Load is what this node has at an endpoint plus what other nodes last told they have there.
//! Health is judged by the outcomes of real requests, here and at other nodes, and fades back.

use crate::choice::{self, ALL_LOOKED_AT, Query};
use crate::entry::{Entry, Load};
use crate::health::{Health, Outcome};
use crate::usage::{Told, Usage};
use crosslane_state::endpoint::{Endpoint, Key, Stage, Tag};
use crosslane_state::time::Millis;
use rand::rngs::SmallRng;
use slotmap::SlotMap;
use std::collections::{HashMap, HashSet};

/// Time that an order to change its stage keeps an engine from new work, in milliseconds: its runs
/// end first, some 3 s, and the change takes 6 s. Meanwhile it grants reservations, looks empty,
/// and refuses what comes.
const CHANGING: u64 = 12_000;

/// Time that an endpoint is kept after its record lapsed with the store, in milliseconds. Live ones
/// are back within about 2 s of the store's return; one that really left must get no work 2 s
/// after its record went, and a request may be on its way for some hundred milliseconds.
const LAPSE_GRACE: u64 = 1_200;

/// An order to an engine to take a stage.
#[derive(Clone, Copy, Debug)]
struct Ordered {
    stage: Stage,
    /// Until when it counts.
    until: Millis,
    /// Whether this node gave it.
    own: bool,
}

/// All endpoints by key and by tag.
#[derive(Debug)]
pub struct Pool {
    domain: String,
    entries: SlotMap<Key, Entry>,
    tags: HashMap<Tag, Key>,
    told: Told,
    /// Engines whose usage changed since it was last told.
    updated: HashSet<Key>,
    /// Stages that engines were ordered to take.
    changing: HashMap<Tag, Ordered>,
    random: SmallRng,
}

impl Pool {
    /// An empty pool of a node in this failure domain.
    pub fn new(domain: String, random: SmallRng) -> Self {
        Self {
            domain,
            entries: SlotMap::with_key(),
            tags: HashMap::new(),
            told: Told::default(),
            updated: HashSet::new(),
            changing: HashMap::new(),
            random,
        }
    }

    /// Takes the list of endpoints as it is now. Those missing from it are kept a while if
    /// `lenient`: their records may have lapsed with the store away, and may come back. One whose id
    /// has another birth is gone with all that it held.
    pub fn replace(&mut self, endpoints: Vec<Endpoint>, lenient: bool, now: Millis) {
        let listed: HashSet<Tag> = endpoints.iter().map(Endpoint::tag).collect();
        let ids: HashSet<&str> = endpoints.iter().map(|it| it.id.as_str()).collect();
        let missing: Vec<Tag> =
            self.tags.keys().filter(|it| !listed.contains(it)).copied().collect();
        for tag in missing {
            let entry = self.tags.get(&tag).and_then(|key| self.entries.get_mut(*key));
            match entry {
                Some(entry) if ids.contains(entry.endpoint.id.as_str()) => self.remove(tag),
                Some(entry) if lenient || entry.lapsed.is_some() => {
                    entry.lapsed.get_or_insert(now);
                }
                _ => self.remove(tag),
            }
        }
        for endpoint in endpoints {
            self.put(endpoint);
        }
    }

    /// Drops endpoints whose records lapsed and did not come back, orders that are over, and what silent
    /// nodes told.
    pub fn expire(&mut self, now: Millis) {
        self.changing.retain(|_, it| it.until > now);
        let changed = self.told.expire(now);
        self.resum(changed);
        let gone = |it: &Entry| it.lapsed.is_some_and(|at| now.since(at) > LAPSE_GRACE);
        let entries = self.entries.values().filter(|it| gone(it));
        let tags: Vec<Tag> = entries.map(|it| it.tag).collect();
        tags.into_iter().for_each(|tag| self.remove(tag));
    }

    fn remove(&mut self, tag: Tag) {
        if let Some(key) = self.tags.remove(&tag) {
            self.entries.remove(key);
        }
    }

    fn put(&mut self, endpoint: Endpoint) {
        let tag = endpoint.tag();
        if let Some(entry) = self.tags.get(&tag).and_then(|key| self.entries.get_mut(*key)) {
            entry.endpoint = endpoint;
            entry.lapsed = None;
            return;
        }
        let elsewhere = self.told.sum(tag);
        let key = self.entries.insert(Entry {
            tag,
            endpoint,
            here: Usage::default(),
            elsewhere,
            health: Health::default(),
            load: None,
            lapsed: None,
            held: Millis::default(),
            eased: None,
        });
        self.tags.insert(tag, key);
    }

    /// The endpoint at a key.
    pub fn get(&self, key: Key) -> Option<&Endpoint> {
        self.entries.get(key).map(|it| &it.endpoint)
    }

    /// The key of an endpoint.
    pub fn key(&self, tag: Tag) -> Option<Key> {
        self.tags.get(&tag).copied()
    }

    /// Whether an endpoint may still be given work.
    pub fn usable(&self, key: Key) -> bool {
        self.entries.get(key).is_some_and(|it| !it.endpoint.draining)
    }

    /// Engines that are not leaving, by service.
    pub fn engines(&self) -> HashMap<&str, Vec<(Key, &Endpoint)>> {
        let mut services: HashMap<&str, Vec<(Key, &Endpoint)>> = HashMap::new();
        for (key, entry) in &self.entries {
            let endpoint = &entry.endpoint;
            if endpoint.stage == Stage::Plain || endpoint.draining || entry.lapsed.is_some() {
                continue;
            }
            services.entry(&endpoint.service).or_default().push((key, endpoint));
        }
        services
    }

    /// Engines of a service that may keep what a caller of this failure domain brings back: all, or
    /// among many those of the domain, which are chosen first.
    pub fn keepers(&self, service: &str) -> Vec<(Key, Endpoint)> {
        let engines = self.engines().remove(service).unwrap_or_default();
        let many = engines.len() > ALL_LOOKED_AT;
        let near = engines.into_iter().filter(|(_, it)| !many || it.domain == self.domain);
        near.map(|(key, it)| (key, it.clone())).collect()
    }

    /// Prefilling engines of a service among which this node chooses first: all, or among many those of its
    /// failure domain.
    pub fn prefilling(&self, service: &str) -> usize {
        let engines = self.entries.values().map(|it| &it.endpoint);
        let usable = engines
            .filter(|it| it.stage == Stage::Prefill && it.service == service && !it.draining);
        let (all, near) = usable.fold((0, 0), |(all, near), it| {
            (all + 1, near + usize::from(it.domain == self.domain))
        });
        if all > ALL_LOOKED_AT { near } else { all }
    }

    /// Endpoints known.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The best endpoint for a query, and its load as a share of a full endpoint: one or more
    /// means that it is believed to be full. Failures count in the choice, but not as load.
    pub fn choose(&mut self, query: Query<'_>, now: Millis) -> Option<(Key, f64)> {
        let changing = |it: &Entry| {
            let order = self.changing.get(&it.tag);
            order.is_some_and(|order| order.until > now && order.stage != it.endpoint.stage)
        };
        let admitted = |(key, it): &(Key, &Entry)| query.admits(*key, it, now) && !changing(it);
        let entries = self.entries.iter().filter(admitted).collect();
        choice::best(query, entries, &self.domain, &mut self.random, now)
    }

    /// Share of the KV cache of a service's decoding engines that is believed to be taken.
    pub fn occupancy(&self, service: &str, capacity: u64) -> f64 {
        let decoding = self.entries.values().filter(|it| {
            it.endpoint.stage == Stage::Decode
                && it.endpoint.service == service
                && !it.endpoint.draining
        });
        let (taken, count) = decoding.fold((0.0, 0.0), |(taken, count), it| {
            (taken + f64::from(it.here.tokens + it.elsewhere.tokens), count + 1.0)
        });
        if count == 0.0 { 1.0 } else { taken / (count * capacity.max(1) as f64) }
    }

    /// Counts a request and its tokens at an endpoint.
    pub fn enter(&mut self, key: Key, tokens: u32) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.here.requests += 1;
            entry.here.tokens += tokens;
            self.note_update(key);
        }
    }

    /// Counts a request and its tokens as gone.
    pub fn leave(&mut self, key: Key, tokens: u32) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.here.requests = entry.here.requests.saturating_sub(1);
            entry.here.tokens = entry.here.tokens.saturating_sub(tokens);
            self.note_update(key);
        }
    }

    fn note_update(&mut self, key: Key) {
        let engine = self.entries.get(key).is_some_and(|it| it.endpoint.stage != Stage::Plain);
        if engine {
            self.updated.insert(key);
        }
    }

    /// Notes how a request ended.
    pub fn note(&mut self, key: Key, outcome: Outcome, now: Millis) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.health.note(outcome, now);
        }
    }

    /// Notes a load report.
    pub fn load(&mut self, key: Key, load: Load, now: Millis) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.load = Some((load, now));
        }
    }

    /// Keeps requests from an endpoint for a while: its limit has no room.
    pub fn hold_back(&mut self, key: Key, until: Millis) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.held = until;
        }
    }

    /// Lets requests go to an endpoint again whose limit changed, or ended.
    pub fn let_in(&mut self, tag: Tag, ended: bool, now: Millis) {
        if let Some(entry) = self.tags.get(&tag).and_then(|key| self.entries.get_mut(*key)) {
            entry.held = now;
            entry.eased = ended.then_some(now);
        }
    }

    /// Time until the first endpoint of a service and stage takes requests again, in milliseconds, if the limits of all
    /// have no room now.
    pub fn held_for(&self, service: &str, stage: Stage, now: Millis) -> Option<u64> {
        let usable = self.entries.values().filter(|it| {
            let endpoint = &it.endpoint;
            endpoint.service == service && endpoint.stage == stage && !endpoint.draining
        });
        let first = usable.map(|it| it.held).min()?;
        (first > now).then(|| first.since(now))
    }

    /// What this node has at endpoints, to be told to others.
    pub fn usage(&self, now: Millis) -> Vec<(Tag, Usage)> {
        let told = self.entries.values().filter(|it| it.worth_telling(now));
        told.map(|it| it.row(now)).collect()
    }

    /// Notes that this node ordered an engine to take a stage.
    pub fn ordered(&mut self, key: Key, stage: Stage, now: Millis) {
        if let Some(entry) = self.entries.get(key) {
            let order = Ordered { stage, until: now + CHANGING, own: true };
            self.changing.insert(entry.tag, order);
        }
    }

    /// Orders of this node that are not carried out yet.
    pub fn changing(&self, now: Millis) -> Vec<(Tag, Stage)> {
        let has = |tag: &Tag| {
            let entry = self.tags.get(tag).and_then(|key| self.entries.get(*key));
            entry.map(|it| it.endpoint.stage)
        };
        // What was only heard is not passed on, or it would never end.
        let own = self.changing.iter().filter(|(_, it)| it.own && it.until > now);
        let open = own.filter(|(tag, it)| has(tag).is_some_and(|stage| stage != it.stage));
        open.map(|(tag, it)| (*tag, it.stage)).collect()
    }

    /// Takes another node's word of orders, which counts until a time.
    pub fn hear_changing(&mut self, orders: &[(Tag, Stage)], until: Millis) {
        for (tag, stage) in orders {
            let heard = Ordered { stage: *stage, until, own: false };
            let known = self.changing.entry(*tag).or_insert(heard);
            if known.until < until {
                *known = heard;
            }
        }
    }

    /// What this node has at engines where that changed since it was last asked for.
    pub fn updates(&mut self, now: Millis) -> Vec<(Tag, Usage)> {
        let updated = std::mem::take(&mut self.updated);
        updated.into_iter().filter_map(|key| Some(self.entries.get(key)?.row(now))).collect()
    }

    /// Takes what another node now has at some engines. One that was not heard yet is heard first.
    pub fn update(&mut self, peer: Tag, usage: &[(Tag, Usage)]) {
        if self.told.update(peer, usage) {
            self.resum(usage.iter().map(|it| it.0));
        }
    }

    /// Takes all that another node has at endpoints, which counts until a time.
    pub fn hear(&mut self, peer: Tag, usage: Vec<(Tag, Usage)>, until: Millis) {
        let changed = self.told.hear(peer, usage, until);
        self.resum(changed);
    }

    fn resum(&mut self, changed: impl IntoIterator<Item = Tag>) {
        for tag in changed {
            if let Some(entry) = self.tags.get(&tag).and_then(|key| self.entries.get_mut(*key)) {
                entry.elsewhere = self.told.sum(tag);
            }
        }
    }
}
