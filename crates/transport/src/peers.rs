//! Connections to the control ports of other nodes.

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

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a call to a node failed.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// Connecting failed.
    #[display("the node can't be reached")]
    Unreachable,
    /// No reply before the deadline, or the connection broke.
    #[display("the node did not answer")]
    NoReply,
}

/// Pool of connections, one for each node.
#[derive(Debug, Default)]
pub struct Peers {
    connections: Mutex<HashMap<SocketAddr, PeerClient>>,
    meter: Arc<Meter>,
}

impl Peers {
    /// Byte counts of all connections, including accepted ones.
    pub fn meter(&self) -> Arc<Meter> {
        self.meter.clone()
    }

    /// Calls a node with a timeout; drops its connection on any error but a timeout.
    pub async fn call<T, F, R>(
        &self,
        address: SocketAddr,
        timeout: Duration,
        call: F,
    ) -> Result<T, Error>
    where
        F: FnOnce(PeerClient, Context) -> R,
        R: Future<Output = Result<T, RpcError>>,
    {
        let client = self.connect(address).await?;
        let mut context = context::current();
        context.deadline = Instant::now() + timeout;
        call(client, context).await.map_err(|error| {
            if !matches!(error, RpcError::DeadlineExceeded) {
                self.lock().remove(&address);
            }
            Error::NoReply
        })
    }

    async fn connect(&self, address: SocketAddr) -> Result<PeerClient, Error> {
        if let Some(client) = self.lock().get(&address) {
            return Ok(client.clone());
        }
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = connected.map_err(|_| Error::Unreachable)?.map_err(|_| Error::Unreachable)?;
        let _ = stream.set_nodelay(true);
        let framed = LengthDelimitedCodec::builder()
            .max_frame_length(FRAME_BYTES)
            .new_framed(Metered::new(stream, self.meter.clone()));
        let transport: Transport<_, _, _, Bincode<_, _>> =
            tarpc::serde_transport::new(framed, Bincode::default());
        let client = PeerClient::new(Config::default(), transport).spawn();
        self.lock().insert(address, client.clone());
        Ok(client)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, PeerClient>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
