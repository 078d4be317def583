//! Tests of the validation of the configuration, of the adaptive limits without pools, and of the rank index against a sorted
//! vector.

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
    let error_messages = |pools: Vec<PoolConfig>| {
        let config = PoolsConfig { pools, limiter: Limiter::Fixed };
        config.validate(3).err().unwrap_or_default().iter().map(|error| error.to_string()).collect::<Vec<_>>()
    };
    assert!(error_messages(vec![pool("a", &[0], 0.5), pool("b", &[1, 2], 0.5)]).is_empty());
    assert_eq!(
        error_messages(vec![pool("a", &[0], 0.7), pool("b", &[1], 0.4)]),
        ["the parts called least sum to 1.10, past 1"]
    );
    assert_eq!(error_messages(vec![pool("a", &[0, 3], 0.1)]), ["pool 0: unknown operation 3"]);
    assert_eq!(error_messages(vec![pool("a", &[], 0.1)]), ["pool 0: has no operations"]);
    assert_eq!(
        error_messages(vec![pool("a", &[0], 0.1), pool("a", &[0], 0.1)]),
        ["pool 1: operation 0 is already in a pool", "pool 1: the name \"a\" is taken"]
    );
    let invalid_pool = PoolConfig { max_share: 0.1, reserve: 0.3, weight: 0.0, ..pool("a", &[0], 0.2) };
    assert_eq!(
        error_messages(vec![invalid_pool]),
        [
            "pool 0: most 0.1 is 0 or below least 0.2",
            "pool 0: reserve 0.3 exceeds least 0.2",
            "pool 0: weight 0 is not a positive finite number"
        ]
    );
    let messages = error_messages(vec![pool("a", &[0], -0.1)]);
    assert_eq!(messages[0], "pool 0: least, most and reserve must be between 0 and 1");
}

const LIMITERS: [Limiter; 5] = [
    Limiter::Fixed,
    Limiter::Aimd { max_latency_ratio: 2.0 },
    Limiter::Gradient { tolerance: 1.5 },
    Limiter::Vegas,
    Limiter::Pid { target_drop_ratio: 0.1 },
];

fn slots_after(limiter: Limiter, updates: usize, sample: Sample) -> f64 {
    let mut limit = Limit::new(16.0);
    for _ in 0..updates {
        limit.set_bounds(2.0, 16.0);
        limit.update(limiter, Sample { running: limit.slots(), ..sample });
    }
    limit.slots()
}

#[test]
fn limits_fall_when_latency_grows_and_recover() {
    let normal =
        Sample { latency_ratio: 1.05, running: 0.0, has_waiters: true, drop_ratio: 0.0, seconds: 0.1 };
    let slow = Sample { latency_ratio: 4.0, drop_ratio: 0.6, ..normal };
    for limiter in LIMITERS {
        assert_eq!(slots_after(limiter, 200, normal), 16.0, "{limiter:?}");
        let decreased = slots_after(limiter, 200, slow);
        assert!(limiter == Limiter::Fixed || (2.0..12.0).contains(&decreased), "{limiter:?} {decreased}");
        let mut limit = Limit::new(16.0);
        for step in 0..400 {
            limit.set_bounds(2.0, 16.0);
            limit
                .update(limiter, Sample { running: limit.slots(), ..if step < 200 { slow } else { normal } });
        }
        assert!(limit.slots() > 15.0, "{limiter:?} {}", limit.slots());
    }
}

fn compare_keys(a: &RankKey, b: &RankKey) -> std::cmp::Ordering {
    a.size.total_cmp(&b.size).then(a.sequence.cmp(&b.sequence))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn limit_stays_within_its_bounds(
        samples in proptest::collection::vec((0.1..10.0f64, 0.0..20.0f64, any::<bool>(), 0.0..1.0f64, 0.0..5.0f64), 0..100),
        min in 0.0..5.0f64,
        max in 0.0..20.0f64,
        choice in 0..LIMITERS.len(),
    ) {
        let mut limit = Limit::new(max);
        for (latency_ratio, running, has_waiters, drop_ratio, seconds) in samples {
            limit.set_bounds(min, max);
            limit.update(LIMITERS[choice], Sample { latency_ratio, running, has_waiters, drop_ratio, seconds });
            prop_assert!(limit.slots() >= min.max(1.0) && limit.slots() <= max.max(min).max(1.0));
        }
    }

    #[test]
    fn rank_index_matches_a_sorted_vector(
        steps in proptest::collection::vec((any::<bool>(), 0..50u32, any::<usize>()), 0..600),
        index_count in 1..4usize,
    ) {
        let mut sorted: Vec<Vec<RankKey>> = vec![Vec::new(); index_count];
        let mut indexes = vec![RankIndex::default(); index_count];
        for (sequence, (insert, size, choice)) in steps.into_iter().enumerate() {
            let position = choice % index_count;
            if insert || sorted[position].is_empty() {
                let key = RankKey { size: f64::from(size), sequence: sequence as u64, request: sequence };
                sorted[position].push(key);
                indexes[position].insert(key);
            } else {
                let key_position = choice % sorted[position].len();
                let key = sorted[position].swap_remove(key_position);
                prop_assert!(indexes[position].remove(&key));
                prop_assert!(!indexes[position].remove(&key));
            }
        }
        let mut all: Vec<RankKey> = Vec::new();
        for (sorted, index) in sorted.iter_mut().zip(&indexes) {
            sorted.sort_by(compare_keys);
            prop_assert_eq!(index.len(), sorted.len());
            prop_assert_eq!(index.iter().copied().collect::<Vec<_>>(), sorted.clone());
            for (rank, key) in sorted.iter().enumerate() {
                prop_assert_eq!(index.select(rank), Some(*key));
                prop_assert_eq!(index.rank_of(key), rank);
            }
            prop_assert_eq!(index.select(sorted.len()), None);
            all.extend(sorted.iter());
        }
        all.sort_by(compare_keys);
        let index_refs: Vec<&RankIndex> = indexes.iter().collect();
        for (rank, key) in all.iter().enumerate() {
            prop_assert_eq!(select_across(&index_refs, rank), Some(*key));
        }
        prop_assert_eq!(select_across(&index_refs, all.len()), None);
    }
}
