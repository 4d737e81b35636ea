//! Poison request quarantine: keeps requests that crash endpoints away from them.
//!
//! `coordination::quarantine` decides which requests are suspect or shut out. This module checks whether an endpoint that broke
//! off a response has crashed, admits or rejects requests, and logs and shares the results. While no request is suspect,
//! the check costs one lookup in an empty map per request; fingerprints are computed only after a response broke off.

use crate::event;
use crate::exchange::{Call, Failure, Progress};
use crate::liveness::{self, Liveness};
use crate::members::Scope;
use crate::node::{Node, lock};
use crate::refusal::{Reason, Refusal};
use crate::stream;
use crosslane_coordination::quarantine::{ANNOUNCE_DELAY_MS, BLAME_WINDOW_MS, INNOCENT_AFTER_MS};
use crosslane_coordination::ruling::{SHUT_OUT_MS, Verdict};
use crosslane_coordination::segments;
use crosslane_coordination::suspect::{JOINT_CRASH_WINDOW_MS, STRIKES_TO_SHUT_OUT};
use crosslane_coordination::suspicion::{Status, Strike, Update};
use crosslane_platform::request::Purpose;
use crosslane_state::endpoint::{Endpoint, Key, Tag};
use crosslane_state::fingerprint::Fingerprint;
use crosslane_state::segment::Segment;
use crosslane_state::time::Millis;
use crosslane_transport::clock;
use log::{info, warn};
use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Trial of a suspect request; its result is recorded when it is dropped.
#[derive(Debug)]
pub struct Trial {
    node: Arc<Node>,
    request: Fingerprint,
    /// When the run started, if it has: a request may queue at its engine for seconds.
    pub started_at: Option<Millis>,
    /// Whether a part of the response has arrived since.
    pub written: bool,
    /// Whether the response was completed.
    pub completed: bool,
}

impl Drop for Trial {
    fn drop(&mut self) {
        let ran = self.started_at.map_or(0, |started_at| self.node.now().since(started_at));
        let innocent = self.completed || (self.written && ran >= INNOCENT_AFTER_MS);
        let mut quarantine = self.node.quarantine();
        let cleared = innocent && quarantine.clear(self.request);
        if !innocent {
            quarantine.end_trial(self.request, self.node.now());
        }
        drop(quarantine);
        if cleared {
            let why = if self.completed { "it ran well" } else { "its run went on" };
            info!(fingerprint:% = self.request, ran_ms = ran, why; "{}", event::FORGOTTEN);
        }
        self.node.suspicions_changed.notify_one();
    }
}

/// Whether a request may be sent now.
pub fn check(node: &Node, call: &Call) -> Result<(), Failure> {
    match request_status(node, call) {
        Status::Clear | Status::Suspect => Ok(()),
        Status::OnTrial => Err(Failure::OnTrial),
        Status::ShutOut(_) => Err(Failure::ShutOut),
    }
}

/// Whether a request is clear, suspect, on trial or shut out.
fn request_status(node: &Node, call: &Call) -> Status {
    if let Some((_, left)) = node.segments().shut_out(&call.segments, clock::unix()) {
        return Status::ShutOut(left);
    }
    if node.quarantine().is_empty() {
        return Status::Clear;
    }
    let request = call.fingerprint();
    node.quarantine().status(request, node.now(), clock::unix())
}

/// Admits a request to an endpoint. While a suspect runs, its copies are held back; a prefill does not count as a run.
pub async fn admit(
    node: &Arc<Node>,
    call: &Call,
    endpoint: &Endpoint,
    purpose: &Purpose<'_>,
) -> Result<Option<Trial>, Failure> {
    let runs = !matches!(purpose, Purpose::Prefill);
    match request_status(node, call) {
        Status::ShutOut(_) => Err(log_rejection(node, call, Failure::ShutOut)),
        Status::OnTrial if runs => Err(log_rejection(node, call, Failure::OnTrial)),
        Status::Suspect if runs => start_trial(node, call, endpoint).await.map(Some),
        Status::Clear | Status::Suspect | Status::OnTrial => Ok(None),
    }
}

/// Announces a trial of a suspect and admits it if no other suspect runs at the endpoint: if the endpoint crashed, both
/// would get a strike.
async fn start_trial(node: &Arc<Node>, call: &Call, endpoint: &Endpoint) -> Result<Trial, Failure> {
    let (request, tag) = (call.fingerprint(), endpoint.tag());
    let taken = {
        let mut quarantine = node.quarantine();
        let taken = quarantine.other_trials(request, node.now()).contains(&tag);
        if !taken {
            quarantine.begin_trial(request, tag, node.now());
        }
        taken
    };
    if taken {
        return Err(beside_another(node, call));
    }
    node.suspicions_changed.notify_one();
    let trial =
        Trial { node: node.clone(), request, started_at: None, written: false, completed: false };
    sleep(Duration::from_millis(ANNOUNCE_DELAY_MS)).await;
    if node.quarantine().must_yield(request, tag, node.now()) {
        return Err(beside_another(node, call));
    }
    match request_status(node, call) {
        Status::ShutOut(_) => Err(log_rejection(node, call, Failure::ShutOut)),
        Status::Clear | Status::Suspect | Status::OnTrial => Ok(trial),
    }
}

