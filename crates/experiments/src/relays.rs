//! Policy changes through relays by zone, compared with changes without relays: how long until a change is decided and active; what a
//! member, a relay and the leading control replica send and receive, at rest and in the busiest second of the change; isolation and
//! return of a region. Simulated time and networks, real decisions.

use cypresscleat_rollout::member::AdmissionPermit;
use cypresscleat_rollout::{Rules, Time, MS, SECOND};
use cypresscleat_rollout_relay::simulation::{Simulation, SimulationConfig, Traffic};

const ZONES: usize = 17;
const REGIONS: usize = 8;
/// How long a region is isolated, in place of an hour: all its leases expire within 2 s, and its requests are the same from then on.
const ISOLATION_TIME: Time = 120 * SECOND;
/// Maximum time for each step of a simulation run.
const MAX_STEP_TIME: Time = 60 * SECOND;
const DOCUMENT_BYTES: usize = 4_096;

/// Traffic in a second, of one process or the mean of several.
#[derive(Default, Clone, Copy)]
struct Rate {
    received: f64,
    received_bytes: f64,
    sent: f64,
    sent_bytes: f64,
}

impl Rate {
    fn of<'a>(all: impl Iterator<Item = &'a Traffic>, time: Time) -> Rate {
        let (mut sum, mut many) = (Traffic::default(), 0);
        for one in all {
            sum.sent += one.sent;
            sum.sent_bytes += one.sent_bytes;
            sum.received += one.received;
            sum.received_bytes += one.received_bytes;
            many += 1;
        }
        let each = |sum: u64| sum as f64 / many.max(1) as f64 * SECOND as f64 / time.max(1) as f64;
        Rate {
            received: each(sum.received),
            received_bytes: each(sum.received_bytes),
            sent: each(sum.sent),
            sent_bytes: each(sum.sent_bytes),
        }
    }
    fn add(&mut self, other: Rate, part: f64) {
        self.received += other.received * part;
        self.received_bytes += other.received_bytes * part;
        self.sent += other.sent * part;
        self.sent_bytes += other.sent_bytes * part;
    }
}

impl std::fmt::Display for Rate {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Rate { received, received_bytes, sent, sent_bytes } = self;
        write!(f, "{received:.1} / {sent:.1} | {received_bytes:.0} / {sent_bytes:.0}")
    }
}

#[derive(Default)]
struct Figures {
    decided: Vec<Time>,
    /// Time until active, for each live member.
    in_force: Vec<Time>,
    never: usize,
    rest: [Rate; 3],
    /// Messages and bytes in the busiest second of a change: of any member, of any relay, of the leading control replica.
    peak: [(u64, u64); 3],
    violations: usize,
}

fn setup(members: usize, relays: usize) -> SimulationConfig {
    let rules = Rules { lease: 2 * SECOND, ..Rules::default() };
    let near = SimulationConfig {
        zones: ZONES,
        regions: REGIONS,
        inter_region_delay: 40 * MS,
        replica_delay: 5 * MS,
        ..SimulationConfig::default()
    };
    SimulationConfig { members, relays, direct_members: 0, rules, max_lease: 2 * SECOND, ..near }
}

/// Starts a simulation in which all members have joined; `None` if they don't join in time.
fn start_and_join(members: usize, relays: usize, seed: u64) -> Option<Simulation> {
    let mut simulation = Simulation::new(setup(members, relays), seed);
    while simulation.admitting_members(0) < members {
        if simulation.consensus.now >= MAX_STEP_TIME {
            return None;
        }
        let until = simulation.consensus.now + 100 * MS;
        simulation.run(until);
    }
    Some(simulation)
}

fn clear_traffic(simulation: &mut Simulation) {
    simulation.processes.iter_mut().for_each(|one| one.traffic = Traffic::default());
    simulation.replica_traffic.iter_mut().for_each(|one| *one = Traffic::default());
}

fn run_for(simulation: &mut Simulation, time: Time) {
    let until = simulation.consensus.now + time;
    simulation.run(until);
}

/// The traffic of all members, of all relays, and of the control replica that received most messages.
fn traffic_by_role(simulation: &Simulation) -> [Vec<&Traffic>; 3] {
    let (relays, members) = simulation.processes.split_at(simulation.first_member);
    let leader = simulation.replica_traffic.iter().max_by_key(|one| one.received);
    [
        members.iter().map(|one| &one.traffic).collect(),
        relays.iter().map(|one| &one.traffic).collect(),
        leader.into_iter().collect(),
    ]
}

