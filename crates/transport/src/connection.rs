//! An HTTP/1 client connection whose errors tell whether any part of a request may have been sent.
//!
//! Dropping a connection closes it immediately, which cancels the request in flight.

use crate::association::{Association, Id};
use crate::awaited::{Awaited, Room};
use crate::clock;
use crate::framing;
use crate::metered::{Meter, Metered};
use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use nix::sys::socket::setsockopt;
use nix::sys::socket::sockopt::IpBindAddressNoPort;
use socket2::{SockRef, TcpKeepalive};
use std::error::Error as StdError;
use std::io::{self, ErrorKind};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout, timeout_at};

/// Time without acknowledgement after which the kernel closes a connection on which no caller's response depends: such calls
/// are short, and made again elsewhere.
pub const ACK_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Idle time before the first TCP keep-alive probe and between probes: the minimum of the operating system.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Size of a connection's buffer: hyper's minimum, as responses are relayed as they arrive.
const BUFFER_BYTES: usize = 8_192;

/// Size of a large body, in bytes.
const LARGE_BYTES: usize = 2 << 20;

/// Large bodies that are read at the same time: more could take the memory of a process.
static LARGE: Semaphore = Semaphore::const_new(2);

/// A request with a buffered body.
pub type Outgoing = Request<Full<Bytes>>;

/// Why there is no response.
#[derive(Clone, Debug, Display, Error)]
pub enum Error {
    /// The address accepted no connection from this machine.
    #[display("no connection to {to}: {message}")]
    Unreachable {
        /// Remote address.
        to: SocketAddr,
        /// Whether its machine answered that no process listens.
        refused: bool,
        /// Cause.
        message: String,
    },
    /// A connection failed locally, or hyper returned the request unsent.
    #[display("no connection to {to}: {message}")]
    Connect {
        /// Remote address.
        to: SocketAddr,
        /// Cause.
        message: String,
    },
    /// The connection failed after part of the request may have been sent.
    #[display("connection to {to} failed: {message}")]
    Broken {
        /// Remote address.
        to: SocketAddr,
        /// Cause.
        message: String,
    },
    /// A response that may belong to another request on the connection.
    #[display("response from {to} can't be associated with its request")]
    Unassociated {
        /// Remote address.
        to: SocketAddr,
    },
    /// No response before the deadline; the request may be running.
    #[display("no response from {to} before the deadline")]
    Timeout {
        /// Remote address.
        to: SocketAddr,
    },
}

impl Error {
    /// Whether part of the request may have reached the endpoint.
    pub fn may_have_been_sent(&self) -> bool {
        !matches!(self, Self::Unreachable { .. } | Self::Connect { .. })
    }
}

/// Who ended a connection.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Closer {
    /// The other side, by a reset or an early end.
    #[display("peer")]
    Peer,
    /// This machine's kernel, which had no acknowledgement in time.
    #[display("kernel")]
    Kernel,
    /// This process.
    #[display("node")]
    Node,
}

