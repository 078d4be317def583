//! Compares the results of the pools over a long seeded run with a recording: every limit and queue measurement to the last bit,
//! every decision in order, and the log line. Guards against an unintended change of a constant or of the order of arithmetic
//! operations.

use cypresscleat_concurrency::limit::{Limit, Limiter, Sample};
use cypresscleat_concurrency::{ClassUsage, PoolConfig, Pools, PoolsConfig};
use cypresscleat_primitives::SeededRng;

/// FNV-1a over 64-bit words.
struct Digest(u64);

impl Digest {
    fn add(&mut self, word: u64) {
        for byte in word.to_le_bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
    fn add_f64(&mut self, value: f64) {
        self.add(value.to_bits());
    }
}

#[derive(Clone, Copy)]
struct QueuedRequest {
    class: usize,
    size: f64,
    kb: f64,
    within_quota: bool,
}

struct RunningRequest {
    request: QueuedRequest,
    started: i64,
}

const CLASSES: usize = 5;
const MEMORY_KB: f64 = 4_000.0;

fn config(limiter: Limiter) -> PoolsConfig {
    let pool = |name: &str, classes: &[usize], min_share, max_share, weight, reserve| PoolConfig {
        name: name.into(),
        classes: classes.to_vec(),
        min_share,
        max_share,
        weight,
        reserve,
    };
    let pools = vec![
        pool("status", &[0], 0.25, 1.0, 0.5, 0.125),
        pool("lookup", &[1, 2], 0.3, 0.75, 2.0, 0.1),
        pool("report", &[3], 0.0, 0.5, 1.0, 0.0),
    ];
    PoolsConfig { pools, limiter }
}

fn class_usage(queue: &[QueuedRequest], running: &[RunningRequest]) -> Vec<ClassUsage> {
    let mut class_usage: Vec<ClassUsage> =
        (0..CLASSES).map(|class| ClassUsage { class, ..ClassUsage::default() }).collect();
    for request in queue {
        let count = &mut class_usage[request.class];
        count.queued += 1;
        count.queued_size += request.size;
        count.queued_kb += request.kb;
        if !request.within_quota {
            count.over_quota += 1;
            count.over_quota_size += request.size;
        }
    }
    for run in running {
        class_usage[run.request.class].running += 1;
    }
    class_usage
}

/// Simulates 4,000 steps of 20 ms and returns the digest of all results and the last log line.
fn simulate(limiter: Limiter) -> (u64, String) {
    let mut rng = SeededRng::new(11);
    let mut random_below = |bound: u64| rng.next_u64() % bound;
    let mut digest = Digest(0xcbf2_9ce4_8422_2325);
    let mut pools = Pools::new(&config(limiter), CLASSES, 7.5);
    let (mut queue, mut running): (Vec<QueuedRequest>, Vec<RunningRequest>) = (Vec::new(), Vec::new());
    for step in 0..4_000i64 {
        let now = step * 200;
        let slowness = if (1_200..2_000).contains(&step) { 4 } else { 1 };
        for _ in 0..random_below(4) {
            let class = random_below(CLASSES as u64) as usize;
            let size = (1 + random_below(900)) as f64 / 3.0;
            let request =
                QueuedRequest { class, size, kb: random_below(64) as f64, within_quota: random_below(3) > 0 };
            pools.enqueue(now, class, request.size, request.kb);
            if !request.within_quota {
                pools.mark_over_quota(class, request.size);
            }
            queue.push(request);
        }
        running.retain(|run| {
            let has_ended = now - run.started > (run.request.size as i64 + 200) * slowness;
            if has_ended {
                pools.release(run.request.class);
                pools.record_success(run.request.class, now - run.started, run.request.size);
            }
            !has_ended
        });
        if step % 5 == 0 {
            pools.tick(now, 7.5 + (step % 300) as f64 / 100.0);
        }
        let mut position = 0;
        while position < queue.len() {
            let request = queue[position];
            let can_start = pools.can_start(now, request.class, request.within_quota);
            digest.add(u64::from(can_start));
            if can_start && running.len() < 9 {
                queue.remove(position);
                pools.dequeue(request.class, request.size, request.kb, request.within_quota);
                pools.acquire(now, request.class);
                running.push(RunningRequest { request, started: now });
            } else {
                position += 1;
            }
        }
        while queue.len() > 40 {
            let request = queue.swap_remove(random_below(queue.len() as u64) as usize);
            pools.dequeue(request.class, request.size, request.kb, request.within_quota);
            pools.record_drop(request.class);
        }
        for class in 0..CLASSES {
            for within_quota in [true, false] {
                let (work_ahead, slots) = pools.queue_ahead(class, within_quota).unwrap_or((-1.0, -1.0));
                digest.add_f64(work_ahead);
                digest.add_f64(slots);
            }
            digest.add_f64(pools.kb_reserved_by_others(class, MEMORY_KB));
            digest.add(u64::from(pools.can_evict(class, MEMORY_KB)));
            digest.add(u64::from(pools.is_same_pool(class, 2)));
        }
        pools.visit_starvation(|pool, is_starving| digest.add(pool as u64 * 2 + u64::from(is_starving)));
        for snapshot in pools.snapshots() {
            digest.add_f64(snapshot.limit);
            digest.add_f64(snapshot.latency_ratio);
            digest.add((snapshot.queued * 1_000 + snapshot.running) as u64);
        }
        if step == 2_500 {
            let mut new_config = config(limiter);
            new_config.pools.swap(0, 2);
            new_config.pools[1].classes = vec![2, 4];
            pools.reconfigure(&new_config, CLASSES, &class_usage(&queue, &running));
        }
    }
    (digest.0, pools.summary())
}

#[test]
fn pools_decide_as_recorded() {
    let recorded: [(Limiter, u64, &str); 5] = [
        (Limiter::Fixed, 0xd148_ac9f_bd04_7be0, "report 2/4.5 held 1 slower 1.64, lookup 1/6.8 held 0 slower 1.40, status 1/9.0 held 0 slower 1.02, rest 1/9.0 held 0 slower 1.00"),
        (Limiter::Aimd { max_latency_ratio: 2.0 }, 0x67ef_2725_656e_37aa, "report 2/4.5 held 0 slower 1.61, lookup 0/6.8 held 0 slower 1.07, status 0/9.0 held 0 slower 1.05, rest 0/9.0 held 0 slower 1.12"),
        (Limiter::Gradient { tolerance: 1.5 }, 0x0675_9df0_5e6a_4586, "report 0/4.5 held 0 slower 1.19, lookup 2/6.8 held 0 slower 1.37, status 1/7.9 held 0 slower 1.18, rest 1/9.0 held 0 slower 1.12"),
        (Limiter::Vegas, 0xd148_ac9f_bd04_7be0, "report 2/4.5 held 1 slower 1.64, lookup 1/6.8 held 0 slower 1.40, status 1/9.0 held 0 slower 1.02, rest 1/9.0 held 0 slower 1.00"),
        (Limiter::Pid { target_drop_ratio: 0.1 }, 0x78eb_449f_9c11_27e3, "report 2/4.5 held 0 slower 1.61, lookup 0/6.8 held 0 slower 1.07, status 0/9.0 held 0 slower 1.05, rest 0/9.0 held 0 slower 1.12"),
    ];
    let mut found = String::new();
    let mut differing = Vec::new();
    for (limiter, digest, line) in recorded {
        let result = simulate(limiter);
        found += &format!("({limiter:?}, {:#018x}, {:?}),\n", result.0, result.1);
        if result != (digest, line.to_string()) {
            differing.push(limiter);
        }
    }
    assert!(differing.is_empty(), "{differing:?} differ; found\n{found}");
}

#[test]
fn derived_pools_are_as_recorded() {
    let config = PoolsConfig::derive(&[500, 200, 900], &[1.0, 0.05, 4.0]);
    assert_eq!(config.limiter, Limiter::Gradient { tolerance: 1.5 });
    let third = 0.5 / 3.0;
    let pool = |class: usize, min_share, weight, reserve| PoolConfig {
        name: class.to_string(),
        classes: vec![class],
        min_share,
        max_share: 1.0,
        weight,
        reserve,
    };
    let recorded = [pool(0, third, 1.0, 0.0), pool(1, third + 0.125, 0.1, 0.125), pool(2, third, 4.0, 0.0)];
    assert_eq!(config.pools, recorded);
}

/// Updates limits without pools, far above the few slots of [`simulate`], so that Vegas decreases too.
#[test]
fn limits_adapt_as_recorded() {
    let limit_digest = |limiter: Limiter| {
        let mut rng = SeededRng::new(5);
        let mut digest = Digest(0xcbf2_9ce4_8422_2325);
        let mut limit = Limit::new(64.0);
        for step in 0..600u32 {
            let calm = step % 200 < 100;
            let sample = Sample {
                latency_ratio: 1.0 + rng.next_f64() * if calm { 0.3 } else { 6.0 },
                running: limit.slots() * (0.3 + rng.next_f64()),
                has_waiters: rng.one_in(3),
                drop_ratio: rng.next_f64() * if calm { 0.1 } else { 1.0 },
                seconds: 0.1 + rng.next_f64(),
            };
            limit.update(limiter, sample);
            limit.set_bounds(rng.next_f64() * 8.0, 64.0 + rng.next_f64());
            digest.add_f64(limit.slots());
        }
        digest.0
    };
    let recorded: [(Limiter, u64); 5] = [
        (Limiter::Fixed, 0xf7e2_43af_f112_6db4),
        (Limiter::Aimd { max_latency_ratio: 2.0 }, 0x41aa_37ee_3535_6fa0),
        (Limiter::Gradient { tolerance: 1.5 }, 0xfc66_a0b1_e1d9_cd5f),
        (Limiter::Vegas, 0x2be4_0306_a353_6cba),
        (Limiter::Pid { target_drop_ratio: 0.1 }, 0xd7f6_f663_0974_4998),
    ];
    let found = recorded.map(|(limiter, _)| (limiter, limit_digest(limiter)));
    assert_eq!(found, recorded);
}
