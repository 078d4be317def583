//! Replicas in a simulated network with simulated disks: acknowledged commands are never lost, no two replicas commit different
//! entries, and a running majority makes progress. With a safeguard disabled the same faults violate an invariant.

use cypresscleat_consensus::replica::DisabledSafeguards;
use cypresscleat_consensus::sim::{FaultRates, HashChain, NetworkConditions, Simulation};
use cypresscleat_consensus::{ProposalResponse, RaftConfig, SeededRng, MS, SECOND};
use std::collections::BTreeMap;

fn config() -> RaftConfig {
    // Snapshots are taken often, so that they are also sent to followers.
    RaftConfig { snapshot_threshold: 12, ..RaftConfig::default() }
}

#[derive(Default)]
struct CommitHistory {
    /// Hash of the history at each index, from the first replica that reached it.
    hashes: BTreeMap<u64, u64>,
    /// Index of each command that was acknowledged.
    acknowledged: BTreeMap<u64, u64>,
    proposed: u64,
}

impl CommitHistory {
    /// Compares all replicas, and the responses since the last call, with the recorded history.
    fn observe(&mut self, simulation: &mut Simulation<HashChain>) {
        for (_, response) in std::mem::take(&mut simulation.responses) {
            if let ProposalResponse::Applied { proposal_id: number, index, result } = response {
                let hash = u64::from_le_bytes(result.try_into().expect("a hash"));
                self.check(simulation, index, hash);
                self.acknowledged.insert(number, index);
            }
        }
        let all: Vec<(u64, u64)> = simulation
            .nodes
            .iter()
            .filter_map(|node| {
                node.replica.as_ref().map(|replica| (replica.commit_index(), replica.state_machine().hash))
            })
            .collect();
        for (index, hash) in all {
            self.check(simulation, index, hash);
        }
    }
    fn check(&mut self, simulation: &mut Simulation<HashChain>, index: u64, hash: u64) {
        let known = *self.hashes.entry(index).or_insert(hash);
        // Entries without a command leave the hash unchanged, so each index has one hash on all replicas.
        if known != hash {
            simulation.violation.get_or_insert(format!("two different entries committed at {index}"));
        }
    }
}

/// Runs a seed with faults, heals, and returns an error where an invariant was violated or no progress was made.
fn run_seed(
    seed: u64,
    nodes: usize,
    config: RaftConfig,
    rates: FaultRates,
    seconds: i64,
) -> Result<(), String> {
    let mut simulation = Simulation::new(nodes, HashChain::default(), config, seed);
    let mut rng = SeededRng::new(seed ^ 0x5eed);
    let mut history = CommitHistory::default();
    simulation.network = NetworkConditions {
        delay: [MS / 2, 2 * MS, 8 * MS][rng.below(3) as usize],
        loss_one_in: [0, 30, 8][rng.below(3) as usize],
        duplicate_one_in: [0, 10][rng.below(2) as usize],
        max_extra_delay: [0, 200 * MS][rng.below(2) as usize],
    };
    simulation.run(2 * SECOND);
    let end = simulation.now + seconds * SECOND;
    let mut faults_until = end - 4 * SECOND;
    while simulation.now < end {
        let now = simulation.now;
        if now < faults_until {
            simulation.inject_faults(rates, &mut rng);
        } else if faults_until > 0 {
            faults_until = 0;
            simulation.heal();
        }
        for _ in 0..rng.below(4) {
            history.proposed += 1;
            let (number, at) = (history.proposed, rng.below(nodes as u64) as usize);
            let at = simulation.leader().unwrap_or(at);
            simulation.propose(at, number, number.to_le_bytes().to_vec());
        }
        for part in 1..=10 {
            simulation.run(now + part * 10 * MS);
            history.observe(&mut simulation);
        }
        simulation.check_invariants().map_err(|violation| violation.to_string())?;
    }
    let Some(leader) = simulation.leader() else { return Err("no leader, though all replicas run".into()) };
    let machine =
        simulation.nodes[leader].replica.as_ref().expect("a running leader").state_machine().clone();
    if let Some(lost) = history.acknowledged.keys().find(|number| !machine.numbers.contains(number)) {
        return Err(format!("acknowledged and lost: {lost}"));
    }
    // No message storm: the bound covers heartbeats in both directions and proposals, with a margin for retries.
    let bound = (simulation.now / SECOND) as u64 * 400 * (nodes * nodes) as u64;
    if simulation.messages_sent > bound {
        return Err(format!("{} messages, more than {bound}", simulation.messages_sent));
    }
    let last = history.proposed;
    if !history.acknowledged.contains_key(&last)
        && !history.acknowledged.keys().any(|number| *number + 12 > last)
    {
        return Err("nothing was committed at the end".into());
    }
    Ok(())
}

