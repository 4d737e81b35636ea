//! Callers, and what their answers say of the promises.

use crate::excuse;
use crate::node::{Life, Node};
use crate::reach::CONTACT;
use crate::site::{SETTLED, Site};
use crosslane_platform_standins::caller::{Caller, Ending, POISON_ID_PREFIX, Progress};
use crosslane_platform_standins::endpoint::{POISON_MARKER, POISON_SEGMENT_PREFIX};
use crosslane_platform_standins::ledger::{Ended, Kind, Run};
use crosslane_platform_standins::texts::{self, DESK_KEY};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Time within which a node must have let a request end; close to it, its timeout may be the cause.
const TIMEOUT: Duration = Duration::from_millis(8_000);

/// Pause between two requests of a caller, in milliseconds.
const PAUSE: std::ops::Range<u64> = 10..200;

/// Time after which a caller leaves, in milliseconds.
const LEAVES: std::ops::Range<u64> = 20..3_000;

/// Share of the requests whose caller leaves.
const LEAVING: f64 = 0.15;

/// Share of the requests after which a caller goes to another node although its connection is open.
const WANDERING: f64 = 0.1;

/// Times that a caller takes a stream up again.
const RETURNS: u32 = 2;

/// Time for an endpoint to notice that a connection was closed, and pause between looks.
const ENDS: Duration = Duration::from_secs(2);
const LOOK: Duration = Duration::from_millis(10);

/// Kinds of request that make endpoints crash, and pause between two of them, in milliseconds.
const CULPRITS: [Kind; 2] = [Kind::Read, Kind::Page];
const CULPRIT_PAUSE: std::ops::Range<u64> = 50..600;

/// Number of first and second segments that prompts have in common.
const FIRST_SEGMENTS: u64 = 2;
const SECOND_SEGMENTS: u64 = 10;

/// Times that such a request may still reach an endpoint when all nodes must know of it.
const LATE_SENDS: u32 = 3;

/// What a node says of each request that it has read.
const ENDED: &str = "\"event\":\"request\"";

/// What a node says of a stream that may not go on although an endpoint could make it.
const BOUNDS: [&str; 2] = ["\"no attempt left\"", "\"retry budget spent\""];

/// Kinds of request, as often as they are drawn.
const KINDS: [Kind; 10] = [
    Kind::Page,
    Kind::Page,
    Kind::Page,
    Kind::Confirm,
    Kind::Confirm,
    Kind::Draft,
    Kind::Draft,
    Kind::Read,
    Kind::Read,
    Kind::Endless,
];

/// Endings by kind of request.
pub type Endings = BTreeMap<(Kind, Ending), u64>;

fn caller_at(site: &Site, node: usize) -> Caller {
    Caller::new(site.nodes[node].callers(), site.ledger.clone()).with_key(DESK_KEY)
}

/// Asks until told to end.
pub async fn call(site: Arc<Site>, name: usize, seed: u64, over: Arc<AtomicBool>) -> Endings {
    let mut random = SmallRng::seed_from_u64(seed ^ (name as u64) << 32);
    let mut endings = Endings::new();
    let mut node = name % site.nodes.len();
    let mut caller = caller_at(&site, node);
    for number in 0.. {
        if over.load(Ordering::Relaxed) {
            break;
        }
        // An open connection is used until it is closed, or until callers gather elsewhere.
        let gathers = site.crowd.node_for(name).filter(|at| *at != node);
        if !caller.connected() || random.random_bool(WANDERING) || gathers.is_some() {
            let any = random.random_range(0..site.nodes.len());
            node = site.crowd.node_for(name).unwrap_or(any);
            caller = caller_at(&site, node);
        }
        let id = format!("s{seed}-c{name}-{number}");
        let kind = KINDS[random.random_range(0..KINDS.len())];
        let leaves = kind == Kind::Endless || random.random_bool(LEAVING);
        let leave = leaves.then(|| Duration::from_millis(random.random_range(LEAVES)));
        let attempt = Attempt { site: &site, node, id: &id, kind };
        let mut ending = attempt.send(&mut caller, leave).await;
        for again in 1..=RETURNS {
            let Some(progress) = caller.progress().cloned().filter(|_| comes_back(kind, ending))
            else {
                break;
            };
            *endings.entry((kind, ending)).or_default() += 1;
            node = random.random_range(0..site.nodes.len());
            caller = caller_at(&site, node);
            let id = format!("{id}-again{again}");
            ending =
                Attempt { site: &site, node, id: &id, kind }.resume(&mut caller, progress).await;
        }
        *endings.entry((kind, ending)).or_default() += 1;
        sleep(Duration::from_millis(random.random_range(PAUSE))).await;
    }
    endings
}

