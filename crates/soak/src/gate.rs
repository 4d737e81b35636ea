//! A listening socket that can be closed without giving up its port.
//!
//! While it refuses, the socket is bound and does not listen, so the kernel answers connection attempts with a reset. While it is
//! silent, its queue is full, so the kernel drops them and they time out, as behind a network partition.

use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Queue of an open gate.
const BACKLOG: i32 = 1_024;

/// Time after which a connection attempt counts as unanswered.
const UNANSWERED: Duration = Duration::from_millis(100);

/// A port that can be closed.
#[derive(Debug)]
pub struct Gate {
    socket: Socket,
    /// Whether the socket listens.
    listening: bool,
    /// Connections that fill the queue of a silent gate.
    fillers: Vec<TcpStream>,
}

impl Gate {
    /// Binds a port that is free; it does not listen yet.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        socket.set_nonblocking(true)?;
        Ok(Self { socket, listening: false, fillers: Vec::new() })
    }

    /// Listens, and returns the listener to accept from until the gate is closed.
    pub fn open(&mut self) -> io::Result<TcpListener> {
        self.fillers.clear();
        self.socket.listen(BACKLOG)?;
        self.listening = true;
        TcpListener::from_std(self.socket.try_clone()?.into())
    }

    /// Refuses new connections. Accepted ones stay open.
    pub fn refuse(&mut self) -> io::Result<()> {
        self.fillers.clear();
        // A socket that is shut down while it does not listen stays so: it would end each connection that it accepts later.
        if std::mem::take(&mut self.listening) {
            self.socket.shutdown(Shutdown::Both)?;
        }
        Ok(())
    }

    /// Leaves new connections unanswered. Accepted ones stay open.
    pub async fn silence(&mut self) -> io::Result<()> {
        self.refuse()?;
        self.socket.listen(0)?;
        self.listening = true;
        let Some(address) = self.socket.local_addr()?.as_socket() else {
            return Ok(());
        };
        while let Ok(connected) = timeout(UNANSWERED, TcpStream::connect(address)).await {
            self.fillers.push(connected?);
        }
        Ok(())
    }
}