fn beside_another(node: &Node, call: &Call) -> Failure {
    log_barred(node, call, "beside another suspect");
    Failure::Unsent
}

/// Engines at which other suspects run; a suspect is not placed there.
pub fn engines_with_trials(node: &Node, call: &Call) -> Vec<Key> {
    if request_status(node, call) != Status::Suspect {
        return Vec::new();
    }
    let engines = node.quarantine().other_trials(call.fingerprint(), node.now());
    let pool = node.pool();
    engines.into_iter().filter_map(|engine| pool.key(engine)).collect()
}

/// Refusal of a quarantined request, with a Retry-After.
pub fn refusal(node: &Node, call: &Call, failure: Failure) -> Refusal {
    log_rejection(node, call, failure);
    match request_status(node, call) {
        Status::ShutOut(left) => Refusal::retry_after(Reason::ShutOut, Duration::from_millis(left)),
        Status::Clear | Status::Suspect | Status::OnTrial => stream::retry_later(failure.into()),
    }
}

fn log_rejection(node: &Node, call: &Call, failure: Failure) -> Failure {
    log_barred(node, call, failure);
    failure
}

fn log_barred(node: &Node, call: &Call, why: impl Display) {
    let (request, fingerprint) = (call.metadata.id.as_str(), call.fingerprint());
    let segments = shut_out_segments(node, call);
    info!(request, fingerprint:%, segments, why:%; "{}", event::BARRED);
}

/// Ids of the segments that shut a request out.
fn shut_out_segments(node: &Node, call: &Call) -> String {
    let segments = node.segments();
    let Some((pattern, _)) = segments.shut_out(&call.segments, clock::unix()) else {
        return String::new();
    };
    let named = call.metadata.shared_segment_ids.iter().zip(call.segments.iter());
    let shut = named.filter(|(_, segment)| pattern.segments().contains(segment));
    shut.map(|(id, _)| id.as_str()).collect::<Vec<_>>().join(",")
}

/// Checks whether an endpoint that broke off a response has crashed, and if so counts a strike against the request if its run
/// had started only a moment before, or had written nothing yet, as at a slow engine. An error, a network partition or an unresponsive endpoint is no crash.
pub async fn check_for_crash(
    node: &Arc<Node>,
    call: &Call,
    endpoint: &Endpoint,
    (started_at, progress): (Millis, Progress),
) {
    let (request, to) = (call.metadata.id.as_str(), endpoint.id.as_str());
    let ran_ms = node.now().since(started_at);
    let fingerprint = call.fingerprint();
    let segments = call.metadata.shared_segment_ids.join(",");
    info!(request, to, ran_ms, fingerprint:%, segments; "{}", event::BROKE);
    let blamed = match progress {
        Progress::Begun => true,
        Progress::Sent | Progress::Written => ran_ms <= BLAME_WINDOW_MS,
    };
    if !blamed {
        // No evidence against the request, but used to detect that many endpoints end together.
        let (node, endpoint) = (node.clone(), endpoint.clone());
        tokio::spawn(async move {
            if node.liveness_checks.check(&node, &endpoint).await == Liveness::Gone {
                node.quarantine().record_crash(endpoint.tag(), node.now());
            }
        });
        return;
    }
    if node.liveness_checks.check(node, endpoint).await == Liveness::Gone {
        strike(node, call, endpoint);
        return;
    }
    let (node, endpoint, call) = (node.clone(), endpoint.clone(), call.clone());
    tokio::spawn(async move {
        if liveness::turns_out_gone(&node, &endpoint).await {
            strike(&node, &call, &endpoint);
        }
    });
}

