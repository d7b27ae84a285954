//! The quota counter as a state machine without I/O: totals by name, so many calls served a second in their order.

use std::collections::HashMap;

use sedgestack_fleet::{Counter as Spec, Micros};

/// A name lives this long at most.
const LONGEST_LIFE: Micros = 60_000_000;
/// Names are swept once so many are held, and again at every doubling.
const SWEEP_AT: usize = 4_096;

/// When a call is answered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// Added; the total, told at this moment.
    Total(f64, Micros),
    /// Rejected at once: the queue is full.
    Busy,
}

/// A quota counter.
pub struct Counter<Name> {
    spec: Spec,
    names: HashMap<Name, (f64, Micros)>,
    sweep_at: usize,
    /// When the last call that was accepted is served.
    free_at: Micros,
    calls: u64,
    turned_away: u64,
}

impl<Name: std::hash::Hash + Eq> Counter<Name> {
    /// An empty counter.
    pub fn new(spec: &Spec) -> Counter<Name> {
        Counter {
            spec: *spec,
            names: HashMap::new(),
            sweep_at: SWEEP_AT,
            free_at: 0,
            calls: 0,
            turned_away: 0,
        }
    }

    /// Forgets every name, as a counter does that is back elsewhere.
    pub fn clear(&mut self) {
        self.names.clear();
    }

    /// Calls so far, and those of them that were rejected.
    pub fn calls(&self) -> (u64, u64) {
        (self.calls, self.turned_away)
    }

    /// Names held, the forgotten ones among them until the next sweep.
    pub fn name_count(&self) -> usize {
        self.names.len()
    }

    /// A call that arrives at `now`. Calls are served in the order of arrival, so the total is known here.
    pub fn add(&mut self, now: Micros, name: Name, amount: f64, keep: Micros) -> Answer {
        self.calls += 1;
        let turn = (1e6 / self.spec.calls_per_second) as Micros;
        let waits = self.free_at.saturating_sub(now) / turn.max(1);
        if waits >= u64::from(self.spec.queue_capacity) {
            self.turned_away += 1;
            return Answer::Busy;
        }
        self.free_at = self.free_at.max(now) + turn;
        let at = self.free_at + self.spec.delay;
        if self.names.len() >= self.sweep_at {
            self.names.retain(|_, (_, until)| *until > now);
            self.sweep_at = (2 * self.names.len()).max(SWEEP_AT);
        }
        let entry = self.names.entry(name).or_insert((0.0, 0));
        if entry.1 <= now {
            *entry = (0.0, now + keep.min(LONGEST_LIFE));
        }
        entry.0 += amount;
        Answer::Total(entry.0, at)
    }
}

#[cfg(test)]
mod tests;
