//! A loopback proxy whose connections are delayed, silenced, cut one way, reset or refused.

use crate::gate::Gate;
use socket2::SockRef;
use std::future::pending;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

/// Bytes passed on at once.
const CHUNK: usize = 16_384;

/// Delay of each chunk while connections are delayed.
const DELAY: Duration = Duration::from_millis(60);

/// Header of the answers to requests, which those to control calls don't have.
const SEAL: &[u8] = b"x-crosslane-response-seal";

/// Pause before a socket that fails is tried again.
const RETRY: Duration = Duration::from_millis(20);

/// End of an answer's head, and headers that say where its body ends.
const HEAD_END: &[u8] = b"\r\n\r\n";
const FRAMING: [&str; 2] = ["content-length:", "transfer-encoding:"];

/// Answers to control calls, per hundred, before which the one before on the connection is sent once more.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Surplus(pub u64);

impl Surplus {
    fn has(self, answer: &[u8]) -> bool {
        let mut hasher = DefaultHasher::new();
        answer.hash(&mut hasher);
        hasher.finish() % 100 < self.0
    }
}

/// Answers to control calls on one connection.
struct Control {
    surplus: Arc<AtomicU64>,
    /// The last one.
    last: Option<Vec<u8>>,
}

impl Control {
    /// The answer before this one, if it comes once more.
    fn surplus(&mut self, received: &[u8]) -> Option<Vec<u8>> {
        let is_answer = received.starts_with(b"HTTP/1.1 ") && find(received, SEAL).is_none();
        let before = if is_answer { self.last.replace(received.to_vec()) } else { None };
        before.filter(|_| Surplus(self.surplus.load(Ordering::Relaxed)).has(received))
    }
}

/// Bytes without end, sent until the other side closes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Flood {
    /// Whether it comes after the head of the answer, without its framing; otherwise it comes in place of it.
    pub after_head: bool,
    /// Whether answers to control calls are left alone.
    pub spares_control: bool,
    /// What is sent once.
    pub first: &'static str,
    /// What is sent again and again.
    pub again: &'static str,
}

impl Flood {
    fn replaces(&self, received: &[u8]) -> bool {
        !self.spares_control || find(received, SEAL).is_some()
    }

    async fn send(&self, received: &[u8], to: &mut OwnedWriteHalf) -> io::Result<()> {
        if let Some(end) = find(received, HEAD_END).filter(|_| self.after_head) {
            let head = String::from_utf8_lossy(&received[..end]);
            let is_framing =
                |line: &&str| FRAMING.iter().any(|name| line.to_lowercase().starts_with(name));
            for line in head.split("\r\n").filter(|line| !is_framing(line)) {
                to.write_all(format!("{line}\r\n").as_bytes()).await?;
            }
        }
        to.write_all(self.first.as_bytes()).await?;
        let again = self.again.repeat(CHUNK / self.again.len() + 1);
        loop {
            to.write_all(again.as_bytes()).await?;
        }
    }
}

fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|it| it == part)
}

/// What it does to connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Passes everything on.
    Pass,
    /// Passes it on late.
    Delay,
    /// Passes nothing on, and takes new connections.
    Silent,
    /// Passes on what goes to the server, and nothing back.
    OneWay,
    /// Passes on the heads of an endpoint's answers up to the middle of a header, and ends the connections.
    CutHeads,
    /// Floods its callers instead of an answer.
    Endless(Flood),
    /// Resets all connections, and new ones.
    Reset,
    /// Passes nothing on, and leaves new connections unanswered.
    Unanswered,
    /// Resets all connections, and refuses new ones.
    Refused,
    /// Passes on what open connections carry, and refuses new ones.
    NewRefused,
}

/// Modes that disturb.
pub const DISTURBING: [Mode; 4] = [Mode::Delay, Mode::Silent, Mode::OneWay, Mode::Reset];

/// Modes of a network partition.
pub const PARTITIONS: [Mode; 3] = [Mode::Unanswered, Mode::Refused, Mode::NewRefused];

