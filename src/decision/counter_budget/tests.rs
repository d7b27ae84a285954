//! Extremes of the call budget.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// More answers in a row than a counter gives in a day to one limiter.
const LONG_CALM_ANSWERS: u32 = 3_000_000;

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig { cases, rng_seed: RngSeed::Fixed(20), failure_persistence: None, ..Default::default() }
}

/// Guards against a process that ends with a division by zero: with each answer the rate rose without an
/// end, until the time between two calls, by which a draw is divided, was rounded to 0.
#[test]
fn time_between_two_calls_is_never_zero_after_a_long_calm() {
    for (limiters, many_limiters) in [(1, false), (3, false), (5, true), (300, true)] {
        let mut budget = CounterBudget::new(limiters, many_limiters);
        for _ in 0..LONG_CALM_ANSWERS {
            budget.record_success();
        }
        assert!(budget.report_delay(0) > 0, "{limiters} limiters: {} calls a second", budget.calls.rate);
        assert!(budget.calls.rate <= MAX_CALLS_PER_LIMITER);
    }
}

proptest! {
    #![proptest_config(config(256))]
    /// No order of answers and failures makes the rate leave its range, or a time 0.
    #[test]
    fn rate_stays_in_its_range(
        limiters in 1u32..2_000,
        many_limiters in any::<bool>(),
        steps in prop::collection::vec((any::<bool>(), 1u32..50_000, 0u64..10_000_000), 1..40),
    ) {
        let mut budget = CounterBudget::new(limiters, many_limiters);
        let mut now = 0;
        for (is_success, count, span) in steps {
            now += span;
            for _ in 0..count.min(if is_success { u32::MAX } else { 100 }) {
                if is_success {
                    budget.record_success();
                } else {
                    budget.record_failure(now, Random::new(u64::from(count)));
                }
            }
            let least = MIN_CALLS / f64::from(limiters);
            prop_assert!(budget.calls.rate >= least.min(INITIAL_CALLS_MANY_LIMITERS / f64::from(limiters)));
            prop_assert!(budget.calls.rate <= MAX_CALLS_PER_LIMITER);
            prop_assert!(budget.report_delay(now) > 0);
        }
    }
}
