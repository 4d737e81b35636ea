//! HTTP listeners: accept callers' connections, serve their requests and log how each request ended; others serve
//! readiness and metrics.

use crate::cut::{Cut, Side};
use crate::event;
use crate::exchange::Call;
use crate::forward::{self, Origin};
use crate::load::{BACKLOG, Open};
use crate::node::{InFlight, Node, ResponseBody, lock};
use crate::quota::Grant;
use crate::refusal::{RETRY_AFTER, Reason, Refusal};
use crate::resume::{self, Finding};
use crate::{plain, quarantine, quota, shutdown, stream};
use bytes::Bytes;
use crosslane_coordination::identity;
use crosslane_coordination::intake::Verdict;
use crosslane_platform::request::Metadata;
use crosslane_platform::response;
use crosslane_state::endpoint::Tag;
use crosslane_state::hash;
use crosslane_state::organisation::Organisation;
use crosslane_state::priority::Priority;
use crosslane_state::residency::Residency;
use crosslane_state::route::{Engine, Kind, Limits, Route, Table};
use crosslane_state::segment::Segment;
use crosslane_transport::clock::Deadline;
use crosslane_transport::connection::{self, Closer};
use crosslane_transport::http::{self, ReadError};
use crosslane_transport::metered::Metered;
use crosslane_transport::unframed::{self, UnderWay};
use crosslane_transport::{ack, framing};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Version};
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{debug, info, warn};
use socket2::SockRef;
use std::convert::Infallible;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::{Pin, pin};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, OnceLock};
use std::task::{Context, Poll, ready};
use std::thread;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{Instant, sleep};
use tokio_util::task::TaskTracker;

/// Ending: the caller disconnected before the end.
const CALLER_LEFT: &str = "caller_left";

/// Ending: the whole response was sent.
const ANSWERED: &str = "answered";

/// Ending: the response was cut.
const CUT: &str = "cut";

/// Limits in force until a configuration is known.
const DEFAULT_LIMITS: Limits = Limits {
    max_header_bytes: 16_384,
    max_body_bytes: 4 << 20,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
};

