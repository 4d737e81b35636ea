//! The platform's append-only log service, in memory.

use crate::reply::{lost, query, read, take};
use crosslane_protocol::platform::{Append, Appended, Page};
use crosslane_transport::http::{ResponseBody, json};
use crosslane_transport::serve;
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Most records in one page.
const PAGE: usize = 1_000;

/// Faults on order: body of `POST /faults`.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Nothing is answered.
    pub outage: bool,
    /// Time that each call takes, in milliseconds.
    pub delay_millis: u64,
    /// So many appends are done and their replies lost.
    pub lose_appends: u64,
    /// Records kept in each stream; zero for all.
    pub keep: usize,
}

#[derive(Debug, Default)]
struct Stream {
    first: u64,
    records: VecDeque<String>,
}

#[derive(Debug, Default)]
struct State {
    streams: BTreeMap<String, Stream>,
    faults: Faults,
    appends: u64,
    lose: std::sync::atomic::AtomicU64,
}

struct Log {
    state: Mutex<State>,
    changed: watch::Sender<()>,
}

/// Serves until the process ends.
pub async fn run(listener: TcpListener) {
    let log = Arc::new(Log { state: Mutex::default(), changed: watch::Sender::new(()) });
    let (_stop, stopped) = watch::channel(false);
    let handler = move |request| log.clone().handle(request);
    serve::serve(listener, serve::Limits::default(), stopped, handler).await;
}

impl Log {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        let (head, body) = request.into_parts();
        let path = head.uri.path().to_owned();
        let parts: Vec<_> = path.trim_matches('/').split('/').collect();
        match (&head.method, parts.as_slice()) {
            (&Method::POST, ["faults"]) => {
                let faults: Faults = read(body).await.unwrap_or_default();
                let mut state = self.lock();
                state.lose.store(faults.lose_appends, std::sync::atomic::Ordering::Relaxed);
                state.faults = faults;
                drop(state);
                self.changed.send_replace(());
                json(200, &json!({}))
            }
            (&Method::GET, ["stats"]) => json(200, &json!({ "appends": self.lock().appends })),
            (&Method::POST, ["streams", name]) => {
                self.delay().await;
                let body = read(body).await.unwrap_or_default();
                self.append(name, body)
            }
            (&Method::GET, ["streams", name]) => {
                self.delay().await;
                let from = query(head.uri.query(), "from").unwrap_or(0);
                let wait = query(head.uri.query(), "wait").unwrap_or(0);
                self.read(name, from, Duration::from_millis(wait)).await
            }
            _ => json(404, &json!({})),
        }
    }

    async fn delay(&self) {
        let millis = self.lock().faults.delay_millis;
        tokio::time::sleep(Duration::from_millis(millis)).await;
    }

    fn append(&self, name: &str, body: Append) -> Response<ResponseBody> {
        let mut state = self.lock();
        if state.faults.outage {
            return json(503, &json!({}));
        }
        state.appends += 1;
        let keep = state.faults.keep;
        let stream = state.streams.entry(name.to_owned()).or_default();
        let offset = stream.first + stream.records.len() as u64;
        stream.records.extend(body.records);
        while keep > 0 && stream.records.len() > keep {
            stream.records.pop_front();
            stream.first += 1;
        }
        let lose = take(&state.lose);
        drop(state);
        self.changed.send_replace(());
        if lose { lost() } else { json(200, &Appended { offset }) }
    }

    async fn read(&self, name: &str, from: u64, wait: Duration) -> Response<ResponseBody> {
        let mut changed = self.changed.subscribe();
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            changed.mark_unchanged();
            let Some(page) = self.page(name, from) else {
                return json(503, &json!({}));
            };
            if from < page.first {
                return json(410, &page);
            }
            if !page.records.is_empty() {
                return json(200, &page);
            }
            if tokio::time::timeout_at(deadline, changed.changed()).await.is_err() {
                return json(200, &page);
            }
        }
    }

    /// Records from an offset on; `None` during an outage.
    fn page(&self, name: &str, from: u64) -> Option<Page> {
        let mut state = self.lock();
        if state.faults.outage {
            return None;
        }
        let stream = state.streams.entry(name.to_owned()).or_default();
        let tail = stream.first + stream.records.len() as u64;
        let mut page = Page { first: stream.first, from, tail, records: Vec::new() };
        let skip = from.saturating_sub(stream.first) as usize;
        page.records = stream.records.iter().skip(skip).take(PAGE).cloned().collect();
        Some(page)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
