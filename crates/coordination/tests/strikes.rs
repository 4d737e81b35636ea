//! Strikes that the store keeps while no node runs.

use crosslane_coordination::quarantine::Quarantine;
use crosslane_coordination::ruling::{Ruling, Verdict};
use crosslane_coordination::strikes::Saved;
use crosslane_coordination::suspicion::{Status, Update};
use crosslane_state::endpoint::Tag;
use crosslane_state::fingerprint::Fingerprint;
use crosslane_state::time::Millis;
use rstest::rstest;

const UNIX_MS: u64 = 1_800_000_000_000;
const HERE: Tag = Tag(1);
const THERE: Tag = Tag(2);
const NOW: Millis = Millis(5_000);
const ORPHANED: Option<u64> = Some(2_000);

fn request(name: &str) -> Fingerprint {
    Fingerprint::of(&[name.as_bytes()])
}

/// A node that has read the store, which held no strikes.
fn node(tag: Tag) -> Quarantine {
    let mut quarantine = Quarantine::new(tag);
    quarantine.set_own_record(&[]);
    quarantine
}

fn saved(name: &str, endpoints: &[u64], at: u64) -> Saved {
    let endpoints = endpoints.iter().copied().map(Tag).collect();
    Saved { request: request(name), endpoints, at }
}

/// Strikes a request, one second apart, the last one a second before `NOW`.
fn strike(quarantine: &mut Quarantine, name: &str, endpoints: &[u64]) {
    for (index, endpoint) in endpoints.iter().enumerate() {
        let before = (endpoints.len() - index) as u64 * 1_000;
        quarantine.record_strike(request(name), Tag(*endpoint), Millis(NOW.0 - before));
    }
}

struct Struck {
    name: &'static str,
    endpoints: &'static [u64],
    saves: bool,
}

#[rstest]
#[case(Struck { name: "none", endpoints: &[], saves: false })]
#[case(Struck { name: "one, as most requests beside a culprit", endpoints: &[11], saves: false })]
#[case(Struck { name: "two", endpoints: &[11, 12], saves: true })]
#[case(Struck { name: "three", endpoints: &[11, 12, 13], saves: true })]
fn a_node_saves_the_strikes_that_it_saw_once(#[case] case: Struck) {
    let mut here = node(HERE);
    strike(&mut here, "a", case.endpoints);
    let written = here.strikes_to_save(NOW, None, UNIX_MS);
    let expected = case.saves.then(|| vec![saved("a", case.endpoints, UNIX_MS - 1_000)]);
    assert_eq!(written, expected, "{}", case.name);
    here.set_own_record(&written.unwrap_or_default());
    assert_eq!(here.strikes_to_save(NOW, ORPHANED, UNIX_MS), None, "{}", case.name);
}

/// A node that wrote before it read the store would overwrite what it saved before its restart.
#[rstest]
fn a_node_saves_nothing_before_it_has_read_the_store() {
    let mut here = Quarantine::new(HERE);
    strike(&mut here, "a", &[11, 12]);
    assert_eq!(here.strikes_to_save(NOW, ORPHANED, UNIX_MS), None);
    here.set_own_record(&[]);
    assert!(here.strikes_to_save(NOW, None, UNIX_MS).is_some());
}

struct Orphaned {
    name: &'static str,
    /// Time after which the node saves what others saw, if it is responsible for that.
    after: Option<u64>,
    since_ms: u64,
    /// Whether the other node saved the strikes.
    saved: bool,
    saves: bool,
}

#[rstest]
#[case(Orphaned { name: "another node is responsible", after: None, since_ms: 9_000, saved: false, saves: false })]
#[case(Orphaned { name: "a moment ago", after: ORPHANED, since_ms: 100, saved: false, saves: false })]
#[case(Orphaned { name: "that node is gone", after: ORPHANED, since_ms: 2_000, saved: false, saves: true })]
#[case(Orphaned { name: "that node saved them", after: ORPHANED, since_ms: 2_000, saved: true, saves: false })]
fn strikes_that_their_witness_does_not_save_are_saved_by_others(#[case] case: Orphaned) {
    let mut here = node(HERE);
    let update = Update::Struck(vec![Tag(11), Tag(12)]);
    here.apply(THERE, request("a"), update, NOW, UNIX_MS);
    if case.saved {
        here.mark_strikes_saved(&[saved("a", &[11, 12], UNIX_MS)]);
    }
    let written = here.strikes_to_save(NOW + case.since_ms, case.after, UNIX_MS);
    assert_eq!(written.is_some(), case.saves, "{}", case.name);
}