/// Smallest buffer size that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Pause after a failed accept: the process may be out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts connections of callers, or of other nodes, forever; `connections` tracks their tasks. While the node is full, callers'
/// connections are refused: one that is accepted brings its request, and closing it unread would not free the link.
pub async fn run(
    node: Arc<Node>,
    mut listener: TcpListener,
    origin: Origin,
    connections: TaskTracker,
) {
    let (mut accepting, mut backlog) = (true, BACKLOG);
    loop {
        if origin == Origin::Caller {
            if node.load.is_full() {
                (listener, backlog) = reopen(&node, listener).await;
            }
            backlog = widen(&node, &listener, backlog);
        }
        let accepted = listener.accept().await;
        if let Err(error) = &accepted
            && accepting
        {
            warn!(dependency = "callers", why:% = error; "{}", event::LOST);
        }
        accepting = accepted.is_ok();
        match accepted {
            Ok((stream, from)) => {
                let (node, accepted) = (node.clone(), Instant::now());
                connections.spawn(async move {
                    if takes(&node, accepted.elapsed(), origin) {
                        serve(node, stream, from.ip(), origin).await;
                    }
                });
            }
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Gives a listener's queue, of this length, as much room again as the node has.
fn widen(node: &Node, listener: &TcpListener, backlog: usize) -> usize {
    let room = node.load.room();
    if room < 2 * backlog && room < BACKLOG || room <= backlog {
        return backlog;
    }
    match SockRef::from(listener).listen(i32::try_from(room).unwrap_or(i32::MAX)) {
        Ok(()) => room,
        Err(error) => {
            warn!(dependency = "callers", why:% = error; "{}", event::LOST);
            backlog
        }
    }
}

/// Closes a listener, so that connections are refused, and opens it again once the node takes new ones. Returns the length of
/// its queue too.
async fn reopen(node: &Node, listener: TcpListener) -> (TcpListener, usize) {
    let address = node.settings.caller_address;
    drop(listener);
    node.load.until_room(node.shortest_target().unwrap_or_default()).await;
    let mut failures = 0_u64;
    loop {
        let room = node.load.room();
        match listen(address, room) {
            Ok(listener) if failures > 0 => {
                info!(dependency = "callers", failures; "{}", event::REGAINED);
                return (listener, room);
            }
            Ok(listener) => return (listener, room),
            Err(error) if failures == 0 => {
                warn!(dependency = "callers", why:% = error; "{}", event::LOST);
            }
            Err(_) => {}
        }
        failures += 1;
        sleep(ACCEPT_PAUSE).await;
    }
}

/// Listens with room for some connections that are not accepted yet: what else arrived meanwhile would fill the link.
fn listen(address: SocketAddr, room: usize) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(u32::try_from(room).unwrap_or(u32::MAX))
}

/// Whether a new connection is served, whose task waited for the processor. What other nodes forward has been read by them.
fn takes(node: &Node, waited: Duration, origin: Origin) -> bool {
    let Some(target) = node.shortest_target() else { return true };
    node.load.decide(waited, target, node.now()) == Verdict::Take || origin == Origin::Node
}

/// How a caller's connection failed, once it has.
type ConnectionError = Arc<OnceLock<hyper::Error>>;

async fn serve(node: Arc<Node>, stream: TcpStream, caller: IpAddr, origin: Origin) {
    let stream = ack::Stream::new(stream, {
        let node = node.clone();
        move || node.ack_timeout()
    });
    let unframed = UnderWay::default();
    let stream = unframed::Stream::new(stream, unframed.clone());
    let meter = node.load.link.clone();
    let limits = node.table().map_or(DEFAULT_LIMITS, |table| table.limits);
    let mut stop = node.stopping.subscribe();
    let stopping = stop.borrow_and_update().is_some();
    let failed = ConnectionError::default();
    let first = Arc::new(Mutex::new(Some(node.load.open())));
    let service = service_fn({
        let (node, failed) = (node.clone(), failed.clone());
        move |request| {
            let (node, failed, unframed) = (node.clone(), failed.clone(), unframed.clone());
            let open = lock(&first).take().unwrap_or_else(|| node.load.open());
            async move {
                let source = Source { caller, origin, open };
                let sends = Sends::new(&request);
                let response = handle(node, request, source, failed).await;
                Ok::<_, Infallible>(sends.watch(response, unframed))
            }
        }
    });
    let connection = http1::Builder::new()
        .keep_alive(!stopping)
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.idle_timeout_ms))
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(Metered::new(stream, meter)), service);
    let mut connection = pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        _ = stop.changed() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        debug!("caller's connection failed: {error}");
        // Known before the connection drops its request, whose log entry tells it.
        let _ = failed.set(error);
    }
}

/// What tells a caller where the body of its response ends, as far as its request decides.
#[derive(Clone, Copy)]
struct Sends {
    chunks: bool,
    body: bool,
}

impl Sends {
    fn new(request: &Request<Incoming>) -> Self {
        let chunks = request.version() >= Version::HTTP_11;
        Self { chunks, body: request.method() != Method::HEAD }
    }

    /// Has the connection reset if the response is cut and the caller could not tell.
    fn watch(
        self,
        response: Response<ResponseBody>,
        under_way: UnderWay,
    ) -> Response<ResponseBody> {
        let status = response.status();
        let has_body =
            self.body && ![StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&status);
        let has_length =
            framing::is_framed(response.headers()) || response.body().size_hint().exact().is_some();
        if self.chunks || !has_body || has_length {
            return response;
        }
        under_way.set(true);
        response.map(|body| ResponseBody::new(UnframedBody { body, under_way }))
    }
}

/// Response body that neither a length nor chunks frame.
struct UnframedBody {
    body: ResponseBody,
    under_way: UnderWay,
}

