//! Facade over all decisions of one node.

use crate::claims::{Claims, Doubt};
use crate::control_log;
use crate::detector::{Detector, Liveness};
use crate::ledger::{self, Ledger};
use crate::placement::{Chooser, Mode, Query};
use crate::reconcile::{self, Plan};
use crate::record::Leave;
use crate::retry::Budget;
use crate::slots::{self, Allocator, Decision, Request};
use crosslane_state::attempt;
use crosslane_state::incarnation::Incarnation;
use crosslane_state::load::{Report, Tracker};
use crosslane_state::member::Member;
use crosslane_state::policy::Version;
use crosslane_state::request::Key;
use crosslane_state::runner::{Id, Role, Runner, Table};
use crosslane_state::time::Millis;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Age up to which a load report is used.
const LOAD_REPORT_TTL_MS: u64 = 5_000;

/// Time for which a failed runner gets no requests.
const FAILURE_COOLDOWN_MS: u64 = 1_000;

/// Configuration of a node.
#[derive(Clone, Debug)]
pub struct Options {
    /// Incarnation of this node.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: String,
    /// Runners it may use.
    pub table: Table,
    /// Placement algorithm for runners.
    pub mode: Mode,
    /// Retries allowed, as a percentage of first attempts.
    pub retry_percent: u32,
    /// Silence after which a node is suspected, in milliseconds.
    pub suspect_millis: u64,
    /// Number of nodes to send heartbeats to.
    pub neighbours: usize,
    /// Whether slots are granted ahead of predicted releases.
    pub grant_early: bool,
    /// Bounds of the idempotency records.
    pub ledger: ledger::Limits,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Whether `candidate` is the same node as `other` or a later incarnation on its VM.
fn supersedes(candidate: &Member, other: &Member) -> bool {
    candidate.vm == other.vm && candidate.incarnation >= other.incarnation
}

/// Requirements on the runner of a request.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// Role of the runner.
    pub role: Role,
    /// Model or path prefix that it serves.
    pub serves: &'a str,
    /// Allowed failure domains; empty for all.
    pub domains: &'a [String],
    /// Runners that were already tried.
    pub exclude: &'a [Id],
    /// Expected time that the request holds a slot, in milliseconds.
    pub hold_ms: u64,
}

/// Node that handles a keyed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// This node, after these nodes have released the key.
    Local {
        /// Nodes that may know the key.
        release_from: Vec<Incarnation>,
    },
    /// Another node.
    Remote(Incarnation),
    /// None: every member has released the key.
    NoOwner,
}

/// Decisions of one node, with the state that they depend on.
#[derive(Debug)]
pub struct Node {
    options: Options,
    /// State replayed from the log.
    pub state: control_log::State,
    /// Load of runners.
    pub loads: Tracker,
    /// Idempotency records of keyed requests.
    pub ledger: Ledger,
    /// Retry budget.
    pub budget: Budget,
    /// Failure detector.
    pub detector: Detector,
    chooser: Chooser,
    allocators: HashMap<Id, Allocator>,
    gossiped_leaves: BTreeMap<String, Leave>,
    first_seen: HashMap<Incarnation, Millis>,
    provisional: BTreeMap<Incarnation, Member>,
    /// Claims on keys, with the departed nodes whose claims may be missing.
    pub claims: Claims,
    policy_versions: HashMap<Incarnation, Version>,
}

impl Node {
    /// A node with empty state.
    pub fn new(options: Options) -> Self {
        Self {
            state: control_log::State::default(),
            loads: Tracker::default(),
            ledger: Ledger::new(options.ledger),
            budget: Budget::new(options.retry_percent, options.seed),
            detector: Detector::new(options.suspect_millis),
            chooser: Chooser::new(options.mode, options.seed),
            allocators: HashMap::new(),
            gossiped_leaves: BTreeMap::new(),
            first_seen: HashMap::new(),
            provisional: BTreeMap::new(),
            claims: Claims::new(options.ledger.window_millis),
            policy_versions: HashMap::new(),
            options,
        }
    }

