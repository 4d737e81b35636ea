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
use tokio::net::TcpListener;
use tokio::time::sleep;

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

/// Listener and its address, and an address at which nothing listens.
async fn addresses() -> (TcpListener, SocketAddr, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let ended = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (listening, refusing) = (listener.local_addr().unwrap(), ended.local_addr().unwrap());
    (listener, listening, refusing)
}

/// A poison request that had ended all endpoints but for the last one got no strike for it, since the node took its own links
/// for gone; so it ended all of them again once they were back.
#[rstest]
#[tokio::test]
async fn an_endpoint_is_gone_once_another_one_can_be_reached() {
    let (_listener, listening, refusing) = addresses().await;
    let (crashed, other) = (endpoint("crashed", refusing), endpoint("other", refusing));
    let node = Arc::new(Node::new(settings()).unwrap());
    node.pool().update(crashed.clone(), node.now());
    node.pool().update(other, node.now());
    let turns_out = tokio::spawn({
        let (node, crashed) = (node.clone(), crashed.clone());
        async move { liveness::turns_out_gone(&node, &crashed).await }
    });
    sleep(Duration::from_millis(400)).await;
    assert!(!turns_out.is_finished());
    node.pool().update(endpoint("other-again", listening), node.now());
    assert!(turns_out.await.unwrap());
}

/// An endpoint that accepts connections again when the others do was only cut off.
#[rstest]
#[tokio::test]
async fn an_endpoint_behind_a_lost_link_is_not_gone() {
    let (_listener, listening, refusing) = addresses().await;
    let node = Arc::new(Node::new(settings()).unwrap());
    let cut_off = endpoint("cut-off", listening);
    node.pool().update(cut_off.clone(), node.now());
    node.pool().update(endpoint("other", refusing), node.now());
    assert!(!liveness::turns_out_gone(&node, &cut_off).await);
}
