//! Engines of a dead owner: one live node looks after each, and frees only what the dead left.

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

fn engine(place: usize, role: Role) -> Runner {
    let name = format!("engine-{place}");
    Runner {
        id: Id::of(&name),
        vm: format!("vm-{place}"),
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

fn node(me: u64) -> Node {
    let mut table = Table::default();
    for place in 0..ENGINES {
        table.insert(engine(place, Role::Prefill));
    }
    table.insert(engine(ENGINES, Role::Service));
    let mut node = Node::new(Options {
        me: Incarnation(me),
        domain: "Aarau".into(),
        table,
        mode: Mode::BestOfTwo,
        retry_percent: 10,
        suspect_millis: SUSPECT_MILLIS,
        neighbours: 8,
        ahead: false,
        ledger: ledger::Limits {
            answers: 10,
            bytes: 1 << 10,
            answer_millis: 1_000,
            tombstones: 10,
            window_millis: 1_000,
        },
        seed: me,
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

/// A case: which nodes are silent, and which of these others confirm.
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
fn each_engine_of_a_dead_owner_has_one_live_node() {
    for Case { silent, confirmed } in CASES {
        let now = START + SUSPECT_MILLIS;
        let mut looked_after = Vec::new();
        let mut owned_by_dead = BTreeSet::new();
        for me in (0..NODES).filter(|number| !silent.contains(number)) {
            let mut node = node(me);
            let heard = (0..NODES).filter(|number| !silent.contains(number));
            heard.for_each(|number| node.detector.heard(Incarnation(number), now));
            confirmed.iter().for_each(|number| node.detector.confirm(Incarnation(*number), now));
            looked_after.extend(node.taken_over(now).into_iter().map(|runner| runner.id));
            let dead = |runner: &Runner| {
                confirmed.iter().any(|gone| node.owner(runner.id) == Some(Incarnation(*gone)))
            };
            let engines = node.options().table.iter().filter(|runner| runner.role != Role::Service);
            owned_by_dead.extend(engines.filter(|runner| dead(runner)).map(|runner| runner.id));
        }
        looked_after.sort();
        assert_eq!(looked_after, Vec::from_iter(owned_by_dead), "silent: {silent:?}");
    }
}

#[rstest]
fn only_what_the_dead_left_is_freed() {
    let mut node = node(0);
    let now = START + SUSPECT_MILLIS;
    node.detector.heard(Incarnation(1), now);
    node.detector.confirm(Incarnation(3), now);
    let of = |origin| attempt::Id { origin: Incarnation(origin), sequence: 1, round: 0 };
    let held = [of(0), of(1), of(2), of(3)];
    assert_eq!(node.orphans(&held, now), [of(3)], "a live node's and a suspect's are left alone");
}
