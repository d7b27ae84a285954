//! Canary analysis: decides whether a configuration change that has just become active must be rolled back.
//!
//! The plans that a change touches are compared with all other plans, the control group. Shifts of traffic, crashing
//! backends and a lost quota counter affect both groups alike, while a bad change affects only the touched plans. The
//! test statistic is therefore a difference in differences (Card and Krueger, 1994): how much more the share of
//! attempts served in time dropped in the touched plans than in the control group. Each second is one observation.
//!
//! The change is evaluated once a second. The configured false alarm rate is divided evenly among the evaluations
//! (Bonferroni correction), and a drop below a configured minimum never causes a rollback. Neither does an improvement
//! of the control group, which is no evidence against touched plans that are served as well as before.
#![forbid(unsafe_code)]

mod aggregation;

use serde::{Deserialize, Serialize};
use statrs::distribution::{ContinuousCDF, StudentsT};

pub use aggregation::{OutcomeAggregator, OUTCOME_SUMS_MAGIC};

/// Minimum length of the baseline in seconds, below which the variation between seconds cannot be estimated.
const MIN_BASELINE_S: u32 = 10;
/// Minimum time before the first evaluation in seconds, below which the variation between seconds cannot be estimated.
const MIN_FIRST_EVALUATION_S: u32 = 3;
/// Maximum false alarm rate, above which a rollback would be no evidence that the change is harmful.
const MAX_FALSE_ALARM_RATE: f64 = 0.5;
/// Minimum number of attempts from which a share is estimated.
const MIN_ATTEMPTS: f64 = 10.0;
/// Minimum number of seconds from which a share is estimated.
const MIN_SECONDS: f64 = 3.0;

/// Configuration of the analysis.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Length of the baseline before the change in seconds, at least 10.
    pub baseline_s: u32,
    /// Length of the analysis after the activation of a change, in seconds.
    pub analysis_s: u32,
    /// Time of the first evaluation, in seconds after the activation. A change is never rolled back earlier.
    pub first_evaluation_s: u32,
    /// Maximum share of harmless changes that are rolled back, over the whole analysis.
    pub false_alarm_rate: f64,
    /// Minimum drop of the share served in time, relative to the control group, that causes a rollback.
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

/// Invalid settings of the analysis.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The baseline is too short.
    #[error("before: expected at least 10 seconds")]
    Baseline,
    /// The first evaluation is too early, or after the end of the analysis.
    #[error("first_look: expected at least 3 seconds and at most span")]
    FirstEvaluation,
    /// The false alarm rate is out of range.
    #[error("false_alarms: expected a share above 0 and at most 0.5")]
    FalseAlarmRate,
    /// The minimum drop is not a share.
    #[error("least_drop: expected a share from 0 to 1")]
    MinDrop,
}

impl Settings {
    /// Validates the settings.
    ///
    /// # Errors
    /// Returns an error that names the first invalid setting.
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

    /// Returns the number of evaluations, among which the false alarm rate is divided.
    fn evaluation_count(&self) -> u32 {
        self.analysis_s - self.first_evaluation_s + 1
    }
}

/// Counts of attempts, and of those served within the latency objective.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeCount {
    /// Attempts that ended, whether they were served or not.
    pub attempts: u32,
    /// Attempts that were served within the latency objective.
    pub in_time: u32,
}

/// Outcomes of one second, summed over the limiters whose counts have arrived.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Second {
    /// Outcomes on the plans that the change touches.
    pub touched: OutcomeCount,
    /// Outcomes on all other plans, the control group.
    pub control: OutcomeCount,
}

/// Verdict on a change.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub enum Verdict {
    /// Undecided: the analysis continues.
    Goes,
    /// The share served in time dropped significantly more in the touched plans than in the control group: the change
    /// must be rolled back.
    Undo {
        /// Drop of the touched plans' share served in time, from 0 to 1, less the drop of the control group.
        drop: f64,
        /// Time at which the drop was found, in seconds after the activation.
        at_s: u32,
    },
    /// The analysis is over and the change stays.
    Stands,
}

/// Analysis of one change.
#[derive(Clone, Debug)]
pub struct CanaryAnalysis {
    settings: Settings,
    /// Time of the latest evaluation, in seconds after the change.
    last_evaluated_s: u32,
    verdict: Verdict,
}

impl CanaryAnalysis {
    /// Starts the analysis of a change that has just become active.
    ///
    /// # Errors
    /// Returns an error if the settings are invalid.
    pub fn new(settings: Settings) -> Result<CanaryAnalysis, SettingsError> {
        settings.check()?;
        Ok(CanaryAnalysis { settings, last_evaluated_s: 0, verdict: Verdict::Goes })
    }

    /// Evaluates the change `passed` seconds after its activation, from the known seconds before and after it.
    ///
    /// A final verdict never changes. A repeated evaluation at the same second returns the previous verdict, because
    /// the false alarm rate is divided among a fixed number of evaluations.
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

    /// Returns the drop of the touched plans relative to the control group, if it is significant and large enough.
    fn significant_drop(&self, before: &[Second], after: &[Second]) -> Option<f64> {
        let touched = |second: &Second| second.touched;
        let control = |second: &Second| second.control;
        let touched_before = estimate_share(before, touched)?;
        let touched_after = estimate_share(after, touched)?;
        // A change that touches every plan has no control group and is compared only with its baseline.
        let control_estimates = estimate_share(before, control).zip(estimate_share(after, control));
        // An improvement of the control group is ignored: plans that were already served in full cannot improve.
        let control_drop =
            control_estimates.as_ref().map_or(0.0, |(before, after)| (before.mean - after.mean).max(0.0));
        let drop = (touched_before.mean - touched_after.mean) - control_drop;
        let mut estimates = vec![touched_before, touched_after];
        estimates.extend(control_estimates.into_iter().flat_map(|(before, after)| [before, after]));
        let threshold = self.significance_threshold(&estimates)?;
        (drop >= self.settings.min_drop && drop > threshold).then_some(drop)
    }

    /// Returns the threshold above which a drop is significant. In one evaluation, chance alone exceeds it with a
    /// probability of the false alarm rate divided by the number of evaluations. Uses Student's t-distribution with
    /// degrees of freedom by Welch (1947), because a variance that is estimated from few seconds is uncertain.
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

/// Estimated share of attempts served in time.
struct ShareEstimate {
    mean: f64,
    /// Square of the standard error, from the variation between seconds.
    variance: f64,
    degrees_of_freedom: f64,
}

/// Estimates the share served in time by a ratio estimator over seconds; `None` if there are too few attempts or
/// seconds. The observations are seconds, not attempts, because the attempts of one second are correlated, for example
/// by a customer's burst or a backend's stall.
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
    // The binomial variance is the lower bound, as seconds that were all served in full show no variation.
    let binomial = (mean * (1.0 - mean)).max(0.5 / attempts) / attempts;
    let variance = between_seconds.max(binomial);
    Some(ShareEstimate { mean, variance, degrees_of_freedom: seconds - 1.0 })
}

#[cfg(test)]
mod tests;
