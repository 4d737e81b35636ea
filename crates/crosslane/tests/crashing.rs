//! A request that makes each endpoint crash that begins to run it.
//!
//! Two drafts, sent again and again under new request ids, ended 24 and 33 decoding engines of six within
//! seconds. Each node took each copy for a new request, because every memory of failure belonged to an endpoint and
//! none to the request; and since a draft may be resumed, each copy ended two engines. Everything else that ran
//! there was cut or resumed beside the next copy. One copy's lines at one node, the same prompt as in 15 others:
//!
//!     38.37  place    prompt=9026e97d7716 purpose=decode
//!     38.47  place    prompt=9026e97d7716 purpose=decode
//!     38.61  attempt  outcome=resumed why="engine broke off" after=0
//!     38.73  attempt  outcome=cut why="engine broke off" after=0

mod fixture;

use crosslane_platform_standins::caller::{Ending, POISON_ID_PREFIX};
use crosslane_platform_standins::ledger::{Effect, Kind, Poison};
use fixture::Fixture;
use nix::sys::signal::Signal;
use rstest::rstest;
use tokio::process::Command;

/// Most endpoints that may end under one such request.
const MOST_ENDED: u32 = 6;

/// Copies of the request, one after the other.
const COPIES: usize = 14;

/// Topic in which nodes keep what they decided.
const RULINGS: &str = "keyed.quarantine";

struct Case {
    kind: Kind,
    path: &'static str,
    name: &'static str,
}

const CASES: [Case; 5] = [
    Case { kind: Kind::Read, path: "crashing", name: "stream that may be resumed" },
    Case { kind: Kind::Draft, path: "crashing", name: "stream that runs once" },
    Case { kind: Kind::Draft, path: "crashing-late", name: "stream that engines begin late" },
    Case { kind: Kind::Page, path: "crashing", name: "call that may be repeated" },
    Case { kind: Kind::Confirm, path: "crashing", name: "call that runs once" },
];

impl Fixture {
    /// How each node answers the request.
    async fn asked_everywhere(&self, round: &str, kind: Kind, path: &str) -> Vec<Ending> {
        let mut endings = Vec::new();
        for node in 0..self.site.nodes.len() {
            let id = format!("{POISON_ID_PREFIX}{round}-{node}");
            endings.push(self.ask(node, &id, kind, path).await);
        }
        endings
    }

    /// Lets what is shut out in again, with the operator's command.
    async fn lift(&self) {
        let store = self.site.ways[0].address.to_string();
        let run = |arguments: &[&str]| {
            let mut command = Command::new(env!("CARGO_BIN_EXE_crosslane"));
            command.arg("quarantine").args(arguments).args(["--store", &store]);
            command
        };
        let listed = run(&["list"]).output().await.unwrap();
        let listed = String::from_utf8(listed.stdout).unwrap();
        let fingerprint = listed.split_whitespace().next().unwrap();
        assert!(run(&["lift", fingerprint]).status().await.unwrap().success(), "{listed}");
    }

    async fn kill_all(&self) {
        for node in &self.site.nodes {
            node.signal(Signal::SIGKILL);
        }
        for node in &self.site.nodes {
            node.ended().await;
            node.start().await.unwrap();
        }
        self.until_ready().await;
    }
}

// One after the other: the nodes of one process share their addresses.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn few_endpoints_end_under_a_request_that_crashes_them() {
    for Case { kind, path, name } in CASES {
        let fixture = Fixture::start(1).await;
        let path = format!("{}{path}", kind.prefix());
        for copy in 0..COPIES {
            fixture.until_served(kind).await;
            let node = copy % fixture.site.nodes.len();
            fixture.ask(node, &format!("{POISON_ID_PREFIX}{copy}"), kind, &path).await;
        }
        let poison = Poison::Request(path.clone());
        let Effect { ended, reached, .. } = fixture.site.ledger.effect(&poison);
        assert!(ended <= MOST_ENDED, "{name}: {ended} endpoints ended, {reached} times sent");
        let refused = vec![Ending::Status(503); fixture.site.nodes.len()];
        assert_eq!(fixture.asked_everywhere("calm", kind, &path).await, refused, "{name}");
        assert_eq!(fixture.site.ledger.effect(&poison).reached, reached, "{name}");
        fixture.until_served(kind).await;
        let other = format!("{}other", kind.prefix());
        for node in 0..fixture.site.nodes.len() {
            let id = format!("other-{node}");
            assert_eq!(fixture.ask(node, &id, kind, &other).await, Ending::Answered, "{name}");
        }
        fixture.until(|| async { !fixture.site.store.values(RULINGS).is_empty() }).await;
        // What all nodes knew is still known when none of them is left.
        fixture.kill_all().await;
        fixture.until_served(kind).await;
        assert_eq!(fixture.asked_everywhere("killed", kind, &path).await, refused, "{name}");
        assert_eq!(fixture.site.ledger.effect(&poison).ended, ended, "{name}");
        fixture.lift().await;
        let tried = || async {
            fixture.ask(0, &format!("{POISON_ID_PREFIX}lifted"), kind, &path).await;
            fixture.site.ledger.effect(&poison).ended > ended
        };
        fixture.until(tried).await;
    }
}
