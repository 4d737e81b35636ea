//! Connections of callers, from accept to the last answer.

use crate::event;
use crate::exchange::Call;
use crate::node::{Node, Open, Reply};
use crate::refusal::{COME_BACK, Reason, Refusal};
use crate::{plain, quarantine, quota, stopping, stream};
use bytes::Bytes;
use crosslane_coordination::identity;
use crosslane_platform::request::Metadata;
use crosslane_platform::response;
use crosslane_state::hash;
use crosslane_state::organisation::Organisation;
use crosslane_state::route::{Kind, Limits, Route, Table};
use crosslane_transport::connection;
use crosslane_transport::http::{self, ReadError};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{debug, info};
use std::convert::Infallible;
use std::net::IpAddr;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep};
use tokio_util::task::TaskTracker;

/// The caller left before the end.
const CALLER_LEFT: &str = "caller_left";

/// The whole answer was passed on.
const ANSWERED: &str = "answered";

/// The answer was broken off.
const CUT: &str = "cut";

/// Limits before a configuration is known.
const UNCONFIGURED: Limits = Limits {
    max_header_bytes: 16_384,
    max_body_bytes: 4 << 20,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
};

/// Smallest buffer that hyper takes, in bytes.
const LEAST_BUFFER: usize = 8_192;

/// Pause after a failed accept: descriptors may be short.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts callers for good; their connections are tracked.
pub async fn run(node: Arc<Node>, listener: TcpListener, connections: TaskTracker) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                connections.spawn(serve(node.clone(), stream, from.ip()));
            }
            Err(error) => {
                debug!("accept: {error}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(node: Arc<Node>, stream: TcpStream, caller: IpAddr) {
    if let Err(error) = connection::prepare(&stream) {
        debug!("options of a caller's connection: {error}");
    }
    let limits = node.table().map_or(UNCONFIGURED, |it| it.limits);
    let mut stop = node.stopping.subscribe();
    let stopping = stop.borrow_and_update().is_some();
    let service = service_fn({
        let node = node.clone();
        move |request| {
            let node = node.clone();
            async move { Ok::<_, Infallible>(handle(node, request, caller).await) }
        }
    });
    let connection = http1::Builder::new()
        .keep_alive(!stopping)
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.idle_timeout_ms))
        .max_buf_size(limits.max_header_bytes.max(LEAST_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        _ = stop.changed() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        debug!("a caller's connection ended: {error}");
    }
}

async fn handle(node: Arc<Node>, request: Request<Incoming>, caller: IpAddr) -> Response<Reply> {
    let arrived = Instant::now();
    let asked = Metadata::try_from(request.headers());
    let id = asked.as_ref().ok().map(|it| it.id.clone());
    let mut story = Story::new(node.clone(), id.clone(), caller, arrived);
    let answered = match asked {
        Ok(ask) => answer_to(&node, request, ask, &mut story).await,
        Err(_) => Err(Reason::NoId.into()),
    };
    let mut response = match answered {
        Ok(response) => response,
        Err(refusal) => {
            node.meter.refused(refusal.reason);
            story.ending = refusal.reason.name();
            refusal.answer(id.as_deref())
        }
    };
    if node.stopping.borrow().is_some() {
        response::set_connection_close(response.headers_mut());
    }
    story.status = response.status();
    story.left = response::content_length(response.headers());
    if response.body().is_end_stream() && story.ending == CALLER_LEFT {
        story.ending = ANSWERED;
    }
    response.map(|body| Reply::new(Told { body, story }))
}

async fn answer_to(
    node: &Arc<Node>,
    request: Request<Incoming>,
    mut ask: Metadata,
    story: &mut Story,
) -> Result<Response<Reply>, Refusal> {
    let Some(mut table) = node.table() else {
        return Err(Refusal::later(Reason::NotReady, COME_BACK));
    };
    if !node.caught_up() {
        return Err(Refusal::later(Reason::NotReady, COME_BACK));
    }
    let arrived = story.arrived;
    let (head, body) = request.into_parts();
    if allowed(&table, &ask, head.uri.path()).is_err() {
        table = node.newer_table(table).await;
    }
    story.version = table.version;
    let (route, organisation) = allowed(&table, &ask, head.uri.path())?;
    story.route.clone_from(&route.name);
    if table.organisations.is_some() {
        ask.set_organisation(organisation.map(|it| it.name.as_str()));
        story.organisation.clone_from(&ask.organisation);
    }
    let held = Duration::from_millis(route.timeout_ms);
    let deadline = node.clock.deadline(ask.timeout.map_or(held, |it| it.min(held)));
    let body = read(body, table.limits, deadline.left()).await?;
    let service = share(route, &ask.id);
    stopping::check(node, route, service, deadline.left())?;
    node.count_request(service);
    story.open = Some(node.begin(service));
    let mut parts = hyper::http::uri::Parts::default();
    parts.path_and_query = head.uri.path_and_query().cloned();
    let uri = hyper::Uri::from_parts(parts).map_err(|_| Reason::NoRoute)?;
    let method = head.method;
    let grant = quota::take(node, organisation, ask.total_tokens(), &ask.id).await?;
    let (ask, print, grant) = (Arc::new(ask), Arc::default(), Arc::new(grant));
    let call = Call { ask, method, uri, body, arrived, deadline, print, grant };
    quarantine::check(node, &call).map_err(|it| quarantine::refusal(node, &call, it))?;
    let engine = table.services.get(service).and_then(|it| it.engine);
    match (route.kind, engine) {
        (Kind::Stream { .. }, Some(engine)) => {
            let run = stream::Run::new(node.clone(), route.clone(), service.into(), engine, call);
            run.start().await
        }
        _ => plain::run(node, route, service, &call).await,
    }
}

