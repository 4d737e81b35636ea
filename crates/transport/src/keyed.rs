//! Requests with an idempotency key: executes the steps that `crosslane_coordination::keyed` decides.

use crate::buffer::Buffer;
use crate::entry::{ParsedRequest, Target};
use crate::headers::OWNER;
use crate::http::{self, ResponseBody};
use crate::metrics::Counter;
use crate::node::{Progress, Shared};
use crate::run::NOT_READY_MILLIS;
use crate::{forward, job, render};
use crosslane_coordination::keyed::{self, Flow, ReleaseReply, Step};
use crosslane_coordination::node::Node;
use crosslane_protocol::peer::PeerClient;
use crosslane_protocol::refusal::{Code, Refusal};
use crosslane_state::incarnation::Incarnation;
use crosslane_state::request::Key;
use crosslane_state::time::Millis;
use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

/// Timeout for asking a node to release a key.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

/// Responds to a keyed request, or forwards it to the owner of its key.
pub async fn respond(
    shared: &Arc<Shared>,
    request: ParsedRequest,
    key: Key,
    progress: Progress,
) -> Result<Response<ResponseBody>, Refusal> {
    let mut flow = Flow::new(key, job::fingerprint(&request), request.decision.repeatable);
    if request.hops > 0 {
        flow = flow.into_forwarded(request.released_by.clone());
    }
    let is_service = matches!(request.target, Target::Service(_));
    let run_to_completion = is_service && !request.decision.repeatable;
    let (mut flow, mut step) = advance(shared, flow, run_to_completion, Flow::start).await;
    loop {
        let next: Transition = match step {
            Step::RequestRelease(previous_owner) => {
                let release_reply = request_release(shared, &flow, previous_owner).await;
                Box::new(move |flow, node, now| {
                    flow.on_release_reply(previous_owner, release_reply, node, now)
                })
            }
            Step::Forward(owner) => match forward::send(shared, &request, &flow, owner).await {
                Ok(response) => return Ok(forward::relay(response, progress)),
                Err(outcome) => Box::new(move |flow, node, now| {
                    flow.on_forward_outcome(owner, outcome, node, now)
                }),
            },
            Step::Redirect(owner) => return Ok(redirect_response(owner)),
            Step::Refuse(reason) => return Err(not_started_refusal(reason)),
            Step::Run | Step::Join | Step::Replay(_) => {
                return respond_from_buffer(shared, &request, flow.key(), &step, progress).await;
            }
        };
        (flow, step) = advance(shared, flow, run_to_completion, next).await;
    }
}

/// A transition of a keyed request's flow to its next step.
type Transition = Box<dyn FnOnce(&mut Flow, &mut Node, Millis) -> Step + Send>;

/// Applies a transition in the keeper task. If the next step is to run the request, its buffer is registered in the same
/// call, so that later requests under the key can join it.
async fn advance(
    shared: &Arc<Shared>,
    mut flow: Flow,
    run_to_completion: bool,
    transition: impl FnOnce(&mut Flow, &mut Node, Millis) -> Step + Send + 'static,
) -> (Flow, Step) {
    let shared_clone = shared.clone();
    let decide = move |node: &mut Node, now| {
        let step = transition(&mut flow, node, now);
        if step == Step::Run {
            node.budget.deposit();
            let buffer = if run_to_completion { Buffer::run_to_end() } else { Buffer::default() };
            shared_clone.buffers().insert(flow.key().clone(), Arc::new(buffer));
        }
        (flow, step)
    };
    shared.keeper.with_node(decide).await
}

/// Asks a node that may have owned a key to release it.
async fn request_release(
    shared: &Shared,
    flow: &Flow,
    previous_owner: Incarnation,
) -> ReleaseReply {
    let Some(member) = shared.member(previous_owner).await else {
        return ReleaseReply::Released;
    };
    let (key, requester) = (flow.key().clone(), shared.incarnation);
    let call = |client: PeerClient, context| async move {
        client.release_key(context, key, requester).await
    };
    match shared.peers.call(member.control, RELEASE_TIMEOUT, call).await {
        Ok(true) => ReleaseReply::Released,
        Ok(false) => ReleaseReply::Held,
        Err(_) => {
            shared.metrics.count(Counter::OwnerSilent);
            ReleaseReply::NoReply
        }
    }
}

/// Response that names the key's owner to the node that forwarded the request here.
fn redirect_response(owner: Incarnation) -> Response<ResponseBody> {
    let mut response = http::json(StatusCode::MISDIRECTED_REQUEST.as_u16(), &json!({}));
    if let Ok(value) = HeaderValue::from_str(&owner.to_string()) {
        response.headers_mut().insert(OWNER, value);
    }
    response
}

/// Responds to a keyed request with the output of its run at this node, which is started if needed, or with the
/// recorded answer.
async fn respond_from_buffer(
    shared: &Arc<Shared>,
    request: &ParsedRequest,
    key: &Key,
    step: &Step,
    progress: Progress,
) -> Result<Response<ResponseBody>, Refusal> {
    let buffer = match step {
        Step::Replay(answer) => {
            shared.metrics.count(Counter::Replayed);
            Some(Arc::new(Buffer::replay(answer)))
        }
        _ => shared.buffers().get(key).cloned(),
    };
    let reader = buffer.as_ref().and_then(Buffer::reader);
    match (step, buffer) {
        (Step::Run, Some(buffer)) => {
            let id = job::Id { key: key.clone(), keyed: true };
            job::spawn(shared, request, id, shared.sequence(), buffer);
        }
        (Step::Join, _) => shared.metrics.count(Counter::Joined),
        _ => {}
    }
    render::render(shared, request, key, reader, progress).await
}

/// Refusal of a keyed request that was not started.
fn not_started_refusal(reason: keyed::Refusal) -> Refusal {
    match reason {
        keyed::Refusal::Mismatch => {
            Refusal::not_run(Code::KeyMismatch, "this key was used for another request")
        }
        keyed::Refusal::Full => Refusal::not_run(Code::LedgerFull, "no room to remember this key")
            .retry_after(NOT_READY_MILLIS),
        keyed::Refusal::Unknown => {
            let message = "an earlier request under this key may have run";
            Refusal::unknown(Code::KeyUnknown, message)
        }
        keyed::Refusal::InDoubt => {
            let message = "a departed node may have run a request under this key";
            Refusal::unknown(Code::KeyInDoubt, message).retry_after(NOT_READY_MILLIS)
        }
        keyed::Refusal::Unreachable => {
            let message = "a node that may know this key can't be reached";
            Refusal::unknown(Code::OwnerUnreachable, message).retry_after(NOT_READY_MILLIS)
        }
    }
}
