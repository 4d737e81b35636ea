//! HTTP/1 server with hyper, with limits on the size and arrival time of request heads and on connections.

use crate::http::ResponseBody;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum size of a request's head, in bytes.
    pub header_bytes: usize,
    /// Maximum number of open connections; further ones wait in the listener's backlog.
    pub connections: usize,
    /// Timeout for the arrival of a request's head, which also closes idle connections.
    pub header_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self { header_bytes: 16_384, connections: 10_000, header_timeout: Duration::from_secs(60) }
    }
}

/// Accepts connections until `stop` becomes true, then waits until the requests in flight have ended.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: Limits,
    mut stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let connection_permits = Arc::new(Semaphore::new(limits.connections));
    loop {
        let Ok(permit) = connection_permits.clone().acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stopped| *stopped) => break,
        };
        let Ok((stream, _)) = accepted else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let mut stop = stop.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let response = handler(request);
                async move { Ok::<_, Infallible>(response.await) }
            });
            let connection = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(limits.header_timeout)
                .max_buf_size(limits.header_bytes)
                .serve_connection(TokioIo::new(stream), service);
            let mut connection = std::pin::pin!(connection);
            let finished = tokio::select! {
                _ = connection.as_mut() => true,
                _ = stop.wait_for(|stopped| *stopped) => false,
            };
            if !finished {
                connection.as_mut().graceful_shutdown();
                let _ = connection.await;
            }
            drop(permit);
        });
    }
    let all_permits = u32::try_from(limits.connections).unwrap_or(u32::MAX);
    let _ = connection_permits.acquire_many(all_permits).await;
}
