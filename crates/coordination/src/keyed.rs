//! Routing of one keyed request to the owner of its key.
//!
//! A node may run a request only after every earlier owner of the key has released the key to it.
//! [`Flow`] is a state machine without I/O: it returns the next step, and the caller executes the
//! step and reports its result. A generated key was assigned by a node to a request that came
//! without a key, and is not recorded: a request that brings one back may have run.

use crate::claims::Doubt;
use crate::ledger::Begin;
use crate::node::{Node, Route};
use crosslane_state::answer::Answer;
use crosslane_state::incarnation::Incarnation;
use crosslane_state::request::Key;
use crosslane_state::time::Millis;
use std::sync::Arc;

/// Most owners to which a request is forwarded, one after another.
pub const MAX_FORWARDS: usize = 4;

/// Next step of a keyed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Ask a node to release the key.
    RequestRelease(Incarnation),
    /// Forward the request to a node.
    Forward(Incarnation),
    /// Answer the node that forwarded the request with the owner to try instead.
    Redirect(Incarnation),
    /// Run it here.
    Run,
    /// Wait for the run in progress here.
    Join,
    /// Return the recorded answer.
    Replay(Arc<Answer>),
    /// Refuse the request.
    Refuse(Refusal),
}

/// Why a keyed request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The key was used for another request.
    Mismatch,
    /// There is no room to record the key.
    Full,
    /// It may have run.
    Unknown,
    /// A departed node may have run it, and that node's claims are not all collected yet.
    InDoubt,
    /// A node that may know the key is unreachable.
    Unreachable,
}

/// Result of asking a node to release a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseReply {
    /// The node does not know the key and has released it.
    Released,
    /// The node knows the key.
    Held,
    /// The node did not answer.
    NoReply,
}

/// Result of a forward that was not answered with a reply to the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardOutcome {
    /// The node named another owner.
    Redirected(Incarnation),
    /// The node did not receive the request.
    NotDelivered,
    /// The node may have received the request, but the reply was lost.
    Lost,
}

/// State machine of one keyed request.
#[derive(Clone, Debug)]
pub struct Flow {
    key: Key,
    fingerprint: u64,
    repeatable: bool,
    forwarded_here: bool,
    released_by: Vec<Incarnation>,
    to_ask: Vec<Incarnation>,
    released: Vec<Incarnation>,
    release_mark: u64,
    redirected_by: Vec<Incarnation>,
}

impl Flow {
    /// A request received from a caller.
    pub fn new(key: Key, fingerprint: u64, repeatable: bool) -> Self {
        Self {
            key,
            fingerprint,
            repeatable,
            forwarded_here: false,
            released_by: Vec::new(),
            to_ask: Vec::new(),
            released: Vec::new(),
            release_mark: 0,
            redirected_by: Vec::new(),
        }
    }

    /// The same request, but received from another node, with the nodes that have released its key.
    pub fn into_forwarded(self, released_by: Vec<Incarnation>) -> Self {
        Self { forwarded_here: true, released_by, ..self }
    }

    /// The key.
    pub fn key(&self) -> &Key {
        &self.key
    }

    /// Nodes that named another owner when the request was forwarded to them.
    pub fn redirected_by(&self) -> &[Incarnation] {
        &self.redirected_by
    }

    /// Returns the first step.
    pub fn start(&mut self, node: &mut Node, now: Millis) -> Step {
        if node.ledger.contains(&self.key) {
            return self.begin(node, now);
        }
        if self.key.generated_by().is_some() {
            return Step::Refuse(Refusal::Unknown);
        }
        self.release_mark = node.ledger.release_count();
        self.released.clear();
        match node.route(&self.key, &self.released_by, now) {
            Route::Local { release_from: mut to_ask } => {
                to_ask.reverse();
                self.to_ask = to_ask;
                self.ask_next(node, now)
            }
            Route::Remote(owner) => {
                if self.forwarded_here {
                    node.ledger.release(&self.key, owner, now);
                }
                self.hand_to(owner)
            }
            Route::NoOwner => Step::Refuse(Refusal::Unreachable),
        }
    }

    /// Returns the next step after a node was asked to release the key.
    pub fn on_release_reply(
        &mut self,
        by: Incarnation,
        reply: ReleaseReply,
        node: &mut Node,
        now: Millis,
    ) -> Step {
        match reply {
            ReleaseReply::Held => return self.hand_to(by),
            ReleaseReply::NoReply if !self.repeatable => return Step::Refuse(Refusal::Unreachable),
            ReleaseReply::NoReply | ReleaseReply::Released => self.released.push(by),
        }
        self.ask_next(node, now)
    }

    /// Returns the next step after a forward that was not answered.
    pub fn on_forward_outcome(
        &mut self,
        to: Incarnation,
        outcome: ForwardOutcome,
        node: &mut Node,
        now: Millis,
    ) -> Step {
        match outcome {
            ForwardOutcome::Redirected(_) if self.redirected_by.len() >= MAX_FORWARDS => {
                Step::Refuse(Refusal::Unreachable)
            }
            ForwardOutcome::Redirected(owner) if owner == node.options().incarnation => {
                self.redirected_by.push(to);
                self.released_by.push(to);
                self.start(node, now)
            }
            ForwardOutcome::Redirected(owner) => {
                self.redirected_by.push(to);
                Step::Forward(owner)
            }
            ForwardOutcome::NotDelivered | ForwardOutcome::Lost if self.repeatable => {
                node.ledger.reclaim(&self.key, u64::MAX, |holder| holder == to);
                self.begin(node, now)
            }
            ForwardOutcome::NotDelivered | ForwardOutcome::Lost => {
                Step::Refuse(Refusal::Unreachable)
            }
        }
    }

    fn ask_next(&mut self, node: &mut Node, now: Millis) -> Step {
        if let Some(next) = self.to_ask.pop() {
            return Step::RequestRelease(next);
        }
        let released = &self.released;
        node.ledger.reclaim(&self.key, self.release_mark, |holder| released.contains(&holder));
        let roster = &node.state.roster;
        node.ledger.reclaim(&self.key, u64::MAX, |holder| roster.get(holder).is_none());
        self.begin(node, now)
    }

    fn begin(&mut self, node: &mut Node, now: Millis) -> Step {
        if !self.repeatable && !node.ledger.contains(&self.key) {
            match node.doubt(&self.key) {
                Some(Doubt::Claimed) => return Step::Refuse(Refusal::Unknown),
                Some(Doubt::ClaimsIncomplete) => return Step::Refuse(Refusal::InDoubt),
                None => {}
            }
        }
        match node.ledger.begin(&self.key, self.fingerprint, self.repeatable, now) {
            Begin::Run => Step::Run,
            Begin::Join => Step::Join,
            Begin::Replay(answer) => Step::Replay(answer),
            Begin::Moved(owner) => self.hand_to(owner),
            Begin::Mismatch => Step::Refuse(Refusal::Mismatch),
            Begin::Full => Step::Refuse(Refusal::Full),
            Begin::Unknown => Step::Refuse(Refusal::Unknown),
        }
    }

    fn hand_to(&self, owner: Incarnation) -> Step {
        if self.forwarded_here { Step::Redirect(owner) } else { Step::Forward(owner) }
    }
}
