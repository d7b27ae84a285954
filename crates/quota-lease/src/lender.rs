//! Grants by responsible limiters, which keep window totals in memory in the same way as the quota counter.

use std::collections::BTreeMap;

use crate::{LeaseRequest, LeaseTerms, Micros};

/// Resolution of totals, which are integers so that they can be hashed and compared.
const STEPS_PER_UNIT: f64 = 1e3;

/// A customer's total of one window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Default)]
struct WindowTotal {
    window: u64,
    ends_at: Micros,
    /// Total in thousandths of a unit.
    total: u64,
}

/// A responsible limiter's grants to other limiters: the current totals by customer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
pub struct Lender {
    started_at: Micros,
    /// The latest time shown by this limiter's clock.
    latest: Micros,
    totals: BTreeMap<u64, WindowTotal>,
}

impl Lender {
    /// Creates a lender that starts at `now`. It grants nothing in the current window, because an earlier incarnation
    /// may already have granted units of it.
    pub fn new(now: Micros) -> Lender {
        Lender { started_at: now, latest: now, totals: BTreeMap::new() }
    }

    /// Adds the requested amount, rounded up to thousandths of a unit, and returns the new total, as the counter does.
    /// `None` if the amount is invalid, the window is not the current one, or the lender started during the window.
    pub fn lend(
        &mut self,
        now: Micros,
        terms: &LeaseTerms,
        customer: u64,
        request: LeaseRequest,
    ) -> Option<f64> {
        // If the clock was set back, an earlier window must not be granted again, as its totals are already removed.
        self.latest = self.latest.max(now);
        let window_length = terms.window_divisor();
        let window = self.latest / window_length;
        let is_valid = request.amount.is_finite() && request.amount > 0.0;
        let has_started_within = window * window_length < self.started_at;
        if !is_valid || request.window != window || has_started_within {
            return None;
        }
        let entry = self.totals.entry(customer).or_default();
        if entry.window != window {
            *entry = WindowTotal { window, ends_at: (window + 1) * window_length, total: 0 };
        }
        entry.total = entry.total.saturating_add((request.amount * STEPS_PER_UNIT).ceil() as u64);
        Some(entry.total as f64 / STEPS_PER_UNIT)
    }

    /// Removes the totals of windows that have ended, and returns the number of customers that remain.
    pub fn remove_expired(&mut self, now: Micros) -> usize {
        self.latest = self.latest.max(now);
        let latest = self.latest;
        self.totals.retain(|_, entry| entry.ends_at > latest);
        self.totals.len()
    }
}

/// Returns the limiters that are responsible for a customer, in order of rank.
///
/// Uses rendezvous hashing (Thaler and Ravishankar, 1998): all limiters compute the same ranks without communication,
/// customers are distributed evenly, and if a limiter leaves, only its own customers move.
pub fn responsible_limiters(customer: u64, limiters: u32, count: u32) -> Vec<u32> {
    let score = |limiter: u32| splitmix64(customer ^ splitmix64(u64::from(limiter) + 1));
    let mut ranked: Vec<(u64, u32)> = (0..limiters).map(|limiter| (score(limiter), limiter)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().take(count as usize).map(|(_, limiter)| limiter).collect()
}

/// The splitmix64 finalizer (Steele, Lea and Flood, 2014).
fn splitmix64(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

#[cfg(test)]
mod tests;
