//! Claims on the keys of non-repeatable requests, recorded before anything is dispatched.
//!
//! Claims are appended to the log in batches, one append at a time. The first claim on a key in
//! log order wins, so a claim is valid only once it has been read back. While the log is
//! unavailable a claim is replicated to another node instead, preferably in another failure
//! domain, and both nodes append it when the log is available again.

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

/// Timeout for replicating claims to a peer.
const REPLICATE_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for reading back an appended claim.
const READ_BACK_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Result of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claimed {
    /// This node holds the claim.
    Mine,
    /// Another node claimed the key first.
    Elsewhere,
    /// Neither the log nor a peer accepted the claim.
    Unavailable,
}

enum Message {
    Claim(u64, oneshot::Sender<Claimed>),
    Flush,
}

/// Records claims, and holds replicas of the claims of other nodes.
#[derive(Debug, Default)]
pub struct Writer {
    actor: OnceLock<ActorRef<Message>>,
    replicas: Mutex<HashMap<Incarnation, HashSet<u64>>>,
    next_offset: watch::Sender<u64>,
}

struct Appender {
    shared: Arc<Shared>,
}

#[derive(Default)]
struct State {
    pending: Vec<(u64, oneshot::Sender<Claimed>)>,
    flush_scheduled: bool,
}

impl Writer {
    /// Starts the actor that appends claims.
    pub async fn start(shared: Arc<Shared>) -> Result<(), SpawnErr> {
        let (actor, _) = Actor::spawn(None, Appender { shared: shared.clone() }, ()).await?;
        let _ = shared.claims.actor.set(actor);
        Ok(())
    }

    /// Claims a key by its hash.
    pub async fn claim(&self, key: u64) -> Claimed {
        let (reply, result) = oneshot::channel();
        if let Some(actor) = self.actor.get() {
            let _ = actor.cast(Message::Claim(key, reply));
        }
        result.await.unwrap_or(Claimed::Unavailable)
    }

    /// Sets the offset of the next claims record to read.
    pub fn set_next_offset(&self, next: u64) {
        self.next_offset.send_if_modified(|offset| std::mem::replace(offset, next) != next);
    }

    /// Offset of the next claims record to read.
    pub fn next_offset(&self) -> u64 {
        *self.next_offset.borrow()
    }

    /// Stores replicas of a node's claims; false, storing none, if the node is no member or another
    /// node claimed one of the keys.
    pub async fn store_replicas(&self, shared: &Shared, by: Incarnation, keys: Vec<u64>) -> bool {
        let checked = keys.clone();
        let is_valid = move |node: &mut Node, _| {
            let is_member = node.state.roster.get(by).is_some();
            is_member && checked.iter().all(|key| !node.claims.claimed_by_other(*key, by))
        };
        if !shared.keeper.with_node(is_valid).await {
            return false;
        }
        self.lock().entry(by).or_default().extend(keys.iter().copied());
        let apply = move |node: &mut Node, now| {
            keys.iter().for_each(|key| node.claims.claim(*key, by, now));
        };
        shared.keeper.with_node(apply).await;
        true
    }

    /// Replicas held of a node's claims.
    pub fn replicas_of(&self, by: Incarnation) -> Vec<u64> {
        self.lock().get(&by).map(|keys| keys.iter().copied().collect()).unwrap_or_default()
    }

    /// Appends all replicas to the log and drops those appended; called when the log answers again.
    pub async fn flush_replicas(&self, shared: &Shared) {
        let replicas: Vec<_> = self.lock().iter().map(|(by, keys)| (*by, keys.clone())).collect();
        for (by, keys) in replicas {
            let record = Claims { by, keys: keys.iter().copied().collect() };
            if shared.platform.append(CLAIMS_STREAM, vec![envelope::encode(&record)]).await.is_err()
            {
                return;
            }
            let mut held = self.lock();
            if let Some(remaining) = held.get_mut(&by) {
                remaining.retain(|key| !keys.contains(key));
            }
            held.retain(|_, remaining| !remaining.is_empty());
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<Incarnation, HashSet<u64>>> {
        self.replicas.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Actor for Appender {
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
                state.pending.push((key, reply));
                if !std::mem::replace(&mut state.flush_scheduled, true) {
                    let delay = Duration::from_millis(self.shared.settings.timing.claim_millis);
                    myself.send_after(delay, || Message::Flush);
                }
            }
            Message::Flush => {
                state.flush_scheduled = false;
                let batch = std::mem::take(&mut state.pending);
                record_batch(&self.shared, batch).await;
            }
        }
        Ok(())
    }
}

/// Records a batch of claims in the log or with a peer, and replies to each claimant.
async fn record_batch(shared: &Arc<Shared>, batch: Vec<(u64, oneshot::Sender<Claimed>)>) {
    let keys: Vec<u64> = batch.iter().map(|(key, _)| *key).collect();
    let own = shared.incarnation;
    let logged = append(shared, &keys).await;
    let replicated = !logged && replicate(shared, &keys).await;
    if replicated {
        shared.claims.lock().entry(own).or_default().extend(keys.iter().copied());
    }
    let resolve = move |node: &mut Node, now| {
        if replicated {
            keys.iter().for_each(|key| node.claims.claim(*key, own, now));
        }
        let claimed_by_other = |key: &u64| node.claims.claimed_by_other(*key, own);
        keys.iter().map(claimed_by_other).collect::<Vec<_>>()
    };
    let lost = shared.keeper.with_node(resolve).await;
    for ((_, reply), elsewhere) in batch.into_iter().zip(lost) {
        let claimed = match (elsewhere, logged || replicated) {
            (true, _) => Claimed::Elsewhere,
            (false, true) => Claimed::Mine,
            (false, false) => Claimed::Unavailable,
        };
        let _ = reply.send(claimed);
    }
}

/// Appends claims to the log and waits until they have been read back.
async fn append(shared: &Shared, keys: &[u64]) -> bool {
    if !shared.log_answers() {
        return false;
    }
    let record = Claims { by: shared.incarnation, keys: keys.to_vec() };
    shared.metrics.count(Counter::ClaimAppends);
    let Ok(offset) = shared.platform.append(CLAIMS_STREAM, vec![envelope::encode(&record)]).await
    else {
        shared.metrics.count(Counter::LogFailed);
        return false;
    };
    let mut next_offset = shared.claims.next_offset.subscribe();
    let caught_up =
        tokio::time::timeout(READ_BACK_TIMEOUT, next_offset.wait_for(|next| *next > offset)).await;
    let read_back = matches!(caught_up, Ok(Ok(_)));
    if read_back {
        shared.metrics.add(Counter::Claims, keys.len() as u64);
    }
    read_back
}

/// Replicates claims to a live node, preferably in another failure domain.
async fn replicate(shared: &Shared, keys: &[u64]) -> bool {
    let domain = shared.settings.domain.clone();
    let candidates = move |node: &mut Node, now| {
        let mut peers: Vec<_> = node.neighbours().into_iter().cloned().collect();
        peers.retain(|peer| node.liveness(peer.incarnation, now) == Liveness::Alive);
        peers.sort_by_key(|peer| peer.domain == domain);
        peers
    };
    let own = shared.incarnation;
    for peer in shared.keeper.with_node(candidates).await {
        let keys = keys.to_vec();
        let count = keys.len() as u64;
        let call = |client: PeerClient, context| async move {
            client.replicate_claims(context, own, keys).await
        };
        if shared.peers.call(peer.control, REPLICATE_TIMEOUT, call).await == Ok(true) {
            shared.metrics.add(Counter::ClaimCopies, count);
            return true;
        }
    }
    false
}
