//! Actor that owns a node's decision state and runs all access to it one at a time, in order.

use crate::clock::Clock;
use crosslane_coordination::node::Node;
use crosslane_coordination::slots::{Decision, Request};
use crosslane_state::attempt;
use crosslane_state::runner;
use crosslane_state::time::Millis;
use log::error;
use ractor::{Actor, ActorProcessingErr, ActorRef, SpawnErr};
use std::collections::HashMap;
use tokio::sync::oneshot;

/// Exit code of the process after the actor has ended, which is a bug.
const ACTOR_ENDED_EXIT_CODE: i32 = 1;

type Task = Box<dyn FnOnce(&mut Node, Millis) + Send>;

/// Messages to the actor.
enum Message {
    /// Run a closure on the state.
    Run(Task),
    /// Request a slot; the decision may come later.
    RequestSlot(runner::Id, Request, oneshot::Sender<Decision>),
    /// Release a slot, or withdraw its request.
    ReleaseSlot(runner::Id, attempt::Id),
    /// Expire and grant waiting slot requests, and evict old idempotency records.
    Tick,
}

/// Handle to the actor.
#[derive(Clone, Debug)]
pub struct Keeper {
    actor: ActorRef<Message>,
}

struct DecisionActor;

struct State {
    node: Node,
    clock: Clock,
    pending: HashMap<attempt::Id, (runner::Id, oneshot::Sender<Decision>)>,
}

impl Keeper {
    /// Starts the actor; if the actor ends, so does the process.
    pub async fn start(node: Node, clock: Clock) -> Result<Self, SpawnErr> {
        let (actor, ended) = Actor::spawn(None, DecisionActor, (node, clock)).await?;
        tokio::spawn(async move {
            let _ = ended.await;
            error!(event = "keeper_ended"; "the decision actor ended; exiting");
            std::process::exit(ACTOR_ENDED_EXIT_CODE);
        });
        Ok(Self { actor })
    }

    /// Runs a closure on the state and returns its result; waits forever if the actor has ended.
    pub async fn with_node<T: Send + 'static>(
        &self,
        access: impl FnOnce(&mut Node, Millis) -> T + Send + 'static,
    ) -> T {
        let (reply, result) = oneshot::channel();
        let task: Task = Box::new(move |node, now| {
            let _ = reply.send(access(node, now));
        });
        let _ = self.actor.cast(Message::Run(task));
        match result.await {
            Ok(value) => value,
            Err(_) => std::future::pending().await,
        }
    }

    /// Requests a slot and waits for the decision.
    pub async fn request_slot(&self, runner: runner::Id, request: Request) -> Decision {
        let (reply, decision) = oneshot::channel();
        let _ = self.actor.cast(Message::RequestSlot(runner, request, reply));
        decision.await.unwrap_or(Decision::NotOwner)
    }

    /// Releases a slot, or withdraws its request.
    pub fn release(&self, runner: runner::Id, attempt: attempt::Id) {
        let _ = self.actor.cast(Message::ReleaseSlot(runner, attempt));
    }

    /// Expires and grants waiting slot requests, and evicts old idempotency records.
    pub fn tick(&self) {
        let _ = self.actor.cast(Message::Tick);
    }
}

impl Actor for DecisionActor {
    type Msg = Message;
    type State = State;
    type Arguments = (Node, Clock);

    async fn pre_start(
        &self,
        _: ActorRef<Message>,
        (node, clock): (Node, Clock),
    ) -> Result<State, ActorProcessingErr> {
        Ok(State { node, clock, pending: HashMap::new() })
    }

    async fn handle(
        &self,
        _: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        let now = state.clock.now();
        match message {
            Message::Run(task) => task(&mut state.node, now),
            Message::RequestSlot(runner, request, reply) => {
                state.request_slot(runner, request, reply, now)
            }
            Message::ReleaseSlot(runner, attempt) => state.release_slot(runner, attempt, now),
            Message::Tick => state.tick(now),
        }
        Ok(())
    }
}

impl State {
    fn request_slot(
        &mut self,
        runner: runner::Id,
        request: Request,
        reply: oneshot::Sender<Decision>,
        now: Millis,
    ) {
        match self.node.request_slot(runner, request, now) {
            Some(decision) => self.answer(runner, request.attempt, reply, decision, now),
            None => {
                self.pending.insert(request.attempt, (runner, reply));
            }
        }
    }

    fn release_slot(&mut self, runner: runner::Id, attempt: attempt::Id, now: Millis) {
        self.pending.remove(&attempt);
        let granted = self.node.release(runner, attempt, now);
        self.answer_granted(granted, now);
    }

    fn tick(&mut self, now: Millis) {
        for (attempt, retry_after) in self.node.expire(now) {
            if let Some((_, reply)) = self.pending.remove(&attempt) {
                let _ = reply.send(Decision::Refused { retry_after });
            }
        }
        let granted = self.node.grant_waiting(now);
        self.answer_granted(granted, now);
        self.node.ledger.evict(now);
        let withdrawn = self.pending.iter().filter(|(_, (_, reply))| reply.is_closed());
        let abandoned: Vec<_> =
            withdrawn.map(|(attempt, (runner, _))| (*runner, *attempt)).collect();
        for (runner, attempt) in abandoned {
            self.release_slot(runner, attempt, now);
        }
    }

    /// Answers the pending requests of attempts that have just been granted a slot.
    fn answer_granted(&mut self, attempts: Vec<attempt::Id>, now: Millis) {
        for attempt in attempts {
            if let Some((runner, reply)) = self.pending.remove(&attempt) {
                let decision =
                    self.node.slot_decision(runner, attempt, now).unwrap_or(Decision::NotOwner);
                self.answer(runner, attempt, reply, decision, now);
            }
        }
    }

    /// Answers a slot request; releases a granted slot at once if the requester no longer waits.
    fn answer(
        &mut self,
        runner: runner::Id,
        attempt: attempt::Id,
        reply: oneshot::Sender<Decision>,
        decision: Decision,
        now: Millis,
    ) {
        if reply.send(decision).is_err() && matches!(decision, Decision::Granted { .. }) {
            self.release_slot(runner, attempt, now);
        }
    }
}