/// The route that a request takes, and whose it is.
fn allowed<'a>(
    table: &'a Table,
    ask: &Metadata,
    path: &str,
) -> Result<(&'a Route, Option<&'a Organisation>), Reason> {
    let route = table.find(&ask.host, path).ok_or(Reason::NoRoute)?;
    let organisation = identity::identify(table, route, ask.credential)?;
    Ok((route, organisation))
}

async fn read(body: Incoming, limits: Limits, left: Duration) -> Result<Bytes, Refusal> {
    http::read(body, limits.max_body_bytes, left).await.map_err(|error| match error {
        ReadError::TooLong => Reason::TooLong.into(),
        ReadError::Incomplete => Refusal::later(Reason::Incomplete, COME_BACK),
    })
}

/// The service that a request falls to, by the weights of its route.
fn share<'a>(route: &'a Route, id: &str) -> &'a str {
    let total: u64 = route.shares.iter().map(|it| u64::from(it.weight)).sum();
    let mut place = hash::of(id.as_bytes()) % total.max(1);
    for share in &route.shares {
        let weight = u64::from(share.weight);
        if place < weight {
            return &share.service;
        }
        place -= weight;
    }
    route.shares.first().map_or("", |it| &it.service)
}

/// What is told of a request when it ends.
struct Story {
    node: Arc<Node>,
    id: Option<String>,
    route: String,
    organisation: Option<String>,
    version: u64,
    caller: IpAddr,
    arrived: Instant,
    status: StatusCode,
    ending: &'static str,
    /// What it counts for among the requests under way, once its service is known.
    open: Option<Open>,
    /// When the last piece of the answer was passed on.
    piece: Option<Instant>,
    /// Time from the request's arrival to the first piece.
    first: Duration,
    /// Longest time between two pieces.
    gap: Duration,
    /// Bytes of the answer that are still to be passed on, if its length is known.
    left: Option<u64>,
}

impl Story {
    fn new(node: Arc<Node>, id: Option<String>, caller: IpAddr, arrived: Instant) -> Self {
        let route = String::new();
        // Unless it gets to an answer or a refusal, the caller left before.
        let (status, ending) = (StatusCode::OK, CALLER_LEFT);
        let (piece, first, gap) = (None, Duration::ZERO, Duration::ZERO);
        let left = None;
        let (organisation, version, open) = (None, 0, None);
        Self {
            node,
            id,
            route,
            organisation,
            version,
            caller,
            arrived,
            status,
            ending,
            open,
            piece,
            first,
            gap,
            left,
        }
    }

    /// Notes that a piece of the answer was passed on.
    fn passed(&mut self, bytes: usize) {
        let now = Instant::now();
        self.left = self.left.map(|it| it.saturating_sub(bytes as u64));
        match self.piece.replace(now) {
            None => self.first = now - self.arrived,
            Some(before) => self.gap = self.gap.max(now - before),
        }
    }
}

impl Drop for Story {
    fn drop(&mut self) {
        self.node.meter.ending(self.ending);
        if let Some(open) = self.open.take() {
            self.node.end(open, self.ending == ANSWERED && self.status.is_success());
        }
        let request = self.id.as_deref().unwrap_or_default();
        let status = self.status.as_u16();
        let took_ms = self.arrived.elapsed().as_millis() as u64;
        if self.ending != ANSWERED {
            self.gap = self.gap.max(self.piece.map_or(Duration::ZERO, |it| it.elapsed()));
        }
        let first_ms = self.first.as_millis() as u64;
        let gap_ms = self.gap.as_millis() as u64;
        let (route, ending, version) = (self.route.as_str(), self.ending, self.version);
        let (caller, organisation) =
            (self.caller, self.organisation.as_deref().unwrap_or_default());
        info!(request, caller:%, organisation, route, version, status, ending, took_ms, first_ms, gap_ms; "{}", event::REQUEST);
    }
}

/// A body that tells how its request ended.
struct Told {
    body: Reply,
    story: Story,
}

impl Body for Told {
    type Data = Bytes;
    type Error = http::BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        if let Some(Ok(frame)) = &frame {
            self.story.passed(frame.data_ref().map_or(0, Bytes::len));
        }
        // Nobody asks for more once a known length is reached.
        let ended = frame.is_none() || self.body.is_end_stream() || self.story.left == Some(0);
        if self.story.ending == CALLER_LEFT {
            match &frame {
                Some(Err(_)) => self.story.ending = CUT,
                _ if ended => self.story.ending = ANSWERED,
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

/// Answers whether callers may be sent here, and with metrics under their path.
pub async fn status(node: Arc<Node>, listener: TcpListener, metrics: &'static str) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let node = node.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let response = tell(&node, request.uri().path(), metrics);
                async move { Ok::<_, Infallible>(response) }
            });
            let served = http1::Builder::new()
                .max_buf_size(LEAST_BUFFER)
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = served {
                debug!("a status connection ended: {error}");
            }
        });
    }
}

fn tell(node: &Node, path: &str, metrics: &str) -> Response<Reply> {
    let (status, body) = match path {
        path if path == metrics => match node.meter.text() {
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
