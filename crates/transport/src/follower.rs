//! Follower of the platform's log: folds the control stream and records claims.

use crate::metrics::Counter;
use crate::node::{Phase, Shared};
use crate::platform::Read;
use crosslane_coordination::node::Node;
use crosslane_coordination::program::Program;
use crosslane_coordination::record::Record;
use crosslane_protocol::envelope::{self, Claims, Error, Raw};
use crosslane_protocol::platform::{CLAIMS_STREAM, CONTROL_STREAM, Page};
use log::{error, info, warn};
use std::sync::Arc;
use std::time::Duration;

/// How long a read waits for a new record.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay before the log is read again after an error.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Follows the control stream until the process ends.
pub async fn control(shared: Arc<Shared>) {
    loop {
        match read_control(&shared, LONG_POLL_TIMEOUT).await {
            Ok(_) => on_log_up(&shared).await,
            Err(()) => on_log_down(&shared).await,
        }
    }
}

/// Follows the claims stream until the process ends.
pub async fn claims(shared: Arc<Shared>) {
    loop {
        if read_claims(&shared, LONG_POLL_TIMEOUT).await.is_err() {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Reads the control and the claims stream to their tails; false if the log fails.
pub async fn catch_up(shared: &Arc<Shared>) -> bool {
    catch_up_control(shared).await && catch_up_claims(shared).await
}

/// Reads the claims stream to its tail; false if the log fails.
pub async fn catch_up_claims(shared: &Arc<Shared>) -> bool {
    loop {
        match read_claims(shared, Duration::ZERO).await {
            Ok(true) => return true,
            Ok(false) => {}
            Err(()) => return false,
        }
    }
}

/// Reads the control stream to its tail; false if the log fails.
async fn catch_up_control(shared: &Arc<Shared>) -> bool {
    loop {
        match read_control(shared, Duration::ZERO).await {
            Ok(true) => return true,
            Ok(false) => {}
            Err(()) => return false,
        }
    }
}

/// Reads one page of the control stream; true if it reached the tail.
async fn read_control(shared: &Arc<Shared>, wait: Duration) -> Result<bool, ()> {
    let from = shared.keeper.with_node(|node, _| node.state.next_offset).await;
    match shared.platform.read(CONTROL_STREAM, from, wait).await {
        Ok(Read::Page(page)) => apply_page(shared, page).await,
        Ok(Read::Trimmed { first }) => {
            warn!(event = "log_trimmed", from = from, first = first; "the next record has been trimmed; looking for a checkpoint");
            resume_from_checkpoint(shared, first).await
        }
        Err(error) => {
            info!(event = "log_failed"; "{error}");
            Err(())
        }
    }
}

/// Scans the records that the log still has for a checkpoint to continue from.
async fn resume_from_checkpoint(shared: &Arc<Shared>, first: u64) -> Result<bool, ()> {
    let mut from = first;
    loop {
        let Ok(Read::Page(page)) = shared.platform.read(CONTROL_STREAM, from, Duration::ZERO).await
        else {
            return Err(());
        };
        from += page.records.len() as u64;
        let at_tail = from >= page.tail;
        apply_page(shared, page).await?;
        let next = shared.keeper.with_node(|node, _| node.state.next_offset).await;
        if next >= first {
            return Ok(false);
        }
        if at_tail {
            error!(event = "no_checkpoint"; "the log was trimmed and holds no checkpoint");
            return Err(());
        }
    }
}

/// Folds one page of the control stream; true if it reached the tail.
async fn apply_page(shared: &Arc<Shared>, page: Page) -> Result<bool, ()> {
    if page.records.is_empty() {
        return Ok(true);
    }
    let mut records = Vec::new();
    for (index, text) in page.records.iter().enumerate() {
        let offset = page.from + index as u64;
        match Record::try_from(Raw(text)) {
            Ok(record) => records.push((offset, Some(record))),
            Err(Error::Malformed { message }) => {
                shared.metrics.count(Counter::LogSkipped);
                warn!(event = "record_skipped", offset = offset; "{message}");
                records.push((offset, None));
            }
            Err(Error::NewerFormat { format }) => {
                error!(event = "record_newer", offset = offset, format = format; "record format is newer than this build; upgrade this node");
                shared.fence("newer_record");
                return Err(());
            }
        }
    }
    let next = page.from + page.records.len() as u64;
    let apply = move |node: &mut Node, now| {
        for (offset, record) in records {
            let _ = node.state.replay(offset, record);
        }
        node.refresh(now);
    };
    shared.keeper.with_node(apply).await;
    apply_folded_state(shared).await;
    Ok(next >= page.tail)
}

/// Updates the policy in force and the node's own membership from the folded log.
pub async fn apply_folded_state(shared: &Arc<Shared>) {
    let incarnation = shared.incarnation;
    let (version, program, member) = shared
        .keeper
        .with_node(move |node, _| {
            let program = node.state.program().map(str::to_owned);
            (node.state.version(), program, node.state.roster.get(incarnation).is_some())
        })
        .await;
    if version > shared.policy().version {
        let text = program.unwrap_or_else(|| crosslane_coordination::program::DEFAULT.to_owned());
        match Program::compile(&text) {
            Ok(program) => {
                shared.set_policy(version, program);
                info!(event = "policy_in_force", version = version.0; "");
            }
            Err(error) => {
                shared.metrics.count(Counter::PolicyBroken);
                error!(event = "policy_broken", version = version.0; "{error}");
            }
        }
    }
    shared.set_membership(member);
}

/// Once the log answers again: appends the claims and leaves that it lacks, and rejoins.
async fn on_log_up(shared: &Arc<Shared>) {
    if shared.set_log_answers(true) {
        return;
    }
    info!(event = "log_up"; "");
    shared.claims.flush_replicas(shared).await;
    let unlogged = shared.keeper.with_node(|node, _| node.unlogged_leaves()).await;
    for leave in unlogged {
        append(shared, &Record::Leave { leave }).await;
    }
    if *shared.phase.borrow() == Phase::Serving && !shared.is_member() {
        append(shared, &Record::Join { member: shared.member.clone() }).await;
    }
}

/// Records that the log failed, and waits before the next read.
async fn on_log_down(shared: &Arc<Shared>) {
    shared.metrics.count(Counter::LogFailed);
    if shared.set_log_answers(false) {
        warn!(event = "log_down"; "");
    }
    tokio::time::sleep(RETRY_DELAY).await;
}

/// Appends a control record; true if the log confirmed it.
pub async fn append(shared: &Shared, record: &Record) -> bool {
    let appended = shared.platform.append(CONTROL_STREAM, vec![envelope::encode(record)]).await;
    if appended.is_err() {
        shared.metrics.count(Counter::LogFailed);
    }
    appended.is_ok()
}

/// Reads one page of the claims stream; true if it reached the tail.
async fn read_claims(shared: &Arc<Shared>, wait: Duration) -> Result<bool, ()> {
    let from = shared.claims.next_offset();
    match shared.platform.read(CLAIMS_STREAM, from, wait).await {
        Ok(Read::Page(page)) => {
            let next = page.from + page.records.len() as u64;
            let claims: Vec<Claims> =
                page.records.iter().filter_map(|text| Claims::try_from(Raw(text)).ok()).collect();
            let apply = move |node: &mut Node, now| {
                for claim in claims {
                    claim.keys.iter().for_each(|key| node.claims.claim(*key, claim.by, now));
                }
            };
            shared.keeper.with_node(apply).await;
            shared.claims.set_next_offset(next);
            Ok(next >= page.tail)
        }
        Ok(Read::Trimmed { first }) => {
            shared.claims.set_next_offset(first);
            Ok(false)
        }
        Err(_) => Err(()),
    }
}
