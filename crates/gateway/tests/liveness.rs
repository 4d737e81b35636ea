//! Whether an endpoint that broke off a response has crashed, while all others refuse connections as well.

mod node;

use crosslane_gateway::liveness;
use crosslane_gateway::node::Node;
use crosslane_state::endpoint::{Endpoint, Stage};
use node::settings;
use rstest::rstest;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::sleep;

/// Metric of connections that could not be opened.
const UNREACHABLE: &str = "crosslane_endpoint_connections{outcome=\"unreachable\"}";

/// Time between looks at a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

fn endpoint(id: &str, address: SocketAddr) -> Endpoint {
    Endpoint {
        id: id.into(),
        started_unix_ms: 0,
        service: "pages".into(),
        address,
        domain: "z".into(),
        software: "v1".into(),
        slots: 6,
        stage: Stage::Plain,
        draining: false,
        cold_ms: 0,
        sequence: 0,
    }
}

/// A listener, and a socket that has a port at which connections are refused.
async fn sockets() -> (TcpListener, TcpSocket) {
    let refusing = TcpSocket::new_v4().unwrap();
    refusing.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    (TcpListener::bind("127.0.0.1:0").await.unwrap(), refusing)
}

/// Connections that the node could not open so far.
fn refused(node: &Node) -> u64 {
    let text = String::from_utf8(node.metrics.encode().unwrap()).unwrap();
    let count = |line: &str| line.strip_prefix(UNREACHABLE)?.trim().parse().ok();
    text.lines().find_map(count).unwrap_or(0)
}

/// A poison request that had ended all endpoints but for the last one got no strike for it, since the node took its own links
/// for gone; so it ended all of them again once they were back.
#[rstest]
#[tokio::test]
async fn an_endpoint_is_gone_once_another_one_can_be_reached() {
    let (listener, refusing) = sockets().await;
    let (listening, refusing_address) =
        (listener.local_addr().unwrap(), refusing.local_addr().unwrap());
    let (crashed, other) =
        (endpoint("crashed", refusing_address), endpoint("other", refusing_address));
    let node = Arc::new(Node::new(settings()).unwrap());
    node.pool().update(crashed.clone(), node.now());
    node.pool().update(other, node.now());
    let turns_out = tokio::spawn({
        let (node, crashed) = (node.clone(), crashed.clone());
        async move { liveness::turns_out_gone(&node, &crashed).await }
    });
    // One check has found that the other endpoint can't be reached either.
    while refused(&node) < 2 {
        assert!(!turns_out.is_finished());
        sleep(POLL_INTERVAL).await;
    }
    node.pool().update(endpoint("other-again", listening), node.now());
    assert!(turns_out.await.unwrap());
}

/// An endpoint that accepts connections again when the others do was only cut off.
#[rstest]
#[tokio::test]
async fn an_endpoint_behind_a_lost_link_is_not_gone() {
    let (listener, refusing) = sockets().await;
    let node = Arc::new(Node::new(settings()).unwrap());
    let cut_off = endpoint("cut-off", listener.local_addr().unwrap());
    node.pool().update(cut_off.clone(), node.now());
    node.pool().update(endpoint("other", refusing.local_addr().unwrap()), node.now());
    assert!(!liveness::turns_out_gone(&node, &cut_off).await);
}
