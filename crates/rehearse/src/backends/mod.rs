//! Stand-in backends: the platform's HTTP in front of the model's state machine, stepped in real time.

mod connection;
mod machine;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

use serde_json::{json, Value};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use tokio::time::Instant;

use sedgestack_fleet::{BackendLocation, Fleet, Micros};
use sedgestack_model::backend_speeds;
use sedgestack_model::streams::{stream, Concern, Stream};

use crate::request_log::RequestLog;
use crate::sync::locked;
use crate::{io, Failure};
use connection::Connection;
use machine::Machine;

/// Orders that may wait in a backend's mailbox.
const MAILBOX: usize = 4_096;
/// Connections that may wait to be accepted by a backend that was restarted.
const BACKLOG: u32 = 1_024;

/// An idempotency key within its scope.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct ScopedKey {
    arrival: u64,
    /// The pod, the zone, or 0 for a scope of all backends.
    scope: u32,
}

/// What all backends share.
struct Shared {
    fleet: Fleet,
    request_log: Arc<RequestLog>,
    origin: Instant,
    next_job_id: AtomicU64,
    draws: Mutex<Stream>,
    /// Until when each idempotency key is known.
    keys: Mutex<HashMap<ScopedKey, Instant>>,
    warmup_crashes: AtomicU64,
}

impl Shared {
    /// Microseconds since the start, as the model counts time.
    fn now(&self) -> Micros {
        self.origin.elapsed().as_micros() as Micros
    }
}

/// A backend's process: once this is dropped its port refuses and its connections are reset.
struct Process {
    _alive: oneshot::Sender<()>,
}

struct Slot {
    location: BackendLocation,
    speed: f64,
    address: SocketAddr,
    process: Option<Process>,
}

/// All stand-in backends.
#[derive(Clone)]
pub struct Backends {
    shared: Arc<Shared>,
    slots: Arc<Mutex<Vec<Slot>>>,
}

impl Backends {
    /// Starts every backend of a fleet, warmed up, each on a port of its own.
    pub async fn start(fleet: &Fleet, seed: u64, request_log: Arc<RequestLog>) -> Result<Backends, Failure> {
        let shared = Arc::new(Shared {
            fleet: fleet.clone(),
            request_log,
            origin: Instant::now(),
            next_job_id: AtomicU64::new(0),
            draws: Mutex::new(stream(seed, Concern::Attempts, 1)),
            keys: Mutex::default(),
            warmup_crashes: AtomicU64::new(0),
        });
        let mut slots = Vec::new();
        for (location, speed) in fleet.backend_locations().into_iter().zip(backend_speeds(fleet, seed)) {
            let listener = TcpListener::bind("127.0.0.1:0").await.map_err(io("a backend's socket"))?;
            let address = listener.local_addr().map_err(io("a backend's address"))?;
            let process = Some(start_process(shared.clone(), location, speed, listener, false));
            slots.push(Slot { location, speed, address, process });
        }
        Ok(Backends { shared, slots: Arc::new(Mutex::new(slots)) })
    }

    /// The backends as discovery names them.
    pub fn endpoints(&self) -> Vec<Value> {
        let fleet = &self.shared.fleet;
        let endpoint = |(n, slot): (usize, &Slot)| {
            let location = &slot.location;
            json!({"id": format!("w{n}"), "addr": slot.address.to_string(), "cell": location.pod,
                   "zone": fleet.zones[location.zone].name, "state": "Ready", "weight": 1.0,
                   "kind": fleet.backend_kinds[location.kind].name, "started_ms": 0})
        };
        locked(&self.slots).iter().enumerate().map(endpoint).collect()
    }

    /// Backends that crashed under load while they were warming up.
    pub fn warmup_crashes(&self) -> u64 {
        self.shared.warmup_crashes.load(Relaxed)
    }

    /// Ends a backend's process: its port refuses, its connections are reset.
    pub fn kill(&self, backend: usize) {
        locked(&self.slots)[backend].process = None;
    }

    /// Starts a backend's process again at the same address, to be warmed up: when, in Unix milliseconds. `None`
    /// where its port could not be had again.
    pub async fn restart(&self, backend: usize) -> Option<u64> {
        let (location, speed, address) = {
            let slots = locked(&self.slots);
            let slot = &slots[backend];
            (slot.location, slot.speed, slot.address)
        };
        let socket = TcpSocket::new_v4().ok()?;
        socket.set_reuseaddr(true).ok()?;
        socket.bind(address).ok()?;
        let listener = socket.listen(BACKLOG).ok()?;
        let process = start_process(self.shared.clone(), location, speed, listener, true);
        locked(&self.slots)[backend].process = Some(process);
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Some(since.as_millis() as u64)
    }
}

/// Starts one backend's process: a listener, its connections, and the state machine that they feed.
fn start_process(
    shared: Arc<Shared>,
    location: BackendLocation,
    speed: f64,
    listener: TcpListener,
    is_cold: bool,
) -> Process {
    let (orders, mailbox) = mpsc::channel(MAILBOX);
    let load_report = Arc::new(Mutex::new(String::new()));
    let machine = Machine::new(shared.clone(), location, speed, is_cold, load_report.clone());
    let (alive, ended) = oneshot::channel::<()>();
    let max_connections = shared.fleet.backend_kinds[location.kind].connections as usize;
    let new_connection =
        move || Connection::new(shared.clone(), location, orders.clone(), load_report.clone());
    tokio::spawn(async move {
        tokio::select! {
            // The machine ends where it crashed, and everything of the process with it.
            () = machine.run(mailbox) => {}
            _ = ended => {}
            () = accept(listener, max_connections, new_connection) => {}
        }
    });
    Process { _alive: alive }
}

/// Accepts connections as long as the process lives; those beyond its limit are closed at once.
async fn accept(listener: TcpListener, max_connections: usize, new_connection: impl Fn() -> Connection) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                if connections.len() < max_connections {
                    connections.spawn(connection::serve(stream, Arc::new(new_connection())));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

#[cfg(test)]
mod tests;
