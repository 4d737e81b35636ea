//! Ordered queue of requests that wait for room at a pool of endpoints.
//!
//! Load pattern: bursts of two and three times what the endpoints can do, with callers of several priorities. If all waiting requests
//! ask for room at intervals, whoever asks first after room comes free gets it, whatever its priority and however long
//! the others have waited. Here one request is next: the most urgent one, among equals one that can still be on
//! time, and among those the one that arrived first. The queue is bounded in number and in bytes. A request that is
//! more urgent than the last one takes its place in a full queue.

use crate::admission::Timeliness;
use crate::backlog::Counts;
use crosslane_state::priority::Priority;
use crosslane_state::time::Millis;
use std::collections::{BTreeMap, HashMap};
use std::ops::Bound;

/// How urgent a waiting request is; the most urgent comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Urgency {
    /// Its priority.
    pub priority: Priority,
    /// Whether it can still be on time.
    pub timeliness: Timeliness,
    /// When it arrived.
    pub arrived: Millis,
}

/// A place in a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(u64);

/// The queue is full of requests that are at least as urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

/// Order of a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    priority: Priority,
    is_late: bool,
    arrived: Millis,
    ticket: Ticket,
}

/// Most requests and bytes of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Requests.
    pub requests: usize,
    /// Bytes that the requests hold.
    pub bytes: usize,
}

/// Requests that wait for room at a pool.
#[derive(Clone, Debug)]
pub struct Queue {
    bounds: Bounds,
    places: BTreeMap<Place, usize>,
    tickets: HashMap<Ticket, Place>,
    bytes: usize,
    next_ticket: u64,
}

impl Queue {
    /// An empty queue.
    pub fn new(bounds: Bounds) -> Self {
        Self { bounds, places: BTreeMap::new(), tickets: HashMap::new(), bytes: 0, next_ticket: 0 }
    }

    /// Adds a request that holds some bytes. Returns its ticket and those of the less urgent requests that it displaced.
    pub fn push(&mut self, urgency: Urgency, bytes: usize) -> Result<(Ticket, Vec<Ticket>), Full> {
        let Urgency { priority, timeliness, arrived } = urgency;
        let ticket = Ticket(self.next_ticket);
        let is_late = timeliness != Timeliness::OnTime;
        let place = Place { priority, is_late, arrived, ticket };
        let displaced = self.displaced_by(place, bytes)?;
        self.next_ticket += 1;
        displaced.iter().for_each(|other| self.remove(*other));
        self.places.insert(place, bytes);
        self.tickets.insert(ticket, place);
        self.bytes += bytes;
        Ok((ticket, displaced))
    }

    /// Requests that have to leave for another one.
    fn displaced_by(&self, place: Place, bytes: usize) -> Result<Vec<Ticket>, Full> {
        let mut displaced = Vec::new();
        let mut requests = self.places.len() + 1;
        let mut held = self.bytes + bytes;
        let mut from_last = self.places.iter().rev();
        while requests > self.bounds.requests || held > self.bounds.bytes {
            let (last, freed) = from_last.next().filter(|(last, _)| **last > place).ok_or(Full)?;
            displaced.push(last.ticket);
            requests -= 1;
            held -= freed;
        }
        Ok(displaced)
    }

    /// The request that is next.
    pub fn first(&self) -> Option<Ticket> {
        self.places.keys().next().map(|place| place.ticket)
    }

    /// Number of requests before one; nothing if it does not wait.
    pub fn position(&self, ticket: Ticket) -> Option<usize> {
        let place = self.tickets.get(&ticket)?;
        Some(self.places.range(..place).count())
    }

    /// The request after one.
    pub fn next_after(&self, ticket: Ticket) -> Option<Ticket> {
        let place = self.tickets.get(&ticket)?;
        let after = (Bound::Excluded(place), Bound::Unbounded);
        self.places.range(after).next().map(|(next, _)| next.ticket)
    }

    /// Number of requests that would be before one of this urgency.
    pub fn ahead_of(&self, urgency: Urgency) -> usize {
        let Urgency { priority, timeliness, arrived } = urgency;
        let is_late = timeliness != Timeliness::OnTime;
        let place = Place { priority, is_late, arrived, ticket: Ticket(u64::MAX) };
        self.places.range(..place).count()
    }

    /// Removes a request that waits no longer.
    pub fn remove(&mut self, ticket: Ticket) {
        if let Some(place) = self.tickets.remove(&ticket) {
            self.bytes -= self.places.remove(&place).unwrap_or_default();
        }
    }

    /// Number of waiting requests by priority, the most urgent first.
    pub fn counts(&self) -> Counts {
        let mut counts = Counts::new();
        for place in self.places.keys() {
            let count = counts.entry(place.priority).or_default();
            count.waiting += 1;
            count.on_time += u32::from(!place.is_late);
        }
        counts
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }
}
