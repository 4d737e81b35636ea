// Stand-ins for model runners, of cases that need some. Included after `common-2.rs`.

/// What a case changes about its runners.
pub trait Twist: Send + Sync + 'static {
    /// A call that is not a request of a client. `true` if it was answered here.
    fn control(&self, _: &Engine, _: &Request, _: &mut Link) -> io::Result<bool> {
        Ok(false)
    }

    /// Whether the stream of a request is sent without length or chunks, and so ends with its connection.
    fn unframed(&self, _: &Engine, _: &Request) -> bool {
        false
    }

    /// Whether an event is the last one of the stream of a request.
    fn is_last(&self, _: &Engine, _: &Request, event: u64) -> bool {
        event == 70
    }

    /// Whether the run of a request was stopped here by a call.
    fn is_stopped(&self, _: &Engine, _id: &str) -> bool {
        false
    }

    /// Called when a run begins, and when it has ended, whether or not the whole stream was made.
    fn began(&self, _: &Engine, _: &Request) {}
    fn ended(&self, _: &Engine, _: &Request) {}
}

/// One life of a runner.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub stage: &'static str,
    pub version: String,
    pub zone: String,
    pub born: u64,
    pub record: Arc<Record>,
    pub twist: Arc<dyn Twist>,
    names: Arc<std::sync::atomic::AtomicU64>,
    server: Arc<Mutex<Option<Server>>>,
}

pub const MODELS: &str = "huvo11a";

impl Engine {
    /// Starts a runner at an address; it is not in the store yet.
    pub fn start(
        address: SocketAddr,
        (id, stage, version, zone): (&str, &'static str, &str, &str),
        record: &Arc<Record>,
        twist: Arc<dyn Twist>,
    ) -> Self {
        let engine = Self {
            id: id.into(),
            stage,
            version: version.into(),
            zone: zone.into(),
            born: unix_ms(),
            record: record.clone(),
            twist,
            names: Arc::default(),
            server: Arc::default(),
        };
        let serving = engine.clone();
        let server = Server::start(address, move |request, link| serving.answer(request, link));
        *lock(&engine.server) = Some(server.unwrap_or_else(|error| fail(&format!("a runner does not start: {error}"))));
        engine
    }

    pub fn address(&self) -> SocketAddr {
        lock(&self.server).as_ref().map(|server| server.address).unwrap()
    }

    /// Writes its entry.
    pub fn register(&self, store: &Store, state: &str, sequence: u64) {
        let text = entry(MODELS, self.address(), &self.zone, &self.version, state, self.stage, sequence, self.born);
        store.put("keyed.servers", &self.id, text.as_bytes());
        self.record.say(format!("runner {} {} {} is {state} in the store", self.id, self.stage, self.version));
    }

    /// Ends its process.
    pub fn crash(&self) {
        lock(&self.server).as_ref().unwrap().stop();
    }

    pub fn name(&self) -> String {
        format!("{:012x}", (self.names.fetch_add(1, Ordering::SeqCst) + 1) * 0x1_0001 + (self.born & 0xfff) * 0x1_0000_0000)
    }

    fn answer(&self, request: &Request, link: &mut Link) -> io::Result<bool> {
        let expected = request.header("x-crosslane-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            link.say(&response(421, &[("x-crosslane-instance-id", &self.id), ("x-crosslane-request-id", request.id())], b""))?;
            return Ok(true);
        }
        if request.path.starts_with("/api/") || request.path == "/health" {
            if self.twist.control(self, request, link)? {
                return Ok(true);
            }
            let bytes = self.control(request);
            link.say(&bytes)?;
            return Ok(true);
        }
        let prefill = request.header("x-crosslane-serving-stage").is_some();
        if prefill != (self.stage == "prefill") {
            link.say(&response(421, &[("x-crosslane-request-id", request.id())], b""))?;
            return Ok(true);
        }
        if prefill {
            thread::sleep(ms(40));
            let body = format!("{{\"kv-handle\":\"{}\",\"tokens\":5200,\"version\":1}}", self.name());
            let headers = [("x-crosslane-request-id", request.id()), ("content-type", "application/json")];
            link.say(&response(200, &headers, body.as_bytes()))?;
            return Ok(true);
        }
        self.stream(request, link)
    }

    fn control(&self, request: &Request) -> Vec<u8> {
        let json = [("content-type", "application/json")];
        let path = request.path.split('?').next().unwrap_or("");
        match (request.method.as_str(), path) {
            ("POST", "/api/hold-take") => response(200, &json, format!("{{\"hold\":\"{}\"}}", self.name()).as_bytes()),
            ("DELETE", _) => response(200, &[], b""),
            ("GET", "/api/kv-list") => {
                response(200, &json, b"{\"epoch\":1,\"next-page-token\":\"0\",\"held\":[]}")
            }
            ("GET", "/api/report") => {
                let text = format!(
                    "{{\"stage\":\"{}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\"sequence\":1,\
                     \"queued\":0,\"running\":0,\"kv-used\":0,\"kv-total\":53213,\"kv-handles\":0,\"born\":{}}}",
                    self.stage, self.born
                );
                response(200, &json, text.as_bytes())
            }
            ("POST", "/api/kv-move") => response(404, &json, b"{}"),
            ("POST", "/api/order") => response(409, &json, b"{}"),
            ("GET", "/health") => response(200, &[("x-crosslane-instance-id", &self.id)], b""),
            _ => response(404, &[], b""),
        }
    }

    fn stream(&self, request: &Request, link: &mut Link) -> io::Result<bool> {
        let id = request.id();
        let after = request.header("last-event-id").and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let unframed = self.twist.unframed(self, request);
        let source = request.header("x-crosslane-kv-source").unwrap_or("none");
        self.record.say(format!("runner {} {} runs {id} after event {after}, source {source}", self.id, self.version));
        let framing = if unframed { "connection: close\r\n" } else { "transfer-encoding: chunked\r\n" };
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-crosslane-request-id: {id}\r\n\
             x-crosslane-response-seal: 3e1b.07\r\nx-crosslane-server-load: 3,0,128\r\n{framing}\r\n"
        );
        link.say(head.as_bytes())?;
        self.twist.began(self, request);
        let mut event = after;
        loop {
            event += 1;
            if !self.pause(id, event, link) {
                self.twist.ended(self, request);
                return Ok(false);
            }
            let text = format!("id: {event}\ndata: {id} {event} {}\n\n", self.version);
            let bytes = if unframed { text.into_bytes() } else { format!("{:x}\r\n{text}\r\n", text.len()).into_bytes() };
            link.say(&bytes)?;
            if self.twist.is_last(self, request, event) {
                break;
            }
        }
        self.twist.ended(self, request);
        self.record.say(format!("runner {} has sent the whole stream of {id}, {event} events", self.id));
        if unframed {
            // The run is over; its connection is closed a moment later.
            thread::sleep(ms(10));
            return Ok(false);
        }
        link.say(b"0\r\n\r\n")?;
        Ok(true)
    }

