//! Lease on orders: never two holders in turn within its length.

use crosslane_coordination::lease::{Lease, ORDER_WINDOW, Record, Step};
use crosslane_state::time::Millis;
use rstest::rstest;

const LENGTH: u64 = 3_000;

fn held(by: Option<&str>, end: u64) -> Record {
    Record { holder: by.map(Into::into), end }
}

struct Case {
    name: &'static str,
    holder: Option<&'static str>,
    /// Offsets seen with their times.
    seen: &'static [(u64, u64)],
    step: Step,
}

#[rstest]
#[case(Case { name: "nobody held it", holder: None, seen: &[(0, 0)], step: Step::Append { end: 0 } })]
#[case(Case {
    name: "this node holds it",
    holder: Some("me"),
    seen: &[(4, 0)],
    step: Step::Append { end: 4 },
})]
#[case(Case { name: "another holds it", holder: Some("other"), seen: &[(4, 0)], step: Step::Wait })]
#[case(Case {
    name: "another used it meanwhile",
    holder: Some("other"),
    seen: &[(4, 0), (5, 4_000), (5, 6_000)],
    step: Step::Wait,
})]
#[case(Case {
    name: "another was silent for its length and window",
    holder: Some("other"),
    seen: &[(4, 0), (4, LENGTH + ORDER_WINDOW + 600)],
    step: Step::Append { end: 4 },
})]
fn steps(#[case] case: Case) {
    let mut lease = Lease::new("me".into(), LENGTH);
    let steps: Vec<Step> = case
        .seen
        .iter()
        .map(|(end, at)| lease.step(&held(case.holder, *end), Millis(*at)))
        .collect();
    assert_eq!(steps.last(), Some(&case.step), "{}", case.name);
}

/// Two nodes that look at all times and append when they may: the store arbitrates, and turns of
/// different holders lie at least the lease apart, orders at the end of each window included.
#[rstest]
#[case(90)]
#[case(500)]
#[case(1_300)]
fn turns_lie_apart(#[case] look: u64) {
    let mut nodes = ["one", "two"].map(|name| (name, Lease::new(name.into(), LENGTH)));
    let mut record = held(None, 0);
    let mut last: Option<(&str, u64)> = None;
    for now in (0..200_000).step_by(look as usize) {
        // The holder is paused now and then, so that the other takes over.
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
                    assert!(now >= at + ORDER_WINDOW + LENGTH, "{holder} at {at}, {name} at {now}");
                }
                record = held(Some(name), end + 1);
                last = Some((name, now));
            }
        }
    }
}
