//! Callers who come back with a stream that broke off: finds the build that began it, since it goes on at no other one.
//!
//! The node at which a stream begins tells some other nodes before the first event leaves. A caller may come back to any node,
//! which asks those if it was not told itself. What nobody knows is refused, unless no other build can have begun it.

use crate::builds;
use crate::event;
use crate::exchange::Call;
use crate::members::Message;
use crate::mirror::Topic;
use crate::node::{Node, lock};
use crate::peers;
use crate::refusal::Reason;
use crosslane_coordination::streams::{Conclusion, Knowledge, Name, Record, conclude};
use crosslane_platform::request::Metadata;
use crosslane_state::build::Build;
use crosslane_state::endpoint::Tag;
use crosslane_state::route::{Kind, Route};
use derive_more::Display;
use log::info;
use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::{Instant, timeout_at};

/// Timeout of a query. Nodes that are gone but still count as live don't reply; the others take a round trip of a few
/// milliseconds, longer on the smallest VMs while many callers come back.
const QUERY_TIMEOUT: Duration = Duration::from_millis(150);

/// What is known of the stream of a request when it arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// The request begins a stream, or is none.
    New,
    /// This build began it.
    Began(Build),
    /// No node has run for long enough to know. Only the engine that ran it can show, if it still caches the prompt.
    Unobserved,
}

/// Where it became known which build began a stream.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
enum Source {
    /// Here.
    #[display("here")]
    Here,
    /// At another node.
    #[display("peer")]
    Peer,
    /// In the store.
    #[display("store")]
    Store,
}

/// Queries to other nodes that wait for replies.
#[derive(Debug, Default)]
pub struct Queries {
    pending: Mutex<HashMap<u32, UnboundedSender<Knowledge>>>,
    next_number: AtomicU32,
}

/// A query that waits for replies; forgotten when dropped.
struct Query<'a> {
    queries: &'a Queries,
    number: u32,
    replies: UnboundedReceiver<Knowledge>,
}

impl Queries {
    fn register(&self) -> Query<'_> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (sender, replies) = unbounded_channel();
        lock(&self.pending).insert(number, sender);
        Query { queries: self, number, replies }
    }

    /// Delivers a reply. One to a query that is over is not needed any more.
    pub fn resolve(&self, number: u32, knowledge: Knowledge) {
        if let Some(query) = lock(&self.pending).get(&number) {
            // Fails only while the query is being dropped.
            let _ = query.send(knowledge);
        }
    }
}

impl Drop for Query<'_> {
    fn drop(&mut self) {
        lock(&self.queries.pending).remove(&self.number);
    }
}

impl Query<'_> {
    /// Collects replies until one node says that it was told of the stream, all have replied, or the time is over.
    async fn collect(&mut self, count: usize) -> Vec<Knowledge> {
        let until = Instant::now() + QUERY_TIMEOUT;
        let mut replies = Vec::new();
        while replies.len() < count
            && let Ok(Some(reply)) = timeout_at(until, self.replies.recv()).await
        {
            replies.push(reply);
            if matches!(reply, Knowledge::Began(_)) {
                break;
            }
        }
        replies
    }
}

/// Binds a stream to the build at which it begins, and tells other nodes if its caller may take it up again. One that its caller
/// takes up is told again, since the nodes that knew may end.
pub fn begin(node: &Node, call: &Call, route: &Route, build: Build) {
    let build = *call.build.get_or_init(|| build);
    if route.kind != (Kind::Stream { resumable: true }) {
        return;
    }
    let keep_ms = return_ms(route);
    let record_under = |name| Record { name, build, keep_ms };
    let begun: Vec<Record> = names(&call.metadata).map(record_under).collect();
    record(node, &begun);
    let holders = lock(&node.members).stream_holders(call.point(), node.now());
    let message = Message::Streams { begun };
    holders.into_iter().for_each(|holder| peers::try_send(node, &message, holder));
}

/// Time from the beginning of a stream in which its caller may come back, as messages between nodes carry it.
fn return_ms(route: &Route) -> u32 {
    u32::try_from(route.return_ms()).unwrap_or(u32::MAX)
}

/// Records streams that begin here or at another node.
pub fn record(node: &Node, begun: &[Record]) {
    let mut streams = node.streams();
    let dropped: usize = begun.iter().map(|stream| streams.record(*stream, node.now())).sum();
    node.metrics.dropped_streams.inc_by(dropped as u64);
}

/// Names of the stream that a request begins or resumes.
fn names(metadata: &Metadata) -> impl Iterator<Item = Name> {
    let organisation = metadata.organisation.as_deref().unwrap_or_default();
    let attempt = metadata.resumes.as_ref().unwrap_or(&metadata.id);
    let prompt = metadata.last_segment_id.as_ref();
    let prompt = prompt.map(|part| Name::prompt(organisation, part));
    [Some(Name::attempt(organisation, attempt)), prompt].into_iter().flatten()
}

