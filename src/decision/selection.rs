//! Selects the backend of an attempt, and the subset of backends that a limiter uses in many-limiters mode.

use super::backends::Backend;
use super::engine::Limiter;
use super::random::mix_bits;
use super::requests::PendingRequest;
use super::SECOND;
use crate::interface::{BackendId, BackendState, Micros, RequestId};

/// Size of the backend subset in many-limiters mode: at least `MIN_SUBSET` warm backends, and more where each
/// backend would otherwise get fewer than `LIMITERS_PER_BACKEND` limiters.
const MIN_SUBSET: usize = 20;
const LIMITERS_PER_BACKEND: usize = 16;
/// Weight in the score of a backend's reported utilization relative to the mean, the time constant in
/// microseconds with which a report fades, and the minimum of the resulting factor.
const UTILIZATION_WEIGHT: f64 = 1.0;
const UTILIZATION_DECAY_TIME: f64 = 0.5 * SECOND;
const MIN_UTILIZATION_FACTOR: f64 = 0.2;
/// Factor on the score of a backend in another zone. Crossing zones costs little, so a small advantage is
/// enough.
const CROSS_ZONE_FACTOR: f64 = 1.15;
/// Weight in many-limiters mode of a backend that is warming up and was granted an attempt: it is selected
/// unless its score is this many times worse than that of others.
const WARMING_WEIGHT: f64 = 3.0;
/// Maximum random increase of a score, as a share, so that equal backends share the load.
const SCORE_JITTER: f64 = 0.05;

/// The utilization that a backend last reported.
#[derive(Clone, Copy, Default)]
pub(super) struct ReportedUtilization {
    value: f64,
    at: Micros,
}

impl ReportedUtilization {
    pub(super) fn record(&mut self, value: f64, now: Micros) {
        *self = ReportedUtilization { value, at: now };
    }

    /// Returns how much busier than the mean the backend is, as a factor. It reflects what other limiters
    /// send, until the report is outdated.
    fn factor(&self, mean: f64, now: Micros) -> f64 {
        let freshness = (-(now.saturating_sub(self.at) as f64) / UTILIZATION_DECAY_TIME).exp();
        (1.0 + UTILIZATION_WEIGHT * freshness * (self.value - mean)).max(MIN_UTILIZATION_FACTOR)
    }
}

impl Limiter {
    /// Returns a backend's rank in this limiter's own order of backends: evenly distributed over the
    /// limiters, and constant.
    fn rank(&self, backend: &Backend) -> u64 {
        mix_bits(u64::from(self.settings.limiter) ^ backend.hash)
    }

    /// Updates the backend subset. In many-limiters mode each limiter sends to a subset of the warm backends:
    /// it would hear too rarely from all of them to know their state, and connections from each limiter to
    /// each backend cost handshakes. A backend that leaves is replaced by the next in rank. Backends that are
    /// warming up are used within their slow-start budget, and retries of requests that may have run go to
    /// any backend that may take them.
    pub(super) fn choose_subset(&mut self) {
        if !self.many_limiters {
            return;
        }
        let is_warm = |b: &&Backend| b.state == BackendState::InService && self.capacity_share(b) == 1.0;
        let warm = self.backends.entries.values().filter(is_warm);
        let mut ranks: Vec<u64> = warm.map(|backend| self.rank(backend)).collect();
        let shared = LIMITERS_PER_BACKEND * ranks.len() / self.settings.limiters as usize;
        ranks.sort_unstable();
        let last = ranks.get(MIN_SUBSET.max(shared) - 1).copied();
        self.backends.max_rank = last.unwrap_or(u64::MAX);
    }

    /// Returns the best backend that may get an attempt of this request now.
    pub(super) fn select_backend(&self, id: RequestId) -> Option<BackendId> {
        let request = &self.requests[&id];
        let mut best: Option<(f64, &BackendId)> = None;
        for (name, backend) in &self.backends.entries {
            let is_open = backend.state == BackendState::InService && !request.tried.contains(name);
            if !is_open || !self.is_eligible(request, backend) {
                continue;
            }
            let score = self.score(id, backend);
            if best.is_none_or(|(lowest, _)| score < lowest) {
                best = Some((score, name));
            }
        }
        best.map(|(_, name)| name.clone())
    }

    /// Whether idempotency, slow start, the subset and the fullness gate allow an attempt of a request at a
    /// backend.
    fn is_eligible(&self, request: &PendingRequest, backend: &Backend) -> bool {
        let idempotency = self.settings.classes[request.class].idempotency;
        if !request.may_run_on(backend, idempotency, self.now + self.settings.tick) {
            return false;
        }
        let share = self.capacity_share(backend);
        let is_chosen = if share < 1.0 {
            self.has_slow_start_budget(backend, share)
        } else {
            !self.many_limiters || request.first_run.is_some() || self.rank(backend) <= self.backends.max_rank
        };
        is_chosen && !self.is_full(backend)
    }

    /// Returns the score of a backend for a request; the lowest score is best.
    fn score(&self, id: RequestId, backend: &Backend) -> f64 {
        let slowness = self.slowness(backend);
        let utilization = backend.utilization.factor(self.backends.mean_utilization, self.now);
        let zone = if backend.zone == self.settings.zone { 1.0 } else { CROSS_ZONE_FACTOR };
        let jitter = 1.0 + SCORE_JITTER * self.random.draw_fraction(backend.hash ^ id);
        let weight = self.score_weight(self.capacity_share(backend));
        slowness * (backend.in_flight.len() as f64 + 1.0) / weight * utilization * zone * jitter
    }

    /// Returns the divisor of a backend's attempts in flight. In many-limiters mode the budget of a backend
    /// that is warming up is a random chance that already reflects its share of the load: weighted by that
    /// share again, the backend would look worse than any idle one and never be selected.
    fn score_weight(&self, share: f64) -> f64 {
        if !self.many_limiters || share == 1.0 {
            share
        } else {
            WARMING_WEIGHT
        }
    }
}
