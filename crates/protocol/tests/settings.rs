//! Settings: all errors of a file are reported together, each with its line, key, expected value and value found.

use crosslane_protocol::settings::{Raw, Settings};
use rstest::rstest;

const VALID: &str = r#"// One node.
{
  "vm": "entry-1",
  "domain": "Aarau",
  "listen": {
    "callers": "127.0.0.1:1", "forward": "127.0.0.1:2",
    "control": "127.0.0.1:3", "operator": "127.0.0.1:4"
  },
  "operator_key": "key",
  "log": "127.0.0.1:5",
  "vms": "127.0.0.1:6",
  "runners": [
    { "name": "p", "domain": "Aarau", "address": "127.0.0.1:7", "role": "prefill", "serves": "m" }
  ]
}
"#;

fn parse(text: &str) -> Result<Settings, String> {
    Settings::try_from(Raw { file: "node.json", text }).map_err(|error| error.to_string())
}

#[rstest]
fn missing_keys_have_defaults() {
    let settings = parse(VALID).unwrap();
    assert_eq!(settings.runners.len(), 1);
    assert_eq!(settings.runners[0].vm, "p", "a runner's VM is named like the runner by default");
    assert_eq!(settings.quick.first_millis, 490);
}

struct Case {
    from: &'static str,
    to: &'static str,
    messages: &'static [&'static str],
}

#[rstest]
#[case(Case {
    from: "\"vm\": \"entry-1\",",
    to: "",
    messages: &["node.json: line 2: vm: expected a non-empty string, found nothing"],
})]
#[case(Case {
    from: "127.0.0.1:5",
    to: "log.example:5",
    messages: &["line 10: log: expected a string IP:PORT, found \"log.example:5\""],
})]
#[case(Case {
    from: "\"domain\": \"Aarau\",\n",
    to: "\"domain\": \"Aarau\", \"neighbors\": 3,\n",
    messages: &["line 4: neighbors: expected one of the keys", "found an unknown key"],
})]
#[case(Case {
    from: "\"prefill\"",
    to: "\"encode\"",
    messages: &["runners[0].role: expected one of prefill, decode, service, found \"encode\""],
})]
#[case(Case {
    from: "\"operator_key\": \"key\",",
    to: "\"operator_key\": \"key\", \"neighbours\": 1000, \"timing\": { \"beat_millis\": \"x\" },",
    messages: &[
        "neighbours: expected a whole number from 1 to 64, found 1000",
        "timing.beat_millis: expected a whole number from 10 to 60000, found \"x\"",
    ],
})]
#[case(Case {
    from: "    { \"name\": \"p\"",
    to: "    { \"name\": \"p\", \"domain\": \"Olten\", \"address\": \"127.0.0.1:8\", \
         \"role\": \"decode\", \"serves\": \"m\" },\n    { \"name\": \"p\"",
    messages: &["runners.name: expected a unique name, found p"],
})]
#[case(Case {
    from: "\"runners\": [",
    to: "\"runners\": [[",
    messages: &["file: expected JSON with comments, found"],
})]
fn errors_are_reported(#[case] case: Case) {
    let text = VALID.replacen(case.from, case.to, 1);
    assert_ne!(text, VALID);
    let error = parse(&text).unwrap_err();
    for message in case.messages {
        assert!(error.contains(message), "{message:?} is not in {error:?}");
    }
}
