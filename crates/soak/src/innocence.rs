//! Requests that were shut out, and whether these are the ones that make endpoints crash.

use crate::site::Site;
use crosslane_platform_standins::caller::POISON_ID_PREFIX;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};

/// What a node's log line says of a request under which endpoints ended.
#[derive(Debug, Deserialize)]
#[serde(tag = "event", rename_all = "lowercase")]
enum Line {
    /// An endpoint broke it off.
    Broke { request: String, fingerprint: String },
    /// It was decided about.
    Ruled { verdict: String, fingerprint: String },
}

/// Holds against the promise that none but these was ever shut out.
pub fn check(site: &Site) {
    let mut requests = BTreeMap::new();
    let mut shut = BTreeSet::new();
    for text in site.nodes.iter().flat_map(|it| it.lines()) {
        match serde_json::from_str(&text) {
            Ok(Line::Broke { request, fingerprint }) => {
                requests.insert(fingerprint, request);
            }
            Ok(Line::Ruled { verdict, fingerprint }) if verdict == "shut" => {
                shut.insert(fingerprint);
            }
            // Other events, and what is no event.
            Ok(Line::Ruled { .. }) | Err(_) => {}
        }
    }
    for fingerprint in shut {
        let request = requests.get(&fingerprint).map_or("", String::as_str);
        if !request.starts_with(POISON_ID_PREFIX) {
            let seen = format!("{fingerprint} was shut out");
            site.ledger.record_violation("no innocent request is shut out", request, seen);
        }
    }
}
