//! The messages to the control actor and the types that they carry.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use axum::http::uri::PathAndQuery;
use axum::http::{HeaderValue, Method};
use bytes::Bytes;
use sedgestack::{BackendId, Class, CounterName, LoadReport, Micros, Outcome, Plan, Request, RequestId};
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::net::listener::open_ids::OpenRequestId;
use crate::net::request_body::RequestBody;
use crate::net::streamed_body::StreamedBody;

/// The parts of a client's request that are forwarded unchanged to a backend.
#[derive(Debug)]
pub struct ForwardedRequest {
    pub method: Method,
    pub path: PathAndQuery,
    pub id: OpenRequestId,
    /// The idempotency key.
    pub key: Option<HeaderValue>,
    pub body: RequestBody,
    /// Cancelled as soon as the client disconnects or the listener answers the request itself. Actors that hold the
    /// request see this at once, while a message could still wait in a mailbox, and start no further attempt.
    pub client_gone: CancellationToken,
}

/// How a request arrived. A capture records this in addition to the data that the decision logic needs.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub arrived_at: Instant,
    /// The time that the client is willing to wait.
    pub timeout: Duration,
    /// The first of the limiters through which the customer's requests arrive.
    pub first_limiter: u32,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
}

/// The result of an attempt.
#[derive(Debug)]
pub struct AttemptOutcome {
    pub request: RequestId,
    pub attempt: u32,
    pub outcome: Outcome,
    pub latency: Duration,
    /// The body of a response with status 200, if it is short.
    pub body: Option<Bytes>,
    /// The body of a response with status 200 that is passed on while it arrives.
    pub stream: Option<StreamedBody>,
    pub report: LoadReport,
    /// The customer's usage across all limiters as a share of its quota, if the response reports it.
    pub metered_usage: Option<f64>,
    /// The units that the request actually used, if the response reports them.
    pub actual_units: Option<f64>,
}

impl AttemptOutcome {
    /// Returns the result of an attempt that ended without a response.
    pub fn without_response(
        request: RequestId,
        attempt: u32,
        outcome: Outcome,
        latency: Duration,
    ) -> AttemptOutcome {
        let report = LoadReport::default();
        AttemptOutcome {
            request,
            attempt,
            outcome,
            latency,
            body: None,
            stream: None,
            report,
            metered_usage: None,
            actual_units: None,
        }
    }
}

/// The result of a call to the quota counter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CounterReply {
    pub name: CounterName,
    pub outcome: Outcome,
    /// The counter's new total, if the call succeeded.
    pub total: Option<f64>,
}

/// The final reply to a request; each request gets exactly one.
#[derive(Debug)]
pub enum Reply {
    /// The body of a backend's response.
    Served(Bytes),
    /// The body of a backend's response, which is still arriving.
    Streamed(StreamedBody),
    /// The request was rejected. A retry after `retry_after` is harmless.
    Rejected { retry_after: Micros },
    /// The request failed and may have run.
    Failed,
}

/// A request as a downstream connection passes it to the control actor.
pub struct AcceptedRequest {
    /// The request as the decision logic sees it. The control actor recomputes its timeout from `deadline`.
    pub request: Request,
    pub forward: Arc<ForwardedRequest>,
    pub origin: Arrival,
    pub deadline: Instant,
    pub reply: oneshot::Sender<VersionedReply>,
}

/// A reply, and the version of the runtime configuration under which the request was accepted, if versions are in use.
pub type VersionedReply = (Reply, Option<u64>);

/// A version of the runtime configuration. Its classes and plans are in the order of the configuration file.
#[derive(Clone, Debug)]
pub struct ConfigVersion {
    pub number: u64,
    pub classes: Vec<Class>,
    pub plans: Vec<Plan>,
    /// By class: the maximum time that a request may wait.
    pub deadlines: Vec<Micros>,
    pub max_retry_after: Micros,
}

/// A version that has been decided and will become active at `activates_at`.
#[derive(Debug)]
pub struct ScheduledConfigVersion {
    pub activates_at: Micros,
    pub version: ConfigVersion,
}

/// The report of the consensus actor on the versions. The control actor converts it to a
/// [`VersionUpdate`](crate::net::control::versions::VersionUpdate), which describes the fields.
#[derive(Debug)]
pub struct ActiveVersions {
    pub current: ConfigVersion,
    pub scheduled: Option<ScheduledConfigVersion>,
    pub valid_until: Micros,
}

/// A message in the control actor's mailbox for requests, attempts, calls and peers.
pub enum Message {
    Accepted(AcceptedRequest),
    /// The client of this request disconnected.
    Abandoned(RequestId),
    AttemptEnded(AttemptOutcome),
    HealthChecked {
        backend: BackendId,
        outcome: Outcome,
        latency: Duration,
        report: LoadReport,
    },
    CounterReplied(CounterReply),
    PeerDatagram {
        from: u32,
        bytes: Vec<u8>,
    },
}

/// A command to the control actor from the operators' address, the watch of the cordon file or the consensus actor.
/// Commands have their own mailbox.
pub enum ControlCommand {
    /// Cordon backend `name`, or release it. The reply lists the backends that are then cordoned; it is `None` if the
    /// backend is unknown.
    Cordon { name: String, cordoned: bool, reply: oneshot::Sender<Option<Vec<String>>> },
    /// Cordon exactly these backends, because another process that shares the cordon file changed the set.
    ReplaceCordons { names: BTreeSet<String>, reply: oneshot::Sender<()> },
    /// Apply a new report on the active and the scheduled version.
    VersionsChanged(Box<ActiveVersions>),
}
