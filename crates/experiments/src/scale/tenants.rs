//! The cost of routes and tenants for an app server: bytes, and time of a decision.

use super::row::{Measurement, MeasurementKind};
use super::{heap, timed};
use cypresscleat_scgi::request::{self, Reader};
use cypresscleat_scheduler::*;
use cypresscleat_server::listeners::routes::{HeaderOr, Route, Routes};
use cypresscleat_server::pool::BufferPool;
use std::time::Instant;

const ROLE: &str = "app-server";

/// Records the scheduler's commands: the request to run, and the delay until the next tick.
#[derive(Default)]
struct RecordingHost {
    run: Option<RequestSlot>,
    next_tick: Time,
}

impl Host for RecordingHost {
    fn run(&mut self, inv: RequestSlot) {
        self.run = Some(inv);
    }
    fn reject(&mut self, _: RequestSlot, _: Rejection) {}
    fn fail(&mut self, _: RequestSlot, _: FailReason) {}
    fn stop(&mut self, _: RequestSlot) {}
    fn call(&mut self, _: RequestSlot, _: Time) {}
    fn skip_call(&mut self, _: RequestSlot) {}
    fn retain_for_retries(&mut self, _: RequestSlot, _: Time) {}
    fn replay_result(&mut self, _: RequestSlot) {}
    fn set_health(&mut self, _: bool, _: bool) {}
    fn send_load_feedback(&mut self, _: f64) {}
    fn close_idle_connections(&mut self, _: Time) {}
    fn set_timer(&mut self, after: Time) {
        self.next_tick = after;
    }
    fn log(&mut self, _: &SchedulerEvent) {}
    fn release(&mut self, _: RequestSlot) {}
}

fn settings(tenants: u64, seed: u64) -> Settings {
    let operation = RequestClass {
        latency_objective: 2_000,
        timeout: 20_000,
        priority_weight: 1.0,
        late_share: 0.5,
        ..RequestClass::default()
    };
    Settings {
        classes: vec![operation; 8],
        tenant_rates: (0..tenants).map(|at| 1.0 + (at % 100) as f64).collect(),
        over_quota_share: 0.1,
        fleet_size: 5_800.0,
        client_count: 8.0,
        cores: 4.0,
        memory_kb: 60_000.0,
        running_memory_factor: 8.0,
        stop_mode: StopMode::Discard,
        answer_slack: 600,
        drain_grace: 10_000,
        overload_multiple: 3.0,
        max_retry_after: 10_000,
        seed,
        ..Settings::default()
    }
}

fn name(at: u64) -> String {
    format!("tenant-{at:06}")
}

pub fn tenants(sizes: &[u64], seed: u64, progress: &mut dyn FnMut(&str)) -> Vec<Measurement> {
    let mut rows = Vec::new();
    for &size in sizes {
        progress(&format!("tenants, {size}"));
        let mut add = |metric: &str, value: f64, unit: &str| {
            rows.push(Measurement::new(
                ROLE,
                size,
                &format!("{metric} by tenants"),
                value,
                unit,
                MeasurementKind::Simulated,
            ));
        };
        let mut host = RecordingHost::default();
        let set = settings(size, seed);
        let started_at = Instant::now();
        let (mut scheduler, heap_bytes) = heap::measure(|| Scheduler::start(0, set, &mut host));
        add("tenants, start of the decisions", started_at.elapsed().as_secs_f64() * 1e3, "ms");
        let (names, name_bytes) = heap::measure(|| (0..size).map(name).collect::<Vec<String>>());
        if heap_bytes > 0.0 {
            add("tenants, shares and names, bytes in all", heap_bytes + name_bytes, "B");
        }
        let (mut now, mut turn) = (0, 0u64);
        let cycle = timed(|| {
            now += 10;
            turn = turn.wrapping_add(0x9e37_79b9_7f4a_7c15);
            let customer = Some((turn % size.max(1)) as usize);
            scheduler.handle_arrival(
                now,
                Arrival { slot: 0, class: 0, tenant: customer, ..Arrival::default() },
                &mut host,
            );
            if host.run.take().is_some() {
                scheduler.handle_run_completed(now, 0, Outcome::Succeeded, &mut host);
            }
            if now % 200 == 0 {
                scheduler.tick(now, Gauges::default(), &mut host);
            }
        });
        add("tenants, a decision with its part of the ticks", cycle, "us");
        let tick = timed(|| {
            now += host.next_tick.max(1);
            scheduler.tick(now, Gauges::default(), &mut host);
        });
        add("tenants, the periodic look", tick, "us");
        let span = host.next_tick.max(1) as f64 * 100.0;
        add("tenants, the periodic look, processor time", tick / span, "cores");
        let found = time_last_tenant(size, &names);
        add("tenants, a decision's tenant found by its name, the last one", found, "us");
    }
    rows
}

