//! Limits that endpoints name: what a node takes from answers that cross.

use crosslane_coordination::limits::{Change, Limits};
use crosslane_state::endpoint::Tag;
use crosslane_state::rate::Rate;
use crosslane_state::time::Millis;
use rstest::rstest;

const ENDPOINT: Tag = Tag(7);

fn rate(figure: f64) -> Option<Rate> {
    Some(Rate::try_from(figure).unwrap())
}

struct Case {
    name: &'static str,
    /// Limits in answers that came before, with when each request was sent and answered.
    before: &'static [(Option<f64>, u64, u64)],
    /// The next answer.
    next: (Option<f64>, u64, u64),
    /// Whether it counts.
    counts: bool,
}

#[rstest]
#[case(Case { name: "first", before: &[], next: (Some(3.0), 10, 20), counts: true })]
#[case(Case { name: "none yet", before: &[], next: (None, 10, 20), counts: false })]
#[case(Case { name: "the same", before: &[(Some(3.0), 10, 20)], next: (Some(3.0), 30, 40), counts: false })]
#[case(Case { name: "lower, from before", before: &[(Some(3.0), 10, 20)], next: (Some(2.0), 5, 40), counts: true })]
#[case(Case { name: "higher, from before", before: &[(Some(3.0), 10, 20)], next: (Some(4.0), 15, 40), counts: false })]
#[case(Case { name: "higher, sent since", before: &[(Some(3.0), 10, 20)], next: (Some(4.0), 25, 40), counts: true })]
#[case(Case { name: "none, from before", before: &[(Some(3.0), 10, 20)], next: (None, 20, 40), counts: false })]
#[case(Case { name: "none, sent since", before: &[(Some(3.0), 10, 20)], next: (None, 21, 40), counts: true })]
#[case(Case { name: "zero", before: &[(Some(3.0), 10, 20)], next: (Some(0.0), 5, 40), counts: true })]
fn answers_that_cross(#[case] case: Case) {
    let mut limits = Limits::default();
    let mut last = None;
    for (named, sent, answered) in case.before {
        last = named.and_then(rate);
        limits.note(ENDPOINT, last, Millis(*sent), Millis(*answered));
    }
    let (named, sent, answered) = case.next;
    let named = named.and_then(rate);
    let change = limits.note(ENDPOINT, named, Millis(sent), Millis(answered));
    let expected = case.counts.then_some(Change { before: last, rate: named });
    assert_eq!(change, expected, "{}", case.name);
}
