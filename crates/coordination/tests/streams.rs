//! Which build began a stream, by its names.

use crosslane_coordination::streams::{
    Conclusion, Knowledge, MAX_NAMES, Name, Record, Streams, conclude,
};
use crosslane_state::build::Build;
use crosslane_state::time::Millis;
use rstest::rstest;

const KEEP_MS: u32 = 14_000;

fn build(version: &str) -> Build {
    Build::new("models", version)
}

fn record(name: Name, version: &str) -> Record {
    Record { name, build: build(version), keep_ms: KEEP_MS }
}

struct Case {
    name: &'static str,
    /// Time, organisation, request and version of the streams that are recorded.
    recorded: &'static [(u64, &'static str, &'static str, &'static str)],
    /// Time, organisation and request that are looked up.
    asked: (u64, &'static str, &'static str),
    found: Option<&'static str>,
}

#[rstest]
#[case(Case { name: "known", recorded: &[(0, "a", "r1", "v1"), (0, "a", "r2", "v2")], asked: (5, "a", "r2"), found: Some("v2") })]
#[case(Case { name: "never begun", recorded: &[(0, "a", "r1", "v1")], asked: (5, "a", "r2"), found: None })]
#[case(Case { name: "another organisation's", recorded: &[(0, "a", "r1", "v1")], asked: (5, "b", "r1"), found: None })]
#[case(Case { name: "its time is over", recorded: &[(0, "a", "r1", "v1")], asked: (14_000, "a", "r1"), found: None })]
#[case(Case { name: "told again on a return", recorded: &[(0, "a", "r1", "v1"), (9_000, "a", "r1", "v1")], asked: (20_000, "a", "r1"), found: Some("v1") })]
#[case(Case { name: "an id used twice", recorded: &[(0, "a", "r1", "v1"), (1, "a", "r1", "v2")], asked: (5, "a", "r1"), found: None })]
#[case(Case { name: "an id used twice, told again", recorded: &[(0, "a", "r1", "v1"), (1, "a", "r1", "v2"), (2, "a", "r1", "v2")], asked: (5, "a", "r1"), found: None })]
#[case(Case { name: "an id used again much later", recorded: &[(0, "a", "r1", "v1"), (15_000, "a", "r1", "v2")], asked: (15_005, "a", "r1"), found: Some("v2") })]
fn builds_that_began_streams(#[case] case: Case) {
    for name in [Name::attempt, Name::prompt] {
        let mut streams = Streams::default();
        for (at, organisation, request, version) in case.recorded {
            streams.record(record(name(organisation, request), version), Millis(*at));
        }
        let (at, organisation, request) = case.asked;
        let found = streams.build(name(organisation, request), Millis(at));
        assert_eq!(found, case.found.map(build), "{}", case.name);
    }
}

#[rstest]
fn a_prompt_is_no_request() {
    let mut streams = Streams::default();
    streams.record(record(Name::attempt("", "r1"), "v1"), Millis(0));
    assert_eq!(streams.build(Name::prompt("", "r1"), Millis(1)), None);
}

#[rstest]
fn memory_is_bounded_and_the_oldest_streams_are_dropped() {
    let mut streams = Streams::default();
    let name = |number: usize| Name::attempt("", &number.to_string());
    let dropped = |number: usize| {
        let kept = Record { keep_ms: 200_000, ..record(name(number), "v1") };
        streams.record(kept, Millis(number as u64))
    };
    let dropped: usize = (0..MAX_NAMES + 10).map(dropped).sum();
    assert_eq!((dropped, streams.len()), (10, MAX_NAMES));
    assert_eq!(streams.build(name(9), Millis(70_000)), None);
    assert_eq!(streams.build(name(10), Millis(70_000)), Some(build("v1")));
    streams.expire(Millis(300_000));
    assert!(streams.is_empty());
}

/// What a node says.
#[derive(Clone, Copy)]
enum Says {
    Began(&'static str),
    Sole(&'static str),
    Several,
    Only(&'static str),
    Unobserved,
    Nothing,
}

use Says::{Began, Nothing, Only, Several, Sole, Unobserved};

struct Replies {
    name: &'static str,
    replies: &'static [Says],
    concluded: Conclusion,
}

/// Version that streams of these cases began at, if that can be known.
fn v1() -> Conclusion {
    Conclusion::Began(build("v1"))
}

/// Nothing was observed for long enough; one version is listed.
fn only_v1() -> Conclusion {
    Conclusion::Unobserved(Some(build("v1")))
}

#[rstest]
#[case(Replies { name: "nobody knows", replies: &[Nothing, Nothing], concluded: Conclusion::Unknown })]
#[case(Replies { name: "one was told", replies: &[Several, Began("v1")], concluded: v1() })]
#[case(Replies { name: "what was told counts first", replies: &[Sole("v2"), Began("v1")], concluded: v1() })]
#[case(Replies { name: "told differently", replies: &[Began("v2"), Began("v1")], concluded: Conclusion::Unknown })]
#[case(Replies { name: "only one build", replies: &[Nothing, Sole("v1"), Only("v1")], concluded: v1() })]
#[case(Replies { name: "lists that differ", replies: &[Sole("v1"), Sole("v2")], concluded: Conclusion::Unknown })]
#[case(Replies { name: "one node has seen another build", replies: &[Only("v1"), Several], concluded: Conclusion::Unknown })]
#[case(Replies { name: "all have just started, one build", replies: &[Only("v1"), Only("v1"), Nothing], concluded: only_v1() })]
#[case(Replies { name: "all have just started, several builds", replies: &[Unobserved, Unobserved], concluded: Conclusion::Unobserved(None) })]
#[case(Replies { name: "all have just started, lists that differ", replies: &[Only("v1"), Only("v2")], concluded: Conclusion::Unobserved(None) })]
fn what_nodes_know_together(#[case] case: Replies) {
    let knowledge = |says: &Says| match says {
        Began(version) => Knowledge::Began(build(version)),
        Sole(version) => Knowledge::Sole(build(version)),
        Several => Knowledge::Several,
        Only(version) => Knowledge::Unobserved(Some(build(version))),
        Unobserved => Knowledge::Unobserved(None),
        Nothing => Knowledge::Nothing,
    };
    let replies: Vec<Knowledge> = case.replies.iter().map(knowledge).collect();
    assert_eq!(conclude(&replies, replies.len()), case.concluded, "{}", case.name);
}

/// Which builds served is not known by the word of a node alone, unless there is no other.
#[rstest]
#[case(0, v1())]
#[case(2, Conclusion::Unknown)]
fn what_a_node_knows_that_gets_no_reply(#[case] asked: usize, #[case] concluded: Conclusion) {
    assert_eq!(conclude(&[Knowledge::Sole(build("v1"))], asked), concluded);
}
