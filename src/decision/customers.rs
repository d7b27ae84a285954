//! Per-customer state: the quota, this limiter's slice of it, and the units reserved for queued requests.

use super::concurrency::ConcurrencyPermits;
use super::engine::Limiter;
use super::queues::TierQueue;
use super::timers::TimerKind;
use super::token_bucket::TokenBucket;
use super::usage_reports::UsageReports;
use super::SECOND;
use crate::interface::{Micros, Request, RequestId};

/// Margin below a concurrency limit for random arrivals, as a multiple of the square root of the limit.
const CONCURRENCY_SLACK: f64 = 0.8;
/// Tolerance for rounding errors when units are compared, in units.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Rate and burst of a customer over all limiters.
#[derive(Clone, Copy)]
pub(super) struct Quota {
    pub(super) rate: f64,
    pub(super) burst: f64,
}

/// The part of a quota that this limiter grants on its own.
#[derive(Default)]
pub(super) struct QuotaSlice {
    pub(super) bucket: TokenBucket,
    /// Units granted to queued requests that have not been sent yet.
    pub(super) reserved: f64,
    /// Estimated level of the quota's token bucket over all limiters.
    pub(super) shared_level: f64,
}

impl QuotaSlice {
    /// Creates the even share, used until the counter has reported the usage of other limiters.
    fn even(quota: Quota, spread: f64, now: Micros) -> QuotaSlice {
        let even = quota.burst / spread;
        let bucket = TokenBucket { level: even, rate: quota.rate / spread, capacity: even, refilled_at: now };
        QuotaSlice { bucket, reserved: 0.0, shared_level: quota.burst }
    }

    /// Limits the levels to what has surely been refilled in `seconds`, if the customer may have been
    /// forgotten that long ago.
    fn refilled_for(mut self, seconds: Option<f64>, rate: f64) -> QuotaSlice {
        if let Some(seconds) = seconds.filter(|_| self.is_limited()) {
            self.bucket.level = self.bucket.level.min(self.bucket.rate * seconds);
            self.shared_level = self.shared_level.min(rate * seconds);
        }
        self
    }

    /// Whether the customer has a quota.
    pub(super) fn is_limited(&self) -> bool {
        self.bucket.rate > 0.0
    }

    /// Switches to another quota or spread. The level never rises, so switching back and forth gains nothing.
    fn change_quota(&mut self, quota: Quota, spread: f64) {
        let even = quota.burst / spread;
        self.bucket.rate = quota.rate / spread;
        self.bucket.capacity = even;
        self.bucket.level = self.bucket.level.min(even);
        self.shared_level = self.shared_level.min(quota.burst);
    }

    /// Reserves units for a request if they are available. A request larger than the slice's capacity is
    /// granted when the slice is full.
    fn try_reserve(&mut self, units: f64, now: Micros) -> bool {
        self.bucket.refill(now);
        let is_enough = self.bucket.level + ROUNDING_TOLERANCE >= units.min(self.bucket.capacity);
        if is_enough {
            self.bucket.level -= units;
            self.reserved += units;
        }
        is_enough
    }

    /// Puts the units of a request that was never sent back into the bucket.
    pub(super) fn cancel_reservation(&mut self, units: f64) {
        self.bucket.level += units;
        self.reserved -= units;
    }
}

/// The state of a customer at this limiter.
#[derive(Default)]
pub(super) struct Customer {
    pub(super) plan: usize,
    /// Number of limiters that receive this customer's requests.
    pub(super) spread: f64,
    pub(super) slice: QuotaSlice,
    pub(super) ceiling: TokenBucket,
    pub(super) usage: UsageReports,
    pub(super) permits: ConcurrencyPermits,
    /// The customer's queue in each tier.
    pub(super) queues: Vec<TierQueue>,
    pub(super) last_active_at: Micros,
}

