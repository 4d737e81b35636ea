//! All that one node decides, behind one door.

use crate::claims::{Claims, Doubt};
use crate::detector::{Belief, Detector};
use crate::fold;
use crate::ledger::{self, Ledger};
use crate::placement::{Chooser, Mode, Query};
use crate::reconcile::{self, Plan};
use crate::record::Leave;
use crate::retry::Budget;
use crate::slots::{self, Allocator, Ask, Grant};
use crosslane_state::attempt;
use crosslane_state::incarnation::Incarnation;
use crosslane_state::load::{Report, Tracker};
use crosslane_state::member::Member;
use crosslane_state::policy::Version;
use crosslane_state::request::Key;
use crosslane_state::runner::{Id, Role, Runner, Table};
use crosslane_state::time::Millis;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Age up to which a load report counts, in milliseconds.
const KNOWN_MILLIS: u64 = 5_000;

/// Time for which a failed runner is left alone, in milliseconds.
const SHUN_MILLIS: u64 = 1_000;

/// What a node starts with.
#[derive(Clone, Debug)]
pub struct Options {
    /// This node.
    pub me: Incarnation,
    /// Its failure domain.
    pub domain: String,
    /// Runners it may use.
    pub table: Table,
    /// How runners are chosen.
    pub mode: Mode,
    /// Retries as a percentage of fresh requests.
    pub retry_percent: u32,
    /// Silence after which a node is suspected, in milliseconds.
    pub suspect_millis: u64,
    /// Nodes that heartbeats go to.
    pub neighbours: usize,
    /// Whether slots are granted ahead of predicted releases.
    pub ahead: bool,
    /// Bounds of the ledger.
    pub ledger: ledger::Limits,
    /// Seed of every random choice.
    pub seed: u64,
}

/// Whether one is the same node as another, or a later start on its VM.
fn supersedes(one: &Member, other: &Member) -> bool {
    one.vm == other.vm && one.incarnation >= other.incarnation
}

/// Which runners will do for a request.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
    /// What they do.
    pub role: Role,
    /// Model or path prefix.
    pub serves: &'a str,
    /// Failure domains; empty for all.
    pub domains: &'a [String],
    /// Runners that have been tried.
    pub avoid: &'a [Id],
    /// How long the request will hold a slot, in milliseconds.
    pub work: u64,
}

/// Where a keyed request is to be handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// Here, after these nodes have given the key up.
    Here {
        /// Nodes that may know the key.
        ask: Vec<Incarnation>,
    },
    /// At another node.
    There(Incarnation),
    /// Every member has given it up.
    Nowhere,
}

/// A node's decisions and what they rest on.
#[derive(Debug)]
pub struct Node {
    options: Options,
    /// The folded log.
    pub state: fold::State,
    /// Load of runners.
    pub board: Tracker,
    /// Endings of keyed requests.
    pub ledger: Ledger,
    /// Retries left.
    pub budget: Budget,
    /// Which nodes live.
    pub detector: Detector,
    chooser: Chooser,
    allocators: HashMap<Id, Allocator>,
    told: BTreeMap<String, Leave>,
    joined: HashMap<Incarnation, Millis>,
    guests: BTreeMap<Incarnation, Member>,
    /// Claims, and what departed nodes may have claimed.
    pub claims: Claims,
    versions: HashMap<Incarnation, Version>,
}

impl Node {
    /// A node that knows nothing yet.
    pub fn new(options: Options) -> Self {
        Self {
            state: fold::State::default(),
            board: Tracker::default(),
            ledger: Ledger::new(options.ledger),
            budget: Budget::new(options.retry_percent, options.seed),
            detector: Detector::new(options.suspect_millis),
            chooser: Chooser::new(options.mode, options.seed),
            allocators: HashMap::new(),
            told: BTreeMap::new(),
            joined: HashMap::new(),
            guests: BTreeMap::new(),
            claims: Claims::new(options.ledger.window_millis),
            versions: HashMap::new(),
            options,
        }
    }

    /// What it was started with.
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// Brings what follows from the folded log up to date.
    pub fn refresh(&mut self, now: Millis) {
        let members: Vec<_> = self.state.roster.iter().map(|it| it.incarnation).collect();
        let gone = |it: &Incarnation| self.state.roster.get(*it).is_none();
        let left: Vec<_> = self.joined.keys().copied().filter(gone).collect();
        for incarnation in left {
            self.joined.remove(&incarnation);
            self.versions.remove(&incarnation);
            self.detector.forget(incarnation);
            let settled = self.state.released.contains(&incarnation);
            self.claims.departed(incarnation, settled, now);
        }
        for member in members {
            self.joined.entry(member).or_insert(now);
        }
        let near: Vec<_> = self.neighbours().iter().map(|it| it.incarnation).collect();
        near.into_iter().for_each(|it| self.detector.watch(it, now));
        let state = &self.state;
        self.told.retain(|_, it| !state.ended.contains(&it.id) && state.stands(it));
        let roster = &self.state.roster;
        self.guests.retain(|_, guest| !roster.iter().any(|it| supersedes(it, guest)));
        let mine: BTreeSet<_> = self.owned().map(|it| it.id).collect();
        self.allocators.retain(|id, _| mine.contains(id));
    }

