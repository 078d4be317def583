//! What forwarders and planners say to each other and hold, by workers: the real messages as they are written, the real tables.

use super::row::{How, Row};
use super::targets::DATAGRAM;
use super::{heap, timed};
use cypresscleat_forwarding::capacity_plan::CapacityPlan;
use cypresscleat_forwarding::load_balancer::{AttemptOutcome, LoadBalancer};
use cypresscleat_forwarding::messages::{
    encode, Demand, Envelope, Grant, LoadReport, Message, WorkerObservation, MAX_GRANTS,
};
use cypresscleat_forwarding::node_id;
use std::time::Instant;

/// Operations in a report.
const OPERATIONS: u16 = 8;
/// Forwarders that report to a planner while it plans.
const FORWARDERS: u64 = 20;
/// Reports and grants in a second.
const TIMES: f64 = 2.0;

fn worker(at: u64) -> u64 {
    node_id(&format!("worker-{at}"))
}

fn report(workers: u64) -> LoadReport {
    let demand = |class| Demand { class, rate: 123.4, queued: 17, weight: 1.5 };
    let sight = |at| WorkerObservation {
        worker: worker(at),
        in_flight: 40,
        ended: 345.6,
        rejected: 1.25,
        latency: 312.5,
    };
    LoadReport {
        number: 100_000,
        demands: (0..OPERATIONS).map(demand).collect(),
        observations: (0..workers).map(sight).collect(),
        epoch: 1 << 20,
    }
}

fn grants(workers: u64) -> Message {
    let grant = |at| Grant { worker: worker(at), slots: 40 };
    let grants = (0..workers).map(grant).collect();
    Message::Grants { epoch: 1 << 20, number: 100_000, report: 100_000, duration: 20_000, grants }
}

/// Bytes of a message on its way; `None` where it is too long to be written.
fn bytes(message: Message) -> Option<f64> {
    let envelope = Envelope { from: worker(1_000_000), incarnation: 1, updates: Vec::new(), message };
    let mut out = Vec::new();
    encode(&mut out, &envelope).then_some(out.len() as f64)
}

/// Bytes of a report with a sight of each of so many workers, and of grants on each.
pub fn written(workers: u64) -> (Option<f64>, Option<f64>) {
    (bytes(Message::Report(report(workers))), bytes(grants(workers)))
}

/// The most workers for which it is written and goes into one datagram.
pub fn most(of: impl Fn(u64) -> Option<f64>) -> u64 {
    let (mut fits, mut fails) = (0, 1 << 20);
    while fits + 1 < fails {
        let middle = (fits + fails) / 2;
        match of(middle).is_some_and(|bytes| bytes <= DATAGRAM) {
            true => fits = middle,
            false => fails = middle,
        }
    }
    fits
}

pub fn messages(sizes: &[u64], tell: &mut dyn FnMut(&str)) -> Vec<Row> {
    let mut rows = Vec::new();
    let mut add = |role: &str, size: u64, metric: &str, value: f64, unit: &str| {
        rows.push(Row::new(role, size, metric, value, unit, How::Simulated));
    };
    for &size in sizes {
        tell(&format!("messages, {size} workers"));
        let (report, grants) = written(size);
        if let Some(bytes) = report {
            add("forwarder", size, "report, bytes in one datagram by workers", bytes, "B");
            add("forwarder", size, "report, bytes out to a planner by workers", TIMES * bytes, "B/s");
        }
        if let Some(bytes) = grants {
            add("planner", size, "grants, bytes in one datagram by workers", bytes, "B");
            add("planner", size, "grants, bytes out to a forwarder by workers", TIMES * bytes, "B/s");
        }
        add("planner", size, "grants, entries in one datagram by workers", size as f64, "entries");
        add("forwarder", size, "report, entries in one datagram by workers", size as f64, "entries");
    }
    if sizes.is_empty() {
        return rows;
    }
    tell("messages, the bounds");
    let (report, grants) = (most(|many| written(many).0), most(|many| written(many).1));
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

pub fn tables(sizes: &[u64], seed: u64, tell: &mut dyn FnMut(&str)) -> Vec<Row> {
    let mut rows = Vec::new();
    for &size in sizes {
        tell(&format!("tables, {size} workers"));
        let mut add = |role: &str, metric: &str, value: f64, unit: &str| {
            rows.push(Row::new(role, size, &format!("{metric} by workers"), value, unit, How::Simulated));
        };
        let began = Instant::now();
        let (mut routes, held) = heap::of(|| {
            let mut routes = LoadBalancer::new(seed);
            (0..size).for_each(|at| routes.set_worker(0, worker(at), 50.0, true));
            routes
        });
        add("forwarder", "table, made of none", began.elapsed().as_secs_f64() * 1e3, "ms");
        if held > 0.0 {
            add("forwarder", "table, bytes in all", held, "B");
        }
        let mut ends = |subject: fn(u64) -> Option<u64>| {
            let mut turn = 0u64;
            timed(|| {
                turn = turn.wrapping_add(0x9e37_79b9_7f4a_7c15);
                if let Some(id) = routes.choose(subject(turn), &[]) {
                    routes.record_start(id);
                    routes.record_end(10, id, AttemptOutcome::Succeeded, 100, 0);
                }
            })
        };
        let (drawn, home) = (ends(|_| None), ends(Some));
        add("forwarder", "table, a decision without a subject", drawn, "us");
        add("forwarder", "table, a decision with a subject", home, "us");
        let looks = timed(|| routes.tick(20));
        add("forwarder", "table, a look at all", looks, "us");

        let mut plan = CapacityPlan::default();
        (0..size).for_each(|at| plan.set_worker(worker(at), 50.0));
        (0..FORWARDERS)
            .for_each(|from| plan.record_report(0, node_id(&format!("forwarder-{from}")), report(size)));
        let gives = timed(|| drop(std::hint::black_box(plan.grants())));
        add("planner", "plan for 20 forwarders, processor time of grants", gives, "us");
        add("planner", "plan for 20 forwarders, processor time twice a second", gives * TIMES / 1e6, "cores");
    }
    rows
}
