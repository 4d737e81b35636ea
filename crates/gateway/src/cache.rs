//! Which engines still keep a prompt that a caller brings back.
//!
//! Engines keep the KV cache of what they read until other requests need the room. A caller whose
//! stream was cut with its node returns to another node, or to one that has forgotten everything, so
//! the engines are asked. A prompt that is found is not read again: where all nodes were gone for a
//! second, 111 prompt tokens were read twice in place of 29,700 (one play each).

use crate::event;
use crate::node::Node;
use crosslane_platform::engine;
use crosslane_state::endpoint::{Key, Stage};
use crosslane_state::time::Millis;
use futures::future::join_all;
use log::{debug, info};
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// Time for an engine's list, which usually takes 5 ms.
const LIST_ANSWER: Duration = Duration::from_millis(90);

/// Time that lists are used again, in milliseconds: callers return in numbers, and each list holds up an engine.
const LIFE: u64 = 50;

/// Lists of one service's engines.
#[derive(Debug)]
struct Listing {
    at: Millis,
    engines: Vec<Engine>,
}

/// What one engine keeps.
#[derive(Debug)]
struct Engine {
    key: Key,
    stage: Stage,
    parts: HashSet<String>,
}

/// What engines keep, by service.
#[derive(Debug, Default)]
pub struct Lists(tokio::sync::Mutex<HashMap<String, Listing>>);

/// Engines that keep a prompt.
#[derive(Clone, Copy, Debug, Default)]
pub struct Keepers {
    /// One that can generate from it.
    pub decoding: Option<Key>,
    /// One that can hand it over.
    pub prefilling: Option<Key>,
}

/// Finds the engines of a service that keep the last part of a request's prompt.
pub async fn find(node: &Node, service: &str, request: &str, part: &str) -> Keepers {
    let mut listings = node.lists.0.lock().await;
    let fresh = listings.get(service).is_some_and(|it| node.now().since(it.at) < LIFE);
    if !fresh {
        let engines = list(node, service).await;
        listings.insert(service.to_owned(), Listing { at: node.now(), engines });
    }
    let engines = listings.get(service).map_or(&[][..], |it| &it.engines);
    let keeper = |stage| {
        let mut keeping = engines.iter().filter(|it| it.stage == stage && it.parts.contains(part));
        keeping.next().map(|it| it.key)
    };
    let keepers = Keepers { decoding: keeper(Stage::Decode), prefilling: keeper(Stage::Prefill) };
    let (asked, decoding, prefilling) =
        (engines.len(), keepers.decoding.is_some(), keepers.prefilling.is_some());
    info!(request, prompt = part, asked, decoding, prefilling; "{}", event::CACHED);
    keepers
}

async fn list(node: &Node, service: &str) -> Vec<Engine> {
    let mut engines = node.pool().keepers(service);
    // A list holds up an engine's work; one that names a limit is in need.
    engines.retain(|(_, engine)| node.limits().rate(engine.tag()).is_none());
    let calls = engines.iter().map(|(_, engine)| {
        node.control.call(engine.address, engine::list_cached_segments(engine), LIST_ANSWER)
    });
    let answers = join_all(calls).await;
    let listed = engines.into_iter().zip(answers).filter_map(|((key, engine), answer)| {
        let answer = answer.inspect_err(|error| debug!("parts at {}: {error}", engine.id)).ok()?;
        let parts = engine::parse_cached_segments(&answer.body)?;
        Some(Engine { key, stage: engine.stage, parts })
    });
    listed.collect()
}
