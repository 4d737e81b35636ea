//! Replay of the control stream: all nodes reach the same state, despite duplicates and gaps.

use crosslane_coordination::control_log::{Error, Outcome, State};
use crosslane_coordination::record::{Leave, Record};
use crosslane_state::incarnation::Incarnation;
use crosslane_state::member::Member;
use crosslane_state::policy::Version;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

const DOMAINS: [&str; 2] = ["Aarau", "Olten"];

fn join(vm: u64, incarnation: u64) -> Record {
    let address = ([127, 0, 0, 1], 9).into();
    Record::Join {
        member: Member {
            incarnation: Incarnation(incarnation),
            vm: format!("entry-{vm}"),
            domain: DOMAINS[vm as usize % 2].to_owned(),
            control: address,
            forward: address,
        },
    }
}

fn publish(id: &str, base: u64) -> Record {
    Record::Publish {
        id: id.to_owned(),
        base: Version(base),
        program: format!("program of {id}"),
        author: "operator".to_owned(),
    }
}

fn confirm(version: u64, domain: &str) -> Record {
    Record::Confirm { version: Version(version), domain: domain.to_owned() }
}

fn leave(id: &str, vm: &str) -> Record {
    Record::Leave { leave: Leave { id: id.to_owned(), vm: vm.to_owned(), node: None } }
}

fn replayed(records: &[Record]) -> State {
    let mut state = State::default();
    for (offset, record) in records.iter().enumerate() {
        state.replay(offset as u64, Some(record.clone())).unwrap();
    }
    state
}

struct Case {
    name: &'static str,
    records: Vec<Record>,
    version: u64,
    accepted: bool,
    outcomes: Vec<(&'static str, Outcome)>,
}

#[rstest]
#[case(Case {
    name: "the first of two publications with the same base is applied, the other one loses",
    records: vec![publish("a", 0), publish("b", 0)],
    version: 1,
    accepted: false,
    outcomes: vec![("a", Outcome::Applied(Version(1))), ("b", Outcome::Conflict(Version(1)))],
})]
#[case(Case {
    name: "a duplicate publication has no effect",
    records: vec![publish("a", 0), publish("a", 0), publish("a", 1)],
    version: 1,
    accepted: false,
    outcomes: vec![("a", Outcome::Applied(Version(1)))],
})]
#[case(Case {
    name: "accepted once every failure domain with members has confirmed",
    records: vec![join(0, 1), join(1, 2), publish("a", 0), confirm(1, "Aarau"), confirm(1, "Olten")],
    version: 1,
    accepted: true,
    outcomes: vec![],
})]
#[case(Case {
    name: "not accepted while a failure domain has not confirmed",
    records: vec![join(0, 1), join(1, 2), publish("a", 0), confirm(1, "Aarau")],
    version: 1,
    accepted: false,
    outcomes: vec![],
})]
#[case(Case {
    name: "accepted once the unconfirmed domain has no members",
    records: vec![
        join(0, 1),
        join(1, 2),
        publish("a", 0),
        confirm(1, "Aarau"),
        Record::Depart { incarnation: Incarnation(2), released: false },
    ],
    version: 1,
    accepted: true,
    outcomes: vec![],
})]
#[case(Case {
    name: "a withdrawn policy is replaced under a higher version",
    records: vec![publish("a", 0), Record::Withdraw { publication: "a".into() }],
    version: 2,
    accepted: false,
    outcomes: vec![("a", Outcome::Withdrawn)],
})]
#[case(Case {
    name: "an accepted policy can't be withdrawn",
    records: vec![
        join(0, 1),
        publish("a", 0),
        confirm(1, "Aarau"),
        Record::Withdraw { publication: "a".into() },
    ],
    version: 1,
    accepted: true,
    outcomes: vec![("a", Outcome::Applied(Version(1)))],
})]
#[case(Case {
    name: "a confirmation of an older version does not count for the newest",
    records: vec![join(0, 1), publish("a", 0), publish("b", 1), confirm(1, "Aarau")],
    version: 2,
    accepted: false,
    outcomes: vec![],
})]
fn policy(#[case] case: Case) {
    let state = replayed(&case.records);
    assert_eq!(state.version(), Version(case.version), "{}", case.name);
    assert_eq!(state.history.back().unwrap().accepted, case.accepted, "{}", case.name);
    for (id, outcome) in case.outcomes {
        assert_eq!(state.outcome(id), Some(&outcome), "{}", case.name);
    }
}

