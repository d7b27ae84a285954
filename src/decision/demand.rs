//! The demand-following quota slice: estimates a customer's demand here and at other limiters from readings
//! of the counter, and sizes this limiter's slice by it.

use super::customers::{Customer, Quota};
use super::usage_reports::COUNTER_WINDOW;
use super::SECOND;
use crate::interface::Micros;

/// Time constant of the demand rates, in microseconds: a few readings, but shorter than the time in which
/// demand shifts.
const DEMAND_DECAY_TIME: f64 = 2.0 * SECOND;
/// Share of the quota that a customer is assumed to use before a window shows its usage: clearly below the
/// full quota.
const INITIAL_USE: f64 = 0.8;
/// If at least this share of the quota was unused in a window, the bucket is assumed to have been full when
/// the window began; if none was unused, it is assumed to have been empty.
const UNUSED_IF_FULL: f64 = 0.5;
/// Minimum quota, in units, used as a divisor.
const MIN_UNITS: f64 = 1e-3;

/// A total read from the counter.
#[derive(Clone, Copy)]
pub(super) struct Reading {
    /// Window of the counter name.
    pub(super) window: u64,
    pub(super) total: f64,
    pub(super) at: Micros,
}

impl Reading {
    /// Age of the window when the reading was taken, microseconds.
    fn window_age(&self) -> f64 {
        self.at.saturating_sub(self.window * COUNTER_WINDOW).max(1) as f64
    }
}

/// Usage of all limiters over a time span before a reading.
struct ObservedUsage {
    units: f64,
    span: f64,
    /// Part of the span that the reading itself covers.
    observed: f64,
}

/// A customer's demand, in units per second.
#[derive(Default)]
pub(super) struct Demand {
    own_rate: f64,
    others_rate: f64,
    /// Units reported by this limiter since the last reading, including those of calls that timed out.
    reported: f64,
    last: Option<Reading>,
}

impl Demand {
    pub(super) fn add_reported(&mut self, units: f64) {
        self.reported += units;
    }

    pub(super) fn reading_age(&self, now: Micros) -> Option<Micros> {
        self.last.map(|reading| now.saturating_sub(reading.at))
    }

    /// Records a reading and returns the usage that follows from it, if any. Usage is the difference of two
    /// totals of one name, so lost counts spoil only one reading. The first total of a name covers the usage
    /// since the name's start; the time before is assumed to have continued at the last known rate.
    fn record(&mut self, reading: Reading) -> Option<ObservedUsage> {
        let usage = self.observe(reading);
        self.last = Some(reading);
        if let Some(usage) = &usage {
            self.update_rates(usage);
        }
        self.reported = 0.0;
        usage
    }

    fn observe(&self, reading: Reading) -> Option<ObservedUsage> {
        let age = reading.window_age();
        match self.last {
            Some(last) if last.window == reading.window => {
                let span = reading.at.saturating_sub(last.at).max(1) as f64;
                let units = reading.total - last.total;
                (reading.total >= last.total).then_some(ObservedUsage { units, span, observed: span })
            }
            Some(last) => {
                let before = (reading.at.saturating_sub(last.at) as f64 - age).max(0.0);
                let units = reading.total + self.others_rate * before / SECOND;
                Some(ObservedUsage { units, span: age + before, observed: age })
            }
            None => Some(ObservedUsage { units: reading.total, span: age, observed: age }),
        }
    }

    fn update_rates(&mut self, usage: &ObservedUsage) {
        let others = (usage.units - self.reported).max(0.0);
        let decay = (-usage.observed / DEMAND_DECAY_TIME).exp();
        let rate = |units: f64| units / usage.span * SECOND * (1.0 - decay);
        self.own_rate = self.own_rate * decay + rate(self.reported);
        self.others_rate = self.others_rate * decay + rate(others);
    }
}

impl Customer {
    /// Records a reading and resizes the slice by it.
    pub(super) fn take_reading(
        &mut self,
        reading: Reading,
        quota: Quota,
        max_units: f64,
        many_limiters: bool,
    ) {
        let Some(usage) = self.usage.demand.record(reading) else { return };
        // Requests sent beyond the quota took nothing from its bucket, so the level must not show them as a
        // debt, which would reject requests while quota is left. In many-limiters mode the level may be
        // negative: prechecks are rejected by the amount that is missing.
        let level = if many_limiters {
            let age = reading.window_age();
            let initial = level_at_window_start(quota, reading.total, age / SECOND);
            (initial + quota.rate * age / SECOND - reading.total).clamp(-quota.burst, quota.burst)
        } else {
            let gained = quota.rate * usage.span / SECOND;
            (self.slice.shared_level + gained - usage.units).clamp(0.0, quota.burst)
        };
        self.slice.shared_level = level;
        self.resize_slice(quota, max_units, reading.at);
    }

    /// Resizes the slice: the quota times this limiter's share of the usage, at least the even share, plus an
    /// even share of the unused rate.
    fn resize_slice(&mut self, quota: Quota, max_units: f64, now: Micros) {
        let demand = &self.usage.demand;
        let all = demand.own_rate + demand.others_rate;
        let own_share = if all > 0.0 { demand.own_rate / all } else { 0.0 }.max(1.0 / self.spread);
        let left = (quota.rate - all).max(0.0) / self.spread;
        let bucket = &mut self.slice.bucket;
        bucket.refilled_at = now;
        bucket.rate = quota.rate * own_share + left;
        bucket.capacity = (quota.burst * own_share).max(max_units.min(quota.burst));
        // Units already granted to queued requests must not be granted again.
        bucket.level = (self.slice.shared_level - self.usage.unreported) * own_share - self.slice.reserved;
    }
}

/// Estimates the level of a customer's bucket when a window began, from its usage since. Without it, a
/// customer that used up its quota would get a full bucket with each new name. May wrongly reject a customer
/// that asks for a full bucket at once.
fn level_at_window_start(quota: Quota, used: f64, seconds: f64) -> f64 {
    let share = (used + INITIAL_USE * quota.burst) / (quota.rate * seconds + quota.burst).max(MIN_UNITS);
    quota.burst * ((1.0 - share) / UNUSED_IF_FULL).clamp(0.0, 1.0)
}
