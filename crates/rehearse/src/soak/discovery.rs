//! Stand-in for discovery: an agent for each limiter, all with the same endpoint list. The watches can be reset or made
//! silent.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;

use super::deployment::{cell_of, zone_of};
use super::records::Records;
use crate::sync::locked;
use crate::{io, Failure};

/// Interval of the empty lines sent on an idle watch.
const HEARTBEAT: Duration = Duration::from_secs(2);

/// A backend's state in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Ready,
    Terminating,
    Gone,
}

impl State {
    fn name(self) -> &'static str {
        match self {
            State::Ready => "Ready",
            State::Terminating => "Terminating",
            State::Gone => "Gone",
        }
    }
}

#[derive(Clone, Copy)]
struct Endpoint {
    address: SocketAddr,
    state: State,
    started_ms: u64,
}

/// The state that all watches follow.
#[derive(Clone, Copy, Default, PartialEq)]
struct WatchState {
    /// Version of the endpoint list.
    version: u64,
    /// How often the watches were reset.
    resets: u64,
    /// Whether the watches carry neither updates nor heartbeats.
    is_silent: bool,
}

/// The endpoint list and its watches.
pub struct Discovery {
    endpoints: Mutex<BTreeMap<usize, Endpoint>>,
    watch_state: watch::Sender<WatchState>,
    records: Arc<Records>,
}

impl Discovery {
    /// Creates an empty list. Drain notices to limiters are recorded in `records`.
    pub fn new(records: Arc<Records>) -> Arc<Discovery> {
        let watch_state = watch::channel(WatchState { version: 1, ..WatchState::default() }).0;
        Arc::new(Discovery { endpoints: Mutex::default(), watch_state, records })
    }

    /// Starts the agent of a limiter and returns its address.
    pub async fn start_agent(self: &Arc<Self>, limiter: usize) -> Result<SocketAddr, Failure> {
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(io("discovery agent socket"))?;
        let address = listener.local_addr().map_err(io("discovery agent address"))?;
        let discovery = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let discovery = discovery.clone();
                tokio::spawn(async move {
                    let _ = discovery.serve(limiter, stream).await;
                });
            }
        });
        Ok(address)
    }

    /// Adds a backend or changes its state.
    pub fn set(&self, backend: usize, address: SocketAddr, state: State, started_ms: u64) {
        locked(&self.endpoints).insert(backend, Endpoint { address, state, started_ms });
        self.watch_state.send_modify(|watch_state| watch_state.version += 1);
    }

    /// Resets the connections of all watches.
    pub fn reset_watches(&self) {
        self.watch_state.send_modify(|watch_state| watch_state.resets += 1);
    }

    /// Makes all watches silent, or ends the silence.
    pub fn set_silent(&self, is_silent: bool) {
        self.watch_state.send_modify(|watch_state| watch_state.is_silent = is_silent);
    }

    /// Returns the endpoint list as discovery writes it, without backends that are gone.
    pub fn servers(&self) -> Vec<Value> {
        let endpoints = locked(&self.endpoints);
        endpoints.iter().filter(|(_, endpoint)| endpoint.state != State::Gone).map(server).collect()
    }

    /// Serves a watch: writes the full list at the start and after each change.
    async fn serve(&self, limiter: usize, mut stream: TcpStream) -> std::io::Result<()> {
        let mut watch_state = self.watch_state.subscribe();
        let resets = watch_state.borrow().resets;
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            if stream.read_buf(&mut head).await? == 0 {
                return Ok(());
            }
        }
        let silence_ended = watch_state.wait_for(|watch_state| !watch_state.is_silent).await;
        drop(silence_ended);
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        let mut sent_version = 0;
        loop {
            let now = *watch_state.borrow_and_update();
            if now.resets != resets {
                return crate::soak::backend::reset(&stream);
            }
            if !now.is_silent {
                let line = if now.version > sent_version { self.line(now.version) } else { "\n".to_string() };
                stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).await?;
                if now.version > sent_version {
                    self.record_drains(limiter);
                }
                sent_version = now.version;
            }
            let _ = timeout(HEARTBEAT, watch_state.changed()).await;
        }
    }

    /// Returns a watch's line with the full list.
    fn line(&self, version: u64) -> String {
        json!({"version": version, "full": true, "servers": self.servers()}).to_string() + "\n"
    }

    /// Records a drain notice to a limiter for each backend that is not ready.
    fn record_drains(&self, limiter: usize) {
        for (backend, endpoint) in locked(&self.endpoints).iter() {
            if endpoint.state != State::Ready {
                self.records.add_drain(limiter, *backend);
            }
        }
    }
}

/// Returns a backend's entry in the endpoint list.
fn server((backend, endpoint): (&usize, &Endpoint)) -> Value {
    json!({"id": format!("s-{backend}"), "addr": endpoint.address.to_string(),
           "zone": format!("room-{}", zone_of(*backend)), "kind": "small", "cell": cell_of(*backend),
           "state": endpoint.state.name(), "weight": 1.0, "started_ms": endpoint.started_ms})
}
