//! Messages and tables of forwarders and planners, by workers: the real messages as encoded, and the real tables.

use super::row::{Measurement, MeasurementKind};
use super::targets::MAX_DATAGRAM_BYTES;
use super::{heap, timed};
use cypresscleat_forwarding::capacity_plan::CapacityPlan;
use cypresscleat_forwarding::load_balancer::{AttemptOutcome, LoadBalancer};
use cypresscleat_forwarding::messages::{
    encode, Demand, Envelope, Grant, LoadReport, Message, WorkerObservation, MAX_GRANTS,
};
use cypresscleat_forwarding::node_id;
use std::time::Instant;

/// Request classes in a report.
const CLASSES: u16 = 8;
/// Forwarders that report to a planner while it plans.
const FORWARDERS: u64 = 20;
/// Reports and grants a second.
const RATE_PER_SECOND: f64 = 2.0;

fn worker(at: u64) -> u64 {
    node_id(&format!("worker-{at}"))
}

fn report(workers: u64) -> LoadReport {
    let demand = |class| Demand { class, rate: 123.4, queued: 17, weight: 1.5 };
    let observation = |at| WorkerObservation {
        worker: worker(at),
        in_flight: 40,
        ended: 345.6,
        rejected: 1.25,
        latency: 312.5,
    };
    LoadReport {
        number: 100_000,
        demands: (0..CLASSES).map(demand).collect(),
        observations: (0..workers).map(observation).collect(),
        epoch: 1 << 20,
    }
}

fn grants(workers: u64) -> Message {
    let grant = |at| Grant { worker: worker(at), slots: 40 };
    let grants = (0..workers).map(grant).collect();
    Message::Grants { epoch: 1 << 20, number: 100_000, report: 100_000, duration: 20_000, grants }
}

/// Encoded bytes of a message; `None` if the message is too long to encode.
fn bytes(message: Message) -> Option<f64> {
    let envelope = Envelope { from: worker(1_000_000), incarnation: 1, updates: Vec::new(), message };
    let mut out = Vec::new();
    encode(&mut out, &envelope).then_some(out.len() as f64)
}

/// Encoded bytes of a report with an observation of each of `workers`, and of grants for each.
pub fn encoded_sizes(workers: u64) -> (Option<f64>, Option<f64>) {
    (bytes(Message::Report(report(workers))), bytes(grants(workers)))
}

/// The maximum number of workers for which the message fits in one datagram.
pub fn max_workers(of: impl Fn(u64) -> Option<f64>) -> u64 {
    let (mut fits, mut fails) = (0, 1 << 20);
    while fits + 1 < fails {
        let middle = (fits + fails) / 2;
        match of(middle).is_some_and(|bytes| bytes <= MAX_DATAGRAM_BYTES) {
            true => fits = middle,
            false => fails = middle,
        }
    }
    fits
}

pub fn messages(sizes: &[u64], progress: &mut dyn FnMut(&str)) -> Vec<Measurement> {
    let mut rows = Vec::new();
    let mut add = |role: &str, size: u64, metric: &str, value: f64, unit: &str| {
        rows.push(Measurement::new(role, size, metric, value, unit, MeasurementKind::Simulated));
    };
    for &size in sizes {
        progress(&format!("messages, {size} workers"));
        let (report, grants) = encoded_sizes(size);
        if let Some(bytes) = report {
            add("forwarder", size, "report, bytes in one datagram by workers", bytes, "B");
            add(
                "forwarder",
                size,
                "report, bytes out to a planner by workers",
                RATE_PER_SECOND * bytes,
                "B/s",
            );
        }
        if let Some(bytes) = grants {
            add("planner", size, "grants, bytes in one datagram by workers", bytes, "B");
            add(
                "planner",
                size,
                "grants, bytes out to a forwarder by workers",
                RATE_PER_SECOND * bytes,
                "B/s",
            );
        }
        add("planner", size, "grants, entries in one datagram by workers", size as f64, "entries");
        add("forwarder", size, "report, entries in one datagram by workers", size as f64, "entries");
    }
    if sizes.is_empty() {
        return rows;
    }
    progress("messages, maximum sizes");
    let (report, grants) =
        (max_workers(|workers| encoded_sizes(workers).0), max_workers(|workers| encoded_sizes(workers).1));
    add("forwarder", report, "report, workers at which a datagram is full", report as f64, "workers");
    add("planner", grants, "grants, workers at which a datagram is full", grants as f64, "workers");
    add(
        "planner",
        MAX_GRANTS as u64,
        "grants and sights, entries past which they are cut",
        MAX_GRANTS as f64,
        "entries",
    );
    rows
}

pub fn tables(sizes: &[u64], seed: u64, progress: &mut dyn FnMut(&str)) -> Vec<Measurement> {
    let mut rows = Vec::new();
    for &size in sizes {
        progress(&format!("tables, {size} workers"));
        let mut add = |role: &str, metric: &str, value: f64, unit: &str| {
            rows.push(Measurement::new(
                role,
                size,
                &format!("{metric} by workers"),
                value,
                unit,
                MeasurementKind::Simulated,
            ));
        };
        let started_at = Instant::now();
        let (mut routes, heap_bytes) = heap::measure(|| {
            let mut routes = LoadBalancer::new(seed);
            (0..size).for_each(|at| routes.set_worker(0, worker(at), 50.0, true));
            routes
        });
        add("forwarder", "table, made of none", started_at.elapsed().as_secs_f64() * 1e3, "ms");
        if heap_bytes > 0.0 {
            add("forwarder", "table, bytes in all", heap_bytes, "B");
        }
        let mut time_decision = |subject: fn(u64) -> Option<u64>| {
            let mut turn = 0u64;
            timed(|| {
                turn = turn.wrapping_add(0x9e37_79b9_7f4a_7c15);
                if let Some(id) = routes.choose(subject(turn), &[]) {
                    routes.record_start(id);
                    routes.record_end(10, id, AttemptOutcome::Succeeded, 100, 0);
                }
            })
        };
        let (drawn, home) = (time_decision(|_| None), time_decision(Some));
        add("forwarder", "table, a decision without a subject", drawn, "us");
        add("forwarder", "table, a decision with a subject", home, "us");
        let tick_us = timed(|| routes.tick(20));
        add("forwarder", "table, a look at all", tick_us, "us");

        let mut plan = CapacityPlan::default();
        (0..size).for_each(|at| plan.set_worker(worker(at), 50.0));
        (0..FORWARDERS)
            .for_each(|from| plan.record_report(0, node_id(&format!("forwarder-{from}")), report(size)));
        let grants_us = timed(|| drop(std::hint::black_box(plan.grants())));
        add("planner", "plan for 20 forwarders, processor time of grants", grants_us, "us");
        add(
            "planner",
            "plan for 20 forwarders, processor time twice a second",
            grants_us * RATE_PER_SECOND / 1e6,
            "cores",
        );
    }
    rows
}
