//! A node's life: start, signals and stop.

use crate::mirror::Topic;
use crate::node::Node;
use crate::stopping::TAKES_STREAMS;
use crate::{duty, event, follower, front, limit, pause, peers, quarantine, rulings};
use crosslane_platform::settings::Settings;
use derive_more::{Display, Error, From};
use log::{info, warn};
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{Instant, sleep};
use tokio_util::task::TaskTracker;

/// Usual port of the metrics, on every VM; deploy/system.toml names the same.
pub const METRICS_PORT: u16 = 19_464;

/// Path of the metrics.
pub const METRICS_PATH: &str = "/metrics";

/// Time between rounds of tidying: a small part of the shortest time that anything is kept.
const TIDY: Duration = Duration::from_millis(250);

/// Why a node can't run.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// A socket or a signal handler.
    #[display("site: {_0}")]
    Io(io::Error),
    /// The metrics can't be set up.
    #[display("metrics: {_0}")]
    Metrics(prometheus::Error),
}

/// Runs a node until its stop is announced and its last request has ended. SIGHUP has the settings
/// file read again.
pub async fn run(
    settings: Settings,
    path: &str,
    metrics_port: u16,
    announced: impl Future<Output = ()>,
) -> Result<(), Error> {
    let node = Arc::new(Node::new(settings)?);
    let connections = TaskTracker::new();
    start(&node, &connections, metrics_port).await?;
    let mut announced = pin!(announced);
    let mut reload = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            () = &mut announced => break,
            _ = reload.recv() => reread(path),
        }
    }
    stop(&node, &connections).await;
    Ok(())
}

async fn start(
    node: &Arc<Node>,
    connections: &TaskTracker,
    metrics_port: u16,
) -> Result<(), Error> {
    let settings = &node.settings;
    let callers = TcpListener::bind(settings.caller_address).await?;
    let ready = TcpListener::bind(settings.readiness_address).await?;
    let metrics = TcpListener::bind(SocketAddr::new(settings.ip, metrics_port)).await?;
    info!(vm = settings.vm, domain = settings.domain, callers:% = settings.caller_address; "{}", event::START);
    tokio::spawn(follower::follow(node.clone(), Topic::Operators));
    tokio::spawn(follower::follow(node.clone(), Topic::Endpoints));
    tokio::spawn(front::run(node.clone(), callers, connections.clone()));
    tokio::spawn(front::status(node.clone(), ready, METRICS_PATH));
    tokio::spawn(front::status(node.clone(), metrics, METRICS_PATH));
    tokio::spawn(duty::run(node.clone()));
    tokio::spawn(rulings::follow(node.clone()));
    tokio::spawn(rulings::save(node.clone()));
    tokio::spawn(pause::watch(node.clone()));
    tokio::spawn(tidy(node.clone()));
    let node = node.clone();
    tokio::spawn(async move {
        if let Err(error) = peers::run(node).await {
            warn!(dependency = "peers", why:% = error; "{}", event::LOST);
        }
    });
    Ok(())
}

async fn tidy(node: Arc<Node>) {
    loop {
        sleep(TIDY).await;
        node.control.tidy();
        node.idle.tidy();
        node.pool().expire(node.now());
        quarantine::tidy(&node);
        node.quota.tidy(node.now());
        limit::tidy(&node);
    }
}

/// Checks settings that changed. What they may change takes effect at the next start.
fn reread(path: &str) {
    match Settings::read(path) {
        Ok(settings) => info!(vm = settings.vm; "{}", event::RELOAD),
        Err(error) => warn!(why:% = error; "{}", event::RELOAD),
    }
}

/// Lets requests end. The platform kills the process when its grace is over.
async fn stop(node: &Arc<Node>, connections: &TaskTracker) {
    let began = Instant::now();
    node.stopping.send_replace(Some(node.now()));
    node.changed.notify_one();
    info!(open = connections.len(), phase = "begin"; "{}", event::STOP);
    sleep(TAKES_STREAMS).await;
    connections.close();
    connections.wait().await;
    let took_ms = began.elapsed().as_millis() as u64;
    info!(took_ms, phase = "end"; "{}", event::STOP);
}
