//! Limits that endpoints name, held by all nodes together: a fleet in virtual time.
//!
//! Requests for one endpoint come to any node. Each asks the owner that it believes in, and leaves the endpoint alone while
//! it is told that there is no room. Messages take no time, but get lost; nodes are killed, stand still and are cut
//! off, which others know after the life of a heartbeat.

use crosslane_coordination::heartbeat::{self, Interval};
use crosslane_coordination::limits::{self, BOUND, Queues};
use crosslane_coordination::quota::{self, Ask, Misses, Quota, Verdict};
use crosslane_state::endpoint::Tag;
use crosslane_state::organisation::Limit;
use crosslane_state::rate::Rate;
use crosslane_state::time::Millis;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use std::collections::{HashMap, VecDeque};

const ENDPOINT: Tag = Tag(7);

/// Length of a run, its step, and when trouble begins and ends, in milliseconds.
const LENGTH: u64 = 30_000;
const STEP: u64 = 5;
const TROUBLE: std::ops::Range<u64> = 10_000..20_000;

/// Time after the limit was named in which the first bucket fills, in milliseconds: not counted as unused.
const BEGINS: u64 = 4_000;

/// Time in which a node that starts learns of the limit, in milliseconds: by its first answer, or the first heartbeat of
/// another one. Until then it sends what comes.
const LEARNS: u64 = 150;

/// Window in which requests count, in milliseconds.
const WINDOW: u64 = 4_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    None,
    /// Messages get lost, all the time.
    Lossy,
    /// The first owner is killed, and starts again with nothing after 2 s.
    Kill,
    /// The first owner stands still.
    Freeze,
    /// A third of the nodes, the first owner among them, hears nobody.
    Cut,
    /// All nodes start again, one after the other.
    Rolling,
    /// All nodes start again at the same moment.
    Herd,
}

struct Node {
    owned: Quota,
    alone: Quota,
    queues: Queues,
    held: u64,
    /// Until when it does not know of the limit.
    unaware: u64,
    silent: HashMap<usize, Misses>,
    /// Gone or cut off, from and until when.
    away: Option<(u64, u64)>,
}

impl Node {
    fn new() -> Self {
        let (owned, alone) = (Quota::new(BOUND), Quota::new(BOUND));
        let (queues, silent) = Default::default();
        Self { owned, alone, queues, held: 0, unaware: 0, silent, away: None }
    }
}

struct Run {
    nodes: usize,
    rate: f64,
    /// Requests as a multiple of the limit.
    demand: f64,
    trouble: Trouble,
    seed: u64,
}

#[derive(Debug, Default)]
struct Outcome {
    /// Most requests in a window.
    most: usize,
    /// Share of what could be sent that was sent.
    used: f64,
    /// Questions to the first owner a second.
    asked: f64,
}

struct Fleet {
    nodes: Vec<Node>,
    trouble: Trouble,
    limit: Limit,
    life: u64,
    random: SmallRng,
    first: usize,
    asked: u64,
}

impl Fleet {
    fn away(&self, node: usize, now: u64) -> bool {
        self.nodes[node].away.is_some_and(|(from, until)| now >= from && now < until)
    }

    fn believed(&self, node: usize, now: u64) -> bool {
        let gone = |(from, until): (u64, u64)| now >= from + self.life && now < until;
        !self.nodes[node].away.is_some_and(gone)
    }

    fn cut(&self, node: usize, now: u64) -> bool {
        self.trouble == Trouble::Cut && self.away(node, now)
    }

    /// Nodes that one sees, the longer away it is the fewer.
    fn seen(&self, at: usize, now: u64) -> Vec<usize> {
        let alone = self.cut(at, now) && !self.believed(at, now);
        let sees = |it: &usize| *it == at || (!alone && self.believed(*it, now));
        (0..self.nodes.len()).filter(sees).collect()
    }

