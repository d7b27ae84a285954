//! Simulated quota counter, which limiters outside the run also use.

use std::collections::BTreeMap;

use sedgestack::{CounterName, Micros, Outcome};

use crate::backends::MILLISECOND;
use crate::draws::Rng;

/// Outages: the counter does not answer for `OUTAGE`, once in `OUTAGE_CYCLE` such periods.
const OUTAGE: Micros = 700 * MILLISECOND;
const OUTAGE_CYCLE: u64 = 7;
const OUTAGE_INDEX: u64 = 3;
/// Share of calls before which the counter loses all counts.
const FLUSH_SHARE: f64 = 0.001;
/// Share of timed-out calls whose amount was added nevertheless.
const ADDED_SHARE: f64 = 0.5;

struct Count {
    total: f64,
    expires_at: Micros,
}

/// The reply to a call and its delay.
pub struct CounterReply {
    pub outcome: Outcome,
    pub total: Option<f64>,
    pub delay: Micros,
}

#[derive(Default)]
pub struct Counter {
    counts: BTreeMap<CounterName, Count>,
}

/// Behavior of a counter.
#[derive(Clone, Copy)]
pub struct CounterBehavior {
    /// Share of failed calls.
    pub loss_share: f64,
    pub has_outages: bool,
    /// Mean number of units that other limiters add for each unit added here.
    pub others_per_unit: f64,
}

impl Counter {
    pub fn call(
        &mut self,
        now: Micros,
        (name, amount, time_to_live): (CounterName, f64, Micros),
        behavior: CounterBehavior,
        timeout: Micros,
        rng: &mut Rng,
    ) -> CounterReply {
        let outage = behavior.has_outages && (now / OUTAGE) % OUTAGE_CYCLE == OUTAGE_INDEX;
        let delay = rng.between(300, 4 * MILLISECOND);
        if outage || rng.chance(behavior.loss_share) {
            let outcome = rng.pick(&[
                Outcome::TimedOut,
                Outcome::TimedOut,
                Outcome::Error,
                Outcome::ConnectFailed,
                Outcome::Rejected,
            ]);
            let timed_out = outcome == Outcome::TimedOut;
            if timed_out && rng.chance(ADDED_SHARE) {
                self.add(now, name, amount, time_to_live);
            }
            return CounterReply { outcome, total: None, delay: if timed_out { timeout } else { delay } };
        }
        if rng.chance(FLUSH_SHARE) {
            self.counts.clear();
        }
        let others = amount.max(0.0) * behavior.others_per_unit * 2.0 * rng.fraction();
        let total = self.add(now, name, amount + others, time_to_live);
        CounterReply { outcome: Outcome::Ok, total: Some(total), delay }
    }

    fn add(&mut self, now: Micros, name: CounterName, amount: f64, time_to_live: Micros) -> f64 {
        let fresh = || Count { total: 0.0, expires_at: now + time_to_live };
        let count = self.counts.entry(name).or_insert_with(fresh);
        if count.expires_at <= now {
            *count = fresh();
        }
        count.total += amount;
        count.total
    }
}