impl Closer {
    /// Who ended a connection that failed with an error.
    pub fn of(error: &(dyn StdError + 'static)) -> Self {
        let mut next = Some(error);
        while let Some(error) = next {
            if let Some(known) = error.downcast_ref::<io::Error>() {
                return Self::from(known.kind());
            }
            if error.downcast_ref().is_some_and(hyper::Error::is_incomplete_message) {
                return Self::Peer;
            }
            next = error.source();
        }
        Self::Node
    }
}

impl From<ErrorKind> for Closer {
    fn from(kind: ErrorKind) -> Self {
        match kind {
            ErrorKind::TimedOut | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable => {
                Self::Kernel
            }
            ErrorKind::BrokenPipe
            | ErrorKind::ConnectionAborted
            | ErrorKind::ConnectionRefused
            | ErrorKind::ConnectionReset
            | ErrorKind::NotConnected
            | ErrorKind::UnexpectedEof => Self::Peer,
            _ => Self::Node,
        }
    }
}

/// Reads a whole body within a size limit, with a timeout for each frame. Large ones wait for each other. The total time is not
/// limited: a total limit would never let 0.9 MB arrive over a 250 KB/s link, however often the request is retried.
pub async fn read_body(
    mut body: Incoming,
    to: SocketAddr,
    frame_timeout: Duration,
    max_bytes: usize,
) -> Result<Bytes, Error> {
    let mut bytes = BytesMut::new();
    let mut large = None;
    loop {
        if bytes.len() > LARGE_BYTES && large.is_none() {
            large = LARGE.acquire().await.ok();
        }
        let frame = match timeout(frame_timeout, body.frame()).await {
            Err(_) => return Err(Error::Timeout { to }),
            Ok(None) => return Ok(bytes.freeze()),
            Ok(Some(Err(error))) => return Err(Error::Broken { to, message: error.to_string() }),
            Ok(Some(Ok(frame))) => frame,
        };
        bytes.extend_from_slice(frame.data_ref().map_or(&[], |data| data.as_ref()));
        if bytes.len() > max_bytes {
            let message = format!("the body is longer than {max_bytes} bytes");
            return Err(Error::Broken { to, message });
        }
    }
}

/// An open connection.
#[derive(Debug)]
pub struct Connection {
    to: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    room: Arc<Room>,
    driver: JoinHandle<()>,
    /// Whether no request was sent on it.
    is_unused: bool,
    /// When it was last used, as time since boot, which includes suspension of the VM: the endpoint may
    /// have closed the connection meanwhile.
    last_used: Duration,
}

impl Connection {
    /// Opens a connection, whose bytes are counted, and which the kernel closes after a time without acknowledgement.
    pub async fn open(
        from: Option<IpAddr>,
        to: SocketAddr,
        connect_timeout: Duration,
        ack_timeout: Duration,
        meter: Arc<Meter>,
    ) -> Result<Self, Error> {
        let connect_error = |message: String| Error::Connect { to, message };
        let stream = connect(from, to, connect_timeout).await?;
        set_socket_options(&stream, ack_timeout)
            .map_err(|error| connect_error(error.to_string()))?;
        let room = Arc::<Room>::default();
        let stream = Awaited::new(Metered::new(stream, meter), room.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| connect_error(error.to_string()))?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {to} failed: {error}");
            }
        });
        Ok(Self { to, sender, room, driver, is_unused: true, last_used: clock::boot() })
    }

    /// Sends a request and returns the response once its head has arrived. A response whose status or framing is invalid is an
    /// error.
    pub async fn send(
        &mut self,
        request: Outgoing,
        deadline: Instant,
    ) -> Result<Response<Incoming>, Error> {
        let to = self.to;
        self.last_used = clock::boot();
        self.is_unused = false;
        self.room.limit();
        let sent = timeout_at(deadline, self.sender.try_send_request(request)).await;
        self.room.lift();
        match sent {
            Err(_) => Err(Error::Timeout { to }),
            Ok(Ok(response)) => match framing::check(&response) {
                Ok(()) => Ok(response),
                Err(error) => Err(Error::Broken { to, message: error.to_string() }),
            },
            Ok(Err(mut error)) => {
                let not_sent = error.take_message().is_some();
                let message = cause(&error.into_error());
                let connect = Error::Connect { to, message: message.clone() };
                Err(if not_sent { connect } else { Error::Broken { to, message } })
            }
        }
    }

    /// Sends a request with an id, and returns the response once its head has arrived. One that can't be associated with the request is
    /// an error.
    pub async fn call(
        &mut self,
        mut request: Outgoing,
        id: &Id,
        deadline: Instant,
    ) -> Result<(Response<Incoming>, Association), Error> {
        let is_first = self.is_unused;
        id.insert(request.headers_mut());
        let response = self.send(request, deadline).await?;
        match id.associate(is_first, response.headers()) {
            Association::Unknown => Err(Error::Unassociated { to: self.to }),
            association => Ok((response, association)),
        }
    }

    /// Waits until the connection can take another request; false if it is closed.
    pub async fn wait_ready(&mut self) -> bool {
        self.last_used = clock::boot();
        self.sender.ready().await.is_ok()
    }

    /// Whether a request can be sent now, and the last use was less than `max_idle` ago.
    pub fn is_reusable(&self, max_idle: Duration) -> bool {
        self.sender.is_ready() && clock::boot().saturating_sub(self.last_used) < max_idle
    }
}

/// Connects to an address, from an address of this machine if one is given: on a VM with several, the others know this node by
/// that one.
pub async fn connect(
    from: Option<IpAddr>,
    to: SocketAddr,
    limit: Duration,
) -> Result<TcpStream, Error> {
    let connecting = async {
        let Some(from) = from else {
            return TcpStream::connect(to).await;
        };
        let socket = if to.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        // Otherwise a port would be taken for all destinations at once, also while the last connection from it expires.
        if let Err(error) = setsockopt(&socket, IpBindAddressNoPort, &true) {
            log::debug!("can't leave the choice of a port to the connection: {error}");
        }
        socket.bind(SocketAddr::new(from, 0))?;
        socket.connect(to).await
    };
    match timeout(limit, connecting).await {
        Err(_) => Err(Error::Unreachable { to, refused: false, message: "timed out".into() }),
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(error)) => {
            let message = error.to_string();
            let refused = error.kind() == ErrorKind::ConnectionRefused;
            Err(match Closer::from(error.kind()) {
                Closer::Peer | Closer::Kernel => Error::Unreachable { to, refused, message },
                Closer::Node => Error::Connect { to, message },
            })
        }
    }
}

/// Message of a hyper error, with its source: hyper's own message omits the operating system's error.
pub fn cause(error: &hyper::Error) -> String {
    error.source().map_or_else(|| error.to_string(), |source| format!("{error}: {source}"))
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Sets the socket options that detect a dead peer: the kernel closes the connection after a time without acknowledgement, or
/// in which the peer takes no data.
pub fn set_socket_options(stream: &TcpStream, ack_timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(ack_timeout))?;
    socket.set_tcp_keepalive(
        &TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL),
    )
}
