//! Connections to other nodes' control ports.

use crate::metered::{Meter, Metered};
use crosslane_protocol::peer::PeerClient;
use derive_more::{Display, Error};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tarpc::client::{Config, RpcError};
use tarpc::context::{self, Context};
use tarpc::serde_transport::Transport;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::net::TcpStream;

/// Longest control message, in bytes.
pub const FRAME_BYTES: usize = 64 << 20;

/// Time to open a connection.
const CONNECT: Duration = Duration::from_millis(500);

/// Why a call to a node failed.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// No connection.
    #[display("the node can't be reached")]
    Unreachable,
    /// No answer in time, or the connection broke.
    #[display("the node did not answer")]
    Silent,
}

/// Pool of connections, one per node.
#[derive(Debug, Default)]
pub struct Peers {
    links: Mutex<HashMap<SocketAddr, PeerClient>>,
    meter: Arc<Meter>,
}

impl Peers {
    /// Bytes of all connections, those accepted included.
    pub fn meter(&self) -> Arc<Meter> {
        self.meter.clone()
    }

    /// Makes one call within a time limit.
    pub async fn call<T, F, R>(&self, to: SocketAddr, limit: Duration, call: F) -> Result<T, Error>
    where
        F: FnOnce(PeerClient, Context) -> R,
        R: Future<Output = Result<T, RpcError>>,
    {
        let client = self.link(to).await?;
        let mut context = context::current();
        context.deadline = Instant::now() + limit;
        call(client, context).await.map_err(|error| {
            if !matches!(error, RpcError::DeadlineExceeded) {
                self.lock().remove(&to);
            }
            Error::Silent
        })
    }

    async fn link(&self, to: SocketAddr) -> Result<PeerClient, Error> {
        if let Some(client) = self.lock().get(&to) {
            return Ok(client.clone());
        }
        let connected = tokio::time::timeout(CONNECT, TcpStream::connect(to)).await;
        let stream = connected.map_err(|_| Error::Unreachable)?.map_err(|_| Error::Unreachable)?;
        let _ = stream.set_nodelay(true);
        let framed = LengthDelimitedCodec::builder()
            .max_frame_length(FRAME_BYTES)
            .new_framed(Metered::new(stream, self.meter.clone()));
        let transport: Transport<_, _, _, Bincode<_, _>> =
            tarpc::serde_transport::new(framed, Bincode::default());
        let client = PeerClient::new(Config::default(), transport).spawn();
        self.lock().insert(to, client.clone());
        Ok(client)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, PeerClient>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
