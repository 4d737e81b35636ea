//! Stable 64-bit hashes, the same on every node and in every release.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Hash of bytes.
pub fn of(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Rendezvous weight of a candidate for a key hash.
pub fn weight(key: u64, candidate: u64) -> u64 {
    xxh3_64_with_seed(&key.to_le_bytes(), candidate)
}
