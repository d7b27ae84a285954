//! Leases of quota over all limiters, with a proven bound on what they let through together.
//!
//! Time is divided into windows, the same for all limiters, each as long as a customer's burst takes to refill. A
//! window has an allowance of one burst, in up to three parts. The quota counter grants the first: a limiter adds the
//! amount that it wants to the window's total and may send what of the amount lies within that part. Totals only
//! rise, so grants to different limiters never overlap, whichever calls are lost. Limiters that are responsible for
//! the customer ([`responsible_limiters`], [`Lender`]) grant the second part in the same way. The third is divided
//! between all limiters as local shares. What isn't sent by the end of the window, by the limiter's clock at the
//! moment of sending, expires. That holds for a limiter that was suspended; one that was restarted has no local share
//! and grants nothing until the next window begins.
//!
//! [`LeaseTerms::bound`] states what that comes to over any stretch of time, term by term.
//! [`Lease`] is one limiter's part.
#![forbid(unsafe_code)]

mod bound;
mod lease;
mod lender;

pub use bound::{Bound, BoundTerm, TargetError};
pub use lease::{Available, Lease, LeaseRequest, Source};
pub use lender::{responsible_limiters, Lender};

/// Microseconds.
pub type Micros = u64;

const MICROS_PER_SECOND: f64 = 1e6;
const MICROS_PER_MILLISECOND: Micros = 1_000;

/// The configuration of leases for the customers of one plan, the same at all limiters.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseTerms {
    /// Units a second that a customer may be sent, over all limiters.
    pub rate: f64,
    /// Units at once that a customer may be sent, over all limiters.
    pub burst: f64,
    /// Limiters that the customer's requests come through.
    pub limiters: u32,
    /// Part of the allowance that the counter grants.
    pub counter_fraction: f64,
    /// Part of the allowance that the responsible limiters grant together, each the same amount.
    pub lent_fraction: f64,
    /// Part of the allowance that all local shares come to together.
    pub local_share_fraction: f64,
    /// Limiters that are responsible for a customer.
    pub lenders: u32,
    /// Upper bound for the difference between a limiter's clock and true time.
    pub max_clock_skew: Micros,
    /// Upper bound for the time from the check of a request's lease to its last byte at a backend.
    pub max_send_delay: Micros,
    /// Counters that may grant the same window's allowance: 1 where a counter that lost its totals, or a second one,
    /// can't start within a window; 2 where one can.
    pub counters: u32,
}

/// Lease terms out of range.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LeaseTermsError {
    /// The rate or the burst is not a positive, finite number.
    #[error("rate and burst: expected finite figures over 0")]
    Quota,
    /// There is no limiter that requests could come through.
    #[error("spread: expected 1 limiter at least")]
    Limiters,
    /// A part of the allowance is not a share, or nothing of it is granted by anyone.
    #[error("counter_fraction, lent_fraction and local_share_fraction: expected 0 to 1 each, and one of them over 0")]
    Fractions,
    /// The number of counters or that of responsible limiters is 0.
    #[error("counters and lenders: expected 1 at least")]
    Counters,
    /// Windows are so short that a grant expires before the call for it returns.
    #[error("burst: it refills within {window_ms} ms; a lease so short ends before a call of {call_ms} ms is over")]
    Window {
        /// Length of a window, in milliseconds.
        window_ms: u64,
        /// Longest time that a call to the counter may take, in milliseconds.
        call_ms: u64,
    },
}

impl LeaseTerms {
    /// Validates the terms; `call` is the longest time that a call to the counter may take.
    ///
    /// # Errors
    /// Names the first value that is out of range.
    pub fn check(&self, call: Micros) -> Result<(), LeaseTermsError> {
        let is_positive = |value: f64| value.is_finite() && value > 0.0;
        if !is_positive(self.rate) || !is_positive(self.burst) {
            return Err(LeaseTermsError::Quota);
        }
        if self.limiters == 0 {
            return Err(LeaseTermsError::Limiters);
        }
        let fractions = [self.counter_fraction, self.lent_fraction, self.local_share_fraction];
        let are_fractions = fractions.iter().all(|fraction| (0.0..=1.0).contains(fraction));
        if !are_fractions || fractions.iter().sum::<f64>() <= 0.0 {
            return Err(LeaseTermsError::Fractions);
        }
        if self.counters == 0 || self.lenders == 0 {
            return Err(LeaseTermsError::Counters);
        }
        if self.window_length() <= call {
            let window_ms = self.window_length() / MICROS_PER_MILLISECOND;
            let call_ms = call / MICROS_PER_MILLISECOND;
            return Err(LeaseTermsError::Window { window_ms, call_ms });
        }
        Ok(())
    }

    /// Length of a window: the time that a burst takes to refill.
    pub fn window_length(&self) -> Micros {
        (self.burst / self.rate * MICROS_PER_SECOND) as Micros
    }

    /// Length of a window as a divisor, also where the terms are out of range.
    fn window_divisor(&self) -> Micros {
        self.window_length().max(1)
    }

    /// Units of a window that one source grants.
    fn grantable_by(&self, source: Source) -> f64 {
        match source {
            Source::Counter => self.burst * self.counter_fraction,
            Source::Limiter(_) => self.burst * self.lent_fraction / f64::from(self.lenders),
        }
    }

    /// Units of a window that one limiter may send without a grant.
    fn local_share(&self) -> f64 {
        self.burst * self.local_share_fraction / f64::from(self.limiters)
    }
}

/// Windows of 4 s with 40 units each, all granted by the counter.
#[cfg(test)]
fn sample() -> LeaseTerms {
    LeaseTerms {
        rate: 10.0,
        burst: 40.0,
        limiters: 4,
        counter_fraction: 1.0,
        lent_fraction: 0.0,
        local_share_fraction: 0.0,
        lenders: 1,
        max_clock_skew: 0,
        max_send_delay: 0,
        counters: 1,
    }
}