    fn ask(&mut self, at: usize, now: u64) -> Verdict {
        let seen = self.seen(at, now);
        let tags = seen.iter().map(|it| (Tag(*it as u64), *it));
        for owner in quota::owners(ENDPOINT, tags) {
            let passed = self.nodes[at].silent.get(&owner);
            if passed.is_some_and(|it| it.passed_over(Millis(now))) {
                continue;
            }
            let lost = owner != at && self.lost(at, owner, now);
            self.asked += u64::from(owner == self.first);
            if lost {
                self.nodes[at].silent.entry(owner).or_default().miss(Millis(now));
                continue;
            }
            self.nodes[at].silent.remove(&owner);
            match self.rule(owner, now) {
                Verdict::Unsure => {}
                verdict => return verdict,
            }
        }
        let ask = self.asked_for(limits::deputy(self.limit));
        let share = 1.0 / self.nodes.len() as f64;
        self.nodes[at].alone.rule_alone(ask, share, Millis(now))
    }

    /// Whether a question or its answer gets lost. What an owner granted in vain is lost with it.
    fn lost(&mut self, at: usize, owner: usize, now: u64) -> bool {
        if self.away(owner, now) || self.cut(at, now) {
            return true;
        }
        if self.trouble != Trouble::Lossy {
            return false;
        }
        let (there, back) = (self.random.random_bool(0.03), self.random.random_bool(0.03));
        if !there && back {
            self.rule(owner, now);
        }
        there || back
    }

    fn rule(&mut self, owner: usize, now: u64) -> Verdict {
        let seen = self.seen(owner, now);
        let share = seen.len() as f64 / self.nodes.len() as f64;
        let tags = seen.into_iter().map(|it| (Tag(it as u64), it));
        let first = quota::owners(ENDPOINT, tags).first() == Some(&owner);
        let limit = if first { self.limit } else { limits::deputy(self.limit) };
        let ask = self.asked_for(limit);
        match self.nodes[owner].owned.rule(ask, share, Millis(now)) {
            Verdict::Over { wait } => {
                let queues = &mut self.nodes[owner].queues;
                Verdict::Over {
                    wait: queues.join(ENDPOINT, limit.units_per_second, wait, Millis(now)),
                }
            }
            verdict => verdict,
        }
    }

    fn asked_for(&mut self, limit: Limit) -> Ask {
        Ask { subject: ENDPOINT, limit, cost: 1, draw: self.random.random() }
    }

    fn trouble(&mut self) {
        let all = 0..self.nodes.len();
        let ranked = quota::ranked(ENDPOINT, all.map(|it| (Tag(it as u64), it)));
        for (place, node) in ranked.iter().enumerate() {
            let at =
                TROUBLE.start + place as u64 * (TROUBLE.end - TROUBLE.start) / ranked.len() as u64;
            self.nodes[*node].away = match self.trouble {
                Trouble::Kill if place == 0 => Some((TROUBLE.start, TROUBLE.start + 2_000)),
                Trouble::Freeze if place == 0 => Some((TROUBLE.start, TROUBLE.end)),
                Trouble::Cut if place % 3 == 0 => Some((TROUBLE.start, TROUBLE.end)),
                Trouble::Rolling => Some((at, at + 1_000)),
                Trouble::Herd => Some((TROUBLE.start, TROUBLE.start + 1_000)),
                _ => None,
            };
        }
        self.first = ranked[0];
    }

    /// Nodes that were killed begin with nothing.
    fn restart(&mut self, now: u64) {
        if !matches!(self.trouble, Trouble::Kill | Trouble::Rolling | Trouble::Herd) {
            return;
        }
        let back =
            |it: &&mut Node| it.away.is_some_and(|(_, until)| until.div_ceil(STEP) * STEP == now);
        for node in self.nodes.iter_mut().filter(back) {
            *node = Node { away: node.away, unaware: now + LEARNS, ..Node::new() };
        }
    }
}

