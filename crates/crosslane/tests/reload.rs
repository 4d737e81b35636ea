//! A node reads its settings file again on SIGHUP: it applies what it can, and names the rest in its log.

use crosslane_platform_standins::caller;
use crosslane_platform_standins::endpoint::{Endpoint, Engines, Stage};
use crosslane_platform_standins::ledger::{Kind, Ledger};
use crosslane_platform_standins::ports;
use crosslane_platform_standins::serve::Server;
use crosslane_platform_standins::store::{CONFIGURATION, ENDPOINTS, OPERATORS, Store};
use crosslane_platform_standins::texts::{self, FILE_VARIABLE, Place};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use rstest::rstest;
use serde_json::Value;
use std::net::SocketAddr;
use std::process::Stdio;
use std::time::Duration;
use tempfile::NamedTempFile;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::net::TcpStream;
use tokio::process::{Child, ChildStdout, Command};
use tokio::time::{sleep, timeout};

/// Longest wait for a condition; far beyond what a busy machine needs.
const PATIENCE: Duration = Duration::from_secs(60);

/// Time between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

struct Site {
    node: Child,
    lines: Lines<BufReader<ChildStdout>>,
    callers: SocketAddr,
    file: NamedTempFile,
    settings: String,
    _servers: Vec<Server>,
}

impl Site {
    /// Starts a node with an endpoint of each stage.
    async fn start() -> Self {
        let (store, ledger, engines) = (Store::default(), Ledger::default(), Engines::default());
        let (crashes, _) = tokio::sync::mpsc::unbounded_channel();
        let mut servers = vec![store.serve().await.unwrap()];
        store.put(OPERATORS, CONFIGURATION, Some(texts::configuration(1, 0)));
        for (id, stage) in [("e1", Stage::Prefill), ("e2", Stage::Decode), ("p1", Stage::Plain)] {
            let software = texts::SOFTWARE;
            let endpoint = Endpoint::new(
                id.into(),
                stage,
                software.into(),
                ledger.clone(),
                engines.clone(),
                crashes.clone(),
            );
            let server = endpoint.clone().serve().await.unwrap();
            engines.add(server.address.to_string(), endpoint);
            let record = texts::record(server.address, stage, "z", software, false, 1);
            store.put(ENDPOINTS, id, Some(record));
            servers.push(server);
        }
        loop {
            if let Some(site) = Self::try_start(servers[0].address).await {
                return Self { _servers: servers, ..site };
            }
        }
    }

    /// Starts a node, unless another process takes a free port before the node binds it.
    async fn try_start(store: SocketAddr) -> Option<Self> {
        let [callers, ready, peers, metrics] = ports::for_node().unwrap();
        let settings = texts::settings(&Place::alone([callers, ready, peers], store));
        let file = NamedTempFile::new().unwrap();
        std::fs::write(file.path(), &settings).unwrap();
        let mut node = Command::new(env!("CARGO_BIN_EXE_crosslaned"))
            .args(["site", "--metrics-port", &metrics.port().to_string()])
            .env(FILE_VARIABLE, file.path())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(node.stdout.take().unwrap()).lines();
        // Written once the ports are bound.
        next_line(&mut lines, "start").await?;
        let serving = async {
            while !caller::ready(ready).await {
                sleep(POLL_INTERVAL).await;
            }
        };
        timeout(PATIENCE, serving).await.expect("never ready");
        Some(Self { node, lines, callers, file, settings, _servers: Vec::new() })
    }

    fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.node.id().unwrap().cast_signed()), signal).unwrap();
    }

    /// Writes another settings file, and returns the line of the reload.
    async fn reload(&mut self, settings: &str) -> Value {
        std::fs::write(self.file.path(), settings).unwrap();
        self.signal(Signal::SIGHUP);
        self.next_line("reload").await
    }

    /// The next line of the log with an event.
    async fn next_line(&mut self, event: &str) -> Value {
        next_line(&mut self.lines, event).await.expect("the node has ended")
    }

    /// Sends a request for a stream.
    async fn request(&self, kind: Kind) -> Stream {
        let mut connection = TcpStream::connect(self.callers).await.unwrap();
        let head = format!(
            "GET {}1 HTTP/1.1\r\nhost: {}\r\nconnection: close\r\nx-crosslane-request-id: r1\r\n\
             x-crosslane-deadline-ms: 9000\r\nx-crosslane-token-count: 100,40\r\n\r\n",
            kind.prefix(),
            texts::HOST
        );
        connection.write_all(head.as_bytes()).await.unwrap();
        Stream { connection, text: String::new() }
    }
}

