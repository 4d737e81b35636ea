//! A vote is held by one node at a time, however messages are delayed, lost, repeated and reordered.

use crosslane_coordination::ballot::{Ballot, Office, Recall, Seat, Stamp, Voter, Votes, rank};
use crosslane_state::endpoint::Tag;
use crosslane_state::incarnation::Incarnation;
use crosslane_state::time::Millis;
use proptest::prelude::*;
use rstest::rstest;
use std::collections::HashMap;

const SEAT: Seat = (Office::Owner, Tag(3));
const VOTER: usize = 9;
const VALID_MS: u64 = 1_000;
const CANDIDATES: usize = 2;

/// What happens next. Messages are picked from all that were ever sent, so they are late, lost, repeated or reordered.
#[derive(Clone, Copy, Debug)]
enum Step {
    Pass(u64),
    /// A candidate sends its time.
    Announce(usize),
    /// The voter comes to prefer a candidate.
    Prefer(usize),
    /// The limit ends for the voter, as by a configuration.
    PreferNone,
    /// The voter votes for a candidate.
    Vote(usize),
    /// The voter recalls its vote.
    Recall,
    /// A message arrives.
    Deliver(usize),
    /// The message that was sent last arrives.
    DeliverLast,
    /// A candidate ends and starts again.
    RestartCandidate(usize),
    /// A candidate says that it stops, and decides nothing any more until it starts again.
    Stop(usize),
}

#[derive(Clone, Debug)]
enum Message {
    Stamp(usize, Stamp),
    Ballot(usize, Ballot),
    Recall(usize, Recall),
    Returned(usize, Recall),
    Stops(usize, Incarnation),
}

struct Candidate {
    votes: Votes<usize>,
    incarnation: Incarnation,
    started_at: u64,
    stops: bool,
}

struct World {
    now: u64,
    voter: Voter<usize>,
    candidates: Vec<Candidate>,
    sent: Vec<Message>,
}

impl World {
    fn new() -> Self {
        let candidates = (0..CANDIDATES).map(|_| candidate(1, 0)).collect();
        Self { now: 10_000, voter: Voter::new(Incarnation(1)), candidates, sent: Vec::new() }
    }

    /// Clocks of nodes begin with their processes.
    fn time_of(&self, candidate: usize) -> Millis {
        Millis(self.now - self.candidates[candidate].started_at)
    }

