//! Limits that endpoints name: what a node takes from answers that cross.

use crosslane_coordination::limits::{self, Change, Limits, Queues, Word};
use crosslane_state::endpoint::Tag;
use crosslane_state::rate::Rate;
use crosslane_state::time::Millis;
use proptest::prelude::*;
use rstest::rstest;

const ENDPOINT: Tag = Tag(7);

fn rate(figure: f64) -> Option<Rate> {
    Some(Rate::try_from(figure).unwrap())
}

struct Case {
    name: &'static str,
    /// Limits in answers that came before, with when each request was sent and answered.
    before: &'static [(Option<f64>, u64, u64)],
    /// The next answer.
    next: (Option<f64>, u64, u64),
    /// Whether it counts.
    counts: bool,
}

#[rstest]
#[case(Case { name: "first", before: &[], next: (Some(3.0), 10, 20), counts: true })]
#[case(Case { name: "none yet", before: &[], next: (None, 10, 20), counts: false })]
#[case(Case { name: "the same", before: &[(Some(3.0), 10, 20)], next: (Some(3.0), 30, 40), counts: false })]
#[case(Case { name: "lower, from before", before: &[(Some(3.0), 10, 20)], next: (Some(2.0), 5, 40), counts: true })]
#[case(Case { name: "higher, from before", before: &[(Some(3.0), 10, 20)], next: (Some(4.0), 15, 40), counts: false })]
#[case(Case { name: "higher, sent since", before: &[(Some(3.0), 10, 20)], next: (Some(4.0), 25, 40), counts: true })]
#[case(Case { name: "none, from before", before: &[(Some(3.0), 10, 20)], next: (None, 20, 40), counts: false })]
#[case(Case { name: "none, sent since", before: &[(Some(3.0), 10, 20)], next: (None, 21, 40), counts: true })]
#[case(Case { name: "zero", before: &[(Some(3.0), 10, 20)], next: (Some(0.0), 5, 40), counts: true })]
fn answers_that_cross(#[case] case: Case) {
    let mut limits = Limits::default();
    let mut last = None;
    for (named, sent, answered) in case.before {
        last = named.and_then(rate);
        limits.note(ENDPOINT, last, Millis(*sent), Millis(*answered));
    }
    let (named, sent, answered) = case.next;
    let named = named.and_then(rate);
    let change = limits.note(ENDPOINT, named, Millis(sent), Millis(answered));
    let expected = case.counts.then_some(Change { before: last, rate: named });
    assert_eq!(change, expected, "{}", case.name);
}

fn word() -> impl Strategy<Value = (Tag, Word)> {
    let rate = prop::option::of((0_u32..4).prop_map(|it| Rate::try_from(f64::from(it)).unwrap()));
    (0_u64..3, 1_u64..4, rate)
        .prop_map(|(endpoint, revision, rate)| (Tag(endpoint), Word { revision, rate }))
}

proptest! {
    #[test]
    fn nodes_that_heard_the_same_words_know_the_same(
        words in prop::collection::vec(word(), 0..12),
        seed in any::<u64>(),
    ) {
        use rand::SeedableRng;
        use rand::seq::SliceRandom;
        let hear = |words: &[(Tag, Word)]| {
            let mut limits = Limits::default();
            for (endpoint, word) in words {
                limits.hear(*endpoint, *word, Millis(0));
            }
            limits
        };
        let mut other = words.clone();
        other.shuffle(&mut rand::rngs::SmallRng::seed_from_u64(seed));
        let (one, other) = (hear(&words), hear(&other));
        prop_assert_eq!(one.digest(), other.digest());
        for (endpoint, _) in words {
            prop_assert_eq!(one.word(endpoint), other.word(endpoint));
        }
    }
}

#[rstest]
fn whoever_missed_a_change_learns_it_from_the_words_of_another() {
    let (mut one, mut other) = (Limits::default(), Limits::default());
    one.note(ENDPOINT, rate(3.0), Millis(1), Millis(2));
    assert_ne!(one.digest(), other.digest());
    for (endpoint, word) in one.words() {
        other.hear(endpoint, word, Millis(5));
    }
    assert_eq!((other.rate(ENDPOINT), one.digest()), (rate(3.0), other.digest()));
    one.note(ENDPOINT, None, Millis(10), Millis(11));
    for (endpoint, word) in one.words() {
        other.hear(endpoint, word, Millis(12));
    }
    assert_eq!((other.rate(ENDPOINT), other.digest()), (None, 0));
    // One that was answered before it ended does not bring it back to those who know.
    assert_eq!(other.hear(ENDPOINT, Word { revision: 1, rate: rate(3.0) }, Millis(13)), None);
}

#[rstest]
fn all_are_told_who_is_in_need_and_owners_of_what() {
    let mut limits = Limits::default();
    limits.note(ENDPOINT, rate(3.0), Millis(1), Millis(2));
    let news = limits.news();
    assert_eq!((news.all.len(), news.owners.len()), (1, 0));
    limits.note(ENDPOINT, rate(2.0), Millis(3), Millis(4));
    let news = limits.news();
    assert_eq!((news.all.len(), news.owners.len()), (0, 1));
    let news = limits.news();
    assert_eq!((news.all.len(), news.owners.len()), (0, 0));
}

#[rstest]
fn an_endpoint_that_is_gone_is_forgotten_but_not_one_whose_record_lags() {
    let mut limits = Limits::default();
    limits.note(ENDPOINT, rate(3.0), Millis(1), Millis(2));
    limits.expire(|_| false, Millis(5_000));
    assert_eq!(limits.rate(ENDPOINT), rate(3.0));
    limits.expire(|it| it == ENDPOINT, Millis(60_000));
    assert_eq!(limits.rate(ENDPOINT), rate(3.0));
    limits.expire(|_| false, Millis(60_000));
    assert_eq!(limits.rate(ENDPOINT), None);
}

struct Used {
    named: f64,
    used: f64,
}

#[rstest]
#[case(Used { named: 3.0, used: 3.0 })]
#[case(Used { named: 0.1, used: 0.1 })]
#[case(Used { named: 0.001, used: 0.02 })]
#[case(Used { named: 0.0, used: 0.1 })]
fn an_endpoint_that_takes_next_to_nothing_is_asked_now_and_then(#[case] case: Used) {
    let limit = limits::limit(Rate::try_from(case.named).unwrap());
    assert_eq!(limit.units_per_second, case.used);
}

#[rstest]
fn those_who_are_refused_are_sent_to_the_end_of_the_queue() {
    let mut queues = Queues::default();
    let mut join = |now| queues.join(ENDPOINT, 2.0, 500, Millis(now));
    assert_eq!([join(0), join(0), join(0)], [500, 1_000, 1_500]);
    // Two of three were served meanwhile.
    assert_eq!(join(1_000), 1_000);
    assert!((0..100).map(|_| join(1_000)).all(|it| it <= 10_000));
}
