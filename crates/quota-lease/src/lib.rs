//! Quota leases: limiters obtain parts of a customer's quota in advance, with a proven bound on the units that they
//! send together.
//!
//! Time is divided into windows, the same for all limiters. A window is as long as a customer's burst takes to refill,
//! and its allowance is one burst. The allowance has up to three parts:
//!
//! - The quota counter grants the first part. A limiter adds the amount that it needs to the window's total, and may
//!   send as much of that amount as lies within the counter's part. Totals only rise, so grants to different limiters
//!   never overlap, whichever calls are lost.
//! - Limiters that are responsible for the customer ([`responsible_limiters`], [`Lender`]) grant the second part in the
//!   same way.
//! - The third part is divided among all limiters as local shares.
//!
//! Units that are not sent by the end of their window expire. The limiter's clock at the time of sending decides, so
//! this also holds for a limiter that was suspended. A limiter that was restarted has no local share and grants nothing
//! until the next window begins.
//!
//! [`LeaseTerms::bound`] returns the bound for any span of time, term by term. [`Lease`] is the state of one limiter.
#![forbid(unsafe_code)]

mod bound;
mod lease;
mod lender;

pub use bound::{Bound, BoundTerm, TargetError};
pub use lease::{Available, Lease, LeaseRequest, Source};
pub use lender::{responsible_limiters, Lender};

/// Time in microseconds.
pub type Micros = u64;

const MICROS_PER_SECOND: f64 = 1e6;
const MICROS_PER_MILLISECOND: Micros = 1_000;

/// The configuration of leases for the customers of one plan, the same at all limiters.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseTerms {
    /// A customer's quota in units per second, across all limiters.
    pub rate: f64,
    /// A customer's burst in units, across all limiters.
    pub burst: f64,
    /// Number of limiters that receive requests of the customer.
    pub limiters: u32,
    /// Fraction of the allowance that the counter grants.
    pub counter_fraction: f64,
    /// Fraction of the allowance that the responsible limiters grant together, in equal parts.
    pub lent_fraction: f64,
    /// Fraction of the allowance that all local shares make up together.
    pub local_share_fraction: f64,
    /// Number of limiters that are responsible for a customer.
    pub lenders: u32,
    /// Maximum difference between a limiter's clock and true time.
    pub max_clock_skew: Micros,
    /// Maximum time from the check of a request's lease until its last byte reaches a backend.
    pub max_send_delay: Micros,
    /// Number of counters that may grant the allowance of the same window: 2 if a counter that lost its totals, or a
    /// second counter, can start within a window, otherwise 1.
    pub counters: u32,
}

/// Invalid lease terms.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LeaseTermsError {
    /// The rate or the burst is not a positive, finite number.
    #[error("rate and burst: expected finite numbers above 0")]
    Quota,
    /// The number of limiters is 0.
    #[error("spread: expected at least 1 limiter")]
    Limiters,
    /// A fraction of the allowance is not between 0 and 1, or all of them are 0.
    #[error("counter, lent and local share fractions: expected 0 to 1 each, and at least one above 0")]
    Fractions,
    /// The number of counters or of responsible limiters is 0.
    #[error("counters and lenders: expected at least 1 of each")]
    Counters,
    /// Windows are so short that a grant may expire before the call that requested it returns.
    #[error("burst: refills within {window_ms} ms, so a lease may end before a call of up to {call_ms} ms returns")]
    Window {
        /// Length of a window, in milliseconds.
        window_ms: u64,
        /// Maximum duration of a call to the counter, in milliseconds.
        call_ms: u64,
    },
}

impl LeaseTerms {
    /// Validates the terms; `call` is the maximum duration of a call to the counter.
    ///
    /// # Errors
    /// Returns an error that names the first invalid value.
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

    /// Returns the length of a window: the time that a burst takes to refill.
    pub fn window_length(&self) -> Micros {
        (self.burst / self.rate * MICROS_PER_SECOND) as Micros
    }

    /// Returns the length of a window as a divisor, which is never 0, even for invalid terms.
    fn window_divisor(&self) -> Micros {
        self.window_length().max(1)
    }

    /// Returns the number of units that a source may grant in each window.
    fn grantable_by(&self, source: Source) -> f64 {
        match source {
            Source::Counter => self.burst * self.counter_fraction,
            Source::Limiter(_) => self.burst * self.lent_fraction / f64::from(self.lenders),
        }
    }

    /// Returns the number of units that each limiter may send in a window without a grant.
    fn local_share(&self) -> f64 {
        self.burst * self.local_share_fraction / f64::from(self.limiters)
    }
}

/// Terms for tests: windows of 4 s with 40 units each, all granted by the counter.
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