    /// Time until the next event. False if the run was stopped meanwhile, or its connection closed.
    fn pause(&self, id: &str, event: u64, link: &Link) -> bool {
        let until = Instant::now() + ms(100);
        while Instant::now() < until {
            if self.twist.is_stopped(self, id) {
                return false;
            }
            thread::sleep(ms(2));
        }
        if link.is_closed() {
            self.record.say(format!("runner {}: the connection of {id} was closed before event {event}", self.id));
            return false;
        }
        !self.twist.is_stopped(self, id)
    }
}

/// Events of a stream as its client has them: number and software version of each.
pub fn events(body: &[u8]) -> Vec<(u64, String)> {
    let text = String::from_utf8_lossy(body);
    let mut events = Vec::new();
    for event in text.split("\n\n").filter(|event| event.contains("data: ")) {
        let number = event.lines().find_map(|line| line.strip_prefix("id: ")).and_then(|text| text.parse().ok());
        let version = event.rsplit(' ').next().unwrap_or("").to_owned();
        events.push((number.unwrap_or(0), version));
    }
    events
}

/// Headers of a client's request for a stream.
pub fn stream_headers(id: &str) -> Vec<(&'static str, String)> {
    vec![
        ("host", "ficu95.example".to_owned()),
        ("x-crosslane-request-id", id.to_owned()),
        ("x-crosslane-model", "m".to_owned()),
        ("x-crosslane-token-count", "5200,71".to_owned()),
        ("x-crosslane-prompt-prefix", format!("5c1e07a2:200,{id}:5000")),
        ("x-crosslane-deadline-ms", "14000".to_owned()),
    ]
}
