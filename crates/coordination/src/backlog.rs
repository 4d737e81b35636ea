//! Requests of each priority that wait for room at a pool, or were refused it a short time ago, at all nodes.
//!
//! Load pattern: in a burst, callers of the least urgent priority are the most patient ones. If each node decides by its own
//! waiting requests, room that comes free goes to whoever asks at another node. Nodes therefore report their waiting
//! requests with each heartbeat. A report replaces the one before, so a lost one needs no repeat, and it expires if the
//! node or the link to it fails.

use crate::admission::Timeliness;
use crosslane_state::endpoint::{Stage, Tag};
use crosslane_state::priority::Priority;
use crosslane_state::time::Millis;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Time after a refusal during which room is kept for requests of its priority, in milliseconds: longer than the interval of
/// heartbeats, and shorter than a burst, so that room is not kept long after one.
const REFUSED_MS: u64 = 1_000;

/// Longest time for which a report is used, in milliseconds: the wait of most requests is over by then.
const MAX_REPORT_AGE_MS: u64 = 1_500;

/// Endpoints of one service and stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Pool {
    /// Service.
    pub service: Tag,
    /// Stage.
    pub stage: Stage,
}

/// Requests of one priority that wait for room at a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Pool.
    pub pool: Pool,
    /// Priority.
    pub priority: Priority,
    /// Requests that wait.
    pub count: Count,
    /// Time since the last refusal, in milliseconds, if it is recent.
    pub refused_ago_ms: Option<u16>,
}

/// Number of waiting requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// All of them.
    pub waiting: u32,
    /// Those that can still be on time, which come before the others of their priority.
    pub on_time: u32,
}

/// Number of waiting requests by priority.
pub type Counts = BTreeMap<Priority, Count>;

#[derive(Clone, Debug)]
struct Report {
    rows: Vec<Row>,
    received: Millis,
    until: Millis,
}

/// Waiting and refused requests of all nodes.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    /// Last refusals of this node.
    refused: HashMap<Pool, BTreeMap<Priority, Millis>>,
    /// Reports of other nodes.
    reports: HashMap<Tag, Report>,
}

impl Backlog {
    /// Records that this node refused a request for lack of room.
    pub fn record_refusal(&mut self, pool: Pool, priority: Priority, now: Millis) {
        self.refused.entry(pool).or_default().insert(priority, now);
    }

    /// Replaces the report of another node; it expires at `until` at the latest.
    pub fn merge(&mut self, node: Tag, rows: Vec<Row>, now: Millis, until: Millis) {
        self.reports.retain(|_, report| report.until > now);
        let until = until.min(now + MAX_REPORT_AGE_MS);
        if rows.is_empty() {
            self.reports.remove(&node);
        } else {
            self.reports.insert(node, Report { rows, received: now, until });
        }
    }

    /// Report of this node, given its waiting requests.
    pub fn rows(&mut self, waiting: &HashMap<Pool, Counts>, now: Millis) -> Vec<Row> {
        self.refused.retain(|_, last| {
            last.retain(|_, at| now.since(*at) < REFUSED_MS);
            !last.is_empty()
        });
        let mut rows: BTreeMap<(Pool, Priority), Row> = BTreeMap::new();
        let empty =
            |pool, priority| Row { pool, priority, count: Count::default(), refused_ago_ms: None };
        for (pool, counts) in waiting {
            for (priority, count) in counts.iter().filter(|(_, count)| count.waiting > 0) {
                let row = Row { count: *count, ..empty(*pool, *priority) };
                rows.insert((*pool, *priority), row);
            }
        }
        for (pool, last) in &self.refused {
            for (priority, at) in last {
                let place = (*pool, *priority);
                let row = rows.entry(place).or_insert_with(|| empty(*pool, *priority));
                row.refused_ago_ms = Some(now.since(*at) as u16);
            }
        }
        rows.into_values().collect()
    }

    /// Requests at other nodes that get room before one of this priority and timeliness; those of the same ones arrived before it.
    pub fn ahead_elsewhere(
        &self,
        pool: Pool,
        priority: Priority,
        timeliness: Timeliness,
        now: Millis,
    ) -> u32 {
        let rows: Vec<&Row> = self.current(pool, now).map(|(row, _)| row).collect();
        // Late requests come after those on time. Beside more urgent ones they would get no room at all if those on time took all that
        // is left, so there they count in full.
        let is_contested = rows.iter().any(|row| row.priority < priority);
        let before = rows.iter().filter(|row| row.priority <= priority).map(|row| {
            let late_come_after = timeliness == Timeliness::OnTime && !is_contested;
            if late_come_after && row.priority == priority {
                row.count.on_time
            } else {
                row.count.waiting
            }
        });
        before.sum()
    }

    /// Number of more urgent priorities of which requests wait or were refused a short time ago, given the waiting requests of
    /// this node.
    pub fn more_urgent(
        &self,
        pool: Pool,
        waiting: &Counts,
        priority: Priority,
        now: Millis,
    ) -> usize {
        let here =
            waiting.iter().filter(|(_, count)| count.waiting > 0).map(|(priority, _)| *priority);
        let refused = self.refused.get(&pool).into_iter().flatten();
        let refused = refused.filter(|(_, at)| now.since(**at) < REFUSED_MS);
        let elsewhere = self.current(pool, now).filter(|(row, age_ms)| {
            let refused_ago_ms = row.refused_ago_ms.map(|ago_ms| u64::from(ago_ms) + age_ms);
            row.count.waiting > 0 || refused_ago_ms.is_some_and(|ago_ms| ago_ms < REFUSED_MS)
        });
        let all = here
            .chain(refused.map(|(priority, _)| *priority))
            .chain(elsewhere.map(|(row, _)| row.priority));
        all.filter(|other| *other < priority).collect::<BTreeSet<_>>().len()
    }

    /// Rows of a pool that have not expired, with their age in milliseconds.
    fn current(&self, pool: Pool, now: Millis) -> impl Iterator<Item = (&Row, u64)> {
        let reports = self.reports.values().filter(move |report| report.until > now);
        let rows = reports.flat_map(move |report| {
            report.rows.iter().map(move |row| (row, now.since(report.received)))
        });
        rows.filter(move |(row, _)| row.pool == pool)
    }
}
