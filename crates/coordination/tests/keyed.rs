//! Keyed requests under random histories of joins, leaves, departures and lost messages.
//!
//! Each node has its own, lagging view of a single log. Requests advance by one message at a time in
//! a random order; messages are lost or delayed. In every history, a request that may not be repeated
//! runs at most once, and a request that ran is never reported as not run.

use crosslane_coordination::keyed::{Flow, ForwardOutcome, ReleaseReply, Step};
use crosslane_coordination::ledger::{self, End};
use crosslane_coordination::node::{Node, Options};
use crosslane_coordination::placement::Mode;
use crosslane_coordination::record::{Leave, Record};
use crosslane_state::answer::Answer;
use crosslane_state::incarnation::Incarnation;
use crosslane_state::member::Member;
use crosslane_state::request::Key;
use crosslane_state::runner::Table;
use crosslane_state::time::Millis;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;
use std::sync::Arc;

const NODES: u64 = 5;
const KEYS: usize = 3;
const FINGERPRINT: u64 = 7;

fn key(number: usize) -> Key {
    Key::try_from(format!("key-{number}").as_str()).unwrap()
}

fn vm(number: u64) -> String {
    format!("entry-{number}")
}

fn node(number: u64) -> Node {
    Node::new(Options {
        incarnation: Incarnation(number),
        domain: "Aarau".to_owned(),
        table: Table::default(),
        mode: Mode::BestOfTwo,
        retry_percent: 10,
        suspect_millis: 1_000,
        neighbours: 8,
        grant_early: false,
        ledger: ledger::Limits {
            answers: 100,
            bytes: 1 << 20,
            answer_millis: 1_000_000,
            tombstones: 100,
            window_millis: 1_000_000,
        },
        seed: number,
    })
}

/// Progress of a request.
#[derive(Clone, Debug)]
enum Stage {
    Decided(Step),
    Claiming,
    Running,
}

#[derive(Clone, Debug)]
struct Request {
    key: usize,
    at: u64,
    flow: Flow,
    stage: Stage,
    ended: bool,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Ask(usize, u64),
    Advance(usize, Delivery),
    Join(u64),
    Leave(u64),
    Crash(u64),
    Depart(u64),
    Read(u64),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Delivery {
    Delivered,
    Lost,
    NotSent,
}

struct Cluster {
    nodes: BTreeMap<u64, Node>,
    log: Vec<Record>,
    /// Claims in log order: key and node.
    claims: Vec<(u64, u64)>,
    claims_read: BTreeMap<u64, usize>,
    requests: Vec<Request>,
    runs: BTreeMap<usize, u32>,
    now: Millis,
    /// During an outage of the log no node joins or departs, and claims are not logged.
    log_out: bool,
}

impl Cluster {
    fn new(log_out: bool) -> Self {
        let mut cluster = Self {
            log_out: false,
            nodes: BTreeMap::new(),
            log: Vec::new(),
            claims: Vec::new(),
            claims_read: BTreeMap::new(),
            requests: Vec::new(),
            runs: BTreeMap::new(),
            now: Millis(1_000),
        };
        for number in 1..=3 {
            cluster.join(number);
        }
        (1..=3).for_each(|number| cluster.read(number));
        cluster.log_out = log_out;
        cluster
    }

    fn join(&mut self, number: u64) {
        if self.log_out || self.claims_read.contains_key(&number) {
            return;
        }
        let address = ([127, 0, 0, 1], 9).into();
        self.log.push(Record::Join {
            member: Member {
                incarnation: Incarnation(number),
                vm: vm(number),
                domain: "Aarau".to_owned(),
                control: address,
                forward: address,
            },
        });
        self.nodes.insert(number, node(number));
        self.read(number);
    }

    /// Makes a node replay the whole log, including the claims.
    fn read(&mut self, number: u64) {
        let Some(node) = self.nodes.get_mut(&number) else {
            return;
        };
        let read = self.claims_read.entry(number).or_default();
        for (offset, record) in self.log.iter().enumerate() {
            node.state.replay(offset as u64, Some(record.clone())).unwrap();
        }
        node.refresh(self.now);
        for (key, by) in &self.claims[*read..] {
            node.claims.claim(*key, Incarnation(*by), self.now);
        }
        *read = self.claims.len();
        for departed in node.claims.uncollected() {
            node.claims.mark_collected(departed);
        }
    }