impl Run {
    fn play(&self) -> Outcome {
        let limit = limits::limit(Rate::try_from(self.rate).unwrap());
        let mut fleet = Fleet {
            nodes: (0..self.nodes).map(|_| Node::new()).collect(),
            trouble: self.trouble,
            limit,
            life: heartbeat::life(Interval::among(self.nodes).near),
            random: SmallRng::seed_from_u64(self.seed),
            first: 0,
            asked: 0,
        };
        fleet.trouble();
        let mut outcome = Outcome::default();
        let mut came: VecDeque<u64> = VecDeque::new();
        let (mut next, mut sent) = (0.0_f64, 0_u64);
        for now in (0..LENGTH).step_by(STEP as usize) {
            fleet.restart(now);
            while next <= now as f64 {
                let draw: f64 = fleet.random.random_range(1e-9..1.0);
                next += -draw.ln() * 1_000.0 / (self.rate * self.demand);
                let at = fleet.random.random_range(0..self.nodes);
                let stands = fleet.away(at, now) && !fleet.cut(at, now);
                if stands || fleet.nodes[at].held > now {
                    continue;
                }
                if fleet.nodes[at].unaware > now {
                    came.push_back(now);
                    continue;
                }
                match fleet.ask(at, now) {
                    Verdict::Granted => {
                        came.push_back(now);
                        sent += u64::from(now >= BEGINS);
                    }
                    Verdict::Over { wait } => fleet.nodes[at].held = now + wait,
                    Verdict::Unsure => {}
                }
            }
            while came.front().is_some_and(|it| it + WINDOW < now) {
                came.pop_front();
            }
            outcome.most = outcome.most.max(came.len());
        }
        let seconds = (LENGTH - BEGINS) as f64 / 1_000.0;
        outcome.used = sent as f64 / (self.rate * self.demand.min(1.0) * seconds);
        outcome.asked = fleet.asked as f64 * 1_000.0 / LENGTH as f64;
        outcome
    }
}

/// Sizes of fleets with the seeds played for each; `LIMIT_SEEDS` multiplies them.
const SIZES: [(usize, u64); 4] = [(8, 4), (58, 2), (295, 1), (780, 1)];

fn times() -> u64 {
    std::env::var("LIMIT_SEEDS").ok().and_then(|it| it.parse().ok()).unwrap_or(1)
}

const RATES: [f64; 4] = [0.1, 3.0, 40.0, 200.0];

struct Case {
    trouble: Trouble,
    /// Least share of a limit of 3 a second or more that is used, at three times as many requests.
    used: f64,
}

#[rstest]
#[case(Case { trouble: Trouble::None, used: 0.75 })]
#[case(Case { trouble: Trouble::Lossy, used: 0.6 })]
#[case(Case { trouble: Trouble::Kill, used: 0.5 })]
#[case(Case { trouble: Trouble::Freeze, used: 0.5 })]
#[case(Case { trouble: Trouble::Cut, used: 0.4 })]
#[case(Case { trouble: Trouble::Rolling, used: 0.5 })]
#[case(Case { trouble: Trouble::Herd, used: 0.5 })]
fn no_endpoint_gets_more_than_is_borne_over_all_nodes(#[case] case: Case) {
    let trouble = case.trouble;
    let mut failed = Vec::new();
    for (nodes, seeds) in SIZES {
        let seeds = seeds * times();
        for rate in RATES {
            for demand in [1.0, 3.0] {
                let play = |seed| Run { nodes, rate, demand, trouble, seed }.play();
                let outcomes: Vec<Outcome> = (0..seeds).map(play).collect();
                let most = outcomes.iter().map(|it| it.most).max().unwrap();
                let mean =
                    |of: fn(&Outcome) -> f64| outcomes.iter().map(of).sum::<f64>() / seeds as f64;
                let (used, asked) = (mean(|it| it.used), mean(|it| it.asked));
                let borne = 1.5 * rate * WINDOW as f64 / 1_000.0 + 5.0;
                let share = most as f64 / borne;
                println!(
                    "{trouble:?} nodes {nodes} rate {rate} demand {demand}: most {most} of {borne:.1} ({share:.2}), used {used:.2}, asked {asked:.1}/s"
                );
                let wasted = rate >= 3.0 && demand > 1.0 && used < case.used;
                if share > 1.0 || wasted {
                    failed.push((nodes, rate, demand, share, used));
                }
            }
        }
    }
    assert!(failed.is_empty(), "{failed:?}");
}
