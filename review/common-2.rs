// What the scripts of cases 6 to 10 share: a small HTTP server and client, a stand-in of the platform's store,
// settings files and node processes, and the record. The standard library only; each case includes this file.

use std::collections::{BTreeMap, HashMap};
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

// ---- the record

/// `record.txt` of a case: what was sent, answered and run.
pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Self> {
        Arc::new(Self { began: Instant::now(), file: Mutex::new(File::create(path).unwrap()) })
    }

    pub fn say(&self, text: impl AsRef<str>) {
        let line = format!("{:9.3} {}\n", self.began.elapsed().as_secs_f64(), text.as_ref());
        let _ = lock(&self.file).write_all(line.as_bytes());
    }
}

/// What the command line of a case says: the folder of its record, and whether the disruption takes place.
pub struct Args {
    pub folder: PathBuf,
    pub trouble: bool,
}

pub fn args() -> Args {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    Args { folder: folder.into(), trouble }
}

/// Ends the script: 1 if the rule was broken, 0 if it held.
pub fn verdict(record: &Record, broken: bool, why: &str) -> i32 {
    let text = if broken { "rule broken" } else { "rule held" };
    record.say(format!("== {text}: {why}"));
    println!("{text}: {why}");
    i32::from(broken)
}

// ---- HTTP

#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    pub fn id(&self) -> &str {
        self.header("x-crosslane-request-id").unwrap_or("")
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.path.split_once('?')?;
        query.split('&').filter_map(|pair| pair.split_once('=')).find(|pair| pair.0 == name).map(|pair| pair.1)
    }
}

/// Text of a field of a flat JSON object.
pub fn json_text(json: &str, name: &str) -> Option<String> {
    let at = json.find(&format!("\"{name}\""))? + name.len() + 2;
    let rest = json[at..].trim_start().strip_prefix(':')?.trim_start().strip_prefix('"')?;
    Some(rest[..rest.find('"')?].to_owned())
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(line.trim_end().to_owned()))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        match read_line(reader)? {
            None => return Err(io::ErrorKind::UnexpectedEof.into()),
            Some(line) if line.is_empty() => return Ok(headers),
            Some(line) => {
                if let Some((name, value)) = line.split_once(':') {
                    headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
                }
            }
        }
    }
}

fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
        .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut bytes = vec![0; size];
    reader.read_exact(&mut bytes)?;
    let mut end = [0; 2];
    reader.read_exact(&mut end)?;
    Ok(bytes)
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some(line) = read_line(reader)? else { return Ok(None) };
    let mut words = line.split(' ');
    let (method, path) = (words.next().unwrap_or("").to_owned(), words.next().unwrap_or("").to_owned());
    let headers = read_headers(reader)?;
    let mut body = Vec::new();
    if let Some(length) = header(&headers, "content-length").and_then(|length| length.parse().ok()) {
        body = vec![0; length];
        reader.read_exact(&mut body)?;
    } else if header(&headers, "transfer-encoding").is_some() {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                break;
            }
            body.extend(chunk);
        }
    }
    Ok(Some(Request { method, path, headers, body }))
}

/// Bytes of a whole response with a length.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} S\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    [text.as_bytes(), body].concat()
}

/// One connection of a stand-in; `say` writes bytes to it.
pub struct Link {
    pub stream: TcpStream,
    /// Number of the connection at its listener.
    pub number: usize,
}