/// Name by which a resumed stream is looked up: the request that began it, or else its own part of the prompt.
fn name(metadata: &Metadata) -> Option<Name> {
    let organisation = metadata.organisation.as_deref().unwrap_or_default();
    match (&metadata.resumes, &metadata.last_segment_id) {
        (Some(attempt), _) => Some(Name::attempt(organisation, attempt)),
        (None, Some(part)) => Some(Name::prompt(organisation, part)),
        (None, None) => None,
    }
}

/// Finds the build that began the stream that a request resumes.
pub async fn find(node: &Node, metadata: &Metadata, route: &Route) -> Result<Finding, Reason> {
    if !matches!(route.kind, Kind::Stream { .. }) || !metadata.resumes_stream() {
        return Ok(Finding::New);
    }
    let arrived = Instant::now();
    let (name, service) = (name(metadata), only_service(route));
    let span_ms = return_ms(route);
    let here = knowledge(node, name, service, span_ms);
    let (known, asked, source) = match here {
        Knowledge::Began(_) => (vec![here], 0, Source::Here),
        _ => {
            let (mut known, asked) = ask(node, name, service, metadata.point(), span_ms).await;
            known.push(here);
            let source = if asked == 0 { Source::Here } else { Source::Peer };
            (known, asked, source)
        }
    };
    let (outcome, found) = match conclude(&known, asked) {
        Conclusion::Began(build) => (source.to_string(), Ok(Finding::Began(build))),
        Conclusion::Unknown => ("unknown".into(), Err(Reason::UnknownStream)),
        Conclusion::Unobserved(only) => match recorded(node, service, only).await {
            Some(build) => (Source::Store.to_string(), Ok(Finding::Began(build))),
            None => ("unobserved".into(), Ok(Finding::Unobserved)),
        },
    };
    let request = metadata.id.as_str();
    let resumes = metadata.resumes.as_deref().unwrap_or_default();
    let (replies, took_ms) = (known.len() - 1, arrived.elapsed().as_millis() as u64);
    let known = format!("{known:?}");
    info!(request, resumes, outcome, replies, known, took_ms; "{}", event::RESUMED);
    node.metrics.count_resumed(&outcome);
    found
}

/// The only build that nodes list, if the store shows that no other one of the service served shortly before.
async fn recorded(node: &Node, service: Option<Tag>, only: Option<Build>) -> Option<Build> {
    let (service, only) = (service?, only?);
    let record = builds::read(node).await?;
    (record.only(service) == Some(only)).then_some(only)
}

/// The service of a route, if it has only one.
fn only_service(route: &Route) -> Option<Tag> {
    match route.shares.as_slice() {
        [only] => Some(Tag::of(&only.service)),
        _ => None,
    }
}

/// Asks other nodes what they know of a stream. Returns their replies, and how many were asked.
async fn ask(
    node: &Node,
    name: Option<Name>,
    service: Option<Tag>,
    point: Tag,
    span_ms: u32,
) -> (Vec<Knowledge>, usize) {
    let sources = lock(&node.members).stream_sources(point, node.now());
    let mut query = node.stream_queries.register();
    let message = Message::StreamQuery { number: query.number, name, service, span_ms };
    sources.iter().for_each(|source| peers::try_send(node, &message, *source));
    (query.collect(sources.len()).await, sources.len())
}

/// Replies to another node's query.
pub fn reply(
    node: &Node,
    number: u32,
    name: Option<Name>,
    service: Option<Tag>,
    span_ms: u32,
    from: IpAddr,
) {
    let knowledge = knowledge(node, name, service, span_ms);
    peers::try_send(node, &Message::StreamReply { number, knowledge }, from);
}

/// What this node knows of the build that began a stream.
fn knowledge(node: &Node, name: Option<Name>, service: Option<Tag>, span_ms: u32) -> Knowledge {
    let (now, span_ms) = (node.now(), u64::from(span_ms));
    if let Some(build) = name.and_then(|name| node.streams().build(name, now)) {
        return Knowledge::Began(build);
    }
    // A build that came since the store was read last can't be ruled out.
    let up_to_date = node.store_reachable() && !node.is_behind(Topic::Endpoints);
    let service = service.filter(|_| up_to_date);
    service
        .map_or(Knowledge::Nothing, |service| node.pool().builds().knowledge(service, span_ms, now))
}

/// Removes streams whose callers no longer come back.
pub fn remove_expired(node: &Node) {
    let mut streams = node.streams();
    streams.expire(node.now());
    node.metrics.known_streams.set(streams.len() as i64);
}
