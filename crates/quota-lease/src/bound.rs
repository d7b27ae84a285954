//! The bound on the units that all limiters together send under leases, over any span of time.

use serde::Serialize;

use crate::{LeaseTerms, Micros, MICROS_PER_SECOND};

/// One of the terms whose sum is the difference between a bound and the quota.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BoundTerm {
    /// The cause, as shown in reports.
    pub name: &'static str,
    /// Units that the term adds; negative if it lowers the bound.
    pub units: f64,
}

/// Maximum number of units that can be sent for a customer in any span of a given length.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Bound {
    /// Units that the quota allows: a burst and what refills during the span.
    pub quota: f64,
    /// The bound: maximum number of units sent, whichever calls, limiters and links fail.
    pub most: f64,
    /// The terms of the difference between the bound and the quota.
    pub terms: Vec<BoundTerm>,
}

impl Bound {
    /// Returns the units by which the bound exceeds the quota.
    pub fn excess(&self) -> f64 {
        (self.most - self.quota).max(0.0)
    }

    /// Returns the bound divided by the quota.
    pub fn ratio(&self) -> f64 {
        self.most / self.quota
    }
}

/// A target that is exceeded even without local shares, with the largest term of the bound.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("the term \"{term}\" alone raises the bound to {ratio:.2} times the quota")]
pub struct TargetError {
    /// Name of the term, as in [`BoundTerm::name`].
    pub term: &'static str,
    /// The sum of the quota and this term, divided by the quota; 1 if the term adds nothing.
    pub ratio: f64,
}

impl LeaseTerms {
    /// Returns the maximum number of units that can be sent for a customer within any `span`.
    ///
    /// Requests that reach backends within the span had their leases checked within `span + max_send_delay`, by clocks
    /// that differ by at most twice the maximum skew. Each window that overlaps this longer time grants its allowance
    /// once.
    pub fn bound(&self, span: Micros) -> Bound {
        let quota = self.burst + self.rate * span as f64 / MICROS_PER_SECOND;
        let with_skew = span + 2 * self.max_clock_skew;
        let by_span = self.overlapping_windows(span);
        let by_skew = self.overlapping_windows(with_skew);
        let windows = self.overlapping_windows(with_skew + self.max_send_delay);
        let counter_parts = self.counter_fraction * f64::from(self.counters);
        let total_fraction = self.counter_fraction + self.lent_fraction + self.local_share_fraction;
        let term = |name, units| BoundTerm { name, units };
        let terms = vec![
            term("windows that begin or end within it", by_span * self.burst - quota),
            term("clocks", (by_skew - by_span) * self.burst),
            term("requests under way", (windows - by_skew) * self.burst),
            term("parts handed out", (total_fraction - 1.0) * windows * self.burst),
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

    /// Returns the maximum number of windows that a stretch of time can overlap.
    fn overlapping_windows(&self, stretch: Micros) -> f64 {
        (stretch.div_ceil(self.window_divisor()) + 1) as f64
    }

    /// Returns the maximum age of the information that a limiter acts on: a grant is no older than its window and
    /// expires with it.
    pub fn staleness(&self) -> Micros {
        self.window_length() + self.max_clock_skew
    }

    /// Returns the terms with the largest local shares for which the bound of any `span` is at most `target` times the
    /// quota.
    ///
    /// # Errors
    /// If the bound exceeds the target even without local shares; the error names the largest term.
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
