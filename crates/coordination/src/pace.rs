//! How fast bytes may be given away, so that the rest of a link stays for other uses.
//!
//! What may go at once is refilled over time. The last to go may overdraw it, so that a single large
//! piece is never refused for good.

use crosslane_state::time::Millis;

/// A refilled allowance of bytes.
#[derive(Clone, Debug)]
pub struct Pace {
    /// Bytes a second.
    rate: u64,
    /// Bytes that may go at once after a rest.
    burst: i64,
    left: i64,
    refilled: Millis,
}

impl Pace {
    /// So many bytes a second, and so many at once after a rest.
    pub fn new(rate: u64, burst: u32) -> Self {
        let burst = i64::from(burst);
        Self { rate, burst, left: burst, refilled: Millis::default() }
    }

    /// Whether something may go now.
    pub fn open(&mut self, now: Millis) -> bool {
        let gained = self.rate.saturating_mul(now.since(self.refilled)) / 1_000;
        // A part of a byte is not lost: the time is taken up only with a gain.
        if gained > 0 {
            self.left = self.left.saturating_add_unsigned(gained).min(self.burst);
            self.refilled = now;
        }
        self.left > 0
    }

    /// Takes what went.
    pub fn spend(&mut self, bytes: usize) {
        self.left -= i64::try_from(bytes).unwrap_or(i64::MAX);
    }
}
