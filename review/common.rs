//! Small stand-ins for the cases of the review: the platform's store, an HTTP server and client, and the start of nodes as
//! processes. Only the standard library is used.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A request, read whole.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn id(&self) -> String {
        self.header("x-crosslane-request-id").unwrap_or_default().to_owned()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

pub fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
}

fn invalid(why: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why.to_owned())
}

/// Reads a start line and headers; none if the connection ended before them.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut start = String::new();
    if reader.read_line(&mut start)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if line.is_empty() {
            return Ok(Some((start.trim_end().to_owned(), headers)));
        }
        let (name, value) = line.split_once(':').ok_or_else(|| invalid("a line without a colon"))?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or_default(), 16)
        .map_err(|_| invalid("a chunk without a size"))?;
    let mut bytes = vec![0; size + 2];
    reader.read_exact(&mut bytes)?;
    bytes.truncate(size);
    Ok((size > 0).then_some(bytes))
}

pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((start, headers)) = read_head(reader)? else { return Ok(None) };
    let mut words = start.split(' ');
    let mut word = || words.next().unwrap_or_default().to_owned();
    let (method, target) = (word(), word());
    let mut body = Vec::new();
    if find(&headers, "transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(reader)? {
            body.extend(chunk);
        }
    } else if let Some(length) = find(&headers, "content-length").and_then(|it| it.parse().ok()) {
        body = vec![0; length];
        reader.read_exact(&mut body)?;
    }
    Ok(Some(Request { method, target, headers, body }))
}

/// Bytes of an answer with a length.
pub fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status}\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend(format!("{name}: {value}\r\n").bytes());
    }
    bytes.extend(format!("content-length: {}\r\n\r\n", body.len()).bytes());
    bytes.extend(body);
    bytes
}

/// Starts a server; the handler writes the answer and says whether the connection is kept.
pub fn serve(
    at: SocketAddr,
    handle: impl Fn(Request, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(at)?;
    let address = listener.local_addr()?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let handle = handle.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(copy) = stream.try_clone() else { return };
                let mut reader = BufReader::new(copy);
                while let Ok(Some(request)) = read_request(&mut reader) {
                    if !handle(request, &mut stream).unwrap_or(false) {
                        return;
                    }
                }
            });
        }
    });
    Ok(address)
}

/// An answer as a client reads it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    pub reader: BufReader<TcpStream>,
}

impl Client {
    pub fn open(to: SocketAddr, patience: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(patience))?;
        stream.set_write_timeout(Some(patience))?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    pub fn send(&mut self, method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut bytes = format!("{method} {path} HTTP/1.1\r\nhost: desk.example\r\n").into_bytes();
        for (name, value) in headers {
            bytes.extend(format!("{name}: {value}\r\n").bytes());
        }
        if method != "GET" {
            bytes.extend(format!("content-length: {}\r\n", body.len()).bytes());
        }
        bytes.extend(b"\r\n");
        bytes.extend(body);
        self.stream.write_all(&bytes)
    }

    /// Reads an answer whole.
    pub fn answer(&mut self) -> io::Result<Answer> {
        let (start, headers) = read_head(&mut self.reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if !start.starts_with("HTTP/1.") {
            return Err(invalid(&format!("no status line: {start:.60?}")));
        }
        let status = start.split(' ').nth(1).and_then(|it| it.parse().ok()).ok_or_else(|| invalid("no status"))?;
        let mut body = Vec::new();
        if find(&headers, "transfer-encoding").is_some() {
            while let Some(chunk) = read_chunk(&mut self.reader)? {
                body.extend(chunk);
            }
        } else if let Some(length) = find(&headers, "content-length").and_then(|it| it.parse().ok()) {
            body = vec![0; length];
            self.reader.read_exact(&mut body)?;
        } else {
            self.reader.read_to_end(&mut body)?;
        }
        Ok(Answer { status, headers, body })
    }
}

/// Text of a string field in a flat JSON object.
pub fn json_text(body: &str, name: &str) -> Option<String> {
    let rest = &body[body.find(&format!("\"{name}\""))? + name.len() + 2..];
    let rest = rest.trim_start().strip_prefix(':')?.trim_start().strip_prefix('"')?;
    Some(rest[..rest.find('"')?].to_owned())
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let word = part.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte)) << (8 * (3 - part.len()));
        for place in 0..4 {
            let sign = SIGNS[(word >> (18 - 6 * place)) as usize & 63] as char;
            text.push(if place <= part.len() { sign } else { '=' });
        }
    }
    text
}