/// Whether a caller takes up a stream again that ended so.
fn comes_back(kind: Kind, ending: Ending) -> bool {
    let broke = match ending {
        Ending::Cut | Ending::Closed | Ending::Unreached | Ending::Status(502..=504) => true,
        Ending::Answered | Ending::Status(_) | Ending::Silent | Ending::Left => false,
    };
    kind == Kind::Read && broke
}

/// One attempt of a caller at a node.
struct Attempt<'a> {
    site: &'a Site,
    node: usize,
    id: &'a str,
    kind: Kind,
}

impl Attempt<'_> {
    /// Sends a new request, and leaves after a time if one is given.
    async fn send(&self, caller: &mut Caller, leave: Option<Duration>) -> Ending {
        let (life, began) = (self.site.nodes[self.node].life(), Instant::now());
        let ending = caller.send(self.id, self.kind, leave).await;
        let has_events = caller.progress().is_some();
        if self.kind == Kind::Read && ending != Ending::Left && self.is_in_touch(&life, began) {
            self.site.returns.record(false, has_events);
        }
        if leave.is_none() && self.is_in_touch(&life, began) {
            self.compare(ending, began).await;
        }
        self.check(ending, &life, began).await;
        ending
    }

    /// Compares how a first try ended at a node that is cut off, or where callers gather, with one at another node.
    async fn compare(&self, ending: Ending, began: Instant) {
        let Site { reach, crowd, .. } = self.site;
        let (cut_off, crowded) =
            (reach.is_cut_off(self.node, began), crowd.is_at(self.node, began));
        if !cut_off && !crowded {
            return;
        }
        if ending == Ending::Answered {
            if cut_off {
                reach.record_served();
            } else {
                crowd.record_served();
            }
        } else if let Some(served) = self.is_served_elsewhere().await {
            if cut_off {
                reach.record_failed(self.id, served);
            } else if !served || !self.was_unread(ending).await {
                crowd.record_failed(self.id, served);
            }
        }
    }

    /// Whether its node refused the connection, or closed it before it read the request: its caller goes elsewhere.
    async fn was_unread(&self, ending: Ending) -> bool {
        match ending {
            Ending::Unreached => true,
            Ending::Closed => !self.site.nodes[self.node].told(self.id, &[ENDED]).await,
            _ => false,
        }
    }

    /// Whether a request of its kind is served at a node that reaches endpoints, if some such node is in touch meanwhile.
    async fn is_served_elsewhere(&self) -> Option<bool> {
        let Self { site, id, kind, .. } = *self;
        let may_serve = |place: usize, life: &Life, time: Duration| {
            life.in_touch(time) && site.reach.has_way(place, time)
        };
        let lives = site.nodes.iter().map(Node::life).enumerate();
        let others: Vec<_> =
            lives.filter(|(place, life)| may_serve(*place, life, CONTACT)).collect();
        let (place, life) = others.choose(&mut rand::rng())?;
        let began = Instant::now();
        let ending = caller_at(site, *place).send(&format!("{id}-elsewhere"), kind, None).await;
        may_serve(*place, life, CONTACT + began.elapsed()).then_some(ending == Ending::Answered)
    }

    /// Takes up a stream.
    async fn resume(&self, caller: &mut Caller, progress: Progress) -> Ending {
        let (life, began) = (self.site.nodes[self.node].life(), Instant::now());
        let (before, software) = (progress.last_event, progress.software.clone());
        let serving = || self.site.generating(&software) >= 2;
        let served_before = serving();
        let ending = caller.resume(self.id, self.kind, progress).await;
        let went_on = caller.progress().is_some_and(|after| after.last_event > before);
        if served_before && serving() && self.is_in_touch(&life, began) {
            self.site.returns.record(true, went_on || ending == Ending::Answered);
        }
        self.check(ending, &life, began).await;
        ending
    }

    /// Whether the node, and some way to endpoints, were there from a while before the attempt until now.
    fn is_in_touch(&self, life: &Life, began: Instant) -> bool {
        let time = CONTACT + began.elapsed();
        life.in_touch(time) && self.site.some_node_reaches_endpoints(time)
    }

    async fn check(&self, ending: Ending, life: &Life, began: Instant) {
        let Self { site, node, id, kind } = *self;
        let (took, broke_off) = (began.elapsed(), site.reach.broke_off(node, began));
        let node = &site.nodes[node];
        let asked = Asked { id, kind, ending, node, life, began, took, broke_off };
        asked.check(site).await;
    }
}

