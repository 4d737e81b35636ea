//! What a reload of the settings changes at a node.

mod node;

use crosslane_coordination::allowance::Budget;
use crosslane_coordination::quota::Tolerance;
use crosslane_gateway::members::{Scope, Subject};
use crosslane_gateway::node::{Node, lock};
use crosslane_gateway::{quota, reload};
use crosslane_platform::changes::{Changes, Setting};
use crosslane_platform::settings::{Adjustable, Settings};
use crosslane_state::endpoint::Tag;
use crosslane_state::organisation::Limit;
use crosslane_state::time::Millis;
use rstest::rstest;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Longest wait for a condition.
const PATIENCE: Duration = Duration::from_secs(60);

/// Time between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

fn running() -> Arc<Node> {
    Arc::new(Node::new(node::settings()).unwrap())
}

/// Changes the settings of a running node.
fn adjust(node: &Node, change: impl FnOnce(&mut Adjustable)) -> Changes {
    let mut settings = node::settings();
    change(&mut settings.adjustable);
    reload::apply(node, settings)
}

fn ip(last: u8) -> IpAddr {
    [127, 0, 0, last].into()
}

#[rstest]
fn settings_that_need_a_restart_stay_as_they_were() {
    let node = running();
    let Settings { mut fixed, mut adjustable } = node::settings();
    fixed.domain = "brig".into();
    adjustable.grace_ms = 1;
    let changes = reload::apply(&node, Settings { fixed, adjustable });
    let expected = Changes { applied: vec![Setting::Grace], restart: vec![Setting::Zone] };
    assert_eq!(changes, expected);
    assert_eq!((node.settings.domain.as_str(), node.adjustable().grace_ms), (node::DOMAIN, 1));
}

struct Seeds {
    name: &'static str,
    /// Last parts of the addresses of each reading.
    readings: &'static [&'static [u8]],
    members: &'static [u8],
    is_seed: bool,
}

#[rstest]
#[case(Seeds { name: "none", readings: &[&[]], members: &[], is_seed: false })]
#[case(Seeds { name: "added", readings: &[&[2, 3]], members: &[2, 3], is_seed: false })]
#[case(Seeds { name: "this node", readings: &[&[1, 2]], members: &[2], is_seed: true })]
#[case(Seeds { name: "no longer named, still a member", readings: &[&[1, 2], &[3]], members: &[2, 3], is_seed: false })]
fn seeds_become_members(#[case] case: Seeds) {
    let node = running();
    for reading in case.readings {
        adjust(&node, |settings| settings.seeds = reading.iter().map(|last| ip(*last)).collect());
    }
    let mut members = lock(&node.members).addresses(Scope::All, node.now());
    members.sort_unstable();
    let expected: Vec<IpAddr> = case.members.iter().map(|last| ip(*last)).collect();
    assert_eq!((members, node.is_seed()), (expected, case.is_seed), "{}", case.name);
}

struct Window {
    name: &'static str,
    window_ms: u64,
    /// Nodes that may serve callers 5 s after the start, with one that has not been heard.
    serving: usize,
}

#[rstest]
#[case(Window { name: "the first one", window_ms: 10_000, serving: 2 })]
#[case(Window { name: "over", window_ms: 1_000, serving: 1 })]
fn silent_nodes_count_during_the_first_window_in_force(#[case] case: Window) {
    let node = running();
    adjust(&node, |settings| {
        settings.seeds = vec![ip(2)];
        settings.retry_budget.window_ms = case.window_ms;
    });
    let (_, serving) = lock(&node.members).live_and_serving(Millis(5_000));
    assert_eq!(serving, case.serving, "{}", case.name);
}

/// The overdraft would last for days at the rate of the start.
#[rstest]
#[tokio::test]
async fn the_link_has_the_capacity_in_force() {
    let node = running();
    node.count_sent_to_peers(1 << 40);
    assert!(!node.link_has_room());
    adjust(&node, |settings| settings.link_bytes_per_second = 1 << 60);
    let room = async {
        while !node.link_has_room() {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(PATIENCE, room).await.expect("still no room");
}

struct Retries {
    name: &'static str,
    slack: f64,
    /// Whether a retry is granted, by this node's part or by what the owner lends.
    granted: bool,
}

#[rstest]
#[case(Retries { name: "as at the start", slack: 50.0, granted: true })]
#[case(Retries { name: "no budget any more", slack: 0.0, granted: false })]
#[tokio::test]
async fn retries_within_the_budget_in_force(#[case] case: Retries) {
    let node = running();
    let budget = Budget { ratio: 0.2, slack: case.slack, window_ms: 10_000 };
    adjust(&node, |settings| settings.retry_budget = budget);
    assert_eq!(node.take_retry("s", "r").await, case.granted, "{}", case.name);
}

struct Quota {
    name: &'static str,
    slack: f64,
    granted: bool,
}

/// A bucket starts empty, so the first request passes by what is tolerated only.
#[rstest]
#[case(Quota { name: "as at the start", slack: 0.0, granted: false })]
#[case(Quota { name: "more is tolerated", slack: 100.0, granted: true })]
#[tokio::test]
async fn organisations_have_the_tolerance_in_force(#[case] case: Quota) {
    let node = running();
    let tolerance = Tolerance { slack: case.slack, ..node::settings().adjustable.quota };
    adjust(&node, |settings| settings.quota = tolerance);
    let limit = Limit { units_per_second: 0.001, burst: 1.0 };
    let granted = quota::acquire(&node, Subject::Organisation(Tag(7)), limit, 1).await;
    assert_eq!(granted.is_ok(), case.granted, "{}", case.name);
}

#[rstest]
fn a_file_that_cant_be_read_changes_nothing() {
    let node = running();
    let before = node.adjustable();
    reload::run(&node, "nowhere/settings.toml");
    assert!(Arc::ptr_eq(&before, &node.adjustable()));
}