impl Body for UnframedBody {
    type Data = Bytes;
    type Error = http::BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        let failed = matches!(frame, Some(Err(_)));
        if !failed && (frame.is_none() || self.body.is_end_stream()) {
            self.under_way.set(false);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Where a request comes from.
struct Source {
    caller: IpAddr,
    origin: Origin,
    /// Counts it as open.
    open: Open,
}

async fn handle(
    node: Arc<Node>,
    request: Request<Incoming>,
    source: Source,
    failed: ConnectionError,
) -> Response<ResponseBody> {
    let Source { caller, origin, open } = source;
    let arrived = Instant::now();
    let parsed = match origin {
        Origin::Caller => Metadata::try_from(request.headers()),
        Origin::Node => Metadata::from_node(request.headers()),
    };
    let id = parsed.as_ref().ok().map(|ask| ask.id.clone());
    let mut entry = LogEntry::new(node.clone(), id.clone(), caller, arrived, failed);
    entry.counted = Some(open);
    let result = match parsed {
        Ok(ask) => serve_request(&node, request, ask, origin, &mut entry).await,
        Err(_) => Err(Reason::NoId.into()),
    };
    let reason = result.as_ref().err().map(|refusal| refusal.reason);
    let mut response = match result {
        Ok(response) => response,
        Err(refusal) => {
            node.metrics.count_refusal(refusal.reason);
            entry.ending = refusal.reason.name();
            refusal.into_response(id.as_deref())
        }
    };
    origin.mark(&mut response, reason);
    let leaves_room = origin == Origin::Caller && node.load.is_full();
    if leaves_room || node.stopping.borrow().is_some() {
        response::set_connection_close(response.headers_mut());
    }
    entry.status = response.status();
    entry.bytes_left = response::content_length(response.headers());
    let empty = response.body().is_end_stream() || entry.bytes_left == Some(0);
    if empty && entry.ending == CALLER_LEFT {
        entry.ending = ANSWERED;
    }
    response.map(|body| ResponseBody::new(LoggedBody { body, entry }))
}

async fn serve_request(
    node: &Arc<Node>,
    request: Request<Incoming>,
    mut ask: Metadata,
    origin: Origin,
    entry: &mut LogEntry,
) -> Result<Response<ResponseBody>, Refusal> {
    let Some(mut table) = node.table() else {
        return Err(Refusal::retry_after(Reason::NotReady, RETRY_AFTER));
    };
    if !node.is_up_to_date() {
        return Err(Refusal::retry_after(Reason::NotReady, RETRY_AFTER));
    }
    let arrived = entry.arrived;
    let (head, body) = request.into_parts();
    if authorize(&table, &ask, head.uri.path()).is_err() {
        table = node.newer_table(table).await;
    }
    entry.version = table.version;
    let (route, organisation) = authorize(&table, &ask, head.uri.path())?;
    entry.route.clone_from(&route.name);
    if table.organisations.is_some() {
        ask.set_organisation(organisation.map(|known| known.name.as_str()));
        entry.organisation.clone_from(&ask.organisation);
    }
    entry.resumes.clone_from(&ask.resumes);
    let deadline = node.clock.deadline(ask.time_limit(route.timeout_ms));
    let caller_deadline =
        ask.timeout.map_or_else(|| deadline.clone(), |patience| node.clock.deadline(patience));
    entry.deadline = Some(deadline.clone());
    let body = read_body(body, table.limits, deadline.left()).await?;
    let (metadata, fingerprint) = (Arc::new(ask), Arc::default());
    let finding = resume::find(node, &metadata, route).await.map_err(stream::retry_later)?;
    let service = choose_service(node, route, &metadata.id, finding)
        .ok_or_else(|| stream::retry_later(Reason::NoVersion))?;
    let tokens = metadata.estimated_output_tokens();
    shutdown::check(node, route, service, tokens, deadline.left())?;
    entry.open = Some(node.begin_request(service, tokens));
    let mut parts = hyper::http::uri::Parts::default();
    parts.path_and_query = head.uri.path_and_query().cloned();
    let uri = hyper::Uri::from_parts(parts).map_err(|_| Reason::NoRoute)?;
    let method = head.method;
    let segments = metadata.shared_segment_ids.iter().map(|id| Segment::new(service, id)).collect();
    let anywhere = Residency::ANYWHERE;
    let residency = route.residency.and(organisation.map_or(&anywhere, |known| &known.residency));
    let grant = Arc::new(Grant::unlimited(node));
    let call = Call {
        metadata,
        method,
        uri,
        body,
        arrived,
        deadline,
        caller_deadline,
        fingerprint,
        segments,
        grant,
        residency,
        priority: Priority {
            organisation: organisation.map_or(0, |known| known.priority),
            route: route.priority,
        },
        build: Arc::new(match finding {
            Finding::Began(build) => OnceLock::from(build),
            Finding::New | Finding::Unobserved => OnceLock::new(),
        }),
        connected: Arc::default(),
        prefilled: Arc::default(),
        may_forward: true,
    };
    let engine = table.services.get(service).and_then(|config| config.engine);
    let forwardable = forward::Request::new(&call, route);
    let target = Target { route, organisation, service, engine };
    dispatch(node, origin, target, call, forwardable).await
}

/// Where a request goes by the configuration.
#[derive(Clone, Copy)]
struct Target<'a> {
    route: &'a Route,
    organisation: Option<&'a Organisation>,
    service: &'a str,
    engine: Option<Engine>,
}

/// Serves a call here, or at another node if this one has no way to the service.
async fn dispatch(
    node: &Arc<Node>,
    origin: Origin,
    target: Target<'_>,
    mut call: Call,
    forwardable: forward::Request,
) -> Result<Response<ResponseBody>, Refusal> {
    let Target { route, organisation, service, .. } = target;
    if node.has_lost(service) {
        if origin == Origin::Node {
            return Err(Refusal::retry_after(Reason::Unreachable, RETRY_AFTER));
        }
        if let Some(result) = forward(node, service, &forwardable).await {
            return result;
        }
        // No other node serves it either, so this one tries all that it has.
        call.may_forward = false;
    }
    let (total_tokens, id) = (call.metadata.total_tokens(), call.metadata.id.clone());
    let grant =
        quota::acquire_for_organisation(node, organisation, route, total_tokens, &id).await?;
    call.grant = Arc::new(grant);
    let counted_at = node.count_request(service);
    let (may_forward, prefilled) = (call.may_forward, call.prefilled.clone());
    match place_before_kill(node, target, call).await {
        Err(refusal) if refusal.reason == Reason::Unreachable && may_forward => {
            // The next node counts the request, and has the prompt prefilled again.
            node.withdraw_request(service, counted_at);
            if prefilled.load(Ordering::Relaxed) && !node.take_retry(service, &id).await {
                return Err(Refusal::retry_after(Reason::Refused, RETRY_AFTER));
            }
            match origin {
                Origin::Caller => {
                    forward(node, service, &forwardable).await.unwrap_or(Err(refusal))
                }
                Origin::Node => Err(refusal),
            }
        }
        result => result,
    }
}

/// Sends a request to other nodes; `None` if none took it.
async fn forward(
    node: &Arc<Node>,
    service: &str,
    request: &forward::Request,
) -> Option<Result<Response<ResponseBody>, Refusal>> {
    let sent = shutdown::before_kill(node, request.send(node, service)).await;
    sent.unwrap_or_else(|| Some(Err(Reason::GraceOver.into())))
}

/// Serves a call, or answers it shortly before the node is killed if there is no response yet.
async fn place_before_kill(
    node: &Arc<Node>,
    target: Target<'_>,
    call: Call,
) -> Result<Response<ResponseBody>, Refusal> {
    let grant = call.grant.clone();
    let placed = shutdown::before_kill(node, place(node, target, call)).await;
    placed.unwrap_or_else(|| match grant.was_sent() {
        true => Err(Reason::GraceOver.into()),
        false => Err(Refusal::retry_after(Reason::Stopping, RETRY_AFTER)),
    })
}

/// Serves a call at endpoints that this node reaches.
async fn place(
    node: &Arc<Node>,
    target: Target<'_>,
    call: Call,
) -> Result<Response<ResponseBody>, Refusal> {
    let Target { route, service, engine, .. } = target;
    quarantine::check(node, &call).map_err(|failure| quarantine::refusal(node, &call, failure))?;
    match (route.kind, engine) {
        (Kind::Stream { .. }, Some(engine)) => {
            let generation =
                stream::Generation::new(node.clone(), route.clone(), service.into(), engine, call);
            generation.start().await
        }
        (Kind::Stream { .. }, None) if call.is_unbound() => {
            Err(stream::retry_later(Reason::UnknownStream))
        }
        _ => plain::run(node, route, service, &call).await,
    }
}

/// Matches a request to its route and authenticates its organisation.
fn authorize<'a>(
    table: &'a Table,
    ask: &Metadata,
    path: &str,
) -> Result<(&'a Route, Option<&'a Organisation>), Reason> {
    let route = table.find(&ask.host, path).ok_or(Reason::NoRoute)?;
    let organisation = identity::identify(table, route, ask.credential)?;
    Ok((route, organisation))
}

