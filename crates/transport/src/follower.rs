//! Reading of the platform's log: the control stream is folded, claims are noted.

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

/// Time that a read waits for a new record.
const WAIT: Duration = Duration::from_secs(5);

/// Pause after the log failed.
const PAUSE: Duration = Duration::from_millis(100);

/// Follows the control stream until the process ends.
pub async fn control(shared: Arc<Shared>) {
    loop {
        match read_control(&shared, WAIT).await {
            Ok(_) => log_up(&shared).await,
            Err(()) => log_down(&shared).await,
        }
    }
}

/// Follows the claims stream until the process ends.
pub async fn claims(shared: Arc<Shared>) {
    loop {
        if read_claims(&shared, WAIT).await.is_err() {
            tokio::time::sleep(PAUSE).await;
        }
    }
}

/// Reads the control stream to its tail.
pub async fn catch_up(shared: &Arc<Shared>) -> bool {
    catch_up_control(shared).await && catch_up_claims(shared).await
}

/// Reads the claims stream to its tail.
pub async fn catch_up_claims(shared: &Arc<Shared>) -> bool {
    loop {
        match read_claims(shared, Duration::ZERO).await {
            Ok(true) => return true,
            Ok(false) => {}
            Err(()) => return false,
        }
    }
}

async fn catch_up_control(shared: &Arc<Shared>) -> bool {
    loop {
        match read_control(shared, Duration::ZERO).await {
            Ok(true) => return true,
            Ok(false) => {}
            Err(()) => return false,
        }
    }
}

/// Reads one page; true when it reached the tail.
async fn read_control(shared: &Arc<Shared>, wait: Duration) -> Result<bool, ()> {
    let from = shared.keeper.visit(|node, _| node.state.next_offset).await;
    match shared.platform.read(CONTROL_STREAM, from, wait).await {
        Ok(Read::Page(page)) => fold(shared, page).await,
        Ok(Read::Trimmed { first }) => {
            warn!(event = "log_trimmed", from = from, first = first; "looking for a checkpoint");
            bridge(shared, first).await
        }
        Err(error) => {
            info!(event = "log_failed"; "{error}");
            Err(())
        }
    }
}

/// Scans what is kept for a checkpoint that continues from there.
async fn bridge(shared: &Arc<Shared>, first: u64) -> Result<bool, ()> {
    let mut from = first;
    loop {
        let Ok(Read::Page(page)) = shared.platform.read(CONTROL_STREAM, from, Duration::ZERO).await
        else {
            return Err(());
        };
        from += page.records.len() as u64;
        let tail = from >= page.tail;
        fold(shared, page).await?;
        let next = shared.keeper.visit(|node, _| node.state.next_offset).await;
        if next >= first {
            return Ok(false);
        }
        if tail {
            error!(event = "no_checkpoint"; "the log has forgotten records and has no checkpoint");
            return Err(());
        }
    }
}

async fn fold(shared: &Arc<Shared>, page: Page) -> Result<bool, ()> {
    if page.records.is_empty() {
        return Ok(true);
    }
    let mut records = Vec::new();
    for (place, text) in page.records.iter().enumerate() {
        let offset = page.from + place as u64;
        match Record::try_from(Raw(text)) {
            Ok(record) => records.push((offset, Some(record))),
            Err(Error::Malformed { message }) => {
                shared.metrics.count(Counter::LogSkipped);
                warn!(event = "record_skipped", offset = offset; "{message}");
                records.push((offset, None));
            }
            Err(Error::NewerFormat { format }) => {
                error!(event = "record_newer", offset = offset, format = format; "upgrade this node");
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
    shared.keeper.visit(apply).await;
    folded(shared).await;
    Ok(next >= page.tail)
}

/// Brings policy and the node's own standing in line with the folded log.
pub async fn folded(shared: &Arc<Shared>) {
    let me = shared.me;
    let (version, program, member) = shared
        .keeper
        .visit(move |node, _| {
            let program = node.state.program().map(str::to_owned);
            (node.state.version(), program, node.state.roster.get(me).is_some())
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
    shared.note_membership(member);
}

async fn log_up(shared: &Arc<Shared>) {
    if shared.set_log_answers(true) {
        return;
    }
    info!(event = "log_up"; "");
    shared.claims.flush_copies(shared).await;
    let untold = shared.keeper.visit(|node, _| node.unlogged_leaves()).await;
    for leave in untold {
        append(shared, &Record::Leave { leave }).await;
    }
    if *shared.phase.borrow() == Phase::Serving && !shared.is_member() {
        append(shared, &Record::Join { member: shared.member.clone() }).await;
    }
}

async fn log_down(shared: &Arc<Shared>) {
    shared.metrics.count(Counter::LogFailed);
    if shared.set_log_answers(false) {
        warn!(event = "log_down"; "");
    }
    tokio::time::sleep(PAUSE).await;
}

/// Appends a control record; true when the log confirmed it.
pub async fn append(shared: &Shared, record: &Record) -> bool {
    let appended = shared.platform.append(CONTROL_STREAM, vec![envelope::encode(record)]).await;
    if appended.is_err() {
        shared.metrics.count(Counter::LogFailed);
    }
    appended.is_ok()
}

async fn read_claims(shared: &Arc<Shared>, wait: Duration) -> Result<bool, ()> {
    let from = shared.claims.read_so_far();
    match shared.platform.read(CLAIMS_STREAM, from, wait).await {
        Ok(Read::Page(page)) => {
            let next = page.from + page.records.len() as u64;
            let claims: Vec<Claims> =
                page.records.iter().filter_map(|it| Claims::try_from(Raw(it)).ok()).collect();
            let note = move |node: &mut Node, now| {
                for claim in claims {
                    claim.keys.iter().for_each(|key| node.claims.claim(*key, claim.by, now));
                }
            };
            shared.keeper.visit(note).await;
            shared.claims.read_to(next);
            Ok(next >= page.tail)
        }
        Ok(Read::Trimmed { first }) => {
            shared.claims.read_to(first);
            Ok(false)
        }
        Err(_) => Err(()),
    }
}
