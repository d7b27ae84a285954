//! Stand-in for discovery: an agent for each limiter, all with the same endpoint list. The watches can be reset or made
//! silent, and lists can be long, slow and stalled.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::deployment::{cell_of, zone_of, ListSettings};
use super::records::Records;
use crate::sync::locked;
use crate::{io, Failure};

/// Interval of the empty lines sent on an idle watch.
const HEARTBEAT: Duration = Duration::from_secs(2);

/// Number of pieces in which a slow list is written.
const LIST_PIECES: usize = 25;
/// Of the slow lists of a watch, one in this number stalls in its middle.
const STALL_INTERVAL: u64 = 4;

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
    lists: ListSettings,
    /// The backend that the filler endpoints stand for.
    filler: Mutex<Option<(usize, SocketAddr)>>,
    /// Number of slow lists that were begun.
    slow_lists: AtomicU64,
}

/// An endpoint list as it is written.
struct ListText {
    text: String,
    /// The number of bytes after which the entries of all backends but the fillers are written.
    written_after: usize,
    /// The backends that are draining.
    drains: Vec<usize>,
    /// The backends that are gone: the list does not name them.
    gone: Vec<usize>,
}

impl Discovery {
    /// Creates an empty list. Drain notices to limiters are recorded in `records`.
    pub fn new(records: Arc<Records>, lists: ListSettings) -> Arc<Discovery> {
        let watch_state = watch::channel(WatchState { version: 1, ..WatchState::default() }).0;
        Arc::new(Discovery {
            endpoints: Mutex::default(),
            watch_state,
            records,
            lists,
            filler: Mutex::default(),
            slow_lists: AtomicU64::new(0),
        })
    }

    /// Sets the backend that the filler endpoints stand for.
    pub fn set_filler(&self, backend: usize, address: SocketAddr) {
        *locked(&self.filler) = Some((backend, address));
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
        let (first, second) = self.fillers();
        first.into_iter().chain(self.listed_backends()).chain(second).collect()
    }

    fn listed_backends(&self) -> Vec<Value> {
        let endpoints = locked(&self.endpoints);
        endpoints.iter().filter(|(_, endpoint)| endpoint.state != State::Gone).map(server).collect()
    }

    /// Returns the filler endpoints before and after the other ones.
    fn fillers(&self) -> (Vec<Value>, Vec<Value>) {
        let Some((backend, address)) = *locked(&self.filler) else { return (Vec::new(), Vec::new()) };
        let state = if self.lists.fillers_in_service { State::Ready } else { State::Terminating };
        let mut filler = server((&backend, &Endpoint { address, state, started_ms: 0 }));
        let mut fillers: Vec<Value> = (0..self.lists.fillers)
            .map(|number| {
                filler["id"] = format!("filler-{number}").into();
                filler.clone()
            })
            .collect();
        let second = fillers.split_off(fillers.len() / 2);
        (fillers, second)
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
                if now.version > sent_version {
                    self.write_list(limiter, &mut stream, now.version).await?;
                } else {
                    write_chunk(&mut stream, b"\n").await?;
                }
                sent_version = now.version;
            }
            let _ = timeout(HEARTBEAT, watch_state.changed()).await;
        }
    }

    /// Writes the complete list, and records the drains in it once their entries are written. Fails if the watches are
    /// reset meanwhile.
    async fn write_list(&self, limiter: usize, stream: &mut TcpStream, version: u64) -> std::io::Result<()> {
        let list = self.list_text(version);
        let is_slow = !self.lists.duration.is_zero();
        let pieces = if is_slow { LIST_PIECES } else { 1 };
        let stalls = is_slow && self.slow_lists.fetch_add(1, Relaxed) % STALL_INTERVAL == STALL_INTERVAL - 1;
        let resets = self.watch_state.borrow().resets;
        let mut written = 0;
        let mut are_drains_recorded = false;
        for (number, piece) in list.text.as_bytes().chunks(list.text.len().div_ceil(pieces)).enumerate() {
            if stalls && number == LIST_PIECES / 2 {
                // The limiter closes the connection.
                let _ = stream.read_u8().await;
                return Err(std::io::ErrorKind::ConnectionAborted.into());
            }
            write_chunk(stream, piece).await?;
            written += piece.len();
            if written >= list.written_after && !are_drains_recorded {
                are_drains_recorded = true;
                list.drains.iter().for_each(|backend| self.records.add_drain(limiter, *backend));
            }
            sleep(self.lists.duration / pieces as u32).await;
            if self.watch_state.borrow().resets != resets {
                crate::soak::backend::reset(stream)?;
                return Err(std::io::ErrorKind::ConnectionAborted.into());
            }
        }
        list.gone.iter().for_each(|backend| self.records.add_drain(limiter, *backend));
        Ok(())
    }

    /// Returns the complete list as it is written.
    fn list_text(&self, version: u64) -> ListText {
        let (drains, gone) = (self.backends_in(State::Terminating), self.backends_in(State::Gone));
        let (first, second) = self.fillers();
        let backends = self.listed_backends();
        let entries = [first, backends, second].concat();
        let text = json!({"version": version, "full": true, "servers": entries}).to_string() + "\n";
        // The entries of the fillers in the second half are equally long, up to the digits of their numbers.
        let after = (self.lists.fillers - self.lists.fillers / 2) * text.len() / entries.len().max(1);
        ListText { written_after: text.len() - after, text, drains, gone }
    }

    fn backends_in(&self, state: State) -> Vec<usize> {
        let endpoints = locked(&self.endpoints);
        endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.state == state)
            .map(|(backend, _)| *backend)
            .collect()
    }
}

async fn write_chunk(stream: &mut TcpStream, bytes: &[u8]) -> std::io::Result<()> {
    stream.write_all(format!("{:x}\r\n", bytes.len()).as_bytes()).await?;
    stream.write_all(bytes).await?;
    stream.write_all(b"\r\n").await
}

/// Returns a backend's entry in the endpoint list.
fn server((backend, endpoint): (&usize, &Endpoint)) -> Value {
    json!({"id": format!("s-{backend}"), "addr": endpoint.address.to_string(),
           "zone": format!("room-{}", zone_of(*backend)), "kind": "small", "cell": cell_of(*backend),
           "state": endpoint.state.name(), "weight": 1.0, "started_ms": endpoint.started_ms})
}
