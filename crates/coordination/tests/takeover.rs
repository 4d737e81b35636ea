//! Engines of a dead owner: exactly one live node cleans up each of them, and cancels only attempts of
//! dead nodes.

use crosslane_coordination::ledger;
use crosslane_coordination::node::{Node, Options};
use crosslane_coordination::placement::Mode;
use crosslane_state::attempt;
use crosslane_state::incarnation::Incarnation;
use crosslane_state::member::Member;
use crosslane_state::runner::{Id, Role, Runner, Table};
use crosslane_state::time::Millis;
use rstest::rstest;
use std::collections::BTreeSet;

const NODES: u64 = 4;
const ENGINES: usize = 12;
const SUSPECT_MILLIS: u64 = 1_000;
const START: Millis = Millis(5_000);

fn engine(index: usize, role: Role) -> Runner {
    let name = format!("engine-{index}");
    Runner {
        id: Id::of(&name),
        vm: format!("vm-{index}"),
        domain: "Aarau".into(),
        address: ([127, 0, 0, 1], 9_000).into(),
        role,
        serves: "draft".into(),
        slots: 4,
        kv_tokens: 10_000,
        fences: true,
        name,
    }
}

fn node(number: u64) -> Node {
    let mut table = Table::default();
    for index in 0..ENGINES {
        table.insert(engine(index, Role::Prefill));
    }
    table.insert(engine(ENGINES, Role::Service));
    let mut node = Node::new(Options {
        incarnation: Incarnation(number),
        domain: "Aarau".into(),
        table,
        mode: Mode::BestOfTwo,
        retry_percent: 10,
        suspect_millis: SUSPECT_MILLIS,
        neighbours: 8,
        grant_early: false,
        ledger: ledger::Limits {
            answers: 10,
            bytes: 1 << 10,
            answer_millis: 1_000,
            tombstones: 10,
            window_millis: 1_000,
        },
        seed: number,
    });
    for number in 0..NODES {
        node.state.roster.join(Member {
            incarnation: Incarnation(number),
            vm: format!("entry-{number}"),
            domain: "Aarau".into(),
            control: ([127, 0, 0, 1], 7_000).into(),
            forward: ([127, 0, 0, 1], 7_001).into(),
        });
    }
    node.refresh(START);
    node
}

/// Silent nodes, and those of them whose death other nodes confirm.
struct Case {
    silent: &'static [u64],
    confirmed: &'static [u64],
}

const CASES: [Case; 4] = [
    Case { silent: &[], confirmed: &[] },
    Case { silent: &[3], confirmed: &[] },
    Case { silent: &[3], confirmed: &[3] },
    Case { silent: &[2, 3], confirmed: &[2, 3] },
];

#[rstest]
fn each_engine_of_a_dead_owner_is_taken_over_by_one_live_node() {
    for Case { silent, confirmed } in CASES {
        let now = START + SUSPECT_MILLIS;
        let mut taken_over = Vec::new();
        let mut owned_by_dead = BTreeSet::new();
        for own in (0..NODES).filter(|number| !silent.contains(number)) {
            let mut node = node(own);
            let alive = (0..NODES).filter(|number| !silent.contains(number));
            alive.for_each(|number| node.detector.record_contact(Incarnation(number), now));
            confirmed.iter().for_each(|number| node.detector.confirm(Incarnation(*number), now));
            taken_over.extend(node.taken_over(now).into_iter().map(|runner| runner.id));
            let has_dead_owner = |runner: &Runner| {
                confirmed
                    .iter()
                    .any(|dead_node| node.owner(runner.id) == Some(Incarnation(*dead_node)))
            };
            let engines = node.options().table.iter().filter(|runner| runner.role != Role::Service);
            owned_by_dead
                .extend(engines.filter(|runner| has_dead_owner(runner)).map(|runner| runner.id));
        }
        taken_over.sort();
        assert_eq!(taken_over, Vec::from_iter(owned_by_dead), "silent: {silent:?}");
    }
}

#[rstest]
fn only_attempts_of_dead_nodes_are_cancelled() {
    let mut node = node(0);
    let now = START + SUSPECT_MILLIS;
    node.detector.record_contact(Incarnation(1), now);
    node.detector.confirm(Incarnation(3), now);
    let attempt_of =
        |origin| attempt::Id { origin: Incarnation(origin), sequence: 1, retry_number: 0 };
    let held = [attempt_of(0), attempt_of(1), attempt_of(2), attempt_of(3)];
    assert_eq!(
        node.orphans(&held, now),
        [attempt_of(3)],
        "attempts of live and suspected nodes are kept"
    );
}
