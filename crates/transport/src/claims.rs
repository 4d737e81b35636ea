//! Claims on keys whose requests may not be repeated, recorded before anything is dispatched.
//!
//! Claims are appended to the log in batches, one append at a time; the first claim of a key
//! in the log's order wins, so a claim counts only once it has been read back. While the log
//! is out a claim is copied to a node in another failure domain instead, and both append it
//! when the log returns.

use crate::metrics::Counter;
use crate::node::Shared;
use crosslane_coordination::detector::Liveness;
use crosslane_coordination::node::Node;
use crosslane_protocol::envelope::{self, Claims};
use crosslane_protocol::peer::PeerClient;
use crosslane_protocol::platform::CLAIMS_STREAM;
use crosslane_state::incarnation::Incarnation;
use ractor::{Actor, ActorProcessingErr, ActorRef, SpawnErr};
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;
use tokio::sync::{oneshot, watch};

/// Time for a peer to take a copy.
const COPY: Duration = Duration::from_millis(500);

/// Time for an appended claim to be read back.
const READ_BACK: Duration = Duration::from_millis(1_000);

/// What came of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claimed {
    /// This node has it.
    Mine,
    /// Another node claimed the key first.
    Elsewhere,
    /// Neither log nor peer could take it.
    Unavailable,
}

enum Message {
    Claim(u64, oneshot::Sender<Claimed>),
    Flush,
}

/// Records claims.
#[derive(Debug, Default)]
pub struct Writer {
    actor: OnceLock<ActorRef<Message>>,
    copies: Mutex<HashMap<Incarnation, HashSet<u64>>>,
    read: watch::Sender<u64>,
}

struct Task {
    shared: Arc<Shared>,
}

#[derive(Default)]
struct State {
    waiting: Vec<(u64, oneshot::Sender<Claimed>)>,
    scheduled: bool,
}

impl Writer {
    /// Starts the actor that appends.
    pub async fn start(shared: Arc<Shared>) -> Result<(), SpawnErr> {
        let (actor, _) = Actor::spawn(None, Task { shared: shared.clone() }, ()).await?;
        let _ = shared.claims.actor.set(actor);
        Ok(())
    }

    /// Claims a key by its hash.
    pub async fn claim(&self, key: u64) -> Claimed {
        let (reply, claimed) = oneshot::channel();
        if let Some(actor) = self.actor.get() {
            let _ = actor.cast(Message::Claim(key, reply));
        }
        claimed.await.unwrap_or(Claimed::Unavailable)
    }

    /// Notes that the claims before an offset have been read.
    pub fn read_to(&self, next: u64) {
        self.read.send_if_modified(|it| std::mem::replace(it, next) != next);
    }

    /// Offset up to which claims have been read.
    pub fn read_so_far(&self) -> u64 {
        *self.read.borrow()
    }

    /// Takes copies of a member's claims; false when one may not stand.
    pub async fn take_copies(&self, shared: &Shared, by: Incarnation, keys: Vec<u64>) -> bool {
        let asked = keys.clone();
        let stands = move |node: &mut Node, _| {
            let member = node.state.roster.get(by).is_some();
            member && asked.iter().all(|key| !node.claims.claimed_by_other(*key, by))
        };
        if !shared.keeper.visit(stands).await {
            return false;
        }
        self.lock().entry(by).or_default().extend(keys.iter().copied());
        let note = move |node: &mut Node, now| {
            keys.iter().for_each(|key| node.claims.claim(*key, by, now));
        };
        shared.keeper.visit(note).await;
        true
    }

    /// Copies held of a node's claims.
    pub fn copies_of(&self, by: Incarnation) -> Vec<u64> {
        self.lock().get(&by).map(|it| it.iter().copied().collect()).unwrap_or_default()
    }

