//! Failure detection, and which attempts at engines are cancelled by it.

use crosslane_coordination::detector::{Detector, Liveness};
use crosslane_coordination::reconcile::plan;
use crosslane_state::attempt::Id;
use crosslane_state::incarnation::Incarnation;
use crosslane_state::time::Millis;
use rstest::rstest;

const NODE: Incarnation = Incarnation(7);
const START: Millis = Millis(1_000);

#[rstest]
fn a_suspect_is_dead_once_others_confirm() {
    let mut detector = Detector::new(500);
    assert_eq!(detector.liveness(NODE, START), Liveness::Dead, "never watched");
    detector.watch(NODE, START);
    assert_eq!(detector.liveness(NODE, START + 499), Liveness::Alive);
    assert_eq!(detector.liveness(NODE, START + 500), Liveness::Suspect);
    assert_eq!(detector.suspects(START + 500), [NODE]);
    detector.confirm(NODE, START + 500);
    assert_eq!(detector.liveness(NODE, START + 500), Liveness::Dead);
    assert!(detector.suspects(START + 500).is_empty());
    detector.record_contact(NODE, START + 600);
    assert_eq!(detector.liveness(NODE, START + 600), Liveness::Alive, "contact");
}

#[rstest]
fn after_a_pause_no_node_is_dead() {
    let mut detector = Detector::new(500);
    detector.watch(NODE, START);
    detector.confirm(NODE, START + 9_000);
    detector.reset(START + 9_000);
    assert_eq!(detector.liveness(NODE, START + 9_000), Liveness::Alive);
}

#[rstest]
fn only_attempts_of_dead_nodes_are_cancelled_without_asking() {
    let of = |origin| Id { origin: Incarnation(origin), sequence: 1, retry_number: 0 };
    let liveness = |origin: Incarnation| match origin.0 {
        1 => Liveness::Alive,
        2 => Liveness::Suspect,
        _ => Liveness::Dead,
    };
    let plan = plan(&[(of(1), true), (of(1), false), (of(2), true), (of(3), false)], liveness);
    assert_eq!(plan.cancel, [of(3)]);
    assert_eq!(plan.confirm[&Incarnation(1)], [of(1)]);
    assert_eq!(plan.confirm.len(), 1, "a suspect is neither asked nor cancelled");
}
