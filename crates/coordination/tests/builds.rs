//! Which build is the only one that can have begun a stream.

use crosslane_coordination::builds::{Builds, Record};
use crosslane_coordination::streams::Knowledge;
use crosslane_state::build::Build;
use crosslane_state::endpoint::Tag;
use crosslane_state::time::Millis;
use rstest::rstest;

const SERVICE: Tag = Tag(1);

/// Time that a stream and the return of its caller may take.
const SPAN_MS: u64 = 14_000;

fn build(version: &str) -> Build {
    Build::new("models", version)
}

/// A change of the list.
#[derive(Clone, Copy)]
enum Change {
    Listed(&'static str),
    Gone(&'static str),
}

use Change::{Gone, Listed};

struct Case {
    name: &'static str,
    changes: &'static [(u64, Change)],
    now: u64,
    known: Known,
}

/// What follows for a stream that began within the span.
enum Known {
    Sole(&'static str),
    Several,
    Only(&'static str),
    Unobserved,
    Nothing,
}

#[rstest]
#[case(Case { name: "nothing listed", changes: &[], now: 20_000, known: Known::Nothing })]
#[case(Case { name: "one build for long", changes: &[(0, Listed("v1")), (0, Listed("v1"))], now: 14_000, known: Known::Sole("v1") })]
#[case(Case { name: "not observed for long enough", changes: &[(0, Listed("v1"))], now: 13_999, known: Known::Only("v1") })]
#[case(Case { name: "side by side", changes: &[(0, Listed("v1")), (0, Listed("v2"))], now: 60_000, known: Known::Several })]
#[case(Case { name: "side by side, not observed for long enough", changes: &[(0, Listed("v1")), (0, Listed("v2"))], now: 10_000, known: Known::Unobserved })]
#[case(Case { name: "another one just went", changes: &[(0, Listed("v1")), (0, Listed("v2")), (50_000, Gone("v1"))], now: 60_000, known: Known::Several })]
#[case(Case { name: "another one went long ago", changes: &[(0, Listed("v1")), (0, Listed("v2")), (50_000, Gone("v1"))], now: 64_000, known: Known::Sole("v2") })]
#[case(Case { name: "one of two of a build went", changes: &[(0, Listed("v1")), (0, Listed("v1")), (50_000, Gone("v1"))], now: 60_000, known: Known::Sole("v1") })]
#[case(Case { name: "a build that went and is back", changes: &[(0, Listed("v1")), (50_000, Gone("v1")), (52_000, Listed("v1"))], now: 60_000, known: Known::Sole("v1") })]
fn builds_that_have_served(#[case] case: Case) {
    let mut builds = Builds::default();
    for (at, change) in case.changes {
        match change {
            Listed(version) => builds.add(SERVICE, build(version), Millis(*at)),
            Gone(version) => builds.remove(SERVICE, build(version), Millis(*at)),
        }
    }
    let expected = match case.known {
        Known::Sole(version) => Knowledge::Sole(build(version)),
        Known::Several => Knowledge::Several,
        Known::Only(version) => Knowledge::Unobserved(Some(build(version))),
        Known::Unobserved => Knowledge::Unobserved(None),
        Known::Nothing => Knowledge::Nothing,
    };
    let knowledge = builds.knowledge(SERVICE, SPAN_MS, Millis(case.now));
    assert_eq!(knowledge, expected, "{}", case.name);
    if let Known::Sole(version) | Known::Only(version) = case.known {
        assert!(builds.lists(SERVICE, build(version)), "{}", case.name);
        assert!(!builds.lists(Tag(2), build(version)), "{}: another service", case.name);
    }
}

struct Recorded {
    name: &'static str,
    /// Versions recorded before.
    before: &'static [&'static str],
    changes: &'static [(u64, Change)],
    now: u64,
    recorded: &'static [&'static str],
}

/// A record of the builds of one service.
fn record(versions: &[&str]) -> Record {
    let mut builds = Builds::default();
    versions.iter().for_each(|version| builds.add(SERVICE, build(version), Millis(0)));
    builds.record(&Record::default(), SPAN_MS, Millis(0))
}

#[rstest]
#[case(Recorded { name: "one version", before: &[], changes: &[(0, Listed("v1"))], now: 1, recorded: &["v1"] })]
#[case(Recorded { name: "another one comes", before: &["v1"], changes: &[(0, Listed("v1")), (50_000, Listed("v2"))], now: 50_000, recorded: &["v1", "v2"] })]
#[case(Recorded { name: "one just went", before: &["v1", "v2"], changes: &[(0, Listed("v1")), (0, Listed("v2")), (50_000, Gone("v1"))], now: 63_999, recorded: &["v1", "v2"] })]
#[case(Recorded { name: "one went long ago", before: &["v1", "v2"], changes: &[(0, Listed("v1")), (0, Listed("v2")), (50_000, Gone("v1"))], now: 64_000, recorded: &["v2"] })]
#[case(Recorded { name: "one went before this node started", before: &["v1", "v2"], changes: &[(0, Listed("v2"))], now: 13_999, recorded: &["v1", "v2"] })]
#[case(Recorded { name: "one went long before this node started", before: &["v1", "v2"], changes: &[(0, Listed("v2"))], now: 14_000, recorded: &["v2"] })]
fn builds_recorded_for_nodes_that_start(#[case] case: Recorded) {
    let mut builds = Builds::default();
    for (at, change) in case.changes {
        match change {
            Listed(version) => builds.add(SERVICE, build(version), Millis(*at)),
            Gone(version) => builds.remove(SERVICE, build(version), Millis(*at)),
        }
    }
    let recorded = builds.record(&record(case.before), SPAN_MS, Millis(case.now));
    assert_eq!(recorded, record(case.recorded), "{}", case.name);
    let only = match case.recorded {
        [only] => Some(build(only)),
        _ => None,
    };
    assert_eq!(recorded.only(SERVICE), only, "{}", case.name);
    assert_eq!(recorded.only(Tag(2)), None, "{}: another service", case.name);
}
