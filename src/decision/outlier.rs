//! Detects full and slow backends from the ends of attempts.

use super::attempts::InFlightAttempt;
use super::backends::Backend;
use super::engine::Limiter;
use super::latencies::MEAN_WEIGHT;
use super::SECOND;
use crate::interface::{AttemptResult, Micros, Outcome};

/// Recent mean latency from which a backend looks full, as a share of the latency objective: at this mean one
/// answer in 50 is late.
const FULL_PRESSURE: f64 = 0.26;
/// Weight of the newest latency in a backend's moving averages.
const LATENCY_WEIGHT: f64 = 0.2;
/// Factor on a backend's limit of attempts in flight when it looks full, applied at most once per latency.
const LIMIT_DECREASE: f64 = 0.85;
/// Share of the limit that must be in use for the limit to grow.
const MIN_LIMIT_USED: f64 = 0.5;
/// Maximum number of times that consecutive failures (rejections, errors, failed connects) double a backend's
/// cooldown.
pub(super) const MAX_COOLDOWN_DOUBLINGS: u32 = 4;
/// Time constant in microseconds with which slowness fades, so that a backend that was slow is tried again.
const SLOWNESS_DECAY_TIME: f64 = 8.0 * SECOND;
/// Age of the oldest unanswered attempt, in idle latencies, per unit of slowness.
const SILENCE_PER_SLOWNESS: f64 = 3.0;

/// Health of a backend, learned from the ends of its attempts.
#[derive(Default)]
pub(super) struct BackendHealth {
    /// Recent latency as a share of the latency objective of the tightest class.
    pressure: f64,
    slowness: f64,
    last_latency_at: Micros,
    /// Limit of attempts in flight.
    limit: f64,
    limit_lowered_at: Micros,
    /// Consecutive failures.
    failures: u32,
    full_until: Micros,
}

impl BackendHealth {
    pub(super) fn new(limit: f64) -> BackendHealth {
        BackendHealth { limit, slowness: 1.0, ..BackendHealth::default() }
    }

    fn record_latency(&mut self, pressure: f64, slowness: f64, now: Micros) {
        self.pressure += LATENCY_WEIGHT * (pressure - self.pressure);
        self.slowness += LATENCY_WEIGHT * (slowness - self.slowness);
        self.last_latency_at = now;
    }

    /// Resets the failures after an answer.
    fn clear_failures(&mut self) {
        self.failures = 0;
        self.full_until = 0;
    }

    /// Adapts the limit of attempts in flight to the latency.
    fn adapt_limit(&mut self, in_flight: usize, latency: Micros, now: Micros) {
        let looks_full = self.pressure >= FULL_PRESSURE;
        let is_used = in_flight as f64 + 1.0 >= self.limit * MIN_LIMIT_USED;
        if looks_full && now >= self.limit_lowered_at + latency {
            self.lower_limit();
            self.limit_lowered_at = now;
        } else if !looks_full && is_used {
            self.limit += 1.0 / self.limit;
        }
    }

    fn lower_limit(&mut self) {
        self.limit = (self.limit * LIMIT_DECREASE).max(1.0);
    }

    fn record_failure(&mut self, is_rejection: bool, cooldown: Micros, now: Micros) {
        self.failures += 1;
        let doubled = cooldown << (self.failures - 1).min(MAX_COOLDOWN_DOUBLINGS);
        // A single error does not make a backend full; a rejection or a second failure does.
        if is_rejection || self.failures > 1 {
            self.full_until = now + doubled / 2;
        }
        self.lower_limit();
    }

    /// Whether a cooldown is running, a trial attempt after a failure is in flight, or the limit is reached.
    fn is_full(&self, in_flight: usize, now: Micros) -> bool {
        let in_flight = in_flight as f64;
        let is_on_trial = self.failures > 0 && in_flight >= 1.0;
        now < self.full_until || is_on_trial || in_flight >= self.limit.max(1.0)
    }

    /// Returns the slowness by answered latencies, which fades over time.
    fn remembered_slowness(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.last_latency_at) as f64;
        1.0 + (self.slowness - 1.0) * (-age / SLOWNESS_DECAY_TIME).exp()
    }
}

impl Limiter {
    /// Returns how many times slower than the others a backend looks now. A backend that does not answer is
    /// not healthy: the age of its oldest attempt counts as a latency.
    pub(super) fn slowness(&self, backend: &Backend) -> f64 {
        let silence = backend
            .in_flight
            .first()
            .map_or(0.0, |oldest| (self.now - oldest.started_at) as f64 / self.latencies.idle(oldest.class));
        backend.health.remembered_slowness(self.now).max(silence / SILENCE_PER_SLOWNESS)
    }

    /// Whether a backend is too full to get another attempt.
    pub(super) fn is_full(&self, backend: &Backend) -> bool {
        backend.health.is_full(backend.in_flight.len(), self.now)
    }

    /// Updates a backend's statistics from an outcome. Errors and failed connects count as failures, however
    /// fast they occur.
    pub(super) fn record_outcome(&mut self, attempt: &InFlightAttempt, end: &AttemptResult) {
        let now = self.now;
        let Some(backend) = self.backends.entries.get_mut(&attempt.backend) else { return };
        if let Some(utilization) = end.report.utilization {
            backend.utilization.record(utilization, now);
            self.backends.mean_utilization += MEAN_WEIGHT * (utilization - self.backends.mean_utilization);
        }
        backend.in_flight.remove(&attempt.open_attempt(end.request, end.attempt));
        match end.outcome {
            Outcome::Ok | Outcome::TimedOut => self.record_latency(attempt, end),
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::Error | Outcome::Reset => {
                let is_rejection = end.outcome == Outcome::Rejected;
                backend.health.record_failure(is_rejection, self.cooldown, now);
            }
            Outcome::Canceled | Outcome::NotSent => {}
        }
    }

    fn record_latency(&mut self, attempt: &InFlightAttempt, end: &AttemptResult) {
        let (now, class, latency) = (self.now, attempt.class, end.latency as f64);
        let Some(backend) = self.backends.entries.get_mut(&attempt.backend) else { return };
        // A timed-out attempt must not make a backend look healthy, so its pressure is at least 1. All
        // classes are measured by the tightest one: measured by its own objective, a slow class would fill
        // all backends.
        let timed_out = end.outcome == Outcome::TimedOut;
        let pressure = latency / self.latencies.idle(class) / self.latencies.headroom;
        let pressure = pressure.max(f64::from(u8::from(timed_out)));
        let slowness = latency / self.latencies.expected(class);
        backend.health.record_latency(pressure, slowness, now);
        self.fullness.record(pressure, self.load.attempt_rate, now);
        self.latencies.record_attempt(class, latency);
        if !timed_out {
            self.load.record_answer();
            self.latencies.record_answer(latency);
            backend.health.clear_failures();
        }
        backend.health.adapt_limit(backend.in_flight.len(), end.latency, now);
    }
}
