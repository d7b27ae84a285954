//! The endpoint list as discovery and the configuration file write it, and the changes reported to the control actor.
//!
//! The names of the deserialized types appear in error messages about lists that cannot be read.

use std::net::SocketAddr;

use sedgestack::{BackendState, Endpoint};
use serde::de::IgnoredAny;
use serde::Deserialize;

use crate::info;
use crate::net::runtime::metrics::COUNTERS;

/// An endpoint list as discovery writes it: either the complete list or only the entries that changed.
#[derive(Deserialize)]
pub struct WireList<S = WireServer> {
    version: u64,
    full: bool,
    servers: Vec<S>,
}

impl Default for WireList {
    fn default() -> Self {
        WireList { version: 0, full: false, servers: Vec::new() }
    }
}

/// An entry of a list received through a watch. An unreadable entry must not make the rest of its list unreadable.
#[derive(Deserialize)]
#[serde(untagged)]
pub enum WireItem {
    Server(WireServer),
    Unreadable(IgnoredAny),
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

impl From<WireList> for EndpointsChange {
    fn from(list: WireList) -> EndpointsChange {
        let entry = |server: WireServer| EndpointEntry {
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
        };
        EndpointsChange {
            version: list.version,
            discovery_moved: false,
            complete: list.full,
            entries: list.servers.into_iter().map(entry).collect(),
        }
    }
}

impl From<WireList<WireItem>> for EndpointsChange {
    fn from(list: WireList<WireItem>) -> EndpointsChange {
        let received = list.servers.len();
        let readable = |item| match item {
            WireItem::Server(server) => Some(server),
            WireItem::Unreadable(_) => None,
        };
        let servers: Vec<WireServer> = list.servers.into_iter().filter_map(readable).collect();
        let unreadable = received - servers.len();
        if unreadable > 0 {
            COUNTERS.list_unreadable.add(unreadable as u64);
            info!("list: version {}: {unreadable} entries cannot be read", list.version);
        }
        // An unreadable entry may describe any backend, so backends missing from the list must not be treated as gone.
        WireList { version: list.version, full: list.full && unreadable == 0, servers }.into()
    }
}
