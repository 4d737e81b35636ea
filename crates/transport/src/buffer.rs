//! Output of one request, buffered so that several callers can each read it from the start.

use bytes::Bytes;
use crosslane_protocol::refusal::Refusal;
use crosslane_state::answer::Answer;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

/// How an output ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// Complete.
    Done,
    /// Refused, possibly after some pieces.
    Refused(Refusal),
}

/// Next item of a reader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Piece of the output.
    Piece(Bytes),
    /// End of the output.
    End(End),
}

/// Status and content type of the answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// HTTP status.
    pub status: u16,
    /// Value of `content-type`.
    pub content_type: String,
}

#[derive(Debug, Default)]
struct Inner {
    head: Option<Head>,
    pieces: Vec<Bytes>,
    end: Option<End>,
}

/// Buffered output that grows until it ends.
#[derive(Debug)]
pub struct Buffer {
    inner: Mutex<Inner>,
    changed: watch::Sender<()>,
    readers: AtomicUsize,
    abandoned: watch::Sender<bool>,
    keep_running: bool,
}

impl Default for Buffer {
    fn default() -> Self {
        Self {
            inner: Mutex::default(),
            changed: watch::Sender::new(()),
            readers: AtomicUsize::new(0),
            abandoned: watch::Sender::new(false),
            keep_running: false,
        }
    }
}

impl Buffer {
    /// Creates the buffer of a run that continues to its end even if all readers leave.
    pub fn run_to_end() -> Self {
        Self { keep_running: true, ..Self::default() }
    }

    /// Creates a complete buffer from a recorded answer.
    pub fn replay(answer: &Answer) -> Self {
        let buffer = Self::default();
        buffer.head(Head { status: answer.status, content_type: answer.content_type.clone() });
        for piece in &answer.chunks {
            buffer.push(Bytes::from(piece.clone()));
        }
        buffer.end(End::Done);
        buffer
    }

    /// Sets status and content type.
    pub fn head(&self, head: Head) {
        self.lock().head = Some(head);
    }

    /// Appends a piece.
    pub fn push(&self, piece: Bytes) {
        self.lock().pieces.push(piece);
        self.changed.send_replace(());
    }

    /// Ends the output; only the first call has an effect.
    pub fn end(&self, end: End) {
        self.lock().end.get_or_insert(end);
        self.changed.send_replace(());
    }

    /// Answer so far; complete only after the output has ended.
    pub fn answer(&self) -> Option<Answer> {
        let inner = self.lock();
        let head = inner.head.clone()?;
        Some(Answer {
            status: head.status,
            content_type: head.content_type,
            chunks: inner.pieces.iter().map(|piece| piece.to_vec()).collect(),
        })
    }

    /// Resolves once all readers have left, unless the run continues without readers.
    pub async fn is_abandoned(&self) {
        let mut abandoned = self.abandoned.subscribe();
        if abandoned.wait_for(|abandoned| *abandoned).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Creates a reader from the start; `None` if all earlier readers have left.
    pub fn reader(self: &Arc<Self>) -> Option<Reader> {
        let _guard = self.lock();
        if *self.abandoned.borrow() {
            return None;
        }
        self.readers.fetch_add(1, Ordering::Relaxed);
        Some(Reader { buffer: self.clone(), position: 0, changed: self.changed.subscribe() })
    }

    /// Removes a reader.
    fn leave(&self) {
        let _guard = self.lock();
        if self.readers.fetch_sub(1, Ordering::Relaxed) == 1 && !self.keep_running {
            self.abandoned.send_replace(true);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Read position of one caller.
#[derive(Debug)]
pub struct Reader {
    buffer: Arc<Buffer>,
    position: usize,
    changed: watch::Receiver<()>,
}

impl Reader {
    /// Waits for the next piece or the end.
    pub async fn next(&mut self) -> Step {
        loop {
            self.changed.mark_unchanged();
            if let Some(step) = self.step() {
                return step;
            }
            if self.changed.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Status and content type, if already set.
    pub fn head(&self) -> Option<Head> {
        self.buffer.lock().head.clone()
    }

    /// Reads all pieces up to the end.
    pub async fn read_to_end(&mut self) -> (Vec<Bytes>, End) {
        let mut pieces = Vec::new();
        loop {
            match self.next().await {
                Step::Piece(piece) => pieces.push(piece),
                Step::End(end) => return (pieces, end),
            }
        }
    }

    /// Next item, if available.
    fn step(&mut self) -> Option<Step> {
        let inner = self.buffer.lock();
        if let Some(piece) = inner.pieces.get(self.position) {
            self.position += 1;
            return Some(Step::Piece(piece.clone()));
        }
        inner.end.clone().map(Step::End)
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.buffer.leave();
    }
}
