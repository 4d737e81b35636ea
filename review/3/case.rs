//! Half of the nodes are killed at once and come back while servers are replaced one after the other. Do all nodes learn which
//! servers leave?

#[path = "../common.rs"]
mod common;

use common::{
    Client, Folder, Node, Record, Request, Store, answer, any_port, configuration, entry, exit, is_meant, lock, node_ip, plain_route, serve, troubled,
};
use std::collections::HashMap;
use std::io::{self, Write};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const NODES: u8 = 8;
const SERVERS: usize = 12;
const CLIENTS: usize = 2 * NODES as usize;
const WORK: Duration = Duration::from_millis(60);
/// Nodes that are killed at once: a share of 0.5.
const KILLED: u8 = 4;
/// When each of them is started again, in each round.
const STARTED: [[u64; KILLED as usize]; ROUNDS] =
    [[300, 500, 700, 900], [200, 450, 650, 800], [250, 300, 350, 600], [300, 400, 650, 900], [250, 500, 600, 850], [350, 450, 550, 800]];
/// Servers that a release replaces, a share of 0.42, one each 0.74 s.
const RELEASED: usize = 5;
const GAP: Duration = Duration::from_millis(740);
/// Time from the first of them to the kill.
const BEFORE: Duration = Duration::from_millis(1_100);
/// Time for which a server that leaves keeps serving: `drain-ms` and some seconds.
const SERVES: Duration = Duration::from_secs(9);
const DRAIN: Duration = Duration::from_secs(2);
const CONTACT: Duration = Duration::from_secs(3);
const ROUNDS: usize = 6;

/// What the stand-ins know together.
struct Site {
    store: Store,
    record: Record,
    /// When the store took that a server leaves.
    leaves: Mutex<HashMap<usize, Instant>>,
    /// Servers that have ended.
    ended: Mutex<Vec<usize>>,
    /// When a node was started last, by its address.
    started: Mutex<HashMap<IpAddr, Instant>>,
    /// Requests that came too late.
    late: Mutex<Vec<String>>,
}

impl Site {
    fn start_server(self: &Arc<Self>, number: usize) -> io::Result<()> {
        let site = self.clone();
        let at = serve(any_port(), move |request, stream| site.handle(number, &request, stream))?;
        self.store.put("keyed.servers", &format!("i-{number}"), &entry("portal", at, None, "ready"));
        lock(&ADDRESSES).insert(number, at);
        Ok(())
    }

    fn handle(&self, number: usize, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        if lock(&self.ended).contains(&number) {
            return Ok(false);
        }
        if !is_meant(request, &format!("i-{number}"), stream)? {
            return Ok(true);
        }
        let (id, from) = (request.id(), stream.peer_addr()?.ip());
        let after = lock(&self.leaves).get(&number).map(Instant::elapsed).unwrap_or_default();
        let up = lock(&self.started).get(&from).map(Instant::elapsed).unwrap_or_default();
        if after > DRAIN && up > CONTACT {
            let text = format!("LATE {id} reaches s{number} from {from}, {:.1} s after the store took that it leaves; that node has run for {:.1} s", after.as_secs_f64(), up.as_secs_f64());
            self.record.line(&text);
            lock(&self.late).push(text);
        }
        thread::sleep(WORK);
        self.record.line(format!("s{number} ran {id} of {from}"));
        if lock(&self.ended).contains(&number) {
            return Ok(false);
        }
        stream.write_all(&answer("200 OK", &[("x-crosslane-request-id", &id), ("x-crosslane-response-seal", "3e1b.07.5a2.6.0.c9f2a4d1")], b"booked"))?;
        Ok(true)
    }

