//! Stable 64-bit hashes: every node and every release computes the same ones.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Hashes bytes.
pub fn of(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Rendezvous hashing: weight of a candidate for a key; the one with the highest weight owns the key.
pub fn rendezvous_weight(key: u64, candidate: u64) -> u64 {
    xxh3_64_with_seed(&key.to_le_bytes(), candidate)
}
