//! Tests of the interpolation between evaluated loads.

use super::*;

fn metric_points(points: &[(f64, f64)]) -> Vec<MetricPoint> {
    points.iter().map(|(multiple, metric)| MetricPoint { multiple: *multiple, metric: *metric }).collect()
}

#[test]
fn crossing_is_interpolated_between_neighbouring_points() {
    assert_eq!(crossing(&metric_points(&[(1.0, 0.2), (2.0, 0.6), (3.0, 0.9)]), 0.5), Some(1.75));
    assert_eq!(crossing(&metric_points(&[(1.0, 0.7), (2.0, 0.9)]), 0.5), Some(1.0));
    assert_eq!(crossing(&metric_points(&[(1.0, 0.1), (2.0, 0.2)]), 0.5), None);
}
