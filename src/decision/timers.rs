//! Pending timers, and the single timer that the program is asked to set.

use std::collections::BTreeSet;

use crate::interface::{CustomerId, Micros, RequestId};

/// Purpose of a timer. Timers that are due at the same time fire in this order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerKind {
    /// The final answer of the request is due.
    RequestDeadline(RequestId),
    /// The request has been queued for as long as it may.
    QueueTimeout(RequestId),
    /// The customer's usage is due to be reported to the counter.
    UsageReport(CustomerId),
    /// The customer may be able to send again.
    JoinRotation(CustomerId),
    /// Queued requests may be ready to be released.
    Release,
    /// Service discovery is due to be queried again.
    Subscribe,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    due: Micros,
    kind: TimerKind,
}

/// All pending timers; the program knows only of the earliest one.
#[derive(Default)]
pub(super) struct Timers {
    pending: BTreeSet<Timer>,
    /// Due time of the timer that the program was last asked to set.
    armed_for: Option<Micros>,
}

impl Timers {
    /// Sets a timer. A timer of the same time and purpose is kept only once.
    pub(super) fn schedule(&mut self, due: Micros, kind: TimerKind) {
        self.pending.insert(Timer { due, kind });
    }

    /// Removes and returns the first timer that is due.
    pub(super) fn pop_due(&mut self, now: Micros) -> Option<TimerKind> {
        self.armed_for = self.armed_for.filter(|due| *due > now);
        let first = self.pending.first().filter(|timer| timer.due <= now)?.kind;
        self.pending.pop_first();
        Some(first)
    }

    /// Returns the delay of a timer that the program must set now, if none is set that fires early enough.
    pub(super) fn arm(&mut self, now: Micros) -> Option<Micros> {
        let due = self.pending.first()?.due;
        if self.armed_for.is_some_and(|armed| due >= armed) {
            return None;
        }
        self.armed_for = Some(due);
        Some(due.saturating_sub(now).max(1))
    }
}
