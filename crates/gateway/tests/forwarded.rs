//! Answers of other nodes to forwarded requests whose status is invalid, or informational where a final one is due.

mod node;

use bytes::Bytes;
use crosslane_coordination::heartbeat::Interval;
use crosslane_gateway::exchange::Call;
use crosslane_gateway::forward::Request;
use crosslane_gateway::members::Heartbeat;
use crosslane_gateway::mirror::{Offsets, Topic};
use crosslane_gateway::node::{Node, lock};
use crosslane_gateway::quota::Grant;
use crosslane_platform::request::Metadata;
use crosslane_platform::store::{CONFIGURATION_KEY, Page, Record};
use crosslane_state::priority::Priority;
use crosslane_state::residency::Residency;
use hyper::{HeaderMap, Method};
use rstest::rstest;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::Instant;

/// Far longer than any case takes.
const LIMIT: Duration = Duration::from_secs(20);

/// Statuses that end no call (RFC 9110, section 15).
const STATUSES: [&str; 6] = ["000", "099", "101", "600", "700", "999"];

const CONFIGURATION: &str = r#"{"version":1,"routes":[
    {"name":"search","host":"desk.example","path-prefix":"/search/","kind":"safe","timeout-ms":9000,
     "target-latency-ms":900,"service":"pages","max-attempts":2},
    {"name":"confirm","host":"desk.example","path-prefix":"/confirm/","kind":"unsafe","timeout-ms":9000,
     "target-latency-ms":900,"service":"pages","max-attempts":2}],
    "services":[{"name":"pages"}],
    "limits":{"max-header-bytes":16384,"max-body-bytes":65536,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#;

fn ip(last: u8) -> IpAddr {
    [127, 84, 9, last].into()
}

/// A node that sees two others, which take forwarded requests at this port.
fn start(port: u16) -> Arc<Node> {
    let mut settings = node::settings();
    settings.fixed.ip = ip(2);
    settings.fixed.forward_port = Some(port);
    settings.adjustable.seeds = [2, 3, 4].map(ip).into();
    let node = Arc::new(Node::new(settings).unwrap());
    let value = Some(Bytes::from_static(CONFIGURATION.as_bytes()));
    let record = Record { offset: 0, key: CONFIGURATION_KEY.into(), value };
    let page = Page { records: vec![record], end: 1 };
    let change = node.mirror().merge(Topic::Operators, page, None);
    node.apply(change, "test");
    for last in [3, 4] {
        let heartbeat = Heartbeat {
            vm: format!("n{last}"),
            domain: node::DOMAIN.into(),
            interval: Interval { near_ms: 20_000, far_ms: 20_000 },
            active: true,
            store_reachable: true,
            store_recovered_ago_ms: None,
            offsets: Offsets { configuration: 1, endpoints: 0 },
            usage: Vec::new(),
            stage_changes: Vec::new(),
            limits_digest: 0,
        };
        lock(&node.members).record_heartbeat(ip(last), &heartbeat, node.now());
    }
    node
}

fn request(node: &Arc<Node>, path: &str) -> Request {
    let mut headers = HeaderMap::new();
    headers.insert("x-crosslane-request-id", "r1".parse().unwrap());
    headers.insert("host", "desk.example".parse().unwrap());
    let call = Call {
        metadata: Arc::new(Metadata::try_from(&headers).unwrap()),
        method: Method::GET,
        uri: path.parse().unwrap(),
        body: Bytes::new(),
        arrived: Instant::now(),
        deadline: node.clock.deadline(LIMIT),
        caller_deadline: node.clock.deadline(LIMIT),
        fingerprint: Arc::default(),
        segments: Arc::new([]),
        grant: Arc::new(Grant::unlimited(node)),
        residency: Residency::ANYWHERE,
        priority: Priority { organisation: 0, route: 0 },
        build: Arc::default(),
        connected: Arc::default(),
        prefilled: Arc::default(),
        may_forward: true,
    };
    let table = node.table().unwrap();
    Request::new(&call, table.find("desk.example", path).unwrap())
}

/// Answers the first forwarded request with a status, and the others with 200.
fn serve(listener: TcpListener, status: &'static str, asked: Arc<AtomicUsize>) {
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 4_096]).await;
            let is_first = asked.fetch_add(1, Ordering::SeqCst) == 0;
            let status = if is_first { status } else { "200" };
            let answer = format!("HTTP/1.1 {status} A\r\ncontent-length: 4\r\n\r\npage");
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
}

struct Case {
    name: &'static str,
    path: &'static str,
    status: u16,
    asked: usize,
}

/// The status was passed on to the caller, as an answer.
#[rstest]
#[case(Case { name: "at most one run", path: "/confirm/1", status: 502, asked: 1 })]
#[case(Case { name: "sent to the other one", path: "/search/1", status: 200, asked: 2 })]
#[tokio::test]
async fn a_status_that_ends_no_call_is_not_passed_on(#[case] case: Case) {
    for status in STATUSES {
        let first = TcpListener::bind((ip(3), 0)).await.unwrap();
        let port = first.local_addr().unwrap().port();
        let second = TcpListener::bind((ip(4), port)).await.unwrap();
        let asked = Arc::new(AtomicUsize::new(0));
        serve(first, status, asked.clone());
        serve(second, status, asked.clone());
        let node = start(port);
        let result = request(&node, case.path).send(&node, "pages").await;
        let answered = match result.expect("no node was asked") {
            Ok(response) => response.status(),
            Err(refusal) => refusal.into_response(None).status(),
        };
        assert_eq!(answered.as_u16(), case.status, "{}, {status}", case.name);
        assert_eq!(asked.load(Ordering::SeqCst), case.asked, "{}, {status}", case.name);
    }
}
