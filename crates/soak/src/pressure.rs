//! Load beyond the capacity of a site: endpoints of different speed, plain endpoints with few slots, and bursts of callers of
//! different priority that compete for decode memory and slots.

use crate::fault::Mix;
use crate::proxy::Surplus;
use crate::site::{Plan, Site};
use crosslane_platform_standins::caller::{Caller, Ending};
use crosslane_platform_standins::endpoint::{Endpoint, Fault, Stage};
use crosslane_platform_standins::ledger::{Kind, Ledger};
use crosslane_platform_standins::slots::{Bounds, Report};
use crosslane_platform_standins::speed::Speed;
use crosslane_platform_standins::texts::{
    COMPETING, DESK_KEY, PRIORITIES, PRIORITY_KEYS, priority_path,
};
use crosslane_platform_standins::unframed::Unframed;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::fmt::{Display, Formatter, Result as Written};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// Factors to the usual time of work: one endpoint in three is slow.
const FACTORS: [f64; 3] = [0.7, 0.7, 1.7];

/// Slots and queue of a plain endpoint.
const BOUNDS: Bounds = Bounds { slots: 6, queue: 4 };

/// Load headers that nodes must ignore.
const MALFORMED: [&str; 5] = ["900,0,8,0", "900,0,8,99999", "900,0", "900,0,8,100,1", "many,0,8"];

/// Fault of failing endpoints, and the number of requests of which one meets it.
const FAILING: (Fault, u64) = (Fault::Errs, 2);

/// Callers of each kind, organisation and priority in a burst: together more than decode memory and slots hold.
const CALLERS: usize = 32;

/// Time in which the callers of a burst send, and pause between two bursts, in milliseconds.
const SPREAD: std::ops::Range<u64> = 0..200;
const PAUSE: std::ops::Range<u64> = 1_000..3_000;

/// Time after a burst in which plain calls must be served again, and pause between two calls.
const RECOVERY: Duration = Duration::from_secs(3);
const LOOK: Duration = Duration::from_millis(50);

/// Part of the calls at a sound plain endpoint that one with a malformed load header must get. One whose figures are used gets half
/// of them.
const LEAST_SHARE: f64 = 0.7;

/// Calls at each sound plain endpoint from which on the shares are compared.
const MIN_CALLS: f64 = 40.0;

/// Standard deviations by which a more urgent route may be served less often; some comparisons are made in each run.
const DEVIATIONS: f64 = 4.0;

/// Additional load of a run; none by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pressure {
    /// Callers of different priority compete in bursts.
    pub bursts: bool,
    /// Endpoints have different and changing speeds, and report their pace.
    pub speeds: bool,
    /// Plain endpoints have few slots and a short queue.
    pub slots: bool,
    /// Every second endpoint reports a malformed load.
    pub malformed_loads: bool,
    /// Endpoints fail part of their requests throughout, so that the retry budget is used up.
    pub failing: bool,
    /// Requests whose answers have neither a length nor chunks.
    pub unframed: Unframed,
    /// Answers to control calls that come twice.
    pub surplus: Surplus,
}

impl Pressure {
    /// Sets up an endpoint in a place.
    pub fn apply(self, endpoint: &Endpoint, place: usize, seed: u64) {
        if self.speeds {
            let speed = Speed::constant(FACTORS[place % FACTORS.len()]);
            let start = std::time::Instant::now();
            endpoint.set_speed(speed.with_slowdowns(start, seed ^ place as u64));
            endpoint.set_report(Report::Pace);
        }
        if self.slots && endpoint.stage() == Stage::Plain {
            endpoint.set_bounds(Some(BOUNDS));
        }
        if self.malformed_loads && !place.is_multiple_of(2) {
            let text = MALFORMED[place / 2 % MALFORMED.len()];
            endpoint.set_report(Report::Text(text.into()));
        }
        endpoint.end_connections(self.unframed);
        if self.failing {
            endpoint.inject_fault(Some(FAILING));
        }
    }
}

/// Requests of one kind, organisation and priority in bursts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// All.
    pub asked: u64,
    /// Those that were served, at once or when they followed the advice of a refusal.
    pub served: u64,
}

impl Count {
    fn share(self) -> f64 {
        self.served as f64 / self.asked.max(1) as f64
    }

    /// Whether this, which is more urgent, was served less often than another one by more than chance explains.
    pub fn is_below(self, less_urgent: Self) -> bool {
        let all = Self {
            asked: self.asked + less_urgent.asked,
            served: self.served + less_urgent.served,
        };
        let (share, count) = (all.share(), |count: Self| 1.0 / count.asked.max(1) as f64);
        let variance = share * (1.0 - share) * (count(self) + count(less_urgent));
        less_urgent.share() - self.share() > DEVIATIONS * variance.sqrt()
    }
}

/// Requests of each kind, organisation (by its place in [`PRIORITY_KEYS`]) and priority, in the bursts in which not all were served.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Competition(pub BTreeMap<(Kind, usize, u8), Count>);

impl Competition {
    /// Adds the requests of another one.
    pub fn add(&mut self, other: &Self) {
        for (route, count) in &other.0 {
            let sum = self.0.entry(*route).or_default();
            (sum.asked, sum.served) = (sum.asked + count.asked, sum.served + count.served);
        }
    }

    /// The requests of kinds that were not all served.
    fn contended(mut self) -> Self {
        let contended = |kind: Kind| {
            let counts = self.0.iter().filter(|((of, ..), _)| *of == kind);
            counts.map(|(_, count)| count).any(|count| count.served < count.asked)
        };
        let kinds = COMPETING.map(|kind| (kind, contended(kind)));
        self.0.retain(|(of, ..), _| kinds.contains(&(*of, true)));
        self
    }

