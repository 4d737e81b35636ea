//! A version of the configuration: routes, services and limits.

use crate::organisation::Organisations;
use crate::priority::Priority;
use crate::rate::Rate;
use crate::residency::Residency;
use std::collections::{BTreeSet, HashMap};

/// Which requests of a route may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Requests are idempotent.
    Safe,
    /// A request runs at most once.
    Unsafe,
    /// An event stream; runs at most once unless it is resumable.
    Stream {
        /// Whether another endpoint may continue a broken stream.
        resumable: bool,
    },
}

impl Kind {
    /// Whether a request may run more than once.
    pub fn idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { resumable: true })
    }
}

/// Share of a route's traffic that goes to a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the route's other shares.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Host name that it matches, in lower case.
    pub host: String,
    /// Path prefix that it matches; ends with a slash.
    pub path_prefix: String,
    /// Which requests may be repeated.
    pub kind: Kind,
    /// Time limit of a request, in milliseconds.
    pub timeout_ms: u64,
    /// Target latency of a response or of a stream's first event, in milliseconds.
    pub target_latency_ms: u64,
    /// Target for the longest gap between events of a stream, in milliseconds.
    pub target_gap_ms: u64,
    /// Maximum number of endpoints to which one request is sent.
    pub max_attempts: u32,
    /// Services that share its traffic.
    pub shares: Vec<Share>,
    /// Whether callers may omit the API key.
    pub allow_anonymous: bool,
    /// Where its requests may be served.
    pub residency: Residency,
    /// Priority of its requests; 0 is the most urgent.
    pub priority: u8,
}

/// Lower bound of the callers' idle timeout on a stream, in milliseconds.
const MIN_CALLER_IDLE_TIMEOUT_MS: u64 = 2_000;

impl Route {
    /// Idle timeout of the callers of a stream: time without an event after which they give up, in milliseconds.
    pub fn caller_idle_timeout_ms(&self) -> u64 {
        MIN_CALLER_IDLE_TIMEOUT_MS.max(4 * self.target_latency_ms).max(8 * self.target_gap_ms)
    }

    /// Time from the beginning of a stream in which its caller may come back with it, in milliseconds: an attempt lasts up to the
    /// timeout, and so may the return from it, since not all callers say how long they wait.
    pub fn return_ms(&self) -> u64 {
        2 * self.timeout_ms
    }

    /// Time without data after which its callers give up, in milliseconds.
    pub fn patience_ms(&self) -> u64 {
        match self.kind {
            Kind::Stream { .. } => self.caller_idle_timeout_ms(),
            Kind::Safe | Kind::Unsafe => self.timeout_ms,
        }
    }
}

/// Properties of the engines of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// KV cache capacity of one engine, in tokens.
    pub kv_capacity_tokens: u64,
    /// Longest time for which an engine reserves KV cache, in milliseconds.
    pub max_hold_ms: u64,
    /// Time for which an engine keeps KV cache that has a handle, in milliseconds.
    pub handle_ttl_ms: u64,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Properties of its engines, if it generates tokens.
    pub engine: Option<Engine>,
    /// Maximum number of connections to one of its endpoints, from all nodes together, if the configuration has one.
    pub max_connections: Option<u32>,
    /// Requests per second that one of its endpoints takes while it is cold, from all nodes together, if that is limited.
    pub cold_rate: Option<Rate>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request's header, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Time within which a header must arrive, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time after which an idle connection is closed, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// A version of the configuration.
#[derive(Clone, Debug)]
pub struct Table {
    /// Version number; it increases with each change.
    pub version: u64,
    /// Routes by host, longest prefix first.
    hosts: HashMap<String, Vec<Route>>,
    /// Services by name.
    pub services: HashMap<String, Service>,
    /// Longest time limit of a request by service, in milliseconds.
    longest_timeouts_ms: HashMap<String, u64>,
    /// Priorities of the routes to each service.
    priorities: HashMap<String, BTreeSet<u8>>,
    /// Limits on callers' requests and connections.
    pub limits: Limits,
    /// Time without data after which the callers of every route have given up, in milliseconds.
    pub longest_patience_ms: u64,
    /// Shortest latency target of a route, in milliseconds.
    pub shortest_target_ms: u64,
    /// Time after which no caller of any route comes back with a stream, in milliseconds.
    pub longest_return_ms: u64,
    /// Organisations that may send requests; without it, no API key is needed.
    pub organisations: Option<Organisations>,
}

impl Table {
    /// A table of routes and services, without organisations.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: HashMap<String, Service>,
        limits: Limits,
    ) -> Self {
        let targets = routes.iter().map(|route| route.target_latency_ms);
        let shortest_target_ms = targets.filter(|target| *target > 0).min().unwrap_or_default();
        let longest_patience_ms = routes.iter().map(Route::patience_ms).max().unwrap_or_default();
        let longest_return_ms = routes.iter().map(Route::return_ms).max().unwrap_or_default();
        let mut longest_timeouts_ms: HashMap<String, u64> = HashMap::new();
        let mut priorities: HashMap<String, BTreeSet<u8>> = HashMap::new();
        for route in &routes {
            for share in &route.shares {
                priorities.entry(share.service.clone()).or_default().insert(route.priority);
                let longest = longest_timeouts_ms.entry(share.service.clone()).or_default();
                *longest = route.timeout_ms.max(*longest);
            }
        }
        let mut hosts: HashMap<String, Vec<Route>> = HashMap::new();
        for route in routes {
            hosts.entry(route.host.clone()).or_default().push(route);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let organisations = None;
        Self {
            version,
            hosts,
            services,
            longest_timeouts_ms,
            priorities,
            limits,
            longest_patience_ms,
            shortest_target_ms,
            longest_return_ms,
            organisations,
        }
    }

    /// Longest time limit of a request to a service, in milliseconds.
    pub fn longest_timeout_ms(&self, service: &str) -> u64 {
        self.longest_timeouts_ms.get(service).copied().unwrap_or_default()
    }

    /// Whether requests for a service differ in priority, by their routes or organisations.
    pub fn is_ranked(&self, service: &str) -> bool {
        let routes = self.priorities.get(service).map_or(0, BTreeSet::len);
        routes > 1 || self.organisations.as_ref().is_some_and(Organisations::is_ranked)
    }

    /// Place of a priority among those of a service, from 0 for the most urgent to 1 for the least urgent; 1 if they do not differ.
    pub fn level(&self, service: &str, priority: Priority) -> f64 {
        let routes = self.priorities.get(service).into_iter().flatten();
        let organisations: BTreeSet<u8> = match &self.organisations {
            Some(known) => known.iter().map(|organisation| organisation.priority).collect(),
            None => BTreeSet::from([0]),
        };
        let all: BTreeSet<_> = routes
            .flat_map(|route| {
                let of = |organisation| Priority { organisation, route: *route };
                organisations.iter().copied().map(of)
            })
            .collect();
        let before = all.iter().filter(|other| **other < priority).count();
        let last = all.len().saturating_sub(1);
        if last == 0 { 1.0 } else { (before as f64 / last as f64).min(1.0) }
    }

    /// The route of a host with the longest prefix of a path; a port after the host is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        self.hosts.get(&host)?.iter().find(|route| path.starts_with(&route.path_prefix))
    }
}
