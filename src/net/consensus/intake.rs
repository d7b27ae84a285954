//! Limits how many datagrams are accepted per second.

use sedgestack::Micros;

#[cfg(test)]
mod tests;

const SECOND: Micros = 1_000_000;

/// Divisor of the datagrams accepted per second that gives the maximum number of outcome counts, so that a flood of
/// these does not delay votes.
const OUTCOME_COUNTS_DIVISOR: u32 = 4;

/// Limits the datagrams accepted in each second.
#[derive(Debug)]
pub struct DatagramIntake {
    max_per_second: u32,
    second_started: Micros,
    accepted: u32,
    outcome_counts: u32,
    busiest_second: u32,
}

impl DatagramIntake {
    /// Creates a limit of `max_per_second` datagrams.
    pub fn new(max_per_second: u32) -> DatagramIntake {
        DatagramIntake {
            max_per_second,
            second_started: 0,
            accepted: 0,
            outcome_counts: 0,
            busiest_second: 0,
        }
    }

    /// Counts a datagram that arrived at `now`. Returns whether to handle it.
    pub fn accept(&mut self, now: Micros) -> bool {
        if now >= self.second_started + SECOND {
            (self.second_started, self.accepted, self.outcome_counts) = (now, 0, 0);
        }
        if self.accepted >= self.max_per_second {
            return false;
        }
        self.accepted += 1;
        self.busiest_second = self.busiest_second.max(self.accepted);
        true
    }

    /// Counts an accepted datagram as outcome counts. Returns whether to handle it.
    pub fn accept_outcome_counts(&mut self) -> bool {
        if self.outcome_counts >= self.max_per_second / OUTCOME_COUNTS_DIVISOR {
            return false;
        }
        self.outcome_counts += 1;
        true
    }

    /// Returns the maximum number of datagrams accepted in one second since the start.
    pub fn busiest_second(&self) -> u32 {
        self.busiest_second
    }
}
