//! A runner leaves, and its runs are moved. One of its answers to a call is followed by a second copy, which arrives in the place of
//! the next answer on that connection.

include!("../common-2.rs");
include!("../engines-2.rs");

const NODES: usize = 3;
const STREAMS: usize = 240;
const PREFILL: usize = 2;
const DECODE: usize = 6;
/// Most answers that may be followed by a second one.
const SHARE: f64 = 0.03;
/// Time from a runner's word that it leaves until some of its runs happen to end.
const ENDS_AFTER: Duration = Duration::from_millis(1_050);

#[derive(Default)]
struct State {
    /// Runs by request, with the runner that has them.
    running: HashMap<String, String>,
    /// Runs that a call has stopped, with the runner and the handle.
    stopped: HashMap<String, (String, String)>,
    /// Last answer on each connection, if it said that there is no such run.
    not_found: HashMap<usize, Vec<u8>>,
    /// Answers of the leaving runner, and those that were followed by a second one.
    answers: usize,
    surplus: usize,
}

struct Twists {
    trouble: bool,
    leaving: String,
    leaves_at: Mutex<Option<Instant>>,
    state: Mutex<State>,
}

impl Twists {
    fn is_leaving(&self, engine: &Engine) -> bool {
        engine.id == self.leaving
    }
}

/// Streams of every fourth request happen to end while the runner leaves.
fn ends_soon(id: &str) -> bool {
    id.ends_with(['0', '4', '8', 'c'])
}

impl Twist for Twists {
    fn unframed(&self, _: &Engine, _: &Request) -> bool {
        true
    }

    fn is_last(&self, engine: &Engine, request: &Request, event: u64) -> bool {
        let over = || lock(&self.leaves_at).is_some_and(|at| at.elapsed() >= ENDS_AFTER);
        event >= 70 || (self.is_leaving(engine) && ends_soon(request.id()) && over())
    }

    fn is_stopped(&self, engine: &Engine, id: &str) -> bool {
        lock(&self.state).stopped.get(id).is_some_and(|(runner, _)| *runner == engine.id)
    }

    fn began(&self, engine: &Engine, request: &Request) {
        let mut state = lock(&self.state);
        state.answers += usize::from(self.is_leaving(engine));
        state.running.insert(request.id().to_owned(), engine.id.clone());
    }

    fn ended(&self, engine: &Engine, request: &Request) {
        let mut state = lock(&self.state);
        if state.running.get(request.id()) == Some(&engine.id) {
            state.running.remove(request.id());
        }
    }

    fn control(&self, engine: &Engine, request: &Request, link: &mut Link) -> io::Result<bool> {
        if !self.is_leaving(engine) {
            return Ok(false);
        }
        lock(&self.state).answers += 1;
        let former = lock(&self.state).not_found.remove(&link.number);
        if request.path != "/api/kv-move" {
            return Ok(false);
        }
        let id = json_text(&request.text(), "id").unwrap_or_default();
        let (answer, outcome) = {
            let mut state = lock(&self.state);
            if state.running.get(&id) == Some(&engine.id) {
                let handle = engine.name();
                state.stopped.insert(id.clone(), (engine.id.clone(), handle.clone()));
                let body = format!("{{\"kv-handle\":\"{handle}\",\"create-rev\":1}}");
                (response(200, &[("content-type", "application/json")], body.as_bytes()), format!("stopped it, handle {handle}"))
            } else if let Some((_, handle)) = state.stopped.get(&id) {
                let body = format!("{{\"kv-handle\":\"{handle}\",\"create-rev\":1}}");
                (response(200, &[("content-type", "application/json")], body.as_bytes()), format!("had stopped it, handle {handle}"))
            } else {
                (response(404, &[("content-type", "application/json")], b"{}"), "has no such run".to_owned())
            }
        };
        // The run's stream is closed, and its memory copied, before the answer.
        thread::sleep(ms(6));
        let mut second = "";
        if let Some(former) = former.filter(|_| self.trouble) {
            let mut state = lock(&self.state);
            let allowed = (state.answers as f64 * SHARE) as usize;
            if state.surplus < allowed && outcome.starts_with("stopped") {
                state.surplus += 1;
                drop(state);
                second = "; before that answer, a second copy of the last one on this connection arrives";
                link.say(&former)?;
            }
        }
        engine.record.say(format!("runner {} is called to move {id}: {outcome}{second}", engine.id));
        if answer.starts_with(b"HTTP/1.1 404") {
            lock(&self.state).not_found.insert(link.number, answer.clone());
        }
        link.say(&answer)?;
        Ok(true)
    }
}

