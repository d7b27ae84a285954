//! The release gate: releases queued requests by tier and in rotation of customers, while the backends do not
//! look full.

use super::engine::Limiter;
use super::timers::TimerKind;
use super::SECOND;
use crate::interface::{CustomerId, Micros, RequestId};

/// Pacing allowance, in attempts, that a tier leaves for each tier of higher priority weight.
pub(super) const TIER_RESERVE: f64 = 0.5;
/// Number of consecutive customers without a backend that ends a tier's turn.
const MAX_CONSECUTIVE_BLOCKED: usize = 3;
/// Number of ticks between two releases while requests are blocked.
const RELEASE_INTERVAL_TICKS: u64 = 4;
/// Minimum length of a tick, in microseconds, when the next release is scheduled.
const MIN_TICK: Micros = 1000;

/// Result of a customer's turn.
enum TurnResult {
    /// The customer has nothing to send now and has left the rotation.
    LeftRotation,
    /// No backend can take the customer's request, or pacing holds it back.
    Blocked,
    /// The customer's request was sent.
    Sent,
}

impl Limiter {
    /// Releases queued requests while the gate is open: higher tiers first, customers in rotation.
    pub(super) fn release(&mut self) {
        let lowest = self.rotations.tiers() - 1;
        let mut any_blocked = false;
        let mut allowance = self.pacing_allowance();
        for tier in 0..=lowest {
            // The lowest tier is served only if no higher tier is blocked.
            if tier > 0 && tier == lowest && any_blocked {
                break;
            }
            any_blocked |= self.release_tier(tier, &mut allowance);
        }
        if any_blocked {
            let step = RELEASE_INTERVAL_TICKS * self.settings.tick.max(MIN_TICK);
            self.timers.schedule((self.now / step + 1) * step, TimerKind::Release);
        }
    }

    /// Releases the requests of a tier that can be sent; returns whether any was blocked.
    fn release_tier(&mut self, tier: usize, allowance: &mut f64) -> bool {
        let mut any_blocked = false;
        let mut blocked = 0;
        while blocked < self.rotations.len(tier) && blocked < MAX_CONSECUTIVE_BLOCKED {
            let Some(customer) = self.rotations.pop_front(tier) else { break };
            match self.take_turn(customer, tier, allowance) {
                TurnResult::LeftRotation => continue,
                TurnResult::Blocked => {
                    blocked += 1;
                    any_blocked = true;
                }
                TurnResult::Sent => blocked = 0,
            }
            self.rotations.push_back(tier, customer);
        }
        any_blocked
    }

    /// Sends a customer's next request of a tier if the ceiling, the pacing, the backends, the quota and the
    /// concurrency limit allow it, checked in this order.
    fn take_turn(&mut self, customer: CustomerId, tier: usize, allowance: &mut f64) -> TurnResult {
        let Some(c) = self.customers.get_mut(&customer) else { return TurnResult::LeftRotation };
        let Some(&id) = c.queues[tier].requests.front() else {
            c.queues[tier].in_rotation = false;
            return TurnResult::LeftRotation;
        };
        c.ceiling.refill(self.now);
        let request = &self.requests[&id];
        let exceeds_ceiling =
            c.ceiling.rate > 0.0 && request.attempts == 0 && c.ceiling.level < request.units;
        let exceeds_pacing = *allowance < TIER_RESERVE * tier as f64 * self.latencies.mean / SECOND;
        let backend = if exceeds_ceiling || exceeds_pacing { None } else { self.select_backend(id) };
        let has_backend = backend.is_some();
        if exceeds_ceiling || (has_backend && !(self.acquire_quota(id) && self.acquire_permit(customer))) {
            self.leave_rotation(customer, tier, id, exceeds_ceiling);
            return TurnResult::LeftRotation;
        }
        let Some(backend) = backend else { return TurnResult::Blocked };
        *allowance -= self.start_attempt(id, backend);
        TurnResult::Sent
    }

    /// Takes a customer out of a tier's rotation until the counter answers or one of its attempts ends. The
    /// customer rejoins at once if only this request was rejected and others are queued.
    fn leave_rotation(&mut self, customer: CustomerId, tier: usize, id: RequestId, exceeds_ceiling: bool) {
        if let Some(c) = self.customers.get_mut(&customer) {
            c.queues[tier].in_rotation = false;
        }
        if exceeds_ceiling {
            self.reject(id);
        }
        if !self.requests.contains_key(&id) {
            self.join_rotation(customer);
        }
    }
}
