//! What the stand-ins saw, in the order of one clock.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;

use crate::sync::locked;

/// How a client's request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum ClientEnd {
    /// A whole answer with this status came.
    Answered(u16),
    /// The limiter ended the connection without a whole answer.
    Closed,
    /// The client left before an answer.
    Left,
    /// Nothing came for as long as the client waited.
    Unanswered,
}

/// A request that a client wrote whole.
#[derive(Clone, Debug, Serialize)]
pub struct RequestRecord {
    /// Its id on the wire.
    pub id: String,
    /// The place of its class in the deployment.
    pub class: usize,
    /// The limiter that it was sent to.
    pub limiter: usize,
    /// When its last byte was written.
    pub sent_at: Duration,
    /// Whether its connection carried a request before.
    pub on_reused_connection: bool,
    /// When and how it ended for the client.
    pub end: Option<(Duration, ClientEnd)>,
}

/// How an attempt ended at the backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum AttemptEnd {
    /// It came whole, and may have run.
    MayHaveRun,
    /// It was turned away with the proof that it never ran.
    NotRun,
    /// Its last byte never came.
    Partial,
}

/// An attempt as a backend saw it.
#[derive(Clone, Debug, Serialize)]
pub struct AttemptRecord {
    /// The request's id on the wire.
    pub id: String,
    /// The backend, counted over all lives.
    pub backend: usize,
    /// When its first byte came.
    pub began_at: Duration,
    /// What it told of the time left, milliseconds.
    pub told_ms: u64,
    /// How it ended.
    pub end: AttemptEnd,
}

/// A limiter's watch was written that a backend drains or is gone.
#[derive(Clone, Debug, Serialize)]
pub struct DrainNotice {
    /// The limiter whose watch it was.
    pub limiter: usize,
    /// The backend.
    pub backend: usize,
    /// When it was written.
    pub told_at: Duration,
}

#[derive(Default)]
struct Recorded {
    requests: Vec<RequestRecord>,
    attempts: Vec<AttemptRecord>,
    drains: HashMap<(usize, usize), Duration>,
}

/// All records of a run.
pub struct Records {
    origin: Instant,
    recorded: Mutex<Recorded>,
}

impl Records {
    /// Records on a clock that starts now.
    pub fn new() -> Records {
        Records { origin: Instant::now(), recorded: Mutex::default() }
    }

    /// The time on the records' clock.
    pub fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Adds a request, and returns its place.
    pub fn add_request(&self, request: RequestRecord) -> usize {
        let mut recorded = locked(&self.recorded);
        recorded.requests.push(request);
        recorded.requests.len() - 1
    }

    /// A request ended for its client.
    pub fn end_request(&self, place: usize, end: ClientEnd) {
        let now = self.now();
        locked(&self.recorded).requests[place].end = Some((now, end));
    }

    /// Adds an attempt, and returns its place.
    pub fn add_attempt(&self, attempt: AttemptRecord) -> usize {
        let mut recorded = locked(&self.recorded);
        recorded.attempts.push(attempt);
        recorded.attempts.len() - 1
    }

    /// An attempt came whole, or ended otherwise.
    pub fn end_attempt(&self, place: usize, end: AttemptEnd) {
        locked(&self.recorded).attempts[place].end = end;
    }

    /// A watch was written that a backend drains or is gone; the first time counts.
    pub fn add_drain(&self, limiter: usize, backend: usize) {
        let now = self.now();
        locked(&self.recorded).drains.entry((limiter, backend)).or_insert(now);
    }

    /// All requests so far.
    pub fn requests(&self) -> Vec<RequestRecord> {
        locked(&self.recorded).requests.clone()
    }

    /// All attempts so far.
    pub fn attempts(&self) -> Vec<AttemptRecord> {
        locked(&self.recorded).attempts.clone()
    }

    /// All drains told so far.
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