    /// Takes in a node that the log does not have yet, or can't have while it is out.
    pub fn welcome(&mut self, guest: Member, now: Millis) {
        let known = |it: &Member| supersedes(it, &guest);
        if self.state.roster.iter().any(known) || self.guests.values().any(known) {
            return;
        }
        self.guests.retain(|_, it| it.vm != guest.vm);
        self.detector.watch(guest.incarnation, now);
        self.guests.insert(guest.incarnation, guest);
    }

    /// Nodes that the log does not have.
    pub fn guests(&self) -> Vec<Member> {
        self.guests.values().cloned().collect()
    }

    /// Takes the word of others that a node is dead.
    pub fn bury(&mut self, node: Incarnation, now: Millis) {
        self.detector.confirm(node, now);
        if self.guests.remove(&node).is_some() {
            self.detector.forget(node);
        }
    }

    /// A member or guest.
    pub fn member(&self, incarnation: Incarnation) -> Option<&Member> {
        self.state.roster.get(incarnation).or_else(|| self.guests.get(&incarnation))
    }

    /// Takes an announcement that came past the log; true when it was new.
    pub fn tell(&mut self, leave: Leave) -> bool {
        let leave = self.state.stamped(leave);
        if self.state.ended.contains(&leave.id) || self.is_leaving(&leave.vm) {
            return false;
        }
        self.told.insert(leave.vm.clone(), leave);
        true
    }

    /// Whether a VM has a runner or a member of its own.
    pub fn has_vm(&self, vm: &str) -> bool {
        self.options.table.iter().any(|it| it.vm == vm)
            || self.state.roster.iter().any(|it| it.vm == vm)
    }

    /// Announcements to pass on.
    pub fn told(&self) -> impl Iterator<Item = &Leave> {
        self.told.values().chain(self.state.leaving.values())
    }

    /// Announcements that the log does not have yet.
    pub fn untold(&self) -> Vec<Leave> {
        let known = |it: &&Leave| !self.state.leaving.contains_key(&it.vm);
        self.told.values().filter(known).cloned().collect()
    }

    /// Whether a VM is announced as leaving.
    pub fn is_leaving(&self, vm: &str) -> bool {
        let announced = self.told.get(vm).or_else(|| self.state.leaving.get(vm));
        announced.is_some_and(|it| self.state.stands(it))
    }

    /// Whether a member's VM is announced as leaving.
    pub fn member_leaving(&self, incarnation: Incarnation) -> bool {
        self.state.roster.get(incarnation).is_some_and(|it| self.is_leaving(&it.vm))
    }

    /// How long ago a member was first seen, in milliseconds.
    pub fn member_age(&self, member: Incarnation, now: Millis) -> u64 {
        self.joined.get(&member).map_or(0, |joined| now.since(*joined))
    }

    /// Whether this node is to record the departure of a member whose VM is gone; it is
    /// watched from now on.
    pub fn departure_due(&mut self, gone: Incarnation, now: Millis) -> bool {
        if gone != self.options.me {
            self.detector.watch(gone, now);
        }
        let alive = |it| it != gone && self.belief(it, now) == Belief::Alive;
        self.belief(gone, now) != Belief::Alive
            && self.state.roster.owner(gone.0, alive) == Some(self.options.me)
    }

    /// Nodes that heartbeats go to.
    pub fn neighbours(&self) -> Vec<&Member> {
        let me = self.options.me;
        let mut neighbours = self.state.roster.neighbours(me, self.options.neighbours);
        neighbours.extend(self.guests.values().filter(|it| it.incarnation != me));
        neighbours
    }

    /// The node that grants a runner's slots.
    pub fn owner(&self, runner: Id) -> Option<Incarnation> {
        self.state.roster.owner(runner.0, |it| !self.member_leaving(it))
    }

    /// Engines whose slots this node grants.
    pub fn owned(&self) -> impl Iterator<Item = &Runner> {
        let me = self.options.me;
        self.options
            .table
            .iter()
            .filter(move |it| it.role != Role::Service && self.owner(it.id) == Some(me))
    }

