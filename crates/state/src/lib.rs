//! What a crosslane node knows: plain data in arenas keyed by small `Copy` keys.
//!
//! Nothing here decides, does I/O, reads a clock or draws a random number.

pub mod answer;
pub mod attempt;
pub mod endpoint;
pub mod fingerprint;
pub mod hash;
pub mod incarnation;
pub mod load;
pub mod member;
pub mod organisation;
pub mod policy;
pub mod rate;
pub mod request;
pub mod route;
pub mod runner;
pub mod time;
