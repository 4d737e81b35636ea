//! Prefix cache lookup: finds the engines that still cache the prompt of a resumed stream.
//!
//! Engines keep the KV cache of prompts until other requests need the memory. A caller whose stream was cut
//! by a node's failure retries at another node, or at one that has restarted without state, so the engines are asked. A
//! cached prompt is not prefilled again: without the lookup, an outage of all nodes for 1 s makes the engines prefill
//! the prompts of all interrupted streams twice.

use crate::event;
use crate::exchange::Call;
use crate::node::Node;
use crosslane_platform::engine;
use crosslane_state::build::Build;
use crosslane_state::endpoint::{Endpoint, Key, Stage, Tag};
use crosslane_state::time::Millis;
use futures::future::join_all;
use log::{debug, info};
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Timeout of an engine's list, which usually takes 5 ms.
const LIST_TIMEOUT: Duration = Duration::from_millis(90);

/// Time for which lists are reused: many callers retry at once, and each list delays the work of an engine.
const LIST_TTL_MS: u64 = 50;

/// Cached prompts of one service's engines.
#[derive(Debug)]
struct Listing {
    listed_at: Millis,
    engines: Vec<Engine>,
}

/// Cached prompts of one engine.
#[derive(Debug)]
struct Engine {
    key: Key,
    stage: Stage,
    parts: HashSet<String>,
}

/// Cached prompts by service, and by the point of the ring if only some engines were asked.
#[derive(Debug, Default)]
pub struct Listings(tokio::sync::Mutex<HashMap<(String, Option<Tag>), Listing>>);

/// Engines that cache a prompt.
#[derive(Clone, Copy, Debug, Default)]
pub struct Hits {
    /// Decode engine, which can generate from it.
    pub decode: Option<Key>,
    /// Prefill engine, which can transfer it.
    pub prefill: Option<Key>,
    /// Build of the decode engines that cache it, if it is the same. An engine that decodes reads the prompt before it
    /// generates anything.
    pub decoding_build: Option<Build>,
}

/// Finds the engines of a service that cache the last part of a request's prompt.
pub async fn lookup(node: &Node, service: &str, call: &Call, part: &str) -> Hits {
    let request = call.metadata.id.as_str();
    let mut listings = node.prefix_caches.0.lock().await;
    let is_fresh = |listing: &Listing| node.now().since(listing.listed_at) < LIST_TTL_MS;
    let subset = (service.to_owned(), node.pool().ring_point(service, call.point()));
    if !listings.get(&subset).is_some_and(is_fresh) {
        listings.retain(|_, listing| is_fresh(listing));
        let engines = list(node, service, call.point()).await;
        listings.insert(subset.clone(), Listing { listed_at: node.now(), engines });
    }
    let engines = listings.get(&subset).map_or(&[][..], |listing| &listing.engines);
    let hit = |stage| {
        let mut hits = engines.iter().filter(|engine| {
            let terms = match stage {
                Stage::Prefill => call.prefill_terms(),
                Stage::Decode | Stage::Plain => call.terms(),
            };
            let cached = engine.stage == stage && engine.parts.contains(part);
            cached && node.pool().may_receive(engine.key, terms)
        });
        hits.next().map(|engine| engine.key)
    };
    let (decode, prefill) = (hit(Stage::Decode), hit(Stage::Prefill));
    let decoding_build = decoding_build(node, engines, part);
    let hits = Hits { decode, prefill, decoding_build };
    let (asked, decoding, prefilling) =
        (engines.len(), hits.decode.is_some(), hits.prefill.is_some());
    info!(request, prompt = part, asked, decoding, prefilling; "{}", event::CACHED);
    hits
}

/// The only build of the decode engines that cache the part of a prompt.
fn decoding_build(node: &Node, engines: &[Engine], part: &str) -> Option<Build> {
    let caching = engines.iter().filter(|it| it.stage == Stage::Decode && it.parts.contains(part));
    let pool = node.pool();
    let mut builds = caching.filter_map(|it| pool.get(it.key)).map(Endpoint::build);
    let first = builds.next()?;
    builds.all(|build| build == first).then_some(first)
}

async fn list(node: &Node, service: &str, point: Tag) -> Vec<Engine> {
    let mut engines = node.pool().cache_candidates(service, point);
    // A list delays an engine's work, and engines that name a rate limit are overloaded.
    engines.retain(|(_, engine)| node.limits().rate(engine.tag()).is_none());
    let calls = engines.iter().map(|(_, engine)| {
        node.control.call(engine, engine::list_cached_segments(engine), LIST_TIMEOUT)
    });
    let answers = join_all(calls).await;
    let listed = engines.into_iter().zip(answers).filter_map(|((key, engine), answer)| {
        let answer = answer
            .inspect_err(|error| debug!("list of cached prompts at {} failed: {error}", engine.id))
            .ok()?;
        let parts = engine::parse_cached_segments(&answer.body)?;
        Some(Engine { key, stage: engine.stage, parts })
    });
    listed.collect()
}
