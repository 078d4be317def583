//! Bytes and decisions stay: messages beside those in `versions.rs`, and digests of long plays by seed, recorded from the code of
//! commit 67fc394. A digest changes with any other draw of the generator, order of effects, bound or rounding.

use cypresscleat_forwarding::capacity_plan::CapacityPlan;
use cypresscleat_forwarding::dispatch_mode::{DispatchMode, RECOVERY_STEP_DURATION};
use cypresscleat_forwarding::grants::{GrantHeader, GrantTable};
use cypresscleat_forwarding::load_balancer::{AttemptOutcome, LoadBalancer};
use cypresscleat_forwarding::membership::MembershipConfig;
use cypresscleat_forwarding::messages::*;
use cypresscleat_forwarding::retry_budget::{Execution, RetryBudget, RetryCounts, RetryRequest};
use cypresscleat_forwarding::simulation::{NetworkConditions, Simulation};
use cypresscleat_forwarding::slow_start::SlowStart;
use cypresscleat_forwarding::{NodeId, SeededRng, Time, MS, SECOND};

/// Hashes of the members, compared before the members are sent.
const HASHES: &str = "000001c201cb89ec8ff723020007400081828488902082848890a04083868c98b060848890a0c08001858a94a8d0a001868c98b0e0c001878e9cb8f0e0018890a0c08081028992a4c890a1028a94a8d0a0c1028b96acd8b0e1028c98b0e0c081038d9ab4e8d0a1038e9cb8f0e0c1038f9ebcf8f0e10390a0c08081820491a2c48891a20492a4c890a1c20493a6cc98b1e20494a8d0a0c1820595aad4a8d1a20596acd8b0e1c20597aedcb8f1e20598b0e0c081830699b2e4c891a3069ab4e8d0a1c3069bb6ecd8b1e3069cb8f0e0c183079dbaf4e8d1a3079ebcf8f0e1c3079fbefcf8f1e307a0c08081828408a1c2848992a408a2c48891a2c408a3c68c99b2e408a4c890a1c28409a5ca94a9d2a409a6cc98b1e2c409a7ce9cb9f2e409a8d0a0c182850aa9d2a4c992a50aaad4a8d1a2c50aabd6acd9b2e50aacd8b0e1c2850baddab4e9d2a50baedcb8f1e2c50bafdebcf9f2e50bb0e0c08183860cb1e2c48993a60cb2e4c891a3c60cb3e6cc99b3e60cb4e8d0a1c3860db5ead4a9d3a60db6ecd8b1e3c60db7eedcb9f3e60db8f0e0c183870eb9f2e4c993a70ebaf4e8d1a3c70ebbf6ecd9b3e70ebcf8f0e1c3870fbdfaf4e9d3a70fbefcf8f1e3c70fbffefcf9f3e70f";
/// Grants under a version of the policy.
const POLICY: &str = "0000001601cb89ec8ff723020008ac0206040209c0b802010503";

/// Header of grants of an epoch and number, which hold so long.
fn header(epoch: u64, number: u64, duration: Time) -> GrantHeader {
    GrantHeader { epoch, number, duration }
}

/// FNV-1a over numbers.
struct Digest(u64);

