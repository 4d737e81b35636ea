//! A TCP stream that counts the bytes read and written, to measure control traffic at the socket.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Byte counters, which several streams may share.
#[derive(Debug, Default)]
pub struct Meter {
    /// Bytes read.
    pub read: AtomicU64,
    /// Bytes written.
    pub written: AtomicU64,
}

/// A TCP stream that counts its bytes in a meter.
#[derive(Debug)]
pub struct Metered {
    stream: TcpStream,
    meter: Arc<Meter>,
}

impl Metered {
    /// Wraps a stream so that its bytes are added to a meter.
    pub fn new(stream: TcpStream, meter: Arc<Meter>) -> Self {
        Self { stream, meter }
    }
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        let read = buffer.filled().len() - filled_before;
        self.meter.read.fetch_add(read as u64, Ordering::Relaxed);
        result
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(written)) = result {
            self.meter.written.fetch_add(written as u64, Ordering::Relaxed);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
