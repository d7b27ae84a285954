//! Records of what the stand-ins observed, with times on one clock.

use std::collections::{HashMap, HashSet};
use std::sync::Mutex;
use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;

use crate::sync::locked;

/// How a client's request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum ClientEnd {
    /// The client received a complete response with this status.
    Answered(u16),
    /// The limiter closed the connection before the first byte of a response.
    Closed,
    /// The limiter closed the connection within the head of a response.
    ClosedWithinHead,
    /// The client closed the connection before a response.
    Left,
    /// No complete response arrived while the client waited.
    Unanswered,
}

/// A request that a client wrote completely.
#[derive(Clone, Debug, Serialize)]
pub struct RequestRecord {
    /// The request's `X-Request-Id`.
    pub id: String,
    /// Index of the request's class in the deployment.
    pub class: usize,
    /// Number of the limiter that received the request.
    pub limiter: usize,
    /// How long the client waits.
    pub deadline: Duration,
    /// When the last byte was written.
    pub sent_at: Duration,
    /// Whether the connection had carried an earlier request.
    pub on_reused_connection: bool,
    /// When and how the request ended for the client; `None` if it did not end.
    pub end: Option<(Duration, ClientEnd)>,
}

/// How an attempt ended at the backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum AttemptEnd {
    /// The complete request arrived, and may have been processed.
    MayHaveRun,
    /// The backend rejected the request and stated that it was not processed.
    NotRun,
    /// The request did not arrive completely.
    Partial,
}

/// An attempt as observed by a backend.
#[derive(Clone, Debug, Serialize)]
pub struct AttemptRecord {
    /// The request's `X-Request-Id`.
    pub id: String,
    /// Number of the backend, unique within the run.
    pub backend: usize,
    /// When the first byte arrived.
    pub began_at: Duration,
    /// The time left according to the attempt's `X-Deadline-Ms`, in milliseconds.
    pub told_ms: u64,
    /// How the attempt ended.
    pub end: AttemptEnd,
}

/// A notice to a limiter that a backend is draining or gone.
#[derive(Clone, Debug, Serialize)]
pub struct DrainNotice {
    /// Number of the limiter.
    pub limiter: usize,
    /// Number of the backend.
    pub backend: usize,
    /// When the notice was written to the limiter's watch.
    pub told_at: Duration,
}

#[derive(Default)]
struct Recorded {
    requests: Vec<RequestRecord>,
    attempts: Vec<AttemptRecord>,
    /// Time of the first drain notice, by limiter and backend.
    drains: HashMap<(usize, usize), Duration>,
    /// Descriptions of bodies that arrived other than they were sent.
    bad_bodies: Vec<BadBody>,
    /// Ids of requests whose long answer could not be written to its end.
    cut_off: HashSet<String>,
}

/// A body that did not arrive as it was sent.
#[derive(Clone, Debug, Serialize)]
pub struct BadBody {
    /// The request's `X-Request-Id`.
    pub id: String,
    /// When the body ended.
    pub at: Duration,
    /// What was wrong.
    pub problem: String,
}

/// All records of a run.
pub struct Records {
    origin: Instant,
    recorded: Mutex<Recorded>,
}

impl Records {
    /// Creates empty records, on a clock that starts now.
    pub fn new() -> Records {
        Records { origin: Instant::now(), recorded: Mutex::default() }
    }

    /// Returns the time on the records' clock.
    pub fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Adds a request and returns its index.
    pub fn add_request(&self, request: RequestRecord) -> usize {
        let mut recorded = locked(&self.recorded);
        recorded.requests.push(request);
        recorded.requests.len() - 1
    }

    /// Records how a request ended for its client.
    pub fn end_request(&self, index: usize, end: ClientEnd) {
        let now = self.now();
        locked(&self.recorded).requests[index].end = Some((now, end));
    }

    /// Adds an attempt and returns its index.
    pub fn add_attempt(&self, attempt: AttemptRecord) -> usize {
        let mut recorded = locked(&self.recorded);
        recorded.attempts.push(attempt);
        recorded.attempts.len() - 1
    }

    /// Records how an attempt ended.
    pub fn end_attempt(&self, index: usize, end: AttemptEnd) {
        locked(&self.recorded).attempts[index].end = end;
    }

    /// Records a body that did not arrive as it was sent.
    pub fn add_bad_body(&self, id: &str, problem: String) {
        let bad = BadBody { id: id.to_string(), at: self.now(), problem };
        locked(&self.recorded).bad_bodies.push(bad);
    }

    /// Records that the connection ended while a long answer was being written.
    pub fn add_cut_off(&self, id: String) {
        locked(&self.recorded).cut_off.insert(id);
    }

    /// Returns the ids of the requests whose long answer could not be written to its end.
    pub fn cut_off(&self) -> HashSet<String> {
        locked(&self.recorded).cut_off.clone()
    }

    /// Returns all bodies that did not arrive as they were sent.
    pub fn bad_bodies(&self) -> Vec<BadBody> {
        locked(&self.recorded).bad_bodies.clone()
    }

    /// Records a notice to a limiter that a backend is draining or gone. Only the first notice counts.
    pub fn add_drain(&self, limiter: usize, backend: usize) {
        let now = self.now();
        locked(&self.recorded).drains.entry((limiter, backend)).or_insert(now);
    }

    /// Returns all requests so far.
    pub fn requests(&self) -> Vec<RequestRecord> {
        locked(&self.recorded).requests.clone()
    }

    /// Returns all attempts so far.
    pub fn attempts(&self) -> Vec<AttemptRecord> {
        locked(&self.recorded).attempts.clone()
    }

    /// Returns the first drain notice of each limiter for each backend.
    pub fn drains(&self) -> Vec<DrainNotice> {
        let recorded = locked(&self.recorded);
        let drains = recorded.drains.iter();
        drains
            .map(|((limiter, backend), told_at)| DrainNotice {
                limiter: *limiter,
                backend: *backend,
                told_at: *told_at,
            })
            .collect()
    }
}

impl Default for Records {
    fn default() -> Records {
        Records::new()
    }
}