    fn ask(&mut self, key_number: usize, at: u64, forwarded_from: Option<usize>) {
        let mut flow = Flow::new(key(key_number), FINGERPRINT, false);
        if let Some(forwarded_from) = forwarded_from {
            flow = flow.into_forwarded(self.requests[forwarded_from].flow.redirected_by().to_vec());
        }
        let Some(node) = self.nodes.get_mut(&at) else {
            return;
        };
        let step = flow.start(node, self.now);
        let stage = Stage::Decided(step);
        self.requests.push(Request { key: key_number, at, flow, stage, ended: false });
    }

    fn advance(&mut self, index: usize, delivery: Delivery) {
        let Some(mut request) = self.requests.get(index).cloned() else {
            return;
        };
        if request.ended || !self.nodes.contains_key(&request.at) {
            return;
        }
        match request.stage.clone() {
            Stage::Decided(step) => self.step(index, &mut request, step, delivery),
            Stage::Claiming => {
                // The claim is read back from the log: the first one on a key wins.
                self.read_claims(request.at);
                let node = &self.nodes[&request.at];
                if node.claims.claimed_by_other(key(request.key).hash(), Incarnation(request.at)) {
                    self.finish(&mut request, End::Unknown);
                } else {
                    request.stage = Stage::Running;
                }
            }
            Stage::Running if delivery == Delivery::NotSent => {
                self.finish(&mut request, End::NotRun)
            }
            Stage::Running => {
                *self.runs.entry(request.key).or_default() += 1;
                let answer = Answer {
                    status: 200,
                    content_type: "text/plain".to_owned(),
                    chunks: vec![b"done".to_vec()],
                };
                let lost = delivery == Delivery::Lost;
                let end = if lost { End::Unknown } else { End::Done(Arc::new(answer)) };
                self.finish(&mut request, end);
            }
        }
        self.requests[index] = request;
    }

    fn step(&mut self, index: usize, request: &mut Request, step: Step, delivery: Delivery) {
        let now = self.now;
        match step {
            Step::RequestRelease(other) => {
                let by = Incarnation(request.at);
                let name = key(request.key);
                // The other node may release the key while its reply is lost.
                let released =
                    self.nodes.get_mut(&other.0).map(|node| node.ledger.release(&name, by, now));
                let reply = match released {
                    Some(true) if delivery == Delivery::Delivered => ReleaseReply::Released,
                    Some(false) if delivery == Delivery::Delivered => ReleaseReply::Held,
                    _ => ReleaseReply::NoReply,
                };
                let node = self.nodes.get_mut(&request.at).unwrap();
                let gone = node.state.roster.get(other).is_none();
                let reply = if gone { ReleaseReply::Released } else { reply };
                request.stage =
                    Stage::Decided(request.flow.on_release_reply(other, reply, node, now));
            }
            Step::Forward(owner)
                if delivery == Delivery::Delivered && self.nodes.contains_key(&owner.0) =>
            {
                self.ask(request.key, owner.0, Some(index));
                let forwarded_request = self.requests.len() - 1;
                if let Stage::Decided(Step::Redirect(named)) =
                    self.requests[forwarded_request].stage
                {
                    let node = self.nodes.get_mut(&request.at).unwrap();
                    let outcome = ForwardOutcome::Redirected(named);
                    let step = request.flow.on_forward_outcome(owner, outcome, node, now);
                    request.stage = Stage::Decided(step);
                } else {
                    request.ended = true;
                }
            }
            Step::Forward(owner) => {
                let node = self.nodes.get_mut(&request.at).unwrap();
                let step = request.flow.on_forward_outcome(owner, ForwardOutcome::Lost, node, now);
                request.stage = Stage::Decided(step);
            }
            Step::Run => {
                if self.log_out {
                    request.stage = Stage::Running;
                } else if delivery == Delivery::Delivered {
                    self.claims.push((key(request.key).hash(), request.at));
                    request.stage = Stage::Claiming;
                } else {
                    self.finish(request, End::NotRun);
                }
            }
            Step::Join | Step::Replay(_) | Step::Refuse(_) | Step::Redirect(_) => {
                request.ended = true
            }
        }
    }

