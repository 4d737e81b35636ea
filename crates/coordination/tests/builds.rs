//! Which build is the only one that can have begun a stream.

use crosslane_coordination::builds::Builds;
use crosslane_state::build::Build;
use crosslane_state::endpoint::Tag;
use crosslane_state::time::Millis;
use rstest::rstest;

const SERVICE: Tag = Tag(1);

/// Time that a stream and the return of its caller may take.
const SPAN_MS: u64 = 14_000;

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
    only: Option<&'static str>,
    sole: Option<&'static str>,
}

#[rstest]
#[case(Case { name: "nothing listed", changes: &[], now: 20_000, only: None, sole: None })]
#[case(Case { name: "one build for long", changes: &[(0, Listed("v1")), (0, Listed("v1"))], now: 14_000, only: Some("v1"), sole: Some("v1") })]
#[case(Case { name: "not observed for long enough", changes: &[(0, Listed("v1"))], now: 13_999, only: Some("v1"), sole: None })]
#[case(Case { name: "side by side", changes: &[(0, Listed("v1")), (0, Listed("v2"))], now: 60_000, only: None, sole: None })]
#[case(Case { name: "another one just went", changes: &[(0, Listed("v1")), (0, Listed("v2")), (50_000, Gone("v1"))], now: 60_000, only: Some("v2"), sole: None })]
#[case(Case { name: "another one went long ago", changes: &[(0, Listed("v1")), (0, Listed("v2")), (50_000, Gone("v1"))], now: 64_000, only: Some("v2"), sole: Some("v2") })]
#[case(Case { name: "one of two of a build went", changes: &[(0, Listed("v1")), (0, Listed("v1")), (50_000, Gone("v1"))], now: 60_000, only: Some("v1"), sole: Some("v1") })]
#[case(Case { name: "a build that went and is back", changes: &[(0, Listed("v1")), (50_000, Gone("v1")), (52_000, Listed("v1"))], now: 60_000, only: Some("v1"), sole: Some("v1") })]
fn builds_that_have_served(#[case] case: Case) {
    let mut builds = Builds::default();
    let build = |version: &str| Build::new("models", version);
    for (at, change) in case.changes {
        match change {
            Listed(version) => builds.add(SERVICE, build(version), Millis(*at)),
            Gone(version) => builds.remove(SERVICE, build(version), Millis(*at)),
        }
    }
    assert_eq!(builds.only(SERVICE), case.only.map(build), "{}", case.name);
    let sole = builds.sole(SERVICE, SPAN_MS, Millis(case.now));
    assert_eq!(sole, case.sole.map(build), "{}", case.name);
    if let Some(only) = case.only {
        assert!(builds.lists(SERVICE, build(only)), "{}", case.name);
        assert!(!builds.lists(Tag(2), build(only)), "{}: another service", case.name);
    }
}
