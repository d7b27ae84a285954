//! A request that has no final answer yet.

use super::backends::Backend;
use crate::interface::{BackendId, CustomerId, Idempotency, KeyScope, Micros};

/// The first attempt of a request that may have run; it determines where and until when a request with an
/// idempotency key may be retried.
pub(super) struct FirstRun {
    pub(super) started_at: Micros,
    pub(super) zone: String,
    pub(super) cell: u32,
}

/// A request that is queued or in flight.
#[derive(Default)]
pub(super) struct PendingRequest {
    pub(super) class: usize,
    pub(super) customer: CustomerId,
    pub(super) units: f64,
    pub(super) arrived_at: Micros,
    /// Time by which the final answer is due.
    pub(super) deadline: Micros,
    /// Number of attempts started.
    pub(super) attempts: u32,
    /// Whether the units are taken from the customer's quota slice, or reported to the counter with a
    /// precheck.
    pub(super) has_quota: bool,
    /// Whether the units were reported to the counter before the request was sent; see
    /// `Limiter::precheck_at`.
    pub(super) is_prechecked: bool,
    /// Number of attempts in flight.
    pub(super) in_flight: u32,
    /// Whether an attempt streams its answer.
    pub(super) is_streaming: bool,
    pub(super) first_run: Option<FirstRun>,
    pub(super) tried: Vec<BackendId>,
}

impl PendingRequest {
    /// Returns how long a retry may still be sent, if the idempotency window of the first attempt that may
    /// have run limits it.
    pub(super) fn retry_window_left(&self, idempotency: Idempotency, now: Micros) -> Option<Micros> {
        match (&self.first_run, idempotency) {
            (Some(first), Idempotency::IdempotencyKey { window, .. }) => {
                Some((first.started_at + window).saturating_sub(now))
            }
            _ => None,
        }
    }

    /// Whether an attempt may be sent to a backend: after a first run under an idempotency key, only to
    /// backends that drop repeats of it, and only while they do.
    pub(super) fn may_run_on(&self, backend: &Backend, idempotency: Idempotency, now: Micros) -> bool {
        let (Some(first), Idempotency::IdempotencyKey { scope, window }) = (&self.first_run, idempotency)
        else {
            return true;
        };
        let in_scope = match scope {
            KeyScope::All => true,
            KeyScope::Zone => first.zone == backend.zone,
            KeyScope::Cell => first.cell == backend.cell,
        };
        in_scope && now < first.started_at + window
    }
}
