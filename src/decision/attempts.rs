//! Starts attempts and handles their ends: settles units, retries or rejects.

use super::backends::OpenAttempt;
use super::engine::Limiter;
use super::latencies::MEAN_WEIGHT;
use super::requests::{FirstRun, PendingRequest};
use super::timers::TimerKind;
use super::SECOND;
use crate::interface::{
    Action, AttemptResult, BackendId, BackendState, CustomerId, Idempotency, Micros, Outcome, RequestId,
};

/// Factor on the duration of a timed-out attempt, whose work goes on at the backend for an unknown time.
const TIMED_OUT_MULTIPLE: f64 = 2.0;
/// Maximum duration charged for an attempt, as a multiple of its expected latency, so that one attempt
/// without an answer does not block a limiter's pacing for seconds.
const MAX_CHARGED_MULTIPLE: f64 = 8.0;
/// Timeout of an attempt as a multiple of its expected latency. Set only if a retry can still meet the
/// latency objective.
const TIMEOUT_MULTIPLE: f64 = 4.0;

/// Identifies an attempt; the first attempt of a request has number 0.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptId {
    pub(super) request: RequestId,
    pub(super) attempt: u32,
}

/// An attempt in flight.
pub(super) struct InFlightAttempt {
    pub(super) backend: BackendId,
    pub(super) customer: CustomerId,
    pub(super) class: usize,
    pub(super) started_at: Micros,
    /// Expected duration in microseconds, which pacing was charged at the start.
    pub(super) expected: f64,
}

impl InFlightAttempt {
    /// Returns the entry of this attempt in the table of its backend.
    pub(super) fn open_attempt(&self, request: RequestId, attempt: u32) -> OpenAttempt {
        OpenAttempt { started_at: self.started_at, request, attempt, class: self.class }
    }

    /// Returns by how many microseconds the attempt has exceeded its expected duration so far.
    pub(super) fn overtime(&self, now: Micros) -> f64 {
        let age = (now - self.started_at) as f64;
        age.clamp(self.expected, self.expected * MAX_CHARGED_MULTIPLE) - self.expected
    }

    /// Returns by how many microseconds the ended attempt exceeded its expected duration; negative if it was
    /// shorter.
    fn final_overtime(&self, outcome: Outcome, now: Micros) -> f64 {
        let multiple = if outcome == Outcome::TimedOut { TIMED_OUT_MULTIPLE } else { 1.0 };
        ((now - self.started_at) as f64 * multiple).min(self.expected * MAX_CHARGED_MULTIPLE) - self.expected
    }
}

impl Limiter {
    /// Starts an attempt and returns its expected duration in seconds.
    pub(super) fn start_attempt(&mut self, id: RequestId, backend: BackendId) -> f64 {
        let (now, window) = (self.now, self.overload_window());
        let Some(request) = self.requests.get(&id) else { return 0.0 };
        let timeout = self.attempt_timeout(request, &backend);
        let Some(request) = self.requests.get_mut(&id) else { return 0.0 };
        let idempotency = self.settings.classes[request.class].idempotency;
        let write_within = request.retry_window_left(idempotency, now + self.settings.tick);
        let action = Action::StartAttempt { request: id, backend: backend.clone(), timeout, write_within };
        self.actions.push(action);
        let attempt = request.attempts;
        request.attempts += 1;
        request.in_flight += 1;
        request.tried.push(backend.clone());
        let (class, customer, units) = (request.class, request.customer, request.units);
        let (is_first, is_prechecked) = (attempt == 0, request.is_prechecked);
        let expected = self.latencies.expected(class);
        let in_flight = InFlightAttempt { backend, customer, class, started_at: now, expected };
        if let Some(backend) = self.backends.entries.get_mut(&in_flight.backend) {
            backend.in_flight.insert(in_flight.open_attempt(id, attempt));
            backend.window_attempts.record(window);
        }
        self.attempts.insert(AttemptId { request: id, attempt }, in_flight);
        if let Some(c) = self.customers.get_mut(&customer) {
            c.permits.in_flight += 1;
            c.queues[self.tier_of[class]].requests.pop_front();
            if is_first {
                c.ceiling.refill(now);
                c.ceiling.level -= units;
                c.slice.reserved = (c.slice.reserved - units).max(0.0);
            }
        }
        self.load.record_attempt(expected);
        self.pacing.take(expected);
        self.retry_budget.record_attempt();
        if is_first && !is_prechecked {
            self.record_usage(customer, units);
        }
        expected / SECOND
    }

