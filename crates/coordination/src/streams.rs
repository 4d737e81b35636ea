//! Which build began each stream, so that it goes on at no other one.
//!
//! Callers who come back with a stream name the request that began it; those who don't are known by their own part of the
//! prompt. A node keeps the streams that it began and those that others tell it of, for as long as their callers may come
//! back. Memory is bounded: the streams whose time is over first are dropped first.

use crosslane_state::build::Build;
use crosslane_state::endpoint::Tag;
use crosslane_state::time::Millis;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap};

/// Maximum number of names: some 10 MB.
pub const MAX_NAMES: usize = 65_536;

/// By what a stream is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Name {
    /// The request that began it.
    Attempt(Tag),
    /// Its own part of the prompt, which other streams of a session may share.
    Prompt(Tag),
}

impl Name {
    /// Name by the id of a request of an organisation.
    pub fn attempt(organisation: &str, id: &str) -> Self {
        Self::Attempt(tag(organisation, id))
    }

    /// Name by the id of a prompt's own part.
    pub fn prompt(organisation: &str, id: &str) -> Self {
        Self::Prompt(tag(organisation, id))
    }
}

/// An organisation's callers can't name streams of another one.
fn tag(organisation: &str, id: &str) -> Tag {
    Tag::of(&format!("{organisation}\0{id}"))
}

/// A stream that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// By what it is known.
    pub name: Name,
    /// Build that began it.
    pub build: Build,
    /// Time for which its caller may come back, in milliseconds.
    pub keep_ms: u32,
}

/// What a node knows of the build that began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Knowledge {
    /// It was told of the stream.
    Began(Build),
    /// No other build has served for as long as a stream and the return of its caller may take.
    Sole(Build),
    /// Several builds have served, and it was not told of the stream.
    Several,
    /// It has not observed the builds for as long; the only one that it knows of, if it is one.
    Unobserved(Option<Build>),
    /// Nothing: its list of endpoints may be out of date.
    Nothing,
}

/// What follows from the knowledge of some nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Conclusion {
    /// The build began the stream.
    Began(Build),
    /// It can't be known.
    Unknown,
    /// No node has observed for long enough which builds served: all have just started. The only build that they know of, if it
    /// is one.
    Unobserved(Option<Build>),
}

/// Concludes which build began a stream from what this node and others that it asked know of it. What they were told counts first, then which
/// builds served. Which builds served is known only with another node's word: one that was cut off, or stood still, may have missed a
/// build that joined.
pub fn conclude(known: &[Knowledge], asked: usize) -> Conclusion {
    let is_confirmed = asked == 0 || known.len() > 1;
    let told = agreed(known.iter().filter_map(|knowledge| match knowledge {
        Knowledge::Began(build) => Some(*build),
        _ => None,
    }));
    let sole = agreed(known.iter().filter_map(|knowledge| match knowledge {
        Knowledge::Sole(build) => Some(*build),
        _ => None,
    }));
    let only = agreed(known.iter().filter_map(|knowledge| match knowledge {
        Knowledge::Unobserved(only) => Some(*only),
        _ => None,
    }));
    match (told, sole, only) {
        (Agreed::On(build), _, _) => Conclusion::Began(build),
        (Agreed::Not, _, _) => Conclusion::Unknown,
        _ if known.contains(&Knowledge::Several) => Conclusion::Unknown,
        (Agreed::Nobody, Agreed::On(build), _) if is_confirmed => Conclusion::Began(build),
        (Agreed::Nobody, Agreed::Nobody, Agreed::On(only)) => Conclusion::Unobserved(only),
        (Agreed::Nobody, Agreed::Nobody, Agreed::Not) => Conclusion::Unobserved(None),
        _ => Conclusion::Unknown,
    }
}

/// Whether all who say something say the same.
enum Agreed<T> {
    On(T),
    Not,
    Nobody,
}

fn agreed<T: Copy + PartialEq>(mut said: impl Iterator<Item = T>) -> Agreed<T> {
    match said.next() {
        None => Agreed::Nobody,
        Some(first) if said.all(|other| other == first) => Agreed::On(first),
        Some(_) => Agreed::Not,
    }
}

/// What is known under a name.
#[derive(Clone, Copy, Debug)]
struct Known {
    /// The build; none if streams of several ones have the name.
    build: Option<Build>,
    until: Millis,
}

/// Streams that have begun, by their names.
#[derive(Debug, Default)]
pub struct Streams {
    known: HashMap<Name, Known>,
    by_expiry: BTreeSet<(Millis, Name)>,
}

impl Streams {
    /// Records a stream; returns how many others were dropped for it.
    pub fn record(&mut self, record: Record, now: Millis) -> usize {
        let Record { name, build, keep_ms } = record;
        let mut known = Known { build: Some(build), until: now + u64::from(keep_ms) };
        if let Some(before) = self.remove(name).filter(|before| before.until > now) {
            known.build = known.build.filter(|_| before.build == Some(build));
            known.until = known.until.max(before.until);
        }
        self.known.insert(name, known);
        self.by_expiry.insert((known.until, name));
        self.shrink()
    }

    /// Build that began the stream known under a name.
    pub fn build(&self, name: Name, now: Millis) -> Option<Build> {
        self.known.get(&name).filter(|known| known.until > now)?.build
    }

    /// Removes streams whose time is over.
    pub fn expire(&mut self, now: Millis) {
        while let Some((until, name)) = self.by_expiry.first().copied()
            && until <= now
        {
            self.remove(name);
        }
    }

    /// Number of names.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    fn remove(&mut self, name: Name) -> Option<Known> {
        let known = self.known.remove(&name)?;
        self.by_expiry.remove(&(known.until, name));
        Some(known)
    }

    /// Drops the streams whose time is over first while there are too many.
    fn shrink(&mut self) -> usize {
        let mut dropped = 0;
        while self.known.len() > MAX_NAMES
            && let Some((_, name)) = self.by_expiry.first().copied()
        {
            self.remove(name);
            dropped += 1;
        }
        dropped
    }
}