/// The next line of a log with an event; none if the node ends before.
async fn next_line(lines: &mut Lines<BufReader<ChildStdout>>, event: &str) -> Option<Value> {
    let find = async {
        while let Some(line) = lines.next_line().await.unwrap() {
            let line: Value = serde_json::from_str(&line).unwrap();
            if line["event"] == event {
                return Some(line);
            }
        }
        None
    };
    timeout(PATIENCE, find).await.expect("no such line")
}

/// A response, as far as it has been read.
struct Stream {
    connection: TcpStream,
    text: String,
}

impl Stream {
    /// Reads until a number of further events have arrived.
    async fn read_events(&mut self, count: usize) {
        let wanted = self.events() + count;
        let read = async {
            while self.events() < wanted {
                let mut piece = [0; 4_096];
                let length = self.connection.read(&mut piece).await.unwrap();
                assert!(length > 0, "cut after {}", self.text);
                self.text.push_str(std::str::from_utf8(&piece[..length]).unwrap());
            }
        };
        timeout(PATIENCE, read).await.expect("too few events");
    }

    fn events(&self) -> usize {
        self.text.matches("id: ").count()
    }

    async fn read_to_end(mut self) -> String {
        let read = self.connection.read_to_string(&mut self.text);
        timeout(PATIENCE, read).await.expect("no end").unwrap();
        self.text
    }
}

struct Case {
    name: &'static str,
    /// Parts of the settings file, and what replaces them.
    changes: &'static [(&'static str, &'static str)],
    applied: &'static str,
    restart: &'static str,
}

const CASES: [Case; 6] = [
    Case { name: "unchanged", changes: &[], applied: "", restart: "" },
    Case {
        name: "applied",
        changes: &[("grace-s = 8", "grace-s = 20")],
        applied: "bounds.grace-s",
        restart: "",
    },
    Case {
        name: "in force already, and a second one",
        changes: &[("grace-s = 8", "grace-s = 20"), ("budget-slack = 50", "budget-slack = 9")],
        applied: "bounds.budget-slack",
        restart: "",
    },
    Case {
        name: "taken back, and one that needs a restart",
        changes: &[("zone = \"z\"", "zone = \"y\"")],
        applied: "bounds.grace-s,bounds.budget-slack",
        restart: "zone",
    },
    Case {
        name: "those that need a restart still differ",
        changes: &[("zone = \"z\"", "zone = \"y\""), ("\"n1\"", "\"n2\"")],
        applied: "",
        restart: "node-name,zone",
    },
    Case { name: "all as at the start", changes: &[], applied: "", restart: "" },
];

#[rstest]
#[tokio::test]
async fn a_reload_names_what_it_applied_and_what_needs_a_restart() {
    let mut site = Site::start().await;
    for Case { name, changes, applied, restart } in CASES {
        let replace = |text: String, (from, to): &(&str, &str)| text.replace(from, to);
        let text = changes.iter().fold(site.settings.clone(), replace);
        let line = site.reload(&text).await;
        let named = (line["applied"].as_str(), line["restart"].as_str());
        assert_eq!(named, (Some(applied), Some(restart)), "{name}: {line}");
    }
}

#[rstest]
#[tokio::test]
async fn a_file_that_cant_be_used_changes_nothing() {
    let mut site = Site::start().await;
    let settings = site.settings.clone();
    let line = site.reload(&settings.replace("grace-s = 8", "grace-s = -1")).await;
    assert!(line["why"].as_str().is_some_and(|why| why.contains("grace-s")), "{line}");
    let line = site.reload(&settings).await;
    assert_eq!((line["applied"].as_str(), line["restart"].as_str()), (Some(""), Some("")));
}

/// With a grace shorter than what any request is given, a stopping node begins none.
#[rstest]
#[tokio::test]
async fn a_stop_after_a_reload_has_the_new_grace_period() {
    let mut site = Site::start().await;
    let answered = site.request(Kind::Draft).await.read_to_end().await;
    assert!(answered.starts_with("HTTP/1.1 200"), "{answered}");
    let settings = site.settings.replace("grace-s = 8", "grace-s = 0.5");
    site.reload(&settings).await;
    site.signal(Signal::SIGTERM);
    site.next_line("stop").await;
    let refused = site.request(Kind::Draft).await.read_to_end().await;
    assert!(refused.ends_with("stopping"), "{refused}");
}

#[rstest]
#[tokio::test]
async fn a_stream_goes_on_over_reloads() {
    let mut site = Site::start().await;
    let mut stream = site.request(Kind::Endless).await;
    stream.read_events(2).await;
    for grace in ["1", "20", "-1", "8"] {
        let settings = site.settings.replace("grace-s = 8", &format!("grace-s = {grace}"));
        site.reload(&settings).await;
        stream.read_events(2).await;
    }
}
