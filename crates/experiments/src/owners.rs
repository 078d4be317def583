//! Leases at scale: how long a task has no owner, and what its lease costs. Control replicas, instances and links are simulated
//! (simulated time, real decisions); nothing here is measured on sockets.

use cypresscleat_forwarding::grants::{PlannerElection, GRANT_DURATION, MAX_CLOCK_SKEW};
use cypresscleat_forwarding::membership::{Membership, MembershipConfig, OutgoingMessage};
use cypresscleat_forwarding::messages::{Envelope, Role};
use cypresscleat_forwarding::NodeId;
use cypresscleat_leases::simulation::{Simulation, SimulationConfig};
use cypresscleat_leases::{Partition, Time, MS, SECOND};
use std::collections::BTreeMap;
use std::net::SocketAddr;

const PARTITION: Partition = Partition { task: 1, index: 0 };

/// A disturbance of the owner of a partition.
type Disturbance = fn(&mut Simulation, usize);

/// Milliseconds, as p50, p99 and maximum.
fn spread(mut all: Vec<Time>) -> String {
    all.sort_unstable();
    let at = |part: f64| all[((all.len() - 1) as f64 * part).round() as usize] as f64 / MS as f64;
    format!("{:.1} | {:.1} | {:.1}", at(0.5), at(0.99), at(1.0))
}

/// Time from the disturbance of the owner until the control replicas have granted the partition to another instance.
fn time_without_owner(seed: u64, setup: SimulationConfig, what: Disturbance) -> Time {
    let mut simulation = Simulation::new(setup, seed);
    // The disturbance falls anywhere in the period of the owner's renewals.
    simulation.run(4 * SECOND + (seed as Time * 137) % (setup.lease / 4));
    let Some(owner) = simulation.owner(PARTITION) else { return 20 * SECOND };
    let started_at = simulation.cluster.now;
    what(&mut simulation, owner);
    while simulation.owner(PARTITION).is_none_or(|now| now == owner)
        && simulation.cluster.now < started_at + 20 * SECOND
    {
        let now = simulation.cluster.now;
        simulation.run(now + MS / 2);
    }
    simulation.cluster.now - started_at
}

/// The same for planners without leases: from the death of the leading planner until another planner may send grants.
fn time_without_leader(seed: u64, planner_count: usize) -> Time {
    let address = |at: usize| SocketAddr::from(([127, 0, 0, 1], 1 + at as u16));
    let at_of = |to: SocketAddr| to.port() as usize - 1;
    let seeds: Vec<SocketAddr> = (0..planner_count).map(address).collect();
    let mut all: Vec<(Membership, PlannerElection)> = (0..planner_count)
        .map(|at| {
            let own = at as NodeId + 1;
            let role = Role::Planner;
            let members = Membership::new(
                own,
                role,
                address(at),
                seeds.clone(),
                MembershipConfig::default(),
                seed * 31 + own,
            );
            (members, PlannerElection::new(own))
        })
        .collect();
    let (mut in_flight, mut sent_count) = (BTreeMap::<(Time, u64), (usize, usize, Envelope)>::new(), 0);
    let (mut now, mut dead, mut died): (Time, Option<usize>, Time) = (0, None, 0);
    let end = 60 * SECOND;
    while now < end {
        let due = all
            .iter()
            .enumerate()
            .filter(|(at, _)| Some(*at) != dead)
            .map(|(_, one)| one.0.next_deadline())
            .min();
        let next =
            in_flight.first_key_value().map(|(key, _)| key.0).into_iter().chain(due).min().unwrap_or(end);
        now = now.max(next);
        let mut out: Vec<(usize, Vec<OutgoingMessage>)> = Vec::new();
        while let Some(entry) = in_flight.first_entry().filter(|entry| entry.key().0 <= now) {
            let (from, to, envelope) = entry.remove();
            if Some(to) != dead {
                out.push((to, all[to].0.handle(now, address(from), &envelope)));
            }
        }
        for (at, one) in all.iter_mut().enumerate().filter(|(at, _)| Some(*at) != dead) {
            if now >= one.0.next_deadline() {
                out.push((at, one.0.tick(now)));
            }
            one.0.take_changes();
            let here: Vec<NodeId> =
                one.0.present_with_role(Role::Planner).map(|(planner, _)| planner).collect();
            one.1.update_planners(now, here.into_iter());
        }
        for (from, sends) in out {
            for OutgoingMessage { to, envelope } in sends {
                sent_count += 1;
                in_flight.insert((now + MS, sent_count), (from, at_of(to), envelope));
            }
        }
        if dead.is_none() && now > 10 * SECOND + (seed as Time * 137) % 5000 {
            (dead, died) = (Some(0), now);
        }
        if dead.is_some() && all[1].1.next_grant(now).is_some() {
            return now - died;
        }
        if dead.is_some() && all[1].1.is_leader() {
            return now + GRANT_DURATION + MAX_CLOCK_SKEW - died;
        }
    }
    end
}

