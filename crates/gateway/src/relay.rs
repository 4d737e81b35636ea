//! Passes a stream of events on, over moves and breaks of the engines that make them.
//!
//! Only whole events are passed on. A run at an engine that leaves is moved to another with its memory;
//! one that breaks off is continued at another if its route allows, and else is cut for the caller
//! too.

use crate::event;
use crate::events::Events;
use crate::exchange::{self, Answer, Seat};
use crate::meter::{Meter, Retry};
use crate::node::Reply;
use crate::quarantine;
use crate::stream::{Run, Spare};
use bytes::{Bytes, BytesMut};
use crosslane_coordination::admission::FULL;
use crosslane_coordination::health::Outcome;
use crosslane_platform::engine::{self, MoveOutcome};
use crosslane_platform::request::Purpose;
use crosslane_state::endpoint::Endpoint;
use crosslane_state::route::Kind;
use crosslane_transport::http::BodyError;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use log::info;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Time after an engine's announcement that it leaves before its runs are moved: short ones end by
/// themselves, and it serves for 2 s at least.
const MOVE_AFTER: Duration = Duration::from_millis(1_000);

/// Pause before a move is tried again, when other engines have no room.
const MOVE_PAUSE: Duration = Duration::from_millis(300);

/// Moves tried for a run: those that fit into the time for which a leaving engine serves.
const MOVES: u32 = 4;

/// Time for a move: 100 MB over the engines' links take some 10 ms, behind other moves.
const MOVE_ANSWER: Duration = Duration::from_millis(600);

/// Passes events on.
pub struct Relay {
    run: Run,
    answer: Option<Answer>,
    events: Events,
    /// When the run is to be moved away from an engine that leaves.
    move_at: Option<Instant>,
    /// Moves that may still be tried.
    moves: u32,
    /// Why the stream is to be cut.
    broken: Option<&'static str>,
}

/// What came of a stream.
enum Piece {
    Data(Bytes),
    End,
    Broken(&'static str),
    /// The engine is silent, and all that the next attempt needs is there.
    Silent(Box<Spare>),
}

type Item = (Result<Frame<Bytes>, BodyError>, Relay);

impl Relay {
    /// Passes an engine's answer to a run on.
    pub fn new(run: Run, answer: Answer) -> Self {
        let events = Events::default();
        Self { run, answer: Some(answer), events, move_at: None, moves: MOVES, broken: None }
    }

    /// The stream as the caller gets it.
    pub fn body(self) -> Reply {
        BoxBody::new(StreamBody::new(futures::stream::unfold(self, Self::next)))
    }

    async fn next(mut self) -> Option<Item> {
        loop {
            if let Some(why) = self.broken.take() {
                return Some((Err(why.into()), self));
            }
            // Only after the error that cut it is a stream without an answer.
            self.answer.as_ref()?;
            if self.must_move() {
                match self.hand_over().await {
                    Some(whole) => return Some((Ok(Frame::data(whole)), self)),
                    None => continue,
                }
            }
            match self.piece().await {
                Piece::Data(bytes) => {
                    if let Some(whole) = self.events.push(&bytes) {
                        return Some((Ok(Frame::data(whole)), self));
                    }
                }
                Piece::End => {
                    self.note(Outcome::Good);
                    self.answer.iter_mut().for_each(Answer::ended_well);
                    return None;
                }
                Piece::Silent(spare) => {
                    self.run.keep_spare(*spare);
                    self.go_on_after("engine silent").await;
                }
                Piece::Broken(why) => {
                    self.note(Outcome::Failed);
                    self.go_on_after(why).await;
                }
            }
        }
    }

    /// Gives an engine up, and continues the stream elsewhere; else it is to be cut.
    async fn go_on_after(&mut self, why: &'static str) {
        self.judge().await;
        if !self.resume(why).await {
            self.broken = Some(why);
        }
    }

    fn note(&self, outcome: Outcome) {
        if let Some(answer) = &self.answer {
            answer.note(outcome);
        }
    }

    /// Gives an answer up that broke off, and finds out whether its engine ended under the request.
    async fn judge(&mut self) {
        if let Some(Answer { endpoint, began, .. }) = self.answer.take() {
            let Run { node, call, .. } = &self.run;
            quarantine::judge(node, call, &endpoint, began).await;
        }
    }

    async fn piece(&mut self) -> Piece {
        let Some(answer) = &mut self.answer else {
            return Piece::Broken("no engine");
        };
        let (at, sent, began) = (answer.key(), self.run.sent, Instant::now());
        let until = self.run.call.deadline.instant();
        let frame = timeout_at(until, answer.body.frame());
        let frame = self.run.unless_silent(at, sent, frame).await;
        Meter::time(&self.run.node.meter.gap, began.elapsed());
        match frame {
            Err(spare) => Piece::Silent(Box::new(spare)),
            Ok(Err(_)) => Piece::Broken("time ran out"),
            Ok(Ok(Some(Ok(frame)))) => Piece::Data(frame.into_data().unwrap_or_default()),
            Ok(Ok(Some(Err(_)))) => Piece::Broken("engine broke off"),
            Ok(Ok(None)) if self.events.partial() => Piece::Broken("engine ended within an event"),
            Ok(Ok(None)) => Piece::End,
        }
    }

    /// Whether the engine has been leaving for so long that the run is to go on elsewhere.
    fn must_move(&mut self) -> bool {
        let Some(key) = self.answer.as_ref().map(Answer::key) else {
            return false;
        };
        if self.moves == 0 || self.run.node.pool().usable(key) {
            return false;
        }
        let now = Instant::now();
        now >= *self.move_at.get_or_insert(now + MOVE_AFTER)
    }

