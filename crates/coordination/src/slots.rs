//! Slots of one runner, granted by the single node that owns the runner.
//!
//! Requests that find no free slot queue here, before any prefill work is done for them. The order
//! is: class quick before patient, then organisations that hold fewer slots, then the earlier
//! deadline. A patient request that has waited long counts as quick, so that none starves. A request
//! that can't start in time is refused at once.

use crosslane_state::attempt::Id;
use crosslane_state::load::Report;
use crosslane_state::request::{Class, Organisation};
use crosslane_state::time::Millis;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

/// A new sample enters the moving average of actual to expected hold time with a weight of one over
/// this.
const RATIO_SMOOTHING: u64 = 16;

/// The value 1.0 of that ratio in fixed point.
const RATIO_ONE: u64 = 1_024;

/// Bounds that a sample of that ratio is clamped to.
const RATIO_BOUNDS: (u64, u64) = (RATIO_ONE / 8, RATIO_ONE * 8);

/// Wait after which a patient request counts as quick.
const AGING_MS: u64 = 5_000;

/// Shortest retry delay that a refusal names.
const MIN_RETRY_AFTER_MS: u64 = 100;

/// Interval at which the node that made an attempt is asked whether it still needs the slot.
const VERIFY_INTERVAL_MS: u64 = 3_000;

/// Time for which a released attempt is not adopted again.
const RELEASED_MEMORY_MS: u64 = 3_000;

/// Retry delay named by refusals for a runner that is down.
const DOWN_RETRY_AFTER_MS: u64 = 1_000;

/// Longest queue, in waiting requests per slot.
const MAX_WAITERS_PER_SLOT: usize = 64;

/// A request for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Attempt that will hold the slot.
    pub attempt: Id,
    /// Priority class.
    pub class: Class,
    /// Organisation of the caller.
    pub organisation: Organisation,
    /// KV cache needed, in tokens.
    pub kv_tokens: u64,
    /// Longest wait before the work must begin, in milliseconds.
    pub max_wait_ms: u64,
    /// Time between the grant and the first use of the slot, in milliseconds: the prefill runs in
    /// this time.
    pub lead_ms: u64,
    /// Expected time that the slot is held, in milliseconds.
    pub hold_ms: u64,
    /// Time that the KV-cache transfer occupies the runner's link, in milliseconds; zero for none.
    pub transfer_ms: u64,
}

/// Decision on a request for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decision {
    /// The slot is reserved, and the runner's link from the end of the prefill on.
    Granted {
        /// Delay before the prefill starts, in milliseconds, so that it ends when the link is free.
        start_in_ms: u64,
        /// Expected wait of the next request, in milliseconds.
        wait_ms: u32,
    },
    /// No slot is free in time.
    Refused {
        /// Delay after which a retry may succeed, in milliseconds.
        retry_after: u64,
    },
    /// The node does not own the runner.
    NotOwner,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    organisation: Organisation,
    kv_tokens: u64,
    expected_hold_ms: u64,
    granted_at: Millis,
    verified_at: Millis,
    adopted: bool,
    start_in_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Waiter {
    request: Request,
    queued_at: Millis,
    sequence: u64,
}

impl Waiter {
    fn deadline(&self) -> Millis {
        self.queued_at + self.request.max_wait_ms
    }

    fn class(&self, now: Millis) -> Class {
        if now.since(self.queued_at) >= AGING_MS { Class::Quick } else { self.request.class }
    }
}

/// Capacity of a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Requests processed at once.
    pub slots: u32,
    /// KV cache in tokens; zero for unlimited.
    pub kv_tokens: u64,
    /// Whether slots are granted ahead of predicted releases, by at most half of the request's lead
    /// time.
    pub grant_early: bool,
}

/// Grants the slots of one runner.
#[derive(Clone, Debug)]
pub struct Allocator {
    limits: Limits,
    holders: HashMap<Id, Holder>,
    kv_tokens_held: u64,
    slots_by_organisation: BTreeMap<Organisation, u32>,
    waiters: Vec<Waiter>,
    hold_ratio: u64,
    sequence: u64,
    released: HashMap<Id, Millis>,
    down: bool,
    link_free_at: Millis,
}

