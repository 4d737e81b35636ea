//! Slots of one runner, granted by the one node that owns the runner.
//!
//! Requests that find no slot wait here, before any prefill is spent on them: quick before
//! patient, organisations with fewer slots first, then by deadline. A patient request that
//! has waited long counts as quick, so none is starved. One that can't start in time is
//! refused at once.

use crosslane_state::attempt::Id;
use crosslane_state::load::Report;
use crosslane_state::request::{Class, Organisation};
use crosslane_state::time::Millis;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

/// Weight of a new sample in the mean ratio of actual to expected holding, as one over this.
const SMOOTHING: u64 = 16;

/// Fixed-point one of that ratio.
const RATIO_ONE: u64 = 1_024;

/// Bounds of one sample of that ratio.
const RATIO_BOUNDS: (u64, u64) = (RATIO_ONE / 8, RATIO_ONE * 8);

/// Wait after which a patient request counts as quick, in milliseconds.
const AGED_MILLIS: u64 = 5_000;

/// Shortest advice on when to come back, in milliseconds.
const RETRY_FLOOR_MILLIS: u64 = 100;

/// Time after which a holder's maker is asked whether it still wants the slot, in milliseconds.
const VERIFY_MILLIS: u64 = 3_000;

/// Time for which a released attempt is not adopted again, in milliseconds.
const RELEASED_MILLIS: u64 = 3_000;

/// Advice on when to come back to a runner that is down, in milliseconds.
const DOWN_MILLIS: u64 = 1_000;

/// Waiting requests per slot.
const QUEUE_PER_SLOT: usize = 64;

/// A request for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Who will hold it.
    pub attempt: Id,
    /// Urgency.
    pub class: Class,
    /// On whose behalf.
    pub organisation: Organisation,
    /// KV cache needed, in tokens.
    pub kv_tokens: u64,
    /// How long it may wait before its work must begin, in milliseconds.
    pub patience: u64,
    /// How long before use it is needed, in milliseconds: a prefill runs in between.
    pub lead: u64,
    /// How long it will be held, as far as the asker can tell, in milliseconds.
    pub hold: u64,
    /// How long the runner's link will carry the KV cache, in milliseconds.
    pub transfer: u64,
}

/// Answer to an ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Grant {
    /// The slot is held, and the link from the end of a prefill on.
    Granted {
        /// Milliseconds until the prefill is to start, so that it ends when the link is free.
        start_in: u64,
        /// Expected wait of the next ask, in milliseconds.
        wait: u32,
    },
    /// No slot in time; coming back after this many milliseconds helps.
    Refused {
        /// Milliseconds.
        retry_after: u64,
    },
    /// This node does not own the runner.
    NotOwner,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    organisation: Organisation,
    kv_tokens: u64,
    hold: u64,
    since: Millis,
    checked: Millis,
    adopted: bool,
    start_in: u64,
}

#[derive(Clone, Copy, Debug)]
struct Waiter {
    ask: Ask,
    since: Millis,
    order: u64,
}

impl Waiter {
    fn deadline(&self) -> Millis {
        self.since + self.ask.patience
    }

    fn class(&self, now: Millis) -> Class {
        if now.since(self.since) >= AGED_MILLIS { Class::Quick } else { self.ask.class }
    }
}

/// Limits of a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Requests held at once.
    pub slots: u32,
    /// KV cache, in tokens; zero for no bound.
    pub kv_tokens: u64,
    /// Whether a slot is granted ahead of a predicted release, by at most the ask's lead.
    pub ahead: bool,
}

/// Grants the slots of one runner.
#[derive(Clone, Debug)]
pub struct Allocator {
    limits: Limits,
    holders: HashMap<Id, Holder>,
    kv_held: u64,
    held_by: BTreeMap<Organisation, u32>,
    waiters: Vec<Waiter>,
    ratio: u64,
    order: u64,
    released: HashMap<Id, Millis>,
    down: bool,
    link_free: Millis,
}

