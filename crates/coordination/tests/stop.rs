//! What replies to orders show of a run, and whether its response is whole.

use crosslane_coordination::stop::{self, Completeness, End, Reply, Run};
use rstest::rstest;

struct Orders {
    name: &'static str,
    replies: &'static [Reply],
    known: Run,
    /// Whether another order follows the last reply.
    asks_again: bool,
}

#[rstest]
#[case(Orders { name: "stopped", replies: &[Reply::Stopped], known: Run::Stopped, asks_again: false })]
#[case(Orders { name: "refused", replies: &[Reply::Refused], known: Run::Unstopped, asks_again: false })]
#[case(Orders { name: "unsent", replies: &[Reply::Unsent], known: Run::Unstopped, asks_again: false })]
#[case(Orders { name: "ended before", replies: &[Reply::NoRun], known: Run::Unstopped, asks_again: false })]
#[case(Orders { name: "lost", replies: &[Reply::Missing], known: Run::Unknown, asks_again: true })]
#[case(Orders { name: "lost, no run", replies: &[Reply::Missing, Reply::NoRun], known: Run::Unknown, asks_again: false })]
#[case(Orders { name: "lost, refused", replies: &[Reply::Missing, Reply::Refused], known: Run::Unknown, asks_again: true })]
#[case(Orders { name: "lost, unsent", replies: &[Reply::Missing, Reply::Unsent], known: Run::Unknown, asks_again: true })]
#[case(Orders { name: "lost, stopped", replies: &[Reply::Missing, Reply::Stopped], known: Run::Stopped, asks_again: false })]
#[case(Orders { name: "another under way, no run", replies: &[Reply::UnderWay, Reply::NoRun], known: Run::Unknown, asks_again: false })]
#[case(Orders { name: "lost, refused, no run", replies: &[Reply::Missing, Reply::Refused, Reply::NoRun], known: Run::Unknown, asks_again: false })]
#[case(Orders { name: "stopped, no run", replies: &[Reply::Stopped, Reply::NoRun], known: Run::Stopped, asks_again: false })]
fn replies_to_orders(#[case] case: Orders) {
    let mut orders = stop::Orders::default();
    let mut asks_again = true;
    for reply in case.replies {
        orders.send();
        asks_again = orders.record(*reply);
    }
    assert_eq!((orders.known(), asks_again), (case.known, case.asks_again), "{}", case.name);
}

struct Concurrent {
    name: &'static str,
    /// Orders sent before the first reply.
    sent: usize,
    replies: &'static [Reply],
    known: Run,
    asks_again: bool,
}

#[rstest]
#[case(Concurrent { name: "no reply yet", sent: 1, replies: &[], known: Run::Unknown, asks_again: true })]
#[case(Concurrent { name: "the first under way", sent: 2, replies: &[Reply::UnderWay], known: Run::Unknown, asks_again: true })]
#[case(Concurrent { name: "the first under way, refused", sent: 2, replies: &[Reply::UnderWay, Reply::Refused], known: Run::Unknown, asks_again: true })]
#[case(Concurrent { name: "the first under way, no run", sent: 2, replies: &[Reply::UnderWay, Reply::NoRun], known: Run::Unknown, asks_again: false })]
#[case(Concurrent { name: "the first under way, lost", sent: 2, replies: &[Reply::UnderWay, Reply::Missing], known: Run::Unknown, asks_again: true })]
#[case(Concurrent { name: "one refused", sent: 2, replies: &[Reply::Refused], known: Run::Unknown, asks_again: true })]
#[case(Concurrent { name: "both refused", sent: 2, replies: &[Reply::Refused, Reply::Refused], known: Run::Unstopped, asks_again: false })]
#[case(Concurrent { name: "no run beside an open order", sent: 2, replies: &[Reply::NoRun], known: Run::Unknown, asks_again: false })]
#[case(Concurrent { name: "the handle beside an open order", sent: 2, replies: &[Reply::Stopped], known: Run::Stopped, asks_again: false })]
fn replies_to_concurrent_orders(#[case] case: Concurrent) {
    let mut orders = stop::Orders::default();
    (0..case.sent).for_each(|_| orders.send());
    let mut asks_again = true;
    for reply in case.replies {
        asks_again = orders.record(*reply);
    }
    assert_eq!((orders.known(), asks_again), (case.known, case.asks_again), "{}", case.name);
}

struct Resumed {
    name: &'static str,
    sent: usize,
    replies: &'static [Reply],
    known: Run,
}

/// An order that got no reply may stop the run that goes on at its engine.
#[rstest]
#[case(Resumed { name: "each order replied to", sent: 2, replies: &[Reply::UnderWay, Reply::Stopped], known: Run::Unstopped })]
#[case(Resumed { name: "an order lost before", sent: 2, replies: &[Reply::Missing, Reply::Stopped], known: Run::Unknown })]
#[case(Resumed { name: "an order still open", sent: 2, replies: &[Reply::Stopped], known: Run::Unknown })]
fn runs_that_go_on_at_their_engine(#[case] case: Resumed) {
    let mut orders = stop::Orders::default();
    (0..case.sent).for_each(|_| orders.send());
    for reply in case.replies {
        orders.record(*reply);
    }
    let resumed = orders.resumed();
    assert_eq!((orders.known(), resumed.known()), (Run::Stopped, case.known), "{}", case.name);
    assert_eq!(resumed.resumed().known(), case.known, "{}", case.name);
}

struct Response {
    name: &'static str,
    known: Run,
    end: End,
    completeness: Completeness,
}

#[rstest]
#[case(Response { name: "framed", known: Run::Unstopped, end: End::Framed, completeness: Completeness::Whole })]
#[case(Response { name: "framed, an order unanswered", known: Run::Unknown, end: End::Framed, completeness: Completeness::Whole })]
#[case(Response { name: "closed", known: Run::Unstopped, end: End::Closed, completeness: Completeness::UnlessCrashed })]
#[case(Response { name: "closed, an order unanswered", known: Run::Unknown, end: End::Closed, completeness: Completeness::Unknown })]
#[case(Response { name: "closed, stopped", known: Run::Stopped, end: End::Closed, completeness: Completeness::Unknown })]
fn responses_that_have_ended(#[case] case: Response) {
    assert_eq!(case.known.completeness(case.end), case.completeness, "{}", case.name);
}

/// No sequence of replies after an unanswered order shows that the run was not stopped.
#[rstest]
fn a_run_is_never_known_to_be_unstopped_after_an_unanswered_order() {
    let replies = [
        Reply::Stopped,
        Reply::NoRun,
        Reply::UnderWay,
        Reply::Refused,
        Reply::Missing,
        Reply::Unsent,
    ];
    let mut all = vec![stop::Orders::default()];
    for reply in [&[Reply::Missing][..], &replies, &replies, &replies, &replies] {
        let after = |mut orders: stop::Orders, reply: Reply| {
            orders.send();
            orders.record(reply);
            orders
        };
        all = all.iter().flat_map(|orders| reply.iter().map(|it| after(*orders, *it))).collect();
        assert!(all.iter().all(|orders| orders.known() != Run::Unstopped));
    }
}
