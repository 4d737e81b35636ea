//! Which streams that ended early the soak excuses.

use crosslane_platform_standins::ledger::{Ended, Run};
use crosslane_soak::excuse::endpoints_failed;
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
    let runs: Vec<Run> = case.runs.iter().map(run).collect();
    assert_eq!(endpoints_failed(&runs), case.excused, "{}", case.name);
}