    /// Moves the run with its memory to another engine. Returns events that came meanwhile.
    async fn hand_over(&mut self) -> Option<Bytes> {
        self.moves -= 1;
        self.move_at = Some(Instant::now() + MOVE_PAUSE);
        let (source, key) = self.answer.as_ref().map(|it| (it.endpoint.clone(), it.key()))?;
        let place = self.run.decoder(FULL, &[key])?;
        let target = self.run.node.pool().get(place.0).cloned()?;
        let mut seat = Seat::take(&self.run.node, place, self.run.tokens());
        // Before the run is stopped: it must be able to go on there.
        seat.admit(&self.run.call.ask.id).await.ok()?;
        if !self.run.node.take_repeat(&self.run.service) {
            return None;
        }
        let request = engine::move_run(&source, &self.run.call.ask.id, target.address);
        let control = self.run.node.control.clone();
        let answer = control.call(source.address, request, MOVE_ANSWER).await;
        let outcome = match &answer {
            Ok(answer) => engine::parse_move_outcome(answer.status, &answer.body),
            Err(_) => MoveOutcome::Refused,
        };
        self.told_move(&source, &target, &outcome);
        // Where it was stopped its memory is kept until it goes on: one that the other engine refuses is not lost.
        let mut stopped = Seat::take(&self.run.node, (key, 0.0), self.run.tokens());
        stopped.excuse();
        let (handle, seats) = match outcome {
            MoveOutcome::Copied { handle } => (handle, vec![seat, stopped]),
            MoveOutcome::Stopped { handle } => (handle, vec![stopped]),
            MoveOutcome::Ended | MoveOutcome::Refused => return None,
        };
        self.move_at = None;
        let rest = self.drain().await;
        self.go_on(&source, &handle, seats).await;
        rest
    }

    fn told_move(&self, from: &Endpoint, to: &Endpoint, outcome: &MoveOutcome) {
        let (request, from, to) = (self.run.call.ask.id.as_str(), from.id.as_str(), to.id.as_str());
        info!(request, from, to, outcome:? = outcome; "{}", event::MOVE);
    }

    /// Reads what a stopped run had still sent.
    async fn drain(&mut self) -> Option<Bytes> {
        let answer = self.answer.as_mut()?;
        let until = Instant::now() + MOVE_ANSWER;
        let mut rest = BytesMut::new();
        while let Ok(Some(Ok(frame))) = timeout_at(until, answer.body.frame()).await {
            let bytes = frame.into_data().unwrap_or_default();
            rest.extend(self.events.push(&bytes).into_iter().flatten());
        }
        self.events.discard();
        (!rest.is_empty()).then(|| rest.freeze())
    }

    /// Lets a stopped run go on from its memory, at the first of some engines that does not refuse it.
    async fn go_on(&mut self, source: &Endpoint, handle: &str, seats: Vec<Seat>) {
        let last_event = self.last_event();
        let source = Some((source.address, handle));
        let purpose = Purpose::Decode { reservation: None, source, last_event };
        let until = self.run.call.deadline.instant();
        self.answer = None;
        for seat in seats {
            match exchange::send(&self.run.call, seat, &purpose, until).await {
                Ok(answer) => self.answer = Some(answer),
                Err(failure) if !failure.may_have_run() => continue,
                Err(_) => {}
            }
            break;
        }
        // Without an answer the stream is continued or cut as one that broke off.
        if self.answer.is_none() && !self.resume("move failed").await {
            self.broken = Some("move failed");
        }
    }

    /// The last event passed on, here or before the caller took the stream up again.
    fn last_event(&self) -> Option<u64> {
        self.events.last_id().or(self.run.call.ask.last_event_id)
    }

    /// Continues the stream at other engines, as long as attempts are left; false if that may not or could not be
    /// done.
    async fn resume(&mut self, why: &str) -> bool {
        let last = self.last_event();
        self.events.discard();
        let bound = loop {
            if let Some(bound) = self.bound() {
                break bound;
            }
            let resumed = self.run.elsewhere(last).await;
            self.run.node.meter.retried(Retry::Resumed);
            let (outcome, on) = match &resumed {
                Ok(answer) if answer.parts.status.is_success() => ("resumed", false),
                Ok(answer) => {
                    answer.note(Outcome::Error);
                    // Dropped before the next try, and its trial with it.
                    ("not resumed", true)
                }
                Err(failure) => ("not resumed", failure.is_some_and(|it| !it.barred())),
            };
            self.told_resume(why, outcome);
            if !on {
                self.answer = resumed.ok();
                return self.answer.is_some();
            }
        };
        self.told_resume(why, bound);
        false
    }

    /// What keeps the stream from being continued, if anything; else a repeat is taken for it.
    fn bound(&self) -> Option<&'static str> {
        let Run { node, call, route, service, sent, .. } = &self.run;
        if self.run.has_spare() {
            return None;
        }
        if route.kind != (Kind::Stream { resumable: true }) {
            return Some("cut: may not be resumed");
        }
        if call.left().is_zero() {
            return Some("cut: time ran out");
        }
        if *sent >= route.max_attempts {
            return Some("cut: no attempt left");
        }
        if !node.take_repeat(service) {
            node.meter.retried(Retry::DeniedBudget);
            return Some("cut: retry budget spent");
        }
        None
    }

    fn told_resume(&self, why: &str, outcome: &str) {
        let request = self.run.call.ask.id.as_str();
        let after = self.last_event().unwrap_or_default();
        info!(request, why, outcome, after; "{}", event::ATTEMPT);
    }
}
