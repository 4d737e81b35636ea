//! Operators race each other, while nodes die and the log loses replies.

use crosslane::policy::Journal;
use crosslane_coordination::control_log::Outcome;
use crosslane_coordination::record::Record;
use crosslane_harness::site::{Binaries, Plan, Site};
use crosslane_state::policy::Version;
use nix::sys::signal::Signal;
use rstest::rstest;
use serde_json::json;
use std::collections::BTreeSet;
use std::path::PathBuf;
use std::time::Duration;

const OPERATORS: usize = 2;
const PUBLICATIONS: usize = 50;

/// What one operator was told: publication, version.
async fn publish(log: std::net::SocketAddr, operator: usize) -> Vec<(String, Outcome)> {
    let mut journal = Journal::new(log);
    let mut told = Vec::new();
    for number in 0..PUBLICATIONS {
        let id = format!("{operator}-{number}");
        while journal.read().await.is_err() {}
        let record = Record::Publish {
            id: id.clone(),
            base: journal.state.version(),
            program: format!("// {id}\n#{{ class: \"quick\", repeatable: true }}"),
            author: format!("operator {operator}"),
        };
        loop {
            if let Ok(verdict) = journal.publish(&record, &id).await {
                told.push((id, verdict));
                break;
            }
        }
    }
    told
}

#[rstest]
fn a_hundred_racing_publications_have_one_order() {
    let binaries = Binaries {
        node: PathBuf::from(env!("CARGO_BIN_EXE_crosslaned")),
        command: PathBuf::from(env!("CARGO_BIN_EXE_crosslane")),
    };
    let mut site = Site::start(binaries, &Plan { nodes: 3, ..Plan::default() }).unwrap();
    let log = site.fleet.log;
    let operators: Vec<_> =
        (0..OPERATORS).map(|operator| site.runtime.spawn(publish(log, operator))).collect();

    let mut versions = [0; 3];
    let mut round = 0;
    while !operators.iter().all(|it| it.is_finished()) {
        round += 1;
        site.fault("log", &json!({ "lose_appends": round % 2 }));
        for (place, seen) in versions.iter_mut().enumerate() {
            let status = site.status(place);
            if let Some(version) =
                status["policy_version"].as_u64().filter(|_| status["member"] == true)
            {
                assert!(version >= *seen, "node {place} fell from {seen} to {version}");
                *seen = version;
            }
        }
        if round == 5 {
            site.signal_node(2, Signal::SIGKILL);
            site.start_node(2).unwrap();
        }
    }
    site.fault("log", &json!({}));

    let told: Vec<_> =
        operators.into_iter().flat_map(|it| site.runtime.block_on(it).unwrap()).collect();
    assert_eq!(told.len(), OPERATORS * PUBLICATIONS);
    let mut journal = Journal::new(log);
    site.runtime.block_on(journal.read()).unwrap();
    let mut counted = BTreeSet::new();
    for (id, verdict) in told {
        assert_eq!(journal.state.outcome(&id), Some(&verdict), "told truly");
        if let Outcome::Applied(version) = verdict {
            assert!(counted.insert(version), "one publication a version");
        }
    }
    let newest = journal.state.version();
    assert_eq!(counted.len() as u64, newest.0, "every version was counted once");
    assert!(counted.contains(&Version(1)));

    let accepted = |site: &mut Site| {
        (0..3).all(|place| {
            let status = site.status(place);
            status["policy_version"] == newest.0 && status["accepted"] == true
        })
    };
    assert!(site.until(Duration::from_secs(20), accepted), "in force everywhere: {}", site.logs());
}
