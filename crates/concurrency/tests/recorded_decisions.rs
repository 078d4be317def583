//! The answers of the pools over a long seeded run, against a recording: every limit and every queue figure to the last bit, every
//! decision in order, and the line that goes to the log. A change of a constant or of the order of the arithmetic shows here.

use cypresscleat_concurrency::limit::{Limit, Limiter, Sample};
use cypresscleat_concurrency::{Count, Pool, Pools, Setup};
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
struct Queued {
    class: usize,
    size: f64,
    kb: f64,
    in_share: bool,
}

struct Running {
    request: Queued,
    started: i64,
}

const CLASSES: usize = 5;
const MEMORY_KB: f64 = 4_000.0;

fn setup(limiter: Limiter) -> Setup {
    let pool = |name: &str, operations: &[usize], least, most, weight, reserve| Pool {
        name: name.into(),
        operations: operations.to_vec(),
        least,
        most,
        weight,
        reserve,
    };
    let pools = vec![
        pool("status", &[0], 0.25, 1.0, 0.5, 0.125),
        pool("lookup", &[1, 2], 0.3, 0.75, 2.0, 0.1),
        pool("report", &[3], 0.0, 0.5, 1.0, 0.0),
    ];
    Setup { pools, limiter }
}

fn counts(queue: &[Queued], running: &[Running]) -> Vec<Count> {
    let mut counts: Vec<Count> = (0..CLASSES).map(|op| Count { op, ..Count::default() }).collect();
    for request in queue {
        let count = &mut counts[request.class];
        count.held += 1;
        count.line += request.size;
        count.held_kb += request.kb;
        if !request.in_share {
            count.past_held += 1;
            count.past += request.size;
        }
    }
    for run in running {
        counts[run.request.class].running += 1;
    }
    counts
}

/// Plays 4,000 steps of 20 ms and returns the digest of all answers and the last line for the log.
fn play(limiter: Limiter) -> (u64, String) {
    let mut rng = SeededRng::new(11);
    let mut below = |bound: u64| rng.next_u64() % bound;
    let mut digest = Digest(0xcbf2_9ce4_8422_2325);
    let mut pools = Pools::new(&setup(limiter), CLASSES, 7.5);
    let (mut queue, mut running): (Vec<Queued>, Vec<Running>) = (Vec::new(), Vec::new());
    for step in 0..4_000i64 {
        let now = step * 200;
        let slowness = if (1_200..2_000).contains(&step) { 4 } else { 1 };
        for _ in 0..below(4) {
            let class = below(CLASSES as u64) as usize;
            let size = (1 + below(900)) as f64 / 3.0;
            let request = Queued { class, size, kb: below(64) as f64, in_share: below(3) > 0 };
            pools.held(now, class, request.size, request.kb);
            if !request.in_share {
                pools.past_share(class, request.size);
            }
            queue.push(request);
        }
        running.retain(|run| {
            let ends = now - run.started > (run.request.size as i64 + 200) * slowness;
            if ends {
                pools.leaves(run.request.class);
                pools.ended(run.request.class, now - run.started, run.request.size);
            }
            !ends
        });
        if step % 5 == 0 {
            pools.tick(now, 7.5 + (step % 300) as f64 / 100.0);
        }
        let mut at = 0;
        while at < queue.len() {
            let request = queue[at];
            let may = pools.may_start(now, request.class, request.in_share);
            digest.add(u64::from(may));
            if may && running.len() < 9 {
                queue.remove(at);
                pools.unheld(request.class, request.size, request.kb, request.in_share);
                pools.starts(now, request.class);
                running.push(Running { request, started: now });
            } else {
                at += 1;
            }
        }
        while queue.len() > 40 {
            let request = queue.swap_remove(below(queue.len() as u64) as usize);
            pools.unheld(request.class, request.size, request.kb, request.in_share);
            pools.spoilt(request.class);
        }
        for class in 0..CLASSES {
            for in_share in [true, false] {
                let (line, places) = pools.line_of(class, in_share).unwrap_or((-1.0, -1.0));
                digest.add_f64(line);
                digest.add_f64(places);
            }
            digest.add_f64(pools.kept_kb(class, MEMORY_KB));
            digest.add(u64::from(pools.may_go(class, MEMORY_KB)));
            digest.add(u64::from(pools.together(class, 2)));
        }
        pools.waits(|pool, waits| digest.add(pool as u64 * 2 + u64::from(waits)));
        for view in pools.view() {
            digest.add_f64(view.limit);
            digest.add_f64(view.slower);
            digest.add((view.held * 1_000 + view.running) as u64);
        }
        if step == 2_500 {
            let mut other = setup(limiter);
            other.pools.swap(0, 2);
            other.pools[1].operations = vec![2, 4];
            pools.follow(&other, CLASSES, &counts(&queue, &running));
        }
    }
    (digest.0, pools.line())
}