    /// Configuration of the node.
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// Updates everything derived from the replayed log.
    pub fn refresh(&mut self, now: Millis) {
        let members: Vec<_> = self.state.roster.iter().map(|member| member.incarnation).collect();
        let gone = |incarnation: &Incarnation| self.state.roster.get(*incarnation).is_none();
        let departed: Vec<_> = self.first_seen.keys().copied().filter(gone).collect();
        for incarnation in departed {
            self.first_seen.remove(&incarnation);
            self.policy_versions.remove(&incarnation);
            self.detector.forget(incarnation);
            let handed_over = self.state.released.contains(&incarnation);
            self.claims.record_departure(incarnation, handed_over, now);
        }
        for member in members {
            self.first_seen.entry(member).or_insert(now);
        }
        let neighbours: Vec<_> =
            self.neighbours().iter().map(|member| member.incarnation).collect();
        neighbours.into_iter().for_each(|neighbour| self.detector.watch(neighbour, now));
        let state = &self.state;
        self.gossiped_leaves
            .retain(|_, leave| !state.ended_leaves.contains(&leave.id) && state.is_current(leave));
        let roster = &self.state.roster;
        self.provisional
            .retain(|_, newcomer| !roster.iter().any(|member| supersedes(member, newcomer)));
        let owned: BTreeSet<_> = self.owned().map(|runner| runner.id).collect();
        self.allocators.retain(|id, _| owned.contains(id));
    }

    /// Adds a node whose join is not in the log, for instance during an outage of the log.
    pub fn add_provisional(&mut self, newcomer: Member, now: Millis) {
        let known = |member: &Member| supersedes(member, &newcomer);
        if self.state.roster.iter().any(known) || self.provisional.values().any(known) {
            return;
        }
        self.provisional.retain(|_, other| other.vm != newcomer.vm);
        self.detector.watch(newcomer.incarnation, now);
        self.provisional.insert(newcomer.incarnation, newcomer);
    }

    /// Nodes whose joins are not in the log.
    pub fn provisional_members(&self) -> Vec<Member> {
        self.provisional.values().cloned().collect()
    }

    /// Records that other nodes confirmed the death of a node.
    pub fn confirm_dead(&mut self, node: Incarnation, now: Millis) {
        self.detector.confirm(node, now);
        if self.provisional.remove(&node).is_some() {
            self.detector.forget(node);
        }
    }

    /// A node, whether its join is in the log or not.
    pub fn member(&self, incarnation: Incarnation) -> Option<&Member> {
        self.state.roster.get(incarnation).or_else(|| self.provisional.get(&incarnation))
    }

    /// Adds a leave announcement received outside the log. Returns whether it was new.
    pub fn add_leave(&mut self, leave: Leave) -> bool {
        let leave = self.state.with_node(leave);
        if self.state.ended_leaves.contains(&leave.id) || self.is_leaving(&leave.vm) {
            return false;
        }
        self.gossiped_leaves.insert(leave.vm.clone(), leave);
        true
    }

    /// Whether a runner or a member runs on a VM.
    pub fn has_vm(&self, vm: &str) -> bool {
        self.options.table.iter().any(|runner| runner.vm == vm)
            || self.state.roster.iter().any(|member| member.vm == vm)
    }

    /// Leave announcements to gossip.
    pub fn leaves_to_gossip(&self) -> impl Iterator<Item = &Leave> {
        self.gossiped_leaves.values().chain(self.state.leaving.values())
    }

    /// Leave announcements that are not in the log yet.
    pub fn unlogged_leaves(&self) -> Vec<Leave> {
        let known = |leave: &&Leave| !self.state.leaving.contains_key(&leave.vm);
        self.gossiped_leaves.values().filter(known).cloned().collect()
    }

    /// Whether a VM is announced as leaving.
    pub fn is_leaving(&self, vm: &str) -> bool {
        let announced = self.gossiped_leaves.get(vm).or_else(|| self.state.leaving.get(vm));
        announced.is_some_and(|leave| self.state.is_current(leave))
    }

