//! The planner process: receives load reports from forwarders and, while it leads, grants each forwarder concurrency slots on the
//! workers. It holds no connection to a router or a worker, so the failure of a planner loses no response.

use crate::clock::Clock;
use crate::forwarder::cluster_socket::ClusterSocket;
use crate::forwarder::TierConfig;
use crate::leases::lease_holder::LeaseHolder;
use crate::leases::{self, ControlReplicas, PLANNERS_TASK};
use crate::rollout::member::MemberTask;
use crate::rollout::RolloutSettings;
use crate::signals::{OperatorSignal, OperatorSignals};
use crate::sockets::add_context;
use crate::{log, rollout};
use cypresscleat_forwarding::capacity_plan::CapacityPlan;
use cypresscleat_forwarding::grants::{GrantHeader, LeadershipChange, LeasedGrants, PlannerElection};
use cypresscleat_forwarding::membership::OutgoingMessage;
use cypresscleat_forwarding::messages::{Envelope, Message, Role};
use cypresscleat_forwarding::{node_id, Time};
use cypresscleat_leases::client::LeaseEvent;
use cypresscleat_leases::{Claim, Partition};
use std::io;
use std::net::SocketAddr;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::spawn_local;

/// Maximum time between two passes of the main loop, in tenths of a millisecond.
const POLL_INTERVAL: Time = 2_000;

/// The partition whose lease makes its holder the leader of the planners.
fn planner_partition() -> Partition {
    Partition { task: cypresscleat_leases::node_id(PLANNERS_TASK), index: 0 }
}

/// How the leader of the planners is determined: by the planners themselves, or by a lease from the control replicas.
enum Leadership {
    Elected(PlannerElection),
    Leased(Box<LeaseHolder>, LeasedGrants),
}

impl Leadership {
    /// The header of the next grants, if this planner may grant now.
    fn next_grant(&mut self, now: Time) -> Option<GrantHeader> {
        match self {
            Leadership::Elected(election) => election.next_grant(now),
            Leadership::Leased(lease_holder, leased_grants) => {
                let now = lease_holder.clock.now();
                lease_holder.valid_token(planner_partition()).and_then(|token| {
                    leased_grants.next_grant(now, token, lease_holder.lease_ends_at() - now)
                })
            }
        }
    }
}

/// The next message for the planner, or `None` at `until`. Also handles events of the lease.
async fn next_message(
    socket: &mut ClusterSocket,
    leadership: &mut Leadership,
    until: Time,
) -> Option<(SocketAddr, Envelope)> {
    let Leadership::Leased(lease_holder, _) = leadership else { return socket.receive(until).await };
    loop {
        let poll_at = lease_holder.clock.now() + POLL_INTERVAL;
        tokio::select! {
            received = socket.receive(until) => return received,
            event = lease_holder.next_event(poll_at) => match event {
                Some(LeaseEvent::Acquired { token, .. }) => log!("leads the planners under token {token}, and gives out at once"),
                Some(LeaseEvent::Lost { token, .. }) => log!("leads the planners no longer, token {token}"),
                // No grant is in progress between two passes of the main loop.
                Some(LeaseEvent::ReleaseRequested { partition }) => lease_holder.release(partition),
                _ => {}
            },
        }
    }
}

pub async fn run(
    name: &str,
    tier: &TierConfig,
    control_replicas: Option<&ControlReplicas>,
    rollout: Option<&RolloutSettings>,
    seed: u64,
) -> io::Result<()> {
    let clock = Clock::start();
    let mut terminate = signal(SignalKind::terminate()).map_err(add_context("signals"))?;
    let mut signals = OperatorSignals::install()?;
    let mut socket = ClusterSocket::new(name, Role::Planner, tier, clock, seed).await?;
    if let Some((settings, request_targets)) =
        rollout.and_then(|settings| Some((settings, settings.request_targets(control_replicas)?)))
    {
        let member_task =
            MemberTask::new(name, request_targets, settings, None, None, Box::new(|_| {})).await?;
        socket.gate = Some(member_task.gate());
        spawn_local(member_task.run());
    }
    let mut leadership = match control_replicas {
        None => Leadership::Elected(PlannerElection::new(node_id(name))),
        Some(control_replicas) => {
            if control_replicas.folder.is_some() {
                leases::spawn_control_replica(name, control_replicas)?;
            }
            let rank = tier.planners.iter().position(|planner| planner.name == name).unwrap_or(255) as u8;
            let claims = vec![Claim { task: planner_partition().task, partitions: 1, rank }];
            Leadership::Leased(
                Box::new(LeaseHolder::new(name, control_replicas, claims).await?),
                LeasedGrants::default(),
            )
        }
    };
    let mut plan = CapacityPlan::default();
    for worker in &tier.workers {
        plan.set_worker(node_id(&worker.name), worker.slots);
    }
    let mut grants_sent = 0;
    loop {
        let received = tokio::select! {
            received = next_message(&mut socket, &mut leadership, clock.now() + POLL_INTERVAL) => received,
            _ = terminate.recv() => break,
            signal = signals.next() => {
                match signal {
                    OperatorSignal::Reload => log!("the files are read with a start only: nothing of them has changed"),
                    OperatorSignal::Report => log!("planner {name}: {grants_sent} grants sent"),
                }
                continue;
            }
        };
        let now = clock.now();
        let mut changes = Vec::new();
        if let Leadership::Elected(election) = &mut leadership {
            let planners: Vec<_> =
                socket.membership.present_with_role(Role::Planner).map(|(planner, _)| planner).collect();
            changes.push(election.update_planners(now, planners.into_iter()));
        }
        if let Some((from, Envelope { from: forwarder, message: Message::Report(report), .. })) = received {
            if let Leadership::Elected(election) = &mut leadership {
                changes.push(election.observe_epoch(now, report.epoch));
            }
            let report_number = report.number;
            plan.record_report(now, forwarder, report);
            plan.adapt(now);
            // A planner that is out of service under a policy grants nothing.
            let may_grant = socket.gate.as_ref().is_none_or(|gate| gate.version().is_some());
            if let Some(header) = may_grant.then(|| leadership.next_grant(now)).flatten() {
                let GrantHeader { epoch, number, duration } = header;
                let grants = plan.grants().remove(&forwarder).unwrap_or_default();
                let message = Message::Grants { epoch, number, report: report_number, duration, grants };
                let envelope = socket.envelope(message);
                socket.send(vec![OutgoingMessage { to: from, envelope }]);
                grants_sent += 1;
            }
        }
        for change in changes.into_iter().flatten() {
            match change {
                LeadershipChange::BecameLeader { epoch, from } => {
                    log!("leads under epoch {epoch}, gives out in {} ms", (from - now) / 10)
                }
                LeadershipChange::BecameFollower => log!("follows"),
            }
        }
    }
    if let Some(gate) = &socket.gate {
        gate.leave_requested.notify_one();
        let _ = tokio::time::timeout(rollout::LEAVE_TIMEOUT, gate.leave_done.notified()).await;
    }
    let farewells = socket.membership.announce_leaving();
    socket.send(farewells);
    if let Leadership::Leased(lease_holder, leased_grants) = leadership {
        // The grants of this planner have to end before the next lease holder may grant the same slots.
        tokio::time::sleep_until(lease_holder.clock.instant(leased_grants.all_ended_at())).await;
        lease_holder.leave().await;
    }
    log!("stopped: {grants_sent} grants sent, {} forwarders known", plan.forwarders().count());
    Ok(())
}
