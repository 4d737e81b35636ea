//! Idempotency records of keyed requests, so that none runs or is answered twice.
//!
//! The owner of a key holds its entry. Recorded answers are bounded by count, bytes and age. An
//! evicted answer leaves a tombstone, for which the outcome is unknown for the rest of the window.
//! When the tombstones are full, new requests that may not be repeated are refused, as their keys
//! must not be forgotten; the keys of repeatable requests are dropped instead.

use crosslane_state::answer::Answer;
use crosslane_state::incarnation::Incarnation;
use crosslane_state::request::Key;
use crosslane_state::time::Millis;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// Bounds of a ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Most answers kept.
    pub answers: usize,
    /// Most bytes of answers kept.
    pub bytes: usize,
    /// Age at which an answer is evicted, in milliseconds.
    pub answer_millis: u64,
    /// Most keys remembered after their answers were evicted.
    pub tombstones: usize,
    /// Time for which a key is remembered, in milliseconds.
    pub window_millis: u64,
}

/// What to do with a request under a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Begin {
    /// Run it.
    Run,
    /// It is running here: wait for the same run.
    Join,
    /// It has ended: replay this answer.
    Replay(Arc<Answer>),
    /// The key was used for another request.
    Mismatch,
    /// Another node owns the key.
    Moved(Incarnation),
    /// It may have run, and its answer is not available.
    Unknown,
    /// There is no room to remember it.
    Full,
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// With a complete answer.
    Done(Arc<Answer>),
    /// Nothing was sent to a runner.
    NotRun,
    /// It may have run.
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    Running,
    Answered(Arc<Answer>),
    Tombstone,
    Released { to: Incarnation, order: u64 },
}

#[derive(Clone, Debug)]
struct Entry {
    fingerprint: u64,
    repeatable: bool,
    phase: Phase,
    updated_at: Millis,
}

/// Idempotency records by key.
#[derive(Clone, Debug)]
pub struct Ledger {
    limits: Limits,
    entries: HashMap<Key, Entry>,
    answered_queue: VecDeque<(Millis, Key)>,
    tombstone_queue: VecDeque<(Millis, Key)>,
    bytes: usize,
    release_count: u64,
}

