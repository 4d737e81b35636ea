//! Mirror: nodes that read and nodes that are told hold the same, and never go back.

use bytes::Bytes;
use crosslane_gateway::mirror::Mirror;
use crosslane_platform::store::{ENDPOINTS, Page, Record};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

fn record(key: u64, value: Option<u64>) -> Record {
    let value = value.map(|it| Bytes::from(it.to_string()));
    Record { key: format!("e{key}"), value }
}

fn held(mirror: &Mirror) -> Vec<(String, Bytes)> {
    mirror.endpoints().map(|(id, value)| (id.clone(), value.clone())).collect()
}

/// What a log of records holds up to an offset.
fn expected(log: &[Record], end: u64) -> Vec<(String, Bytes)> {
    let mut mirror = Mirror::default();
    let records = log[..end as usize].to_vec();
    mirror.take(ENDPOINTS, Page { records, end }, Some(0));
    held(&mirror)
}

/// Nodes read the log at their own pace, and pull from each other at any time.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
#[case(4)]
fn any_mix_of_reading_and_pulling_holds_the_log(#[case] seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut log = Vec::new();
    let mut nodes: Vec<Mirror> = (0..4).map(|_| Mirror::default()).collect();
    for _ in 0..3_000 {
        match random.random_range(0..4) {
            0 => {
                let value = random.random_bool(0.8).then(|| random.random());
                log.push(record(random.random_range(0..40), value));
            }
            1 => {
                let node = &mut nodes[random.random_range(0..2)];
                let from = node.end(ENDPOINTS);
                let records = log[from as usize..].to_vec();
                node.take(ENDPOINTS, Page { records, end: log.len() as u64 }, Some(from));
            }
            _ => {
                let (from, to) = (random.random_range(0..4), random.random_range(0..4));
                let delta = nodes[from].delta(nodes[to].ends());
                let before = nodes[to].end(ENDPOINTS);
                nodes[to].merge(delta);
                assert!(nodes[to].end(ENDPOINTS) >= before);
            }
        }
        for node in &nodes {
            assert_eq!(held(node), expected(&log, node.end(ENDPOINTS)));
        }
    }
}

#[rstest]
fn a_read_that_another_node_overtook_undoes_nothing() {
    let log = [record(1, Some(1)), record(1, Some(2)), record(1, Some(3))];
    let page = |from: usize, to: usize| Page { records: log[from..to].to_vec(), end: to as u64 };
    let mut ahead = Mirror::default();
    ahead.take(ENDPOINTS, page(0, 3), Some(0));
    let mut node = Mirror::default();
    node.take(ENDPOINTS, page(0, 1), Some(0));
    node.merge(ahead.delta(node.ends()));
    let change = node.take(ENDPOINTS, page(1, 2), Some(1));
    assert!(!change.endpoints);
    assert_eq!(held(&node), expected(&log, 3));
}

#[rstest]
fn a_delta_that_does_not_reach_back_far_enough_is_left_out() {
    let mut ahead = Mirror::default();
    let page = |records: Vec<Record>, end| Page { records, end };
    ahead.take(ENDPOINTS, page(vec![record(1, Some(1))], 10), None);
    ahead.take(ENDPOINTS, page(vec![record(2, Some(2))], 11), Some(10));
    let mut node = Mirror::default();
    // Asked on behalf of a node that had read more.
    let change = node.merge(ahead.delta((0, 10)));
    assert!(!change.endpoints && held(&node).is_empty());
    node.merge(ahead.delta(node.ends()));
    assert_eq!(held(&node).len(), 2);
}

struct Behind {
    name: &'static str,
    end: u64,
    from: u64,
    whole: bool,
}

#[rstest]
#[case(Behind { name: "while the endpoints of 300 nodes' site start", end: 6_000, from: 1_000, whole: false })]
#[case(Behind { name: "a little", end: 40_000, from: 39_990, whole: false })]
#[case(Behind { name: "by more than is kept", end: 40_000, from: 1_000, whole: true })]
fn what_a_node_that_is_behind_is_sent(#[case] case: Behind) {
    let mut mirror = Mirror::default();
    let records = |from: u64, to: u64| (from..to).map(|it| record(it % 5_000, Some(it))).collect();
    mirror.take(ENDPOINTS, Page { records: records(0, 10), end: 10 }, None);
    mirror.take(ENDPOINTS, Page { records: records(10, case.end), end: case.end }, Some(10));
    let lacking = mirror.delta((0, case.from)).endpoints;
    let sent = if case.whole { 5_000 } else { (case.end - case.from) as usize };
    assert_eq!((lacking.whole, lacking.records.len()), (case.whole, sent), "{}", case.name);
}
