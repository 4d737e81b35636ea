//! Repeats of all nodes together, in all their lives, within the retry budget.

mod fixture;

use crosslane_platform_standins::caller::Ending;
use crosslane_platform_standins::endpoint::Fault;
use crosslane_platform_standins::ledger::{Kind, MODELS, PAGES};
use crosslane_platform_standins::repeats::Budget;
use crosslane_platform_standins::speed::Speed;
use crosslane_platform_standins::texts::RETRY_BUDGET;
use crosslane_soak::proxy::Mode;
use fixture::Fixture;
use futures::future::join_all;
use nix::sys::signal::Signal;
use rstest::rstest;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Repeats after which nodes start again: nearly the part of the budget that nodes use by themselves.
const FIRST_REPEATS: usize = 10;

/// Factor to the usual time of a prefill, long enough to lose a way meanwhile.
const SLOW: f64 = 25.0;

/// Lives of each node, and requests that callers of each node send one after the other in each life.
const LIVES: usize = 6;
const REQUESTS: usize = 25;

struct Case {
    name: &'static str,
    /// Signal that ends the nodes.
    signal: Signal,
    /// Nodes that start again between two rounds of requests, of four.
    restarted: usize,
}

/// All endpoints fail all requests, so each request is repeated as long as the budget allows.
#[rstest]
#[case(Case { name: "all killed", signal: Signal::SIGKILL, restarted: 4 })]
#[case(Case { name: "all but one killed", signal: Signal::SIGKILL, restarted: 3 })]
#[case(Case { name: "all stopped", signal: Signal::SIGTERM, restarted: 4 })]
#[tokio::test(flavor = "multi_thread")]
async fn repeats_stay_within_the_budget_while_nodes_start_again(#[case] case: Case) {
    let budget = Budget { ratio: 0.0, ..RETRY_BUDGET };
    let fixture = Fixture::start_with(1, budget).await;
    fixture.until_served(Kind::Page).await;
    let nodes = 0..fixture.site.nodes.len();
    fixture.site.with_all(|endpoint| endpoint.inject_fault(Some((Fault::Errs, 1))));
    let rounds = AtomicUsize::new(0);
    let all_repeat = || async {
        let round = rounds.fetch_add(1, Ordering::Relaxed);
        join_all(nodes.clone().map(|node| fixture.ask_many(node, round))).await;
        fixture.site.ledger.retry_usage(budget)[PAGES].repeats >= FIRST_REPEATS
    };
    fixture.until(all_repeat).await;
    for life in 0..LIVES {
        join_all((0..case.restarted).map(|node| fixture.restart(node, case.signal))).await;
        fixture.until_ready().await;
        let round = rounds.load(Ordering::Relaxed) + life;
        join_all(nodes.clone().map(|node| fixture.ask_many(node, round))).await;
    }
    let usage = fixture.site.ledger.retry_usage(budget)[PAGES];
    assert!(!usage.is_exceeded(), "{}: {usage}", case.name);
}

/// The prompt was prefilled here before the way to the endpoints was lost, so another node prefills it again.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_forwarded_prompt_is_not_prefilled_again_beyond_the_budget() {
    let budget = Budget { ratio: 0.0, slack: 0.0, ..RETRY_BUDGET };
    let fixture = Fixture::start_with(1, budget).await;
    fixture.until_served(Kind::Read).await;
    let site = &fixture.site;
    site.with_all(|endpoint| endpoint.set_speed(Speed::constant(SLOW)));
    let cut_off = async {
        assert!(site.nodes[0].told("forwarded-0", &["\"prefill\""]).await);
        site.partition(0, Mode::NewRefused);
    };
    let (ending, ()) = tokio::join!(fixture.ask_one(0, "forwarded", Kind::Read), cut_off);
    let usage = site.ledger.retry_usage(budget)[MODELS];
    assert_eq!((ending, usage.repeats), (Ending::Status(503), 0));
}

/// A call that is slow to fail gets a second attempt beside it, and must get no third one once it has failed.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn calls_run_at_no_more_endpoints_than_their_route_allows() {
    let fixture = Fixture::start(1).await;
    fixture.until_served(Kind::Page).await;
    fixture.site.with_all(|endpoint| {
        endpoint.set_speed(Speed::constant(SLOW));
        endpoint.inject_fault(Some((Fault::Errs, 1)));
    });
    let nodes = 0..fixture.site.nodes.len();
    join_all(nodes.map(|node| fixture.ask_one(node, "slow", Kind::Page))).await;
    for node in 0..fixture.site.nodes.len() {
        let runs = fixture.site.ledger.runs(&format!("slow-{node}"));
        assert!(runs.len() <= Kind::Page.max_attempts() as usize, "{runs:?}");
    }
    let repeats = fixture.site.ledger.retry_usage(RETRY_BUDGET)[PAGES].repeats;
    assert!(repeats > 0, "no call got a second attempt");
}

/// Where a run is moved to, it is the same run, so nothing of the budget is needed.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn runs_are_moved_though_the_retry_budget_is_spent() {
    let budget = Budget { ratio: 0.0, slack: 0.0, ..RETRY_BUDGET };
    let fixture = Fixture::start_with(1, budget).await;
    fixture.until_served(Kind::Endless).await;
    let site = &fixture.site;
    let streams = (0..site.nodes.len()).map(|node| fixture.ask_one(node, "moved", Kind::Endless));
    let leaving = async {
        let all_run = || async { site.ledger.running().len() == site.nodes.len() };
        fixture.until(all_run).await;
        let (_, engine) = &site.ledger.running()[0];
        site.leave(engine, false);
        fixture.until(|| async { site.ledger.moved().continued > 0 }).await;
    };
    tokio::select! {
        endings = join_all(streams) => panic!("{endings:?}"),
        () = leaving => {}
    }
    assert!(site.ledger.violations().is_empty(), "{:?}", site.ledger.violations());
}

impl Fixture {
    /// Asks a node once, for a stream or a page of its own.
    async fn ask_one(&self, node: usize, name: &str, kind: Kind) -> Ending {
        let id = format!("{name}-{node}");
        self.ask(node, &id, kind, &format!("{}{id}", kind.prefix())).await
    }

    async fn ask_many(&self, node: usize, round: usize) {
        for number in 0..REQUESTS {
            self.ask_one(node, &format!("r{round}-{number}"), Kind::Page).await;
        }
    }

    async fn restart(&self, node: usize, signal: Signal) {
        let node = &self.site.nodes[node];
        node.signal(signal);
        node.ended().await;
        node.start().await.unwrap();
    }
}
