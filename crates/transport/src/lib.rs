//! Sockets, actors and clocks of a crosslane node.

pub mod call;
pub mod claims;
pub mod clock;
pub mod drain;
pub mod engine;
pub mod entry;
pub mod follower;
pub mod forward;
pub mod http;
pub mod keeper;
pub mod metered;
pub mod metrics;
pub mod node;
pub mod operator;
pub mod peers;
pub mod platform;
pub mod pulse;
pub mod rpc;
pub mod run;
pub mod serve;
pub mod sweep;
pub mod tape;
