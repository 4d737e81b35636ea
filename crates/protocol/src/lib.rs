//! Typed messages of crosslane, parsed and validated from raw input.

pub mod completion;
pub mod engine;
pub mod envelope;
pub mod peer;
pub mod platform;
pub mod refusal;
mod section;
pub mod settings;
