//! The router node of a site, built on the platform's store and engines.
//!
//! Request path: `frontend` accepts callers' requests; `plain` and `stream` send them to endpoints through `exchange`.
//! `dialer` opens connections to endpoints, `reserve` reserves decode memory, `cache` finds cached prompts, `idle` pools idle connections, `stall` detects stalled endpoints and
//! `relay` passes streams on. `resume` finds where a stream began that a caller takes up again, and `builds` records which builds served, for after the loss of all nodes. `reach` watches whether endpoints can be reached, and `forward` hands requests to other nodes if not. `speeds` reports how endpoints differ in speed. `load` measures what the node itself can run, and limits what it takes on. `server` starts and stops the node, `reload` applies changed settings, and `shutdown` decides which requests a stopping node accepts.
//!
//! Limits: `limit` enforces the rate limits that endpoints name, `quota` those that one node owns, and `organisations` those of organisations, of which each node holds the part that `ballot` says. `quarantine` shuts out
//! requests that crash endpoints, and `rulings` stores these decisions.
//!
//! State: `follower` replicates the store into the `mirror`, `peers` and `pull` synchronise it between nodes, and `directory`
//! decodes endpoints from it. `orders` assigns stages to engines, and `suspension` detects that the VM was suspended.
//! Decisions are made in the coordination crate.

pub mod backlog;
pub mod ballot;
pub mod builds;
pub mod cache;
pub mod connections;
pub mod control;
pub mod cut;
pub mod dialer;
pub mod directory;
pub mod event;
pub mod exchange;
pub mod extension;
pub mod follower;
pub mod foreign;
pub mod forward;
pub mod frontend;
pub mod history;
pub mod idle;
pub mod limit;
pub mod liveness;
pub mod load;
pub mod members;
pub mod metrics;
pub mod migration;
pub mod mirror;
pub mod node;
pub mod operators;
pub mod orders;
pub mod organisations;
pub mod overtime;
pub mod patch;
pub mod peers;
pub mod plain;
pub mod pull;
pub mod quarantine;
pub mod quota;
pub mod reach;
pub mod refusal;
pub mod relay;
pub mod reload;
pub mod reservation;
pub mod reserve;
pub mod resume;
pub mod rulings;
pub mod server;
pub mod shutdown;
pub mod speeds;
pub mod sse;
pub mod stall;
pub mod stream;
pub mod suspension;
pub mod waiting;
