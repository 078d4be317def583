//! Retries: only for attempts that provably never ran, and only within the budget.

use cypresscleat_forwarding::retry_budget::{
    Execution, RetryBudget, RetryCounts, RetryRequest, MIN_RETRIES_PER_SECOND, RETRY_RATIO,
};
use cypresscleat_forwarding::{Time, MS, SECOND};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Retries never exceed the ratio of first attempts plus the minimum rate, for any mix of outcomes.
    #[test]
    fn retries_never_exceed_the_budget(steps in proptest::collection::vec((any::<bool>(), 0..3u32, 0..100i64), 1..2000)) {
        let mut budget = RetryBudget::new(0);
        let mut now = 0;
        for (is_first, attempts, gap) in steps {
            now += gap;
            if is_first {
                budget.record_first_attempt(now);
            }
            budget.try_retry(now, retry(Execution::NeverRan, false, attempts, SECOND));
        }
        let RetryCounts { first_attempts: first, retries: retry_count, .. } = budget.counts();
        let max_retries = first as f64 * RETRY_RATIO + MIN_RETRIES_PER_SECOND * (1.0 + now as f64 / SECOND as f64);
        prop_assert!(retry_count as f64 <= max_retries + 1.0, "{} of {}", retry_count, max_retries);
    }
}

/// A retry with an expected duration of one millisecond.
fn retry(execution: Execution, give_up: bool, attempts: u32, time_left: Time) -> RetryRequest {
    RetryRequest { execution, give_up, attempts, time_left, time_needed: MS }
}

#[test]
fn retries_only_what_never_ran_and_in_time() {
    let mut budget = RetryBudget::new(0);
    assert!(!budget.try_retry(0, retry(Execution::MayHaveRun, false, 1, SECOND)));
    assert!(!budget.try_retry(0, retry(Execution::NeverRan, true, 1, SECOND)), "the worker asked to give up");
    assert!(!budget.try_retry(0, retry(Execution::NeverRan, false, 3, SECOND)));
    assert!(!budget.try_retry(0, retry(Execution::NeverRan, false, 1, 10)), "no time left");
    assert!(budget.try_retry(0, retry(Execution::NeverRan, false, 1, SECOND)));
}
