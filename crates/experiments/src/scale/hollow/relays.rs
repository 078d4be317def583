//! Relays by zone, each a real process, between real control replicas and simulated rollout members: at rest, during a change, and where
//! relays are killed during a change. Zones have as many members as at the target size.

use super::keeper::{change, text, wait, EACH, JOIN, REST};
use super::members::{InstanceGroup, InstanceKind};
use super::rig::{Limits, Program, Quorum, Spent};
use super::{report_failure, Count, HEADERS};
use crate::scale::row::{Measurement, MeasurementKind};
use crate::scale::targets::TARGETS;
use cypresscleat_fault_injection::{free_port, Process};
use cypresscleat_server::leases::ControlReplicas;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Number of members for the test that kills relays during a change.
const KILLED_AT: u64 = 300;

pub fn rows(
    program: &Program,
    limits: &Limits,
    sizes: &[u64],
    progress: &mut dyn FnMut(&str),
) -> Result<Vec<Measurement>, String> {
    let mut rows = Vec::new();
    for size in sizes.iter().copied() {
        if !limits.allow(size, 1, EACH) {
            progress(&format!("hollow: {size} members behind relays are left out: past {limits}"));
            continue;
        }
        let done = members(program, size, REST, &mut rows, progress);
        report_failure(done, &format!("{size} members behind relays"), progress);
    }
    if sizes.contains(&KILLED_AT) {
        let done = killed(program, KILLED_AT, &mut rows, progress);
        report_failure(done, &format!("a relay killed at {KILLED_AT} members"), progress);
    }
    Ok(rows)
}

/// A zone: two relays and the zone's members.
struct Zone {
    relays: Vec<Process>,
    /// The relays, which the members use in place of the control replicas.
    set: ControlReplicas,
    instances: InstanceGroup,
}

/// Control replicas, zones with their relays, and members that have all joined.
struct Fleet {
    quorum: Quorum,
    zones: Vec<Zone>,
}

impl Fleet {
    fn start(program: &Program, size: u64, rows: &mut Vec<Measurement>) -> Result<Fleet, String> {
        let quorum = Quorum::start(program)?;
        let in_zone = TARGETS.app_servers / TARGETS.zones;
        let many = (size / in_zone).clamp(1, TARGETS.zones);
        let mut zones = Vec::new();
        for zone in 0..many {
            let names = (0..2).map(|at| format!("z{zone}r{at}"));
            let replicas: Vec<_> = names.map(|name| (name, free_port())).collect();
            let mut relays = Vec::new();
            for (name, listen) in &replicas {
                let folder = quorum.folder.0.join(name);
                let set = format!("{{listen: \"{listen}\", folder: \"{}\", most: 2s}}", folder.display());
                let text = format!("keepers: {{{}}}\nrelay: {set}\n", quorum.listed());
                let path = quorum.folder.put(&format!("{name}.cue"), &text)?;
                let words = ["relay", "--operator", &path, "--name", name];
                let mut relay = Process::new(name, &program.path, &words);
                relay.start();
                relays.push(relay);
            }
            let set = ControlReplicas { lease: quorum.set.lease, replicas, folder: None };
            // The first zones have the remainder of the division.
            let members = size / many + u64::from(zone < size % many);
            let instances = InstanceGroup::start(InstanceKind::Members, members, &set)?;
            zones.push(Zone { relays, set, instances });
        }
        let fleet = Fleet { quorum, zones };
        let took = wait(JOIN, || fleet.had(0).len() as u64 >= size);
        let took =
            took.ok_or(format!("{} of {size} have joined in {} s", fleet.had(0).len(), JOIN.as_secs()))?;
        put(
            rows,
            "relay",
            size,
            "time until all that start at once have begun",
            took.as_secs_f64() * 1e3,
            "ms",
        );
        sleep(Duration::from_secs(2));
        Ok(fleet)
    }

    fn had(&self, version: u64) -> Vec<Instant> {
        self.zones.iter().flat_map(|zone| zone.instances.counters.had(version)).collect()
    }

    fn keepers(&self) -> Vec<Spent> {
        self.quorum.processes().iter().map(|one| Spent::of(one.1)).collect()
    }

    fn relays(&self) -> Vec<Spent> {
        let all = self.zones.iter().flat_map(|zone| &zone.relays);
        all.map(|relay| relay.id().map_or(Spent::default(), Spent::of)).collect()
    }

    /// Traffic of each relay with its members.
    fn counts(&self) -> Vec<Count> {
        let of = |zone: &Zone| -> Vec<Count> {
            zone.set.replicas.iter().map(|one| zone.instances.counters.count(Some(one.1))).collect()
        };
        self.zones.iter().flat_map(of).collect()
    }

    fn out(&self) -> f64 {
        self.zones.iter().map(|zone| zone.instances.counters.out() as f64).sum()
    }

    fn end(self) -> Result<(), String> {
        self.zones.into_iter().try_for_each(|zone| zone.instances.end())
    }
}

