//! Gates that are closed and opened again.

use crosslane_soak::gate::Gate;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// What is done to a gate before it is opened.
#[derive(Clone, Copy, Debug)]
enum Step {
    Open,
    Refuse,
    Silence,
}

use Step::{Open, Refuse, Silence};

/// A socket that was shut down before it listened ended every connection that it accepted.
#[rstest]
#[case(&[])]
#[case(&[Refuse])]
#[case(&[Open, Refuse])]
#[case(&[Open, Refuse, Refuse])]
#[case(&[Open, Refuse, Silence])]
#[case(&[Silence, Refuse, Silence])]
#[tokio::test]
async fn an_opened_gate_ends_no_connection_by_itself(#[case] steps: &[Step]) {
    let mut gate = Gate::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    for step in steps {
        match step {
            Open => drop(gate.open().unwrap()),
            Refuse => gate.refuse().unwrap(),
            Silence => gate.silence().await.unwrap(),
        }
    }
    let listener = gate.open().unwrap();
    let address = listener.local_addr().unwrap();
    let mut caller = TcpStream::connect(address).await.unwrap();
    let caller_address = caller.local_addr().unwrap();
    // Connections that filled the queue of a silent gate are accepted before.
    let mut server = loop {
        let (server, from) = listener.accept().await.unwrap();
        if from == caller_address {
            break server;
        }
    };
    caller.write_all(b"ask").await.unwrap();
    let mut asked = [0; 3];
    server.read_exact(&mut asked).await.unwrap();
    assert_eq!(&asked, b"ask", "{steps:?}");
}
