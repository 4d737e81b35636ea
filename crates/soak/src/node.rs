//! One node: its place, and the lives of its process.

use crate::processor::Limit;
use crosslane_platform_standins::texts::{self, FILE_VARIABLE, Place};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::Value;
use std::fs::File;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::process::{Child, Command};
use tokio::time::sleep;

/// Bytes of a kilobyte.
const KILOBYTE: u64 = 1_024;

/// Time for a line to get into the log, and pause between looks.
const LOGGED: Duration = Duration::from_secs(5);
const LOOK: Duration = Duration::from_millis(50);

/// One life of a node's process.
#[derive(Debug)]
pub struct Life {
    /// When it began.
    pub began: Instant,
    /// Whether it was killed or stood still, so that it may break anything off.
    broken: AtomicBool,
    /// Whether its stop was announced.
    stopped: AtomicBool,
    /// Newest configuration that it showed.
    pub version: AtomicU64,
}

impl Life {
    fn new() -> Arc<Self> {
        let (broken, stopped, version) =
            (AtomicBool::new(false), AtomicBool::new(false), AtomicU64::new(0));
        Arc::new(Self { began: Instant::now(), broken, stopped, version })
    }

    /// Whether it runs undisturbed for some time.
    pub fn in_touch(&self, time: Duration) -> bool {
        self.sound() && !self.stopped.load(Ordering::Relaxed) && self.began.elapsed() > time
    }

    /// Whether it was neither killed nor stood still.
    pub fn sound(&self) -> bool {
        !self.broken.load(Ordering::Relaxed)
    }
}

/// A node.
#[derive(Debug)]
pub struct Node {
    place: Place,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: tokio::sync::Mutex<Option<Child>>,
    /// Its process id while it runs; signals are sent while others wait for its end.
    id: AtomicU32,
    life: Mutex<Arc<Life>>,
    /// Whether its process was started before.
    has_started: AtomicBool,
    /// When it was killed or stood still for the last time.
    broken_at: Mutex<Option<Instant>>,
}

impl Node {
    /// A node whose process is not running yet.
    pub fn new(place: Place, program: &Path, folder: &Path) -> Self {
        let settings = folder.join(format!("{}.toml", place.vm));
        let log = folder.join(format!("{}.log", place.vm));
        let (program, life) = (program.to_owned(), Mutex::new(Life::new()));
        let (child, id) = (tokio::sync::Mutex::default(), AtomicU32::new(0));
        let has_started = AtomicBool::new(false);
        let broken_at = Mutex::default();
        Self { place, program, settings, log, child, id, life, has_started, broken_at }
    }

    /// Its IP address.
    pub fn ip(&self) -> IpAddr {
        self.place.ip
    }

    /// Ports that its process listens on while it runs.
    pub fn ports(&self) -> [u16; 4] {
        self.place.ports()
    }

    /// Address for callers.
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.place.ip, self.place.callers)
    }

    /// Address at which readiness is asked.
    pub fn ready(&self) -> SocketAddr {
        SocketAddr::new(self.place.ip, self.place.ready)
    }

    /// The life of its process now, or the last one.
    pub fn life(&self) -> Arc<Life> {
        self.life.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Writes the settings file anew.
    pub fn write_settings(&self) -> io::Result<()> {
        let first_start = !self.has_started.load(Ordering::Relaxed);
        let place = Place { first_start, ..self.place.clone() };
        std::fs::write(&self.settings, texts::settings(&place))
    }

    /// Starts the process unless it runs.
    pub async fn start(&self) -> io::Result<()> {
        let mut child = self.child.lock().await;
        if child.is_some() {
            return Ok(());
        }
        self.write_settings()?;
        let log = File::options().create(true).append(true).open(&self.log)?;
        *self.life.lock().unwrap_or_else(PoisonError::into_inner) = Life::new();
        let process = Command::new(&self.program)
            .arg("site")
            .env(FILE_VARIABLE, &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        self.has_started.store(true, Ordering::Relaxed);
        self.id.store(process.id().unwrap_or(0), Ordering::Relaxed);
        *child = Some(process);
        Ok(())
    }

    /// Sends a signal. A process that is killed or stands still no longer counts as sound.
    pub fn signal(&self, signal: Signal) {
        if matches!(signal, Signal::SIGKILL | Signal::SIGSTOP) {
            self.life().broken.store(true, Ordering::Relaxed);
            *self.broken_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
        }
        if signal == Signal::SIGTERM {
            self.life().stopped.store(true, Ordering::Relaxed);
        }
        let id = self.id.load(Ordering::Relaxed);
        if id > 0 {
            // One that ended meanwhile is found by whoever waits for it.
            let _ = kill(Pid::from_raw(id.cast_signed()), signal);
        }
    }

    /// Limits its process to a share of a processor core, until the limit is dropped.
    pub fn limit_processor(&self, share: f64) -> Limit {
        Limit::start(self.id.load(Ordering::Relaxed), share)
    }

    /// Waits until the process has ended, and returns its exit code if it ended by itself.
    pub async fn ended(&self) -> Option<i32> {
        let mut child = self.child.lock().await;
        let status = child.as_mut()?.wait().await.ok()?;
        self.id.store(0, Ordering::Relaxed);
        *child = None;
        status.code()
    }

    /// Whether it says one of these things of a request, in a line of its log that may still be on its way.
    pub async fn told(&self, request: &str, what: &[&str]) -> bool {
        let says = |line: &String| what.iter().any(|it| line.contains(it));
        self.lines_until(request, says).await.iter().any(says)
    }

    /// Lines of its log on a request, once one of them is there, or the time for it is over.
    async fn lines_until(&self, request: &str, last: impl Fn(&String) -> bool) -> Vec<String> {
        let named = format!("\"{request}\"");
        let end = Instant::now() + LOGGED;
        loop {
            let mut lines = self.lines();
            lines.retain(|line| line.contains(&named));
            if lines.iter().any(&last) || Instant::now() > end {
                return lines;
            }
            sleep(LOOK).await;
        }
    }

    /// Whether it was killed or stood still since a time.
    pub fn broke_since(&self, time: Instant) -> bool {
        self.broken_at.lock().unwrap_or_else(PoisonError::into_inner).is_some_and(|at| at >= time)
    }

    /// Addresses of the nodes to which it forwarded a request, which its line on the request's end follows.
    pub async fn forwarded_to(&self, request: &str) -> Vec<String> {
        let ends = |line: &String| line.contains("\"event\":\"request\"");
        let lines = self.lines_until(request, ends).await;
        let parsed = lines.iter().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        let forwarded = parsed.filter(|line| line["event"] == "forward");
        forwarded.filter_map(|line| line["to"].as_str().map(str::to_owned)).collect()
    }

    /// Lines of its log so far.
    pub fn lines(&self) -> Vec<String> {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().map(str::to_owned).collect()
    }

    /// Resident memory at its peak, in megabytes; zero if it does not run.
    pub fn peak_megabytes(&self) -> u64 {
        let id = self.id.load(Ordering::Relaxed);
        let text = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = text.lines().find_map(|it| it.strip_prefix("VmHWM:"));
        let kilobytes = line.and_then(|it| it.trim().trim_end_matches(" kB").parse::<u64>().ok());
        kilobytes.unwrap_or(0) / KILOBYTE
    }
}
