//! Streams that callers take up at a node that missed what the others know, between nodes on the loopback interface.
//!
//! Guards against a stream that goes on at another version, since a node that was cut off or stood still believes that only one serves.

mod node;

use bytes::Bytes;
use crosslane_coordination::streams::{Name, Record as Stream};
use crosslane_gateway::mirror::Topic;
use crosslane_gateway::node::{Node, lock};
use crosslane_gateway::peers;
use crosslane_gateway::refusal::Reason;
use crosslane_gateway::resume::{self, Finding};
use crosslane_platform::request::Metadata;
use crosslane_platform::store::{CONFIGURATION_KEY, Page, Record};
use crosslane_state::build::Build;
use hyper::HeaderMap;
use rstest::rstest;
use std::net::{IpAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

const PATIENCE: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Longer than a stream and the return of its caller take.
const OBSERVED_MS: u64 = 60_000;

const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"drafts","host":"desk.example","path-prefix":"/a/","kind":"streaming",
    "resumable":true,"timeout-ms":14000,"target-latency-ms":900,"priority":1,"service":"models","max-attempts":2}],
    "services":[{"name":"models","health-path":"/health"}],
    "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#;

fn ip(last: u8) -> IpAddr {
    [127, 84, 9, last].into()
}

fn endpoint(version: &str) -> Record {
    let value = format!(
        r#"{{"service":"models","address":"10.0.0.1:80","zone":"z","version":"{version}","slots":4,"state":"ready",
        "stage":"decode","cold-remaining-ms":0,"sequence":4,"born":7}}"#
    );
    Record { offset: 0, key: format!("i-{version}"), value: Some(value.into()) }
}

/// A running node that lists engines of some versions, and has observed them for long.
fn start(last: u8, port: u16, seeds: &[u8], versions: &[&str]) -> Arc<Node> {
    let mut settings = node::settings();
    settings.fixed.vm = format!("n{last}");
    settings.fixed.ip = ip(last);
    settings.fixed.peer_port = port;
    settings.adjustable.seeds = seeds.iter().map(|last| ip(*last)).collect();
    let node = Arc::new(Node::new(settings).unwrap());
    let value = Some(Bytes::from_static(CONFIGURATION.as_bytes()));
    let record = Record { offset: 0, key: CONFIGURATION_KEY.into(), value };
    let operators = Page { records: vec![record], end: 1 };
    let endpoints = Page { records: versions.iter().map(|name| endpoint(name)).collect(), end: 1 };
    for (topic, page) in [(Topic::Operators, operators), (Topic::Endpoints, endpoints)] {
        let change = node.mirror().merge(topic, page, None);
        node.apply(change, "test");
    }
    node.clock.skip(OBSERVED_MS);
    node.record_store_answer(false);
    tokio::spawn(peers::run(node.clone()));
    node
}

fn request() -> Metadata {
    let mut headers = HeaderMap::new();
    for (name, value) in [
        ("host", "desk.example"),
        ("x-crosslane-request-id", "r2"),
        ("last-event-id", "4"),
        ("resumes", "r1"),
    ] {
        headers.insert(name, value.parse().unwrap());
    }
    Metadata::try_from(&headers).unwrap()
}

/// What the other node is like.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Other {
    None,
    CutOff,
    /// It lists these versions, and was told which one began the stream.
    Knows {
        versions: &'static [&'static str],
        began: Option<&'static str>,
    },
}

struct Case {
    name: &'static str,
    other: Other,
    /// The version at which the stream may go on.
    expected: Option<&'static str>,
}

#[rstest]
#[case(Case { name: "no other node", other: Other::None, expected: Some("v1") })]
#[case(Case { name: "cut off from the other node", other: Other::CutOff, expected: None })]
#[case(Case {
    name: "the other node knows the same",
    other: Other::Knows { versions: &["v1"], began: None },
    expected: Some("v1"),
})]
#[case(Case {
    name: "a version joined, and the other node was told of the stream",
    other: Other::Knows { versions: &["v1", "v2"], began: Some("v2") },
    expected: Some("v2"),
})]
#[case(Case {
    name: "a version joined, and the other node was not told of the stream",
    other: Other::Knows { versions: &["v1", "v2"], began: None },
    expected: None,
})]
#[tokio::test]
async fn a_node_out_of_step_continues_no_stream_at_another_version(#[case] case: Case) {
    let port = UdpSocket::bind((ip(1), 0)).unwrap().local_addr().unwrap().port();
    let seeds: &[u8] = if case.other == Other::None { &[1] } else { &[1, 2] };
    let node = start(1, port, seeds, &["v1"]);
    if let Other::Knows { versions, began } = case.other {
        let other = start(2, port, seeds, versions);
        if let Some(version) = began {
            let build = Build::new("models", version);
            let name = Name::attempt("", "r1");
            resume::record(&other, &[Stream { name, build, keep_ms: 28_000 }]);
        }
        let hears = async {
            while lock(&node.members).candidates(node.now()).count() == 0 {
                sleep(POLL_INTERVAL).await;
            }
        };
        assert!(timeout(PATIENCE, hears).await.is_ok(), "{}: never heard", case.name);
    }
    let table = node.table().unwrap();
    let route = table.find("desk.example", "/a/x").unwrap();
    let found = resume::find(&node, &request(), route).await;
    let expected = case.expected.map(|version| Finding::Began(Build::new("models", version)));
    assert_eq!(found, expected.ok_or(Reason::UnknownStream), "{}", case.name);
}
