//! When a stream that ended early could not have been completed.

use crosslane_platform_standins::ledger::{Ended, Run};

/// Whether a stream that had begun broke off because of its endpoints: it met an error where it was to go on, or broke off
/// there by a fault. A run that the node closed is no excuse, unless another one ran in its place by then.
pub fn endpoints_failed(runs: &[Run]) -> bool {
    let began = runs.first().is_some_and(|run| run.disturbed || run.ended != Some(Ended::Erred));
    let whole = runs.iter().any(|run| run.ended == Some(Ended::Whole) && !run.disturbed);
    let last_failed = runs.last().is_some_and(|run| {
        run.disturbed || matches!(run.ended, Some(Ended::Erred | Ended::Faulty | Ended::Forgotten))
    });
    let given_up = (0..runs.len()).any(|index| is_given_up(&runs[index], &runs[index + 1..]));
    began && !whole && runs.len() >= 2 && last_failed && !given_up
}

/// A run whose answer a sound node has to deliver, if there is one. One that was stopped for a move is none if its engine broke it
/// off where it went on, unless the request may run again.
pub fn deliverable(runs: &[Run], idempotent: bool) -> Option<&Run> {
    let is_sound = |run: &Run| !run.disturbed && run.ended.is_some_and(|ended| !lacks_end(ended));
    let index = runs.iter().position(is_sound)?;
    let is_moved = |run: &Run| run.ended == Some(Ended::Moved);
    let last = runs[index..].iter().find(|run| !is_moved(run)).filter(|_| is_moved(&runs[index]));
    let broke = last.is_some_and(|run| {
        run.disturbed || run.ended.is_some_and(|ended| lacks_end(ended) || ended == Ended::Erred)
    });
    (idempotent || !broke).then_some(&runs[index])
}

/// Whether no node can deliver the end of a run that ended so.
fn lacks_end(ended: Ended) -> bool {
    matches!(ended, Ended::Faulty | Ended::Forgotten)
}

/// Whether the node closed a sound run before another one ran in its place.
fn is_given_up(run: &Run, later: &[Run]) -> bool {
    let closed_at = run.closed_at.filter(|_| run.ended == Some(Ended::Closed) && !run.disturbed);
    let Some(closed_at) = closed_at else {
        return false;
    };
    !later.iter().any(|other| other.began < closed_at && other.ended != Some(Ended::Erred))
}
