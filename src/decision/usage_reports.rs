//! Usage reports to the quota counter, and the readings that it returns.
//!
//! In many-limiters mode a request may be prechecked: its units are reported before it is sent, and the
//! reading decides whether it is sent.

use super::concurrency::is_permit_name;
use super::counter_budget::RESERVED_FOR_PRECHECKS;
use super::demand::{Demand, Reading};
use super::engine::Limiter;
use super::random::mix_bits;
use super::timers::TimerKind;
use super::SECOND;
use crate::interface::{Action, CounterName, CustomerId, Micros, Outcome, RequestId};

/// Maximum time between an attempt and the report of its usage.
const REPORT_INTERVAL: Micros = 1_000_000;
/// Usage is reported earlier once it exceeds this share of the slice, so that the counter is read as fast as
/// the quota is used.
const REPORT_SHARE: f64 = 0.3;
/// Maximum size of a report that may be sampled (see [`Limiter::delay_report`]), as a share of the quota's
/// level.
const MAX_SAMPLED_SHARE: f64 = 0.15;
/// Weight of the newest precheck in the moving average of rejected prechecks, which a few dozen determine.
const PRECHECK_WEIGHT: f64 = 0.05;
/// Time for which a reading counts as recent.
const READING_LIFETIME: Micros = 2_000_000;
/// Interval at which counter names change, at the same time at all limiters, so that one reading covers all
/// usage since a known time.
pub(super) const COUNTER_WINDOW: Micros = 8_000_000;
/// Multiplier that makes counter names of different windows differ in all bits.
const WINDOW_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// A report that the counter has not answered.
#[derive(Clone, Copy)]
pub(super) struct ReportCall {
    pub(super) units: f64,
    /// Window of the counter name.
    pub(super) window: u64,
}

/// A customer's unreported usage, its report in flight, and its demand by the readings.
#[derive(Default)]
pub(super) struct UsageReports {
    /// Units that have not been reported to the counter.
    pub(super) unreported: f64,
    pub(super) call: Option<ReportCall>,
    /// Prechecked requests that wait for the reading.
    pub(super) awaiting_reading: Vec<RequestId>,
    pub(super) demand: Demand,
}

impl UsageReports {
    /// Starts a report of all unreported units and returns them.
    fn begin_call(&mut self, window: u64) -> f64 {
        let units = std::mem::take(&mut self.unreported);
        self.call = Some(ReportCall { units, window });
        units
    }

    /// Handles a report without an answer. After a timeout the counter may have added the units, so they
    /// count as reported; otherwise they are added to the next report.
    fn fail_call(&mut self, units: f64, outcome: Outcome) {
        if outcome == Outcome::TimedOut {
            self.demand.add_reported(units);
        } else {
            self.unreported += units;
        }
    }
}

/// Returns the counter name of a customer in a window: evenly distributed, and the same at every limiter.
pub(super) fn counter_name(customer: CustomerId, window: u64) -> CounterName {
    mix_bits(customer.wrapping_add(WINDOW_MULTIPLIER.wrapping_mul(window + 1))) >> 1
}

impl Limiter {
    /// Whether there is a counter and no backoff is running.
    pub(super) fn has_counter(&self) -> bool {
        self.settings.counter_timeout.is_some() && self.counter_budget.is_reachable(self.now)
    }

    /// Handles an unanswered counter call: queued requests proceed without the counter until the backoff
    /// ends.
    pub(super) fn on_counter_failure(&mut self) {
        let backoff_until = self.counter_budget.record_failure(self.now, self.random);
        self.timers.schedule(backoff_until, TimerKind::Release);
    }

    /// Records units that a customer used, or returned if negative, and reports them now or later.
    pub(super) fn record_usage(&mut self, customer: CustomerId, units: f64) {
        let (now, has_counter) = (self.now, self.settings.counter_timeout.is_some());
        let limited = self.customers.get_mut(&customer).filter(|c| has_counter && c.slice.is_limited());
        let Some(c) = limited else { return };
        c.usage.unreported += units;
        let unreported = c.usage.unreported;
        if unreported > REPORT_SHARE * (c.slice.bucket.level.max(0.0) + unreported) {
            self.report_usage(customer);
        } else if unreported != 0.0 {
            // Each customer reports at its own moment of the interval, to spread the calls to the counter.
            let moment = now + (self.random.phase ^ counter_name(customer, 0)) % REPORT_INTERVAL;
            let due = now + REPORT_INTERVAL - moment % REPORT_INTERVAL;
            self.timers.schedule(due, TimerKind::UsageReport(customer));
        }
    }