    /// Whether a member's VM is announced as leaving.
    pub fn is_member_leaving(&self, incarnation: Incarnation) -> bool {
        self.state.roster.get(incarnation).is_some_and(|member| self.is_leaving(&member.vm))
    }

    /// Time since a member was first seen, in milliseconds.
    pub fn member_age_ms(&self, member: Incarnation, now: Millis) -> u64 {
        self.first_seen.get(&member).map_or(0, |seen| now.since(*seen))
    }

    /// Whether this node is the one to record the departure of a member whose VM is gone. The failure
    /// detector watches that member from now on.
    pub fn should_record_departure(&mut self, departed: Incarnation, now: Millis) -> bool {
        if departed != self.options.incarnation {
            self.detector.watch(departed, now);
        }
        let alive = |member| member != departed && self.liveness(member, now) == Liveness::Alive;
        self.liveness(departed, now) != Liveness::Alive
            && self.state.roster.owner(departed.0, alive) == Some(self.options.incarnation)
    }

    /// Nodes to send heartbeats to.
    pub fn neighbours(&self) -> Vec<&Member> {
        let this_node = self.options.incarnation;
        let mut neighbours = self.state.roster.neighbours(this_node, self.options.neighbours);
        neighbours
            .extend(self.provisional.values().filter(|newcomer| newcomer.incarnation != this_node));
        neighbours
    }

    /// The node that grants a runner's slots.
    pub fn owner(&self, runner: Id) -> Option<Incarnation> {
        self.state.roster.owner(runner.0, |member| !self.is_member_leaving(member))
    }

    /// Engines whose slots this node grants.
    pub fn owned(&self) -> impl Iterator<Item = &Runner> {
        let this_node = self.options.incarnation;
        self.options.table.iter().filter(move |runner| {
            runner.role != Role::Service && self.owner(runner.id) == Some(this_node)
        })
    }

    /// Engines with a dead owner that this node cleans up until the departure is in the log: those in
    /// whose ranking it is the first node that is alive and not leaving.
    pub fn taken_over(&self, now: Millis) -> Vec<Runner> {
        let alive = |member| self.liveness(member, now) == Liveness::Alive;
        let all_alive = self.state.roster.iter().all(|member| alive(member.incarnation));
        if all_alive {
            return Vec::new();
        }
        let roster = &self.state.roster;
        let eligible = |member: Incarnation| alive(member) && !self.is_member_leaving(member);
        let assigned_here = |runner: &&Runner| {
            let owner = self.owner(runner.id);
            runner.role != Role::Service
                && owner.is_some_and(|owner| self.liveness(owner, now) == Liveness::Dead)
                && roster.owner(runner.id.0, eligible) == Some(self.options.incarnation)
        };
        self.options.table.iter().filter(assigned_here).cloned().collect()
    }

    /// Attempts to cancel at an engine whose owner is dead: only those made by dead nodes. Slots are
    /// granted again only once the engine has an owner.
    pub fn orphans(&self, held: &[attempt::Id], now: Millis) -> Vec<attempt::Id> {
        let held: Vec<_> = held.iter().map(|attempt| (*attempt, false)).collect();
        reconcile::plan(&held, |origin| self.liveness(origin, now)).cancel
    }

    /// Chooses a runner. Prefers those with a recent load report, then those that have not failed
    /// recently.
    pub fn place(&mut self, requirements: Requirements<'_>, now: Millis) -> Option<Id> {
        let Requirements { role, serves, domains, exclude: avoid, hold_ms: work } = requirements;
        let (gossiped, state) = (&self.gossiped_leaves, &self.state);
        let table = &self.options.table;
        let loads = &self.loads;
        let query = Query { pool: table.pool(role, serves), table, loads, hold_ms: work, now };
        let allowed = |runner: &Runner| {
            !gossiped.contains_key(&runner.vm)
                && !state.leaving.contains_key(&runner.vm)
                && !avoid.contains(&runner.id)
                && (domains.is_empty() || domains.contains(&runner.domain))
        };
        let is_fresh = |runner: &Runner| {
            role == Role::Service
                || now.since(loads.estimate(runner.id).reported_at) < LOAD_REPORT_TTL_MS
        };
        let chosen = self
            .chooser
            .choose(query, |runner| allowed(runner) && is_fresh(runner))
            .or_else(|| self.chooser.choose(query, allowed))
            .or_else(|| self.chooser.choose(Query { now: Millis(u64::MAX), ..query }, allowed))?;
        self.loads.record_sent(chosen);
        Some(chosen)
    }

