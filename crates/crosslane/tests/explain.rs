//! The story of a request from log lines, by the command itself.

use rstest::rstest;
use std::io::Write;
use std::process::{Command, Stdio};

struct Case {
    name: &'static str,
    lines: &'static [&'static str],
    cause: &'static str,
}

const OTHER: &str = r#"{"time_ms":1,"event":"request","request":"r2","ending":"answered"}"#;

#[rstest]
#[case(Case {
    name: "answered",
    lines: &[OTHER, r#"{"time_ms":9,"event":"request","request":"r1","ending":"answered","took_ms":7}"#],
    cause: "cause: answered at the first attempt after 7 ms",
})]
#[case(Case {
    name: "refused for memory, lines in any order and behind a collector's prefix",
    lines: &[
        r#" 3.1 vm-1 {"time_ms":9,"event":"request","request":"r1","ending":"no_room","status":503}"#,
        r#" 3.0 vm-1 {"time_ms":8,"event":"reserve","request":"r1","bound":"memory","rounds":3}"#,
    ],
    cause: "cause: no_room: reserve bound=memory rounds=3",
})]
#[case(Case {
    name: "cut",
    lines: &[
        "not a line of ours",
        r#"{"time_ms":8,"event":"attempt","request":"r1","outcome":"cut","why":"engine broke off"}"#,
        r#"{"time_ms":9,"event":"request","request":"r1","ending":"cut","status":200}"#,
    ],
    cause: "cause: cut: attempt outcome=cut why=engine broke off",
})]
#[case(Case {
    name: "left in the middle",
    lines: &[
        r#"{"time_ms":7,"event":"silent","request":"r1","to":"e1","listed":true,"silent_ms":3010}"#,
        r#"{"time_ms":9,"event":"request","request":"r1","ending":"caller_left","took_ms":9800}"#,
    ],
    cause: "cause: the caller left after 9800 ms and silent listed=true silent_ms=3010 to=e1",
})]
#[case(Case {
    name: "its node was killed",
    lines: &[r#"{"time_ms":8,"event":"attempt","request":"r1","failure":"refused"}"#],
    cause: "cause: no ending: its node was killed or dropped the line, after attempt failure=refused",
})]
fn story(#[case] case: Case) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_crosslane"))
        .args(["explain", "r1"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut input = command.stdin.take().unwrap();
    input.write_all(case.lines.join("\n").as_bytes()).unwrap();
    drop(input);
    let output = command.wait_with_output().unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success() && text.contains(case.cause), "{}: {text}", case.name);
}

#[rstest]
fn a_request_that_no_line_names_is_an_error() {
    let output = Command::new(env!("CARGO_BIN_EXE_crosslane"))
        .args(["explain", "r1"])
        .stdin(Stdio::null())
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8(output.stderr).unwrap().contains("no line names request r1"));
}
