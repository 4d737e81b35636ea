//! Events are passed on whole, and the last one's id is known.

use crosslane_gateway::events::Events;
use rstest::rstest;

struct Case {
    name: &'static str,
    pieces: &'static [&'static [u8]],
    passed: &'static [u8],
    last: Option<u64>,
    partial: bool,
}

#[rstest]
#[case(Case { name: "one", pieces: &[b"id: 1\ndata: a\n\n"], passed: b"id: 1\ndata: a\n\n", last: Some(1), partial: false })]
#[case(Case { name: "cut in two", pieces: &[b"id: 1\nda", b"ta: a\n\n"], passed: b"id: 1\ndata: a\n\n", last: Some(1), partial: false })]
#[case(Case { name: "cut between ends of line", pieces: &[b"id: 1\n", b"\n"], passed: b"id: 1\n\n", last: Some(1), partial: false })]
#[case(Case { name: "second breaks off", pieces: &[b"id: 7\n\nid: 8\nda"], passed: b"id: 7\n\n", last: Some(7), partial: true })]
#[case(Case { name: "two at once", pieces: &[b"id:1\n\nid:2\n\n"], passed: b"id:1\n\nid:2\n\n", last: Some(2), partial: false })]
#[case(Case { name: "no id", pieces: &[b"data: a\n\n"], passed: b"data: a\n\n", last: None, partial: false })]
fn cut_where_an_event_ends(#[case] case: Case) {
    let mut events = Events::default();
    let whole: Vec<u8> = case.pieces.iter().filter_map(|it| events.push(it)).flatten().collect();
    assert_eq!(whole, case.passed, "{}", case.name);
    assert_eq!((events.last_id(), events.partial()), (case.last, case.partial), "{}", case.name);
}
