//! The backends that were removed from the endpoint list, so that a list that lags behind does not bring them back.

use std::collections::{HashMap, VecDeque};

use sedgestack::{BackendId, Micros};

#[cfg(test)]
mod tests;

/// Maximum number of removed backends that are remembered: more than the largest fleet replaces at once.
const MAX_REMOVED: usize = 4_096;

/// Counts how often the numbering of list versions restarted. Versions are comparable within one numbering only.
pub type Numbering = u64;

/// A process of a backend that was removed.
struct RemovedProcess {
    started_at: Micros,
    /// The numbering under which the removal was reported.
    removed_under: Numbering,
}

/// The processes of removed backends. The oldest ones are forgotten if there are too many.
#[derive(Default)]
pub struct RemovedBackends {
    processes: HashMap<BackendId, RemovedProcess>,
    /// The backends in the order of their removal. A backend that was taken or removed again may occur more than once.
    order: VecDeque<BackendId>,
}

impl RemovedBackends {
    /// Remembers that the process of `backend` that started at `started_at` was removed.
    pub fn insert(&mut self, backend: &BackendId, started_at: Micros, removed_under: Numbering) {
        self.processes.insert(backend.clone(), RemovedProcess { started_at, removed_under });
        self.order.push_back(backend.clone());
        if self.order.len() > MAX_REMOVED {
            if let Some(oldest) = self.order.pop_front() {
                self.processes.remove(&oldest);
            }
        }
    }

    /// Returns the numbering under which the process of `backend` that started at `started_at` was removed, if it was.
    pub fn numbering_of(&self, backend: &BackendId, started_at: Micros) -> Option<Numbering> {
        let removed = self.processes.get(backend).filter(|removed| removed.started_at == started_at);
        removed.map(|removed| removed.removed_under)
    }

    /// Forgets `backend`, which is listed again.
    pub fn remove(&mut self, backend: &BackendId) {
        self.processes.remove(backend);
    }
}
