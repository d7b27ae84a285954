//! Discovery's agents: one for each limiter, which all know the same list; watches are reset and fall silent on order.

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

/// An idle watch carries an empty line this often.
const HEARTBEAT: Duration = Duration::from_secs(2);

/// What discovery says of a backend.
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
struct Entry {
    address: SocketAddr,
    state: State,
    started_ms: u64,
}

/// What the watches follow: the version of the list, how often they were reset, and whether discovery is silent.
#[derive(Clone, Copy, Default, PartialEq)]
struct Signal {
    version: u64,
    resets: u64,
    is_silent: bool,
}

/// The list and its watches.
pub struct Discovery {
    entries: Mutex<BTreeMap<usize, Entry>>,
    signal: watch::Sender<Signal>,
    records: Arc<Records>,
}

impl Discovery {
    /// An empty list, whose drains are recorded as they are told.
    pub fn new(records: Arc<Records>) -> Arc<Discovery> {
        let signal = watch::channel(Signal { version: 1, ..Signal::default() }).0;
        Arc::new(Discovery { entries: Mutex::default(), signal, records })
    }

    /// Starts the agent of a limiter.
    pub async fn start_agent(self: &Arc<Self>, limiter: usize) -> Result<SocketAddr, Failure> {
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(io("an agent's socket"))?;
        let address = listener.local_addr().map_err(io("an agent's address"))?;
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
        locked(&self.entries).insert(backend, Entry { address, state, started_ms });
        self.signal.send_modify(|signal| signal.version += 1);
    }

    /// All watches are reset.
    pub fn reset_watches(&self) {
        self.signal.send_modify(|signal| signal.resets += 1);
    }

    /// From now on discovery says nothing, or speaks again.
    pub fn set_silent(&self, is_silent: bool) {
        self.signal.send_modify(|signal| signal.is_silent = is_silent);
    }

    /// The list as discovery writes it, without what is gone.
    pub fn servers(&self) -> Vec<Value> {
        let entries = locked(&self.entries);
        entries.iter().filter(|(_, entry)| entry.state != State::Gone).map(server).collect()
    }

    /// Writes the whole list at first and after each change.
    async fn serve(&self, limiter: usize, mut stream: TcpStream) -> std::io::Result<()> {
        let mut signal = self.signal.subscribe();
        let resets = signal.borrow().resets;
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            if stream.read_buf(&mut head).await? == 0 {
                return Ok(());
            }
        }
        let spoke = signal.wait_for(|signal| !signal.is_silent).await;
        drop(spoke);
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        let mut told = 0;
        loop {
            let now = *signal.borrow_and_update();
            if now.resets != resets {
                return crate::soak::backend::reset(&stream);
            }
            if !now.is_silent {
                let line = if now.version > told { self.line(now.version) } else { "\n".to_string() };
                stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).await?;
                if now.version > told {
                    self.record_drains(limiter);
                }
                told = now.version;
            }
            let _ = timeout(HEARTBEAT, signal.changed()).await;
        }
    }

    fn line(&self, version: u64) -> String {
        json!({"version": version, "full": true, "servers": self.servers()}).to_string() + "\n"
    }

    fn record_drains(&self, limiter: usize) {
        for (backend, entry) in locked(&self.entries).iter() {
            if entry.state != State::Ready {
                self.records.add_drain(limiter, *backend);
            }
        }
    }
}

fn server((backend, entry): (&usize, &Entry)) -> Value {
    json!({"id": format!("s-{backend}"), "addr": entry.address.to_string(),
           "zone": format!("room-{}", zone_of(*backend)), "kind": "small", "cell": cell_of(*backend),
           "state": entry.state.name(), "weight": 1.0, "started_ms": entry.started_ms})
}
