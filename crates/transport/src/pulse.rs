//! The heartbeat of a node, and the duties that come with time.

use crate::follower;
use crate::metrics::Counter;
use crate::node::{Phase, Shared};
use crosslane_coordination::detector::Liveness;
use crosslane_coordination::node::Node;
use crosslane_coordination::record::{Leave, Record};
use crosslane_protocol::peer::{Heartbeat, PeerClient, Snapshot};
use crosslane_protocol::platform::{CLAIMS_STREAM, State, Vm};
use crosslane_state::incarnation::Incarnation;
use crosslane_state::member::Member;
use log::{info, warn};
use std::sync::Arc;
use std::time::Duration;

/// Time for a node to say whether it hears another.
const HEARS: Duration = Duration::from_millis(500);

/// Nodes asked about a suspect.
const WITNESSES: usize = 3;

/// Heartbeats between two looks at slower duties.
const SLOW_BEATS: u64 = 4;

/// Age below which a member is not taken as leaving from the lagging list, in milliseconds.
const LIST_LAG_MILLIS: u64 = 10_000;

/// Age up to which a node presents itself with each heartbeat, in milliseconds.
const YOUNG_MILLIS: u64 = 10_000;

/// Beats until the process ends.
pub async fn run(shared: Arc<Shared>) {
    let period = Duration::from_millis(shared.settings.timing.beat_millis);
    let mut ticks = tokio::time::interval(period);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    for count in 0u64.. {
        ticks.tick().await;
        if shared.paused() {
            wake(&shared).await;
        }
        shared.tick();
        shared.keeper.tick();
        let neighbours = shared.keeper.visit(|node, _| neighbours(node)).await;
        for neighbour in neighbours {
            tokio::spawn(exchange(shared.clone(), neighbour));
        }
        tokio::spawn(suspects(shared.clone()));
        if count % SLOW_BEATS == 0 && !shared.busy_with_duties() {
            tokio::spawn(duties(shared.clone()));
        }
    }
}

/// After a pause: nothing is believed until log or peers have been heard again.
async fn wake(shared: &Arc<Shared>) {
    shared.metrics.count(Counter::Paused);
    warn!(event = "paused"; "this process stood still and catches up first");
    shared.keeper.visit(|node, now| node.detector.reset(now)).await;
    if !follower::catch_up(shared).await {
        snapshot(shared).await;
    }
}

/// Takes the furthest folded log of the nodes that answer.
pub async fn snapshot(shared: &Arc<Shared>) -> bool {
    let limit = Duration::from_millis(shared.settings.timing.platform_millis);
    let members = shared.keeper.visit(|node, _| neighbours(node)).await;
    let known = members.iter().map(|it| it.control);
    let mut found = false;
    for address in known.chain(shared.settings.seeds.iter().copied()) {
        if address == shared.member.control {
            continue;
        }
        let call = |client: PeerClient, context| async move { client.snapshot(context).await };
        let Ok(Snapshot { state, provisional_members: guests }) =
            shared.peers.call(address, limit, call).await
        else {
            continue;
        };
        found = true;
        let take = move |node: &mut Node, now| {
            guests.into_iter().for_each(|it| node.add_provisional(it, now));
            if state.next_offset > node.state.next_offset {
                node.state = state;
                node.refresh(now);
            }
        };
        shared.keeper.visit(take).await;
        follower::folded(shared).await;
    }
    found
}

/// Presents this node to those that it knows, before it takes requests.
pub async fn greet(shared: &Arc<Shared>) {
    let neighbours = shared.keeper.visit(|node, _| neighbours(node)).await;
    let greetings = neighbours.into_iter().map(|it| exchange(shared.clone(), it));
    futures::future::join_all(greetings).await;
}

fn neighbours(node: &mut Node) -> Vec<Member> {
    node.neighbours().into_iter().cloned().collect()
}

/// What this node tells its neighbours.
pub async fn beat(shared: &Arc<Shared>) -> Heartbeat {
    let (from, version) = (shared.me, shared.policy().version);
    let young = shared.clock.now().0 < YOUNG_MILLIS;
    let newcomer = (young || !shared.is_member()).then(|| shared.member.clone());
    shared
        .keeper
        .visit(move |node, now| {
            let loads = node.load_reports(now);
            for (id, report) in &loads {
                node.loads.record_report(*id, *report, now);
            }
            Heartbeat {
                sender: from,
                version,
                loads,
                leaves: node.leaves_to_gossip().cloned().collect(),
                new_member: newcomer,
            }
        })
        .await
}

/// Takes in what a node told.
pub async fn heard(shared: &Arc<Shared>, beat: Heartbeat) {
    let news = move |node: &mut Node, now| {
        if let Some(newcomer) = beat.new_member {
            node.add_provisional(newcomer, now);
        }
        node.detector.record_contact(beat.sender, now);
        node.record_version(beat.sender, beat.version);
        for (id, report) in beat.loads {
            node.loads.record_report(id, report, now);
        }
        beat.leaves.into_iter().filter(|it| node.add_leave(it.clone())).count()
    };
    let new = shared.keeper.visit(news).await;
    if new > 0 {
        info!(event = "leave_heard", count = new; "");
    }
}

/// Whether this node hears another.
pub async fn hears(shared: &Arc<Shared>, other: Incarnation) -> bool {
    let Some(member) = shared.member(other).await else {
        return false;
    };
    let beat = beat(shared).await;
    let call = |client: PeerClient, context| async move { client.heartbeat(context, beat).await };
    shared.peers.call(member.control, HEARS / 2, call).await.is_ok()
}

