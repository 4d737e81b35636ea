//! Which builds of each service have been listed, and until when.
//!
//! A stream that nobody knows anything of can only be of one build if no other one has served for as long as a stream and the
//! return of its caller may take. Nodes that have not run for as long compare what they list with what was recorded outside.

use crate::streams::Knowledge;
use crosslane_state::build::Build;
use crosslane_state::endpoint::Tag;
use crosslane_state::time::Millis;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap};

/// Builds at which streams may have begun whose callers still come back, with their services.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record(BTreeSet<(Tag, Build)>);

impl Record {
    /// The only build of a service.
    pub fn only(&self, service: Tag) -> Option<Build> {
        let mut builds = self.0.iter().filter(|(known, _)| *known == service);
        builds.next().map(|(_, build)| *build).filter(|_| builds.next().is_none())
    }
}

/// Builds of one service.
#[derive(Debug, Default)]
struct Service {
    /// Number of listed endpoints.
    listed: HashMap<Build, usize>,
    /// When the last endpoint went.
    gone: HashMap<Build, Millis>,
}

/// Builds of all services.
#[derive(Debug, Default)]
pub struct Builds {
    services: HashMap<Tag, Service>,
    /// When the first endpoint was listed.
    observed_from: Option<Millis>,
}

impl Builds {
    /// Records that an endpoint was listed.
    pub fn add(&mut self, service: Tag, build: Build, now: Millis) {
        self.observed_from.get_or_insert(now);
        let known = self.services.entry(service).or_default();
        *known.listed.entry(build).or_default() += 1;
        known.gone.remove(&build);
    }

    /// Records that an endpoint is no longer listed.
    pub fn remove(&mut self, service: Tag, build: Build, now: Millis) {
        let Some(known) = self.services.get_mut(&service) else {
            return;
        };
        let left = known.listed.get(&build).copied().unwrap_or_default().saturating_sub(1);
        if left > 0 {
            known.listed.insert(build, left);
        } else if known.listed.remove(&build).is_some() {
            known.gone.insert(build, now);
        }
    }

    /// Whether an endpoint of a service is listed that runs a build.
    pub fn lists(&self, service: Tag, build: Build) -> bool {
        self.services.get(&service).is_some_and(|known| known.listed.contains_key(&build))
    }

    /// Whether endpoints of a service run several builds.
    pub fn several(&self, service: Tag) -> bool {
        self.services.get(&service).is_some_and(|known| known.listed.len() > 1)
    }

    /// The only build of a service that is listed now.
    fn only(&self, service: Tag) -> Option<Build> {
        let mut listed = self.services.get(&service)?.listed.keys();
        listed.next().copied().filter(|_| listed.next().is_none())
    }

    /// What follows for a stream that began within the last milliseconds.
    pub fn knowledge(&self, service: Tag, span_ms: u64, now: Millis) -> Knowledge {
        let Some(known) = self.services.get(&service) else {
            return Knowledge::Nothing;
        };
        let went = known.gone.values().any(|at| now.since(*at) < span_ms);
        match (self.only(service).filter(|_| !went), self.observes(span_ms, now)) {
            (Some(build), true) => Knowledge::Sole(build),
            (None, true) => Knowledge::Several,
            (only, false) => Knowledge::Unobserved(only),
        }
    }

    /// The builds that are listed or went within the last milliseconds, with those recorded before while this node has not
    /// observed the list for as long.
    pub fn record(&self, before: &Record, span_ms: u64, now: Millis) -> Record {
        let recent = self.services.iter().flat_map(|(service, known)| {
            let gone = known.gone.iter().filter(|(_, at)| now.since(**at) < span_ms);
            let builds = known.listed.keys().chain(gone.map(|(build, _)| build));
            builds.map(|build| (*service, *build))
        });
        let unobserved = before.0.iter().filter(|_| !self.observes(span_ms, now)).copied();
        Record(recent.chain(unobserved).collect())
    }

    /// Whether the list was observed for some milliseconds.
    fn observes(&self, span_ms: u64, now: Millis) -> bool {
        self.observed_from.is_some_and(|from| now.since(from) >= span_ms)
    }
}
