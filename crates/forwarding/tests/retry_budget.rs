//! Retries: only what provably never ran, and never past the budget.

use cypresscleat_forwarding::retry_budget::{
    Execution, RetryBudget, RetryCounts, RetryRequest, MIN_RETRIES_PER_SECOND, RETRY_RATIO,
};
use cypresscleat_forwarding::{Time, MS, SECOND};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Never more than the share of first tries and the floor, under any mix of ends.
    #[test]
    fn retries_never_exceed_the_budget(ends in proptest::collection::vec((any::<bool>(), 0..3u32, 0..100i64), 1..2000)) {
        let mut budget = RetryBudget::new(0);
        let mut now = 0;
        for (first, tries, gap) in ends {
            now += gap;
            if first {
                budget.record_first_attempt(now);
            }
            budget.try_retry(now, retry(Execution::NeverRan, false, tries, SECOND));
        }
        let RetryCounts { first_attempts: first, retries: further, .. } = budget.counts();
        let most = first as f64 * RETRY_RATIO + MIN_RETRIES_PER_SECOND * (1.0 + now as f64 / SECOND as f64);
        prop_assert!(further as f64 <= most + 1.0, "{} of {}", further, most);
    }
}

/// A retry that needs a millisecond.
fn retry(execution: Execution, give_up: bool, attempts: u32, time_left: Time) -> RetryRequest {
    RetryRequest { execution, give_up, attempts, time_left, time_needed: MS }
}

#[test]
fn retries_only_what_never_ran_and_in_time() {
    let mut budget = RetryBudget::new(0);
    assert!(!budget.try_retry(0, retry(Execution::MayHaveRun, false, 1, SECOND)));
    assert!(!budget.try_retry(0, retry(Execution::NeverRan, true, 1, SECOND)), "asked not to try elsewhere");
    assert!(!budget.try_retry(0, retry(Execution::NeverRan, false, 3, SECOND)));
    assert!(!budget.try_retry(0, retry(Execution::NeverRan, false, 1, 10)), "no time left");
    assert!(budget.try_retry(0, retry(Execution::NeverRan, false, 1, SECOND)));
}
