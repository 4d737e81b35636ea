//! Entry of requests from callers and of requests that other nodes forward: parsing, validation and policy evaluation.

use crate::buffer::Buffer;
use crate::headers::{DEADLINE, HOPS, IDEMPOTENCY_KEY, NODE, ORGANISATION, RELEASED_BY};
use crate::http::{self, ReadError, ResponseBody};
use crate::metrics::Counter;
use crate::node::{Phase, Progress, Shared};
use crate::run::NOT_READY_MILLIS;
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

/// Longest deadline that a caller may set.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Longest name of an organisation.
const MAX_ORGANISATION_BYTES: usize = 128;

/// A request that was read and validated.
pub struct ParsedRequest {
    /// Head of the request.
    pub head: Parts,
    /// Request body.
    pub body: Bytes,
    /// Model or service that it is for.
    pub target: Target,
    /// Decision of the routing policy.
    pub decision: Decision,
    /// Organisation that sent it.
    pub organisation: Organisation,
    /// When the first output of a model or the response of a service is due.
    pub deadline: Millis,
    /// How often it was forwarded; 0 if it came from a caller.
    pub hops: u32,
    /// Nodes that have released its key.
    pub released_by: Vec<Incarnation>,
}

/// What a request is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// A completion by a model.
    Model(Completion),
    /// The service that is registered under this path prefix.
    Service(String),
}

/// Handles a request from a caller.
pub async fn handle_caller(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    if request.uri().path() == "/healthz" {
        return health(&shared);
    }
    handle(shared, request, false).await
}

/// Handles a request that another node forwards.
pub async fn handle_forwarded(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    handle(shared, request, true).await
}

fn health(shared: &Shared) -> Response<ResponseBody> {
    let phase = *shared.phase.borrow();
    let ready = phase == Phase::Serving && !shared.paused();
    let status = if ready { 200 } else { 503 };
    http::json(status, &json!({ "live": true, "ready": ready, "phase": format!("{phase:?}") }))
}