/// Times without an owner, and traffic and writes at rest, as Markdown tables.
pub fn table(seeds: u64) -> String {
    let mut out = format!(
        "Simulated, {seeds} seeds each, 1 to 2 ms delay for each message. Time without an owner, ms:\n\n\
         | disturbance | lease, s | p50 | p99 | maximum |\n| --- | --- | --- | --- | --- |\n"
    );
    for lease in [1, 2, 5] {
        let setup =
            SimulationConfig { lease: lease * SECOND, operation_interval: 0, ..SimulationConfig::default() };
        let rows: [(&str, Disturbance); 3] = [
            ("announced handover", Simulation::drain),
            ("the owner dies", Simulation::kill),
            ("the owner is paused for 30 s", |simulation, at| simulation.pause(at, 30 * SECOND)),
        ];
        for (name, what) in rows {
            let all = (1..=seeds).map(|seed| time_without_owner(seed, setup, what)).collect();
            out += &format!("| {name} | {lease} | {} |\n", spread(all));
        }
        let both: Disturbance = |simulation, at| {
            let leader = simulation.cluster.leader().unwrap_or(0);
            simulation.cluster.crash(leader);
            simulation.kill(at);
        };
        let all = (1..=seeds).map(|seed| time_without_owner(seed, setup, both)).collect();
        out += &format!("| the owner and the leading control replica die | {lease} | {} |\n", spread(all));
    }
    let all = (1..=seeds).map(|seed| time_without_leader(seed, 3)).collect();
    out += &format!(
        "| three planners without leases, the leading planner dies (`PlannerElection`) | - | {} |\n",
        spread(all)
    );
    out += "\nAt rest for 20 s, lease 2 s:\n\n\
            | control replicas | instances | partitions | requests and responses a second | bytes a second | messages between replicas a second | \
            writes at a replica a second | snapshot, bytes |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for (replica_count, instances, partition_count) in
        [(3, 10, 1), (5, 10, 1), (5, 1000, 1), (5, 1000, 100), (5, 1000, 10_000), (5, 1, 10_000)]
    {
        let mut simulation = Simulation::new(
            SimulationConfig {
                replicas: replica_count,
                instances,
                partitions: partition_count,
                operation_interval: 0,
                ..SimulationConfig::default()
            },
            3,
        );
        simulation.run(8 * SECOND);
        let writes = |simulation: &Simulation| {
            simulation.cluster.nodes.iter().map(|node| node.disk.sync_count).max().unwrap_or(0)
        };
        let (messages, bytes, replica_messages, sync_count_before) = (
            simulation.messages_sent,
            simulation.message_bytes,
            simulation.cluster.messages_sent,
            writes(&simulation),
        );
        simulation.run(28 * SECOND);
        let a_second = |now: u64, before: u64| (now - before) as f64 / 20.0;
        let owned: usize = simulation
            .instances
            .iter()
            .filter_map(|one| one.client.as_ref())
            .map(|one| one.owned().count())
            .sum();
        let leader = simulation.cluster.leader().and_then(|at| simulation.cluster.nodes[at].replica.as_ref());
        let snapshot_bytes = leader.map_or(0, |replica| {
            cypresscleat_consensus::StateMachine::snapshot(replica.state_machine()).len()
        });
        out += &format!(
            "| {replica_count} | {instances} | {owned} of {partition_count} | {:.0} | {:.0} | {:.0} | {:.1} | {snapshot_bytes} |\n",
            a_second(simulation.messages_sent, messages),
            a_second(simulation.message_bytes, bytes),
            a_second(simulation.cluster.messages_sent, replica_messages),
            a_second(writes(&simulation), sync_count_before)
        );
    }
    out
}
