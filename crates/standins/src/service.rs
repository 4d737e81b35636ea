//! A plain service that counts how often each key was run.

use crate::reply::{lost, read, take};
use crosslane_transport::headers::IDEMPOTENCY_KEY;
use crosslane_transport::http::{ResponseBody, json};
use crosslane_transport::serve;
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Faults on order: body of `POST /faults`.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// So many replies are lost after the effect.
    pub lose_replies: u64,
    /// Time that each call takes, in milliseconds.
    pub delay_millis: u64,
}

#[derive(Default)]
struct Service {
    runs: Mutex<BTreeMap<String, u64>>,
    lose: AtomicU64,
    delay: AtomicU64,
}

/// Serves until the process ends.
pub async fn run(listener: TcpListener) {
    let service = Arc::new(Service::default());
    let (_stop, stopped) = watch::channel(false);
    let handler = move |request| service.clone().handle(request);
    serve::serve(listener, serve::Limits::default(), stopped, handler).await;
}

impl Service {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        let (head, body) = request.into_parts();
        match (&head.method, head.uri.path()) {
            (&Method::GET, "/counts") => json(200, &*self.counts()),
            (&Method::POST, "/faults") => {
                let faults: Faults = read(body).await.unwrap_or_default();
                self.lose.store(faults.lose_replies, Ordering::Relaxed);
                self.delay.store(faults.delay_millis, Ordering::Relaxed);
                json(200, &json!({}))
            }
            (_, path) => {
                let key = head.headers.get(IDEMPOTENCY_KEY).and_then(|it| it.to_str().ok());
                let key = key.unwrap_or(path).to_owned();
                let run = {
                    let mut runs = self.counts();
                    let run = runs.entry(key.clone()).or_default();
                    *run += 1;
                    *run
                };
                tokio::time::sleep(Duration::from_millis(self.delay.load(Ordering::Relaxed))).await;
                if take(&self.lose) {
                    return lost();
                }
                json(200, &json!({ "key": key, "run": run, "path": path }))
            }
        }
    }

    fn counts(&self) -> std::sync::MutexGuard<'_, BTreeMap<String, u64>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
