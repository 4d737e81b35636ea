//! Error responses that the node makes itself when no endpoint can serve a request.

use crate::node::ResponseBody;
use crosslane_coordination::identity::Denial;
use crosslane_coordination::pool::Unavailable;
use crosslane_platform::response;
use crosslane_transport::http;
use hyper::{Response, StatusCode};
use std::time::Duration;

/// Retry-After of a caller that this node can't serve for now: about as long as a restart takes.
pub const RETRY_AFTER: Duration = Duration::from_millis(300);

/// Why a request got no response from an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The request has no id.
    NoId,
    /// No route matches the host and path.
    NoRoute,
    /// The body exceeds the size limit.
    BodyTooLong,
    /// The body did not arrive before the deadline.
    BodyIncomplete,
    /// This node has no configuration yet.
    NotReady,
    /// This node is stopping.
    Stopping,
    /// No endpoint of the service can be reached.
    NoEndpoint,
    /// No connection to an endpoint of the service could be established from this node.
    Unreachable,
    /// No decode memory became free while the response could still be on time.
    NoRoom,
    /// Endpoints refused the request, and the retry budget is exhausted or no attempt is left.
    Refused,
    /// The request was sent, and the endpoint broke off.
    Broken,
    /// The request was sent, and the deadline passed.
    Timeout,
    /// Endpoints crashed while running the request, and another copy is on trial.
    OnTrial,
    /// The request is shut out, since too many endpoints crashed while running it.
    ShutOut,
    /// The caller sent no API key.
    NoKey,
    /// The API key belongs to no organisation.
    UnknownKey,
    /// The caller's organisation is over its rate limit.
    OverQuota,
    /// All endpoints that could serve the request are at their rate limits.
    RateLimited,
    /// All endpoints that could serve the request are in evacuated failure domains.
    Evacuated,
    /// No endpoint is in a region where the request may be served.
    NoRegion,
    /// No endpoint runs the software version that began the stream.
    NoVersion,
    /// Which software version began the stream is not known.
    UnknownStream,
    /// The request was sent, and the grace period of this node is over.
    GraceOver,
}

/// Every reason with its name and HTTP status, in the order of `Reason`. With status 408, 429 or 503 the request
/// has not run.
pub const REASONS: [(Reason, &str, StatusCode); 23] = [
    (Reason::NoId, "no_id", StatusCode::BAD_REQUEST),
    (Reason::NoRoute, "no_route", StatusCode::NOT_FOUND),
    (Reason::BodyTooLong, "too_long", StatusCode::PAYLOAD_TOO_LARGE),
    (Reason::BodyIncomplete, "incomplete", StatusCode::REQUEST_TIMEOUT),
    (Reason::NotReady, "not_ready", StatusCode::SERVICE_UNAVAILABLE),
    (Reason::Stopping, "stopping", StatusCode::SERVICE_UNAVAILABLE),
    (Reason::NoEndpoint, "no_endpoint", StatusCode::SERVICE_UNAVAILABLE),
    (Reason::Unreachable, "unreachable", StatusCode::SERVICE_UNAVAILABLE),
    (Reason::NoRoom, "no_room", StatusCode::SERVICE_UNAVAILABLE),
    (Reason::Refused, "refused", StatusCode::SERVICE_UNAVAILABLE),
    (Reason::Broken, "broken", StatusCode::BAD_GATEWAY),
    (Reason::Timeout, "timeout", StatusCode::GATEWAY_TIMEOUT),
    (Reason::OnTrial, "on_trial", StatusCode::SERVICE_UNAVAILABLE),
    (Reason::ShutOut, "shut_out", StatusCode::SERVICE_UNAVAILABLE),
    (Reason::NoKey, "no_key", StatusCode::UNAUTHORIZED),
    (Reason::UnknownKey, "unknown_key", StatusCode::UNAUTHORIZED),
    (Reason::OverQuota, "over_quota", StatusCode::TOO_MANY_REQUESTS),
    (Reason::RateLimited, "limited", StatusCode::SERVICE_UNAVAILABLE),
    (Reason::Evacuated, "evacuated", StatusCode::SERVICE_UNAVAILABLE),
    (Reason::NoRegion, "no_region", StatusCode::SERVICE_UNAVAILABLE),
    (Reason::NoVersion, "no_version", StatusCode::SERVICE_UNAVAILABLE),
    (Reason::UnknownStream, "unknown_stream", StatusCode::SERVICE_UNAVAILABLE),
    (Reason::GraceOver, "grace_over", StatusCode::GATEWAY_TIMEOUT),
];

impl Reason {
    /// Name in logs, metrics and the response body.
    pub fn name(self) -> &'static str {
        REASONS[self as usize].1
    }

    /// HTTP status of the response.
    pub fn status(self) -> StatusCode {
        REASONS[self as usize].2
    }
}

/// A reason with an optional Retry-After.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason.
    pub reason: Reason,
    /// Time after which the caller should retry.
    pub retry_after: Option<Duration>,
}

impl From<Denial> for Reason {
    fn from(denial: Denial) -> Self {
        match denial {
            Denial::NoKey => Self::NoKey,
            Denial::UnknownKey => Self::UnknownKey,
        }
    }
}

impl From<Unavailable> for Reason {
    fn from(unavailable: Unavailable) -> Self {
        match unavailable {
            Unavailable::Evacuated => Self::Evacuated,
            Unavailable::Region => Self::NoRegion,
            Unavailable::Build => Self::NoVersion,
        }
    }
}

impl From<Reason> for Refusal {
    fn from(reason: Reason) -> Self {
        Self { reason, retry_after: None }
    }
}

impl Refusal {
    /// A refusal of a request that has not run, with a Retry-After.
    pub fn retry_after(reason: Reason, wait: Duration) -> Self {
        Self { reason, retry_after: Some(wait) }
    }

    /// Response to the caller.
    pub fn into_response(self, id: Option<&str>) -> Response<ResponseBody> {
        let mut response = Response::new(http::full(self.reason.name()));
        *response.status_mut() = self.reason.status();
        *response.headers_mut() = response::local_reply_headers(id, self.retry_after);
        if response.status() == StatusCode::UNAUTHORIZED {
            response::set_key_challenge(response.headers_mut());
        }
        response
    }
}
