//! The request log maps request ids to requests and records their results. Backends and the load player write to it;
//! the score is computed from it.

use std::collections::HashMap;
use std::sync::Mutex;

use sedgestack_fleet::{Fleet, Micros};
use sedgestack_model::score::{FirstTry, Score, Scorer};
use tokio::time::Instant;

use crate::sync::locked;

/// The properties of a request that determine how a backend processes it.
#[derive(Clone, Copy, Debug)]
pub struct RequestDetails {
    /// Index of the request in the demand; the same for a retry.
    pub arrival: u64,
    /// Index of the request's class in the fleet.
    pub class: usize,
    /// Microseconds of a core of speed 1.
    pub work: f64,
}

/// A request that a client has sent under a request id.
struct OpenRequest {
    details: RequestDetails,
    /// Whether the request has reached a backend.
    is_forwarded: bool,
}

struct State {
    start: Instant,
    scorer: Scorer,
    /// Requests by request id.
    open: HashMap<String, OpenRequest>,
}

impl State {
    /// Microseconds since the load began.
    fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }
}

/// The request log of one rehearsal.
pub struct RequestLog {
    state: Mutex<State>,
    fleet: Fleet,
}

impl RequestLog {
    /// Creates an empty log.
    pub fn new(fleet: &Fleet) -> RequestLog {
        let state = State { start: Instant::now(), scorer: Scorer::new(fleet, 0), open: HashMap::new() };
        RequestLog { state: Mutex::new(state), fleet: fleet.clone() }
    }

    /// Sets the start of the load, to which all times are relative.
    pub fn begin(&self, start: Instant) {
        locked(&self.state).start = start;
    }

    /// Records that a client sends the first try of a request.
    pub fn record_first_try(&self, arrival: u64, first_try: impl FnOnce(Micros) -> FirstTry) {
        let mut state = locked(&self.state);
        let now = state.now();
        state.scorer.record_first_try(arrival, first_try(now));
    }

    /// Records that a client retries a request.
    pub fn record_retry(&self, arrival: u64) {
        let mut state = locked(&self.state);
        let now = state.now();
        state.scorer.record_retry(arrival, now);
    }

    /// Registers the request id under which a try is sent.
    pub fn open(&self, id: &str, details: RequestDetails) {
        locked(&self.state).open.insert(id.to_string(), OpenRequest { details, is_forwarded: false });
    }

    /// Records that a complete request reached a backend. Returns its details, or `None` if the id is unknown.
    pub fn record_arrival(&self, id: &str) -> Option<RequestDetails> {
        let mut state = locked(&self.state);
        let now = state.now();
        let request = state.open.get_mut(id)?;
        let details = request.details;
        if !std::mem::replace(&mut request.is_forwarded, true) {
            state.scorer.record_forwarded(details.arrival, now);
        }
        Some(details)
    }

    /// Records that a client received the result of its request.
    pub fn record_served(&self, arrival: u64) {
        let mut state = locked(&self.state);
        let now = state.now();
        state.scorer.record_served(arrival, now);
        state.scorer.record_closed(arrival);
    }

    /// Records that a request ended without a result and is not retried any more.
    pub fn record_closed(&self, arrival: u64) {
        locked(&self.state).scorer.record_closed(arrival);
    }

    /// Returns the score of everything recorded, and clears the record.
    pub fn finish(&self) -> Score {
        let empty = Scorer::new(&self.fleet, 0);
        std::mem::replace(&mut locked(&self.state).scorer, empty).finish()
    }
}
