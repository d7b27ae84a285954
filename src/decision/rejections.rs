//! Ends requests that no backend has answered.

use super::engine::Limiter;
use super::requests::PendingRequest;
use super::SECOND;
use crate::interface::{Action, Micros, RequestId};

impl Limiter {
    /// Ends a request without an answer from a backend: with a rejection if the client may safely retry,
    /// otherwise with a failure, as an attempt may have run.
    pub(super) fn reject(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let may_have_run = request.first_run.is_some() || request.in_flight > 0;
        let idempotency = self.settings.classes[request.class].idempotency;
        let action = if !may_have_run || idempotency.may_retry_on_any_backend() {
            Action::Reject { request: id, retry_after: self.retry_after(request) }
        } else {
            Action::Fail { request: id }
        };
        self.actions.push(action);
        self.remove_request(id);
    }

    /// Returns how long the client should wait before it retries a rejected request: until its customer's
    /// quota or ceiling is refilled, or otherwise until the queue has drained at the recent rate, and at
    /// least the cooldown if an attempt was started.
    fn retry_after(&self, request: &PendingRequest) -> Micros {
        let Some(c) = self.customers.get(&request.customer) else { return 0 };
        let refill_time =
            |level: f64, rate: f64| if rate > 0.0 { (request.units - level) / rate } else { 0.0 };
        let quota_wait = if request.is_prechecked {
            refill_time(c.slice.shared_level, self.quota(c.plan).rate)
        } else if !request.has_quota {
            refill_time(c.slice.bucket.level, c.slice.bucket.rate)
        } else {
            0.0
        };
        let refill_wait = quota_wait.max(refill_time(c.ceiling.level, c.ceiling.rate));
        let queued = self.requests.len().saturating_sub(self.attempts.len()) as f64;
        let drain_wait = queued / self.load.attempt_rate.max(SECOND / self.cooldown as f64);
        let wait = if refill_wait > 0.0 { refill_wait } else { drain_wait } * SECOND;
        let cooldown = if request.attempts > 0 { self.cooldown } else { 0 };
        (wait as Micros).max(cooldown).min(self.settings.max_retry_after)
    }

    /// Removes a request and releases what it reserved.
    pub(super) fn remove_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else { return };
        if let (0, Some(c)) = (request.in_flight, self.customers.get_mut(&request.customer)) {
            c.queues[self.tier_of[request.class]].requests.retain(|queued| *queued != id);
            let holds_quota = request.attempts == 0 && request.has_quota && !request.is_prechecked;
            if holds_quota && c.slice.is_limited() {
                c.slice.cancel_reservation(request.units);
            }
            self.return_spare_permits(request.customer);
        }
        if request.is_prechecked && request.attempts == 0 {
            self.record_usage(request.customer, -request.units);
        }
    }
}
