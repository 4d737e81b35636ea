//! Requests from callers, and those that other nodes forward: read, checked and judged.

use crate::headers::{DEADLINE, HOPS, KEY, NODE, ORGANISATION, PASSED};
use crate::http::{self, ReadError, Reply};
use crate::metrics::Counter;
use crate::node::{Phase, Progress, Shared};
use crate::run::NOT_READY_MILLIS;
use crate::tape::Tape;
use crate::{job, keyed, render};
use bytes::Bytes;
use crosslane_coordination::program::Input;
use crosslane_protocol::completion::{Api, Completion, Raw};
use crosslane_protocol::refusal::{self, Code, Refusal};
use crosslane_state::hash;
use crosslane_state::incarnation::Incarnation;
use crosslane_state::request::{Class, Decision, Key, Organisation, Outcome};
use crosslane_state::runner::Role;
use crosslane_state::time::Millis;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Request, Response};
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

/// Longest deadline that a caller may set, in milliseconds.
const LONGEST_DEADLINE: u64 = 3_600_000;

/// Longest name of an organisation, in bytes.
const ORGANISATION_BYTES: usize = 128;

/// A request, read and checked.
pub struct Asked {
    /// Head of the request.
    pub head: Parts,
    /// Body.
    pub body: Bytes,
    /// What it asks for.
    pub target: Target,
    /// What the policy says of it.
    pub verdict: Decision,
    /// On whose behalf.
    pub organisation: Organisation,
    /// When the first output is due.
    pub deadline: Millis,
    /// Nodes passed so far.
    pub hops: u32,
    /// Nodes that have given its key up.
    pub passed: Vec<Incarnation>,
}

/// What a request asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// A model.
    Model(Completion),
    /// The service under a path prefix.
    Service(String),
}

