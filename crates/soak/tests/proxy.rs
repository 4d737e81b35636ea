//! What a proxy makes of the end of a connection.

use crosslane_soak::proxy::{Proxy, Surplus};
use rstest::rstest;
use socket2::SockRef;
use std::io::ErrorKind;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

struct Case {
    name: &'static str,
    resets: bool,
    seen: Result<usize, ErrorKind>,
}

/// Connects to a proxy, which refuses until it listens.
async fn connect(proxy: &Proxy) -> TcpStream {
    loop {
        match TcpStream::connect(proxy.address).await {
            Ok(stream) => return stream,
            Err(_) => sleep(Duration::from_millis(5)).await,
        }
    }
}

/// A reset that is passed on as an orderly close makes a part of an answer without length look whole.
#[rstest]
#[case(Case { name: "close", resets: false, seen: Ok(0) })]
#[case(Case { name: "reset", resets: true, seen: Err(ErrorKind::ConnectionReset) })]
#[tokio::test]
async fn resets_are_not_passed_on_as_closes(#[case] case: Case) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port");
    let proxy = Proxy::start(listener.local_addr().expect("its address")).await.expect("a proxy");
    let mut near = connect(&proxy).await;
    let (mut far, _) = listener.accept().await.expect("the proxy's connection");
    near.write_all(b"a").await.expect("a byte sent");
    far.read_exact(&mut [0]).await.expect("the byte that was sent");
    let linger = case.resets.then_some(Duration::ZERO);
    SockRef::from(&far).set_linger(linger).expect("an option of a socket");
    drop(far);
    let seen = near.read(&mut [0; 8]).await.map_err(|error| error.kind());
    assert_eq!(seen, case.seen, "{}", case.name);
}

struct Copies {
    name: &'static str,
    surplus: Surplus,
    answers: [&'static str; 2],
    /// Whether the first answer comes once more before the second one.
    copied: bool,
}

const NO_RUN: &str = "HTTP/1.1 404 A\r\ncontent-length: 0\r\n\r\n";
const DONE: &str = "HTTP/1.1 200 A\r\ncontent-length: 0\r\n\r\n";
const PAGE: &str = "HTTP/1.1 200 A\r\nx-crosslane-response-seal: s\r\ncontent-length: 0\r\n\r\n";

/// Surplus answers that are never sent show nothing, and those among callers' responses show something else.
#[rstest]
#[case(Copies { name: "none", surplus: Surplus(0), answers: [NO_RUN, DONE], copied: false })]
#[case(Copies { name: "all", surplus: Surplus(100), answers: [NO_RUN, DONE], copied: true })]
#[case(Copies { name: "before a response", surplus: Surplus(100), answers: [NO_RUN, PAGE], copied: false })]
#[case(Copies { name: "of a response", surplus: Surplus(100), answers: [PAGE, DONE], copied: false })]
#[tokio::test]
async fn answers_to_control_calls_come_twice(#[case] case: Copies) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port");
    let proxy = Proxy::start(listener.local_addr().expect("its address")).await.expect("a proxy");
    proxy.set_surplus(case.surplus);
    let mut near = connect(&proxy).await;
    let (mut far, _) = listener.accept().await.expect("the proxy's connection");
    let [first, second] = case.answers;
    let copy = if case.copied { first } else { "" };
    for (sent, expected) in [(first, first.to_owned()), (second, format!("{copy}{second}"))] {
        far.write_all(sent.as_bytes()).await.expect("an answer sent");
        let mut received = vec![0; expected.len()];
        near.read_exact(&mut received).await.expect("an answer");
        assert_eq!(received, expected.as_bytes(), "{}", case.name);
    }
    drop(far);
    assert_eq!(near.read(&mut [0; 8]).await.ok(), Some(0), "{}", case.name);
}
