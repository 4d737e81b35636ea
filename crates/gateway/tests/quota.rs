//! Queries to the owners of limits, and replies that arrive too late.

use crosslane_coordination::quota::{Decision, Tolerance};
use crosslane_gateway::members::Subject;
use crosslane_gateway::quota::Limiter;
use crosslane_state::endpoint::Tag;
use crosslane_state::time::Millis;
use rstest::rstest;

const SUBJECT: Subject = Subject::Organisation(Tag(7));

struct Reply {
    name: &'static str,
    waiting: bool,
    decision: Decision,
    /// Whether the reply grants a cost that no request uses.
    refunded: bool,
}

#[rstest]
#[case(Reply { name: "in time", waiting: true, decision: Decision::Granted, refunded: false })]
#[case(Reply { name: "too late", waiting: false, decision: Decision::Granted, refunded: true })]
#[case(Reply { name: "refused too late", waiting: false, decision: Decision::OverLimit { wait: 1 }, refunded: false })]
fn grant_that_arrives_too_late_is_refunded(#[case] case: Reply) {
    let limiter = Limiter::new(Tolerance::default());
    let (number, reply) = limiter.register(SUBJECT, 3_000, Millis(0));
    let receiver = case.waiting.then_some(reply);
    let expected = case.refunded.then_some((SUBJECT, 3_000));
    assert_eq!(limiter.resolve(number, case.decision), expected, "{}", case.name);
    assert_eq!(limiter.resolve(number, case.decision), None, "{}: second reply", case.name);
    assert_eq!(
        receiver.map(|mut reply| reply.try_recv().ok()),
        case.waiting.then_some(Some(case.decision))
    );
}

#[rstest]
fn queries_without_reply_expire() {
    let limiter = Limiter::new(Tolerance::default());
    let (number, reply) = limiter.register(SUBJECT, 3_000, Millis(0));
    drop(reply);
    limiter.remove_expired(Millis(5_000));
    assert_eq!(limiter.resolve(number, Decision::Granted), None);
}
