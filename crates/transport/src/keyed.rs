//! Keyed requests on their way: the decisions are `crosslane_coordination::keyed`'s.

use crate::entry::{Asked, Target};
use crate::headers::OWNER;
use crate::http::{self, Reply};
use crate::metrics::Counter;
use crate::node::{Progress, Shared};
use crate::run::NOT_READY_MILLIS;
use crate::tape::Tape;
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

/// Time for a node to give a key up.
const INQUIRE: Duration = Duration::from_millis(500);

/// Answers a keyed request, here or at the owner of its key.
pub async fn answer(
    shared: &Arc<Shared>,
    asked: Asked,
    key: Key,
    progress: Progress,
) -> Result<Response<Reply>, Refusal> {
    let mut flow = Flow::new(key, job::fingerprint(&asked), asked.verdict.repeatable);
    if asked.hops > 0 {
        flow = flow.into_forwarded(asked.passed.clone());
    }
    let service = matches!(asked.target, Target::Service(_));
    let seen_through = service && !asked.verdict.repeatable;
    let (mut flow, mut step) = advance(shared, flow, seen_through, Flow::start).await;
    loop {
        let next: Advance = match step {
            Step::RequestRelease(earlier) => {
                let inquired = inquire(shared, &flow, earlier).await;
                Box::new(move |flow, node, now| flow.on_release_reply(earlier, inquired, node, now))
            }
            Step::Forward(owner) => match forward::send(shared, &asked, &flow, owner).await {
                Ok(response) => return Ok(forward::relay(response, progress)),
                Err(forwarded) => Box::new(move |flow, node, now| {
                    flow.on_forward_outcome(owner, forwarded, node, now)
                }),
            },
            Step::Redirect(owner) => return Ok(name(owner)),
            Step::Refuse(reason) => return Err(not_begun(reason)),
            Step::Run | Step::Join | Step::Replay(_) => {
                return begun(shared, &asked, flow.key(), &step, progress).await;
            }
        };
        (flow, step) = advance(shared, flow, seen_through, next).await;
    }
}

/// A decision about a keyed request on its way.
type Advance = Box<dyn FnOnce(&mut Flow, &mut Node, Millis) -> Step + Send>;

/// Lets a keyed request take its next step; a run that begins has its tape from then on.
async fn advance(
    shared: &Arc<Shared>,
    mut flow: Flow,
    seen_through: bool,
    decide: impl FnOnce(&mut Flow, &mut Node, Millis) -> Step + Send + 'static,
) -> (Flow, Step) {
    let inner = shared.clone();
    let decide = move |node: &mut Node, now| {
        let step = decide(&mut flow, node, now);
        if step == Step::Run {
            node.budget.deposit();
            let tape = if seen_through { Tape::seen_through() } else { Tape::default() };
            inner.tapes().insert(flow.key().clone(), Arc::new(tape));
        }
        (flow, step)
    };
    shared.keeper.visit(decide).await
}

/// Asks a node that may have owned a key to give it up.
async fn inquire(shared: &Shared, flow: &Flow, earlier: Incarnation) -> ReleaseReply {
    let Some(member) = shared.member(earlier).await else {
        return ReleaseReply::Released;
    };
    let (key, by) = (flow.key().clone(), shared.me);
    let call =
        |client: PeerClient, context| async move { client.release_key(context, key, by).await };
    match shared.peers.call(member.control, INQUIRE, call).await {
        Ok(true) => ReleaseReply::Released,
        Ok(false) => ReleaseReply::Held,
        Err(_) => {
            shared.metrics.count(Counter::OwnerSilent);
            ReleaseReply::NoReply
        }
    }
}

/// Names the owner of a key to the node that forwarded its request here.
fn name(owner: Incarnation) -> Response<Reply> {
    let mut response = http::json(StatusCode::MISDIRECTED_REQUEST.as_u16(), &json!({}));
    if let Ok(value) = HeaderValue::from_str(&owner.to_string()) {
        response.headers_mut().insert(OWNER, value);
    }
    response
}

/// Answers a keyed request that runs or has run here.
async fn begun(
    shared: &Arc<Shared>,
    asked: &Asked,
    key: &Key,
    step: &Step,
    progress: Progress,
) -> Result<Response<Reply>, Refusal> {
    let tape = match step {
        Step::Replay(answer) => {
            shared.metrics.count(Counter::Replayed);
            Some(Arc::new(Tape::replay(answer)))
        }
        _ => shared.tapes().get(key).cloned(),
    };
    let reader = tape.as_ref().and_then(Tape::reader);
    match (step, tape) {
        (Step::Run, Some(tape)) => {
            let id = job::Id { key: key.clone(), keyed: true };
            job::spawn(shared, asked, id, shared.sequence(), tape);
        }
        (Step::Join, _) => shared.metrics.count(Counter::Joined),
        _ => {}
    }
    render::render(shared, asked, key, reader, progress).await
}

/// The refusal of a keyed request that was not begun.
fn not_begun(reason: keyed::Refusal) -> Refusal {
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
