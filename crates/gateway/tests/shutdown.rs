//! Which requests a stopping node still accepts.

use crosslane_gateway::shutdown::Arrival;
use rstest::rstest;
use std::time::Duration;

struct Case {
    name: &'static str,
    since: u64,
    remaining: u64,
    longest: u64,
    is_stream: bool,
    accepted: bool,
}

impl Case {
    fn arrival(&self) -> Arrival {
        Arrival {
            since_announcement: Duration::from_millis(self.since),
            grace: Duration::from_secs(8),
            remaining: Duration::from_millis(self.remaining),
            longest: Duration::from_millis(self.longest),
            is_stream: self.is_stream,
        }
    }
}

#[rstest]
#[case(Case { name: "a stream, before the load balancer has noticed", since: 2_000, remaining: 14_000, longest: 3_000, is_stream: true, accepted: true })]
#[case(Case { name: "a stream whose service has streams longer than the grace period", since: 2_000, remaining: 14_000, longest: 14_000, is_stream: true, accepted: false })]
#[case(Case { name: "a stream whose service has streams almost as long as the grace period", since: 100, remaining: 14_000, longest: 7_400, is_stream: true, accepted: false })]
#[case(Case { name: "a stream, after the load balancer has noticed", since: 3_000, remaining: 14_000, longest: 3_000, is_stream: true, accepted: false })]
#[case(Case { name: "a short stream, after the load balancer has noticed", since: 3_000, remaining: 1_000, longest: 1_000, is_stream: true, accepted: false })]
#[case(Case { name: "a call that ends in time", since: 5_000, remaining: 1_500, longest: 60, is_stream: false, accepted: true })]
#[case(Case { name: "a call whose deadline is after the kill", since: 6_000, remaining: 1_500, longest: 60, is_stream: false, accepted: false })]
#[case(Case { name: "a call with a long timeout", since: 3_000, remaining: 9_000, longest: 60, is_stream: false, accepted: false })]
#[case(Case { name: "a long call, before the load balancer has noticed", since: 2_800, remaining: 9_000, longest: 60, is_stream: false, accepted: true })]
#[case(Case { name: "a call whose service has calls longer than the grace period", since: 2_800, remaining: 9_000, longest: 9_000, is_stream: false, accepted: false })]
fn requests_accepted_while_stopping(#[case] case: Case) {
    assert_eq!(case.arrival().is_accepted(), case.accepted, "{}", case.name);
}

#[rstest]
#[case(Case { name: "a call within the time in which calls are accepted", since: 2_800, remaining: 9_000, longest: 60, is_stream: false, accepted: true })]
#[case(Case { name: "a call that waited and may outlast the grace period", since: 2_801, remaining: 9_000, longest: 60, is_stream: false, accepted: false })]
#[case(Case { name: "a call that waited and ends in time", since: 5_000, remaining: 2_300, longest: 60, is_stream: false, accepted: true })]
#[case(Case { name: "a call that waited and ends too close to the kill", since: 5_000, remaining: 2_301, longest: 60, is_stream: false, accepted: false })]
#[case(Case { name: "a stream whose prompt was prefilled meanwhile", since: 3_200, remaining: 9_000, longest: 3_000, is_stream: true, accepted: true })]
#[case(Case { name: "a stream whose prefill took too long", since: 4_400, remaining: 9_000, longest: 3_000, is_stream: true, accepted: false })]
fn requests_sent_while_stopping(#[case] case: Case) {
    assert_eq!(case.arrival().is_sent(), case.accepted, "{}", case.name);
}