/// Counts a strike against a request and the segments of its prompt, and schedules the verdict once there are enough.
fn strike(node: &Arc<Node>, call: &Call, endpoint: &Endpoint) {
    let (fingerprint, now) = (call.fingerprint(), node.now());
    let segment_strikes =
        node.segments().record_crash(endpoint.tag(), fingerprint, &call.segments, now);
    let result = node.quarantine().record_strike(fingerprint, endpoint.tag(), now);
    update_explanations(node);
    node.suspicions_changed.notify_one();
    let (request, to) = (call.metadata.id.as_str(), endpoint.id.as_str());
    let strikes = match result {
        Strike::Counted(strikes) => {
            node.metrics.strikes.inc();
            info!(request, fingerprint:%, to, strikes, segment_strikes; "{}", event::STRUCK);
            strikes
        }
        spared => {
            info!(request, fingerprint:%, to, segment_strikes, why:% = spared; "{}", event::SPARED);
            0
        }
    };
    if strikes.max(segment_strikes) >= STRIKES_TO_SHUT_OUT {
        let node = node.clone();
        tokio::spawn(async move {
            sleep(Duration::from_millis(JOINT_CRASH_WINDOW_MS)).await;
            make_rulings(&node);
        });
    }
}

/// Has the quarantine of requests know what segments explain. The only place that holds both locks.
fn update_explanations(node: &Node) {
    let segments = node.segments();
    node.quarantine().update_explanations(|request, crashes| segments.explain(request, crashes));
}

/// Records that a request with these segments in its prompt ran well.
pub fn record_sound(node: &Node, segments: &[Segment]) {
    if segments.is_empty() {
        return;
    }
    let mut quarantine = node.segments();
    quarantine.record_sound(segments, node.now(), clock::unix());
    if quarantine.has_updates() {
        node.suspicions_changed.notify_one();
    }
}

/// Shuts out requests with enough strikes, and lifts the rulings on those whose strikes another request that is shut out
/// explains.
fn make_rulings(node: &Node) {
    update_explanations(node);
    let (now, unix) = (node.now(), clock::unix());
    let (shut_out, lifted) = {
        let mut quarantine = node.quarantine();
        (quarantine.shut_out_due(now, unix), quarantine.lift_superseded(now, unix))
    };
    let patterns = node.segments().make_rulings(now, unix);
    let for_s = SHUT_OUT_MS / 1_000;
    for pattern in &patterns {
        let fingerprint = pattern.fingerprint();
        warn!(fingerprint:%, segments:% = pattern, verdict:% = Verdict::Shut, source = "here", for_s; "{}", event::RULED);
    }
    for fingerprint in &shut_out {
        warn!(fingerprint:%, verdict:% = Verdict::Shut, source = "here", for_s; "{}", event::RULED);
    }
    for fingerprint in &lifted {
        let why = "another request is shut out for it";
        warn!(fingerprint:%, verdict:% = Verdict::Lifted, source = "here", why; "{}", event::RULED);
    }
    if !patterns.is_empty() || !shut_out.is_empty() || !lifted.is_empty() {
        node.rulings_changed.notify_one();
        node.suspicions_changed.notify_one();
    }
}

/// Applies another node's updates.
pub fn apply_updates(node: &Node, from: Tag, updates: Vec<(Fingerprint, Update)>) {
    let (now, unix) = (node.now(), clock::unix());
    for (fingerprint, update) in updates {
        let verdict = match &update {
            Update::Ruled(ruling) => ruling.verdict.to_string(),
            _ => String::new(),
        };
        if node.quarantine().apply(from, fingerprint, update, now, unix) {
            info!(fingerprint:%, verdict, source = "peer"; "{}", event::RULED);
        }
    }
    update_explanations(node);
}

/// Applies another node's updates on segments.
pub fn apply_segment_updates(node: &Node, updates: Vec<segments::Update>) {
    let (now, unix) = (node.now(), clock::unix());
    let nodes = lock(&node.members).addresses(Scope::Live, now).len() + 1;
    for update in updates {
        let ruled = match &update {
            segments::Update::Ruled(pattern, ruling) => Some((pattern.clone(), *ruling)),
            _ => None,
        };
        let new = node.segments().apply(update, nodes, now, unix);
        if let Some((pattern, ruling)) = ruled.filter(|_| new) {
            let fingerprint = pattern.fingerprint();
            info!(fingerprint:%, segments:% = pattern, verdict:% = ruling.verdict, source = "peer"; "{}", event::RULED);
        }
    }
    if node.segments().has_updates() {
        node.suspicions_changed.notify_one();
    }
}

/// Decides on requests that no other node has decided on, and removes expired state.
pub fn remove_expired(node: &Node) {
    if node.quarantine().is_empty() && node.segments().is_empty() {
        return;
    }
    make_rulings(node);
    let shut_out = {
        let mut segments = node.segments();
        segments.expire(node.now(), clock::unix());
        segments.shut_out_count()
    };
    node.metrics.shut_out_segments.set(shut_out as i64);
    let mut quarantine = node.quarantine();
    for fingerprint in quarantine.expire(node.now(), clock::unix()) {
        info!(fingerprint:%, why = "its time is over"; "{}", event::FORGOTTEN);
    }
    node.metrics.shut_out_requests.set(quarantine.shut_out_count() as i64);
}