    /// Engines whose owner is dead, and which this node is to look after until the log has the
    /// departure: it is the first in their ranking that is believed alive.
    pub fn taken_over(&self, now: Millis) -> Vec<Runner> {
        let alive = |it| self.belief(it, now) == Belief::Alive;
        let all_alive = self.state.roster.iter().all(|it| alive(it.incarnation));
        if all_alive {
            return Vec::new();
        }
        let roster = &self.state.roster;
        let eligible = |it: Incarnation| alive(it) && !self.member_leaving(it);
        let mine = |it: &&Runner| {
            let owner = self.owner(it.id);
            it.role != Role::Service
                && owner.is_some_and(|owner| self.belief(owner, now) == Belief::Dead)
                && roster.owner(it.id.0, eligible) == Some(self.options.me)
        };
        self.options.table.iter().filter(mine).cloned().collect()
    }

    /// What to cancel at an engine whose owner is dead: just what dead nodes left there. Slots are
    /// granted again only by an owner.
    pub fn orphans(&self, held: &[attempt::Id], now: Millis) -> Vec<attempt::Id> {
        let held: Vec<_> = held.iter().map(|it| (*it, false)).collect();
        reconcile::plan(&held, |origin| self.belief(origin, now)).cancel
    }

    /// Chooses a runner of a pool.
    pub fn place(&mut self, wanted: Wanted<'_>, now: Millis) -> Option<Id> {
        let Wanted { role, serves, domains, avoid, work } = wanted;
        let (told, state) = (&self.told, &self.state);
        let table = &self.options.table;
        let board = &self.board;
        let query = Query { pool: table.pool(role, serves), table, board, work, now };
        let allowed = |runner: &Runner| {
            !told.contains_key(&runner.vm)
                && !state.leaving.contains_key(&runner.vm)
                && !avoid.contains(&runner.id)
                && (domains.is_empty() || domains.contains(&runner.domain))
        };
        let known = |runner: &Runner| {
            role == Role::Service || now.since(board.estimate(runner.id).reported_at) < KNOWN_MILLIS
        };
        let chosen = self
            .chooser
            .choose(query, |runner| allowed(runner) && known(runner))
            .or_else(|| self.chooser.choose(query, allowed))
            .or_else(|| self.chooser.choose(Query { now: Millis(u64::MAX), ..query }, allowed))?;
        self.board.record_sent(chosen);
        Some(chosen)
    }

    /// Keeps requests away from a runner that failed.
    pub fn failed(&mut self, runner: Id, now: Millis) {
        self.board.avoid(runner, now + SHUN_MILLIS);
    }

    /// Asks for a slot of an owned runner; `None` means that the answer comes later.
    pub fn ask(&mut self, runner: Id, ask: Ask, now: Millis) -> Option<Grant> {
        match self.allocator(runner) {
            Some(allocator) => allocator.ask(ask, now),
            None => Some(Grant::NotOwner),
        }
    }

    /// The grant of an attempt that holds a slot.
    pub fn granted(&self, runner: Id, attempt: attempt::Id, now: Millis) -> Option<Grant> {
        self.allocators.get(&runner)?.granted(attempt, now)
    }

    /// Frees a slot and returns the attempts granted in turn.
    pub fn release(&mut self, runner: Id, attempt: attempt::Id, now: Millis) -> Vec<attempt::Id> {
        self.allocators.get_mut(&runner).map_or_else(Vec::new, |it| it.release(attempt, now))
    }

    /// Gives up on waiters whose time is over: each with when to come back.
    pub fn expire(&mut self, now: Millis) -> Vec<(attempt::Id, u64)> {
        let mut over = Vec::new();
        let leaving = |id: &Id| {
            self.options.table.find(*id).is_some_and(|runner| self.is_leaving(&runner.vm))
        };
        let closed: Vec<_> = self.allocators.keys().copied().filter(leaving).collect();
        for id in closed {
            self.allocators.entry(id).and_modify(|it| it.answers(false));
        }
        for allocator in self.allocators.values_mut() {
            let retry_after = allocator.retry_after(now);
            over.extend(allocator.expire(now).into_iter().map(|it| (it, retry_after)));
        }
        over
    }

    /// Grants what time alone has made grantable.
    pub fn serve(&mut self, now: Millis) -> Vec<attempt::Id> {
        self.allocators.values_mut().flat_map(|it| it.serve(now)).collect()
    }

    /// Load of the owned runners.
    pub fn reports(&self, now: Millis) -> Vec<(Id, Report)> {
        self.allocators.iter().map(|(id, it)| (*id, it.report(now))).collect()
    }

