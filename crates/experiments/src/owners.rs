//! One owner at a time, at size: how long a duty has no owner, and what keeping it costs. Keepers, instances and links are played
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

/// What is done to the owner.
type Done = fn(&mut Simulation, usize);

/// Ms, as p50, p99 and the most.
fn spread(mut all: Vec<Time>) -> String {
    all.sort_unstable();
    let at = |part: f64| all[((all.len() - 1) as f64 * part).round() as usize] as f64 / MS as f64;
    format!("{:.1} | {:.1} | {:.1}", at(0.5), at(0.99), at(1.0))
}

/// Time from `what`, done to the owner, until the keepers have given the part to another.
fn without(seed: u64, setup: SimulationConfig, what: Done) -> Time {
    let mut play = Simulation::new(setup, seed);
    // Anywhere in the period of its renewals.
    play.run(4 * SECOND + (seed as Time * 137) % (setup.lease / 4));
    let Some(owner) = play.owner(PARTITION) else { return 20 * SECOND };
    let began = play.cluster.now;
    what(&mut play, owner);
    while play.owner(PARTITION).is_none_or(|now| now == owner) && play.cluster.now < began + 20 * SECOND {
        let now = play.cluster.now;
        play.run(now + MS / 2);
    }
    play.cluster.now - began
}

/// The same for planners that think for themselves: from the death of the one that leads until another may give out.
fn without_lead(seed: u64, many: usize) -> Time {
    let address = |at: usize| SocketAddr::from(([127, 0, 0, 1], 1 + at as u16));
    let at_of = |to: SocketAddr| to.port() as usize - 1;
    let seeds: Vec<SocketAddr> = (0..many).map(address).collect();
    let mut all: Vec<(Membership, PlannerElection)> = (0..many)
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
    let (mut mail, mut posted) = (BTreeMap::<(Time, u64), (usize, usize, Envelope)>::new(), 0);
    let (mut now, mut dead, mut died): (Time, Option<usize>, Time) = (0, None, 0);
    let end = 60 * SECOND;
    while now < end {
        let due = all
            .iter()
            .enumerate()
            .filter(|(at, _)| Some(*at) != dead)
            .map(|(_, one)| one.0.next_deadline())
            .min();
        let next = mail.first_key_value().map(|(key, _)| key.0).into_iter().chain(due).min().unwrap_or(end);
        now = now.max(next);
        let mut out: Vec<(usize, Vec<OutgoingMessage>)> = Vec::new();
        while let Some(entry) = mail.first_entry().filter(|entry| entry.key().0 <= now) {
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
                posted += 1;
                mail.insert((now + MS, posted), (from, at_of(to), envelope));
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

pub fn table(seeds: u64) -> String {
    let mut out = format!(
        "Simulated, {seeds} seeds each, 1 to 2 ms a letter. Time without an owner, ms:\n\n\
         | what | lease, s | p50 | p99 | most |\n| --- | --- | --- | --- | --- |\n"
    );
    for lease in [1, 2, 5] {
        let setup =
            SimulationConfig { lease: lease * SECOND, operation_interval: 0, ..SimulationConfig::default() };
        let rows: [(&str, Done); 3] = [
            ("told handover", Simulation::drain),
            ("the owner dies", Simulation::kill),
            ("the owner stands still for 30 s", |play, at| play.pause(at, 30 * SECOND)),
        ];
        for (name, what) in rows {
            let all = (1..=seeds).map(|seed| without(seed, setup, what)).collect();
            out += &format!("| {name} | {lease} | {} |\n", spread(all));
        }
        let both: Done = |play, at| {
            let leader = play.cluster.leader().unwrap_or(0);
            play.cluster.crash(leader);
            play.kill(at);
        };
        let all = (1..=seeds).map(|seed| without(seed, setup, both)).collect();
        out += &format!("| the owner and the keeper that leads die | {lease} | {} |\n", spread(all));
    }
    let all = (1..=seeds).map(|seed| without_lead(seed, 3)).collect();
    out += &format!(
        "| three planners that think for themselves, the one that leads dies (`Lead`) | - | {} |\n",
        spread(all)
    );
    out += "\nAt rest for 20 s, lease 2 s:\n\n\
            | keepers | instances | parts | asks and answers a second | bytes a second | letters between keepers a second | \
            writes at a keeper a second | image, bytes |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for (keepers, instances, parts) in
        [(3, 10, 1), (5, 10, 1), (5, 1000, 1), (5, 1000, 100), (5, 1000, 10_000), (5, 1, 10_000)]
    {
        let mut play = Simulation::new(
            SimulationConfig {
                replicas: keepers,
                instances,
                partitions: parts,
                operation_interval: 0,
                ..SimulationConfig::default()
            },
            3,
        );
        play.run(8 * SECOND);
        let writes =
            |play: &Simulation| play.cluster.nodes.iter().map(|seat| seat.disk.sync_count).max().unwrap_or(0);
        let (asks, bytes, letters, wrote) =
            (play.messages_sent, play.message_bytes, play.cluster.messages_sent, writes(&play));
        play.run(28 * SECOND);
        let a_second = |now: u64, then: u64| (now - then) as f64 / 20.0;
        let owned: usize =
            play.instances.iter().filter_map(|one| one.client.as_ref()).map(|one| one.owned().count()).sum();
        let leader = play.cluster.leader().and_then(|at| play.cluster.nodes[at].replica.as_ref());
        let image = leader
            .map_or(0, |keeper| cypresscleat_consensus::StateMachine::snapshot(keeper.state_machine()).len());
        out += &format!(
            "| {keepers} | {instances} | {owned} of {parts} | {:.0} | {:.0} | {:.0} | {:.1} | {image} |\n",
            a_second(play.messages_sent, asks),
            a_second(play.message_bytes, bytes),
            a_second(play.cluster.messages_sent, letters),
            a_second(writes(&play), wrote)
        );
    }
    out
}