async fn read_body(body: Incoming, limits: Limits, left: Duration) -> Result<Bytes, Refusal> {
    http::read_body(body, limits.max_body_bytes, left).await.map_err(|error| match error {
        ReadError::TooLong => Reason::BodyTooLong.into(),
        ReadError::Incomplete => Refusal::retry_after(Reason::BodyIncomplete, RETRY_AFTER),
    })
}

/// Service that serves a request: the one that began the stream, if its route still leads there, or one chosen by a hash of the
/// request id and the weights of the route.
fn choose_service<'a>(
    node: &Node,
    route: &'a Route,
    id: &str,
    finding: Finding,
) -> Option<&'a str> {
    let Finding::Began(build) = finding else {
        return Some(choose_by_weight(route, id));
    };
    let pool = node.pool();
    let mut services = route.shares.iter().map(|share| share.service.as_str());
    services.find(|service| pool.builds().lists(Tag::of(service), build))
}

fn choose_by_weight<'a>(route: &'a Route, id: &str) -> &'a str {
    let total: u64 = route.shares.iter().map(|share| u64::from(share.weight)).sum();
    let mut point = hash::of(id.as_bytes()) % total.max(1);
    for share in &route.shares {
        let weight = u64::from(share.weight);
        if point < weight {
            return &share.service;
        }
        point -= weight;
    }
    route.shares.first().map_or("", |share| &share.service)
}

