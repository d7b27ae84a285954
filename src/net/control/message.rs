//! The messages to the control actor, and what its messages carry.

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

/// What is forwarded unchanged from a client's request to a backend.
#[derive(Debug)]
pub struct ForwardedRequest {
    pub method: Method,
    pub path: PathAndQuery,
    pub id: OpenRequestId,
    pub key: Option<HeaderValue>,
    pub body: Bytes,
    /// Cancelled the moment its client goes away or is answered by the listener itself. Whoever holds the request
    /// sees that here at once, whatever still waits in mailboxes, and begins no further attempt.
    pub client_gone: CancellationToken,
}

/// How a request arrived: what a capture records beside what the decisions need.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub arrived_at: Instant,
    /// How long the client said it would wait.
    pub timeout: Duration,
    /// The first limiter of those that its customer's requests come in through.
    pub first_limiter: u32,
    /// Marked as a retry.
    pub is_retry: bool,
}

/// How an attempt ended.
#[derive(Debug)]
pub struct AttemptOutcome {
    pub request: RequestId,
    pub attempt: u32,
    pub outcome: Outcome,
    pub latency: Duration,
    /// The body of a 200 answer.
    pub body: Option<Bytes>,
    pub report: LoadReport,
    pub metered_usage: Option<f64>,
    pub actual_units: Option<f64>,
}

impl AttemptOutcome {
    /// An attempt that ended without an answer.
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
            report,
            metered_usage: None,
            actual_units: None,
        }
    }
}

/// How a call to the quota counter ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CounterReply {
    pub name: CounterName,
    pub outcome: Outcome,
    pub total: Option<f64>,
}

/// The one final answer to a request.
#[derive(Debug)]
pub enum Reply {
    /// A backend's answer.
    Served(Bytes),
    /// A rejection: trying again after so long is harmless.
    Rejected { retry_after: Micros },
    /// Failed; it may have run.
    Failed,
}

/// A request as a downstream connection hands it over.
pub struct AcceptedRequest {
    /// What the decisions need; its timeout is computed again from `deadline`.
    pub request: Request,
    pub forward: Arc<ForwardedRequest>,
    pub origin: Arrival,
    pub deadline: Instant,
    pub reply: oneshot::Sender<Answer>,
}

/// A reply, and the version of the runtime configuration that the request was accepted under, where there are versions.
pub type Answer = (Reply, Option<u64>);

/// A version of the runtime configuration, its classes and plans in the order of the configuration file.
#[derive(Clone, Debug)]
pub struct ConfigVersion {
    pub number: u64,
    pub classes: Vec<Class>,
    pub plans: Vec<Plan>,
    /// By class: the longest that a request may wait.
    pub deadlines: Vec<Micros>,
    pub max_retry_after: Micros,
}

/// A version that is decided and not active yet.
#[derive(Debug)]
pub struct ScheduledConfigVersion {
    pub activates_at: Micros,
    pub version: ConfigVersion,
}

/// What the consensus actor reports of the versions: see [`crate::net::control::versions::VersionUpdate`].
#[derive(Debug)]
pub struct ActiveVersions {
    pub current: ConfigVersion,
    pub scheduled: Option<ScheduledConfigVersion>,
    pub valid_until: Micros,
}

/// What arrives in the control actor's mailbox.
pub enum Message {
    Accepted(AcceptedRequest),
    Abandoned(RequestId),
    AttemptEnded(AttemptOutcome),
    HealthChecked { backend: BackendId, outcome: Outcome, latency: Duration, report: LoadReport },
    CounterReplied(CounterReply),
    PeerDatagram { from: u32, bytes: Vec<u8> },
}

/// What the operators' address and the consensus actor ask of the control actor, through a mailbox of its own.
pub enum ControlCommand {
    /// Cordon backend `name` or release it; the names that are cordoned then, `None` for a backend that is not
    /// known.
    Cordon { name: String, cordoned: bool, reply: oneshot::Sender<Option<Vec<String>>> },
    /// Cordon exactly these: another process on the same addresses changed the set.
    ReplaceCordons { names: BTreeSet<String>, reply: oneshot::Sender<()> },
    /// Which version is active, and until when that is known.
    VersionsChanged(Box<ActiveVersions>),
}
