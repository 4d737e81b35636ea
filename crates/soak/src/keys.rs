//! Callers whose keys come, go and move between organisations, and one whose organisation has a limit.

use crate::site::{SETTLED, Site};
use crosslane_platform_standins::caller::{Caller, Ending};
use crosslane_platform_standins::ledger::Kind;
use crosslane_platform_standins::texts::{
    self, DESK_KEY, LIMITED_KEY, LIMITED_RATE_AND_BURST, MOVING_KEY, QUOTA_OVERAGE, QUOTA_SLACK,
    QUOTA_WINDOW_S,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Versions for which a key that came with one stays.
const STAYS: u64 = 3;

/// Pause between two requests, in milliseconds: several times what the limit allows.
const PAUSE: std::ops::Range<u64> = 20..80;

/// Time in which nodes learn that endpoints which took nothing take requests again: some probes, which come one in 10 s.
const LIMITS_END: Duration = Duration::from_secs(60);

/// Pause between two looks at whether they have.
const LOOK: Duration = Duration::from_millis(100);

/// Requests over the limit, and by keys that come and go, until told to end.
pub async fn call(site: Arc<Site>, seed: u64, over: Arc<AtomicBool>) {
    let mut random = SmallRng::seed_from_u64(seed.rotate_left(31));
    for number in 0_u64.. {
        if over.load(Ordering::Relaxed) {
            return;
        }
        let node = random.random_range(0..site.nodes.len());
        let (newest, _) = site.configuration();
        let version = random.random_range(newest.saturating_sub(2 * STAYS).max(1)..=newest);
        match number % 3 {
            0 => pass(&site, node, version, &format!("s{seed}-k{number}")).await,
            1 => moving(&site, node, &format!("s{seed}-m{number}")).await,
            _ => {
                ask(&site, node, LIMITED_KEY, &format!("s{seed}-n{number}")).await;
            }
        }
        sleep(Duration::from_millis(random.random_range(PAUSE))).await;
    }
}

async fn ask(site: &Site, node: usize, key: &str, id: &str) -> Ending {
    let caller = Caller::new(site.nodes[node].callers(), site.ledger.clone());
    caller.with_key(key).send(id, Kind::Page, None).await
}

/// A key that was gone in a version that a node showed is not let in there again.
async fn pass(site: &Site, node: usize, version: u64, id: &str) {
    let shown = site.nodes[node].life().version.load(Ordering::Relaxed);
    let ending = ask(site, node, &texts::passing_key(version), id).await;
    if ending == Ending::Answered && shown >= version + STAYS {
        let seen = format!("the key of {version} is let in after {shown} was in force");
        site.ledger.record_violation("a key that was taken away runs nothing", id, seen);
    }
}

async fn moving(site: &Site, node: usize, id: &str) {
    ask(site, node, MOVING_KEY, id).await;
    let organisation = site.ledger.organisation(id);
    if organisation.is_some_and(|it| {
        it != texts::moving_organisation(1) && it != texts::moving_organisation(2)
    }) {
        site.ledger.record_violation(
            "a request runs for its key's organisation",
            id,
            String::new(),
        );
    }
}

/// Holds what each node does once all is calm, and all that the limited organisation got, against the promises.
pub async fn check(site: &Site) {
    // Only then has a key been taken away.
    while site.configuration().0 <= STAYS {
        site.configure();
    }
    sleep(SETTLED).await;
    until_served(site).await;
    let (newest, _) = site.configuration();
    for node in 0..site.nodes.len() {
        check_node(site, node, newest).await;
    }
    let window = Duration::from_secs(QUOTA_WINDOW_S);
    let most = site.ledger.max_arrivals_within("narrow", window);
    let allowed = (LIMITED_RATE_AND_BURST.0 * QUOTA_WINDOW_S + LIMITED_RATE_AND_BURST.1) as f64
        * (1.0 + QUOTA_OVERAGE);
    if most as f64 > allowed + QUOTA_SLACK as f64 {
        let seen = format!("{most} requests within {window:?}, {allowed} allowed");
        site.ledger.record_violation("an organisation stays within its limit", "", seen);
    }
}

/// Waits until all nodes have learnt from answers that no endpoint names a limit any more. Until then they refuse what is over
/// it.
async fn until_served(site: &Site) {
    let end = Instant::now() + LIMITS_END;
    for node in 0..site.nodes.len() {
        for number in 0.. {
            let id = format!("end-served-{node}-{number}");
            if ask(site, node, DESK_KEY, &id).await == Ending::Answered {
                break;
            }
            if Instant::now() > end {
                site.ledger.record_violation("a limit that ended is forgotten", &id, String::new());
                return;
            }
            sleep(LOOK).await;
        }
    }
}

async fn check_node(site: &Site, node: usize, newest: u64) {
    let id = |what: &str| format!("end-{what}-{node}");
    let ending = ask(site, node, &texts::passing_key(newest), &id("new")).await;
    if ending == Ending::Status(401) {
        site.ledger.record_violation(
            "a key is in force in seconds",
            &id("new"),
            format!("{newest}"),
        );
    }
    let gone = newest.saturating_sub(STAYS);
    let ending = ask(site, node, &texts::passing_key(gone), &id("gone")).await;
    if ending != Ending::Status(401) {
        let seen = format!("{ending:?} for the key of {gone} under {newest}");
        site.ledger.record_violation("a key that was taken away runs nothing", &id("gone"), seen);
    }
    ask(site, node, MOVING_KEY, &id("moved")).await;
    let organisation = site.ledger.organisation(&id("moved"));
    if organisation.as_deref() != Some(texts::moving_organisation(newest)) {
        let seen = format!("{organisation:?} under {newest}");
        site.ledger.record_violation(
            "a request runs for its key's organisation",
            &id("moved"),
            seen,
        );
    }
}