    fn play(&mut self, step: Step) {
        let now = Millis(self.now);
        match step {
            Step::Pass(millis) => self.now += millis,
            Step::Announce(to) if !self.candidates[to].stops => {
                let incarnation = self.candidates[to].incarnation;
                let stamp = Stamp { incarnation, at: self.time_of(to) };
                self.sent.push(Message::Stamp(to, stamp));
            }
            Step::Announce(_) => {}
            Step::Prefer(to) => {
                self.voter.prefer(HashMap::from([(SEAT, to)]));
            }
            Step::PreferNone => {
                self.voter.prefer(HashMap::new());
            }
            Step::Vote(to) => {
                let ballot = self.voter.cast(to, now);
                self.sent.extend(ballot.map(|ballot| Message::Ballot(to, ballot)));
            }
            Step::Recall => {
                let recalls = self.voter.recalls(now).into_iter();
                self.sent.extend(recalls.map(|(to, recall)| Message::Recall(to, recall)));
            }
            Step::Deliver(_) if self.sent.is_empty() => {}
            Step::Deliver(number) => self.deliver(self.sent[number % self.sent.len()].clone()),
            Step::DeliverLast => {
                self.sent.last().cloned().into_iter().for_each(|it| self.deliver(it))
            }
            Step::RestartCandidate(to) => {
                let next = self.candidates[to].incarnation.0 + 1;
                self.candidates[to] = candidate(next, self.now);
            }
            Step::Stop(to) => {
                self.candidates[to].stops = true;
                self.sent.push(Message::Stops(to, self.candidates[to].incarnation));
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Stamp(from, stamp) => {
                self.voter.hear(from, stamp, VALID_MS, Millis(self.now));
            }
            Message::Ballot(to, ballot) => self.candidates[to].votes.record(VOTER, &ballot),
            Message::Recall(to, recall) => {
                let returned = self.candidates[to].votes.give_back(VOTER, &recall);
                self.sent.extend(returned.map(|recall| Message::Returned(to, recall)));
            }
            Message::Returned(from, recall) => {
                self.voter.take_back(from, &recall);
            }
            Message::Stops(from, incarnation) => self.voter.release(from, incarnation),
        }
    }

    fn holders(&self) -> usize {
        let holds = |place: &usize| {
            let candidate = &self.candidates[*place];
            !candidate.stops && candidate.votes.has(SEAT, VOTER, self.time_of(*place))
        };
        (0..CANDIDATES).filter(holds).count()
    }
}

fn candidate(incarnation: u64, started_at: u64) -> Candidate {
    let incarnation = Incarnation(incarnation);
    Candidate { votes: Votes::new(incarnation), incarnation, started_at, stops: false }
}

fn step() -> impl Strategy<Value = Step> {
    let place = 0..CANDIDATES;
    prop_oneof![
        2 => (1..700_u64).prop_map(Step::Pass),
        3 => place.clone().prop_map(Step::Announce),
        2 => place.clone().prop_map(Step::Prefer),
        1 => Just(Step::PreferNone),
        3 => place.clone().prop_map(Step::Vote),
        2 => Just(Step::Recall),
        4 => any::<usize>().prop_map(Step::Deliver),
        6 => Just(Step::DeliverLast),
        1 => place.clone().prop_map(Step::RestartCandidate),
        1 => place.prop_map(Step::Stop),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, cases: 3_000, ..ProptestConfig::default() })]

    #[test]
    fn a_vote_is_held_by_one_node_at_a_time(steps in prop::collection::vec(step(), 1..120)) {
        let mut world = World::new();
        for step in steps {
            world.play(step);
            prop_assert!(world.holders() <= 1, "after {step:?}");
        }
    }
}

/// A voter that has just voted for the first of two candidates.
fn voted() -> World {
    let mut world = World::new();
    let steps = [Step::Prefer(0), Step::Announce(0), Step::Deliver(0), Step::Vote(0)];
    steps.into_iter().for_each(|step| world.play(step));
    world.deliver(world.sent[1].clone());
    assert_eq!(world.holders(), 1);
    world
}

struct Case {
    name: &'static str,
    steps: &'static [Step],
    /// Whether the second candidate gets the vote at once.
    moves: bool,
}

#[rstest]
#[case(Case { name: "the first one is silent", steps: &[], moves: false })]
#[case(Case { name: "the promise is over", steps: &[Step::Pass(1_100)], moves: true })]
#[case(Case { name: "the vote is returned", steps: &[Step::Recall, Step::Deliver(3), Step::Deliver(4)], moves: true })]
#[case(Case { name: "the recall is lost", steps: &[Step::Recall], moves: false })]
#[case(Case { name: "the first one stops", steps: &[Step::Stop(0), Step::Deliver(3)], moves: true })]
#[case(Case {
    name: "the first one has started again",
    steps: &[Step::RestartCandidate(0), Step::Announce(0), Step::Deliver(3)],
    moves: true,
})]
fn a_vote_moves_to_the_preferred_node(#[case] case: Case) {
    let mut world = voted();
    world.play(Step::Prefer(1));
    world.play(Step::Announce(1));
    world.play(Step::Deliver(2));
    case.steps.iter().for_each(|step| world.play(*step));
    if case.name == "the promise is over" {
        world.play(Step::Announce(1));
        world.play(Step::Deliver(3));
    }
    let ballot = world.voter.cast(1, Millis(world.now));
    assert_eq!(ballot.is_some(), case.moves, "{}", case.name);
}

#[rstest]
fn the_first_two_by_rank_are_distinct() {
    let nodes: Vec<(Tag, usize)> = (0..5).map(|node| (Tag(node as u64), node)).collect();
    let [owner, deputy] = rank(Tag(3), &nodes);
    assert!(owner.is_some() && deputy.is_some() && owner != deputy);
    assert_eq!(rank(Tag(3), &nodes[..1]), [Some(0), None]);
}
