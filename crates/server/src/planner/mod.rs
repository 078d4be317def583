//! The planner: hears reports, says who gets how much of which worker, where it leads. It holds no connection to a router or a
//! worker; one that is gone costs nobody an answer.

use crate::clock::Clock;
use crate::forwarder::cluster_socket::ClusterSocket;
use crate::forwarder::TierConfig;
use crate::leases::lease_holder::LeaseHolder;
use crate::leases::{self, ControlReplicas, PLANNERS_TASK};
use crate::rollout::member::MemberTask;
use crate::rollout::RolloutSettings;
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

/// It looks up at least this often, in tenths of a millisecond.
const LOOK: Time = 2_000;

/// The duty of leading the planners.
fn part() -> Partition {
    Partition { task: cypresscleat_leases::node_id(PLANNERS_TASK), index: 0 }
}

/// Who leads: by the planner's own word, or by the keepers'.
enum By {
    Itself(PlannerElection),
    Keepers(Box<LeaseHolder>, LeasedGrants),
}

impl By {
    /// The header of the next grants, if it may grant now.
    fn next_grant(&mut self, now: Time) -> Option<GrantHeader> {
        match self {
            By::Itself(lead) => lead.next_grant(now),
            By::Keepers(hold, owned) => {
                let now = hold.clock.now();
                hold.valid_token(part())
                    .and_then(|token| owned.next_grant(now, token, hold.lease_ends_at() - now))
            }
        }
    }
}

/// What a planner hears next.
async fn next(talk: &mut ClusterSocket, by: &mut By, until: Time) -> Option<(SocketAddr, Envelope)> {
    let By::Keepers(hold, _) = by else { return talk.hear(until).await };
    loop {
        let far = hold.clock.now() + LOOK;
        tokio::select! {
            heard = talk.hear(until) => return heard,
            event = hold.next_event(far) => match event {
                Some(LeaseEvent::Acquired { token, .. }) => log!("leads the planners under token {token}, and gives out at once"),
                Some(LeaseEvent::Lost { token, .. }) => log!("leads the planners no longer, token {token}"),
                // Nothing is under way here between two looks.
                Some(LeaseEvent::ReleaseRequested { partition }) => hold.release(partition),
                _ => {}
            },
        }
    }
}

pub async fn run(
    name: &str,
    tier: &TierConfig,
    keepers: Option<&ControlReplicas>,
    rollout: Option<&RolloutSettings>,
    seed: u64,
) -> io::Result<()> {
    let clock = Clock::start();
    let mut term = signal(SignalKind::terminate()).map_err(add_context("signals"))?;
    let mut talk = ClusterSocket::new(name, Role::Planner, tier, clock, seed).await?;
    if let Some((set, above)) = rollout.and_then(|set| Some((set, set.request_targets(keepers)?))) {
        let task = MemberTask::new(name, above, set, None, None, Box::new(|_| {})).await?;
        talk.gate = Some(task.gate());
        spawn_local(task.run());
    }
    let mut by = match keepers {
        None => By::Itself(PlannerElection::new(node_id(name))),
        Some(keepers) => {
            if keepers.folder.is_some() {
                leases::spawn_control_replica(name, keepers)?;
            }
            let rank = tier.planners.iter().position(|planner| planner.name == name).unwrap_or(255) as u8;
            let claims = vec![Claim { task: part().task, partitions: 1, rank }];
            By::Keepers(Box::new(LeaseHolder::new(name, keepers, claims).await?), LeasedGrants::default())
        }
    };
    let mut plan = CapacityPlan::default();
    for worker in &tier.workers {
        plan.set_worker(node_id(&worker.name), worker.slots);
    }
    let mut said = 0;
    loop {
        let heard = tokio::select! {
            heard = next(&mut talk, &mut by, clock.now() + LOOK) => heard,
            _ = term.recv() => break,
        };
        let now = clock.now();
        let mut turns = Vec::new();
        if let By::Itself(lead) = &mut by {
            let planners: Vec<_> =
                talk.members.present_with_role(Role::Planner).map(|(planner, _)| planner).collect();
            turns.push(lead.update_planners(now, planners.into_iter()));
        }
        if let Some((from, Envelope { from: forwarder, message: Message::Report(report), .. })) = heard {
            if let By::Itself(lead) = &mut by {
                turns.push(lead.observe_epoch(now, report.epoch));
            }
            let answers = report.number;
            plan.record_report(now, forwarder, report);
            plan.adapt(now);
            // Out of service under a policy it gives out nothing.
            let fit = talk.gate.as_ref().is_none_or(|gate| gate.version().is_some());
            if let Some(header) = fit.then(|| by.next_grant(now)).flatten() {
                let GrantHeader { epoch, number, duration } = header;
                let grants = plan.grants().remove(&forwarder).unwrap_or_default();
                let message = Message::Grants { epoch, number, report: answers, duration, grants };
                let envelope = talk.envelope(message);
                talk.send(vec![OutgoingMessage { to: from, envelope }]);
                said += 1;
            }
        }
        for turn in turns.into_iter().flatten() {
            match turn {
                LeadershipChange::BecameLeader { epoch, from } => {
                    log!("leads under epoch {epoch}, gives out in {} ms", (from - now) / 10)
                }
                LeadershipChange::BecameFollower => log!("follows"),
            }
        }
    }
    if let Some(gate) = &talk.gate {
        gate.leave_requested.notify_one();
        let _ = tokio::time::timeout(rollout::LEAVE_TIMEOUT, gate.leave_done.notified()).await;
    }
    let out = talk.members.announce_leaving();
    talk.send(out);
    if let By::Keepers(hold, owned) = by {
        // What it gave out has to end before the next may give the same out again.
        tokio::time::sleep_until(hold.clock.instant(owned.all_ended_at())).await;
        hold.leave().await;
    }
    log!("stopped: {said} grants given, {} forwarders known", plan.forwarders().count());
    Ok(())
}
