//! The endpoint list as discovery and the configuration file write it, and the changes reported to the control actor.
//!
//! The names of the deserialized types appear in error messages about lists that cannot be read.

use std::net::SocketAddr;

use sedgestack::{BackendState, Endpoint};
use serde::Deserialize;

use crate::info;
use crate::net::runtime::metrics::COUNTERS;

/// An endpoint list as discovery writes it: either the complete list or only the entries that changed.
#[derive(Deserialize)]
pub struct WireList<S = WireServer> {
    pub(super) version: u64,
    pub(super) full: bool,
    servers: Vec<S>,
}

impl Default for WireList {
    fn default() -> Self {
        WireList { version: 0, full: false, servers: Vec::new() }
    }
}

/// A backend as discovery writes it.
#[derive(Deserialize)]
pub struct WireServer {
    id: String,
    addr: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    cell: u32,
    state: WireState,
    #[serde(default = "default_weight")]
    weight: f64,
    #[serde(default)]
    started_ms: u64,
}

fn default_weight() -> f64 {
    1.0
}

#[derive(Deserialize, Clone, Copy)]
enum WireState {
    Ready,
    Terminating,
    Gone,
}

/// A change of the endpoints.
#[derive(Clone)]
pub struct EndpointsChange {
    pub version: u64,
    /// Whether this is the first list from a discovery service that replaced another one. The versions of the two
    /// services cannot be compared.
    pub discovery_moved: bool,
    /// Whether the list is complete, so that endpoints missing from it are gone.
    pub complete: bool,
    pub entries: Vec<EndpointEntry>,
}

/// An endpoint with the address of its backend.
#[derive(Clone)]
pub struct EndpointEntry {
    pub endpoint: Endpoint,
    pub addr: SocketAddr,
}

impl EndpointEntry {
    /// Whether the backend accepts requests.
    pub fn is_in_service(&self) -> bool {
        self.endpoint.state == BackendState::InService
    }
}

/// Drains in the part of a list that has been received. They take effect at once, whether the list is ever completed or
/// not.
pub struct DrainNotice {
    /// The version of the list and whether it is complete, if both are known.
    pub list: Option<(u64, bool)>,
    /// Endpoints that are draining or gone.
    pub entries: Vec<EndpointEntry>,
}

/// What the control actor is told about the endpoints.
pub enum EndpointsUpdate {
    /// The endpoints in the configuration, which may be outdated.
    Configured(EndpointsChange),
    /// A list that discovery has sent completely.
    Changed(EndpointsChange),
    /// Drains in a list that is still being received.
    Draining(DrainNotice),
    /// The watch is open, and discovery has no change to report.
    Unchanged,
}

impl From<WireServer> for EndpointEntry {
    fn from(server: WireServer) -> EndpointEntry {
        EndpointEntry {
            endpoint: Endpoint {
                backend: server.id.into(),
                state: match server.state {
                    WireState::Ready => BackendState::InService,
                    WireState::Terminating => BackendState::Draining,
                    WireState::Gone => BackendState::Gone,
                },
                zone: server.zone,
                cell: server.cell,
                started_at: server.started_ms.saturating_mul(1000),
                weight: server.weight,
            },
            addr: server.addr,
        }
    }
}

impl From<WireList> for EndpointsChange {
    fn from(list: WireList) -> EndpointsChange {
        EndpointsChange {
            version: list.version,
            discovery_moved: false,
            complete: list.full,
            entries: list.servers.into_iter().map(EndpointEntry::from).collect(),
        }
    }
}

impl EndpointsChange {
    /// Returns the change that a received list describes. `list` is the list without its entries, of which `unreadable`
    /// could not be read.
    pub(super) fn from_received<S>(
        list: &WireList<S>,
        entries: Vec<EndpointEntry>,
        unreadable: usize,
    ) -> EndpointsChange {
        if unreadable > 0 {
            COUNTERS.list_unreadable.add(unreadable as u64);
            info!("list: version {}: {unreadable} entries cannot be read", list.version);
        }
        EndpointsChange {
            version: list.version,
            discovery_moved: false,
            // An unreadable entry may describe any backend, so backends missing from the list must not be treated as
            // gone.
            complete: list.full && unreadable == 0,
            entries,
        }
    }
}
