//! Requests from callers, and those that other nodes forward.

use crate::forward;
use crate::http::{self, BodyError, ReadError, Reply};
use crate::metrics::Counter;
use crate::node::{Phase, Progress, Shared};
use crate::tape::{self, End, Reader, Tape};
use crate::{call, run};
use bytes::Bytes;
use crosslane_coordination::keyed::{self, Flow, Inquired, Step};
use crosslane_coordination::ledger;
use crosslane_coordination::node::Node;
use crosslane_coordination::program::Input;
use crosslane_protocol::completion::{Completion, Form, Raw};
use crosslane_protocol::peer::{Ending, PeerClient};
use crosslane_protocol::refusal::{self, Code, Refusal};
use crosslane_state::hash;
use crosslane_state::incarnation::Incarnation;
use crosslane_state::request::{Class, Key, Organisation, Outcome, Verdict};
use crosslane_state::time::Millis;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use log::info;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

/// Caller's idempotency key.
pub const KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Time until the first output is due, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("crosslane-deadline-ms");

/// Organisation on whose behalf a request comes.
pub const ORGANISATION: HeaderName = HeaderName::from_static("crosslane-organisation");

/// Key of the request, minted if the caller sent none.
pub const REQUEST: HeaderName = HeaderName::from_static("crosslane-request");

/// VM of the node that answered.
pub const NODE: HeaderName = HeaderName::from_static("crosslane-node");

/// Nodes that a forwarded request has passed.
pub const HOPS: HeaderName = HeaderName::from_static("crosslane-hops");

/// Owner to forward to instead.
pub const OWNER: HeaderName = HeaderName::from_static("crosslane-owner");

/// Nodes that have given the key of a forwarded request up.
pub const PASSED: HeaderName = HeaderName::from_static("crosslane-passed");

/// Longest deadline that a caller may set, in milliseconds.
const LONGEST_DEADLINE: u64 = 3_600_000;

/// Longest name of an organisation, in bytes.
const ORGANISATION_BYTES: usize = 128;

/// Advice on when to come back to a node that isn't ready, in milliseconds.
const NOT_READY_MILLIS: u64 = 1_000;

/// Time for the next owner of a key to take a copy of its ending.
const COPY: Duration = Duration::from_millis(100);

/// Time for a node to give a key up.
const INQUIRE: Duration = Duration::from_millis(500);

