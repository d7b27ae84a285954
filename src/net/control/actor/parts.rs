//! The dependencies and settings of the control actor.

use std::collections::BTreeSet;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::Duration;

use sedgestack::{BackendId, Micros};
use tokio::sync::mpsc;

use crate::net::admin::stats::AdminStats;
use crate::net::canary::OutcomeRecorder;
use crate::net::capture::CaptureRecorder;
use crate::net::control::versions::UnknownVersionPolicy;
use crate::net::peers::OutgoingDatagram;
use crate::net::quota_counter::CounterCall;
use crate::net::runtime::clock::Clock;
use crate::net::upstream::UpstreamShared;

/// What the limiter does while the active version is unknown.
#[derive(Clone, Copy)]
pub struct VersionSettings {
    pub policy: UnknownVersionPolicy,
    /// Time for which requests are rejected before `policy` applies.
    pub wait: Micros,
}

/// The dependencies and settings of the control actor.
pub struct ControlActorParts {
    pub clock: Clock,
    pub upstream: Arc<UpstreamShared>,
    pub max_open_requests: usize,
    pub max_attempts: u32,
    pub counter: Option<mpsc::Sender<CounterCall>>,
    pub counter_timeout: Duration,
    pub peers: Option<mpsc::Sender<OutgoingDatagram>>,
    pub capture: Option<CaptureRecorder>,
    /// Readiness flag that the actor maintains: whether requests can be decided.
    pub ready: Arc<AtomicBool>,
    pub stats: Arc<AdminStats>,
    /// Backends that were cordoned before this process started.
    pub cordoned: BTreeSet<BackendId>,
    /// Present if the limiters agree on versions of the runtime configuration.
    pub versions: Option<VersionSettings>,
    /// Counts outcomes for the canary analysis, if there is one.
    pub outcomes: Option<OutcomeRecorder>,
}
