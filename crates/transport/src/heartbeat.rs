//! Heartbeats and the periodic duties of a node.

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

/// Timeout of a probe of a suspect by another node, and of each call of the claims collection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of nodes asked to probe a suspect.
const WITNESSES: usize = 3;

/// Heartbeats between two runs of the slower duties.
const DUTIES_EVERY_BEATS: u64 = 4;

/// Age below which a member is not treated as leaving when the VM list, which lags, says so.
const VM_LIST_LAG_MS: u64 = 10_000;

/// Age up to which a node sends its own membership entry with each heartbeat.
const ANNOUNCE_SELF_MS: u64 = 10_000;

/// Sends heartbeats until the process ends.
pub async fn run(shared: Arc<Shared>) {
    let period = Duration::from_millis(shared.settings.timing.beat_millis);
    let mut ticks = tokio::time::interval(period);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    for count in 0u64.. {
        ticks.tick().await;
        if shared.paused() {
            recover_from_pause(&shared).await;
        }
        shared.tick();
        shared.keeper.tick();
        let neighbours = shared.keeper.with_node(|node, _| neighbours(node)).await;
        for neighbour in neighbours {
            tokio::spawn(exchange_heartbeats(shared.clone(), neighbour));
        }
        tokio::spawn(probe_suspects(shared.clone()));
        if count % DUTIES_EVERY_BEATS == 0 && !shared.start_duties() {
            tokio::spawn(run_duties(shared.clone()));
        }
    }
}

/// Restarts the failure detector after a pause, as its view of other nodes is stale, and catches up
/// with the log, or with peers if the log fails.
async fn recover_from_pause(shared: &Arc<Shared>) {
    shared.metrics.count(Counter::Paused);
    warn!(event = "paused"; "process was paused; catching up before serving");
    shared.keeper.with_node(|node, now| node.detector.reset(now)).await;
    if !follower::catch_up(shared).await {
        fetch_snapshot(shared).await;
    }
}

/// Fetches the folded log state of all reachable nodes and keeps the most advanced; false if none
/// answered.
pub async fn fetch_snapshot(shared: &Arc<Shared>) -> bool {
    let limit = Duration::from_millis(shared.settings.timing.platform_millis);
    let members = shared.keeper.with_node(|node, _| neighbours(node)).await;
    let known_addresses = members.iter().map(|member| member.control);
    let mut found = false;
    for address in known_addresses.chain(shared.settings.seeds.iter().copied()) {
        if address == shared.member.control {
            continue;
        }
        let call = |client: PeerClient, context| async move { client.snapshot(context).await };
        let Ok(Snapshot { state, provisional_members }) =
            shared.peers.call(address, limit, call).await
        else {
            continue;
        };
        found = true;
        let adopt = move |node: &mut Node, now| {
            provisional_members.into_iter().for_each(|member| node.add_provisional(member, now));
            if state.next_offset > node.state.next_offset {
                node.state = state;
                node.refresh(now);
            }
        };
        shared.keeper.with_node(adopt).await;
        follower::apply_folded_state(shared).await;
    }
    found
}

/// Announces this node to its neighbours before it accepts requests.
pub async fn announce(shared: &Arc<Shared>) {
    let neighbours = shared.keeper.with_node(|node, _| neighbours(node)).await;
    let exchanges =
        neighbours.into_iter().map(|neighbour| exchange_heartbeats(shared.clone(), neighbour));
    futures::future::join_all(exchanges).await;
}

fn neighbours(node: &mut Node) -> Vec<Member> {
    node.neighbours().into_iter().cloned().collect()
}

