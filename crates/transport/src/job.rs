//! Runs requests in tasks of their own, independent of the callers' connections, and records their results.

use crate::buffer::{Buffer, End};
use crate::entry::{ParsedRequest, Target};
use crate::node::Shared;
use crate::{call, forward, run};
use crosslane_coordination::ledger;
use crosslane_coordination::node::Node;
use crosslane_protocol::peer::{IdempotencyRecord, PeerClient};
use crosslane_protocol::refusal::Refusal;
use crosslane_state::answer::Answer;
use crosslane_state::hash;
use crosslane_state::request::{Key, Outcome};
use log::info;
use std::sync::Arc;
use std::time::Duration;

/// Timeout for copying the result of a request to the next owner of its key.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(100);

/// Hash of method, URI and body: requests that reuse a key must have the same fingerprint.
pub fn fingerprint(request: &ParsedRequest) -> u64 {
    let head = format!("{} {}\n", request.head.method, request.head.uri);
    hash::rendezvous_weight(hash::of(head.as_bytes()), hash::of(&request.body))
}

/// Key of a request, and whether the ledger records it.
pub struct Id {
    /// Key, generated if the caller sent none.
    pub key: Key,
    /// Whether the caller sent the key, so that the ledger records it.
    pub keyed: bool,
}

/// Runs a request in a task of its own, which logs and records the result even if the caller disconnects.
pub fn spawn(
    shared: &Arc<Shared>,
    request: &ParsedRequest,
    id: Id,
    sequence: u64,
    buffer: Arc<Buffer>,
) {
    let shared = shared.clone();
    let claim_key_hash = (id.keyed && !request.decision.repeatable).then(|| id.key.hash());
    let decision = request.decision.clone();
    let deadline = request.deadline;
    let fingerprint = fingerprint(request);
    match &request.target {
        Target::Model(completion) => {
            let completion = completion.clone();
            let organisation = request.organisation;
            let job = run::Job {
                completion,
                decision,
                organisation,
                deadline,
                claim: claim_key_hash,
                sequence,
            };
            tokio::spawn(async move {
                let result = run::run(shared.clone(), job, buffer.clone()).await;
                finish(&shared, id, fingerprint, &buffer, result).await;
            });
        }
        Target::Service(prefix) => {
            let path = request.head.uri.path_and_query().map_or("/", |path| path.as_str());
            let job = call::Job {
                prefix: prefix.clone(),
                method: request.head.method.clone(),
                path: path.to_owned(),
                headers: forward::end_to_end(&request.head.headers),
                body: request.body.clone(),
                decision,
                deadline,
                claim_key_hash,
                sequence,
            };
            tokio::spawn(async move {
                let result = call::run(shared.clone(), job, buffer.clone()).await;
                finish(&shared, id, fingerprint, &buffer, result).await;
            });
        }
    }
}

/// Finishes a request: logs its result, records it if the caller sent a key, then ends the buffer for its readers.
async fn finish(
    shared: &Arc<Shared>,
    id: Id,
    fingerprint: u64,
    buffer: &Buffer,
    result: Result<(), Refusal>,
) {
    let code = result.as_ref().err().map_or("none", |refusal| refusal.code.name());
    let outcome = result.as_ref().err().map_or(Outcome::Done, |refusal| refusal.outcome);
    info!(event = "request", request = id.key.as_str(), outcome:% = outcome, refused = code; "");
    if id.keyed {
        record_result(shared, id.key, fingerprint, buffer, &result).await;
    }
    buffer.end(match result {
        Ok(()) => End::Done,
        Err(refusal) => End::Refused(refusal),
    });
}

/// Records a result, first at the node that would own the key next, then in the local ledger.
async fn record_result(
    shared: &Arc<Shared>,
    key: Key,
    fingerprint: u64,
    buffer: &Buffer,
    result: &Result<(), Refusal>,
) {
    let answer = buffer.answer().filter(|_| result.is_ok());
    if let Some(answer) = &answer {
        copy_to_successor(shared, &key, fingerprint, answer.clone()).await;
    }
    let end = match (result, answer) {
        (Ok(()), Some(answer)) => ledger::End::Done(Arc::new(answer)),
        (Err(refusal), _) if refusal.outcome == Outcome::NotRun => ledger::End::NotRun,
        _ => ledger::End::Unknown,
    };
    let shared_clone = shared.clone();
    let update = move |node: &mut Node, now| {
        node.ledger.finish(&key, end, now);
        shared_clone.buffers().remove(&key);
    };
    shared.keeper.with_node(update).await;
}

async fn copy_to_successor(shared: &Arc<Shared>, key: &Key, fingerprint: u64, answer: Answer) {
    let owned_key = key.clone();
    let successor =
        shared.keeper.with_node(move |node, _| node.successor(&owned_key).cloned()).await;
    let Some(successor) = successor else {
        return;
    };
    let record = IdempotencyRecord { key: key.clone(), fingerprint, answer: Some(answer) };
    let call =
        |client: PeerClient, context| async move { client.handover(context, vec![record]).await };
    let _ = shared.peers.call(successor.control, HANDOVER_TIMEOUT, call).await;
}
