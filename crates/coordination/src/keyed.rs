//! The way of one keyed request: to the owner of its key, past those that owned it before.
//!
//! A key may be run only by a node that every earlier owner has given the key up to. The
//! flow says what to do next; the node does it and tells the flow what came of it. A minted key
//! names a request that came without one and is not remembered: sent back, it may have run.

use crate::claims::Doubt;
use crate::ledger::Begin;
use crate::node::{Node, Route};
use crosslane_state::answer::Answer;
use crosslane_state::incarnation::Incarnation;
use crosslane_state::request::Key;
use crosslane_state::time::Millis;
use std::sync::Arc;

/// Owners that a request may be forwarded to, one after another.
pub const MOST_FORWARDS: usize = 4;

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Ask a node to give the key up.
    Inquire(Incarnation),
    /// Forward the request to a node.
    Forward(Incarnation),
    /// Tell the node that forwarded it whom to try instead.
    Name(Incarnation),
    /// Run it here.
    Run,
    /// Join the run here.
    Join,
    /// Give the recorded answer.
    Replay(Arc<Answer>),
    /// Refuse it.
    Refuse(Refusal),
}

/// Why a keyed request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The key was used for another request.
    Mismatch,
    /// No room to remember the key.
    Full,
    /// It may have run.
    Unknown,
    /// A departed node may have run it; this is being found out.
    InDoubt,
    /// A node that may know the key can't be reached.
    Unreachable,
}

/// What came of an inquiry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Inquired {
    /// The node knows nothing under the key and has given it up.
    Free,
    /// The node knows the key.
    Known,
    /// The node did not answer.
    Silent,
}

/// What came of a forward, unless it was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Forwarded {
    /// The node named another.
    Named(Incarnation),
    /// The node did not take it.
    Unreached,
    /// The node may have taken it and is gone.
    Lost,
}

/// A keyed request on its way.
#[derive(Clone, Debug)]
pub struct Flow {
    key: Key,
    fingerprint: u64,
    repeatable: bool,
    inner: bool,
    passed: Vec<Incarnation>,
    asking: Vec<Incarnation>,
    given_up: Vec<Incarnation>,
    since: u64,
    forwards: Vec<Incarnation>,
}

impl Flow {
    /// A request that came from a caller.
    pub fn new(key: Key, fingerprint: u64, repeatable: bool) -> Self {
        Self {
            key,
            fingerprint,
            repeatable,
            inner: false,
            passed: Vec::new(),
            asking: Vec::new(),
            given_up: Vec::new(),
            since: 0,
            forwards: Vec::new(),
        }
    }

    /// The same request as forwarded by another node, past some that gave its key up.
    pub fn forwarded_past(self, passed: Vec<Incarnation>) -> Self {
        Self { inner: true, passed, ..self }
    }

    /// The key.
    pub fn key(&self) -> &Key {
        &self.key
    }

    /// Nodes that named another when the request was forwarded to them.
    pub fn forwards(&self) -> &[Incarnation] {
        &self.forwards
    }

    /// Sets out.
    pub fn start(&mut self, node: &mut Node, now: Millis) -> Step {
        if node.ledger.knows(&self.key) {
            return self.begin(node, now);
        }
        if self.key.generated_by().is_some() {
            return Step::Refuse(Refusal::Unknown);
        }
        self.since = node.ledger.releases();
        self.given_up.clear();
        match node.route(&self.key, &self.passed, now) {
            Route::Here { mut ask } => {
                ask.reverse();
                self.asking = ask;
                self.inquire(node, now)
            }
            Route::There(owner) => {
                if self.inner {
                    node.ledger.release(&self.key, owner, now);
                }
                self.send(owner)
            }
            Route::Nowhere => Step::Refuse(Refusal::Unreachable),
        }
    }

    /// Goes on after an inquiry.
    pub fn inquired(
        &mut self,
        by: Incarnation,
        inquired: Inquired,
        node: &mut Node,
        now: Millis,
    ) -> Step {
        match inquired {
            Inquired::Known => return self.send(by),
            Inquired::Silent if !self.repeatable => return Step::Refuse(Refusal::Unreachable),
            Inquired::Silent | Inquired::Free => self.given_up.push(by),
        }
        self.inquire(node, now)
    }

    /// Goes on after a forward that was not answered.
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
                self.passed.push(to);
                self.start(node, now)
            }
            Forwarded::Named(owner) => {
                self.forwards.push(to);
                Step::Forward(owner)
            }
            Forwarded::Unreached | Forwarded::Lost if self.repeatable => {
                node.ledger.reclaim(&self.key, u64::MAX, |it| it == to);
                self.begin(node, now)
            }
            Forwarded::Unreached | Forwarded::Lost => Step::Refuse(Refusal::Unreachable),
        }
    }

    fn inquire(&mut self, node: &mut Node, now: Millis) -> Step {
        if let Some(next) = self.asking.pop() {
            return Step::Inquire(next);
        }
        let given_up = &self.given_up;
        node.ledger.reclaim(&self.key, self.since, |it| given_up.contains(&it));
        let roster = &node.state.roster;
        node.ledger.reclaim(&self.key, u64::MAX, |it| roster.get(it).is_none());
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
            Begin::Moved(owner) => self.send(owner),
            Begin::Mismatch => Step::Refuse(Refusal::Mismatch),
            Begin::Full => Step::Refuse(Refusal::Full),
            Begin::Unknown => Step::Refuse(Refusal::Unknown),
        }
    }

    fn send(&self, owner: Incarnation) -> Step {
        if self.inner { Step::Name(owner) } else { Step::Forward(owner) }
    }
}