const ALL_FAULTS: FaultRates = FaultRates { crashes: 6, partitions: 6, lost_disks: 20, restored_disks: 0 };

fn seeds() -> u64 {
    std::env::var("QUORUM_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(300)
}

fn run_seeds(first: u64, nodes: usize, rates: FaultRates) {
    for seed in first..first + seeds() {
        if let Err(error) = run_seed(seed, nodes, config(), rates, 14) {
            panic!("seed {seed}, {nodes} replicas: {error}");
        }
    }
}

#[test]
fn three_replicas_survive_crashes_partitions_and_lost_disks() {
    run_seeds(0, 3, ALL_FAULTS);
}

#[test]
fn five_replicas_survive_crashes_partitions_and_lost_disks() {
    run_seeds(1_000_000, 5, ALL_FAULTS);
}

#[test]
fn detects_a_disk_restored_from_an_earlier_state() {
    // The other replicas are connected while the copy is restored, so one of them knows what the disk had acknowledged.
    run_seeds(2_000_000, 3, FaultRates { crashes: 0, partitions: 0, lost_disks: 0, restored_disks: 6 });
}

fn finds_violation(disabled: DisabledSafeguards, rates: FaultRates, nodes: usize, seeds: u64) -> bool {
    let config = RaftConfig { disabled_safeguards: disabled, ..config() };
    (0..seeds).any(|seed| run_seed(seed, nodes, config, rates, 14).is_err())
}

#[test]
fn sending_before_persisting_breaks_an_invariant() {
    let disabled = DisabledSafeguards { persist_before_send: true, ..DisabledSafeguards::default() };
    assert!(finds_violation(
        disabled,
        FaultRates { crashes: 3, partitions: 8, lost_disks: 0, restored_disks: 0 },
        3,
        200
    ));
}

#[test]
fn bootstraps_only_once_all_configured_replicas_are_present() {
    let mut simulation = Simulation::new(3, HashChain::default(), config(), 7);
    simulation.crash(2);
    simulation.run(5 * SECOND);
    assert_eq!(simulation.leader(), None, "two of three replicas with empty disks do not bootstrap");
    simulation.start(2);
    simulation.run(7 * SECOND);
    assert!(simulation.leader().is_some());
}

#[test]
fn commits_nothing_after_a_majority_lost_its_disks() {
    let mut simulation = Simulation::new(3, HashChain::default(), config(), 8);
    simulation.run(2 * SECOND);
    let leader = simulation.leader().expect("a leader");
    assert!(simulation.propose(leader, 1, 1u64.to_le_bytes().to_vec()));
    simulation.run(3 * SECOND);
    for at in 0..3 {
        if at != leader {
            simulation.lose_disk(at);
            simulation.start(at);
        }
    }
    simulation.run(20 * SECOND);
    assert_eq!(simulation.leader(), None, "one replica with its state and two without are no majority");
}

#[test]
fn a_replica_with_a_lost_disk_is_readmitted_and_counts() {
    let mut simulation = Simulation::new(3, HashChain::default(), config(), 9);
    simulation.run(2 * SECOND);
    for number in 0..40u64 {
        let leader = simulation.leader().expect("a leader");
        simulation.propose(leader, number, number.to_le_bytes().to_vec());
        simulation.run(simulation.now + 10 * MS);
    }
    let leader = simulation.leader().expect("a leader");
    let lost = (leader + 1) % 3;
    let old = simulation.nodes[lost].disk.id;
    simulation.lose_disk(lost);
    simulation.start(lost);
    simulation.run(simulation.now + 3 * SECOND);
    let leader = simulation.leader().expect("a leader");
    let members = simulation.nodes[leader].replica.as_ref().expect("a running leader").members().to_vec();
    assert_eq!(members.len(), 3);
    assert!(members.iter().all(|member| member.disk != old));
    let new = simulation.nodes[lost].replica.as_ref().expect("a running replica");
    assert_eq!(new.state_machine().numbers.len(), 40, "it has all committed commands");
    // It counts toward a majority: one of the others may crash.
    simulation.crash((lost + 1) % 3);
    simulation.run(simulation.now + 3 * SECOND);
    assert!(simulation.leader().is_some());
}

/// The leader and a second replica commit an entry while the third is partitioned. Then the second loses its disk, and the leader
/// crashes. Returns whether a new leader has the entry; `None` without a leader.
fn new_leader_has_entry(disabled: DisabledSafeguards) -> Option<bool> {
    let mut simulation = Simulation::new(
        3,
        HashChain::default(),
        RaftConfig { disabled_safeguards: disabled, ..config() },
        11,
    );
    simulation.run(2 * SECOND);
    let leader = simulation.leader()?;
    let (second, third) = ((leader + 1) % 3, (leader + 2) % 3);
    for (a, b) in [(leader, third), (second, third)] {
        let (a, b) = (simulation.nodes[a].id, simulation.nodes[b].id);
        simulation.blocked_links.extend([(a, b), (b, a)]);
    }
    simulation.run(3 * SECOND);
    assert!(simulation.propose(leader, 77, 77u64.to_le_bytes().to_vec()));
    simulation.run(4 * SECOND);
    assert!(simulation
        .responses
        .iter()
        .any(|(_, response)| matches!(response, ProposalResponse::Applied { proposal_id: 77, .. })));
    simulation.crash(leader);
    simulation.lose_disk(second);
    simulation.start(second);
    simulation.blocked_links.clear();
    simulation.run(30 * SECOND);
    let new_leader = simulation.leader()?;
    Some(simulation.nodes[new_leader].replica.as_ref()?.state_machine().numbers.contains(&77))
}

#[test]
fn an_empty_disk_has_no_vote_and_without_that_safeguard_a_response_is_lost() {
    assert_eq!(
        new_leader_has_entry(DisabledSafeguards::default()),
        None,
        "only one of three has its state: no leader"
    );
    let disabled = DisabledSafeguards { empty_disk_has_no_vote: true, ..DisabledSafeguards::default() };
    assert_eq!(new_leader_has_entry(disabled), Some(false), "the acknowledged command is lost");
}

#[test]
fn decodes_a_message_whole_or_not_at_all() {
    use cypresscleat_consensus::message::{self, DecodeError, LogPosition, Message, MessageBody};
    let from = cypresscleat_consensus::Member { id: 1, disk: 2 };
    let body = MessageBody::RequestVote { pre_vote: false, last: LogPosition { term: 3, index: 9 } };
    let valid = Message { from, to_disk: 4, term: 3, body };
    let bytes = message::encode(&valid).expect("a short message");
    assert_eq!(message::decode::<Message>(&bytes), Ok(valid));
    for at in 0..bytes.len() {
        assert!(message::decode::<Message>(&bytes[..at]).is_err(), "cut at {at}");
        for bit in 0..8 {
            let mut corrupted = bytes.clone();
            corrupted[at] ^= 1 << bit;
            assert!(message::decode::<Message>(&corrupted).is_err(), "bit {bit} of byte {at}");
        }
    }
    let mut later = bytes;
    later[1] += 1;
    assert_eq!(message::decode::<Message>(&later), Err(DecodeError::UnknownFormat));
}
