//! Reports that follow a heartbeat in its datagram.

use crosslane_coordination::backlog::{Count, Pool, Row};
use crosslane_coordination::ballot::Stamp;
use crosslane_coordination::entry::Load;
use crosslane_coordination::peer_speeds;
use crosslane_coordination::speed::{Band, Record};
use crosslane_gateway::extension::{Candidacy, Extension, LoadReport, QueryContext, SpeedReport};
use crosslane_state::endpoint::{Stage, Tag};
use crosslane_state::incarnation::Incarnation;
use crosslane_state::priority::Priority;
use crosslane_state::time::Millis;
use rstest::rstest;

fn extension() -> Extension {
    let load = Load { running: 3, waiting: 1, slots: 8, pace_percent: Some(250) };
    let pool = Pool { service: Tag(9), stage: Stage::Decode };
    let priority = Priority { organisation: 0, route: 2 };
    let waiting = vec![Row {
        pool,
        priority,
        count: Count { waiting: 3, on_time: 2 },
        refused_ago_ms: Some(80),
    }];
    let sums = Band { runs: 2.5, units: 3.0, took_ms: 120.0 };
    Extension {
        loads: vec![LoadReport { endpoint: Tag(7), load, age_ms: 40 }],
        waiting,
        speeds: vec![SpeedReport { endpoint: Tag(7), stage: Stage::Decode, band: 1, sums }],
        query: Vec::new(),
        candidacy: vec![Candidacy {
            stamp: Stamp { incarnation: Incarnation(5), at: Millis(70) },
            accepts: true,
        }],
    }
}

fn query(priority: Option<Priority>, passed_on: bool) -> Extension {
    Extension {
        query: vec![QueryContext { priority, passed_on, repeats: false }],
        ..Extension::default()
    }
}

struct Case {
    name: &'static str,
    /// Bytes of a section before those of the extension.
    before: Vec<u8>,
    extension: Extension,
}

/// Guards against nodes of two versions that can't read each other's heartbeats.
#[rstest]
#[case(Case { name: "no reports", before: Vec::new(), extension: Extension::default() })]
#[case(Case { name: "reports", before: Vec::new(), extension: extension() })]
#[case(Case {
    name: "a section of an unknown kind",
    before: bincode::serialize(&(200_u8, vec![1_u8, 2, 3])).unwrap(),
    extension: extension(),
})]
#[case(Case {
    name: "the priority of a query",
    before: Vec::new(),
    extension: query(Some(Priority { organisation: 3, route: 1 }), false),
})]
#[case(Case { name: "a query that is passed on", before: Vec::new(), extension: query(None, true) })]
fn reports_are_decoded(#[case] case: Case) {
    let mut bytes = case.before;
    bytes.extend(case.extension.encode().unwrap());
    assert_eq!(Extension::decode(&bytes).unwrap(), case.extension, "{}", case.name);
}

#[rstest]
fn a_truncated_section_is_an_error() {
    let bytes = extension().encode().unwrap();
    assert!(Extension::decode(&bytes[..bytes.len() - 1]).is_err());
}

/// Rows that come out otherwise than they went in, or a band of a later version that hides the others.
#[rstest]
fn rows_of_speeds_are_reported_by_band() {
    let mut record = Record::default();
    record.bands[0] = Band { runs: 1.0, units: 1.0, took_ms: 40.0 };
    record.bands[3] = Band { runs: 2.0, units: 4.0, took_ms: 300.0 };
    let row = peer_speeds::Row { endpoint: Tag(7), stage: Stage::Prefill, record };
    let mut reports: Vec<SpeedReport> = SpeedReport::of(row).collect();
    assert_eq!(reports.len(), 2, "only bands with runs");
    reports.push(SpeedReport { band: 200, ..reports[0] });
    assert_eq!(SpeedReport::rows(&reports), [row]);
}

/// Guards against a datagram of a few bytes that names a length of many and so ends the process.
#[rstest]
#[case(1 << 33)]
#[case(1 << 60)]
fn a_length_beyond_the_datagram_allocates_nothing(#[case] length: u64) {
    let bytes = bincode::serialize(&(200_u8, length)).unwrap();
    assert!(Extension::decode(&bytes).is_err());
}
