//! Grants by the limiters that are responsible for a customer, from memory, as the quota counter grants its part.

use std::collections::BTreeMap;

use crate::{LeaseRequest, LeaseTerms, Micros};

/// Totals are integers, so that they can be hashed and compared: units times this.
const STEPS_PER_UNIT: f64 = 1e3;

/// A customer's total of one window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Default)]
struct WindowTotal {
    window: u64,
    ends_at: Micros,
    /// In thousandths of a unit.
    total: u64,
}

/// What a limiter has granted to others, by customer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
pub struct Lender {
    started_at: Micros,
    /// The latest time that this limiter's clock has shown.
    latest: Micros,
    totals: BTreeMap<u64, WindowTotal>,
}

impl Lender {
    /// A lender that starts at `now`. An earlier incarnation may have granted units of this window already.
    pub fn new(now: Micros) -> Lender {
        Lender { started_at: now, latest: now, totals: BTreeMap::new() }
    }

    /// Adds the requested amount, rounded up to thousandths, and returns the total, as the counter does. `None` where it
    /// grants nothing: for any window but the current one, and for the one in which the lender started.
    pub fn lend(
        &mut self,
        now: Micros,
        terms: &LeaseTerms,
        customer: u64,
        request: LeaseRequest,
    ) -> Option<f64> {
        // Guards against clocks that are set back: totals of earlier windows are gone.
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

    /// Removes the totals of windows that have ended; returns how many customers are left.
    pub fn remove_expired(&mut self, now: Micros) -> usize {
        self.latest = self.latest.max(now);
        let latest = self.latest;
        self.totals.retain(|_, entry| entry.ends_at > latest);
        self.totals.len()
    }
}

/// The limiters that are responsible for a customer, in order of rank.
///
/// Rendezvous hashing (Thaler and Ravishankar, 1998): all limiters compute the same ranks without communication, each
/// is responsible for as many customers, and a limiter that leaves moves only its own.
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
