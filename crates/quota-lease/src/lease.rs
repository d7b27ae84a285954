//! A limiter's lease of a customer's quota.

use crate::{LeaseTerms, Micros};

/// Tolerance in comparisons of units, far above the rounding errors of their sums.
const UNITS_TOLERANCE: f64 = 1e-9;

/// A source that grants units.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    /// The quota counter, which is common to all limiters.
    Counter,
    /// The responsible limiter of this rank, starting at 0.
    Limiter(u32),
}

/// A limiter's request to a source: add `amount` to the customer's total of `window`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseRequest {
    /// The source that is asked for units.
    pub source: Source,
    /// Number of the window in which the request was made. The grant expires with this window, even if the reply comes
    /// later.
    pub window: u64,
    /// Units to add to the window's total.
    pub amount: f64,
}

/// Units that a limiter may send at present.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Available {
    /// Unspent units of grants and of the local share together.
    pub units: f64,
    /// End of the current window by the limiter's clock, when unspent units expire.
    pub expires_at: Micros,
}

/// State of a limiter's lease for one customer.
#[derive(Clone, Debug, PartialEq)]
pub struct Lease {
    terms: LeaseTerms,
    /// Number of the current window.
    window: u64,
    /// Unspent units granted in the current window.
    granted: f64,
    /// Unspent units of the local share in the current window.
    share: f64,
    sent_previous_window: f64,
    sent_this_window: f64,
    /// The request whose reply is outstanding.
    pending: Option<LeaseRequest>,
    /// Sources that have no units left in the current window, or to which a request has failed in it.
    exhausted: Vec<Source>,
}

impl Lease {
    /// Creates the lease of a limiter that starts at `now`. It has no local share until the next window, because an
    /// earlier incarnation of the limiter may have spent that of the current one.
    pub fn new(terms: LeaseTerms, now: Micros) -> Lease {
        Lease {
            terms,
            window: now / terms.window_divisor(),
            granted: 0.0,
            share: 0.0,
            sent_previous_window: 0.0,
            sent_this_window: 0.0,
            pending: None,
            exhausted: Vec::new(),
        }
    }

    /// Enters the window of `now`, unless it is an earlier one: if the clock was set back, a window that has ended must
    /// not be entered again.
    fn enter_window(&mut self, now: Micros) {
        let window = now / self.terms.window_divisor();
        if window <= self.window {
            return;
        }
        let is_next = window == self.window + 1;
        self.sent_previous_window = if is_next { self.sent_this_window } else { 0.0 };
        self.sent_this_window = 0.0;
        self.window = window;
        self.granted = 0.0;
        self.share = self.terms.local_share();
        self.exhausted.clear();
    }

    /// Spends units if the lease covers them, and returns whether it does. Must be called immediately before sending.
    /// Granted units are spent first, as no other limiter can use them.
    pub fn spend(&mut self, now: Micros, units: f64) -> bool {
        self.enter_window(now);
        let is_covered = self.granted + self.share + UNITS_TOLERANCE >= units;
        if is_covered {
            let from_granted = units.min(self.granted);
            self.granted -= from_granted;
            self.share = (self.share - (units - from_granted)).max(0.0);
            self.sent_this_window += units;
        }
        is_covered
    }

    /// Returns the request to make before `units` can be sent: to the counter first, then to the responsible limiters.
    /// `None` if the lease already covers the units, a request is pending, or all sources are exhausted in this window.
    pub fn next_request(&mut self, now: Micros, units: f64) -> Option<LeaseRequest> {
        self.enter_window(now);
        let missing = units - self.granted - self.share;
        if missing <= UNITS_TOLERANCE || self.pending.is_some() {
            return None;
        }
        let source = self.next_source()?;
        let amount = missing + (self.expected_need(now) - missing).max(0.0);
        let request = LeaseRequest { source, window: self.window, amount };
        self.pending = Some(request);
        Some(request)
    }

    fn next_source(&self) -> Option<Source> {
        let limiters = (0..self.terms.lenders).map(Source::Limiter);
        let mut sources = std::iter::once(Source::Counter).chain(limiters);
        sources.find(|source| self.terms.grantable_by(*source) > 0.0 && !self.exhausted.contains(source))
    }

    /// Returns half of the units that the limiter will probably send until the end of the window, estimated from this
    /// window and the previous one. Only half is requested in advance, as no other limiter can use units left unspent.
    fn expected_need(&self, now: Micros) -> f64 {
        let window = self.terms.window_divisor();
        let elapsed = now.max(self.window * window) % window;
        let remaining = 1.0 - elapsed as f64 / window as f64;
        self.sent_previous_window.max(self.sent_this_window) * remaining / 2.0
    }

    /// Handles a reply; `total` is the window's total after the request's amount was added. If the window has not
    /// ended, as much of the amount as lies within the source's part of the allowance is granted.
    pub fn on_grant(&mut self, now: Micros, request: LeaseRequest, total: f64) {
        self.enter_window(now);
        self.pending = None;
        if request.window != self.window || !total.is_finite() {
            return;
        }
        let grantable = self.terms.grantable_by(request.source);
        let granted_by_now = total.min(grantable);
        let granted_before = (total - request.amount).clamp(0.0, grantable).min(granted_by_now);
        self.granted += granted_by_now - granted_before;
        if total >= grantable {
            self.exhausted.push(request.source);
        }
    }

    /// Handles a request that failed or whose outcome is unknown. It grants nothing, and its source is not asked again
    /// in this window.
    pub fn on_failure(&mut self, request: LeaseRequest) {
        self.pending = None;
        if request.window == self.window {
            self.exhausted.push(request.source);
        }
    }

    /// Returns the units that may be sent at `now`.
    pub fn available(&mut self, now: Micros) -> Available {
        self.enter_window(now);
        Available {
            units: self.granted + self.share,
            expires_at: (self.window + 1) * self.terms.window_length(),
        }
    }
}

#[cfg(test)]
mod tests;
