//! Limits the rate at which bytes are sent, so that the rest of a link stays free for other
//! traffic.
//!
//! A token bucket whose last piece may overdraw it, so that a single large piece is never refused
//! forever.

use crosslane_state::time::Millis;

/// Token bucket of bytes.
#[derive(Clone, Debug)]
pub struct Throttle {
    /// Bytes per second.
    rate: u64,
    /// Size of the bucket, in bytes.
    burst: i64,
    level: i64,
    refilled_at: Millis,
}

impl Throttle {
    /// Creates a full bucket of `burst` bytes that refills at `rate` bytes per second.
    pub fn new(rate: u64, burst: u32) -> Self {
        let burst = i64::from(burst);
        Self { rate, burst, level: burst, refilled_at: Millis::default() }
    }

    /// Changes the rate from now on.
    pub fn set_rate(&mut self, rate: u64, now: Millis) {
        self.refill(now);
        self.rate = rate;
    }

    /// Refills the bucket; true if a piece may be sent now.
    pub fn is_ready(&mut self, now: Millis) -> bool {
        self.refill(now);
        self.level > 0
    }

    /// Takes the bytes of a piece that was sent.
    pub fn consume(&mut self, bytes: usize) {
        self.level -= i64::try_from(bytes).unwrap_or(i64::MAX);
    }

    fn refill(&mut self, now: Millis) {
        let gained = self.rate.saturating_mul(now.since(self.refilled_at)) / 1_000;
        // Time that has not yet earned a whole byte is kept for the next call.
        if gained > 0 {
            self.level = self.level.saturating_add_unsigned(gained).min(self.burst);
            self.refilled_at = now;
        }
    }
}