    /// Returns the timeout of an attempt. There is one only if a retry would be allowed, has another backend
    /// to go to and can be answered in time.
    fn attempt_timeout(&self, request: &PendingRequest, backend: &BackendId) -> Option<Micros> {
        let class = &self.settings.classes[request.class];
        let expected = self.latencies.expected(request.class);
        let timeout = (expected * TIMEOUT_MULTIPLE) as Micros;
        let elapsed = self.now.saturating_sub(request.arrived_at) + timeout + expected as Micros;
        let is_in_time = elapsed < class.latency_objective && self.now + elapsed < request.deadline;
        let may_retry = self.retry_budget.has_retry()
            && request.attempts + 1 < self.settings.max_attempts
            && class.idempotency.may_retry_on_any_backend();
        let can_retry = is_in_time && may_retry && self.has_untried_backend(request, backend);
        can_retry.then_some(timeout)
    }

    /// Whether a backend in service is left that this request has not been sent to; `next` counts as sent to.
    fn has_untried_backend(&self, request: &PendingRequest, next: &BackendId) -> bool {
        let is_in_service = |name: &BackendId| {
            self.backends.entries.get(name).is_some_and(|backend| backend.state == BackendState::InService)
        };
        let tried = request.tried.iter().filter(|name| *name != next && is_in_service(name)).count();
        self.backends.entries.in_service().len() > tried + usize::from(is_in_service(next))
    }

    /// Handles the end of an attempt: updates the backend's statistics, settles the units, and retries or
    /// rejects a request that has no answer.
    pub(super) fn on_attempt_ended(&mut self, attempt: &InFlightAttempt, end: &AttemptResult) {
        let now = self.now;
        let overtime = attempt.final_overtime(end.outcome, now);
        self.pacing.take(overtime);
        self.load.record_overtime(overtime);
        self.record_outcome(attempt, end);
        if let Some(c) = self.customers.get_mut(&attempt.customer) {
            c.permits.in_flight = c.permits.in_flight.saturating_sub(1);
            c.last_active_at = now;
        }
        self.settle_units(attempt.customer, end);
        if end.request_done {
            return self.remove_request(end.request);
        }
        let has_not_run =
            matches!(end.outcome, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent);
        let Some(request) = self.requests.get_mut(&end.request) else { return };
        request.in_flight = request.in_flight.saturating_sub(1);
        if !has_not_run && request.first_run.is_none() {
            let backend = self.backends.entries.get(&attempt.backend);
            let (zone, cell) =
                backend.map_or((String::from("?"), u32::MAX), |backend| (backend.zone.clone(), backend.cell));
            request.first_run = Some(FirstRun { started_at: attempt.started_at, zone, cell });
        }
        if self.may_retry(end.request, has_not_run) {
            self.queue_retry(attempt, end.request, has_not_run);
        } else {
            self.reject(end.request);
        }
    }

    /// Replaces the estimated units of a request by the actual ones.
    fn settle_units(&mut self, customer: CustomerId, end: &AttemptResult) {
        let (Outcome::Ok, Some(request)) = (end.outcome, self.requests.get(&end.request)) else { return };
        let units = end.actual_units.unwrap_or(request.units);
        let difference = units - request.units;
        if let Some(c) = self.customers.get_mut(&customer) {
            c.slice.bucket.settle(difference);
        }
        self.mean_units += MEAN_WEIGHT * (units - self.mean_units);
        self.record_usage(customer, difference);
    }

    fn may_retry(&self, id: RequestId, has_not_run: bool) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let class = &self.settings.classes[request.class];
        let is_safe = class.idempotency != Idempotency::NotIdempotent || request.first_run.is_none();
        let is_in_time = self.now + (self.latencies.expected(request.class) as Micros) < request.deadline
            && self.now.saturating_sub(request.arrived_at) < class.latency_objective;
        let has_budget = has_not_run || self.retry_budget.has_retry();
        is_safe && is_in_time && has_budget && request.attempts < self.settings.max_attempts
    }

    fn queue_retry(&mut self, attempt: &InFlightAttempt, id: RequestId, has_not_run: bool) {
        if !has_not_run {
            self.retry_budget.spend();
        }
        if let Some(c) = self.customers.get_mut(&attempt.customer) {
            c.queues[self.tier_of[attempt.class]].requests.push_front(id);
        }
        self.timers.schedule(self.now + self.cooldown / 4, TimerKind::QueueTimeout(id));
    }
}
