//! Per-customer queues, and the round-robin rotation of customers in each tier.

use std::collections::VecDeque;

use super::engine::Limiter;
use super::requests::PendingRequest;
use super::timers::TimerKind;
use crate::interface::{Action, CustomerId, Micros, Request, RequestId};

/// A queued request is rejected once this share of its latency objective has passed, or when less time is
/// left than this multiple of the recent latency, which one answer in ten exceeds.
const MAX_QUEUED_SHARE: f64 = 0.6;
const ANSWER_MARGIN: f64 = 2.3;
/// Number of ticks before the client's timeout at which the final answer is sent.
pub const ANSWER_TICKS: u64 = 2;

/// A customer's queue in one tier.
#[derive(Default)]
pub(super) struct TierQueue {
    pub(super) requests: VecDeque<RequestId>,
    /// Whether the customer is in the tier's rotation.
    pub(super) in_rotation: bool,
}

/// The round-robin order of customers in each tier; tier 0 holds the classes of highest priority weight.
#[derive(Default)]
pub(super) struct Rotations {
    tiers: Vec<VecDeque<CustomerId>>,
}

impl Rotations {
    pub(super) fn new(tiers: usize) -> Rotations {
        Rotations { tiers: vec![VecDeque::new(); tiers] }
    }

    /// Returns the number of tiers.
    pub(super) fn tiers(&self) -> usize {
        self.tiers.len()
    }

    /// Returns the number of customers in a tier's rotation.
    pub(super) fn len(&self, tier: usize) -> usize {
        self.tiers[tier].len()
    }

    pub(super) fn pop_front(&mut self, tier: usize) -> Option<CustomerId> {
        self.tiers[tier].pop_front()
    }

    pub(super) fn push_back(&mut self, tier: usize, customer: CustomerId) {
        self.tiers[tier].push_back(customer);
    }
}

impl Limiter {
    /// Handles a new request: queues it, or rejects it at once.
    pub(super) fn on_request(&mut self, request: &Request) {
        let id = request.id;
        if !self.is_acceptable(request) {
            return self.actions.push(Action::Reject { request: id, retry_after: 0 });
        }
        self.update_customer(request);
        // The final answer is due some ticks before the client's timeout.
        let deadline = self.now + request.timeout.saturating_sub(ANSWER_TICKS * self.settings.tick);
        let queue_timeout = self.queue_timeout(request.class, deadline);
        let (class, customer, units) = (request.class, request.customer, request.units);
        let pending = PendingRequest {
            class,
            customer,
            units,
            arrived_at: self.now,
            deadline,
            ..PendingRequest::default()
        };
        self.requests.insert(id, pending);
        if self.precheck_at(id).is_none() && !self.take_quota(id) {
            return;
        }
        self.timers.schedule(deadline, TimerKind::RequestDeadline(id));
        self.timers.schedule(queue_timeout, TimerKind::QueueTimeout(id));
        let Some(c) = self.customers.get_mut(&customer) else { return };
        c.queues[self.tier_of[class]].requests.push_back(id);
        self.join_rotation(customer);
    }

    fn is_acceptable(&self, request: &Request) -> bool {
        let is_known =
            request.class < self.settings.classes.len() && request.plan < self.settings.plans.len();
        let has_units = request.units.is_finite() && request.units >= 0.0;
        is_known && has_units && !self.requests.contains_key(&request.id)
    }

    /// Returns the time until which a request that arrives now may be queued.
    fn queue_timeout(&self, class: usize, deadline: Micros) -> Micros {
        let objective = self.settings.classes[class].latency_objective as f64;
        let needed =
            ANSWER_MARGIN * self.fullness.pressure * self.latencies.headroom * self.latencies.idle(class);
        let queued = (objective * MAX_QUEUED_SHARE).min(objective - needed) as Micros;
        (self.now + queued.max(self.settings.tick)).min(deadline)
    }

    /// Adds a customer to the rotation of each tier in which it has queued requests.
    pub(super) fn join_rotation(&mut self, customer: CustomerId) {
        let Some(c) = self.customers.get_mut(&customer) else { return };
        for (tier, queue) in c.queues.iter_mut().enumerate() {
            if !queue.in_rotation && !queue.requests.is_empty() {
                queue.in_rotation = true;
                self.rotations.push_back(tier, customer);
            }
        }
    }
}
