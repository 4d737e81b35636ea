//! The operators' port: status, leaving, and what is still in progress on a VM.

use crate::drain;
use crate::follower;
use crate::http::{self, Reply};
use crate::node::{Phase, Shared};
use crosslane_coordination::node::Node;
use crosslane_coordination::record::{Leave, Record};
use crosslane_protocol::peer::PeerClient;
use crosslane_state::load::Report;
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::{Method, Request, Response};
use serde_json::json;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use subtle::ConstantTimeEq;

/// Time for a node to say what is in progress there.
const BUSY: Duration = Duration::from_secs(1);

/// Handles an operator's request.
pub async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Reply> {
    if !allowed(&shared, &request) {
        return http::json(401, &json!({ "error": "operator key required" }));
    }
    let path = request.uri().path().to_owned();
    let parts: Vec<_> = path.trim_matches('/').split('/').collect();
    match (request.method(), parts.as_slice()) {
        (&Method::GET, ["status"]) => http::json(200, &status(&shared).await),
        (&Method::GET, ["vms", vm]) => http::json(200, &progress(&shared, vm).await),
        (&Method::POST, ["vms", vm, "leave"]) => http::json(200, &leave(&shared, vm).await),
        (&Method::POST, ["vms", vm, "back"]) => back(&shared, vm).await,
        (&Method::POST, ["stop"]) => {
            drain::announce(&shared);
            http::json(200, &json!({ "leaving": true }))
        }
        _ => http::json(404, &json!({ "error": "no such call" })),
    }
}

fn allowed(shared: &Shared, request: &Request<Incoming>) -> bool {
    let shown = request.headers().get(AUTHORIZATION).and_then(|it| it.to_str().ok());
    let shown = shown.and_then(|it| it.strip_prefix("Bearer ")).unwrap_or_default();
    shown.as_bytes().ct_eq(shared.settings.operator_key.as_bytes()).into()
}

async fn status(shared: &Arc<Shared>) -> serde_json::Value {
    let folded = |node: &mut Node, now| {
        let newest = node.state.history.back().cloned();
        let leaving: BTreeSet<_> = node.leaves_to_gossip().map(|it| it.vm.clone()).collect();
        let owned: Vec<_> = node.owned().map(|it| it.name.clone()).collect();
        let load = |(id, load): &(_, Report)| json!({ "runner": id, "load": load });
        let loads: Vec<_> = node.load_reports(now).iter().map(load).collect();
        let members: Vec<_> = node
            .state
            .roster
            .iter()
            .map(|it| {
                json!({
                    "vm": it.vm,
                    "incarnation": it.incarnation.to_string(),
                    "domain": it.domain,
                    "belief": format!("{:?}", node.liveness(it.incarnation, now)),
                })
            })
            .collect();
        json!({
            "offset": node.state.next_offset,
            "checkpoint": node.state.checkpoint_offset,
            "members": members,
            "leaving": leaving,
            "owned": owned,
            "loads": loads,
            "accepted": newest.as_ref().is_none_or(|it| it.accepted),
            "missing": node.state.unconfirmed_domains(),
            "keys": node.ledger.len(),
            "answer_bytes": node.ledger.bytes(),
        })
    };
    let mut status = shared.keeper.visit(folded).await;
    let phase = *shared.phase.borrow();
    let meter = shared.peers.meter();
    status["vm"] = json!(shared.settings.vm);
    status["incarnation"] = json!(shared.me.to_string());
    status["phase"] = json!(format!("{phase:?}"));
    status["safe_to_stop"] = json!(phase == Phase::Stopped);
    status["member"] = json!(shared.is_member());
    status["log_answers"] = json!(shared.log_answers());
    status["policy_version"] = json!(shared.policy().version);
    status["in_progress"] = json!(shared.in_progress());
    status["attempts"] = json!(shared.flights.len());
    status["control_read_bytes"] = json!(meter.read.load(Ordering::Relaxed));
    status["control_written_bytes"] = json!(meter.written.load(Ordering::Relaxed));
    status["counters"] = json!(shared.metrics.snapshot());
    status
}

/// What is in progress on a VM, as far as every node can be asked.
async fn progress(shared: &Arc<Shared>, vm: &str) -> serde_json::Value {
    let wanted = vm.to_owned();
    let known = move |node: &mut Node, _| {
        let mut members: Vec<_> = node.state.roster.iter().cloned().collect();
        members.extend(node.provisional_members());
        (node.is_leaving(&wanted), node.has_vm(&wanted), members)
    };
    let (leaving, known, members) = shared.keeper.visit(known).await;
    let mut busy = 0;
    let mut unreachable = Vec::new();
    for member in members {
        let asked = vm.to_owned();
        let call =
            |client: PeerClient, context| async move { client.in_progress(context, asked).await };
        match shared.peers.call(member.control, BUSY, call).await {
            Ok(count) => busy += count,
            Err(_) => unreachable.push(member.vm),
        }
    }
    let safe = (leaving || !known) && busy == 0 && unreachable.is_empty();
    json!({
        "vm": vm,
        "leaving": leaving,
        "known": known,
        "in_progress": busy,
        "unreachable": unreachable,
        "safe_to_stop": safe,
    })
}

/// Announces a VM as leaving, here and, if it answers, in the log.
async fn leave(shared: &Arc<Shared>, vm: &str) -> serde_json::Value {
    let id = format!("operator/{}/{vm}/{}", shared.me, shared.sequence());
    let leave = Leave { id, vm: vm.to_owned(), node: None };
    let told = leave.clone();
    let stamp = move |node: &mut Node, _| {
        node.add_leave(told.clone());
        (node.has_vm(&told.vm), node.state.with_node(told))
    };
    let (known, leave) = shared.keeper.visit(stamp).await;
    let logged = follower::append(shared, &Record::Leave { leave }).await;
    json!({ "vm": vm, "known": known, "leaving": true, "logged": logged })
}

/// Takes a VM that was leaving back into use; only the log can say so.
async fn back(shared: &Arc<Shared>, vm: &str) -> Response<Reply> {
    let logged = follower::append(shared, &Record::Back { vm: vm.to_owned() }).await;
    let status = if logged { 200 } else { 503 };
    http::json(status, &json!({ "vm": vm, "back": logged }))
}
