//! The results of a run.

use sedgestack_fleet::Micros;

use crate::gauges::Second;
use crate::score::Score;

/// How a limiter answered a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObservedOutcome {
    /// With the answer of a backend.
    Served,
    /// With a rejection.
    Rejected,
    /// With an error.
    Failed,
    /// Not at all: the client disconnected first.
    Abandoned,
}

/// A try as its limiter observed it.
#[derive(Clone, Debug, PartialEq)]
pub struct ObservedRequest {
    /// The limiter's number.
    pub limiter: u32,
    /// When the limiter received the try, from the beginning of the load.
    pub at: Micros,
    /// The class's index in the fleet.
    pub class: usize,
    /// The plan's index in the fleet.
    pub plan: usize,
    /// The customer that the client belongs to.
    pub customer: u64,
    /// The units that the request declared.
    pub units: f64,
    /// Number of limiters among which the customer's requests are spread.
    pub spread: u32,
    /// Number of the first of these limiters.
    pub first_limiter: u32,
    /// Time left until the client gives up, when the limiter received the try.
    pub timeout: Micros,
    /// Whether this is a retry of a client.
    pub is_retry: bool,
    /// A key that is the same for a first try and its retry, like an idempotency key.
    pub key: u64,
    /// How the limiter answered.
    pub outcome: ObservedOutcome,
    /// Time from the receipt of the try to the answer.
    pub latency: Micros,
    /// The backend of the last attempt.
    pub backend: Option<u32>,
    /// Number of attempts.
    pub attempts: u32,
    /// Whether the limiter's last call to the quota counter had been answered when the try arrived.
    pub is_counter_answering: bool,
}

/// Counts of tries by how they ended. Each try is counted once when it is sent and once when it ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunCounts {
    /// First tries that clients sent.
    pub first_tries: u64,
    /// Retries that clients sent.
    pub retries: u64,
    /// Tries that reached a running limiter.
    pub received: u64,
    /// Tries answered with the answer of a backend.
    pub served: u64,
    /// Tries answered with a rejection.
    pub rejected: u64,
    /// Tries answered with an error.
    pub failed: u64,
    /// Tries whose client disconnected before the answer.
    pub abandoned: u64,
    /// Tries that were open at a limiter when it died.
    pub lost: u64,
    /// Tries that did not reach a running limiter.
    pub unreached: u64,
    /// Tries still open at the end of the run; must be 0.
    pub unanswered: u64,
    /// Attempts that limiters made.
    pub attempts: u64,
    /// Crashes of backends that were overloaded while warming up.
    pub backend_crashes: u64,
}

/// The results of a run.
#[derive(Clone, Debug)]
pub struct RunOutcome {
    /// The score.
    pub score: Score,
    /// Utilization of each resource by second.
    pub seconds: Vec<Second>,
    /// Counts of tries, attempts and crashes.
    pub counts: RunCounts,
    /// The tries that limiters received, except those lost with a limiter. Empty unless
    /// [`record`](crate::Scenario::record) is set.
    pub observed: Vec<ObservedRequest>,
    /// A hash of all events in order. Runs with the same digest had the same events.
    pub digest: u64,
    /// Number of events scheduled.
    pub events: u64,
}
