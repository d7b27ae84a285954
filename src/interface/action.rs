//! The actions that a limiter returns.

use super::{BackendId, CounterName, Micros, RequestId};

/// An action that the program carries out for its limiter.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a request to a backend.
    StartAttempt {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The backend that the attempt is sent to.
        backend: BackendId,
        /// Time from now after which the attempt is given up. With `None` it ends only when the client stops
        /// waiting, which ends it in any case.
        timeout: Option<Micros>,
        /// Time from now within which the attempt must be written completely, otherwise it must not be sent:
        /// the idempotency window ends then. `None` if no window applies.
        write_within: Option<Micros>,
    },
    /// Cancel an attempt.
    CancelAttempt {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// Number of the attempt within its request, from 0.
        attempt: u32,
    },
    /// Answer that the request was not served and may safely be retried.
    Reject {
        /// The request to be answered.
        request: RequestId,
        /// Time that the client is asked to wait before it retries, at most
        /// [`Settings::max_retry_after`](super::Settings::max_retry_after); 0 for no wait.
        retry_after: Micros,
    },
    /// Answer with an error that leaves open whether the request ran.
    Fail {
        /// The request to be answered.
        request: RequestId,
    },
    /// Add an amount to a name on the quota counter and read its total.
    CallCounter {
        /// The name that is added to and read.
        name: CounterName,
        /// The amount to add: units for a usage report, permits for a concurrency limit. A negative amount
        /// returns units or permits, and 0 only reads.
        amount: f64,
        /// Time for which the counter keeps the name if this call creates it.
        time_to_live: Micros,
    },
    /// Send a health check; its result is reported by
    /// [`Event::HealthCheckEnded`](super::Event::HealthCheckEnded).
    HealthCheck {
        /// The backend to check.
        backend: BackendId,
    },
    /// Open a watch on the endpoint list.
    Subscribe,
    /// Send bytes to all other limiters.
    SendToPeers {
        /// Content of one message; peers receive it as [`Event::PeerMessage`](super::Event::PeerMessage).
        bytes: Vec<u8>,
    },
    /// Send [`Event::Timer`](super::Event::Timer) once, after a delay. Setting another timer does not cancel
    /// an earlier one.
    SetTimer {
        /// Delay from now.
        after: Micros,
    },
    /// Write a line to the program's log.
    Log {
        /// The line, without a line break at its end.
        text: String,
    },
}
