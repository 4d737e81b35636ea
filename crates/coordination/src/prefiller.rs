//! Which engine runs the prefill of a prompt: a prefill engine, or the decode engine that will
//! generate.
//!
//! Load pattern: after crashes and restarts the prefill engines have a queue of a second, and the
//! KV cache of retried prompts is often still held somewhere. A decode engine prefills at half the
//! rate and delays its streams meanwhile, which is better than a long queue or than computing a
//! held KV cache again.

/// Queue of the least busy prefill engine from which on a decode engine prefills, as a share of a
/// full queue, times the number of prefill engines. The shortest of many queues is long only if all
/// are: with three engines half a second is accepted, with eleven a quarter of that.
const THRESHOLD_TIMES_ENGINES: f64 = 1.5;

/// Lower bound of the threshold: some 5,000 tokens, a usual prompt. A decode engine prefills at
/// half the rate, so behind a shorter queue a prefill engine is done sooner.
const MIN_THRESHOLD: f64 = 0.15;

/// Upper bound of the threshold: half a second, in which a decode engine prefills the longest
/// prompts.
const MAX_THRESHOLD: f64 = 0.5;

/// Where the KV cache of a prompt is held from an earlier attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KvCache {
    /// Nowhere.
    Absent,
    /// At the engine that will generate.
    Decoding,
    /// At a prefill engine, which can transfer it.
    Prefilling,
}

/// Engine that runs the prefill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Prefiller {
    /// The decode engine that will generate.
    Decoding,
    /// A prefill engine.
    Prefilling,
}

impl Prefiller {
    /// Chooses by where the KV cache is held, and by the queue of the least busy of `engines`
    /// prefill engines, if there is one.
    pub fn choose(cache: KvCache, queue: Option<f64>, engines: usize) -> Self {
        let threshold =
            (THRESHOLD_TIMES_ENGINES / engines.max(1) as f64).clamp(MIN_THRESHOLD, MAX_THRESHOLD);
        match (cache, queue) {
            (KvCache::Decoding, _) => Self::Decoding,
            (KvCache::Prefilling, _) => Self::Prefilling,
            (KvCache::Absent, Some(queue)) if queue < threshold => Self::Prefilling,
            (KvCache::Absent, _) => Self::Decoding,
        }
    }
}
