//! Rate limit on bytes, over time.

use crosslane_coordination::throttle::Throttle;
use crosslane_state::time::Millis;
use rstest::rstest;

struct Case {
    name: &'static str,
    /// Times at which a piece of 100 bytes is to be sent, in milliseconds.
    requested: &'static [u64],
    /// How many of them are sent.
    sent: usize,
}

#[rstest]
#[case(Case { name: "a burst, and the last one overdraws it", requested: &[0, 0, 0, 0, 0], sent: 3 })]
#[case(Case { name: "refilled while idle", requested: &[0, 0, 0, 0, 1_000, 1_000, 1_000, 1_000], sent: 6 })]
#[case(Case { name: "no more than a burst after a long idle time", requested: &[90_000; 9], sent: 3 })]
#[case(Case { name: "an overdraft is made up first", requested: &[0, 0, 0, 40, 60, 70], sent: 4 })]
#[case(Case { name: "small steps of time are not lost", requested: &[0, 0, 0, 12, 24, 36, 48, 60], sent: 4 })]
fn pieces_sent_within_the_rate(#[case] case: Case) {
    let mut throttle = Throttle::new(1_000, 250);
    let mut sent = 0;
    for at in case.requested {
        if throttle.is_ready(Millis(*at)) {
            throttle.consume(100);
            sent += 1;
        }
    }
    assert_eq!(sent, case.sent, "{}", case.name);
}

struct Change {
    name: &'static str,
    /// Rates, and from when on they apply.
    rates: &'static [(u64, u64)],
    /// Bytes sent within three seconds.
    sent: usize,
}

#[rstest]
#[case(Change { name: "never", rates: &[], sent: 3_250 })]
#[case(Change { name: "raised", rates: &[(2_000, 1_000)], sent: 5_250 })]
#[case(Change { name: "lowered", rates: &[(100, 2_000)], sent: 2_350 })]
#[case(Change { name: "raised and taken back", rates: &[(2_000, 1_000), (1_000, 2_000)], sent: 4_250 })]
fn a_rate_that_changes_counts_from_then_on(#[case] case: Change) {
    let mut throttle = Throttle::new(1_000, 250);
    let mut sent = 0;
    for now in (0..=3_000).step_by(50).map(Millis) {
        for (rate, _) in case.rates.iter().filter(|(_, at)| Millis(*at) == now) {
            throttle.set_rate(*rate, now);
        }
        while throttle.is_ready(now) {
            throttle.consume(10);
            sent += 10;
        }
    }
    assert_eq!(sent, case.sent, "{}", case.name);
}
