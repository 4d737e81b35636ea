//! Routing of one keyed request to the owner of its key.
//!
//! A node may run a request only after every earlier owner of the key has released the key to it.
//! [`Flow`] is a state machine without I/O: it returns the next step, and the caller executes the
//! step and reports its result. A minted key was assigned by a node to a request that came without a
//! key, and is not recorded: a request that brings one back may have run.

use crate::claims::Doubt;
use crate::ledger::Begin;
use crate::node::{Node, Route};
use crosslane_state::answer::Answer;
use crosslane_state::incarnation::Incarnation;
use crosslane_state::request::Key;
use crosslane_state::time::Millis;
use std::sync::Arc;

/// Most owners to which a request is forwarded, one after another.
pub const MOST_FORWARDS: usize = 4;

/// Next step of a keyed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Ask a node to release the key.
    Inquire(Incarnation),
    /// Forward the request to a node.
    Forward(Incarnation),
    /// Answer the node that forwarded the request with the owner to try instead.
    Name(Incarnation),
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
pub enum Inquired {
    /// The node does not know the key and has released it.
    Free,
    /// The node knows the key.
    Known,
    /// The node did not answer.
    Silent,
}

/// Result of a forward that was not answered with a reply to the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Forwarded {
    /// The node named another owner.
    Named(Incarnation),
    /// The node did not receive the request.
    Unreached,
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
    forwards: Vec<Incarnation>,
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
            forwards: Vec::new(),
        }
    }

    /// The same request, but received from another node, with the nodes that have released its key.
    pub fn forwarded_past(self, released_by: Vec<Incarnation>) -> Self {
        Self { forwarded_here: true, released_by, ..self }
    }

    /// The key.
    pub fn key(&self) -> &Key {
        &self.key
    }

    /// Nodes that named another owner when the request was forwarded to them.
    pub fn forwards(&self) -> &[Incarnation] {
        &self.forwards
    }

    /// Returns the first step.
    pub fn start(&mut self, node: &mut Node, now: Millis) -> Step {
        if node.ledger.knows(&self.key) {
            return self.begin(node, now);
        }
        if self.key.minted_by().is_some() {
            return Step::Refuse(Refusal::Unknown);
        }
        self.release_mark = node.ledger.releases();
        self.released.clear();
        match node.route(&self.key, &self.released_by, now) {
            Route::Here { ask: mut to_ask } => {
                to_ask.reverse();
                self.to_ask = to_ask;
                self.ask_next(node, now)
            }
            Route::There(owner) => {
                if self.forwarded_here {
                    node.ledger.release(&self.key, owner, now);
                }
                self.hand_to(owner)
            }
            Route::Nowhere => Step::Refuse(Refusal::Unreachable),
        }
    }

    /// Returns the next step after a node was asked to release the key.
    pub fn inquired(
        &mut self,
        by: Incarnation,
        inquired: Inquired,
        node: &mut Node,
        now: Millis,
    ) -> Step {
        match inquired {
            Inquired::Known => return self.hand_to(by),
            Inquired::Silent if !self.repeatable => return Step::Refuse(Refusal::Unreachable),
            Inquired::Silent | Inquired::Free => self.released.push(by),
        }
        self.ask_next(node, now)
    }

    /// Returns the next step after a forward that was not answered.
    pub fn forwarded(
        &mut self,
        to: Incarnation,
        forwarded: Forwarded,
        node: &mut Node,
        now: Millis,
    ) -> Step {
        match forwarded {
            Forwarded::Named(_) if self.forwards.len() >= MOST_FORWARDS => {
                Step::Refuse(Refusal::Unreachable)
            }
            Forwarded::Named(owner) if owner == node.options().me => {
                self.forwards.push(to);
                self.released_by.push(to);
                self.start(node, now)
            }
            Forwarded::Named(owner) => {
                self.forwards.push(to);
                Step::Forward(owner)
            }
            Forwarded::Unreached | Forwarded::Lost if self.repeatable => {
                node.ledger.reclaim(&self.key, u64::MAX, |holder| holder == to);
                self.begin(node, now)
            }
            Forwarded::Unreached | Forwarded::Lost => Step::Refuse(Refusal::Unreachable),
        }
    }

    fn ask_next(&mut self, node: &mut Node, now: Millis) -> Step {
        if let Some(next) = self.to_ask.pop() {
            return Step::Inquire(next);
        }
        let released = &self.released;
        node.ledger.reclaim(&self.key, self.release_mark, |holder| released.contains(&holder));
        let roster = &node.state.roster;
        node.ledger.reclaim(&self.key, u64::MAX, |holder| roster.get(holder).is_none());
        self.begin(node, now)
    }

    fn begin(&mut self, node: &mut Node, now: Millis) -> Step {
        if !self.repeatable && !node.ledger.knows(&self.key) {
            match node.doubt(&self.key) {
                Some(Doubt::Claimed) => return Step::Refuse(Refusal::Unknown),
                Some(Doubt::Unsettled) => return Step::Refuse(Refusal::InDoubt),
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
        if self.forwarded_here { Step::Name(owner) } else { Step::Forward(owner) }
    }
}
