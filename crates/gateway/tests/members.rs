//! Membership: which nodes read the store, which one gives orders, and which nodes get a message.

mod node;

use crosslane_coordination::heartbeat::Interval;
use crosslane_gateway::members::{Heartbeat, Members, Scope};
use crosslane_gateway::mirror::Offsets;
use crosslane_state::endpoint::Tag;
use crosslane_state::time::Millis;
use node::{DOMAIN, settings};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;
use std::net::IpAddr;

#[derive(Clone, Copy)]
struct Other {
    vm: &'static str,
    domain: &'static str,
    active: bool,
    store_reachable: bool,
    heartbeat_at: u64,
    /// Offset after the newest configuration that the node has.
    configuration_end: u64,
}

const OTHER: Other = Other {
    vm: "n1",
    domain: DOMAIN,
    active: true,
    store_reachable: true,
    heartbeat_at: 10_000,
    configuration_end: 0,
};

struct Case {
    name: &'static str,
    others: &'static [Other],
    reads: bool,
    leader: bool,
}

#[rstest]
#[case(Case { name: "alone", others: &[], reads: true, leader: true })]
#[case(Case { name: "second by name", others: &[OTHER], reads: true, leader: false })]
#[case(Case {
    name: "third by name",
    others: &[OTHER, Other { vm: "n2", ..OTHER }],
    reads: false,
    leader: false,
})]
#[case(Case {
    name: "both nodes before it are silent",
    others: &[Other { heartbeat_at: 1_000, ..OTHER }, Other { vm: "n2", heartbeat_at: 1_000, ..OTHER }],
    reads: true,
    leader: true,
})]
#[case(Case {
    name: "a node before it is stopping",
    others: &[OTHER, Other { vm: "n2", active: false, ..OTHER }],
    reads: true,
    leader: false,
})]
#[case(Case {
    name: "the nodes before it are in another failure domain",
    others: &[Other { domain: "olten", ..OTHER }, Other { vm: "n2", domain: "olten", ..OTHER }],
    reads: true,
    leader: false,
})]
#[case(Case {
    name: "only nodes after it",
    others: &[Other { vm: "n4", ..OTHER }, Other { vm: "n5", ..OTHER }],
    reads: true,
    leader: true,
})]
fn roles(#[case] case: Case) {
    let mut members = Members::new(&settings());
    record_heartbeats(&mut members, case.others);
    let now = Millis(10_100);
    assert_eq!(members.is_store_reader(now), case.reads, "{}", case.name);
    assert_eq!(members.is_leader(now), case.leader, "{}", case.name);
}

fn heartbeat(other: &Other) -> Heartbeat {
    Heartbeat {
        vm: other.vm.into(),
        domain: other.domain.into(),
        interval: Interval { near_ms: 250, far_ms: 250 },
        active: other.active,
        store_reachable: other.store_reachable,
        store_recovered_ago_ms: None,
        offsets: Offsets { configuration: other.configuration_end, endpoints: 0 },
        usage: Vec::new(),
        stage_changes: Vec::new(),
        limits_digest: 0,
    }
}

fn record_heartbeats(members: &mut Members, others: &[Other]) {
    for (index, other) in others.iter().enumerate() {
        let heartbeat = heartbeat(other);
        let ip = IpAddr::from([127, 0, 0, index as u8 + 2]);
        members.record_heartbeat(ip, &heartbeat, Millis(other.heartbeat_at));
    }
}

struct Near {
    name: &'static str,
    here: usize,
    elsewhere: usize,
    silent: usize,
    near: usize,
}

#[rstest]
#[case(Near { name: "alone", here: 0, elsewhere: 0, silent: 0, near: 0 })]
#[case(Near { name: "all nodes of a small site are near", here: 3, elsewhere: 4, silent: 0, near: 7 })]
#[case(Near { name: "silent nodes are left out", here: 3, elsewhere: 0, silent: 4, near: 3 })]
#[case(Near { name: "in a large site, the own failure domain", here: 20, elsewhere: 40, silent: 5, near: 20 })]
fn near_nodes_get_updates(#[case] case: Near) {
    let mut members = Members::new(&settings());
    let there = Other { domain: "olten", ..OTHER };
    let silent = Other { heartbeat_at: 0, ..OTHER };
    let others = [(case.here, OTHER), (case.elsewhere, there), (case.silent, silent)];
    let others: Vec<Other> =
        others.into_iter().flat_map(|(count, other)| vec![other; count]).collect();
    record_heartbeats(&mut members, &others);
    assert_eq!(members.addresses(Scope::Near, Millis(10_100)).len(), case.near, "{}", case.name);
}

