//! Names of the HTTP headers that crosslane reads and writes.

use hyper::header::HeaderName;

/// Idempotency key set by the caller.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Time until the first output is due, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("crosslane-deadline-ms");

/// Organisation on whose behalf a request is sent.
pub const ORGANISATION: HeaderName = HeaderName::from_static("crosslane-organisation");

/// Key of the request, generated if the caller sent none.
pub const REQUEST: HeaderName = HeaderName::from_static("crosslane-request");

/// VM of the node that responded.
pub const NODE: HeaderName = HeaderName::from_static("crosslane-node");

/// How often a request was forwarded between nodes.
pub const HOPS: HeaderName = HeaderName::from_static("crosslane-hops");

/// Owner of the key, in the response of a node that does not own it.
pub const OWNER: HeaderName = HeaderName::from_static("crosslane-owner");

/// Nodes that have released the key of a forwarded request.
pub const RELEASED_BY: HeaderName = HeaderName::from_static("crosslane-passed");
