//! Endings: what became of each keyed request, so that none runs or is answered twice.
//!
//! The owner of a key holds its entry. Answers are bounded by count, bytes and age; an answer
//! that is dropped leaves a tombstone, which answers `unknown` for the rest of the window. When
//! tombstones are full, new requests that may not be repeated are refused, never forgotten;
//! those that may be are forgotten.

use crosslane_state::answer::Answer;
use crosslane_state::incarnation::Incarnation;
use crosslane_state::request::Key;
use crosslane_state::time::Millis;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// Bounds of a ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Answers kept.
    pub answers: usize,
    /// Bytes of answers kept.
    pub bytes: usize,
    /// Age at which an answer is dropped, in milliseconds.
    pub answer_millis: u64,
    /// Keys remembered after their answer is dropped.
    pub tombstones: usize,
    /// Time for which a key is remembered, in milliseconds.
    pub window_millis: u64,
}

/// What to do with a request under a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Begin {
    /// Run it.
    Run,
    /// It is running here: join it.
    Join,
    /// It ended: give this answer again.
    Replay(Arc<Answer>),
    /// The key belongs to another request.
    Mismatch,
    /// Another node owns the key.
    Moved(Incarnation),
    /// It may have run, and its answer is not known.
    Unknown,
    /// There is no room to remember it.
    Full,
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// With a whole answer.
    Done(Arc<Answer>),
    /// Nothing was handed to a runner.
    NotRun,
    /// It may have run.
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    Running,
    Recorded(Arc<Answer>),
    Lost,
    Released { to: Incarnation, order: u64 },
}

#[derive(Clone, Debug)]
struct Entry {
    fingerprint: u64,
    repeatable: bool,
    phase: Phase,
    at: Millis,
}

/// Entries by key.
#[derive(Clone, Debug)]
pub struct Ledger {
    limits: Limits,
    entries: HashMap<Key, Entry>,
    recorded: VecDeque<(Millis, Key)>,
    buried: VecDeque<(Millis, Key)>,
    bytes: usize,
    releases: u64,
}

impl Ledger {
    /// An empty ledger.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            entries: HashMap::new(),
            recorded: VecDeque::new(),
            buried: VecDeque::new(),
            bytes: 0,
            releases: 0,
        }
    }

    /// Begins a request, joins it or answers it again.
    pub fn begin(&mut self, key: &Key, fingerprint: u64, repeatable: bool, now: Millis) -> Begin {
        if let Some(entry) = self.entries.get(key) {
            return entry.begin(fingerprint);
        }
        if !repeatable && self.buried.len() >= self.limits.tombstones {
            return Begin::Full;
        }
        let entry = Entry { fingerprint, repeatable, phase: Phase::Running, at: now };
        self.entries.insert(key.clone(), entry);
        Begin::Run
    }

    /// Whether a key runs, has an answer or may have run here.
    pub fn knows(&self, key: &Key) -> bool {
        self.entries.get(key).is_some_and(|it| !matches!(it.phase, Phase::Released { .. }))
    }

    /// Records how a run ended.
    pub fn finish(&mut self, key: &Key, end: End, now: Millis) {
        let Some(entry) = self.entries.get_mut(key).filter(|it| it.phase == Phase::Running) else {
            return;
        };
        entry.at = now;
        match end {
            End::Done(answer) => {
                self.bytes += answer.size_bytes();
                entry.phase = Phase::Recorded(answer);
                self.recorded.push_back((now, key.clone()));
                self.trim(now);
            }
            End::Unknown if !entry.repeatable => self.bury(key, now),
            End::Unknown | End::NotRun => {
                self.entries.remove(key);
            }
        }
    }

    /// Gives a key up to another node; true when nothing is known under it.
    pub fn release(&mut self, key: &Key, to: Incarnation, now: Millis) -> bool {
        if self.knows(key) {
            return false;
        }
        self.releases += 1;
        let phase = Phase::Released { to, order: self.releases };
        let entry = Entry { fingerprint: 0, repeatable: true, phase, at: now };
        if self.entries.insert(key.clone(), entry).is_none() {
            self.buried.push_back((now, key.clone()));
        }
        true
    }

    /// Releases made so far.
    pub fn releases(&self) -> u64 {
        self.releases
    }

    /// Takes a key back that was given up to a node which has given it up in turn.
    ///
    /// Only releases up to `until` count: one made later, while this node was asking, may
    /// have answered the very node that now seems to have given the key up.
    pub fn reclaim(&mut self, key: &Key, until: u64, given_up: impl Fn(Incarnation) -> bool) {
        let back = |it: &Entry| match it.phase {
            Phase::Released { to, order } => order <= until && given_up(to),
            _ => false,
        };
        if self.entries.get(key).is_some_and(back) {
            self.entries.remove(key);
        }
    }

    /// Takes in an answer handed over by a node that stops.
    pub fn adopt(&mut self, key: &Key, fingerprint: u64, answer: Option<Arc<Answer>>, now: Millis) {
        if self.entries.get(key).is_some_and(|it| !matches!(it.phase, Phase::Released { .. })) {
            return;
        }
        let entry = Entry { fingerprint, repeatable: false, phase: Phase::Running, at: now };
        self.entries.insert(key.clone(), entry);
        self.finish(key, answer.map_or(End::Unknown, End::Done), now);
    }

    /// What a stopping node hands over: each key with its fingerprint and answer.
    pub fn handover(&self) -> Vec<(Key, u64, Option<Arc<Answer>>)> {
        let kept = |(key, entry): (&Key, &Entry)| match &entry.phase {
            Phase::Recorded(answer) => Some((key.clone(), entry.fingerprint, Some(answer.clone()))),
            Phase::Lost => Some((key.clone(), entry.fingerprint, None)),
            Phase::Running | Phase::Released { .. } => None,
        };
        self.entries.iter().filter_map(kept).collect()
    }

    /// Drops what is over its age or bounds.
    pub fn trim(&mut self, now: Millis) {
        while let Some((at, key)) = self.recorded.front().cloned() {
            let over = self.recorded.len() > self.limits.answers || self.bytes > self.limits.bytes;
            if !over && now.since(at) < self.limits.answer_millis {
                break;
            }
            self.recorded.pop_front();
            self.bury(&key, now);
        }
        while let Some((at, key)) = self.buried.front().cloned() {
            if now.since(at) < self.limits.window_millis {
                break;
            }
            self.buried.pop_front();
            self.forget(&key);
        }
    }

    /// Entries held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes of recorded answers.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn bury(&mut self, key: &Key, now: Millis) {
        let full = self.buried.len() >= self.limits.tombstones;
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        if let Phase::Recorded(answer) = &entry.phase {
            self.bytes -= answer.size_bytes();
        }
        if full && entry.repeatable {
            self.entries.remove(key);
            return;
        }
        entry.phase = Phase::Lost;
        entry.at = now;
        self.buried.push_back((now, key.clone()));
    }

    fn forget(&mut self, key: &Key) {
        let gone = |it: &Entry| matches!(it.phase, Phase::Lost | Phase::Released { .. });
        if self.entries.get(key).is_some_and(gone) {
            self.entries.remove(key);
        }
    }
}

impl Entry {
    fn begin(&self, fingerprint: u64) -> Begin {
        match &self.phase {
            Phase::Released { to, .. } => Begin::Moved(*to),
            _ if self.fingerprint != fingerprint => Begin::Mismatch,
            Phase::Running => Begin::Join,
            Phase::Recorded(answer) => Begin::Replay(answer.clone()),
            Phase::Lost => Begin::Unknown,
        }
    }
}