/// A request, read and checked.
pub struct Asked {
    /// Head of the request.
    pub head: Parts,
    /// Body.
    pub body: Bytes,
    /// What it asks for.
    pub target: Target,
    /// What the policy says of it.
    pub verdict: Verdict,
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
    admit(shared, inner)?;
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

fn target(shared: &Shared, head: &Parts, body: &Bytes) -> Result<Target, Refusal> {
    let path = head.uri.path();
    if let Some(form) = Form::at(path) {
        if head.method != hyper::Method::POST {
            return Err(Refusal::not_run(Code::NoRoute, "completions are asked for by POST"));
        }
        let completion = Completion::try_from(Raw { form, body })
            .map_err(|error| Refusal::not_run(Code::BadBody, error.to_string()))?;
        let known = |model: &str| shared.settings.runners.iter().any(|it| it.serves == model);
        if !known(&completion.model) {
            let message = format!("no runner serves model {:?}", completion.model);
            return Err(Refusal::not_run(Code::NoRoute, message));
        }
        return Ok(Target::Model(completion));
    }
    let service = crosslane_state::runner::Role::Service;
    let prefixes = shared.settings.runners.iter().filter(|it| it.role == service);
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
) -> Result<Verdict, Refusal> {
    let mut input = Input {
        organisation: organisation.to_owned(),
        method: head.method.to_string(),
        path: head.uri.path().to_owned(),
        ..Input::default()
    };
    if let Target::Model(completion) = target {
        input.model.clone_from(&completion.model);
        input.prompt_tokens = completion.prompt_tokens().cast_signed();
        input.max_tokens = completion.max_tokens.cast_signed();
    }
    let policy = shared.policy();
    policy.program.judge(&input).map_err(|error| {
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
        shared.keeper.visit(|node, _| node.budget.fresh()).await;
        let sequence = shared.sequence();
        let key = Key::mint(shared.me, sequence);
        let tape = Arc::new(Tape::default());
        let reader = tape.reader();
        spawn(shared, &asked, Id { key: key.clone(), keyed: false }, sequence, tape);
        return render(shared, &asked, &key, reader, progress).await;
    };
    let key = raw.to_str().map_err(|_| bad_header("idempotency-key: expected ASCII"))?;
    let key = Key::try_from(key).map_err(|error| bad_header(&error.to_string()))?;
    keyed(shared, asked, key, progress).await
}

async fn keyed(
    shared: &Arc<Shared>,
    asked: Asked,
    key: Key,
    progress: Progress,
) -> Result<Response<Reply>, Refusal> {
    let mut flow = Flow::new(key, fingerprint(&asked), asked.verdict.repeatable);
    if asked.hops > 0 {
        flow = flow.forwarded_past(asked.passed.clone());
    }
    let service = matches!(asked.target, Target::Service(_));
    let seen_through = service && !asked.verdict.repeatable;
    let (mut flow, mut step) = advance(shared, flow, seen_through, Flow::start).await;
    loop {
        let next: Advance = match step {
            Step::Inquire(earlier) => {
                let inquired = inquire(shared, &flow, earlier).await;
                Box::new(move |flow, node, now| flow.inquired(earlier, inquired, node, now))
            }
            Step::Forward(owner) => match forward::send(shared, &asked, &flow, owner).await {
                Ok(response) => return Ok(forward::relay(response, progress)),
                Err(forwarded) => {
                    Box::new(move |flow, node, now| flow.forwarded(owner, forwarded, node, now))
                }
            },
            Step::Name(owner) => return Ok(name(owner)),
            Step::Refuse(reason) => return Err(not_begun(reason)),
            Step::Run | Step::Join | Step::Replay(_) => {
                return begun(shared, &asked, flow.key(), &step, progress).await;
            }
        };
        (flow, step) = advance(shared, flow, seen_through, next).await;
    }
}

/// A decision about a keyed request on its way.
type Advance = Box<dyn FnOnce(&mut Flow, &mut Node, Millis) -> Step + Send>;

/// Lets a keyed request take its next step; a run that begins has its tape from then on.
async fn advance(
    shared: &Arc<Shared>,
    mut flow: Flow,
    seen_through: bool,
    decide: impl FnOnce(&mut Flow, &mut Node, Millis) -> Step + Send + 'static,
) -> (Flow, Step) {
    let inner = shared.clone();
    let decide = move |node: &mut Node, now| {
        let step = decide(&mut flow, node, now);
        if step == Step::Run {
            node.budget.fresh();
            let tape = if seen_through { Tape::seen_through() } else { Tape::default() };
            inner.tapes().insert(flow.key().clone(), Arc::new(tape));
        }
        (flow, step)
    };
    shared.keeper.visit(decide).await
}

/// Asks a node that may have owned a key to give it up.
async fn inquire(shared: &Shared, flow: &Flow, earlier: Incarnation) -> Inquired {
    let Some(member) = shared.member(earlier).await else {
        return Inquired::Free;
    };
    let (key, by) = (flow.key().clone(), shared.me);
    let call = |client: PeerClient, context| async move { client.inquire(context, key, by).await };
    match shared.peers.call(member.control, INQUIRE, call).await {
        Ok(true) => Inquired::Free,
        Ok(false) => Inquired::Known,
        Err(_) => {
            shared.metrics.count(Counter::OwnerSilent);
            Inquired::Silent
        }
    }
}

/// Names the owner of a key to the node that forwarded its request here.
fn name(owner: Incarnation) -> Response<Reply> {
    let mut response = http::json(StatusCode::MISDIRECTED_REQUEST.as_u16(), &json!({}));
    if let Ok(value) = HeaderValue::from_str(&owner.to_string()) {
        response.headers_mut().insert(OWNER, value);
    }
    response
}

/// Answers a keyed request that runs or has run here.
async fn begun(
    shared: &Arc<Shared>,
    asked: &Asked,
    key: &Key,
    step: &Step,
    progress: Progress,
) -> Result<Response<Reply>, Refusal> {
    let tape = match step {
        Step::Replay(answer) => {
            shared.metrics.count(Counter::Replayed);
            Some(Arc::new(Tape::replay(answer)))
        }
        _ => shared.tapes().get(key).cloned(),
    };
    let reader = tape.as_ref().and_then(Tape::reader);
    match (step, tape) {
        (Step::Run, Some(tape)) => {
            let id = Id { key: key.clone(), keyed: true };
            spawn(shared, asked, id, shared.sequence(), tape);
        }
        (Step::Join, _) => shared.metrics.count(Counter::Joined),
        _ => {}
    }
    render(shared, asked, key, reader, progress).await
}

/// The refusal of a keyed request that was not begun.
fn not_begun(reason: keyed::Refusal) -> Refusal {
    match reason {
        keyed::Refusal::Mismatch => {
            Refusal::not_run(Code::KeyMismatch, "this key was used for another request")
        }
        keyed::Refusal::Full => Refusal::not_run(Code::LedgerFull, "no room to remember this key")
            .retry_after(NOT_READY_MILLIS),
        keyed::Refusal::Unknown => {
            let message = "an earlier request under this key may have run";
            Refusal::unknown(Code::KeyUnknown, message)
        }
        keyed::Refusal::InDoubt => {
            let message = "a departed node may have run a request under this key";
            Refusal::unknown(Code::KeyInDoubt, message).retry_after(NOT_READY_MILLIS)
        }
        keyed::Refusal::Unreachable => {
            let message = "a node that may know this key can't be reached";
            Refusal::unknown(Code::OwnerUnreachable, message).retry_after(NOT_READY_MILLIS)
        }
    }
}

/// What makes two requests under one key the same.
fn fingerprint(asked: &Asked) -> u64 {
    let head = format!("{} {}\n", asked.head.method, asked.head.uri);
    hash::weight(hash::of(head.as_bytes()), hash::of(&asked.body))
}

/// The key of a run, and whether the ledger has it.
struct Id {
    key: Key,
    keyed: bool,
}

/// Runs a request on its own, so that it ends whatever becomes of the caller's connection.
fn spawn(shared: &Arc<Shared>, asked: &Asked, id: Id, sequence: u64, tape: Arc<Tape>) {
    let shared = shared.clone();
    let claim = (id.keyed && !asked.verdict.repeatable).then(|| id.key.hash());
    let verdict = asked.verdict.clone();
    let deadline = asked.deadline;
    let fingerprint = fingerprint(asked);
    match &asked.target {
        Target::Model(completion) => {
            let completion = completion.clone();
            let organisation = asked.organisation;
            let job = run::Job { completion, verdict, organisation, deadline, claim, sequence };
            tokio::spawn(async move {
                let result = run::run(shared.clone(), job, tape.clone()).await;
                conclude(&shared, id, fingerprint, &tape, result).await;
            });
        }
        Target::Service(prefix) => {
            let path = asked.head.uri.path_and_query().map_or("/", |it| it.as_str());
            let job = call::Job {
                prefix: prefix.clone(),
                method: asked.head.method.clone(),
                path: path.to_owned(),
                headers: forward::end_to_end(&asked.head.headers),
                body: asked.body.clone(),
                verdict,
                deadline,
                claim,
                sequence,
            };
            tokio::spawn(async move {
                let result = call::run(shared.clone(), job, tape.clone()).await;
                conclude(&shared, id, fingerprint, &tape, result).await;
            });
        }
    }
}

/// Ends a run: logged, recorded if it has a key, then told to its readers.
async fn conclude(
    shared: &Arc<Shared>,
    id: Id,
    fingerprint: u64,
    tape: &Tape,
    result: Result<(), Refusal>,
) {
    let code = result.as_ref().err().map_or("none", |refusal| refusal.code.name());
    let outcome = result.as_ref().err().map_or(Outcome::Done, |refusal| refusal.outcome);
    info!(event = "request", request = id.key.as_str(), outcome:% = outcome, refused = code; "");
    if id.keyed {
        record(shared, id.key, fingerprint, tape, &result).await;
    }
    tape.end(match result {
        Ok(()) => End::Done,
        Err(refusal) => End::Refused(refusal),
    });
}

/// Records an ending, first at the node that would own the key next, then here.
async fn record(
    shared: &Arc<Shared>,
    key: Key,
    fingerprint: u64,
    tape: &Tape,
    result: &Result<(), Refusal>,
) {
    let answer = tape.answer().filter(|_| result.is_ok());
    if let Some(answer) = &answer {
        copy(shared, &key, fingerprint, answer.clone()).await;
    }
    let end = match (result, answer) {
        (Ok(()), Some(answer)) => ledger::End::Done(Arc::new(answer)),
        (Err(refusal), _) if refusal.outcome == Outcome::NotRun => ledger::End::NotRun,
        _ => ledger::End::Unknown,
    };
    let inner = shared.clone();
    let finish = move |node: &mut Node, now| {
        node.ledger.finish(&key, end, now);
        inner.tapes().remove(&key);
    };
    shared.keeper.visit(finish).await;
}

async fn copy(
    shared: &Arc<Shared>,
    key: &Key,
    fingerprint: u64,
    answer: crosslane_state::answer::Answer,
) {
    let wanted = key.clone();
    let next = shared.keeper.visit(move |node, _| node.successor(&wanted).cloned()).await;
    let Some(next) = next else {
        return;
    };
    let ending = Ending { key: key.clone(), fingerprint, answer: Some(answer) };
    let call =
        |client: PeerClient, context| async move { client.handover(context, vec![ending]).await };
    let _ = shared.peers.call(next.control, COPY, call).await;
}

/// Answers from a tape.
async fn render(
    shared: &Arc<Shared>,
    asked: &Asked,
    key: &Key,
    reader: Option<Reader>,
    progress: Progress,
) -> Result<Response<Reply>, Refusal> {
    let mut reader = reader.ok_or_else(abandoned)?;
    let mut response = match &asked.target {
        Target::Model(completion) if completion.stream => {
            streamed(shared, completion, key, reader, progress).await?
        }
        Target::Model(completion) => {
            let pieces = finished(shared, reader.whole().await)?;
            let text: Vec<u8> = pieces.concat();
            let text = String::from_utf8_lossy(&text);
            http::json(200, &completion.whole(key.as_str(), &text, pieces.len() as u64))
        }
        Target::Service(_) => {
            let pieces = finished(shared, reader.whole().await)?;
            service(&reader, pieces)
        }
    };
    if let Ok(value) = HeaderValue::from_str(key.as_str()) {
        response.headers_mut().insert(REQUEST, value);
    }
    Ok(response)
}

/// The refusal of a request that meets a run which every caller has left.
fn abandoned() -> Refusal {
    Refusal::unknown(Code::CallerLeft, "the earlier request is being abandoned")
        .retry_after(NOT_READY_MILLIS)
}

fn finished(shared: &Shared, (pieces, end): (Vec<Bytes>, End)) -> Result<Vec<Bytes>, Refusal> {
    match end {
        End::Done => {
            shared.metrics.count(Counter::Answers);
            Ok(pieces)
        }
        End::Refused(refusal) => Err(refusal),
    }
}

fn service(reader: &Reader, pieces: Vec<Bytes>) -> Response<Reply> {
    let mut response = Response::new(http::full(pieces.concat()));
    if let Some(head) = reader.head() {
        *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::OK);
        if let Ok(value) = HeaderValue::from_str(&head.content_type) {
            response.headers_mut().insert(CONTENT_TYPE, value);
        }
    }
    response
}

/// A stream of server-sent events on its way to a caller.
struct Events {
    shared: Arc<Shared>,
    completion: Completion,
    id: String,
    reader: Reader,
    generated: u64,
    first: Option<tape::Step>,
    ended: bool,
    _progress: Progress,
}

/// Answers by server-sent events; a refusal before the first piece is an answer of its own.
async fn streamed(
    shared: &Arc<Shared>,
    completion: &Completion,
    key: &Key,
    mut reader: Reader,
    progress: Progress,
) -> Result<Response<Reply>, Refusal> {
    let started = shared.clock.now();
    let first = match reader.next().await {
        tape::Step::End(End::Refused(refusal)) => return Err(refusal),
        step => step,
    };
    shared.metrics.first_output(shared.clock.now().since(started));
    let events = Events {
        shared: shared.clone(),
        completion: completion.clone(),
        id: key.as_str().to_owned(),
        reader,
        generated: 0,
        first: Some(first),
        ended: false,
        _progress: progress,
    };
    let frames = stream::unfold(events, |mut events| async move {
        let data = events.next().await?;
        Some((Ok::<_, BodyError>(Frame::data(data)), events))
    });
    let mut response = Response::new(StreamBody::new(frames).boxed());
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    Ok(response)
}

impl Events {
    async fn next(&mut self) -> Option<Bytes> {
        if self.ended {
            return None;
        }
        let step = match self.first.take() {
            Some(step) => step,
            None => self.reader.next().await,
        };
        Some(match step {
            tape::Step::Piece(piece) => {
                self.generated += 1;
                let text = String::from_utf8_lossy(&piece);
                event(&self.completion.chunk(&self.id, &text))
            }
            tape::Step::End(End::Done) => {
                self.ended = true;
                self.shared.metrics.count(Counter::Answers);
                let last = event(&self.completion.last_chunk(&self.id, self.generated));
                Bytes::from([last.as_ref(), b"data: [DONE]\n\n"].concat())
            }
            tape::Step::End(End::Refused(refusal)) => {
                self.ended = true;
                self.shared.metrics.refused(refusal.code);
                event(&refusal::Body { error: refusal })
            }
        })
    }
}

/// One server-sent event with a JSON body.
pub fn event(body: &impl serde::Serialize) -> Bytes {
    Bytes::from(format!("data: {}\n\n", serde_json::to_string(body).unwrap_or_default()))
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
