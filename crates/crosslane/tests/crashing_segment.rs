//! One segment of many prompts that makes each endpoint crash that begins to answer.

mod fixture;

use crosslane_platform_standins::caller::{Caller, Ending, POISON_ID_PREFIX};
use crosslane_platform_standins::endpoint::POISON_SEGMENT_PREFIX;
use crosslane_platform_standins::ledger::{Effect, Kind, Poison};
use crosslane_platform_standins::texts::DESK_KEY;
use fixture::Fixture;
use rstest::rstest;

/// Most endpoints that may crash under one segment.
const MAX_CRASHES: u32 = 6;

/// Requests with the segment, one after the other.
const REQUESTS: usize = 16;

/// Segments of a prompt that different requests share, by their place in the prompt.
struct Case {
    name: &'static str,
    kind: Kind,
    poisonous: &'static [&'static str],
    sound: &'static [&'static str],
}

const CASES: [Case; 4] = [
    Case {
        name: "second segment",
        kind: Kind::Read,
        poisonous: &["a1", "dead01"],
        sound: &["a1", "b1"],
    },
    Case {
        name: "first segment",
        kind: Kind::Read,
        poisonous: &["dead02", "b2"],
        sound: &["a2", "b2"],
    },
    Case {
        name: "among others, in streams that run once",
        kind: Kind::Draft,
        poisonous: &["a3", "b3", "dead03", "c3"],
        sound: &["a3", "b3", "c3"],
    },
    Case {
        name: "plain calls",
        kind: Kind::Page,
        poisonous: &["a4", "dead04"],
        sound: &["a4", "b4"],
    },
];

impl Fixture {
    /// Asks a node with a prompt of shared segments and one of its own. No two such requests are alike.
    async fn prompt(&self, node: usize, id: &str, kind: Kind, shared: &[&str]) -> Ending {
        let own = format!("own{id}");
        let segments = [shared, &[&own]].concat();
        let to = self.site.nodes[node].callers();
        let caller = Caller::new(to, self.site.ledger.clone()).with_key(DESK_KEY);
        caller.with_prompt(&segments).send(id, kind, None).await
    }

    /// How each node answers such a request.
    async fn prompt_everywhere(&self, round: &str, kind: Kind, shared: &[&str]) -> Vec<Ending> {
        let mut endings = Vec::new();
        for node in 0..self.site.nodes.len() {
            endings.push(self.prompt(node, &format!("{round}-{node}"), kind, shared).await);
        }
        endings
    }
}

/// Guards against blaming each request for itself: no two of those that crash endpoints are alike, and each comes once. Requests
/// that share their other segments are served as before.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn few_endpoints_crash_under_one_segment_of_different_prompts() {
    for Case { name, kind, poisonous, sound } in CASES {
        let fixture = Fixture::start(1).await;
        let nodes = fixture.site.nodes.len();
        let (refused, answered) = (vec![Ending::Status(503); nodes], vec![Ending::Answered; nodes]);
        for number in 0..REQUESTS {
            fixture.until_served(kind).await;
            let id = format!("{POISON_ID_PREFIX}{number}");
            fixture.prompt(number % nodes, &id, kind, poisonous).await;
        }
        let segment = poisonous.iter().find(|id| id.starts_with(POISON_SEGMENT_PREFIX)).unwrap();
        let poison = Poison::Segment((*segment).to_owned());
        let Effect { ended, reached, .. } = fixture.site.ledger.effect(&poison);
        assert!(ended <= MAX_CRASHES, "{name}: {ended} endpoints crashed, {reached} arrivals");
        let round = format!("{POISON_ID_PREFIX}late");
        assert_eq!(fixture.prompt_everywhere(&round, kind, poisonous).await, refused, "{name}");
        assert_eq!(fixture.site.ledger.effect(&poison).reached, reached, "{name}");
        fixture.until_served(kind).await;
        assert_eq!(fixture.prompt_everywhere("sound", kind, sound).await, answered, "{name}");
        let without = format!("{}without-segments", kind.prefix());
        assert_eq!(fixture.ask(0, "without", kind, &without).await, Ending::Answered, "{name}");
    }
}
