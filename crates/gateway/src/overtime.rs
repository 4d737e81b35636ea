//! Reads the body of an answer until a time, though it may always be ready: a time limit alone ends only waits.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use std::future::pending;
use tokio::time::error::Elapsed;
use tokio::time::{Instant, timeout_at};

/// What may be read after its time, in bytes: a caller who reads late still gets what had arrived.
const MAX_BYTES: usize = 128 << 10;

/// What a frame counts at least: each takes processor time, however short it is.
const FRAME_BYTES: usize = 512;

/// Reads the frames of one body.
#[derive(Debug, Default)]
pub struct Overtime {
    /// Size of what was read after its time.
    bytes: usize,
}

impl Overtime {
    /// Whether any was read.
    pub fn has_begun(&self) -> bool {
        self.bytes > 0
    }

    /// Next frame, if it arrives in time.
    pub async fn frame(
        &mut self,
        body: &mut Incoming,
        until: Instant,
    ) -> Result<Option<hyper::Result<Frame<Bytes>>>, Elapsed> {
        if self.bytes > MAX_BYTES && Instant::now() >= until {
            return timeout_at(until, pending()).await;
        }
        let frame = timeout_at(until, body.frame()).await?;
        if Instant::now() >= until
            && let Some(Ok(frame)) = &frame
        {
            self.bytes += frame.data_ref().map_or(0, Bytes::len).max(FRAME_BYTES);
        }
        Ok(frame)
    }
}
