//! What waits for a caller while its stream is moved to another engine.
//!
//! The bytes that an engine sends are read beside the move. An engine may send faster than the caller reads, or without end, so it is
//! read on only while less than a fixed size waits. In all other states of a stream a part is read once the caller takes it.

use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::Notify;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// Size at which no more is read from the engine, in bytes: some 260 events of 500 bytes. One more part of the response may be added, with
/// an event of 64 KB at most before it.
pub const MAX_BYTES: usize = 128 << 10;

/// Size of what waits, in bytes.
#[derive(Debug, Default)]
struct Fill {
    bytes: AtomicUsize,
    taken: Notify,
}

/// Side of the move.
#[derive(Debug)]
pub struct Sender {
    events: UnboundedSender<Bytes>,
    fill: Arc<Fill>,
}

/// Side of the caller.
#[derive(Debug)]
pub struct Receiver {
    events: UnboundedReceiver<Bytes>,
    fill: Arc<Fill>,
}

/// Creates an empty backlog.
pub fn channel() -> (Sender, Receiver) {
    let (sender, receiver) = unbounded_channel();
    let fill = Arc::<Fill>::default();
    (Sender { events: sender, fill: fill.clone() }, Receiver { events: receiver, fill })
}

impl Sender {
    /// Waits until more may be read for the caller.
    pub async fn has_room(&self) {
        while self.fill.bytes.load(Ordering::Acquire) >= MAX_BYTES {
            self.fill.taken.notified().await;
        }
    }

    /// Adds events.
    pub fn send(&self, events: Bytes) {
        self.fill.bytes.fetch_add(events.len(), Ordering::AcqRel);
        // Fails only while the stream is being dropped.
        let _ = self.events.send(events);
    }
}

impl Receiver {
    /// Takes the next events; none once the sender is dropped and all were taken.
    pub async fn recv(&mut self) -> Option<Bytes> {
        let events = self.events.recv().await?;
        self.fill.bytes.fetch_sub(events.len(), Ordering::AcqRel);
        self.fill.taken.notify_one();
        Some(events)
    }
}
