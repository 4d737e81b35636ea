//! A node whose standard output nobody reads: requests go on, and dropped lines are counted.

use crosslane_platform_standins::caller::{Caller, Ending};
use crosslane_platform_standins::endpoint::{Endpoint, Engines, Stage};
use crosslane_platform_standins::ledger::{Kind, Ledger};
use crosslane_platform_standins::ports;
use crosslane_platform_standins::store::{CONFIGURATION, ENDPOINTS, OPERATORS, Store};
use crosslane_platform_standins::texts::{self, FILE_VARIABLE, Place};
use crosslane_platform_standins::{caller, serve::Server};
use rstest::rstest;
use std::net::SocketAddr;
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout};

/// Callers at once.
const CALLERS: usize = 64;

/// Requests of each: each makes two lines, so that all together are far more than pipe and queue
/// hold.
const REQUESTS: usize = 100;

/// Longest wait for a condition; far beyond what a busy machine needs.
const PATIENCE: Duration = Duration::from_secs(60);

/// Time between looks at a condition.
const LOOK: Duration = Duration::from_millis(20);

struct Site {
    node: Child,
    callers: SocketAddr,
    metrics: SocketAddr,
    _servers: [Server; 2],
    ledger: Ledger,
}

async fn start() -> Site {
    let (store, ledger) = (Store::default(), Ledger::default());
    let (crashes, _) = tokio::sync::mpsc::unbounded_channel();
    let page = Endpoint::new(
        "p1".into(),
        Stage::Plain,
        texts::SOFTWARE.into(),
        ledger.clone(),
        Engines::default(),
        crashes,
    );
    let servers = [store.serve().await.unwrap(), page.serve().await.unwrap()];
    store.put(OPERATORS, CONFIGURATION, Some(texts::configuration(1, 0)));
    let record = texts::record(servers[1].address, Stage::Plain, "z", texts::SOFTWARE, false, 1);
    store.put(ENDPOINTS, "p1", Some(record));
    let [callers, ready, peers, metrics] = ports::for_node().unwrap();
    let place = Place::alone([callers, ready, peers], servers[0].address);
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), texts::settings(&place)).unwrap();
    let node = Command::new(env!("CARGO_BIN_EXE_crosslaned"))
        .args(["site", "--metrics-port", &metrics.port().to_string()])
        .env(FILE_VARIABLE, file.path())
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .unwrap();
    let wait = async {
        while !caller::ready(ready).await {
            sleep(LOOK).await;
        }
    };
    timeout(PATIENCE, wait).await.expect("the node is never ready");
    Site { node, callers, metrics, _servers: servers, ledger }
}

/// Lines that the node says it dropped.
async fn dropped(metrics: SocketAddr) -> u64 {
    let mut stream = TcpStream::connect(metrics).await.unwrap();
    stream.write_all(b"GET /metrics HTTP/1.0\r\n\r\n").await.unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).await.unwrap();
    let line = text.lines().find_map(|it| it.strip_prefix("crosslane_log_lines_dropped "));
    line.expect("no such metric").parse().unwrap()
}

#[rstest]
#[tokio::test]
async fn requests_go_on_while_nobody_reads_the_logs() {
    let mut site = start().await;
    let callers = (0..CALLERS).map(|name| {
        let mut caller = Caller::new(site.callers, site.ledger.clone());
        tokio::spawn(async move {
            for number in 0..REQUESTS {
                let id = format!("c{name}-{number}");
                assert_eq!(caller.send(&id, Kind::Confirm, None).await, Ending::Answered, "{id}");
            }
        })
    });
    for caller in callers.collect::<Vec<_>>() {
        caller.await.unwrap();
    }
    assert!(site.ledger.violations().is_empty());
    let dropped = dropped(site.metrics).await;
    assert!(dropped > 0, "no line was dropped: the test does not fill pipe and queue");
    // Once somebody reads again, the log tells of it too.
    let mut output = site.node.stdout.take().unwrap();
    let mut text = Vec::new();
    let mut caller = Caller::new(site.callers, site.ledger.clone());
    let wait = async {
        let mut chunk = vec![0; 65_536];
        while !String::from_utf8_lossy(&text).contains(r#""event":"dropped""#) {
            caller.send("again", Kind::Page, None).await;
            let length = output.read(&mut chunk).await.unwrap();
            text.extend(&chunk[..length]);
        }
    };
    timeout(PATIENCE, wait).await.expect("the log never tells of dropped lines");
}
