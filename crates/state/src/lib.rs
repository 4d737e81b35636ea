//! State of a crosslane node: plain data in arenas keyed by small `Copy` keys.
//!
//! This crate makes no routing decisions, does no I/O and uses neither clocks nor random numbers.

pub mod answer;
pub mod attempt;
pub mod build;
pub mod endpoint;
pub mod fingerprint;
pub mod hash;
pub mod incarnation;
pub mod load;
pub mod member;
pub mod organisation;
pub mod policy;
pub mod priority;
pub mod rate;
pub mod request;
pub mod residency;
pub mod route;
pub mod runner;
pub mod segment;
pub mod time;
