//! Streams while engines of two software versions serve side by side, and nodes and engines end.

mod fixture;

use crosslane_platform_standins::caller::{Caller, Ending, Progress};
use crosslane_platform_standins::ledger::{self, Kind};
use crosslane_platform_standins::texts::DESK_KEY;
use crosslane_soak::proxy::Mode;
use fixture::Fixture;
use futures::future::join_all;
use nix::sys::signal::Signal;
use rstest::rstest;

/// Streams that run at the node that ends.
const STREAMS: usize = 10;

/// Events that streams have at least: they last more than a second.
const MIN_EVENTS: u64 = 30;

/// Events that an engine has generated of a stream whose first event has left the node.
const UNDER_WAY: u64 = 4;

struct Case {
    name: &'static str,
    /// Nodes that end besides the one that began the streams.
    others_end: &'static [usize],
    /// Whether an engine that runs some of the streams ends right before the node.
    engine_ends: bool,
    /// Whether the node that ended is started again before callers come back.
    restarted: bool,
    /// Node to which callers come back.
    back_at: usize,
    /// Whether that node is partitioned from all endpoints.
    cut_off: bool,
}

impl Fixture {
    fn caller(&self, node: usize) -> Caller {
        let to = self.site.nodes[node].callers();
        Caller::new(to, self.site.ledger.clone()).with_key(DESK_KEY)
    }

    /// Begins streams at a node, has it end when all are under way, and returns what their callers have.
    async fn break_off(&self, node: usize, case: &Case) -> Vec<Progress> {
        let names = (0..).map(|number| format!("v{number}"));
        let names = names.filter(|name| ledger::events(name) >= MIN_EVENTS).take(STREAMS);
        let names: Vec<String> = names.collect();
        let streams = names.iter().map(|name| async move {
            let mut caller = self.caller(node);
            caller.send(name, Kind::Read, None).await;
            caller.progress().cloned()
        });
        let under_way = || async {
            let runs = names.iter().map(|name| self.site.ledger.runs(name));
            runs.flatten().filter(|run| run.events >= UNDER_WAY).count() >= STREAMS
        };
        let ends = async {
            self.until(under_way).await;
            if case.engine_ends {
                let run = self.site.ledger.runs(&names[0]).remove(0);
                self.site.remove(&run.endpoint);
            }
            for ends in [&[node], case.others_end].concat() {
                self.site.nodes[ends].signal(Signal::SIGKILL);
                self.site.nodes[ends].ended().await;
            }
        };
        let (kept, ()) = tokio::join!(join_all(streams), ends);
        kept.into_iter().flatten().collect()
    }

    /// How streams end that are taken up again.
    async fn come_back(&self, node: usize, kept: Vec<Progress>) -> Vec<Ending> {
        let back = kept.into_iter().enumerate().map(|(number, progress)| async move {
            let id = format!("again-{number}");
            self.caller(node).resume(&id, Kind::Read, progress).await
        });
        join_all(back).await
    }
}

/// Only the node that began a stream knew at which version, so callers who came back to another one went on at any.
#[rstest]
#[case(Case { name: "another node", others_end: &[], engine_ends: false, restarted: false, back_at: 1, cut_off: false })]
#[case(Case { name: "another node, engine gone", others_end: &[], engine_ends: true, restarted: false, back_at: 2, cut_off: false })]
#[case(Case { name: "the same node, started again", others_end: &[], engine_ends: false, restarted: true, back_at: 0, cut_off: false })]
#[case(Case { name: "its failure domain gone", others_end: &[3], engine_ends: true, restarted: false, back_at: 1, cut_off: false })]
#[case(Case { name: "a node that is cut off", others_end: &[], engine_ends: false, restarted: false, back_at: 1, cut_off: true })]
#[tokio::test(flavor = "multi_thread")]
async fn callers_who_come_back_go_on_at_another_software_version(#[case] case: Case) {
    let fixture = Fixture::start(2).await;
    fixture.until_served(Kind::Read).await;
    let kept = fixture.break_off(0, &case).await;
    assert!(!kept.is_empty(), "{}: nothing was begun", case.name);
    if case.restarted {
        fixture.site.nodes[0].start().await.unwrap();
        fixture.until_ready().await;
    }
    if case.cut_off {
        fixture.site.partition(case.back_at, Mode::Refused);
    }
    let endings = fixture.come_back(case.back_at, kept).await;
    let broken = fixture.site.ledger.violations();
    assert!(broken.is_empty(), "{}: {broken:?}", case.name);
    assert!(endings.iter().all(|ending| *ending == Ending::Answered), "{}: {endings:?}", case.name);
    let page = fixture.ask(case.back_at, "page", Kind::Page, "/search/page").await;
    assert_eq!(page, Ending::Answered, "{}", case.name);
}
