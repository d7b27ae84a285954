//! The table of the backends that service discovery lists.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};

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
#[derive(Default)]
pub(super) struct Backend {
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
}

/// All listed backends and the values that they share.
#[derive(Default)]
pub(super) struct BackendTable {
    pub(super) entries: BTreeMap<BackendId, Backend>,
    /// Version of the newest endpoint list.
    version: Option<u64>,
    /// Backends cordoned by an operator. They get no new attempts until they are uncordoned, whatever service
    /// discovery says.
    pub(super) cordoned: BTreeSet<BackendId>,
    /// Highest rank within the backend subset, in this limiter's own order of backends.
    pub(super) max_rank: u64,
    /// Moving average of the utilization that backends report.
    pub(super) mean_utilization: f64,
}

impl BackendTable {
    /// Applies an endpoint list: all endpoints if `complete`, otherwise those that changed. Returns false and
    /// changes nothing if the list is older than the newest one.
    fn update(&mut self, version: u64, complete: bool, endpoints: &[Endpoint], initial_limit: f64) -> bool {
        if self.version.is_some_and(|newest| version < newest) {
            return false;
        }
        self.version = Some(version);
        if complete {
            self.mark_missing(endpoints);
        }
        for endpoint in endpoints {
            self.update_endpoint(endpoint, initial_limit);
        }
        self.entries.retain(|_, b| b.state != BackendState::Gone || !b.in_flight.is_empty());
        true
    }

    fn mark_missing(&mut self, endpoints: &[Endpoint]) {
        let names: BTreeSet<&BackendId> = endpoints.iter().map(|endpoint| &endpoint.backend).collect();
        let missing = self.entries.iter_mut().filter(|(name, _)| !names.contains(name));
        missing.for_each(|(_, backend)| backend.state = BackendState::Gone);
    }

    fn update_endpoint(&mut self, endpoint: &Endpoint, initial_limit: f64) {
        let bytes = endpoint.backend.bytes();
        let hash = bytes.fold(0, |hash, byte| mix_bits(hash ^ u64::from(byte)).wrapping_add(1));
        let started_at = endpoint.started_at;
        let health = BackendHealth::new(initial_limit);
        let fresh = Backend { hash, started_at, health, ..Backend::default() };
        let backend = match self.entries.entry(endpoint.backend.clone()) {
            Entry::Vacant(vacant) => vacant.insert(fresh),
            Entry::Occupied(occupied) => {
                let backend = occupied.into_mut();
                if backend.started_at != started_at {
                    let in_flight = std::mem::take(&mut backend.in_flight);
                    *backend = Backend { in_flight, ..fresh };
                }
                backend
            }
        };
        // From here on a draining backend gets nothing new, not even queued requests or retries.
        backend.discovered_state = endpoint.state;
        backend.state = effective_state(&self.cordoned, &endpoint.backend, endpoint.state);
        backend.zone = endpoint.zone.clone();
        backend.cell = endpoint.cell;
    }
}

impl Limiter {
    /// Handles an endpoint list from service discovery.
    pub(super) fn on_endpoints_changed(&mut self, version: u64, complete: bool, endpoints: &[Endpoint]) {
        let initial_limit = (INITIAL_LIMIT / self.settings.limiters as f64).max(1.0);
        if self.backends.update(version, complete, endpoints, initial_limit) {
            self.choose_subset();
        }
    }
}
