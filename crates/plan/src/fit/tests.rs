//! Tests of the distance between two samples.

use super::*;

#[test]
fn distance_is_largest_gap_between_cumulative_distributions() {
    assert_eq!(distance(&mut [1.0, 2.0, 3.0, 4.0], &mut [1.0, 2.0, 3.0, 4.0]), 0.0);
    assert_eq!(distance(&mut [1.0, 2.0, 3.0, 4.0], &mut [3.0, 4.0, 5.0, 6.0]), 0.5);
    assert_eq!(distance(&mut [1.0, 2.0], &mut [3.0, 4.0]), 1.0);
}
