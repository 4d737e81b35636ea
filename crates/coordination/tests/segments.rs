//! Evidence for and against prompt segments, the rulings on them, and what other nodes are sent.

use crosslane_coordination::pattern::Pattern;
use crosslane_coordination::ruling::{Ruling, SHUT_OUT_MS, Verdict};
use crosslane_coordination::segments::{Segments, Update};
use crosslane_state::endpoint::Tag;
use crosslane_state::fingerprint::Fingerprint;
use crosslane_state::segment::Segment;
use crosslane_state::time::Millis;
use rstest::rstest;

const UNIX_MS: u64 = 1_800_000_000_000;

fn segments() -> Segments {
    Segments::new(Tag(1))
}

fn prompt(ids: &[&str]) -> Vec<Segment> {
    ids.iter().map(|id| Segment::new("reads", id)).collect()
}

fn pattern(ids: &[&str]) -> Pattern {
    Pattern::try_from(prompt(ids)).unwrap()
}

fn request(number: u64) -> Fingerprint {
    Fingerprint::of(&[&number.to_le_bytes()])
}

/// What happens, one second apart.
#[derive(Clone, Copy)]
enum Happens {
    /// An endpoint of its own crashes under a request of its own with this prompt.
    Crash(&'static [&'static str]),
    /// An endpoint of its own crashes under several requests.
    CrashBeside(&'static [&'static [&'static str]]),
    /// The last request crashes another endpoint.
    CrashAgain(&'static [&'static str]),
    /// A request runs well.
    Sound(&'static [&'static str]),
}

/// Plays what happens from the given second on, and returns the one after.
fn play(segments: &mut Segments, from: u64, happens: &[Happens]) -> u64 {
    let mut last = 0;
    for (second, happens) in (from..).zip(happens) {
        let now = Millis(second * 1_000);
        let endpoint = Tag(100 + second);
        match happens {
            Happens::Crash(ids) => {
                last = second * 10;
                segments.record_crash(endpoint, request(last), &prompt(ids), now);
            }
            Happens::CrashBeside(prompts) => {
                for (place, ids) in prompts.iter().enumerate() {
                    last = second * 10 + place as u64;
                    segments.record_crash(endpoint, request(last), &prompt(ids), now);
                }
            }
            Happens::CrashAgain(ids) => {
                segments.record_crash(endpoint, request(last), &prompt(ids), now);
            }
            Happens::Sound(ids) => segments.record_sound(&prompt(ids), now, UNIX_MS),
        }
        segments.make_rulings(now + 900, UNIX_MS + now.0 + 900);
    }
    from + happens.len() as u64
}

use Happens::{Crash, CrashAgain, CrashBeside, Sound};

