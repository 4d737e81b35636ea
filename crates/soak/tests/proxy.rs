//! What a proxy makes of the end of a connection.

use crosslane_soak::proxy::Proxy;
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
