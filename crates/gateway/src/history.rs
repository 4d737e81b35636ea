//! The configuration and its latest changes, which are sent to other nodes in chunks.
//!
//! A version is identified by the offset after its record in the log of the store, which is the
//! same at every node. The patch from one version to the next is created once, by the nodes that
//! read the store, and forwarded as it is. A node that is too far behind gets a full version, which
//! stays the same while newer ones arrive, and then the patches after it. So a transfer completes
//! however often the configuration changes meanwhile.

use crate::event;
use crate::patch;
use bytes::Bytes;
use log::warn;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::io;

/// Patches kept for nodes that are behind: those of a minute at 53,000 changes a day.
const MAX_PATCHES: usize = 40;

/// Maximum size of all kept patches, in bytes: small compared to the 88 MB of memory of the
/// smallest VMs.
const MAX_PATCHES_BYTES: usize = 1 << 20;

/// Maximum size of a chunk, in bytes: it occupies a 10 Mbit/s link for 26 ms, and other data waits
/// no longer than that.
pub const CHUNK_BYTES: usize = 32_768;

/// Versions between which a patch leads. Base 0 stands for the empty text, so that the patch holds
/// the full version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Span {
    /// Offset after the record of the earlier version.
    pub base: u64,
    /// Offset after the record of the later version.
    pub target: u64,
}

/// Patch from one version to a later one.
#[derive(Clone, Debug)]
pub struct Patch {
    span: Span,
    data: Bytes,
}

/// Request for the next chunk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Offset after the record of the version that the requester has; 0 if none.
    pub held: u64,
    /// Versions of the patch whose download has begun.
    pub span: Span,
    /// Bytes of that patch received so far.
    pub received: u64,
}

/// Chunk of a patch.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Chunk {
    span: Span,
    /// Size of the whole patch, in bytes.
    length: u64,
    /// Position of the chunk in the patch, in bytes.
    position: u64,
    bytes: Vec<u8>,
}

impl Chunk {
    /// Size of the chunk, in bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether it is empty.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }
}

/// The newest version of the configuration, and the patches that lead to it.
#[derive(Debug, Default)]
pub struct History {
    /// Offset after the record of the newest version; 0 if there is none.
    end: u64,
    text: Bytes,
    patches: VecDeque<Patch>,
    /// Patch that holds a full version, from which the other patches lead to the newest one.
    full: Option<Patch>,
}

impl History {
    /// Offset after the record of the newest version; 0 if there is none.
    pub fn end(&self) -> u64 {
        self.end
    }

    /// Text of the newest version.
    pub fn text(&self) -> Option<&Bytes> {
        (self.end > 0).then_some(&self.text)
    }

    /// Adds a version that was read from the store; returns false if it is not newer.
    pub fn add_version(&mut self, end: u64, text: Bytes) -> bool {
        if end <= self.end {
            return false;
        }
        let span = Span { base: self.end, target: end };
        let base = std::mem::replace(&mut self.text, text);
        self.end = end;
        if span.base == 0 {
            return true;
        }
        match patch::create(&base, &self.text) {
            Ok(data) => self.retain(Patch { span, data }),
            Err(error) => {
                // Other nodes get the full version instead.
                warn!(why:% = error; "{}", event::SKIPPED);
                self.clear();
            }
        }
        true
    }

    /// Applies a patch from another node; returns false if its base is not the newest version here.
    pub fn apply(&mut self, patch: Patch) -> io::Result<bool> {
        let Span { base, target } = patch.span;
        if target <= self.end || (base > 0 && base != self.end) {
            return Ok(false);
        }
        let from = if base > 0 { self.text.clone() } else { Bytes::new() };
        self.text = patch::apply(&from, &patch.data)?;
        self.end = target;
        if base > 0 {
            self.retain(patch);
        } else {
            self.clear();
            self.full = Some(patch);
        }
        Ok(true)
    }

    /// The next chunk for another node, if this one has a newer version.
    pub fn chunk(&mut self, request: Request) -> io::Result<Option<Chunk>> {
        let Some(patch) = self.next_patch(request.held)? else {
            return Ok(None);
        };
        let length = patch.data.len();
        let continues = request.span == patch.span && request.received <= length as u64;
        let position = if continues { request.received as usize } else { 0 };
        let bytes = patch.data[position..length.min(position + CHUNK_BYTES)].to_vec();
        Ok(Some(Chunk {
            span: patch.span,
            length: length as u64,
            position: position as u64,
            bytes,
        }))
    }

    /// The patch that leads on from a version, or a full version if there is no such patch.
    fn next_patch(&mut self, held: u64) -> io::Result<Option<Patch>> {
        if held >= self.end {
            return Ok(None);
        }
        if let Some(patch) = self.patches.iter().find(|patch| patch.span.base == held) {
            return Ok(Some(patch.clone()));
        }
        if self.full.as_ref().is_none_or(|full| full.span.target <= held) {
            let span = Span { base: 0, target: self.end };
            self.full = Some(Patch { span, data: patch::create(&[], &self.text)? });
        }
        Ok(self.full.clone())
    }

    fn retain(&mut self, patch: Patch) {
        self.patches.push_back(patch);
        let bytes =
            |patches: &VecDeque<Patch>| patches.iter().map(|patch| patch.data.len()).sum::<usize>();
        while self.patches.len() > MAX_PATCHES || bytes(&self.patches) > MAX_PATCHES_BYTES {
            self.patches.pop_front();
        }
        let first_base = self.patches.front().map_or(self.end, |patch| patch.span.base);
        let bytes_after = |full: &Patch| {
            let later = self.patches.iter().filter(|patch| patch.span.base >= full.span.target);
            later.map(|patch| patch.data.len()).sum::<usize>()
        };
        // A full version is dropped, and created again when needed, if the patches after it are
        // larger than it is, or no longer lead on from it.
        self.full
            .take_if(|full| full.span.target < first_base || bytes_after(full) > full.data.len());
    }

    fn clear(&mut self) {
        self.patches.clear();
        self.full = None;
    }
}

/// A patch of which chunks have been received.
#[derive(Debug, Default)]
pub struct Download {
    span: Span,
    data: Vec<u8>,
    /// The last patch could not be applied, so a full version is requested.
    needs_full: bool,
}

impl Download {
    /// Request for the next chunk.
    pub fn request(&self, held: u64) -> Request {
        let held = if self.needs_full { 0 } else { held };
        Request { held, span: self.span, received: self.data.len() as u64 }
    }

    /// Whether any chunk has been received.
    pub fn has_started(&self) -> bool {
        !self.data.is_empty()
    }

    /// Requests a full version next, after a patch could not be applied.
    pub fn require_full(&mut self) {
        self.needs_full = true;
    }

    /// Adds a chunk; returns the patch once it is complete.
    pub fn add_chunk(&mut self, chunk: Chunk) -> Option<Patch> {
        if chunk.span != self.span || chunk.position != self.data.len() as u64 {
            self.span = chunk.span;
            self.data.clear();
        }
        if chunk.position != self.data.len() as u64 {
            return None;
        }
        self.data.extend_from_slice(&chunk.bytes);
        if (self.data.len() as u64) < chunk.length {
            return None;
        }
        let complete = std::mem::take(self);
        Some(Patch { span: complete.span, data: complete.data.into() })
    }
}
