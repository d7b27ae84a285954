//! The endpoints that discovery lists, the actor of each backend, and the cordons that operators set.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use sedgestack::{BackendId, BackendState, Endpoint, Event};

use crate::net::control::removed_backends::{Numbering, RemovedBackends};
use crate::net::discovery::endpoints::{DrainNotice, EndpointEntry, EndpointsChange};
use crate::net::runtime::metrics::COUNTERS;
use crate::net::upstream::{BackendHandle, UpstreamShared};

/// A backend that discovery lists, with its actor.
struct KnownBackend {
    handle: BackendHandle,
    endpoint: Endpoint,
    /// The numbering of list versions under which the backend was last reported as draining.
    drained_under: Numbering,
}

impl KnownBackend {
    fn is_in_service(&self) -> bool {
        self.endpoint.state == BackendState::InService
    }

    /// Whether existing connections remain valid under `entry`: it has the same address and the same process start, and
    /// the backend does not return to service.
    fn keeps_connections_for(&self, entry: &EndpointEntry) -> bool {
        let returns_to_service = !self.is_in_service() && entry.endpoint.state == BackendState::InService;
        self.handle.addr == entry.addr
            && self.endpoint.started_at == entry.endpoint.started_at
            && !returns_to_service
    }

    /// Whether the process that the entry describes is already known to be draining.
    fn is_draining_process_of(&self, entry: &EndpointEntry) -> bool {
        self.endpoint.state == BackendState::Draining && self.endpoint.started_at == entry.endpoint.started_at
    }
}

/// All backends of the endpoint list, and which of them are cordoned.
pub struct EndpointTable {
    upstream: Arc<UpstreamShared>,
    backends: HashMap<BackendId, KnownBackend>,
    /// The version of the endpoint list as numbered by discovery.
    discovery_version: u64,
    /// Number of changes passed to the decision logic, which is the list version that the decision logic sees.
    changes: u64,
    cordoned: BTreeSet<BackendId>,
    /// The numbering of `discovery_version`.
    numbering: Numbering,
    removed: RemovedBackends,
}

impl EndpointTable {
    /// Creates a table without endpoints. `cordoned` are the backends that were cordoned before this process started.
    pub fn new(upstream: Arc<UpstreamShared>, cordoned: BTreeSet<BackendId>) -> EndpointTable {
        EndpointTable {
            upstream,
            backends: HashMap::new(),
            discovery_version: 0,
            changes: 0,
            cordoned,
            numbering: 0,
            removed: RemovedBackends::default(),
        }
    }

    /// Returns the events that report to the decision logic the cordons set before this process started.
    pub fn initial_cordons(&self) -> Vec<Event> {
        let cordoned = self.cordoned.iter();
        cordoned.map(|backend| Event::Cordon { backend: backend.clone(), cordoned: true }).collect()
    }

    /// Returns the actor of a listed backend.
    pub fn handle(&self, backend: &BackendId) -> Option<&BackendHandle> {
        self.backends.get(backend).map(|known| &known.handle)
    }

    /// Whether any backend is in service according to the list, regardless of cordons.
    pub fn has_backend_in_service(&self) -> bool {
        self.backends.values().any(KnownBackend::is_in_service)
    }

    /// Applies a change of the endpoint list. Returns the event for the decision logic, which has the endpoints that
    /// differ from what was known, or `None` if there are none or the change is outdated.
    pub fn on_endpoints_changed(&mut self, change: EndpointsChange) -> Option<Event> {
        // Versions are comparable only within one discovery service. A complete list with a lower version comes from a
        // discovery service that lost its state. Its version must replace the known one, or all later changes would be
        // ignored as outdated.
        let is_outdated = change.version < self.discovery_version;
        let numbering_restarts = change.discovery_moved || (change.complete && is_outdated);
        if is_outdated && !numbering_restarts {
            return None;
        }
        self.discovery_version = change.version;
        self.numbering += u64::from(numbering_restarts);
        let mut changed = Vec::new();
        if change.complete {
            self.remove_unlisted(&change.entries, numbering_restarts, &mut changed);
        }
        for mut entry in change.entries {
            if self.apply_entry(&mut entry) {
                changed.push(entry.endpoint);
            }
        }
        self.event(changed)
    }

    /// Returns the event that reports changed endpoints to the decision logic, or `None` if there are none.
    fn event(&mut self, changed: Vec<Endpoint>) -> Option<Event> {
        if changed.is_empty() {
            return None;
        }
        self.changes += 1;
        Some(Event::EndpointsChanged { version: self.changes, complete: false, endpoints: changed.into() })
    }

    /// Applies the drains in a list that is still being received. Returns the event for the decision logic, or `None` if
    /// nothing changes. The list's version is not recorded, because the rest of the list is missing.
    pub fn on_drains(&mut self, notice: DrainNotice) -> Option<Event> {
        // A complete list with a lower version comes from a discovery service that lost its state.
        let is_outdated =
            |(version, is_complete): (u64, bool)| version < self.discovery_version && !is_complete;
        if notice.list.is_some_and(is_outdated) {
            return None;
        }
        let drained: Vec<Endpoint> =
            notice.entries.into_iter().filter_map(|entry| self.drain(&entry.endpoint)).collect();
        COUNTERS.list_early_drains.add(drained.len() as u64);
        self.event(drained)
    }

    /// Marks a backend in service as draining. Returns its endpoint, or `None` if nothing changes. An entry about an
    /// earlier process of the backend does not apply.
    fn drain(&mut self, entry: &Endpoint) -> Option<Endpoint> {
        let known = self.backends.get_mut(&entry.backend)?;
        if !known.is_in_service() || entry.started_at < known.endpoint.started_at {
            return None;
        }
        known.handle.close();
        known.endpoint.state = BackendState::Draining;
        known.drained_under = self.numbering;
        Some(known.endpoint.clone())
    }