impl Digest {
    fn new() -> Digest {
        Digest(0xcbf2_9ce4_8422_2325)
    }
    fn add(&mut self, number: u64) {
        for byte in number.to_le_bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

fn hex(message: Message) -> String {
    let envelope = Envelope { from: 1_234_567_890_123, incarnation: 2, updates: Vec::new(), message };
    let mut bytes = Vec::new();
    assert!(encode(&mut bytes, &envelope));
    assert_eq!(decode(&bytes), Decoded::Message(envelope, bytes.len()));
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn hashes_and_policy_versions_have_their_recorded_bytes() {
    let parts = (0..MEMBER_PARTITIONS as u64).map(|part| part * 0x0101_0101_0101).collect();
    assert_eq!(hex(Message::Sync { hashes: parts }), HASHES);
    let grants = vec![Grant { worker: 5, slots: 3 }];
    let message = Message::Grants { epoch: 4, number: 2, report: 9, duration: 20_000, grants };
    assert_eq!(hex(Message::WithPolicyVersion { version: 300, message: Box::new(message) }), POLICY);
}

/// Joins, probes, suspicion, a drain, a leave, a death and a cut, under loss.
#[test]
fn gossip_sends_the_recorded_messages() {
    let net = |partition| NetworkConditions { loss: 0.05, delay: (2, 20), partition };
    let mut simulation = Simulation::new(40, MembershipConfig::default(), net(None), 11);
    simulation.run(10 * SECOND);
    simulation.members[7].as_mut().expect("it is here").announce_draining();
    simulation.run(14 * SECOND);
    let out = simulation.members[7].as_mut().expect("it is here").announce_leaving();
    simulation.send(7, out);
    simulation.kill(7);
    simulation.kill(8);
    simulation.set_conditions(net(Some((5, 20 * SECOND, 26 * SECOND, false))));
    simulation.run(60 * SECOND);
    simulation.start(8, 60 * SECOND, 1);
    simulation.run(90 * SECOND);
    let mut digest = Digest::new();
    simulation.sent.iter().chain(&simulation.received).for_each(|bytes| digest.add(*bytes));
    assert_eq!((simulation.messages, simulation.bytes, digest.0), (43924, 2911557, 4825590641727902959));
}

/// Choices with and without a subject, ends of all kinds, ejections, workers that come and go.
#[test]
fn routes_choose_the_recorded_workers() {
    let mut routes = LoadBalancer::new(5);
    let mut rng = SeededRng::new(6);
    let mut digest = Digest::new();
    let mut out: Vec<(NodeId, Time)> = Vec::new();
    for step in 0..40_000u64 {
        let now = step as Time * 20;
        if step % 500 == 0 {
            let gone = rng.index_below(30) as NodeId;
            routes.remove_worker(gone);
            out.retain(|(worker, _)| *worker != gone);
            for id in 0..30 {
                let slots = 2.0 + (id % 5) as f64;
                routes.set_worker(now, id, slots, (id + step / 500) % 11 != 0);
            }
            routes.tick(now);
        }
        let subject = rng.next_f64();
        let subject = (subject < 0.4).then_some((subject * 1e19) as u64);
        let chosen = routes.choose(subject, &[step % 30]);
        digest.add(chosen.unwrap_or(NodeId::MAX));
        if let Some(worker) = chosen.filter(|worker| routes.record_start(*worker)) {
            out.push((worker, now));
        }
        if out.len() > 40 || rng.next_f64() < 0.5 && !out.is_empty() {
            let (worker, began) = out.swap_remove(rng.index_below(out.len()));
            let draw = rng.next_f64();
            let ends = [
                AttemptOutcome::Succeeded,
                AttemptOutcome::Rejected,
                AttemptOutcome::Failed,
                AttemptOutcome::ConnectionLost,
                AttemptOutcome::Cancelled,
            ];
            let bad = worker % 9 == 1;
            let end = if bad && draw < 0.8 {
                ends[2 + rng.index_below(2)]
            } else {
                ends[(draw * draw * 5.0) as usize]
            };
            let later = if end == AttemptOutcome::Rejected { 30 * MS } else { 0 };
            let slow = if worker % 13 == 3 { 9 } else { 1 };
            routes.record_end(now, worker, end, (now - began + 10) * slow, later);
        }
        digest.add(routes.in_flight());
        digest.add(routes.slots().to_bits());
    }
    assert_eq!((digest.0, routes.full_scans()), (2583824693382414236, 9992));
}

fn report(rng: &mut SeededRng, number: u32) -> LoadReport {
    let mut demand = |class| Demand {
        class,
        rate: rng.next_f64() as f32 * 100.0,
        queued: rng.index_below(20) as u32,
        weight: rng.next_f64() as f32 * 3.0,
    };
    let demands = (0..3).map(&mut demand).collect();
    let mut observation = |worker| WorkerObservation {
        worker,
        in_flight: rng.index_below(9) as u32,
        ended: rng.next_f64() as f32 * 50.0,
        rejected: rng.next_f64() as f32 * 4.0,
        latency: 80.0,
    };
    let observations = (0..12).map(&mut observation).collect();
    LoadReport { number, demands, observations, epoch: 0 }
}

#[test]
fn plans_give_the_recorded_grants() {
    let (mut plan, mut rng, mut digest) = (CapacityPlan::default(), SeededRng::new(9), Digest::new());
    (0..12).for_each(|worker| plan.set_worker(worker, 10.0 + worker as f64 * 1.7));
    for step in 0..400u32 {
        let now = Time::from(step) * SECOND / 5;
        for forwarder in 0..7 {
            if rng.next_f64() < 0.4 {
                let report = report(&mut rng, step);
                plan.record_report(now, forwarder, report);
            }
        }
        plan.adapt(now);
        if step % 97 == 0 {
            plan.remove_forwarder(u64::from(step % 7));
            plan.remove_worker(u64::from(step % 12));
        }
        for (forwarder, grants) in plan.grants() {
            digest.add(forwarder);
            grants.iter().for_each(|grant| digest.add(grant.worker << 32 | u64::from(grant.slots)));
        }
        (0..12).for_each(|worker| digest.add(plan.slots(worker).to_bits()));
    }
    assert_eq!(digest.0, 11313856170035825202);
}

#[test]
fn retries_and_reserved_places_are_the_recorded_ones() {
    let (mut budget, mut ramp) = (RetryBudget::new(0), SlowStart::default());
    let (mut rng, mut digest) = (SeededRng::new(3), Digest::new());
    for step in 0..20_000u64 {
        let now = step as Time * 30;
        budget.record_first_attempt(now);
        let execution = if rng.next_f64() < 0.7 { Execution::NeverRan } else { Execution::MayHaveRun };
        let (give_up, attempts) = (rng.next_f64() < 0.1, rng.index_below(4) as u32);
        let (time_left, time_needed) = (rng.index_below(1000) as Time, rng.index_below(400) as Time);
        let retry = RetryRequest { execution, give_up, attempts, time_left, time_needed };
        digest.add(u64::from(budget.try_retry(now, retry)));
        let who = rng.index_below(25) as NodeId;
        let budget = 10.0 + rng.next_f64() * 30.0;
        digest.add(u64::from(ramp.reserve(now, who, rng.index_below(4) as u32, budget, 8)));
        digest.add(ramp.charged_slots(now));
    }
    let counts = RetryCounts { first_attempts: 20000, retries: 2182, denied: 5273 };
    assert_eq!((digest.0, budget.counts()), (8349135355523100453, counts));
}

#[test]
fn the_log_lines_of_the_mode_are_the_recorded_ones() {
    let (mut mode, mut held, mut lines) = (DispatchMode::new(0), GrantTable::default(), Vec::new());
    let report = held.start_report(0);
    let grant = [Grant { worker: 9, slots: 4 }];
    held.accept(10, header(5, 1, 4 * SECOND), report, &grant).expect("to be taken");
    let mut slots = Digest::new();
    for step in 0..12 {
        let now = 10 + step * RECOVERY_STEP_DURATION;
        if step == 3 {
            let report = held.start_report(now);
            held.accept(now, header(5, 2, 4 * SECOND), report, &grant).expect("to be taken");
        }
        lines.extend(mode.tick(now, &held));
        slots.add(mode.slots(now, &held, 9, 1.5).to_bits());
    }
    assert_eq!(
        lines,
        [
            "planners are back: epoch 5, 4 places, in 4 steps; 1 ms by itself",
            "by its grants: epoch 5, 4 places",
            "by itself: grants of epoch 5 ended, after 1500 ms"
        ]
    );
    assert_eq!(slots.0, 8708610277544208489);
}
