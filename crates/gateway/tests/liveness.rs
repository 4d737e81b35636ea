//! Whether an endpoint that broke off a response has crashed, while all others refuse connections as well.

mod node;

use crosslane_gateway::liveness::{self, Liveness};
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

/// Connections that wait to be accepted.
const BACKLOG: u32 = 128;

/// Time for checks of an endpoint.
const PATIENCE: Duration = Duration::from_secs(1);

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

/// What is found out about an endpoint whose response ended with its connection.
struct Ended {
    name: &'static str,
    /// Whether it accepts connections, at first and after the first checks.
    accepts: (bool, bool),
    /// Whether another endpoint does.
    other_accepts: bool,
    /// Whether another incarnation is listed at its address.
    is_replaced: bool,
    found: Liveness,
}

/// A node that was cut off took an endpoint for crashed, and cut whole responses.
#[rstest]
#[case(Ended { name: "runs", accepts: (true, true), other_accepts: true, is_replaced: false, found: Liveness::Alive })]
#[case(Ended { name: "crashed", accepts: (false, false), other_accepts: true, is_replaced: false, found: Liveness::Gone })]
#[case(Ended { name: "started again", accepts: (true, true), other_accepts: true, is_replaced: true, found: Liveness::Gone })]
#[case(Ended { name: "cut off for a while", accepts: (false, true), other_accepts: false, is_replaced: false, found: Liveness::Alive })]
#[case(Ended { name: "cut off", accepts: (false, false), other_accepts: false, is_replaced: false, found: Liveness::Unknown })]
#[tokio::test]
async fn endpoints_whose_responses_ended(#[case] case: Ended) {
    let (listener, refusing) = sockets().await;
    let address = if case.accepts.0 { listener.local_addr() } else { refusing.local_addr() };
    let ended = endpoint("ended", address.unwrap());
    let closed = TcpSocket::new_v4().unwrap();
    closed.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let beside = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let other = if case.other_accepts { beside.local_addr() } else { closed.local_addr() };
    let node = Arc::new(Node::new(settings()).unwrap());
    node.pool().update(ended.clone(), node.now());
    node.pool().update(endpoint("other", other.unwrap()), node.now());
    if case.is_replaced {
        let successor = Endpoint { started_unix_ms: 1, ..endpoint("successor", ended.address) };
        node.pool().update(successor, node.now());
    }
    let settled = tokio::spawn({
        let (node, ended) = (node.clone(), ended.clone());
        async move { liveness::settle(&node, &ended, PATIENCE).await }
    });
    let _listening = if case.accepts == (false, true) {
        while refused(&node) < 2 {
            sleep(POLL_INTERVAL).await;
        }
        Some(refusing.listen(BACKLOG).unwrap())
    } else {
        None
    };
    assert_eq!(settled.await.unwrap(), case.found, "{}", case.name);
}

/// An endpoint that a check had found gone, since the links came back within it, stayed gone for all later responses.
#[rstest]
#[tokio::test]
async fn an_endpoint_that_accepts_connections_again_is_not_remembered_as_gone() {
    let (listener, refusing) = sockets().await;
    let ended = endpoint("ended", refusing.local_addr().unwrap());
    let node = Arc::new(Node::new(settings()).unwrap());
    node.pool().update(ended.clone(), node.now());
    node.pool().update(endpoint("other", listener.local_addr().unwrap()), node.now());
    assert_eq!(liveness::settle(&node, &ended, PATIENCE).await, Liveness::Gone);
    let _listening = refusing.listen(BACKLOG).unwrap();
    assert_eq!(liveness::settle(&node, &ended, PATIENCE).await, Liveness::Alive);
}