    /// Excludes a failed runner from placement for a short time.
    pub fn mark_failed(&mut self, runner: Id, now: Millis) {
        self.loads.avoid(runner, now + FAILURE_COOLDOWN_MS);
    }

    /// Requests a slot of an owned runner; `None` means that the request is queued.
    pub fn request_slot(&mut self, runner: Id, request: Request, now: Millis) -> Option<Decision> {
        match self.allocator(runner) {
            Some(allocator) => allocator.request_slot(request, now),
            None => Some(Decision::NotOwner),
        }
    }

    /// The decision for an attempt that holds a slot.
    pub fn slot_decision(&self, runner: Id, attempt: attempt::Id, now: Millis) -> Option<Decision> {
        self.allocators.get(&runner)?.decision(attempt, now)
    }

    /// Frees a slot and returns the attempts that were granted one in turn.
    pub fn release(&mut self, runner: Id, attempt: attempt::Id, now: Millis) -> Vec<attempt::Id> {
        self.allocators
            .get_mut(&runner)
            .map_or_else(Vec::new, |allocator| allocator.release(attempt, now))
    }

    /// Removes waiting requests that are past their deadline or whose runner is down or leaving;
    /// returns each attempt with its retry delay in milliseconds.
    pub fn expire(&mut self, now: Millis) -> Vec<(attempt::Id, u64)> {
        let mut expired = Vec::new();
        let leaving = |id: &Id| {
            self.options.table.find(*id).is_some_and(|runner| self.is_leaving(&runner.vm))
        };
        let unavailable: Vec<_> = self.allocators.keys().copied().filter(leaving).collect();
        for id in unavailable {
            self.allocators.entry(id).and_modify(|allocator| allocator.set_responsive(false));
        }
        for allocator in self.allocators.values_mut() {
            let retry_after = allocator.retry_after(now);
            expired.extend(allocator.expire(now).into_iter().map(|attempt| (attempt, retry_after)));
        }
        expired
    }

    /// Grants slots that became available by the passing of time, as predicted releases do.
    pub fn grant_waiting(&mut self, now: Millis) -> Vec<attempt::Id> {
        self.allocators.values_mut().flat_map(|allocator| allocator.grant_waiting(now)).collect()
    }

    /// Load of the owned runners.
    pub fn load_reports(&self, now: Millis) -> Vec<(Id, Report)> {
        self.allocators.iter().map(|(id, allocator)| (*id, allocator.report(now))).collect()
    }

    /// Compares the attempts listed by an owned engine with the slots granted, and returns what to
    /// do about them.
    pub fn reconcile(&mut self, runner: Id, held: &[attempt::Id], now: Millis) -> Option<Plan> {
        let vm = self.options.table.find(runner)?.vm.clone();
        let leaving = self.is_leaving(&vm);
        let allocator = self.allocator(runner)?;
        allocator.set_responsive(!leaving);
        allocator.adopt(held, now);
        let holders = allocator.held_attempts(now);
        Some(reconcile::plan(&holders, |origin| self.liveness(origin, now)))
    }

    /// Records that an owned engine does not respond.
    pub fn mark_unresponsive(&mut self, runner: Id) {
        if let Some(allocator) = self.allocator(runner) {
            allocator.set_responsive(false);
        }
    }

    /// Records that another node reports a silent node as alive. A node that is not a neighbour is no
    /// longer watched, as it sends no heartbeats here.
    pub fn confirm_alive(&mut self, node: Incarnation, now: Millis) {
        if self.neighbours().iter().any(|member| member.incarnation == node) {
            self.detector.record_contact(node, now);
        } else {
            self.detector.forget(node);
        }
    }