fn peaks(simulation: &Simulation) -> [(u64, u64); 3] {
    traffic_by_role(simulation).map(|all| {
        let of = |figure: fn(&Traffic) -> u64| all.iter().map(|one| figure(one)).max().unwrap_or(0);
        (of(|one| one.peak_messages), of(|one| one.peak_bytes))
    })
}

fn simulate_change(
    seed: u64,
    members: usize,
    relays: usize,
    kind: (u64, bool, bool),
    figures: &mut Figures,
    part: f64,
) {
    let (lost, down, use_barrier) = kind;
    let Some(mut simulation) = start_and_join(members, relays, seed) else {
        figures.never += members;
        return;
    };
    simulation.consensus.network.loss_one_in = lost;
    run_for(&mut simulation, 2 * SECOND);
    clear_traffic(&mut simulation);
    run_for(&mut simulation, 8 * SECOND);
    let rest = traffic_by_role(&simulation).map(|all| Rate::of(all.into_iter(), 8 * SECOND));
    (0..3).for_each(|at| figures.rest[at].add(rest[at], part));
    // Three of ten members are down just before the change; of the relays never both of a zone.
    let first = simulation.first_member;
    let is_down = |at: usize| {
        down && if at < first { at.is_multiple_of(2) && at % 5 < 3 } else { (at - first) % 10 < 3 }
    };
    let all = 0..simulation.processes.len();
    all.clone().filter(|at| is_down(*at)).for_each(|at| simulation.kill(at));
    clear_traffic(&mut simulation);
    let started_at = simulation.consensus.now;
    let document: String = "x".repeat(DOCUMENT_BYTES);
    simulation.propose(0, Rules { barrier: use_barrier, ..simulation.config.rules }, &document);
    let live_members: Vec<usize> = all.filter(|at| *at >= first && !is_down(*at)).collect();
    // Until each member has activated the change once: where messages are lost, some members are without a lease for a moment.
    while simulation.consensus.now < started_at + MAX_STEP_TIME
        && !live_members.iter().all(|at| simulation.processes[*at].last_activation.0 == 1)
    {
        let until = simulation.consensus.now + 20 * MS;
        simulation.run(until);
    }
    figures.decided.push(simulation.decided.get(&1).map_or(MAX_STEP_TIME, |one| one.0 - started_at));
    for at in &live_members {
        let (number, time) = simulation.processes[*at].last_activation;
        figures.in_force.push(if number == 1 { time - started_at } else { MAX_STEP_TIME });
        figures.never += usize::from(number != 1);
    }
    run_for(&mut simulation, SECOND);
    for (sum, peak) in figures.peak.iter_mut().zip(peaks(&simulation)) {
        *sum = (sum.0.max(peak.0), sum.1.max(peak.1));
    }
    let has_other_version = live_members
        .iter()
        .any(|at| !matches!(simulation.permit(*at), AdmissionPermit::Admit(1) | AdmissionPermit::Deny));
    figures.violations += usize::from(
        simulation.violation.is_some() || simulation.consensus.violation.is_some() || has_other_version,
    );
}

/// Milliseconds until decided; until active as p50, p99, maximum.
fn times(figures: &mut Figures) -> String {
    let ms = |time: Time| format!("{:.0}", time as f64 / MS as f64);
    figures.in_force.sort_unstable();
    let at = |part: f64| {
        let at = ((figures.in_force.len().max(1) - 1) as f64 * part).round() as usize;
        ms(figures.in_force.get(at).copied().unwrap_or(MAX_STEP_TIME))
    };
    let decided = figures.decided.iter().max().copied().unwrap_or(MAX_STEP_TIME);
    format!("{} | {} | {} | {}", ms(decided), at(0.5), at(0.99), at(1.0))
}

