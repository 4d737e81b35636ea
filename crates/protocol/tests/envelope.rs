//! Log records as written: torn ones are skipped, newer ones stop the reader.

use crosslane_coordination::record::Record;
use crosslane_protocol::envelope::{Error, Raw, write};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

fn read(text: &str) -> Result<Record, Error> {
    Record::try_from(Raw(text))
}

#[rstest]
fn what_is_written_is_read() {
    let record = Record::Back { vm: "decode-0".to_owned() };
    assert_eq!(read(&write(&record)), Ok(record));
}

#[rstest]
#[case("")]
#[case("{}")]
#[case("{\"format\":1}")]
#[case("{\"format\":1,\"record\":{\"type\":\"unheard_of\"}}")]
#[case("{\"format\":1,\"record\":{\"type\":\"back\"}}")]
fn torn(#[case] text: &str) {
    assert!(matches!(read(text), Err(Error::Torn { .. })), "{text}");
}

#[rstest]
fn newer() {
    let text = "{\"format\":2,\"record\":{\"type\":\"back\",\"vm\":\"v\"}}";
    assert_eq!(read(text), Err(Error::Newer { format: 2 }));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 5_000,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_text_and_any_torn_record_is_refused_or_read(
        text in ".{0,200}",
        keep in 0..200usize,
    ) {
        let whole = write(&Record::Withdraw { publication: text.clone() });
        let torn: String = whole.chars().take(keep).collect();
        for text in [text, torn] {
            prop_assert!(read(&text).is_ok() == (text == whole));
        }
    }
}
