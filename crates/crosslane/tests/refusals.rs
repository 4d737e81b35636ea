//! Bad input gets a clear refusal and costs no runner time.

use crosslane_harness::site::{Binaries, Plan, Site};
use rstest::rstest;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;

struct Case {
    name: &'static str,
    head: &'static str,
    body: String,
    /// Bytes of the body that are announced, if not those sent.
    announced: Option<usize>,
    status: u16,
    code: &'static str,
}

fn case(
    name: &'static str,
    head: &'static str,
    body: &str,
    status: u16,
    code: &'static str,
) -> Case {
    Case { name, head, body: body.to_owned(), announced: None, status, code }
}

const COMPLETIONS: &str = "POST /v1/completions HTTP/1.1";

fn cases() -> Vec<Case> {
    let whole = r#"{"model":"reply","prompt":"hello"}"#;
    vec![
        case("broken JSON", COMPLETIONS, "{", 400, "bad_body"),
        case("not UTF-8 JSON", COMPLETIONS, "[1,2]", 400, "bad_body"),
        case("no prompt", COMPLETIONS, r#"{"model":"reply"}"#, 400, "bad_body"),
        case("wrong type", COMPLETIONS, r#"{"model":"reply","prompt":7}"#, 400, "bad_body"),
        case(
            "too many tokens",
            COMPLETIONS,
            r#"{"model":"reply","prompt":"a","max_tokens":99999}"#,
            400,
            "bad_body",
        ),
        case(
            "no messages",
            "POST /v1/chat/completions HTTP/1.1",
            r#"{"model":"reply","messages":[]}"#,
            400,
            "bad_body",
        ),
        case("unknown model", COMPLETIONS, r#"{"model":"x","prompt":"a"}"#, 404, "no_route"),
        case("wrong method", "GET /v1/completions HTTP/1.1", "", 404, "no_route"),
        case("unknown path", "GET /nowhere HTTP/1.1", "", 404, "no_route"),
        case("too long", COMPLETIONS, &"x".repeat(3_000), 413, "body_too_long"),
        case(
            "empty key",
            "POST /v1/completions HTTP/1.1\r\nidempotency-key: ",
            whole,
            400,
            "bad_header",
        ),
        case(
            "deadline that is no number",
            "POST /v1/completions HTTP/1.1\r\ncrosslane-deadline-ms: soon",
            whole,
            400,
            "bad_header",
        ),
        Case {
            announced: Some(500),
            ..case("slow sender", COMPLETIONS, r#"{"model""#, 408, "body_incomplete")
        },
    ]
}

fn send(site: &Site, case: &Case) -> (u16, Value) {
    let mut stream = TcpStream::connect(site.callers(0)).unwrap();
    let length = case.announced.unwrap_or(case.body.len());
    let request = format!(
        "{}\r\nhost: a\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{}",
        case.head, case.body
    );
    stream.write_all(request.as_bytes()).unwrap();
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    let status = answer.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
    let body = answer.split("\r\n\r\n").nth(1).unwrap_or_default();
    (status, serde_json::from_str(body).unwrap_or_default())
}

#[rstest]
fn bad_input_is_refused_and_costs_no_runner_time() {
    let binaries = Binaries {
        node: PathBuf::from(env!("CARGO_BIN_EXE_crosslaned")),
        command: PathBuf::from(env!("CARGO_BIN_EXE_crosslane")),
    };
    let settings = json!({ "limits": { "body_bytes": 2_000, "read_millis": 300 } });
    let plan = Plan { nodes: 1, prefill: 1, decode: 1, settings, ..Plan::default() };
    let site = Site::start(binaries, &plan).unwrap();
    for case in cases() {
        let (status, body) = send(&site, &case);
        assert_eq!(status, case.status, "{}: {body}", case.name);
        assert_eq!(body["error"]["code"], case.code, "{}", case.name);
        assert_eq!(body["error"]["outcome"], "not_run", "{}", case.name);
    }
    // Closed halfway, and never heard of again.
    let mut stream = TcpStream::connect(site.callers(0)).unwrap();
    stream.write_all(b"POST /v1/completions HTTP/1.1\r\ncontent-length: 90\r\n\r\n{").unwrap();
    drop(stream);

    assert_eq!(site.look("prefill-0", "/stats")["runs"], json!({}));
    assert_eq!(site.look("decode-0", "/stats")["runs"], json!({}));
    assert_eq!(site.look("service-0", "/counts"), json!({}));
    let counters = &site.status(0)["counters"];
    assert_eq!(counters["refused.bad_body"], 6, "each refusal is counted: {counters}");
}
