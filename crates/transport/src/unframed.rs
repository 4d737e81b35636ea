//! A stream that is reset if it is closed while a response without length or chunks is being sent.
//!
//! Such a response ends with its connection, so an ordinary close in the middle of it looks like its end.

use socket2::SockRef;
use std::io;
use std::os::fd::AsFd;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Whether a response without length or chunks is being sent.
#[derive(Clone, Debug, Default)]
pub struct UnderWay(Arc<AtomicBool>);

impl UnderWay {
    /// Records that such a response begins, or that its whole body has been given to the connection.
    pub fn set(&self, under_way: bool) {
        self.0.store(under_way, Ordering::Release);
    }
}

/// A socket that is reset if it is closed before it is shut down after the end of such a response.
#[derive(Debug)]
pub struct Stream<S> {
    inner: S,
    under_way: UnderWay,
    /// Whether closing it resets it.
    resets: bool,
}

impl<S: AsFd> Stream<S> {
    /// Wraps a socket.
    pub fn new(inner: S, under_way: UnderWay) -> Self {
        Self { inner, under_way, resets: false }
    }

    /// Has the socket reset once such a response begins, also by the kernel if the process is killed.
    fn begin(&mut self) {
        if self.is_under_way() {
            self.set_resets(true);
        }
    }

    fn is_under_way(&self) -> bool {
        self.under_way.0.load(Ordering::Acquire)
    }

    fn set_resets(&mut self, resets: bool) {
        if resets == self.resets {
            return;
        }
        match SockRef::from(&self.inner).set_linger(resets.then_some(Duration::ZERO)) {
            Ok(()) => self.resets = resets,
            Err(error) => log::debug!("can't set how a connection is closed: {error}"),
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Stream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl<S: AsyncWrite + AsFd + Unpin> AsyncWrite for Stream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.begin();
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.begin();
        Pin::new(&mut self.inner).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_under_way() {
            // Which would look like the end of the response.
            return Poll::Ready(Ok(()));
        }
        self.set_resets(false);
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
