//! Which nodes follow a point.

use crosslane_coordination::ring::Ring;
use crosslane_state::endpoint::Tag;
use rstest::rstest;
use std::collections::HashMap;

/// Nodes that are told of each stream.
const HOLDERS: usize = 3;

/// Streams that are looked up.
const STREAMS: u64 = 4_000;

/// Failure domains.
const DOMAINS: u32 = 5;

struct Case {
    nodes: u32,
    /// One in so many nodes is gone when the stream is looked up.
    one_in: u64,
}

fn ring(nodes: u32) -> Ring<u32> {
    let mut ring = Ring::default();
    (0..nodes).for_each(|node| ring.insert(Tag::of(&format!("node{node}")), node));
    ring
}

/// Streams are told to few nodes, evenly, and are found as long as one of these is there.
#[rstest]
#[case(Case { nodes: 40, one_in: 4 })]
#[case(Case { nodes: 780, one_in: 4 })]
#[case(Case { nodes: 2_000, one_in: 4 })]
#[case(Case { nodes: 2_000, one_in: 2 })]
fn streams_are_found_at_nodes_that_were_told(#[case] case: Case) {
    let ring = ring(case.nodes);
    let domain = |node: &u32| Some(node % DOMAINS);
    let gone = |node: &u32| Tag::of(&format!("gone{node}")).0.is_multiple_of(case.one_in);
    let left = |node: &u32| (!gone(node)).then_some(node % DOMAINS);
    let (mut told, mut missed) = (HashMap::<u32, usize>::new(), 0);
    for stream in 0..STREAMS {
        let point = Tag::of(&stream.to_string());
        let holders = ring.first(HOLDERS, point, domain);
        let domains: Vec<u32> = holders.iter().filter_map(domain).collect();
        assert_eq!(holders.len(), HOLDERS);
        assert!(domains[0] != domains[1] && domains[1] != domains[2] && domains[0] != domains[2]);
        holders.iter().for_each(|holder| *told.entry(*holder).or_default() += 1);
        let asked = ring.first(HOLDERS, point, left);
        let more = ring.first(HOLDERS, point, |node| left(node).filter(|_| !asked.contains(node)));
        let found = asked.iter().chain(&more).any(|node| holders.contains(node));
        let survives = holders.iter().any(|node| left(node).is_some());
        missed += usize::from(survives && !found);
    }
    assert_eq!(missed, 0, "{} nodes", case.nodes);
    let most = told.values().max().copied().unwrap_or_default() as f64;
    let mean = (STREAMS as usize * HOLDERS) as f64 / f64::from(case.nodes);
    assert!(most <= 3.0 * mean + 8.0, "{} nodes: {most} of {mean}", case.nodes);
}

#[rstest]
fn a_single_domain_gives_as_many_nodes() {
    let first = ring(10).first(HOLDERS, Tag(7), |_| Some(0));
    assert_eq!(first.len(), HOLDERS);
    assert!(ring(2).first(HOLDERS, Tag(7), |_| Some(0)).len() == 2);
}
