//! A signal that arrives while a node starts.

use crosslane_platform_standins::caller;
use crosslane_platform_standins::endpoint::Stage;
use crosslane_platform_standins::ports;
use crosslane_platform_standins::store::{CONFIGURATION, ENDPOINTS, OPERATORS, Store};
use crosslane_platform_standins::texts::{self, FILE_VARIABLE, Place};
use nix::sys::signal::{Signal, kill};
use nix::sys::stat::Mode;
use nix::unistd::{Pid, mkfifo};
use rstest::rstest;
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::process::Stdio;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::process::Command;
use tokio::time::{sleep, timeout};

/// Longest wait for a condition; far beyond what a busy machine needs.
const PATIENCE: Duration = Duration::from_secs(60);

/// Time between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

async fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap()
}

/// A node whose signal handlers are not installed yet is ended by SIGHUP, with all that it has accepted.
#[rstest]
#[tokio::test]
async fn a_reload_signal_during_the_start_does_not_end_the_node() {
    let store = Store::default();
    let server = store.serve().await.unwrap();
    store.put(OPERATORS, CONFIGURATION, Some(texts::configuration(1, 0)));
    let record = texts::record(free_address().await, Stage::Plain, "z", texts::SOFTWARE, false, 1);
    store.put(ENDPOINTS, "p1", Some(record));
    let [callers, ready, peers, metrics] = ports::for_node().unwrap();
    let folder = tempfile::tempdir().unwrap();
    let settings = folder.path().join("settings.toml");
    // The node waits for its settings until somebody writes to the pipe.
    mkfifo(&settings, Mode::S_IRWXU).unwrap();
    let mut node = Command::new(env!("CARGO_BIN_EXE_crosslaned"))
        .args(["site", "--metrics-port", &metrics.port().to_string()])
        .env(FILE_VARIABLE, &settings)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .kill_on_drop(true)
        .spawn()
        .unwrap();
    // Opens once the node reads.
    let path = settings.clone();
    let opened = tokio::task::spawn_blocking(|| File::options().write(true).open(path));
    let mut pipe = timeout(PATIENCE, opened).await.expect("never read").unwrap().unwrap();
    // The signal makes the node read its settings once more, this time from a file.
    let place = Place::alone([callers, ready, peers], server.address);
    std::fs::remove_file(&settings).unwrap();
    std::fs::write(&settings, texts::settings(&place)).unwrap();
    let id = Pid::from_raw(node.id().unwrap().cast_signed());
    kill(id, Signal::SIGHUP).unwrap();
    pipe.write_all(texts::settings(&place).as_bytes()).unwrap();
    drop(pipe);
    let serving = async {
        while !caller::ready(ready).await {
            assert!(node.try_wait().unwrap().is_none(), "ended by the signal");
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(PATIENCE, serving).await.expect("never ready");
}
