//! What an engine stand-in is told: its speeds and sizes, and its faults.

use serde::{Deserialize, Serialize};

/// Speeds and sizes.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Prompts prefilled, in tokens per second.
    pub prefill_rate: u64,
    /// Time of one decode step with one request, in microseconds.
    pub step_micros: u64,
    /// Added to a step for each further request, in microseconds.
    pub crowd_micros: u64,
    /// Link, in bytes per second.
    pub link_rate: u64,
    /// KV cache of one token, in bytes.
    pub token_bytes: u64,
    /// Requests decoded at once.
    pub slots: u32,
    /// KV cache held, in tokens.
    pub kv_tokens: u64,
    /// Time that a finished prefill is kept, in milliseconds.
    pub life_millis: u64,
    /// Age of load reports and cache events, in milliseconds.
    pub lag_millis: u64,
    /// Whether orders with an old fencing number are refused.
    pub fences: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            prefill_rate: 20_000,
            step_micros: 5_000,
            crowd_micros: 200,
            link_rate: 2_000_000_000,
            token_bytes: 100_000,
            slots: 20,
            kv_tokens: 200_000,
            life_millis: 900,
            lag_millis: 500,
            fences: true,
        }
    }
}

/// Faults on order: body of `POST /faults`.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Refuse all new work.
    pub refuse: bool,
    /// Stop decoding, without a word.
    pub freeze: bool,
    /// Transfers never end.
    pub stall_transfers: bool,
    /// Prefills never end.
    pub stall_prefills: bool,
    /// So many decode streams break off after a few pieces.
    pub break_streams: u64,
    /// So many prefill replies are lost after the effect.
    pub lose_prefills: u64,
    /// So many cancel replies are lost after the effect.
    pub lose_cancels: u64,
}