struct Case {
    name: &'static str,
    happens: &'static [Happens],
    /// Prompts that are shut out, and some that are not.
    shut: &'static [&'static [&'static str]],
    served: &'static [&'static [&'static str]],
}

#[rstest]
#[case(Case {
    name: "two crashes are not enough",
    happens: &[Crash(&["a", "x"]), Crash(&["a", "x"])],
    shut: &[],
    served: &[&["a", "x"]],
})]
#[case(Case {
    name: "copies of one request are left to the quarantine of requests",
    happens: &[Crash(&["a", "x"]), CrashAgain(&["a", "x"]), CrashAgain(&["a", "x"])],
    shut: &[],
    served: &[&["a", "x"]],
})]
#[case(Case {
    name: "what the requests have in common is shut out together",
    happens: &[Crash(&["a", "x"]), CrashAgain(&["a", "x"]), Crash(&["a", "x"])],
    shut: &[&["a", "x"], &["x", "b", "a"]],
    served: &[&["a"], &["x"], &["a", "y"]],
})]
#[case(Case {
    name: "crashes under other prompts tell which of them it is",
    happens: &[
        Crash(&["a", "x"]),
        Crash(&["a", "x"]),
        Crash(&["a", "x"]),
        Crash(&["b", "x"]),
        Crash(&["d", "x"]),
    ],
    shut: &[&["x"], &["c", "x"]],
    served: &[&["a"], &["b"]],
})]
#[case(Case {
    name: "so does a run that went well before",
    happens: &[Sound(&["a", "y"]), Crash(&["a", "x"]), Crash(&["a", "x"]), Crash(&["a", "x"])],
    shut: &[&["x"], &["b", "x"]],
    served: &[&["a", "y"]],
})]
#[case(Case {
    name: "or afterwards",
    happens: &[Crash(&["a", "x"]), Crash(&["a", "x"]), Crash(&["a", "x"]), Sound(&["a", "y"])],
    shut: &[&["b", "x"]],
    served: &[&["a", "y"]],
})]
#[case(Case {
    name: "a run that goes well takes the strikes away",
    happens: &[Crash(&["x"]), Crash(&["x"]), Sound(&["x"]), Crash(&["x"])],
    shut: &[],
    served: &[&["x"]],
})]
#[case(Case {
    name: "a segment with which requests ran well before may have become poisonous",
    happens: &[
        Sound(&["a", "x"]),
        Crash(&["a", "x"]),
        Crash(&["a", "x"]),
        Crash(&["b", "x"]),
        Crash(&["a", "x"]),
        Crash(&["c", "x"]),
        Crash(&["d", "x"]),
    ],
    shut: &[&["x"]],
    served: &[&["a"], &["b"], &["c"]],
})]
#[case(Case {
    name: "a bystander that was at all of the crashes waits for two more",
    happens: &[
        CrashBeside(&[&["a", "x"], &["b", "y"]]),
        CrashBeside(&[&["a", "x"], &["b", "y"]]),
        CrashBeside(&[&["a", "x"], &["b", "y"]]),
    ],
    shut: &[],
    served: &[&["b", "y"], &["a", "x"]],
})]
#[case(Case {
    name: "and is served once the culprit crashes two endpoints alone",
    happens: &[
        CrashBeside(&[&["a", "x"], &["b", "y"]]),
        CrashBeside(&[&["a", "x"], &["b", "y"]]),
        CrashBeside(&[&["a", "x"], &["b", "y"]]),
        Crash(&["a", "x"]),
        Crash(&["a", "x"]),
    ],
    shut: &[&["a", "x"]],
    served: &[&["b", "y"], &["a"], &["b"]],
})]
#[case(Case {
    name: "a companion that also met a crash of another cause",
    happens: &[
        CrashBeside(&[&["a", "s3"], &["a", "x", "s3"]]),
        Crash(&["a", "s3"]),
        CrashBeside(&[&["a", "s3"], &["a", "x", "s3"]]),
        Crash(&["a", "x", "s3"]),
        Crash(&["a", "x", "s3"]),
        CrashBeside(&[&["a", "s7"], &["a", "x", "s7"]]),
    ],
    shut: &[&["a", "x", "s3"]],
    served: &[&["a", "s3"], &["a", "s7"], &["a", "s9"]],
})]
#[case(Case {
    name: "two poison segments",
    happens: &[
        Sound(&["a"]),
        Crash(&["a", "x"]),
        Crash(&["a", "y"]),
        Crash(&["a", "x"]),
        Crash(&["a", "y"]),
        Crash(&["a", "x"]),
        Crash(&["a", "y"]),
        Crash(&["a", "x"]),
        Crash(&["a", "y"]),
        Crash(&["a", "x"]),
        Crash(&["a", "y"]),
    ],
    shut: &[&["x"], &["y"]],
    served: &[&["a"], &["a", "z"]],
})]
fn segments_are_shut_out_by_the_evidence(#[case] case: Case) {
    let mut segments = segments();
    let unix = UNIX_MS + play(&mut segments, 0, case.happens) * 1_000;
    for ids in case.shut {
        assert!(segments.shut_out(&prompt(ids), unix).is_some(), "{}: {ids:?}", case.name);
    }
    for ids in case.served {
        assert!(segments.shut_out(&prompt(ids), unix).is_none(), "{}: {ids:?}", case.name);
    }
}

const RULED: &[Happens] =
    &[Sound(&["a"]), Crash(&["a", "x"]), Crash(&["a", "x"]), Crash(&["a", "x"])];

/// Many endpoints that go down together count as two strikes at most.
#[rstest]
fn joint_crashes_have_another_cause() {
    let mut segments = segments();
    for endpoint in 0..10 {
        segments.record_crash(Tag(endpoint), request(endpoint), &prompt(&["x"]), Millis(5));
    }
    assert!(segments.shut_out(&prompt(&["x"]), UNIX_MS).is_none());
}

#[rstest]
fn a_node_that_starts_is_told_what_is_known() {
    let mut here = segments();
    play(&mut here, 0, RULED);
    play(&mut here, 10, &[Crash(&["b", "y"]), Crash(&["b", "y"])]);
    let mut there = Segments::new(Tag(2));
    for update in here.snapshot() {
        there.apply(update, 2, Millis(10), UNIX_MS + 12_000);
    }
    assert!(there.shut_out(&prompt(&["x"]), UNIX_MS).is_some());
    assert_eq!(there.digest(), here.digest());
    there.record_crash(Tag(77), request(77), &prompt(&["b", "y"]), Millis(2_000));
    assert!(there.shut_out(&prompt(&["b", "y"]), UNIX_MS).is_some(), "strikes were told");
    assert!(there.shut_out(&prompt(&["b"]), UNIX_MS).is_none());
}

