//! Which engine reads a prompt: one that prefills, or the one that will generate.
//!
//! Load pattern: after crashes and restarts the prefilling engines have a queue of a second, and
//! prompts that a caller brings back are often still kept somewhere. A decoding engine reads at half
//! the pace and holds up its streams, which is better than a queue or than reading what it has.

/// Queue of the least busy prefilling engine, as a share of a full one, times the number of those to choose
/// among, from which a decoding engine reads the prompt itself. The shortest of many queues is long only
/// when all are: among three engines half a second is waited for, among eleven a quarter of that.
const QUEUED: f64 = 1.5;

/// Shortest such queue: one of some 5,000 tokens, a usual prompt. A decoding engine reads at half the pace, so
/// behind a shorter one a prefilling engine is done sooner.
const LEAST_QUEUED: f64 = 0.15;

/// Longest such queue: half a second, in which a decoding engine reads the longest prompts.
const MOST_QUEUED: f64 = 0.5;

/// Where a prompt is kept from an earlier try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kept {
    /// It has to be read.
    Nowhere,
    /// At the engine that will generate.
    Decoding,
    /// At an engine that prefills, which can hand it over.
    Prefilling,
}

/// Engine that reads a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reader {
    /// The engine that will generate.
    Decoding,
    /// An engine that prefills.
    Prefilling,
}

impl Reader {
    /// Chooses by where the prompt is kept, and by the queue of the least busy of some prefilling engines, if
    /// there is one.
    pub fn choose(kept: Kept, queue: Option<f64>, engines: usize) -> Self {
        let longest = (QUEUED / engines.max(1) as f64).clamp(LEAST_QUEUED, MOST_QUEUED);
        match (kept, queue) {
            (Kept::Decoding, _) => Self::Decoding,
            (Kept::Prefilling, _) => Self::Prefilling,
            (Kept::Nowhere, Some(queue)) if queue < longest => Self::Prefilling,
            (Kept::Nowhere, _) => Self::Decoding,
        }
    }
}
