//! A token bucket.

use super::SECOND;
use crate::interface::Micros;

/// A token bucket that gains `rate` units per second up to `capacity`.
#[derive(Clone, Copy, Default)]
pub(super) struct TokenBucket {
    pub(super) level: f64,
    pub(super) rate: f64,
    pub(super) capacity: f64,
    /// Time at which `level` was last updated.
    pub(super) refilled_at: Micros,
}

impl TokenBucket {
    /// Adds the units gained since the last update. A level above the capacity is kept.
    pub(super) fn refill(&mut self, now: Micros) {
        let gained = self.rate * now.saturating_sub(self.refilled_at) as f64 / SECOND;
        self.level = (self.level + gained).min(self.capacity.max(self.level));
        self.refilled_at = now;
    }

    /// Takes units that were used in addition, or returns units (if negative) up to the capacity.
    pub(super) fn settle(&mut self, units: f64) {
        self.level = (self.level - units).min(self.capacity.max(self.level));
    }
}
