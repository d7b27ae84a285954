//! The events that a limiter handles.

use std::sync::Arc;

use super::{BackendId, CounterName, CustomerId, Micros, RequestId};

/// State of a backend in service discovery.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BackendState {
    /// The backend accepts requests.
    #[default]
    InService,
    /// The backend finishes its requests and accepts no new ones.
    Draining,
    /// The backend no longer exists.
    Gone,
}

/// A backend's record in service discovery.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Name of the backend.
    pub backend: BackendId,
    /// State of the backend, which determines whether it gets requests.
    pub state: BackendState,
    /// The zone that the backend runs in. Backends of the limiter's own zone are preferred, and idempotency
    /// keys may be scoped to a zone ([`KeyScope::Zone`](super::KeyScope::Zone)).
    pub zone: String,
    /// The cell that the backend belongs to, for idempotency keys scoped to a cell
    /// ([`KeyScope::Cell`](super::KeyScope::Cell)).
    pub cell: u32,
    /// Time at which the backend's process last started; 0 if long ago.
    pub started_at: Micros,
    /// Size of the backend relative to the others.
    pub weight: f64,
}

/// Outcome of an attempt, health check or counter call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Success: an answer without an error.
    Ok,
    /// An error answer; the request may have run.
    Error,
    /// Rejected before the request ran.
    Rejected,
    /// Timed out; the request may have run.
    TimedOut,
    /// No connection was established, so the request did not run.
    ConnectFailed,
    /// The connection broke; the request may have run.
    Reset,
    /// Canceled by this limiter.
    Canceled,
    /// Never sent, as the request had already ended.
    NotSent,
}

/// A backend's load report; values that it lacks are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Number of requests queued at the backend.
    pub queue: Option<f64>,
    /// Number of requests that the backend is processing.
    pub in_flight: Option<f64>,
    /// Share of the backend's capacity in use; 1 means all of it.
    pub utilization: Option<f64>,
    /// Latency of a request as measured by the backend.
    pub latency: Option<Micros>,
}

/// An event at a limiter.
#[derive(Clone, Debug)]
pub enum Event {
    /// Service discovery sent an endpoint list.
    EndpointsChanged {
        /// Version of the list, which grows with each change; a list older than the newest one is ignored.
        version: u64,
        /// Whether the list contains all endpoints, so that a backend missing from it is gone; otherwise it
        /// contains only the endpoints that changed.
        complete: bool,
        /// The listed endpoints.
        endpoints: Arc<[Endpoint]>,
    },
    /// A discovery call failed or a watch ended; the last list remains valid.
    DiscoveryFailed,
    /// A client sent a request.
    Request(Request),
    /// An operator cordoned or uncordoned a backend. A cordoned backend gets nothing new from then on,
    /// whatever service discovery says. Cordons are not counted: one event uncordons a backend that was
    /// cordoned twice.
    Cordon {
        /// The backend to cordon or uncordon.
        backend: BackendId,
        /// True to cordon the backend, false to uncordon it.
        cordoned: bool,
    },
    /// An attempt started to stream its answer; the request is bound to this attempt.
    StreamStarted {
        /// The request that is answered.
        request: RequestId,
        /// Number of the attempt that answers, from 0.
        attempt: u32,
        /// Time from the start of the attempt to the start of its answer.
        latency: Micros,
    },
    /// An attempt ended, with or without an answer.
    AttemptEnded(AttemptResult),
    /// The client no longer waits for the request.
    Abandoned {
        /// The request that its client gave up or that ran out of time.
        request: RequestId,
    },
    /// A health check requested by [`Action::HealthCheck`](super::Action::HealthCheck) ended.
    HealthCheckEnded {
        /// The backend that was checked.
        backend: BackendId,
        /// How the health check ended.
        outcome: Outcome,
        /// Duration of the health check.
        latency: Micros,
        /// The load report of the answer; empty if there was none.
        report: LoadReport,
    },
    /// A call to the quota counter ended.
    CounterReplied {
        /// The counter name that the call added to.
        name: CounterName,
        /// How the call ended; after [`Outcome::TimedOut`] the amount may have been added nevertheless.
        outcome: Outcome,
        /// The total under the name after the call; `None` if the counter did not report it.
        total: Option<f64>,
    },
    /// A peer sent a message.
    PeerMessage {
        /// Number of the sending limiter, as in [`Settings::limiter`](super::Settings::limiter).
        from: u32,
        /// Content of the message.
        bytes: Vec<u8>,
    },
    /// A timer set by [`Action::SetTimer`](super::Action::SetTimer) is due.
    Timer,
}

/// A request from a client.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identifies the request in all later events and actions; not reused while the request is open.
    pub id: RequestId,
    /// Index in [`Settings::classes`](super::Settings::classes).
    pub class: usize,
    /// Index in [`Settings::plans`](super::Settings::plans).
    pub plan: usize,
    /// The customer that is charged for the request.
    pub customer: CustomerId,
    /// Cost of the request in units of the customer's quota; an estimate if
    /// [`Settings::actual_cost_reported`](super::Settings::actual_cost_reported) is set.
    pub units: f64,
    /// Time that the client still waits.
    pub timeout: Micros,
    /// Number of limiters that receive this customer's requests.
    pub spread: u32,
}

/// The result of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt within its request, from 0.
    pub attempt: u32,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time from the start of the attempt to its end.
    pub latency: Micros,
    /// Whether the request is finished, so that no further attempt or answer is needed.
    pub request_done: bool,
    /// Reading of the usage meter: the customer's usage at all limiters, as a share of its quota.
    pub metered_usage: Option<f64>,
    /// The actual units, if reported.
    pub actual_units: Option<f64>,
    /// The load report of the answer; empty if there was none.
    pub report: LoadReport,
}
