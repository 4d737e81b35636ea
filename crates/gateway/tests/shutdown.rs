//! Which requests a stopping node still accepts.

use crosslane_gateway::shutdown::Arrival;
use rstest::rstest;
use std::time::Duration;

struct Case {
    name: &'static str,
    since: u64,
    left: u64,
    lasts: u64,
    streams: bool,
    taken: bool,
}

#[rstest]
#[case(Case { name: "a stream, before the load balancer has noticed", since: 2_000, left: 14_000, lasts: 3_000, streams: true, taken: true })]
#[case(Case { name: "a stream whose service has streams longer than the grace period", since: 2_000, left: 14_000, lasts: 14_000, streams: true, taken: false })]
#[case(Case { name: "a stream whose service has streams almost as long as the grace period", since: 100, left: 14_000, lasts: 7_400, streams: true, taken: false })]
#[case(Case { name: "a stream, after the load balancer has noticed", since: 3_000, left: 14_000, lasts: 3_000, streams: true, taken: false })]
#[case(Case { name: "a short stream, after the load balancer has noticed", since: 3_000, left: 1_000, lasts: 1_000, streams: true, taken: false })]
#[case(Case { name: "a call that ends in time", since: 5_000, left: 1_500, lasts: 60, streams: false, taken: true })]
#[case(Case { name: "a call whose deadline is after the kill", since: 6_000, left: 1_500, lasts: 60, streams: false, taken: false })]
#[case(Case { name: "a call with a long timeout", since: 3_000, left: 9_000, lasts: 60, streams: false, taken: false })]
#[case(Case { name: "a long call, before the load balancer has noticed", since: 2_800, left: 9_000, lasts: 60, streams: false, taken: true })]
#[case(Case { name: "a call whose service has calls longer than the grace period", since: 2_800, left: 9_000, lasts: 9_000, streams: false, taken: false })]
fn requests_accepted_while_stopping(#[case] case: Case) {
    let late = Arrival {
        since_announcement: Duration::from_millis(case.since),
        grace: Duration::from_secs(8),
        remaining: Duration::from_millis(case.left),
        longest: Duration::from_millis(case.lasts),
        is_stream: case.streams,
    };
    assert_eq!(late.is_accepted(), case.taken, "{}", case.name);
}
