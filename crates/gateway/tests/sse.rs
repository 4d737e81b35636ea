//! Complete events are forwarded, and the id of the last one is known.

use crosslane_gateway::sse::{Splitter, Tail};
use rstest::rstest;

struct Case {
    name: &'static str,
    chunks: &'static [&'static [u8]],
    forwarded: &'static [u8],
    last_id: Option<u64>,
    partial: bool,
}

#[rstest]
#[case(Case { name: "one event", chunks: &[b"id: 1\ndata: a\n\n"], forwarded: b"id: 1\ndata: a\n\n", last_id: Some(1), partial: false })]
#[case(Case { name: "split within an event", chunks: &[b"id: 1\nda", b"ta: a\n\n"], forwarded: b"id: 1\ndata: a\n\n", last_id: Some(1), partial: false })]
#[case(Case { name: "split within the terminator", chunks: &[b"id: 1\n", b"\n"], forwarded: b"id: 1\n\n", last_id: Some(1), partial: false })]
#[case(Case { name: "single bytes", chunks: &[b"i", b"d", b":", b"1", b"\n", b"\n", b"\n", b"a", b"\n", b"\n"], forwarded: b"id:1\n\n\na\n\n", last_id: Some(1), partial: false })]
#[case(Case { name: "second event incomplete", chunks: &[b"id: 7\n\nid: 8\nda"], forwarded: b"id: 7\n\n", last_id: Some(7), partial: true })]
#[case(Case { name: "two events", chunks: &[b"id:1\n\nid:2\n\n"], forwarded: b"id:1\n\nid:2\n\n", last_id: Some(2), partial: false })]
#[case(Case { name: "no id", chunks: &[b"data: a\n\n"], forwarded: b"data: a\n\n", last_id: None, partial: false })]
fn complete_events_are_forwarded(#[case] case: Case) {
    let mut events = Splitter::default();
    let complete: Vec<u8> =
        case.chunks.iter().filter_map(|chunk| events.push(chunk)).flatten().collect();
    assert_eq!(complete, case.forwarded, "{}", case.name);
    assert_eq!(
        (events.last_id(), events.has_partial()),
        (case.last_id, case.partial),
        "{}",
        case.name
    );
}

struct End {
    name: &'static str,
    chunks: &'static [&'static [u8]],
    partial: bool,
}

#[rstest]
#[case(End { name: "nothing", chunks: &[], partial: false })]
#[case(End { name: "one event", chunks: &[b"data: a\n\n"], partial: false })]
#[case(End { name: "carriage returns", chunks: &[b"data: a\r\n", b"\r\n"], partial: false })]
#[case(End { name: "split within the terminator", chunks: &[b"data: a\n", b"\n"], partial: false })]
#[case(End { name: "split before the terminator, and an empty chunk", chunks: &[b"data: a", b"\n\n", b""], partial: false })]
#[case(End { name: "within an event", chunks: &[b"data: a\n\nda", b"ta: b"], partial: true })]
#[case(End { name: "within a terminator", chunks: &[b"data: a\n\n", b"data: b\n"], partial: true })]
#[case(End { name: "one byte", chunks: &[b"\n"], partial: true })]
fn ends_of_streams(#[case] case: End) {
    let mut tail = Tail::default();
    case.chunks.iter().for_each(|chunk| tail.push(chunk));
    assert_eq!(tail.is_partial(), case.partial, "{}", case.name);
}