const THERE: Other = Other { domain: "olten", ..OTHER };

struct Sources {
    name: &'static str,
    others: &'static [Other],
    /// Whether the first of them then announced the newest configuration between heartbeats.
    announced: bool,
    /// Last part of the address of a node that failed.
    failed: Option<u8>,
    /// Last parts of the addresses of the expected sources.
    sources: &'static [u8],
}

#[rstest]
#[case(Sources { name: "no node has a newer one", others: &[OTHER, THERE], announced: false, failed: None, sources: &[] })]
#[case(Sources {
    name: "own failure domain first",
    others: &[Other { configuration_end: 5, ..THERE }, Other { configuration_end: 5, ..OTHER }, Other { configuration_end: 4, ..OTHER }],
    announced: false,
    failed: None,
    sources: &[3],
})]
#[case(Sources {
    name: "another failure domain if there is none in the own one",
    others: &[Other { configuration_end: 5, ..THERE }, OTHER],
    announced: false,
    failed: None,
    sources: &[2],
})]
#[case(Sources {
    name: "no silent node",
    others: &[Other { configuration_end: 5, heartbeat_at: 0, ..OTHER }, Other { configuration_end: 5, ..THERE }],
    announced: false,
    failed: None,
    sources: &[3],
})]
#[case(Sources {
    name: "announced between heartbeats",
    others: &[OTHER, Other { configuration_end: 5, ..OTHER }],
    announced: true,
    failed: None,
    sources: &[2, 3],
})]
#[case(Sources {
    name: "another failure domain once the only node in the own one failed",
    others: &[Other { configuration_end: 5, ..OTHER }, Other { configuration_end: 5, ..THERE }],
    announced: false,
    failed: Some(2),
    sources: &[3],
})]
fn sources_of_a_newer_configuration(#[case] case: Sources) {
    let mut members = Members::new(&settings());
    record_heartbeats(&mut members, case.others);
    if case.announced {
        let offsets = Offsets { configuration: 5, endpoints: 0 };
        members.record_offsets(IpAddr::from([127, 0, 0, 2]), offsets);
    }
    let failed = case.failed.map(|last| IpAddr::from([127, 0, 0, last]));
    let mut sources = members.sources(Millis(10_100), failed, |offsets| offsets.configuration >= 5);
    sources.sort();
    let expected: Vec<IpAddr> =
        case.sources.iter().map(|last| IpAddr::from([127, 0, 0, *last])).collect();
    assert_eq!(sources, expected, "{}", case.name);
}

struct Sharers {
    name: &'static str,
    /// Time since the start of this node, in milliseconds.
    now: u64,
    /// Time of the last heartbeat of the others, if any, and the interval of their heartbeats.
    heartbeat_at: Option<u64>,
    interval: u64,
    /// Whether it said that they keep running.
    active: bool,
    count: usize,
}

const HEARD: Sharers = Sharers {
    name: "live",
    now: 30_000,
    heartbeat_at: Some(30_000),
    interval: 250,
    active: true,
    count: 11,
};

