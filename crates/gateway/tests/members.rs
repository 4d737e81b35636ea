//! Members: which nodes read the store and which gives orders, as heartbeats tell.

mod node;

use crosslane_coordination::heartbeat::Interval;
use crosslane_gateway::members::{Heartbeat, Members, Scope};
use crosslane_gateway::mirror::Ends;
use crosslane_state::time::Millis;
use node::{DOMAIN, settings};
use rstest::rstest;
use std::net::IpAddr;

#[derive(Clone, Copy)]
struct Other {
    vm: &'static str,
    domain: &'static str,
    steady: bool,
    fed: bool,
    heard: u64,
    /// Offset after the newest configuration that it knows.
    knows: u64,
}

const OTHER: Other =
    Other { vm: "n1", domain: DOMAIN, steady: true, fed: true, heard: 10_000, knows: 0 };

struct Case {
    name: &'static str,
    others: &'static [Other],
    reads: bool,
    first: bool,
}

#[rstest]
#[case(Case { name: "alone", others: &[], reads: true, first: true })]
#[case(Case { name: "second", others: &[OTHER], reads: true, first: false })]
#[case(Case {
    name: "third",
    others: &[OTHER, Other { vm: "n2", ..OTHER }],
    reads: false,
    first: false,
})]
#[case(Case {
    name: "both before it are silent",
    others: &[Other { heard: 1_000, ..OTHER }, Other { vm: "n2", heard: 1_000, ..OTHER }],
    reads: true,
    first: true,
})]
#[case(Case {
    name: "one before it is stopping",
    others: &[OTHER, Other { vm: "n2", steady: false, ..OTHER }],
    reads: true,
    first: false,
})]
#[case(Case {
    name: "those before it are in another failure domain",
    others: &[Other { domain: "olten", ..OTHER }, Other { vm: "n2", domain: "olten", ..OTHER }],
    reads: true,
    first: false,
})]
#[case(Case {
    name: "those after it do not matter",
    others: &[Other { vm: "n4", ..OTHER }, Other { vm: "n5", ..OTHER }],
    reads: true,
    first: true,
})]
fn roles(#[case] case: Case) {
    let mut members = Members::new(&settings());
    hear(&mut members, case.others);
    let now = Millis(10_100);
    assert_eq!(members.reads(now), case.reads, "{}", case.name);
    assert_eq!(members.first(now), case.first, "{}", case.name);
}

fn heartbeat(other: &Other) -> Heartbeat {
    Heartbeat {
        vm: other.vm.into(),
        domain: other.domain.into(),
        interval: Interval { near: 250, far: 250 },
        steady: other.steady,
        fed: other.fed,
        returned: None,
        ends: Ends { configuration: other.knows, endpoints: 0 },
        usage: Vec::new(),
        changing: Vec::new(),
        limits: 0,
    }
}

fn hear(members: &mut Members, others: &[Other]) {
    for (place, other) in others.iter().enumerate() {
        let heartbeat = heartbeat(other);
        let ip = IpAddr::from([127, 0, 0, place as u8 + 2]);
        members.hear(ip, &heartbeat, Millis(other.heard));
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
#[case(Near { name: "few are all near", here: 3, elsewhere: 4, silent: 0, near: 7 })]
#[case(Near { name: "silent ones are not told", here: 3, elsewhere: 0, silent: 4, near: 3 })]
#[case(Near { name: "of many the own domain's", here: 20, elsewhere: 40, silent: 5, near: 20 })]
fn who_is_told_at_once(#[case] case: Near) {
    let mut members = Members::new(&settings());
    let there = Other { domain: "olten", ..OTHER };
    let silent = Other { heard: 0, ..OTHER };
    let others = [(case.here, OTHER), (case.elsewhere, there), (case.silent, silent)];
    let others: Vec<Other> =
        others.into_iter().flat_map(|(count, other)| vec![other; count]).collect();
    hear(&mut members, &others);
    assert_eq!(members.addresses(Scope::Near, Millis(10_100)).len(), case.near, "{}", case.name);
}

const THERE: Other = Other { domain: "olten", ..OTHER };

struct Holders {
    name: &'static str,
    others: &'static [Other],
    /// Whether the first of them then told of the newest configuration by itself.
    news: bool,
    /// Last part of the address of one that failed.
    failed: Option<u8>,
    /// Last parts of the addresses of those that are asked.
    asked: &'static [u8],
}

#[rstest]
#[case(Holders { name: "nobody knows more", others: &[OTHER, THERE], news: false, failed: None, asked: &[] })]
#[case(Holders {
    name: "the own domain first",
    others: &[Other { knows: 5, ..THERE }, Other { knows: 5, ..OTHER }, Other { knows: 4, ..OTHER }],
    news: false,
    failed: None,
    asked: &[3],
})]
#[case(Holders {
    name: "another domain if need be",
    others: &[Other { knows: 5, ..THERE }, OTHER],
    news: false,
    failed: None,
    asked: &[2],
})]
#[case(Holders {
    name: "not a silent one",
    others: &[Other { knows: 5, heard: 0, ..OTHER }, Other { knows: 5, ..THERE }],
    news: false,
    failed: None,
    asked: &[3],
})]
#[case(Holders {
    name: "one that told of it between heartbeats",
    others: &[OTHER, Other { knows: 5, ..OTHER }],
    news: true,
    failed: None,
    asked: &[2, 3],
})]
#[case(Holders {
    name: "another domain once the only one here failed",
    others: &[Other { knows: 5, ..OTHER }, Other { knows: 5, ..THERE }],
    news: false,
    failed: Some(2),
    asked: &[3],
})]
fn who_is_asked_for_a_newer_configuration(#[case] case: Holders) {
    let mut members = Members::new(&settings());
    hear(&mut members, case.others);
    if case.news {
        let ends = Ends { configuration: 5, endpoints: 0 };
        members.hear_news(IpAddr::from([127, 0, 0, 2]), ends);
    }
    let failed = case.failed.map(|it| IpAddr::from([127, 0, 0, it]));
    let mut asked = members.holders(Millis(10_100), failed, |it| it.configuration >= 5);
    asked.sort();
    let expected: Vec<IpAddr> =
        case.asked.iter().map(|it| IpAddr::from([127, 0, 0, *it])).collect();
    assert_eq!(asked, expected, "{}", case.name);
}

