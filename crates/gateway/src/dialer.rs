//! Opens connections to endpoints, and records which of them accept any.

use crate::load::Load;
use crate::metrics::Metrics;
use crate::node::lock;
use crosslane_coordination::reach::Reach;
use crosslane_state::endpoint::Endpoint;
use crosslane_transport::clock::Clock;
use crosslane_transport::connection::{self, Connection, Error};
use std::net::IpAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Time after which an endpoint that has not accepted a connection counts as unreachable if the attempt is given up: many round trips,
/// but less than it takes to send a lost packet again.
const UNANSWERED: Duration = Duration::from_millis(100);

/// Opens connections from this node's address.
#[derive(Clone, Debug)]
pub struct Dialer {
    from: IpAddr,
    clock: Clock,
    load: Arc<Load>,
    metrics: Arc<Metrics>,
    reach: Arc<Mutex<Reach>>,
    unreachable: Arc<Notify>,
}

impl Dialer {
    /// A dialer of the node with this address.
    pub fn new(from: IpAddr, clock: Clock, load: Arc<Load>, metrics: Arc<Metrics>) -> Self {
        Self { from, clock, load, metrics, reach: Arc::default(), unreachable: Arc::default() }
    }

    /// Opens a connection to an endpoint, which the kernel closes after a time without acknowledgement.
    pub async fn open(
        &self,
        endpoint: &Endpoint,
        connect_timeout: Duration,
        ack_timeout: Duration,
    ) -> Result<Connection, Error> {
        let mut dial = Dial { dialer: self, endpoint, started_at: Instant::now(), ended: false };
        let (from, to, meter) = (Some(self.from), endpoint.address, self.load.link.clone());
        let opened = Connection::open(from, to, connect_timeout, ack_timeout, meter).await;
        dial.ended = true;
        if opened.is_ok() {
            let took = dial.started_at.elapsed();
            self.load.record_round_trip(&endpoint.domain, took, self.clock.now());
        }
        self.record(endpoint, opened.as_ref().err());
        opened
    }

    /// Checks whether an endpoint accepts connections.
    pub async fn check(&self, endpoint: &Endpoint, timeout: Duration) -> Result<(), Error> {
        let connected = connection::connect(Some(self.from), endpoint.address, timeout).await;
        self.record(endpoint, connected.as_ref().err());
        connected.map(drop)
    }

    /// Whether this node has lost its way to a service.
    pub fn has_lost(&self, service: &str) -> bool {
        lock(&self.reach).is_lost(service)
    }

    /// Services of which an endpoint could not be reached, and a sample of them is to be checked.
    pub fn suspects(&self) -> Vec<String> {
        lock(&self.reach).suspects()
    }

    /// Services that this node has lost its way to.
    pub fn lost(&self) -> Vec<String> {
        lock(&self.reach).lost()
    }

    /// Records that no endpoint of a sample could be reached.
    pub fn record_none_reached(&self, service: &str) {
        lock(&self.reach).record_none_reached(service);
    }

    /// Forgets what is known of a service that has no endpoints.
    pub fn forget(&self, service: &str) {
        lock(&self.reach).record(service, true);
    }

    /// Waits until an endpoint can't be reached.
    pub async fn until_unreachable(&self) {
        self.unreachable.notified().await;
    }

    fn record(&self, endpoint: &Endpoint, error: Option<&Error>) {
        match error {
            None => self.record_outcome(endpoint, true),
            Some(Error::Unreachable { .. }) => self.record_outcome(endpoint, false),
            // A failure on this machine says nothing about the way.
            Some(_) => self.metrics.count_connection("failed"),
        }
    }

    fn record_outcome(&self, endpoint: &Endpoint, accepted: bool) {
        self.metrics.count_connection(if accepted { "accepted" } else { "unreachable" });
        lock(&self.reach).record(&endpoint.service, accepted);
        if !accepted {
            self.unreachable.notify_one();
        }
    }
}

/// A connection that is being opened. If that is given up early, it still tells whether the endpoint answers.
struct Dial<'a> {
    dialer: &'a Dialer,
    endpoint: &'a Endpoint,
    started_at: Instant,
    ended: bool,
}

impl Drop for Dial<'_> {
    fn drop(&mut self) {
        if !self.ended && self.started_at.elapsed() >= UNANSWERED {
            self.dialer.record_outcome(self.endpoint, false);
        }
    }
}