    /// Pairs of routes of one service and organisation of which the more urgent one was served less often.
    pub fn unfair(&self) -> Vec<String> {
        let pairs =
            self.0.iter().flat_map(|first| self.0.iter().map(move |second| (first, second)));
        let unfair = pairs.filter(|(((kind, organisation, priority), count), (other, less))| {
            (*kind, *organisation) == (other.0, other.1)
                && *priority < other.2
                && count.is_below(**less)
        });
        unfair.map(|pair| format!("{pair:?}")).collect()
    }
}

impl Display for Competition {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Written {
        for ((kind, organisation, priority), Count { asked, served }) in &self.0 {
            writeln!(
                formatter,
                "  contended {kind:?}, organisation {organisation}, priority {priority}: \
                 {served} of {asked} served"
            )?;
        }
        Ok(())
    }
}

/// What came of the bursts of a run.
#[derive(Debug, Default)]
pub struct Bursts(Mutex<Competition>);

impl Bursts {
    /// Adds the requests of a contended burst.
    pub fn add(&self, burst: &Competition) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).add(burst);
    }

    /// Requests in contended bursts so far.
    pub fn competition(&self) -> Competition {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Checks that no more urgent route was served less often.
    pub fn check(&self, ledger: &Ledger) {
        for pair in self.competition().unfair() {
            ledger.record_violation("urgent routes are not served less often", "", pair);
        }
    }
}

/// Sends bursts until the time of the run is over.
pub async fn press(site: &Arc<Site>, plan: &Plan, seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let end = Instant::now() + plan.time;
    while plan.pressure.bursts && Instant::now() < end {
        sleep(Duration::from_millis(random.random_range(PAUSE))).await;
        let name = format!("s{}-b{}", plan.seed, random.random::<u32>());
        site.bursts.add(&burst(site, &name, &mut random).await.contended());
        if plan.mix == Mix::Quiet {
            check_recovery(site, &name).await;
        }
    }
    if plan.mix == Mix::Quiet {
        tokio::time::sleep_until(end).await;
    }
}

/// Checks that plain endpoints with a malformed load header get their share of the calls, where nothing else differs.
pub fn check_loads(site: &Site, plan: &Plan) {
    if !plan.pressure.malformed_loads || plan.pressure.speeds || plan.mix != Mix::Quiet {
        return;
    }
    let (mut malformed, mut sound) = (Vec::new(), Vec::new());
    site.with_all(|endpoint| {
        if endpoint.stage() == Stage::Plain {
            let calls = site.ledger.work_at(&endpoint.id).0 as f64;
            if endpoint.report() == Report::Absent { &mut sound } else { &mut malformed }
                .push(calls);
        }
    });
    let mean = |calls: &[f64]| calls.iter().sum::<f64>() / calls.len().max(1) as f64;
    if mean(&sound) >= MIN_CALLS && mean(&malformed) < LEAST_SHARE * mean(&sound) {
        let seen = format!("{malformed:?} calls, {sound:?} at sound endpoints");
        site.ledger.record_violation("a malformed load header changes nothing", "", seen);
    }
}

/// Sends one burst: as many callers of each kind, organisation and priority at each node, in random order.
async fn burst(site: &Arc<Site>, name: &str, random: &mut SmallRng) -> Competition {
    let mut routes = Vec::new();
    for kind in COMPETING {
        for organisation in 0..PRIORITY_KEYS.len() {
            routes.extend(PRIORITIES.map(|priority| (kind, organisation, priority)));
        }
    }
    let numbers = 0..CALLERS;
    let mut all: Vec<_> =
        numbers.flat_map(|number| routes.iter().map(move |it| (number, *it))).collect();
    all.shuffle(random);
    let mut asked = JoinSet::new();
    for (number, (kind, organisation, priority)) in all {
        let node = site.nodes[number % site.nodes.len()].callers();
        let mut caller =
            Caller::new(node, site.ledger.clone()).with_key(PRIORITY_KEYS[organisation].0);
        let id = format!("{name}-{kind:?}-{organisation}-{priority}-{number}").to_ascii_lowercase();
        let path = format!("{}{id}", priority_path(kind, priority));
        let delay = Duration::from_millis(random.random_range(SPREAD));
        asked.spawn(async move {
            sleep(delay).await;
            let ending = caller.send_following_advice(&id, kind, &path).await;
            ((kind, organisation, priority), ending)
        });
    }
    let mut competition = Competition::default();
    for (route, ending) in asked.join_all().await {
        let count = competition.0.entry(route).or_default();
        count.asked += 1;
        count.served += u64::from(ending == Ending::Answered);
    }
    competition
}

/// Checks that a plain call is served at each node soon after a burst.
async fn check_recovery(site: &Arc<Site>, burst: &str) {
    let end = Instant::now() + RECOVERY;
    let mut nodes = JoinSet::new();
    for node in 0..site.nodes.len() {
        let id = format!("{burst}-after-{node}");
        let mut caller =
            Caller::new(site.nodes[node].callers(), site.ledger.clone()).with_key(DESK_KEY);
        nodes.spawn(async move {
            for number in 0.. {
                let id = format!("{id}-{number}");
                let ending = tokio::time::timeout_at(end, caller.send(&id, Kind::Page, None)).await;
                match ending {
                    Ok(Ending::Answered) => return None,
                    Ok(_) if Instant::now() < end => sleep(LOOK).await,
                    _ => return Some(id),
                }
            }
            None
        });
    }
    for id in nodes.join_all().await.into_iter().flatten() {
        let seen = format!("no plain call was served for {RECOVERY:?} after a burst");
        site.ledger.record_violation("plain calls are served again after a burst", &id, seen);
    }
}
