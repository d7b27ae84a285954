//! Means with confidence intervals.

use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};

/// Quantile at the upper end of a two-sided 95% interval.
const UPPER_QUANTILE: f64 = 0.975;

/// A mean over seeds and its 95% confidence interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Interval {
    /// The mean.
    pub mean: f64,
    /// The lower end.
    pub low: f64,
    /// The upper end.
    pub high: f64,
}

impl Interval {
    /// Returns the mean and interval of one value for each seed, by Student's t-distribution. The interval of a single
    /// value is unbounded.
    pub fn of(values: &[f64]) -> Interval {
        let n = values.len() as f64;
        if values.is_empty() {
            return Interval { mean: f64::NAN, low: f64::NEG_INFINITY, high: f64::INFINITY };
        }
        let mean = values.iter().sum::<f64>() / n;
        if values.len() == 1 {
            return Interval { mean, low: f64::NEG_INFINITY, high: f64::INFINITY };
        }
        let variance = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / (n - 1.0);
        let t = StudentsT::new(0.0, 1.0, n - 1.0)
            .expect("at least one degree of freedom")
            .inverse_cdf(UPPER_QUANTILE);
        let half_width = t * (variance / n).sqrt();
        Interval { mean, low: mean - half_width, high: mean + half_width }
    }

    /// Returns the interval of the differences `a - b` for each seed. Pairing by seed cancels the variance between
    /// seeds.
    ///
    /// # Panics
    /// Panics if `a` and `b` differ in length.
    pub fn of_differences(a: &[f64], b: &[f64]) -> Interval {
        assert_eq!(a.len(), b.len(), "paired samples must have the same number of seeds");
        let differences: Vec<f64> = a.iter().zip(b).map(|(a, b)| a - b).collect();
        Interval::of(&differences)
    }
}

#[cfg(test)]
mod tests;
