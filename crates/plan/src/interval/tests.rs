//! Tests of the intervals of small samples against hand-calculated values.

use super::*;

#[test]
fn interval_of_five_values_matches_students_t() {
    // Mean 3, standard deviation 1.5811, standard error 0.7071, t for 4 degrees of freedom 2.776.
    let interval = Interval::of(&[1.0, 2.0, 3.0, 4.0, 5.0]);
    assert!((interval.mean - 3.0).abs() < 1e-12);
    assert!((interval.high - 3.0 - 1.963).abs() < 1e-3, "{interval:?}");
}

#[test]
fn paired_differences_cancel_the_variance_between_seeds() {
    let (a, b) = ([1.1, 5.1, 9.1], [1.0, 5.0, 9.0]);
    let paired = Interval::of_differences(&a, &b);
    assert!((paired.mean - 0.1).abs() < 1e-9 && paired.high - paired.low < 1e-9);
}

#[test]
fn one_seed_gives_an_unbounded_interval() {
    assert_eq!(Interval::of(&[0.5]).low, f64::NEG_INFINITY);
}
