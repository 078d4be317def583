//! Validation of the configuration, the adaptive limits by themselves, and the rank index against a sorted vector.

use cypresscleat_concurrency::limit::{Limit, Limiter, Sample};
use cypresscleat_concurrency::rank_index::{select_across, RankIndex, RankKey};
use cypresscleat_concurrency::{PoolConfig, PoolsConfig};
use proptest::prelude::*;

fn pool(name: &str, classes: &[usize], min_share: f64) -> PoolConfig {
    PoolConfig {
        name: name.into(),
        classes: classes.to_vec(),
        min_share,
        max_share: 1.0,
        weight: 1.0,
        reserve: 0.0,
    }
}

#[test]
fn validate_reports_every_error() {
    let told = |pools: Vec<PoolConfig>| {
        let setup = PoolsConfig { pools, limiter: Limiter::Fixed };
        setup.validate(3).err().unwrap_or_default().iter().map(|error| error.to_string()).collect::<Vec<_>>()
    };
    assert!(told(vec![pool("a", &[0], 0.5), pool("b", &[1, 2], 0.5)]).is_empty());
    assert_eq!(
        told(vec![pool("a", &[0], 0.7), pool("b", &[1], 0.4)]),
        ["the parts called least sum to 1.10, past 1"]
    );
    assert_eq!(told(vec![pool("a", &[0, 3], 0.1)]), ["pool 0: no operation 3"]);
    assert_eq!(told(vec![pool("a", &[], 0.1)]), ["pool 0: no operation"]);
    assert_eq!(
        told(vec![pool("a", &[0], 0.1), pool("a", &[0], 0.1)]),
        ["pool 1: operation 0 is in a pool already", "pool 1: the name \"a\" is taken"]
    );
    let odd = PoolConfig { max_share: 0.1, reserve: 0.3, weight: 0.0, ..pool("a", &[0], 0.2) };
    assert_eq!(
        told(vec![odd]),
        [
            "pool 0: most 0.1 is under least 0.2, or 0",
            "pool 0: reserve 0.3 is past least 0.2",
            "pool 0: weight 0 is not above 0"
        ]
    );
    let under = told(vec![pool("a", &[0], -0.1)]);
    assert_eq!(under[0], "pool 0: least, most and reserve are parts from 0 to 1");
}

const ALL: [Limiter; 5] = [
    Limiter::Fixed,
    Limiter::Aimd { max_latency_ratio: 2.0 },
    Limiter::Gradient { tolerance: 1.5 },
    Limiter::Vegas,
    Limiter::Pid { target_drop_ratio: 0.1 },
];

fn after(limiter: Limiter, many: usize, sample: Sample) -> f64 {
    let mut limit = Limit::new(16.0);
    for _ in 0..many {
        limit.set_bounds(2.0, 16.0);
        limit.update(limiter, Sample { running: limit.slots(), ..sample });
    }
    limit.slots()
}

#[test]
fn limits_fall_when_latency_grows_and_recover() {
    let calm = Sample { latency_ratio: 1.05, running: 0.0, has_waiters: true, drop_ratio: 0.0, seconds: 0.1 };
    let slow = Sample { latency_ratio: 4.0, drop_ratio: 0.6, ..calm };
    for limiter in ALL {
        assert_eq!(after(limiter, 200, calm), 16.0, "{limiter:?}");
        let fallen = after(limiter, 200, slow);
        assert!(limiter == Limiter::Fixed || (2.0..12.0).contains(&fallen), "{limiter:?} {fallen}");
        let mut limit = Limit::new(16.0);
        for at in 0..400 {
            limit.set_bounds(2.0, 16.0);
            limit.update(limiter, Sample { running: limit.slots(), ..if at < 200 { slow } else { calm } });
        }
        assert!(limit.slots() > 15.0, "{limiter:?} {}", limit.slots());
    }
}

fn by_order(a: &RankKey, b: &RankKey) -> std::cmp::Ordering {
    a.size.total_cmp(&b.size).then(a.sequence.cmp(&b.sequence))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn limit_stays_within_its_bounds(
        samples in proptest::collection::vec((0.1..10.0f64, 0.0..20.0f64, any::<bool>(), 0.0..1.0f64, 0.0..5.0f64), 0..100),
        least in 0.0..5.0f64,
        most in 0.0..20.0f64,
        which in 0..ALL.len(),
    ) {
        let mut limit = Limit::new(most);
        for (latency_ratio, running, has_waiters, drop_ratio, seconds) in samples {
            limit.set_bounds(least, most);
            limit.update(ALL[which], Sample { latency_ratio, running, has_waiters, drop_ratio, seconds });
            prop_assert!(limit.slots() >= least.max(1.0) && limit.slots() <= most.max(least).max(1.0));
        }
    }

    #[test]
    fn rank_index_matches_a_sorted_vector(
        steps in proptest::collection::vec((any::<bool>(), 0..50u32, any::<usize>()), 0..600),
        among in 1..4usize,
    ) {
        let mut plain: Vec<Vec<RankKey>> = vec![Vec::new(); among];
        let mut indexes = vec![RankIndex::default(); among];
        for (sequence, (insert, size, which)) in steps.into_iter().enumerate() {
            let at = which % among;
            if insert || plain[at].is_empty() {
                let key = RankKey { size: f64::from(size), sequence: sequence as u64, request: sequence };
                plain[at].push(key);
                indexes[at].insert(key);
            } else {
                let place = which % plain[at].len();
                let key = plain[at].swap_remove(place);
                prop_assert!(indexes[at].remove(&key));
                prop_assert!(!indexes[at].remove(&key));
            }
        }
        let mut all: Vec<RankKey> = Vec::new();
        for (plain, index) in plain.iter_mut().zip(&indexes) {
            plain.sort_by(by_order);
            prop_assert_eq!(index.len(), plain.len());
            prop_assert_eq!(index.iter().copied().collect::<Vec<_>>(), plain.clone());
            for (rank, key) in plain.iter().enumerate() {
                prop_assert_eq!(index.select(rank), Some(*key));
                prop_assert_eq!(index.rank_of(key), rank);
            }
            prop_assert_eq!(index.select(plain.len()), None);
            all.extend(plain.iter());
        }
        all.sort_by(by_order);
        let some: Vec<&RankIndex> = indexes.iter().collect();
        for (rank, key) in all.iter().enumerate() {
            prop_assert_eq!(select_across(&some, rank), Some(*key));
        }
        prop_assert_eq!(select_across(&some, all.len()), None);
    }
}