impl Allocator {
    /// An allocator with every slot free.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            holders: HashMap::new(),
            kv_held: 0,
            held_by: BTreeMap::new(),
            waiters: Vec::new(),
            ratio: RATIO_ONE,
            order: 0,
            released: HashMap::new(),
            down: false,
            link_free: Millis::default(),
        }
    }

    /// Grants, refuses, or with `None` queues an ask; asking twice changes nothing.
    pub fn ask(&mut self, ask: Ask, now: Millis) -> Option<Grant> {
        if let Some(grant) = self.granted(ask.attempt, now) {
            return Some(grant);
        }
        if self.down {
            return Some(Grant::Refused { retry_after: DOWN_MILLIS });
        }
        if self.waiters.iter().any(|it| it.ask.attempt == ask.attempt) {
            return None;
        }
        let ahead = self.waiters.iter().filter(|it| it.class(now) <= ask.class).count();
        let link = self.link_wait(&ask, now);
        if ask.transfer > 0 && link > ask.patience {
            return Some(Grant::Refused { retry_after: link.max(RETRY_FLOOR_MILLIS) });
        }
        if ahead == 0 && self.fits(&ask, now) {
            self.hold(&ask, now);
            return self.granted(ask.attempt, now);
        }
        let wait = self.wait_millis(|it| it.class(now) <= ask.class, now);
        let full = self.waiters.len() >= self.limits.slots as usize * QUEUE_PER_SLOT;
        if wait > ask.patience.saturating_add(ask.lead) || full {
            return Some(Grant::Refused { retry_after: wait.max(RETRY_FLOOR_MILLIS) });
        }
        self.order += 1;
        self.waiters.push(Waiter { ask, since: now, order: self.order });
        None
    }

    /// The grant of an attempt that holds a slot.
    pub fn granted(&self, attempt: Id, now: Millis) -> Option<Grant> {
        let holder = self.holders.get(&attempt)?;
        let wait = self.report(now).wait_millis;
        Some(Grant::Granted { start_in: holder.start_in, wait })
    }

    /// Frees what an attempt holds or waits for and returns the attempts granted in turn.
    pub fn release(&mut self, attempt: Id, now: Millis) -> Vec<Id> {
        self.waiters.retain(|it| it.ask.attempt != attempt);
        self.released.insert(attempt, now);
        self.free(attempt, now);
        self.serve(now)
    }

    /// Grants what now fits, in order, and returns the attempts.
    pub fn serve(&mut self, now: Millis) -> Vec<Id> {
        let mut granted = Vec::new();
        while let Some(place) = self.first(now) {
            if !self.fits(&self.waiters[place].ask.clone(), now) {
                break;
            }
            let waiter = self.waiters.swap_remove(place);
            self.hold(&waiter.ask, now);
            granted.push(waiter.ask.attempt);
        }
        granted
    }

    /// Notes whether the runner answers; while it doesn't, nothing is granted.
    pub fn answers(&mut self, answers: bool) {
        self.down = !answers;
    }

    /// Gives up on waiters whose time is over, or whose runner is down, and returns them.
    pub fn expire(&mut self, now: Millis) -> Vec<Id> {
        let (over, rest) = self.waiters.iter().partition(|it| self.down || it.deadline() <= now);
        self.waiters = rest;
        let over: Vec<Waiter> = over;
        over.into_iter().map(|it| it.ask.attempt).collect()
    }

    /// Counts attempts that the engine holds but that were granted by an earlier owner, until
    /// the engine no longer lists them.
    ///
    /// One released a moment ago may still be in a list that was asked for before.
    pub fn adopt(&mut self, listed: &[Id], now: Millis) {
        self.released.retain(|_, at| now.since(*at) < RELEASED_MILLIS);
        let gone = |(attempt, holder): (&Id, &Holder)| {
            (holder.adopted && !listed.contains(attempt)).then_some(*attempt)
        };
        let ended: Vec<Id> = self.holders.iter().filter_map(gone).collect();
        for attempt in ended {
            self.free(attempt, now);
        }
        for attempt in listed {
            if !self.holders.contains_key(attempt) && !self.released.contains_key(attempt) {
                let unknown = Ask {
                    attempt: *attempt,
                    class: Class::Patient,
                    organisation: Organisation(0),
                    kv_tokens: 0,
                    patience: 0,
                    lead: 0,
                    hold: 0,
                    transfer: 0,
                };
                self.hold(&unknown, now);
                self.holders.entry(*attempt).and_modify(|it| it.adopted = true);
            }
        }
    }

    /// Attempts that hold slots, each with whether its maker is to be asked again now.
    pub fn verify(&mut self, now: Millis) -> Vec<(Id, bool)> {
        let mut held = Vec::with_capacity(self.holders.len());
        for (attempt, holder) in &mut self.holders {
            let due = now.since(holder.checked) >= VERIFY_MILLIS;
            if due {
                holder.checked = now;
            }
            held.push((*attempt, due));
        }
        held.sort_unstable();
        held
    }

    /// How busy the runner is.
    pub fn report(&self, now: Millis) -> Report {
        let wait = if self.down { u64::MAX } else { self.wait_millis(|_| true, now) };
        Report {
            busy: self.holders.len() as u32,
            waiting: self.waiters.len() as u32,
            wait_millis: u32::try_from(wait).unwrap_or(u32::MAX),
        }
    }

    /// Advice on when to come back, in milliseconds.
    pub fn retry_after(&self, now: Millis) -> u64 {
        self.wait_millis(|_| true, now).max(RETRY_FLOOR_MILLIS)
    }

    /// Expected wait behind the holders and some of the waiters, in milliseconds.
    fn wait_millis(&self, before: impl Fn(&Waiter) -> bool, now: Millis) -> u64 {
        if self.waiters.is_empty() && (self.holders.len() as u32) < self.limits.slots {
            return 0;
        }
        let left = |holder: &Holder| (holder.since + self.scaled(holder.hold)).since(now);
        let held: u64 = self.holders.values().map(left).sum();
        let queued = self.waiters.iter().filter(|it| before(it));
        let queued: u64 = queued.map(|it| self.scaled(it.ask.hold)).sum();
        (held + queued) / u64::from(self.limits.slots.max(1))
    }

    fn free(&mut self, attempt: Id, now: Millis) {
        if let Some(holder) = self.holders.remove(&attempt) {
            self.kv_held -= holder.kv_tokens;
            if let Some(count) = self.held_by.get_mut(&holder.organisation) {
                *count -= 1;
                if *count == 0 {
                    self.held_by.remove(&holder.organisation);
                }
            }
            self.learn(now.since(holder.since), holder.hold);
        }
    }

    /// Takes in how long a slot was really held.
    fn learn(&mut self, held: u64, expected: u64) {
        if let Some(sample) = (held * RATIO_ONE).checked_div(expected) {
            let sample = sample.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
            self.ratio = (self.ratio * (SMOOTHING - 1) + sample) / SMOOTHING;
        }
    }

    /// An expected holding time, corrected by how long slots have really been held.
    fn scaled(&self, hold: u64) -> u64 {
        hold * self.ratio / RATIO_ONE
    }

    fn fits(&self, ask: &Ask, now: Millis) -> bool {
        let kv = self.limits.kv_tokens;
        if kv > 0 && self.kv_held > 0 && self.kv_held + ask.kv_tokens > kv {
            return false;
        }
        let held = self.holders.len() as u32;
        held < self.limits.slots + self.predicted(ask.lead, now)
    }

    /// Releases expected within half of a lead.
    fn predicted(&self, lead: u64, now: Millis) -> u32 {
        if !self.limits.ahead || lead == 0 {
            return 0;
        }
        let horizon = now + lead / 2;
        let due = |holder: &&Holder| holder.since + self.scaled(holder.hold) <= horizon;
        let count = self.holders.values().filter(due).count() as u32;
        count.min(self.limits.slots / AHEAD_SHARE)
    }

    fn first(&self, now: Millis) -> Option<usize> {
        let rank = |waiter: &Waiter| {
            let share = self.held_by.get(&waiter.ask.organisation).copied().unwrap_or(0);
            (waiter.class(now), share, waiter.deadline(), waiter.order)
        };
        (0..self.waiters.len()).min_by_key(|place| rank(&self.waiters[*place]))
    }

    /// How long the link will still be busy when a prefill that starts now ends.
    fn link_wait(&self, ask: &Ask, now: Millis) -> u64 {
        self.link_free.since(now + ask.lead)
    }

    fn hold(&mut self, ask: &Ask, now: Millis) {
        let start_in = if ask.transfer > 0 { self.link_wait(ask, now) } else { 0 };
        if ask.transfer > 0 {
            self.link_free = now + start_in + ask.lead + ask.transfer;
        }
        self.kv_held += ask.kv_tokens;
        *self.held_by.entry(ask.organisation).or_default() += 1;
        let holder = Holder {
            organisation: ask.organisation,
            kv_tokens: ask.kv_tokens,
            hold: ask.hold,
            since: now,
            checked: now,
            adopted: false,
            start_in,
        };
        self.holders.insert(ask.attempt, holder);
    }
}

/// At most one over this of the slots is granted ahead.
const AHEAD_SHARE: u32 = 4;
