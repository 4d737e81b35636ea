//! A share of a processor core for a process, as a small VM has: full speed until the share of a period is used up, then nothing
//! until the next one.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::fs;
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Period of the share.
const PERIOD: Duration = Duration::from_millis(100);

/// Pause between looks at what was used.
const LOOK: Duration = Duration::from_millis(1);

/// Limits the main thread of a process until it is dropped.
#[derive(Debug)]
pub struct Limit {
    process: Pid,
    task: JoinHandle<()>,
}

impl Limit {
    /// Limits a process to a share of a core.
    pub fn start(process: u32, share: f64) -> Self {
        let process = Pid::from_raw(process.cast_signed());
        Self { process, task: tokio::spawn(hold(process, PERIOD.mul_f64(share))) }
    }
}

impl Drop for Limit {
    fn drop(&mut self) {
        self.task.abort();
        signal(self.process, Signal::SIGCONT);
    }
}

async fn hold(process: Pid, share: Duration) {
    let mut allowed = used(process);
    loop {
        let began = Instant::now();
        // What was used beyond the share is missing in the next period; what was left is not kept.
        allowed = allowed.max(used(process).saturating_sub(share)) + share;
        while began.elapsed() < PERIOD && used(process) < allowed {
            sleep(LOOK).await;
        }
        let rest = PERIOD.saturating_sub(began.elapsed());
        if !rest.is_zero() {
            signal(process, Signal::SIGSTOP);
            sleep(rest).await;
            signal(process, Signal::SIGCONT);
        }
    }
}

/// Processor time that the main thread has used; zero once it is gone.
fn used(process: Pid) -> Duration {
    let text = fs::read_to_string(format!("/proc/{process}/schedstat")).unwrap_or_default();
    let nanoseconds = text.split_whitespace().next().and_then(|number| number.parse().ok());
    Duration::from_nanos(nanoseconds.unwrap_or(0))
}

fn signal(process: Pid, signal: Signal) {
    // A process that ended meanwhile is found by whoever waits for it.
    let _ = kill(process, signal);
}
