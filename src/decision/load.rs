//! Periodic measurement of the load.

use super::engine::Limiter;
use super::SECOND;
use crate::interface::Micros;

/// Interval of the load measurement.
const MEASUREMENT_INTERVAL: Micros = 500_000;
/// Time constant of the usual load of a warm backend, microseconds.
const LOAD_DECAY_TIME: f64 = 10.0 * SECOND;
/// Weight of the newest measurement of this limiter's own sends.
const RATE_WEIGHT: f64 = 0.3;

/// Counts attempts and answers, and turns them into rates.
#[derive(Default)]
pub(super) struct LoadMeter {
    measured_at: Micros,
    /// Counts since the last measurement: answers, attempts, and the microseconds that attempts took.
    answers: f64,
    attempts: f64,
    attempt_micros: f64,
    /// Recent answers per second for the capacity of one warm backend.
    pub(super) load_per_backend: f64,
    /// Recent attempts per second.
    pub(super) attempt_rate: f64,
    /// Recent mean number of attempts in flight.
    pub(super) mean_in_flight: f64,
}

impl LoadMeter {
    pub(super) fn start(&mut self, now: Micros) {
        self.measured_at = now;
    }

    pub(super) fn record_attempt(&mut self, expected: f64) {
        self.attempts += 1.0;
        self.attempt_micros += expected;
    }

    /// Adds the time by which an attempt exceeded its expected duration; negative if it was shorter.
    pub(super) fn record_overtime(&mut self, micros: f64) {
        self.attempt_micros += micros;
    }

    pub(super) fn record_answer(&mut self) {
        self.answers += 1.0;
    }

    /// Returns the time since the last measurement if another one is due.
    fn due_span(&self, now: Micros) -> Option<Micros> {
        let span = now.saturating_sub(self.measured_at);
        (span >= MEASUREMENT_INTERVAL).then_some(span)
    }

    fn measure(&mut self, capacity: f64, span: Micros, now: Micros) {
        let span = span as f64;
        let load_per_backend = self.answers / span * SECOND / capacity;
        let decay = (-span / LOAD_DECAY_TIME).exp();
        self.load_per_backend = self.load_per_backend * decay + load_per_backend * (1.0 - decay);
        let weight = if self.attempt_rate > 0.0 { RATE_WEIGHT } else { 1.0 };
        self.attempt_rate += (self.attempts / span * SECOND - self.attempt_rate) * weight;
        self.mean_in_flight += (self.attempt_micros / span - self.mean_in_flight) * weight;
        (self.answers, self.attempts, self.attempt_micros) = (0.0, 0.0, 0.0);
        self.measured_at = now;
    }
}

impl Limiter {
    /// Measures the load if a measurement is due, and updates what depends on it.
    pub(super) fn measure_load(&mut self) {
        let now = self.now;
        let Some(span) = self.load.due_span(now) else { return };
        self.choose_subset();
        let capacity = self.serving_capacity();
        self.latencies.raise_idle(&self.settings.classes, span);
        self.load.measure(capacity, span, now);
        if !self.fullness.is_full() {
            self.pacing.raise(self.load.mean_in_flight, span);
        }
        self.forget_idle_customers();
    }

    /// Returns the capacity in service, in warm backends. It is at least half the number of backends, so that
    /// the load per backend does not seem unbounded while most of them warm up.
    fn serving_capacity(&self) -> f64 {
        let backends = &self.backends.entries;
        let in_service = backends.in_service();
        let warming = in_service.warming_from(0).map(|slot| self.capacity_share(backends.at(slot)));
        let capacity = in_service.warm_count() as f64 + warming.sum::<f64>();
        capacity.max((backends.len() as f64 / 2.0).max(1.0))
    }
}
