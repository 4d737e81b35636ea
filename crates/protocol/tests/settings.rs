//! Settings: every mistake is told at once, with its line, key, what was expected and found.

use crosslane_protocol::settings::{Raw, Settings};
use rstest::rstest;

const RIGHT: &str = r#"// One node.
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

fn check(text: &str) -> Result<Settings, String> {
    Settings::try_from(Raw { file: "node.json", text }).map_err(|error| error.to_string())
}

#[rstest]
fn the_rest_has_defaults() {
    let settings = check(RIGHT).unwrap();
    assert_eq!(settings.runners.len(), 1);
    assert_eq!(settings.runners[0].vm, "p", "a runner is its own VM unless said otherwise");
    assert_eq!(settings.quick.first_millis, 490);
}

struct Case {
    from: &'static str,
    to: &'static str,
    told: &'static [&'static str],
}

#[rstest]
#[case(Case {
    from: "\"vm\": \"entry-1\",",
    to: "",
    told: &["node.json: line 2: vm: expected a string that is not empty, found nothing"],
})]
#[case(Case {
    from: "127.0.0.1:5",
    to: "log.example:5",
    told: &["line 10: log: expected a string IP:PORT, found \"log.example:5\""],
})]
#[case(Case {
    from: "\"domain\": \"Aarau\",\n",
    to: "\"domain\": \"Aarau\", \"neighbors\": 3,\n",
    told: &["line 4: neighbors: expected one of the keys", "found another key"],
})]
#[case(Case {
    from: "\"prefill\"",
    to: "\"encode\"",
    told: &["runners[0].role: expected one of prefill, decode, service, found \"encode\""],
})]
#[case(Case {
    from: "\"operator_key\": \"key\",",
    to: "\"operator_key\": \"key\", \"neighbours\": 1000, \"timing\": { \"beat_millis\": \"x\" },",
    told: &[
        "neighbours: expected a whole number from 1 to 64, found 1000",
        "timing.beat_millis: expected a whole number from 10 to 60000, found \"x\"",
    ],
})]
#[case(Case {
    from: "    { \"name\": \"p\"",
    to: "    { \"name\": \"p\", \"domain\": \"Olten\", \"address\": \"127.0.0.1:8\", \
         \"role\": \"decode\", \"serves\": \"m\" },\n    { \"name\": \"p\"",
    told: &["runners.name: expected a name used once, found p"],
})]
#[case(Case {
    from: "\"runners\": [",
    to: "\"runners\": [[",
    told: &["file: expected JSON with comments, found"],
})]
fn mistakes(#[case] case: Case) {
    let text = RIGHT.replacen(case.from, case.to, 1);
    assert_ne!(text, RIGHT);
    let error = check(&text).unwrap_err();
    for told in case.told {
        assert!(error.contains(told), "{told:?} is not in {error:?}");
    }
}
