//! Questions to owners of limits, and answers that come too late.

use crosslane_coordination::quota::{Decision, Tolerance};
use crosslane_gateway::members::Subject;
use crosslane_gateway::quota::Desk;
use crosslane_state::endpoint::Tag;
use crosslane_state::time::Millis;
use rstest::rstest;

const SUBJECT: Subject = Subject::Organisation(Tag(7));

struct Late {
    name: &'static str,
    waits: bool,
    verdict: Decision,
    /// Whether the answer grants what nobody uses.
    given_back: bool,
}

#[rstest]
#[case(Late { name: "in time", waits: true, verdict: Decision::Granted, given_back: false })]
#[case(Late { name: "too late", waits: false, verdict: Decision::Granted, given_back: true })]
#[case(Late { name: "refused too late", waits: false, verdict: Decision::OverLimit { wait: 1 }, given_back: false })]
fn what_is_granted_too_late_is_given_back(#[case] case: Late) {
    let desk = Desk::new(Tolerance::default());
    let (number, answer) = desk.ask(SUBJECT, 3_000, Millis(0));
    let waiting = case.waits.then_some(answer);
    let expected = case.given_back.then_some((SUBJECT, 3_000));
    assert_eq!(desk.hear(number, case.verdict), expected, "{}", case.name);
    assert_eq!(desk.hear(number, case.verdict), None, "{}: heard twice", case.name);
    assert_eq!(waiting.map(|mut it| it.try_recv().ok()), case.waits.then_some(Some(case.verdict)));
}

#[rstest]
fn questions_that_are_never_answered_are_forgotten() {
    let desk = Desk::new(Tolerance::default());
    let (number, answer) = desk.ask(SUBJECT, 3_000, Millis(0));
    drop(answer);
    desk.tidy(Millis(5_000));
    assert_eq!(desk.hear(number, Decision::Granted), None);
}
