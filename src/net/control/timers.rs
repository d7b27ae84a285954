//! The timers requested by the decision logic.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use sedgestack::Micros;

#[cfg(test)]
mod tests;

/// The times at which the decision logic must run again, earliest first.
#[derive(Debug, Default)]
pub struct TimerQueue {
    due_times: BinaryHeap<Reverse<Micros>>,
}

impl TimerQueue {
    /// Adds a timer. Timers are never cancelled, since a timer that is no longer needed only causes a run without
    /// actions.
    pub fn schedule(&mut self, at: Micros) {
        self.due_times.push(Reverse(at));
    }

    /// Returns the time of the earliest timer, if there is one.
    pub fn next_due(&self) -> Option<Micros> {
        self.due_times.peek().map(|Reverse(at)| *at)
    }

    /// Removes all timers that are due at `now`. Returns whether there were any.
    pub fn remove_due(&mut self, now: Micros) -> bool {
        let mut any_due = false;
        while self.next_due().is_some_and(|at| at <= now) {
            self.due_times.pop();
            any_due = true;
        }
        any_due
    }
}
