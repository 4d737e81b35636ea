//! Names of log events: a closed set, listed in docs/LOGS.md.

/// A node starts.
pub const START: &str = "start";
/// A node begins or ends its stop.
pub const STOP: &str = "stop";
/// The machine was suspended for a while.
pub const SUSPENDED: &str = "suspended";
/// The settings changed.
pub const RELOAD: &str = "reload";
/// A configuration came in force.
pub const CONFIGURATION: &str = "configuration";
/// The list of endpoints changed.
pub const ENDPOINTS: &str = "endpoints";
/// The store, or another dependency, can't be reached.
pub const LOST: &str = "lost";
/// A dependency answers again.
pub const REGAINED: &str = "regained";
/// A view was taken from another node.
pub const PULLED: &str = "pulled";
/// A view could not be taken from another node.
pub const PULL_FAILED: &str = "pull_failed";
/// An order was given to an engine.
pub const ORDER: &str = "order";
/// The lease on orders was taken or refused.
pub const LEASE: &str = "lease";
/// Memory was reserved at an engine, or was not to be had.
pub const RESERVE: &str = "reserve";
/// Engines were asked for a prompt that a caller brings back.
pub const CACHED: &str = "cached";
/// An endpoint was chosen for a request, which is sent there.
pub const PLACE: &str = "place";
/// An attempt at an endpoint failed.
pub const ATTEMPT: &str = "attempt";
/// An endpoint sent nothing for a while within an attempt.
pub const SILENT: &str = "silent";
/// An endpoint broke off what it was sent, which a request that makes endpoints crash does again and again.
pub const BROKE: &str = "broke";
/// An endpoint ended right after it had begun to run a request, which is held against the request.
pub const STRUCK: &str = "struck";
/// An endpoint ended so, and it is not held against the request.
pub const SPARED: &str = "spared";
/// What was held against a request is forgotten.
pub const FORGOTTEN: &str = "forgotten";
/// A request was shut out, or let in again.
pub const RULED: &str = "ruled";
/// A ruling could not be written to the store yet.
pub const UNSAVED: &str = "unsaved";
/// A request was not sent, since endpoints ended under it.
pub const BARRED: &str = "barred";
/// A request was refused since its organisation is over its limit.
pub const OVER_QUOTA: &str = "over_quota";
/// An endpoint names a limit for all nodes together, another one, or none any more.
pub const LIMIT: &str = "limit";
/// A request was kept from an endpoint whose limit has no room.
pub const HELD_BACK: &str = "held_back";
/// A run was moved away from a leaving engine, or was not.
pub const MOVE: &str = "move";
/// A request ended.
pub const REQUEST: &str = "request";
/// Something that can't be decoded was left out.
pub const SKIPPED: &str = "skipped";
/// Log lines were dropped.
pub const DROPPED: &str = "dropped";

/// Every event.
pub const EVENTS: [&str; 31] = [
    START,
    STOP,
    SUSPENDED,
    RELOAD,
    CONFIGURATION,
    ENDPOINTS,
    LOST,
    REGAINED,
    PULLED,
    PULL_FAILED,
    ORDER,
    LEASE,
    RESERVE,
    CACHED,
    PLACE,
    ATTEMPT,
    SILENT,
    BROKE,
    STRUCK,
    SPARED,
    FORGOTTEN,
    RULED,
    UNSAVED,
    BARRED,
    OVER_QUOTA,
    LIMIT,
    HELD_BACK,
    MOVE,
    REQUEST,
    SKIPPED,
    DROPPED,
];
