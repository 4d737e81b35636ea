//! Endpoints in need, which name the rate of requests that they take from all nodes together.

mod fixture;

use crosslane_platform_standins::caller::Ending;
use crosslane_platform_standins::endpoint::Stage;
use crosslane_platform_standins::ledger::{Kind, Violation};
use fixture::Fixture;
use futures::future::join_all;
use nix::sys::signal::Signal;
use rstest::rstest;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Callers of each node.
const CALLERS: usize = 6;

/// Requests a second that an endpoint in need takes.
const RATE: f64 = 2.0;

struct Case {
    kind: Kind,
    /// Requests of each caller.
    requests: usize,
    /// Stage of the endpoint in need.
    stage: Stage,
}

impl Fixture {
    /// Has one endpoint of a stage name a limit, or none any more.
    fn need(&self, stage: Stage, rate: Option<f64>) {
        let one = &self.of_stage(stage)[0];
        self.site.with(one, |it| it.endpoint.set_limit(rate));
    }

    /// Has all endpoints of a stage name a limit, or none any more.
    fn need_all(&self, stage: Stage, rate: Option<f64>) {
        for id in self.of_stage(stage) {
            self.site.with(&id, |it| it.endpoint.set_limit(rate));
        }
    }

    fn of_stage(&self, stage: Stage) -> Vec<String> {
        let site = &self.site;
        let of_stage = |id: &String| site.with(id, |it| it.endpoint.stage()) == Some(stage);
        site.steady().into_iter().filter(of_stage).collect()
    }

    fn broken(&self) -> Vec<Violation> {
        self.site.ledger.violations()
    }

    /// Many requests from callers of all nodes at a time; a round's ids are its own.
    async fn ask_much(&self, round: usize, kind: Kind, requests: usize) -> Vec<Ending> {
        let nodes = self.site.nodes.len();
        let callers = (0..nodes * CALLERS).map(|caller| async move {
            let mut endings = Vec::new();
            for number in 0..requests {
                let id = format!("r{round}-{caller}-{number}");
                let path = format!("{}{id}", kind.prefix());
                endings.push(self.ask(caller % nodes, &id, kind, &path).await);
            }
            endings
        });
        join_all(callers).await.concat()
    }
}

/// Nodes placed requests by load alone, so an endpoint in need got as many as before.
#[rstest]
#[case(Case { kind: Kind::Page, requests: 150, stage: Stage::Plain })]
#[case(Case { kind: Kind::Read, requests: 10, stage: Stage::Decode })]
#[case(Case { kind: Kind::Read, requests: 10, stage: Stage::Prefill })]
#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_gets_no_more_than_the_rate_it_names(#[case] case: Case) {
    let fixture = Fixture::start(1).await;
    fixture.until_served(case.kind).await;
    fixture.need(case.stage, Some(RATE));
    let endings = fixture.ask_much(0, case.kind, case.requests).await;
    assert!(fixture.broken().is_empty(), "{:?}", fixture.broken());
    assert!(endings.iter().all(|it| *it == Ending::Answered), "others have room");
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_over_the_limits_of_all_endpoints_are_refused_at_once_and_served_when_they_end() {
    let fixture = Fixture::start(1).await;
    fixture.until_served(Kind::Page).await;
    fixture.need_all(Stage::Plain, Some(RATE));
    let endings = fixture.ask_much(0, Kind::Page, 200).await;
    assert!(fixture.broken().is_empty(), "{:?}", fixture.broken());
    let known = |it: &Ending| matches!(it, Ending::Answered | Ending::Status(503));
    assert!(endings.iter().all(known), "{endings:?}");
    assert!(endings.contains(&Ending::Answered) && endings.contains(&Ending::Status(503)));
    fixture.need_all(Stage::Plain, None);
    // Nodes learn it from answers, which come at the rate of the limit.
    let rounds = AtomicUsize::new(1);
    let served = || async {
        let round = rounds.fetch_add(1, Ordering::Relaxed);
        let endings = fixture.ask_much(round, Kind::Page, 10).await;
        endings.iter().all(|it| *it == Ending::Answered)
    };
    fixture.until(served).await;
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_limit_that_is_lowered_holds_at_once_also_at_nodes_that_start_again() {
    let fixture = Fixture::start(1).await;
    fixture.until_served(Kind::Page).await;
    fixture.need(Stage::Plain, Some(40.0));
    fixture.ask_much(0, Kind::Page, 60).await;
    fixture.need(Stage::Plain, Some(1.0));
    fixture.ask_much(1, Kind::Page, 60).await;
    for (place, node) in fixture.site.nodes.iter().enumerate() {
        node.signal(Signal::SIGKILL);
        node.ended().await;
        node.start().await.unwrap();
        fixture.until_ready().await;
        fixture.ask_much(2 + place, Kind::Page, 30).await;
    }
    assert!(fixture.broken().is_empty(), "{:?}", fixture.broken());
}
