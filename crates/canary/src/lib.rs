//! Canary analysis: decides whether a configuration change that has just become active is to be rolled back.
//!
//! A change names the plans that it touches; all other plans are its control group. Shifts of traffic, crashing
//! backends and a lost quota counter affect both groups alike, while a bad change affects the touched plans alone.
//! The test statistic is therefore a difference in differences (Card and Krueger, 1994): by how much more the
//! touched plans' share of attempts served in time fell than that of the control group, with seconds as
//! observations. The change is evaluated once a second; the evaluations divide the configured false alarm rate
//! evenly between them (Bonferroni correction), and a drop below a configured size never causes a rollback. Neither
//! does a gain of the control group: it is not evidence against plans that were served as well as before.
#![forbid(unsafe_code)]

mod aggregation;

use serde::{Deserialize, Serialize};
use statrs::distribution::{ContinuousCDF, StudentsT};

pub use aggregation::{OutcomeAggregator, OUTCOME_SUMS_MAGIC};

/// Shortest baseline that the variation between seconds can be estimated from.
const MIN_BASELINE_S: u32 = 10;
/// Earliest evaluation: fewer seconds have no usable estimate of their variation.
const MIN_FIRST_EVALUATION_S: u32 = 3;
/// Largest false alarm rate that still makes a rollback mean anything.
const MAX_FALSE_ALARM_RATE: f64 = 0.5;
/// Fewest attempts and seconds from which a share is estimated.
const MIN_ATTEMPTS: f64 = 10.0;
const MIN_SECONDS: f64 = 3.0;

/// Configuration of the analysis.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Seconds before the change that serve as its baseline, at least 10.
    pub baseline_s: u32,
    /// Seconds for which a change is analysed after its activation.
    pub analysis_s: u32,
    /// Seconds after the activation before which a change is never rolled back.
    pub first_evaluation_s: u32,
    /// Upper bound for the share of harmless changes that are rolled back, over the whole analysis.
    pub false_alarm_rate: f64,
    /// Smallest drop of the share served in time, relative to the control group, that causes a rollback.
    pub min_drop: f64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            baseline_s: 20,
            analysis_s: 30,
            first_evaluation_s: 5,
            false_alarm_rate: 0.01,
            min_drop: 0.1,
        }
    }
}

/// A setting out of range.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The baseline before the change is too short to be compared with.
    #[error("before: expected at least 10 seconds")]
    Baseline,
    /// The first evaluation would come too early, or only after the analysis is over.
    #[error("first_look: expected at least 3 seconds and at most span")]
    FirstEvaluation,
    /// The false alarm rate is no usable probability.
    #[error("false_alarms: expected a share above 0 and at most 0.5")]
    FalseAlarmRate,
    /// The smallest drop that causes a rollback is not a share.
    #[error("least_drop: expected a share from 0 to 1")]
    MinDrop,
}

impl Settings {
    /// Validates the settings.
    ///
    /// # Errors
    /// Names the first setting that is out of range.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.baseline_s < MIN_BASELINE_S {
            return Err(SettingsError::Baseline);
        }
        if self.first_evaluation_s < MIN_FIRST_EVALUATION_S || self.first_evaluation_s > self.analysis_s {
            return Err(SettingsError::FirstEvaluation);
        }
        if !(self.false_alarm_rate > 0.0 && self.false_alarm_rate <= MAX_FALSE_ALARM_RATE) {
            return Err(SettingsError::FalseAlarmRate);
        }
        if !(0.0..=1.0).contains(&self.min_drop) {
            return Err(SettingsError::MinDrop);
        }
        Ok(())
    }

    /// How many evaluations share the false alarm rate.
    fn evaluation_count(&self) -> u32 {
        self.analysis_s - self.first_evaluation_s + 1
    }
}

/// Attempts, and how many of them were served within the latency objective.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeCount {
    /// How many ended, whether they were served or not.
    pub attempts: u32,
    /// How many of these were served within the latency objective.
    pub in_time: u32,
}

/// Outcomes of one second, over all limiters whose counts have arrived.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Second {
    /// Outcomes on the plans that the change touches.
    pub touched: OutcomeCount,
    /// Outcomes on all other plans, the control group.
    pub control: OutcomeCount,
}

/// Result of an evaluation.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub enum Verdict {
    /// Undecided: the analysis goes on.
    Goes,
    /// The touched plans fell significantly more than the control group: roll the change back.
    Undo {
        /// Drop of the share served in time, from 0 to 1, after that of the control group is subtracted.
        drop: f64,
        /// Seconds after the activation at which the drop was found.
        at_s: u32,
    },
    /// The analysis is over and the change stays.
    Stands,
}

/// Analysis of one change.
#[derive(Clone, Debug)]
pub struct CanaryAnalysis {
    settings: Settings,
    /// Seconds after the change at the latest evaluation.
    last_evaluated_s: u32,
    verdict: Verdict,
}