fn put(rows: &mut Vec<Measurement>, role: &str, size: u64, what: &str, value: f64, unit: &str) {
    let metric = format!("rollout through relays: {what} by members");
    rows.push(Measurement::new(role, size, &metric, value, unit, MeasurementKind::Hollow));
}

/// Maximum processor use of any process between two readings, in cores.
fn busiest(before: &[Spent], now: &[Spent], span: Duration) -> f64 {
    let spent = before.iter().zip(now).map(|(before, now)| now.seconds_since(before));
    spent.fold(0.0, f64::max) / span.as_secs_f64()
}

/// At rest, then a change with a short document and one with a document of maximum size.
fn members(
    program: &Program,
    size: u64,
    rest: Duration,
    rows: &mut Vec<Measurement>,
    progress: &mut dyn FnMut(&str),
) -> Result<(), String> {
    let mut fleet = Fleet::start(program, size, rows)?;
    progress(&format!("hollow: {size} members have joined behind {} relays", 2 * fleet.zones.len()));
    let (keepers, relays, before) = (fleet.keepers(), fleet.relays(), fleet.counts());
    let began = Instant::now();
    sleep(rest);
    let (span, counts) = (began.elapsed(), fleet.counts());
    put(rows, "keeper", size, "cores at rest", busiest(&keepers, &fleet.keepers(), span), "cores");
    let now = fleet.relays();
    put(rows, "relay", size, "cores at rest", busiest(&relays, &now, span), "cores");
    let resident = now.iter().map(|one| one.resident).max().unwrap_or(0);
    put(rows, "relay", size, "memory at rest", resident as f64, "B");
    let since: Vec<Count> = counts.iter().zip(&before).map(|(now, before)| now.since(before)).collect();
    let most =
        |of: &dyn Fn(&Count) -> u64| since.iter().map(of).max().unwrap_or(0) as f64 / span.as_secs_f64();
    put(
        rows,
        "relay",
        size,
        "messages in and out at rest",
        most(&|c| c.messages_in + c.messages_out),
        "messages/s",
    );
    let bytes = |c: &Count| c.bytes_in + c.bytes_out + (c.messages_in + c.messages_out) * HEADERS;
    put(rows, "relay", size, "bytes in and out at rest, headers with them", most(&bytes), "B/s");
    let all: u64 = since.iter().map(bytes).sum();
    let each = all as f64 / span.as_secs_f64() / size as f64;
    put(rows, "app-server", size, "bytes in and out at rest, headers with them", each, "B/s");
    for (name, text) in [
        ("change of 0.1 KiB", text(2, 0)),
        ("change of 16 KiB", text(3, cypresscleat_rollout::MAX_DOCUMENT_BYTES)),
    ] {
        let (began, keepers, relays) = (Instant::now(), fleet.keepers(), fleet.relays());
        let Fleet { quorum, zones } = &mut fleet;
        let have = |version| zones.iter().flat_map(|zone| zone.instances.counters.had(version)).collect();
        let changed = change(quorum, &have, size, &text, |_| {})?;
        sleep(Duration::from_secs(1));
        changed.rows(rows, size, &format!("{name}, through relays"));
        let second = Duration::from_secs(1);
        let spent = busiest(&keepers, &fleet.keepers(), second) * 1e3;
        put(rows, "keeper", size, &format!("{name}: processor time"), spent, "ms");
        let spent = busiest(&relays, &fleet.relays(), second) * 1e3;
        put(rows, "relay", size, &format!("{name}: processor time"), spent, "ms");
        let peaks = fleet.zones.iter().flat_map(|zone| {
            zone.set.replicas.iter().map(|one| zone.instances.counters.peak(one.1, began)).collect::<Vec<_>>()
        });
        let peak = peaks.max().unwrap_or(0) as f64;
        put(
            rows,
            "relay",
            size,
            &format!("{name}: peak payload and header bytes in one second"),
            peak,
            "B/s",
        );
        let has = size - changed.missing;
        progress(&format!(
            "hollow: {name} through relays at {size}: {has} activated it, {} ms",
            changed.span.as_millis()
        ));
    }
    put(rows, "app-server", size, "times out of service", fleet.out(), "times");
    fleet.end()
}

/// One relay of each zone is killed during a change.
fn killed(
    program: &Program,
    size: u64,
    rows: &mut Vec<Measurement>,
    progress: &mut dyn FnMut(&str),
) -> Result<(), String> {
    let mut fleet = Fleet::start(program, size, &mut Vec::new())?;
    let Fleet { quorum, zones } = &mut fleet;
    let counters: Vec<_> = zones.iter().map(|zone| zone.instances.counters.clone()).collect();
    let have = |version| counters.iter().flat_map(|counters| counters.had(version)).collect();
    let changed = change(quorum, &have, size, &text(2, 0), |_| {
        zones.iter_mut().for_each(|zone| zone.relays[0].kill());
    })?;
    changed.rows(rows, size, "change of 0.1 KiB, one relay of each zone killed in it");
    put(rows, "app-server", size, "one relay killed in a change: times out of service", fleet.out(), "times");
    progress(&format!("hollow: a relay killed in a change at {size}: {} ms", changed.span.as_millis()));
    fleet.end()
}
