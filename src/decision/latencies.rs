//! Latency statistics over all backends, per request class.

use super::SECOND;
use crate::interface::{Class, Micros};

/// Initial estimate of the latency of an idle backend, as a share of the latency objective.
const INITIAL_SHARE: f64 = 0.2;
/// Weight of the newest value in a moving average.
pub(super) const MEAN_WEIGHT: f64 = 0.02;
/// Rise of the idle latency per second, as a share: slow enough to outlast an overload.
const IDLE_RISE: f64 = 0.01;

/// Latencies of one class, microseconds.
#[derive(Clone, Copy)]
pub(super) struct ClassLatency {
    pub(super) mean: f64,
    /// Recent minimum of the mean, taken as the latency of an idle backend.
    pub(super) idle: f64,
}

/// Latencies of all classes.
#[derive(Default)]
pub(super) struct Latencies {
    pub(super) classes: Vec<ClassLatency>,
    /// How many times the idle latency fits into the latency objective, for the class with the tightest
    /// ratio.
    pub(super) headroom: f64,
    /// Mean latency of all answers, microseconds.
    pub(super) mean: f64,
}

impl Latencies {
    pub(super) fn new(classes: &[Class], shortest_objective: Micros) -> Latencies {
        let estimate = |class: &Class| {
            let idle = class.latency_objective as f64 * INITIAL_SHARE;
            ClassLatency { mean: idle, idle }
        };
        Latencies {
            classes: classes.iter().map(estimate).collect(),
            headroom: 1.0 / INITIAL_SHARE,
            mean: shortest_objective as f64 * INITIAL_SHARE,
        }
    }

    /// Returns the expected latency of an attempt of this class, microseconds.
    pub(super) fn expected(&self, class: usize) -> f64 {
        self.classes[class].mean
    }

    /// Returns the latency of an idle backend for this class, microseconds.
    pub(super) fn idle(&self, class: usize) -> f64 {
        self.classes[class].idle
    }

    /// Records the latency of an attempt that was answered or timed out.
    pub(super) fn record_attempt(&mut self, class: usize, latency: f64) {
        let class = &mut self.classes[class];
        class.mean += MEAN_WEIGHT * (latency - class.mean);
        class.idle = class.idle.min(class.mean);
    }

    /// Records the latency of an answer.
    pub(super) fn record_answer(&mut self, latency: f64) {
        self.mean += MEAN_WEIGHT * (latency - self.mean);
    }

    /// Raises the idle latencies for the elapsed `span`, up to the means, and updates the headroom.
    pub(super) fn raise_idle(&mut self, classes: &[Class], span: Micros) {
        for class in &mut self.classes {
            class.idle = (class.idle * (1.0 + IDLE_RISE * span as f64 / SECOND)).min(class.mean);
        }
        let pairs = classes.iter().zip(&self.classes);
        let headrooms = pairs.map(|(class, latency)| class.latency_objective as f64 / latency.idle.max(1.0));
        self.headroom = headrooms.fold(f64::MAX, f64::min);
    }
}
