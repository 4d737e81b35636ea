//! Endpoints that stop in the middle of an answer's head and close.

mod fixture;

use crosslane_platform_standins::caller::Ending;
use crosslane_platform_standins::ledger::Kind;
use crosslane_soak::proxy::Mode;
use fixture::Fixture;
use rstest::rstest;

/// Plain calls and streams, which may run again and which may not.
const KINDS: [Kind; 4] = [Kind::Page, Kind::Confirm, Kind::Draft, Kind::Read];

/// Requests of each kind at a node.
const REQUESTS: usize = 4;

/// Guards against an answer that looks whole to its caller, although its head never ended.
#[rstest]
#[case("served here", None)]
#[case("forwarded", Some(0))]
#[tokio::test(flavor = "multi_thread")]
async fn answers_without_a_whole_head_are_failures(
    #[case] name: &str,
    #[case] cut_off: Option<usize>,
) {
    let fixture = Fixture::start(1).await;
    for kind in KINDS {
        fixture.until_served(kind).await;
    }
    cut_off.into_iter().for_each(|node| fixture.site.partition(node, Mode::Refused));
    fixture.until_answered("before").await;
    fixture.set_endpoints(Mode::CutHeads);
    for (kind, number) in KINDS.into_iter().flat_map(|kind| (0..REQUESTS).map(move |it| (kind, it)))
    {
        let id = format!("cut-{kind:?}-{number}");
        let ending = fixture.ask(0, &id, kind, &format!("{}{id}", kind.prefix())).await;
        let is_failure = matches!(ending, Ending::Status(502..=504));
        assert!(is_failure, "{name}, {kind:?}: {ending:?}");
    }
    fixture.set_endpoints(Mode::Pass);
    fixture.until_answered("after").await;
    let broken = fixture.site.ledger.violations();
    assert!(broken.is_empty(), "{name}: {broken:?}");
}

impl Fixture {
    /// Waits until the first node answers each kind of request.
    async fn until_answered(&self, name: &str) {
        for kind in KINDS {
            let id = format!("{name}-{kind:?}");
            let path = format!("{}{id}", kind.prefix());
            self.until(|| async { self.ask(0, &id, kind, &path).await == Ending::Answered }).await;
        }
    }

    /// Sets the ways to all endpoints.
    fn set_endpoints(&self, mode: Mode) {
        for id in self.site.steady() {
            self.site.with(&id, |served| served.proxy.set(mode));
        }
    }
}
