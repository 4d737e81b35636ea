//! Clock of the process.
//!
//! It includes the time for which the machine was suspended, which timers and `Instant` leave out. What a
//! node has learned about others, the deadlines of callers and leases all age during a suspension, so ages
//! and deadlines use this clock; timers serve only for waits of milliseconds to seconds.

use crosslane_state::incarnation::Incarnation;
use crosslane_state::time::Millis;
use nix::time::{ClockId, clock_gettime};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Time since the machine booted, including suspensions.
pub fn boot() -> Duration {
    // Every supported system has this clock; without it no timeout would ever expire.
    clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the boot-time clock").into()
}

/// Monotonic time since the process started.
#[derive(Clone, Debug)]
pub struct Clock {
    start: Duration,
    /// Milliseconds added by `skip`.
    skipped_ms: Arc<AtomicU64>,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn start() -> Self {
        Self { start: boot(), skipped_ms: Arc::default() }
    }

    /// Time since the start.
    pub fn now(&self) -> Millis {
        let elapsed_ms = boot().saturating_sub(self.start).as_millis();
        let skipped_ms = self.skipped_ms.load(Ordering::Relaxed);
        Millis(u64::try_from(elapsed_ms).unwrap_or(u64::MAX).saturating_add(skipped_ms))
    }

    /// Advances the clock at once, as a suspension does.
    pub fn skip(&self, millis: u64) {
        self.skipped_ms.fetch_add(millis, Ordering::Relaxed);
    }

    /// Deadline after some time from now.
    pub fn deadline(&self, after: Duration) -> Deadline {
        let millis = u64::try_from(after.as_millis()).unwrap_or(u64::MAX);
        Deadline { clock: self.clone(), at: self.now() + millis }
    }
}

/// Point in time by which something must have ended.
#[derive(Clone, Debug)]
pub struct Deadline {
    clock: Clock,
    at: Millis,
}

impl Deadline {
    /// Time left until the deadline.
    pub fn left(&self) -> Duration {
        Duration::from_millis(self.at.since(self.clock.now()))
    }

    /// This deadline, moved by some time.
    pub fn later(&self, by: Duration) -> Self {
        let millis = u64::try_from(by.as_millis()).unwrap_or(u64::MAX);
        Self { clock: self.clock.clone(), at: self.at + millis }
    }

    /// Deadline as an instant for timers; too late if the machine is suspended before.
    pub fn instant(&self) -> Instant {
        Instant::now() + self.left()
    }
}

/// Creates an incarnation; it sorts after those created earlier on this VM.
pub fn incarnation() -> Incarnation {
    Incarnation::new(unix(), rand::random())
}

/// Unix time in milliseconds; not monotonic, as the system time can be set.
pub fn unix() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or_default()
}
