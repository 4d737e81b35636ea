//! Answers of crosslane's own, when an endpoint's can't be had.

use crate::node::Reply;
use crosslane_coordination::identity::Denial;
use crosslane_platform::response;
use crosslane_transport::http;
use hyper::{Response, StatusCode};
use std::time::Duration;

/// When a caller should come back whom this node can't serve for now: a restart takes about as long.
pub const COME_BACK: Duration = Duration::from_millis(300);

/// Why a request was not answered by an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The request carries no id.
    NoId,
    /// No route for host and path.
    NoRoute,
    /// The body is over the limit.
    TooLong,
    /// The body did not arrive in time.
    Incomplete,
    /// This node has no configuration yet.
    NotReady,
    /// This node is stopping.
    Stopping,
    /// No endpoint of the service is known.
    NoEndpoint,
    /// No room within the time that leaves the answer on time.
    NoRoom,
    /// Endpoints refused it, and the retry budget is spent or no attempt is left.
    Refused,
    /// It was sent, and the endpoint broke off.
    Broken,
    /// It was sent, and the time ran out.
    Timeout,
    /// Endpoints ended under it, and another copy is being tried.
    OnTrial,
    /// Too many endpoints ended under it.
    ShutOut,
    /// The caller shows no key.
    NoKey,
    /// No organisation has the caller's key.
    UnknownKey,
    /// The caller's organisation is over its limit.
    OverQuota,
    /// The limits of all endpoints that could serve it have no room.
    Limited,
}

/// Every reason with its name and its status. Where the status is 408, 429 or 503 the request has
/// not run.
pub const REASONS: [(Reason, &str, StatusCode); 17] = [
    (Reason::NoId, "no_id", StatusCode::BAD_REQUEST),
    (Reason::NoRoute, "no_route", StatusCode::NOT_FOUND),
    (Reason::TooLong, "too_long", StatusCode::PAYLOAD_TOO_LARGE),
    (Reason::Incomplete, "incomplete", StatusCode::REQUEST_TIMEOUT),
    (Reason::NotReady, "not_ready", StatusCode::SERVICE_UNAVAILABLE),
    (Reason::Stopping, "stopping", StatusCode::SERVICE_UNAVAILABLE),
    (Reason::NoEndpoint, "no_endpoint", StatusCode::SERVICE_UNAVAILABLE),
    (Reason::NoRoom, "no_room", StatusCode::SERVICE_UNAVAILABLE),
    (Reason::Refused, "refused", StatusCode::SERVICE_UNAVAILABLE),
    (Reason::Broken, "broken", StatusCode::BAD_GATEWAY),
    (Reason::Timeout, "timeout", StatusCode::GATEWAY_TIMEOUT),
    (Reason::OnTrial, "on_trial", StatusCode::SERVICE_UNAVAILABLE),
    (Reason::ShutOut, "shut_out", StatusCode::SERVICE_UNAVAILABLE),
    (Reason::NoKey, "no_key", StatusCode::UNAUTHORIZED),
    (Reason::UnknownKey, "unknown_key", StatusCode::UNAUTHORIZED),
    (Reason::OverQuota, "over_quota", StatusCode::TOO_MANY_REQUESTS),
    (Reason::Limited, "limited", StatusCode::SERVICE_UNAVAILABLE),
];

impl Reason {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        REASONS[self as usize].1
    }

    /// Status of the answer.
    pub fn status(self) -> StatusCode {
        REASONS[self as usize].2
    }
}

/// A reason, and when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason.
    pub reason: Reason,
    /// When the caller should come back.
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

impl From<Reason> for Refusal {
    fn from(reason: Reason) -> Self {
        Self { reason, retry_after: None }
    }
}

impl Refusal {
    /// A refusal of a request that has not run, with the time after which to come back.
    pub fn later(reason: Reason, wait: Duration) -> Self {
        Self { reason, retry_after: Some(wait) }
    }

    /// The answer that tells it.
    pub fn answer(self, id: Option<&str>) -> Response<Reply> {
        let mut response = Response::new(http::full(self.reason.name()));
        *response.status_mut() = self.reason.status();
        *response.headers_mut() = response::local_reply_headers(id, self.retry_after);
        if response.status() == StatusCode::UNAUTHORIZED {
            response::set_key_challenge(response.headers_mut());
        }
        response
    }
}