/// Handles a request from a caller.
pub async fn caller(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Reply> {
    if request.uri().path() == "/healthz" {
        return health(&shared);
    }
    handle(shared, request, false).await
}

/// Handles a request that another node forwards.
pub async fn forwarded(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Reply> {
    handle(shared, request, true).await
}

fn health(shared: &Shared) -> Response<Reply> {
    let phase = *shared.phase.borrow();
    let ready = phase == Phase::Serving && !shared.paused();
    let status = if ready { 200 } else { 503 };
    http::json(status, &json!({ "live": true, "ready": ready, "phase": format!("{phase:?}") }))
}

async fn handle(shared: Arc<Shared>, request: Request<Incoming>, inner: bool) -> Response<Reply> {
    shared.metrics.count(Counter::Requests);
    let progress = shared.progress();
    let answered = match ask(&shared, request, inner).await {
        Ok(asked) => answer(&shared, asked, progress).await,
        Err(refusal) => Err(refusal),
    };
    let mut response = answered.unwrap_or_else(|refusal| refuse(&shared, &refusal));
    let headers = response.headers_mut();
    if let Ok(vm) = HeaderValue::from_str(&shared.settings.vm) {
        headers.entry(NODE).or_insert(vm);
    }
    if !inner && *shared.phase.borrow() != Phase::Serving {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Reads and checks a request.
async fn ask(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
    inner: bool,
) -> Result<Asked, Refusal> {
    let limits = shared.settings.limits;
    let (head, body) = request.into_parts();
    let limit = Duration::from_millis(limits.read_millis);
    let body = http::read(body, limits.body_bytes, limit).await.map_err(|error| {
        let code = match error {
            ReadError::TooLong => Code::BodyTooLong,
            ReadError::Incomplete => Code::BodyIncomplete,
        };
        Refusal::not_run(code, error.to_string())
    })?;
    admit(shared, inner).map_err(|refusal| unless_keyed(refusal, &head.headers))?;
    let target = target(shared, &head, &body)?;
    let hops = if inner { number(&head.headers, &HOPS)?.unwrap_or(1) as u32 } else { 0 };
    let passed = if inner { passed(&head.headers) } else { Vec::new() };
    let organisation = organisation(&head.headers)?;
    let verdict = judge(shared, &head, &target, organisation)?;
    let class = match verdict.class {
        Class::Quick => shared.settings.quick,
        Class::Patient => shared.settings.patient,
    };
    let usual = match target {
        Target::Model(_) => class.first_millis,
        Target::Service(_) => class.service_millis,
    };
    let wished = number(&head.headers, &DEADLINE)?.unwrap_or(usual).min(LONGEST_DEADLINE);
    Ok(Asked {
        organisation: Organisation(hash::of(organisation.as_bytes())),
        deadline: shared.clock.now() + wished,
        head,
        body,
        target,
        verdict,
        hops,
        passed,
    })
}

/// Whether the node takes new requests now.
fn admit(shared: &Shared, inner: bool) -> Result<(), Refusal> {
    let now = shared.clock.now();
    let drain = shared.settings.timing.drain_millis;
    let (code, message) = match *shared.phase.borrow() {
        Phase::Serving => return Ok(()),
        Phase::Leaving { since } if inner || now.since(since) < drain => return Ok(()),
        Phase::Starting => (Code::NotReady, "this node does not hold the policy in force yet"),
        Phase::Leaving { .. } | Phase::Stopped => (Code::Leaving, "this node is leaving"),
        Phase::Fenced => (Code::NotReady, "this node was replaced"),
    };
    Err(Refusal::not_run(code, message).retry_after(NOT_READY_MILLIS))
}

/// A refusal before the key's owner was asked says nothing of what ran under the key.
fn unless_keyed(refusal: Refusal, headers: &HeaderMap) -> Refusal {
    let keyed = headers.contains_key(KEY);
    let outcome = if keyed { Outcome::Unknown } else { refusal.outcome };
    Refusal { outcome, ..refusal }
}

fn target(shared: &Shared, head: &Parts, body: &Bytes) -> Result<Target, Refusal> {
    let path = head.uri.path();
    if let Some(form) = Api::from_path(path) {
        if head.method != hyper::Method::POST {
            return Err(Refusal::not_run(Code::NoRoute, "completions are asked for by POST"));
        }
        let completion = Completion::try_from(Raw { api: form, body })
            .map_err(|error| Refusal::not_run(Code::BadBody, error.to_string()))?;
        let known = |model: &str| shared.settings.runners.iter().any(|it| it.serves == model);
        if !known(&completion.model) {
            let message = format!("no runner serves model {:?}", completion.model);
            return Err(Refusal::not_run(Code::NoRoute, message));
        }
        return Ok(Target::Model(completion));
    }
    let prefixes = shared.settings.runners.iter().filter(|it| it.role == Role::Service);
    prefixes
        .map(|it| it.serves.as_str())
        .filter(|prefix| path.starts_with(prefix))
        .max_by_key(|prefix| prefix.len())
        .map(|prefix| Target::Service(prefix.to_owned()))
        .ok_or_else(|| Refusal::not_run(Code::NoRoute, "no service under this path"))
}

fn organisation(headers: &HeaderMap) -> Result<&str, Refusal> {
    let Some(value) = headers.get(ORGANISATION) else {
        return Ok("anonymous");
    };
    value.to_str().ok().filter(|it| !it.is_empty() && it.len() <= ORGANISATION_BYTES).ok_or_else(
        || bad_header("crosslane-organisation: expected 1 to 128 visible ASCII characters"),
    )
}

fn number(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(|it| it.parse().ok());
    let wrong = || bad_header(&format!("{name}: expected a whole number"));
    parsed.map(Some).ok_or_else(wrong)
}

fn passed(headers: &HeaderMap) -> Vec<Incarnation> {
    let value = headers.get(PASSED).and_then(|it| it.to_str().ok()).unwrap_or_default();
    value.split(',').filter_map(Incarnation::parse).collect()
}

fn bad_header(message: &str) -> Refusal {
    Refusal::not_run(Code::BadHeader, message)
}

fn judge(
    shared: &Shared,
    head: &Parts,
    target: &Target,
    organisation: &str,
) -> Result<Decision, Refusal> {
    let mut input = Input {
        organisation: organisation.to_owned(),
        method: head.method.to_string(),
        path: head.uri.path().to_owned(),
        ..Input::default()
    };
    if let Target::Model(completion) = target {
        input.model.clone_from(&completion.model);
        input.prompt_tokens = completion.estimated_prompt_tokens().cast_signed();
        input.max_tokens = completion.max_tokens.cast_signed();
    }
    let policy = shared.policy();
    policy.program.evaluate(&input).map_err(|error| {
        let message = format!("policy version {} failed: {error}", policy.version);
        Refusal::not_run(Code::PolicyFailed, message)
    })
}

/// Answers a checked request, here or at the owner of its key.
async fn answer(
    shared: &Arc<Shared>,
    asked: Asked,
    progress: Progress,
) -> Result<Response<Reply>, Refusal> {
    let Some(raw) = asked.head.headers.get(KEY) else {
        shared.keeper.visit(|node, _| node.budget.deposit()).await;
        let sequence = shared.sequence();
        let key = Key::generate(shared.me, sequence);
        let tape = Arc::new(Tape::default());
        let reader = tape.reader();
        job::spawn(shared, &asked, job::Id { key: key.clone(), keyed: false }, sequence, tape);
        return render::render(shared, &asked, &key, reader, progress).await;
    };
    let key = raw.to_str().map_err(|_| bad_header("idempotency-key: expected ASCII"))?;
    let key = Key::try_from(key).map_err(|error| bad_header(&error.to_string()))?;
    keyed::answer(shared, asked, key, progress).await
}

/// The answer that tells a refusal.
fn refuse(shared: &Shared, refusal: &Refusal) -> Response<Reply> {
    shared.metrics.refused(refusal.code);
    let body = refusal::Body { error: refusal.clone() };
    let mut response = http::json(refusal.code.status(), &body);
    if let Some(millis) = refusal.retry_after_ms {
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(millis.div_ceil(1_000)));
    }
    response
}