/// Ten nodes besides this one.
#[rstest]
#[case(HEARD)]
#[case(Sharers { name: "silent, within the window", heartbeat_at: Some(20_100), ..HEARD })]
#[case(Sharers { name: "silent for longer than the window", heartbeat_at: Some(19_000), ..HEARD })]
#[case(Sharers { name: "silent for long", now: 90_000, heartbeat_at: Some(29_000), count: 1, ..HEARD })]
#[case(Sharers { name: "stopping, within the window", heartbeat_at: Some(20_100), active: false, ..HEARD })]
#[case(Sharers { name: "stopped", heartbeat_at: Some(19_000), active: false, count: 1, ..HEARD })]
#[case(Sharers { name: "long heartbeat interval", heartbeat_at: Some(14_000), interval: 17_500, active: false, ..HEARD })]
#[case(Sharers { name: "no heartbeat yet, just started", now: 500, heartbeat_at: None, ..HEARD })]
#[case(Sharers { name: "no heartbeat yet, after the first window", heartbeat_at: None, ..HEARD })]
#[case(Sharers { name: "no heartbeat for long", now: 61_000, heartbeat_at: None, count: 1, ..HEARD })]
fn nodes_that_share_the_retry_budget(#[case] case: Sharers) {
    let mut members = Members::new(&settings());
    for index in 0..10 {
        let ip = IpAddr::from([127, 0, 0, index + 2]);
        members.add(ip);
        if let Some(at) = case.heartbeat_at {
            let interval = Interval { near_ms: case.interval, far_ms: case.interval };
            let heartbeat = Heartbeat { interval, active: case.active, ..heartbeat(&OTHER) };
            members.record_heartbeat(ip, &heartbeat, Millis(at));
        }
    }
    assert_eq!(members.retry_budget_sharers(Millis(case.now)), case.count, "{}", case.name);
}

#[rstest]
fn added_nodes_are_announced_once() {
    let mut members = Members::new(&settings());
    let ip = IpAddr::from([127, 0, 0, 9]);
    members.add(ip);
    assert!(members.take_unannounced());
    members.add(ip);
    assert!(!members.take_unannounced(), "it was added before");
    members.add("127.0.0.1".parse().unwrap());
    assert!(!members.take_unannounced(), "this node itself");
}

struct Takeover {
    name: &'static str,
    /// Nodes before this one by name; whether the store answers their reads.
    before: &'static [bool],
    /// Time after the first check at which this node begins to read, in milliseconds.
    reads_after_ms: Option<u64>,
}

/// Readers whose calls the store rejects are replaced one by one.
#[rstest]
#[case(Takeover { name: "second by name", before: &[false], reads_after_ms: Some(0) })]
#[case(Takeover { name: "both readers read", before: &[true, true], reads_after_ms: None })]
#[case(Takeover { name: "one reader is rejected", before: &[true, false], reads_after_ms: Some(500) })]
#[case(Takeover { name: "both readers are rejected", before: &[false, false], reads_after_ms: Some(500) })]
#[case(Takeover { name: "another node takes over first", before: &[false, false, false], reads_after_ms: Some(1_000) })]
#[case(Takeover { name: "two other nodes took over", before: &[false, false, true, true], reads_after_ms: None })]
#[case(Takeover { name: "seven other nodes take over first", before: &[false; 9], reads_after_ms: Some(4_000) })]
fn rejected_readers_are_replaced(#[case] case: Takeover) {
    let mut members = Members::new(&settings());
    let checks = (0..6_000).step_by(100);
    let reads = checks.into_iter().find(|after_ms| {
        let now = 10_000 + after_ms;
        for (index, reachable) in case.before.iter().enumerate() {
            let other = Other { store_reachable: *reachable, heartbeat_at: now, ..OTHER };
            members.record_heartbeat(
                IpAddr::from([127, 0, 0, index as u8 + 2]),
                &heartbeat(&other),
                Millis(now),
            );
        }
        members.is_store_reader(Millis(now))
    });
    assert_eq!(reads, case.reads_after_ms, "{}", case.name);
}

#[rstest]
fn a_newcomer_is_answered_at_once_in_its_own_failure_domain() {
    let mut members = Members::new(&settings());
    (0..40).for_each(|last| members.add(IpAddr::from([127, 0, 1, last])));
    let mut is_newcomer = |other: &Other, at: u64| {
        let ip = IpAddr::from([127, 0, 0, if other.domain == DOMAIN { 2 } else { 3 }]);
        members.record_heartbeat(ip, &heartbeat(other), Millis(at)).newcomer
    };
    assert!(is_newcomer(&OTHER, 1_000));
    assert!(!is_newcomer(&OTHER, 1_250), "live before");
    assert!(is_newcomer(&OTHER, 9_000), "it was silent");
    assert!(!is_newcomer(&THERE, 9_000), "another failure domain in a large site");
}

