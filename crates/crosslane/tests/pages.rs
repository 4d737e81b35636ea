//! The pages say what the code does.

use crosslane_gateway::event::EVENTS;
use crosslane_gateway::metrics::RETRIES;
use crosslane_gateway::refusal::REASONS;
use crosslane_protocol::refusal::CODES;
use crosslane_transport::metrics::COUNTERS;
use rstest::rstest;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::Command;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn page(name: &str) -> String {
    std::fs::read_to_string(root().join(name)).unwrap()
}

/// Words in backquotes.
fn quoted(text: &str) -> BTreeSet<&str> {
    text.split('`').skip(1).step_by(2).collect()
}

#[rstest]
fn every_counter_is_listed_and_none_besides() {
    let text = page("docs/METRICS.md");
    let listed = quoted(&text);
    let mut counters: BTreeSet<String> = COUNTERS.iter().map(|it| it.1.to_owned()).collect();
    counters.extend(CODES.iter().map(|row| format!("refused.{}", row.1)));
    for counter in &counters {
        assert!(listed.contains(counter.as_str()), "{counter} is not in METRICS.md");
    }
    let named = listed.iter().filter(|it| it.starts_with("retry") || it.starts_with("refused"));
    for name in named {
        assert!(counters.contains(*name), "{name} is no counter");
    }
}

#[rstest]
fn every_event_and_reason_is_listed_and_no_event_besides() {
    let text = page("docs/LOGS.md");
    let listed = quoted(&text);
    let reasons = REASONS.iter().map(|it| it.1).chain(RETRIES.iter().map(|it| it.1));
    for name in EVENTS.into_iter().chain(reasons) {
        assert!(listed.contains(name), "{name} is not in LOGS.md");
    }
    let rows = text.lines().skip_while(|it| !it.starts_with("| event")).skip(2);
    for row in rows.take_while(|it| it.starts_with('|')) {
        let event = row.split('`').nth(1).unwrap();
        assert!(EVENTS.contains(&event), "{event} is no event");
    }
}

#[rstest]
fn reasons_stand_in_the_order_of_their_tables() {
    for (place, (reason, name, _)) in REASONS.iter().enumerate() {
        assert_eq!(*reason as usize, place, "{name}");
    }
    for (place, (retry, name)) in RETRIES.iter().enumerate() {
        assert_eq!(*retry as usize, place, "{name}");
    }
}

#[rstest]
fn counters_stand_in_the_order_of_their_table() {
    for (place, (counter, name)) in COUNTERS.iter().enumerate() {
        assert_eq!(*counter as usize, place, "{name}");
    }
}

#[rstest]
fn every_code_is_in_the_callers_page() {
    let text = page("docs/API.md");
    let listed = quoted(&text);
    for (_, name, status) in CODES {
        assert!(listed.contains(name), "{name} is not in API.md");
        let row = text.lines().find(|it| it.contains(&format!("`{name}`"))).unwrap();
        assert!(row.contains(&status.to_string()), "{row}: {status}");
    }
}

#[rstest]
fn promises_name_only_tests_that_exist() {
    let text = page("docs/PROMISES.md");
    let mut tests = String::new();
    let folders = [
        "crates/crosslane/tests",
        "crates/coordination/tests",
        "crates/protocol/tests",
        "crates/gateway/tests",
        "platform/tests",
        "platform/tests/site",
    ];
    for folder in folders {
        for entry in std::fs::read_dir(root().join(folder)).unwrap() {
            let path = entry.unwrap().path();
            if path.extension().is_some_and(|it| it == "rs") {
                tests.push_str(&std::fs::read_to_string(path).unwrap());
            }
        }
    }
    let named: Vec<_> = quoted(&text).into_iter().collect();
    let scenarios = named.iter().filter_map(|it| it.strip_suffix(".rhai"));
    for scenario in scenarios {
        let path = format!("crates/crosslane/tests/scenarios/{scenario}.rhai");
        assert!(root().join(&path).exists(), "{path} does not exist");
    }
    let functions = named.iter().filter_map(|it| it.strip_prefix("test "));
    for function in functions {
        assert!(tests.contains(&format!("fn {function}(")), "no test {function}");
    }
    assert!(named.len() > 20, "PROMISES.md names tests");
}

#[rstest]
fn links_lead_somewhere() {
    let files = |folder: &str| {
        let entries = std::fs::read_dir(root().join(folder)).unwrap();
        let paths = entries.map(|it| it.unwrap().path());
        paths.filter(|it| it.is_file()).collect::<Vec<_>>()
    };
    let root_pages = ["README.md", "DEVELOPERS.md"].map(|it| root().join(it));
    for path in [files("docs"), files("docs/incidents"), root_pages.to_vec()].concat() {
        let text = std::fs::read_to_string(&path).unwrap();
        for link in text.split("](").skip(1).filter_map(|it| it.split(')').next()) {
            let file = link.split('#').next().unwrap_or_default();
            let target = path.parent().unwrap().join(file);
            assert!(link.starts_with("http") || target.exists(), "{}: {link}", path.display());
        }
    }
}

struct Case {
    words: &'static [&'static str],
    code: i32,
    told: &'static str,
}

#[rstest]
#[case(Case {
    words: &["config", "check", "examples/alpenzelt.jsonc"],
    code: 0,
    told: "13 runners",
})]
#[case(Case {
    words: &["config", "check", "examples/postflokkun.jsonc"],
    code: 0,
    told: "23 runners",
})]
#[case(Case {
    words: &["config", "check", "README.md"],
    code: 2,
    told: "README.md: line 1: file:",
})]
#[case(Case { words: &["config", "check", "nowhere"], code: 2, told: "nowhere:" })]
#[case(Case { words: &["policy", "check", "docs/API.md"], code: 2, told: "policy: line 1" })]
#[case(Case { words: &["capacity"], code: 0, told: "budget" })]
fn command(#[case] case: Case) {
    let output = Command::new(env!("CARGO_BIN_EXE_crosslane"))
        .args(case.words)
        .current_dir(root())
        .output()
        .unwrap();
    let told = [output.stdout, output.stderr].concat();
    let told = String::from_utf8_lossy(&told);
    assert_eq!(output.status.code(), Some(case.code), "{told}");
    assert!(told.contains(case.told), "{told}");
}

#[rstest]
fn a_node_with_wrong_settings_does_not_start() {
    let output = Command::new(env!("CARGO_BIN_EXE_crosslaned"))
        .args(["--config", "README.md"])
        .current_dir(root())
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("README.md: line 1"));
}