/// Log line of a request, written when it is dropped.
struct LogEntry {
    node: Arc<Node>,
    id: Option<String>,
    route: String,
    organisation: Option<String>,
    /// Request that began the stream, if this one resumes it.
    resumes: Option<String>,
    version: u64,
    caller: IpAddr,
    arrived: Instant,
    status: StatusCode,
    ending: &'static str,
    /// Counts the request as open at this node.
    counted: Option<Open>,
    /// Entry among the requests in flight, once the service is known.
    open: Option<InFlight>,
    /// When the last frame of the response was sent.
    last_frame: Option<Instant>,
    /// Time from the request's arrival to the first frame.
    first: Duration,
    /// Longest time between two frames.
    gap: Duration,
    /// Bytes of the response still to be sent, if its length is known.
    bytes_left: Option<u64>,
    /// Deadline of the request, once its route is known.
    deadline: Option<Deadline>,
    /// Error of the caller's connection, once it failed.
    failed: ConnectionError,
}

impl LogEntry {
    fn new(
        node: Arc<Node>,
        id: Option<String>,
        caller: IpAddr,
        arrived: Instant,
        failed: ConnectionError,
    ) -> Self {
        let route = String::new();
        // If nothing else is recorded, the caller disconnected before there was a response or a refusal.
        let (status, ending) = (StatusCode::OK, CALLER_LEFT);
        let (last_frame, first, gap) = (None, Duration::ZERO, Duration::ZERO);
        let (bytes_left, deadline) = (None, None);
        let (organisation, resumes, version, counted, open) = (None, None, 0, None, None);
        Self {
            node,
            id,
            route,
            organisation,
            resumes,
            version,
            caller,
            arrived,
            status,
            ending,
            counted,
            open,
            last_frame,
            first,
            gap,
            bytes_left,
            deadline,
            failed,
        }
    }

