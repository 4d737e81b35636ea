//! The platform's list of VMs, which lags.

use crate::reply::read;
use crosslane_protocol::platform::{State, Vm, VmList};
use crosslane_transport::http::{ResponseBody, json};
use crosslane_transport::serve;
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::watch;

struct Vms {
    lag: Duration,
    changes: Mutex<Vec<(Instant, Vm)>>,
}

/// Serves a list that lags until the process ends.
pub async fn run(listener: TcpListener, lag: Duration) {
    let vms = Arc::new(Vms { lag, changes: Mutex::default() });
    let (_stop, stopped) = watch::channel(false);
    let handler = move |request| vms.clone().handle(request);
    serve::serve(listener, serve::Limits::default(), stopped, handler).await;
}

impl Vms {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        let (head, body) = request.into_parts();
        let path = head.uri.path().to_owned();
        let parts: Vec<_> = path.trim_matches('/').split('/').collect();
        match (&head.method, parts.as_slice()) {
            (&Method::GET, ["vms"]) => json(200, &self.list()),
            (&Method::POST, ["vms", name]) => {
                let Some(state) = read::<State>(body).await else {
                    return json(400, &json!({ "error": "not a state" }));
                };
                let vm = Vm { name: (*name).to_owned(), state };
                let mut changes = self.changes.lock().unwrap_or_else(PoisonError::into_inner);
                changes.push((Instant::now(), vm));
                json(200, &json!({}))
            }
            _ => json(404, &json!({})),
        }
    }

    fn list(&self) -> VmList {
        let changes = self.changes.lock().unwrap_or_else(PoisonError::into_inner);
        let seen = changes.iter().filter(|(at, _)| at.elapsed() >= self.lag);
        let newest: BTreeMap<_, _> = seen.map(|(_, vm)| (vm.name.clone(), vm.clone())).collect();
        VmList { vms: newest.into_values().collect() }
    }
}
