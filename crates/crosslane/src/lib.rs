//! The two commands of crosslane: the node and the operator's command.

pub mod arguments;
pub mod capacity;
pub mod config;
pub mod demo;
pub mod error;
pub mod explain;
pub mod fleet;
pub mod load;
pub mod logs;
pub mod policy;
pub mod quarantine;
pub mod standin;
pub mod vm;
