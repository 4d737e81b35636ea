//! Lifecycle of a node: start, signals and graceful shutdown.

use crate::forward::Origin;
use crate::mirror::Topic;
use crate::node::Node;
use crate::shutdown::ACCEPT_TIME;
use crate::{
    ballot, builds, connections, event, follower, frontend, limit, load, orders, peers, quarantine,
    quota, reach, reload, resume, rulings, speeds, suspension,
};
use crosslane_coordination::quota::ATTEND_INTERVAL_MS;
use crosslane_platform::settings::Settings;
use derive_more::{Display, Error, From};
use log::{info, warn};
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};
use tokio_util::task::TaskTracker;

/// Default port of the metrics on every VM; must match deploy/system.toml.
pub const METRICS_PORT: u16 = 19_464;

/// HTTP path of the metrics.
pub const METRICS_PATH: &str = "/metrics";

/// Interval between removals of expired state: a small part of the shortest lifetime.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);

/// Why a node can't start.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// A socket failed.
    #[display("site: {_0}")]
    Io(io::Error),
    /// The metrics can't be registered.
    #[display("metrics: {_0}")]
    Metrics(prometheus::Error),
}

/// Runs a node until its stop is announced and its last request has ended. Each reload signal makes it read the settings
/// file again.
pub async fn run(
    settings: Settings,
    path: &str,
    metrics_port: u16,
    announced: impl Future<Output = ()>,
    mut reload_signal: Signal,
) -> Result<(), Error> {
    let node = Arc::new(Node::new(settings)?);
    let connections = TaskTracker::new();
    let listeners = start(&node, &connections, metrics_port).await?;
    let mut announced = pin!(announced);
    loop {
        tokio::select! {
            () = &mut announced => break,
            _ = reload_signal.recv() => reload::run(&node, path),
        }
    }
    stop(&node, listeners, &connections).await;
    Ok(())
}

/// Starts the node's tasks, and returns those that accept requests.
async fn start(
    node: &Arc<Node>,
    connections: &TaskTracker,
    metrics_port: u16,
) -> Result<JoinSet<()>, Error> {
    let settings = &node.settings;
    let callers = TcpListener::bind(settings.caller_address).await?;
    let ready = TcpListener::bind(settings.readiness_address).await?;
    let metrics = TcpListener::bind(SocketAddr::new(settings.ip, metrics_port)).await?;
    let forwarded = match settings.forward_port {
        Some(port) => Some(TcpListener::bind(SocketAddr::new(settings.ip, port)).await?),
        None => None,
    };
    info!(vm = settings.vm, domain = settings.domain, callers:% = settings.caller_address; "{}", event::START);
    tokio::spawn(follower::follow(node.clone(), Topic::Operators));
    tokio::spawn(follower::follow(node.clone(), Topic::Endpoints));
    let mut listeners = JoinSet::new();
    listeners.spawn(frontend::run(node.clone(), callers, Origin::Caller, connections.clone()));
    if let Some(forwarded) = forwarded {
        listeners.spawn(frontend::run(node.clone(), forwarded, Origin::Node, connections.clone()));
    }
    tokio::spawn(reach::watch(node.clone()));
    tokio::spawn(frontend::serve_status(node.clone(), ready, METRICS_PATH));
    tokio::spawn(frontend::serve_status(node.clone(), metrics, METRICS_PATH));
    tokio::spawn(orders::run(node.clone()));
    tokio::spawn(builds::save(node.clone()));
    tokio::spawn(rulings::follow(node.clone()));
    tokio::spawn(rulings::save(node.clone()));
    tokio::spawn(connections::borrow_as_needed(node.clone()));
    tokio::spawn(suspension::watch(node.clone()));
    tokio::spawn(load::report(node.clone()));
    tokio::spawn(speeds::report(node.clone()));
    tokio::spawn(remove_expired(node.clone()));
    tokio::spawn(attend_to_limits(node.clone()));
    let node = node.clone();
    tokio::spawn(async move {
        if let Err(error) = peers::run(node).await {
            warn!(dependency = "peers", why:% = error; "{}", event::LOST);
        }
    });
    Ok(listeners)
}

async fn remove_expired(node: Arc<Node>) {
    loop {
        sleep(EXPIRY_INTERVAL).await;
        node.control.remove_expired();
        node.idle_connections.remove_expired();
        node.pool().expire(node.now());
        quarantine::remove_expired(&node);
        ballot::remove_expired(&node);
        node.organisation_limiter.remove_expired(node.now());
        node.retry_limiter.remove_expired(node.now());
        node.connection_limiter.remove_expired(node.now());
        limit::remove_expired(&node);
        resume::remove_expired(&node);
    }
}

async fn attend_to_limits(node: Arc<Node>) {
    loop {
        sleep(Duration::from_millis(ATTEND_INTERVAL_MS)).await;
        quota::attend(&node);
    }
}

/// Drains requests in flight. The platform kills the process at the end of its grace period.
async fn stop(node: &Arc<Node>, mut listeners: JoinSet<()>, connections: &TaskTracker) {
    let started_at = Instant::now();
    node.stopping.send_replace(Some(node.now()));
    node.heartbeat_due.notify_one();
    info!(open = connections.len(), phase = "begin"; "{}", event::STOP);
    sleep(ACCEPT_TIME).await;
    connections.close();
    connections.wait().await;
    // A connection that is accepted before this task goes on has its requests answered too.
    listeners.shutdown().await;
    connections.wait().await;
    let took_ms = started_at.elapsed().as_millis() as u64;
    info!(took_ms, phase = "end"; "{}", event::STOP);
}