/// Builds this node's heartbeat.
pub async fn build_heartbeat(shared: &Arc<Shared>) -> Heartbeat {
    let (sender, version) = (shared.incarnation, shared.policy().version);
    let young = shared.clock.now().0 < ANNOUNCE_SELF_MS;
    let new_member = (young || !shared.is_member()).then(|| shared.member.clone());
    shared
        .keeper
        .with_node(move |node, now| {
            let loads = node.load_reports(now);
            for (id, report) in &loads {
                node.loads.record_report(*id, *report, now);
            }
            Heartbeat {
                sender,
                version,
                loads,
                leaves: node.leaves_to_gossip().cloned().collect(),
                new_member,
            }
        })
        .await
}

/// Applies the heartbeat of another node.
pub async fn apply_heartbeat(shared: &Arc<Shared>, heartbeat: Heartbeat) {
    let apply = move |node: &mut Node, now| {
        if let Some(member) = heartbeat.new_member {
            node.add_provisional(member, now);
        }
        node.detector.record_contact(heartbeat.sender, now);
        node.record_version(heartbeat.sender, heartbeat.version);
        for (id, report) in heartbeat.loads {
            node.loads.record_report(id, report, now);
        }
        heartbeat.leaves.into_iter().filter(|leave| node.add_leave(leave.clone())).count()
    };
    let new_leaves = shared.keeper.with_node(apply).await;
    if new_leaves > 0 {
        info!(event = "leave_heard", count = new_leaves; "");
    }
}

/// Sends a heartbeat to another node; true if it replies.
pub async fn probe(shared: &Arc<Shared>, other: Incarnation) -> bool {
    let Some(member) = shared.member(other).await else {
        return false;
    };
    let heartbeat = build_heartbeat(shared).await;
    let call =
        |client: PeerClient, context| async move { client.heartbeat(context, heartbeat).await };
    shared.peers.call(member.control, PROBE_TIMEOUT / 2, call).await.is_ok()
}

/// Sends a heartbeat to a neighbour and applies its reply.
async fn exchange_heartbeats(shared: Arc<Shared>, neighbour: Member) {
    let heartbeat = build_heartbeat(&shared).await;
    let limit = Duration::from_millis(shared.settings.timing.suspect_millis / 2);
    let call =
        |client: PeerClient, context| async move { client.heartbeat(context, heartbeat).await };
    match shared.peers.call(neighbour.control, limit, call).await {
        Ok(reply) => apply_heartbeat(&shared, reply).await,
        Err(_) => shared.metrics.count(Counter::BeatFailed),
    }
}

/// Has other nodes probe each suspect, and declares it dead if none reaches it.
async fn probe_suspects(shared: Arc<Shared>) {
    let incarnation = shared.incarnation;
    let suspects = shared.keeper.with_node(|node, now| node.detector.suspects(now)).await;
    for suspect in suspects {
        let witnesses = move |node: &mut Node, now| {
            let mut witnesses = neighbours(node);
            witnesses.retain(|witness| {
                witness.incarnation != suspect
                    && node.liveness(witness.incarnation, now) == Liveness::Alive
            });
            witnesses.truncate(WITNESSES);
            witnesses
        };
        let witnesses = shared.keeper.with_node(witnesses).await;
        let probes = witnesses.iter().map(|witness| {
            let call = move |client: PeerClient, context| async move {
                client.probe(context, suspect).await
            };
            shared.peers.call(witness.control, PROBE_TIMEOUT, call)
        });
        if futures::future::join_all(probes).await.contains(&Ok(true)) {
            shared.keeper.with_node(move |node, now| node.confirm_alive(suspect, now)).await;
            continue;
        }
        shared.metrics.count(Counter::NodesDead);
        warn!(event = "node_dead", node:% = suspect, by:% = incarnation; "");
        shared.keeper.with_node(move |node, now| node.confirm_dead(suspect, now)).await;
    }
}

/// Runs the slower duties: the VM list, departures, policy confirmations, checkpoints, claims.
async fn run_duties(shared: Arc<Shared>) {
    if let Ok(list) = shared.platform.vms().await {
        apply_vm_list(&shared, list.vms).await;
    }
    if shared.log_answers() && *shared.phase.borrow() != Phase::Fenced {
        confirm_policy(&shared).await;
        checkpoint(&shared).await;
        collect_claims(&shared).await;
    }
    shared.finish_duties();
}