#[rstest]
fn a_lifted_pattern_is_served_until_there_is_new_evidence() {
    let mut segments = segments();
    play(&mut segments, 0, RULED);
    let (now, unix) = (Millis(10_000), UNIX_MS + 10_000);
    let lifted = Ruling { at: unix, verdict: Verdict::Lifted };
    assert!(segments.merge_ruling(pattern(&["x"]), lifted, now, unix));
    assert!(segments.shut_out(&prompt(&["a", "x"]), unix).is_none());
    segments.expire(now + 1, unix + 1);
    assert!(segments.shut_out(&prompt(&["a", "x"]), unix + 1).is_none());
    for (number, endpoint) in (50..53).enumerate() {
        let at = now + 1_000 * (number as u64 + 1);
        segments.record_crash(Tag(endpoint), request(endpoint), &prompt(&["a", "x"]), at);
    }
    assert!(segments.shut_out(&prompt(&["a", "x"]), unix + 4_000).is_some());
}

/// A ruling that ends costs one endpoint, not three.
#[rstest]
fn one_crash_shuts_a_pattern_out_again() {
    let mut segments = segments();
    play(&mut segments, 0, RULED);
    let (now, unix) = (Millis(SHUT_OUT_MS + 10_000), UNIX_MS + SHUT_OUT_MS + 10_000);
    segments.expire(now, unix);
    assert!(segments.shut_out(&prompt(&["a", "x"]), unix).is_none());
    segments.record_crash(Tag(70), request(70), &prompt(&["b", "x"]), now + 1_000);
    assert!(segments.shut_out(&prompt(&["c", "x"]), unix + 1_000).is_some());
    assert!(segments.shut_out(&prompt(&["b", "y"]), unix + 1_000).is_none());
}

/// Requests that are struck once and never come again leave room for the next culprit.
#[rstest]
fn a_flood_of_other_crashes_hides_no_segment() {
    let mut segments = segments();
    for number in 0..2_000_u64 {
        let ids = [format!("f{number}"), format!("g{number}")];
        let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
        let now = Millis(number * 100);
        segments.record_crash(Tag(1_000 + number), request(number), &prompt(&ids), now);
        if number.is_multiple_of(20) {
            let poisonous = prompt(&["a", "x"]);
            segments.record_crash(Tag(100_000 + number), request(50_000 + number), &poisonous, now);
        }
    }
    assert!(segments.shut_out(&prompt(&["a", "x"]), UNIX_MS).is_some());
}

/// Only some nodes of a large fleet tell the others that a segment is sound.
#[rstest]
#[case(6, 6, 6)]
#[case(1_000, 1, 40)]
fn few_nodes_vouch_for_a_segment(#[case] nodes: u64, #[case] least: usize, #[case] most: usize) {
    let mut told = 0;
    for node in 0..nodes {
        let mut segments = Segments::new(Tag(node));
        segments.record_sound(&prompt(&["a"]), Millis(0), UNIX_MS);
        let crash = Update::Crashed {
            endpoint: Tag(9),
            request: request(9),
            segments: vec![(prompt(&["a"])[0], false)],
        };
        segments.apply(crash, nodes as usize, Millis(10), UNIX_MS);
        told += segments.take_outbox().len();
    }
    assert!((least..=most).contains(&told), "{told}");
}

#[rstest]
fn rulings_of_this_node_are_saved_at_once() {
    let mut segments = segments();
    play(&mut segments, 0, RULED);
    let unsaved = segments.rulings_to_save(Millis(4_000), None);
    assert_eq!(unsaved.len(), 1);
    let (ruled, ruling) = unsaved[0].clone();
    assert_eq!((&ruled, ruling.verdict), (&pattern(&["x"]), Verdict::Shut));
    segments.mark_saved(&ruled, ruling);
    assert!(segments.rulings_to_save(Millis(4_000), Some(0)).is_empty());
}

struct Explanation {
    name: &'static str,
    happens: &'static [Happens],
    /// Seconds at which an endpoint crashed under the request as well.
    crashes: &'static [u64],
    explained: bool,
}