    /// Sends a node the leave announcements known to the other nodes.
    fn gossip(&mut self, number: u64) {
        let leaves: Vec<Leave> = self
            .nodes
            .values()
            .flat_map(|node| node.leaves_to_gossip().cloned().collect::<Vec<_>>())
            .collect();
        if let Some(node) = self.nodes.get_mut(&number) {
            leaves.into_iter().for_each(|leave| {
                node.add_leave(leave);
            });
        }
    }

    fn read_claims(&mut self, number: u64) {
        let node = self.nodes.get_mut(&number).unwrap();
        let read = self.claims_read.entry(number).or_default();
        for (key, by) in &self.claims[*read..] {
            node.claims.claim(*key, Incarnation(*by), self.now);
        }
        *read = self.claims.len();
    }

    fn finish(&mut self, request: &mut Request, end: End) {
        let node = self.nodes.get_mut(&request.at).unwrap();
        node.ledger.finish(&key(request.key), end, self.now);
        request.ended = true;
    }

    /// Makes a node hand over its ledger and depart, if nothing is running there.
    fn depart(&mut self, number: u64) {
        if self.log_out {
            return;
        }
        let busy = self.requests.iter().any(|request| request.at == number && !request.ended);
        let Some(node) = self.nodes.get(&number).filter(|_| !busy) else {
            return;
        };
        if !node.is_member_leaving(Incarnation(number)) {
            return;
        }
        for (key, fingerprint, answer) in node.ledger.handover() {
            let Some(next) = self.nodes[&number].successor(&key).map(|member| member.incarnation.0)
            else {
                return;
            };
            let Some(successor) = self.nodes.get_mut(&next) else {
                return;
            };
            successor.ledger.adopt(&key, fingerprint, answer, self.now);
        }
        self.nodes.remove(&number);
        self.log.push(Record::Depart { incarnation: Incarnation(number), released: true });
    }

    fn play(&mut self, event: Event) {
        self.now = self.now + 10;
        match event {
            Event::Ask(key, at) => self.ask(key, at, None),
            Event::Advance(index, delivery) => {
                let open: Vec<_> =
                    (0..self.requests.len()).filter(|index| !self.requests[*index].ended).collect();
                if !open.is_empty() {
                    self.advance(open[index % open.len()], delivery);
                }
            }
            Event::Join(number) => self.join(number),
            Event::Leave(number) if self.nodes.len() > 2 => {
                let leave = Leave {
                    id: format!("leave-{number}"),
                    vm: vm(number),
                    node: Some(Incarnation(number)),
                };
                if let Some(node) = self.nodes.get_mut(&number) {
                    node.add_leave(leave.clone());
                }
                if !self.log_out {
                    self.log.push(Record::Leave { leave });
                }
            }
            Event::Crash(number) if self.nodes.len() > 2 => {
                if self.nodes.remove(&number).is_some() && !self.log_out {
                    let incarnation = Incarnation(number);
                    self.log.push(Record::Depart { incarnation, released: false });
                }
            }
            Event::Leave(_) | Event::Crash(_) => {}
            Event::Depart(number) => self.depart(number),
            Event::Read(number) => {
                self.read(number);
                self.gossip(number);
            }
        }
    }
}

fn event() -> impl Strategy<Value = Event> {
    let delivery = || prop_oneof![6 => Just(Delivery::Delivered), 1 => Just(Delivery::Lost), 1 => Just(Delivery::NotSent)];
    prop_oneof![
        6 => (0..KEYS, 1..=NODES).prop_map(|(key, at)| Event::Ask(key, at)),
        14 => (0..20usize, delivery()).prop_map(|(index, delivery)| Event::Advance(index, delivery)),
        1 => (1..=NODES).prop_map(Event::Join),
        1 => (1..=NODES).prop_map(Event::Leave),
        1 => (1..=NODES).prop_map(Event::Crash),
        1 => (1..=NODES).prop_map(Event::Depart),
        4 => (1..=NODES).prop_map(Event::Read),
    ]
}

/// Fixed seed, so that every run plays the same histories.
fn config(cases: u32) -> ProptestConfig {
    ProptestConfig { cases, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config(6_000))]

    #[test]
    fn at_most_one_run(
        events in prop::collection::vec(event(), 1..150),
        log_out in any::<bool>(),
    ) {
        let mut cluster = Cluster::new(log_out);
        for event in events {
            cluster.play(event);
            prop_assert!(cluster.runs.values().all(|runs| *runs <= 1), "{:?}", cluster.runs);
        }
    }
}