/// Announces leaves and records departures according to the VM list.
async fn apply_vm_list(shared: &Arc<Shared>, vms: Vec<Vm>) {
    let apply = move |node: &mut Node, now| {
        let mut gone = Vec::new();
        for vm in vms {
            let member = node.state.roster.iter().find(|member| member.vm == vm.name);
            let incarnation = member.map(|member| member.incarnation);
            match (vm.state, incarnation) {
                (State::Live, _) => {}
                (State::Leaving, Some(known))
                    if node.member_age_ms(known, now) < VM_LIST_LAG_MS => {}
                (State::Gone, Some(known)) if node.should_record_departure(known, now) => {
                    gone.push(known)
                }
                (State::Gone, Some(_)) => {}
                (State::Leaving | State::Gone, _) if node.has_vm(&vm.name) => {
                    let suffix = incarnation.map(|known| known.to_string()).unwrap_or_default();
                    let id = format!("list/{}/{suffix}", vm.name);
                    node.add_leave(Leave { id, vm: vm.name, node: incarnation });
                }
                (State::Leaving | State::Gone, _) => {}
            }
        }
        gone
    };
    for incarnation in shared.keeper.with_node(apply).await {
        info!(event = "member_gone", node:% = incarnation; "");
        follower::append(shared, &Record::Depart { incarnation, released: false }).await;
    }
}

/// Confirms the policy version in force for this node's failure domain, if it is due.
async fn confirm_policy(shared: &Arc<Shared>) {
    let in_force = shared.policy().version;
    if let Some(version) = shared.keeper.with_node(|node, _| node.version_to_confirm()).await
        && version == in_force
    {
        let domain = shared.settings.domain.clone();
        follower::append(shared, &Record::Confirm { version, domain }).await;
    }
}

/// Appends a checkpoint if one is due and this node is first in the roster.
async fn checkpoint(shared: &Arc<Shared>) {
    let records = shared.settings.timing.checkpoint_records;
    let due = move |node: &mut Node, _| {
        let first = node.state.roster.iter().next().map(|member| member.incarnation);
        let due = node.state.next_offset - node.state.checkpoint_offset >= records;
        (due && first == Some(node.options().incarnation)).then(|| Box::new(node.state.clone()))
    };
    if let Some(state) = shared.keeper.with_node(due).await {
        follower::append(shared, &Record::Checkpoint { state }).await;
    }
}

/// Collects the claims that departed nodes replicated to their neighbours.
async fn collect_claims(shared: &Arc<Shared>) {
    for departed in shared.keeper.with_node(|node, _| node.claims.uncollected()).await {
        let holders = move |node: &mut Node, _| {
            let holders = node.state.roster.neighbours(departed, node.options().neighbours);
            holders.into_iter().cloned().collect::<Vec<_>>()
        };
        let mut complete = follower::catch_up_claims(shared).await;
        for holder in shared.keeper.with_node(holders).await {
            if holder.incarnation == shared.incarnation {
                continue;
            }
            let call = move |client: PeerClient, context| async move {
                client.replicated_claims(context, departed).await
            };
            match shared.peers.call(holder.control, PROBE_TIMEOUT, call).await {
                Ok(keys) => {
                    let apply = move |node: &mut Node, now| {
                        keys.iter().for_each(|key| node.claims.claim(*key, departed, now));
                    };
                    shared.keeper.with_node(apply).await;
                }
                Err(_) => complete = false,
            }
        }
        if complete {
            shared.keeper.with_node(move |node, _| node.claims.mark_collected(departed)).await;
            info!(event = "settled", node:% = departed, stream = CLAIMS_STREAM; "");
        }
    }
}
