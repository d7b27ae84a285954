//! Cordons: an operator takes a backend out of service, whatever service discovery says, until it is
//! uncordoned.

use std::collections::BTreeSet;

use super::backends::{Backend, BackendTable};
use super::engine::Limiter;
use crate::interface::{BackendId, BackendState};

/// Slowness, relative to other backends, from which a backend counts as avoided: it is passed over while an
/// idle one is available.
const AVOIDED_SLOWNESS: f64 = 4.0;

/// Returns the state used in decisions for a backend whose discovered state is `discovered`. A cordoned
/// backend in service counts as draining; one that is draining or gone keeps its state.
pub(super) fn effective_state(
    cordoned: &BTreeSet<BackendId>,
    backend: &BackendId,
    discovered: BackendState,
) -> BackendState {
    if discovered == BackendState::InService && cordoned.contains(backend) {
        BackendState::Draining
    } else {
        discovered
    }
}

impl BackendTable {
    fn cordon(&mut self, backend: &BackendId, cordoned: bool) {
        if cordoned {
            self.cordoned.insert(backend.clone());
        } else {
            self.cordoned.remove(backend);
        }
        let cordoned = &self.cordoned;
        self.entries.update_listed(backend, |entry| {
            entry.state = effective_state(cordoned, backend, entry.discovered_state);
        });
    }
}

impl Limiter {
    /// Cordons or uncordons `backend`. A cordoned backend gets nothing new from now on: no first attempt, no
    /// retry, no queued request. An uncordoned backend can be selected again at once in its discovered state;
    /// if it restarted in the meantime, it warms up.
    pub(super) fn on_cordon(&mut self, backend: &BackendId, cordoned: bool) {
        self.backends.cordon(backend, cordoned);
        self.backends.subset_is_outdated = true;
    }

    /// Counts the listed backends and those of them that are avoided now: cordoned or draining ones, full
    /// ones, and ones that look several times as slow as the others. Waiting for an answer counts as
    /// slowness.
    pub fn backend_counts(&self) -> BackendCounts {
        let mut counts = BackendCounts::default();
        let discovered = |b: &&Backend| b.discovered_state != BackendState::Gone;
        for backend in self.backends.entries.iter().filter(discovered) {
            counts.listed += 1;
            counts.avoided += usize::from(self.is_avoided(backend));
        }
        counts
    }

    fn is_avoided(&self, backend: &Backend) -> bool {
        backend.state != BackendState::InService
            || self.is_full(backend)
            || self.slowness(backend) >= AVOIDED_SLOWNESS
    }
}

/// Number of listed backends, and of those that currently get few or no requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackendCounts {
    /// Backends that service discovery lists, draining ones included.
    pub listed: usize,
    /// Listed backends that are cordoned, draining, full, or several times as slow as the others.
    pub avoided: usize,
}

#[cfg(test)]
mod tests;
