//! Nodes that are partitioned from all endpoints, while callers, the store and other nodes reach them.

mod fixture;

use crosslane_platform_standins::caller::Ending;
use crosslane_platform_standins::ledger::Kind;
use crosslane_soak::proxy::Mode;
use fixture::Fixture;
use futures::future::join_all;
use nix::sys::signal::Signal;
use rstest::rstest;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Requests of each kind once a partitioned node serves again.
const REQUESTS: usize = 8;

/// Kinds that are asked: what may be repeated and what may not, plain calls and streams.
const KINDS: [Kind; 4] = [Kind::Page, Kind::Confirm, Kind::Draft, Kind::Read];

struct Case {
    mode: Mode,
    /// Nodes that are cut off, of four.
    cut_off: &'static [usize],
}

impl Fixture {
    fn partition(&self, case: &Case) {
        case.cut_off.iter().for_each(|node| self.site.partition(*node, case.mode));
    }

    /// How a node ends some requests of a kind, asked one after the other.
    async fn ask_some(&self, node: usize, round: usize, kind: Kind, count: usize) -> Vec<Ending> {
        let mut endings = Vec::new();
        for number in 0..count {
            let id = format!("p{node}-{round}-{kind:?}-{number}");
            endings.push(self.ask(node, &id, kind, &format!("{}{id}", kind.prefix())).await);
        }
        endings
    }

    /// Waits until a node serves a kind of request.
    async fn until_node_serves(&self, node: usize, kind: Kind) {
        let rounds = AtomicUsize::new(1);
        let served = || async {
            let round = rounds.fetch_add(1, Ordering::Relaxed);
            self.ask_some(node, round, kind, 1).await == [Ending::Answered]
        };
        self.until(served).await;
    }
}

/// A cut-off node refused its callers, though other nodes reached every endpoint.
#[rstest]
#[case(Case { mode: Mode::Refused, cut_off: &[0] })]
#[case(Case { mode: Mode::Unanswered, cut_off: &[0] })]
#[case(Case { mode: Mode::NewRefused, cut_off: &[1] })]
#[case(Case { mode: Mode::Refused, cut_off: &[0, 1, 3] })]
#[case(Case { mode: Mode::Unanswered, cut_off: &[0, 1, 2] })]
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_a_node_without_a_way_to_endpoints_are_served(#[case] case: Case) {
    let fixture = Fixture::start(1).await;
    for kind in KINDS {
        fixture.until_served(kind).await;
    }
    fixture.partition(&case);
    let asked = case.cut_off.iter().flat_map(|node| KINDS.map(|kind| (*node, kind)));
    let checks = asked.map(|(node, kind)| {
        let (fixture, mode) = (&fixture, case.mode);
        async move {
            fixture.until_node_serves(node, kind).await;
            let endings = fixture.ask_some(node, 0, kind, REQUESTS).await;
            let ok = endings.iter().all(|it| *it == Ending::Answered);
            assert!(ok, "{mode:?}, node {node}, {kind:?}: {endings:?}");
        }
    });
    join_all(checks).await;
    let broken = fixture.site.ledger.violations();
    assert!(broken.is_empty(), "{broken:?}");
}

#[rstest]
#[case(Mode::Unanswered)]
#[case(Mode::Refused)]
#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_starts_without_a_way_to_endpoints_serves(#[case] mode: Mode) {
    let fixture = Fixture::start(1).await;
    fixture.until_served(Kind::Read).await;
    fixture.partition(&Case { mode, cut_off: &[0] });
    let node = &fixture.site.nodes[0];
    node.signal(Signal::SIGKILL);
    node.ended().await;
    node.start().await.unwrap();
    fixture.until_ready().await;
    join_all(KINDS.map(|kind| fixture.until_node_serves(0, kind))).await;
}

/// Nobody can serve it, so it goes round among the nodes once at most, and its caller need not wait.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_refused_while_no_node_has_a_way_to_endpoints() {
    let fixture = Fixture::start(1).await;
    fixture.until_served(Kind::Read).await;
    let all = Case { mode: Mode::Refused, cut_off: &[0, 1, 2, 3] };
    fixture.partition(&all);
    for kind in KINDS {
        let endings = fixture.ask_some(0, 0, kind, REQUESTS).await;
        assert!(endings.iter().all(|it| *it == Ending::Status(503)), "{kind:?}: {endings:?}");
    }
    all.cut_off.iter().for_each(|node| fixture.site.partition(*node, Mode::Pass));
    join_all(KINDS.map(|kind| fixture.until_node_serves(0, kind))).await;
    assert!(fixture.site.ledger.violations().is_empty());
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_run_behind_two_nodes_ends_when_its_caller_leaves() {
    let fixture = Fixture::start(1).await;
    fixture.until_served(Kind::Read).await;
    fixture.partition(&Case { mode: Mode::Refused, cut_off: &[0] });
    fixture.until_node_serves(0, Kind::Page).await;
    fixture.until_node_serves(0, Kind::Read).await;
    let runs = || async { !fixture.site.ledger.running().is_empty() };
    {
        let asking = fixture.ask(0, "endless", Kind::Endless, "/endless/endless");
        tokio::select! {
            ending = asking => panic!("{ending:?}"),
            () = fixture.until(runs) => {}
        }
    }
    fixture.until(|| async { fixture.site.ledger.running().is_empty() }).await;
}
