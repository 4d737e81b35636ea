//! Endpoints in need, which name the rate of requests that they take from all nodes together.

mod fixture;

use crosslane_platform_standins::caller::Ending;
use crosslane_platform_standins::endpoint::Stage;
use crosslane_platform_standins::ledger::Kind;
use fixture::Fixture;
use futures::future::join_all;
use rstest::rstest;

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
        let site = &self.site;
        let of_stage = |id: &String| site.with(id, |it| it.endpoint.stage()) == Some(stage);
        let one = site.steady().into_iter().find(of_stage).expect("no endpoint of the stage");
        site.with(&one, |it| it.endpoint.need(rate));
    }

    /// Many requests from callers of all nodes at a time.
    async fn ask_much(&self, kind: Kind, requests: usize) -> Vec<Ending> {
        let nodes = self.site.nodes.len();
        let callers = (0..nodes * CALLERS).map(|caller| async move {
            let mut endings = Vec::new();
            for number in 0..requests {
                let id = format!("r{caller}-{number}");
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
    let fixture = Fixture::start().await;
    fixture.until_served(case.kind).await;
    fixture.need(case.stage, Some(RATE));
    let endings = fixture.ask_much(case.kind, case.requests).await;
    let violations = fixture.site.ledger.violations();
    assert!(violations.is_empty(), "{violations:?}");
    assert!(endings.iter().all(|it| *it == Ending::Answered), "others have room");
}
