//! Requests that were shut out, and whether these are the ones that make endpoints crash.

use crate::site::Site;
use crate::traffic;
use crosslane_platform_standins::caller::POISON_ID_PREFIX;
use crosslane_state::segment::Segment;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};

/// Services of the site.
const SERVICES: [&str; 2] = ["models", "pages"];

/// Begins the names of rulings on segments that were read from the store.
const SEGMENTS_PREFIX: &str = "segments-";

/// What a node's log line says of a request under which endpoints ended.
#[derive(Debug, Deserialize)]
#[serde(tag = "event", rename_all = "lowercase")]
enum Line {
    /// An endpoint broke it off.
    Broke { request: String, fingerprint: String },
    /// It, or segments of prompts, were decided about.
    Ruled {
        verdict: String,
        fingerprint: String,
        /// Digests of the segments.
        #[serde(default)]
        segments: String,
    },
}

/// Holds against the promise that none but these was ever shut out.
pub fn check(site: &Site, seed: u64) {
    let mut requests = BTreeMap::new();
    let mut shut = BTreeSet::new();
    let mut patterns = BTreeSet::new();
    for text in site.nodes.iter().flat_map(|it| it.lines()) {
        match serde_json::from_str(&text) {
            Ok(Line::Broke { request, fingerprint }) => {
                requests.insert(fingerprint, request);
            }
            Ok(Line::Ruled { verdict, segments, .. })
                if verdict == "shut" && !segments.is_empty() =>
            {
                patterns.insert(segments);
            }
            Ok(Line::Ruled { verdict, fingerprint, .. }) if verdict == "shut" => {
                shut.insert(fingerprint);
            }
            // Other events, and what is no event.
            Ok(Line::Ruled { .. }) | Err(_) => {}
        }
    }
    let poisons = traffic::poison_segments(seed);
    let poisons = SERVICES
        .map(|service| poisons.clone().map(|poison| Segment::new(service, &poison).to_string()));
    let poisons = poisons.as_flattened();
    for pattern in patterns {
        if !pattern.split(',').any(|segment| poisons.iter().any(|poison| poison == segment)) {
            let seen = format!("prompts with {pattern} were shut out");
            site.ledger.record_violation("no innocent segment is shut out", "", seen);
        }
    }
    for fingerprint in shut.into_iter().filter(|name| !name.starts_with(SEGMENTS_PREFIX)) {
        let request = requests.get(&fingerprint).map_or("", String::as_str);
        if !request.starts_with(POISON_ID_PREFIX) {
            let seen = format!("{fingerprint} was shut out");
            site.ledger.record_violation("no innocent request is shut out", request, seen);
        }
    }
}
