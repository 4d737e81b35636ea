//! The configuration with its last changes, told to other nodes in pieces.
//!
//! A version is known by the offset after its record in the store's log, which is the same at every
//! node. What leads from one version to the next is made once, by the nodes that read the store, and
//! passed on as it is. A node that is too far behind gets a whole version, which stays the same while
//! newer ones come, and then the steps from there on: so a transfer ends however often the
//! configuration changes meanwhile.

use crate::event;
use crate::patch;
use bytes::Bytes;
use log::warn;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::io;

/// Steps kept for nodes that are behind: a minute at 53,000 changes a day.
const STEPS: usize = 40;

/// Bytes of all steps kept: small against the 88 MB of the smallest VMs.
const STEP_BYTES: usize = 1 << 20;

/// Longest piece, in bytes: 26 ms of a link of 10 Mbit/s, so that what else is to be sent waits no longer.
pub const PIECE: usize = 32_768;

/// From one version to a later one; from offset 0, which nothing has, the whole version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Span {
    /// Offset after the earlier version's record.
    pub base: u64,
    /// Offset after the later version's record.
    pub target: u64,
}

/// What leads from one version to a later one.
#[derive(Clone, Debug)]
pub struct Step {
    span: Span,
    patch: Bytes,
}

/// What a node lacks and already has of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wanted {
    /// Offset after the record of the version it holds; 0 if none.
    pub held: u64,
    /// The step of which it has a part.
    pub span: Span,
    /// Bytes that it has of that step.
    pub at: u64,
}

/// Bytes of a step.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Piece {
    span: Span,
    /// Bytes of the whole step.
    length: u64,
    /// Place of these bytes.
    at: u64,
    bytes: Vec<u8>,
}

impl Piece {
    /// Bytes in it.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether it brings nothing.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }
}

/// The newest configuration and what led to it.
#[derive(Debug, Default)]
pub struct History {
    /// Offset after the newest version's record; 0 if there is none.
    end: u64,
    text: Bytes,
    steps: VecDeque<Step>,
    /// A whole version, from which the steps lead to the newest one.
    whole: Option<Step>,
}

impl History {
    /// Offset after the record of the version held; 0 if there is none.
    pub fn end(&self) -> u64 {
        self.end
    }

    /// The configuration.
    pub fn text(&self) -> Option<&Bytes> {
        (self.end > 0).then_some(&self.text)
    }

    /// Takes a version as it was read; false if it is not newer.
    pub fn put(&mut self, end: u64, text: Bytes) -> bool {
        if end <= self.end {
            return false;
        }
        let span = Span { base: self.end, target: end };
        let base = std::mem::replace(&mut self.text, text);
        self.end = end;
        if span.base == 0 {
            return true;
        }
        match patch::make(&base, &self.text) {
            Ok(patch) => self.keep(Step { span, patch }),
            Err(error) => {
                // Others get the whole version instead.
                warn!(why:% = error; "{}", event::SKIPPED);
                self.forget();
            }
        }
        true
    }

    /// Takes a step from another node; false if it does not lead on from what is held.
    pub fn take(&mut self, step: Step) -> io::Result<bool> {
        let Span { base, target } = step.span;
        if target <= self.end || (base > 0 && base != self.end) {
            return Ok(false);
        }
        let from = if base > 0 { self.text.clone() } else { Bytes::new() };
        self.text = patch::apply(&from, &step.patch)?;
        self.end = target;
        if base > 0 {
            self.keep(step);
        } else {
            self.forget();
            self.whole = Some(step);
        }
        Ok(true)
    }

    /// The next piece for another node, if this one knows something newer.
    pub fn piece(&mut self, wanted: Wanted) -> io::Result<Option<Piece>> {
        let Some(step) = self.next(wanted.held)? else {
            return Ok(None);
        };
        let length = step.patch.len();
        let begun = wanted.span == step.span && wanted.at <= length as u64;
        let at = if begun { wanted.at as usize } else { 0 };
        let bytes = step.patch[at..length.min(at + PIECE)].to_vec();
        Ok(Some(Piece { span: step.span, length: length as u64, at: at as u64, bytes }))
    }

    /// What leads on from a version, or the whole of one if that one is not known any more.
    fn next(&mut self, held: u64) -> io::Result<Option<Step>> {
        if held >= self.end {
            return Ok(None);
        }
        if let Some(step) = self.steps.iter().find(|it| it.span.base == held) {
            return Ok(Some(step.clone()));
        }
        if self.whole.as_ref().is_none_or(|it| it.span.target <= held) {
            let span = Span { base: 0, target: self.end };
            self.whole = Some(Step { span, patch: patch::make(&[], &self.text)? });
        }
        Ok(self.whole.clone())
    }

    fn keep(&mut self, step: Step) {
        self.steps.push_back(step);
        let bytes = |steps: &VecDeque<Step>| steps.iter().map(|it| it.patch.len()).sum::<usize>();
        while self.steps.len() > STEPS || bytes(&self.steps) > STEP_BYTES {
            self.steps.pop_front();
        }
        let first = self.steps.front().map_or(self.end, |it| it.span.base);
        let after = |whole: &Step| {
            let later = self.steps.iter().filter(|it| it.span.base >= whole.span.target);
            later.map(|it| it.patch.len()).sum::<usize>()
        };
        // One that its steps outweigh, or no longer lead on from, is made anew when asked for.
        self.whole.take_if(|it| it.span.target < first || after(it) > it.patch.len());
    }

    fn forget(&mut self) {
        self.steps.clear();
        self.whole = None;
    }
}

/// A step of which pieces have come.
#[derive(Debug, Default)]
pub struct Download {
    span: Span,
    patch: Vec<u8>,
    /// The last step did not fit the version held, so a whole one is asked for.
    distrusts: bool,
}

impl Download {
    /// What to ask for.
    pub fn wanted(&self, held: u64) -> Wanted {
        let held = if self.distrusts { 0 } else { held };
        Wanted { held, span: self.span, at: self.patch.len() as u64 }
    }

    /// Whether a part has come.
    pub fn begun(&self) -> bool {
        !self.patch.is_empty()
    }

    /// Notes that a step did not fit.
    pub fn distrust(&mut self) {
        self.distrusts = true;
    }

    /// Takes a piece; the step once it is whole.
    pub fn take(&mut self, piece: Piece) -> Option<Step> {
        if piece.span != self.span || piece.at != self.patch.len() as u64 {
            self.span = piece.span;
            self.patch.clear();
        }
        if piece.at != self.patch.len() as u64 {
            return None;
        }
        self.patch.extend_from_slice(&piece.bytes);
        if (self.patch.len() as u64) < piece.length {
            return None;
        }
        let whole = std::mem::take(self);
        Some(Step { span: whole.span, patch: whole.patch.into() })
    }
}
