//! The output of one running request, kept so that several callers can read it whole.

use bytes::Bytes;
use crosslane_protocol::refusal::Refusal;
use crosslane_state::answer::Answer;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

/// How an output ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// Whole.
    Done,
    /// With a refusal, possibly after some pieces.
    Refused(Refusal),
}

/// What a reader gets next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// A piece.
    Piece(Bytes),
    /// The end.
    End(End),
}

/// Status and type of the answer.
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

/// Output that grows until it ends.
#[derive(Debug)]
pub struct Tape {
    inner: Mutex<Inner>,
    changed: watch::Sender<()>,
    readers: AtomicUsize,
    deserted: watch::Sender<bool>,
    seen_through: bool,
}

impl Default for Tape {
    fn default() -> Self {
        Self {
            inner: Mutex::default(),
            changed: watch::Sender::new(()),
            readers: AtomicUsize::new(0),
            deserted: watch::Sender::new(false),
            seen_through: false,
        }
    }
}

impl Tape {
    /// A tape of a run that is seen through to its end, whoever reads it.
    pub fn seen_through() -> Self {
        Self { seen_through: true, ..Self::default() }
    }

    /// A tape that is already whole.
    pub fn replay(answer: &Answer) -> Self {
        let tape = Self::default();
        tape.head(Head { status: answer.status, content_type: answer.content_type.clone() });
        for piece in &answer.chunks {
            tape.push(Bytes::from(piece.clone()));
        }
        tape.end(End::Done);
        tape
    }

    /// Sets status and type.
    pub fn head(&self, head: Head) {
        self.lock().head = Some(head);
    }

    /// Adds a piece.
    pub fn push(&self, piece: Bytes) {
        self.lock().pieces.push(piece);
        self.changed.send_replace(());
    }

    /// Ends the output; a second end changes nothing.
    pub fn end(&self, end: End) {
        self.lock().end.get_or_insert(end);
        self.changed.send_replace(());
    }

    /// The answer so far; whole only if nothing more is to come.
    pub fn answer(&self) -> Option<Answer> {
        let inner = self.lock();
        let head = inner.head.clone()?;
        Some(Answer {
            status: head.status,
            content_type: head.content_type,
            chunks: inner.pieces.iter().map(|it| it.to_vec()).collect(),
        })
    }

    /// Resolves once every reader has left.
    pub async fn deserted(&self) {
        let mut deserted = self.deserted.subscribe();
        if deserted.wait_for(|it| *it).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Reads from the start; `None` when all readers had left before.
    pub fn reader(self: &Arc<Self>) -> Option<Reader> {
        let _guard = self.lock();
        if *self.deserted.borrow() {
            return None;
        }
        self.readers.fetch_add(1, Ordering::Relaxed);
        Some(Reader { tape: self.clone(), at: 0, changed: self.changed.subscribe() })
    }

    fn leave(&self) {
        let _guard = self.lock();
        if self.readers.fetch_sub(1, Ordering::Relaxed) == 1 && !self.seen_through {
            self.deserted.send_replace(true);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One caller's place on a tape.
#[derive(Debug)]
pub struct Reader {
    tape: Arc<Tape>,
    at: usize,
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

    /// Status and type, if known.
    pub fn head(&self) -> Option<Head> {
        self.tape.lock().head.clone()
    }

    /// Every piece until the end, joined.
    pub async fn whole(&mut self) -> (Vec<Bytes>, End) {
        let mut pieces = Vec::new();
        loop {
            match self.next().await {
                Step::Piece(piece) => pieces.push(piece),
                Step::End(end) => return (pieces, end),
            }
        }
    }

    fn step(&mut self) -> Option<Step> {
        let inner = self.tape.lock();
        if let Some(piece) = inner.pieces.get(self.at) {
            self.at += 1;
            return Some(Step::Piece(piece.clone()));
        }
        inner.end.clone().map(Step::End)
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.tape.leave();
    }
}
