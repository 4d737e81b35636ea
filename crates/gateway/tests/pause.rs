//! What a node believes after its machine was suspended.

mod node;

use crosslane_coordination::heartbeat::Interval;
use crosslane_coordination::usage::Usage;
use crosslane_gateway::members::{Heartbeat, Scope};
use crosslane_gateway::mirror::{Ends, Topic};
use crosslane_gateway::node::{Node, lock};
use crosslane_gateway::pause;
use crosslane_state::endpoint::Tag;
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Length of a suspension, in milliseconds: longer than any word counts among few nodes.
const SUSPENDED: u64 = 6_000;

/// Longest wait for a condition.
const PATIENCE: Duration = Duration::from_secs(60);

fn node() -> Node {
    Node::new(node::settings()).unwrap()
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        vm: "n1".into(),
        domain: node::DOMAIN.into(),
        interval: Interval::among(1),
        steady: true,
        fed: true,
        returned: None,
        ends: Ends::default(),
        usage: vec![(Tag(1), Usage::default())],
        changing: Vec::new(),
        limits: 0,
    }
}

struct Case {
    name: &'static str,
    /// Whether something is believed.
    holds: fn(&Node) -> bool,
}

#[rstest]
#[case(Case { name: "the store answers", holds: |it| it.fed() })]
#[case(Case { name: "lapsed records may come back", holds: |it| it.returned().is_some() })]
#[case(Case { name: "another node lives", holds: |it| !lock(&it.members).addresses(Scope::Live, it.now()).is_empty() })]
#[case(Case { name: "another node gives the orders", holds: |it| !lock(&it.members).first(it.now()) })]
fn what_was_believed_is_as_old_as_it_is(#[case] case: Case) {
    let node = node();
    // A store that returned at the start of the process did not return.
    node.clock.skip(1_000);
    node.store_answered(true);
    lock(&node.members).hear([127, 0, 0, 9].into(), &heartbeat(), node.now());
    assert!((case.holds)(&node), "{}", case.name);
    node.clock.skip(SUSPENDED);
    assert!(!(case.holds)(&node), "{}", case.name);
}

#[rstest]
fn a_callers_time_is_what_is_left_of_it() {
    let node = node();
    let deadline = node.clock.deadline(Duration::from_millis(SUSPENDED + 5_000));
    node.clock.skip(SUSPENDED);
    assert!(deadline.left() <= Duration::from_secs(5));
    node.clock.skip(SUSPENDED);
    assert!(deadline.left().is_zero());
}

#[rstest]
fn a_node_that_woke_serves_once_it_knows_what_changed() {
    let woken = || {
        let node = node();
        node.wake();
        assert!(!node.caught_up());
        node
    };
    let read = woken();
    read.store_answered(false);
    assert!(read.caught_up());
    let failed = woken();
    failed.store_failed(Topic::Endpoints);
    assert!(!failed.caught_up());
    // Without the store and the others it serves by what it knows.
    failed.clock.skip(SUSPENDED);
    assert!(failed.caught_up());
}

#[rstest]
#[tokio::test]
async fn a_suspension_is_noticed_and_a_wait_is_not_one() {
    let node = Arc::new(node());
    tokio::spawn(pause::watch(node.clone()));
    sleep(Duration::from_millis(700)).await;
    assert!(node.caught_up());
    node.clock.skip(SUSPENDED);
    let noticed = async {
        while node.caught_up() {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(PATIENCE, noticed).await.expect("the suspension was never noticed");
}