/// A proxy before one server; gone when dropped.
#[derive(Debug)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    mode: watch::Sender<Mode>,
    surplus: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Proxy {
    /// Listens on a port that the system chooses.
    pub async fn start(server: SocketAddr) -> io::Result<Self> {
        // Bound again by its number, without which the kernel gives up the port of a gate that refuses.
        loop {
            let address = std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()?;
            match Self::start_at(address, server, Mode::Pass) {
                Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
                started => return started,
            }
        }
    }

    /// Listens on an address.
    pub fn start_at(address: SocketAddr, server: SocketAddr, mode: Mode) -> io::Result<Self> {
        let gate = Gate::bind(address)?;
        let mode = watch::Sender::new(mode);
        let surplus = Arc::<AtomicU64>::default();
        let task = tokio::spawn(accept(gate, server, mode.subscribe(), surplus.clone()));
        Ok(Self { address, mode, surplus, task })
    }

    /// Changes how many answers to control calls come twice.
    pub fn set_surplus(&self, surplus: Surplus) {
        self.surplus.store(surplus.0, Ordering::Relaxed);
    }

    /// Changes what it does.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

async fn accept(
    mut gate: Gate,
    server: SocketAddr,
    mut mode: watch::Receiver<Mode>,
    surplus: Arc<AtomicU64>,
) {
    let mut connections = JoinSet::new();
    loop {
        let now = *mode.borrow_and_update();
        let listener = match now {
            Mode::Unanswered => gate.silence().await.map(|()| None),
            Mode::Refused | Mode::NewRefused => gate.refuse().map(|()| None),
            _ => gate.open().map(Some),
        };
        let Ok(listener) = listener else {
            // The port or a descriptor may be free in a moment; until then the gate refuses.
            sleep(RETRY).await;
            continue;
        };
        let closed = listener.is_none();
        loop {
            let accepted = async {
                match &listener {
                    Some(listener) => listener.accept().await,
                    None => pending().await,
                }
            };
            tokio::select! {
                accepted = accepted => {
                    match accepted {
                        Ok((near, _)) => {
                            connections.spawn(carry(near, server, mode.clone(), surplus.clone()));
                        }
                        Err(_) => sleep(RETRY).await,
                    }
                }
                Some(_) = connections.join_next() => {}
                changed = mode.changed() => match changed {
                    Err(_) => return,
                    Ok(()) if closed || PARTITIONS.contains(&*mode.borrow()) => break,
                    Ok(()) => {}
                },
            }
        }
    }
}

async fn carry(
    near: TcpStream,
    server: SocketAddr,
    mut mode: watch::Receiver<Mode>,
    surplus: Arc<AtomicU64>,
) {
    if *mode.borrow_and_update() == Mode::Reset {
        return reset(&near);
    }
    let Ok(far) = TcpStream::connect(server).await else {
        return reset(&near);
    };
    let (mut near_read, mut near_write) = near.into_split();
    let (mut far_read, mut far_write) = far.into_split();
    let modes = mode.clone();
    let control = Control { surplus, last: None };
    let is_reset = tokio::select! {
        passed = pass(&mut near_read, &mut far_write, modes.clone(), Way::There, None) => passed.is_err(),
        passed = pass(&mut far_read, &mut near_write, modes, Way::Back, Some(control)) => passed.is_err(),
        _ = mode.wait_for(|it| matches!(it, Mode::Reset | Mode::Refused)) => true,
    };
    if is_reset {
        reset(near_write.as_ref());
        reset(far_write.as_ref());
        // Dropped otherwise, they close in order first.
        near_write.forget();
        far_write.forget();
    }
}

/// Closes a connection by a reset once it is dropped.
fn reset(stream: &TcpStream) {
    // A connection that is gone already needs none.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Way {
    There,
    Back,
}

/// Passes bytes on until either side ends; a side that ends, ends both.
async fn pass(
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    mut mode: watch::Receiver<Mode>,
    way: Way,
    mut control: Option<Control>,
) -> io::Result<()> {
    let mut buffer = vec![0; CHUNK];
    loop {
        let length = from.read(&mut buffer).await?;
        let held = |it: &Mode| {
            matches!(it, Mode::Silent | Mode::Unanswered)
                || (*it == Mode::OneWay && way == Way::Back)
        };
        // A sender that is gone leaves the last mode.
        let now = mode.wait_for(|it| !held(it)).await.map_or(Mode::Pass, |it| *it);
        if length == 0 {
            return Ok(());
        }
        if now == Mode::Delay {
            sleep(DELAY).await;
        }
        let received = &buffer[..length];
        if let Mode::Endless(flood) = now
            && way == Way::Back
            && flood.replaces(received)
        {
            return flood.send(received, to).await;
        }
        let cut_at = find(received, SEAL);
        if let Some(cut_at) = cut_at.filter(|_| now == Mode::CutHeads && way == Way::Back) {
            return to.write_all(&received[..cut_at + SEAL.len() / 2]).await;
        }
        if let Some(before) = control.as_mut().and_then(|control| control.surplus(received)) {
            to.write_all(&before).await?;
        }
        to.write_all(received).await?;
    }
}
