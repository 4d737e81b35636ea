//! When cut-off nodes serve far less than the others.

use crosslane_soak::reach::Tally;
use rstest::rstest;

struct Case {
    name: &'static str,
    served: u64,
    failed: u64,
    /// Requests that failed only at cut-off nodes.
    unserved: usize,
    breaks: bool,
}

#[rstest]
#[case(Case { name: "14 of 47 where the others serve all", served: 14, failed: 0, unserved: 33, breaks: true })]
#[case(Case { name: "none of 16 where the others serve all", served: 0, failed: 0, unserved: 16, breaks: true })]
#[case(Case { name: "no node can serve", served: 0, failed: 17, unserved: 0, breaks: false })]
#[case(Case { name: "few failures", served: 0, failed: 0, unserved: 10, breaks: false })]
#[case(Case { name: "one more", served: 0, failed: 0, unserved: 11, breaks: true })]
#[case(Case { name: "one in fifty more", served: 0, failed: 39, unserved: 11, breaks: false })]
#[case(Case { name: "two thirds", served: 200, failed: 0, unserved: 100, breaks: false })]
#[case(Case { name: "less than two thirds", served: 199, failed: 0, unserved: 100, breaks: true })]
#[case(Case { name: "much of it could not be served", served: 199, failed: 300, unserved: 100, breaks: true })]
fn cut_off_nodes_that_serve_less_than_others(#[case] case: Case) {
    let unserved = (0..case.unserved).map(|number| number.to_string()).collect();
    let tally = Tally { served: case.served, failed: case.failed, unserved };
    assert_eq!(tally.breaks(), case.breaks, "{}", case.name);
}
