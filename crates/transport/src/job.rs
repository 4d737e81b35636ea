//! Runs of requests, apart from their callers' connections, and their endings.

use crate::entry::{Asked, Target};
use crate::node::Shared;
use crate::tape::{End, Tape};
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

/// Time for the next owner of a key to take a copy of its ending.
const COPY: Duration = Duration::from_millis(100);

/// What makes two requests under one key the same.
pub fn fingerprint(asked: &Asked) -> u64 {
    let head = format!("{} {}\n", asked.head.method, asked.head.uri);
    hash::rendezvous_weight(hash::of(head.as_bytes()), hash::of(&asked.body))
}

/// The key of a run, and whether the ledger has it.
pub struct Id {
    /// Key, minted if the caller sent none.
    pub key: Key,
    /// Whether the ledger has it.
    pub keyed: bool,
}

/// Runs a request on its own, so that it ends whatever becomes of the caller's connection.
pub fn spawn(shared: &Arc<Shared>, asked: &Asked, id: Id, sequence: u64, tape: Arc<Tape>) {
    let shared = shared.clone();
    let claim = (id.keyed && !asked.verdict.repeatable).then(|| id.key.hash());
    let verdict = asked.verdict.clone();
    let deadline = asked.deadline;
    let fingerprint = fingerprint(asked);
    match &asked.target {
        Target::Model(completion) => {
            let completion = completion.clone();
            let organisation = asked.organisation;
            let job = run::Job { completion, verdict, organisation, deadline, claim, sequence };
            tokio::spawn(async move {
                let result = run::run(shared.clone(), job, tape.clone()).await;
                conclude(&shared, id, fingerprint, &tape, result).await;
            });
        }
        Target::Service(prefix) => {
            let path = asked.head.uri.path_and_query().map_or("/", |it| it.as_str());
            let job = call::Job {
                prefix: prefix.clone(),
                method: asked.head.method.clone(),
                path: path.to_owned(),
                headers: forward::end_to_end(&asked.head.headers),
                body: asked.body.clone(),
                verdict,
                deadline,
                claim,
                sequence,
            };
            tokio::spawn(async move {
                let result = call::run(shared.clone(), job, tape.clone()).await;
                conclude(&shared, id, fingerprint, &tape, result).await;
            });
        }
    }
}

/// Ends a run: logged, recorded if it has a key, then told to its readers.
async fn conclude(
    shared: &Arc<Shared>,
    id: Id,
    fingerprint: u64,
    tape: &Tape,
    result: Result<(), Refusal>,
) {
    let code = result.as_ref().err().map_or("none", |refusal| refusal.code.name());
    let outcome = result.as_ref().err().map_or(Outcome::Done, |refusal| refusal.outcome);
    info!(event = "request", request = id.key.as_str(), outcome:% = outcome, refused = code; "");
    if id.keyed {
        record(shared, id.key, fingerprint, tape, &result).await;
    }
    tape.end(match result {
        Ok(()) => End::Done,
        Err(refusal) => End::Refused(refusal),
    });
}

/// Records an ending, first at the node that would own the key next, then here.
async fn record(
    shared: &Arc<Shared>,
    key: Key,
    fingerprint: u64,
    tape: &Tape,
    result: &Result<(), Refusal>,
) {
    let answer = tape.answer().filter(|_| result.is_ok());
    if let Some(answer) = &answer {
        copy(shared, &key, fingerprint, answer.clone()).await;
    }
    let end = match (result, answer) {
        (Ok(()), Some(answer)) => ledger::End::Done(Arc::new(answer)),
        (Err(refusal), _) if refusal.outcome == Outcome::NotRun => ledger::End::NotRun,
        _ => ledger::End::Unknown,
    };
    let inner = shared.clone();
    let finish = move |node: &mut Node, now| {
        node.ledger.finish(&key, end, now);
        inner.tapes().remove(&key);
    };
    shared.keeper.visit(finish).await;
}

async fn copy(shared: &Arc<Shared>, key: &Key, fingerprint: u64, answer: Answer) {
    let wanted = key.clone();
    let next = shared.keeper.visit(move |node, _| node.successor(&wanted).cloned()).await;
    let Some(next) = next else {
        return;
    };
    let ending = IdempotencyRecord { key: key.clone(), fingerprint, answer: Some(answer) };
    let call =
        |client: PeerClient, context| async move { client.handover(context, vec![ending]).await };
    let _ = shared.peers.call(next.control, COPY, call).await;
}