async fn exchange(shared: Arc<Shared>, neighbour: Member) {
    let beat = beat(&shared).await;
    let limit = Duration::from_millis(shared.settings.timing.suspect_millis / 2);
    let call = |client: PeerClient, context| async move { client.heartbeat(context, beat).await };
    match shared.peers.call(neighbour.control, limit, call).await {
        Ok(answer) => heard(&shared, answer).await,
        Err(_) => shared.metrics.count(Counter::BeatFailed),
    }
}

/// Asks others about silent nodes.
async fn suspects(shared: Arc<Shared>) {
    let me = shared.me;
    let suspects = shared.keeper.visit(|node, now| node.detector.suspects(now)).await;
    for suspect in suspects {
        let witnesses = move |node: &mut Node, now| {
            let mut witnesses = neighbours(node);
            witnesses.retain(|it| {
                it.incarnation != suspect && node.liveness(it.incarnation, now) == Liveness::Alive
            });
            witnesses.truncate(WITNESSES);
            witnesses
        };
        let witnesses = shared.keeper.visit(witnesses).await;
        let asked = witnesses.iter().map(|witness| {
            let call = move |client: PeerClient, context| async move {
                client.probe(context, suspect).await
            };
            shared.peers.call(witness.control, HEARS, call)
        });
        if futures::future::join_all(asked).await.contains(&Ok(true)) {
            shared.keeper.visit(move |node, now| node.confirm_alive(suspect, now)).await;
            continue;
        }
        shared.metrics.count(Counter::NodesDead);
        warn!(event = "node_dead", node:% = suspect, by:% = me; "");
        shared.keeper.visit(move |node, now| node.confirm_dead(suspect, now)).await;
    }
}

/// Duties that may wait: the VM list, departures, confirmations, checkpoints.
async fn duties(shared: Arc<Shared>) {
    if let Ok(list) = shared.platform.vms().await {
        listed(&shared, list.vms).await;
    }
    if shared.log_answers() && *shared.phase.borrow() != Phase::Fenced {
        confirm(&shared).await;
        checkpoint(&shared).await;
        settle(&shared).await;
    }
    shared.done_with_duties();
}

async fn listed(shared: &Arc<Shared>, vms: Vec<Vm>) {
    let judge = move |node: &mut Node, now| {
        let mut gone = Vec::new();
        for vm in vms {
            let member = node.state.roster.iter().find(|it| it.vm == vm.name);
            let incarnation = member.map(|it| it.incarnation);
            match (vm.state, incarnation) {
                (State::Live, _) => {}
                (State::Leaving, Some(it)) if node.member_age_ms(it, now) < LIST_LAG_MILLIS => {}
                (State::Gone, Some(it)) if node.should_record_departure(it, now) => gone.push(it),
                (State::Gone, Some(_)) => {}
                (State::Leaving | State::Gone, _) if node.has_vm(&vm.name) => {
                    let start = incarnation.map(|it| it.to_string()).unwrap_or_default();
                    let id = format!("list/{}/{start}", vm.name);
                    node.add_leave(Leave { id, vm: vm.name, node: incarnation });
                }
                (State::Leaving | State::Gone, _) => {}
            }
        }
        gone
    };
    for incarnation in shared.keeper.visit(judge).await {
        info!(event = "member_gone", node:% = incarnation; "");
        follower::append(shared, &Record::Depart { incarnation, released: false }).await;
    }
}

async fn confirm(shared: &Arc<Shared>) {
    let in_force = shared.policy().version;
    if let Some(version) = shared.keeper.visit(|node, _| node.version_to_confirm()).await
        && version == in_force
    {
        let domain = shared.settings.domain.clone();
        follower::append(shared, &Record::Confirm { version, domain }).await;
    }
}

async fn checkpoint(shared: &Arc<Shared>) {
    let records = shared.settings.timing.checkpoint_records;
    let due = move |node: &mut Node, _| {
        let first = node.state.roster.iter().next().map(|it| it.incarnation);
        let due = node.state.next_offset - node.state.checkpoint_offset >= records;
        (due && first == Some(node.options().incarnation)).then(|| Box::new(node.state.clone()))
    };
    if let Some(state) = shared.keeper.visit(due).await {
        follower::append(shared, &Record::Checkpoint { state }).await;
    }
}

/// Collects the claims that departed nodes left with others.
async fn settle(shared: &Arc<Shared>) {
    for departed in shared.keeper.visit(|node, _| node.claims.uncollected()).await {
        let holders = move |node: &mut Node, _| {
            let holders = node.state.roster.neighbours(departed, node.options().neighbours);
            holders.into_iter().cloned().collect::<Vec<_>>()
        };
        let mut complete = follower::catch_up_claims(shared).await;
        for holder in shared.keeper.visit(holders).await {
            if holder.incarnation == shared.me {
                continue;
            }
            let call = move |client: PeerClient, context| async move {
                client.replicated_claims(context, departed).await
            };
            match shared.peers.call(holder.control, HEARS, call).await {
                Ok(keys) => {
                    let note = move |node: &mut Node, now| {
                        keys.iter().for_each(|key| node.claims.claim(*key, departed, now));
                    };
                    shared.keeper.visit(note).await;
                }
                Err(_) => complete = false,
            }
        }
        if complete {
            shared.keeper.visit(move |node, _| node.claims.mark_collected(departed)).await;
            info!(event = "settled", node:% = departed, stream = CLAIMS_STREAM; "");
        }
    }
}
