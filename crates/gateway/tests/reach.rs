//! What a node that has lost its way to endpoints tells other nodes about them.

mod node;

use crosslane_coordination::health::Outcome;
use crosslane_gateway::node::Node;
use crosslane_gateway::reach;
use crosslane_state::endpoint::{Endpoint, Key, Stage};
use node::settings;
use rstest::rstest;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::sleep;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time between looks at a condition.
const LOOK: Duration = Duration::from_millis(5);

const ENDPOINTS: usize = 4;

fn endpoint(number: usize, address: SocketAddr) -> Endpoint {
    Endpoint {
        id: format!("e{number}"),
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

/// Addresses of which some refuse connections, and the listeners at the others.
async fn addresses(refusing: usize) -> (Vec<SocketAddr>, Vec<TcpListener>) {
    let (mut addresses, mut listeners) = (Vec::new(), Vec::new());
    for number in 0..ENDPOINTS {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        addresses.push(listener.local_addr().unwrap());
        if number >= refusing {
            listeners.push(listener);
        }
    }
    (addresses, listeners)
}

struct Case {
    name: &'static str,
    /// Endpoints that refuse connections.
    refusing: usize,
    lost: bool,
}

/// The failures of a cut-off node were summed up with those of the others, which then avoided sound endpoints.
#[rstest]
#[case(Case { name: "one endpoint gone", refusing: 1, lost: false })]
#[case(Case { name: "all but one gone", refusing: ENDPOINTS - 1, lost: false })]
#[case(Case { name: "the node's links gone", refusing: ENDPOINTS, lost: true })]
#[tokio::test]
async fn failures_of_a_node_without_a_way_are_not_held_against_endpoints(#[case] case: Case) {
    let node = Arc::new(Node::new(settings()).unwrap());
    let (addresses, _listeners) = addresses(case.refusing).await;
    for (number, address) in addresses.iter().enumerate() {
        node.pool().update(endpoint(number, *address), node.now());
    }
    let first = endpoint(0, addresses[0]);
    let key: Key = node.pool().key(first.tag()).unwrap();
    node.dialer.check(&first, CONNECT_TIMEOUT).await.unwrap_err();
    node.record_outcome(key, Outcome::Down);
    let watching = tokio::spawn(reach::watch(node.clone()));
    while !node.dialer.suspects().is_empty() || node.lost().is_empty() == case.lost {
        sleep(LOOK).await;
    }
    watching.abort();
    assert_eq!(node.has_lost("pages"), case.lost, "{}", case.name);
    assert_eq!(node.pool().local_usage(node.now()).is_empty(), case.lost, "{}", case.name);
}