/// Load pattern: streams begin and end at ten thousand engines, and two hundred nodes of a domain would be told of each.
#[rstest]
#[case(20)]
#[case(196)]
#[case(400)]
fn updates_go_to_a_bounded_number_of_nodes_that_stays_the_same(#[case] others: u32) {
    let mut members = Members::new(&settings());
    for index in 0..others {
        let mut from = heartbeat(&Other { heartbeat_at: 10_000, ..OTHER });
        from.vm = format!("vm{index}");
        from.interval = Interval { near_ms: 60_000, far_ms: 60_000 };
        let ip = IpAddr::from([10, 0, (index / 250) as u8, (index % 250) as u8]);
        members.record_heartbeat(ip, &from, Millis(10_000));
    }
    let first = members.addresses(Scope::Successors, Millis(10_100));
    assert_eq!(first.len(), others.min(32) as usize);
    assert_eq!(first, members.addresses(Scope::Successors, Millis(10_200)));
}

struct Forwarding {
    name: &'static str,
    others: &'static [Other],
    /// Last parts of the addresses of nodes that say that they have lost their way to the service.
    lost: &'static [u8],
    /// Last part of the address of a node that refused a request for that reason.
    refused: Option<u8>,
    targets: &'static [u8],
    leader: bool,
}

/// A cut-off node forwards to nodes that have not lost their way themselves; one that has gives no orders either.
#[rstest]
#[case(Forwarding { name: "alone", others: &[], lost: &[], refused: None, targets: &[], leader: true })]
#[case(Forwarding { name: "one of each domain", others: &[OTHER, THERE], lost: &[], refused: None, targets: &[2, 3], leader: false })]
#[case(Forwarding { name: "own domain lost too", others: &[OTHER, THERE], lost: &[2], refused: None, targets: &[3], leader: false })]
#[case(Forwarding { name: "all before it lost", others: &[OTHER, Other { vm: "n2", ..OTHER }], lost: &[2, 3], refused: None, targets: &[], leader: true })]
#[case(Forwarding { name: "one refused", others: &[OTHER, THERE], lost: &[], refused: Some(2), targets: &[3], leader: false })]
#[case(Forwarding { name: "silent or stopping", others: &[Other { heartbeat_at: 0, ..OTHER }, Other { active: false, ..THERE }], lost: &[], refused: None, targets: &[], leader: true })]
fn requests_are_forwarded_to_nodes_that_reach_endpoints(#[case] case: Forwarding) {
    let mut members = Members::new(&settings());
    record_heartbeats(&mut members, case.others);
    let (service, now) = (Tag::of("models"), Millis(10_100));
    let ip = |last: u8| IpAddr::from([127, 0, 0, last]);
    case.lost.iter().for_each(|last| members.set_lost(ip(*last), &[service], now));
    case.refused.iter().for_each(|last| members.record_lost(ip(*last), service, now));
    // A heartbeat does not end it: what was said of the way stands beside it.
    record_heartbeats(&mut members, case.others);
    let mut random = SmallRng::seed_from_u64(1);
    let targets = members.forward_targets(service, now, &mut random);
    let expected: Vec<IpAddr> = case.targets.iter().map(|last| ip(*last)).collect();
    assert_eq!(targets, expected, "{}", case.name);
    assert_eq!(members.is_leader(now), case.leader, "{}", case.name);
    let other = members.forward_targets(Tag::of("pages"), now, &mut random);
    assert!(other.len() >= targets.len(), "{}", case.name);
}

/// Nodes of both domains are tried by turns, and what a node said counts until its next heartbeat is overdue.
#[rstest]
fn a_whole_domain_that_is_cut_off_is_left_at_the_second_try() {
    let mut members = Members::new(&settings());
    let others = [vec![OTHER; 40], vec![THERE; 40]].concat();
    record_heartbeats(&mut members, &others);
    let mut random = SmallRng::seed_from_u64(1);
    let targets = members.forward_targets(Tag::of("models"), Millis(10_100), &mut random);
    let here = |ip: &IpAddr| matches!(ip, IpAddr::V4(ip) if ip.octets()[3] < 42);
    assert_eq!(targets.len(), 80);
    assert!(targets.chunks(2).all(|pair| here(&pair[0]) && !here(&pair[1])));
}
