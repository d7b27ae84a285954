//! The fullness of all backends together, and the pacing that follows from it in many-limiters mode.

use super::engine::Limiter;
use super::release_gate::TIER_RESERVE;
use super::token_bucket::TokenBucket;
use super::SECOND;
use crate::interface::Micros;

/// Pressure from which all backends together look full, as a share of the latency objective. It is higher
/// than for a single backend, as no other one is left to choose.
const FULL_PRESSURE: f64 = 0.4;
/// Weight of the newest latency in the pressure: it takes a dozen answers to tell load from chance.
const PRESSURE_WEIGHT: f64 = 0.08;
/// Time constant in microseconds with which old latencies fade: few answers arrive while little is sent.
const PRESSURE_DECAY_TIME: f64 = 3.0 * SECOND;

/// Minimum of attempts in flight per backend, over all limiters, however full the backends look, as not all
/// slowness comes from load. Pacing starts at this value.
const MIN_IN_FLIGHT: f64 = 2.0;
/// Factor on the mean number of attempts in flight to which the rate is cut, at most once in two cooldowns,
/// while the backends look full.
const RATE_DECREASE: f64 = 0.7;
/// Increase of the rate per second, as a share, while the backends do not look full and at least `MIN_USED`
/// of the rate is used. An unused rate must not rise so far that it no longer limits when backends become
/// fewer.
const RATE_INCREASE: f64 = 0.5;
const MIN_USED: f64 = 0.5;

/// How full all backends together look, by recent latency.
#[derive(Default)]
pub(super) struct FleetFullness {
    /// Mean latency as a share of the latency objective.
    pub(super) pressure: f64,
    last_attempt_at: Micros,
}

impl FleetFullness {
    pub(super) fn record(&mut self, pressure: f64, attempt_rate: f64, now: Micros) {
        let elapsed = now.saturating_sub(self.last_attempt_at) as f64 / PRESSURE_DECAY_TIME;
        let weight = PRESSURE_WEIGHT.min(1.0 / attempt_rate.max(1.0)).max(1.0 - (-elapsed).exp());
        self.last_attempt_at = now;
        self.pressure += weight * (pressure.min(1.0) - self.pressure);
    }

    pub(super) fn is_full(&self) -> bool {
        self.pressure >= FULL_PRESSURE
    }
}

/// Limits the mean number of attempts in flight, fractions included, by a token bucket of attempt-seconds.
///
/// Protects against hundreds of limiters that each see too little of any backend to find it full. An attempt
/// takes its expected duration from the bucket, and more as it lasts longer. So fewer attempts are sent as
/// soon as answers are missing for whatever reason (backends lost or slow, heavier requests, congestion),
/// before any late answer has shown it. The rate follows the latency of all backends together. Drawback:
/// where many attempts get no answer, the seconds that they take are missing for others.
#[derive(Default)]
pub(super) struct Pacing {
    bucket: TokenBucket,
    lowered_at: Micros,
}

impl Pacing {
    /// Takes the expected duration of an attempt, or the time by which it exceeded that.
    pub(super) fn take(&mut self, micros: f64) {
        self.bucket.level -= micros / SECOND;
    }

    /// Raises the rate if enough of it is used.
    pub(super) fn raise(&mut self, mean_in_flight: f64, span: Micros) {
        if mean_in_flight > MIN_USED * self.bucket.rate {
            self.bucket.rate *= 1.0 + RATE_INCREASE * span as f64 / SECOND;
        }
    }

    fn lower(&mut self, mean_in_flight: f64, now: Micros) {
        self.bucket.rate = self.bucket.rate.min(mean_in_flight) * RATE_DECREASE;
        self.lowered_at = now;
    }

    /// Returns the available attempt-seconds. The bucket holds at least `burst` microseconds above the
    /// `overtime` of the attempts in flight.
    fn allowance(&mut self, burst: f64, overtime: f64, cooldown: Micros, now: Micros) -> f64 {
        let bucket = &mut self.bucket;
        bucket.capacity = (bucket.rate * cooldown as f64).max(burst) / SECOND + overtime;
        bucket.refill(now);
        bucket.level = bucket.level.min(bucket.capacity);
        bucket.level - overtime
    }
}

impl Limiter {
    /// Returns the attempt-seconds that may be sent now; unlimited in few-limiters mode.
    pub(super) fn pacing_allowance(&mut self) -> f64 {
        if !self.many_limiters {
            return f64::MAX;
        }
        let (now, pacing) = (self.now, &mut self.pacing);
        let backends_each = self.backends.entries.len() as f64 / f64::from(self.settings.limiters);
        if self.fullness.is_full() && now >= pacing.lowered_at + 2 * self.cooldown {
            pacing.lower(self.load.mean_in_flight, now);
        }
        pacing.bucket.rate = pacing.bucket.rate.max(MIN_IN_FLIGHT * backends_each);
        let burst = (1.0 + TIER_RESERVE * self.rotations.tiers() as f64) * self.latencies.mean;
        let overtime = self.attempts.values().map(|attempt| attempt.overtime(now)).sum::<f64>() / SECOND;
        pacing.allowance(burst, overtime, self.cooldown, now)
    }
}
