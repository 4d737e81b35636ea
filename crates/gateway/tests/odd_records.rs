//! Odd records of other writers among those of the endpoints.
//!
//! Guards against nodes that end, or stop following the list, at a record that is deeply nested, or has numbers that are too large.

mod node;

use bytes::Bytes;
use crosslane_coordination::choice::{Query, Terms};
use crosslane_gateway::mirror::Topic;
use crosslane_gateway::node::Node;
use crosslane_platform::store::{Page, Record};
use crosslane_state::endpoint::{Stage, Tag};
use crosslane_state::residency::Residency;
use rstest::rstest;

const NESTING: usize = 100_000;

/// A record with one field replaced, or added.
fn record(field: &str, value: &str) -> Bytes {
    let fields = [
        ("service", r#""models""#),
        ("address", r#""10.0.0.1:80""#),
        ("zone", r#""z""#),
        ("version", r#""v1""#),
        ("slots", "4"),
        ("state", r#""ready""#),
        ("stage", r#""decode""#),
        ("cold-remaining-ms", "0"),
        ("sequence", "4"),
        ("born", "7"),
    ];
    let kept = fields.into_iter().filter(|(name, _)| *name != field);
    let texts = kept.chain([(field, value)]).map(|(name, value)| format!(r#""{name}":{value}"#));
    format!("{{{}}}", texts.collect::<Vec<_>>().join(",")).into()
}

fn nested() -> String {
    ["[".repeat(NESTING), "]".repeat(NESTING)].concat()
}

struct Case {
    name: &'static str,
    odd: Bytes,
    /// Whether it names an endpoint to use.
    is_used: bool,
}

#[rstest]
#[case(Case { name: "nested models", odd: record("models", &nested()), is_used: true })]
#[case(Case { name: "a nested field that is not known", odd: record("more", &nested()), is_used: true })]
#[case(Case { name: "a nested service", odd: record("service", &nested()), is_used: false })]
#[case(Case { name: "nested without an end", odd: "[".repeat(NESTING).into(), is_used: false })]
#[case(Case { name: "nested objects", odd: r#"{"a":"#.repeat(NESTING).into(), is_used: false })]
#[case(Case { name: "most slots", odd: record("slots", "4294967295"), is_used: true })]
#[case(Case { name: "too many slots", odd: record("slots", "1e400"), is_used: false })]
#[case(Case { name: "a number too large in a field that is not known", odd: record("more", "1e400"), is_used: true })]
#[case(Case { name: "largest sequence", odd: record("sequence", "18446744073709551615"), is_used: true })]
#[case(Case { name: "too large a sequence", odd: record("sequence", "18446744073709551616"), is_used: false })]
#[case(Case { name: "born in no year", odd: record("born", "18446744073709551615"), is_used: false })]
#[case(Case { name: "cold for ever", odd: record("cold-remaining-ms", "1e308"), is_used: true })]
#[case(Case { name: "cold before", odd: record("cold-remaining-ms", "-1e308"), is_used: true })]
#[case(Case { name: "a port out of range", odd: record("address", r#""10.0.0.1:65536""#), is_used: false })]
#[case(Case { name: "no port", odd: record("address", r#""10.0.0.1:0""#), is_used: false })]
fn a_node_follows_the_list_past_odd_records(#[case] case: Case) {
    let node = Node::new(node::settings()).unwrap();
    let sound = record("", "0");
    let apply = |records: &[(&str, &Bytes)], from: u64| {
        let records = records.iter().enumerate().map(|(place, (key, value))| {
            let (offset, value) = (from + place as u64, Some((*value).clone()));
            Record { offset, key: (*key).into(), value }
        });
        let records: Vec<Record> = records.collect();
        let end = from + records.len() as u64;
        let from = (from > 0).then_some(from);
        let change = node.mirror().merge(Topic::Endpoints, Page { records, end }, from);
        node.apply(change, "test");
    };
    apply(&[("i-1", &sound), ("i-2", &case.odd)], 0);
    assert_eq!(node.pool().count(Stage::Decode), 1 + usize::from(case.is_used), "{}", case.name);
    let residency = Residency::ANYWHERE;
    let query = Query {
        service: "models",
        stage: Stage::Decode,
        capacity_tokens: 1_000,
        max_connections: 10,
        prompt_tokens: 0,
        prefers_fast: true,
        room: None,
        exclude: &[],
        terms: Terms { residency: &residency, build: None },
        point: Tag(5),
    };
    assert!(node.pool().choose(query, node.now()).is_some(), "{}", case.name);
    apply(&[("i-3", &sound), ("i-2", &sound)], 2);
    assert_eq!(node.pool().count(Stage::Decode), 3, "{}: records after it", case.name);
}
