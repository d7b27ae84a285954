//! The retry budget: limits retries to a share of all attempts, so that they cannot amplify an overload.

/// Retries earned per attempt. Retries of attempts that surely have not run are not counted.
const RETRY_SHARE: f64 = 0.1;
/// Maximum number of retries that can be saved up.
const MAX_SAVED: f64 = 10.0;
/// Divisor of `MAX_SAVED` that gives the budget at the start.
const INITIAL_DIVISOR: f64 = 5.0;

/// Retries that may still be sent.
#[derive(Default)]
pub(super) struct RetryBudget {
    available: f64,
}

impl RetryBudget {
    pub(super) fn new() -> RetryBudget {
        RetryBudget { available: MAX_SAVED / INITIAL_DIVISOR }
    }

    /// Earns a share of a retry with each attempt.
    pub(super) fn record_attempt(&mut self) {
        self.available = (self.available + RETRY_SHARE).min(MAX_SAVED);
    }

    pub(super) fn has_retry(&self) -> bool {
        self.available >= 1.0
    }

    pub(super) fn spend(&mut self) {
        self.available -= 1.0;
    }
}
