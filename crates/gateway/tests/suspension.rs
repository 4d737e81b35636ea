//! State of a node after its machine was suspended: all of it must count as older by the time of
//! the suspension.

mod node;

use crosslane_coordination::heartbeat::Interval;
use crosslane_coordination::usage::Usage;
use crosslane_gateway::members::{Heartbeat, Scope};
use crosslane_gateway::mirror::{Offsets, Topic};
use crosslane_gateway::node::{Node, lock};
use crosslane_gateway::suspension;
use crosslane_state::endpoint::Tag;
use crosslane_transport::clock::Clock;
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Length of a suspension, in milliseconds: longer than a heartbeat is valid among few nodes.
const SUSPENSION_MS: u64 = 6_000;

/// Timeout for a condition.
const TIMEOUT: Duration = Duration::from_secs(60);

fn node() -> Node {
    Node::new(node::settings()).unwrap()
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        vm: "n1".into(),
        domain: node::DOMAIN.into(),
        interval: Interval::for_peers(1),
        active: true,
        store_reachable: true,
        store_recovered_ago_ms: None,
        offsets: Offsets::default(),
        usage: vec![(Tag(1), Usage::default())],
        stage_changes: Vec::new(),
        limits_digest: 0,
    }
}

struct Case {
    name: &'static str,
    /// Whether the state is valid.
    valid: fn(&Node) -> bool,
}

#[rstest]
#[case(Case { name: "the store is reachable", valid: |node| node.store_reachable() })]
#[case(Case { name: "the store recovered", valid: |node| node.store_recovered_ago_ms().is_some() })]
#[case(Case { name: "another node is live", valid: |node| !lock(&node.members).addresses(Scope::Live, node.now()).is_empty() })]
#[case(Case { name: "another node is the leader", valid: |node| !lock(&node.members).is_leader(node.now()) })]
fn state_ages_during_a_suspension(#[case] case: Case) {
    let node = node();
    // At time zero, a recovery of the store would count as none.
    node.clock.skip(1_000);
    node.record_store_answer(true);
    lock(&node.members).record_heartbeat([127, 0, 0, 9].into(), &heartbeat(), node.now());
    assert!((case.valid)(&node), "{}", case.name);
    node.clock.skip(SUSPENSION_MS);
    assert!(!(case.valid)(&node), "{}", case.name);
}

#[rstest]
fn a_deadline_passes_during_a_suspension() {
    let node = node();
    let deadline = node.clock.deadline(Duration::from_millis(SUSPENSION_MS + 5_000));
    node.clock.skip(SUSPENSION_MS);
    assert!(deadline.left() <= Duration::from_secs(5));
    node.clock.skip(SUSPENSION_MS);
    assert!(deadline.left().is_zero());
}

#[rstest]
fn a_resumed_node_serves_once_it_is_up_to_date() {
    let resumed_node = || {
        let node = node();
        node.mark_resumed();
        assert!(!node.is_up_to_date());
        node
    };
    let answered = resumed_node();
    answered.record_store_answer(false);
    assert!(answered.is_up_to_date());
    let failed = resumed_node();
    failed.record_store_failure(Topic::Endpoints);
    assert!(!failed.is_up_to_date());
    // With neither the store nor other nodes, it serves with the state that it has.
    failed.clock.skip(SUSPENSION_MS);
    assert!(failed.is_up_to_date());
}

#[rstest]
#[tokio::test]
async fn a_suspension_is_detected_and_a_wait_is_not_one() {
    let node = Arc::new(node());
    tokio::spawn(suspension::watch(node.clone()));
    sleep(Duration::from_millis(700)).await;
    assert!(node.is_up_to_date());
    node.clock.skip(SUSPENSION_MS);
    let detected = async {
        while node.is_up_to_date() {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(TIMEOUT, detected).await.expect("the suspension was never detected");
}

/// A deadline that a newer configuration moves still counts the time of a suspension.
#[rstest]
fn a_moved_deadline_passes_during_a_suspension() {
    let clock = Clock::start();
    let moved = clock.deadline(Duration::from_secs(60)).later(Duration::from_secs(60));
    clock.skip(90_000);
    assert!(!moved.left().is_zero());
    clock.skip(30_000);
    assert!(moved.left().is_zero());
}