async fn handle(
    shared: Arc<Shared>,
    request: Request<Incoming>,
    is_forwarded: bool,
) -> Response<ResponseBody> {
    shared.metrics.count(Counter::Requests);
    let progress = shared.progress();
    let result = match parse(&shared, request, is_forwarded).await {
        Ok(parsed) => respond(&shared, parsed, progress).await,
        Err(refusal) => Err(refusal),
    };
    let mut response = result.unwrap_or_else(|refusal| refusal_response(&shared, &refusal));
    let headers = response.headers_mut();
    if let Ok(vm) = HeaderValue::from_str(&shared.settings.vm) {
        headers.entry(NODE).or_insert(vm);
    }
    if !is_forwarded && *shared.phase.borrow() != Phase::Serving {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Reads and validates a request, and evaluates the policy for it.
async fn parse(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
    is_forwarded: bool,
) -> Result<ParsedRequest, Refusal> {
    let limits = shared.settings.limits;
    let (head, body) = request.into_parts();
    let read_timeout = Duration::from_millis(limits.read_millis);
    let body = http::read_body(body, limits.body_bytes, read_timeout).await.map_err(|error| {
        let code = match error {
            ReadError::TooLong => Code::BodyTooLong,
            ReadError::Incomplete => Code::BodyIncomplete,
        };
        Refusal::not_run(code, error.to_string())
    })?;
    check_phase(shared, is_forwarded)
        .map_err(|refusal| unknown_if_keyed(refusal, &head.headers))?;
    let target = find_target(shared, &head, &body)?;
    let hops =
        if is_forwarded { parse_number(&head.headers, &HOPS)?.unwrap_or(1) as u32 } else { 0 };
    let released_by = if is_forwarded { parse_released_by(&head.headers) } else { Vec::new() };
    let organisation = parse_organisation(&head.headers)?;
    let decision = evaluate_policy(shared, &head, &target, organisation)?;
    let class_settings = match decision.class {
        Class::Quick => shared.settings.quick,
        Class::Patient => shared.settings.patient,
    };
    let default_ms = match target {
        Target::Model(_) => class_settings.first_millis,
        Target::Service(_) => class_settings.service_millis,
    };
    let timeout_ms =
        parse_number(&head.headers, &DEADLINE)?.unwrap_or(default_ms).min(MAX_DEADLINE_MS);
    Ok(ParsedRequest {
        organisation: Organisation(hash::of(organisation.as_bytes())),
        deadline: shared.clock.now() + timeout_ms,
        head,
        body,
        target,
        decision,
        hops,
        released_by,
    })
}

/// Refuses a request if the node's phase does not allow new ones.
fn check_phase(shared: &Shared, is_forwarded: bool) -> Result<(), Refusal> {
    let now = shared.clock.now();
    let drain_ms = shared.settings.timing.drain_millis;
    let (code, message) = match *shared.phase.borrow() {
        Phase::Serving => return Ok(()),
        Phase::Leaving { since } if is_forwarded || now.since(since) < drain_ms => return Ok(()),
        Phase::Starting => (Code::NotReady, "this node does not hold the policy in force yet"),
        Phase::Leaving { .. } | Phase::Stopped => (Code::Leaving, "this node is leaving"),
        Phase::Fenced => (Code::NotReady, "this node was replaced"),
    };
    Err(Refusal::not_run(code, message).retry_after(NOT_READY_MILLIS))
}

/// Sets the outcome of a keyed request's refusal to unknown: only the key's owner can tell whether an earlier request
/// under the key ran.
fn unknown_if_keyed(refusal: Refusal, headers: &HeaderMap) -> Refusal {
    let has_key = headers.contains_key(IDEMPOTENCY_KEY);
    let outcome = if has_key { Outcome::Unknown } else { refusal.outcome };
    Refusal { outcome, ..refusal }
}

fn find_target(shared: &Shared, head: &Parts, body: &Bytes) -> Result<Target, Refusal> {
    let path = head.uri.path();
    if let Some(api) = Api::from_path(path) {
        if head.method != hyper::Method::POST {
            return Err(Refusal::not_run(Code::NoRoute, "completions are asked for by POST"));
        }
        let completion = Completion::try_from(Raw { api, body })
            .map_err(|error| Refusal::not_run(Code::BadBody, error.to_string()))?;
        let is_served =
            |model: &str| shared.settings.runners.iter().any(|runner| runner.serves == model);
        if !is_served(&completion.model) {
            let message = format!("no runner serves model {:?}", completion.model);
            return Err(Refusal::not_run(Code::NoRoute, message));
        }
        return Ok(Target::Model(completion));
    }
    let services = shared.settings.runners.iter().filter(|runner| runner.role == Role::Service);
    services
        .map(|runner| runner.serves.as_str())
        .filter(|prefix| path.starts_with(prefix))
        .max_by_key(|prefix| prefix.len())
        .map(|prefix| Target::Service(prefix.to_owned()))
        .ok_or_else(|| Refusal::not_run(Code::NoRoute, "no service under this path"))
}

fn parse_organisation(headers: &HeaderMap) -> Result<&str, Refusal> {
    let Some(value) = headers.get(ORGANISATION) else {
        return Ok("anonymous");
    };
    value
        .to_str()
        .ok()
        .filter(|name| !name.is_empty() && name.len() <= MAX_ORGANISATION_BYTES)
        .ok_or_else(|| {
            bad_header("crosslane-organisation: expected 1 to 128 visible ASCII characters")
        })
}

fn parse_number(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    let invalid = || bad_header(&format!("{name}: expected a whole number"));
    parsed.map(Some).ok_or_else(invalid)
}

fn parse_released_by(headers: &HeaderMap) -> Vec<Incarnation> {
    let value = headers.get(RELEASED_BY).and_then(|value| value.to_str().ok()).unwrap_or_default();
    value.split(',').filter_map(Incarnation::parse).collect()
}

fn bad_header(message: &str) -> Refusal {
    Refusal::not_run(Code::BadHeader, message)
}

fn evaluate_policy(
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

/// Responds to a validated request; a keyed one may be forwarded to the owner of its key.
async fn respond(
    shared: &Arc<Shared>,
    request: ParsedRequest,
    progress: Progress,
) -> Result<Response<ResponseBody>, Refusal> {
    let Some(key_header) = request.head.headers.get(IDEMPOTENCY_KEY) else {
        shared.keeper.with_node(|node, _| node.budget.deposit()).await;
        let sequence = shared.sequence();
        let key = Key::generate(shared.incarnation, sequence);
        let buffer = Arc::new(Buffer::default());
        let reader = buffer.reader();
        job::spawn(shared, &request, job::Id { key: key.clone(), keyed: false }, sequence, buffer);
        return render::render(shared, &request, &key, reader, progress).await;
    };
    let key = key_header.to_str().map_err(|_| bad_header("idempotency-key: expected ASCII"))?;
    let key = Key::try_from(key).map_err(|error| bad_header(&error.to_string()))?;
    keyed::respond(shared, request, key, progress).await
}

/// HTTP response for a refusal.
fn refusal_response(shared: &Shared, refusal: &Refusal) -> Response<ResponseBody> {
    shared.metrics.refused(refusal.code);
    let body = refusal::Body { error: refusal.clone() };
    let mut response = http::json(refusal.code.status(), &body);
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        response
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(retry_after_ms.div_ceil(1_000)));
    }
    response
}