/// A stream that was resumed next to three different requests with a poison segment was shut out, since none of these was
/// present at two of its crashes.
#[rstest]
#[case(Explanation {
    name: "a suspected segment was at all crashes",
    happens: &[Crash(&["a", "x"]), Crash(&["b", "x"]), Crash(&["c", "x"])],
    crashes: &[0, 1, 2],
    explained: true,
})]
#[case(Explanation {
    name: "at all but one",
    happens: &[Crash(&["a", "x"]), Crash(&["b", "x"]), Crash(&["c"])],
    crashes: &[0, 1, 2],
    explained: true,
})]
#[case(Explanation {
    name: "at one of three",
    happens: &[Crash(&["a", "x"]), Crash(&["b", "y"]), Crash(&["c", "x"])],
    crashes: &[0, 50, 51],
    explained: false,
})]
#[case(Explanation {
    name: "requests run well with the segment",
    happens: &[Sound(&["x"]), Crash(&["x"]), Crash(&["x"]), Crash(&["x"])],
    crashes: &[1, 2, 3],
    explained: false,
})]
#[case(Explanation {
    name: "two segments that are shut out",
    happens: &[
        Crash(&["x"]), Crash(&["x"]), Crash(&["x"]),
        Crash(&["y"]), Crash(&["y"]), Crash(&["y"]),
    ],
    crashes: &[1, 2, 4],
    explained: true,
})]
#[case(Explanation { name: "no segment at all", happens: &[], crashes: &[0, 1, 2], explained: false })]
fn segments_explain_crashes_under_other_requests(#[case] case: Explanation) {
    let mut segments = segments();
    play(&mut segments, 0, case.happens);
    let crashes: Vec<Tag> = case.crashes.iter().map(|second| Tag(100 + second)).collect();
    assert_eq!(segments.explain(request(999), &crashes), case.explained, "{}", case.name);
}

/// What a request's own segments did at its own crashes is no excuse for it.
#[rstest]
fn a_request_is_not_excused_by_its_own_segments() {
    let mut segments = segments();
    play(&mut segments, 0, &[Crash(&["x"]), CrashAgain(&["x"]), CrashAgain(&["x"])]);
    assert!(!segments.explain(request(0), &[Tag(100), Tag(101), Tag(102)]));
}

struct Burst {
    name: &'static str,
    /// Prompts of the requests at each endpoint that crashes, within less time than a sound run takes.
    crashes: &'static [&'static [&'static [&'static str]]],
    shut: &'static [&'static [&'static str]],
    served: &'static [&'static [&'static str]],
}

/// Guards against a start at which requests with one segment, each beside a sound one, crash more engines than allowed before
/// any run can go well.
#[rstest]
#[case(Burst {
    name: "one cause, with most requests under one first segment",
    crashes: &[
        &[&["b", "x", "p"], &["b", "p"]],
        &[&["a", "x", "q"], &["a", "q"]],
        &[&["a", "x", "r"], &["a", "r"]],
        &[&["a", "x", "s"], &["a", "s"]],
    ],
    shut: &[&["a", "x"], &["a", "x", "t"]],
    served: &[&["a"], &["x"], &["a", "q"], &["b", "x"]],
})]
#[case(Burst {
    name: "two causes that share the other segments",
    crashes: &[
        &[&["a", "z", "q"], &["a", "q"]],
        &[&["a", "x", "p"], &["a", "p"]],
        &[&["a", "y", "p"], &["a", "p"]],
        &[&["a", "x", "p"], &["a", "p"]],
        &[&["a", "y", "p"], &["a", "p"]],
    ],
    shut: &[],
    served: &[&["a", "p"], &["a"], &["p"]],
})]
#[case(Burst {
    name: "requests that are poisonous by themselves",
    crashes: &[&[&["a", "p"]], &[&["a", "q"]], &[&["b", "r"]], &[&["b", "s"]]],
    shut: &[],
    served: &[&["a"], &["b"], &["a", "p"]],
})]
fn two_segments_are_shut_out_together_while_nothing_is_known_of_either(#[case] case: Burst) {
    let mut segments = segments();
    for (number, prompts) in (1..).zip(case.crashes) {
        let now = Millis(1_000 + number * 70);
        for (place, ids) in (0..).zip(*prompts) {
            segments.record_crash(Tag(number), request(number * 10 + place), &prompt(ids), now);
        }
        segments.make_rulings(now + 61, UNIX_MS);
    }
    let is_shut = |ids: &&[&str]| segments.shut_out(&prompt(ids), UNIX_MS).is_some();
    assert!(case.shut.iter().all(is_shut), "{}", case.name);
    assert!(!case.served.iter().any(is_shut), "{}", case.name);
}