#[rstest]
fn a_new_incarnation_replaces_the_old_one_and_is_not_leaving() {
    let state = replayed(&[join(0, 1), leave("l", "entry-0"), join(0, 5)]);
    assert_eq!(state.roster.len(), 1);
    assert!(state.roster.get(Incarnation(5)).is_some());
    assert!(state.leaving.is_empty());
    // A duplicate of the announcement applies only to the old incarnation.
    let duplicated =
        replayed(&[join(0, 1), leave("l", "entry-0"), join(0, 5), leave("l", "entry-0")]);
    assert!(duplicated.leaving.is_empty());
}

#[rstest]
fn an_older_incarnation_does_not_replace_a_newer_one() {
    let state = replayed(&[join(0, 5), join(0, 1)]);
    assert!(state.roster.get(Incarnation(5)).is_some());
}

#[rstest]
fn a_checkpoint_replaces_truncated_records() {
    let before = [join(0, 1), publish("a", 0), confirm(1, "Aarau")];
    let whole = replayed(&before);
    let checkpoint = Record::Checkpoint { state: Box::new(whole.clone()) };
    let mut restored = State::default();
    assert_eq!(
        restored.replay(4, Some(publish("b", 1))),
        Err(Error::Gap { expected: 0, found: 4 }),
        "a gap is an error"
    );
    restored.replay(3, Some(checkpoint.clone())).unwrap();
    assert_eq!(restored.next_offset, 3, "replay continues at the offset of the checkpoint");
    let mut other = whole;
    for state in [&mut restored, &mut other] {
        state.replay(3, Some(checkpoint.clone())).unwrap();
        state.replay(4, Some(publish("b", 1))).unwrap();
    }
    assert_eq!(restored, other);
}

fn any_record() -> impl Strategy<Value = Option<Record>> {
    let id = || prop::sample::select(vec!["a", "b", "c", "d"]);
    prop_oneof![
        (0..4u64, 1..9u64).prop_map(|(vm, incarnation)| Some(join(vm, incarnation))),
        (1..9u64, any::<bool>()).prop_map(|(incarnation, released)| {
            Some(Record::Depart { incarnation: Incarnation(incarnation), released })
        }),
        (id(), 0..4u64).prop_map(|(id, base)| Some(publish(id, base))),
        id().prop_map(|id| Some(Record::Withdraw { publication: id.to_owned() })),
        (0..5u64, prop::sample::select(DOMAINS.to_vec()))
            .prop_map(|(version, domain)| Some(confirm(version, domain))),
        (id(), 0..4u64).prop_map(|(id, vm)| Some(leave(id, &format!("entry-{vm}")))),
        (0..4u64).prop_map(|vm| Some(Record::Back { vm: format!("entry-{vm}") })),
        Just(None),
    ]
}

/// Fixed seed, so that every run plays the same histories.
fn config(cases: u32) -> ProptestConfig {
    ProptestConfig { cases, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config(2_000))]

    /// One node reads each record once; another reads duplicates and restarts from serialized state.
    #[test]
    fn two_nodes_fold_alike(
        records in prop::collection::vec(any_record(), 1..60),
        repeats in prop::collection::vec(0..60usize, 0..40),
        cut in 0..60usize,
    ) {
        let mut first = State::default();
        let mut version = Version(0);
        let mut accepted = Version(0);
        for (offset, record) in records.iter().enumerate() {
            first.replay(offset as u64, record.clone()).unwrap();
            prop_assert!(first.version() >= version, "versions never decrease");
            version = first.version();
            for publication in &first.history {
                if publication.accepted {
                    accepted = accepted.max(publication.version);
                }
            }
            prop_assert!(first.version() >= accepted, "an accepted version is never reverted");
        }
        let mut second = State::default();
        for (offset, record) in records.iter().enumerate() {
            if offset == cut {
                let text = serde_json::to_string(&second).unwrap();
                second = serde_json::from_str(&text).unwrap();
            }
            for repeat in repeats.iter().filter(|earlier| **earlier < offset) {
                second.replay(*repeat as u64, records[*repeat].clone()).unwrap();
            }
            second.replay(offset as u64, record.clone()).unwrap();
        }
        prop_assert_eq!(first, second);
    }
}
