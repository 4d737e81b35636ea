//! Endpoints by service and stage, each group as two rings of tags: of this failure domain and of all others.
//!
//! Tags are hashes, so the endpoints that follow a point on a ring are a random sample, and the same one at every node of the
//! domain that knows the same endpoints. In a large group a request therefore has few candidates, which follow the hash of its
//! prompt: the cost of a choice does not grow with the endpoints, and a caller that comes back is looked for where it ran.

use crosslane_state::build::Build;
use crosslane_state::endpoint::{Endpoint, Key, Stage, Tag};
use std::collections::{BTreeMap, HashMap};
use std::ops::Bound;

/// Endpoints on a ring, by tag.
type Ring = BTreeMap<Tag, Key>;

/// Endpoints of one service and stage.
#[derive(Debug, Default)]
pub struct Group {
    near: Ring,
    far: Ring,
    /// Number of endpoints by build, without those that are draining.
    builds: HashMap<Build, usize>,
}

impl Group {
    /// Number of endpoints.
    pub fn len(&self) -> usize {
        self.near.len() + self.far.len()
    }

    /// Number of endpoints that run a build and are not draining.
    pub fn count_of(&self, build: Build) -> usize {
        self.builds.get(&build).copied().unwrap_or_default()
    }

    /// Whether endpoints that are not draining run several builds.
    pub fn has_several_builds(&self) -> bool {
        self.builds.len() > 1
    }

    /// Keys of all endpoints, those of this failure domain first.
    pub fn keys(&self) -> impl Iterator<Item = Key> {
        self.near.values().chain(self.far.values()).copied()
    }

    /// Keys of the endpoints of this failure domain, from a point of the ring on.
    pub fn near_from(&self, point: Tag) -> impl Iterator<Item = Key> {
        from(&self.near, point)
    }

    /// Keys of the other endpoints, from a point of the ring on.
    pub fn far_from(&self, point: Tag) -> impl Iterator<Item = Key> {
        from(&self.far, point)
    }

    fn remove_build(&mut self, build: Build) {
        let left = self.count_of(build).saturating_sub(1);
        if left > 0 {
            self.builds.insert(build, left);
        } else {
            self.builds.remove(&build);
        }
    }
}

fn from(ring: &Ring, point: Tag) -> impl Iterator<Item = Key> {
    let after = ring.range((Bound::Included(point), Bound::Unbounded));
    after.chain(ring.range(..point)).map(|(_, key)| *key)
}

/// All groups.
#[derive(Debug)]
pub struct Index {
    domain: String,
    groups: HashMap<String, [Group; 3]>,
    empty: Group,
}

impl Index {
    /// An empty index of a node in this failure domain.
    pub fn new(domain: String) -> Self {
        Self { domain, groups: HashMap::new(), empty: Group::default() }
    }

    /// Adds an endpoint.
    pub fn insert(&mut self, endpoint: &Endpoint, key: Key) {
        let near = endpoint.domain == self.domain;
        let groups = self.groups.entry(endpoint.service.clone()).or_default();
        let group = &mut groups[endpoint.stage as usize];
        let ring = if near { &mut group.near } else { &mut group.far };
        let known = ring.insert(endpoint.tag(), key).is_some();
        if !known && !endpoint.draining {
            *group.builds.entry(endpoint.build()).or_default() += 1;
        }
    }

    /// Removes an endpoint, as it was added.
    pub fn remove(&mut self, endpoint: &Endpoint) {
        if let Some(groups) = self.groups.get_mut(&endpoint.service) {
            let group = &mut groups[endpoint.stage as usize];
            let tag = endpoint.tag();
            let known = group.near.remove(&tag).or(group.far.remove(&tag)).is_some();
            if known && !endpoint.draining {
                group.remove_build(endpoint.build());
            }
        }
    }

    /// Endpoints of a service and stage.
    pub fn group(&self, service: &str, stage: Stage) -> &Group {
        self.groups.get(service).map_or(&self.empty, |groups| &groups[stage as usize])
    }

    /// Number of endpoints of a stage, of all services.
    pub fn count(&self, stage: Stage) -> usize {
        self.groups.values().map(|groups| groups[stage as usize].len()).sum()
    }
}