struct Counted {
    name: &'static str,
    /// When this node looks, from its start, in milliseconds.
    now: u64,
    /// When the others were heard last, if ever, and the time to their next heartbeats.
    heard: Option<u64>,
    interval: u64,
    count: usize,
}

/// Ten others besides this node.
#[rstest]
#[case(Counted { name: "just heard", now: 30_000, heard: Some(30_000), interval: 250, count: 11 })]
#[case(Counted { name: "silent, but what they spent counts", now: 30_000, heard: Some(20_100), interval: 250, count: 11 })]
#[case(Counted { name: "silent for longer", now: 30_000, heard: Some(19_000), interval: 250, count: 1 })]
#[case(Counted { name: "a slow heartbeat is due later", now: 30_000, heard: Some(14_000), interval: 17_500, count: 11 })]
#[case(Counted { name: "not heard yet, just started", now: 500, heard: None, interval: 250, count: 11 })]
#[case(Counted { name: "never heard", now: 30_000, heard: None, interval: 250, count: 1 })]
fn who_spends_from_the_retry_budget(#[case] case: Counted) {
    let mut members = Members::new(&settings());
    for place in 0..10 {
        let ip = IpAddr::from([127, 0, 0, place + 2]);
        members.add(ip);
        if let Some(at) = case.heard {
            let interval = Interval { near: case.interval, far: case.interval };
            let heartbeat = Heartbeat { interval, ..heartbeat(&OTHER) };
            members.hear(ip, &heartbeat, Millis(at));
        }
    }
    assert_eq!(members.count(Millis(case.now)), case.count, "{}", case.name);
}

#[rstest]
fn nodes_that_are_found_are_told_once() {
    let mut members = Members::new(&settings());
    let ip = IpAddr::from([127, 0, 0, 9]);
    members.add(ip);
    assert!(members.take_found());
    members.add(ip);
    assert!(!members.take_found(), "it was found before");
    members.add("127.0.0.1".parse().unwrap());
    assert!(!members.take_found(), "this node itself");
}

struct Takeover {
    name: &'static str,
    /// Nodes before this one, by whether the store answers them.
    before: &'static [bool],
    /// Time from the first look to the moment at which this node begins to read, in milliseconds.
    reads_after: Option<u64>,
}

/// Readers that the store turns away are replaced one by one.
#[rstest]
#[case(Takeover { name: "first two", before: &[false], reads_after: Some(0) })]
#[case(Takeover { name: "both read", before: &[true, true], reads_after: None })]
#[case(Takeover { name: "one is turned away", before: &[true, false], reads_after: Some(500) })]
#[case(Takeover { name: "both are", before: &[false, false], reads_after: Some(500) })]
#[case(Takeover { name: "the one before this one is next", before: &[false, false, false], reads_after: Some(1_000) })]
#[case(Takeover { name: "others took over", before: &[false, false, true, true], reads_after: None })]
#[case(Takeover { name: "many", before: &[false; 9], reads_after: Some(4_000) })]
fn readers_turned_away(#[case] case: Takeover) {
    let mut members = Members::new(&settings());
    let looks = (0..6_000).step_by(100);
    let reads = looks.into_iter().find(|after| {
        let now = 10_000 + after;
        for (place, fed) in case.before.iter().enumerate() {
            let other = Other { fed: *fed, heard: now, ..OTHER };
            members.hear(
                IpAddr::from([127, 0, 0, place as u8 + 2]),
                &heartbeat(&other),
                Millis(now),
            );
        }
        members.reads(Millis(now))
    });
    assert_eq!(reads, case.reads_after, "{}", case.name);
}

#[rstest]
fn a_newcomer_of_the_own_failure_domain_is_told_at_once() {
    let mut members = Members::new(&settings());
    (0..40).for_each(|it| members.add(IpAddr::from([127, 0, 1, it])));
    let mut hear = |other: &Other, at: u64| {
        let ip = IpAddr::from([127, 0, 0, if other.domain == DOMAIN { 2 } else { 3 }]);
        members.hear(ip, &heartbeat(other), Millis(at)).newcomer
    };
    assert!(hear(&OTHER, 1_000));
    assert!(!hear(&OTHER, 1_250), "known");
    assert!(hear(&OTHER, 9_000), "it was silent");
    assert!(!hear(&THERE, 9_000), "another failure domain, among many");
}