/// Sends requests that make endpoints crash again and again, through any node and by any address, until told
/// to end.
pub async fn crash(site: Arc<Site>, seed: u64, over: Arc<AtomicBool>) {
    let mut random = SmallRng::seed_from_u64(seed.rotate_left(17));
    for number in 0_u64.. {
        sleep(Duration::from_millis(random.random_range(CULPRIT_PAUSE))).await;
        if over.load(Ordering::Relaxed) {
            return;
        }
        let node = &site.nodes[random.random_range(0..site.nodes.len())];
        let kind = CULPRITS[random.random_range(0..CULPRITS.len())];
        let path = format!("{}{POISON_MARKER}-s{seed}", kind.prefix());
        let id = format!("{POISON_ID_PREFIX}s{seed}-{number}");
        let from = IpAddr::V4(Ipv4Addr::new(127, 0, 0, random.random_range(1..20)));
        let mut caller =
            Caller::new(node.callers(), site.ledger.clone()).from_ip(from).with_key(DESK_KEY);
        caller.send_to_path(&id, kind, &path).await;
    }
}

/// Sends prompts with one segment that makes endpoints crash, no two alike, and sound ones that share their other segments,
/// through any node until told to end.
pub async fn crash_by_segment(site: Arc<Site>, seed: u64, over: Arc<AtomicBool>) {
    let mut random = SmallRng::seed_from_u64(seed.rotate_left(41));
    for number in 0_u64.. {
        sleep(Duration::from_millis(random.random_range(CULPRIT_PAUSE))).await;
        if over.load(Ordering::Relaxed) {
            return;
        }
        let node = random.random_range(0..site.nodes.len());
        let kind = CULPRITS[random.random_range(0..CULPRITS.len())];
        let first = format!("first{}", random.random_range(0..FIRST_SEGMENTS));
        let second = format!("second{}", random.random_range(0..SECOND_SEGMENTS));
        let (poison, own) = (poison_segment(seed, kind), format!("own{number}"));
        let ask = |id: String, segments: &[&str]| {
            let mut caller = caller_at(&site, node).with_prompt(segments);
            async move { caller.send(&id, kind, None).await }
        };
        let sound = ask(format!("s{seed}-beside-{number}"), &[&first, &second, &own]);
        let culprit = ask(
            format!("{POISON_ID_PREFIX}s{seed}-segment-{number}"),
            &[&first, &poison, &second, &own],
        );
        tokio::join!(sound, culprit);
    }
}

/// Ids of the segments that make endpoints crash, one for each service.
pub fn poison_segments(seed: u64) -> [String; 2] {
    CULPRITS.map(|kind| poison_segment(seed, kind))
}

fn poison_segment(seed: u64, kind: Kind) -> String {
    format!("{POISON_SEGMENT_PREFIX}{seed}-{kind:?}").to_ascii_lowercase()
}

/// Holds what such requests ended against the promise.
pub fn check_crashes(site: &Site) {
    for (poison, effect) in site.ledger.effects() {
        if effect.late > LATE_SENDS {
            let (seen, poison) = (format!("{effect:?}"), format!("{poison:?}"));
            site.ledger.record_violation("few endpoints end under one request", &poison, seen);
        }
    }
}

/// A request that ended.
struct Asked<'a> {
    id: &'a str,
    kind: Kind,
    ending: Ending,
    node: &'a Node,
    life: &'a Life,
    began: Instant,
    took: Duration,
    /// Whether a partition of its node from all endpoints may have broken it off.
    broke_off: bool,
}