    /// Removes the backends that a complete list does not name. If the numbering restarts, the list may be older than a
    /// backend, whose removal is then remembered only if it was draining. Adds the removed endpoints to `changed`.
    fn remove_unlisted(
        &mut self,
        entries: &[EndpointEntry],
        numbering_restarts: bool,
        changed: &mut Vec<Endpoint>,
    ) {
        let listed: HashSet<&BackendId> = entries.iter().map(|entry| &entry.endpoint.backend).collect();
        let (removed, numbering) = (&mut self.removed, self.numbering);
        self.backends.retain(|backend, known| {
            let is_listed = listed.contains(backend);
            if !is_listed {
                known.handle.close();
                changed.push(Endpoint { state: BackendState::Gone, ..known.endpoint.clone() });
                if !numbering_restarts || !known.is_in_service() {
                    removed.insert(backend, known.endpoint.started_at, numbering);
                }
            }
            is_listed
        });
    }

    /// Applies an entry. Returns whether its endpoint differs from what was known.
    fn apply_entry(&mut self, entry: &mut EndpointEntry) -> bool {
        let outdated_since = self.outdated_since(entry);
        if outdated_since.is_some() {
            entry.endpoint.state = BackendState::Draining;
        }
        let drained_under = outdated_since.unwrap_or(self.numbering);
        let backend = &entry.endpoint.backend;
        if entry.endpoint.state == BackendState::Gone {
            return self.remove(&entry.endpoint);
        }
        // A process that has restarted, moved or returned to service must not be reached through connections to its
        // predecessor.
        match self.backends.get_mut(backend) {
            Some(known) if known.keeps_connections_for(entry) => {
                if !entry.is_in_service() {
                    known.handle.close();
                }
                known.drained_under = drained_under;
                let is_changed = known.endpoint != entry.endpoint;
                if is_changed {
                    known.endpoint = entry.endpoint.clone();
                }
                is_changed
            }
            _ => {
                self.replace_backend(entry, drained_under);
                true
            }
        }
    }

    /// Removes a backend that is gone. Returns whether it was known.
    fn remove(&mut self, endpoint: &Endpoint) -> bool {
        self.removed.insert(&endpoint.backend, endpoint.started_at, self.numbering);
        let known = self.backends.remove(&endpoint.backend);
        if let Some(known) = &known {
            known.handle.close();
        }
        known.is_some()
    }

    /// If the entry says that a process is in service which was reported as draining or gone before the numbering of
    /// versions last restarted, returns the numbering of that report. The discovery service may not know of it yet,
    /// however often it repeats its list. Such a backend keeps draining until its process restarts.
    fn outdated_since(&self, entry: &EndpointEntry) -> Option<Numbering> {
        if !entry.is_in_service() {
            return None;
        }
        let backend = &entry.endpoint.backend;
        let left_under = match self.backends.get(backend) {
            Some(known) => known.is_draining_process_of(entry).then_some(known.drained_under),
            None => self.removed.numbering_of(backend, entry.endpoint.started_at),
        };
        left_under.filter(|numbering| *numbering < self.numbering)
    }

    /// Starts a new actor for an entry and closes the previous one.
    fn replace_backend(&mut self, entry: &EndpointEntry, drained_under: Numbering) {
        let endpoint = entry.endpoint.clone();
        let backend = endpoint.backend.clone();
        if let Some(previous) = self.backends.get(&backend) {
            previous.handle.close();
        }
        let handle = BackendHandle::new(backend.clone(), entry.addr, self.upstream.clone());
        if endpoint.state != BackendState::InService || self.cordoned.contains(&backend) {
            handle.close();
        }
        self.removed.remove(&backend);
        self.backends.insert(backend, KnownBackend { handle, endpoint, drained_under });
    }

    /// Whether a backend is listed or cordoned.
    pub fn is_known(&self, backend: &BackendId) -> bool {
        self.backends.contains_key(backend) || self.cordoned.contains(backend)
    }

    /// Returns the names of the cordoned backends in order.
    pub fn cordoned_names(&self) -> Vec<String> {
        self.cordoned.iter().map(std::string::ToString::to_string).collect()
    }

    /// Cordons exactly the backends in `names`. Returns the events for the decision logic.
    pub fn replace_cordons(&mut self, names: BTreeSet<BackendId>) -> Vec<Event> {
        let released: Vec<BackendId> = self.cordoned.difference(&names).cloned().collect();
        let added: Vec<BackendId> = names.difference(&self.cordoned).cloned().collect();
        let mut events = Vec::with_capacity(released.len() + added.len());
        events.extend(released.into_iter().map(|backend| self.set_cordon(backend, false)));
        events.extend(added.into_iter().map(|backend| self.set_cordon(backend, true)));
        events
    }

    /// Cordons or releases a backend. Returns the event for the decision logic. The actor of a cordoned backend is
    /// closed, so that attempts waiting in its mailbox do not start. A released backend gets a new actor.
    pub fn set_cordon(&mut self, backend: BackendId, cordoned: bool) -> Event {
        if cordoned {
            self.cordoned.insert(backend.clone());
            if let Some(known) = self.backends.get(&backend) {
                known.handle.close();
            }
        } else if self.cordoned.remove(&backend) {
            self.reopen(&backend);
        }
        Event::Cordon { backend, cordoned }
    }

    fn reopen(&mut self, backend: &BackendId) {
        if let Some(known) = self.backends.get_mut(backend).filter(|known| known.is_in_service()) {
            let addr = known.handle.addr;
            known.handle = BackendHandle::new(backend.clone(), addr, self.upstream.clone());
        }
    }
}
