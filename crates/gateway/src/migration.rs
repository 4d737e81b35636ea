//! Moves a run away from a leaving engine.
//!
//! The engine stops the run before it answers. Without an answer the run may be stopped, and only the engine can tell: it is
//! asked again until it does.

use crate::control::Control;
use crate::event;
use crate::exchange::Call;
use crate::liveness;
use crosslane_platform::engine::{self, MoveOutcome};
use crosslane_state::endpoint::Endpoint;
use crosslane_transport::connection::Error;
use log::info;
use std::time::Duration;
use tokio::time::sleep;

/// Timeout of one call: 100 MB over the engines' links take some 10 ms, queued behind other moves.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// Interval between calls while the outcome is unknown.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Stops a run at its engine and copies its KV cache to another one. Waits until the outcome is known, the engine is gone,
/// or the deadline of the request.
pub async fn stop_and_copy(
    control: &Control,
    call: &Call,
    from: &Endpoint,
    to: &Endpoint,
) -> MoveOutcome {
    let run = &call.metadata.id;
    let mut sent = false;
    loop {
        let request = engine::move_run(from, run, to.address);
        let response = control.call(from, request, CALL_TIMEOUT).await;
        let (outcome, why) = match &response {
            Ok(response) => (
                Some(engine::parse_move_outcome(response.status, &response.body)),
                response.status.to_string(),
            ),
            Err(error) => (None, error.to_string()),
        };
        log(run, from, to, outcome.as_ref(), &why);
        sent |= response.as_ref().map_or_else(Error::may_have_been_sent, |_| true);
        match outcome {
            Some(outcome) if outcome != MoveOutcome::UnderWay => return outcome,
            _ if !sent || call.remaining().is_zero() => return MoveOutcome::Refused,
            _ if liveness::refuses_connections(control.dialer(), from).await => {
                return MoveOutcome::Ended;
            }
            _ => sleep(RETRY_INTERVAL).await,
        }
    }
}

fn log(request: &str, from: &Endpoint, to: &Endpoint, outcome: Option<&MoveOutcome>, why: &str) {
    let (from, to) = (from.id.as_str(), to.id.as_str());
    let outcome = outcome.map_or("unknown".into(), |outcome| format!("{outcome:?}"));
    info!(request, from, to, outcome, why; "{}", event::MOVE);
}