impl Asked<'_> {
    /// A node that was neither killed nor frozen delivers what a sound endpoint makes.
    async fn check(&self, site: &Site) {
        if !self.life.sound() || self.took > TIMEOUT || self.broke_off {
            return;
        }
        let runs = self.runs(site).await;
        site.closes.record(self.id, self.ending, &runs);
        let Some(run) = excuse::deliverable(&runs, self.kind.idempotent()) else {
            return;
        };
        let seen = format!("{:?} after {:?}, {:?}: {run:?}", self.ending, self.took, self.kind);
        match self.ending {
            Ending::Cut | Ending::Closed if self.had_to_be_cut(site, &runs).await => {}
            Ending::Cut | Ending::Closed if !self.target_broke(site).await => {
                site.ledger.record_violation("a sound node cuts nothing off", self.id, seen);
            }
            Ending::Status(502 | 504)
                if run.ended.is_some_and(|it| it != Ended::Closed)
                    && !self.target_broke(site).await =>
            {
                site.ledger.record_violation("ready answers are delivered", self.id, seen);
            }
            _ => {}
        }
    }

    /// Whether a node to which it was forwarded was killed, stood still or lost its own way to endpoints meanwhile.
    async fn target_broke(&self, site: &Site) -> bool {
        let targets = self.node.forwarded_to(self.id).await;
        site.nodes.iter().enumerate().any(|(place, node)| {
            let broke = node.broke_since(self.began) || site.reach.broke_off(place, self.began);
            broke && targets.contains(&node.ip().to_string())
        })
    }

    /// Its runs, once they have ended: where it was cut off, the endpoint may still have to notice.
    async fn runs(&self, site: &Site) -> Vec<Run> {
        let end = Instant::now() + ENDS;
        loop {
            let runs = site.ledger.runs(self.id);
            if runs.iter().all(|it| it.ended.is_some()) || Instant::now() > end {
                return runs;
            }
            sleep(LOOK).await;
        }
    }

    /// Whether its endpoints failed, and the node, or the one that it was forwarded to, says that it had no attempt or no retry
    /// left: an error can't be passed on within a stream.
    async fn had_to_be_cut(&self, site: &Site, runs: &[Run]) -> bool {
        if !excuse::endpoints_failed(runs) {
            return false;
        }
        let targets = self.node.forwarded_to(self.id).await;
        for node in site.nodes.iter().filter(|node| targets.contains(&node.ip().to_string())) {
            if node.told(self.id, &BOUNDS).await {
                return true;
            }
        }
        self.node.told(self.id, &BOUNDS).await
    }
}

/// Asks nodes for the configuration in force until told to end.
pub async fn probe(site: Arc<Site>, seed: u64, over: Arc<AtomicBool>) {
    let mut random = SmallRng::seed_from_u64(!seed);
    for number in 0_u64.. {
        if over.load(Ordering::Relaxed) {
            return;
        }
        let node = &site.nodes[random.random_range(0..site.nodes.len())];
        let life = node.life();
        let (newest, accepted) = site.configuration();
        let settled = site.calm() && accepted.elapsed() > SETTLED && life.began.elapsed() > SETTLED;
        let version = random.random_range(newest.saturating_sub(2).max(1)..=newest);
        let id = format!("s{seed}-p{number}");
        let path = format!("{}{id}", texts::added_path(version));
        let mut caller = Caller::new(node.callers(), site.ledger.clone()).with_key(DESK_KEY);
        let shown = life.version.load(Ordering::Relaxed);
        match caller.send_to_path(&id, Kind::Page, &path).await {
            Ending::Answered => {
                life.version.fetch_max(version, Ordering::Relaxed);
            }
            Ending::Status(404) if version <= shown => {
                let seen = format!("{version} not in force after {shown} was");
                site.ledger.record_violation("a configuration never reverts", &id, seen);
            }
            Ending::Status(404) if settled && site.calm() => {
                let seen = format!("{version} not in force, accepted {:?} ago", accepted.elapsed());
                site.ledger.record_violation("a configuration is in force in seconds", &id, seen);
            }
            _ => {}
        }
        sleep(Duration::from_millis(random.random_range(PAUSE))).await;
    }
}
