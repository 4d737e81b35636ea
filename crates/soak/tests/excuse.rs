//! Which streams that ended early the soak excuses.

use crosslane_platform_standins::ledger::{Ended, Run};
use crosslane_soak::excuse::{deliverable, endpoints_failed};
use rstest::rstest;
use std::time::{Duration, Instant};

/// A run: begin and end, in milliseconds, how it ended, and whether the way to its endpoint was disturbed.
type Row = (u64, u64, Ended, bool);

struct Case {
    name: &'static str,
    runs: &'static [Row],
    excused: bool,
}

#[rstest]
#[case(Case { name: "one run, closed by the node", runs: &[(0, 9, Ended::Closed, false)], excused: false })]
#[case(Case {
    name: "broke off, then an error",
    runs: &[(0, 9, Ended::Faulty, false), (10, 11, Ended::Erred, false)],
    excused: true,
})]
#[case(Case {
    name: "crashed twice",
    runs: &[(0, 9, Ended::Closed, true), (10, 11, Ended::Closed, true)],
    excused: true,
})]
#[case(Case {
    name: "closed by the node, then the next endpoint crashed",
    runs: &[(0, 9, Ended::Closed, false), (10, 11, Ended::Closed, true)],
    excused: false,
})]
#[case(Case {
    name: "closed by the node once the next run had begun, which then crashed",
    runs: &[(0, 9, Ended::Closed, false), (8, 11, Ended::Closed, true)],
    excused: true,
})]
#[case(Case {
    name: "closed by the node for an error",
    runs: &[(0, 9, Ended::Closed, false), (8, 8, Ended::Erred, false)],
    excused: false,
})]
#[case(Case {
    name: "a whole run",
    runs: &[(0, 9, Ended::Whole, false), (10, 11, Ended::Erred, false)],
    excused: false,
})]
fn streams_that_ended_early(#[case] case: Case) {
    assert_eq!(endpoints_failed(&runs(case.runs)), case.excused, "{}", case.name);
}

struct Delivered {
    name: &'static str,
    runs: &'static [Row],
    idempotent: bool,
    /// Place of the run whose answer has to be delivered.
    deliverable: Option<usize>,
}

#[rstest]
#[case(Delivered {
    name: "stopped, and never continued",
    runs: &[(0, 9, Ended::Moved, false)], idempotent: false, deliverable: Some(0),
})]
#[case(Delivered {
    name: "broke off where it went on",
    runs: &[(0, 9, Ended::Moved, false), (10, 11, Ended::Faulty, false)], idempotent: false, deliverable: None,
})]
#[case(Delivered {
    name: "stopped, and its handle never told",
    runs: &[(0, 9, Ended::Forgotten, false)], idempotent: false, deliverable: None,
})]
#[case(Delivered {
    name: "stopped and forgotten, then run elsewhere",
    runs: &[(0, 9, Ended::Forgotten, false), (10, 19, Ended::Whole, false)], idempotent: true, deliverable: Some(1),
})]
#[case(Delivered {
    name: "forgotten where it went on after a move",
    runs: &[(0, 9, Ended::Moved, false), (10, 19, Ended::Forgotten, false)], idempotent: false, deliverable: None,
})]
#[case(Delivered {
    name: "failed where it went on",
    runs: &[(0, 9, Ended::Moved, false), (10, 11, Ended::Erred, false)], idempotent: false, deliverable: None,
})]
#[case(Delivered {
    name: "broke off after two moves",
    runs: &[(0, 9, Ended::Moved, false), (10, 19, Ended::Moved, false), (20, 21, Ended::Faulty, false)],
    idempotent: false, deliverable: None,
})]
#[case(Delivered {
    name: "broke off where it went on, but may be resumed",
    runs: &[(0, 9, Ended::Moved, false), (10, 11, Ended::Faulty, false)], idempotent: true, deliverable: Some(0),
})]
#[case(Delivered {
    name: "closed by the node where it went on",
    runs: &[(0, 9, Ended::Moved, false), (10, 11, Ended::Closed, false)], idempotent: false, deliverable: Some(0),
})]
#[case(Delivered {
    name: "broke off",
    runs: &[(0, 9, Ended::Faulty, false)], idempotent: false, deliverable: None,
})]
#[case(Delivered {
    name: "broke off, then whole",
    runs: &[(0, 9, Ended::Faulty, false), (10, 11, Ended::Whole, false)], idempotent: true, deliverable: Some(1),
})]
fn runs_that_have_to_be_delivered(#[case] case: Delivered) {
    let runs = runs(case.runs);
    let found = deliverable(&runs, case.idempotent);
    let place = found.and_then(|found| runs.iter().position(|run| std::ptr::eq(run, found)));
    assert_eq!(place, case.deliverable, "{}", case.name);
}

fn runs(rows: &[Row]) -> Vec<Run> {
    let start = Instant::now();
    let at = |millis: u64| start + Duration::from_millis(millis);
    let run = |&(began, ended, how, disturbed): &Row| Run {
        endpoint: "e1".into(),
        began: at(began),
        events: 0,
        ended: Some(how),
        ended_at: Some(at(ended)),
        closed_at: Some(at(ended)),
        disturbed,
    };
    rows.iter().map(run).collect()
}
