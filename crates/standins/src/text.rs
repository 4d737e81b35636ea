//! The answer that an engine stand-in defines for a prompt.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Tokens that a prompt's answer has.
pub fn length(prompt: &str, max_tokens: u64) -> u64 {
    let half = max_tokens / 2;
    max_tokens - xxh3_64(prompt.as_bytes()) % (half + 1)
}

/// Token at an offset of a prompt's answer.
pub fn token(prompt: &str, offset: u64) -> String {
    format!("{:04x} ", xxh3_64_with_seed(prompt.as_bytes(), offset) & 0xffff)
}

/// The whole answer to a prompt.
pub fn answer(prompt: &str, max_tokens: u64) -> String {
    (0..length(prompt, max_tokens)).map(|offset| token(prompt, offset)).collect()
}
