//! Stored log records: what is encoded can be decoded; malformed records and newer formats are told apart.

use crosslane_coordination::control_log::State;
use crosslane_coordination::record::{Leave, Record};
use crosslane_protocol::envelope::{Error, Raw, encode};
use crosslane_state::incarnation::Incarnation;
use crosslane_state::member::Member;
use crosslane_state::policy::Version;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

fn decode(text: &str) -> Result<Record, Error> {
    Record::try_from(Raw(text))
}

#[rstest]
fn record_round_trips() {
    let record = Record::Back { vm: "decode-0".to_owned() };
    assert_eq!(decode(&encode(&record)), Ok(record));
}

#[rstest]
fn checkpoint_round_trips() {
    let address = ([127, 0, 0, 1], 9).into();
    let member = Member {
        incarnation: Incarnation(1 << 60),
        vm: "entry-0".to_owned(),
        domain: "Aarau".to_owned(),
        control: address,
        forward: address,
    };
    let publish = Record::Publish {
        id: "one".to_owned(),
        base: Version(0),
        program: "program".to_owned(),
        author: "operator".to_owned(),
    };
    let leave = Leave { id: "leave".to_owned(), vm: "decode-0".to_owned(), node: None };
    let depart = Record::Depart { incarnation: Incarnation(7), released: true };
    let records = [Record::Join { member }, publish, Record::Leave { leave }, depart];
    let mut state = State::default();
    for (offset, record) in records.into_iter().enumerate() {
        state.replay(offset as u64, Some(record)).unwrap();
    }
    let checkpoint = Record::Checkpoint { state: Box::new(state) };
    assert_eq!(decode(&encode(&checkpoint)), Ok(checkpoint));
}

#[rstest]
#[case("")]
#[case("{}")]
#[case("{\"format\":1}")]
#[case("{\"format\":1,\"record\":{\"type\":\"unheard_of\"}}")]
#[case("{\"format\":1,\"record\":{\"type\":\"back\"}}")]
fn malformed_record_is_rejected(#[case] text: &str) {
    assert!(matches!(decode(text), Err(Error::Malformed { .. })), "{text}");
}

#[rstest]
fn newer_format_is_rejected() {
    let text = "{\"format\":2,\"record\":{\"type\":\"back\",\"vm\":\"v\"}}";
    assert_eq!(decode(text), Err(Error::NewerFormat { format: 2 }));
}

/// Proptest settings with a fixed seed, so that every run tests the same cases.
fn config(cases: u32) -> ProptestConfig {
    ProptestConfig { cases, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config(5_000))]

    #[test]
    fn only_complete_records_are_decoded(
        text in ".{0,200}",
        kept_chars in 0..200usize,
    ) {
        let whole = encode(&Record::Withdraw { publication: text.clone() });
        let truncated: String = whole.chars().take(kept_chars).collect();
        for text in [text, truncated] {
            prop_assert!(decode(&text).is_ok() == (text == whole));
        }
    }
}