impl Ledger {
    /// An empty ledger.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            entries: HashMap::new(),
            answered_queue: VecDeque::new(),
            tombstone_queue: VecDeque::new(),
            bytes: 0,
            release_count: 0,
        }
    }

    /// Decides whether a request is run, joined, replayed or refused, and records a new one.
    pub fn begin(&mut self, key: &Key, fingerprint: u64, repeatable: bool, now: Millis) -> Begin {
        if let Some(entry) = self.entries.get(key) {
            return entry.begin(fingerprint);
        }
        if !repeatable && self.tombstone_queue.len() >= self.limits.tombstones {
            return Begin::Full;
        }
        let entry = Entry { fingerprint, repeatable, phase: Phase::Running, updated_at: now };
        self.entries.insert(key.clone(), entry);
        Begin::Run
    }

    /// Whether a request with this key is running, has an answer or may have run here.
    pub fn contains(&self, key: &Key) -> bool {
        self.entries.get(key).is_some_and(|entry| !matches!(entry.phase, Phase::Released { .. }))
    }

    /// Records how a run ended.
    pub fn finish(&mut self, key: &Key, end: End, now: Millis) {
        let Some(entry) = self.entries.get_mut(key).filter(|entry| entry.phase == Phase::Running)
        else {
            return;
        };
        entry.updated_at = now;
        match end {
            End::Done(answer) => {
                self.bytes += answer.size_bytes();
                entry.phase = Phase::Answered(answer);
                self.answered_queue.push_back((now, key.clone()));
                self.evict(now);
            }
            End::Unknown if !entry.repeatable => self.make_tombstone(key, now),
            End::Unknown | End::NotRun => {
                self.entries.remove(key);
            }
        }
    }

    /// Releases a key to another node. Returns false if the key is known here, and keeps it.
    pub fn release(&mut self, key: &Key, to: Incarnation, now: Millis) -> bool {
        if self.contains(key) {
            return false;
        }
        self.release_count += 1;
        let phase = Phase::Released { to, order: self.release_count };
        let entry = Entry { fingerprint: 0, repeatable: true, phase, updated_at: now };
        if self.entries.insert(key.clone(), entry).is_none() {
            self.tombstone_queue.push_back((now, key.clone()));
        }
        true
    }

    /// Number of releases so far.
    pub fn release_count(&self) -> u64 {
        self.release_count
    }

    /// Takes back a key that was released to a node which has released it in turn, according
    /// to `has_released`.
    ///
    /// Applies only to releases numbered up to `until`. A later release, made while this node was
    /// still asking, may have gone to the very node that appears to have released the key.
    pub fn reclaim(&mut self, key: &Key, until: u64, has_released: impl Fn(Incarnation) -> bool) {
        let released_back = |entry: &Entry| match entry.phase {
            Phase::Released { to, order } => order <= until && has_released(to),
            _ => false,
        };
        if self.entries.get(key).is_some_and(released_back) {
            self.entries.remove(key);
        }
    }

    /// Adds a record handed over by a stopping node, unless the key is known.
    pub fn adopt(&mut self, key: &Key, fingerprint: u64, answer: Option<Arc<Answer>>, now: Millis) {
        if self.entries.get(key).is_some_and(|entry| !matches!(entry.phase, Phase::Released { .. }))
        {
            return;
        }
        let entry =
            Entry { fingerprint, repeatable: false, phase: Phase::Running, updated_at: now };
        self.entries.insert(key.clone(), entry);
        self.finish(key, answer.map_or(End::Unknown, End::Done), now);
    }

    /// Records that a stopping node hands over: each key with its fingerprint and answer, if any.
    pub fn handover(&self) -> Vec<(Key, u64, Option<Arc<Answer>>)> {
        let record = |(key, entry): (&Key, &Entry)| match &entry.phase {
            Phase::Answered(answer) => Some((key.clone(), entry.fingerprint, Some(answer.clone()))),
            Phase::Tombstone => Some((key.clone(), entry.fingerprint, None)),
            Phase::Running | Phase::Released { .. } => None,
        };
        self.entries.iter().filter_map(record).collect()
    }

    /// Evicts answers and tombstones that exceed their age or bounds.
    pub fn evict(&mut self, now: Millis) {
        while let Some((at, key)) = self.answered_queue.front().cloned() {
            let over_limit =
                self.answered_queue.len() > self.limits.answers || self.bytes > self.limits.bytes;
            if !over_limit && now.since(at) < self.limits.answer_millis {
                break;
            }
            self.answered_queue.pop_front();
            self.make_tombstone(&key, now);
        }
        while let Some((at, key)) = self.tombstone_queue.front().cloned() {
            if now.since(at) < self.limits.window_millis {
                break;
            }
            self.tombstone_queue.pop_front();
            self.remove_expired(&key);
        }
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes of recorded answers.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn make_tombstone(&mut self, key: &Key, now: Millis) {
        let full = self.tombstone_queue.len() >= self.limits.tombstones;
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        if let Phase::Answered(answer) = &entry.phase {
            self.bytes -= answer.size_bytes();
        }
        if full && entry.repeatable {
            self.entries.remove(key);
            return;
        }
        entry.phase = Phase::Tombstone;
        entry.updated_at = now;
        self.tombstone_queue.push_back((now, key.clone()));
    }

    fn remove_expired(&mut self, key: &Key) {
        let expired =
            |entry: &Entry| matches!(entry.phase, Phase::Tombstone | Phase::Released { .. });
        if self.entries.get(key).is_some_and(expired) {
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
            Phase::Answered(answer) => Begin::Replay(answer.clone()),
            Phase::Tombstone => Begin::Unknown,
        }
    }
}
