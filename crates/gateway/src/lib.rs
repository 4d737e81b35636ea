//! The node that serves a site through the platform.
//!
//! `front` takes callers' requests; `plain` and `stream` carry them to endpoints by `exchange`, with
//! memory from `reserve` and what engines keep from `cache`, over connections of their own or `kept` ones; `watch` looks
//! after those whose endpoint is silent, `stopping` says what a node takes that stops.
//! `limit` keeps to the rate limits that endpoints name, `quota` to those of organisations.
//! `quarantine` keeps requests that make endpoints crash away from them, `rulings` keeps what was decided about these in the
//! store, `pause` notices that the machine was suspended.
//! `follower` reads the store into the `mirror`, `peers` and `pull` keep nodes at the same view, the
//! `directory` reads endpoints from it, `duty` gives orders to engines. Decisions are made in the coordination layer.

pub mod cache;
pub mod control;
pub mod directory;
pub mod event;
pub mod exchange;
pub mod follower;
pub mod front;
pub mod history;
pub mod hold;
pub mod kept;
pub mod limit;
pub mod members;
pub mod meter;
pub mod mirror;
pub mod node;
pub mod orders;
pub mod patch;
pub mod peers;
pub mod plain;
pub mod pull;
pub mod quarantine;
pub mod quota;
pub mod refusal;
pub mod relay;
pub mod reserve;
pub mod rulings;
pub mod site;
pub mod sse;
pub mod stopping;
pub mod stream;
pub mod suspension;
pub mod watch;