fn route(path: String, tenant: HeaderOr<Option<usize>>) -> Route {
    Route {
        path,
        methods: vec!["GET".into(), "POST".into()],
        class: 0,
        tenant,
        client_priority: HeaderOr { header: None, default_value: 0.5 },
        timeout: HeaderOr { header: None, default_value: None },
        expected_work: HeaderOr { header: None, default_value: None },
        memory_kb: 1.0,
        content_type: "application/json".into(),
        idempotency_key_header: None,
    }
}

/// Microseconds to read a gateway's request that names the last tenant in the table.
fn time_last_tenant(tenants: u64, names: &[String]) -> f64 {
    let customer = HeaderOr { header: Some("HTTP_X_TENANT".into()), default_value: None };
    let routes = Routes::new(vec![route("/".into(), customer)], names);
    let tenant = name(tenants.saturating_sub(1));
    let fields: [(&str, &[u8]); 3] =
        [("REQUEST_METHOD", b"GET"), ("PATH_INFO", b"/orders"), ("HTTP_X_TENANT", tenant.as_bytes())];
    let mut bytes = Vec::new();
    if request::write(&mut bytes, &fields, b"").is_err() {
        return f64::NAN;
    }
    let pool = BufferPool::new(16);
    let mut buffer = pool.take();
    buffer.push(&bytes);
    let mut reader = Reader::new(Default::default());
    let Ok(Some(read)) = reader.read(&buffer) else { return f64::NAN };
    if routes.parse_request([0; 16], 0, &buffer, &read).is_err() {
        return f64::NAN;
    }
    timed(|| {
        std::hint::black_box(routes.parse_request([0; 16], 0, &buffer, &read).is_ok());
    })
}

pub fn routes(sizes: &[u64], progress: &mut dyn FnMut(&str)) -> Vec<Measurement> {
    let mut rows = Vec::new();
    for &size in sizes {
        progress(&format!("routes, {size}"));
        let mut add = |metric: &str, value: f64, unit: &str| {
            rows.push(Measurement::new(
                ROLE,
                size,
                &format!("{metric} by routes"),
                value,
                unit,
                MeasurementKind::Simulated,
            ));
        };
        let path = |at: u64| format!("/service-{:04}/operation-{at:05}", at % 5_200);
        let started_at = Instant::now();
        let (routes, heap_bytes) = heap::measure(|| {
            let all = (0..size).map(|at| route(path(at), HeaderOr { header: None, default_value: None }));
            Routes::new(all.collect(), &[])
        });
        add("routes, table made", started_at.elapsed().as_secs_f64() * 1e3, "ms");
        if heap_bytes > 0.0 {
            add("routes, bytes in all", heap_bytes, "B");
        }
        let mut turn = 0u64;
        let paths: Vec<String> = (0..64)
            .map(|_| {
                turn = turn.wrapping_add(0x9e37_79b9_7f4a_7c15);
                path(turn % size.max(1)) + "/item"
            })
            .collect();
        let mut at = 0;
        let mean = timed(|| {
            at = (at + 1) % paths.len();
            std::hint::black_box(routes.find(&paths[at], "GET").is_ok());
        });
        add("routes, a decision's route found, any of them", mean, "us");
        let none = timed(|| {
            std::hint::black_box(routes.find("/nowhere/at/all", "GET").is_ok());
        });
        add("routes, a decision that finds no route", none, "us");
    }
    rows
}
