//! The actor that holds all decisions of a node, so that each is made alone and in order.

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

/// Exit code of a process whose decisions have ended, which is a fault of the program.
const KEEPER_ENDED: i32 = 1;

type Visit = Box<dyn FnOnce(&mut Node, Millis) + Send>;

/// What the actor is told.
enum Message {
    /// Run a decision.
    Visit(Visit),
    /// Ask for a slot; the answer may come later.
    Ask(runner::Id, Request, oneshot::Sender<Decision>),
    /// Give a slot back.
    Release(runner::Id, attempt::Id),
    /// Time has passed.
    Tick,
}

/// Handle of the actor.
#[derive(Clone, Debug)]
pub struct Keeper {
    actor: ActorRef<Message>,
}

struct Task;

struct State {
    node: Node,
    clock: Clock,
    pending: HashMap<attempt::Id, (runner::Id, oneshot::Sender<Decision>)>,
}

impl Keeper {
    /// Starts the actor; should it ever end, the process does.
    pub async fn start(node: Node, clock: Clock) -> Result<Self, SpawnErr> {
        let (actor, ended) = Actor::spawn(None, Task, (node, clock)).await?;
        tokio::spawn(async move {
            let _ = ended.await;
            error!(event = "keeper_ended"; "a node can't go on without its decisions");
            std::process::exit(KEEPER_ENDED);
        });
        Ok(Self { actor })
    }

    /// Runs a decision and returns its result.
    pub async fn visit<T: Send + 'static>(
        &self,
        decide: impl FnOnce(&mut Node, Millis) -> T + Send + 'static,
    ) -> T {
        let (reply, result) = oneshot::channel();
        let visit: Visit = Box::new(move |node, now| {
            let _ = reply.send(decide(node, now));
        });
        let _ = self.actor.cast(Message::Visit(visit));
        match result.await {
            Ok(value) => value,
            Err(_) => std::future::pending().await,
        }
    }

    /// Asks for a slot and waits for the answer.
    pub async fn ask(&self, runner: runner::Id, ask: Request) -> Decision {
        let (reply, grant) = oneshot::channel();
        let _ = self.actor.cast(Message::Ask(runner, ask, reply));
        grant.await.unwrap_or(Decision::NotOwner)
    }

    /// Gives a slot back, or stops waiting for it.
    pub fn release(&self, runner: runner::Id, attempt: attempt::Id) {
        let _ = self.actor.cast(Message::Release(runner, attempt));
    }

    /// Says that time has passed.
    pub fn tick(&self) {
        let _ = self.actor.cast(Message::Tick);
    }
}

impl Actor for Task {
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
            Message::Visit(visit) => visit(&mut state.node, now),
            Message::Ask(runner, ask, reply) => state.ask(runner, ask, reply, now),
            Message::Release(runner, attempt) => state.release(runner, attempt, now),
            Message::Tick => state.tick(now),
        }
        Ok(())
    }
}

impl State {
    fn ask(
        &mut self,
        runner: runner::Id,
        ask: Request,
        reply: oneshot::Sender<Decision>,
        now: Millis,
    ) {
        match self.node.request_slot(runner, ask, now) {
            Some(grant) => self.answer(runner, ask.attempt, reply, grant, now),
            None => {
                self.pending.insert(ask.attempt, (runner, reply));
            }
        }
    }

    fn release(&mut self, runner: runner::Id, attempt: attempt::Id, now: Millis) {
        self.pending.remove(&attempt);
        let granted = self.node.release(runner, attempt, now);
        self.granted(granted, now);
    }

    fn tick(&mut self, now: Millis) {
        for (attempt, retry_after) in self.node.expire(now) {
            if let Some((_, reply)) = self.pending.remove(&attempt) {
                let _ = reply.send(Decision::Refused { retry_after });
            }
        }
        let granted = self.node.grant_waiting(now);
        self.granted(granted, now);
        self.node.ledger.evict(now);
        let closed = self.pending.iter().filter(|(_, (_, reply))| reply.is_closed());
        let left: Vec<_> = closed.map(|(attempt, (runner, _))| (*runner, *attempt)).collect();
        for (runner, attempt) in left {
            self.release(runner, attempt, now);
        }
    }

    fn granted(&mut self, attempts: Vec<attempt::Id>, now: Millis) {
        for attempt in attempts {
            if let Some((runner, reply)) = self.pending.remove(&attempt) {
                let grant =
                    self.node.slot_decision(runner, attempt, now).unwrap_or(Decision::NotOwner);
                self.answer(runner, attempt, reply, grant, now);
            }
        }
    }

    /// Answers an ask; a slot for one who no longer waits goes back at once.
    fn answer(
        &mut self,
        runner: runner::Id,
        attempt: attempt::Id,
        reply: oneshot::Sender<Decision>,
        grant: Decision,
        now: Millis,
    ) {
        if reply.send(grant).is_err() && matches!(grant, Decision::Granted { .. }) {
            self.release(runner, attempt, now);
        }
    }
}
