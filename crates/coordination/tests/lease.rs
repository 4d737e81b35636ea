//! Lease on orders: the turns of two holders lie more than its length apart.

use crosslane_coordination::lease::{Lease, ORDER_WINDOW_MS, Record, Step};
use crosslane_state::time::Millis;
use rstest::rstest;

const LENGTH_MS: u64 = 3_000;

fn record_of(holder: Option<&str>, end: u64) -> Record {
    Record { holder: holder.map(Into::into), end }
}

struct Case {
    name: &'static str,
    holder: Option<&'static str>,
    /// Offsets that were read, with their times.
    seen: &'static [(u64, u64)],
    step: Step,
}

#[rstest]
#[case(Case { name: "no holder", holder: None, seen: &[(0, 0)], step: Step::Append { end: 0 } })]
#[case(Case {
    name: "this node holds it",
    holder: Some("me"),
    seen: &[(4, 0)],
    step: Step::Append { end: 4 },
})]
#[case(Case { name: "another holds it", holder: Some("other"), seen: &[(4, 0)], step: Step::Wait })]
#[case(Case {
    name: "another renewed it meanwhile",
    holder: Some("other"),
    seen: &[(4, 0), (5, 4_000), (5, 6_000)],
    step: Step::Wait,
})]
#[case(Case {
    name: "another did not renew it for its length and the order window",
    holder: Some("other"),
    seen: &[(4, 0), (4, LENGTH_MS + ORDER_WINDOW_MS + 600)],
    step: Step::Append { end: 4 },
})]
fn next_step_by_the_records_seen(#[case] case: Case) {
    let mut lease = Lease::new("me".into(), LENGTH_MS);
    let steps: Vec<Step> = case
        .seen
        .iter()
        .map(|(end, at)| lease.step(&record_of(case.holder, *end), Millis(*at)))
        .collect();
    assert_eq!(steps.last(), Some(&case.step), "{}", case.name);
}

/// Two nodes that read the lease regularly and append when they may: the store arbitrates, and the
/// turns of different holders are at least the lease apart, counted from the end of each order
/// window.
#[rstest]
#[case(90)]
#[case(500)]
#[case(1_300)]
fn turns_of_two_holders_are_far_enough_apart(#[case] interval_ms: u64) {
    let mut nodes = ["one", "two"].map(|name| (name, Lease::new(name.into(), LENGTH_MS)));
    let mut record = record_of(None, 0);
    let mut last: Option<(&str, u64)> = None;
    for now in (0..200_000).step_by(interval_ms as usize) {
        // The holder is paused now and then, so that the other one takes over.
        let paused = (now / 20_000) % 2 == 1;
        for (name, lease) in &mut nodes {
            if paused && last.is_some_and(|(holder, _)| holder == *name) {
                continue;
            }
            if let Step::Append { end } = lease.step(&record, Millis(now)) {
                assert_eq!(end, record.end);
                if let Some((holder, at)) = last
                    && holder != *name
                {
                    assert!(
                        now >= at + ORDER_WINDOW_MS + LENGTH_MS,
                        "{holder} at {at}, {name} at {now}"
                    );
                }
                record = record_of(Some(name), end + 1);
                last = Some((name, now));
            }
        }
    }
}
