//! One limiter's lease of one customer's quota.

use crate::{LeaseTerms, Micros};

/// Smallest amount that counts: sums of units are exact to far less.
const UNITS_TOLERANCE: f64 = 1e-9;

/// Who grants units.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    /// The quota counter, which all limiters share.
    Counter,
    /// The responsible limiter of this rank, from 0.
    Limiter(u32),
}

/// A limiter's request to a source: add `amount` to the customer's total of `window`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseRequest {
    /// Who is asked for the units.
    pub source: Source,
    /// The window of the request, not of its reply: the grant expires with it.
    pub window: u64,
    /// Units to be added to the window's total.
    pub amount: f64,
}

/// Units that a limiter may send now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Available {
    /// Unspent units, of grants and of the local share together.
    pub units: f64,
    /// End of the current window, by the limiter's clock: unspent units expire then.
    pub expires_at: Micros,
}

/// What a limiter may send for a customer.
#[derive(Clone, Debug, PartialEq)]
pub struct Lease {
    terms: LeaseTerms,
    window: u64,
    /// Unspent units that were granted in this window.
    granted: f64,
    /// Unspent units of the limiter's local share.
    share: f64,
    sent_previous_window: f64,
    sent_this_window: f64,
    /// The request that has no reply yet.
    pending: Option<LeaseRequest>,
    /// Sources that have nothing left of this window, or didn't reply in it.
    exhausted: Vec<Source>,
}

impl Lease {
    /// The lease of a limiter that starts at `now`. An earlier incarnation may have spent the local share of this
    /// window, so there is none until the next.
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

    /// Moves on to the window of `now`. Guards against clocks that are set back: a window that has ended never comes
    /// again.
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

    /// Takes units off the lease, if it has them; called at the very moment of sending. Granted units go first, as
    /// no other limiter can use them.
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

    /// The request to make before `units` can be sent: to the counter first, then to the responsible limiters. `None`
    /// where they can be sent already, where a request is pending, or where no source has anything left of this window.
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

    /// Half of what the limiter is likely to send until the window ends, judged by this window and the one before.
    /// Only half, as no other limiter can use what it doesn't.
    fn expected_need(&self, now: Micros) -> f64 {
        let window = self.terms.window_divisor();
        let elapsed = now.max(self.window * window) % window;
        let remaining = 1.0 - elapsed as f64 / window as f64;
        self.sent_previous_window.max(self.sent_this_window) * remaining / 2.0
    }

    /// Handles a reply: `total` is the window's total after the request's amount was added. What of the amount lies
    /// within the source's part is granted, if the window hasn't ended.
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

    /// Handles a request that failed or whose outcome is unknown: it grants nothing, and its source isn't asked again
    /// in this window.
    pub fn on_failure(&mut self, request: LeaseRequest) {
        self.pending = None;
        if request.window == self.window {
            self.exhausted.push(request.source);
        }
    }

    /// What could be sent now.
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
