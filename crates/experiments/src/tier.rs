//! Costs of forwarding: three ways to track cluster membership, and a forwarder's load balancer compared with a plain scan.

use cypresscleat_forwarding::load_balancer::{least_loaded, AttemptOutcome, LoadBalancer};
use cypresscleat_forwarding::membership::MembershipConfig;
use cypresscleat_forwarding::simulation::{compute_heartbeats, measure_gossip, MembershipCost};
use std::time::{Duration, Instant};

fn row(out: &mut String, way: &str, loss: f64, cost: &MembershipCost) {
    let MembershipCost { members, messages, bytes, half_informed_ms, all_informed_ms, false_deaths } = cost;
    *out += &format!(
        "| {way} | {members} | {:.0}% | {messages:.1} | {bytes:.0} | {half_informed_ms:.0} | {all_informed_ms:.0} | {false_deaths:.4} |\n",
        loss * 100.0
    );
}

/// Nanoseconds to choose a worker and record the end of a request: by the load balancer, and by a scan.
fn time_lookups(worker_count: u64) -> (f64, f64) {
    let mut routes = LoadBalancer::new(1);
    for id in 0..worker_count {
        routes.set_worker(0, id, 50.0, true);
    }
    let timed = |routes: &mut LoadBalancer, choose: fn(&mut LoadBalancer) -> Option<u64>| {
        let (began, mut turns) = (Instant::now(), 0u32);
        while began.elapsed() < Duration::from_millis(200) {
            for _ in 0..20 {
                if let Some(id) = choose(routes) {
                    routes.record_start(id);
                    routes.record_end(10, id, AttemptOutcome::Succeeded, 100, 0);
                }
            }
            turns += 20;
        }
        began.elapsed().as_nanos() as f64 / f64::from(turns)
    };
    let by_balancer = timed(&mut routes, |routes| routes.choose(None, &[]));
    let by_scan = timed(&mut routes, |routes| least_loaded(routes));
    (by_balancer, by_scan)
}

/// Membership costs by cluster size, and times to choose a worker, as Markdown tables.
pub fn table(max_members: usize) -> String {
    let mut out = "Each way, for each member and second; half and all: ms until that share of members has detected a dead member; false deaths for\n\
                   each hundred members and minute. Gossip is simulated, heartbeats are computed.\n\n\
                   | way | members | loss | messages | bytes | half, ms | all, ms | false deaths |\n\
                   | --- | --- | --- | --- | --- | --- | --- | --- |\n"
        .to_string();
    for loss in [0.01, 0.1] {
        for count in [10, 100, 1000, 10_000] {
            if count <= max_members {
                row(&mut out, "gossip", loss, &measure_gossip(count, loss, 7, MembershipConfig::default()));
            }
            row(&mut out, "all to all, 4 missed", loss, &compute_heartbeats(count, loss, true, 4));
            row(&mut out, "a planner's list, 4 missed", loss, &compute_heartbeats(count, loss, false, 4));
        }
    }
    out += "\n| workers | choice and end by the load balancer, ns | by a scan, ns |\n| --- | --- | --- |\n";
    for count in [10, 300, 5_000] {
        let (by_balancer, by_scan) = time_lookups(count);
        out += &format!("| {count} | {by_balancer:.0} | {by_scan:.0} |\n");
    }
    out
}