#[rstest]
fn a_request_that_ran_well_is_taken_out_of_the_record() {
    let mut here = node(HERE);
    strike(&mut here, "a", &[11, 12]);
    strike(&mut here, "b", &[21, 22]);
    let written = here.strikes_to_save(NOW, None, UNIX_MS).unwrap();
    here.set_own_record(&written);
    here.clear(request("a"));
    let kept = vec![saved("b", &[21, 22], UNIX_MS - 1_000)];
    assert_eq!(here.strikes_to_save(NOW, None, UNIX_MS), Some(kept));
}

struct Restored {
    name: &'static str,
    /// Age of the saved strikes, in milliseconds.
    age_ms: u64,
    ruling: Option<Verdict>,
    /// Whether the ruling is known before the strikes.
    ruled_first: bool,
    counted: bool,
}

#[rstest]
#[case(Restored { name: "recent", age_ms: 1_000, ruling: None, ruled_first: false, counted: true })]
#[case(Restored { name: "expired", age_ms: 600_000, ruling: None, ruled_first: false, counted: false })]
#[case(Restored { name: "lifted", age_ms: 1_000, ruling: Some(Verdict::Lifted), ruled_first: false, counted: false })]
#[case(Restored { name: "lifted, as peers told", age_ms: 1_000, ruling: Some(Verdict::Lifted), ruled_first: true, counted: false })]
fn strikes_of_the_store_count_at_a_start(#[case] case: Restored) {
    let mut here = Quarantine::new(HERE);
    let rule = |here: &mut Quarantine| {
        if let Some(verdict) = case.ruling {
            here.merge_ruling(request("a"), Ruling { at: UNIX_MS, verdict }, NOW, UNIX_MS);
        }
    };
    if case.ruled_first {
        rule(&mut here);
    }
    here.restore_strikes(&[saved("a", &[11, 12], UNIX_MS - case.age_ms)], NOW, UNIX_MS);
    rule(&mut here);
    here.record_strike(request("a"), Tag(13), NOW + 1_000);
    let status = here.status(request("a"), NOW + 1_000, UNIX_MS);
    assert_eq!(matches!(status, Status::ShutOut(_)), case.counted, "{}", case.name);
}

/// A companion has its strikes back before the node knows that they are attributed to the culprit.
#[rstest]
#[case(["culprit", "companion"])]
#[case(["companion", "culprit"])]
fn restored_strikes_are_attributed_to_a_request_that_is_shut_out(#[case] order: [&str; 2]) {
    let mut here = Quarantine::new(HERE);
    let ruling = Ruling { at: UNIX_MS, verdict: Verdict::Shut };
    here.merge_ruling(request("culprit"), ruling, NOW, UNIX_MS);
    here.restore_strikes(&order.map(|name| saved(name, &[11, 12], UNIX_MS)), NOW, UNIX_MS);
    assert_eq!(here.status(request("companion"), NOW, UNIX_MS), Status::Clear);
}

#[rstest]
fn a_record_stays_small_in_a_flood() {
    let mut here = node(HERE);
    for number in 0..200_u64 {
        let request = request(&number.to_string());
        for strike in 0..2 {
            let endpoint = Tag(1_000 + 2 * number + strike);
            here.record_strike(request, endpoint, Millis(number * 1_000 + strike * 500));
        }
    }
    let written = here.strikes_to_save(Millis(200_000), None, UNIX_MS).unwrap();
    assert!(written.len() <= 64);
    assert!(written.iter().any(|saved| saved.request == request("199")));
    here.set_own_record(&written);
    assert_eq!(here.strikes_to_save(Millis(200_000), None, UNIX_MS), None);
}
