//! When a node takes on more requests, and when it does not.

use crosslane_coordination::delay::{Delays, Standing};
use crosslane_coordination::intake::{Intake, Verdict};
use crosslane_state::endpoint::Tag;
use crosslane_state::time::Millis;
use rstest::rstest;
use std::time::Duration;

const TARGET: Duration = Duration::from_millis(300);
const PERIOD_MS: u64 = 100;

/// Waits of a period.
#[derive(Clone, Copy, Debug)]
enum Waited {
    Nothing,
    Processor,
    Link,
    /// There was always something to run, and nothing waited long.
    Busy,
    /// Tasks waited long, but the node was idle at times.
    Idle,
    /// No connection was opened, so nothing is known of the link.
    Unknown,
}

impl From<Waited> for Standing {
    fn from(waited: Waited) -> Self {
        let (short, long) = (Some(Duration::ZERO), Some(TARGET / 10));
        let quiet = Self { processor: short, link: short, busy: 0.5 };
        match waited {
            Waited::Nothing => quiet,
            Waited::Processor => Self { processor: long, busy: 1.0, ..quiet },
            Waited::Idle => Self { processor: long, ..quiet },
            Waited::Link => Self { link: long, ..quiet },
            Waited::Busy => Self { busy: 1.0, ..quiet },
            Waited::Unknown => Self { link: None, ..quiet },
        }
    }
}

/// Periods with most open requests and waits, and the limit after them.
struct Case {
    name: &'static str,
    periods: &'static [(usize, Waited)],
    limit: Option<usize>,
}

#[rstest]
#[case(Case { name: "any number without waits", periods: &[(2_000, Waited::Nothing)], limit: None })]
#[case(Case { name: "any number in a burst that is over", periods: &[(20, Waited::Nothing), (90, Waited::Processor), (60, Waited::Nothing)], limit: None })]
#[case(Case { name: "what was borne, once the processor is waited for", periods: &[(20, Waited::Nothing), (30, Waited::Processor), (38, Waited::Processor)], limit: Some(20) })]
#[case(Case { name: "the same for the link", periods: &[(20, Waited::Nothing), (30, Waited::Link), (38, Waited::Link)], limit: Some(20) })]
#[case(Case { name: "half of what is open, if that is more", periods: &[(20, Waited::Nothing), (60, Waited::Link), (90, Waited::Link)], limit: Some(45) })]
#[case(Case { name: "the same on a node that has just started", periods: &[(60, Waited::Link), (90, Waited::Link)], limit: Some(45) })]
#[case(Case { name: "any number on a node that is never idle, if nothing waits", periods: &[(20, Waited::Nothing), (90, Waited::Busy), (90, Waited::Busy)], limit: None })]
#[case(Case { name: "any number on a node that is idle at times", periods: &[(20, Waited::Nothing), (90, Waited::Idle), (90, Waited::Idle)], limit: None })]
#[case(Case { name: "unchanged until the open requests have come down to it", periods: &[(20, Waited::Nothing), (30, Waited::Link), (38, Waited::Link), (30, Waited::Link)], limit: Some(20) })]
#[case(Case { name: "fewer if that does not end the waits", periods: &[(20, Waited::Nothing), (30, Waited::Link), (38, Waited::Link), (20, Waited::Link)], limit: Some(15) })]
#[case(Case { name: "more once they have ended", periods: &[(20, Waited::Nothing), (30, Waited::Link), (38, Waited::Link), (20, Waited::Nothing)], limit: Some(23) })]
#[case(Case { name: "not more while nothing is known of the link", periods: &[(20, Waited::Nothing), (30, Waited::Link), (38, Waited::Link), (20, Waited::Unknown)], limit: Some(20) })]
#[case(Case { name: "no limit once most callers have gone", periods: &[(20, Waited::Nothing), (30, Waited::Link), (38, Waited::Link), (5, Waited::Nothing)], limit: None })]
#[case(Case { name: "one at least", periods: &[(0, Waited::Link), (0, Waited::Link)], limit: Some(1) })]
fn a_limit_follows_from_waits(#[case] case: Case) {
    let mut intake = Intake::default();
    for (number, (open, waited)) in case.periods.iter().enumerate() {
        intake.record_open(*open);
        let next = case.periods.get(number + 1).map_or(0, |(open, _)| *open);
        let now = Millis(PERIOD_MS * (number as u64 + 1));
        assert!(intake.is_due(TARGET, now), "{}", case.name);
        intake.begin_period((*waited).into(), next, TARGET, now);
        assert!(!intake.is_due(TARGET, now), "{}", case.name);
    }
    assert_eq!(intake.limit(), case.limit, "{}", case.name);
}

#[rstest]
fn a_full_node_takes_one_new_connection_a_period() {
    let mut intake = Intake::default();
    intake.begin_period(Waited::Link.into(), 90, TARGET, Millis(PERIOD_MS));
    for period in 2..5 {
        intake.begin_period(Waited::Link.into(), 90, TARGET, Millis(PERIOD_MS * period));
        let verdicts = [90; 3].map(|open| intake.decide(open));
        assert_eq!(verdicts, [Verdict::Take, Verdict::Close, Verdict::Close]);
    }
}

/// A limit was dropped in a period without new connections, however many requests were still open.
#[rstest]
fn requests_that_stay_open_keep_a_limit() {
    let mut intake = Intake::default();
    for (period, waited) in
        (1..).zip([Waited::Link, Waited::Link, Waited::Nothing, Waited::Nothing])
    {
        intake.begin_period(waited.into(), 90, TARGET, Millis(PERIOD_MS * period));
    }
    assert!(intake.limit().is_some());
}

/// A round trip, in milliseconds, when it is made, and whether the node is limited then.
type RoundTrip = (u64, u64, bool);

struct Trips {
    name: &'static str,
    trips: &'static [RoundTrip],
    /// Shortest part beyond the usual one, in milliseconds.
    link: u64,
}

#[rstest]
#[case(Trips { name: "the first one is usual", trips: &[(40, 0, false)], link: 0 })]
#[case(Trips { name: "longer ones", trips: &[(2, 0, false), (40, 200, false), (30, 210, false)], link: 28 })]
#[case(Trips { name: "one short one is enough", trips: &[(2, 0, false), (40, 200, false), (3, 210, false)], link: 1 })]
#[case(Trips { name: "a longer way becomes usual", trips: &[(2, 0, false), (40, 31_000, false), (40, 62_000, false), (40, 62_010, false)], link: 0 })]
#[case(Trips { name: "not while the node is limited", trips: &[(2, 0, false), (40, 31_000, true), (40, 62_000, true), (40, 62_010, true)], link: 38 })]
fn a_link_is_waited_for_beyond_the_usual_round_trip(#[case] case: Trips) {
    let mut delays = Delays::default();
    let mut before = 0;
    for (took, at, limited) in case.trips {
        if at - before > PERIOD_MS {
            delays.take(0.5);
        }
        before = *at;
        let took = Duration::from_millis(*took);
        delays.record_round_trip(Tag::of("aarau"), took, *limited, Millis(*at));
    }
    assert_eq!(delays.take(0.5).link, Some(Duration::from_millis(case.link)), "{}", case.name);
    assert_eq!(delays.take(0.5).link, None, "{}", case.name);
}