fn case() -> i32 {
    let Args { folder, trouble } = args();
    let record = Record::create(&folder.join("record.txt"));
    let site = Arc::new(Site::new());
    let more = "\"timeout-ms\":14000,\"target-latency-ms\":900,\"max-attempts\":1,\"sticky\":true,\"resumable\":false,\"gap-aim-ms\":300";
    site.store.put("keyed.op", "config", configuration(7, &[route("r-hh2b9wu", "/pufi791/", "streaming", MODELS, more)]).as_bytes());
    let leaving = format!("i-{PREFILL:02}c2303774");
    let twists = Arc::new(Twists { trouble, leaving, leaves_at: Mutex::default(), state: Mutex::default() });
    let mut engines = Vec::new();
    for index in 0..PREFILL + DECODE {
        let mut address = site.address(100 + index);
        address.set_port(8_520);
        let stage = if index < PREFILL { "prefill" } else { "decode" };
        let id = format!("i-{index:02}c2303774");
        let engine = Engine::start(address, (&id, stage, "v1", ZONES[index % 3]), &record, twists.clone());
        engine.register(&site.store, "ready", 1);
        engines.push(engine);
    }
    site.start_nodes(NODES);
    record.say(format!("{NODES} nodes are ready; trouble: {trouble}"));

    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (site, record) = (site.clone(), record.clone());
            thread::sleep(ms(4));
            thread::spawn(move || {
                let id = format!("{:08x}", 0x9c4_0000 + number);
                let node = number % NODES;
                let mut headers = stream_headers(&id);
                headers.retain(|(name, _)| !["x-crosslane-token-count", "x-crosslane-prompt-prefix"].contains(name));
                headers.push(("x-crosslane-token-count", "200,71".into()));
                headers.push(("x-crosslane-prompt-prefix", format!("5c1e07a2:100,{id}:100")));
                let answer = ask(site.front(node), "POST", "/pufi791/2f", &headers, b"{}", ms(14_000));
                let Some(answer) = answer else {
                    record.say(format!("client gets no answer to {id}"));
                    return (id, 0, 0, false);
                };
                let last = events(&answer.body).last().map_or(0, |event| event.0);
                record.say(format!("client has of {id}: status {}, {last} events, ends as a whole answer: {}", answer.status, answer.whole));
                (id, answer.status, last, answer.whole)
            })
        })
        .collect();

    thread::sleep(ms(1_200));
    engines[PREFILL].register(&site.store, "draining", 2);
    *lock(&twists.leaves_at) = Some(Instant::now());
    let seen: Vec<_> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    let served = seen.iter().filter(|it| it.1 == 200).count();
    // A stream that did not end early has all events.
    let text = fs::read_to_string(folder.join("record.txt")).unwrap();
    let made = |id: &str| text.lines().any(|line| line.contains(&format!("has sent the whole stream of {id},")));
    let short: Vec<&str> = seen.iter().filter(|it| it.1 == 200 && it.3 && !made(&it.0)).map(|it| it.0.as_str()).collect();
    let cut = seen.iter().filter(|it| it.1 == 200 && !it.3).count();
    let state = lock(&twists.state);
    let why = format!(
        "{served} of {STREAMS} streams served, {cut} of them cut; {} of {} answers of the leaving runner were followed by a second one; \
         {} streams ended as whole answers before their last event: {}",
        state.surplus,
        state.answers,
        short.len(),
        short.join(" ")
    );
    site.end();
    verdict(&record, !short.is_empty(), &why)
}

fn main() {
    run(case)
}
