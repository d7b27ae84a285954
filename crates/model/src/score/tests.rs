//! Tests of the score with explicit requests.

use super::*;

#[test]
fn score_counts_units_within_quota_and_answers_in_time() {
    let fleet = crate::tests_support::sample();
    let mut scorer = Scorer::new(&fleet, 0);
    let asked = |at, units| FirstTry { at, class: 0, plan: 0, customer: 7, units };
    // The token bucket holds 6.5 units: two of three requests of 3 units fit.
    for id in 0..3 {
        scorer.record_first_try(id, asked(0, 3.0));
        scorer.record_forwarded(id, 1_000);
    }
    scorer.record_served(0, 500_000);
    scorer.record_served(1, 900_000);
    scorer.record_served(2, 500_000);
    let score = scorer.finish();
    assert_eq!((score.overall.asked, score.overall.in_time), (2.0 * 1.5, 1.5));
    assert_eq!(score.in_time[0], InTimeCounts { let_through: 2, in_time: 1 });
    assert_eq!((score.units_inside, score.units_beyond), (6.0, 3.0));
    assert!((score.overrun_cost - 0.6 * 1.5).abs() < 1e-9);
}

#[test]
fn worst_window_spans_ten_seconds() {
    let fleet = crate::tests_support::sample();
    let mut scorer = Scorer::new(&fleet, 0);
    for s in 0..30u64 {
        scorer.record_first_try(s, FirstTry { at: s * SECOND, class: 0, plan: 3, customer: s, units: 1.0 });
        scorer.record_forwarded(s, s * SECOND);
        if !(10..15).contains(&s) {
            scorer.record_served(s, s * SECOND + 1);
        }
    }
    assert!((scorer.finish().worst_window - 0.5).abs() < 1e-9);
}
