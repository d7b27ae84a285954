//! The quota counter as a state machine without I/O. It keeps a total per name and serves calls in order of arrival at
//! a fixed rate.

use std::collections::HashMap;

use sedgestack_fleet::{Counter as Spec, Micros};

/// Longest time for which a name is kept.
const MAX_TIME_TO_LIVE: Micros = 60_000_000;
/// Minimum number of names that triggers a sweep of expired names. After a sweep, the next one runs when the number of
/// names has doubled.
const MIN_SWEEP_SIZE: usize = 4_096;

/// The answer to a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// The amount was added: the new total, and when the answer is sent.
    Total(f64, Micros),
    /// The call is rejected at once because the queue is full.
    Busy,
}

/// A quota counter. Names are of any hashable type.
pub struct Counter<Name> {
    spec: Spec,
    /// The total of each name, and when the name expires.
    names: HashMap<Name, (f64, Micros)>,
    next_sweep_size: usize,
    /// When the last accepted call is served.
    free_at: Micros,
    calls: u64,
    rejected: u64,
}

impl<Name: std::hash::Hash + Eq> Counter<Name> {
    /// Creates a counter without names.
    pub fn new(spec: &Spec) -> Counter<Name> {
        Counter {
            spec: *spec,
            names: HashMap::new(),
            next_sweep_size: MIN_SWEEP_SIZE,
            free_at: 0,
            calls: 0,
            rejected: 0,
        }
    }

    /// Removes all names, as happens when the counter is restarted on another machine.
    pub fn clear(&mut self) {
        self.names.clear();
    }

    /// Returns the number of calls so far, and how many of them were rejected.
    pub fn calls(&self) -> (u64, u64) {
        (self.calls, self.rejected)
    }

    /// Returns the number of names, including expired ones that have not been swept yet.
    pub fn name_count(&self) -> usize {
        self.names.len()
    }

    /// Handles a call that arrives at `now` and adds `amount` to the total of `name`. A new name expires after
    /// `time_to_live`. Calls are served in order of arrival, so the total is known before the call is served.
    pub fn add(&mut self, now: Micros, name: Name, amount: f64, time_to_live: Micros) -> Answer {
        self.calls += 1;
        let service_time = (1e6 / self.spec.calls_per_second) as Micros;
        let queued = self.free_at.saturating_sub(now) / service_time.max(1);
        if queued >= u64::from(self.spec.queue_capacity) {
            self.rejected += 1;
            return Answer::Busy;
        }
        self.free_at = self.free_at.max(now) + service_time;
        let at = self.free_at + self.spec.delay;
        if self.names.len() >= self.next_sweep_size {
            self.names.retain(|_, (_, expires_at)| *expires_at > now);
            self.next_sweep_size = (2 * self.names.len()).max(MIN_SWEEP_SIZE);
        }
        let entry = self.names.entry(name).or_insert((0.0, 0));
        if entry.1 <= now {
            *entry = (0.0, now + time_to_live.min(MAX_TIME_TO_LIVE));
        }
        entry.0 += amount;
        Answer::Total(entry.0, at)
    }
}

#[cfg(test)]
mod tests;