    /// Logs who ended the response before its end.
    fn log_cut(&self) {
        let (by, why) = match self.failed.get() {
            _ if thread::panicking() => (Side::Node, "panic".into()),
            Some(error) => (Side::new(Closer::of(error), Side::Caller), connection::cause(error)),
            None => (Side::Node, "connection dropped".into()),
        };
        let missing = match (self.last_frame, self.bytes_left) {
            (None, _) => "everything".into(),
            (Some(_), Some(bytes)) => format!("{bytes} bytes"),
            (Some(_), None) => "the end".into(),
        };
        let left = self.deadline.as_ref().map_or(Duration::ZERO, Deadline::left);
        Cut {
            request: self.id.as_deref().unwrap_or_default(),
            by,
            to: "",
            missing: &missing,
            bound: "caller's connection",
            why: &why,
            left_ms: left.as_millis() as u64,
        }
        .log();
    }

    /// Records that a frame of the response was sent.
    fn frame_sent(&mut self, bytes: usize) {
        let now = Instant::now();
        self.bytes_left = self.bytes_left.map(|left| left.saturating_sub(bytes as u64));
        match self.last_frame.replace(now) {
            None => self.first = now - self.arrived,
            Some(before) => self.gap = self.gap.max(now - before),
        }
    }
}

impl Drop for LogEntry {
    fn drop(&mut self) {
        self.node.metrics.count_ending(self.ending);
        if self.ending == CALLER_LEFT {
            self.log_cut();
        }
        if let Some(open) = self.open.take() {
            self.node.end_request(open, self.ending == ANSWERED && self.status.is_success());
        }
        let request = self.id.as_deref().unwrap_or_default();
        let status = self.status.as_u16();
        let took_ms = self.arrived.elapsed().as_millis() as u64;
        if self.ending != ANSWERED {
            self.gap = self.gap.max(self.last_frame.map_or(Duration::ZERO, |at| at.elapsed()));
        }
        let first_ms = self.first.as_millis() as u64;
        let gap_ms = self.gap.as_millis() as u64;
        let (route, ending, version) = (self.route.as_str(), self.ending, self.version);
        let (caller, organisation) =
            (self.caller, self.organisation.as_deref().unwrap_or_default());
        let resumes = self.resumes.as_deref().unwrap_or_default();
        info!(request, caller:%, organisation, resumes, route, version, status, ending, took_ms, first_ms, gap_ms; "{}", event::REQUEST);
    }
}

/// Response body that records in the log entry how the request ended.
struct LoggedBody {
    body: ResponseBody,
    entry: LogEntry,
}

impl Body for LoggedBody {
    type Data = Bytes;
    type Error = http::BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        if let Some(Ok(frame)) = &frame {
            self.entry.frame_sent(frame.data_ref().map_or(0, Bytes::len));
        }
        // hyper stops polling once a known length is reached.
        let ended =
            frame.is_none() || self.body.is_end_stream() || self.entry.bytes_left == Some(0);
        if self.entry.ending == CALLER_LEFT {
            match &frame {
                Some(Err(_)) => self.entry.ending = CUT,
                _ if ended => self.entry.ending = ANSWERED,
                _ => {}
            }
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Serves the metrics under their path, and readiness under every other path.
pub async fn serve_status(node: Arc<Node>, listener: TcpListener, metrics: &'static str) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let node = node.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let response = status_response(&node, request.uri().path(), metrics);
                async move { Ok::<_, Infallible>(response) }
            });
            let served = http1::Builder::new()
                .max_buf_size(MIN_BUFFER_BYTES)
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = served {
                debug!("status connection failed: {error}");
            }
        });
    }
}

fn status_response(node: &Node, path: &str, metrics: &str) -> Response<ResponseBody> {
    let (status, body) = match path {
        path if path == metrics => match node.metrics.encode() {
            Ok(text) => (StatusCode::OK, Bytes::from(text)),
            Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string().into()),
        },
        _ if node.ready() => (StatusCode::OK, Bytes::from_static(b"ready")),
        _ => (StatusCode::SERVICE_UNAVAILABLE, Bytes::from_static(b"not ready")),
    };
    let mut response = Response::new(http::full(body));
    *response.status_mut() = status;
    *response.headers_mut() = HeaderMap::new();
    response
}
