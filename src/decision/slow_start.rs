//! Slow start: limits what a recently started backend gets.

use super::backends::Backend;
use super::engine::Limiter;
use super::random::mix_bits;
use super::SECOND;
use crate::interface::{Micros, SlowStart};

/// Part of the overload limit that is used; the rest is a margin for chance and for limiters that see more of
/// the traffic.
const BUDGET_USED: f64 = 0.5;
/// Maximum load of a backend that is warming up in many-limiters mode, relative to the load of warm backends
/// of the same capacity.
const MAX_LOAD_MANY_LIMITERS: f64 = 1.0;
/// Minimum share of its capacity that a backend is assumed to have.
const MIN_SHARE: f64 = 0.01;

/// Attempts that a backend got in the latest overload window.
#[derive(Clone, Copy, Default)]
pub(super) struct WindowAttempts {
    window: u64,
    attempts: f64,
}

impl WindowAttempts {
    fn in_window(&self, window: u64) -> f64 {
        if self.window == window {
            self.attempts
        } else {
            0.0
        }
    }

    pub(super) fn record(&mut self, window: u64) {
        let attempts = self.in_window(window) + 1.0;
        *self = WindowAttempts { window, attempts };
    }
}

impl Backend {
    /// Returns the share of its capacity that the backend has at least.
    pub(super) fn capacity_share(&self, slow_start: &SlowStart, now: Micros) -> f64 {
        if self.started_at == 0 {
            return 1.0;
        }
        let age = now.saturating_sub(self.started_at) as f64 / slow_start.duration.max(1) as f64;
        (slow_start.initial_share + (1.0 - slow_start.initial_share) * age).clamp(MIN_SHARE, 1.0)
    }
}

impl Limiter {
    /// Returns the number of this limiter's current overload window.
    pub(super) fn overload_window(&self) -> u64 {
        (self.now + self.random.phase) / self.settings.slow_start.overload_window.max(1)
    }

    /// Returns the share of its capacity that a backend has at least.
    pub(super) fn capacity_share(&self, backend: &Backend) -> f64 {
        backend.capacity_share(&self.settings.slow_start, self.now)
    }

    /// Whether a backend that is warming up may get one more attempt.
    ///
    /// Prevents overload: within one overload window this limiter sends no more than its part of the overload
    /// limit. Its part of the capacity is estimated from the rate at which warm backends answer this limiter.
    /// That is a lower bound, so the parts of all limiters add up to less than the limit. A budget below one
    /// attempt is a probability, drawn anew in each window, as hundreds of limiters must not send one attempt
    /// each.
    pub(super) fn has_slow_start_budget(&self, backend: &Backend, share: f64) -> bool {
        let slow_start = &self.settings.slow_start;
        let max_multiple = BUDGET_USED * slow_start.overload_multiple;
        let multiple =
            if self.many_limiters { max_multiple.min(MAX_LOAD_MANY_LIMITERS) } else { max_multiple };
        let budget =
            multiple * share * self.load.load_per_backend * slow_start.overload_window as f64 / SECOND;
        let window = self.overload_window();
        let draw = self.random.draw_fraction(mix_bits(backend.hash ^ window));
        let granted = budget.floor() + f64::from(u8::from(draw < budget.fract()));
        backend.window_attempts.in_window(window) < granted
    }
}
