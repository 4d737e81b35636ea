//! Most new connections at a node with little of a processor.

mod fixture;

use crosslane_platform_standins::caller::{Caller, Ending};
use crosslane_platform_standins::ledger::Kind;
use crosslane_platform_standins::texts::DESK_KEY;
use fixture::Fixture;
use rstest::rstest;
use serde_json::Value;
use std::collections::HashSet;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, interval, sleep, timeout};

/// Share of a core that the crowded node has.
const SHARE: f64 = 0.12;

/// Time in which a caller must be served.
const DEADLINE: Duration = Duration::from_millis(1_500);

/// Requests, each of a new caller, and the pause between two of them: several times what such a node can run.
const REQUESTS: usize = 1_600;
const PAUSE: Duration = Duration::from_millis(4);

/// Requests at the beginning that do not count: the node finds out how much it can run.
const FIRST: usize = 400;

/// Pause between looks at a log.
const LOOK: Duration = Duration::from_millis(100);

/// How a request ended.
struct Asked {
    id: String,
    /// Whether the crowded node served it in time.
    served: bool,
    /// Whether another node did, after the crowded one closed the connection; `None` if that did not happen.
    elsewhere: Option<bool>,
}

async fn ask(node: &Caller, other: Caller, id: String) -> Asked {
    let ending = send(node.fresh(), &id).await;
    let closed = matches!(ending, Some(Ending::Closed | Ending::Unreached));
    let elsewhere = match closed {
        true => Some(send(other, &format!("{id}-again")).await == Some(Ending::Answered)),
        false => None,
    };
    Asked { id, served: ending == Some(Ending::Answered), elsewhere }
}

/// Sends a request; nothing if it did not end in time.
async fn send(mut caller: Caller, id: &str) -> Option<Ending> {
    timeout(DEADLINE, caller.send(id, Kind::Page, None)).await.ok()
}

/// Requests that a node has read, by its log.
fn read(fixture: &Fixture, node: usize) -> HashSet<String> {
    let lines = fixture.site.nodes[node].lines();
    let parsed = lines.iter().filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let requests = parsed.filter(|line| line["event"] == "request");
    requests.filter_map(|line| line["request"].as_str().map(str::to_owned)).collect()
}

#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_small_node_with_most_new_connections_serves_what_it_reads() {
    let fixture = Fixture::start(1).await;
    fixture.until_served(Kind::Page).await;
    let path = format!("{}first", Kind::Page.prefix());
    assert_eq!(fixture.ask(0, "first", Kind::Page, &path).await, Ending::Answered);
    let _limit = fixture.site.nodes[0].limit_processor(SHARE);
    let callers = fixture.site.nodes.iter().map(|node| {
        let caller = Caller::new(node.callers(), fixture.site.ledger.clone());
        caller.with_key(DESK_KEY).with_deadline(DEADLINE.as_millis() as u64)
    });
    let callers: Vec<Caller> = callers.collect();
    let mut running = JoinSet::new();
    let mut next = interval(PAUSE);
    for number in 0..REQUESTS {
        next.tick().await;
        let other = callers[1 + number % (callers.len() - 1)].fresh();
        let crowded = callers[0].fresh();
        running.spawn(async move { ask(&crowded, other, format!("crowd-{number:04}")).await });
    }
    let mut asked = running.join_all().await;
    asked.retain(|asked| asked.id >= format!("crowd-{FIRST:04}"));
    // A request is logged when it has ended, which a slow node sees late.
    let (began, mut known) = (Instant::now(), read(&fixture, 0));
    while began.elapsed() < 4 * DEADLINE {
        sleep(LOOK).await;
        known = read(&fixture, 0);
    }
    let read = asked.iter().filter(|asked| known.contains(&asked.id));
    let (count, served) = (read.clone().count(), read.filter(|asked| asked.served).count());
    let unread = asked.iter().filter(|asked| !known.contains(&asked.id));
    let (closed, elsewhere) = (
        unread.clone().filter(|asked| asked.elsewhere.is_some()).count(),
        unread.filter(|asked| asked.elsewhere == Some(true)).count(),
    );
    let seen = format!(
        "{count} of {} read, {served} of them served; {closed} closed unread, {elsewhere} of them served elsewhere",
        asked.len()
    );
    eprintln!("{seen}");
    for line in
        fixture.site.nodes[0].lines().iter().filter(|line| line.contains("\"event\":\"load\""))
    {
        eprintln!("{line}");
    }
    assert!(served * 4 >= count * 3, "{seen}");
    assert!(count > 0 && elsewhere * 4 >= closed * 3, "{seen}");
}