    /// Reports a customer's usage if there is any and the call budget allows it.
    pub(super) fn report_usage(&mut self, customer: CustomerId) {
        let now = self.now;
        let Some(c) = self.customers.get_mut(&customer) else { return };
        if c.usage.call.is_some() || c.usage.unreported == 0.0 {
            return;
        }
        // Protects the counter from overload: usage that is not reported now is added to the next report. In
        // many-limiters mode prechecks go first. Units of rejected prechecks are taken back without delay,
        // because until then they make the counter reject others although quota is left.
        let may_wait = self.many_limiters && c.usage.unreported > 0.0;
        let reserved =
            if may_wait && c.usage.awaiting_reading.is_empty() { RESERVED_FOR_PRECHECKS } else { 0.0 };
        if !self.counter_budget.try_take(reserved, now) {
            return self.delay_report(customer, may_wait);
        }
        let window = now / COUNTER_WINDOW;
        let name = counter_name(customer, window);
        let amount = c.usage.begin_call(window);
        c.last_active_at = now;
        self.counter_names.insert(name, customer);
        self.actions.push(Action::CallCounter { name, amount, time_to_live: 2 * COUNTER_WINDOW });
    }

    /// Delays a report for which the call budget had no call. In many-limiters mode small reports are
    /// sampled: half of them are dropped and the others doubled.
    fn delay_report(&mut self, customer: CustomerId, may_sample: bool) {
        let now = self.now;
        let Some(c) = self.customers.get_mut(&customer) else { return };
        let level = c.slice.shared_level.max(c.slice.bucket.capacity);
        if may_sample && c.usage.unreported < MAX_SAMPLED_SHARE * level {
            c.usage.unreported *= 2.0 * (self.random.draw(customer ^ now) % 2) as f64;
        }
        let wait = self.counter_budget.report_delay(now);
        let due = now + wait + self.random.draw(customer) % wait;
        self.timers.schedule(due, TimerKind::UsageReport(customer));
    }

    /// Handles the end of a counter call.
    pub(super) fn on_counter_reply(&mut self, name: CounterName, outcome: Outcome, total: Option<f64>) {
        let Some(&customer) = self.counter_names.get(&name) else { return };
        if is_permit_name(name, customer) {
            return self.on_permit_reply(customer, outcome, total);
        }
        self.counter_names.remove(&name);
        let Some(plan) = self.customers.get(&customer).map(|c| c.plan) else { return };
        let quota = self.quota(plan);
        let Some(c) = self.customers.get_mut(&customer) else { return };
        let Some(call) = c.usage.call.take() else { return };
        if let (Outcome::Ok, Some(total)) = (outcome, total) {
            self.counter_budget.record_success();
            c.usage.demand.add_reported(call.units);
            let reading = Reading { window: call.window, total, at: self.now };
            c.take_reading(reading, quota, self.settings.max_units, self.many_limiters);
        } else {
            c.usage.fail_call(call.units, outcome);
            self.on_counter_failure();
        }
        self.finish_prechecks(customer, outcome == Outcome::Ok);
        self.join_rotation(customer);
        self.record_usage(customer, 0.0);
    }

    /// Requeues the requests that waited for a reading, or rejects them if the reading shows no quota left.
    fn finish_prechecks(&mut self, customer: CustomerId, is_known: bool) {
        let Some(c) = self.customers.get_mut(&customer) else { return };
        for id in std::mem::take(&mut c.usage.awaiting_reading) {
            let pair = self.requests.get(&id).zip(self.customers.get_mut(&customer));
            let Some((request, c)) = pair else { continue };
            let is_empty = is_known && c.slice.shared_level < 0.0;
            self.precheck_rejection_share +=
                PRECHECK_WEIGHT * (f64::from(u8::from(is_empty)) - self.precheck_rejection_share);
            if is_empty {
                self.reject(id);
            } else {
                c.queues[self.tier_of[request.class]].requests.push_front(id);
            }
        }
    }

    /// Returns when a request can be prechecked at the counter, or `None` if it is decided without.
    ///
    /// In many-limiters mode each limiter sees too few of a customer's requests to send without a recent
    /// reading, or to reject by its small slice while the quota has units left. A request waits for a call,
    /// the longer the more prechecks were rejected recently; if no call is available in time, the even share
    /// decides.
    pub(super) fn precheck_at(&mut self, id: RequestId) -> Option<Micros> {
        let wait = self.counter_budget.time_to_call(self.now);
        let request = self.requests.get(&id)?;
        let c = self.customers.get(&request.customer)?;
        // A reading without quota left must not reject until it expires: once the quota may have been
        // refilled enough, the counter is asked again.
        let age = c.usage.demand.reading_age(self.now);
        let refilled = c.slice.shared_level + self.quota(c.plan).rate * age.unwrap_or(0) as f64 / SECOND;
        let is_decisive = c.slice.bucket.level >= request.units || refilled < request.units;
        let is_recent = age.is_some_and(|age| age < READING_LIFETIME);
        let is_needed = !(is_recent && is_decisive) && c.slice.is_limited();
        let objective = self.settings.classes[request.class].latency_objective;
        let latest = request.arrived_at + (objective as f64 * self.precheck_rejection_share) as Micros;
        let may_precheck = self.many_limiters && self.has_counter() && is_needed;
        (may_precheck && (wait == 0 || self.now + wait <= latest)).then_some(self.now + wait)
    }
}
