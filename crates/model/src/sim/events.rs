//! The events of a run, and the queue that orders them.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use sedgestack_fleet::Micros;

use super::clients::Answer;
use super::counter_calls::CounterCall;

/// Number of low bits of an event's fingerprint that hold its kind.
const KIND_BITS: u32 = 5;

/// An event of a run. Tries (`request`), attempts, limiters and backends are identified by index.
#[derive(Clone, Debug)]
pub enum Event {
    /// The next first try of the demand is sent.
    FirstTry,
    /// A client retries a try that was not served.
    ClientRetry { request: u32 },
    /// A try reaches its limiter.
    AtLimiter { request: u32 },
    /// A client gives up waiting for an answer.
    ClientTimesOut { request: u32 },
    /// An answer reaches its client.
    AtClient { request: u32, answer: Answer },
    /// A limiter handles the events in its inbox.
    Handle { limiter: u32, incarnation: u32 },
    /// A limiter's timer fires.
    Timer { limiter: u32, incarnation: u32 },
    /// A backend has received an attempt completely.
    AtBackend { attempt: u32 },
    /// A backend must be advanced. Void if another wake-up of the backend has been scheduled since.
    BackendDue { backend: u32, wakeup: u64 },
    /// The outcome of an attempt reaches its limiter.
    AttemptEnds { attempt: u32, outcome: sedgestack::Outcome },
    /// A limiter gives up waiting for an attempt.
    AttemptTimesOut { attempt: u32 },
    /// The cancellation of an attempt reaches its backend.
    CancelAtBackend { attempt: u32 },
    /// A call reaches the quota counter.
    AtCounter { limiter: u32, incarnation: u32, call: CounterCall },
    /// The quota counter's answer reaches the limiter. A `total` of `None` is a rejection.
    CounterReplies { limiter: u32, incarnation: u32, name: u64, serial: u64, total: Option<f64> },
    /// A limiter gives up waiting for the quota counter.
    CounterTimesOut { limiter: u32, incarnation: u32, name: u64, serial: u64 },
    /// Service discovery notifies a limiter that a backend's endpoint changed.
    EndpointChanges { limiter: u32, backend: u32, version: u64 },
    /// A backend renews its load report.
    LoadReport { backend: u32 },
    /// A change of the runtime configuration becomes active.
    ConfigurationChange { change: u32 },
    /// A fault begins.
    FaultBegins { fault: u32 },
    /// A fault ends.
    FaultEnds { fault: u32 },
    /// The clients' load balancer detects that a limiter is down, or up again.
    LoadBalancerDetects { limiter: u32, is_down: bool, incarnation: u32 },
    /// The quota counter comes back after a loss.
    CounterBack,
    /// The gauges of the past second are read.
    Gauge,
}

impl Event {
    /// Returns a number that combines the event's kind and subject, for the digest of a run. The numbers of the kinds
    /// must not change, as digests would change with them. `next_arrival` is the index of the next first try.
    pub fn fingerprint(&self, next_arrival: usize) -> u64 {
        let (kind, subject) = match self {
            Event::FirstTry => (1, next_arrival as u64),
            Event::ClientRetry { request } => (2, u64::from(*request)),
            Event::AtLimiter { request } => (3, u64::from(*request)),
            Event::ClientTimesOut { request } => (4, u64::from(*request)),
            Event::AtClient { request, .. } => (5, u64::from(*request)),
            Event::Handle { limiter, .. } => (6, u64::from(*limiter)),
            Event::Timer { limiter, .. } => (7, u64::from(*limiter)),
            Event::AtBackend { attempt } => (8, u64::from(*attempt)),
            Event::BackendDue { backend, .. } => (9, u64::from(*backend)),
            Event::AttemptEnds { attempt, outcome } => (10, u64::from(*attempt) << 8 | *outcome as u64),
            Event::AttemptTimesOut { attempt } => (11, u64::from(*attempt)),
            Event::CancelAtBackend { attempt } => (12, u64::from(*attempt)),
            Event::AtCounter { call, .. } => (13, call.name),
            Event::CounterReplies { name, .. } => (14, *name),
            Event::CounterTimesOut { name, .. } => (15, *name),
            Event::EndpointChanges { backend, .. } => (16, u64::from(*backend)),
            Event::LoadReport { backend } => (17, u64::from(*backend)),
            Event::FaultBegins { fault } => (18, u64::from(*fault)),
            Event::FaultEnds { fault } => (19, u64::from(*fault)),
            Event::LoadBalancerDetects { limiter, .. } => (20, u64::from(*limiter)),
            Event::CounterBack => (21, 0),
            Event::Gauge => (22, 0),
            Event::ConfigurationChange { change } => (23, u64::from(*change)),
        };
        subject << KIND_BITS | kind
    }
}

/// An event in the queue.
pub struct Scheduled {
    /// When the event happens.
    pub at: Micros,
    /// Sequence number: events at the same time happen in the order in which they were scheduled.
    sequence: u64,
    /// The event itself.
    pub event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// The queue of future events.
#[derive(Default)]
pub struct EventQueue {
    heap: BinaryHeap<Reverse<Scheduled>>,
    scheduled: u64,
}

impl EventQueue {
    /// Adds an event.
    pub fn push(&mut self, at: Micros, event: Event) {
        self.scheduled += 1;
        self.heap.push(Reverse(Scheduled { at, sequence: self.scheduled, event }));
    }

    /// Removes and returns the earliest event.
    pub fn pop(&mut self) -> Option<Scheduled> {
        self.heap.pop().map(|Reverse(scheduled)| scheduled)
    }

    /// Returns how many events have been added so far.
    pub fn scheduled(&self) -> u64 {
        self.scheduled
    }
}
