//! Which records of endpoints are used, and which are reported as invalid or stale.

use bytes::Bytes;
use crosslane_gateway::directory::Directory;
use rstest::rstest;
use std::collections::BTreeMap;

/// Record of an endpoint that started so many milliseconds after 1970.
fn record(born: u64, state: &str) -> Bytes {
    format!(
        r#"{{"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":4,"state":"{state}","cold-remaining-ms":0,"sequence":4,"born":{born}}}"#
    )
    .into()
}

fn invalid_record() -> Bytes {
    Bytes::from_static(b"\xff\xfe")
}

/// Successive records of one endpoint, beside another endpoint whose record stays.
struct Case {
    name: &'static str,
    records: Vec<Option<Bytes>>,
    /// Start time of the endpoint in use at the end, if any, and whether it is draining.
    in_use: Option<(u64, bool)>,
    /// Number of reported records.
    reported: usize,
}

#[rstest]
#[case(Case { name: "valid record", records: vec![Some(record(5, "ready"))], in_use: Some((5, false)), reported: 0 })]
#[case(Case {
    name: "restarted",
    records: vec![Some(record(5, "draining")), Some(record(6, "ready"))],
    in_use: Some((6, false)),
    reported: 0,
})]
#[case(Case {
    name: "record of an earlier incarnation arrives late",
    records: vec![Some(record(6, "ready")), Some(record(5, "draining"))],
    in_use: Some((6, false)),
    reported: 1,
})]
#[case(Case {
    name: "restarted without its record being deleted, then draining",
    records: vec![Some(record(5, "ready")), Some(record(6, "ready")), Some(record(6, "draining"))],
    in_use: Some((6, true)),
    reported: 0,
})]
#[case(Case { name: "never valid", records: vec![Some(invalid_record()); 3], in_use: None, reported: 1 })]
#[case(Case {
    name: "overwritten by an invalid record",
    records: vec![Some(record(5, "ready")), Some(invalid_record())],
    in_use: None,
    reported: 1,
})]
#[case(Case {
    name: "valid again after an invalid record",
    records: vec![Some(record(5, "ready")), Some(invalid_record()), Some(record(5, "ready"))],
    in_use: Some((5, false)),
    reported: 1,
})]
#[case(Case {
    name: "record of an earlier incarnation after an invalid one",
    records: vec![Some(record(6, "ready")), Some(invalid_record()), Some(record(5, "ready"))],
    in_use: None,
    reported: 2,
})]
#[case(Case {
    name: "unknown state",
    records: vec![Some(record(5, "ready")), Some(record(5, "sleeping"))],
    in_use: None,
    reported: 1,
})]
#[case(Case { name: "deleted", records: vec![Some(record(5, "ready")), None], in_use: None, reported: 0 })]
fn record_changes(#[case] case: Case) {
    let mut directory = Directory::default();
    let mut reported = 0;
    for bytes in &case.records {
        let mut records = BTreeMap::from([("other".to_owned(), record(1, "ready"))]);
        records.extend(bytes.clone().map(|bytes| ("one".to_owned(), bytes)));
        reported += directory.update(records.iter()).len();
        assert!(
            directory.endpoints().any(|endpoint| endpoint.id == "other"),
            "{}: the other endpoint stays",
            case.name
        );
    }
    let one = directory.endpoints().find(|endpoint| endpoint.id == "one");
    assert_eq!(
        one.map(|endpoint| (endpoint.started_unix_ms, endpoint.draining)),
        case.in_use,
        "{}",
        case.name
    );
    assert_eq!(reported, case.reported, "{}", case.name);
}