fn simulate_isolation(members: usize, relays: usize) -> String {
    let Some(mut simulation) = start_and_join(members, relays, 1) else {
        return "never joined | | | | | |".into();
    };
    let region = REGIONS - 1;
    let of: Vec<usize> = (simulation.first_member..simulation.processes.len())
        .filter(|at| simulation.processes[*at].region == region)
        .collect();
    simulation.isolate_region(region);
    run_for(&mut simulation, 4 * SECOND);
    let started_at = simulation.consensus.now;
    simulation.propose(0, simulation.config.rules, &"x".repeat(DOCUMENT_BYTES));
    while simulation.active_version() != 1 && simulation.consensus.now < started_at + MAX_STEP_TIME {
        run_for(&mut simulation, 20 * MS);
    }
    let decided = (simulation.consensus.now - started_at) / MS;
    run_for(&mut simulation, ISOLATION_TIME);
    clear_traffic(&mut simulation);
    run_for(&mut simulation, 8 * SECOND);
    let rest = Rate::of(traffic_by_role(&simulation)[2].iter().copied(), 8 * SECOND);
    clear_traffic(&mut simulation);
    let reconnected_at = simulation.consensus.now;
    simulation.reconnect_regions();
    while of.iter().any(|at| simulation.permit(*at) != AdmissionPermit::Admit(1))
        && simulation.consensus.now < reconnected_at + MAX_STEP_TIME
    {
        run_for(&mut simulation, 20 * MS);
    }
    let recovery_ms = (simulation.consensus.now - reconnected_at) / MS;
    run_for(&mut simulation, SECOND);
    let peak = peaks(&simulation)[2];
    let violations = if simulation.violation.is_some() { "yes" } else { "no" };
    format!(
        "{} | {decided} | {recovery_ms} | {:.0} / {:.0} | {} / {} | {violations}",
        of.len(),
        rest.received + rest.sent,
        rest.received_bytes + rest.sent_bytes,
        peak.0,
        peak.1
    )
}

/// Prints the tables row by row, as large fleets take minutes.
pub fn table(seeds: u64, max_members: usize) {
    println!(
        "Simulated, {seeds} seeds; 3 control replicas, 8 regions, 17 zones with two relays each, or none; 1 to 2 ms delay for each message inside a region, 40 to 41 \
         between two, 5 to 10 between control replicas; lease 2 s, a check takes 5 ms, a document has {DOCUMENT_BYTES} bytes. Down: 3 of 10 members, and with \
         relays 11 of the 34, are down just before the change. Rates are means at rest, in / out a second; peaks are messages / bytes, in and out \
         summed, of the busiest second of the change at the busiest process; those of the control replica exclude messages between replicas.\n\n\
         | members | way | lost | down | barrier | decided, maximum ms | active ms, p50 | p99 | maximum | member: messages | bytes | peak | relay: messages | \
         bytes | peak | control replica: messages | bytes | peak | never, or invariant violated |\n{}",
        "| --- ".repeat(19) + "|"
    );
    let sizes: Vec<usize> =
        [300, 1_000, 3_000, 5_800].into_iter().filter(|size| *size <= max_members).collect();
    for members in &sizes {
        for (lost, down) in [(0, false), (100, false), (10, false), (10, true)] {
            for use_barrier in [false, true] {
                for relays in [0, 2] {
                    // Large fleets without relays take long to simulate, and one seed shows their cost.
                    let many = if relays == 0 && *members > 300 { 1 } else { seeds };
                    let mut figures = Figures::default();
                    for seed in 1..=many {
                        simulate_change(
                            seed,
                            *members,
                            relays,
                            (lost, down, use_barrier),
                            &mut figures,
                            1.0 / many as f64,
                        );
                    }
                    let share = if lost == 0 { 0.0 } else { 100.0 / lost as f64 };
                    let [member, relay, replica] = figures.rest;
                    let peak = figures.peak.map(|peak| format!("{} / {}", peak.0, peak.1));
                    println!(
                        "| {members} | {} | {share:.0}% | {} | {} | {} | {member} | {} | {relay} | {} | {replica} | {} | {}, {} of {many} |",
                        if relays == 0 { "direct" } else { "relays" },
                        if down { "30%" } else { "0" },
                        if use_barrier { "yes" } else { "no" },
                        times(&mut figures),
                        peak[0],
                        peak[1],
                        peak[2],
                        figures.never,
                        figures.violations,
                    );
                }
            }
        }
    }
    println!(
        "\nA region isolated for {} s (in place of an hour) and reconnected, a change meanwhile, no other loss, one seed. Messages and bytes a \
         second of the leading control replica, in and out summed, during the isolation, and in the busiest second after:\n\n\
         | members | way | of them isolated | decided after ms | all active again after ms | control replica during isolation | control replica, peak | invariant violated |\n{}",
        ISOLATION_TIME / SECOND,
        "| --- ".repeat(8) + "|"
    );
    for members in &sizes {
        for relays in [0, 2] {
            let way = if relays == 0 { "direct" } else { "relays" };
            println!("| {members} | {way} | {} |", simulate_isolation(*members, relays));
        }
    }
}
