//! A TCP stream whose acknowledgement timeout follows a setting that may change while it is open.

use crate::connection;
use std::io;
use std::os::fd::{AsFd, BorrowedFd};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A TCP stream; before each write, its timeout is set to what the function returns.
#[derive(Debug)]
pub struct Stream<F> {
    inner: TcpStream,
    timeout: F,
    /// Timeout that is set, if any is.
    current: Option<Duration>,
}

impl<F: Fn() -> Duration + Unpin> Stream<F> {
    /// Wraps a stream and sets its options.
    pub fn new(inner: TcpStream, timeout: F) -> Self {
        let mut stream = Self { inner, timeout, current: None };
        stream.update();
        stream
    }

    fn update(&mut self) {
        let timeout = (self.timeout)();
        if self.current.replace(timeout) == Some(timeout) {
            return;
        }
        if let Err(error) = connection::set_socket_options(&self.inner, timeout) {
            log::debug!("can't set the options of a connection: {error}");
        }
    }
}

impl<F> AsFd for Stream<F> {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.inner.as_fd()
    }
}

impl<F: Fn() -> Duration + Unpin> AsyncRead for Stream<F> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl<F: Fn() -> Duration + Unpin> AsyncWrite for Stream<F> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.update();
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.update();
        Pin::new(&mut self.inner).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
