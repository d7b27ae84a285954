//! The bound on what leases let through together, over any stretch of time.

use serde::Serialize;

use crate::{LeaseTerms, Micros, MICROS_PER_SECOND};

/// One part of a bound: what it adds to the quota.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BoundTerm {
    /// What causes it, in words for reports.
    pub name: &'static str,
    /// Units that it adds; negative where it makes the bound smaller.
    pub units: f64,
}

/// The most that a customer can be sent in any stretch of a given length.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Bound {
    /// What the quota allows: a burst and what refills.
    pub quota: f64,
    /// What can be sent, whichever calls, limiters and links fail.
    pub most: f64,
    /// Where the difference comes from.
    pub terms: Vec<BoundTerm>,
}

impl Bound {
    /// Units beyond the quota.
    pub fn excess(&self) -> f64 {
        (self.most - self.quota).max(0.0)
    }

    /// The bound divided by the quota.
    pub fn ratio(&self) -> f64 {
        self.most / self.quota
    }
}

/// No local share keeps a target; names the term that adds most to the quota.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{term} alone comes to {ratio:.2} of the quota")]
pub struct TargetError {
    /// Name of the term, as in [`BoundTerm::name`].
    pub term: &'static str,
    /// The quota with this term added, divided by the quota: 1 where the term adds nothing.
    pub ratio: f64,
}

impl LeaseTerms {
    /// The most that a customer can be sent within any `span`.
    ///
    /// Requests that reach backends within it were checked within `span + max_send_delay`, by clocks that differ by
    /// at most twice the skew; the windows that overlap this stretch each grant their allowance once.
    pub fn bound(&self, span: Micros) -> Bound {
        let quota = self.burst + self.rate * span as f64 / MICROS_PER_SECOND;
        let with_skew = span + 2 * self.max_clock_skew;
        let by_span = self.overlapping_windows(span);
        let by_skew = self.overlapping_windows(with_skew);
        let windows = self.overlapping_windows(with_skew + self.max_send_delay);
        let counter_parts = self.counter_fraction * f64::from(self.counters);
        let whole = self.counter_fraction + self.lent_fraction + self.local_share_fraction;
        let term = |name, units| BoundTerm { name, units };
        let terms = vec![
            term("windows that begin or end within it", by_span * self.burst - quota),
            term("clocks", (by_skew - by_span) * self.burst),
            term("requests under way", (windows - by_skew) * self.burst),
            term("parts handed out", (whole - 1.0) * windows * self.burst),
            term(
                "counters that lost their totals",
                (counter_parts - self.counter_fraction) * windows * self.burst,
            ),
        ];
        Bound {
            quota,
            most: windows * self.burst * (counter_parts + self.lent_fraction + self.local_share_fraction),
            terms,
        }
    }

    /// Upper bound for the number of windows that a stretch overlaps.
    fn overlapping_windows(&self, stretch: Micros) -> f64 {
        (stretch.div_ceil(self.window_divisor()) + 1) as f64
    }

    /// Upper bound for the age of the information that a limiter acts on: a lease expires with its window, and a grant
    /// is no older than the window.
    pub fn staleness(&self) -> Micros {
        self.window_length() + self.max_clock_skew
    }

    /// The terms with the largest local shares that keep any `span` within `target` times the quota.
    ///
    /// # Errors
    /// Where the target is exceeded without any local share: the term that adds most.
    pub fn with_largest_local_shares(&self, span: Micros, target: f64) -> Result<LeaseTerms, TargetError> {
        let without_shares = LeaseTerms { local_share_fraction: 0.0, ..*self }.bound(span);
        let shares_alone =
            LeaseTerms { counter_fraction: 0.0, lent_fraction: 0.0, local_share_fraction: 1.0, ..*self }
                .bound(span);
        let local_share_fraction = (target * without_shares.quota - without_shares.most) / shares_alone.most;
        if local_share_fraction < 0.0 {
            return Err(largest_term(&without_shares));
        }
        Ok(LeaseTerms { local_share_fraction: local_share_fraction.min(1.0), ..*self })
    }
}

fn largest_term(bound: &Bound) -> TargetError {
    let largest = bound.terms.iter().max_by(|a, b| a.units.total_cmp(&b.units));
    let term = largest.map_or("the quota", |term| term.name);
    let units = largest.map_or(0.0, |term| term.units);
    TargetError { term, ratio: units / bound.quota + 1.0 }
}

#[cfg(test)]
mod tests;
