//! Headers that crosslane reads and writes.

use hyper::header::HeaderName;

/// Caller's idempotency key.
pub const KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Time until the first output is due, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("crosslane-deadline-ms");

/// Organisation on whose behalf a request comes.
pub const ORGANISATION: HeaderName = HeaderName::from_static("crosslane-organisation");

/// Key of the request, minted if the caller sent none.
pub const REQUEST: HeaderName = HeaderName::from_static("crosslane-request");

/// VM of the node that answered.
pub const NODE: HeaderName = HeaderName::from_static("crosslane-node");

/// Nodes that a forwarded request has passed.
pub const HOPS: HeaderName = HeaderName::from_static("crosslane-hops");

/// Owner to forward to instead.
pub const OWNER: HeaderName = HeaderName::from_static("crosslane-owner");

/// Nodes that have given the key of a forwarded request up.
pub const PASSED: HeaderName = HeaderName::from_static("crosslane-passed");
