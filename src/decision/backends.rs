//! The table of the backends that service discovery lists.

use std::collections::BTreeSet;

use super::backend_slots::BackendSlots;
use super::cordons::effective_state;
use super::engine::Limiter;
use super::outlier::BackendHealth;
use super::random::mix_bits;
use super::selection::ReportedUtilization;
use super::slow_start::WindowAttempts;
use crate::interface::{BackendId, BackendState, Endpoint, Micros, RequestId};

/// Initial limit of attempts in flight per backend, over all limiters; latency adapts it later.
const INITIAL_LIMIT: f64 = 8.0;

/// An attempt in flight at a backend. The oldest attempt sorts first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct OpenAttempt {
    pub(super) started_at: Micros,
    pub(super) request: RequestId,
    pub(super) attempt: u32,
    pub(super) class: usize,
}

/// The state of a backend as this limiter sees it.
pub(super) struct Backend {
    pub(super) name: BackendId,
    /// State used in decisions: the discovered state, or draining if an operator cordoned the backend.
    pub(super) state: BackendState,
    /// State last reported by service discovery.
    pub(super) discovered_state: BackendState,
    pub(super) zone: String,
    pub(super) cell: u32,
    /// Time at which the backend's process started; 0 if long ago.
    pub(super) started_at: Micros,
    pub(super) in_flight: BTreeSet<OpenAttempt>,
    pub(super) health: BackendHealth,
    pub(super) utilization: ReportedUtilization,
    pub(super) window_attempts: WindowAttempts,
    /// Hash of the backend's name, the seed of random draws for this backend.
    pub(super) hash: u64,
    /// Rank in this limiter's own order of backends: evenly distributed over the limiters, and constant.
    pub(super) rank: u64,
}

impl Backend {
    /// Creates a backend that has just been listed.
    fn new(endpoint: &Endpoint, limiter: u32, initial_limit: f64) -> Backend {
        let bytes = endpoint.backend.bytes();
        let hash = bytes.fold(0, |hash, byte| mix_bits(hash ^ u64::from(byte)).wrapping_add(1));
        Backend {
            name: endpoint.backend.clone(),
            state: BackendState::default(),
            discovered_state: BackendState::default(),
            zone: String::new(),
            cell: 0,
            started_at: endpoint.started_at,
            in_flight: BTreeSet::new(),
            health: BackendHealth::new(initial_limit),
            utilization: ReportedUtilization::default(),
            window_attempts: WindowAttempts::default(),
            hash,
            rank: mix_bits(u64::from(limiter) ^ hash),
        }
    }

    /// Forgets what is known of the process if it is not the one that the endpoint describes. Attempts in
    /// flight stay.
    fn follow_process(&mut self, endpoint: &Endpoint, limiter: u32, initial_limit: f64) {
        if self.started_at != endpoint.started_at {
            let in_flight = std::mem::take(&mut self.in_flight);
            *self = Backend { in_flight, ..Backend::new(endpoint, limiter, initial_limit) };
        }
    }
}

/// All listed backends and the values that they share.
#[derive(Default)]
pub(super) struct BackendTable {
    pub(super) entries: BackendSlots,
    /// Version of the newest endpoint list.
    version: Option<u64>,
    /// Backends cordoned by an operator. They get no new attempts until they are uncordoned, whatever service
    /// discovery says.
    pub(super) cordoned: BTreeSet<BackendId>,
    /// Highest rank within the backend subset, in this limiter's own order of backends.
    pub(super) max_rank: u64,
    /// Whether endpoints or cordons have changed since the subset was chosen.
    pub(super) subset_is_outdated: bool,
    /// Moving average of the utilization that backends report.
    pub(super) mean_utilization: f64,
}

impl BackendTable {
    /// Applies an endpoint list: all endpoints if `complete`, otherwise those that changed. Returns false and
    /// changes nothing if the list is older than the newest one.
    fn update(
        &mut self,
        version: u64,
        complete: bool,
        endpoints: &[Endpoint],
        limiter: u32,
        initial_limit: f64,
    ) -> bool {
        if self.version.is_some_and(|newest| version < newest) {
            return false;
        }
        self.version = Some(version);
        if complete {
            let names: BTreeSet<&BackendId> = endpoints.iter().map(|endpoint| &endpoint.backend).collect();
            self.entries.mark_missing(|name| names.contains(name));
        }
        for endpoint in endpoints {
            self.update_endpoint(endpoint, limiter, initial_limit);
        }
        self.entries.remove_gone();
        true
    }

    fn update_endpoint(&mut self, endpoint: &Endpoint, limiter: u32, initial_limit: f64) {
        let state = effective_state(&self.cordoned, &endpoint.backend, endpoint.state);
        let create = || Backend::new(endpoint, limiter, initial_limit);
        self.entries.update(&endpoint.backend, create, |backend| {
            backend.follow_process(endpoint, limiter, initial_limit);
            // From here on a draining backend gets nothing new, not even queued requests or retries.
            backend.discovered_state = endpoint.state;
            backend.state = state;
            backend.zone.clone_from(&endpoint.zone);
            backend.cell = endpoint.cell;
        });
    }
}

impl Limiter {
    /// Handles an endpoint list from service discovery.
    pub(super) fn on_endpoints_changed(&mut self, version: u64, complete: bool, endpoints: &[Endpoint]) {
        let initial_limit = (INITIAL_LIMIT / self.settings.limiters as f64).max(1.0);
        let limiter = self.settings.limiter;
        let is_applied = self.backends.update(version, complete, endpoints, limiter, initial_limit);
        self.backends.subset_is_outdated |= is_applied;
    }
}
