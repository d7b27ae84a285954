//! Concurrency permits: the limiters share a customer's concurrency limit through the quota counter.

use std::collections::VecDeque;

use super::engine::Limiter;
use super::outlier::MAX_COOLDOWN_DOUBLINGS;
use super::timers::TimerKind;
use super::usage_reports::counter_name;
use crate::interface::{Action, CounterName, CustomerId, Micros, Outcome};

/// Time to live of permits on the counter, after which the permits of a killed limiter are free again.
const PERMIT_TIME_TO_LIVE: Micros = 10_000_000;
/// Base of the delay after a denied permit: the duration of a short attempt. It doubles with each denial in a
/// row, the first included.
const RETRY_DELAY: Micros = 12_000;
/// Maximum number of times that the delay after denials is doubled.
const MAX_DENIAL_DOUBLINGS: u32 = MAX_COOLDOWN_DOUBLINGS;
/// Used in place of the window in the counter name of permits.
const PERMIT_WINDOW: u64 = u64::MAX - 1;

/// A customer's attempts in flight, and the concurrency permits that this limiter holds for them.
#[derive(Default)]
pub(super) struct ConcurrencyPermits {
    pub(super) in_flight: u32,
    /// Permits held on the counter.
    reserved: u32,
    /// Amounts of the calls in flight, oldest first; a positive amount requests a permit.
    calls: VecDeque<f64>,
    /// Amount that is added to the next call: permits that a failed call did not give back (negative), or
    /// permits of this limiter that the counter lost (positive).
    correction: f64,
    /// Consecutive denials.
    denials: u32,
    /// Earliest time of the next request for a permit after a denial.
    retry_at: Micros,
}

impl ConcurrencyPermits {
    /// Whether a permit may be requested: no request is in flight, this limiter alone does not exhaust the
    /// limit, and no delay after a denial is running.
    fn may_ask(&self, limit: u32, now: Micros) -> bool {
        let is_asking = self.calls.iter().any(|amount| *amount > 0.0);
        !is_asking && self.in_flight < limit && now >= self.retry_at
    }

    /// Whether a call to the counter is in flight.
    pub(super) fn has_call(&self) -> bool {
        !self.calls.is_empty()
    }

    fn grant(&mut self) {
        self.reserved += 1;
        self.denials = 0;
    }

    /// Records a denial and returns the time of the next request.
    fn deny(&mut self, now: Micros) -> Micros {
        self.denials = (self.denials + 1).min(MAX_DENIAL_DOUBLINGS);
        self.retry_at = now + (RETRY_DELAY << self.denials);
        self.retry_at
    }

    /// Releases the permits beyond those `needed` and returns their number.
    fn take_spare(&mut self, needed: u32) -> u32 {
        let spare = self.reserved.saturating_sub(needed);
        self.reserved -= spare;
        spare
    }
}

/// Whether `name` is the counter name of the customer's permits.
pub(super) fn is_permit_name(name: CounterName, customer: CustomerId) -> bool {
    name == counter_name(customer, PERMIT_WINDOW)
}

impl Limiter {
    /// Whether a customer may have one more attempt in flight. In few-limiters mode with a shared concurrency
    /// limit, a permit is taken on the counter before the attempt is sent, and given back when no attempt
    /// needs it.
    pub(super) fn acquire_permit(&mut self, customer: CustomerId) -> bool {
        let has_counter = self.has_counter();
        let Some(c) = self.customers.get_mut(&customer) else { return false };
        let limit = self.settings.plans[c.plan].concurrency_limit;
        if limit == 0 || c.permits.in_flight < c.permits.reserved {
            return true;
        }
        if self.many_limiters || !has_counter || c.spread <= 1.0 {
            // The even share applies while the counter does not answer. In many-limiters mode the quota slice
            // already enforces the limit as a rate.
            let even = if self.many_limiters { limit } else { (f64::from(limit) / c.spread) as u32 };
            return c.permits.in_flight < even.max(1);
        }
        if c.permits.may_ask(limit, self.now) {
            self.call_for_permits(customer, 1.0);
        }
        false
    }

    fn call_for_permits(&mut self, customer: CustomerId, amount: f64) {
        let name = counter_name(customer, PERMIT_WINDOW);
        let Some(c) = self.customers.get_mut(&customer) else { return };
        c.permits.calls.push_back(amount);
        let amount = amount + std::mem::take(&mut c.permits.correction);
        self.counter_names.insert(name, customer);
        self.actions.push(Action::CallCounter { name, amount, time_to_live: PERMIT_TIME_TO_LIVE });
    }

    /// Handles the counter's reply to a permit call: keeps the permit if the total is within the limit,
    /// otherwise gives it back.
    pub(super) fn on_permit_reply(&mut self, customer: CustomerId, outcome: Outcome, total: Option<f64>) {
        let Some(c) = self.customers.get_mut(&customer) else { return };
        let permits = &mut c.permits;
        let Some(amount) = permits.calls.pop_front() else { return };
        let Some(total) = total.filter(|_| outcome == Outcome::Ok) else {
            permits.correction += if outcome == Outcome::TimedOut { 0.0 } else { amount.min(0.0) };
            self.on_counter_failure();
            return self.join_rotation(customer);
        };
        if amount < 0.0 {
            return;
        }
        // A total below the permits that this limiter holds means that the counter lost its counts; the next
        // call restores them.
        permits.correction += (f64::from(permits.reserved) + 1.0 - total).max(0.0);
        if total <= f64::from(self.settings.plans[c.plan].concurrency_limit) {
            permits.grant();
            return self.join_rotation(customer);
        }
        let retry_at = permits.deny(self.now);
        self.call_for_permits(customer, -1.0);
        self.timers.schedule(retry_at, TimerKind::JoinRotation(customer));
    }

    /// Gives back the permits that no attempt or queued request needs.
    pub(super) fn return_spare_permits(&mut self, customer: CustomerId) {
        let Some(c) = self.customers.get_mut(&customer) else { return };
        let queued = c.queues.iter().map(|queue| queue.requests.len() as u32).sum::<u32>();
        let spare = c.permits.take_spare(c.permits.in_flight + queued);
        if spare > 0 {
            self.call_for_permits(customer, -f64::from(spare));
        }
    }
}
