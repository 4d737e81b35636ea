//! Reports that follow a heartbeat, or a query to the owner of a limit, in its datagram.
//!
//! Messages are bincode and can't get new fields. Nodes of earlier versions ignore the bytes after a message, and those of theirs have
//! none. Each report is a section of its own kind, so that a node skips the kinds that it does not know.

use bincode::{Error, Options};
use crosslane_coordination::backlog;
use crosslane_coordination::ballot::Stamp;
use crosslane_coordination::entry::Load;
use crosslane_coordination::peer_speeds::Row;
use crosslane_coordination::speed::{Band, Record};
use crosslane_state::endpoint::{Stage, Tag};
use crosslane_state::priority::Priority;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Kind of the section with the endpoints' loads.
const LOADS: u8 = 1;

/// Kind of the section with the requests that wait for room.
const WAITING: u8 = 2;

/// Kind of the section with the endpoints' speeds.
const SPEEDS: u8 = 3;

/// Kind of the section with what accompanies a query to the owner of a limit.
const QUERY: u8 = 16;

/// Kind of the section with whether the sender accepts votes for limits.
const CANDIDACY: u8 = 17;

/// What accompanies a query to the owner of a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueryContext {
    /// Priority of the request; `None` if it has none.
    pub priority: Option<Priority>,
    /// Whether a node sends it that was asked itself. The receiver decides and asks no other node.
    pub passed_on: bool,
    /// Whether a request that was granted before runs again, so that its cost is charged in any case.
    pub repeats: bool,
}

/// Whether a node accepts votes for limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidacy {
    /// The node's time.
    pub stamp: Stamp,
    /// Whether it accepts votes.
    pub accepts: bool,
}

/// Load that an endpoint reported to the sender a short time ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The endpoint.
    pub endpoint: Tag,
    /// Its load.
    pub load: Load,
    /// Age of the report, in milliseconds.
    pub age_ms: u16,
}

/// The sender's own runs at an endpoint, in one band of load.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SpeedReport {
    /// The endpoint.
    pub endpoint: Tag,
    /// Its stage during the runs.
    pub stage: Stage,
    /// Band of load.
    pub band: u8,
    /// Decayed sums over the runs.
    pub sums: Band,
}

impl SpeedReport {
    /// The reports for a row, one for each band with runs.
    pub fn of(row: Row) -> impl Iterator<Item = Self> {
        let Row { endpoint, stage, record } = row;
        let bands = (0..).zip(record.bands).filter(|(_, sums)| sums.runs > 0.0);
        bands.map(move |(band, sums)| Self { endpoint, stage, band, sums })
    }

    /// The rows of a node's reports. Bands that this version does not know are skipped.
    pub fn rows(reports: &[Self]) -> Vec<Row> {
        let mut rows: HashMap<(Tag, Stage), Record> = HashMap::new();
        for Self { endpoint, stage, band, sums } in reports {
            let record = rows.entry((*endpoint, *stage)).or_default();
            if let Some(known) = record.bands.get_mut(usize::from(*band)) {
                *known = *sums;
            }
        }
        let rows = rows.into_iter();
        rows.map(|((endpoint, stage), record)| Row { endpoint, stage, record }).collect()
    }
}

/// Reports that follow a message.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Extension {
    /// Loads of endpoints that share their VMs with other workloads.
    pub loads: Vec<LoadReport>,
    /// Requests that wait for room or were refused it a short time ago.
    pub waiting: Vec<backlog::Row>,
    /// Speeds of endpoints that the sender observed itself.
    pub speeds: Vec<SpeedReport>,
    /// Context of a query; at most one.
    pub query: Vec<QueryContext>,
    /// Whether the sender accepts votes; at most one, none of nodes of earlier versions.
    pub candidacy: Vec<Candidacy>,
}

/// A report in its encoded form.
#[derive(Debug, Serialize, Deserialize)]
struct Section {
    kind: u8,
    body: Vec<u8>,
}

impl Extension {
    /// Encodes the reports that are not empty; nothing if all are.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let mut bytes = Vec::new();
        append(&mut bytes, LOADS, &self.loads)?;
        append(&mut bytes, WAITING, &self.waiting)?;
        append(&mut bytes, SPEEDS, &self.speeds)?;
        append(&mut bytes, QUERY, &self.query)?;
        append(&mut bytes, CANDIDACY, &self.candidacy)?;
        Ok(bytes)
    }

    /// Decodes the reports that follow a message.
    pub fn decode(mut bytes: &[u8]) -> Result<Self, Error> {
        let mut extension = Self::default();
        while !bytes.is_empty() {
            let Section { kind, body } = decode_part(&mut bytes)?;
            match kind {
                LOADS => extension.loads = decode_part(&mut body.as_slice())?,
                WAITING => extension.waiting = decode_part(&mut body.as_slice())?,
                SPEEDS => extension.speeds = decode_part(&mut body.as_slice())?,
                QUERY => extension.query = decode_part(&mut body.as_slice())?,
                CANDIDACY => extension.candidacy = decode_part(&mut body.as_slice())?,
                _ => {}
            }
        }
        Ok(extension)
    }
}

fn append<T: Serialize + DeserializeOwned>(
    bytes: &mut Vec<u8>,
    kind: u8,
    rows: &Vec<T>,
) -> Result<(), Error> {
    if !rows.is_empty() {
        let section = Section { kind, body: bincode::serialize(rows)? };
        bytes.extend(bincode::serialize(&section)?);
    }
    Ok(())
}

/// Decodes a value at the beginning of a datagram, and leaves the bytes after it. A length in the datagram allocates no more than the
/// datagram has.
pub fn decode_part<T: DeserializeOwned>(bytes: &mut &[u8]) -> Result<T, Error> {
    let limit = bytes.len() as u64;
    let options = bincode::DefaultOptions::new().with_fixint_encoding().allow_trailing_bytes();
    options.with_limit(limit).deserialize_from(bytes)
}
