//! Stand-in backends: serve the model's state machine, stepped in real time, over the platform's HTTP interface.

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

/// Maximum number of commands in a backend's mailbox.
const MAILBOX_CAPACITY: usize = 4_096;
/// Listen backlog of a restarted backend.
const BACKLOG: u32 = 1_024;

/// An idempotency key within its scope.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct ScopedKey {
    /// Index of the request in the demand, which stands for the key.
    arrival: u64,
    /// Number of the pod or zone, or 0 if all backends share keys.
    scope: u32,
}

/// State shared by all backends.
struct Shared {
    fleet: Fleet,
    request_log: Arc<RequestLog>,
    /// Zero of the model's clock.
    origin: Instant,
    next_job_id: AtomicU64,
    rng: Mutex<Stream>,
    /// When each idempotency key expires.
    keys: Mutex<HashMap<ScopedKey, Instant>>,
    /// Number of backend crashes caused by too much load during warm-up.
    warmup_crashes: AtomicU64,
}

impl Shared {
    /// The current time on the model's clock.
    fn now(&self) -> Micros {
        self.origin.elapsed().as_micros() as Micros
    }
}

/// A simulated backend process. Dropping it closes the listener and resets all connections.
struct Process {
    _alive: oneshot::Sender<()>,
}

/// The place of a backend in the fleet, with the process that currently runs there.
struct BackendSlot {
    location: BackendLocation,
    speed: f64,
    address: SocketAddr,
    process: Option<Process>,
}

/// All stand-in backends.
#[derive(Clone)]
pub struct Backends {
    shared: Arc<Shared>,
    slots: Arc<Mutex<Vec<BackendSlot>>>,
}

impl Backends {
    /// Starts every backend of a fleet on its own port, already warmed up.
    pub async fn start(fleet: &Fleet, seed: u64, request_log: Arc<RequestLog>) -> Result<Backends, Failure> {
        let shared = Arc::new(Shared {
            fleet: fleet.clone(),
            request_log,
            origin: Instant::now(),
            next_job_id: AtomicU64::new(0),
            rng: Mutex::new(stream(seed, Concern::Attempts, 1)),
            keys: Mutex::default(),
            warmup_crashes: AtomicU64::new(0),
        });
        let mut slots = Vec::new();
        for (location, speed) in fleet.backend_locations().into_iter().zip(backend_speeds(fleet, seed)) {
            let listener = TcpListener::bind("127.0.0.1:0").await.map_err(io("backend socket"))?;
            let address = listener.local_addr().map_err(io("backend address"))?;
            let process = Some(start_process(shared.clone(), location, speed, listener, false));
            slots.push(BackendSlot { location, speed, address, process });
        }
        Ok(Backends { shared, slots: Arc::new(Mutex::new(slots)) })
    }

    /// Returns the endpoints as discovery lists them.
    pub fn endpoints(&self) -> Vec<Value> {
        let fleet = &self.shared.fleet;
        let endpoint = |(n, slot): (usize, &BackendSlot)| {
            let location = &slot.location;
            json!({"id": format!("w{n}"), "addr": slot.address.to_string(), "cell": location.pod,
                   "zone": fleet.zones[location.zone].name, "state": "Ready", "weight": 1.0,
                   "kind": fleet.backend_kinds[location.kind].name, "started_ms": 0})
        };
        locked(&self.slots).iter().enumerate().map(endpoint).collect()
    }

    /// Returns the number of backend crashes caused by too much load during warm-up.
    pub fn warmup_crashes(&self) -> u64 {
        self.shared.warmup_crashes.load(Relaxed)
    }

    /// Kills a backend's process: its port refuses connections, and open connections are reset.
    pub fn kill(&self, backend: usize) {
        locked(&self.slots)[backend].process = None;
    }

    /// Restarts a backend's process at the same address; it has to warm up. Returns the time of the start in Unix
    /// milliseconds, or `None` if the port could not be bound again.
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
        let started_at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Some(started_at.as_millis() as u64)
    }
}

/// Starts a backend's process: its listener, its connections, and the state machine that processes their requests.
fn start_process(
    shared: Arc<Shared>,
    location: BackendLocation,
    speed: f64,
    listener: TcpListener,
    is_cold: bool,
) -> Process {
    let (commands, mailbox) = mpsc::channel(MAILBOX_CAPACITY);
    let load_report = Arc::new(Mutex::new(String::new()));
    let machine = Machine::new(shared.clone(), location, speed, is_cold, load_report.clone());
    let (alive, ended) = oneshot::channel::<()>();
    let max_connections = shared.fleet.backend_kinds[location.kind].connections as usize;
    let new_connection =
        move || Connection::new(shared.clone(), location, commands.clone(), load_report.clone());
    tokio::spawn(async move {
        tokio::select! {
            // A crash of the machine ends the listener and all connections as well.
            () = machine.run(mailbox) => {}
            _ = ended => {}
            () = accept(listener, max_connections, new_connection) => {}
        }
    });
    Process { _alive: alive }
}

/// Accepts connections while the process is alive, and closes those beyond its limit at once.
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