impl Limiter {
    /// Adds the customer of a request if it is new, and updates its plan and spread from the request.
    pub(super) fn update_customer(&mut self, request: &Request) {
        let (now, quota) = (self.now, self.quota(request.plan));
        let plan = &self.settings.plans[request.plan];
        let spread = request.spread.clamp(1, self.settings.limiters) as f64;
        let uptime = now.saturating_sub(self.started_at.unwrap_or(now)) as f64 / SECOND;
        let (rate, capacity) = (plan.ceiling_rate / spread, plan.ceiling_burst / spread);
        if !self.customers.contains_key(&request.customer) {
            self.make_room_for_customer();
        }
        let unknown_for = self.min_time_since_forgotten();
        let uptime = unknown_for.map_or(uptime, |time| uptime.min(time));
        let customer = self.customers.entry(request.customer).or_insert_with(|| Customer {
            plan: request.plan,
            spread,
            slice: QuotaSlice::even(quota, spread, now).refilled_for(unknown_for, quota.rate),
            // A new process starts with an empty ceiling, so that a restart does not refill it.
            ceiling: TokenBucket { level: (rate * uptime).min(capacity), rate, capacity, refilled_at: now },
            queues: (0..self.rotations.tiers()).map(|_| TierQueue::default()).collect(),
            ..Customer::default()
        });
        customer.last_active_at = now;
        if (customer.plan, customer.spread) != (request.plan, spread) {
            // The first request in a customer's name must not fix its plan and spread for good.
            (customer.plan, customer.spread) = (request.plan, spread);
            customer.slice.change_quota(quota, spread);
            (customer.ceiling.rate, customer.ceiling.capacity) = (rate, capacity);
        }
    }

    /// Takes a request's units from its customer's slice; rejects the request if they are not available.
    pub(super) fn take_quota(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get_mut(&id) else { return false };
        let limited = self.customers.get_mut(&request.customer).filter(|c| c.slice.is_limited());
        request.has_quota = limited.is_none_or(|c| c.slice.try_reserve(request.units, self.now));
        let has_quota = request.has_quota;
        if !has_quota {
            self.reject(id);
        }
        has_quota
    }

    /// Returns the rate and burst that a plan allows. In many-limiters mode a concurrency limit becomes the
    /// rate that keeps that many attempts in flight on average (Little's law), less a margin for random
    /// arrivals; the rate falls when answers slow down.
    pub(super) fn quota(&self, plan: usize) -> Quota {
        let plan = &self.settings.plans[plan];
        if plan.concurrency_limit == 0 || !self.many_limiters {
            return Quota { rate: plan.rate, burst: plan.burst };
        }
        let limit = f64::from(plan.concurrency_limit);
        let in_flight = limit - CONCURRENCY_SLACK * limit.sqrt();
        let rate = in_flight * self.mean_units / self.latencies.mean * SECOND;
        if plan.rate > 0.0 {
            return Quota { rate: rate.min(plan.rate), burst: plan.burst };
        }
        Quota { rate, burst: (limit * self.mean_units).max(self.settings.max_units) }
    }

    /// Acquires the quota of a queued request and returns whether it may be sent now; false while a precheck
    /// is pending. The counter is queried only at this point, as a request that is shed needs no query.
    pub(super) fn acquire_quota(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id).filter(|request| !request.has_quota) else { return true };
        let (customer, units, tier) = (request.customer, request.units, self.tier_of[request.class]);
        let Some(at) = self.precheck_at(id) else { return self.take_quota(id) };
        let Some(c) = self.customers.get_mut(&customer) else { return false };
        if at > self.now {
            self.timers.schedule(at + 1, TimerKind::JoinRotation(customer));
        } else if c.usage.call.is_none() {
            c.usage.awaiting_reading.extend(c.queues[tier].requests.pop_front());
            c.usage.unreported += units;
            if let Some(request) = self.requests.get_mut(&id) {
                (request.is_prechecked, request.has_quota) = (true, true);
            }
            self.report_usage(customer);
        }
        false
    }
}
