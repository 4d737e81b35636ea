//! Directory: which records name an endpoint to use, and what is told of the others.

use bytes::Bytes;
use crosslane_gateway::directory::Directory;
use rstest::rstest;
use std::collections::BTreeMap;

/// A record of an endpoint that started so many milliseconds after 1970.
fn record(born: u64, state: &str) -> Bytes {
    format!(
        r#"{{"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":4,"state":"{state}","cold-remaining-ms":0,"sequence":4,"born":{born}}}"#
    )
    .into()
}

fn unreadable() -> Bytes {
    Bytes::from_static(b"\xff\xfe")
}

/// Changes of one endpoint's record, one after the other, beside another endpoint that stays.
struct Case {
    name: &'static str,
    records: Vec<Option<Bytes>>,
    /// Birth of the endpoint in use at the end, if any, and whether it leaves.
    used: Option<(u64, bool)>,
    /// Times that something was told of.
    told: usize,
}

#[rstest]
#[case(Case { name: "as it is", records: vec![Some(record(5, "ready"))], used: Some((5, false)), told: 0 })]
#[case(Case {
    name: "born again",
    records: vec![Some(record(5, "draining")), Some(record(6, "ready"))],
    used: Some((6, false)),
    told: 0,
})]
#[case(Case {
    name: "a former one's record comes late",
    records: vec![Some(record(6, "ready")), Some(record(5, "draining"))],
    used: Some((6, false)),
    told: 1,
})]
#[case(Case {
    name: "born again without its record having gone, then leaving",
    records: vec![Some(record(5, "ready")), Some(record(6, "ready")), Some(record(6, "draining"))],
    used: Some((6, true)),
    told: 0,
})]
#[case(Case { name: "never readable", records: vec![Some(unreadable()); 3], used: None, told: 1 })]
#[case(Case {
    name: "overwritten by what can't be read",
    records: vec![Some(record(5, "ready")), Some(unreadable())],
    used: None,
    told: 1,
})]
#[case(Case {
    name: "written anew after it",
    records: vec![Some(record(5, "ready")), Some(unreadable()), Some(record(5, "ready"))],
    used: Some((5, false)),
    told: 1,
})]
#[case(Case {
    name: "a former one's after what can't be read",
    records: vec![Some(record(6, "ready")), Some(unreadable()), Some(record(5, "ready"))],
    used: None,
    told: 2,
})]
#[case(Case {
    name: "another state",
    records: vec![Some(record(5, "ready")), Some(record(5, "sleeping"))],
    used: None,
    told: 1,
})]
#[case(Case { name: "gone", records: vec![Some(record(5, "ready")), None], used: None, told: 0 })]
fn changes(#[case] case: Case) {
    let mut directory = Directory::default();
    let mut told = 0;
    for bytes in &case.records {
        let mut records = BTreeMap::from([("other".to_owned(), record(1, "ready"))]);
        records.extend(bytes.clone().map(|it| ("one".to_owned(), it)));
        told += directory.take(records.iter()).len();
        assert!(directory.endpoints().any(|it| it.id == "other"), "{}: the other holds", case.name);
    }
    let one = directory.endpoints().find(|it| it.id == "one");
    assert_eq!(one.map(|it| (it.started_unix_ms, it.draining)), case.used, "{}", case.name);
    assert_eq!(told, case.told, "{}", case.name);
}