    /// Liveness of a node as seen here; a member that is not watched counts as alive.
    pub fn liveness(&self, node: Incarnation, now: Millis) -> Liveness {
        if node == self.options.incarnation {
            return Liveness::Alive;
        }
        if self.member(node).is_none() {
            return Liveness::Dead;
        }
        if !self.detector.is_watching(node) {
            return Liveness::Alive;
        }
        self.detector.liveness(node, now)
    }

    /// Node that handles a keyed request. Nodes in `released_by` have released the key.
    ///
    /// If all members are leaving, the first one still owns the key, so that a key never has two
    /// owners.
    pub fn route(&self, key: &Key, released_by: &[Incarnation], now: Millis) -> Route {
        let this_node = self.options.incarnation;
        let ranked = self.state.roster.ranked(key.hash());
        let eligible = |member: &&Incarnation| {
            !self.is_member_leaving(**member) && !released_by.contains(member)
        };
        let fallback = || ranked.iter().find(|member| !released_by.contains(member));
        match ranked.iter().find(eligible).or_else(fallback) {
            Some(owner) if *owner == this_node => {
                Route::Local { release_from: self.previous_owners(&ranked, now) }
            }
            Some(owner) => Route::Remote(*owner),
            None => Route::NoOwner,
        }
    }

    /// Members that may have owned a key before this node did.
    fn previous_owners(&self, ranked: &[Incarnation], now: Millis) -> Vec<Incarnation> {
        let this_node = self.options.incarnation;
        let window = self.options.ledger.window_millis;
        let joined_recently = |member: &Incarnation| {
            self.first_seen.get(member).is_none_or(|seen| now.since(*seen) < window)
        };
        let rank = ranked.iter().position(|member| *member == this_node).unwrap_or(ranked.len());
        let mut owners = ranked[..rank].to_vec();
        if joined_recently(&this_node) {
            for member in ranked.iter().skip(rank + 1) {
                owners.push(*member);
                if !joined_recently(member) {
                    break;
                }
            }
        }
        owners
    }

    /// Why a request may have been run by another node although the ledger has no record of its key.
    pub fn doubt(&self, key: &Key) -> Option<Doubt> {
        self.claims.doubt(key.hash(), self.options.incarnation)
    }

    /// The member that owns a key once this node has departed.
    pub fn successor(&self, key: &Key) -> Option<&Member> {
        let this_node = self.options.incarnation;
        let next = self
            .state
            .roster
            .owner(key.hash(), |member| member != this_node && !self.is_member_leaving(member))?;
        self.state.roster.get(next)
    }

    /// Records the policy version in force at a node.
    pub fn record_version(&mut self, node: Incarnation, version: Version) {
        self.policy_versions.insert(node, version);
    }

    /// Policy version that this node is to confirm for its failure domain, if any.
    ///
    /// The member with the lowest incarnation confirms once the version is in force at all members
    /// of the domain.
    pub fn version_to_confirm(&self) -> Option<Version> {
        let newest = self.state.history.back()?;
        let domain = &self.options.domain;
        if newest.accepted || newest.confirmed.contains(domain) {
            return None;
        }
        let mut members = self.state.roster.iter().filter(|member| member.domain == *domain);
        let all_updated = members.clone().all(|member| {
            member.incarnation == self.options.incarnation
                || self
                    .policy_versions
                    .get(&member.incarnation)
                    .is_some_and(|version| *version >= newest.version)
        });
        let is_first = members.next()?.incarnation == self.options.incarnation;
        (is_first && all_updated).then_some(newest.version)
    }

    fn allocator(&mut self, runner: Id) -> Option<&mut Allocator> {
        if self.owner(runner) != Some(self.options.incarnation) {
            return None;
        }
        let described = self.options.table.find(runner)?;
        let limits = slots::Limits {
            slots: described.slots,
            kv_tokens: described.kv_tokens,
            grant_early: self.options.grant_early,
        };
        Some(self.allocators.entry(runner).or_insert_with(|| Allocator::new(limits)))
    }
}
