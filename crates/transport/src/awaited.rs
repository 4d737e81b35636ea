//! A stream that reads no more than a fixed size until the head of an answer is there: informational heads before it may have no end.

use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Most that is read until the head is there, in bytes.
const MAX_BYTES: usize = 64 << 10;

/// What may be read until the head is there.
#[derive(Debug)]
pub struct Room(AtomicUsize);

impl Default for Room {
    fn default() -> Self {
        Self(AtomicUsize::new(usize::MAX))
    }
}

impl Room {
    /// A head is awaited from now on.
    pub fn limit(&self) {
        self.0.store(MAX_BYTES, Ordering::Release);
    }

    /// The head is there.
    pub fn lift(&self) {
        self.0.store(usize::MAX, Ordering::Release);
    }

    fn take(&self, bytes: usize) -> io::Result<()> {
        let left = |room: usize| match room {
            usize::MAX => Some(room),
            _ => room.checked_sub(bytes),
        };
        let taken = self.0.fetch_update(Ordering::AcqRel, Ordering::Acquire, left);
        taken.map(drop).map_err(|_| io::Error::new(ErrorKind::InvalidData, "a head without end"))
    }
}

/// A stream whose reads take from a room.
#[derive(Debug)]
pub struct Awaited<S> {
    stream: S,
    room: Arc<Room>,
}

impl<S> Awaited<S> {
    /// Wraps a stream so that its reads take from a room.
    pub fn new(stream: S, room: Arc<Room>) -> Self {
        Self { stream, room }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Awaited<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.room.take(buffer.filled().len() - filled_before)?;
        result
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Awaited<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
