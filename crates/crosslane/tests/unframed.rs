//! Answers of endpoints with neither a length nor chunks, which end with their connection.

mod fixture;

use crosslane_platform_standins::caller::Ending;
use crosslane_platform_standins::endpoint::Fault;
use crosslane_platform_standins::ledger::Kind;
use crosslane_platform_standins::unframed::Unframed;
use crosslane_soak::proxy::Mode;
use fixture::Fixture;
use rstest::rstest;

/// Requests of each kind at each node.
const REQUESTS: usize = 4;

struct Case {
    name: &'static str,
    fault: Option<(Fault, u64)>,
    /// Node that reaches no endpoint and forwards its requests.
    cut_off: Option<usize>,
    /// Ways in which a request may end.
    endings: fn(Kind) -> &'static [Ending],
}

const ANSWERED: &[Ending] = &[Ending::Answered];

/// What no endpoint completes; one that loses each answer is avoided after some, and what was not sent is refused.
fn broken(kind: Kind) -> &'static [Ending] {
    match kind {
        Kind::Draft | Kind::Read => &[Ending::Cut, Ending::Status(503)],
        Kind::Page | Kind::Confirm | Kind::Endless => {
            &[Ending::Status(502), Ending::Status(504), Ending::Status(503)]
        }
    }
}

/// An answer that ends with its connection is whole, unless it ends within an event; then it never looks whole to its caller.
#[rstest]
#[case(Case { name: "whole", fault: None, cut_off: None, endings: |_| ANSWERED })]
#[case(Case { name: "whole, forwarded", fault: None, cut_off: Some(0), endings: |_| ANSWERED })]
#[case(Case { name: "cut", fault: Some((Fault::LosesAnswer, 1)), cut_off: None, endings: broken })]
#[case(Case { name: "cut, forwarded", fault: Some((Fault::LosesAnswer, 1)), cut_off: Some(0), endings: broken })]
#[tokio::test(flavor = "multi_thread")]
async fn answers_without_length_end_with_their_connection(#[case] case: Case) {
    let Case { name, fault, cut_off, endings } = case;
    let fixture = Fixture::start(1).await;
    let kinds = [Kind::Page, Kind::Confirm, Kind::Draft, Kind::Read];
    for kind in kinds {
        fixture.until_served(kind).await;
    }
    fixture.site.with_all(|endpoint| endpoint.end_connections(Unframed(100)));
    cut_off.into_iter().for_each(|node| fixture.site.partition(node, Mode::Refused));
    let nodes = cut_off.map_or(0..fixture.site.nodes.len(), |node| node..node + 1);
    for (node, kind) in nodes.flat_map(|node| kinds.map(|kind| (node, kind))) {
        // The first request may find connections from before.
        let served = || async {
            let id = format!("before-{node}-{kind:?}");
            fixture.ask(node, &id, kind, &format!("{}{id}", kind.prefix())).await
                == Ending::Answered
        };
        fixture.until(served).await;
    }
    fixture.site.with_all(|endpoint| endpoint.inject_fault(fault));
    let nodes = cut_off.map_or(0..fixture.site.nodes.len(), |node| node..node + 1);
    for (node, kind) in nodes.flat_map(|node| kinds.map(|kind| (node, kind))) {
        for number in 0..REQUESTS {
            let id = format!("u{node}-{kind:?}-{number}");
            let ending = fixture.ask(node, &id, kind, &format!("{}{id}", kind.prefix())).await;
            assert!(endings(kind).contains(&ending), "{name}, node {node}, {kind:?}: {ending:?}");
        }
    }
    let broken = fixture.site.ledger.violations();
    assert!(broken.is_empty(), "{name}: {broken:?}");
}
