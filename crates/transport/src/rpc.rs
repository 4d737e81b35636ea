//! Server of the control port, for calls of other nodes.

use crate::metered::Metered;
use crate::node::{Phase, Shared};
use crate::peers::FRAME_BYTES;
use crosslane_coordination::node::Node;
use crosslane_coordination::slots::{Decision, Request};
use crosslane_protocol::peer::{Heartbeat, IdempotencyRecord, Peer, Snapshot};
use crosslane_state::attempt;
use crosslane_state::incarnation::Incarnation;
use crosslane_state::request::Key;
use crosslane_state::runner;
use futures::StreamExt;
use std::sync::Arc;
use tarpc::context::Context;
use tarpc::serde_transport::Transport;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::net::TcpListener;

/// Implementation of the control service on a node's shared state.
#[derive(Clone)]
struct Server {
    shared: Arc<Shared>,
}

/// Serves the control port until the process ends.
pub async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let framed = LengthDelimitedCodec::builder()
            .max_frame_length(FRAME_BYTES)
            .new_framed(Metered::new(stream, shared.peers.meter()));
        let transport: Transport<_, _, _, Bincode<_, _>> =
            tarpc::serde_transport::new(framed, Bincode::default());
        let server = Server { shared: shared.clone() };
        let requests = BaseChannel::with_defaults(transport).execute(server.serve());
        tokio::spawn(requests.for_each(|response| async {
            tokio::spawn(response);
        }));
    }
}

impl Peer for Server {
    async fn heartbeat(self, _: Context, heartbeat: Heartbeat) -> Heartbeat {
        crate::heartbeat::apply_heartbeat(&self.shared, heartbeat).await;
        crate::heartbeat::build_heartbeat(&self.shared).await
    }

    async fn reserve_slot(self, _: Context, runner: runner::Id, request: Request) -> Decision {
        self.shared.keeper.request_slot(runner, request).await
    }

    async fn release_slot(self, _: Context, runner: runner::Id, attempt: attempt::Id) {
        self.shared.keeper.release(runner, attempt);
    }

    async fn still_in_use(self, _: Context, attempts: Vec<attempt::Id>) -> Vec<bool> {
        self.shared.in_flight.still_in_use(&attempts)
    }

    async fn release_key(self, _: Context, key: Key, by: Incarnation) -> bool {
        self.shared.keeper.with_node(move |node, now| node.ledger.release(&key, by, now)).await
    }

    async fn probe(self, _: Context, node: Incarnation) -> bool {
        crate::heartbeat::probe(&self.shared, node).await
    }

    async fn replicate_claims(self, _: Context, by: Incarnation, keys: Vec<u64>) -> bool {
        self.shared.claims.store_replicas(&self.shared, by, keys).await
    }

    async fn replicated_claims(self, _: Context, by: Incarnation) -> Vec<u64> {
        self.shared.claims.replicas_of(by)
    }

    async fn handover(self, _: Context, records: Vec<IdempotencyRecord>) {
        let adopt = move |node: &mut Node, now| {
            for record in records {
                let answer = record.answer.map(Arc::new);
                node.ledger.adopt(&record.key, record.fingerprint, answer, now);
            }
        };
        self.shared.keeper.with_node(adopt).await;
    }

    async fn snapshot(self, _: Context) -> Snapshot {
        let build = |node: &mut Node, _| Snapshot {
            state: node.state.clone(),
            provisional_members: node.provisional_members(),
        };
        self.shared.keeper.with_node(build).await
    }

    async fn in_progress(self, _: Context, vm: String) -> u32 {
        let own_vm = vm == self.shared.settings.vm;
        let stopped = *self.shared.phase.borrow() == Phase::Stopped;
        let requests = if own_vm && !stopped { 1 + self.shared.in_progress() as u32 } else { 0 };
        requests + self.shared.in_flight.count_on(&vm)
    }
}