    /// Replaces servers one after the other: the new one starts first, the old one drains, serves on and ends.
    fn release(self: &Arc<Self>, first: usize) -> io::Result<()> {
        for old in first..first + RELEASED {
            self.start_server(old + SERVERS)?;
            thread::sleep(Duration::from_millis(100));
            let at = lock(&ADDRESSES)[&old];
            self.store.put("keyed.servers", &format!("i-{old}"), &entry("portal", at, None, "draining"));
            lock(&self.leaves).insert(old, Instant::now());
            self.record.line(format!("s{} starts, and the store took that s{old} leaves", old + SERVERS));
            let site = self.clone();
            thread::spawn(move || {
                thread::sleep(SERVES);
                lock(&site.ended).push(old);
                site.store.put("keyed.servers", &format!("i-{old}"), b"");
                site.record.line(format!("s{old} ends"));
            });
            thread::sleep(GAP.saturating_sub(Duration::from_millis(100)));
        }
        Ok(())
    }
}

/// Addresses of the servers.
static ADDRESSES: Mutex<std::collections::BTreeMap<usize, SocketAddr>> = Mutex::new(std::collections::BTreeMap::new());

fn client(number: usize, front: SocketAddr, over: &AtomicBool, record: &Record) {
    let mut count = 0;
    while !over.load(Ordering::Relaxed) {
        count += 1;
        let id = format!("c{number}-{count}");
        let outcome = Client::open(front, Duration::from_secs(2)).and_then(|mut open| {
            open.send("POST", "/book/7", &[("x-crosslane-request-id", &id), ("x-crosslane-deadline-ms", "1500")], b"")?;
            open.answer()
        });
        match outcome {
            Ok(answer) => record.line(format!("POST {id} got {}", answer.status)),
            Err(error) => record.line(format!("POST {id} got no answer: {error}")),
        }
        thread::sleep(Duration::from_millis(40));
    }
}

fn run(record: &Record) -> Result<bool, String> {
    let text = |error: io::Error| error.to_string();
    let folder = Folder::new().map_err(text)?;
    let store = Store::default();
    let address = store.serve().map_err(text)?;
    store.put("keyed.op", "config", &configuration(&[plain_route("/book/", "unsafe", 1)]));
    let site = Arc::new(Site {
        store: store.clone(),
        record: record.clone(),
        leaves: Mutex::default(),
        ended: Mutex::default(),
        started: Mutex::default(),
        late: Mutex::default(),
    });
    for number in 0..SERVERS {
        site.start_server(number).map_err(text)?;
    }
    let start = |number: u8| {
        lock(&site.started).insert(node_ip(number).into(), Instant::now());
        Node::start(&folder.0, number, NODES, address)
    };
    let mut nodes = (0..NODES).map(start).collect::<io::Result<Vec<_>>>().map_err(text)?;
    if !nodes.iter().all(|node| node.until_ready(Duration::from_secs(20))) {
        return Err("the nodes did not become ready".into());
    }
    record.line("all nodes are ready");
    let over = Arc::<AtomicBool>::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (front, over, record) = (nodes[number % usize::from(NODES)].front, over.clone(), record.clone());
            thread::spawn(move || client(number, front, &over, &record))
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    for round in 0..ROUNDS {
        let releasing = site.clone();
        let release = thread::spawn(move || releasing.release(round * RELEASED));
        thread::sleep(BEFORE + Duration::from_millis(40) * (round as u32 / 2));
        if troubled() {
            for number in 0..KILLED {
                let _ = nodes[usize::from(number)].process.kill();
            }
            for number in 0..KILLED {
                let _ = nodes[usize::from(number)].process.wait();
            }
            record.line(format!("nodes 0 to {} are killed", KILLED - 1));
            let killed = Instant::now();
            for number in 0..KILLED {
                thread::sleep(Duration::from_millis(STARTED[round][usize::from(number)]).saturating_sub(killed.elapsed()));
                nodes[usize::from(number)] = start(number).map_err(text)?;
                record.line(format!("node {number} is started again"));
            }
        }
        release.join().map_err(|_| "the release failed")?.map_err(text)?;
        thread::sleep(SERVES);
        if !lock(&site.late).is_empty() {
            break;
        }
    }
    over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    let late = lock(&site.late).len();
    record.line(format!("{late} requests reached servers too late"));
    Ok(late > 0)
}

fn main() {
    let record = Record::create("review/3/record.txt").expect("record.txt");
    let result = run(&record);
    exit(result, &record)
}
