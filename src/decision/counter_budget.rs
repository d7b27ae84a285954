//! The call budget: the rate of calls to the quota counter, and the backoff after failed calls.

use super::random::Random;
use super::token_bucket::TokenBucket;
use super::SECOND;
use crate::interface::Micros;

/// Calls per second of all limiters together: the initial rate, the minimum, and the increase with answers.
/// In many-limiters mode the initial rate is lower, as all limiters may start at once.
const INITIAL_CALLS: f64 = 1_000.0;
const INITIAL_CALLS_MANY_LIMITERS: f64 = 500.0;
const MIN_CALLS: f64 = 100.0;
/// Maximum calls per second of one limiter. It bounds the rate of a counter that never fails, and is more
/// than a limiter makes, which has one call per request at most.
const MAX_CALLS_PER_LIMITER: f64 = 100_000.0;
const CALLS_INCREASE: f64 = 20.0;
const CALLS_INCREASE_MANY_LIMITERS: f64 = 80.0;
/// Factor on the rate after a failure, applied once per backoff.
const CALLS_DECREASE: f64 = 0.7;
/// Part of a call that usage reports leave for quota prechecks.
pub(super) const RESERVED_FOR_PRECHECKS: f64 = 0.4;
/// Time after an unanswered call during which nothing waits for the counter. It doubles with each further
/// failure, up to the maximum; it is short because one lost answer does not mean that the counter is down.
const BACKOFF: Micros = 62_500;
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// Maximum number of unused calls that are kept once a call has failed, in seconds of the rate.
const MAX_SAVED_SECONDS: f64 = 0.1;

/// Limits the calls that this limiter makes to the quota counter.
#[derive(Default)]
pub(super) struct CounterBudget {
    calls: TokenBucket,
    limiters: f64,
    many_limiters: bool,
    decreased_at: Micros,
    backoff_until: Micros,
    /// Failures since the counter last answered; those within one backoff count as one.
    failures: u32,
}

impl CounterBudget {
    pub(super) fn new(limiters: u32, many_limiters: bool) -> CounterBudget {
        let limiters = f64::from(limiters);
        let initial = if many_limiters { INITIAL_CALLS_MANY_LIMITERS } else { INITIAL_CALLS };
        let rate = initial / limiters;
        let capacity = rate.max(1.0 + RESERVED_FOR_PRECHECKS);
        let calls = TokenBucket { level: 1.0, rate, capacity, refilled_at: 0 };
        CounterBudget { calls, limiters, many_limiters, ..CounterBudget::default() }
    }

    /// Whether the counter may be called: no backoff is running.
    pub(super) fn is_reachable(&self, now: Micros) -> bool {
        now >= self.backoff_until
    }

    /// Takes one call from the budget if it is available and leaves `reserved` of a call.
    pub(super) fn try_take(&mut self, reserved: f64, now: Micros) -> bool {
        self.calls.refill(now);
        if self.calls.level < 1.0 + reserved || !self.is_reachable(now) {
            return false;
        }
        self.calls.level -= 1.0;
        true
    }

    /// Returns the time until a call is available.
    pub(super) fn time_to_call(&mut self, now: Micros) -> Micros {
        self.calls.refill(now);
        ((1.0 - self.calls.level) / self.calls.rate * SECOND).max(0.0) as Micros
    }

    /// Returns how long a report that found no call available waits: the rest of the backoff and the time
    /// between two calls. It is never 0.
    pub(super) fn report_delay(&self, now: Micros) -> Micros {
        self.backoff_until.saturating_sub(now) + (SECOND / self.calls.rate).max(1.0) as Micros
    }

    /// Records an answer: ends the backoff and raises the rate.
    pub(super) fn record_success(&mut self) {
        self.backoff_until = 0;
        self.failures = 0;
        // In few-limiters mode the rate rises steadily per second rather than per call, to probe the
        // counter's capacity.
        let increase =
            if self.many_limiters { CALLS_INCREASE_MANY_LIMITERS } else { CALLS_INCREASE / self.calls.rate };
        self.calls.rate = (self.calls.rate + increase / self.limiters).min(MAX_CALLS_PER_LIMITER);
    }

    /// Records an unanswered call: lowers the rate and starts a backoff. Returns the end of the backoff.
    pub(super) fn record_failure(&mut self, now: Micros, random: Random) -> Micros {
        // One congestion event cuts the rate only once: calls in flight when it began fail together.
        let is_new = !self.many_limiters || now >= self.decreased_at + BACKOFF;
        if self.is_reachable(now) && is_new {
            self.decrease(now);
        }
        self.backoff_until = self.backoff_until.max(now + self.backoff(now, random));
        self.backoff_until
    }

    fn decrease(&mut self, now: Micros) {
        self.decreased_at = now;
        let min = MIN_CALLS / self.limiters;
        self.calls.rate = (self.calls.rate * CALLS_DECREASE).max(min);
        self.failures += 1;
        if !self.many_limiters {
            self.calls.capacity = (self.calls.rate * MAX_SAVED_SECONDS).max(1.0 + RESERVED_FOR_PRECHECKS);
            self.calls.level = self.calls.level.min(1.0);
        }
    }

    fn backoff(&self, now: Micros, random: Random) -> Micros {
        let doublings = self.failures.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS);
        let backoff = BACKOFF << doublings;
        if !self.many_limiters {
            return backoff;
        }
        // If all limiters paused and returned together, they would overload the counter again each time. So a
        // single failure only lowers the rate, and later backoffs get a jitter per limiter.
        if self.failures > 1 {
            backoff + random.draw(now) % backoff
        } else {
            0
        }
    }
}

#[cfg(test)]
mod tests;
