//! Selects the backend of an attempt, and the subset of backends that a limiter uses in many-limiters mode.

use super::backend_slots::Slot;
use super::backends::Backend;
use super::engine::Limiter;
use super::requests::PendingRequest;
use super::SECOND;
use crate::interface::{BackendId, Micros, RequestId};

/// Size of the backend subset in many-limiters mode: at least `MIN_SUBSET` warm backends, and more where each
/// backend would otherwise get fewer than `LIMITERS_PER_BACKEND` limiters.
const MIN_SUBSET: usize = 20;
const LIMITERS_PER_BACKEND: usize = 16;
/// Maximum number of backends that are compared for an attempt, once an eligible one was found among them. In
/// a larger fleet the backends that are compared are a random part of it, among which the best is almost as
/// good as the best of all.
const MAX_COMPARED: usize = 256;
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
    /// Updates the backend subset if endpoints or cordons have changed.
    pub(super) fn update_outdated_subset(&mut self) {
        if self.backends.subset_is_outdated {
            self.choose_subset();
        }
    }

    /// Updates the backend subset. In many-limiters mode each limiter sends to a subset of the warm backends:
    /// it would hear too rarely from all of them to know their state, and connections from each limiter to
    /// each backend cost handshakes. A backend that leaves is replaced by the next in rank. Backends that are
    /// warming up are used within their slow-start budget, and retries of requests that may have run go to
    /// any backend that may take them.
    pub(super) fn choose_subset(&mut self) {
        self.backends.subset_is_outdated = false;
        let (slow_start, now) = (self.settings.slow_start, self.now);
        self.backends.entries.promote_warm(|backend| backend.capacity_share(&slow_start, now) == 1.0);
        if !self.many_limiters {
            return;
        }
        let in_service = self.backends.entries.in_service();
        let shared = LIMITERS_PER_BACKEND * in_service.warm_count() / self.settings.limiters as usize;
        self.backends.max_rank = in_service.rank_of_subset(MIN_SUBSET.max(shared)).unwrap_or(u64::MAX);
    }

    /// Returns the best backend that may get an attempt of this request now.
    pub(super) fn select_backend(&self, id: RequestId) -> Option<BackendId> {
        let request = &self.requests[&id];
        let in_service = self.backends.entries.in_service();
        // Drawn anew at each time, so that a request that finds the backends full compares others later.
        let draw = self.random.draw_fraction(id ^ self.now);
        let start = (draw * self.backends.entries.slot_count() as f64) as Slot;
        let start_rank = (draw * self.backends.max_rank as f64) as u64;
        let best = if !self.many_limiters || request.first_run.is_some() {
            self.best_of(id, request, in_service.all_from(start))
        } else {
            let warm = in_service.warm_from(start_rank, self.backends.max_rank).take(MAX_COMPARED);
            let warming = in_service.warming_from(start).take(MAX_COMPARED);
            self.best_of(id, request, warm.chain(warming))
        };
        best.map(|backend| backend.name.clone())
    }

    /// Returns the best of the backends that may get an attempt of a request. Of equal ones, the first in the
    /// order of names is the best.
    fn best_of(
        &self,
        id: RequestId,
        request: &PendingRequest,
        slots: impl Iterator<Item = Slot>,
    ) -> Option<&Backend> {
        let mut best: Option<(f64, &Backend)> = None;
        for (compared, slot) in slots.enumerate() {
            if compared >= MAX_COMPARED && best.is_some() {
                break;
            }
            let backend = self.backends.entries.at(slot);
            if request.tried.contains(&backend.name) || !self.is_eligible(request, backend) {
                continue;
            }
            let score = self.score(id, backend);
            let is_better = |(lowest, lowest_backend): (f64, &Backend)| {
                score < lowest || (score == lowest && backend.name < lowest_backend.name)
            };
            if best.is_none_or(is_better) {
                best = Some((score, backend));
            }
        }
        best.map(|(_, backend)| backend)
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
            !self.many_limiters || request.first_run.is_some() || backend.rank <= self.backends.max_rank
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
