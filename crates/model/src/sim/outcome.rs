//! What came of a run.

use sedgestack_fleet::Micros;

use crate::gauges::Second;
use crate::score::Score;

/// How a limiter answered a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObservedOutcome {
    /// With a backend's answer.
    Served,
    /// With a rejection.
    Rejected,
    /// With an error.
    Failed,
    /// Its client went away first.
    Abandoned,
}

/// What a limiter saw of one try.
#[derive(Clone, Debug, PartialEq)]
pub struct ObservedRequest {
    /// The limiter's number.
    pub limiter: u32,
    /// When the limiter received it, from the beginning of the load.
    pub at: Micros,
    /// The class's index in the fleet.
    pub class: usize,
    /// The plan's index in the fleet.
    pub plan: usize,
    /// The customer.
    pub customer: u64,
    /// The units it declared.
    pub units: f64,
    /// How many limiters its customer comes through.
    pub spread: u32,
    /// The first of these.
    pub first_limiter: u32,
    /// How long its client still waited.
    pub timeout: Micros,
    /// Whether it is a client's retry.
    pub is_retry: bool,
    /// The same for a first try and its retry, as an idempotency key is.
    pub key: u64,
    /// How it ended.
    pub outcome: ObservedOutcome,
    /// From receipt to the answer.
    pub latency: Micros,
    /// The backend of its last attempt.
    pub backend: Option<u32>,
    /// How many attempts were made.
    pub attempts: u32,
    /// Whether the limiter's last call to the counter had been answered when the try came.
    pub is_counter_answering: bool,
}

/// Counts of tries by how they ended: every try is counted once when sent and once when ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunCounts {
    /// First tries that clients sent.
    pub first_tries: u64,
    /// Retries that clients sent.
    pub retries: u64,
    /// Tries that reached a limiter that ran.
    pub received: u64,
    /// Tries answered with a backend's answer.
    pub served: u64,
    /// Tries answered with a rejection.
    pub rejected: u64,
    /// Tries answered with an error.
    pub failed: u64,
    /// Tries whose client went away first.
    pub abandoned: u64,
    /// Tries that were open at a limiter when it died.
    pub lost: u64,
    /// Tries that never reached a limiter.
    pub unreached: u64,
    /// Tries still open at the end: there must be none.
    pub unanswered: u64,
    /// Attempts that limiters made.
    pub attempts: u64,
    /// Backends that failed under load while warming up.
    pub backend_crashes: u64,
}

/// What came of a run.
#[derive(Clone, Debug)]
pub struct RunOutcome {
    /// The value served.
    pub score: Score,
    /// How busy each resource was, by second.
    pub seconds: Vec<Second>,
    /// Counts of all tries.
    pub counts: RunCounts,
    /// What limiters received and answered, where the scenario asks for it.
    pub observed: Vec<ObservedRequest>,
    /// A hash over every event in order: two runs with the same digest were the same run.
    pub digest: u64,
    /// How many events were scheduled.
    pub events: u64,
}