/// Records and bytes that a page of the newest records holds at most.
const PAGE: (usize, usize) = (500, 1 << 20);

/// Bytes of records that one read returns at most.
const READ_BYTES: usize = 1_024 << 10;

/// Decodes a part of a query.
fn decode(text: &str) -> String {
    let (mut bytes, mut rest) = (Vec::new(), text.as_bytes());
    while let Some((first, after)) = rest.split_first() {
        let code = after.get(..2).and_then(|two| std::str::from_utf8(two).ok()).and_then(|two| u8::from_str_radix(two, 16).ok());
        match (first, code) {
            (b'%', Some(code)) => {
                bytes.push(code);
                rest = &after[2..];
            }
            _ => {
                bytes.push(*first);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

#[derive(Default)]
struct Topic {
    records: Vec<(String, Vec<u8>)>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
}

/// The platform's store: keyed topics of one partition.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<HashMap<String, Topic>>, Condvar)>);

impl Store {
    pub fn serve(&self) -> io::Result<SocketAddr> {
        let store = self.clone();
        serve("127.0.0.1:0".parse().unwrap(), move |request, stream| {
            let bytes = store.call(&request);
            stream.write_all(&bytes)?;
            Ok(true)
        })
    }

    /// Appends a record as the operator or a server does; an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) -> u64 {
        let mut topics = lock(&self.0.0);
        let topic = topics.entry(topic.to_owned()).or_default();
        let offset = topic.records.len() as u64;
        topic.records.push((key.to_owned(), value.to_vec()));
        match value.is_empty() {
            true => drop(topic.newest.remove(key)),
            false => drop(topic.newest.insert(key.to_owned(), (offset, value.to_vec()))),
        }
        drop(topics);
        self.0.1.notify_all();
        offset
    }

    fn call(&self, request: &Request) -> Vec<u8> {
        let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        let field = |name: &str| {
            query.split('&').filter_map(|pair| pair.split_once('=')).find(|(known, _)| *known == name).map(|(_, value)| value.to_owned())
        };
        let topic = field("topic").unwrap_or_default();
        let number = |name: &str| field(name).and_then(|text| text.parse::<u64>().ok());
        match path {
            "/api/log-newest" => self.newest(&topic, field("after").map(|key| decode(&key))),
            "/api/log-read" => self.read(&topic, number("source").unwrap_or(0), number("wait-ms").unwrap_or(0)),
            "/api/log-append" => self.append(&topic, number("store-revision"), &request.body),
            _ => answer("404 Not Found", &[], b""),
        }
    }

    /// The newest record of each key, 500 or 1 MB at most, after a key.
    fn newest(&self, topic: &str, after: Option<String>) -> Vec<u8> {
        let mut topics = lock(&self.0.0);
        let topic = topics.entry(topic.to_owned()).or_default();
        let (mut items, mut bytes, mut truncated) = (Vec::new(), 0, false);
        for (key, (offset, value)) in &topic.newest {
            if after.as_ref().is_some_and(|after| key <= after) {
                continue;
            }
            if items.len() == PAGE.0 || !items.is_empty() && bytes + value.len() > PAGE.1 {
                truncated = true;
                break;
            }
            bytes += value.len();
            items.push(format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value)));
        }
        let body = format!("{{\"items\":[{}],\"truncated\":{truncated},\"end\":{}}}", items.join(","), topic.records.len());
        answer("200 OK", &[("content-type", "application/json")], body.as_bytes())
    }

    fn read(&self, name: &str, from: u64, wait_ms: u64) -> Vec<u8> {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut topics = lock(&self.0.0);
        loop {
            let topic = topics.entry(name.to_owned()).or_default();
            let end = topic.records.len() as u64;
            let left = until.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                let mut bytes = end.to_be_bytes().to_vec();
                bytes.extend(0_u64.to_be_bytes());
                for (key, value) in topic.records.iter().skip(from as usize) {
                    if bytes.len() > 16 && bytes.len() + value.len() > READ_BYTES {
                        break;
                    }
                    bytes.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                    bytes.push(key.len() as u8);
                    bytes.extend(key.as_bytes());
                    bytes.extend(value);
                }
                return answer("200 OK", &[], &bytes);
            }
            topics = self.0.1.wait_timeout(topics, left).unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn append(&self, name: &str, expected: Option<u64>, body: &[u8]) -> Vec<u8> {
        let key_length = usize::from(*body.get(4).unwrap_or(&0));
        let (Some(key), Some(value)) = (body.get(5..5 + key_length), body.get(5 + key_length..)) else {
            return answer("400 Bad Request", &[], b"{}");
        };
        let key = String::from_utf8_lossy(key).into_owned();
        let end = lock(&self.0.0).entry(name.to_owned()).or_default().records.len() as u64;
        if expected.is_some_and(|expected| expected != end) {
            return answer("412 Precondition Failed", &[], format!("{{\"end\":{end}}}").as_bytes());
        }
        let offset = self.put(name, &key, value);
        answer("200 OK", &[], format!("{{\"offset\":{offset},\"end\":{}}}", offset + 1).as_bytes())
    }
}

/// Entry of a server in the store.
pub fn entry(service: &str, address: SocketAddr, stage: Option<&str>, state: &str) -> Vec<u8> {
    let stage = stage.map_or(String::new(), |stage| format!(",\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}]"));
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":64,\"state\":\"{state}\",\"cold-remaining-ms\":0,\"sequence\":1,\"born\":1790000000000{stage}}}"
    )
    .into_bytes()
}

/// A folder for one run, removed at its end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> io::Result<Self> {
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos();
        let path = std::env::temp_dir().join(format!("crosslane-review-{}-{nanos}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A node as a process of its own.
pub struct Node {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub process: Child,
    pub log: PathBuf,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Loopback addresses of nodes, other ones for each run.
pub fn node_ip(number: u8) -> Ipv4Addr {
    let id = std::process::id();
    Ipv4Addr::new(127, 64 + (id >> 8 & 63) as u8, id as u8, 10 + number)
}

pub const MEMORY_MB: u64 = 110;

impl Node {
    /// Starts a node with the command of the deploy file and the settings of a small deployment.
    pub fn start(folder: &Path, number: u8, count: u8, store: SocketAddr) -> io::Result<Self> {
        let ip = node_ip(number);
        let (front, ready, control) = (8149, 8141, 8144);
        let seeds: Vec<String> = (0..count.min(3)).map(|it| format!("\"{}:{control}\"", node_ip(it))).collect();
        let text = format!(
            r#"node-name = "front-zone-a-{number}"
role = "crosslaned"
machine-class = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "zone-a"
region = "ch-plateau"
internal-ports = [7380,7395]
seeds = [{seeds}]
first-start = true
loss-counts = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","platform"]
[zones]
zone-a = "ch-plateau"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpu-share = 0.25
cores = 1
memory-mb = {MEMORY_MB}
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
contact-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 8
lost-slack-ms = 200
config-apply-ms = 2000
rollback-slack-ms = 250
max-stretch-ms = 5000
retry-budget-ratio = 0.2
budget-window-s = 10
budget-slack = 56
recover-s = 12
transit-ms = 120
retry-after-s = 5.6
require-fencing = true
lease-ms = 3000
thaw-ms = 300
[platform]
address = "{store}"
form = "log"
writes-per-s = 400
reads-per-s = 2000
parts = 24
append-ms = 1.0
ingress-per-s = 20.0
egress-per-s = 80.0
record-bytes = 262144
call-bytes = 2097152
keep_s = 300
part-mb = 200
ttl-min-ms = 1000
"#,
            seeds = seeds.join(",")
        );
        let file = folder.join(format!("node-{number}.toml"));
        fs::write(&file, text)?;
        let log = folder.join(format!("node-{number}.log"));
        let process = Command::new("target/release/crosslaned")
            .arg("site")
            .env("CROSSLANE_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(File::create(&log)?)
            .stderr(File::create(folder.join(format!("node-{number}.err")))?)
            .spawn()?;
        let at = |port: u16| SocketAddr::from((ip, port));
        Ok(Self { front: at(front), ready: at(ready), process, log })
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut client) = Client::open(self.ready, Duration::from_secs(1)) else { return false };
        client.send("GET", "/api/ready", &[], b"").is_ok() && client.answer().is_ok_and(|it| it.status == 200)
    }

    pub fn until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Resident memory in MB; nothing once the process has ended.
    pub fn memory_mb(&self) -> Option<f64> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.process.id())).ok()?;
        let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse::<f64>().ok().map(|kb| kb / 1_024.0)
    }
}

/// What was sent, answered and run.
#[derive(Clone)]
pub struct Record(Arc<Mutex<(File, Instant)>>);

impl Record {
    pub fn create(path: &str) -> io::Result<Self> {
        Ok(Self(Arc::new(Mutex::new((File::create(path)?, Instant::now())))))
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut inner = lock(&self.0);
        let at = inner.1.elapsed().as_secs_f64();
        let _ = writeln!(inner.0, "{at:9.3} {}", text.as_ref());
    }
}

/// Whether the case runs with its disruption.
pub fn troubled() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Ends the case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
pub fn exit(result: Result<bool, String>, record: &Record) -> ! {
    let code = match result {
        Ok(true) => {
            println!("the rule was broken");
            1
        }
        Ok(false) => {
            println!("the rule held");
            0
        }
        Err(why) => {
            record.line(format!("the case couldn't run: {why}"));
            println!("the case couldn't run: {why}");
            2
        }
    };
    std::process::exit(code)
}

/// A route of the plain service as the configuration gives it.
pub fn plain_route(path: &str, kind: &str, attempts: u32) -> String {
    format!(
        "{{\"name\":\"{path}\",\"host\":\"desk.example\",\"path-prefix\":\"{path}\",\"kind\":\"{kind}\",\"timeout-ms\":1500,\"target-latency-ms\":300,\"service\":\"portal\",\"max-attempts\":{attempts},\"priority\":2}}"
    )
}

/// A configuration with a plain service, and one of engines.
pub fn configuration(routes: &[String]) -> Vec<u8> {
    format!(
        "{{\"version\":3,\"routes\":[{}],\"services\":[{{\"name\":\"portal\",\"health-path\":\"/health\",\"max-connections\":110}},{{\"name\":\"models\",\"health-path\":\"/health\",\"max-connections\":620,\"engine\":{{\"kv-capacity\":66897,\"hold-ms\":2000,\"kv-ttl-s\":0.5}}}}],\"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}",
        routes.join(",")
    )
    .into_bytes()
}

/// Whether a server is the one that a request names; if not, it has answered so.
pub fn is_meant(request: &Request, id: &str, stream: &mut TcpStream) -> io::Result<bool> {
    if request.header("x-crosslane-expect-instance").is_none_or(|expected| expected == id) {
        return Ok(true);
    }
    stream.write_all(&answer("421 Misdirected Request", &[("x-crosslane-request-id", &request.id())], b""))?;
    Ok(false)
}

/// Any free loopback port.
pub fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