    /// Appends all copies to the log and drops them; called when the log answers again.
    pub async fn flush_copies(&self, shared: &Shared) {
        let copies: Vec<_> = self.lock().iter().map(|(by, keys)| (*by, keys.clone())).collect();
        for (by, keys) in copies {
            let record = Claims { by, keys: keys.iter().copied().collect() };
            if shared.platform.append(CLAIMS_STREAM, vec![envelope::encode(&record)]).await.is_err()
            {
                return;
            }
            let mut held = self.lock();
            if let Some(left) = held.get_mut(&by) {
                left.retain(|it| !keys.contains(it));
            }
            held.retain(|_, left| !left.is_empty());
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<Incarnation, HashSet<u64>>> {
        self.copies.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Actor for Task {
    type Msg = Message;
    type State = State;
    type Arguments = ();

    async fn pre_start(&self, _: ActorRef<Message>, (): ()) -> Result<State, ActorProcessingErr> {
        Ok(State::default())
    }

    async fn handle(
        &self,
        myself: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            Message::Claim(key, reply) => {
                state.waiting.push((key, reply));
                if !std::mem::replace(&mut state.scheduled, true) {
                    let wait = Duration::from_millis(self.shared.settings.timing.claim_millis);
                    myself.send_after(wait, || Message::Flush);
                }
            }
            Message::Flush => {
                state.scheduled = false;
                let batch = std::mem::take(&mut state.waiting);
                record(&self.shared, batch).await;
            }
        }
        Ok(())
    }
}

async fn record(shared: &Arc<Shared>, batch: Vec<(u64, oneshot::Sender<Claimed>)>) {
    let keys: Vec<u64> = batch.iter().map(|(key, _)| *key).collect();
    let me = shared.me;
    let logged = append(shared, &keys).await;
    let copied = !logged && copy(shared, &keys).await;
    if copied {
        shared.claims.lock().entry(me).or_default().extend(keys.iter().copied());
    }
    let judge = move |node: &mut Node, now| {
        if copied {
            keys.iter().for_each(|key| node.claims.claim(*key, me, now));
        }
        let other = |key: &u64| node.claims.claimed_by_other(*key, me);
        keys.iter().map(other).collect::<Vec<_>>()
    };
    let taken = shared.keeper.visit(judge).await;
    for ((_, reply), elsewhere) in batch.into_iter().zip(taken) {
        let claimed = match (elsewhere, logged || copied) {
            (true, _) => Claimed::Elsewhere,
            (false, true) => Claimed::Mine,
            (false, false) => Claimed::Unavailable,
        };
        let _ = reply.send(claimed);
    }
}

/// Appends claims and waits until they have been read back.
async fn append(shared: &Shared, keys: &[u64]) -> bool {
    if !shared.log_answers() {
        return false;
    }
    let record = Claims { by: shared.me, keys: keys.to_vec() };
    shared.metrics.count(Counter::ClaimAppends);
    let Ok(offset) = shared.platform.append(CLAIMS_STREAM, vec![envelope::encode(&record)]).await
    else {
        shared.metrics.count(Counter::LogFailed);
        return false;
    };
    let mut read = shared.claims.read.subscribe();
    let seen = tokio::time::timeout(READ_BACK, read.wait_for(|it| *it > offset)).await;
    let seen = matches!(seen, Ok(Ok(_)));
    if seen {
        shared.metrics.add(Counter::Claims, keys.len() as u64);
    }
    seen
}

/// Leaves copies with a live node, preferably in another failure domain.
async fn copy(shared: &Shared, keys: &[u64]) -> bool {
    let domain = shared.settings.domain.clone();
    let candidates = move |node: &mut Node, now| {
        let mut peers: Vec<_> = node.neighbours().into_iter().cloned().collect();
        peers.retain(|it| node.liveness(it.incarnation, now) == Liveness::Alive);
        peers.sort_by_key(|it| it.domain == domain);
        peers
    };
    let me = shared.me;
    for peer in shared.keeper.visit(candidates).await {
        let keys = keys.to_vec();
        let count = keys.len() as u64;
        let call = |client: PeerClient, context| async move {
            client.replicate_claims(context, me, keys).await
        };
        if shared.peers.call(peer.control, COPY, call).await == Ok(true) {
            shared.metrics.add(Counter::ClaimCopies, count);
            return true;
        }
    }
    false
}