impl Link {
    pub fn say(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Whether the other side has closed the connection.
    pub fn is_closed(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let mut byte = [0];
        let peeked = self.stream.peek(&mut byte);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(count) => count == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

/// A listener of a stand-in; closed, with all its connections, by `stop`.
pub struct Server {
    pub address: SocketAddr,
    stopped: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Serves each connection in a thread of its own, one request after the other. The handler returns whether the connection is
    /// kept.
    pub fn start(
        address: SocketAddr,
        handler: impl Fn(&Request, &mut Link) -> io::Result<bool> + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = listen(address)?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let (stopped, open) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
        let handler = Arc::new(handler);
        let (stop, connections) = (stopped.clone(), open.clone());
        thread::spawn(move || {
            let mut number = 0;
            while !stop.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(ms(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                lock(&connections).push(stream.try_clone().unwrap());
                number += 1;
                let (handler, stop) = (handler.clone(), stop.clone());
                let mut link = Link { stream: stream.try_clone().unwrap(), number };
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream);
                    while let Ok(Some(request)) = read_request(&mut reader) {
                        if stop.load(Ordering::SeqCst) || !matches!(handler(&request, &mut link), Ok(true)) {
                            break;
                        }
                    }
                    let _ = link.stream.shutdown(Shutdown::Both);
                });
            }
        });
        Ok(Self { address, stopped, open })
    }

    /// Ends as a process does that is killed: its port refuses connections, and its connections are closed.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        thread::sleep(ms(5));
        for stream in lock(&self.open).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    // A port whose last connections still expire can be taken again: the standard library sets SO_REUSEADDR.
    let mut tries = 0;
    loop {
        match TcpListener::bind(address) {
            Err(_) if tries < 200 => {
                tries += 1;
                thread::sleep(ms(10));
            }
            result => return result,
        }
    }
}

/// A response as a client sees it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether it ended as its framing says; a body without length or chunks is whole if the connection was closed, not reset.
    pub whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends a request on a new connection and reads the answer; none if there is no whole head within the time.
pub fn ask(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    patience: Duration,
) -> Option<Answer> {
    ask_watching(to, method, path, headers, body, patience, |_| true)
}

/// The same; `watch` sees each part of the body as it arrives, and the client leaves once it returns false.
pub fn ask_watching(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    patience: Duration,
    mut watch: impl FnMut(&[u8]) -> bool,
) -> Option<Answer> {
    let until = Instant::now() + patience;
    let mut stream = TcpStream::connect_timeout(&to, ms(1_000)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(patience)).ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\nconnection: close\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method == "POST" {
        text.push_str(&format!("content-length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    stream.write_all(&[text.as_bytes(), body].concat()).ok()?;
    let mut reader = BufReader::new(stream);
    let line = read_line(&mut reader).ok()??;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader).ok()?;
    let mut answer = Answer { status, headers, ..Answer::default() };
    let length = answer.header("content-length").and_then(|length| length.parse::<usize>().ok());
    let chunked = answer.header("transfer-encoding").is_some();
    loop {
        if Instant::now() >= until || length.is_some_and(|length| answer.body.len() >= length) {
            answer.whole = length.is_some_and(|length| answer.body.len() >= length);
            return Some(answer);
        }
        let part = if chunked {
            read_chunk(&mut reader)
        } else {
            let mut bytes = vec![0; 4_096];
            reader.read(&mut bytes).map(|count| bytes[..count].to_vec())
        };
        match part {
            Ok(part) if part.is_empty() => {
                answer.whole = chunked || length.is_none();
                return Some(answer);
            }
            Ok(part) => {
                answer.body.extend(&part);
                if !watch(&part) {
                    return Some(answer);
                }
            }
            Err(_) => return Some(answer),
        }
    }
}

// ---- the platform's store

#[derive(Default)]
struct Topic {
    records: Vec<(String, Vec<u8>)>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
}

/// A stand-in of the store: keyed topics, conditional appends, reads that wait.
#[derive(Clone, Default)]
pub struct Store {
    topics: Arc<(Mutex<HashMap<String, Topic>>, Condvar)>,
}

impl Store {
    /// Appends a record; an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) -> u64 {
        let mut topics = lock(&self.topics.0);
        let topic = topics.entry(topic.to_owned()).or_default();
        let offset = topic.records.len() as u64;
        topic.records.push((key.to_owned(), value.to_vec()));
        if value.is_empty() {
            topic.newest.remove(key);
        } else {
            topic.newest.insert(key.to_owned(), (offset, value.to_vec()));
        }
        self.topics.1.notify_all();
        offset
    }

    pub fn serve(&self, address: SocketAddr) -> Server {
        let store = self.clone();
        Server::start(address, move |request, link| store.answer(request, link)).unwrap()
    }

    fn answer(&self, request: &Request, link: &mut Link) -> io::Result<bool> {
        let name = request.query("topic").unwrap_or("").to_owned();
        let path = request.path.split('?').next().unwrap_or("").to_owned();
        thread::sleep(ms(4));
        let bytes = match path.as_str() {
            "/api/log-newest" => self.newest(&name),
            "/api/log-read" => self.read(&name, request),
            "/api/log-append" => self.append(&name, request),
            _ => response(404, &[], b""),
        };
        link.say(&bytes)?;
        Ok(true)
    }

    fn newest(&self, name: &str) -> Vec<u8> {
        let topics = lock(&self.topics.0);
        let Some(topic) = topics.get(name) else { return response(404, &[], b"") };
        let items: Vec<String> = topic
            .newest
            .iter()
            .map(|(key, (offset, value))| {
                format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
            })
            .collect();
        let body = format!("{{\"items\":[{}],\"truncated\":false,\"end\":{}}}", items.join(","), topic.records.len());
        response(200, &[("content-type", "application/json")], body.as_bytes())
    }

    fn read(&self, name: &str, request: &Request) -> Vec<u8> {
        let number = |field| request.query(field).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let (from, until) = (number("source") as usize, Instant::now() + ms(number("wait-ms")));
        let mut topics = lock(&self.topics.0);
        loop {
            let end = topics.entry(name.to_owned()).or_default().records.len();
            let now = Instant::now();
            if end > from || now >= until {
                break;
            }
            topics = self.topics.1.wait_timeout(topics, until - now).unwrap_or_else(|poisoned| poisoned.into_inner()).0;
        }
        let topic = &topics[name];
        let mut bytes = (topic.records.len() as u64).to_be_bytes().to_vec();
        bytes.extend(0_u64.to_be_bytes());
        for (key, value) in topic.records.iter().skip(from) {
            bytes.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
            bytes.push(key.len() as u8);
            bytes.extend(key.as_bytes());
            bytes.extend(value);
        }
        response(200, &[], &bytes)
    }

    fn append(&self, name: &str, request: &Request) -> Vec<u8> {
        let expected = request.query("store-revision").and_then(|text| text.parse::<u64>().ok());
        let end = lock(&self.topics.0).entry(name.to_owned()).or_default().records.len() as u64;
        if expected.is_some_and(|expected| expected != end) || name == "keyed.servers" {
            return response(if name == "keyed.servers" { 403 } else { 412 }, &[], format!("{{\"end\":{end}}}").as_bytes());
        }
        let length = usize::from(request.body[4]);
        let key = String::from_utf8_lossy(&request.body[5..5 + length]).into_owned();
        let offset = self.put(name, &key, &request.body[5 + length..]);
        response(200, &[("content-type", "application/json")], format!("{{\"offset\":{offset},\"end\":{}}}", offset + 1).as_bytes())
    }
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let word = (u32::from(part[0]) << 16)
            | (u32::from(*part.get(1).unwrap_or(&0)) << 8)
            | u32::from(*part.get(2).unwrap_or(&0));
        for place in 0..4 {
            let sign = SIGNS[(word >> (18 - 6 * place)) as usize & 63];
            text.push(if place <= part.len() { sign as char } else { '=' });
        }
    }
    text
}

// ---- nodes

/// A deployment on loopback addresses of its own.
pub struct Site {
    pub store: Store,
    store_server: Server,
    net: String,
    folder: PathBuf,
    nodes: Mutex<Vec<(usize, Child)>>,
}

/// Zones of the nodes, in turn.
pub const ZONES: [&str; 3] = ["holt-hall", "grandi-hall", "vogar-hall"];

/// Port on which each node takes clients' requests, and answers whether it is ready.
const FRONT: u16 = 8149;
const READY: u16 = 8141;

impl Site {
    pub fn new() -> Self {
        let random = (unix_ms() ^ (u64::from(std::process::id()) << 7)) as usize;
        let net = format!("127.{}.{}", 20 + random % 200, 1 + (random / 200) % 250);
        let folder = std::env::temp_dir().join(format!("crosslane-review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let store = Store::default();
        let store_server = store.serve(format!("{net}.250:0").parse().unwrap());
        Self { store, store_server, net, folder, nodes: Mutex::default() }
    }

    /// Address of a machine of the site, with any free port.
    pub fn address(&self, machine: usize) -> SocketAddr {
        format!("{}.{machine}:0", self.net).parse().unwrap()
    }

    pub fn front(&self, node: usize) -> SocketAddr {
        format!("{}.{}:{FRONT}", self.net, node + 1).parse().unwrap()
    }

    /// Starts a node process as the deploy file says, with the settings of a small deployment.
    pub fn start_node(&self, node: usize, count: usize) {
        let ip = format!("{}.{}", self.net, node + 1);
        let seeds: Vec<String> = (0..count.min(3)).map(|seed| format!("\"{}.{}:8144\"", self.net, seed + 1)).collect();
        let zone = ZONES[node % ZONES.len()];
        let text = format!(
            "node-name = \"front-{zone}-{node}\"\nrole = \"crosslaned\"\nmachine-class = \"front\"\n\
             serves = [\"front\",\"control\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"hofud\"\n\
             internal-ports = [7380,7395]\nseeds = [{}]\nfirst-start = true\nloss-counts = false\n\
             discovery = \"platform\"\nentry = \"vip\"\nheartbeat-ms = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"split\",\"stream\",\"engine\",\"platform\"]\n\
             [zones]\nholt-hall = \"hofud\"\ngrandi-hall = \"hofud\"\nvogar-hall = \"hofud\"\n\
             [listen]\nfront = \"{ip}:{FRONT}\"\nready = \"{ip}:{READY}\"\ncontrol = \"{ip}:8144\"\n\
             [limits]\ncpu-share = 0.25\ncores = 1\nmemory-mb = 260\nmax-fds = 4100\nlink-mbps = 1000.0\ndisk-mb = 0\n\
             [fault-tolerance]\nmachines = 2\nzones = 0\nregions = 0\n\
             [bounds]\nseed-lag-s = 3\nreuse-after-s = 2\ncontact-ms = 3000\nack-ms = 4000\ncatch-up-s = 4\n\
             drain-ms = 2000\ngrace-s = 8\nlost-slack-ms = 200\nconfig-apply-ms = 2000\nrollback-slack-ms = 250\n\
             max-stretch-ms = 5000\nretry-budget-ratio = 0.2\nbudget-window-s = 10\nbudget-slack = 52\nrecover-s = 12\n\
             transit-ms = 120\nretry-after-s = 7.2\nrequire-fencing = true\nlease-ms = 3000\nthaw-ms = 300\n\
             [platform]\naddress = \"{}\"\nform = \"log\"\nwrites-per-s = 400\nreads-per-s = 2000\nparts = 24\n\
             append-ms = 1.0\ningress-per-s = 20.0\negress-per-s = 80.0\nrecord-bytes = 262144\ncall-bytes = 2097152\n\
             keep_s = 300\npart-mb = 200\nttl-min-ms = 1000\n",
            seeds.join(","),
            self.store_server.address,
        );
        let path = self.folder.join(format!("node-{node}.toml"));
        fs::write(&path, text).unwrap();
        let log = File::options().create(true).append(true).open(self.folder.join(format!("node-{node}.log"))).unwrap();
        let child = Command::new("target/release/crosslaned")
            .arg("site")
            .env("CROSSLANE_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| fail(&format!("target/release/crosslaned does not start: {error}")));
        lock(&self.nodes).push((node, child));
    }

    pub fn start_nodes(&self, count: usize) {
        (0..count).for_each(|node| self.start_node(node, count));
        for node in 0..count {
            self.until_ready(node, ms(20_000));
        }
        // The nodes have heard of each other by then.
        thread::sleep(ms(1_500));
    }

    pub fn is_ready(&self, node: usize) -> bool {
        let address = format!("{}.{}:{READY}", self.net, node + 1).parse().unwrap();
        ask(address, "GET", "/api/ready", &[("host", "ready".into())], b"", ms(1_000)).is_some_and(|answer| answer.status == 200)
    }

    pub fn until_ready(&self, node: usize, patience: Duration) {
        let until = Instant::now() + patience;
        while !self.is_ready(node) {
            if Instant::now() >= until {
                fail(&format!("node {node} is not ready"));
            }
            thread::sleep(ms(50));
        }
    }

    /// Sends a signal to a node process that this script started.
    pub fn signal(&self, node: usize, name: &str) {
        for (known, child) in lock(&self.nodes).iter() {
            if *known == node {
                let _ = Command::new("kill").arg(format!("-{name}")).arg(child.id().to_string()).status();
            }
        }
    }

    /// Resident memory of a node.
    pub fn memory_kb(&self, node: usize) -> u64 {
        let pid = lock(&self.nodes).iter().find(|(known, _)| *known == node).map(|(_, child)| child.id());
        let text = pid.and_then(|pid| fs::read_to_string(format!("/proc/{pid}/status")).ok()).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    }

    /// Kills a node and waits until it has ended.
    pub fn kill_node(&self, node: usize) {
        let mut nodes = lock(&self.nodes);
        while let Some(index) = nodes.iter().position(|(known, _)| *known == node) {
            let (_, mut child) = nodes.remove(index);
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Lines of a node's log that hold a text.
    pub fn log_lines(&self, node: usize, with: &str) -> Vec<String> {
        let text = fs::read_to_string(self.folder.join(format!("node-{node}.log"))).unwrap_or_default();
        text.lines().filter(|line| line.contains(with)).map(str::to_owned).collect()
    }

    pub fn end(&self) {
        for (_, child) in lock(&self.nodes).iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        lock(&self.nodes).clear();
        self.store_server.stop();
        match std::env::var_os("KEEP") {
            Some(_) => println!("logs: {}", self.folder.display()),
            None => drop(fs::remove_dir_all(&self.folder)),
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.end();
    }
}

/// The case could not run.
pub fn fail(why: &str) -> ! {
    println!("could not run: {why}");
    // Unwinds, so that the processes that were started are ended.
    std::panic::panic_any(CouldNotRun)
}

struct CouldNotRun;

/// Runs a case; its process exits with its verdict, or with 2 if it could not run.
pub fn run(case: impl FnOnce() -> i32 + std::panic::UnwindSafe) -> ! {
    std::process::exit(std::panic::catch_unwind(case).unwrap_or(2))
}

// ---- texts

/// A route of the configuration.
pub fn route(name: &str, prefix: &str, kind: &str, service: &str, more: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"ficu95.example\",\"path-prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
         \"priority\":1,\"service\":\"{service}\",{more}}}"
    )
}

/// A configuration with the services of the small deployment: `huvo11a` runs models, `wuno96b` is plain.
pub fn configuration(version: u64, routes: &[String]) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"huvo11a\",\"health-path\":\"/health\",\
         \"max-connections\":610,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":128,\"kv-capacity\":53213,\
         \"token-kv-bytes\":18432,\"link-mbps\":350000.0,\"moves\":true,\"backups\":true,\"stride\":11,\"most\":12,\
         \"kv-ttl-s\":0.5,\"switch-s\":6.0,\"pin-ms\":4000.0,\"hold-ms\":2000.0,\"models\":[{{\"name\":\"m\"}}]}}}},\
         {{\"name\":\"wuno96b\",\"health-path\":\"/health\",\"max-connections\":96,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\
         \"idle-timeout-ms\":15000}}}}",
        routes.join(",")
    )
}

/// What a runner says of itself in the store. `stage` is empty for a plain one.
pub fn entry(service: &str, address: SocketAddr, zone: &str, version: &str, state: &str, stage: &str, sequence: u64, born: u64) -> String {
    let stage = match stage {
        "" => String::new(),
        stage => format!("\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],"),
    };
    let slots = if stage.is_empty() { 6 } else { 128 };
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"{version}\",\"slots\":{slots},\
         \"state\":\"{state}\",\"cold-remaining-ms\":0,{stage}\"sequence\":{sequence},\"born\":{born}}}"
    )
}
