//! Graceful shutdown: which requests a node still accepts after its stop was announced.
//!
//! The load balancer needs two health checks, a second apart, to notice that a node is not ready; and if most nodes of a
//! failure domain stop at once, it keeps sending requests to all of them. So a stopping node accepts requests that are sure
//! to end before it is killed. Streams, which last seconds, are accepted only at first, and only if such streams end in time.
//! What still has no response shortly before the kill is answered by the node, since a cut tells its caller nothing.
//! A request may wait for a limit, memory or a retry after that, so it is checked again before it is sent to an endpoint.

use crate::exchange::{Call, Failure};
use crate::node::Node;
use crate::refusal::{RETRY_AFTER, Reason, Refusal};
use crosslane_platform::request::Purpose;
use crosslane_state::route::{Kind, Route};
use crosslane_state::time::Millis;
use std::future::pending;
use std::time::Duration;
use tokio::time::sleep;

/// Time after the announcement in which streams and calls are accepted if requests to their service usually end in
/// time. Later, only calls are accepted, and only if their deadline is before the kill.
pub const ACCEPT_TIME: Duration = Duration::from_millis(2_800);

/// Time before the kill by which an accepted request must end: covers a busy VM and the transmission of the
/// response.
const KILL_MARGIN: Duration = Duration::from_millis(700);

/// Time before the kill at which what is open is answered.
const ANSWER_MARGIN: Duration = Duration::from_millis(400);

/// A request that arrived after the announcement.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Time since the announcement.
    pub since_announcement: Duration,
    /// Time from the announcement to the kill.
    pub grace: Duration,
    /// Time until the deadline of the request.
    pub remaining: Duration,
    /// Longest duration to expect, by recent requests to the same service.
    pub longest: Duration,
    /// Whether the response is a stream.
    pub is_stream: bool,
}

impl Arrival {
    /// State of a request at a node, if that is stopping.
    fn new(
        node: &Node,
        service: &str,
        tokens: u32,
        remaining: Duration,
        is_stream: bool,
    ) -> Option<Self> {
        let announced_at = (*node.stopping.borrow())?;
        Some(Self {
            since_announcement: Duration::from_millis(node.now().since(announced_at)),
            grace: Duration::from_millis(node.adjustable().grace_ms),
            remaining,
            longest: node
                .longest_duration(service, tokens)
                .map_or(remaining, |longest| longest.min(remaining)),
            is_stream,
        })
    }

    /// Whether the request is accepted.
    pub fn is_accepted(self) -> bool {
        match self.since_announcement <= ACCEPT_TIME {
            true => self.ends_in_time(self.longest),
            false => !self.is_stream && self.ends_in_time(self.remaining),
        }
    }

    /// Whether a request that was accepted and has not run yet is sent to an endpoint. A stream's prompt is prefilled by then.
    pub fn is_sent(self) -> bool {
        match self.is_stream {
            true => self.ends_in_time(self.longest),
            false => self.is_accepted(),
        }
    }

    fn ends_in_time(self, duration: Duration) -> bool {
        self.since_announcement + duration + KILL_MARGIN <= self.grace
    }
}

/// Refuses a request if the node is stopping and may be killed before the request ends.
pub fn check(
    node: &Node,
    route: &Route,
    service: &str,
    tokens: u32,
    remaining: Duration,
) -> Result<(), Refusal> {
    let is_stream = matches!(route.kind, Kind::Stream { .. });
    match Arrival::new(node, service, tokens, remaining, is_stream) {
        Some(arrival) if !arrival.is_accepted() => {
            Err(Refusal::retry_after(Reason::Stopping, RETRY_AFTER))
        }
        _ => Ok(()),
    }
}

/// Fails an attempt that would be the first to run a request if the node is stopping and may be killed before the request ends.
pub fn check_before_sending(
    node: &Node,
    service: &str,
    call: &Call,
    purpose: &Purpose<'_>,
) -> Result<(), Failure> {
    let is_stream = match purpose {
        Purpose::Prefill => return Ok(()),
        Purpose::Run => false,
        Purpose::Decode { .. } => true,
    };
    // Without a further attempt, a request that may have run ends all the same.
    if call.grant.was_sent() {
        return Ok(());
    }
    let tokens = call.metadata.estimated_output_tokens();
    match Arrival::new(node, service, tokens, call.remaining(), is_stream) {
        Some(arrival) if !arrival.is_sent() => Err(Failure::Stopping),
        _ => Ok(()),
    }
}

/// Waits for a result; `None` once the grace period is almost over.
pub async fn before_kill<T>(node: &Node, result: impl Future<Output = T>) -> Option<T> {
    tokio::select! {
        biased;
        result = result => Some(result),
        () = grace_over(node) => None,
    }
}

/// Waits until the node is stopping and its grace period is almost over.
async fn grace_over(node: &Node) {
    let mut stopping = node.stopping.subscribe();
    let Ok(Some(announced_at)) = stopping.wait_for(Option::is_some).await.map(|at| *at) else {
        return pending().await;
    };
    // The grace period may change meanwhile.
    while let Some(left) = time_to_answer(node, announced_at) {
        sleep(left).await;
    }
}

/// Time until what is open is answered, unless it is over.
fn time_to_answer(node: &Node, announced_at: Millis) -> Option<Duration> {
    let grace = Duration::from_millis(node.adjustable().grace_ms);
    let since = Duration::from_millis(node.now().since(announced_at));
    grace.saturating_sub(ANSWER_MARGIN).checked_sub(since).filter(|left| !left.is_zero())
}
