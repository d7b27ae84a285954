//! The events of a run and the queue that orders them.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use sedgestack_fleet::Micros;

use super::clients::Answer;
use super::counter_calls::CounterCall;

/// Bits of a digest's input that hold the kind of an event.
const KIND_BITS: u32 = 5;

/// What happens at one moment. Tries (`request`), attempts, limiters and backends go by their index.
#[derive(Clone, Debug)]
pub enum Event {
    /// The next first try of the demand is sent.
    FirstTry,
    /// A client sends its retry of an unserved try.
    ClientRetry { request: u32 },
    /// A try reaches its limiter.
    AtLimiter { request: u32 },
    /// A client gives up waiting.
    ClientTimesOut { request: u32 },
    /// An answer reaches its client.
    AtClient { request: u32, answer: Answer },
    /// A limiter handles what is in its inbox.
    Handle { limiter: u32, incarnation: u32 },
    /// A limiter's timer fires.
    Timer { limiter: u32, incarnation: u32 },
    /// An attempt has reached its backend whole.
    AtBackend { attempt: u32 },
    /// Something happens at a backend by itself, if nothing arrived there since this was scheduled.
    BackendDue { backend: u32, wakeup: u64 },
    /// The outcome of an attempt reaches its limiter.
    AttemptEnds { attempt: u32, outcome: sedgestack::Outcome },
    /// A limiter gives up waiting for an attempt.
    AttemptTimesOut { attempt: u32 },
    /// The cancellation of an attempt reaches its backend.
    CancelAtBackend { attempt: u32 },
    /// A call reaches the quota counter.
    AtCounter { limiter: u32, incarnation: u32, call: CounterCall },
    /// The counter's answer reaches its limiter; `None` is a rejection.
    CounterReplies { limiter: u32, incarnation: u32, name: u64, serial: u64, total: Option<f64> },
    /// A limiter gives up waiting for the counter.
    CounterTimesOut { limiter: u32, incarnation: u32, name: u64, serial: u64 },
    /// Service discovery notifies a limiter of a backend's state.
    EndpointChanges { limiter: u32, backend: u32, version: u64 },
    /// A backend renews its load report.
    LoadReport { backend: u32 },
    /// A change of the runtime configuration becomes active.
    ConfigurationChange { change: u32 },
    /// A fault begins.
    FaultBegins { fault: u32 },
    /// A fault ends.
    FaultEnds { fault: u32 },
    /// Clients' load balancer learns that a limiter is down, or up again.
    LoadBalancerLearns { limiter: u32, is_down: bool, incarnation: u32 },
    /// The counter is back after a loss.
    CounterBack,
    /// The gauges of a second are read.
    Gauge,
}

impl Event {
    /// A number for the event's kind and for what it concerns; `next_arrival` is the index of the next first try.
    /// The numbers enter the digest of a run, so they must not change.
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
            Event::LoadBalancerLearns { limiter, .. } => (20, u64::from(*limiter)),
            Event::CounterBack => (21, 0),
            Event::Gauge => (22, 0),
            Event::ConfigurationChange { change } => (23, u64::from(*change)),
        };
        subject << KIND_BITS | kind
    }
}

/// An event at its moment.
pub struct Scheduled {
    /// The moment.
    pub at: Micros,
    /// Events of one moment happen in the order in which they were scheduled.
    order: u64,
    /// What happens.
    pub event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
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
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// The events that are still to come, the earliest first.
#[derive(Default)]
pub struct EventQueue {
    heap: BinaryHeap<Reverse<Scheduled>>,
    scheduled: u64,
}

impl EventQueue {
    /// Adds an event.
    pub fn push(&mut self, at: Micros, event: Event) {
        self.scheduled += 1;
        self.heap.push(Reverse(Scheduled { at, order: self.scheduled, event }));
    }

    /// Takes the next event.
    pub fn pop(&mut self) -> Option<Scheduled> {
        self.heap.pop().map(|Reverse(scheduled)| scheduled)
    }

    /// How many events were added since the beginning.
    pub fn scheduled(&self) -> u64 {
        self.scheduled
    }
}
