//! HTTP interface for operators: status of the node, drain of VMs, and requests in progress on a VM.

use crate::drain;
use crate::follower;
use crate::http::{self, ResponseBody};
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

/// Timeout for asking a node for the number of its requests in progress on a VM.
const IN_PROGRESS_TIMEOUT: Duration = Duration::from_secs(1);

/// Handles a request from an operator.
pub async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> Response<ResponseBody> {
    if !is_authorized(&shared, &request) {
        return http::json(401, &json!({ "error": "operator key required" }));
    }
    let path = request.uri().path().to_owned();
    let parts: Vec<_> = path.trim_matches('/').split('/').collect();
    match (request.method(), parts.as_slice()) {
        (&Method::GET, ["status"]) => http::json(200, &node_status(&shared).await),
        (&Method::GET, ["vms", vm]) => http::json(200, &vm_progress(&shared, vm).await),
        (&Method::POST, ["vms", vm, "leave"]) => {
            http::json(200, &announce_leave(&shared, vm).await)
        }
        (&Method::POST, ["vms", vm, "back"]) => return_to_service(&shared, vm).await,
        (&Method::POST, ["stop"]) => {
            drain::announce(&shared);
            http::json(200, &json!({ "leaving": true }))
        }
        _ => http::json(404, &json!({ "error": "no such call" })),
    }
}

fn is_authorized(shared: &Shared, request: &Request<Incoming>) -> bool {
    let token = request.headers().get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let token = token.and_then(|value| value.strip_prefix("Bearer ")).unwrap_or_default();
    token.as_bytes().ct_eq(shared.settings.operator_key.as_bytes()).into()
}

async fn node_status(shared: &Arc<Shared>) -> serde_json::Value {
    let read_state = |node: &mut Node, now| {
        let last_publication = node.state.history.back().cloned();
        let leaving: BTreeSet<_> = node.leaves_to_gossip().map(|leave| leave.vm.clone()).collect();
        let owned: Vec<_> = node.owned().map(|runner| runner.name.clone()).collect();
        let to_json = |(id, load): &(_, Report)| json!({ "runner": id, "load": load });
        let loads: Vec<_> = node.load_reports(now).iter().map(to_json).collect();
        let members: Vec<_> = node
            .state
            .roster
            .iter()
            .map(|member| {
                json!({
                    "vm": member.vm,
                    "incarnation": member.incarnation.to_string(),
                    "domain": member.domain,
                    "belief": format!("{:?}", node.liveness(member.incarnation, now)),
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
            "accepted": last_publication.as_ref().is_none_or(|publication| publication.accepted),
            "missing": node.state.unconfirmed_domains(),
            "keys": node.ledger.len(),
            "answer_bytes": node.ledger.bytes(),
        })
    };
    let mut status = shared.keeper.with_node(read_state).await;
    let phase = *shared.phase.borrow();
    let meter = shared.peers.meter();
    status["vm"] = json!(shared.settings.vm);
    status["incarnation"] = json!(shared.incarnation.to_string());
    status["phase"] = json!(format!("{phase:?}"));
    status["safe_to_stop"] = json!(phase == Phase::Stopped);
    status["member"] = json!(shared.is_member());
    status["log_answers"] = json!(shared.log_answers());
    status["policy_version"] = json!(shared.policy().version);
    status["in_progress"] = json!(shared.in_progress());
    status["attempts"] = json!(shared.in_flight.len());
    status["control_read_bytes"] = json!(meter.read.load(Ordering::Relaxed));
    status["control_written_bytes"] = json!(meter.written.load(Ordering::Relaxed));
    status["counters"] = json!(shared.metrics.snapshot());
    status
}

/// Requests in progress on a VM, summed over all nodes that respond. The VM is safe to stop only if every node
/// responded.
async fn vm_progress(shared: &Arc<Shared>, vm: &str) -> serde_json::Value {
    let vm_name = vm.to_owned();
    let read_members = move |node: &mut Node, _| {
        let mut members: Vec<_> = node.state.roster.iter().cloned().collect();
        members.extend(node.provisional_members());
        (node.is_leaving(&vm_name), node.has_vm(&vm_name), members)
    };
    let (leaving, known, members) = shared.keeper.with_node(read_members).await;
    let mut in_progress = 0;
    let mut unreachable = Vec::new();
    for member in members {
        let vm_name = vm.to_owned();
        let call =
            |client: PeerClient, context| async move { client.in_progress(context, vm_name).await };
        match shared.peers.call(member.control, IN_PROGRESS_TIMEOUT, call).await {
            Ok(count) => in_progress += count,
            Err(_) => unreachable.push(member.vm),
        }
    }
    let safe = (leaving || !known) && in_progress == 0 && unreachable.is_empty();
    json!({
        "vm": vm,
        "leaving": leaving,
        "known": known,
        "in_progress": in_progress,
        "unreachable": unreachable,
        "safe_to_stop": safe,
    })
}

/// Announces that a VM leaves: at this node, which gossips the announcement, and in the log if it is available.
async fn announce_leave(shared: &Arc<Shared>, vm: &str) -> serde_json::Value {
    let id = format!("operator/{}/{vm}/{}", shared.incarnation, shared.sequence());
    let leave = Leave { id, vm: vm.to_owned(), node: None };
    let local_leave = leave.clone();
    let add_leave = move |node: &mut Node, _| {
        node.add_leave(local_leave.clone());
        (node.has_vm(&local_leave.vm), node.state.with_node(local_leave))
    };
    let (known, leave) = shared.keeper.with_node(add_leave).await;
    let logged = follower::append(shared, &Record::Leave { leave }).await;
    json!({ "vm": vm, "known": known, "leaving": true, "logged": logged })
}

/// Returns a leaving VM to service; this takes effect only through a record in the log.
async fn return_to_service(shared: &Arc<Shared>, vm: &str) -> Response<ResponseBody> {
    let logged = follower::append(shared, &Record::Back { vm: vm.to_owned() }).await;
    let status = if logged { 200 } else { 503 };
    http::json(status, &json!({ "vm": vm, "back": logged }))
}
