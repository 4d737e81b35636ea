//! Retries: within the budget, before the deadline, and only of requests that may run twice.

use crosslane_coordination::retry::{Budget, Denial, Failure};
use rstest::rstest;

const FAILURE: Failure = Failure {
    may_have_run: true,
    repeatable: true,
    retry_number: 0,
    left_ms: 5_000,
    needed_ms: 100,
};

struct Case {
    name: &'static str,
    failure: Failure,
    denial: Option<Denial>,
}

#[rstest]
#[case(Case { name: "repeatable, in time", failure: FAILURE, denial: None })]
#[case(Case {
    name: "may not be repeated, and ran",
    failure: Failure { repeatable: false, ..FAILURE },
    denial: Some(Denial::NotRepeatable),
})]
#[case(Case {
    name: "may not be repeated, but did not run",
    failure: Failure { repeatable: false, may_have_run: false, ..FAILURE },
    denial: None,
})]
#[case(Case {
    name: "could not finish in time",
    failure: Failure { left_ms: 90, ..FAILURE },
    denial: Some(Denial::Deadline),
})]
fn budget_decides_by_the_failure(#[case] case: Case) {
    let mut budget = Budget::new(10, 1);
    assert_eq!(budget.retry(case.failure).err(), case.denial, "{}", case.name);
}

#[rstest]
fn retries_are_a_share_of_new_requests() {
    let mut budget = Budget::new(10, 1);
    let mut allowed = 0;
    for _ in 0..1_000 {
        budget.deposit();
        allowed += u32::from(budget.retry(FAILURE).is_ok());
    }
    assert!((100..=110).contains(&allowed), "{allowed}");
    assert_eq!(budget.retry(FAILURE), Err(Denial::Budget));
}

#[rstest]
fn the_backoff_grows_and_is_reproducible() {
    let backoffs = |seed| {
        let mut budget = Budget::new(100, seed);
        let backoff = |retry_number| budget.retry(Failure { retry_number, ..FAILURE }).unwrap();
        (0..6).map(backoff).collect::<Vec<_>>()
    };
    assert_eq!(backoffs(7), backoffs(7));
    assert_ne!(backoffs(7), backoffs(8));
    assert!(backoffs(7).windows(2).all(|pair| pair[0] <= pair[1] * 2));
    assert!(backoffs(7)[5] > backoffs(7)[0]);
}