    /// What to do about the list of an engine that this node owns.
    pub fn reconcile(&mut self, runner: Id, held: &[attempt::Id], now: Millis) -> Option<Plan> {
        let vm = self.options.table.find(runner)?.vm.clone();
        let leaving = self.is_leaving(&vm);
        let allocator = self.allocator(runner)?;
        allocator.answers(!leaving);
        allocator.adopt(held, now);
        let all = allocator.verify(now);
        Some(reconcile::plan(&all, |origin| self.belief(origin, now)))
    }

    /// Notes that an owned engine does not answer.
    pub fn silent(&mut self, runner: Id) {
        if let Some(allocator) = self.allocator(runner) {
            allocator.answers(false);
        }
    }

    /// Takes the word of another that a silent node lives; one that is not a neighbour is
    /// watched no longer, as it sends no heartbeats here.
    pub fn vouched(&mut self, node: Incarnation, now: Millis) {
        if self.neighbours().iter().any(|it| it.incarnation == node) {
            self.detector.heard(node, now);
        } else {
            self.detector.forget(node);
        }
    }

    /// What is believed of a node; one that is not watched counts as alive.
    pub fn belief(&self, node: Incarnation, now: Millis) -> Belief {
        if node == self.options.me {
            return Belief::Alive;
        }
        if self.member(node).is_none() {
            return Belief::Dead;
        }
        if !self.detector.watches(node) {
            return Belief::Alive;
        }
        self.detector.belief(node, now)
    }

    /// Where a keyed request is to be handled; nodes in `passed` have given the key up.
    ///
    /// When every member is leaving, the first still owns the key, so that two never do.
    pub fn route(&self, key: &Key, passed: &[Incarnation], now: Millis) -> Route {
        let me = self.options.me;
        let ranked = self.state.roster.ranked(key.hash());
        let eligible = |it: &&Incarnation| !self.member_leaving(**it) && !passed.contains(it);
        let fallback = || ranked.iter().find(|it| !passed.contains(it));
        match ranked.iter().find(eligible).or_else(fallback) {
            Some(owner) if *owner == me => Route::Here { ask: self.predecessors(&ranked, now) },
            Some(owner) => Route::There(*owner),
            None => Route::Nowhere,
        }
    }

    /// Members that may have owned a key before this node did.
    fn predecessors(&self, ranked: &[Incarnation], now: Millis) -> Vec<Incarnation> {
        let me = self.options.me;
        let window = self.options.ledger.window_millis;
        let recent =
            |it: &Incarnation| self.joined.get(it).is_none_or(|joined| now.since(*joined) < window);
        let place = ranked.iter().position(|it| *it == me).unwrap_or(ranked.len());
        let mut ask = ranked[..place].to_vec();
        if recent(&me) {
            for member in ranked.iter().skip(place + 1) {
                ask.push(*member);
                if !recent(member) {
                    break;
                }
            }
        }
        ask
    }

    /// What else than the ledger says that a key may have been run by another node.
    pub fn doubt(&self, key: &Key) -> Option<Doubt> {
        self.claims.doubt(key.hash(), self.options.me)
    }

    /// The member that owns a key next, should this node depart.
    pub fn successor(&self, key: &Key) -> Option<&Member> {
        let me = self.options.me;
        let next =
            self.state.roster.owner(key.hash(), |it| it != me && !self.member_leaving(it))?;
        self.state.roster.get(next)
    }

    /// Takes note of the version in force at a node.
    pub fn saw_version(&mut self, node: Incarnation, version: Version) {
        self.versions.insert(node, version);
    }

    /// A version that this node is to confirm for its failure domain, if any.
    ///
    /// The member with the lowest incarnation confirms once all members of the domain have
    /// the version in force.
    pub fn confirmation(&self) -> Option<Version> {
        let newest = self.state.history.back()?;
        let domain = &self.options.domain;
        if newest.accepted || newest.confirmed.contains(domain) {
            return None;
        }
        let mut members = self.state.roster.iter().filter(|it| it.domain == *domain);
        let all = members.clone().all(|it| {
            it.incarnation == self.options.me
                || self.versions.get(&it.incarnation).is_some_and(|v| *v >= newest.version)
        });
        let first = members.next()?.incarnation == self.options.me;
        (first && all).then_some(newest.version)
    }

    fn allocator(&mut self, runner: Id) -> Option<&mut Allocator> {
        if self.owner(runner) != Some(self.options.me) {
            return None;
        }
        let described = self.options.table.find(runner)?;
        let limits = slots::Limits {
            slots: described.slots,
            kv_tokens: described.kv_tokens,
            ahead: self.options.ahead,
        };
        Some(self.allocators.entry(runner).or_insert_with(|| Allocator::new(limits)))
    }
}
