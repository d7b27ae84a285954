//! Drops customers that were not active for long, and limits the number of customers.
//!
//! A customer whose bucket has not been refilled is dropped only to keep the number within its limit. Then a
//! customer that is not known may have used up its quota shortly before, so each one starts with what has
//! surely been refilled since. Nobody gains quota by being forgotten.

use super::customers::Customer;
use super::engine::Limiter;
use super::SECOND;
use crate::interface::{CustomerId, Micros};

/// Time without activity after which a customer is dropped: longer than a burst takes to refill.
const IDLE_TIMEOUT: Micros = 20_000_000;
/// Number of customers by default.
const DEFAULT_MAX_CUSTOMERS: usize = 1 << 16;
/// Divisor of the maximum number of customers that gives how many are dropped at once.
const DROPPED_DIVISOR: usize = 16;

/// The limit on the number of customers.
pub(super) struct CustomerLimit {
    max: usize,
    /// Latest activity of all customers that were dropped to keep the limit.
    forgotten_at: Option<Micros>,
}

impl Default for CustomerLimit {
    fn default() -> CustomerLimit {
        CustomerLimit { max: DEFAULT_MAX_CUSTOMERS, forgotten_at: None }
    }
}

impl Customer {
    /// Whether dropping the customer would lose attempts in flight, unreported usage, or the level of its
    /// ceiling.
    fn is_needed(&self) -> bool {
        self.permits.in_flight > 0 || self.usage.unreported != 0.0 || self.ceiling.rate > 0.0
    }

    /// Whether nothing is under way for the customer: no request, attempt or counter call.
    fn is_inactive(&self) -> bool {
        let has_requests = self.queues.iter().any(|queue| !queue.requests.is_empty());
        let has_call = self.usage.call.is_some() || self.permits.has_call();
        !has_requests && !has_call && self.permits.in_flight == 0 && self.usage.awaiting_reading.is_empty()
    }
}

impl Limiter {
    /// Limits the number of customers to `max`, beyond those with a request under way. The one that was not
    /// active for longest is dropped first.
    #[must_use]
    pub fn with_max_customers(mut self, max: usize) -> Limiter {
        self.customer_limit.max = max;
        self
    }

    /// Returns the number of customers that the limiter keeps state for.
    pub fn customer_count(&self) -> usize {
        self.customers.len()
    }

    /// Drops customers that have been idle for a while and hold no state worth keeping.
    pub(super) fn forget_idle_customers(&mut self) {
        let now = self.now;
        self.customers.retain(|_, c| c.last_active_at + IDLE_TIMEOUT > now || c.is_needed());
    }

    /// Drops the customers that were not active for longest if there may be no further one.
    pub(super) fn make_room_for_customer(&mut self) {
        let max = self.customer_limit.max;
        if self.customers.len() < max {
            return;
        }
        let inactive = self.customers.iter().filter(|(_, c)| c.is_inactive());
        let mut by_activity: Vec<(Micros, CustomerId)> =
            inactive.map(|(id, c)| (c.last_active_at, *id)).collect();
        let count = (max / DROPPED_DIVISOR).max(1).min(by_activity.len());
        if count == 0 {
            return;
        }
        by_activity.select_nth_unstable(count - 1);
        for (active_at, id) in &by_activity[..count] {
            self.customers.remove(id);
            let forgotten_at = &mut self.customer_limit.forgotten_at;
            *forgotten_at = (*forgotten_at).max(Some(*active_at));
        }
    }

    /// Returns for how many seconds at least a customer that is not known has not been active, if customers
    /// were dropped to keep the limit.
    pub(super) fn min_time_since_forgotten(&self) -> Option<f64> {
        let forgotten_at = self.customer_limit.forgotten_at?;
        Some(self.now.saturating_sub(forgotten_at) as f64 / SECOND)
    }
}