impl Allocator {
    /// An allocator with all slots free.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            holders: HashMap::new(),
            kv_tokens_held: 0,
            slots_by_organisation: BTreeMap::new(),
            waiters: Vec::new(),
            hold_ratio: RATIO_ONE,
            sequence: 0,
            released: HashMap::new(),
            down: false,
            link_free_at: Millis::default(),
        }
    }

    /// Grants or refuses a request, or queues it and returns `None`. Idempotent per attempt.
    pub fn request_slot(&mut self, request: Request, now: Millis) -> Option<Decision> {
        if let Some(decision) = self.decision(request.attempt, now) {
            return Some(decision);
        }
        if self.down {
            return Some(Decision::Refused { retry_after: DOWN_RETRY_AFTER_MS });
        }
        if self.waiters.iter().any(|waiter| waiter.request.attempt == request.attempt) {
            return None;
        }
        let waiters_before =
            self.waiters.iter().filter(|waiter| waiter.class(now) <= request.class).count();
        let link_wait = self.link_wait_ms(&request, now);
        if request.transfer_ms > 0 && link_wait > request.max_wait_ms {
            return Some(Decision::Refused { retry_after: link_wait.max(MIN_RETRY_AFTER_MS) });
        }
        if waiters_before == 0 && self.fits(&request, now) {
            self.occupy(&request, now);
            return self.decision(request.attempt, now);
        }
        let wait = self.expected_wait_ms(|waiter| waiter.class(now) <= request.class, now);
        let full = self.waiters.len() >= self.limits.slots as usize * MAX_WAITERS_PER_SLOT;
        if wait > request.max_wait_ms.saturating_add(request.lead_ms) || full {
            return Some(Decision::Refused { retry_after: wait.max(MIN_RETRY_AFTER_MS) });
        }
        self.sequence += 1;
        self.waiters.push(Waiter { request, queued_at: now, sequence: self.sequence });
        None
    }

    /// The decision for an attempt that holds a slot.
    pub fn decision(&self, attempt: Id, now: Millis) -> Option<Decision> {
        let holder = self.holders.get(&attempt)?;
        let next_wait_ms = self.report(now).wait_millis;
        Some(Decision::Granted { start_in_ms: holder.start_in_ms, wait_ms: next_wait_ms })
    }

    /// Removes an attempt from the holders and the queue; returns the attempts that were granted a
    /// slot in turn.
    pub fn release(&mut self, attempt: Id, now: Millis) -> Vec<Id> {
        self.waiters.retain(|waiter| waiter.request.attempt != attempt);
        self.released.insert(attempt, now);
        self.vacate(attempt, now);
        self.grant_waiting(now)
    }

    /// Grants slots to waiting requests, in order, while the next one fits; returns their attempts.
    pub fn grant_waiting(&mut self, now: Millis) -> Vec<Id> {
        let mut granted = Vec::new();
        while let Some(index) = self.next_waiter(now) {
            if !self.fits(&self.waiters[index].request.clone(), now) {
                break;
            }
            let waiter = self.waiters.swap_remove(index);
            self.occupy(&waiter.request, now);
            granted.push(waiter.request.attempt);
        }
        granted
    }

    /// Records whether the runner responds. While it does not, new requests are refused and waiting
    /// ones expire.
    pub fn set_responsive(&mut self, responsive: bool) {
        self.down = !responsive;
    }

    /// Removes waiting requests that are past their deadline, or all if the runner is down; returns
    /// their attempts.
    pub fn expire(&mut self, now: Millis) -> Vec<Id> {
        let (expired, remaining) =
            self.waiters.iter().partition(|waiter| self.down || waiter.deadline() <= now);
        self.waiters = remaining;
        let expired: Vec<Waiter> = expired;
        expired.into_iter().map(|waiter| waiter.request.attempt).collect()
    }

    /// Adds the attempts that the engine lists but that an earlier owner granted as holders, until
    /// the engine no longer lists them.
    ///
    /// Attempts released recently are skipped: the list may have been requested before the release.
    pub fn adopt(&mut self, listed: &[Id], now: Millis) {
        self.released.retain(|_, at| now.since(*at) < RELEASED_MEMORY_MS);
        let unlisted = |(attempt, holder): (&Id, &Holder)| {
            (holder.adopted && !listed.contains(attempt)).then_some(*attempt)
        };
        let ended: Vec<Id> = self.holders.iter().filter_map(unlisted).collect();
        for attempt in ended {
            self.vacate(attempt, now);
        }
        for attempt in listed {
            if !self.holders.contains_key(attempt) && !self.released.contains_key(attempt) {
                let adopted_request = Request {
                    attempt: *attempt,
                    class: Class::Patient,
                    organisation: Organisation(0),
                    kv_tokens: 0,
                    max_wait_ms: 0,
                    lead_ms: 0,
                    hold_ms: 0,
                    transfer_ms: 0,
                };
                self.occupy(&adopted_request, now);
                self.holders.entry(*attempt).and_modify(|holder| holder.adopted = true);
            }
        }
    }

    /// Attempts that hold slots, each with whether its origin node is due to confirm it.
    pub fn held_attempts(&mut self, now: Millis) -> Vec<(Id, bool)> {
        let mut held = Vec::with_capacity(self.holders.len());
        for (attempt, holder) in &mut self.holders {
            let due = now.since(holder.verified_at) >= VERIFY_INTERVAL_MS;
            if due {
                holder.verified_at = now;
            }
            held.push((*attempt, due));
        }
        held.sort_unstable();
        held
    }

    /// Current load of the runner.
    pub fn report(&self, now: Millis) -> Report {
        let wait = if self.down { u64::MAX } else { self.expected_wait_ms(|_| true, now) };
        Report {
            busy: self.holders.len() as u32,
            waiting: self.waiters.len() as u32,
            wait_millis: u32::try_from(wait).unwrap_or(u32::MAX),
        }
    }

    /// Delay after which a refused request may be retried, in milliseconds.
    pub fn retry_after(&self, now: Millis) -> u64 {
        self.expected_wait_ms(|_| true, now).max(MIN_RETRY_AFTER_MS)
    }

    /// Expected wait behind all holders and the waiters selected by `before`, in milliseconds.
    fn expected_wait_ms(&self, before: impl Fn(&Waiter) -> bool, now: Millis) -> u64 {
        if self.waiters.is_empty() && (self.holders.len() as u32) < self.limits.slots {
            return 0;
        }
        let remaining_ms = |holder: &Holder| {
            (holder.granted_at + self.corrected_hold_ms(holder.expected_hold_ms)).since(now)
        };
        let held: u64 = self.holders.values().map(remaining_ms).sum();
        let queued = self.waiters.iter().filter(|waiter| before(waiter));
        let queued: u64 = queued.map(|waiter| self.corrected_hold_ms(waiter.request.hold_ms)).sum();
        (held + queued) / u64::from(self.limits.slots.max(1))
    }

    fn vacate(&mut self, attempt: Id, now: Millis) {
        if let Some(holder) = self.holders.remove(&attempt) {
            self.kv_tokens_held -= holder.kv_tokens;
            if let Some(count) = self.slots_by_organisation.get_mut(&holder.organisation) {
                *count -= 1;
                if *count == 0 {
                    self.slots_by_organisation.remove(&holder.organisation);
                }
            }
            self.record_hold(now.since(holder.granted_at), holder.expected_hold_ms);
        }
    }

    /// Updates the ratio of actual to expected hold time.
    fn record_hold(&mut self, held: u64, expected: u64) {
        if let Some(sample) = (held * RATIO_ONE).checked_div(expected) {
            let sample = sample.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
            self.hold_ratio = (self.hold_ratio * (RATIO_SMOOTHING - 1) + sample) / RATIO_SMOOTHING;
        }
    }

    /// An expected hold time, corrected by the ratio of actual to expected hold times.
    fn corrected_hold_ms(&self, hold: u64) -> u64 {
        hold * self.hold_ratio / RATIO_ONE
    }

    fn fits(&self, request: &Request, now: Millis) -> bool {
        let capacity = self.limits.kv_tokens;
        if capacity > 0
            && self.kv_tokens_held > 0
            && self.kv_tokens_held + request.kv_tokens > capacity
        {
            return false;
        }
        let held = self.holders.len() as u32;
        held < self.limits.slots + self.predicted_releases(request.lead_ms, now)
    }

    /// Releases expected within half of a lead time; zero if early grants are off.
    fn predicted_releases(&self, lead: u64, now: Millis) -> u32 {
        if !self.limits.grant_early || lead == 0 {
            return 0;
        }
        let horizon = now + lead / 2;
        let due = |holder: &&Holder| {
            holder.granted_at + self.corrected_hold_ms(holder.expected_hold_ms) <= horizon
        };
        let count = self.holders.values().filter(due).count() as u32;
        count.min(self.limits.slots / EARLY_GRANT_DIVISOR)
    }

    fn next_waiter(&self, now: Millis) -> Option<usize> {
        let rank = |waiter: &Waiter| {
            let slots_held =
                self.slots_by_organisation.get(&waiter.request.organisation).copied().unwrap_or(0);
            (waiter.class(now), slots_held, waiter.deadline(), waiter.sequence)
        };
        (0..self.waiters.len()).min_by_key(|index| rank(&self.waiters[*index]))
    }

    /// Time that the link is still busy after the end of a prefill that starts now.
    fn link_wait_ms(&self, request: &Request, now: Millis) -> u64 {
        self.link_free_at.since(now + request.lead_ms)
    }

    fn occupy(&mut self, request: &Request, now: Millis) {
        let start_in = if request.transfer_ms > 0 { self.link_wait_ms(request, now) } else { 0 };
        if request.transfer_ms > 0 {
            self.link_free_at = now + start_in + request.lead_ms + request.transfer_ms;
        }
        self.kv_tokens_held += request.kv_tokens;
        *self.slots_by_organisation.entry(request.organisation).or_default() += 1;
        let holder = Holder {
            organisation: request.organisation,
            kv_tokens: request.kv_tokens,
            expected_hold_ms: request.hold_ms,
            granted_at: now,
            verified_at: now,
            adopted: false,
            start_in_ms: start_in,
        };
        self.holders.insert(request.attempt, holder);
    }
}

/// Early grants are limited to the number of slots divided by this.
const EARLY_GRANT_DIVISOR: u32 = 4;
