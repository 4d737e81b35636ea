//! One version of the configuration: routes, services and limits.

use crate::organisation::Organisations;
use std::collections::HashMap;

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Idempotent.
    Safe,
    /// At most one run.
    Unsafe,
    /// A stream of events; at most one run unless it may be resumed.
    Stream {
        /// Whether another endpoint may continue it.
        resumable: bool,
    },
}

impl Kind {
    /// Whether a request may run more than once.
    pub fn idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { resumable: true })
    }
}

/// A service's share of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// Name of the service.
    pub service: String,
    /// Weight among the shares of the route.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Host it answers for, in lower case.
    pub host: String,
    /// Path prefix, which ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time a request is held, in milliseconds.
    pub timeout: u64,
    /// Time within which an answer or its first event is on time, in milliseconds.
    pub target: u64,
    /// Longest pause between events that is on time, in milliseconds.
    pub gap: u64,
    /// Endpoints to which one request may be sent.
    pub attempts: u32,
    /// Services behind it.
    pub shares: Vec<Share>,
    /// Whether callers need no key.
    pub open: bool,
}

/// Shortest silence after which callers give a stream up, in milliseconds.
const LEAST_SILENCE: u64 = 2_000;

impl Route {
    /// Longest silence that a caller of a stream bears, in milliseconds; then it gives up.
    pub fn silence(&self) -> u64 {
        LEAST_SILENCE.max(4 * self.target).max(8 * self.gap)
    }
}

/// What engines of a service can do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// KV cache of one engine, in tokens.
    pub capacity: u64,
    /// Longest reservation of memory, in milliseconds.
    pub hold_limit: u64,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its engines, if it generates tokens.
    pub engine: Option<Engine>,
    /// Connections that one of its endpoints takes from all nodes together, if it is told.
    pub connections: Option<u32>,
}

/// What callers may send, and how long connections rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for a head to arrive, in milliseconds.
    pub header_millis: u64,
    /// Time that a connection may rest, in milliseconds.
    pub idle_millis: u64,
}

/// One version of the configuration.
#[derive(Clone, Debug)]
pub struct Table {
    /// Version; later ones are higher.
    pub version: u64,
    /// Routes by host, longest prefix first.
    hosts: HashMap<String, Vec<Route>>,
    /// Services by name.
    pub services: HashMap<String, Service>,
    /// Limits on callers.
    pub limits: Limits,
    /// Who may call; without it anyone may.
    pub organisations: Option<Organisations>,
}

impl Table {
    /// A table of these routes.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: HashMap<String, Service>,
        limits: Limits,
    ) -> Self {
        let mut hosts: HashMap<String, Vec<Route>> = HashMap::new();
        for route in routes {
            hosts.entry(route.host.clone()).or_default().push(route);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|it| std::cmp::Reverse(it.prefix.len()));
        }
        Self { version, hosts, services, limits, organisations: None }
    }

    /// The route of a host with the longest prefix of a path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        self.hosts.get(&host)?.iter().find(|it| path.starts_with(&it.prefix))
    }
}