impl CanaryAnalysis {
    /// Starts the analysis of a change that has just become active.
    ///
    /// # Errors
    /// Where a setting is out of range.
    pub fn new(settings: Settings) -> Result<CanaryAnalysis, SettingsError> {
        settings.check()?;
        Ok(CanaryAnalysis { settings, last_evaluated_s: 0, verdict: Verdict::Goes })
    }

    /// Evaluates the change `passed` seconds after its activation, from the seconds before and after it that are
    /// known by now. A final verdict never changes. Evaluating the same second again returns the previous verdict:
    /// the false alarm rate is divided by a fixed number of evaluations, which further ones would exceed.
    pub fn evaluate(&mut self, passed: u32, before: &[Second], after: &[Second]) -> Verdict {
        let is_final = self.verdict != Verdict::Goes;
        if is_final || passed <= self.last_evaluated_s || passed < self.settings.first_evaluation_s {
            return self.verdict;
        }
        self.last_evaluated_s = passed;
        let drop = self.significant_drop(before, after).filter(|_| passed <= self.settings.analysis_s);
        if let Some(drop) = drop {
            self.verdict = Verdict::Undo { drop, at_s: passed };
        } else if passed >= self.settings.analysis_s {
            self.verdict = Verdict::Stands;
        }
        self.verdict
    }

    /// By how much the touched plans fell relative to the control group, if the drop is both significant and large
    /// enough.
    fn significant_drop(&self, before: &[Second], after: &[Second]) -> Option<f64> {
        let touched = |second: &Second| second.touched;
        let control = |second: &Second| second.control;
        let touched_before = estimate_share(before, touched)?;
        let touched_after = estimate_share(after, touched)?;
        // A change that touches every plan has no control group and is compared with the time before it alone.
        let control_estimates = estimate_share(before, control).zip(estimate_share(after, control));
        // A control group that improves is ignored: plans that were already served in full can't rise with it.
        let control_drop =
            control_estimates.as_ref().map_or(0.0, |(before, after)| (before.mean - after.mean).max(0.0));
        let drop = (touched_before.mean - touched_after.mean) - control_drop;
        let mut estimates = vec![touched_before, touched_after];
        estimates.extend(control_estimates.into_iter().flat_map(|(before, after)| [before, after]));
        let threshold = self.significance_threshold(&estimates)?;
        (drop >= self.settings.min_drop && drop > threshold).then_some(drop)
    }

    /// The drop that chance exceeds no more often than one evaluation's part of the false alarm rate. Few seconds
    /// say little about how much seconds vary, hence Student's distribution, with degrees of freedom by Welch (1947).
    fn significance_threshold(&self, estimates: &[ShareEstimate]) -> Option<f64> {
        let variance: f64 = estimates.iter().map(|e| e.variance).sum();
        let weighted: f64 = estimates.iter().map(|e| e.variance * e.variance / e.degrees_of_freedom).sum();
        let degrees_of_freedom = variance * variance / weighted;
        let student = StudentsT::new(0.0, 1.0, degrees_of_freedom).ok()?;
        let evaluations = f64::from(self.settings.evaluation_count());
        let quantile = student.inverse_cdf(1.0 - self.settings.false_alarm_rate / evaluations);
        Some(quantile * variance.sqrt())
    }
}

/// Estimate of the share served in time.
struct ShareEstimate {
    mean: f64,
    /// Square of the standard error, from the variation between seconds.
    variance: f64,
    degrees_of_freedom: f64,
}

/// Ratio estimator over seconds. Attempts of one second are correlated (a customer's burst, a backend's stall), so
/// seconds are the observations, not attempts. `None` with too few of either.
fn estimate_share(seconds: &[Second], group: impl Fn(&Second) -> OutcomeCount) -> Option<ShareEstimate> {
    let counts: Vec<(f64, f64)> =
        seconds.iter().map(group).map(|c| (f64::from(c.attempts), f64::from(c.in_time))).collect();
    let attempts: f64 = counts.iter().map(|(attempts, _)| attempts).sum();
    let seconds = counts.len() as f64;
    if attempts < MIN_ATTEMPTS || seconds < MIN_SECONDS {
        return None;
    }
    let mean = counts.iter().map(|(_, in_time)| in_time).sum::<f64>() / attempts;
    let residual: f64 = counts.iter().map(|(attempts, in_time)| (in_time - mean * attempts).powi(2)).sum();
    let between_seconds = residual / (seconds - 1.0) * seconds / (attempts * attempts);
    // Seconds that were all served in full show no variation: the binomial variance is the lower bound.
    let binomial = (mean * (1.0 - mean)).max(0.5 / attempts) / attempts;
    let variance = between_seconds.max(binomial);
    Some(ShareEstimate { mean, variance, degrees_of_freedom: seconds - 1.0 })
}

#[cfg(test)]
mod tests;