#[test]
fn the_pools_answer_as_recorded() {
    let recorded: [(Limiter, u64, &str); 5] = [
        (Limiter::Fixed, 0xd148_ac9f_bd04_7be0, "report 2/4.5 held 1 slower 1.64, lookup 1/6.8 held 0 slower 1.40, status 1/9.0 held 0 slower 1.02, rest 1/9.0 held 0 slower 1.00"),
        (Limiter::Aimd { slower: 2.0 }, 0x67ef_2725_656e_37aa, "report 2/4.5 held 0 slower 1.61, lookup 0/6.8 held 0 slower 1.07, status 0/9.0 held 0 slower 1.05, rest 0/9.0 held 0 slower 1.12"),
        (Limiter::Gradient { tolerance: 1.5 }, 0x0675_9df0_5e6a_4586, "report 0/4.5 held 0 slower 1.19, lookup 2/6.8 held 0 slower 1.37, status 1/7.9 held 0 slower 1.18, rest 1/9.0 held 0 slower 1.12"),
        (Limiter::Vegas, 0xd148_ac9f_bd04_7be0, "report 2/4.5 held 1 slower 1.64, lookup 1/6.8 held 0 slower 1.40, status 1/9.0 held 0 slower 1.02, rest 1/9.0 held 0 slower 1.00"),
        (Limiter::Pid { tolerated: 0.1 }, 0x78eb_449f_9c11_27e3, "report 2/4.5 held 0 slower 1.61, lookup 0/6.8 held 0 slower 1.07, status 0/9.0 held 0 slower 1.05, rest 0/9.0 held 0 slower 1.12"),
    ];
    let mut found = String::new();
    let mut unlike = Vec::new();
    for (limiter, digest, line) in recorded {
        let played = play(limiter);
        found += &format!("({limiter:?}, {:#018x}, {:?}),\n", played.0, played.1);
        if played != (digest, line.to_string()) {
            unlike.push(limiter);
        }
    }
    assert!(unlike.is_empty(), "{unlike:?} differ; found\n{found}");
}

#[test]
fn the_rule_for_pools_gives_what_was_recorded() {
    let setup = Setup::ruled(&[500, 200, 900], &[1.0, 0.05, 4.0]);
    assert_eq!(setup.limiter, Limiter::Gradient { tolerance: 1.5 });
    let found: Vec<_> = setup
        .pools
        .iter()
        .map(|pool| {
            (pool.name.as_str(), &pool.operations[..], pool.least, pool.most, pool.weight, pool.reserve)
        })
        .collect();
    let third = 0.5 / 3.0;
    let recorded: [(&str, &[usize], f64, f64, f64, f64); 3] = [
        ("0", &[0], third, 1.0, 1.0, 0.0),
        ("1", &[1], third + 0.125, 1.0, 0.1, 0.125),
        ("2", &[2], third, 1.0, 4.0, 0.0),
    ];
    assert_eq!(found, recorded);
}

/// Limits by themselves, far above the few slots of [`play`], where Vegas decreases as well.
#[test]
fn limits_take_the_recorded_course() {
    let course = |limiter: Limiter| {
        let mut rng = SeededRng::new(5);
        let mut digest = Digest(0xcbf2_9ce4_8422_2325);
        let mut limit = Limit::new(64.0);
        for step in 0..600u32 {
            let calm = step % 200 < 100;
            let sample = Sample {
                ratio: 1.0 + rng.next_f64() * if calm { 0.3 } else { 6.0 },
                running: limit.places() * (0.3 + rng.next_f64()),
                waits: rng.one_in(3),
                spoilt: rng.next_f64() * if calm { 0.1 } else { 1.0 },
                span: 0.1 + rng.next_f64(),
            };
            limit.take(limiter, sample);
            limit.bound(rng.next_f64() * 8.0, 64.0 + rng.next_f64());
            digest.add_f64(limit.places());
        }
        digest.0
    };
    let recorded: [(Limiter, u64); 5] = [
        (Limiter::Fixed, 0xf7e2_43af_f112_6db4),
        (Limiter::Aimd { slower: 2.0 }, 0x41aa_37ee_3535_6fa0),
        (Limiter::Gradient { tolerance: 1.5 }, 0xfc66_a0b1_e1d9_cd5f),
        (Limiter::Vegas, 0x2be4_0306_a353_6cba),
        (Limiter::Pid { tolerated: 0.1 }, 0xd7f6_f663_0974_4998),
    ];
    let found = recorded.map(|(limiter, _)| (limiter, course(limiter)));
    assert_eq!(found, recorded);
}
